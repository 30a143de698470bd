Feature: A lifetime of a runner has ended only once another one answers

  # Guards against TWICE: a task in a row with another lifetime than the
  # registry's was started again at once, though the entry was the older one.
  Scenario Outline: A new scheduler reads an older entry than the rows name
    Given a new scheduler with a task in the rows on "i-1" of lifetime <row>
    When the registry lists "i-1" with lifetime <entry>
    And a round is made
    Then run 1 of the task is not lost
    When lifetime <row> answers at the address in the registry with run 1
    Then run 1 of the task is placed on "i-1" of lifetime <row>
    And "i-1" is closed
    When the registry lists "i-1" with lifetime <row>
    Then "i-1" is open

    Examples:
      | row | entry |
      | 2   | 1     |
      | 1   | 2     |

  Scenario Outline: A new scheduler reads a newer entry than the rows name
    Given a new scheduler with a task in the rows on "i-1" of lifetime <row>
    When the registry lists "i-1" with lifetime <entry>
    And lifetime <entry> answers the link to it with nothing
    Then run 1 of the task is lost
    And "i-1" is open

    Examples:
      | row | entry |
      | 2   | 1     |
      | 1   | 2     |

  # Guards against TWICE: what the rows name was taken for ended by an answer
  # to a request that was sent before the rows were read.
  Scenario: An answer to a request from before the rows proves nothing
    Given a scheduler that knows "i-1" of lifetime 1
    When a row names a task on "i-1" of lifetime 2
    And lifetime 1 answers a request from before with nothing
    Then run 1 of the task is not lost
    When lifetime 1 answers the link to it with nothing
    Then run 1 of the task is lost

  # Guards against TWICE: an entry with a higher number, which is no proof as
  # clocks are set back, ended the known lifetime.
  Scenario Outline: The registry names another lifetime, and the known one lives
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When the registry lists "i-1" with lifetime <entry>
    Then run 1 of the task is not lost
    And "i-1" is closed
    When lifetime 5 answers the link to it with run 1
    And lifetime 5 answers the link to it with run 1
    And the registry lists "i-1" with lifetime <entry>
    Then run 1 of the task is placed on "i-1" of lifetime 5
    And nothing is connected to lifetime <entry> any more
    When the registry lists "i-1" with lifetime 5
    Then "i-1" is open

    Examples:
      | entry |
      | 4     |
      | 6     |

  # Guards against a runner that is never used again: an entry with a lower
  # number was ignored for good, as after a clock that was set back.
  Scenario Outline: The lifetime that the registry names answers
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When the registry lists "i-1" with lifetime <entry>
    And lifetime <entry> answers the link to it with nothing
    Then run 1 of the task is lost
    And "i-1" is open

    Examples:
      | entry |
      | 4     |
      | 6     |

  # Guards against TWICE: an answer that names no lifetime proves nothing.
  Scenario: An answer without a lifetime at the address in the registry
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When the registry lists "i-1" with lifetime 6
    And lifetime 0 answers the link to lifetime 6 with nothing
    Then run 1 of the task is placed on "i-1" of lifetime 5

  # Guards against connecting on and on to a lifetime that has ended, while
  # the registry still has its entry.
  Scenario: A lifetime that the registry does not have yet answers
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is lost
    And "i-1" is closed
    When the registry lists "i-1" with lifetime 5
    Then nothing is connected to lifetime 5 any more
    And "i-1" is closed
    When lifetime 6 answers the link to it with nothing
    And the registry lists "i-1" with lifetime 6
    Then "i-1" is open

  # Guards against TWICE: a start that was sent to a lifetime that had ended
  # reached the next one, which has the same id, and its task was started
  # again as lost.
  Scenario: A start may have reached the next lifetime
    Given a scheduler with an unanswered start of run 1 on "i-1" of lifetime 5
    When lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 6
    When lifetime 6 answers the link to it with nothing
    And that stop is answered
    And lifetime 6 answers the link to it with nothing
    Then run 1 of the task is not lost
    When lifetime 6 answers the link to it with nothing
    Then run 1 of the task is lost

  Scenario: A start has reached the next lifetime
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When lifetime 6 answers the link to lifetime 5 with run 1
    Then run 1 of the task is not lost
    And run 1 of the task is placed on "i-1" of lifetime 6
    When lifetime 6 answers the link to it with run 1
    Then run 1 of the task is placed on "i-1" of lifetime 6

  # Guards against TWICE: the lease of a start that has reached the next
  # lifetime ends by the clock of the former one, and so may be the longest.
  Scenario Outline: A start has reached the next lifetime, which falls silent
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When lifetime 6 answers the link to lifetime 5 with run 1
    And 60 s after the scheduler began lifetime 6 <state>
    Then run 1 of the task is not lost within 10 s
    And run 1 of the task is lost within 11 s

    Examples:
      | state                    |
      | has answered no poll yet |
      | is silent                |

  # Guards against TWICE: a poll for a lifetime that had ended acknowledged, by
  # that one's numbers, ends that the next lifetime had not told anybody yet.
  Scenario: A poll for a lifetime that has ended reaches the next one
    Given 3 job nodes with 1 VMs in "trails" and 0 in standby
    When 20 tasks have ended on the runner
    And it starts again under its id while jobs of 0.1 s start on it
    Then all jobs are completed within 20 s
    And no rule is broken

  # Guards against TWICE: a start reaches the next lifetime, whose clock begins
  # anew, and that one falls silent before any poll of it was answered.
  Scenario: A start reaches a next lifetime that is never heard of
    Given 3 job nodes with 3 VMs in "trails" and 0 in standby
    When its runner starts again, begins tasks of 8 s, and is cut off for 12 s
    Then all jobs are completed within 40 s
    And no rule is broken

  # Guards against LOST: a task that a row that was read again has on a runner
  # that was found gone before stayed there for good.
  Scenario: A task on a runner that was found gone before it restarted is lost
    Given a scheduler that knows "i-1" of lifetime 5
    When "i-1" is found gone in lifetime 5
    And a row names a task on "i-1" of lifetime 5
    And lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is lost

  # Guards against TWICE: leases that were granted to one lifetime by the link
  # to another one are not counted where they are waited for.
  Scenario: A link that another lifetime answers grants it no leases
    Given a scheduler whose link to "i-1" of lifetime 1 gets answers
    When lifetime 2 answers its polls for 0.2 s
    Then it has sent 1 poll, which extends no lease

  # Guards against TWICE, with real nodes: what runs was started again as the
  # registry named another lifetime than the one that runs.
  Scenario Outline: The registry is behind, and <event>
    Given 3 job nodes with 4 VMs in "trails" and 0 in standby
    When job "a1" of 1 long-lived tasks is submitted
    And job "a1" runs
    And the registry names lifetimes of its runners that are <off> s off
    And the fault is that <event>
    And the registry is right again 6 s later
    Then no rule is broken
    And each task of job "a1" was started once
    And job "a1" keeps the same runs for 1 s

    Examples:
      | off | event                   |
      | -9  | nothing fails           |
      | 9   | nothing fails           |
      | -9  | the scheduler is killed |
      | 9   | the scheduler is killed |

  # Guards against TWICE, with real nodes: starts that reached the next
  # lifetime were taken for lost with the former one.
  Scenario: A runner starts again under its id while tasks start on it
    Given 3 job nodes with 4 VMs in "trails" and 0 in standby
    When a runner starts again under its id while small jobs start on it
    Then all jobs are completed within 20 s
    And no rule is broken
