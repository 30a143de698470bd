Feature: The whole path, from a caller to a runner and back

  Scenario: A request enters any node and is answered by a runner
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When a caller gets "/lookup/ridge" from each node
    Then each response has its own marker and status 200

  Scenario: A decision can be explained by another node
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"
    When a caller gets "/lookup/ridge" from each node
    Then every node explains each request with the VMs it weighed
