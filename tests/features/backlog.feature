Feature: What a decision costs does not grow with the backlog

  # Guards against SHORT of issue 39: at a peak the rounds grew with the tasks
  # of all open jobs, to 0.4 s, and every start and end waited for them.
  Scenario: A decision costs the same whatever the backlog of tasks
    Given a full pool, and open jobs some of which run and some wait
    When decisions are made with 20 jobs of 16 tasks, and of 160
    Then the second one executes no more lines than the first

  # The same, for jobs that wait for others to end.
  Scenario: A job that waits for room adds little to a decision
    Given a full pool, and open jobs some of which run and some wait
    When decisions are made with 20 jobs of 16 tasks, and with 200
    Then each further job adds at most 60 executed lines
