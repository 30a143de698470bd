Feature: A new scheduler counts the maintenance that its predecessor began

  # Guards against breaking rule LIMIT: after a hand-over the new scheduler had
  # more VMs in maintenance at once than the wave allows.
  Scenario: A wave keeps its bound while its schedulers leave in turn
    Given 3 job nodes with 4 VMs whose maintenance takes 4 s
    When a wave over all VMs in "trails" with 1 at once is ordered for 60 s
    And each scheduler that has a VM maintained is stopped, and started again
    Then the wave is shown as completed within 40 s
    And no rule is broken
