"""Availability budgets: when a long-lived task may be evicted."""

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Budget of a step that declares none: its tasks are evicted one at a time.
_DEFAULT_MAX_UNAVAILABLE = 1


def max_unavailable(step: _model.Step) -> int:
    """Return how many tasks of a step may be unavailable at once."""
    if step.may_miss is None:
        return _DEFAULT_MAX_UNAVAILABLE
    return step.may_miss


def may_evict(
    job: _progress.Job,
    task: _progress.Task,
    available_keys: frozenset[str],
) -> bool:
    """Tell whether evicting a task stays within its step's budget.

    It always does if the task isn't long-lived or its job has ended.

    Args:
        job: The task's job.
        task: The task to be stopped, or lost together with its VM.
        available_keys: Keys of the job's tasks that are known to run at
            full speed; all others count as unavailable.
    """
    if job.final or not task.step.long_lived:
        return True
    others = [
        each
        for each in _progress.tasks_of(job, task.occurrence, task.step.index)
        if each is not task
    ]
    unavailable_count = sum(each.key not in available_keys for each in others)
    return unavailable_count < max_unavailable(task.step)
