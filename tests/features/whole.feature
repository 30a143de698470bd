Feature: Every caller gets the whole answer to its own request

  Background:
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"

  Scenario: Two hundred callers at once each get their own answer
    When 200 callers send 5 requests each, with different bodies
    Then each request got status 200 and its own body

  Scenario Outline: A broken answer is never passed on as a good one
    Given every runner will "<fault>"
    When a caller gets "/lookup/x" with "<headers>"
    Then the reply is a 502 problem that says ran "unknown"

    Examples:
      | fault           | headers              |
      | truncate        | X-Answer-Bytes: 5000 |
      | truncate_chunks | X-Chunked: yes       |
      | two_lengths     | X-Answer-Bytes: 50   |
      | no_length       | X-Answer-Bytes: 50   |
      | big_header      | X-Answer-Bytes: 50   |
      | wrong_id        | X-Answer-Bytes: 50   |

  Scenario: A look-up is sent again when its answer broke off
    Given runner "vm0" will "truncate" always
    When 60 look-ups are sent one after the other
    Then each request got status 200 and its own body

  Scenario: A late answer of another request is never taken for one's own
    Given runner "vm0" will "second_answer" always
    And runner "vm1" will "late" always
    When 60 look-ups with a deadline of 0.4 s are sent
    Then every answer with status 200 belongs to its request

  Scenario: A long answer is streamed whole
    When a caller gets 5000000 bytes from each node
    Then each request got status 200 and its own body

  Scenario: A long answer that breaks off is visibly broken
    Given every runner will "truncate"
    When a caller gets 5000000 bytes from each node
    Then each caller saw that its answer was truncated
