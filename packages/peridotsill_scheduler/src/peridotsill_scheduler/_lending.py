"""How many VMs each pool needs, and which are moved between pools."""

import collections.abc
import math

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _progress

# Arrivals of this long a time give the present demand; long enough for a
# few jobs to arrive in it at a peak, short against the peak.
_RATE_SECONDS = 1.5
# Waiting work is to be begun within this time: about the slack that an
# objective leaves.
_DRAIN_SECONDS = 1.2
# Part of a VM's cores that tasks of uneven sizes can fill.
_FILL = 0.85
# VMs that a pool keeps in any case, for the jobs that come between peaks.
_MIN_VMS = 2
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
    the work, in core-seconds, that waits and can still be in time.
    """

    long_lived: float
    running: float
    rate: float
    waiting: float

    @property
    def cores(self) -> float:
        """The cores that would serve all of it in time."""
        flow = self.rate + self.waiting / _DRAIN_SECONDS
        return self.long_lived + max(self.running, flow)


@attrs.frozen(kw_only=True)
class PoolSupply:
    """A pool's VMs; ``idle`` names those that could leave at once.

    ``size`` counts the VMs on their way to the pool too. ``vm_cores`` is
    the mean of the pool's VMs.
    """

    name: str
    standby: bool
    size: int
    idle: tuple[str, ...]
    vm_cores: float
    need: PoolNeed


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
    long_lived = running = waiting = 0.0
    for job in jobs:
        demand = _demand(job, now, estimator)
        long_lived += demand.long_lived
        running += demand.running
        waiting += demand.waiting
    recent = [each.work for each in arrivals if now - each.at < _RATE_SECONDS]
    return PoolNeed(
        long_lived=long_lived,
        running=running,
        rate=sum(recent) / _RATE_SECONDS,
        waiting=waiting,
    )


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
        long_lived=long_lived, running=running, rate=0.0, waiting=waiting
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
    if pool.standby:
        return 0
    cores = pool.need.cores / _FILL
    return max(_MIN_VMS, math.ceil(cores / max(pool.vm_cores, 1.0)))


def plan_moves(
    pools: collections.abc.Sequence[PoolSupply],
) -> list[Move]:
    """Return the moves that bring VMs to the pools that lack them.

    VMs of standby pools go first; then idle VMs of pools that have more
    than they need. The pool that lacks most is served first.
    """
    wanted = {pool.name: wanted_vms(pool) for pool in pools}
    size = {pool.name: pool.size for pool in pools}
    idle = {pool.name: list(pool.idle) for pool in pools}
    moves: list[Move] = []
    while True:
        target = max(
            (pool for pool in pools if not pool.standby),
            key=lambda pool: wanted[pool.name] - size[pool.name],
            default=None,
        )
        if target is None or wanted[target.name] <= size[target.name]:
            return moves
        source = _source(pools, wanted, size, idle, target)
        if source is None:
            return moves
        vm = idle[source.name].pop()
        size[source.name] -= 1
        size[target.name] += 1
        moves.append(Move(vm=vm, source=source.name, target=target.name))


def _source(
    pools: collections.abc.Sequence[PoolSupply],
    wanted: dict[str, int],
    size: dict[str, int],
    idle: dict[str, list[str]],
    target: PoolSupply,
) -> PoolSupply | None:
    best: PoolSupply | None = None
    for pool in pools:
        if pool is target or not idle[pool.name]:
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
