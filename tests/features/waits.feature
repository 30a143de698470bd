Feature: How long a new scheduler waits for runners that it can't reach

  Scenario: After a lease that ran out, for all that its holder may have granted
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node takes the lease
    Then the task counts as lost after 9.9 s

  Scenario: After a lease that was given back, for the last grant only
    Given a holder of the lease that reached all runners and released it
    And a task on a runner that does not answer
    When another node takes the lease
    Then the task counts as lost after 3.9 s

  # Guards against LOST: the wait was counted from the takeover, which an outage
  # of the table had delayed, and not from when the holder had last renewed.
  Scenario: After an outage, for what is left of the holder's last grants
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node has read the lease's row before the table is away for 4 s
    And that node takes the lease
    Then the task counts as lost 11.5 s after that node first read the row

  # Guards against repeated work: ends of runs that a runner could still tell.
  Scenario Outline: A runner has time to answer, though all leases have run out
    Given a holder of the lease that was killed
    And a task on a runner that <state>
    When another node has read the lease's row before the table is away for 12 s
    And that node takes the lease
    Then the task counts as lost after 2.5 s

    Examples:
      | state                  |
      | does not answer        |
      | is not in the registry |

  # Guards against LOST: the next process of a killed holder, and a node that
  # this process answers, waited as if the former process lived on.
  Scenario Outline: After a killed holder that <next>, for its last grant only
    Given a holder that renewed the lease for 12 s and was killed
    And a task on a runner that does not answer
    When <next> and takes the lease
    Then the task counts as lost after <seconds> s

    Examples:
      | next                                             | seconds |
      | its node starts again                            | 3.9     |
      | its node starts again, is without table for 2 s  | 2.5     |
      | another node is answered by its next process     | 3.9     |

  # Guards against LOST: the next holder takes over before the killed one's next
  # process has begun, and never learned of it.
  Scenario: A killed holder's node starts again after the takeover
    Given a holder that renewed the lease for 12 s and was killed
    And a task on a runner that does not answer
    When another node takes the lease as its connections are refused
    And 1 s later the killed holder's next process answers
    Then the task counts as lost after 3.9 s

  # Guards against TWICE: what answers at the address of a holder that may live,
  # or refuses there, is no proof that it has stopped.
  Scenario Outline: A holder may live, though <answer>
    Given a holder that renewed the lease for 12 s and was killed
    And a task on a runner that does not answer
    When another node takes the lease as <answer>
    Then the task counts as lost after 10.9 s

    Examples:
      | answer                                      |
      | its connections are refused                 |
      | a node of another name answers              |
      | the holder itself answers that it lost it   |

  # Guards against LOST: a node takes the lease over, but the table's answer is
  # lost, and so are the waits that the holder before it left. The next one
  # waited as if that node had granted leases, and might yet.
  Scenario Outline: After a node that never learned that it had the lease
    Given a holder that renewed the lease for 12 s and released it
    And a task on a runner that does not answer
    When another node takes the lease and never learns of it
    And a third node takes the lease <when> that node has answered it
    Then the task counts as lost after 3.9 s

    Examples:
      | when   |
      | once   |
      | before |

  # Guards against TWICE: the holder before such a node may live and grant.
  Scenario: Before a node that never learned that it had the lease, one may live
    Given a holder that renewed the lease for 12 s and was killed
    And a task on a runner that does not answer
    When another node takes the lease and never learns of it
    And a third node takes the lease once that node has answered it
    Then the task counts as lost after 9.3 s

  # Guards against TWICE: the table's answer arrives after the node has told
  # another that it does not hold the lease.
  Scenario: A node that has told another that it has no lease does not hold it
    Given a holder that renewed the lease for 12 s and released it
    When another node takes the lease, and is asked for it before it learns so
    Then that node does not hold the lease
    And it can take the lease over again

  # Guards against a scheduler that is never replaced: a question with an epoch
  # of no lease kept the node that was asked from taking it.
  Scenario: A question for an epoch that no node has tried binds nobody
    Given a holder that renewed the lease for 12 s and released it
    When another node is asked whether it holds epoch 1000000
    Then it can take the lease over again

  # Guards against TWICE: the holder before a killed one may live and grant.
  Scenario: After a killed holder that had just taken over, for both
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node takes the lease and is killed 3 s later
    And its node starts again and takes the lease
    Then the task counts as lost after 6.9 s

  Scenario: A wait goes on over holders that leave one after another
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node takes the lease
    And it releases the lease after 3 s
    And another node takes the lease
    And it releases the lease after 3 s
    And another node takes the lease
    Then the task counts as lost after 3.9 s

  # Guards against repeated work: a holder that left at once had not reached any
  # runner, and left waits that were over.
  Scenario: A runner has time to answer the next holder, too
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node has read the lease's row before the table is away for 12 s
    And that node takes the lease
    And it releases the lease after 0.3 s
    And another node takes the lease
    Then the task counts as lost after 2.2 s

  # Guards against LOST: runs that began on a next lifetime are waited for as
  # starts are that may have reached it from the former one.
  Scenario: A runner has restarted, answers and goes silent
    Given a holder of the lease that reached all runners and released it
    And a task on a runner that does not answer
    When another node takes the lease
    And the runner is found to have restarted just now
    And the runner answers once and goes silent
    Then the task has counted as lost within 6 s

  Scenario: A wait begins anew after a holder that had not read the rows
    Given a holder of the lease that was killed
    And a task on a runner that does not answer
    When another node takes the lease
    And it releases the lease before it has read the rows
    And another node takes the lease
    Then the task counts as lost after 11.5 s

  Scenario: A runner that went silent is waited for until its leases lapse
    Given a holder of the lease that reached all runners and released it
    And a task on a runner that does not answer
    When another node takes the lease
    And the runner answers once and goes silent
    And it releases the lease after 3 s
    And another node takes the lease
    Then the task counts as lost after 0.9 s

  # Guards against TWICE: the next holder was told to wait less than the lease
  # of a start that had reached the next lifetime of its runner.
  Scenario: A runner that has restarted is waited for by its former clock, too
    Given a holder of the lease that reached all runners and released it
    And a task on a runner that does not answer
    When another node takes the lease
    And the runner answers once and goes silent
    And the runner is found to have restarted just now
    And it releases the lease after 3 s
    And another node takes the lease
    Then the task counts as lost after 7.3 s

  Scenario: What is left in the row by another writer is not believed
    Given a lease that was released with waits that are not numbers
    And a task on a runner that does not answer
    When another node takes the lease
    Then the task counts as lost after 11.5 s

  # Guards against TWICE: the estimate of a slow clock runs ahead between its
  # answers, so that a grant lasted longer than the next holder waited.
  Scenario: The last grant is waited for in full on a slow clock
    Given a runner whose clock is 2% slow and was read 1.59 s ago
    When it is granted a lease
    Then the lease ends within the time for which the next holder waits

  Scenario: A node that gave the lease back grants no leases of runs
    Given a link to a runner under a lease that is released
    When the runner is polled once more
    Then no lease of runs was granted
