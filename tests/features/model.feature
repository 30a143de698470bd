Feature: The start protocol, with all its interleavings enumerated

  Scenario: No interleaving runs a task twice
    When all states of the start protocol are enumerated
    Then no state violates the protocol

  Scenario Outline: The enumeration finds what goes wrong without <mechanism>
    When the states of the start protocol are enumerated without <mechanism>
    Then a state that violates it is found

    Examples:
      | mechanism                   |
      | the conditional write       |
      | the stop before a restart   |
      | the expiry of late starts   |
      | the check of the lifetime   |

  Scenario: No interleaving has a late call executed after a later one
    When all states of the fencing tokens are enumerated
    Then no state violates the protocol

  Scenario Outline: The enumeration finds a late call without <mechanism>
    When the states of the fencing tokens are enumerated without <mechanism>
    Then a state that violates it is found

    Examples:
      | mechanism                                       |
      | the higher token after an unanswered call       |
      | the count of calls that are dropped with a link |
      | the token that outlasts a forgotten runner      |
      | the tokens that a holder reserves               |
      | the check whether a later call bore a higher token |
