Feature: Jobs whose rows a scheduler can't read

  # Guards against TWICE: what could be read of a row was taken for all of it,
  # so that done tasks were started again and their row was overwritten.
  Scenario Outline: A new scheduler leaves a job alone whose row it can't read
    Given a job with a done task, and another job that waits
    And the <row> row of the first job has <damage>
    When a new scheduler loads the jobs and makes some rounds
    Then it has started the other job, and nothing of the first
    And the row is as it was
    And one job is counted and logged as quarantined
    When the first job's row is repeated by the feed, as it is cancelled
    And some more rounds are made
    Then the row is as it was, with nothing of the first job started

    Examples:
      | row      | damage                                   |
      | progress | a task that the job lacks                |
      | progress | a task of an occurrence that it lacks    |
      | progress | fewer occurrences than tasks             |
      | progress | more occurrences than the job has        |
      | progress | no tasks                                 |
      | progress | a state of a newer version               |
      | progress | a phase of a newer version               |
      | progress | one more field in each task              |
      | progress | a crash of a newer version               |
      | progress | divided tasks that can't be read         |
      | jobs     | a step that can't be read                |

  # Guards against TWICE: an end that only the runner still knows was forgotten
  # while no scheduler could record it.
  Scenario: A runner keeps the ends of a job that is quarantined
    Given a job with a done task, and another job that waits
    And the progress row of the first job has a phase of a newer version
    When a new scheduler loads the jobs and makes some rounds
    And a runner lists 3 ends, the second of them of the first job
    Then only the first of them is acknowledged
    When the runner lists 260 more ends of the other job
    Then all of them are acknowledged, and the loss is logged

  # Guards against TWICE: a row that another scheduler had written and that
  # could not be read was overwritten.
  Scenario: The row of another scheduler can't be read
    Given a scheduler with a task of run 1 on runner "i-1"
    When another scheduler writes the job in a way that can't be read
    And the scheduler writes the job
    Then the other scheduler's row stands
    And no runner has the task any more
    And one job is counted and logged as quarantined

  # Guards against LOST: a job that goes on was dropped for a change of its
  # submission's row, which had been read before.
  Scenario: The submission of a job that is known can't be read any more
    Given a scheduler with a task of run 1 on runner "i-1"
    When the feed shows the job's submission in a way that can't be read
    And runner "i-1" lists run 1 as done
    Then the task is done and the job completed

  # Guards against LOST: a job was accepted whose row no scheduler could read.
  Scenario Outline: A job is accepted only if its row can be read
    When a job with a step of <count> tasks is submitted
    Then the submission is <verdict>

    Examples:
      | count  | verdict               |
      | 0      | refused               |
      | 1      | accepted and readable |
      | 100000 | accepted and readable |
      | 100001 | refused               |
