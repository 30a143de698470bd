Feature: Drawn sequences of faults on the users' platform

  Scenario: Every job completes once, whatever fails
    When 4 drawn sequences of three faults are played
    Then all jobs were completed in each, and no rule was broken
