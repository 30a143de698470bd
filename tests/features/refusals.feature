Feature: A runner that refuses connections may live, and its runs with it

  # Guards against TWICE: a refused connection was taken for the end of the
  # runner's process, and what it ran was started a second time at once.
  Scenario Outline: Runs go on behind an address that refuses for <seconds> s
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 6 jobs with tasks of 3 s run
    And 2 of their runners refuse connections for <seconds> s
    Then all the jobs are completed within 40 s
    And no rule is broken

    Examples:
      | seconds |
      | 1       |
      | 3       |
      | 7       |

  # The same failure where the scheduler that saw the refusal is lost with it.
  Scenario: Runs go on behind an address that refuses during a takeover
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 6 jobs with tasks of 3 s run
    And 2 of their runners refuse connections for 5 s
    And the scheduler is killed
    Then all the jobs are completed within 40 s
    And no rule is broken
