"""The demand on pools: how many VMs each needs, now and soon."""

import collections.abc
import math

import attrs

from peridotsill_scheduler import _arrivals
from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# How far ahead a rising arrival rate is extrapolated. The measured rate is
# that of the middle of its window, and a VM that is requested now can be used
# only after a move, which takes 1.5 s.
_FORECAST_SECONDS = _arrivals.RATE_WINDOW_SECONDS / 2 + 1.5
# A rise is extrapolated to this multiple of earlier peaks, and not beyond.
_PEAK_MARGIN_FACTOR = 1.25
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
class PoolDemand:
    """The present demand on a pool, in cores unless stated otherwise.

    ``long_lived`` is the demand of long-lived tasks, including waiting
    ones unless their job has ended; ``running`` is what the active tasks of
    all other steps have reserved, and ``late_running`` the part of it that
    belongs to late jobs. ``rate`` is the work, in core-seconds, that
    arrives per second, and ``rate_growth`` its increase per second, 0 if it
    falls. ``waiting`` is the work, in core-seconds, of waiting tasks whose
    jobs are not late, without long-lived ones. ``ready`` is what those of
    them would reserve whose preceding steps are done. A job counts as late
    once its objective time has passed or it has ended; ``late_ready`` is
    what the ready tasks of such jobs would reserve. ``earlier_peak`` is
    the highest rate of earlier peaks, 0 if there was none, and
    ``remaining_cores`` and ``mean_seconds`` are as in `ArrivalRates`.
    """

    long_lived: float
    running: float
    rate: float
    waiting: float
    late_running: float = 0.0
    rate_growth: float = 0.0
    ready: float = 0.0
    late_ready: float = 0.0
    earlier_peak: float = 0.0
    remaining_cores: float = 0.0
    mean_seconds: float = 0.0

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
        return self.long_lived + max(
            running, self._unstarted_work_cores + self._forecast_growth
        )

    @property
    def usable_cores(self) -> float:
        """Cores that work can use once a requested VM is usable.

        Tasks that wait use the cores that they reserve, and those of a step
        that waits for others use none yet. A job uses its work divided by
        its duration, from its arrival until its end, so that cores follow a
        rise of the rate only over the duration of the jobs. Both count the
        same jobs, so the larger one counts.
        """
        running = self.running - self.late_running
        arriving = self._rate_forecast * min(
            1.0, _arrivals.MOVE_SECONDS / max(self.mean_seconds, 0.1)
        )
        return self.long_lived + max(
            running + self.ready, self.remaining_cores + arriving
        )

    @property
    def cores_with_late_jobs(self) -> float:
        """As `usable_cores`, and at least what all jobs can use now."""
        startable = self.running + self.ready + self.late_ready
        return max(self.usable_cores, self.long_lived + startable)

    @property
    def _rate_forecast(self) -> float:
        """Arrival rate, in cores, while a requested VM is on its way.

        Of a rise in one step the window shows a growth that goes on when the
        rate no longer rises, so that the extrapolation has bounds.
        """
        bound = self.earlier_peak * _PEAK_MARGIN_FACTOR
        forecast = self.rate + self._forecast_growth
        return min(forecast, bound) if self.rate <= bound else forecast

    @property
    def _forecast_growth(self) -> float:
        return min(self.rate_growth * _FORECAST_SECONDS, self.rate)

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
    rates: _arrivals.ArrivalRates,
    now: float,
    estimator: _estimates.Estimator,
    count_startable: CountStartable = count_all,
) -> PoolDemand:
    """Return the demand of a pool's jobs and arrivals.

    Args:
        jobs: The open jobs.
        rates: The rates at which work arrives.
        now: Seconds of the monotonic clock.
        estimator: Estimates the run times of tasks.
        count_startable: Returns how many of a step's waiting tasks count;
            by default all of them.
    """
    totals = _Totals()
    for job in jobs:
        _add_job(totals, job, now, estimator, count_startable)
    return PoolDemand(
        long_lived=totals.long_lived,
        running=totals.running,
        rate=rates.recent,
        waiting=totals.waiting,
        late_running=totals.late_running,
        rate_growth=rates.growth,
        ready=totals.ready,
        late_ready=totals.late_ready,
        earlier_peak=rates.earlier_peak,
        remaining_cores=rates.remaining_cores,
        mean_seconds=rates.mean_seconds,
    )


@attrs.define(kw_only=True)
class _Totals:
    """The fields of a pool's demand that its jobs add to."""

    long_lived: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    late_running: float = 0.0
    ready: float = 0.0
    late_ready: float = 0.0


# A step with waiting tasks: their number, the cores that one reserves, the
# same if the steps before are done and 0 if not, and its declared seconds.
_WaitingStep = tuple[_model.Step, int, float, float, float]


@attrs.frozen(kw_only=True)
class _JobFigures:
    """What the demand of a job is made of, apart from time and estimates.

    It holds until the job's counts, queue or state change. ``long_lived``
    and ``running`` are in cores.
    """

    state: _progress.JobState
    queue: _model.Queue
    long_lived: float
    running: float
    waiting: tuple[_WaitingStep, ...]
    waiting_long_lived: tuple[_WaitingStep, ...]


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
    for step, count, cores, _, _ in figures.waiting_long_lived:
        held = count - count_startable(job, step, count)
        totals.long_lived -= cores * held
    basis = estimator.basis(job.spec.queue)
    waiting = ready = 0.0
    for step, count, cores, ready_cores, declared in figures.waiting:
        startable = count_startable(job, step, count)
        waiting += cores * ((declared + basis.mean) * basis.share) * startable
        ready += ready_cores * startable
    if not waiting and not figures.running:
        return
    if _estimates.is_late(job, now, estimator):
        totals.late_running += figures.running
        totals.late_ready += ready
    else:
        totals.waiting += waiting
        totals.ready += ready


def _is_current(figures: _JobFigures, job: _progress.Job) -> bool:
    return figures.state is job.state and figures.queue is job.queue


def _work_out_figures(job: _progress.Job) -> _JobFigures:
    long_lived = running = 0.0
    waiting: list[_WaitingStep] = []
    waiting_long_lived: list[_WaitingStep] = []
    final = job.final
    for step in job.spec.steps:
        counts = job.tally.of_step(step.index)
        cores = step.reserved.cores
        if step.long_lived:
            long_lived += cores * (counts.active if final else counts.total)
        else:
            running += cores * counts.active
        if counts.waiting and not final:
            kind = waiting_long_lived if step.long_lived else waiting
            ready = cores if not step.after or _is_ready(job, step) else 0.0
            seconds = step.declared_seconds
            kind.append((step, counts.waiting, cores, ready, seconds))
    return _JobFigures(
        state=job.state,
        queue=job.queue,
        long_lived=long_lived,
        running=running,
        waiting=tuple(waiting),
        waiting_long_lived=tuple(waiting_long_lived),
    )


def _is_ready(job: _progress.Job, step: _model.Step) -> bool:
    return not any(job.tally.of_step(each).unfinished for each in step.after)


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


def usable_vms(pool: PoolSupply) -> int:
    """Return how many VMs a pool's work can use, by `usable_cores`."""
    return vms_for(pool, pool.demand.usable_cores)


def vms_with_late_jobs(pool: PoolSupply) -> int:
    """Return how many VMs a pool's work can use, with late jobs."""
    return vms_for(pool, pool.demand.cores_with_late_jobs)


def vms_for(pool: PoolSupply, cores: float) -> int:
    """Return how many of a pool's VMs are needed for this many cores."""
    if pool.standby:
        return 0
    vms = cores / _PACKING_EFFICIENCY / max(pool.vm_cores, 1.0)
    return max(MIN_POOL_VMS, math.ceil(vms))
