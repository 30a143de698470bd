"""Whether a pool can spare a VM, from the table and from health."""

import attrs
import peridotsill


@attrs.frozen(kw_only=True)
class VmCondition:
    """Why a VM doesn't count as available; empty if it does."""

    vm: peridotsill.Vm
    reason: str


@attrs.frozen(kw_only=True)
class PoolCondition:
    """A pool's budget against its VMs' conditions."""

    pool: peridotsill.Pool
    vms: tuple[VmCondition, ...]
    confirmed: frozenset[str] = frozenset()

    @property
    def available(self) -> int:
        """Number of VMs in service."""
        return sum(1 for each in self.vms if not each.reason)

    @property
    def slack(self) -> int:
        """How many more VMs may be taken away; negative if short."""
        return self.available - self.pool.min_available

    def reason_of(self, vm: str) -> str:
        """Return why a VM is not available, or nothing."""
        found = (each.reason for each in self.vms if each.vm.name == vm)
        return next(found, "not in the pool")

    def why_keep(self, vm: str) -> str:
        """Return why a VM must not be taken away now, or nothing.

        Taking away a VM that is certainly out of service costs nothing.
        """
        if vm in self.confirmed:
            return ""
        if self.slack < 1:
            return (
                f"{self.available} VMs are available and the budget of"
                f" {self.pool.name} is {self.pool.min_available}"
            )
        return ""


@attrs.frozen(kw_only=True)
class Evidence:
    """What nodes and the platform's list say of VMs.

    ``down`` fail some node's probes, ``confirmed`` those of most nodes.
    """

    down: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    unlisted: frozenset[str] = frozenset()
    confirmed: frozenset[str] = frozenset()


def condition_of(
    pool: peridotsill.Pool,
    vms: tuple[peridotsill.Vm, ...],
    evidence: Evidence,
) -> PoolCondition:
    """Judge each VM of a pool."""
    return PoolCondition(
        pool=pool,
        vms=tuple(
            VmCondition(vm=vm, reason=_reason(vm, evidence)) for vm in vms
        ),
        confirmed=evidence.confirmed,
    )


def _reason(vm: peridotsill.Vm, evidence: Evidence) -> str:
    if vm.disruption is not None:
        return f"{vm.disruption.kind}: {vm.disruption.step}"
    if vm.name in evidence.down:
        return "does not answer probes"
    if vm.name in evidence.leaving:
        return "leaving"
    if vm.name in evidence.unlisted:
        return "not in the platform's list"
    return ""
