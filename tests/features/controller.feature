Feature: The scheduler's handling of events, in one process

  Scenario: A task that is done stays done when a copy's start is unknown
    Given a scheduler with a task of run 1 on runner "i-1"
    When run 1 is given up and run 2 is assigned to runner "i-2"
    And runner "i-1" lists run 1 as done
    And the start of run 2 has no known outcome
    And runner "i-2" lists nothing
    Then the task is done and the job completed

  Scenario: A failure that is listed twice is one attempt
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" lists run 1 as failed
    And the scheduler reads the job's row again
    And runner "i-1" lists run 1 as failed once more
    Then the task has failed once and waits

  # Guards against BUDGET: a failure of run 1 that was listed after that of run
  # 2 was taken for a repeated report.
  Scenario Outline: Failures of copies are counted in any order (<event>)
    Given a scheduler with a task of run 1 on runner "i-1"
    When run 1 is given up and run 2 is assigned to runner "i-2"
    And runner "i-2" lists run 2 as failed
    And <event>
    And runner "i-1" lists run 1 as failed
    Then the task has failed <count> times
    When the scheduler reads the job's row again
    And runner "i-1" lists run 1 as failed once more
    And runner "i-2" lists run 2 as failed once more
    Then the task has failed <count> times

    Examples:
      | event                                              | count |
      | a scheduling round is run                          | 2     |
      | the scheduler reads the job's row again            | 2     |
      | it reads the row as an earlier version had left it | 1     |

  Scenario: Capacity of a run that is being stopped stays reserved
    Given a scheduler with a task of run 1 on runner "i-1"
    When the job is cancelled
    Then runner "i-1" has the task's cores reserved
    When runner "i-1" lists run 1 as stopped
    Then runner "i-1" has all its cores free

  Scenario: A run that nobody recorded is stopped, and nothing starts beside it
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" lists a run that no row records
    Then runner "i-1" is ordered to stop it
    And runner "i-1" gets no starts

  Scenario: A runner's leases that another scheduler granted are waited for
    Given a link to a runner that answers its first poll with a run
    Then its leases have not run out yet
    And they have run out once the longest grant has passed without an answer

  Scenario: A runner that has just answered may be given leases
    Given a link to a runner that answers its first poll with no runs
    Then its leases have not run out yet

  Scenario: Advice is asked for once, and its ticket goes with the start
    Given a scheduler with a queue that has placement advice
    When a scheduling round is run
    Then the advisor is asked once about both runners
    When the advisor allows runner "i-2" only
    Then the task starts on runner "i-2" with the ticket

  Scenario: What was started again elsewhere takes capacity until it is gone
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" is silent until its tasks are started again elsewhere
    Then runner "i-1" has the task's cores reserved
    When runner "i-1" still has run 1 running
    Then runner "i-1" is ordered to stop run 1
    When runner "i-1" lists run 1 as stopped
    Then runner "i-1" has all its cores free

  Scenario: A scheduler that fails gives its lease up, and begins anew
    Given a node whose scheduler fails the first time
    Then it holds the lease again, under a higher epoch, within 3 s

  Scenario: An order's outcome counts also when its run was started elsewhere
    Given a scheduler with a task of run 1 on runner "i-1"
    When run 1 is started again elsewhere while its own start is unanswered
    And the start of run 1 is answered as done
    And runner "i-1" has nothing running
    Then runner "i-1" has all its cores free

  Scenario: Events that never cease don't keep rounds from being made
    Given a scheduler with a task of run 1 on runner "i-1"
    When events arrive faster than they are handled
    Then the scheduler goes on to its round within 1 s

  Scenario: Of two schedulers that start a task, the later one gives way
    Given a scheduler with a task that waits
    When another scheduler has recorded run 2 of it on runner "i-2"
    And a scheduling round is run
    Then nothing is started, and the task is run 2 on runner "i-2"

  Scenario: Settings that name an unknown policy are refused by name
    Given a settings file of a node with order policy "fastest"
    When the node reads it
    Then it is refused, and the known order policies are named

  Scenario Outline: A new job is new, whatever the accepting node's clock says
    Given a scheduler with a task of run 1 on runner "i-1"
    When a job is submitted at a node whose time of day is <off> s off
    Then the job has just arrived

    Examples:
      | off |
      | 30  |
      | -30 |

  Scenario: What was over before a takeover is not taken up again
    Given a scheduler with a task of run 1 on runner "i-1"
    And the rows of a job that was completed and of one that was cancelled
    When another scheduler reads the rows
    Then it has only the open job
    And a repeated row of the completed job is ignored

  Scenario: A job that was cancelled while a task may run is taken up
    Given a scheduler with a task of run 1 on runner "i-1"
    And the rows of a job that was cancelled while its task ran
    When another scheduler reads the rows
    Then it has the open job and the one that was cancelled

  # Guards against counts that leave out jobs that still wait. A job was no
  # longer counted once its start was recorded, although no order was sent.
  Scenario: A job whose start was recorded and never sent is counted as pending
    Given a scheduler with a job that was just submitted
    When a scheduling round is run
    And the lease is released before the order is sent
    And another scheduler has read the rows
    Then 1 job of the queue is counted as pending

  # The same fault, with an order that gets no answer.
  Scenario: A job is counted as pending until a runner has begun it
    Given a scheduler with a job that was just submitted
    When a scheduling round is run
    Then 1 job of the queue is counted as pending
    When the start of run 1 is answered as done
    Then no job of the queue is counted as pending

  Scenario: A job whose run is listed is not counted as pending
    Given a scheduler with a job that was just submitted
    When a scheduling round is run
    And runner "i-1" reports that run 1 is running
    Then no job of the queue is counted as pending

  Scenario: A job whose run has ended is not counted as pending
    Given a scheduler with a job that was just submitted
    When a scheduling round is run
    And runner "i-1" lists run 1 as failed
    Then no job of the queue is counted as pending

  Scenario: A job that is cancelled before it begins is not counted as pending
    Given a scheduler with a job that was just submitted
    When the job is cancelled
    And a scheduling round is run
    Then no job of the queue is counted as pending

  # Guards against a crash that is taken for silence: for 2 to 4 s the runner
  # still got starts, and what it had run waited for its leases.
  Scenario: What a runner ran that is gone starts elsewhere at once
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" is found gone
    And a scheduling round is run
    Then run 2 of the task starts on runner "i-2"
    And runner "i-1" gets no starts
    When runner "i-1" has nothing running
    Then runner "i-1" may get starts

  Scenario: Orders for a process that has ended do not reach the next one
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" is found gone
    Then runner "i-1" has a new link, and its old one is stopped

  # Guards against BUDGET: a crash of the runner that a VM came back with was
  # put down to the command that had moved the VM, and so not counted.
  Scenario Outline: A runner that went for another reason did not crash
    Given a scheduler with a task of run 1 on runner "i-1"
    When runner "i-1" is found gone while <occasion>
    Then the task is lost for the reason "<reason>"

    Examples:
      | occasion                                          | reason         |
      | nothing else happens                              | runner crashed |
      | it drains                                         | runner left    |
      | its VM is commanded to move                       | VM taken away  |
      | its VM is listed in maintenance                   | VM taken away  |
      | its VM has just come back with it from a move     | runner crashed |
      | a move may be carried out 9 s after a lost answer | VM taken away  |
      | a move was refused as its VM was busy             | runner crashed |

  Scenario: A runner that was silent for too long to get a lease gets no starts
    Given a link to a runner that answers its first poll with no runs
    Then a run may get a lease there
    And no longer 1.7 s later

  # Guards against LIMIT and DRAIN: tasks were started by a registry that had
  # not been read for long, on runners that had less room by then.
  Scenario: Nothing is started by a registry that is out of date
    Given a scheduler with a job that was just submitted
    When the registry was last read 4 s ago, and a round is run
    Then no start is planned
    When the registry is read and a round is run
    Then run 1 of the task was sent

  Scenario Outline: A queued start is not sent once the registry is out of date
    Given a link to a runner that answers its first poll with no runs
    When a start is queued by a registry that was read <age> s ago
    Then it is reported as <result>

    Examples:
      | age | result   |
      | 2   | done     |
      | 4   | not sent |

  # Guards against LIMIT and DRAIN: a start that was planned before a commit
  # that took seconds was sent although its runner had less room meanwhile.
  Scenario Outline: A start is not sent to a runner that changed during its commit
    Given a scheduler with a job that was just submitted
    When the commit of its first start takes so long that runner "i-1" and "i-2" <change>
    Then no start was sent, and the task waits
    When the runners are as before and a scheduling round is run
    Then run 2 of the task was sent

    Examples:
      | change               |
      | have 4 cores left    |
      | drain                |
      | leave the registry   |
