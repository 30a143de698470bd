Feature: Jobs are placed, and a task that may run once never runs twice

  Background:
    Given 3 nodes and 4 VMs in pool "trails" with budget 3
    And the pool is owned

  Scenario: A worker that fails everything is quarantined and let back
    Given VM "vm0" fails every task
    When 40 idempotent jobs of 0.3 s are declared
    Then all jobs are done within 40 s
    And "vm0" started at most 12 tasks
    And once "vm0" fails no task any more it gets jobs within 30 s

  Scenario: A thousand cancellations are few writes
    When 1000 idempotent jobs of 600 s are declared
    And all jobs are cancelled in one request
    Then all jobs are cancelled within 30 s
    And cancelling took at most 60 writes

  Scenario Outline: Tasks that may run once, while <fault>
    When 30 once-only jobs of 1 s are declared while <fault>
    Then all jobs have ended within 60 s
    And no once-only task was started twice
    And the history breaks no promise

    Examples:
      | fault                        |
      | the owner is killed          |
      | the owner is frozen          |
      | the table loses answers      |
      | the platform is down for 4 s |

  Scenario: Leases of tasks that may run once lapse
    When 6 once-only jobs of 28 s are declared
    And all jobs are running
    And the workers can't be reached for 18 s
    Then all jobs have ended as unknown within 30 s
    And no once-only task was started twice

  Scenario: A wave moves running jobs after a checkpoint
    When 6 idempotent jobs of 25 s are declared
    And all jobs are running
    And a wave starts and 4 VMs are done
    Then all jobs are done within 60 s
    And no job lost work
    And the history breaks no promise

  Scenario: A drain waits for a job that may run once
    When 1 once-only jobs of 4 s are declared
    And all jobs are running
    And the job's VM is drained by an operator
    Then the VM is held only after the job is done
    And no once-only task was started twice

  Scenario: The job with the least slack goes first
    When more jobs than fit are declared, then a job with a deadline
    Then the job with a deadline is done in time

  Scenario: Declared sizes give way to what was used
    Given jobs of family "deep" use 20 cores though they declare 2
    When 24 jobs of family "deep" are declared in two batches
    Then in the second batch at most 2 of them share a VM

  Scenario: Learned sizes outlive the node that learned them
    Given jobs of family "deep" use 20 cores though they declare 2
    When 24 jobs of family "deep" are declared, the owner killed in between
    Then in the second batch at most 2 of them share a VM
