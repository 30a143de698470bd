Feature: Gangs whose queue has placement advice

  # Guards against LOST: no call named more than 30 runners, and no further call
  # was made while one of them might run the step, so that a wider gang never
  # started.
  Scenario Outline: A gang gets tickets for as many runners as it needs
    Given a gang of <tasks> tasks of <cores> cores, and <runners> runners of 32
    When the advisor permits each runner but every <denied>th, and <rounds> rounds are made
    Then the gang is placed
    And no call has named more than <most> runners

    Examples:
      | tasks | cores | runners | denied | rounds | most |
      | 31    | 20    | 64      | 99     | 2      | 62   |
      | 31    | 20    | 64      | 3      | 3      | 62   |
      | 90    | 20    | 140     | 9      | 3      | 100  |
      | 60    | 2     | 64      | 99     | 2      | 64   |
      | 4     | 20    | 64      | 2      | 2      | 30   |
      | 29    | 20    | 64      | 2      | 3      | 58   |

  Scenario: A step that is no gang asks for 30 runners, and once
    Given 31 single tasks of 20 cores, and 64 runners of 32
    When the advisor permits each runner but every 99th, and 3 rounds are made
    Then 1 call has been made, for 30 runners
