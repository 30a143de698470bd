Feature: JSON calls to many peers from one thread

  Scenario: One connection serves calls one after another
    Given a peer that answers every call
    When it is called 5 times
    Then every call was answered
    And the peer has seen 1 connection

  Scenario: A peer that closes after each answer is connected to anew
    Given a peer that closes the connection after each answer
    When it is called 3 times
    Then every call was answered
    And the peer has seen 3 connections

  Scenario: A connection that went silent is replaced after one call
    Given a peer whose first connection stops responding after an answer
    When it is called 3 times
    Then call 2 failed, and the peer may have received it
    And call 3 was answered

  Scenario: A call to nobody certainly did not arrive
    Given an address at which no peer listens
    When it is called 1 time
    Then call 1 failed, and the peer did not receive it
    And call 1 shows that no process listens there

  Scenario Outline: An answer that can't be read fails its call only
    Given a peer whose first answer is <answer>
    When it is called 2 times
    Then call 1 failed, and the peer may have received it
    And call 2 was answered

    Examples:
      | answer              |
      | not HTTP            |
      | not JSON            |
      | truncated           |
      | too large           |
      | followed by another |

  Scenario: An error status comes with its body
    Given a peer whose first answer is a refusal
    When it is called 1 time
    Then call 1 was refused with status 409 and reason "old"

  Scenario: A step that raises ends neither the thread nor other calls
    Given a peer that answers every call
    When a callback raises in the loop's thread
    And it is called 2 times
    Then every call was answered
    And the error was reported

  Scenario: A large request is sent whole to a peer that reads slowly
    Given a peer that reads slowly
    When it is called with a body of 6 MB
    Then every call was answered

  Scenario Outline: A runner's answer of no known shape is no answer
    When a runner answers a <call> call with <answer>
    Then the call failed, and the runner may have executed it

    Examples:
      | call  | answer                                              |
      | start | {"clock_ms": "soon"}                                |
      | start | [1, 2]                                              |
      | stop  | {"clock_ms": {}}                                    |
      | pace  | "ok"                                                |
      | look  | {}                                                  |
      | look  | {"clock_ms": 1, "running": 3}                       |
      | look  | {"clock_ms": 1, "running": [[]]}                    |
      | look  | {"clock_ms": 1, "ended": [[1, "a.0.0.0", 1]]}       |
      | look  | {"clock_ms": 1, "ended": [[1, "a", 1, "eaten", ""]]} |
      | look  | {"clock_ms": 1, "ended": [null]}                    |
      | look  | {"clock_ms": 1, "born": "now"}                      |

  # Guards against BUDGET: a task that had crashed its runner at its start was
  # not known to, as the crash counted from when a connection was refused.
  Scenario Outline: Since when calls to a runner count as failing
    When polls of a runner end, one a second, with <results>
    Then calls to it count as failing since the poll number <number>

    Examples:
      | results                                                         | number |
      | a refused connection                                            | 1      |
      | a refused connection; a refused connection                      | 1      |
      | a connection closed midway; a refused connection                | 1      |
      | a connection closed midway; an answer; a refused connection     | 3      |
      | a connection closed midway; status 400; a refused connection    | 3      |

  Scenario Outline: Since when a runner's process counts as ended
    When polls of a runner end, one a second, with <results>
    Then its process counts as ended since the poll number <number>

    Examples:
      | results                                                               | number |
      | the status of another lifetime                                        | 1      |
      | a refused connection; the status of another lifetime                  | 1      |
      | a connection closed midway; the status of another lifetime            | 1      |
      | a connection closed midway; an answer; the status of another lifetime | 3      |

  # Guards against TWICE: a refused connection was taken for the end of the
  # runner's process, though a partition can refuse connections too.
  Scenario Outline: What a failed call shows of the runner's process
    When a poll of a runner ends with <failure>
    Then the runner's process is <known>

    Examples:
      | failure                           | known           |
      | a refused connection              | not known to be gone |
      | the status of another lifetime    | known to be gone |
      | a connection closed midway        | not known to be gone |
      | no answer in time                 | not known to be gone |
      | status 503                        | not known to be gone |

  Scenario Outline: A blocking client keeps its connection (<peer>)
    Given a peer that <peer>
    When a blocking client calls it 3 times
    Then every call was answered
    And the peer has seen <count> connections

    Examples:
      | peer                                        | count |
      | answers every call                          | 1     |
      | answers in chunks                           | 1     |
      | answers byte by byte                        | 1     |
      | closes the connection after each answer     | 3     |
      | ends each answer by closing the connection  | 3     |
      | closes the connection some time later       | 3     |

  # Guards against LOST: calls on a connection that is broken, again and again.
  Scenario: A blocking client replaces a connection that went silent
    Given a peer whose first connection stops responding after an answer
    When a blocking client calls it 3 times
    Then call 2 failed, and the peer may have received it
    And call 3 was answered

  # Guards against TWICE: what may have been received is taken as not sent.
  Scenario Outline: A blocking client's call fails alone (<answer>)
    Given a peer whose first answer is <answer>
    When a blocking client calls it 2 times
    Then call 1 failed, and the peer may have received it
    And call 2 was answered

    Examples:
      | answer              |
      | not HTTP            |
      | not JSON            |
      | truncated           |
      | too large           |
      | followed by another |

  Scenario: A blocking client's call to nobody certainly did not arrive
    Given an address at which no peer listens
    When a blocking client calls it 1 times
    Then call 1 failed, and the peer did not receive it
    And call 1 shows that no process listens there

  Scenario: A blocking client gets an error status with its body
    Given a peer whose first answer is a refusal
    When a blocking client calls it 1 times
    Then call 1 was refused with status 409 and reason "old"

  Scenario: A blocking client sends a large request to a peer that reads slowly
    Given a peer that reads slowly
    When a blocking client calls it with a body of 6 MB
    Then every call was answered

  # Guards against LOST: a thread that is held up by a peer for as long as it
  # sends a byte now and then.
  Scenario: A blocking client gives up an answer that trickles in
    Given a peer that answers with a byte each 0.1 s
    When a blocking client calls it 1 times
    Then call 1 failed, and the peer may have received it
    And it was given up within 1 s

  # Guards against CONFIG: a large configuration could not be read over a slow
  # link, as the time for the whole answer had passed, again and again.
  Scenario: A blocking client reads a large answer over a slow link
    Given a peer whose answer of 400 KiB takes 2 s to arrive
    When a blocking client calls it 1 times
    Then call 1 was answered

  # Guards against LOST: an odd address in another writer's row ends a thread.
  Scenario Outline: A blocking client of an odd address sends nothing (<base>)
    When a blocking client of "<base>" is called
    Then call 1 failed, and the peer did not receive it

    Examples:
      | base                   |
      | http://127.0.0.1:99999 |
      | http://127.0.0.1:x     |
      | http://                |
      | http://[::1            |
      | ftp://127.0.0.1        |

  Scenario: A blocking client serves several threads
    Given a peer that answers every call
    When 6 threads call it 50 times each by one blocking client
    Then every call was answered
    And the peer has seen at most 6 connections

  Scenario: A blocking client's header can't begin another one
    Given a peer that answers every call
    Then a blocking client refuses a header with a line break

  Scenario Outline: A blocking client sends a path as a URL's (<path>)
    Given a peer that answers every call
    When a blocking client calls it at "<path>"
    Then the peer got the path "<sent>"

    Examples:
      | path                        | sent                        |
      | /-/rows-get?table=a&part=%2F | /-/rows-get?table=a&part=%2F |
      | /vms/a b                    | /vms/a%20b                  |
      | /vms/é                      | /vms/%C3%A9                 |
      | /a/../b                     | /b                          |

  # Guards against an odd answer that ends the thread of a caller.
  Scenario: A peer answers that it switches protocols
    When a peer answers a call with "101 Switching Protocols"
    Then the call says that the peer is unavailable

  # Guards against answers that are taken for those of other requests.
  Scenario: A peer sends an interim answer before each answer
    When a peer answers each of 3 calls with its number, after an interim answer
    Then each call has its own answer
