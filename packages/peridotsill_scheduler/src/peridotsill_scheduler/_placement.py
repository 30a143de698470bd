"""Where tasks are started: pure functions over VM views."""

import collections.abc
import typing

import attrs

from peridotsill_scheduler import _progress
from peridotsill_scheduler import _vms


@attrs.frozen(kw_only=True)
class Start:
    """A task and the VM that it is to be started on."""

    job: _progress.Job
    task: _progress.Task
    vm: _vms.VmView


def place_job(
    job: _progress.Job,
    tasks: typing.Iterable[_progress.Task],
    vms: collections.abc.Sequence[_vms.VmView],
) -> list[Start]:
    """Choose VMs for as many ready tasks as have room, and reserve them.

    The tasks of a gang are placed all or none.
    """
    starts: list[Start] = []
    for group in _groups(tasks):
        if group[0].step.gang:
            starts += _place_gang(job, group, vms)
            continue
        for task in group:
            vm = _choose(job, task, vms)
            if vm is None:
                break
            vm.reserve(job.spec.id, task)
            starts.append(Start(job=job, task=task, vm=vm))
    return starts


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
