Feature: An upstream that is leaving receives no new work after a few seconds

  Scenario Outline: No new work 3 s after the leave shows <signal>
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When "vm0" leaves <signal> under load
    Then "vm0" receives no request from 3 s after that on
    And every look-up of the load was served

    Examples:
      | signal               |
      | in the platform list |
      | in its answers       |
      | in its answers only  |
      | by a drain order     |

  Scenario: No new work though the list lags 30 s and one node is cut off
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And a node "cut" that shares no token with its siblings
    And service "lookup" on pool "trails"
    And the platform has fault "list_lag" at 30
    When "vm0" leaves by a drain order under load
    Then "vm0" receives no request from 3 s after that on
    And every look-up of the load was served

  Scenario: Existing connections go silent while new ones work
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When all connections to runners go silent under look-ups and posts
    Then every look-up met its deadline
    And at most 1% of the posts are unknown
    And no VM was ejected

  Scenario: The connection to the platform goes silent
    Given the nodes reach the platform through a link
    And 3 nodes and 3 VMs in pool "trails" with budget 2
    And service "passes" on pool "trails"
    When the links' connections go silent
    Then keyed posts are served again within 6 s
    And a change is in force on every node within 6 s

  Scenario: The connections between nodes go silent
    Given the nodes reach each other through links
    And 3 nodes and 3 VMs in pool "trails" with budget 2
    And service "lookup" on pool "trails"
    When the links' connections go silent
    Then look-ups at every node are served within 3 s each
    And every node is live again to each other within 6 s
