"""The VMs that tasks can be placed on, as seen by the scheduler."""

import attrs

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress

# Why a VM is closed on which a start is on trial.
TRIAL_REASON = "one start at a time after failures"


@attrs.define(kw_only=True, eq=False)
class VmView:
    """A VM with its capacity and the tasks that are reserved on it.

    ``closed_reason`` is the reason why no task may be started here, or empty.
    An ``avoided`` VM is due for maintenance: a task is placed on it only if
    no other VM has room, not counting the one on which the task last failed.
    ``step_counts`` counts the reserved tasks by job id, occurrence and step
    index. ``made_at`` is the time of the view, in seconds of the monotonic
    clock. ``unexplained_crashes`` counts recent crashes on the VM without a
    known cause. ``groups`` holds the suspicion groups of the reserved
    tasks, and ``suspect_groups`` those of them with a task that runners have
    crashed under and that has not outlived these crashes. A VM that is
    ``on_trial`` is closed once a task, or the members of a gang, have been
    reserved on it.
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
    closed_reason: str = ""
    on_trial: bool = False
    avoided: bool = False
    task_count: int = 0
    step_counts: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    serving_count: int = 0
    filler_count: int = 0
    long_lived_count: int = 0
    made_at: float = 0.0
    unexplained_crashes: int = 0
    groups: set[str] = attrs.field(factory=set)
    suspect_groups: set[str] = attrs.field(factory=set)

    def copy(self) -> "VmView":
        """Return a copy on which tasks can be reserved on trial."""
        twin = VmView.__new__(VmView)
        for name in _FIELD_NAMES:
            setattr(twin, name, getattr(self, name))
        twin.step_counts = dict(self.step_counts)
        twin.groups = set(self.groups)
        twin.suspect_groups = set(self.suspect_groups)
        return twin

    @property
    def is_held(self) -> bool:
        """Whether a suspect has the VM to itself."""
        return len(self.suspect_groups) == 1 and len(self.groups) == 1

    @property
    def has_nonnegative_room(self) -> bool:
        """Whether no more is reserved than the VM's capacity."""
        return self.free.covers(_model.Resources())

    def is_free_of_others(self, group: str) -> bool:
        """Tell whether no task of another suspicion group is here."""
        return self.groups <= {group}

    def reserve(self, job_id: str, task: _progress.Task) -> None:
        """Reserve a task's resources, and count the task."""
        self.free = self.free.minus(task.step.reserved)
        key = (job_id, task.occurrence, task.step.index)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1
        self.task_count += 1
        group = _crashes.suspicion_group(job_id, task)
        self.groups.add(group)
        if _crashes.is_suspect(task) and not _crashes.has_outlived_crashes(
            task, self.made_at
        ):
            self.suspect_groups.add(group)
        self.serving_count += bool(task.step.tail_target_ms)
        self.filler_count += task.step.fills
        self.long_lived_count += task.step.long_lived

    def reserve_start(self, job_id: str, task: _progress.Task) -> None:
        """Reserve a task that is about to be started here."""
        self.reserve(job_id, task)
        if self.on_trial and not task.step.gang:
            self.closed_reason = TRIAL_REASON

    def allows(self, job: _progress.Job, task: _progress.Task) -> bool:
        """Tell whether the task has room here and the advisor permits it.

        If the queue has placement advice, a ticket for this runner is
        required; whether it is still valid is not checked.
        """
        if job.queue.advice is not None:
            answer = _progress.advisor_answer_for(job, task, self.runner)
            if answer is None or not answer.ticket:
                return False
        return self.has_room(job, task)

    def has_room(self, job: _progress.Job, task: _progress.Task) -> bool:
        """Tell whether the task has room here, whatever the advice says."""
        step = task.step
        if self.closed_reason or not self.free.covers(step.reserved):
            return False
        if self.is_held or _crashes.must_run_alone(task, self.made_at):
            group = _crashes.suspicion_group(job.spec.id, task)
            if not self.is_free_of_others(group):
                return False
        if step.max_per_vm:
            key = (job.spec.id, task.occurrence, step.index)
            if self.step_counts.get(key, 0) >= step.max_per_vm:
                return False
        return self.has_label(step.required_label)

    def has_label(self, label: str) -> bool:
        """Tell whether the VM has a label; every VM has the empty one."""
        return not label or label in self.labels


_FIELD_NAMES = tuple(each.name for each in attrs.fields(VmView))
