Feature: A node that starts

  # Guards against refused calls: the load balancer was told that a node was
  # ready before it listened for callers.
  Scenario: A node is ready only once it accepts callers
    Given a node that has its configuration, and reaches the table
    When it starts, and its readiness is checked before it accepts callers
    Then it is not ready then, as it is starting
    And it is ready once it has started
