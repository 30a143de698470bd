Feature: A task that crashes its runners is told apart from those beside it

  # Guards against a plain count of crashes, which gives up whatever was often
  # beside a deadly task.
  Scenario Outline: Who is given up after a crash
    Given a task that has <crashes> crashes on <hosts> hosts, <certain> of them certain
    And the last one hit it <company> on a VM with <other> other crashes
    Then the task is <verdict>

    Examples:
      | crashes | hosts | certain | company                 | other | verdict      |
      | 1       | 1     | 1       | alone                   | 0     | not given up |
      | 2       | 2     | 2       | alone                   | 0     | given up     |
      | 2       | 2     | 2       | beside its own job only | 0     | given up     |
      | 2       | 2     | 2       | beside another job      | 0     | not given up |
      | 2       | 1     | 2       | alone                   | 0     | not given up |
      | 2       | 2     | 2       | alone                   | 1     | not given up |
      | 2       | 2     | 1       | alone                   | 0     | not given up |
      | 3       | 1     | 2       | alone                   | 1     | given up     |
      | 3       | 3     | 3       | beside another job      | 0     | not given up |
      | 4       | 4     | 2       | beside another job      | 0     | given up     |
      | 4       | 4     | 1       | beside another job      | 0     | not given up |
      | 2       | 2     | 0       | alone                   | 0     | not given up |
      | 3       | 3     | 0       | alone                   | 0     | given up     |
      | 4       | 4     | 0       | beside another job      | 0     | not given up |
      | 5       | 5     | 0       | beside another job      | 0     | given up     |

  Scenario: A suspect prefers a VM of its own, and keeps others off it
    Given 2 VMs of which one runs a task of another job
    And a job whose task has crashed 1 runner after 0.5 s
    When its task is placed
    Then it is on the empty VM
    And a task of another job goes to the VM that is in use
    When the suspect has run for 2 s
    Then a task of another job may join it

  Scenario: A suspect joins others rather than wait
    Given 1 VM of which one runs a task of another job
    And a job whose task has crashed 1 runner after 0.5 s
    When its task is placed
    Then it is on the VM that is in use

  Scenario Outline: A likely cause waits for a VM of its own, which is cleared
    Given 2 VMs that both run tasks of other jobs
    And a job whose task has crashed <count> runners after <seconds> s
    When a round is planned
    Then the task does not start
    And the VM with the fewest tasks gets no task of another job
    When the tasks on that VM have ended and a round is planned
    Then the task starts there, and no task of another job beside it

    Examples:
      | count | seconds |
      | 2     | 0.5     |
      | 1     | 0.02    |

  Scenario Outline: No task waits without end for a VM of its own
    Given 2 VMs that both run <tasks> of other jobs
    And a <kind> job whose task crashed 2 runners and waits for <seconds> s
    When a round is planned
    Then the task starts

    Examples:
      | tasks            | kind       | seconds |
      | tasks            | usual      | 8.5     |
      | long-lived tasks | usual      | 8.5     |
      | tasks            | long-lived | 2.5     |

  Scenario: Once the cause is known, those beside it are cleared
    Given runner "i-1" runs tasks of jobs "bad", "good" and "fine"
    When runner "i-1" crashes
    Then each of the 3 tasks has 1 crash
    When task "bad" runs alone on runner "i-2", which crashes
    Then job "bad" is given up for the reason "2 runners crashed under task 0.0.0"
    And tasks "good" and "fine" have no crashes
    And no crash is held against the VMs

  Scenario: Crashes of VMs that fail by themselves give nothing up
    Given runner "i-1" runs tasks of jobs "good" and "fine"
    When runner "i-1" crashes
    And tasks "good" and "fine" run on runner "i-2", which crashes
    And tasks "good" and "fine" run on runner "i-3", which crashes
    Then nothing is given up

  Scenario: A start that no runner has confirmed is no certain crash
    Given runner "i-1" is told to start a task of job "late"
    When runner "i-1" crashes
    And task "late" runs alone on runner "i-2", which crashes
    Then nothing is given up
    When task "late" runs alone on runner "i-3", which crashes
    Then job "late" is given up for the reason "3 runners crashed under task 0.0.0"

  Scenario: A start that was never sent is not held against its task
    Given runner "i-1" has a start of a task of job "late" in its queue
    When runner "i-1" crashes
    Then task "late" has no crashes

  Scenario: A run that is being stopped is held against its task
    Given runner "i-1" runs a task of job "moved", which is being stopped
    When runner "i-1" crashes
    Then task "moved" has 1 crash

  Scenario: An abandoned run is held against its task by when it had begun
    Given runner "i-1" has run a task of job "copied" for 3 s, which is abandoned
    When runner "i-1" crashes while another run of it has just begun
    Then the crash of task "copied" came 4 s after its run began

  Scenario: A long-lived task that has worked for long is no suspect
    Given runner "i-1" has run a long-lived task of job "old" for 30 s
    When runner "i-1" crashes
    Then task "old" has no crashes
    When runner "i-2", on which it has run for 9 s, crashes after two crashes
    Then nothing is given up
    Given runner "i-2" has run a long-lived task of job "new" for 1 s
    When runner "i-2" crashes
    Then task "new" has 1 crash

  # Guards against giving up an innocent long-lived task after takeovers: the
  # age of a run that an earlier scheduler had started was taken for 0.
  Scenario: A long-lived run of an earlier scheduler is not held to be new
    Given an earlier scheduler's long-lived task of job "old" on runner "i-1"
    When runner "i-1" crashes
    Then task "old" has no crashes

  # Guards against BUDGET: a long-lived task, which is not given up, would crash
  # a runner each second. Guards against LOST: it pauses for too long.
  Scenario: A long-lived task pauses for longer with each crash
    Given a long-lived task of job "bad" that runs alone and crashes its runners
    Then it is started again 0, 0, 3, 15 and 75 s after its first 5 crashes
    And job "bad" is not final, and says that 5 runners crashed under its task
    And a new scheduler that reads the rows pauses for 75 s, too

  # Guards against LOST: the row of a job that goes on would grow without end.
  Scenario: The crashes of a long-lived task that are kept are few
    Given a long-lived task of job "bad" that runs alone and crashes its runners
    When it crashes 30 runners
    Then 8 crashes are kept, and its pause is 600 s

  Scenario: A long-lived task that was held back is cleared once it runs
    Given a long-lived task of job "bad" that runs alone and crashes its runners
    Then it is started again 0, 0 and 3 s after its first 3 crashes
    When it has run for 6 s and is reported
    Then task "bad" has no crashes
    And job "bad" is not final, and says nothing of crashes

  # Guards against BUDGET: a crash that showed only after the leases of the
  # runs had expired was held against nobody.
  Scenario Outline: Runs that were lost to silence, if their runner had crashed
    Given runner "i-1" has run a task of job "bad" for 0.2 s
    When the runner is silent until the leases of its runs have expired
    And <event> before the runner is found to have crashed
    Then task "bad" has <verdict>

    Examples:
      | event                     | verdict    |
      | nothing happens           | 1 crash    |
      | its task is started again | 1 crash    |
      | the runner answers again  | no crashes |
      | 61 s pass                 | no crashes |

  Scenario: A new scheduler reads what crashed under which task
    Given runner "i-1" runs tasks of jobs "bad", "good" and "fine"
    When runner "i-1" crashes
    And the row of job "bad" is written and read again
    Then task "bad" has 1 crash
    When task "bad" runs alone on runner "i-2", which crashes
    Then job "bad" is given up for the reason "2 runners crashed under task 0.0.0"

  # Guards against giving up an innocent task that ran alone on two VMs that
  # fail by themselves, one of them before a takeover.
  Scenario: A new scheduler knows which VMs crashed, from the rows
    Given runner "i-1" runs tasks of jobs "good" and "fine"
    When runner "i-1" crashes
    And a new scheduler reads the rows
    And task "good" runs alone on a new runner of the same VM, which crashes
    Then nothing is given up

  Scenario: A scheduler of an earlier version reads the row, and ours reads its
    Given runner "i-1" runs tasks of jobs "bad", "good" and "fine"
    When runner "i-1" crashes
    Then the tasks in the row of job "bad" have the fields of before
    And a row without crashes is read as one of a task without crashes
