Feature: Odd rows of other writers harm nobody

  # Guards against LOST: nobody sees what a node does once one of its lines
  # can't be encoded.
  Scenario Outline: A line that can't be encoded silences no other (<value>)
    When the log gets a line with <value> between two others
    Then all three lines are written, and the odd one names what it left out

    Examples:
      | value                         |
      | a number beyond 64 bits       |
      | a very deeply nested list     |
      | a key that is no text         |
      | a value that can't be printed |
