Feature: Bad input changes nothing and harms nobody

  Background:
    Given 1 nodes and 3 VMs in pool "trails" with budget 2
    And service "lookup" on pool "trails"

  Scenario: Ambiguous or broken requests are refused and not run
    When each kind of bad request is sent to the callers' listener
    Then each got its expected status in a problem document
    And none of them reached a runner
    And a valid look-up is still served

  Scenario: Drawn ambiguous requests run nothing and hide no other
    When 800 drawn ambiguous requests, each with another behind it
    Then each got one refusal that ended its connection
    And no runner saw any of them
    And a valid look-up is still served

  Scenario: A trailer ends a chunked body, and the next request is read
    When a chunked request with a trailer is followed by another
    Then both are served

  Scenario: A body that breaks off is not dispatched
    When a caller half-closes after 5 of 50 body bytes
    Then the reply is a 400 problem that says ran "no"
    And none of them reached a runner

  Scenario: Slow senders don't keep others waiting
    When 400 senders send their headers byte by byte
    Then a valid look-up is still served in under 2 s

  Scenario: Operators' bad input is refused with every field named
    When an operator sends each kind of bad document
    Then each was refused with its fault named and no row changed

  Scenario: Listeners of operators and siblings need the token
    When operators and siblings are called without the token
    Then each call got 401
    And the callers' listener does not serve their paths

  Scenario: Bad settings are all named before any listener opens
    When a daemon is started with bad settings
    Then it exits with code 2 and names every bad field

  Scenario: The command line explains failures without a traceback
    When the CLI is run with a dead node, an unknown name and a conflict
    Then the exit codes are 6, 4 and 5 and no traceback is shown
