Feature: What a round of the scheduler costs can be seen

  Scenario: A slow round is logged with the time of each part
    Given a round whose planning takes 0.12 s and whose commit 0.01 s
    Then one round is logged as slow, and its longest part is "plan"
    And the histogram of rounds has 1 of the whole, and 1 of each part

  Scenario: A short round is counted and not logged
    Given a round whose planning takes 0.01 s and whose commit 0.01 s
    Then no round is logged as slow
    And the histogram of rounds has 1 of the whole, and 1 of each part
