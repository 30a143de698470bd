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
    totals = _Totals()
    for job in jobs:
        _add_job(totals, job, now, estimator, count_startable)
    rate, previous = _arrival_rates(arrivals, now)
    return PoolDemand(
        long_lived=totals.long_lived,
        running=totals.running,
        rate=rate,
        waiting=totals.waiting,
        late_running=totals.late_running,
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


@attrs.define(kw_only=True)
class _Totals:
    """The fields of a pool's demand that its jobs add to."""

    long_lived: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    late_running: float = 0.0


@attrs.frozen(kw_only=True)
class _JobFigures:
    """What the demand of a job is made of, apart from time and estimates.

    It holds until the job's counts, queue or state change. ``long_lived``
    and ``running`` are in cores. For each step with waiting tasks,
    ``waiting`` has the step, their number, the cores of one and its declared
    seconds, and ``waiting_long_lived`` the same but for the seconds.
    """

    state: _progress.JobState
    queue: _model.Queue
    long_lived: float
    running: float
    waiting: tuple[tuple[_model.Step, int, float, float], ...]
    waiting_long_lived: tuple[tuple[_model.Step, int, float], ...]


def _add_job(
    totals: _Totals,
    job: _progress.Job,
    now: float,
    estimator: _estimates.Estimator,
    count_startable: CountStartable,
) -> None:
    """Add the demand of one job.

    A backlog may have some hundred jobs, few of which change from one
    decision to the next. So a job's steps are looked at only when it has.
    """
    figures = job.tally.memo
    if figures is None or not _is_current(figures, job):
        figures = job.tally.memo = _work_out_figures(job)
    totals.long_lived += figures.long_lived
    totals.running += figures.running
    for step, count, cores in figures.waiting_long_lived:
        held = count - count_startable(job, step, count)
        totals.long_lived -= cores * held
    basis = estimator.basis(job.spec.queue)
    waiting = 0.0
    for step, count, cores, declared in figures.waiting:
        seconds = (declared + basis.mean) * basis.share
        waiting += cores * seconds * count_startable(job, step, count)
    if not waiting and not figures.running:
        return
    if _estimates.is_late(job, now, estimator):
        totals.late_running += figures.running
    else:
        totals.waiting += waiting


def _is_current(figures: _JobFigures, job: _progress.Job) -> bool:
    return figures.state is job.state and figures.queue is job.queue


def _work_out_figures(job: _progress.Job) -> _JobFigures:
    long_lived = running = 0.0
    waiting = []
    waiting_long_lived = []
    final = job.final
    for step in job.spec.steps:
        counts = job.tally.of_step(step.index)
        cores = step.reserved.cores
        count = 0 if final else counts.waiting
        if step.long_lived:
            long_lived += cores * (counts.active if final else counts.total)
            if count:
                waiting_long_lived.append((step, count, cores))
        else:
            running += cores * counts.active
            if count:
                waiting.append((step, count, cores, step.declared_seconds))
    return _JobFigures(
        state=job.state,
        queue=job.queue,
        long_lived=long_lived,
        running=running,
        waiting=tuple(waiting),
        waiting_long_lived=tuple(waiting_long_lived),
    )


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
