"""The scheduler's view of the VMs it may place tasks on."""

import attrs

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress


@attrs.define(kw_only=True, eq=False)
class VmView:
    """A VM, what it has, and what is reserved on it.

    ``closed`` holds the reason why nothing may be started, or nothing.
    ``avoided`` VMs are used only if no other has room: they are about to
    be emptied. ``step_counts`` counts the reserved tasks by job, step
    and occurrence.
    """

    runner: str
    lifetime: int
    vm: str
    pool: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: _model.Resources
    free: _model.Resources
    closed: str = ""
    avoided: bool = False
    task_count: int = 0
    step_counts: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    serving_count: int = 0
    filling_count: int = 0
    long_lived_count: int = 0

    def reserve(self, job_id: str, task: _progress.Task) -> None:
        """Take a task's demand from the free amount."""
        self.free = self.free.minus(task.step.reserved)
        key = (job_id, task.occurrence, task.step.index)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1
        self.task_count += 1
        self.serving_count += bool(task.step.tail_target_ms)
        self.filling_count += task.step.fills
        self.long_lived_count += task.step.long_lived

    def allows(self, job: _progress.Job, task: _progress.Task) -> bool:
        """Tell whether the task may run here and has room."""
        if job.queue.advice is not None:
            permit = _progress.permit_for(job, task, self.runner)
            if permit is None or not permit.ticket:
                return False
        return self.has_room(job, task)

    def has_room(self, job: _progress.Job, task: _progress.Task) -> bool:
        """Tell whether the task has room here, advice aside."""
        step = task.step
        if self.closed:
            return False
        if step.max_per_vm:
            key = (job.spec.id, task.occurrence, step.index)
            if self.step_counts.get(key, 0) >= step.max_per_vm:
                return False
        return self.fits(step.reserved, step.required_label)

    def fits(self, reserved: _model.Resources, label: str) -> bool:
        """Tell whether an amount is free here, and the label present."""
        if label and label not in self.labels:
            return False
        return self.free.covers(reserved)
