"""Tells which VMs of a pool are available, and whether one may be taken.

The answer follows from the VMs' rows and from the evidence of their health.
"""

import attrs
import peridotsill


@attrs.frozen(kw_only=True)
class VmCondition:
    """A VM; ``reason`` says why it is unavailable, empty if available."""

    vm: peridotsill.Vm
    reason: str


@attrs.frozen(kw_only=True)
class PoolCondition:
    """A pool's availability budget and the conditions of its VMs.

    ``confirmed_down`` are the VMs of all pools that most nodes find down.
    """

    pool: peridotsill.Pool
    vms: tuple[VmCondition, ...]
    confirmed_down: frozenset[str] = frozenset()

    @property
    def available(self) -> int:
        """Number of available VMs."""
        return sum(1 for each in self.vms if not each.reason)

    @property
    def slack(self) -> int:
        """Number of VMs that may still be taken; negative if short."""
        return self.available - self.pool.min_available

    def unavailable_reason(self, vm: str) -> str:
        """Return why a VM is not available, or nothing."""
        found = (each.reason for each in self.vms if each.vm.name == vm)
        return next(found, "not in the pool")

    def budget_refusal(self, vm: str) -> str:
        """Return why a VM must not be taken out of service, or nothing.

        A VM that most nodes find down may always be taken, as that does
        not lower the number of available VMs.
        """
        if vm in self.confirmed_down:
            return ""
        if self.slack < 1:
            return (
                f"{self.available} VMs are available and the budget of"
                f" {self.pool.name} is {self.pool.min_available}"
            )
        return ""


@attrs.frozen(kw_only=True)
class Evidence:
    """What the nodes and the platform's list report of VMs.

    VMs in ``down`` fail the probes of at least one node, those in
    ``confirmed_down`` the probes of most nodes. ``leaving`` are VMs that a
    node or the list reports as leaving, ``unlisted`` those missing in the
    list.
    """

    down: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    unlisted: frozenset[str] = frozenset()
    confirmed_down: frozenset[str] = frozenset()


def condition_of(
    pool: peridotsill.Pool,
    vms: tuple[peridotsill.Vm, ...],
    evidence: Evidence,
) -> PoolCondition:
    """Return the condition of each VM of a pool."""
    return PoolCondition(
        pool=pool,
        vms=tuple(
            VmCondition(vm=vm, reason=_unavailable_reason(vm, evidence))
            for vm in vms
        ),
        confirmed_down=evidence.confirmed_down,
    )


def _unavailable_reason(vm: peridotsill.Vm, evidence: Evidence) -> str:
    if vm.disruption is not None:
        return f"{vm.disruption.kind}: {vm.disruption.step}"
    if vm.name in evidence.down:
        return "does not answer probes"
    if vm.name in evidence.leaving:
        return "leaving"
    if vm.name in evidence.unlisted:
        return "not in the platform's list"
    return ""
