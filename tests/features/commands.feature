Feature: VM commands after a takeover

  # Guards against a peak without VMs: a new scheduler commanded none for up to
  # 3 s, though nobody had commanded any of them.
  Scenario: A VM that nobody has commanded is commanded right after a takeover
    Given a scheduler that commanded no VM and released the lease
    When the next scheduler takes over and a wave over "a1" is due
    Then it has commanded "a1"

  # Guards against AVAIL, and against lost work: a VM counted as empty because
  # the registry lacked its runner, and the tasks that the rows place on that
  # runner were ended by the command.
  Scenario: A VM whose runner is not registered, but has tasks, is not empty
    Given a scheduler that commanded no VM and released the lease
    And the rows place a task on the runner of "a1", which the registry lacks
    When the next scheduler takes over and a wave over "a1" is due
    And all waits after the takeover have passed
    Then it has not commanded "a1"
    And it counts the task as one to be cleared from "a1"
