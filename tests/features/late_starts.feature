Feature: Starts without an answer that reach a runner's next lifetime

  # Guards against TWICE: a report of the next lifetime without the run was
  # taken for the run's end. But an earlier attempt of its start, which had got
  # no answer, began the run there later.
  Scenario Outline: A start was answered at its second attempt, and its runner restarts
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer <age> s ago
    When lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 6
    When that stop is answered
    And lifetime 6 answers the link to it with nothing
    And lifetime 6 answers the link to it with nothing
    Then run 1 of the task is lost

    Examples:
      | age |
      | 1   |
      | 11  |

  # Guards against TWICE: the refusal of a late start ends with the lifetime
  # that was told to refuse it.
  Scenario: The runner restarts twice
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When lifetime 6 answers the link to lifetime 5 with nothing
    And that stop is answered
    And lifetime 7 answers the link to lifetime 6 with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 7

  # Guards against TWICE: the runner listed the run, which came late to it, and
  # started again; its start may come once more.
  Scenario: The next lifetime has the run, and ends as well
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When lifetime 6 answers the link to lifetime 5 with run 1
    And lifetime 6 answers the link to it with run 1
    And lifetime 7 answers the link to lifetime 6 with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 7

  # Guards against LOST: a start that is too old to come late was waited for.
  Scenario: The attempt without an answer was sent long ago
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 30 s ago
    When lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is lost

  # Guards against TWICE: a run whose task was done or started elsewhere began
  # once more in the next lifetime, which knew of no earlier run.
  Scenario: The run has ended, and its runner restarts
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When lifetime 5 reports the end of run 1 as done
    And lifetime 6 answers the link to lifetime 5 with nothing
    Then "i-1" is ordered to stop run 1 in lifetime 6

  # Guards against TWICE: a late start reached a next lifetime that was not
  # polled yet, as its entry had lapsed, or as a long poll of the former one was
  # waited for.
  Scenario Outline: A next lifetime is polled soon while a start may come late
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer <age> s ago
    When lifetime 5 reports the end of run 1 as done
    Then the polls of "i-1" are <often>
    When the registry has no entry of "i-1"
    Then "i-1" is <kept>

    Examples:
      | age | often     | kept             |
      | 1   | shortened | still polled     |
      | 30  | as usual  | polled no longer |

  # Guards against TWICE: a VM that is down has lost what ran there, but its
  # runner may start again under its id, and a late start reaches that one.
  Scenario Outline: The VM of a runner with an unanswered start is <state>
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When the VM of "i-1" is shown to be <state>
    Then run 1 of the task is <lost>

    Examples:
      | state               | lost     |
      | down                | not lost |
      | up with another one | lost     |

  Scenario: The runner of a VM that was down starts again
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When the VM of "i-1" is shown to be down
    And lifetime 6 answers the link to lifetime 5 with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 6

  # Guards against LOST: a run was kept whose start was dropped with the link,
  # and no order about it was ever answered.
  Scenario: The runner of a VM that was listed as down lives
    Given a scheduler with an unanswered start of run 1 on "i-1" of lifetime 5
    When the VM of "i-1" is shown to be down
    Then run 1 of the task is not lost
    When lifetime 5 answers the link to it with nothing
    Then run 1 of the task is not lost
    And "i-1" is ordered to stop run 1 in lifetime 5
    When that stop is answered
    And lifetime 5 answers the link to it with nothing
    And lifetime 5 answers the link to it with nothing
    Then run 1 of the task is lost

  Scenario: The runner of a VM that was down never starts again
    Given a scheduler with run 1 on "i-1" of lifetime 5
    And the first attempt of its start got no answer 1 s ago
    When the VM of "i-1" is shown to be down
    And nothing is heard of it for 60 s
    Then run 1 of the task is lost

  # Guards against TWICE: a poll for the former lifetime came late, after the
  # next one had answered, and extended all leases there by the longest one.
  Scenario Outline: A poll for the former lifetime got no answer
    Given a scheduler with run 1 on "i-1" of lifetime 5
    When a poll that extends leases there <outcome>
    And lifetime 6 answers the link to lifetime 5 with run 1
    And lifetime 6 is silent from then on
    Then run 1 of the task is not lost before <kept> s
    And run 1 of the task is lost by <lost> s

    Examples:
      | outcome        | kept | lost |
      | is answered    | 10.2 | 10.4 |
      | gets no answer | 22.2 | 22.5 |

  Scenario Outline: A link tells when a poll that extends leases may come late
    Given a link to a runner that answers its first poll with a run
    When its next poll <ends>
    Then the link tells of <polls> that may come late

    Examples:
      | ends                      | polls   |
      | is answered               | no poll |
      | is on its way             | a poll  |
      | gets no answer            | a poll  |
      | gets a refused connection | no poll |
