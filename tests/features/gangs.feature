Feature: The members of a gang begin and end together

  # Guards against LOST: the others of the gang waited for ever, as a gang is
  # placed only if all of its members wait.
  Scenario Outline: The late end of one member of a gang counts for all (<state>)
    Given a gang of 3 tasks whose run 1 was lost, and whose run 2 <state>
    When the runner of one member is reached again and lists its run 1 as done
    Then all 3 tasks are done and the job completed
    And each run 2 that was started is stopped

    Examples:
      | state                  |
      | has not been started   |
      | runs on other runners  |

  # Guards against GANG and LOST: each member resumed from what it had saved
  # itself, so after a crash the values differed and the gang never came together.
  Scenario Outline: All members of a gang resume from the same checkpoint
    Given a gang of 3 tasks that waits with checkpoints <saved>
    When a round starts the gang
    Then all 3 starts carry one checkpoint, which is one of <saved>
    And the rows of its tasks have that checkpoint

    Examples:
      | saved    |
      | a, b, c  |
      | -, b, c  |
      | -, -, c  |
      | -, -, -  |
