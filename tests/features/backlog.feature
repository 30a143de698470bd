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

  # The same for the decisions after the first one, between which a task of
  # another job has ended, so that all estimates of the queue have changed.
  Scenario: A job that still waits adds little to a later decision
    Given a full pool, and open jobs some of which run and some wait
    When later decisions are made with 20 jobs of 16 tasks, and with 200
    Then each further job adds at most 60 executed lines

  # Guards against rounds that grow with the backlog while capacity is reserved,
  # or while VMs are searched for a reservation; against "immediate" alone.
  Scenario Outline: Reserving capacity adds little for each job (<state>)
    Given a full pool, and open jobs some of which run and some wait
    And <state>
    When decisions are made by both policies with 20 jobs of 16 tasks, and 200
    Then "reserving" adds at most 60 executed lines for each further one that waits

    Examples:
      | state                                             |
      | none of the jobs is large                         |
      | one of the jobs is large                          |
      | all of the jobs are large                         |
      | room is reserved that no other job leaves in time |

  # A count that drifts would hide waiting tasks, or end a job early.
  Scenario: The counts of a job's tasks follow any series of changes
    Given drawn jobs of several steps, some of them periodic
    When drawn series of changes are made to their tasks
    Then what is derived from the counts is what a recount gives

  # A view that drifts would start tasks on a full VM, or none on an empty one.
  Scenario: The view of a runner follows any series of changes
    Given a drawn runner
    When its tasks and its entry change in drawn series
    Then each view of it shows what a recount of its tasks gives

  # Guards against takeovers that take long: each occurrence of a restored job
  # counted the tasks of all occurrences before it.
  Scenario: Opening occurrences costs as much for each
    When jobs of 100 and of 400 due occurrences are created
    Then the second one took at most 5 times as many calls as the first
