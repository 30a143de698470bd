Feature: A cancellation that overtakes its submission

  # Guards against UNASKED: a submission that reached its node late was stored
  # and run although its cancellation had been answered with "no such job".
  Scenario: A submission that arrives after its cancellation never runs
    Given a table without jobs
    When the unknown job is cancelled
    Then the caller is told that there is no such job
    When the unknown job is submitted late
    Then the caller is told that the early job was accepted
    And the unknown job is shown as cancelled
    And a scheduler that follows the table starts no task of it
    And a scheduler that loads the table starts no task of it

  # Guards against UNASKED: a commit that the table carries out late stored a
  # job after its cancellation had been answered with "no such job".
  Scenario: A commit that is carried out after the cancellation stores nothing
    Given a table that holds back the first commit
    When the unknown job is submitted, and the caller leaves without an answer
    And the unknown job is cancelled
    And the table carries the held commit out
    Then the table holds no job
    And the unknown job is shown as absent

  # Guards against UNASKED: a cancellation was answered although nothing that
  # holds a late submission back had been stored.
  Scenario: A cancellation that can't be recorded is not acknowledged
    Given a table without jobs that refuses all commits
    When the unknown job is cancelled
    Then the caller is told that the outcome of the cancellation is unknown

  # Guards against MIXED: a job that nobody has submitted was shown.
  Scenario: A cancelled job that nobody submitted is not shown or counted
    Given a table without jobs
    When the unknown job is cancelled
    And the unknown job is cancelled
    Then the caller is told that there is no such job
    And the unknown job is shown as absent
    And no job counts as pending
    And a scheduler that loads the table knows no job

  # Guards against a 410 that no longer holds as the record of an earlier
  # cancellation expires.
  Scenario: Repeating a cancellation starts the lifetime of its record anew
    Given a table without jobs
    When the unknown job is cancelled
    And a scheduler that loads the table has seen the record for 100 s
    And the unknown job is cancelled
    And the scheduler has seen the record for 100 s
    Then the record of the cancellation is kept
    When the scheduler has seen the record for 121 s
    Then the record of the cancellation is removed

  # Guards against a table that grows with every cancellation of an unknown
  # job, and against records that are removed while they are replaced.
  Scenario: The record of a cancellation is removed after a while
    Given a table without jobs
    When 200 unknown jobs are cancelled
    And a scheduler that loads the table has seen the records for 119 s
    Then the table holds 200 records of cancellations
    When the scheduler has seen the records for 121 s, as the job of one arrives
    Then the table holds only the job that has arrived, as cancelled

  # Guards against a submission that fails because the record which it found
  # has expired meanwhile.
  Scenario: A record of a cancellation expires while its job is submitted
    Given a table without jobs whose record of the cancellation expires as the job arrives
    When the unknown job is submitted late
    Then the caller is told that the early job was accepted
    And the unknown job is shown as queued
