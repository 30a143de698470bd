Feature: Tasks of a runner that left as the scheduler was lost run again soon

  # Guards against LOST: the next scheduler, which the runner never answers,
  # waited for all leases that an earlier one might have granted, counted from
  # its own takeover, though the registry had removed the runner's entry. Here
  # the killed process itself takes over, after an outage of the store in
  # which all entries lapsed.
  Scenario: A runner leaves in an outage, and the killed node takes over again
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And a runner of job "a1" drains for 3 s and leaves for good
    And the scheduler is killed 2 s before that
    And 0.5 s later the store is silent for 4 s and all entries lapse
    And the killed node is started again and is the first to take over
    Then all tasks of job "a1" run again within 7 s of the last disturbance
    And no rule is broken

  # The same failure without an outage, where another node takes over.
  Scenario: A runner leaves as the scheduler is killed
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And a runner of job "a1" drains for 2 s and leaves for good
    And the scheduler is killed 0.05 s before that
    And another scheduler has taken over
    Then all tasks of job "a1" run again within 7 s of the last disturbance
    And no rule is broken

  # Guards against LOST: a scheduler that is killed hands over nothing, so that
  # the next one began the wait for a runner that had left before anew.
  Scenario: Two schedulers are killed, and a runner left before the first
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And a runner of job "a1" drains for 2 s and leaves for good
    And the scheduler is killed as soon as it has left
    And another scheduler has taken over
    And the scheduler is killed 2 s later
    And another scheduler has taken over
    Then all tasks of job "a1" run again within 7 s of the last disturbance
    And no rule is broken

  # Guards against LOST: the next scheduler waited for all leases that might
  # have been granted to a runner whose entry had lapsed and whose VM was
  # listed as down, without a runner.
  Scenario: A VM loses power for good as the scheduler is killed
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And the VM of a runner of job "a1" loses power for good
    And the scheduler is killed
    And another scheduler has taken over
    Then all tasks of job "a1" run again within 7 s of the last disturbance
    And no rule is broken

  # Guards against TWICE: a runner without an entry is taken for gone, while an
  # earlier scheduler, which the store doesn't reach, extends its leases.
  Scenario Outline: Only an earlier scheduler reaches a runner without an entry
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And the entry of a runner of job "a1" lapses <when> the takeover
    And only the scheduler reaches the runner, and nothing else
    And the scheduler <answer>
    And the fault is that <fault>
    And another scheduler has taken over
    Then the runs of the runner go on for 8 s more, and end by themselves
    And job "a1" has 12 tasks running within 10 s
    And no rule is broken

    Examples:
      | when   | answer                   | fault         |
      | before | gives no answer to nodes | nothing fails |
      | before | refuses connections      | nothing fails |
      | after  | refuses connections      | nothing fails |
      | before | refuses connections      | the store is silent for 4 s and the registry's entries lapse |

  # Guards against TWICE: a VM that one list of VMs leaves out is taken for
  # gone, while its runner lives and is only not reached yet.
  Scenario Outline: A list of VMs leaves out the VM of a runner that lives
    Given 3 job nodes with 6 VMs in "trails" and 0 in standby
    When job "a1" of 12 long-lived tasks is submitted
    And job "a1" runs
    And only the scheduler reaches a runner of job "a1", and nothing else
    And the scheduler gives no answer to nodes
    And another scheduler has taken over
    And its list <number> of VMs leaves out the VM of the runner
    And the next scheduler reaches the runner 2 s later
    Then job "a1" keeps the same runs for 4 s
    And each task of job "a1" was started once
    And no rule is broken

    Examples:
      | number |
      | 1      |
      | 3      |
