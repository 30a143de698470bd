"""How many VMs each pool needs, and which are moved between pools."""

import collections.abc
import math

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _progress

# Arrivals of this long a time give the present demand; long enough for a
# few jobs to arrive in it at a peak, short against the peak.
_RATE_SECONDS = 1.5
# A VM that is fetched now helps after a move, and the rate is that of the
# middle of its time: so far ahead a rise of the demand is followed.
_LEAD_SECONDS = _RATE_SECONDS / 2 + 1.5
# Waiting work is to be begun within this time: about the slack that an
# objective leaves.
_DRAIN_SECONDS = 1.2
# Part of a VM's cores that tasks of uneven sizes can fill.
_FILL = 0.85
# VMs that a pool keeps in any case, for the jobs that come between peaks.
_MIN_VMS = 2
# Parts of a pool's cores in use at which the threshold policy acts; the
# usual figures of such rules.
_FULL_PART = 0.9
_HALF_PART = 0.5
# Surplus VMs that a lending pool keeps.
_RESERVE_VMS = 1


@attrs.frozen(kw_only=True)
class Arrival:
    """Work that arrived: steady seconds and core-seconds."""

    at: float
    work: float


@attrs.frozen(kw_only=True)
class PoolNeed:
    """What a pool needs now, in cores.

    ``long_lived`` is reserved by long-lived tasks, ``running`` by all
    others; ``rate`` is the work that arrives each second and ``waiting``
    the work, in core-seconds, that waits and can still be in time. The
    part of ``running`` whose jobs are late already is ``running_late``.
    ``rise`` is by how much ``rate`` grows in a second, 0 if it falls.
    """

    long_lived: float
    running: float
    rate: float
    waiting: float
    running_late: float = 0.0
    rise: float = 0.0

    @property
    def cores(self) -> float:
        """The cores that would serve all of it in time."""
        return self.long_lived + max(self.running, self._flow)

    @property
    def cores_in_time(self) -> float:
        """The cores without those that late jobs use now."""
        running = self.running - self.running_late
        return self.long_lived + max(running, self._flow)

    @property
    def cores_soon(self) -> float:
        """The cores for jobs in time when a VM fetched now has come.

        A rise is followed up to twice the present rate, as a few jobs
        tell little.
        """
        running = self.running - self.running_late
        ahead = min(self.rise * _LEAD_SECONDS, self.rate)
        return self.long_lived + max(running, self._flow + ahead)

    @property
    def _flow(self) -> float:
        return self.rate + self.waiting / _DRAIN_SECONDS


@attrs.frozen(kw_only=True)
class PoolSupply:
    """A pool's VMs; ``idle`` names those that could leave at once.

    ``busy`` names those whose tasks will soon have ended, the soonest
    first. ``size`` counts the VMs on their way to the pool too.
    ``vm_cores`` is the mean of the pool's VMs.
    """

    name: str
    standby: bool
    size: int
    idle: tuple[str, ...]
    vm_cores: float
    need: PoolNeed
    busy: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Move:
    """A VM that is to change its pool."""

    vm: str
    source: str
    target: str


def pool_need(
    jobs: collections.abc.Iterable[_progress.Job],
    arrivals: collections.abc.Iterable[Arrival],
    now: float,
    estimator: _estimates.Estimator,
) -> PoolNeed:
    """Add up what a pool's jobs need."""
    long_lived = running = waiting = running_late = 0.0
    for job in jobs:
        demand = _demand(job, now, estimator)
        long_lived += demand.long_lived
        running += demand.running
        waiting += demand.waiting
        running_late += demand.running_late
    rate, before = _rates(arrivals, now)
    return PoolNeed(
        long_lived=long_lived,
        running=running,
        rate=rate,
        waiting=waiting,
        running_late=running_late,
        rise=max(0.0, rate - before) / _RATE_SECONDS,
    )


def _rates(
    arrivals: collections.abc.Iterable[Arrival], now: float
) -> tuple[float, float]:
    """Return the rate of arriving work now, and that just before."""
    recent = before = 0.0
    for each in arrivals:
        age = now - each.at
        if age < _RATE_SECONDS:
            recent += each.work
        elif age < 2 * _RATE_SECONDS:
            before += each.work
    return recent / _RATE_SECONDS, before / _RATE_SECONDS


def _demand(
    job: _progress.Job, now: float, estimator: _estimates.Estimator
) -> PoolNeed:
    """Return what one job needs; the rate is left out."""
    in_time = _can_be_in_time(job, now, estimator)
    long_lived = running = waiting = 0.0
    by_step: dict[int, collections.Counter[_progress.TaskPhase]] = {}
    for task in job.tasks:
        by_step.setdefault(task.step.index, collections.Counter())[
            task.phase
        ] += 1
    for step in job.spec.steps:
        phases = by_step.get(step.index, collections.Counter())
        active = sum(phases[phase] for phase in _progress.ACTIVE_PHASES)
        cores = step.reserved.cores
        if step.long_lived:
            count = active if job.final else sum(phases.values())
            long_lived += cores * count
            continue
        running += cores * active
        if in_time:
            seconds = estimator.task_seconds(job.spec.queue, step)
            count = phases[_progress.TaskPhase.WAITING]
            waiting += cores * seconds * count
    return PoolNeed(
        long_lived=long_lived,
        running=running,
        rate=0.0,
        waiting=waiting,
        running_late=0.0 if in_time else running,
    )


def _can_be_in_time(
    job: _progress.Job, now: float, estimator: _estimates.Estimator
) -> bool:
    if job.final:
        return False
    objective = _estimates.objective_seconds(job, estimator)
    return now - job.arrived_at < objective


def wanted_vms(pool: PoolSupply) -> int:
    """Return how many VMs a pool needs for its present work."""
    return _vms_for(pool, pool.need.cores)


def _vms_for(pool: PoolSupply, cores: float) -> int:
    if pool.standby:
        return 0
    vms = cores / _FILL / max(pool.vm_cores, 1.0)
    return max(_MIN_VMS, math.ceil(vms))


LendingPolicy = collections.abc.Callable[
    [collections.abc.Sequence[PoolSupply]], list[Move]
]
_policies: dict[str, LendingPolicy] = {}


def lending_policy(
    name: str,
) -> collections.abc.Callable[[LendingPolicy], LendingPolicy]:
    """Return a decorator that registers a lending policy."""

    def register(policy: LendingPolicy) -> LendingPolicy:
        _policies[name] = policy
        return policy

    return register


def lending_policies() -> tuple[str, ...]:
    """Return the names of the registered policies."""
    return tuple(sorted(_policies))


def plan_moves(
    policy: str, pools: collections.abc.Sequence[PoolSupply]
) -> list[Move]:
    """Return the moves that a policy wants now."""
    return _policies[policy](pools)


@lending_policy("none")
def _no_moves(pools: collections.abc.Sequence[PoolSupply]) -> list[Move]:
    """Leave every VM where it is; a baseline."""
    return []


@lending_policy("threshold")
def _by_threshold(pools: collections.abc.Sequence[PoolSupply]) -> list[Move]:
    """Move a VM from a pool that is half used to one that is full.

    A baseline that looks at what runs, not at what waits or arrives.
    """
    used = {pool.name: _used_part(pool) for pool in pools}
    full = [
        pool
        for pool in pools
        if not pool.standby and used[pool.name] > _FULL_PART
    ]
    idle = {
        pool.name: list(pool.idle)
        for pool in pools
        if pool.standby
        or (used[pool.name] < _HALF_PART and pool.size > _MIN_VMS)
    }
    moves: list[Move] = []
    for target in full:
        source = next((name for name, vms in idle.items() if vms), None)
        if source is None:
            return moves
        vm = idle[source].pop()
        moves.append(Move(vm=vm, source=source, target=target.name))
    return moves


def _used_part(pool: PoolSupply) -> float:
    cores = pool.size * pool.vm_cores
    if not cores:
        return 1.0
    return (pool.need.long_lived + pool.need.running) / cores


@lending_policy("reactive")
def _by_need(pools: collections.abc.Sequence[PoolSupply]) -> list[Move]:
    """Bring idle VMs to the pools that lack them; a baseline."""
    return _bring(
        pools,
        {each.name: wanted_vms(each) for each in pools},
        {each.name: each.idle for each in pools},
    )


@lending_policy("clearing")
def _by_need_in_time(
    pools: collections.abc.Sequence[PoolSupply],
) -> list[Move]:
    """Bring VMs, also busy ones, to the jobs that can be in time.

    After a peak that was too high the pool's VMs are full with jobs that
    are late already, while the next pool's jobs become late too. So what
    late jobs use counts as no need here, and VMs are cleared by starting
    nothing more on them.
    """
    return _bring(
        pools,
        {each.name: _vms_for(each, each.need.cores_in_time) for each in pools},
        {each.name: each.idle + each.busy for each in pools},
    )


@lending_policy("rising")
def _by_need_soon(
    pools: collections.abc.Sequence[PoolSupply],
) -> list[Move]:
    """Bring VMs as "clearing" does, for the demand that will soon be there.

    A peak rises for some seconds, and a VM that is fetched for the demand
    of this moment comes a move too late.
    """
    return _bring(
        pools,
        {each.name: _vms_for(each, each.need.cores_soon) for each in pools},
        {each.name: each.idle + each.busy for each in pools},
    )


def _bring(
    pools: collections.abc.Sequence[PoolSupply],
    wanted: dict[str, int],
    movable: dict[str, tuple[str, ...]],
) -> list[Move]:
    """Bring VMs to the pools that have fewer than ``wanted``.

    VMs of standby pools go first; then those of pools that have more than
    they want, in the order given. The pool that lacks most is served
    first.
    """
    size = {pool.name: pool.size for pool in pools}
    left = {name: list(vms) for name, vms in movable.items()}
    moves: list[Move] = []
    while True:
        target = max(
            (pool for pool in pools if not pool.standby),
            key=lambda pool: wanted[pool.name] - size[pool.name],
            default=None,
        )
        if target is None or wanted[target.name] <= size[target.name]:
            return moves
        source = _source(pools, wanted, size, left, target)
        if source is None:
            return moves
        vm = left[source.name].pop(0)
        size[source.name] -= 1
        size[target.name] += 1
        moves.append(Move(vm=vm, source=source.name, target=target.name))


def _source(
    pools: collections.abc.Sequence[PoolSupply],
    wanted: dict[str, int],
    size: dict[str, int],
    left: dict[str, list[str]],
    target: PoolSupply,
) -> PoolSupply | None:
    best: PoolSupply | None = None
    for pool in pools:
        if pool is target or not left[pool.name]:
            continue
        if pool.standby:
            return pool
        surplus = size[pool.name] - wanted[pool.name] - _RESERVE_VMS
        if surplus <= 0:
            continue
        if best is None or surplus > (
            size[best.name] - wanted[best.name] - _RESERVE_VMS
        ):
            best = pool
    return best
