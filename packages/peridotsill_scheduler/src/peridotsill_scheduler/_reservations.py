"""Capacity that is reserved for waiting tasks, and when it will be free."""

import bisect
import collections.abc

import attrs

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _vm_order
from peridotsill_scheduler import _vms

# Why a VM is closed on which capacity is reserved.
RESERVED_REASON = "reserved for a waiting task"


@attrs.frozen(kw_only=True)
class ActiveRun:
    """A run on a VM; ``started_at`` is 0 until its start is confirmed."""

    job: _progress.Job
    task: _progress.Task
    started_at: float


RunsOf = collections.abc.Callable[
    [_vms.VmView], collections.abc.Iterable[ActiveRun]
]
# Queue, job, occurrence and index of a step.
StepKey = tuple[str, str, int, int]
# A time, and the resources that are free from then on.
_Room = tuple[float, _model.Resources]


def step_key(job: _progress.Job, task: _progress.Task) -> StepKey:
    """Identify the step of a task in its occurrence."""
    return *job.key, task.occurrence, task.step.index


@attrs.define(kw_only=True, eq=False)
class Reservation:
    """Capacity on VMs for a task, or for the members of a gang.

    It is expected to be free ``at`` a time. ``spare`` is what else will be
    free then, by VM. Others may use the capacity until ``gap_until``. Times
    are in seconds of the monotonic clock.
    """

    job: _progress.Job
    task: _progress.Task
    at: float
    gap_until: float = 0.0
    spare: dict[_vms.VmView, _model.Resources]
    gap: _vm_order.LargestRoom = attrs.field(init=False)

    @gap.default
    def _room_on_vms(self) -> _vm_order.LargestRoom:
        return _vm_order.LargestRoom(vms=self.vms)

    @property
    def vms(self) -> tuple[_vms.VmView, ...]:
        """The VMs on which capacity is reserved."""
        return tuple(self.spare)


@attrs.frozen(kw_only=True)
class _End:
    at: float
    step: _model.Step
    step_key: tuple[str, int, int]


class Forecast:
    """When runs on the VMs are expected to end, and what is free then.

    What runs for ever, or isn't known to ``runs_of``, is never free. A VM is
    looked at once, when it is first asked for, and again after a start.
    """

    def __init__(
        self,
        *,
        now: float,
        estimator: _estimates.Estimator,
        runs_of: RunsOf,
    ) -> None:
        self._now = now
        self._estimator = estimator
        self._runs_of = runs_of
        self._ends: dict[_vms.VmView, list[_End]] = {}
        self._rooms: dict[_vms.VmView, list[_Room]] = {}
        self._started: dict[_vms.VmView, list[ActiveRun]] = {}

    def note_start(
        self, job: _progress.Job, task: _progress.Task, vm: _vms.VmView
    ) -> None:
        """Record that a task has been reserved on a VM."""
        run = ActiveRun(job=job, task=task, started_at=0.0)
        self._started.setdefault(vm, []).append(run)
        self._ends.pop(vm, None)
        self._rooms.pop(vm, None)

    def _ends_on(self, vm: _vms.VmView) -> list[_End]:
        if vm not in self._ends:
            self._ends[vm] = sorted(
                (
                    self._end(run)
                    for run in (
                        *self._runs_of(vm),
                        *self._started.get(vm, ()),
                    )
                    if not run.task.step.long_lived
                ),
                key=lambda end: end.at,
            )
        return self._ends[vm]

    def _end(self, run: ActiveRun) -> _End:
        task = run.task
        return _End(
            at=_estimates.expected_end(
                run.job, task.step, run.started_at, self._estimator, self._now
            ),
            step=task.step,
            step_key=(run.job.spec.id, task.occurrence, task.step.index),
        )

    def _rooms_on(self, vm: _vms.VmView) -> list[_Room]:
        """Return what is free on a VM now and after each end."""
        if vm not in self._rooms:
            rooms = [(self._now, vm.free)]
            for end in self._ends_on(vm):
                rooms.append((end.at, rooms[-1][1].plus(end.step.reserved)))
            self._rooms[vm] = rooms
        return self._rooms[vm]

    def room_at(self, vm: _vms.VmView, at: float) -> _model.Resources:
        """Return what is free on a VM at a time if nothing is started."""
        rooms = self._rooms_on(vm)
        position = bisect.bisect_right(rooms, at, key=lambda room: room[0])
        return rooms[max(0, position - 1)][1]

    def times(self, vm: _vms.VmView) -> list[float]:
        """Return now, and when the runs on a VM end, ascending."""
        return [at for at, _ in self._rooms_on(vm)]

    def when_free(
        self, vm: _vms.VmView, job: _progress.Job, task: _progress.Task
    ) -> float:
        """Return when a VM has room for a task; infinite if never."""
        step = task.step
        rooms = self._rooms_on(vm)
        position = bisect.bisect_left(
            rooms, True, key=lambda room: room[1].covers(step.reserved)
        )
        if position == len(rooms):
            return float("inf")
        at = rooms[position][0]
        if step.max_per_vm:
            key = (job.spec.id, task.occurrence, step.index)
            excess = vm.step_counts.get(key, 0) - step.max_per_vm + 1
            ends = [end.at for end in self._ends_on(vm) if end.step_key == key]
            if excess > len(ends):
                return float("inf")
            if excess > 0:
                at = max(at, ends[excess - 1])
        return at

    def members_at(
        self,
        vm: _vms.VmView,
        job: _progress.Job,
        task: _progress.Task,
        at: float,
    ) -> int:
        """Return how many tasks like this one a VM has room for at a time."""
        step = task.step
        count = _count_that_fit(self.room_at(vm, at), step)
        if step.max_per_vm:
            key = (job.spec.id, task.occurrence, step.index)
            ended = sum(
                end.step_key == key and end.at <= at
                for end in self._ends_on(vm)
            )
            there = vm.step_counts.get(key, 0) - ended
            count = min(count, max(0, step.max_per_vm - there))
        return count

    def takes_place_of_one(
        self, vm: _vms.VmView, task: _progress.Task, at: float
    ) -> bool:
        """Tell whether a run that ends by a time leaves enough for a task."""
        return any(
            end.at <= at and end.step.reserved.covers(task.step.reserved)
            for end in self._ends_on(vm)
        )


def _count_that_fit(room: _model.Resources, step: _model.Step) -> int:
    """Return how many tasks of a step some resources are enough for."""
    reserved = step.reserved
    counts = [
        # Over a tiny demand the quotient may be infinite.
        int(min((there + 1e-9) / each, step.task_count))
        for there, each in (
            (room.cores, reserved.cores),
            (room.memory_mib, reserved.memory_mib),
            (float(room.accelerators), float(reserved.accelerators)),
        )
        if each > 0
    ]
    if not room.covers(reserved):
        return 0
    return min(counts, default=step.task_count)


def is_eligible(
    vm: _vms.VmView, job: _progress.Job, task: _progress.Task
) -> bool:
    """Tell whether capacity on a VM may be reserved for a task.

    It may not where nothing can be started, where a start is a trial or
    beside a suspect, on a VM that is due for maintenance, and on one that the
    queue's advisor has not allowed.
    """
    step = task.step
    if vm.closed_reason or vm.avoided or vm.on_trial or vm.suspect_groups:
        return False
    if not vm.capacity.covers(step.reserved):
        return False
    if job.queue.advice is not None:
        answer = _progress.advisor_answer_for(job, task, vm.runner)
        if answer is None or not answer.ticket:
            return False
    return vm.has_label(step.required_label)


def find_capacity(
    job: _progress.Job,
    group: collections.abc.Sequence[_progress.Task],
    vms: collections.abc.Iterable[_vms.VmView],
    forecast: Forecast,
) -> Reservation | None:
    """Return the capacity that is the soonest to be free; None if none is.

    Args:
        job: The job.
        group: A task, or all members of a gang.
        vms: The VMs to choose from.
        forecast: Tells when capacity will be free.
    """
    task = group[0]
    eligible = [vm for vm in vms if is_eligible(vm, job, task)]
    if task.step.gang:
        return _find_for_gang(job, group, eligible, forecast)
    at, _, vm = min(
        (
            (forecast.when_free(vm, job, task), vm.runner, vm)
            for vm in eligible
        ),
        key=lambda each: each[:2],
        default=(float("inf"), "", None),
    )
    if vm is None or at == float("inf"):
        return None
    spare = forecast.room_at(vm, at).minus(task.step.reserved)
    return Reservation(job=job, task=task, at=at, spare={vm: spare})


def _find_for_gang(
    job: _progress.Job,
    group: collections.abc.Sequence[_progress.Task],
    vms: list[_vms.VmView],
    forecast: Forecast,
) -> Reservation | None:
    """Return where a gang has room first, within one rack if that is so.

    A gang that is sensitive to racks is placed across racks if no rack has
    room for all of it, so that it waits for no rack.
    """
    task = group[0]

    def members(at: float, rack: str | None = None) -> dict[_vms.VmView, int]:
        return {
            vm: forecast.members_at(vm, job, task, at)
            for vm in vms
            if rack is None or vm.rack == rack
        }

    times = sorted({at for vm in vms for at in forecast.times(vm)})
    position = bisect.bisect_left(
        times, True, key=lambda at: sum(members(at).values()) >= len(group)
    )
    if position == len(times):
        return None
    at = times[position]
    counts = members(at)
    if task.step.rack_sensitive:
        for rack in sorted({vm.rack for vm in vms}):
            in_rack = members(at, rack)
            if sum(in_rack.values()) >= len(group):
                counts = in_rack
                break
    spare = {}
    left = len(group)
    for vm in sorted(counts, key=lambda vm: (-counts[vm], vm.runner)):
        taken = min(left, counts[vm])
        if not taken:
            break
        left -= taken
        room = forecast.room_at(vm, at)
        for _ in range(taken):
            room = room.minus(task.step.reserved)
        spare[vm] = room
    return Reservation(job=job, task=task, at=at, spare=spare)


def may_reserve_for(
    group: collections.abc.Sequence[_progress.Task], now: float
) -> bool:
    """Tell whether capacity may be reserved for a task, or a whole gang.

    For a task that must run alone, a VM is kept free in another way.
    """
    step = group[0].step
    if step.gang and len(group) < step.task_count:
        return False
    return not any(_crashes.must_run_alone(each, now) for each in group)
