"""Placement of tasks on VMs, computed on VM views alone."""

import collections.abc
import typing

import attrs

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _quotas
from peridotsill_scheduler import _vm_order
from peridotsill_scheduler import _vms

# Largest share of a pool's VMs, but at least one, that is kept free at once
# for tasks that must run alone.
_MAX_CLEARED_SHARE = 0.34


@attrs.frozen(kw_only=True)
class Start:
    """A decision to start a task on a VM."""

    job: _progress.Job
    task: _progress.Task
    vm: _vms.VmView


# What a task needs of a VM, apart from limits per VM and advice: cores, memory
# in mebibytes, accelerators and a label.
ResourceShape = tuple[float, float, int, str]


class Placer:
    """Places the tasks of one scheduling round on one pool's VMs.

    Free capacity only shrinks within a round. So once no VM has room for a
    resource shape, none is looked at for it again, and jobs whose tasks all
    have such shapes needn't be ranked. With a backlog of some hundred jobs
    this would take most of a round.

    Args:
        vms: The VMs.
        quotas: What the jobs' teams may have running; unlimited by default.
    """

    def __init__(
        self,
        *,
        vms: collections.abc.Sequence[_vms.VmView],
        quotas: _quotas.Quotas | None = None,
    ) -> None:
        self._vms = vms
        self._quotas = quotas or _quotas.Quotas()
        self._open_vms = [vm for vm in vms if not vm.closed_reason]
        self._order = _vm_order.VmOrder(vms=tuple(self._open_vms))
        self._largest_room = _vm_order.LargestRoom(vms=tuple(self._open_vms))
        self._vms_to_clear = max(
            1, int(len(self._open_vms) * _MAX_CLEARED_SHARE)
        )
        self._shapes_without_room: set[ResourceShape] = set()

    def has_room_for_any(
        self,
        job: _progress.Job,
        steps: collections.abc.Sequence[_model.Step],
    ) -> bool:
        """Tell whether a task of any of a job's steps may have room."""
        return any(self._may_fit(step) for step in steps)

    def _may_fit(self, step: _model.Step) -> bool:
        shape = resource_shape(step)
        if shape in self._shapes_without_room:
            return False
        if self.has_room(step):
            return True
        self._shapes_without_room.add(shape)
        return False

    def place_reserved(self) -> "list[Start]":
        """Place what capacity has been reserved for; nothing by default."""
        return []

    def pop_deferred(
        self,
    ) -> collections.abc.Iterable[
        tuple[_progress.Job, collections.abc.Sequence[_model.Step]]
    ]:
        """Return the jobs to rank that `has_room_for_any` left undecided."""
        return ()

    def has_room(
        self, step: _model.Step, job: _progress.Job | None = None
    ) -> bool:
        """Tell whether some VM has the capacity for a task of a step.

        Args:
            step: The step.
            job: Its job, if the answer may depend on it.
        """
        return self._largest_room.has_room(step.reserved, step.required_label)

    def _reserve(
        self, job: _progress.Job, task: _progress.Task, vm: _vms.VmView
    ) -> Start:
        vm.reserve_start(job.spec.id, task)
        self._note_change(vm)
        self._quotas.take(job, task.step, vm.pool)
        return Start(job=job, task=task, vm=vm)

    def _note_change(self, vm: _vms.VmView) -> None:
        self._order.note_change(vm)
        self._largest_room.note_change(vm)

    def place_alone(
        self, job: _progress.Job, tasks: typing.Sequence[_progress.Task]
    ) -> list[Start]:
        """Place tasks that must run alone; else keep a VM free for them.

        The VM that is kept free gets no other starts in this round. It is the
        one with the fewest tasks, and so the same in the next rounds.
        """
        starts = self.place_job(job, tasks)
        if not starts and self._vms_to_clear:
            vm = self._choose_vm_to_clear(tasks[0])
            if vm is not None:
                self._vms_to_clear -= 1
                vm.closed_reason = "kept free for a task that must run alone"
                self._open_vms.remove(vm)
        return starts

    def _choose_vm_to_clear(self, task: _progress.Task) -> _vms.VmView | None:
        step = task.step
        candidates = [
            vm
            for vm in self._open_vms
            if vm.task_count
            and not vm.long_lived_count
            and not vm.is_held
            and vm.capacity.covers(step.reserved)
            and vm.has_label(step.required_label)
        ]
        return min(
            candidates,
            key=lambda vm: (vm.task_count, vm.runner),
            default=None,
        )

    def place_job(
        self, job: _progress.Job, tasks: typing.Iterable[_progress.Task]
    ) -> list[Start]:
        """Place as many ready tasks as have room, and reserve their room.

        A gang is placed as a whole or not at all.
        """
        starts: list[Start] = []
        for group in group_by_step(tasks):
            step = group[0].step
            if not step.gang:
                starts += self._place_group(job, group)
            elif self._quotas.has_room(job, step, len(group)):
                starts += self._place_gang(job, group)
        return starts

    def _place_gang(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> list[Start]:
        starts = _place_gang(job, group, self._vms)
        for start in starts:
            self._note_change(start.vm)
            self._quotas.take(job, start.task.step, start.vm.pool)
        return starts

    def _place_group(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> list[Start]:
        step = group[0].step
        if not self._may_fit(step):
            return []
        starts: list[Start] = []
        for task in group:
            if not self._quotas.has_room(job, step):
                break
            vm = self._order.choose(job, task)
            if vm is None and _crashes.is_suspect(task):
                # Another task of the step may still have room.
                continue
            if vm is None:
                if not step.max_per_vm and job.queue.advice is None:
                    self._shapes_without_room.add(resource_shape(step))
                break
            starts.append(self._reserve(job, task, vm))
        return starts


def resource_shape(step: _model.Step) -> ResourceShape:
    """Return what a task of a step needs of a VM."""
    room, label = step.reserved, step.required_label
    return room.cores, room.memory_mib, room.accelerators, label


def group_by_step(
    tasks: typing.Iterable[_progress.Task],
) -> list[list[_progress.Task]]:
    """Return the tasks of each step in each occurrence."""
    groups: dict[tuple[int, int], list[_progress.Task]] = {}
    for task in tasks:
        key = (task.occurrence, task.step.index)
        groups.setdefault(key, []).append(task)
    return list(groups.values())


def _place_gang(
    job: _progress.Job,
    group: list[_progress.Task],
    vms: collections.abc.Sequence[_vms.VmView],
) -> list[Start]:
    if len(group) < group[0].step.task_count:
        return []
    # None stands for the VMs of all racks.
    racks: list[str | None] = [None]
    if group[0].step.rack_sensitive:
        racks = [*sorted({vm.rack for vm in vms}), None]
    for rack in racks:
        rack_vms = [vm for vm in vms if rack is None or vm.rack == rack]
        starts = _place_all_or_none(job, group, rack_vms)
        if starts:
            return starts
    return []


def _place_all_or_none(
    job: _progress.Job,
    group: list[_progress.Task],
    vms: collections.abc.Sequence[_vms.VmView],
) -> list[Start]:
    trial_views = {vm.runner: vm.copy() for vm in vms}
    chosen_runners = []
    for task in group:
        vm = _vm_order.choose_vm(job, task, trial_views.values())
        if vm is None:
            return []
        vm.reserve(job.spec.id, task)
        chosen_runners.append(vm.runner)
    by_runner = {vm.runner: vm for vm in vms}
    starts = []
    for task, runner in zip(group, chosen_runners):
        by_runner[runner].reserve(job.spec.id, task)
        starts.append(Start(job=job, task=task, vm=by_runner[runner]))
    return starts
