Feature: Calls for a runner's former lifetime that reach the present one

  # Guards against TWICE: the next scheduler waited for a silent runner by its
  # own lease of 3.9 s. But the runner had just started again under its id, and
  # a start for its former lifetime had given it a lease of 10 s by the former
  # clock. Only the killed scheduler knew.
  Scenario Outline: A young runner is silent after a takeover
    Given a scheduler that takes over a run in a lifetime that is <age> s old
    When that takeover finds that the registry <registry>
    And the runner of it <answer> and the grants of all earlier holders have ended
    Then the run is not lost before <kept> s
    And the run is lost by <lost> s

    Examples:
      | age | registry               | answer            | kept | lost |
      | 2   | has the lifetime       | never answers     | 20.2 | 20.5 |
      | 2   | has the lifetime       | answers only once | 20.2 | 20.5 |
      | 2   | has no entry           | never answers     | 20.2 | 20.5 |
      | 2   | has an older lifetime  | never answers     | 20.2 | 20.5 |
      | 30  | has a young lifetime   | never answers     | 20.2 | 20.5 |
      | 30  | has one that lapses    | never answers     | 20.2 | 20.5 |
      | 12  | has the lifetime       | never answers     | 10.2 | 10.5 |
      | 30  | has the lifetime       | never answers     | 3.8  | 4.1  |
      | -4  | has the lifetime       | never answers     | 22.2 | 22.5 |

  # Guards against LOST: a runner that was new, and had no former lifetime,
  # would be waited for like one that had started again.
  Scenario: A runner that is new since the takeover falls silent
    Given a scheduler that began 60 s ago
    When a new runner begins a run and falls silent
    Then the run is lost by 0.1 s

  # Guards against TWICE: a start that got no answer reached the next lifetime
  # of its runner, which was never heard of, and had a lease of 10 s there.
  Scenario Outline: A start gets no answer and its runner falls silent
    Given a scheduler with a confirmed run and one whose start <outcome>
    When the runner falls silent and its leases have expired
    Then only the confirmed run is lost
    And the other run is not lost before 22.2 s
    And the other run is lost by 22.5 s

    Examples:
      | outcome                                  |
      | gets no answer                           |
      | is answered at the second attempt        |
      | is answered by the clock of another life |

  # Guards against LOST: a runner that is known to have left was waited for.
  Scenario: A start gets no answer as its runner leaves
    Given a scheduler with a confirmed run and one whose start gets no answer
    When the runner falls silent and its leases have expired
    And neither registry nor list of VMs has the runner for 3 s
    Then both runs are lost

  Scenario: A scheduler that leaves hands over the wait for such a start
    Given a scheduler with a confirmed run and one whose start gets no answer
    When the runner falls silent
    Then the next scheduler is told to wait for it for 22.3 s

  # Guards against TWICE: a start that was answered by the next lifetime counted
  # as confirmed by the one that it was meant for.
  Scenario Outline: The clock in the answer to a start tells who answered
    Given a link to a runner whose clock was 5000 ms in its last report
    When a start is answered by a clock of <clock> ms
    Then the start counts as answered by <who>

    Examples:
      | clock | who                  |
      | 5000  | the lifetime         |
      | 5200  | the lifetime         |
      | 300   | another lifetime     |

  # Guards against TWICE, with real nodes: the two of them together.
  Scenario Outline: A runner starts again, is cut off, and the scheduler is killed
    Given 3 job nodes with 8 VMs in "trails" and 0 in standby
    And its runners have been up for 8 s
    When a runner crashes as it gets a start, starts again and carries it out
    And it is cut off <heard> s later, and the scheduler is killed and started again
    And the cut ends after 11 s
    Then all jobs are completed within 40 s
    And no rule is broken

    Examples:
      | heard |
      | 0.3   |
      | 2.0   |

  # Guards against TWICE: a start was open as the scheduler was killed, and had
  # begun a run in a next lifetime that neither the rows nor the registry had.
  # The next scheduler waited by the age of the former one.
  Scenario: A runner starts again unheard of, and the scheduler is killed
    Given 3 job nodes with 8 VMs in "trails" and 0 in standby
    And its runners have been up for 24 s
    When a runner crashes as it gets a start, starts again unheard of and carries it out
    And the scheduler is killed and started again
    And the cut ends after 13 s
    Then all jobs are completed within 40 s
    And no rule is broken
