"""Selects the VMs of a wave that go into maintenance next."""

import collections
import collections.abc
import math

import attrs
import peridotsill

# Time to evict a VM's long-lived tasks, on top of its maintenance.
_EVICTION_SECONDS = 3.0
# A wave is urgent if the time left is below this multiple of the minimum
# time that its due VMs need.
_URGENT_FACTOR = 2.0
# Share of a pool that may be out at once, but at least one VM, unless the
# wave is urgent or the pool is a standby pool.
_MAX_POOL_SHARE = 0.34


class MaintenancePhase(peridotsill.TextEnum):
    """Phase of a VM's maintenance in a wave."""

    DUE = "due"
    CLEARING = "clearing"
    BEGUN = "begun"
    DONE = "done"


@attrs.frozen(kw_only=True)
class WaveVm:
    """A VM of a wave, in whatever phase of its maintenance.

    ``pool_busy`` is set if the VM's pool needs all of its VMs.
    """

    name: str
    pool: str
    phase: MaintenancePhase
    standby: bool
    task_count: int
    long_lived_count: int
    pool_busy: bool
    pool_size: int


def plan_maintenance(
    vms: collections.abc.Sequence[WaveVm],
    *,
    max_parallel: int,
    seconds_left: float,
    maintenance_seconds: float,
) -> list[WaveVm]:
    """Return the VMs to clear for maintenance next.

    VMs of standby pools come first, as nothing runs there, then empty
    ones. Unless the wave is urgent, no VM is taken from a pool that needs
    all of its VMs, and only a share of any other pool is out at once;
    neither limit holds for standby pools.

    Args:
        vms: All VMs of the wave.
        max_parallel: How many VMs of the wave may be out at once.
        seconds_left: Time until the wave's deadline.
        maintenance_seconds: How long the maintenance of one VM takes.
    """
    due = [vm for vm in vms if vm.phase is MaintenancePhase.DUE]
    out = [
        vm
        for vm in vms
        if vm.phase in (MaintenancePhase.CLEARING, MaintenancePhase.BEGUN)
    ]
    room = max_parallel - len(out)
    batches = math.ceil(len(due) / max_parallel)
    min_seconds = batches * (maintenance_seconds + _EVICTION_SECONDS)
    urgent = seconds_left < min_seconds * _URGENT_FACTOR
    out_by_pool = collections.Counter(vm.pool for vm in out)
    chosen: list[WaveVm] = []
    for vm in sorted(due, key=_rank):
        if len(chosen) >= room:
            break
        if not (urgent or vm.standby or _pool_can_spare(vm, out_by_pool)):
            continue
        out_by_pool[vm.pool] += 1
        chosen.append(vm)
    return chosen


def _rank(vm: WaveVm) -> tuple[bool, bool, int, int, str]:
    return (
        not vm.standby,
        vm.task_count > 0,
        vm.long_lived_count,
        vm.task_count,
        vm.name,
    )


def _pool_can_spare(vm: WaveVm, out_by_pool: collections.Counter[str]) -> bool:
    if vm.pool_busy:
        return False
    max_out = max(1, math.floor(vm.pool_size * _MAX_POOL_SHARE))
    return out_by_pool[vm.pool] < max_out
