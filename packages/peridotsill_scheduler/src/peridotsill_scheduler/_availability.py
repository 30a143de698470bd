"""Whether a long-lived task may be ended by what this system does."""

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# A step that says nothing of it has one task taken away at a time.
_DEFAULT_MAY_MISS = 1


def allowance(step: _model.Step) -> int:
    """Return how many tasks of a step may be away at once."""
    if step.may_miss is None:
        return _DEFAULT_MAY_MISS
    return step.may_miss


def may_end(
    job: _progress.Job,
    task: _progress.Task,
    at_work: frozenset[str],
) -> bool:
    """Tell whether ending a long-lived task keeps its step's budget.

    Args:
        job: The task's job.
        task: The task that is to be stopped or to go with its VM.
        at_work: Keys of the job's tasks that are seen at full work.
    """
    if job.final or not task.step.long_lived:
        return True
    others = [
        each
        for each in _progress.tasks_of(job, task.occurrence, task.step.index)
        if each is not task
    ]
    away = sum(each.key not in at_work for each in others)
    return away < allowance(task.step)
