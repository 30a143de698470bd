"""Which VMs of a wave begin their maintenance, and when."""

import collections
import collections.abc
import math

import attrs
import peridotsill

# Time to clear a VM of long-lived tasks, besides its maintenance.
_CLEAR_SECONDS = 3.0
# A wave is urgent when no more than this many times the least time that it
# needs is left.
_URGENT_FACTOR = 2.0
# Share of a pool that is taken out at once while there is time.
_POOL_SHARE = 0.34


class MaintenanceStep(peridotsill.TextEnum):
    """Where a VM of a wave stands."""

    DUE = "due"
    CLEARING = "clearing"
    BEGUN = "begun"
    DONE = "done"


@attrs.frozen(kw_only=True)
class DueVm:
    """A VM of a wave.

    ``pool_busy`` tells that the VM's pool needs every VM it has.
    """

    name: str
    pool: str
    step: MaintenanceStep
    standby: bool
    task_count: int
    long_lived_count: int
    pool_busy: bool
    pool_size: int


def plan_maintenance(
    vms: collections.abc.Sequence[DueVm],
    *,
    max_parallel: int,
    seconds_left: float,
    maintenance_seconds: float,
) -> list[DueVm]:
    """Return the VMs that are to be cleared for maintenance next.

    VMs of standby pools come first, as nothing runs there, then empty
    ones. While there is time, a pool that needs all its VMs is spared,
    and no pool loses more than a part of its VMs at once.

    Args:
        vms: All VMs of the wave.
        max_parallel: How many may be out at once.
        seconds_left: Time to the wave's deadline.
        maintenance_seconds: How long one VM is gone.
    """
    due = [vm for vm in vms if vm.step is MaintenanceStep.DUE]
    out = [
        vm
        for vm in vms
        if vm.step in (MaintenanceStep.CLEARING, MaintenanceStep.BEGUN)
    ]
    room = max_parallel - len(out)
    rounds = math.ceil(len(due) / max_parallel)
    least = rounds * (maintenance_seconds + _CLEAR_SECONDS)
    urgent = seconds_left < least * _URGENT_FACTOR
    taken = collections.Counter(vm.pool for vm in out)
    chosen: list[DueVm] = []
    for vm in sorted(due, key=_rank):
        if len(chosen) >= room:
            break
        if not (urgent or vm.standby or _spared(vm, taken)):
            continue
        taken[vm.pool] += 1
        chosen.append(vm)
    return chosen


def _rank(vm: DueVm) -> tuple[bool, bool, int, int, str]:
    return (
        not vm.standby,
        vm.task_count > 0,
        vm.long_lived_count,
        vm.task_count,
        vm.name,
    )


def _spared(vm: DueVm, taken: collections.Counter[str]) -> bool:
    if vm.pool_busy:
        return False
    most = max(1, math.floor(vm.pool_size * _POOL_SHARE))
    return taken[vm.pool] < most
