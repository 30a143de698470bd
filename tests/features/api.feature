Feature: The resource interface can be watched, raced and asked

  Background:
    Given 3 nodes and 3 VMs in pool "trails" with budget 2

  Scenario: A watch tells each change once, in order
    When 30 changes of pool "trails" are made while a watch goes on
    Then the watch told the last of them, in order, none twice

  Scenario: A watch from too old a version is told to list again
    When 5200 changes have passed the node
    Then a watch from version 1 is told to list again

  Scenario: Of racing writers with the same version one wins
    When 8 operators write pool "trails" at the same version
    Then one was accepted and the others were told the conflict

  Scenario: The same document applied again changes nothing
    When the same pool is applied 5 times
    Then only the first changed anything

  Scenario: A job is taken at any node right after its VMs were made
    Given a node "cut" that shares no token with its siblings
    When 10 pools get a VM at "n0" and at once a job at "cut"
    Then no job was refused

  Scenario: Decisions outlive the node that made them
    Given service "lookup" on pool "trails"
    When a caller gets "/lookup/x" from "n2" and the decision is kept
    And "n2" is killed
    Then "n0" explains the request with the inputs it had then

  Scenario: The control load on the platform stays small
    Given service "lookup" on pool "trails"
    When nothing happens for 10 s
    Then each node wrote at most 1 time and read at most 12 rows a second
    And its metrics tell the calls to the table and their time
