Feature: Drawn sequences of faults on the users' platform

  Scenario: Every job completes once, whatever fails
    When 4 random sequences of three faults are injected
    Then all jobs were completed in each, and no rule was broken
