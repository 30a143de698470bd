Feature: No more VMs out for maintenance than the wave allows

  Background:
    Given a fleet with idle VMs "a1" to "a4" in pool "a" and none in "b"

  Scenario: A VM whose maintenance begins is not lent in the same round
    Given a wave over "a1" to "a1" with at most 2 out at once
    And pool "b" needs 4 VMs
    When the fleet decides
    Then no VM got two commands
    And only one VM was commanded to be maintained

  Scenario: A command that may be at work counts as one VM out
    Given a wave over "a1" to "a4" with at most 1 out at once
    When the fleet decides
    And the command gets no answer, and then its repeat finds the VM busy
    And the list of VMs shows it in maintenance
    And the fleet decides 10 more times
    Then only one VM was commanded to be maintained

  Scenario: An earlier scheduler's command that may be at work counts too
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun
    When the fleet decides
    And the command is answered that the VM is busy
    And the list of VMs shows it in maintenance
    And the fleet decides 10 more times
    Then only one VM was commanded to be maintained

  Scenario: A VM is out for as long as its maintenance takes
    Given a wave over "a1" to "a4" with at most 1 out at once
    When the fleet decides
    And the command is answered as done
    And the list of VMs lags and shows all of them as up
    And the fleet decides 10 more times
    Then only one VM was commanded to be maintained

  Scenario: A VM whose maintenance had been done before is used again
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun
    When the fleet decides
    And the command is answered as done, though its maintenance was over before
    Then the runner of "a3" may be given tasks again

  Scenario: What is done of a wave is recorded before the next VM begins
    Given a wave over "a3" to "a3" with at most 1 out at once
    When the fleet decides
    And the command is answered as done
    And the fleet decides
    Then the wave's row says that "a3" is done

  Scenario: A VM is cleared to be lent only if its tasks end soon
    Given "a1" runs a task of 1 s, "a2" of 0.5 s and "a3" of 9 s
    When a pool lacks VMs
    Then "a2" and then "a1" may be cleared for it

  Scenario: A VM with a long-lived task is not cleared to be lent
    Given "a1" runs a task of 1 s, "a2" of 0.5 s and "a3" a long-lived one
    When a pool lacks VMs
    Then "a2" and then "a1" may be cleared for it

  Scenario: Of the VMs of a wave the one with the fewest tasks is cleared first
    Given a wave over "a1" to "a2" with at most 2 out at once
    And the wave is due in 2 s
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a2", "a3"
    And job "y" of long-lived tasks, 1 of which may be missing, on "a1", "a3"
    When the fleet decides
    Then the tasks ended are those of job "x" on "a2" and of job "y" on "a1"

  Scenario: A VM that goes on losing its tasks is cleared to the end
    Given a wave over "a1" to "a1" with at most 1 out at once
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a3"
    And job "y" of long-lived tasks, 1 of which may be missing, on "a1", "a3"
    When the fleet decides
    And 5 s pass and job "x" has left "a1"
    And 5 s pass
    Then the runner of "a1" is still held back
    When 5 s pass and job "y" has left "a1"
    Then "a1" was commanded to be maintained

  Scenario: A VM that can't be cleared is given back
    Given a wave over "a1" to "a1" with at most 1 out at once
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a3"
    When the fleet decides
    And 5 s pass
    And 2 s pass
    Then the runner of "a1" may be given tasks again
    And "a1" was not commanded to be maintained

  # Guards against breaking rule LIMIT after a hand-over: one VM too many was
  # in maintenance, because the new scheduler counted a VM as back that was
  # still away.
  Scenario: A VM that an earlier scheduler had maintained is out until it is back
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun and done
    And the list of VMs shows "a3" in maintenance
    When the fleet decides 10 more times
    Then no VM was commanded to be maintained
    When the list of VMs shows "a3" up, 2.5 s later
    And the fleet decides 10 more times
    Then only one VM was commanded to be maintained

  # The same, with a list of VMs that is older than the earlier scheduler's
  # command and so shows the VM as up.
  Scenario: A VM that an earlier scheduler had maintained is out though the list lags
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun and done
    When the fleet decides
    And the list of VMs lags and shows all of them as up
    And the fleet decides 10 more times
    Then no VM was commanded to be maintained

  # Guards against breaking rule LIMIT: one VM too many was in maintenance,
  # because it was chosen before the wave's row was read again.
  Scenario: A VM that another scheduler recorded meanwhile takes a place
    Given a wave over "a1" to "a4" with at most 1 out at once
    And another scheduler records "a3" as begun once this one has read the row
    When the fleet decides 10 more times
    Then only one VM was commanded to be maintained

  Scenario: A VM that is known to be back is not waited for after a hand-over
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun, done and back
    When the fleet decides
    Then only one VM was commanded to be maintained

  Scenario: That a VM is back is recorded
    Given a wave over "a3" to "a3" with at most 1 out at once
    When the fleet decides
    And the command is answered as done
    And the list of VMs shows "a3" up, 2.5 s later
    And the fleet decides
    Then the wave's row says that "a3" is back

  Scenario: A VM that has gone for good does not take a place for ever
    Given a wave over "a1" to "a4" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun
    And "a3" has gone from the list of VMs
    When the fleet decides
    Then no VM was commanded to be maintained
    When 3 s pass
    Then only one VM was commanded to be maintained

  # Guards against late waves: the time to a wave's deadline restarted with
  # each new scheduler, which so waited too long before it took VMs of busy
  # pools.
  Scenario Outline: A wave's deadline counts from its order, not from a hand-over
    Given a wave over "a1" to "a4" with at most 1 out at once
    And the wave is due in 60 s
    And pool "a" needs 4 VMs
    And <age>
    When the fleet decides
    Then <commanded> was commanded to be maintained

    Examples:
      | age                                                | commanded   |
      | an earlier scheduler recorded the wave as 1 s old  | no VM       |
      | an earlier scheduler recorded the wave as 45 s old | only one VM |
      | this node saw the wave 45 s ago                    | only one VM |
      | the wave's row holds an age that is not a number   | no VM       |

  Scenario: A wave's age is recorded for the next scheduler
    Given a wave over "a1" to "a1" with at most 1 out at once
    When the fleet decides
    And 30 s pass
    And the command is answered as done
    And the fleet decides
    Then the wave's row says that it is 30 s old

  # Guards against a malformed row of a wave that makes every scheduler fail
  # that reads it.
  Scenario: A VM that a wave's row names as done only is out until it is back
    Given a wave over "a1" to "a4" with at most 1 out at once
    And the wave's row names "a3" as done, and no VM as begun
    When the fleet decides
    And the list of VMs lags and shows all of them as up
    Then no VM was commanded to be maintained
    When the list of VMs shows "a3" up, 2.5 s later
    And the fleet decides
    Then only one VM was commanded to be maintained

  # Guards against TWICE: a command that an earlier scheduler had sent, and that
  # had been carried out, was answered as done, and the tasks of the runner that
  # its VM had come back with were started again, though they ran.
  Scenario: A maintenance that had been done before ends no run
    Given a wave over "a3" to "a3" with at most 1 out at once
    And an earlier scheduler recorded "a3" as begun
    And the registry lists the runners of all VMs but "a3"
    And an earlier scheduler's task runs on the runner of "a3"
    When the fleet decides
    Then "a3" was commanded to be maintained
    When the registry lists the runners of all VMs
    And the command is answered as done, though its maintenance was over before
    Then the task on "a3" still counts as running there
    And the runner of "a3" was always polled

  # The same, with a runner that its VM came back with under the same id after
  # a command whose answer was lost.
  Scenario: A repeated command ends no run of the runner's next lifetime
    Given a wave over "a3" to "a3" with at most 1 out at once
    And the registry lists the runners of all VMs
    When the fleet decides
    Then "a3" was commanded to be maintained
    When the next lifetime of the runner of "a3" is listed and answers
    And a task starts on the runner of "a3"
    And the command is answered as done, though its maintenance was over before
    Then the task on "a3" still counts as running there
    And the runner of "a3" was always polled

  # The same, with a move that was carried out late, while the VM was cleared
  # for its repeat.
  Scenario: A move that had been done before ends no run
    Given the registry lists the runners of all VMs
    And "a3" is being cleared to be moved to pool "b"
    When the list of VMs shows "a3" in pool "b" with runner "r-new"
    And the fleet decides
    Then "a3" was commanded to be moved
    When a task starts on the runner of "a3"
    And the move of "a3" is answered as done
    Then the task on "a3" still counts as running there
    And the runner of "a3" was always polled

  # Guards against runs that wait for their leases though a command has ended
  # them.
  Scenario: What a first command has ended is started again at once
    Given a wave over "a3" to "a3" with at most 1 out at once
    And the registry lists the runners of all VMs
    When the fleet decides
    And a task starts on the runner of "a3"
    And the command is answered as done
    Then the task on "a3" is lost for the reason "VM taken away"
    And the runner of "a3" is not polled

  # Guards against rounds that stand still while a wave begins, as its row was
  # written once for each VM: with 56 VMs no task was started for 0.6 s.
  Scenario: A wave that begins with several VMs costs one write
    Given a wave over "a1" to "a4" with at most 4 out at once
    And the wave is due in 2 s
    When the fleet decides
    Then all VMs of the wave were commanded to be maintained
    And the wave's row was written once
  # Guards against a peak that gets no VMs: a wave took the standby VMs that the
  # peak needed at once, though its deadline was 20 s away.
  Scenario: A wave that has time leaves the VMs that a peak wants to it
    Given pool "a" is a standby pool
    And a wave over "a1" to "a4" with at most 4 out at once
    And pool "b" needs 4 VMs
    When the fleet decides
    Then 4 VMs were commanded to be moved to pool "b"
    And no VM was commanded to be maintained

  # Guards against late waves: the tasks that may leave only one after another
  # began to leave when their VMs' turn came, and not all had left in time.
  Scenario: Long-lived tasks leave the VMs of a wave before these are taken
    Given a wave over "a1" to "a2" with at most 1 out at once
    And the wave is due in 60 s
    And pool "a" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a2"
    When the fleet decides
    Then no VM was commanded to be maintained
    And a task of job "x" was ended, and no other

  # Guards against tasks that are ended for nothing: the next VM would have to
  # be cleared of them as well.
  Scenario: A long-lived task does not leave for a VM that is due as well
    Given a wave over "a1" to "a4" with at most 1 out at once
    And the wave is due in 60 s
    And pool "a" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a2"
    When the fleet decides
    Then no task was ended

  # Guards against late waves whose logs don't tell what keeps a VM.
  Scenario: What keeps a VM that can't be cleared is logged
    Given a wave over "a1" to "a1" with at most 1 out at once
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a3"
    And the task of job "x" on "a3" does not run at full speed
    When the fleet decides
    And 7 s pass
    Then the log says that the task of job "x" on "a1" waits for the one on "a3"

  # Guards against late waves: the pool of long-lived tasks that may not share
  # a VM was left with no VM but theirs, as a peak had borrowed all others, so
  # that each pair of them waited for the maintenance of the last pair's VMs.
  Scenario: A VM is fetched for a task that has no room to leave a due VM to
    Given a wave over "a1" to "a1" with at most 1 out at once
    And the wave is due in 60 s
    And "a2", "a3" and "a4" are in pool "b"
    And pool "b" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1"
    When the fleet decides 3 more times
    Then no task was ended
    And 1 VMs were commanded to be moved to pool "a"

  # Guards against the same: the VM that was fetched was lent again before the
  # task had left.
  Scenario: A VM that a task is to leave a due VM to is not lent
    Given a wave over "a1" to "a3" with at most 1 out at once
    And an earlier scheduler recorded "a1" as begun and done
    And the list of VMs shows "a1" in maintenance
    And job "x" of long-lived tasks, 1 of which may be missing, on "a2", "a3"
    And pool "b" needs 4 VMs
    When the fleet decides
    Then a task of job "x" was ended, and no other
    And "a4" was not commanded to be moved

  # Guards against a task that waits for the maintenance of its former VM.
  Scenario: A VM is fetched for a task that has left a VM and finds no room
    Given a wave over "a1" to "a1" with at most 1 out at once
    And the wave is due in 2 s
    And "a2", "a3" and "a4" are in pool "b"
    And pool "b" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1"
    When the fleet decides
    And the task of job "x" on "a1" has been ended, and waits
    And the fleet decides 2 more times
    Then "a1" was commanded to be maintained
    And 1 VMs were commanded to be moved to pool "a"

  # Guards against a VM that is commanded twice, to be maintained and moved.
  Scenario: A VM that an urgent wave takes is not lent in the same round
    Given a wave over "a1" to "a4" with at most 2 out at once
    And the wave is due in 2 s
    And pool "b" needs 4 VMs
    When the fleet decides
    Then no VM got two commands
    And 2 VMs were commanded to be maintained

  # Guards against late waves: one that gives way to a peak for too long.
  Scenario: A wave that is short of time takes the VMs that a peak wants
    Given pool "a" is a standby pool
    And a wave over "a1" to "a4" with at most 4 out at once
    And the wave is due in 5 s
    And pool "b" needs 4 VMs
    When the fleet decides
    Then 4 VMs were commanded to be maintained

  # Guards against a peak and a wave that take turns on the same VMs while
  # others stand idle.
  Scenario: A VM that is not due is lent before one that is
    Given a wave over "a1" to "a2" with at most 1 out at once
    And an earlier scheduler recorded "a1" as begun and done
    And the list of VMs shows "a1" in maintenance
    And pool "b" needs 4 VMs
    When the fleet decides
    Then "a3" was commanded to be moved
    And "a2" was not commanded to be moved

  # Guards against breaking rule LIMIT: VMs that were ready together did not
  # count towards the bound for one another.
  Scenario: A VM beyond the bound is held back though all begin at once
    Given a wave over "a1" to "a4" with at most 2 out at once
    And the wave is due in 2 s
    And all 4 VMs have been chosen for it
    When the fleet decides
    Then 2 VMs were commanded to be maintained
  # Guards against AVAIL: an earlier scheduler had ordered a runner to stop a
  # task without recording it, and the next one ended another one of its step.
  Scenario: A scheduler that has just begun ends no long-lived task
    Given a wave over "a1" to "a2" with at most 1 out at once
    And the wave is due in 60 s
    And pool "a" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a2"
    And the scheduler has just begun
    When the fleet decides
    Then no task was ended
    When 2 s pass
    Then a task of job "x" was ended, and no other

  # Guards against late waves: tasks that find no room while a peak fills their
  # pool, and would not all leave in the time that is left then.
  Scenario Outline: Long-lived tasks leave without room if they would be late
    Given a wave over "a1" to "a3" with at most 4 out at once
    And the wave is due in <left> s
    And pool "a" needs 4 VMs
    And job "x" of long-lived tasks, 1 of which may be missing, on "a1", "a2", "a3"
    And "a4" is full with other tasks
    When the fleet decides
    Then no VM was commanded to be maintained
    And <ended>

    Examples:
      | left | ended                                     |
      | 30   | no task was ended                         |
      | 13   | a task of job "x" was ended, and no other |

  # Guards against tasks that are ended for nothing, again and again: the VM to
  # which a task was just sent was fetched for another pool in the same step.
  Scenario: A VM that a task leaves a due VM to is not fetched for another pool
    Given "a2", "a3" and "a4" are in pool "b"
    And a wave over "a1" to "a2" with at most 1 out at once
    And the wave is due in 60 s
    And job "y" of long-lived tasks, 1 of which may be missing, on "a1"
    And job "x" of long-lived tasks, 1 of which may be missing, on "a2"
    And job "x" belongs to pool "b"
    And "a4" is full with other tasks
    When the fleet decides
    Then a task of job "x" was ended, and no other
    And "a3" was not commanded to be moved

  # Guards against rounds that stand still while the table is slow: each part
  # of a decision tried to record the same commands again.
  Scenario: A decision asks a table that gives no answer only once
    Given a wave over "a1" to "a4" with at most 2 out at once
    And the wave is due in 2 s
    And pool "b" needs 4 VMs
    And the table gives no answer any more
    When the fleet decides
    And the fleet decides again
    Then the table was asked once in the last decision
