Feature: Calls are served by the keys of teams

  # Guards against calls without a team's key that are served, or calls of a
  # deployment without teams that are not.
  Scenario Outline: Who needs a key (<teams>, <queue>, <key>)
    Given a node that has read <teams>
    Then POST of job "a1" in "<queue>" with <key> is answered <status>
    And the row of job "a1" is of <owner>

    Examples:
      | teams    | queue | key         | status | owner   |
      | teams    | keyed | key-alpha   | 200    | alpha   |
      | teams    | keyed | no key      | 401    | nobody  |
      | teams    | keyed | key-unknown | 401    | nobody  |
      | teams    | keyed | key-älter   | 200    | beta    |
      | teams    | open  | no key      | 200    | no team |
      | teams    | open  | key-unknown | 200    | no team |
      | teams    | open  | key-alpha   | 200    | alpha   |
      | no field | keyed | no key      | 200    | no team |
      | no field | keyed | key-alpha   | 200    | no team |
      | no teams | keyed | key-alpha   | 401    | nobody  |
      | no teams | open  | no key      | 200    | no team |

  # Guards against refusals that cost the reading of a body, tell strangers
  # which ids are valid, or hide that there is no configuration or queue.
  Scenario: The key is checked after the queue and before all else
    Given a node that has read nothing
    Then POST of job "a1" in "keyed" with no key is answered 503
    Given a node that has read teams
    Then GET of job "a1" in "other" with no key is answered 404
    And GET of job "not-an-id" in "keyed" with no key is answered 401
    And GET of job "" in "keyed" with no key is answered 401
    And GET of job "" in "keyed" with key-alpha is answered 200
    And PUT of job "a1" in "keyed" with no key is answered 401
    And POST of job "a1" in "keyed" with no key is answered 401
    And the body was not read, and the answer has a challenge

  Scenario: A platform without a header for keys serves anonymous queues only
    Given a platform without a header for keys
    And a node that has read teams
    Then POST of job "a1" in "keyed" with key-alpha is answered 401
    And POST of job "a1" in "open" with key-alpha is answered 200
    And the row of job "a1" is of no team

  # Guards against old keys that go on, new ones that don't begin, and jobs
  # that lose their team with its entry.
  Scenario: Keys change with the configuration, also as a team is dropped
    Given a node that has read teams
    Then POST of job "a1" in "keyed" with key-alpha is answered 200
    When it reads a configuration with team "gamma" alone
    Then POST of job "a2" in "keyed" with key-gamma is answered 200
    And GET of job "a1" in "keyed" with key-alpha is answered 401
    And GET of job "a1" in "keyed" with key-gamma is answered 403
    And the row of job "a1" is of alpha

  # Guards against a removed key that is served after the bound, by a node
  # that was frozen or cut off: its clock stands for both.
  Scenario Outline: A key is served while the last read is recent (<read>)
    Given a node that refuses removed keys after 5 s
    And a node that has read teams
    When the table is read by <read> of 3.5 s
    And <pause> s go by without a read
    Then GET of job "a1" in "keyed" with key-alpha is answered <status>
    And GET of job "a1" in "open" with no key is answered 410
    And the age of the configuration is <age> s

    Examples:
      | read                    | pause | status | age |
      | an empty watch          | 0.4   | 410    | 3.9 |
      | an empty watch          | 0.6   | 503    | 4.1 |
      | a watch with a change   | 0.6   | 503    | 4.1 |
      | a snapshot              | 0.4   | 410    | 3.9 |
      | a snapshot              | 0.6   | 503    | 4.1 |
      | a failed watch          | 0.4   | 410    | 3.9 |
      | a failed watch          | 0.6   | 503    | 4.1 |
      | a watch that breaks off | 0.6   | 503    | 4.1 |

  # Guards against a success, or a false "not run", from a node that was
  # frozen after it had checked the key.
  Scenario: A node that is frozen during a call answers no success
    Given a node that refuses removed keys after 5 s
    And a node that has read teams
    When the node is frozen for 9 s as it reads the table
    Then GET of job "" in "keyed" with key-alpha is answered 503
    Given a node that has read teams
    When the node is frozen for 9 s as it commits
    Then POST of job "a1" in "keyed" with key-alpha is answered 504
    And the row of job "a1" is of alpha
    And the counted reason is stale_configuration

  Scenario: Without the setting, a configuration of any age is used
    Given a node that has read teams
    When 60 s go by without a read
    Then GET of job "a1" in "keyed" with key-alpha is answered 410

  # Guards against a new key that is refused for good by a node that can't
  # know it yet.
  Scenario: An unknown key at a node without the table may be new
    Given a node that has read teams
    When 2.1 s go by without a read
    Then GET of job "a1" in "keyed" with key-gamma is answered 503
    And GET of job "a1" in "keyed" with no key is answered 401
    And the counted reason is stale_configuration

  # Guards against teams that see, cancel or take over each other's jobs.
  Scenario: A team's jobs are its own
    Given a node that has read teams
    Then POST of job "a1" in "keyed" with key-alpha is answered 200
    And POST of job "a1" in "keyed" with key-alpha is answered 200
    And POST of job "a1" in "keyed" with key-älter is answered 403
    And GET of job "a1" in "keyed" with key-älter is answered 403
    And DELETE of job "a1" in "keyed" with key-älter is answered 403
    When an earlier version of the scheduler has written the row of its progress
    Then GET of job "a1" in "keyed" with key-älter is answered 403
    And GET of job "a1" in "keyed" with key-alpha is answered 200
    When the scheduler has written the row of its progress
    Then GET of job "a1" in "keyed" with key-älter is answered 403
    And DELETE of job "a1" in "keyed" with key-alpha is answered 200
    And the counted reason is other_team

  # Guards against a team that cancels jobs of others before they arrive, and
  # against a job that starts though its own team was told that it won't.
  Scenario: A cancellation ahead of a job holds for its own team
    Given a node that has read teams
    Then DELETE of job "a1" in "keyed" with key-älter is answered 410
    And POST of job "a1" in "keyed" with key-alpha is answered 200
    And the row of job "a1" is waiting
    And DELETE of job "a2" in "keyed" with key-alpha is answered 410
    And DELETE of job "a2" in "keyed" with key-älter is answered 410
    And POST of job "a2" in "keyed" with key-alpha is answered 200
    And the row of job "a2" is cancelled

  # Guards against jobs that wait for ever, and against "not run" for one that
  # was stored before its team's quota was lowered.
  Scenario Outline: A job beyond its team's quota is refused (<job>)
    Given a node that has read teams
    Then POST of a job of <job> with <key> is answered <status>
    When it reads a configuration whose quotas are next to nothing
    Then POST of a job of <job> with <key> is answered <later>

    Examples:
      | job                          | key       | status | later |
      | 9 tasks of 4000 cpu          | key-alpha | 200    | 200   |
      | 1 task of 4001 cpu           | key-alpha | 422    | 422   |
      | 1 task of 10 cpu and 1 gpu   | key-alpha | 200    | 200   |
      | a gang of 2 of 2001 cpu      | key-alpha | 422    | 422   |
      | 1 task of 90000 cpu          | key-älter | 200    | 200   |

  # Guards against configurations that are taken over though they say nothing
  # sound, and against keys in the log.
  Scenario Outline: A bad configuration is refused (<problem>)
    Given a node that has read teams
    When it reads a configuration in which <change>
    Then a log line says "<problem>"
    And GET of job "a1" in "keyed" with key-alpha is answered 410
    And no key is in a log line, a metric, or the text of an object

    Examples:
      | change                          | problem                     |
      | delta.weight = 0                | 'delta': its weight 0       |
      | delta.weight = -1               | 'delta': its weight -1      |
      | delta.weight = "3"              | 'delta': weight: not a nu   |
      | delta.weight = true             | 'delta': weight: not a nu   |
      | delta.api_keys = ["key-gamma"]  | a key of team 'gamma'       |
      | delta.api_keys = [""]           | 'delta': an empty key       |
      | delta.api_keys = [["key-odd"]]  | 'delta': api_keys: a key is |
      | delta.api_keys = "key-odd"      | 'delta': api_keys: not a li |
      | delta.name = "gamma"            | 'gamma': the name is used t |
      | delta.name = ""                 | empty name                  |
      | delta.max_count = {"cpu": -1}   | 'delta': its quota of cores |
      | delta.max_count = {"gpu": 0.5}  | 'delta': gpu: not a whole   |

  # Guards against look-ups that get slower with the number of teams.
  Scenario: A look-up costs the same with 10,000 teams as with 20
    When a key is looked up among 20 teams, and among 10000
    Then both execute as many lines and read a dictionary once

  # Guards against rows that an earlier version would not have written.
  Scenario: Rows of jobs without a team have no field for it
    Given a node that has read no field
    Then POST of job "a1" in "keyed" with no key is answered 200
    And no row of job "a1" names a team

  # Guards against settings that no node can read.
  Scenario Outline: The template of the settings with strict_revoke <value>
    When the template is filled in with strict_revoke <value>
    Then the settings' bound for removed keys is <bound> ms

    Examples:
      | value   | bound |
      | true    | 5000  |
      | false   | 0     |
      | missing | 0     |

  # Guards against REVOKED: a success after the bound. The node can't read the
  # table, or is frozen while the call arrives.
  Scenario Outline: No removed key is served after the bound by a node that <fault>
    Given 2 job nodes that refuse removed keys after 2 s
    And the key "key-alpha" is served at every node
    When a node <fault>, and the key is removed
    Then no call that was sent 2 s after that is answered with success
    And the other node refuses the key with 401
    When the node is well again
    Then the key is refused with 401 at every node within 3 s
    And the key "key-gamma" is served at every node

    Examples:
      | fault                      |
      | can't read configurations  |
      | gets no answer of any kind |
      | is frozen                  |
