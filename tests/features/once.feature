Feature: Requests run at most once, and "not run" is true

  Scenario Outline: A refusal that says "not run" is true when runners <fault>
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And every runner will "<fault>"
    When 40 posts without a key are sent at once
    Then no request that was refused as not run is in the run log
    And no request is in the run log twice
    And <share> of the replies say ran "<ran>"

    Examples:
      | fault            | share | ran     |
      | refuse           | all   | no      |
      | crash_before_run | most  | no      |
      | crash_after_run  | some  | unknown |

  # Guards against a "not run" that a refused connection seems to prove: the one
  # VM that is left runs look-ups and gives no answer, and the others refuse.
  Scenario: A refused connection says nothing of an earlier attempt
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And every runner will "crash_after_run"
    When all runners but one are killed
    And 40 look-ups of 0.3 s are sent at once
    Then no request that was refused as not run is in the run log
    And some of the replies say ran "unknown"

  Scenario: With no runner left a request is refused at once
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When all runners are killed
    And 40 posts without a key are sent at once
    Then no request that was refused as not run is in the run log
    And all of the replies say ran "no"
    And each reply has a Retry-After header

  Scenario: The same key at all nodes together runs once
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When 25 keys are each posted 6 times at once across all nodes
    Then each key ran exactly once
    And each key was acknowledged at least once

  Scenario: A repeat gets the kept answer, long ones too
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When a key is posted at two nodes with an answer of 300 bytes
    And a key is posted at two nodes with an answer of 200000 bytes
    Then both answers of each key are the same and it ran once

  Scenario: A key with another body is refused
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When a key is posted with two different bodies
    Then the second post is refused with 422 as not run

  Scenario Outline: <signal> of the node in mid-request, the caller repeats elsewhere
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When 30 keyed posts are sent to "n0", which gets <signal> while they run
    And each is repeated at "n1" until its outcome is final
    Then no key ran twice
    And each acknowledged key ran

    Examples:
      | signal  |
      | SIGKILL |
      | SIGSTOP |

  Scenario: Runners die after the run, the caller repeats
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And every runner will "crash_after_run"
    When 10 keyed posts are sent to "n0" and the answers lost
    And each is repeated at "n1" until its outcome is final
    Then no key ran twice
    And each acknowledged key ran

  Scenario: With the table down keyed posts are refused at once, look-ups go on
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    When the platform is down for 6 s while keyed posts and look-ups are sent
    Then every keyed post was refused as not run in under 1 s
    And every look-up was served

  Scenario Outline: The table <fault> while keyed posts are sent
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And the platform has fault "<fault>" at <amount>
    When 40 keyed posts are sent to "n0" and the answers kept
    And the platform's faults are cleared
    And each is repeated at "n1" until its outcome is final
    Then no key ran twice
    And each acknowledged key ran

    Examples:
      | fault        | amount |
      | lost_answers | 12     |
      | late_commits | 12     |
      | table_slow   | 1.2    |

  Scenario: Lost answers of the table cost no keyed post
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And the platform has fault "lost_answers" at 8
    When 20 keyed posts are sent to "n0" and the answers kept
    Then each key was served at its first attempt
    And no key ran twice

  Scenario: Expired claims are deleted, kept ones are not
    Given 3 nodes and 3 VMs in pool "trails" with budget 2
    And service "passes" on pool "trails"
    When 10 keyed posts are sent to "n0" and the answers kept
    And new claims expire after 2 s
    And 10 more keyed posts are sent to "n0"
    Then only the first 10 claims are left in the table within 30 s

  Scenario: A request refused for a late claim can be run by a repeat
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And the platform has fault "late_commits" at 100
    When 5 keyed posts are sent to "n0" and the answers kept
    And the platform's faults are cleared
    And each is repeated at "n1" until its outcome is final
    Then each key ran exactly once

  # Guards against a look-up that crashes each runner that gets it and was
  # passed on from runner to runner.
  Scenario: A look-up that crashes its runners is not passed on without end
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "passes" on pool "trails"
    And every runner will "crash_after_run"
    When a look-up is sent to "n0"
    Then the look-up ran at 2 runners, and is refused as unknown without a Retry-After
    And the refusal says that runners closed the connection under it
