Feature: More ends wait on a runner than one answer lists

  # Guards against TWICE: runs whose ends were left out of an answer were taken
  # as lost, and their tasks were started again.
  Scenario: No task is started again whose end is behind the 500th
    Given 1 job nodes with 2 VMs in "trails" and 0 in standby
    When 4 jobs of 300 small tasks run, which all end 8 s later
    Then all jobs are completed within 15 s
    And each of their tasks was started once
    And no rule is broken

  Scenario Outline: A run that a cut list does not name is kept (<run>)
    Given a scheduler with a task of run 1 on runner "i-1"
    And the last order about run 1 was answered, and it is <run>
    When runner "i-1" answers with a list of ends that is cut off
    Then runner "i-1" has the task's cores reserved
    When runner "i-1" has nothing running
    Then runner "i-1" has all its cores free

    Examples:
      | run                |
      | the task's         |
      | given up elsewhere |

  # Guards against TWICE: a start that reached the next process of a runner may
  # be among the ends that its first answer leaves out.
  Scenario: A late start may be behind a cut list of a next process
    Given a scheduler with run 1 on "i-1" of lifetime 1
    When lifetime 2 answers the link to lifetime 1 with a list that is cut off
    Then run 1 of the task is not lost
    When lifetime 2 answers the link to it with nothing
    Then run 1 of the task is lost

  Scenario: A late start may be behind a cut list after a takeover
    Given a new scheduler with a task in the rows on "i-1" of lifetime 1
    When the registry lists "i-1" with lifetime 2
    And lifetime 2 answers the link to it with a list that is cut off
    Then run 1 of the task is not lost
    When lifetime 2 answers the link to it with nothing
    Then run 1 of the task is lost

  # Guards against LOST: partitions behind the 1,000th were never read.
  Scenario Outline: All partitions of a table are read (<end of pages>)
    Given a store with 2300 partitions whose pages <end of pages>
    When the table is scanned
    Then it has the rows of 2300 partitions

    Examples:
      | end of pages            |
      | say whether more follow |
      | are only cut off        |
