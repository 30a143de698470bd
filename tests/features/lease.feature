Feature: The more capable nodes hold the scheduler's lease

  Scenario: A less capable node leaves a lapsed lease to the others
    Given a lease that a node of 2 cores held and stopped renewing
    When nodes of 0.2 and 2 cores poll it
    Then the node of 2 cores takes it after 1.6 s

  Scenario: A less capable node takes a lease that no other takes
    Given a lease that a node of 2 cores held and stopped renewing
    When nodes of 0.2 and 0.2 cores poll it
    Then a node of 0.2 cores takes it after 2.5 s

  Scenario: Nodes that are all alike give way to nobody
    Given a lease that a node of 0.2 cores held and stopped renewing
    When nodes of 0.2 and 0.2 cores poll it
    Then a node of 0.2 cores takes it after 1.6 s

  Scenario: The first lease of all is left to a node of the usual size
    Given a lease that no node has held
    When nodes of 0.2 and 1 cores poll it
    Then the node of 1 cores takes it after 0 s

  Scenario: A lease that was given back is left to a node of the usual size
    Given a lease that a node of 2 cores held and released
    When nodes of 0.2 and 2 cores poll it
    Then the node of 2 cores takes it after 0 s

  Scenario: After an outage of the table its holder goes on
    Given a lease that a node of 2 cores holds and renews
    When the table is unavailable for 4 s, and the holder renews 1.2 s after that
    Then no other node has taken the lease, and the holder still holds it

  Scenario: After an outage of the table a holder that is gone is replaced
    Given a lease that a node of 2 cores held and stopped renewing
    When the table is unavailable for 4 s, and a node of 2 cores polls it
    Then that node takes the lease 1.3 s after the table is available again

  # Guards against LOST: reads of the more capable nodes hung when the table came
  # back, so a node with a slow link took the lease, and took 6 s to begin.
  Scenario: After an outage of the table a less capable node leaves the lease to others
    Given a lease that a node of 2 cores held and stopped renewing
    When the table is unavailable for 4 s, and a node of 0.2 cores polls it
    Then that node takes the lease 4.1 s after the table is available again

  Scenario Outline: A holder that is asked <how> is replaced after <seconds> s
    Given a lease that a node of 2 cores held and stopped renewing
    When a node of 2 cores polls it and the holder <how>
    Then that node takes the lease <seconds> s after the last renewal
    And the time that was left counts for the hand-over

    Examples:
      | how                           | seconds |
      | is no longer running          | 0.6     |
      | has failed to renew twice     | 0.6     |
      | was started again             | 0.6     |
      | does not answer               | 1.6     |
      | says that it holds the lease  | 1.6     |

  # Guards against TWICE: a holder that was cut off, and whose connections were
  # refused, kept a run alive after the next one had started its task again.
  Scenario Outline: A holder that refuses connections may live on, as the next <how>
    Given a lease that a node of 2 cores holds and renews
    And a run that its holder keeps alive on a runner that only it reaches
    When the holder is cut off and refuses connections, and the next <how>
    Then the run is given up soon after its lease has ended, and not before

    Examples:
      | how                                 |
      | takes over                          |
      | gets no answer as it takes over     |
      | leaves before it has read the rows  |
      | is started again                    |

  # Guards against TWICE: the next holder had read the rows before the old one
  # recorded the run, and knew of no runner when it left; and the holder after
  # that one told its own next process that nobody before it may live.
  Scenario Outline: A run is waited for though the next <how>
    Given a lease that a node of 2 cores holds and renews
    And a run that its holder keeps alive on a runner that only it reaches
    When the holder is cut off and refuses connections, and the next <how>
    Then the run is given up after its lease has ended

    Examples:
      | how                                               |
      | leaves before it has read the registry            |
      | leaves so, and the one after it is started again  |

  # Guards against TWICE: a holder that was paused between its look at the lease
  # and the grant granted a lease after the time that the next one relies on.
  Scenario Outline: A holder that is paused as it grants its last lease, as the next <how>
    Given a lease that a node of 2 cores holds and renews
    And a run that its holder keeps alive on a runner that only it reaches
    And the holder is paused for 1.5 s as it grants its last lease
    When the holder is cut off and refuses connections, and the next <how>
    Then the run is given up after its lease has ended

    Examples:
      | how                                 |
      | takes over                          |
      | gets no answer as it takes over     |
      | is started again                    |

  # Guards against TWICE: the next holder had read the rows before the old one
  # recorded the run, and left no wait for its runner.
  Scenario: A run is waited for though the next holder never learned of it
    Given a lease that a node of 2 cores holds and renews
    And a run that its holder keeps alive on a runner that only it reaches
    When the holder is cut off and refuses connections, and the next leaves without knowing of the run
    Then the run is given up soon after its lease has ended, and not before

  # Guards against ONE: VM commands came before the hand-over time had passed
  # since a holder that refuses connections was last known to be there.
  Scenario Outline: The hand-over time counts in full, as the next <how>
    Given a lease that a node of 2 cores holds and renews
    And a run that its holder keeps alive on a runner that only it reaches
    When the holder is cut off and refuses connections, and the next <how>
    Then only the time since the last renewal counts for the hand-over

    Examples:
      | how                              |
      | takes over                       |
      | gets no answer as it takes over  |
      | is started again                 |

  # Guards against ONE: a process of the holder's name at another address took
  # the row for its own, as if the holder had ended.
  Scenario Outline: A row in a node's name from <address> address is taken after <seconds> s
    Given a lease that a node of 2 cores held and stopped renewing
    When a process of the same name at <address> address polls it
    Then it takes the lease after <seconds> s

    Examples:
      | address  | seconds |
      | its own  | 0       |
      | another  | 1.6     |

  # Guards against ONE: two processes of one name held the lease under one epoch.
  Scenario: A conflict with a process of the same name is lost
    Given a lease that a node of 2 cores held and stopped renewing
    When two processes of another name at two addresses take it at once
    Then only one of them holds it

  Scenario: A less capable node leaves a holder that is gone to the others
    Given a lease that a node of 2 cores held and stopped renewing
    When a node of 0.2 cores polls it and the holder is no longer running
    Then that node takes the lease 1.5 s after the last renewal

  Scenario: A holder that gives its lease up orders nothing more
    Given a lease that a node of 2 cores holds and renews
    When two renewals fail
    Then the holder keeps the lease until it is asked, and tells its waits
    And it grants no lease from then on

  # Guards against LOST: a node that had given its lease up, or whose scheduler
  # had failed, renewed it on and on, and no node scheduled.
  Scenario: A renewal in progress does not bring back a lease that was given up
    Given a lease that a node of 2 cores holds and renews
    When two renewals fail
    And the holder is asked during a third renewal, which succeeds
    Then the holder does not hold the lease
    And it grants no lease from then on

  # Guards against LOST, as above.
  Scenario: A scheduler that fails during a renewal begins again
    Given a lease that no node has held
    When a node takes it, and its scheduler fails while it renews the lease
    Then its scheduler begins again

  Scenario: A holder is not given up for one renewal without an answer
    Given a lease that a node of 2 cores holds and renews
    When one renewal fails
    Then the holder says that it holds the lease, and holds it

  Scenario: A silent holder is asked once for a row
    Given a lease that a node of 2 cores held and stopped renewing
    When a node of 2 cores polls it and the holder does not answer
    Then the holder was asked once

  Scenario: One lost answer does not put a takeover off
    Given a lease that a node of 2 cores held and stopped renewing
    When a node of 2 cores polls it and its third read fails
    Then the node of 2 cores takes it after 1.6 s

  Scenario: A lease is given back also after a renewal without an answer
    Given a lease that a node of 2 cores holds and renews
    When a renewal is done but its answer is lost
    And its holder releases it
    Then another node can take it at once

  Scenario: A lease that another node has taken is not given back
    Given a lease that a node of 2 cores held and stopped renewing
    When another node has taken it
    And its holder releases it
    Then the other node still holds it

  Scenario: A slow link makes a node less capable, however fast it is
    Then a node with 0.7 of each of 3 cores and a link of 200 Mbit/s has capability 2.1
    And a node with 0.7 of each of 3 cores and a link of 10 Mbit/s has capability 0.2

  # Guards against a malformed row that ends the thread which takes the lease.
  Scenario: The address of a lease's holder has characters of other scripts
    When the holder at "h\u0142st:7060" is asked for its state
    Then it counts as silent
