Feature: Runners on which tasks fail

  # Guards against LOST: runners stayed closed for good once long-lived tasks
  # had failed there three times, however long ago, as no end shows that a task
  # which lasts has come to work.
  Scenario Outline: Long-lived tasks that fail now and then find room again
    Given 2 jobs of 6 long-lived tasks on 4 runners
    When one of the tasks fails each <pause> s, 60 times, as drawn with seed <seed>
    Then no task has waited for longer than 2 s

    Examples:
      | pause | seed |
      | 1     | 1    |
      | 3     | 2    |
      | 9     | 3    |

  # Guards against LOST: tasks that had been at work for long, and failed at one
  # time, closed their runner.
  Scenario: Long-lived tasks that fail together were at work before
    Given 2 jobs of 3 long-lived tasks on 1 runners
    And all tasks have come to work
    When 4 of them fail at once, and 3 s pass
    Then no task has waited for longer than 1 s

  # Guards against LOST: a runner was closed as long as any task was there that
  # had been there before the failures.
  Scenario: A runner that failed starts takes more beside tasks that go on
    Given 2 jobs of 3 long-lived tasks on 1 runners
    And all tasks have come to work
    When the runner fails all starts for 8 s, and 3 of its tasks fail
    Then all tasks run again 16 s after the runner has recovered

  # Guards against BUDGET and jobs that are given up: a runner that fails all at
  # once was given many tasks in one round when its first pause was over.
  Scenario: A runner that fails everything at once gets one start at a time
    Given 40 jobs of 4 short tasks on 1 runners
    And the runner fails all starts
    When 30 s pass on the runners
    Then the runner gets no more than 2 starts in any 4 s after the first round

  Scenario: A runner that has recovered is used again after one task
    Given 16 jobs of 4 short tasks on 1 runners
    And the runner fails all starts
    When 9 s pass on the runners
    And the runner has recovered
    And 7 s pass on the runners
    Then all jobs are running or done

  # Guards against runners that are closed for failures of long ago.
  Scenario Outline: Failures count for a while
    Given a breaker that records failures of 3 jobs, <pause> s apart
    Then the breaker is <state>

    Examples:
      | pause | state  |
      | 0.1   | open   |
      | 4.9   | open   |
      | 5.1   | closed |
      | 60    | closed |

  Scenario: What was started before the failures is no proof of recovery
    Given a breaker that records failures of 3 jobs, 0.1 s apart
    When a run succeeds that was started before them
    Then the breaker is open
    When 4.1 s pass for the breaker
    Then the breaker is half-open
    When a run succeeds that was started just now
    Then the breaker is closed

  Scenario: A trial that fails opens the breaker again, one that lasts does not
    Given a breaker that records failures of 3 jobs, 0.1 s apart
    When 4.1 s pass for the breaker
    And a run fails that was started just now
    Then the breaker is open
    When 4.1 s pass for the breaker
    Then the breaker is half-open
    When 6 s pass for the breaker
    Then the breaker is closed

  # Guards against LOST: members of a gang that find only runners on trial.
  Scenario: A gang starts on runners that are on trial
    Given 1 jobs of a gang of 4 tasks on 2 runners
    And both runners have failed 3 tasks
    When 5 s pass on the runners
    Then all jobs are running or done
