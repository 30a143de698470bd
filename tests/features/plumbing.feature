Feature: What the scheduler's process spends outside of its decisions

  # Guards against SHORT: each row that is parsed costs what only a class needs.
  Scenario: The type hints of a class are looked up once
    Given a submission that was parsed before
    When 20 more are parsed, and the calls are counted
    Then no type hints were looked up

  # Guards against SHORT: 276 entries are decoded anew each 0.4 s, though
  # nothing but their heartbeats has changed.
  Scenario: An unchanged registry costs no decoding
    Given a registry of 20 runners that was read before
    When it is read again after a heartbeat of each, and the calls are counted
    Then no field was decoded, and the entries are the same objects

  # Guards against SHORT: the list of VMs is decoded anew, too.
  Scenario: An unchanged list of VMs costs no decoding
    Given a list of 20 VMs that was read before
    When it is read again, and the calls are counted
    Then no field was decoded, and the entries are the same objects

  # Guards against SHORT: starts wait for the commits of other jobs.
  Scenario: A start is ordered as soon as its own commit is done
    Given a scheduler with a job that was just submitted
    And room for 99 more jobs that are submitted with it
    When a scheduling round orders starts in commits of 45, 45 and 10
    Then each start was ordered after its record was written
    And the starts of a commit were ordered before the next commit began

  # Guards against TWICE, LOST and starts on a runner that drains: what happens
  # during one commit of a round is not heeded by the starts of this commit, or
  # is by those of another.
  Scenario Outline: What happens during the second commit of a round (<event>)
    Given a scheduler with a job that was just submitted
    And room for 99 more jobs that are submitted with it
    When <event> during the second of a round's commits of 45, 45 and 10
    Then each start was ordered after its record was written
    And <sent> starts were ordered, each once
    And <waiting> tasks wait, as their rows say

    Examples:
      | event                             | sent | waiting |
      | nothing                           | 100  | 0       |
      | all runners begin to drain        | 45   | 55      |
      | the lease is lost                 | 45   | 0       |
      | another scheduler writes one job  | 99   | 0       |

  # Guards against SHORT: three lines a start, each of which creates a task.
  Scenario: A log line costs few calls
    When 20 lines are logged, and the calls are counted
    Then each line took at most 6 calls
    And each line has its type, its time, a task of its own and its level

  # Guards against LOST: a line in a form that its readers don't expect.
  Scenario Outline: A log line is the message that eliot writes (<where>)
    When the same is logged by eliot and by the project <where>
    Then both lines have the same fields in the same order
    And both are <relation>

    Examples:
      | where             | relation                  |
      | outside an action | tasks of their own        |
      | within an action  | messages of that action   |

  # Guards against LOST: a row with a bad field is taken for one in order.
  Scenario: Fields of drawn documents are checked as their classes declare
    When 400 documents of each kind are drawn, with fields of any value
    Then the problems are those found with each class looked at anew

  # Guards against TWICE: an entry that turns odd, or another runner's, is
  # taken for what it was.
  Scenario Outline: What is kept of <rows> is what a first reading finds
    When <rows> are read 3000 times, with drawn fields changed, gone or odd
    Then each reading names what a reader that has kept nothing names
    And an entry whose decoded fields are as before is the same object

    Examples:
      | rows    |
      | runners |
      | VMs     |

  Scenario: Decoded documents are kept for a bounded number of names
    When 10000 documents of different names are decoded
    Then at most 4000 are kept

  # Guards against LOST: a request or a row in another encoding than before.
  Scenario: Plain data is encoded as the converter of objects encodes it
    When 2000 values are drawn, with objects, keys and numbers of any kind
    Then each has the same JSON text as by the converter, or the same error

  # Guards against SHORT: the names of all runs at each answer of a runner.
  Scenario: The names of a runner's tasks are taken apart once
    Given a runner's report of 10 runs that was read before
    When it is read again with 1 run more, and the calls are counted
    Then 1 name was taken apart, and the runs are named as before
    And at most 8192 names are kept, and none of more than 100 characters

  # Guards against SHORT: a system call for each order of a round, after each
  # of which the two threads contend for the interpreter.
  Scenario: Callbacks that are queued together wake the calls' thread up once
    Given a thread of calls that waits
    When 100 callbacks are queued before it runs again
    Then it was woken up once, and all 100 have run in their order

  # Guards against LOST: an order that is queued and never sent.
  Scenario: No callback is left in the queue, whichever thread runs when
    Given a thread of calls that waits
    When 4 threads queue 3000 callbacks each, at drawn moments
    Then each has run within 5 s of its queueing, in the order of its thread

  # Guards against a round that reads one row after another: after a commit
  # whose answer was lost each of its jobs was read in a call of its own.
  Scenario: A commit whose answer was lost is looked up in a few reads
    When a commit of 45 jobs is done, but its answer is lost
    Then the rows were read in at most 2 calls
