Feature: Findings of the review of issue 39

  # Guards against tasks that are ended for nothing, again and again: the VM to
  # which a task was just sent was fetched for another pool in the same step.
  Scenario: A VM that a task leaves a due VM to is not fetched for another pool
    Given a fleet with idle VMs "a1" to "a4" in pool "a" and none in "b"
    And "a2", "a3" and "a4" are in pool "b"
    And a wave over "a1" to "a2" with at most 1 out at once
    And the wave is due in 60 s
    And job "y" of long-lived tasks, 1 of which may be missing, on "a1"
    And job "x" of long-lived tasks, 1 of which may be missing, on "a2"
    And job "x" belongs to pool "b"
    And "a4" is full with other tasks
    When the fleet decides
    Then a task of job "x" was ended, and no other
    And "a3" was not commanded to be moved

  # Guards against a malformed row that ends the thread which takes the lease.
  Scenario: The address of a lease's holder has characters of other scripts
    When the holder at "h\u0142st:7060" is asked for its state
    Then it counts as silent

  # Guards against an odd answer that ends the thread of a caller.
  Scenario: A peer answers that it switches protocols
    When a peer answers a call with "101 Switching Protocols"
    Then the call says that the peer is unavailable

  # Guards against answers that are taken for those of other requests.
  Scenario: A peer sends an interim answer before each answer
    When a peer answers each of 3 calls with its number, after an interim answer
    Then each call has its own answer

  # Guards against takeovers that take long: each occurrence of a restored job
  # counted the tasks of all occurrences before it.
  Scenario: Opening occurrences costs as much for each
    When jobs of 100 and of 400 due occurrences are created
    Then the second one took at most 5 times as many calls as the first

  # Guards against a round that reads one row after another: after a commit
  # whose answer was lost each of its jobs was read in a call of its own.
  Scenario: A commit whose answer was lost is looked up in a few reads
    When a commit of 45 jobs is done, but its answer is lost
    Then the rows were read in at most 2 calls

  # Guards against a wait for all VMs that stands for a proof about none: who
  # never claimed the row of commands has commanded nothing.
  Scenario: A holder that never claimed the commands makes no VM rest
    Given a holder of epoch 1 that claimed the commands and sent none
    And one of epoch 2 that never learned that it held the lease
    When a third one takes over 0.7 s after the second one's takeover
    Then it may command any VM at once

  # Guards against rounds that stand still while the table is slow: each part
  # of a decision tried to record the same commands again.
  Scenario: A decision asks a table that gives no answer only once
    Given a fleet with idle VMs "a1" to "a4" in pool "a" and none in "b"
    And a wave over "a1" to "a4" with at most 2 out at once
    And the wave is due in 2 s
    And pool "b" needs 4 VMs
    And the table gives no answer any more
    When the fleet decides
    And the fleet decides again
    Then the table was asked once in the last decision
