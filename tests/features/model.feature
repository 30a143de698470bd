Feature: The start protocol, with all its interleavings enumerated

  Scenario: No interleaving runs a task twice
    When all states of the start protocol are enumerated
    Then no state violates the protocol

  Scenario Outline: The enumeration finds what goes wrong without <mechanism>
    When the states are enumerated without <mechanism>
    Then a state that violates it is found

    Examples:
      | mechanism                   |
      | the conditional write       |
      | the stop before a restart   |
      | the expiry of late starts   |
      | the check of the lifetime   |
