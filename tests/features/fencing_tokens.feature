Feature: A runner refuses calls that were sent before an answered one

  # Guards against TWICE, with real nodes: the first attempt of a start got no
  # answer, and was executed by the next lifetime of its runner once the task
  # was done. The nodes' memory of the attempt had ended with the runner's
  # entry, its refusal got no answer, or it was refused too late.
  Scenario Outline: A start is executed by a lifetime that <how>
    Given 3 job nodes with 8 VMs in "trails" and 0 in standby
    And a task is done, of whose start the first attempt got no answer
    When its runner restarts, and the lifetime after it <how>
    And that lifetime executes the first attempt
    Then the task has run once
    And no rule is broken

    Examples:
      | how                                    |
      | is up after its entry has lapsed       |
      | leaves the first order without answer  |
      | answers an order before it is polled   |

  # Guards against TWICE: a call that may be executed yet bears a token that the
  # runner doesn't refuse.
  Scenario Outline: A runner is sent a <call>, which <ends>
    Given a link to a runner that has answered a poll
    When it is sent a <call>, which <ends>
    Then the next call to it bears <token>

    Examples:
      | call  | ends                      | token          |
      | start | gets no answer            | a higher token |
      | stop  | gets no answer            | a higher token |
      | pace  | gets no answer            | a higher token |
      | poll  | gets no answer            | a higher token |
      | start | is answered by status 500 | a higher token |
      | poll  | gets an unreadable answer | a higher token |
      | start | is dropped with the link  | a higher token |
      | poll  | is dropped with the link  | a higher token |
      | start | is answered               | the same token |
      | stop  | is answered by status 503 | the same token |
      | start | is refused as old         | the same token |
      | poll  | finds nobody listening    | the same token |

  # Guards against a holder that gives the lease up for a late call of its own,
  # and against one that goes on after another has taken over.
  Scenario Outline: A <call> is overtaken by a later call
    Given a link to a runner that has answered a poll
    When a <call> is on its way, and a later call bears a higher token
    And the runner refuses the token of that <call>
    Then the lease is held, and the <call> <outcome>

    Examples:
      | call  | outcome                              |
      | start | is sent again with the present token |
      | stop  | is sent again with the present token |
      | poll  | is sent again with the present token |
      | pace  | is given up                          |

  Scenario Outline: A runner has seen the token of another holder
    Given a link to a runner that has answered a poll
    When a <call> is on its way, and <event>
    And the runner refuses the token of that <call>
    And the runner refuses the token of each <call> after it
    Then the lease is lost after <count> refused calls

    Examples:
      | call  | event                             | count |
      | start | nothing happens                   | 1     |
      | poll  | nothing happens                   | 1     |
      | start | a later call bears a higher token | 2     |
      | stop  | a later call bears a higher token | 2     |
      | poll  | a later call bears a higher token | 2     |

  # Guards against TWICE: what is known of unanswered calls ends with the link.
  Scenario: A runner comes back after its last link was closed
    Given a link to a runner that has answered a poll
    When it is sent a start, which gets no answer
    And the runner is forgotten, and connected to anew
    Then the next call to it bears a higher token

  # Guards against a holder that uses a token of the next one.
  Scenario: A holder has used all of its tokens
    Given a link to a runner with a single token left
    When it is sent a start, which gets no answer
    Then the lease is lost
    And the next call to it bears the same token

  # Guards against a scheduler whose calls every runner refuses, where nodes of
  # two versions run: an earlier one's only token is its epoch, which is one
  # more than the last holder's.
  Scenario Outline: The lease goes from <former> to <next>
    Given a node of <former> holds the lease
    When a node of <next> takes it over
    Then each token of the new holder is above those of the last one

    Examples:
      | former               | next                 |
      | the earlier version  | the present version  |
      | the present version  | the earlier version  |
      | the present version  | the present version  |

  # Guards against the same with real nodes, in a rolling update.
  Scenario: Nodes of two versions schedule in turn
    Given 2 job nodes with 8 VMs in "trails" and 0 in standby
    And one of them is of the earlier version
    When jobs run while the scheduler is stopped and killed in turn, 4 times
    Then each of the nodes has scheduled at least twice
    And all jobs are completed within 40 s
    And no rule is broken
