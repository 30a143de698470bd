Feature: Watches, concurrent writes and decisions of the resource interface

  Background:
    Given 3 nodes and 3 VMs in pool "trails" with budget 2

  Scenario: A watch tells each change once, in order
    When pool "trails" is changed 30 times during a watch
    Then the watch reported changes in order, none twice, up to the last

  Scenario: A watch from too old a version is told to list again
    When 5200 changes are merged into a view
    Then a watch from version 1 is told to list again

  Scenario: Of racing writers with the same version one wins
    When 8 operators write pool "trails" at once with the same If-Match version
    Then one write was accepted and the others got a version conflict

  Scenario: The same document applied again changes nothing
    When the same pool document is applied 5 times
    Then only the first apply reported a change

  Scenario: A job is taken at any node right after its VMs were made
    Given a node "cut" that shares no token with its siblings
    When 10 pools get a VM through "n0" and at once a job through "cut"
    Then no job was refused

  Scenario: Decisions outlive the node that made them
    Given service "lookup" on pool "trails"
    When a caller gets "/lookup/x" from "n2" and the decision is flushed
    And "n2" is killed
    Then "n0" returns the decision about the request with its inputs

  Scenario: The control load on the platform stays small
    Given service "lookup" on pool "trails"
    When no request is sent for 10 s
    Then each node made at most 1 commit and 12 key or prefix reads a second
    And the metrics of a node count the calls to the table and their duration
