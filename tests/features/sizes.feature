Feature: What a row or a transaction can't hold stops no other job

  # Guards against LOST: a job's row outgrew what the store accepts, and the
  # scheduler repeated the write for ever and started nothing for any job.
  Scenario: A job of many tasks runs beside small jobs, and across a takeover
    Given 3 job nodes with 4 VMs in "trails" and 0 in standby
    When job "ff" of 2 steps with 700 small tasks each is submitted
    And 3 jobs of two steps are submitted
    Then all jobs are completed within 12 s
    When 400 tasks of job "ff" are done
    And the scheduler is killed
    Then job "ff" is completed within 40 s
    And the store has rows of the tasks of job "ff"
    And `peridotsill service` shows all 1400 tasks of job "ff"
    And no rule is broken

  # Guards against LOST: such a submission was answered with "try again".
  Scenario: A job whose specification can't be stored is refused for good
    Given 3 job nodes with 4 VMs in "trails" and 0 in standby
    When a job of 3000 steps is submitted
    Then it is answered 413 with a reason, and is unknown
    And a job that is submitted beside it is accepted

  # Guards against LOST: a transaction that the table rejects was repeated for
  # all of its jobs.
  Scenario: A job that the table rejects stops no other, and is tried again
    Given a scheduler's jobs in a table that rejects values over 4096 bytes
    And 20 jobs with a task each, of which 2 have reasons of 9000 bytes
    When the jobs are written
    Then 18 jobs are written, and 2 are marked as rejected
    And a log line and a counter tell of both rejected jobs
    When the reasons are replaced by short ones, and 6 s pass
    And the jobs are written
    Then 20 jobs are written, and 0 are marked as rejected

  # Guards against LOST: the rows of tasks were sized without checkpoints, so
  # that the table rejected them and no task of the job was started again.
  Scenario Outline: A job of tasks that checkpoint much
    Given a scheduler's jobs in a table that rejects values over 49152 bytes
    And a job of <count> tasks with checkpoints of <first> bytes
    When the jobs are written
    And the checkpoints are replaced by ones of <later> bytes
    And the jobs are written
    Then 1 jobs are written, and 0 are marked as rejected
    And a new scheduler knows all runs of the job, <kept> checkpoints

    Examples:
      | count | first | later | kept     |
      | 40    | 2000  | 2000  | with the |
      | 40    | 10    | 2000  | with the |
      | 90    | 10    | 45000 | with the |
      | 1     | 10    | 60000 | without  |
      | 24    | 10    | 60000 | without  |

  # Guards against LOST: a row that the table rejected was written again and
  # again with the checkpoints that made it too large.
  Scenario: The table takes less than its limits say
    Given a scheduler's jobs in a table that rejects values over 4096 bytes
    And 1 jobs with a task each, of which 1 have checkpoints of 9000 bytes
    And the jobs' rows are limited to 49152 bytes
    When the jobs are written
    Then 0 jobs are written, and 1 are marked as rejected
    When the jobs wait for 6 s
    And the jobs are written
    Then 1 jobs are written, and 0 are marked as rejected
    And a log line tells that checkpoints were left out

  # Guards against TWICE: ends that no row holds were acknowledged.
  Scenario: The ends of a rejected job are not acknowledged, earlier ones are
    Given ends 1 to 4 of a runner, of which 3 is of a rejected job
    When the ends are acknowledged
    Then the runner was told to forget ends up to 2
    When the rejected job has been written, and the ends are acknowledged
    Then the runner was told to forget ends up to 4

  # Guards against LOST: a start that can't be recorded kept its room for ever.
  Scenario: A start that the table refuses to record is withdrawn
    Given a scheduler with a job that was just submitted
    And a table that rejects what is written of the job
    When a scheduling round is run
    Then nothing was ordered, and the job's task waits without a place
    When a scheduling round is run
    Then nothing was ordered, and the job's task waits without a place

  Scenario: Jobs that don't fit in one transaction are written in several
    Given a scheduler's jobs in a table that rejects values over 4096 bytes
    And 30 jobs with a task each, of which 30 have checkpoints of 3000 bytes
    When the jobs are written
    Then 30 jobs are written, and 0 are marked as rejected
    And no transaction had more than 20000 bytes

  # Guards against TWICE: a scheduler that ends between two transactions of a
  # job leaves rows that don't belong together.
  Scenario: A new scheduler reads a divided job as it was after any write
    When drawn jobs of many tasks are written with a crash at a drawn point
    Then a new scheduler knows each start that may have been sent
    And it knows each end that may have been acknowledged

  # Guards against LOST: one submission that the table rejects failed those that
  # were committed with it.
  Scenario: A rejected transaction of a group fails by itself
    Given 12 transactions that are committed as one group
    And the table rejects 2 of them
    When the group is committed
    Then 10 transactions are done and 2 are rejected

  # Guards against LOST: a lease that can't be released with what it hands over
  # has to expire, and each runner is waited for in full.
  Scenario Outline: What is handed over with the lease fits in its row
    Given waits for <count> runners of up to <seconds> s
    When they are handed over in a row of 49152 bytes
    Then the row fits, and the next holder waits no shorter for any runner
    And it waits no longer for <kept> runners at least

    Examples:
      | count | seconds | kept  |
      | 10    | 3       | 10    |
      | 10    | 12      | 10    |
      | 17000 | 3       | 900   |
      | 17000 | 12      | 900   |
