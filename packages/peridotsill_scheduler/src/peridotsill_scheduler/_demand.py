"""The demand on pools: how many VMs each needs, now and soon."""

import collections.abc
import math

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Window over which the arrival rate is measured: long enough for a few jobs
# to arrive in it during a peak, and short compared with the peak.
_RATE_WINDOW_SECONDS = 1.5
# How far ahead a rising arrival rate is extrapolated. The measured rate is
# that of the middle of its window, and a VM that is requested now can be used
# only after a move, which takes 1.5 s.
_FORECAST_SECONDS = _RATE_WINDOW_SECONDS / 2 + 1.5
# Waiting work should be started within this time, which is about the slack
# that an objective leaves.
_BACKLOG_START_SECONDS = 1.2
# Share of a VM's cores that tasks of uneven sizes can use.
_PACKING_EFFICIENCY = 0.85
# VMs that a pool always keeps, for jobs that arrive between peaks.
MIN_POOL_VMS = 2


# Returns how many of a step's waiting tasks count, given their number.
CountStartable = collections.abc.Callable[
    [_progress.Job, _model.Step, int], int
]


def count_all(job: _progress.Job, step: _model.Step, waiting: int) -> int:
    """Return the number itself: every waiting task counts."""
    return waiting


@attrs.frozen(kw_only=True)
class Arrival:
    """Work that arrived: monotonic time in seconds, and core-seconds."""

    at: float
    work: float


@attrs.frozen(kw_only=True)
class PoolDemand:
    """The present demand on a pool, in cores unless stated otherwise.

    ``long_lived`` is the demand of long-lived tasks, including waiting
    ones unless their job has ended; ``running`` is what the active tasks of
    all other steps have reserved, and ``late_running`` the part of it that
    belongs to late jobs. ``rate`` is the work, in core-seconds, that
    arrives per second, and ``rate_growth`` its increase per second, 0 if it
    falls. ``waiting`` is the work, in core-seconds, of waiting tasks whose
    jobs are not late, without long-lived ones. A job counts as late once
    its objective time has passed or it has ended.
    """

    long_lived: float
    running: float
    rate: float
    waiting: float
    late_running: float = 0.0
    rate_growth: float = 0.0

    @property
    def cores(self) -> float:
        """Cores that serve the whole demand in time."""
        return self.long_lived + max(self.running, self._unstarted_work_cores)

    @property
    def cores_without_late_jobs(self) -> float:
        """Cores that serve the demand, without those that late jobs use."""
        running = self.running - self.late_running
        return self.long_lived + max(running, self._unstarted_work_cores)

    @property
    def cores_forecast(self) -> float:
        """Cores needed, without late jobs, once a requested VM is usable.

        The extrapolated rate is at most twice the present one, as the few
        jobs in a window are a weak basis for a trend.
        """
        running = self.running - self.late_running
        forecast_growth = min(self.rate_growth * _FORECAST_SECONDS, self.rate)
        return self.long_lived + max(
            running, self._unstarted_work_cores + forecast_growth
        )

    @property
    def _unstarted_work_cores(self) -> float:
        return self.rate + self.waiting / _BACKLOG_START_SECONDS


@attrs.frozen(kw_only=True)
class PoolSupply:
    """The VMs of a pool, and its demand.

    ``idle`` names the VMs that can be moved at once, and ``busy`` those
    whose tasks are all expected to end within about the time that a move
    takes, the soonest first. ``size`` includes VMs that are being moved to
    the pool. ``vm_cores`` is the mean number of cores of the pool's VMs.
    """

    name: str
    standby: bool
    size: int
    idle: tuple[str, ...]
    vm_cores: float
    demand: PoolDemand
    busy: tuple[str, ...] = ()


def pool_demand(
    jobs: collections.abc.Iterable[_progress.Job],
    arrivals: collections.abc.Iterable[Arrival],
    now: float,
    estimator: _estimates.Estimator,
    count_startable: CountStartable = count_all,
) -> PoolDemand:
    """Return the demand of a pool's jobs and arrivals.

    Args:
        jobs: The open jobs.
        arrivals: The work that arrived in the last windows.
        now: Seconds of the monotonic clock.
        estimator: Estimates the run times of tasks.
        count_startable: Returns how many of a step's waiting tasks count;
            by default all of them.
    """
    long_lived = running = waiting = late_running = 0.0
    for job in jobs:
        job_demand = _job_demand(job, now, estimator, count_startable)
        long_lived += job_demand.long_lived
        running += job_demand.running
        waiting += job_demand.waiting
        late_running += job_demand.late_running
    rate, previous = _arrival_rates(arrivals, now)
    return PoolDemand(
        long_lived=long_lived,
        running=running,
        rate=rate,
        waiting=waiting,
        late_running=late_running,
        rate_growth=max(0.0, rate - previous) / _RATE_WINDOW_SECONDS,
    )


def _arrival_rates(
    arrivals: collections.abc.Iterable[Arrival], now: float
) -> tuple[float, float]:
    """Return the arrival rates of the last window and the one before."""
    recent = previous = 0.0
    for each in arrivals:
        age = now - each.at
        if age < _RATE_WINDOW_SECONDS:
            recent += each.work
        elif age < 2 * _RATE_WINDOW_SECONDS:
            previous += each.work
    return recent / _RATE_WINDOW_SECONDS, previous / _RATE_WINDOW_SECONDS


def _job_demand(
    job: _progress.Job,
    now: float,
    estimator: _estimates.Estimator,
    count_startable: CountStartable,
) -> PoolDemand:
    """Return the demand of one job, without an arrival rate."""
    long_lived = running = 0.0
    waiting_steps = []
    for step in job.spec.steps:
        counts = job.tally.of_step(step.index)
        startable = counts.waiting
        if startable:
            startable = count_startable(job, step, startable)
        if step.long_lived:
            count = counts.active
            if not job.final:
                count = counts.total - counts.waiting + startable
            long_lived += step.reserved.cores * count
            continue
        if counts.active:
            running += step.reserved.cores * counts.active
        if startable:
            waiting_steps.append((step, startable))
    waiting = late_running = 0.0
    if waiting_steps or running:
        if _is_within_objective(job, now, estimator):
            for step, count in waiting_steps:
                seconds = estimator.task_seconds(job.spec.queue, step)
                waiting += step.reserved.cores * seconds * count
        else:
            late_running = running
    return PoolDemand(
        long_lived=long_lived,
        running=running,
        rate=0.0,
        waiting=waiting,
        late_running=late_running,
    )


def _is_within_objective(
    job: _progress.Job, now: float, estimator: _estimates.Estimator
) -> bool:
    if job.final:
        return False
    objective = _estimates.objective_seconds(job, estimator)
    return now - job.arrived_at < objective


def wanted_vms(pool: PoolSupply) -> int:
    """Return how many VMs a pool needs for its present demand.

    A standby pool needs none.
    """
    return vms_for(pool, pool.demand.cores)


def forecast_vms(pool: PoolSupply) -> int:
    """Return how many VMs a pool needs once a requested VM is usable.

    Unlike `wanted_vms`, it leaves out what late jobs use.
    """
    return vms_for(pool, pool.demand.cores_forecast)


def vms_for(pool: PoolSupply, cores: float) -> int:
    """Return how many of a pool's VMs are needed for this many cores."""
    if pool.standby:
        return 0
    vms = cores / _PACKING_EFFICIENCY / max(pool.vm_cores, 1.0)
    return max(MIN_POOL_VMS, math.ceil(vms))
