Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given 3 nodes and 3 VMs in pool "trails" with budget 2
    And service "lookup" on pool "trails"

  Scenario: A change is in force on every node within 3 s
    When a configuration is applied at "n0"
    Then every node has its version within 3 s

  Scenario: Lost answers apply a change once
    Given the platform has fault "lost_answers" at 2
    When a configuration is applied at "n0"
    And the same change is applied again at "n1"
    Then the history contains the change once
    And every node has its version within 3 s

  Scenario: Racing operators all get versions of their own
    When 12 configurations are applied at once across all nodes
    Then the accepted changes have distinct versions and are all in the history
    And every node has the highest version within 3 s

  Scenario: A node frozen across a change acts by the new one
    When "n2" is frozen while a configuration is applied at "n0"
    And a caller gets "/lookup/x" from "n2" right after it resumes
    Then its route was decided with the new version

  Scenario: A node started in an outage takes the newest that siblings know
    When "n1" is frozen while a configuration is applied at "n0"
    And the platform goes down and "n1" resumes
    And node "late" starts
    Then "late" has the new version before it is ready
    And no node's version ever decreased

  Scenario: An outage of minutes changes nothing
    When a configuration is applied at "n0"
    And the platform goes down for 8 s and a change is attempted at "n1"
    Then the attempted change was refused and nothing changed
    And no node's version ever decreased
