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


class Estimator:
    """Learns how long the tasks of each queue run.

    Declared run times may be off by a factor of two in both directions, so
    that a single declaration says less than the queue's mean; the two are
    averaged. What a step's first tasks took replaces both.
    """

    def __init__(self) -> None:
        self._seconds: dict[str, collections.deque[float]] = {}
        self._work: dict[str, collections.deque[float]] = {}

    def record_task(self, queue: str, seconds: float) -> None:
        """Note the run time of a task that ended well."""
        history = self._seconds.setdefault(
            queue, collections.deque(maxlen=_HISTORY_TASKS)
        )
        history.append(seconds)

    def record_job(self, queue: str, work: float) -> None:
        """Note the declared work of a job, in core-seconds."""
        history = self._work.setdefault(
            queue, collections.deque(maxlen=_HISTORY_TASKS)
        )
        history.append(work)

    def mean_work(self, queue: str) -> float:
        """Return the mean work of the queue's jobs in core-seconds."""
        history = self._work.get(queue)
        return sum(history) / len(history) if history else 1.0

    def task_seconds(self, queue: str, step: _model.Step) -> float:
        """Return the expected run time of a task of ``step``."""
        declared = step.estimated_seconds or _DEFAULT_SECONDS
        history = self._seconds.get(queue)
        if not history or len(history) < _KNOWN_TASKS:
            return declared
        return (declared + sum(history) / len(history)) / 2


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
    return sum(
        task.step.demand.cores
        * estimator.task_seconds(job.spec.queue, task.step)
        for task in job.tasks
        if task.phase is not _progress.TaskPhase.DONE
    )


def chain_seconds(
    job: _progress.Job, estimator: Estimator, *, only_remaining: bool = False
) -> float:
    """Return the longest chain of steps, in seconds of run time.

    Args:
        only_remaining: Leave out the steps that are done.
    """
    done: set[int] = set()
    if only_remaining:
        left = {
            task.step.index
            for task in job.tasks
            if task.phase is not _progress.TaskPhase.DONE
        }
        done = {step.index for step in job.spec.steps} - left
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
