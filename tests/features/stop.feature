Feature: Every planned stop is graceful, and no request is cut

  Scenario: All nodes are replaced one after the other under load
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When each node is replaced under look-ups, posts and long batch requests
    Then no caller was cut and none was refused
    And each stopped node ended with exit code 0
    And no runner had more than 64 connections

  Scenario: A caller that reads its answer slowly gets it whole
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When a caller reads 3000000 bytes slowly while its node stops
    Then the slow caller received the whole answer
