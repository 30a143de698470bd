Feature: Under failures, pools keep their budgets, VMs one pool, waves go on

  Background:
    Given 3 nodes and 6 VMs in pool "trails" with budget 5
    And service "lookup" on pool "trails"

  Scenario: A wave under load cuts no request and reboots each VM once
    When a wave runs while look-ups and long jobs go on
    Then no caller was cut and none was refused
    And each VM was rebooted once and cut no request
    And the history breaks no promise

  Scenario Outline: The owner gets <signal> in the middle of a wave
    When a wave starts and 2 VMs are done
    And the pool's owner gets <signal>
    Then another node owns the pool within 6 s
    And the wave is done within 60 s
    And the old owner resumes and changes no row
    And each VM was rebooted once and cut no request
    And the history breaks no promise

    Examples:
      | signal  |
      | SIGKILL |
      | SIGSTOP |
      | SIGTERM |

  Scenario: The platform is away in the middle of a wave
    When a wave starts and 1 VMs are done
    And the platform is down for 5 s
    Then the wave is done within 60 s
    And each VM was rebooted once and cut no request
    And the history breaks no promise

  Scenario: The table loses answers all through a wave
    Given the platform has fault "lost_answers" at 30
    When a wave starts and 0 VMs are done
    Then the wave is done within 90 s
    And each VM was rebooted once and cut no request
    And the history breaks no promise

  Scenario: A node that is cut off may still send
    Given a node "cut" that shares no token with its siblings
    When a wave runs while look-ups and long jobs go on
    Then no caller was cut and none was refused
    And each VM was rebooted once and cut no request
    And the history breaks no promise

  Scenario: A VM fails in the middle of a wave
    When a wave starts and 1 VMs are done
    And a VM that waits for its turn is killed
    Then no further VM is taken for 5 s after the nodes noticed
    And the wave goes on once the VM is back
    And the history breaks no promise

  Scenario: A VM fails after its maintenance
    When a wave starts and 2 VMs are done
    And a VM that is done is killed
    Then the wave is halted within 10 s and says which VM failed
    And the wave goes on once the VM is back

  Scenario: Operators pause, resume and abort a wave
    When a wave starts and 1 VMs are done
    And an operator pauses the wave
    Then no further VM is taken for 4 s after the nodes noticed
    And the wave goes on when an operator resumes it
    And an aborted wave takes no further VM

  Scenario: Racing operators drain all VMs at once
    Given the platform has fault "table_slow" at 0.3
    When each VM is drained by a different operator at once
    Then just one drain was granted
    And the history breaks no promise

  Scenario: Racing operators move the same VMs to different pools
    Given pools "north" and "south" without VMs and budget 0
    When 2 VMs are each moved to "north" and to "south" at once
    Then each VM is in the pool of the one move that was granted
    And the history breaks no promise

  Scenario: Moves finish though their node is killed in between
    Given pools "north" and "south" without VMs and budget 0
    When a VM is moved to "north" and the owner is killed at once
    Then the VM is in "north" within 20 s
    And the history breaks no promise

  Scenario: A failed pool is mended from the spare pool
    Given a spare pool with 2 VMs
    When 2 VMs of the pool are killed
    Then the pool has its 5 VMs in service again within 15 s
    And the history breaks no promise

  Scenario: Peaks borrow a VM and give it back
    Given a spare pool with 2 VMs
    When 60 long requests a second are sent for 12 s
    Then a VM was lent to the pool
    And it is back in the spare pool within 60 s
    And no caller was cut and none was refused
    And the history breaks no promise
