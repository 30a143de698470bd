Feature: No peer makes a process use memory or time without a limit

  A crowd is eight connections. The settings lower the limits, so that eight
  are enough. The bounds were fixed against the code without the limits.

  # Guards against a trailer line that is read whole before its length is
  # counted: eight of them took 2 GB in six seconds.
  Scenario: Trailer lines without an end
    Given a job node with lowered limits
    When a crowd sends it a trailer line without an end
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against trailers that are counted line by line only, and against
  # a refusal that is reported as an error of the server.
  Scenario: Trailers without an end
    Given a job node with lowered limits
    When a crowd sends it trailers without an end
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against the same fault in the lines before chunks.
  Scenario: Chunk-size lines without an end
    Given a job node with lowered limits
    When a crowd sends it a chunk-size line without an end
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against a header that is collected beyond its limit.
  Scenario: Header lines without an end
    Given a job node with lowered limits
    When a crowd sends it a header line without an end
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against bodies that are within the limit of one body each, and
  # whose decoded documents together exceed the machine's memory.
  Scenario: More large bodies at once than the budget allows
    Given a job node with lowered limits
    When a crowd sends it bodies that decode to many times their size
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against the small pieces of a body that are kept as objects of
  # their own, each many times as large as the piece.
  Scenario: Large bodies in pieces of two bytes
    Given a job node with lowered limits
    When a crowd sends it large bodies in pieces of two bytes
    Then the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against worker threads that all wait for clients to read. The
  # metrics are the largest responses.
  Scenario: Clients that never read their responses
    Given a job node with lowered limits
    When a crowd asks it for its metrics and never reads a response
    Then its readiness is answered
    And the process stayed within its memory and descriptors

  # Guards against worker threads that all wait for the rest of a body.
  Scenario: As many slow bodies as there are worker threads
    Given a job node with lowered limits
    When a crowd sends it bodies a byte at a time, again and again
    Then an ordinary request is answered
    And the process stayed within its memory and descriptors

  # Guards against the same on the listener for readiness and metrics, whose
  # few threads read the body of a request that needs none.
  Scenario: Slow bodies at the readiness listener
    Given a job node with lowered limits
    When a crowd sends its readiness listener bodies a byte at a time
    Then its readiness is answered
    And the process stayed within its memory and descriptors

  # Guards against a listener that accepts connections without a limit.
  Scenario: More connections than the listener accepts
    Given a job node with lowered limits
    When a crowd opens 200 connections to it and sends nothing
    Then the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against responses that are read whole whatever their size.
  Scenario Outline: A VM service whose responses have no end
    Given a job node with lowered limits whose VM service sends <response>
    When the node has called the VM service
    Then the process stayed within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | response                      |
      | a body without an end         |
      | a header without an end       |
      | trailers without an end       |
      | a trailer line without an end |

  # Guards against responses of many runners that are kept at once, each
  # within the limit of one.
  Scenario Outline: Runners whose responses have no end
    Given a job node with lowered limits whose runners send <response>
    When the node has called the runners
    Then the process stayed within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | response                      |
      | a body without an end         |
      | a header without an end       |
      | bodies that stop short        |
      | trailers without an end       |
      | a trailer line without an end |

  # Guards against the first fault in the other process with a listener.
  Scenario: Trailer lines without an end at a fleet daemon
    Given a fleet daemon with lowered limits
    When a crowd sends it a trailer line without an end
    Then each of the crowd was refused truthfully or closed
    And the process stayed within its memory and descriptors
    And an ordinary request is answered

  # Guards against a time-out that starts anew with each byte of an answer,
  # so that a runner holds a caller's thread for ever.
  Scenario: A runner whose header trickles in, at a fleet daemon
    Given a fleet daemon with lowered limits and a runner that sends a header a byte at a time
    When a crowd calls that runner
    Then each of the crowd was answered
    And an ordinary request is answered
    And the process stayed within its memory and descriptors

  # Guards against a line of a trailer that is read whole, as the limit on the
  # parts of a body that are relayed might not count it.
  Scenario Outline: A runner whose response has no end, at a fleet daemon
    Given a fleet daemon with lowered limits and a runner that sends <response>
    When a crowd calls that runner
    Then each of the crowd was answered
    And an ordinary request is answered
    And the process stayed within its memory and descriptors

    Examples:
      | response                      |
      | trailers without an end       |
      | a trailer line without an end |

  # Guards against runners whose stalled responses make the calls to the
  # table fail, and against idle connections that are dropped with a call
  # for which there is no memory.
  Scenario Outline: Stalled responses and calls to other peers
    When stalled responses hold the whole budget of <kind> responses
    Then a blocking call is <outcome>

    Examples:
      | kind     | outcome  |
      | runner   | answered |
      | blocking | given up |

  # Guards against a budget that is charged with the declared length of a
  # body before any of it has arrived.
  Scenario: A declared body that never arrives
    When a peer declares a body of the whole budget and sends nothing
    Then a blocking call is answered

  # Guards against idle connections that take every place of a listener.
  Scenario: Idle connections that were kept after a response
    Given a listener of 4 threads and 20 connections
    When 20 clients keep their connections after a response
    Then a client whose request is whole gets 200

  # Guards against a share of few threads that is rounded down to none, so
  # that every slow body is refused.
  Scenario: A slow body at a listener with one thread
    Given a listener of 1 threads and 20 connections
    Then a client whose request is slow gets 200

  # Guards against a receive buffer that is too small for an allowed header,
  # which is then never complete and times out.
  Scenario: A long header at a listener with a small receive buffer
    Given a listener with a receive buffer of 2048 bytes
    Then a client whose request is long gets 200
