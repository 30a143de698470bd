Feature: Overlapping series of signals to nodes under load

  # Guards against AVAIL, TWICE and LOST around pauses, restarts and changes of
  # the configuration that come in series. `python -m emulator.soak` plays more.
  Scenario: Nothing is lost, run twice or stopped, whatever the nodes go through
    When the series of signals of seeds 11 and 12 are played
    Then no long-lived task ended, all jobs were completed and no rule was broken

  # Guards against TWICE: a runner that started again under its id took calls
  # for its former lifetime and was cut off, and the next scheduler started its
  # tasks elsewhere. `python -m emulator.restarts` plays more.
  Scenario Outline: Nothing runs twice on runners that start again and are cut off
    When the series of restarts of seeds <first> and <second> are played
    Then all jobs were completed and no rule was broken

    Examples:
      | first | second |
      | 2     | 3      |
      | 200   | 221    |
