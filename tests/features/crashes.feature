Feature: A task that crashes its runners does not take others with it

  Background:
    Given 3 job nodes with 6 VMs in "trails" and 1 in standby

  # Guards against BUDGET: a task that crashes each runner that starts it was
  # started again without end, as nobody counted the crashes under it.
  Scenario: A task that crashes its runners is given up, and all others finish
    When 30 jobs of two steps are submitted, one of them with a deadly task
    Then the job with the deadly task is failed within 20 s
    And at most 3 runners crashed under it
    And all other jobs are completed within 30 s
    And no rule is broken

  # Guards against BUDGET: crashes under starts that got no answer were not
  # counted, so that a task that crashes its runner at once was never given up.
  Scenario Outline: A task that crashes its runner <when> is given up
    Given deadly tasks crash their runner after <seconds> s
    When 10 jobs of two steps are submitted, and one with a deadly lone task
    Then the job with the deadly task is failed within 20 s
    And all other jobs are completed within 30 s
    And no rule is broken

    Examples:
      | when                        | seconds |
      | before it answers the start | 0       |
      | after a while               | 0.2     |

  # Guards against BUDGET: a crash of a long-lived task whose start had got no
  # answer was never counted. Guards against AVAIL: the whole job was given up
  # with the task, and its sound tasks were stopped.
  Scenario Outline: A long-lived task that crashes its runner <when> is held back
    Given deadly tasks crash their runner after <seconds> s
    When 10 jobs of two steps are submitted, and one with a deadly long-lived task
    Then all other jobs are completed within 30 s
    And at most 5 runners crashed under it in the first 30 s
    And its job is running, and its other tasks were not stopped
    And callers and metrics are told that runners crashed under it
    And no rule is broken

    Examples:
      | when                        | seconds |
      | before it answers the start | 0       |
      | at once                     | 0.01    |
      | after a while               | 0.2     |

  # The same failures if the address of a VM that crashed refuses nothing.
  Scenario: A long-lived task whose runners lose power under it is held back
    Given VMs that crash lose power, and are back after 7 s
    When 10 jobs of two steps are submitted, and one with a deadly long-lived task
    Then all other jobs are completed within 40 s
    And at most 5 runners crashed under it in the first 60 s
    And its job is running, and its other tasks were not stopped
    And callers and metrics are told that runners crashed under it
    And no rule is broken

  # Guards against AVAIL and LOST: a long-lived job was given up and its sound
  # tasks stopped, as two runners had crashed under one of its tasks.
  Scenario Outline: Runners crash one after another under a long-lived task
    Given 4 long-lived tasks of a job on VMs of their own, of which 1 may be away
    When <count> runners crash under one of them, each <seconds> s after it starts
    Then the task runs again within 6 s
    And the job is running, and none of its tasks was stopped
    And no rule is broken

    Examples:
      | count | seconds |
      | 2     | 1.5     |
      | 2     | 0.1     |
      | 3     | 1.5     |

  # Guards against BUDGET: a crash was taken for silence, and not counted, if
  # the runner's address refused no connection, as when its VM loses power.
  Scenario Outline: A task whose runners lose power under it is given up
    Given VMs that crash lose power, and are back after <seconds> s
    When 10 jobs of two steps are submitted, and one with a deadly <kind> task
    Then the job with the deadly task is failed within 60 s
    And all other jobs are completed within 40 s
    And no rule is broken

    Examples:
      | kind       | seconds |
      | lone       | 2       |
      | lone       | 7       |

  # The same failure where the count would be lost with the scheduler that
  # keeps it, or where nothing can be committed.
  Scenario Outline: It is given up also if <fault>
    When 30 jobs of two steps are submitted, one of them with a deadly task
    And after the first crash <fault>
    Then the job with the deadly task is failed within 30 s
    And all other jobs are completed within 40 s
    And no rule is broken

    Examples:
      | fault                                  |
      | the scheduler is killed                |
      | the scheduler is frozen for 4 s        |
      | all nodes are killed and started again |
      | the store is down for 3 s              |
      | the store loses answers of transactions |
      | a runner leaves orders unanswered and late |

  # The same failure in tasks that are placed, ended or copied in other ways.
  Scenario Outline: A deadly <kind> task is given up
    When 10 jobs of two steps are submitted, and one with a deadly <kind> task
    Then the job with the deadly task is failed within 20 s
    And callers and metrics are told that runners crashed under it
    And all other jobs are completed within 30 s
    And no rule is broken

    Examples:
      | kind        |
      | gang        |
      | speculative |
      | lone        |
      | recurring   |
