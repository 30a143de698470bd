Feature: A runner that refuses connections may live, and its runs with it

  # Guards against TWICE: a refused connection was taken for the end of the
  # runner's process, and what it ran was started a second time at once.
  Scenario Outline: Runs go on behind an address that refuses for <seconds> s
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 6 jobs with tasks of 3 s run
    And 2 of their runners refuse connections for <seconds> s
    Then all the jobs are completed within 40 s
    And no rule is broken

    Examples:
      | seconds |
      | 1       |
      | 3       |
      | 7       |

  # The same failure where the scheduler that saw the refusal is lost with it.
  Scenario: Runs go on behind an address that refuses during a takeover
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 6 jobs with tasks of 3 s run
    And 2 of their runners refuse connections for 5 s
    And the scheduler is killed
    Then all the jobs are completed within 40 s
    And no rule is broken

  # The same failure where something else fails at the same time.
  Scenario Outline: Runs go on behind an address that refuses while <fault>
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 6 jobs with tasks of 3 s run
    And 2 of their runners refuse connections for 3 s
    And the fault is that <fault>
    Then all the jobs are completed within 40 s
    And no rule is broken

    Examples:
      | fault                                   |
      | the scheduler is frozen for 4 s         |
      | the store is down for 3 s               |
      | the store loses answers of transactions |

  # The same failure in tasks that are placed or copied in other ways.
  Scenario Outline: Runs of <kind> tasks go on behind an address that refuses
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When 4 jobs with <kind> tasks of 3 s run
    And 2 of their runners refuse connections for 3 s
    Then all the jobs are completed within 40 s
    And no rule is broken

    Examples:
      | kind        |
      | gang        |
      | speculative |

  Scenario: A long-lived task goes on behind an address that refuses
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When job "a1" of 3 long-lived tasks is submitted
    And job "a1" runs
    And 1 of their runners refuse connections for 3 s
    Then job "a1" keeps the same runs for 5 s
    And no rule is broken

  # Guards against TWICE: a stop that a runner refused for its health counted
  # as carried out, so that a start before it came late beside the next run.
  Scenario: A stop that an unhealthy runner did not carry out is sent again
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby
    When the fault is that runners start runs late, and are too unhealthy to stop any
    And 6 jobs with tasks of 3 s are submitted
    Then all the jobs are completed within 60 s
    And no rule is broken

  # Guards against LOST: a start that never comes, whose stops a runner refuses
  # for its health while it answers polls, is waited for without end.
  Scenario: A runner loses starts, and is too unhealthy for any stop
    Given 3 job nodes with 2 VMs in "trails" and 0 in standby
    When one runner loses starts and refuses stops, and 2 jobs are submitted
    Then all the jobs are completed within 15 s
    And no rule is broken

  # Guards against TWICE: whatever is only a reason to start nothing more on a
  # runner was taken for the end of its runs.
  Scenario Outline: What proves that a runner that refuses connections has ended
    Given a scheduler with a task of run 1 on runner "i-1"
    And its VM was listed with it
    When runner "i-1" begins to refuse connections
    Then runner "i-1" gets no starts
    And the list of VMs is asked for
    And run 1 is still held to be there
    When <listed>
    Then run 1 is <held>

    Examples:
      | listed                                                | held                              |
      | its VM is listed as up with it                        | still held to be there            |
      | its VM is not listed                                  | still held to be there            |
      | its VM is listed as up without a runner               | still held to be there            |
      | its VM is listed in a state that is not known         | still held to be there            |
      | its VM is listed as down, by a list that may be from before | still held to be there      |
      | its VM is listed as down while the runner answers     | still held to be there            |
      | its VM is listed as down                              | lost for "runner crashed"         |
      | its VM is listed with another runner                  | lost for "runner crashed"         |
      | its VM is listed as moving                            | lost for "VM taken away"          |
      | its VM is listed as in maintenance                    | lost for "VM taken away"          |
      | the leases of its runs have expired                   | lost for "lease ran out"          |

  # Guards against giving up an innocent task whose runners lose power one
  # after another: each was counted as soon as its VM was listed as down.
  Scenario Outline: What proves that a silent runner has ended
    Given a scheduler with a task of run 1 on runner "i-1"
    And its VM was listed with it
    When runner "i-1" is silent for <seconds> s
    And <listed>
    Then run 1 is <held>

    Examples:
      | seconds | listed                               | held                      |
      | 3       | its VM is listed as down             | still held to be there    |
      | 3       | its VM is listed as moving           | still held to be there    |
      | 2       | its VM is listed with another runner | still held to be there    |
      | 3       | its VM is listed with another runner | lost for "runner crashed" |

  Scenario: A crash that shows after the leases have expired is held against it
    Given a scheduler with a task of run 1 on runner "i-1"
    And its VM was listed with it
    When runner "i-1" begins to refuse connections
    And the leases of its runs have expired
    Then no crash is held against the task
    When its VM is listed with another runner
    Then 1 crash is held against the task

  Scenario: A runner that refuses connections is granted no lease
    Given a link to a runner that answers its first poll with a run
    When a connection to it is refused
    Then no run may get a lease there, and its leases have not run out
    When it answers a poll
    Then a run may get a lease there

  # Guards against BUDGET: a crash of a runner that the list of VMs had not
  # shown on its VM yet was proven only seconds later.
  Scenario: The registry names the VM of a runner that has just come
    Given a scheduler with a task of run 1 on runner "i-1"
    And the registry names its VM
    When runner "i-1" begins to refuse connections
    And its VM is listed as down, by a list that may be from before
    Then run 1 is still held to be there
    And the list of VMs is asked for again
    When its VM is listed as down
    Then run 1 is lost for "runner crashed"

  # Guards against a paused process that acts on an expired permission: the
  # lease that it granted counted from after the pause.
  Scenario: A pause while a lease is granted does not lengthen it
    Given a link to a runner that answers its first poll with a run
    When the scheduler is paused for 30 s while it grants a lease there
    Then the lease ends as if it had not been paused

  # Guards against TWICE: a refused start was taken to show that the start that
  # had been sent before it was not executed either.
  Scenario Outline: What a start whose connection is refused shows of it
    Given a link to a runner that answers its first poll with no runs
    When a start ends with <answers>
    Then it is reported as <result>

    Examples:
      | answers                            | result   |
      | a refused connection               | not sent |
      | no answer and a refused connection | unknown  |

  Scenario Outline: What a stop that is not answered as done shows of it
    Given a link to a runner that answers its first poll with a run
    When a stop ends with <answer>
    Then it is reported as <result>
    And the next order is sent <when>

    Examples:
      | answer                        | result  | when          |
      | a refused connection          | unknown | after a pause |
      | a runner's bad health         | unknown | after a pause |
      | no answer                     | unknown | at once       |
      | a number that is out of date  | refused | at once       |
