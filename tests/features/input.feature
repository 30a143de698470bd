Feature: Bad input changes nothing and harms nobody

  Background:
    Given 1 nodes and 3 VMs in pool "trails" with budget 2
    And service "lookup" on pool "trails"

  Scenario: Ambiguous or broken requests are refused and not run
    When each kind of bad request is sent to the callers' listener
    Then each got the status that belongs to it, as a problem
    And nothing of them reached a runner
    And a good look-up is served after all

  Scenario: Drawn ambiguous requests run nothing and hide no other
    When 800 drawn ambiguous requests, each with another behind it
    Then each got one refusal that ended its connection
    And no runner saw any of them
    And a good look-up is served after all

  Scenario: A trailer ends a chunked body, and the next request is read
    When a chunked request with a trailer is followed by another
    Then both are served

  Scenario: A body that breaks off is not dispatched
    When a caller half-closes after 5 of 50 body bytes
    Then the reply is a 400 problem that says ran "no"
    And nothing of them reached a runner

  Scenario: Slow senders don't keep others waiting
    When 400 senders send their headers byte by byte
    Then a good look-up is served in under 2 s meanwhile

  Scenario: Operators' bad input is refused with every field named
    When an operator sends each kind of bad document
    Then each was refused with a clear problem and nothing changed

  Scenario: Listeners of operators and siblings need the token
    When operators and siblings are called without the token
    Then each call got 401
    And the callers' listener does not serve them

  Scenario: Bad settings are all named before any listener opens
    When a daemon is started with bad settings
    Then it ends with exit code 2 and names every bad field

  Scenario: The command line explains failures without a traceback
    When the command line meets a dead node, an unknown name and a conflict
    Then the exit codes are 6, 4 and 5 and no traceback is shown
