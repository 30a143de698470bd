"""Where tasks are started: pure functions over VM views."""

import collections.abc
import typing

import attrs

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _vms


@attrs.frozen(kw_only=True)
class Start:
    """A task and the VM that it is to be started on."""

    job: _progress.Job
    task: _progress.Task
    vm: _vms.VmView


@attrs.frozen(kw_only=True)
class _Shape:
    """What decides, besides limits and advice, whether a task has room."""

    reserved: _model.Resources
    label: str


class Placer:
    """Places the tasks of one round on one pool's VMs.

    Within a round VMs only fill up. So for a shape of task that found no
    room, no VM is looked at again, and a job that has no other tasks need
    not be ranked: with a backlog of some hundred jobs most of a round
    would go into both.
    """

    def __init__(self, *, vms: collections.abc.Sequence[_vms.VmView]) -> None:
        self._vms = vms
        self._open = [vm for vm in vms if not vm.closed]
        self._with_room: set[_Shape] = set()
        self._without_room: set[_Shape] = set()

    def may_place(self, tasks: typing.Iterable[_progress.Task]) -> bool:
        """Tell whether some of the tasks may have room."""
        steps = {id(task.step): task.step for task in tasks}
        return any(self._may_fit(step) for step in steps.values())

    def _may_fit(self, step: _model.Step) -> bool:
        shape = _shape_of(step)
        if shape in self._without_room:
            return False
        if shape not in self._with_room:
            found = any(
                vm.fits(step.reserved, step.required_label)
                for vm in self._open
            )
            (self._with_room if found else self._without_room).add(shape)
            return found
        return True

    def place_job(
        self, job: _progress.Job, tasks: typing.Iterable[_progress.Task]
    ) -> list[Start]:
        """Choose VMs for as many ready tasks as have room; reserve them.

        The tasks of a gang are placed all or none.
        """
        starts: list[Start] = []
        for group in _groups(tasks):
            if group[0].step.gang:
                starts += _place_gang(job, group, self._vms)
            else:
                starts += self._place_group(job, group)
        return starts

    def _place_group(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> list[Start]:
        step = group[0].step
        shape = _shape_of(step)
        if shape in self._without_room:
            return []
        starts: list[Start] = []
        for task in group:
            vm = _choose(job, task, self._open)
            if vm is None:
                if not step.max_per_vm and job.queue.advice is None:
                    self._without_room.add(shape)
                break
            vm.reserve(job.spec.id, task)
            starts.append(Start(job=job, task=task, vm=vm))
        return starts


def _shape_of(step: _model.Step) -> _Shape:
    return _Shape(reserved=step.reserved, label=step.required_label)


def _groups(
    tasks: typing.Iterable[_progress.Task],
) -> list[list[_progress.Task]]:
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
    racks: list[str | None] = [None]
    if group[0].step.rack_sensitive:
        racks = [*sorted({vm.rack for vm in vms}), None]
    for rack in racks:
        members = [vm for vm in vms if rack is None or vm.rack == rack]
        starts = _all_or_none(job, group, members)
        if starts:
            return starts
    return []


def _all_or_none(
    job: _progress.Job,
    group: list[_progress.Task],
    vms: collections.abc.Sequence[_vms.VmView],
) -> list[Start]:
    trial = {
        vm.runner: attrs.evolve(vm, step_counts=dict(vm.step_counts))
        for vm in vms
    }
    chosen = []
    for task in group:
        vm = _choose(job, task, list(trial.values()))
        if vm is None:
            return []
        vm.reserve(job.spec.id, task)
        chosen.append(vm.runner)
    by_runner = {vm.runner: vm for vm in vms}
    starts = []
    for task, runner in zip(group, chosen):
        by_runner[runner].reserve(job.spec.id, task)
        starts.append(Start(job=job, task=task, vm=by_runner[runner]))
    return starts


def _choose(
    job: _progress.Job,
    task: _progress.Task,
    vms: collections.abc.Sequence[_vms.VmView],
) -> _vms.VmView | None:
    best: _vms.VmView | None = None
    best_rank: tuple[float, ...] = ()
    for vm in vms:
        if not vm.allows(job, task):
            continue
        rank = _rank(task, vm)
        if best is None or rank < best_rank:
            best, best_rank = vm, rank
    return best


def _rank(task: _progress.Task, vm: _vms.VmView) -> tuple[float, ...]:
    step = task.step
    far = bool(step.affinity_rack) and step.affinity_rack != vm.rack
    failed_here = vm.runner == task.failed_on
    if step.fills:
        load: float = vm.serving_count * 4 + vm.filling_count
    elif step.long_lived:
        # Serving tasks keep away from fillers; else they gather, so that
        # other VMs stay free to be lent or taken down.
        load = vm.filling_count * 8 - vm.long_lived_count
    else:
        load = 0.0
    return (failed_here, vm.avoided, far, load, vm.free.cores)
