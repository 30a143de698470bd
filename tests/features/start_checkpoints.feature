Feature: A scheduler records which of its starts may be unanswered

  # Guards against TWICE: a scheduler was killed with a start open, which began
  # a run in a lifetime that nothing names. The next one waited as for a start
  # that was answered.
  Scenario Outline: A takeover finds a start in the rows, and its runner is silent
    Given a scheduler that takes over a run in a lifetime that is 60 s old
    And the last checkpoint <checkpoint>
    When that takeover finds that the registry <registry>
    And the takeover adopts open starts
    Then the run is not lost before <kept> s
    And the run is lost by <lost> s

    Examples:
      | checkpoint                 | registry             | kept | lost |
      | does not exist             | has the lifetime     | 22.2 | 22.5 |
      | is malformed               | has the lifetime     | 22.2 | 22.5 |
      | is older than the row      | has the lifetime     | 22.2 | 22.5 |
      | is older than the row      | has no entry         | 22.2 | 22.5 |
      | is older than the row      | has an older lifetime | 22.2 | 22.5 |
      | lists the start as open    | has the lifetime     | 22.2 | 22.5 |
      | lists another run of it    | has the lifetime     | 3.8  | 4.1  |
      | does not list the start    | has the lifetime     | 3.8  | 4.1  |
      | does not list the start    | has no entry         | 3.8  | 4.1  |

  # Guards against TWICE: the platform lists the VM of an open start as down,
  # and its runner starts again under its id.
  Scenario: The VM of an inherited open start is listed as down
    Given a scheduler that takes over a run in a lifetime that is 60 s old
    And the last checkpoint lists the start as open
    When that takeover finds that the registry has the lifetime
    And the takeover adopts open starts
    And the lists of VMs show the VM of "i-1" as down for 3 s
    Then the run is not lost before 11.9 s
    And the run is lost by 12.5 s

  # Guards against LOST: a task was waited for as its start was in doubt, though
  # its VM was listed as down, without a runner.
  Scenario: The VM of a start in doubt is listed as down
    Given a scheduler that takes over a run in a lifetime that is 60 s old
    And the last checkpoint is older than the row
    When that takeover finds that the registry has the lifetime
    And the takeover adopts open starts
    And the lists of VMs show the VM of "i-1" as down for 3 s
    Then the run is lost by 3.2 s

  # Guards against a start in doubt for as long as nothing else is written.
  Scenario: A start is answered and nothing else happens
    Given a scheduler with a start that is answered
    When it makes a round 0.02 s later
    Then the next scheduler takes the start for answered

  # Guards against TWICE: as another task there was given up, the runner counted
  # as one that had left for good.
  Scenario: The same beside a task whose start was answered
    Given a scheduler that takes over a run in a lifetime that is 60 s old
    And the last checkpoint lists the start as open
    And a task on the same runner whose start was answered
    When that takeover finds that the registry has the lifetime
    And the takeover adopts open starts
    And the lists of VMs show the VM of "i-1" as down for 3 s
    Then only the other task is lost before 11.9 s

  # Guards against TWICE: a start of a run that was over was executed once more
  # by the next lifetime of its runner, which had not been told to refuse it.
  Scenario: The open start of a task that is over, and its runner restarts
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the last checkpoint lists the start as open
    When lifetime 5 reports the end of run 1 as done
    And the takeover adopts open starts
    And lifetime 6 answers the link to lifetime 5 with nothing
    Then "i-1" is ordered to stop run 1 in lifetime 6

  # Guards against TWICE: a checkpoint left out a start that was not answered.
  Scenario Outline: A checkpoint is due as a start <state>
    Given a scheduler with a start that <state>
    When it commits a checkpoint
    Then the next scheduler takes the start for <what>

    Examples:
      | state                                    | what     |
      | is queued                                | open     |
      | is on its way                            | open     |
      | is listed before its outcome is handled  | open     |
      | gets no answer                           | open     |
      | is answered at the second attempt        | open     |
      | is answered by the clock of another life | open     |
      | is answered                              | answered |
      | was open at the takeover                 | open     |
      | was recorded since                       | open     |

  # Guards against a scheduler that is held up, or killed, by its checkpoints.
  Scenario Outline: A checkpoint can't be written as <why>
    Given a scheduler with a start that is queued
    When a checkpoint can't be written as <why>
    Then its rounds go on and no further write is tried for 2 s
    And the next scheduler takes the start for open

    Examples:
      | why                   |
      | the table is away     |
      | its answer is lost    |

  # Guards against a row that the table rejects, and jobs that wait behind it.
  Scenario: There are too many open starts for a row
    Given a scheduler with a start that is queued
    When it has 2000 open starts of other runs and commits a checkpoint
    Then the next scheduler takes the start for open

  # Guards against TWICE: a scheduler that leaves handed over no wait for a
  # start that was on its way.
  Scenario: A scheduler leaves while a start is on its way
    Given a scheduler with a start that is on its way
    When the runner falls silent
    Then the next scheduler is told to wait for it for 22.2 s
