Feature: VM commands after a takeover

  # Guards against a peak without VMs: a new scheduler commanded none for up to
  # 3 s, though nobody had commanded any of them.
  Scenario: A VM that nobody has commanded is commanded right after a takeover
    Given a scheduler that commanded no VM and released the lease
    When the next scheduler takes over and a wave over "a1" is due
    Then it has commanded "a1"

  # Guards against AVAIL, and against lost work: a VM counted as empty because
  # the registry lacked its runner, and the tasks that the rows place on that
  # runner were ended by the command.
  Scenario: A VM whose runner is not registered, but has tasks, is not empty
    Given a scheduler that commanded no VM and released the lease
    And the rows place a task on the runner of "a1", which the registry lacks
    When the next scheduler takes over and a wave over "a1" is due
    And it decides 10 s later
    Then it has not commanded "a1"
    And it counts the task as one to be cleared from "a1"

  # Guards against ONE: two holders of the lease commanded one VM in turns.
  Scenario Outline: A VM that the last scheduler commanded rests, as it <end>
    Given a scheduler that had "a1" maintained, <answer>, and <end>
    When the next scheduler takes over and a wave over "a1, a2" is due
    Then it has commanded "a2"
    When it decides <rest> s later
    Then it has commanded "a2"
    When it decides 0.2 s later
    Then it has commanded "a2, a1"

    Examples:
      | answer                                     | end                 | rest |
      | which was answered                         | released the lease  | 2.9  |
      | which got no answer                        | released the lease  | 2.9  |
      | which got no answer                        | is silent           | 2.9  |
      | which was answered, and recorded since     | is silent           | 2.9  |

  # Guards against ONE over two takeovers: the second holder commanded nothing,
  # and the third learned only of its commands.
  Scenario: A VM rests over two takeovers
    Given a scheduler that had "a1" maintained, which got no answer, and released the lease
    And a scheduler that commanded no VM and released the lease
    When the next scheduler takes over and a wave over "a1, a2" is due
    Then it has commanded "a2"
    When it decides 2.9 s later
    Then it has commanded "a2"
    When it decides 0.2 s later
    Then it has commanded "a2, a1"

  # Guards against ONE: an earlier version records no commands, so any VM may
  # have been commanded just before the takeover.
  Scenario Outline: All VMs rest, as <row>
    Given a scheduler that commanded no VM and released the lease
    And <row>
    When the next scheduler takes over and a wave over "a1" is due
    And it decides 1.3 s later
    Then it has commanded no VM
    When it decides 0.2 s later
    Then it has commanded "a1"

    Examples:
      | row                                                |
      | the last scheduler was of an earlier version       |
      | a scheduler of an earlier version came after it    |
      | the row of commands holds a rest of "long"         |
      | the row of commands holds a rest of NaN            |

  # Guards against ONE: a holder that was replaced, and did not know, sent a
  # command that the next one knew nothing of.
  Scenario: A scheduler sends nothing once the next one has claimed the row
    Given a scheduler that commanded no VM
    When the next scheduler claims the row of commands
    And a wave over "a1" is due with the first scheduler
    Then the first scheduler has commanded no VM
    And the first scheduler has lost the lease

  # Guards against ONE: a command was sent that the row did not name.
  Scenario Outline: A command is sent once its row is known to be written, and once
    Given a scheduler that commanded no VM
    And the table gives no answer to its next 2 records, which <fate>
    When a wave over "a1" is due with the first scheduler
    Then the first scheduler has commanded no VM
    When the first scheduler decides 2 more times
    Then the first scheduler has commanded "a1"

    Examples:
      | fate                 |
      | were done            |
      | were not done        |

  # Guards against commands for a VM as it was before the last scheduler's
  # command, such as a move of a VM that had been moved.
  Scenario: A VM rests until the list of VMs is newer than its last command
    Given a scheduler that had "a1" maintained, which was answered, and released the lease
    When the next scheduler takes over and a wave over "a1, a2" is due
    And it decides 9 s later without a new list of VMs
    Then it has commanded "a2"
    When it decides 0.1 s later
    Then it has commanded "a2, a1"

  # Guards against AVAIL, and against lost work: the last scheduler had started
  # tasks after the rows were read, and their VM counted as empty.
  Scenario: A VM is not empty before its runner has said so
    Given a scheduler that commanded no VM and released the lease
    And the runner of "a1" does not answer
    When the next scheduler takes over and a wave over "a1, a2" is due
    Then it has commanded "a2"
    When it decides 1.3 s later
    Then it has commanded "a2"
    When it decides 0.2 s later
    Then it has commanded "a2, a1"

  Scenario: A VM that was commanded long ago is not named any more
    Given a scheduler that commanded no VM
    When a wave over "a1" is due with the first scheduler
    And the first scheduler's command is answered
    And the first scheduler decides for 10 s
    Then the row of commands names no VM
    And the row was written 4 times

  # Guards against ONE, with holders that live on behind a cut, are frozen, give
  # up or release the lease, and a table that loses answers.
  Scenario: No VM is commanded in turns, however holders take over
    When holders take over from one another in 60 drawn runs
    Then no two of them command a VM within the hand-over time
    And most VMs are commanded by several of them

  Scenario Outline: The rule checker finds a VM that two schedulers order in turns
    When a VM is ordered under fence 1, and <seconds> s later under fence <fence>
    Then the rules broken are "<rules>"

    Examples:
      | seconds | fence | rules |
      | 2.5     | 2     | ONE   |
      | 3.0     | 2     |       |
      | 2.5     | 1     |       |

  # Guards against a wait for all VMs that stands for a proof about none: who
  # never claimed the row of commands has commanded nothing.
  Scenario: A holder that never claimed the commands makes no VM rest
    Given a holder of epoch 1 that claimed the commands and sent none
    And one of epoch 2 that never learned that it held the lease
    When a third one takes over 0.7 s after the second one's takeover
    Then it may command any VM at once
