"""Run time estimates, learned from completed tasks."""

import collections

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Values kept for each queue: enough for a stable mean, and few enough that
# old ones drop out within a few peaks.
_HISTORY_LENGTH = 200
# Completed tasks from which on a queue's mean run time is used.
_MIN_HISTORY_TASKS = 12
# Used if no run time was declared.
_DEFAULT_RUN_SECONDS = 1.0


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


class Estimator:
    """Learns how long the tasks of each queue run.

    Declared run times may be off by a factor of two in both directions, so
    that a single declaration says less than the queue's mean; the two are
    averaged.
    """

    def __init__(self) -> None:
        self._run_seconds: dict[str, _MovingMean] = {}
        # By queue, the mean run time once it is used.
        self._mean_seconds: dict[str, float] = {}
        self._job_work: dict[str, _MovingMean] = {}

    def record_task(self, queue: str, seconds: float) -> None:
        """Record the run time of a task that completed successfully."""
        history = self._run_seconds.setdefault(queue, _MovingMean())
        history.add(seconds)
        if len(history) >= _MIN_HISTORY_TASKS:
            self._mean_seconds[queue] = history.mean

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

    def task_seconds(self, queue: str, step: _model.Step) -> float:
        """Return the expected run time of a task of ``step``."""
        declared = step.estimated_seconds or _DEFAULT_RUN_SECONDS
        mean = self._mean_seconds.get(queue)
        return declared if mean is None else (declared + mean) / 2


def job_work(job: _progress.Job, estimator: Estimator) -> float:
    """Return the estimated core-seconds of one occurrence of a job."""
    return sum(
        step.task_count
        * step.demand.cores
        * estimator.task_seconds(job.spec.queue, step)
        for step in job.spec.steps
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
