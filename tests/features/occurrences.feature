Feature: The occurrences of a job are counted in one way

  # Guards against TWICE: the next scheduler worked out from times of day which
  # occurrences a job's row knows, and ran the others a second time.
  Scenario Outline: The next scheduler restores all occurrences of a job
    Given a job of <times> occurrences with a period of <period> ms
    When its row is written once <opened> of them are due and done
    And the next scheduler reads the row
    Then all tasks of the <opened> occurrences are done, as before
    And <left> more occurrences are due in time

    Examples:
      | times | period            | opened | left |
      | 3     | 0                 | 3      | 0    |
      | 6     | 333.3             | 6      | 0    |
      | 7     | 142.857           | 5      | 2    |
      | 9     | 0.25              | 9      | 0    |
      | 9     | 0.25              | 4      | 5    |
      | 3000  | 0.1               | 2999   | 1    |
      | 3000  | 333.3333333333333 | 2999   | 1    |

  # Guards against TWICE with periods and times that no example has.
  Scenario: Rows of drawn jobs are restored as they were written
    When the rows of 300 drawn jobs are restored
    Then each job has the tasks that it had

  # Guards against occurrences that wait for a round too many, or for ever, as
  # their time and their number were rounded in different ways.
  Scenario: An occurrence is due at its time, and not before
    When 300 drawn jobs are asked for what is due at and just before a due time
    Then each has opened the occurrences that are due, and no more
