"""Places tasks, and reserves capacity for those that need much of a VM."""

import collections.abc
import enum
import heapq
import math

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _model
from peridotsill_scheduler import _placement
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _quotas
from peridotsill_scheduler import _reservation_memory
from peridotsill_scheduler import _reservations
from peridotsill_scheduler import _vms

# Bounds of the reservations in a pool at once, and of the share of its open
# VMs with one for a single task.
_MAX_RESERVATIONS = 4
_MAX_RESERVED_SHARE = 0.25
# Share of the largest VM, in cores, memory or accelerators, from which on a
# task is large. With less, tasks of two cores among tasks of one held most of
# the reservations, and VMs were kept from others for them.
_LARGE_SHARE = 0.25
# Of the jobs without room that could get a reservation, these many are ranked
# that arrived first, and as many that arrived last.
_MAX_RANKED_OF_EACH_END = 12
# Of the jobs that are late, these many are tried in a round.
_MAX_LATE_TRIED = 4
# Largest number of shapes for which, and of times that, a round looks for
# capacity on all VMs.
_MAX_SEARCHES = 8
# VMs that are looked at for a single task, those with the most free cores.
_MAX_VMS_SEARCHED = 32
# A reservation whose time has passed moves to other VMs if these are expected
# to be free within this share of the time that its own VMs still take.
_MOVE_GAIN = 0.5


class _Need(enum.IntEnum):
    """Whether a task without room needs a reservation."""

    NEVER = 0
    ONCE_LATE = 1
    ALWAYS = 2


_Noted = tuple[_progress.Job, collections.abc.Sequence[_model.Step]]


class ReservingPlacer(_placement.Placer):
    """A `Placer` that reserves capacity for the next large tasks.

    A task is large if it needs a quarter of the largest VM, and more than one
    run leaves when it ends; a gang always counts as large. For other tasks the
    order of the jobs decides who gets the place of a run that ended.

    A reservation goes to the highest-ranked job with a large task that has no
    room. It holds until the task starts, against all tasks but long-lived
    ones: with most order policies small tasks that arrive later rank higher,
    and would take the capacity for ever. Other tasks use reserved capacity if
    they fit beside, or are expected to end in time.

    Jobs that are too late to earn anything rank last. The one of them that
    has waited for the longest gets every other reservation, one at a time and
    also for a task that isn't large, so that none of them waits for ever.

    All this holds for jobs within their team's rate. Jobs beyond it get no
    reservation, as they use what others leave: a large task of one may wait
    for as long as small ones arrive.
    """

    def __init__(
        self,
        *,
        vms: collections.abc.Sequence[_vms.VmView],
        now: float,
        estimator: _estimates.Estimator,
        memory: _reservation_memory.ReservationMemory,
        runs_of: _reservations.RunsOf,
        quotas: _quotas.Quotas | None = None,
    ) -> None:
        super().__init__(vms=vms, quotas=quotas)
        self._now = now
        self._estimator = estimator
        self._memory = memory
        self._forecast = _reservations.Forecast(
            now=now, estimator=estimator, runs_of=runs_of
        )
        self._max_reserved_vms = max(
            1, int(len(self._open_vms) * _MAX_RESERVED_SHARE)
        )
        self._reservations: list[_reservations.Reservation] = []
        self._noted: dict[tuple[str, str], _Noted] = {}
        # Jobs with a task that was placed for its reservation, and the tasks.
        self._owners: set[tuple[str, str]] = set()
        self._placed: set[_progress.Task] = set()
        # Jobs for which a reservation may be made in this round.
        self._eligible: set[tuple[str, str]] = set()
        self._is_ranking = False
        self._searches = 0
        self._needs: dict[_placement.ResourceShape, _Need] = {}
        self._large_demand = _model.Resources(
            cores=_LARGE_SHARE
            * max((vm.capacity.cores for vm in vms), default=0.0),
            memory_mib=_LARGE_SHARE
            * max((vm.capacity.memory_mib for vm in vms), default=0.0),
            accelerators=math.ceil(
                _LARGE_SHARE
                * max((vm.capacity.accelerators for vm in vms), default=0)
            ),
        )
        self._shapes_without_gap: set[_placement.ResourceShape] = set()
        self._shapes_not_beside: set[_placement.ResourceShape] = set()

    def has_room_for_any(
        self,
        job: _progress.Job,
        steps: collections.abc.Sequence[_model.Step],
    ) -> bool:
        """Note a job with ready steps, for `pop_deferred` to decide."""
        self._noted[job.key] = (job, steps)
        return False

    def has_room(
        self, step: _model.Step, job: _progress.Job | None = None
    ) -> bool:
        """Tell whether a task of a step may get room or a reservation."""
        if super().has_room(step):
            return True
        if job is None:
            return False
        shape = _placement.resource_shape(step)
        if (
            job.key in self._eligible
            and self._need(job, step, shape) is _Need.ALWAYS
        ):
            return True
        return bool(self._reservations) and self._may_use_gap(job, step, shape)

    def _has_slot(self, *, gang: bool) -> bool:
        """Tell whether there may be one more reservation in this round."""
        if (
            len(self._reservations) >= _MAX_RESERVATIONS
            or self._searches >= _MAX_SEARCHES
        ):
            return False
        gangs = sum(each.task.step.gang for each in self._reservations)
        if gang:
            return not gangs
        return len(self._reservations) - gangs < self._max_reserved_vms

    def place_reserved(self) -> list[_placement.Start]:
        """Place the tasks with a reservation; else let it stand on."""
        starts: list[_placement.Start] = []
        for key, standing in tuple(self._memory.standing.items()):
            noted = self._noted.get(key[:2])
            group = self._waiting_group(noted[0], key) if noted else []
            if noted is None or not group:
                self._memory.release(key, "not_waiting", self._now)
                continue
            job = noted[0]
            owner_starts = super().place_job(job, group)
            starts += owner_starts
            if owner_starts:
                self._owners.add(job.key)
                self._placed.update(start.task for start in owner_starts)
                self._memory.release(key, "started", self._now)
            elif self._now >= standing.give_up_at:
                self._memory.give_up(key, self._now)
            else:
                self._renew(key, job, group)
        return starts

    def _waiting_group(
        self, job: _progress.Job, key: _reservations.StepKey
    ) -> list[_progress.Task]:
        """Return the task, or the gang, that a reservation is for."""
        tasks = [
            task
            for task in _progress.ready_tasks(job, self._now)
            if _reservations.step_key(job, task) == key
            and (
                task.step.gang or not _crashes.must_run_alone(task, self._now)
            )
        ]
        group = tasks if tasks and tasks[0].step.gang else tasks[:1]
        if group and _reservations.may_reserve_for(group, self._now):
            return group
        return []

    def _renew(
        self,
        key: _reservations.StepKey,
        job: _progress.Job,
        group: list[_progress.Task],
    ) -> None:
        standing = self._memory.standing[key]
        own_vms = [
            vm
            for vm in self._open_vms
            if (vm.runner, vm.lifetime) in standing.runners
        ]
        found = _reservations.find_capacity(
            job, group, own_vms, self._forecast
        )
        if found is None or self._now > standing.expected_at:
            other = self._search(job, group)
            if found is None or (
                other is not None
                and other.at - self._now < (found.at - self._now) * _MOVE_GAIN
            ):
                found = other
        if found is None or len(self._reservations) >= _MAX_RESERVATIONS:
            self._memory.release(key, "no_vm", self._now)
            return
        self._memory.renew(key, found)
        self._hold(found)

    def _search(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> _reservations.Reservation | None:
        self._searches += 1
        vms = self._open_vms
        if not group[0].step.gang and len(vms) > _MAX_VMS_SEARCHED:
            label = group[0].step.required_label
            vms = heapq.nlargest(
                _MAX_VMS_SEARCHED,
                (vm for vm in vms if vm.has_label(label)),
                key=lambda vm: vm.free.cores,
            )
        return _reservations.find_capacity(job, group, vms, self._forecast)

    def _hold(self, reservation: _reservations.Reservation) -> None:
        """Keep a reservation's VMs free of other starts in this round."""
        self._reservations.append(reservation)
        self._shapes_without_gap.clear()
        self._shapes_not_beside.clear()
        for vm in reservation.vms:
            vm.closed_reason = _reservations.RESERVED_REASON
            self._open_vms.remove(vm)
            self._largest_room.leave_out(vm)

    def pop_deferred(self) -> list[_Noted]:
        """Return the jobs that may get room or a reservation."""
        ranked: list[_Noted] = []
        without_room: list[tuple[float, int, _Noted]] = []
        large_without_room: list[tuple[float, int, _Noted]] = []
        may_reserve = self._has_slot(gang=False) or self._has_slot(gang=True)
        for job, steps in self._noted.values():
            need = _Need.NEVER
            may_need = may_reserve and not self._quotas.is_beyond_rate(job)
            for step in steps:
                shape = _placement.resource_shape(step)
                has_room = self._may_place(job, step, shape)
                if may_need and (step.gang or not has_room):
                    need = max(need, self._need(job, step, shape))
                if has_room:
                    ranked.append((job, steps))
                    break
            if need:
                entry = (job.arrived_at, len(without_room), (job, steps))
                without_room.append(entry)
                if not has_room and need is _Need.ALWAYS:
                    large_without_room.append(entry)
        if may_reserve:
            self._eligible.update(job.key for job, _ in ranked)
            ranked += self._choose_to_rank(large_without_room)
            self._take_turn_of_late(without_room)
        self._is_ranking = True
        return ranked

    def _may_place(
        self,
        job: _progress.Job,
        step: _model.Step,
        shape: _placement.ResourceShape,
    ) -> bool:
        if shape not in self._shapes_without_room:
            if super().has_room(step):
                return True
            self._shapes_without_room.add(shape)
        return bool(self._reservations) and self._may_use_gap(job, step, shape)

    def _need(
        self,
        job: _progress.Job,
        step: _model.Step,
        shape: _placement.ResourceShape,
    ) -> _Need:
        """Tell whether a task without room needs and may get a reservation."""
        if not self._has_slot(gang=step.gang):
            return _Need.NEVER
        if step.gang:
            return _Need.ALWAYS
        if step.max_per_vm or job.queue.advice is not None:
            # Where it may run depends on more than its shape.
            return self._need_if_blocked(step)
        need = self._needs.get(shape)
        if need is None:
            need = _Need.NEVER
            if len(self._needs) < _MAX_SEARCHES:
                task = _progress.Task(occurrence=0, step=step, index=0)
                found = self._search(job, [task])
                self._searches -= 1
                if found is not None and self._needs_room(found):
                    need = self._need_if_blocked(step)
                self._needs[shape] = need
        return need

    def _need_if_blocked(self, step: _model.Step) -> _Need:
        """Return the need of a task that is not left enough by one run."""
        large = self._large_demand
        reserved = step.reserved
        is_large = (
            reserved.cores >= large.cores
            or reserved.memory_mib >= large.memory_mib
            or reserved.accelerators >= max(1, large.accelerators)
        )
        return _Need.ALWAYS if is_large else _Need.ONCE_LATE

    def _needs_room(self, reservation: _reservations.Reservation) -> bool:
        """Tell whether a task gets room only if several runs make it."""
        task = reservation.task
        return task.step.gang or not any(
            self._forecast.takes_place_of_one(vm, task, reservation.at)
            for vm in reservation.vms
        )

    def _choose_to_rank(
        self, without_room: list[tuple[float, int, _Noted]]
    ) -> collections.abc.Iterator[_Noted]:
        chosen = without_room
        if len(without_room) > 2 * _MAX_RANKED_OF_EACH_END:
            chosen = [
                *heapq.nsmallest(_MAX_RANKED_OF_EACH_END, without_room),
                *heapq.nlargest(_MAX_RANKED_OF_EACH_END, without_room),
            ]
        for _, _, noted in chosen:
            self._eligible.add(noted[0].key)
            yield noted

    def _take_turn_of_late(
        self, without_room: list[tuple[float, int, _Noted]]
    ) -> None:
        """Reserve for the late job that has waited for the longest.

        If it is not its turn, the others have the first free slot, for one
        round.
        """
        if not self._memory.is_turn_of_late:
            if self._has_slot(gang=False):
                self._memory.is_turn_of_late = True
            return
        if any(each.late for each in self._memory.standing.values()):
            return
        for _, _, (job, _) in heapq.nsmallest(_MAX_LATE_TRIED, without_room):
            if self._is_late(job) and self._reserve_for_late(job):
                return

    def _reserve_for_late(self, job: _progress.Job) -> bool:
        self._eligible.add(job.key)
        tasks = [
            task
            for task in _progress.ready_tasks(job, self._now)
            if task not in self._placed
        ]
        return any(
            self._try_reserve(job, group, late=True)
            for group in _placement.group_by_step(tasks)
        )

    def _is_late(self, job: _progress.Job) -> bool:
        """Tell whether a job is too late to earn anything."""
        if job.long_lived:
            return False
        objective = _estimates.objective_seconds(job, self._estimator)
        age = self._now - job.arrived_at
        return age > objective * _progress.LATE_FACTOR

    def place_job(
        self,
        job: _progress.Job,
        tasks: collections.abc.Iterable[_progress.Task],
    ) -> list[_placement.Start]:
        """Place as many ready tasks as have room, else reserve for one."""
        if job.key in self._owners:
            tasks = [each for each in tasks if each not in self._placed]
        return super().place_job(job, tasks)

    def _place_group(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> list[_placement.Start]:
        starts = super()._place_group(job, group)
        if len(starts) < len(group) and self._is_ranking:
            placed = {start.task for start in starts}
            rest = [task for task in group if task not in placed]
            starts += self._fill_gaps(job, rest)
            if rest:
                self._try_reserve(job, rest, late=False)
        return starts

    def _place_gang(
        self, job: _progress.Job, group: list[_progress.Task]
    ) -> list[_placement.Start]:
        starts = super()._place_gang(job, group)
        for start in starts:
            self._forecast.note_start(job, start.task, start.vm)
        if not starts and self._is_ranking:
            self._try_reserve(job, group, late=False)
        return starts

    def _reserve(
        self, job: _progress.Job, task: _progress.Task, vm: _vms.VmView
    ) -> _placement.Start:
        self._forecast.note_start(job, task, vm)
        return super()._reserve(job, task, vm)

    def _try_reserve(
        self, job: _progress.Job, group: list[_progress.Task], *, late: bool
    ) -> bool:
        """Reserve capacity for a task of a group, or for a gang."""
        step = group[0].step
        need = self._need(job, step, _placement.resource_shape(step))
        if job.key not in self._eligible or need < (
            _Need.ONCE_LATE if late else _Need.ALWAYS
        ):
            return False
        if self._quotas.is_beyond_rate(job) or not self._quotas.has_room(
            job, step
        ):
            return False
        key = _reservations.step_key(job, group[0])
        if key in self._memory.standing or self._memory.is_paused(
            key, self._now
        ):
            return False
        if self._is_late(job) != late:
            return False
        if not step.gang:
            group = group[:1]
        if not _reservations.may_reserve_for(group, self._now):
            return False
        found = self._search(job, group)
        if found is None or found.at <= self._now:
            return False
        if not self._needs_room(found):
            return False
        self._memory.add(key, found, self._now, late=late)
        self._hold(found)
        return True

    def _may_use_gap(
        self,
        job: _progress.Job,
        step: _model.Step,
        shape: _placement.ResourceShape,
    ) -> bool:
        """Tell whether a task may have room on VMs with a reservation."""
        if step.gang or shape in self._shapes_without_gap:
            return False
        if not any(
            each.gap.has_room(step.reserved, step.required_label)
            for each in self._reservations
        ):
            self._shapes_without_gap.add(shape)
            return False
        if _goes_before(step) or self._ends_at(job, step) <= max(
            each.gap_until for each in self._reservations
        ):
            return True
        if shape in self._shapes_not_beside:
            return False
        if not any(
            spare.covers(step.reserved)
            for each in self._reservations
            for spare in each.spare.values()
        ):
            self._shapes_not_beside.add(shape)
            return False
        return True

    def _ends_at(self, job: _progress.Job, step: _model.Step) -> float:
        """Return when a task ends at the latest, by past errors."""
        queue = job.spec.queue
        estimator = self._estimator
        seconds = estimator.task_seconds(queue, step)
        return self._now + seconds * estimator.run_margin(queue)

    def _fill_gaps(
        self, job: _progress.Job, tasks: list[_progress.Task]
    ) -> list[_placement.Start]:
        """Place tasks on VMs with a reservation; remove them from the list."""
        starts: list[_placement.Start] = []
        while tasks and not _crashes.is_suspect(tasks[0]):
            if not self._quotas.has_room(job, tasks[0].step):
                break
            vm = self._take_gap(job, tasks[0])
            if vm is None:
                break
            start = self._reserve(job, tasks.pop(0), vm)
            vm.closed_reason = _reservations.RESERVED_REASON
            starts.append(start)
        return starts

    def _take_gap(
        self, job: _progress.Job, task: _progress.Task
    ) -> _vms.VmView | None:
        """Return a VM that a task may use beside or before a reservation."""
        step = task.step
        ends_at = float("inf")
        if not step.long_lived:
            ends_at = self._ends_at(job, step)
        for reservation in self._reservations:
            ends_in_time = ends_at <= reservation.gap_until
            for vm, spare in reservation.spare.items():
                is_beside = spare.covers(step.reserved)
                if not (ends_in_time or is_beside or _goes_before(step)):
                    continue
                if not _allows_if_open(vm, job, task):
                    continue
                if not ends_in_time:
                    reservation.spare[vm] = spare.minus(step.reserved)
                return vm
        return None


def _goes_before(step: _model.Step) -> bool:
    """Tell whether a task takes reserved capacity if it has no other room.

    Long-lived tasks are ranked before all others, as they are available only
    while they run.
    """
    return step.long_lived


def _allows_if_open(
    vm: _vms.VmView, job: _progress.Job, task: _progress.Task
) -> bool:
    """Tell whether a VM that is closed for a reservation has room."""
    vm.closed_reason = ""
    try:
        return vm.allows(job, task)
    finally:
        vm.closed_reason = _reservations.RESERVED_REASON
