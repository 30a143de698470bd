"""Run time estimates, learned from completed tasks."""

import collections
import math

import attrs

from peridotsill_scheduler import _arrivals
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Values kept for each queue: enough for a stable mean, and few enough that
# old ones drop out within a few peaks.
_HISTORY_LENGTH = 200
# Completed tasks from which on a queue's mean run time is used.
_MIN_HISTORY_TASKS = 12
# More than the rounding of the sums over a job's steps, in seconds.
_ROUNDING_SECONDS = 1e-6
# Bounds of the mean factor between expected and actual run times. Estimates
# are averages of a declaration and a mean, so a larger one is an outlier.
_MIN_RUN_FACTOR = 0.5
_MAX_RUN_FACTOR = 2.0
# Bounds of the factor by which nearly all runs last at most as long as
# expected, and its value before it is known: declarations may be off by two.
_MIN_RUN_MARGIN = 1.0
_MAX_RUN_MARGIN = 3.0
_UNKNOWN_RUN_MARGIN = 2.0
# Shortest time for which a run is expected to last.
_MIN_EXPECTED_SECONDS = 0.01


class _MovingMean:
    """Mean of the last ``_HISTORY_LENGTH`` values, updated in O(1)."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque()
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._values)

    @property
    def mean(self) -> float:
        return self._total / len(self._values)

    def add(self, value: float) -> None:
        self._values.append(value)
        self._total += value
        if len(self._values) > _HISTORY_LENGTH:
            self._total -= self._values.popleft()


class _RatioHistory:
    """Mean and spread of the newest ratios of actual to expected times."""

    def __init__(self) -> None:
        self._ratios = _MovingMean()
        self._squares = _MovingMean()

    def __len__(self) -> int:
        return len(self._ratios)

    @property
    def mean(self) -> float:
        return self._ratios.mean

    @property
    def deviation(self) -> float:
        variance = self._squares.mean - self._ratios.mean**2
        return math.sqrt(max(0.0, variance))

    def add(self, ratio: float) -> None:
        # One run that hung must not hide the others.
        ratio = min(ratio, _MAX_RUN_MARGIN)
        self._ratios.add(ratio)
        self._squares.add(ratio * ratio)


class Estimator:
    """Learns how long the tasks of each queue run.

    Declared run times may be off by a factor of two in both directions, so
    that a single declaration says less than the queue's mean; the two are
    averaged.
    """

    def __init__(self) -> None:
        self._run_seconds: dict[str, _MovingMean] = {}
        # By queue, once its mean run time is used.
        self._bases: dict[str, Basis] = {}
        self._job_work: dict[str, _MovingMean] = {}
        self._ratios: dict[str, _RatioHistory] = {}

    def record_task(
        self, queue: str, seconds: float, step: _model.Step | None = None
    ) -> None:
        """Record the run time of a task that completed successfully.

        Args:
            queue: The queue of its job.
            seconds: The run time.
            step: Its step, to learn how good the estimates are.
        """
        if step is not None:
            expected = self.task_seconds(queue, step)
            ratios = self._ratios.setdefault(queue, _RatioHistory())
            ratios.add(seconds / expected)
        history = self._run_seconds.setdefault(queue, _MovingMean())
        history.add(seconds)
        if len(history) >= _MIN_HISTORY_TASKS:
            self._bases[queue] = Basis(mean=history.mean, share=0.5)

    def record_job(self, queue: str, work: float) -> None:
        """Record the estimated work of one occurrence of a job.

        The work is in core-seconds.
        """
        self._job_work.setdefault(queue, _MovingMean()).add(work)

    def mean_work(self, queue: str) -> float:
        """Return the mean work recorded for the queue, in core-seconds.

        It is 1 as long as no job was recorded.
        """
        history = self._job_work.get(queue)
        return history.mean if history else 1.0

    def basis(self, queue: str) -> "Basis":
        """Return what the estimates of a queue's tasks are made from."""
        return self._bases.get(queue, _DECLARED_ONLY)

    def task_seconds(self, queue: str, step: _model.Step) -> float:
        """Return the expected run time of a task of ``step``."""
        basis = self.basis(queue)
        return (step.declared_seconds + basis.mean) * basis.share

    def run_factor(self, queue: str) -> float:
        """Return the mean ratio of actual to expected run times.

        It is between 0.5 and 2, and 1 while too few runs have ended.
        """
        ratios = self._ratios.get(queue)
        if ratios is None or len(ratios) < _MIN_HISTORY_TASKS:
            return 1.0
        return min(max(ratios.mean, _MIN_RUN_FACTOR), _MAX_RUN_FACTOR)

    def run_margin(self, queue: str) -> float:
        """Return the factor within which most runs end.

        Times the expected run time, this is the mean plus the standard
        deviation of the actual ones. It is between 1 and 3, and 2 while too
        few runs have ended.
        """
        ratios = self._ratios.get(queue)
        if ratios is None or len(ratios) < _MIN_HISTORY_TASKS:
            return _UNKNOWN_RUN_MARGIN
        margin = ratios.mean + ratios.deviation
        return min(max(margin, _MIN_RUN_MARGIN), _MAX_RUN_MARGIN)


@attrs.frozen(kw_only=True)
class Basis:
    """A task's expected run time is ``(declared + mean) * share`` seconds.

    As long as a queue has no mean, ``mean`` is 0 and ``share`` is 1.
    """

    mean: float = 0.0
    share: float = 1.0


_DECLARED_ONLY = Basis()


def job_work(job: _progress.Job, estimator: Estimator) -> float:
    """Return the estimated core-seconds of one occurrence of a job."""
    return sum(
        step.task_count
        * step.demand.cores
        * estimator.task_seconds(job.spec.queue, step)
        for step in job.spec.steps
    )


def arrival_of(job: _progress.Job, estimator: Estimator) -> _arrivals.Arrival:
    """Return a job's arrival, with its work and expected duration."""
    return _arrivals.Arrival(
        at=job.arrived_at,
        work=job_work(job, estimator),
        seconds=critical_path_seconds(job, estimator),
    )


def remaining_work(job: _progress.Job, estimator: Estimator) -> float:
    """Return the estimated core-seconds of the unfinished tasks.

    Only the occurrences that were due so far count.
    """
    return sum(
        job.tally.of_step(step.index).unfinished
        * step.demand.cores
        * estimator.task_seconds(job.spec.queue, step)
        for step in job.spec.steps
    )


def remaining_run_seconds(
    job: _progress.Job,
    task: _progress.Task,
    estimator: Estimator,
    now: float,
) -> float:
    """Return the expected remaining run time of a task on a VM.

    Infinite for a long-lived task; 0 for one that has run longer than
    expected; the whole run time if its start is not confirmed.
    """
    if task.step.long_lived:
        return float("inf")
    expected = estimator.task_seconds(job.spec.queue, task.step)
    spent = now - task.started_at if task.started_at else 0.0
    return max(0.0, expected - spent)


def expected_end(
    job: _progress.Job,
    step: _model.Step,
    started_at: float,
    estimator: Estimator,
    now: float,
) -> float:
    """Return when a run is expected to end, by past errors of estimates.

    Infinite for a long-lived task. A run that has lasted longer than expected
    is given twice the time, as often as needed, so that the time of its end
    moves on with it. If the start is not confirmed (``started_at`` is 0), the
    run counts as begun now.
    """
    if step.long_lived:
        return float("inf")
    queue = job.spec.queue
    expected = estimator.task_seconds(queue, step) * estimator.run_factor(
        queue
    )
    expected = max(expected, _MIN_EXPECTED_SECONDS)
    begun_at = started_at or now
    spent = now - begun_at
    if spent >= expected:
        expected *= 2.0 ** (math.floor(math.log2(spent / expected)) + 1)
    return begun_at + expected


def critical_path_seconds(
    job: _progress.Job, estimator: Estimator, *, only_remaining: bool = False
) -> float:
    """Return the run time of the longest chain of dependent steps.

    Args:
        only_remaining: Count steps as taking no time if none of their tasks
            in the occurrences due so far is unfinished.
    """
    queue = job.spec.queue
    end_seconds: dict[int, float] = {}
    for step in job.spec.steps:
        start_seconds = 0.0
        if step.after:
            start_seconds = max(
                [end_seconds.get(each, 0.0) for each in step.after]
            )
        step_seconds = 0.0
        if not only_remaining or job.tally.of_step(step.index).unfinished:
            step_seconds = estimator.task_seconds(queue, step)
        end_seconds[step.index] = start_seconds + step_seconds
    return max(end_seconds.values(), default=0.0)


def objective_seconds(job: _progress.Job, estimator: Estimator) -> float:
    """Return the time from arrival within which a job should complete."""
    critical_path = critical_path_seconds(job, estimator)
    return job.queue.stretch * critical_path + job.queue.target_seconds


def is_late(job: _progress.Job, now: float, estimator: Estimator) -> bool:
    """Tell whether a job has ended, or its objective has passed.

    The objective is that of `objective_seconds`. It is found from the job's
    longest chains of steps, and from all steps only if it passes about now,
    as rounding differs between the two.
    """
    if job.final:
        return True
    age = now - job.arrived_at
    left = _objective_by_chains(job, estimator) - age
    if abs(left) > _ROUNDING_SECONDS:
        return left < 0
    return age >= objective_seconds(job, estimator)


def _objective_by_chains(job: _progress.Job, estimator: Estimator) -> float:
    basis = estimator.basis(job.spec.queue)
    chains = job.longest_chains
    path = max([each.seconds(basis.mean) for each in chains], default=0.0)
    return job.queue.stretch * path * basis.share + job.queue.target_seconds


@attrs.frozen(kw_only=True)
class Outlook:
    """Estimates of a job, in seconds and core-seconds.

    They are those of `objective_seconds`, `critical_path_seconds` of what
    remains, `job_work` and `remaining_work`, from one pass over the steps.
    """

    objective: float
    remaining_path: float
    work: float
    remaining_work: float


def outlook(job: _progress.Job, estimator: Estimator) -> Outlook:
    """Return a job's estimates."""
    queue = job.spec.queue
    work = remaining = 0.0
    ends: dict[int, float] = {}
    remaining_ends: dict[int, float] = {}
    for step in job.spec.steps:
        seconds = estimator.task_seconds(queue, step)
        unfinished = job.tally.of_step(step.index).unfinished
        work += step.task_count * step.demand.cores * seconds
        remaining += unfinished * step.demand.cores * seconds
        end = seconds
        remaining_end = seconds if unfinished else 0.0
        if step.after:
            end += max([ends.get(each, 0.0) for each in step.after])
            remaining_end += max(
                [remaining_ends.get(each, 0.0) for each in step.after]
            )
        ends[step.index] = end
        remaining_ends[step.index] = remaining_end
    path = max(ends.values(), default=0.0)
    return Outlook(
        objective=job.queue.stretch * path + job.queue.target_seconds,
        remaining_path=max(remaining_ends.values(), default=0.0),
        work=work,
        remaining_work=remaining,
    )
