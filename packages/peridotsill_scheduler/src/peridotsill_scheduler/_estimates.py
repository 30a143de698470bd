"""Estimates of run times, learned from the tasks that ended."""

import collections

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Ended tasks kept for each queue; enough for a stable mean, and old ones
# leave within a few peaks.
_HISTORY_TASKS = 200
# A queue's mean counts as known from this many ended tasks on.
_KNOWN_TASKS = 12
# Before anything is known and nothing was declared.
_DEFAULT_SECONDS = 1.0


class _RecentMean:
    """The mean of the newest values, kept up with each new one."""

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
        if len(self._values) > _HISTORY_TASKS:
            self._total -= self._values.popleft()


class Estimator:
    """Learns how long the tasks of each queue run.

    Declared run times may be off by a factor of two in both directions, so
    that a single declaration says less than the queue's mean; the two are
    averaged. What a step's first tasks took replaces both.
    """

    def __init__(self) -> None:
        self._seconds: dict[str, _RecentMean] = {}
        self._work: dict[str, _RecentMean] = {}

    def record_task(self, queue: str, seconds: float) -> None:
        """Note the run time of a task that ended well."""
        self._seconds.setdefault(queue, _RecentMean()).add(seconds)

    def record_job(self, queue: str, work: float) -> None:
        """Note the declared work of a job, in core-seconds."""
        self._work.setdefault(queue, _RecentMean()).add(work)

    def mean_work(self, queue: str) -> float:
        """Return the mean work of the queue's jobs in core-seconds."""
        history = self._work.get(queue)
        return history.mean if history else 1.0

    def task_seconds(self, queue: str, step: _model.Step) -> float:
        """Return the expected run time of a task of ``step``."""
        declared = step.estimated_seconds or _DEFAULT_SECONDS
        history = self._seconds.get(queue)
        if not history or len(history) < _KNOWN_TASKS:
            return declared
        return (declared + history.mean) / 2


def job_work(job: _progress.Job, estimator: Estimator) -> float:
    """Return the core-seconds of one occurrence of a whole job."""
    return sum(
        step.task_count
        * step.demand.cores
        * estimator.task_seconds(job.spec.queue, step)
        for step in job.spec.steps
    )


def remaining_work(job: _progress.Job, estimator: Estimator) -> float:
    """Return the core-seconds that are not done yet."""
    left = _unfinished_tasks(job)
    return sum(
        left[step.index]
        * step.demand.cores
        * estimator.task_seconds(job.spec.queue, step)
        for step in job.spec.steps
    )


def _unfinished_tasks(job: _progress.Job) -> collections.Counter[int]:
    """Count the tasks that are not done by their step's index."""
    done = _progress.TaskPhase.DONE
    return collections.Counter(
        [task.step.index for task in job.tasks if task.phase is not done]
    )


def seconds_left(
    job: _progress.Job,
    task: _progress.Task,
    estimator: Estimator,
    now: float,
) -> float:
    """Return the seconds until a task on a VM should end.

    Infinite for a long-lived task; 0 for one that is overdue.
    """
    if task.step.long_lived:
        return float("inf")
    expected = estimator.task_seconds(job.spec.queue, task.step)
    spent = now - task.started_at if task.started_at else 0.0
    return max(0.0, expected - spent)


def chain_seconds(
    job: _progress.Job, estimator: Estimator, *, only_remaining: bool = False
) -> float:
    """Return the longest chain of steps, in seconds of run time.

    Args:
        only_remaining: Leave out the steps that are done.
    """
    done: set[int] = set()
    if only_remaining:
        done = {step.index for step in job.spec.steps}
        done -= set(_unfinished_tasks(job))
    ends: dict[int, float] = {}
    for step in job.spec.steps:
        begin = max((ends.get(each, 0.0) for each in step.after), default=0.0)
        own = 0.0
        if step.index not in done:
            own = estimator.task_seconds(job.spec.queue, step)
        ends[step.index] = begin + own
    return max(ends.values(), default=0.0)


def objective_seconds(job: _progress.Job, estimator: Estimator) -> float:
    """Return how long after its arrival a job should be complete."""
    chain = chain_seconds(job, estimator)
    return job.queue.stretch * chain + job.queue.target_seconds
