Feature: Pools have the VMs that their work can use

  # Guards against paying for VMs that wait for steps which can't start yet.
  Scenario: Jobs of two steps at a peak that ends
    Given 10 running tasks of 2 cores whose jobs have a second step of 8 tasks
    Then the pool's work can use 20 cores

  # Guards against a backlog that fetches more cores than its tasks can use.
  Scenario: A backlog of long tasks
    Given 10 waiting tasks of 2 cores that run for 6 s
    Then the pool's work can use 20 cores

  # Guards against fetching twice the peak's VMs in the middle of its rise.
  Scenario: A peak that goes round, the second time
    Given a rate of 100 cores for 4 s, and of 1 for 12 s
    When a rate of 100 cores has lasted for 1.5 s
    Then the pool's work can use at most 125 cores

  # Guards against VMs for jobs that have ended by the time these arrive.
  Scenario: A peak of long jobs that begins
    Given jobs of 8 s that arrive at a rate of 100 cores
    When a rate of 100 cores has lasted for 1.5 s
    Then the pool's work can use at most 70 cores

  # Guards against paying for standby VMs while billed ones are idle.
  Scenario: A pool's peak begins while another pool is idle
    Given pool "a" with 20 VMs, 18 of them idle, that needs 2
    And pool "b" with 5 VMs, 0 of them idle, that needs 15
    And a standby pool with 9 VMs
    When VMs are moved for what work can use
    Then 10 VMs move from "a" to "b"

  Scenario: The whole fleet needs less than it has
    Given pool "a" with 20 VMs, 18 of them idle, that needs 4
    And pool "b" with 10 VMs, 0 of them idle, that needs 10
    And a standby pool with 9 VMs
    When the need has been the same for 2 s
    Then 14 VMs move from "a" to standby

  # Guards against returns that are fetched back, on deployments that need
  # nearly all of their VMs (round 2 of docs/decisions.md).
  Scenario: The need comes close to the fleet
    Given pool "a" with 20 VMs, 8 of them idle, that needs 12
    And pool "b" with 20 VMs, 0 of them idle, that needs 24
    And a standby pool with 0 VMs
    When the need has been the same for 2 s
    Then no VM moves to standby

  # Guards against a scheduler that takes over and knows nothing of the need.
  Scenario: A scheduler that has just taken over
    Given pool "a" with 20 VMs, 18 of them idle, that needs 4
    And a standby pool with 9 VMs
    When the need has been the same for 1 s
    Then no VM moves to standby

  # Guards against a day that begins with empty pools.
  Scenario: No job has arrived yet
    Given pool "a" with 20 VMs, 20 of them idle, that needs 0
    And a standby pool with 9 VMs
    When the need has been the same for 20 s
    Then no VM moves to standby

  # Guards against a late gang that waits for ever in a pool that has become
  # small, as late work fetched no VM and its idle ones went back.
  Scenario: A late job that needs more VMs than its pool has
    Given pool "a" with 6 VMs, 6 of them idle, whose late jobs need 9
    And a standby pool with 9 VMs
    When the need has been the same for 2 s
    Then no VM moves to standby
    When VMs are moved for what work can use
    Then 1 VMs move from "standby" to "a"

  # Guards against returning nearly all VMs at the first job after a gap, when
  # the history had a single, small need in it.
  Scenario: The first job after a gap in which nothing ran
    Given pool "a" with 20 VMs, 18 of them idle, that needs 4
    And a standby pool with 9 VMs
    When the need has been known for 10 s, then nothing ran for 10 s
    Then the first job afterwards returns no VM

  # Guards against a history that grows with the longest job of a queue.
  Scenario: Many short jobs behind a very long one
    When a job of 36000 s arrives, then 5000 jobs of 1 s in 500 s
    Then at most 1000 arrivals are kept

  # Guards against a pool that is left with fewer VMs than it needs.
  Scenario: Any pools, any needs
    Then drawn returns leave each pool its need, and take idle VMs only
