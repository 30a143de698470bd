Feature: Capacity is reserved for large tasks, without network or clock

  # Guards against a large task that waits for as long as small ones arrive, as
  # each of them takes what another one has left. With "immediate" it does.
  Scenario Outline: A large task behind a stream of small ones (<order>)
    Given 2 VMs of 8 cores, always full of small tasks of 1 core and up to 2 s
    And the jobs are ranked by "<order>"
    When a task of 8 cores arrives under the policy "immediate"
    Then it has not started after 60 s
    When a task of 8 cores arrives under the policy "reserving"
    Then it has started after 4 s

    Examples:
      | order          |
      | payoff_density |
      | first_come     |

  # Guards against capacity that idles although a task would be gone in time,
  # and against one that keeps the reserved VM busy for longer.
  Scenario Outline: A small task of <seconds> s uses the gap until then: <uses>
    Given a VM of 8 cores with a task of 4 cores that takes 4 s
    And a task of 8 cores waits, under the policy "reserving"
    When a task of 2 cores arrives that takes <seconds> s
    Then it starts at once: <uses>
    And the task of 8 cores starts at 4 s

    Examples:
      | seconds | uses |
      | 1.5     | yes  |
      | 6       | no   |

  # Guards against capacity that nobody needs but that is kept free.
  Scenario: A task that fits beside the reserved capacity starts at once
    Given a VM of 8 cores with a task of 4 cores that takes 4 s
    And a task of 6 cores waits, under the policy "reserving"
    When a task of 2 cores arrives that takes 60 s
    Then it starts at once: yes
    And the task of 6 cores starts at 4 s

  # Guards against a reservation that small tasks with wrong estimates, of half
  # or twice their time, move on for ever.
  Scenario Outline: Estimates are off by <factor>
    Given 2 VMs of 8 cores, always full of small tasks of 1 core and up to 2 s
    And their run times are estimated at <factor> times what they take
    When a task of 8 cores arrives under the policy "reserving"
    Then it has started after 8 s

    Examples:
      | factor |
      | 0.5    |
      | 2      |

  # Guards against a reservation on a VM that is lost, which would wait for it.
  Scenario: The runner is lost on which capacity is reserved
    Given 3 VMs of 8 cores, always full of small tasks of 1 core and up to 2 s
    When a task of 8 cores arrives under the policy "reserving"
    And the VM is lost on which capacity is reserved for it
    Then capacity is reserved on another VM in the next round
    And it has started after 6 s

  # Guards against capacity that stays reserved for a job that has ended.
  Scenario: The job is cancelled for which capacity is reserved
    Given a VM of 8 cores with a task of 4 cores that takes 4 s
    And a task of 8 cores waits, under the policy "reserving"
    When a task of 2 cores arrives that takes 60 s
    And the job of the task of 8 cores is cancelled
    Then the task of 2 cores starts in the next round
    And nothing is reserved or remembered

  # Guards against a new holder that starts no large task, as it does not know
  # of the reservations of the former one.
  Scenario: A new scheduler remembers nothing
    Given 2 VMs of 8 cores, always full of small tasks of 1 core and up to 2 s
    When a task of 8 cores arrives under the policy "reserving"
    And another scheduler takes over after 1 s
    Then it has started after 5 s

  # Guards against a gang that waits for ever, as its VMs are never free at the
  # same time, and against one that is spread over racks without need.
  Scenario Outline: A gang of <count> tasks on VMs that are always full
    Given 4 VMs of 8 cores in 2 racks, always full of small tasks
    When a gang of <count> tasks of 6 cores arrives under "immediate"
    Then it has not started after 60 s
    When a gang of <count> tasks of 6 cores arrives under "reserving"
    Then all its tasks have started at once, on <racks> racks, after 6 s

    Examples:
      | count | racks |
      | 2     | 1     |
      | 4     | 2     |

  # Guards against a reservation that counts on the end of a task that runs for
  # ever, and keeps the rest of the VM idle.
  Scenario: Nothing is reserved where a long-lived task would have to end
    Given a VM of 8 cores with a long-lived task of 2 cores
    And a VM of 8 cores with a task of 4 cores that takes 4 s
    And a task of 8 cores waits, under the policy "reserving"
    Then capacity is reserved for it on the second VM alone
    When a gang of 1 task of 8 cores waits as well
    And the second VM is lost
    Then nothing is reserved in the next round

  # Guards against reservations where nothing may be started.
  Scenario Outline: Nothing is reserved on a VM that is <state>
    Given a VM of 8 cores that is <state>, with a task of 4 cores
    And a task of 8 cores waits, under the policy "reserving"
    Then nothing is reserved in the next round

    Examples:
      | state                      |
      | closed                     |
      | due for maintenance        |
      | on trial                   |
      | not allowed by the advisor |

  # Guards against capacity that idles for ever, for a run that never ends.
  Scenario: A reservation is given up when its time has passed for too long
    Given a VM of 8 cores with a task of 4 cores that takes 600 s, not 4 s
    And a task of 8 cores waits, under the policy "reserving"
    When a task of 2 cores arrives that takes 30 s
    Then the task of 2 cores has started after 13 s
    And nothing is reserved for 10 s after that

  # Guards against more reserved than the bound, when many large tasks wait.
  Scenario: At most 4 reservations stand, and on at most a quarter of the VMs
    Given 8 VMs of 8 cores, always full of small tasks of 1 core and up to 2 s
    When 12 tasks of 8 cores arrive under the policy "reserving"
    Then capacity is reserved on at most 2 VMs in each round of 20 s
    And all of them have started after 60 s

  # Guards against late jobs that can get no reservation, but are tried in
  # place of those that can.
  Scenario: Late jobs beyond their team's rate keep no reservation from others
    Given a VM of 8 cores with a task of 4 cores that takes 4 s
    When 5 late jobs beyond their team's rate wait, and then one within it
    Then capacity is reserved for the one within the rate after 1 s

  # Guards against any mix in which a task waits for ever behind small ones.
  Scenario: No task waits for ever behind small ones
    Given drawn pools that are always full of small tasks, of drawn estimates
    When drawn large tasks and gangs arrive within 10 s under "reserving"
    Then each of them has started after 120 s

  # Guards against starts that the rules forbid, as reserved VMs are closed and
  # opened within a round, and tasks with a reservation are placed first.
  Scenario: Reserving keeps the rules of placement
    Given drawn pools with jobs of all kinds
    When several rounds are planned under "reserving", as runs begin and end
    Then no VM has more than its capacity, and no task starts twice
    And labels, limits, tickets and closed VMs hold, and gangs start whole

  # Guards against a margin that one queue's outliers make useless for it: too
  # small ones delay what capacity is reserved for, large ones leave it idle.
  Scenario Outline: The margin of run times follows past errors, within bounds
    Given a queue whose 30 tasks took <ratios> times as long as expected
    Then its tasks are expected to end within <margin> times the estimate

    Examples:
      | ratios     | margin |
      | 1          | 1.0    |
      | 0.1        | 1.0    |
      | 0.5 or 1.5 | 1.5    |
      | 9          | 3.0    |

  # Guards against a policy by a wrong name, which no node could follow.
  Scenario: The placement policy is a setting that is checked and reloaded
    Given the settings of a job node with the placement policy "reserving"
    Then a running node takes it over
    And a placement policy by another name is refused

  # Guards against reservations that no operator can see, and floods of them.
  Scenario: Reservations are logged at a limited rate, and all counted
    Given a scheduler's placements, under the policy "reserving"
    When 5 reservations are made and released within a second
    Then one line of each kind is logged, and 5 of each are counted
