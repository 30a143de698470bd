Feature: The steps of a disruption, in one process

  Background:
    Given a VM of boot 3 that this node has probed and that is to be rebooted

  # Guards against a wave that counts a VM as done that was not rebooted: its
  # address refused a probe while it was drained, and then the first answer of
  # the boot that it had all along was taken for a new one.
  Scenario Outline: A probe without an answer says nothing of a VM's boot
    When the VM <fault> and its drain is checked
    Then the disruption is at step "rebooting"
    When the VM answers again, and the command to reboot it gets no answer
    Then the disruption is at step "rebooting"
    When the VM has its next boot
    Then the disruption is at step "verifying"

    Examples:
      | fault                    |
      | refuses connections      |
      | closes connections       |
      | answers what isn't JSON  |

  Scenario: A VM that was never seen up is back with its first answer
    Given no node has probed the VM
    When the VM refuses connections and its drain is checked
    Then the disruption is at step "rebooting"
    When the VM has its next boot
    Then the disruption is at step "verifying"
