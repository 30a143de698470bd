Feature: Teams share what there is, and none has more than its allowance

  # Guards against a flood of one team that keeps the others waiting.
  Scenario: A team that sends many times its usual goes after the others
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 2
    When "b" sends 100 jobs of 1 core, and then "a" sends 5
    Then 5 jobs of "a" and 3 jobs of "b" start
    And 2 jobs of "b" count as within its rate

  # Guards against one team's whole queue going first among those beyond.
  Scenario: Teams at a peak beyond the room have shares by their weights
    Given VMs of 60 cores in all, and teams "a" of weight 1 and "b" of weight 3
    When "a" sends 100 jobs of 1 core, and then "b" sends 100
    Then 15 jobs of "a" and 45 jobs of "b" start

  # Guards against VMs fetched, and others held up, for what can't start.
  Scenario: A team at its quota keeps no other team waiting
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 5
    And "b" may have 2 cores, all of which are in use
    When "b" sends 50 jobs of 1 core, and then "a" sends 3
    Then 3 jobs of "a" and 0 jobs of "b" start
    And the pool's demand is the work of 3 jobs
    And 50 jobs are held by the allowance of "b"

  # Guards against rounds that grow with a queue that waits for its team.
  Scenario Outline: A job of a team adds little to a decision if it <waits>
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 5
    And <limit>
    Then each further waiting job of "b" adds at most 60 executed lines

    Examples:
      | waits             | limit                                           |
      | has no allowance  | "b" may have 2 cores, all of which are in use   |
      | is beyond its rate | the VMs are full                              |

  # Guards against stops, or starts too early, when operators lower a quota.
  Scenario: A lowered quota starts nothing until there is room in it
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 5
    And "b" may have 2 cores, and 3 are in use
    When "b" sends 2 jobs of 1 core, and then "a" sends 0
    Then 0 jobs of "a" and 0 jobs of "b" start
    Given "b" may have 2 cores, and 1 are in use
    Then 0 jobs of "a" and 1 jobs of "b" start

  # Guards against rounds that end at a caller's number: the quotient of an
  # amount and a tiny demand is infinite, and has no integer.
  Scenario: A tiny demand of a job ends no round
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 5
    And "b" may have 2 cores, and 1 are in use
    When "b" sends a job of 3 tasks and one gang of 3, of 1e-309 cores each
    Then all 6 tasks start, and count in the pool's demand
    And as many fit in the capacity that is forecast

  # Guards against half a gang, and against a gang that blocks its team.
  Scenario: A gang that is wider than what is left of a quota waits as a whole
    Given VMs of 8 cores in all, and teams "a" of weight 5 and "b" of weight 5
    And "b" may have 4 cores, and 1 are in use
    When "b" sends a gang of 4 and 2 jobs of 1 core
    Then what starts is the 2 jobs
    Given "b" may have 4 cores, and 0 are in use
    Then what starts is the gang

  # Guards against starts for which only what is confirmed was counted.
  Scenario: All that may be on a runner counts once
    Given a tracker of teams, and a job of team "a" with 4 tasks
    When a start has no answer, a run is abandoned for a copy, and the rows have a run on an unknown runner
    Then team "a" uses 4 cores

  # Guards against a quota that one round or one part of the node goes by, and
  # another one does not.
  Scenario: The rounds of a scheduler keep to a quota
    Given a scheduler with a job of team "a" of 4 tasks of 8 cores
    And team "a" may have 16 cores
    When 3 rounds are run
    Then 2 starts were sent, all within the rate
    When runner "i-1" lists the first of them as done
    And 3 rounds are run
    Then 3 starts were sent, all within the rate

  # Guards against a new scheduler that takes late jobs for owed ones.
  Scenario: A new scheduler decides as the last one did
    Given drawn arrivals of jobs of two teams, some of which have ended
    When a scheduler sees them live, and another reads their rows in any order
    Then both have the same jobs within the rates

  # Guards against rates that a node's clock can raise, or stop for long.
  Scenario: No order of arrival gives a team more than its rate
    Given drawn arrivals by clocks that are off
    Then no more jobs are within the rate than in time and burst
    And after a clock was set back by an hour, jobs count as before within 6 s

  # Guards against a team that is beyond its rate for an hour, as the clock of
  # a node that accepted one of its jobs was ahead by as much.
  Scenario Outline: An arrival in the future stops no team's tokens (<which>)
    Given a tracker of teams that has no configuration yet
    When it adopts <which> job of team "a" that arrives in an hour
    Then the next job of team "a", 2 s from now, is within its rate

    Examples:
      | which    |
      | an open  |
      | an ended |

  # Guards against a dropped team's queue that goes before the others, against
  # one whose jobs within its rate wait behind all others, and against jobs of
  # a new team that count as beyond its rate for good.
  Scenario: Teams come and go with the configuration
    Given a tracker of teams, and a job of team "a" with 4 tasks
    When the configuration drops team "a"
    Then its undecided job may start without limit, after those of other teams
    And its job that was within its rate starts before those beyond theirs
    When the configuration has team "a" again, after a job of team "c" came
    Then the job is within its rate again
    When the configuration has team "c" as well
    Then the job of team "c" is within its rate

  # Guards against a new holder that starts by no quotas, as the table has not
  # answered it yet.
  Scenario: Nothing of a team starts before the configuration is known
    Given a tracker of teams that has no configuration yet
    When it has adopted a job of team "a" and one without a team
    Then of these, the job without a team may start
    When it has a configuration without teams
    Then of these, both jobs may start

  # Guards against jobs that wait without a reason, and logs that flood.
  Scenario: An operator sees which teams are at their allowance
    Given a tracker of teams, and a job of team "a" with 4 tasks
    When 60 rounds find team "a" at its allowance
    Then one line names the team and its jobs, and a gauge counts the team

  # Guards against a changed order where nobody has configured teams.
  Scenario: Without teams the order is that of the policy
    Given drawn jobs without a team, or of a configuration without teams
    Then they are served in the order of their policy

  # Guards against anything that starts beyond a quota, whatever happens.
  Scenario: No series of faults brings a team above its quota
    Given drawn series of starts, ends, lost answers, copies and takeovers
    Then what runs of each team is within its quota at all times
