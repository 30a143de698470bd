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
