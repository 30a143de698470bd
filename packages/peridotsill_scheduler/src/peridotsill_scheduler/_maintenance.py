"""Selects the VMs of a wave that go into maintenance next."""

import collections
import collections.abc
import math

import attrs
import peridotsill

# How long a VM takes one of a wave's places beyond its maintenance: until its
# command is answered, a list shows it back, and the next VM is chosen.
_PLACE_OVERHEAD_SECONDS = 0.7
# A wave keeps this much time for a change of the scheduler, during which no
# VM is commanded.
_RESERVE_SECONDS = 4.0
# Share of a pool that may be out at once, but at least one VM, unless the
# wave is urgent or the pool is a standby pool.
_MAX_POOL_SHARE = 0.34


class MaintenancePhase(peridotsill.TextEnum):
    """Phase of a VM's maintenance in a wave."""

    DUE = "due"
    CLEARING = "clearing"
    BEGUN = "begun"
    DONE = "done"


_OUT_PHASES = (MaintenancePhase.CLEARING, MaintenancePhase.BEGUN)


@attrs.frozen(kw_only=True)
class WaveVm:
    """A VM of a wave, in whatever phase of its maintenance.

    ``clear_seconds`` is how long its tasks are expected to run on, without
    the long-lived ones. ``pool_spare`` is how many VMs its pool can do
    without. One that is not ``available`` is moving, for instance, and can't
    be taken now.
    """

    name: str
    pool: str
    phase: MaintenancePhase
    standby: bool
    task_count: int
    long_lived_count: int
    pool_spare: int
    pool_size: int
    clear_seconds: float = 0.0
    available: bool = True


@attrs.frozen(kw_only=True)
class WaveTerms:
    """What a wave has to keep, and how long its VMs take.

    At most ``max_parallel`` VMs may be out at once. ``seconds_left`` is the
    time until the wave's deadline, ``maintenance_seconds`` how long a VM is
    away, and ``eviction_seconds`` the time in which all long-lived tasks can
    leave the due VMs, one after another as their budgets allow.
    """

    max_parallel: int
    seconds_left: float
    maintenance_seconds: float
    eviction_seconds: float = 0.0

    @property
    def place_seconds(self) -> float:
        """How long a VM takes a place once its tasks have left it."""
        return self.maintenance_seconds + _PLACE_OVERHEAD_SECONDS


def seconds_needed(
    vms: collections.abc.Iterable[WaveVm], terms: WaveTerms
) -> float:
    """Return a bound of how long a wave takes if it uses all its places.

    As long as VMs are due, all places are in use, so the last VM is taken
    after the mean load of a place at the latest, and then takes its own time.
    Long-lived tasks leave their VMs meanwhile, whether the wave uses its
    places or not.
    """
    load, longest = _load(vms, terms)
    return load / terms.max_parallel + longest


def is_urgent(vms: collections.abc.Iterable[WaveVm], terms: WaveTerms) -> bool:
    """Tell whether a wave must use all its places to end in time.

    Otherwise it gives way to the pools' demand.
    """
    return terms.seconds_left < seconds_needed(vms, terms) + _RESERVE_SECONDS


def must_evict(
    vms: collections.abc.Iterable[WaveVm], terms: WaveTerms
) -> bool:
    """Tell whether long-lived tasks must leave though they find no room.

    Their VMs are maintained once they have left, all of them at the end in
    the worst case.
    """
    load, longest = _load([vm for vm in vms if vm.long_lived_count], terms)
    needed = terms.eviction_seconds + load / terms.max_parallel + longest
    return terms.seconds_left < needed + _RESERVE_SECONDS


def _load(
    vms: collections.abc.Iterable[WaveVm], terms: WaveTerms
) -> tuple[float, float]:
    """Return how long VMs take places, together and the longest one."""
    seconds = [
        vm.clear_seconds + terms.place_seconds
        for vm in vms
        if vm.phase is not MaintenancePhase.DONE
    ]
    return sum(seconds), max(seconds, default=0.0)


def plan_maintenance(
    vms: collections.abc.Sequence[WaveVm], terms: WaveTerms
) -> list[WaveVm]:
    """Return the VMs to clear for maintenance next.

    VMs of standby pools come first, as nothing runs there, then empty
    ones. Unless the wave is urgent, a pool keeps the VMs that it needs, and
    only a share of it is out at once; neither limit holds for standby pools.

    Args:
        vms: All VMs of the wave.
        terms: What the wave has to keep.
    """
    out_by_pool = collections.Counter(
        vm.pool for vm in vms if vm.phase in _OUT_PHASES
    )
    room = terms.max_parallel - out_by_pool.total()
    urgent = is_urgent(vms, terms)
    chosen: list[WaveVm] = []
    candidates = [
        vm for vm in vms if vm.phase is MaintenancePhase.DUE and vm.available
    ]
    for vm in sorted(candidates, key=_rank):
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
    max_out = max(1, math.floor(vm.pool_size * _MAX_POOL_SHARE))
    return out_by_pool[vm.pool] < min(max_out, vm.pool_spare)
