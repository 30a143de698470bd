Feature: Everything holds when faults come together

  Scenario: Faults in any order, two at a time
    Given 3 nodes and 6 VMs in pool "trails" with budget 4
    And a spare pool with 1 VMs
    And service "passes" on pool "trails"
    When random sequences of faults are injected during posts, jobs and waves
    Then no key ran twice
    And each acknowledged key ran
    And no once-only task was started twice
    And the history breaks no promise
    And every node serves requests again at the end
