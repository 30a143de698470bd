Feature: A holder of the lease that is paused writes nothing once it is replaced

  # Guards against AVAIL and TWICE: a paused scheduler went on, recorded all
  # long-lived tasks as lost by its own clock, and a later one believed it.
  Scenario Outline: A scheduler is paused after hand-overs, and goes on
    Given 5 job nodes with 8 VMs in "trails" and 2 in standby
    And 5 jobs of 4 long-lived tasks run
    When the lease is handed over <handovers> times
    And the scheduler is paused for <seconds> s, and the next one is killed
    Then all the long-lived tasks keep their runs for 8 s
    And no rule is broken

    Examples:
      | handovers | seconds |
      | 1         | 4       |
      | 2         | 6       |

  # Guards against the same where the write was sent before the takeover.
  Scenario Outline: A write of an earlier holder fails after a takeover
    Given a holder whose job runs on a runner
    And the holder <moment> that the run is lost
    When another node takes the lease and reads the rows
    And the earlier holder's write is <event>
    Then the row still has the run
    And the earlier holder <notice>

    Examples:
      | moment            | event              | notice              |
      | is about to write | sent               | knows that it is none any more |
      | has written       | carried out late   | has written nothing |

  Scenario: A write of an earlier holder before a takeover is seen by the next
    Given a holder whose job runs on a runner
    When the holder writes that the run is lost
    And another node takes the lease and reads the rows
    Then the next holder has read that the run is lost

  # Guards against AVAIL: by its own clock a process that was paused can't tell
  # that leases have run out, as another holder may have extended them.
  Scenario: After a pause nothing is lost before the lease is renewed
    Given a scheduler with a task of run 1 on runner "i-1"
    And the leases on runner "i-1" run out within its own lease and a second
    When the process is paused until both have run out, and a round is run
    Then run 1 is not taken as lost
    When the lease is renewed, and a round is run
    Then run 1 is taken as lost

  Scenario Outline: The fence is claimed whatever happens to a claim (<event>)
    Given the fence was claimed under epoch 4
    When a holder of epoch 5 claims it, and <event>
    Then the holder of epoch 5 can write, and that of epoch 4 can't

    Examples:
      | event                                      |
      | nothing fails                              |
      | the answer of its first attempt is lost    |
      | its first attempt is carried out late      |
      | another process has claimed it under epoch 5 before |
      | the fence is damaged afterwards            |

  Scenario: A holder that finds the fence claimed under a later epoch is none
    Given the fence was claimed under epoch 6
    When a holder of epoch 5 claims it
    Then that holder has lost the lease

  # Guards against MIXED: a wave that was completed is shown as running again.
  Scenario: A wave's state that an earlier holder publishes late is not written
    Given a wave of one VM that its holder has begun to maintain
    When another holder claims the row of commands
    And the earlier holder publishes the wave's state and its progress
    Then neither was written, and the earlier holder has lost the lease
