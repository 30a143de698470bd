"""Which VMs are cleared, moved and maintained; the scheduler's side."""

import collections
import collections.abc

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _commands
from peridotsill_jobs import _feeds
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _waves
from peridotsill_jobs import _workers
import peridotsill_platform
import peridotsill_scheduler

_Step = peridotsill_scheduler.MaintenanceStep
_Kind = _commands.CommandKind
# Steps at which a VM takes one of its wave's places.
_OUT = (_Step.CLEARING, _Step.BEGUN)

# Period of the decisions about VMs; short against a move.
_PERIOD_SECONDS = 0.2
# A VM that was busy for the VM service is left alone for this long.
_BUSY_SECONDS = 1.0
# A VM that has not lost a task in this time is given back to its pool.
_CLEAR_SECONDS = 6.0
# A VM is cleared to be lent only if its tasks should end within this time,
# which is about what a move takes.
_SOON_SECONDS = 1.5
# A shortage of VMs is logged once in this time.
_SHORTAGE_SECONDS = 1.0
# Arrivals are kept for this long.
_ARRIVAL_SECONDS = 60.0
# The list may lag behind a move's answer by this much; a move that is done
# already is answered at once, so its whole time is not waited for.
_LIST_LAG_SECONDS = 0.3


class _Phase(peridotsill.TextEnum):
    CLEARING = "clearing"
    CALLING = "calling"
    AWAY = "away"


@attrs.define(kw_only=True, eq=False)
class _Operation:
    """A command under way; ``repeats`` one that may be at work already.

    ``since`` is when its phase began, or the VM last lost a task. The VM
    had ``tasks_left`` then.
    """

    command: _commands.Command
    phase: _Phase
    since: float
    tasks_left: float = float("inf")
    wave: str = ""
    runner: str = ""
    repeats: bool = False


@attrs.frozen(kw_only=True)
class FleetParts:
    """What the fleet's side of the scheduler works with.

    ``evict`` stops a long-lived task so that it starts elsewhere;
    ``release`` takes the tasks of a VM that went away.
    """

    settings: _live_settings.LiveSettings
    catalog: _catalog.Catalog
    table: peridotsill_platform.Table
    keys: _ports.Keys
    documents: _ports.Documents
    workers: _workers.Workers
    commander: _commands.Commander
    evict: collections.abc.Callable[[_workers.Worker, _workers.Placed], None]
    release: collections.abc.Callable[[list[_workers.JobTask], str], None]


class Fleet:
    """Operations on VMs, one for each VM at a time."""

    def __init__(self, *, parts: FleetParts, may_command_from: float) -> None:
        self._parts = parts
        self._may_command_from = may_command_from
        self._vms: dict[str, _ports.VmRecord] = {}
        self._listed_at = float("-inf")
        self._operations: dict[str, _Operation] = {}
        self._wave_rows = _waves.WaveRows(table=parts.table)
        self._waves: dict[str, _waves.Wave] = {}
        self._arrivals: dict[
            str, collections.deque[peridotsill_scheduler.Arrival]
        ] = {}
        self._not_before: dict[str, float] = {}
        self._next_at = 0.0
        self._shortage_logged_at = float("-inf")

    @property
    def _maintenance_seconds(self) -> float:
        return self._parts.settings.current.bounds.maintenance_ms / 1000.0

    def note_arrival(self, pool: str, work: float, at: float) -> None:
        """Note a job's work in core-seconds, for the pool's demand."""
        arrivals = self._arrivals.setdefault(pool, collections.deque())
        arrivals.append(peridotsill_scheduler.Arrival(at=at, work=work))
        while arrivals and arrivals[0].at < at - _ARRIVAL_SECONDS:
            arrivals.popleft()

    # The list of VMs and the outcomes of commands.

    def take_vms(self, event: _feeds.VmsSeen) -> None:
        """Follow the list of VMs; end the operations it shows as done."""
        self._vms = {vm.name: vm for vm in event.vms}
        self._listed_at = event.asked_at
        by_runner = {vm.runner: vm for vm in event.vms if vm.runner}
        for worker in self._parts.workers:
            record = by_runner.get(worker.entry.id)
            if record is not None:
                worker.vm = record.name
        for name, operation in tuple(self._operations.items()):
            if operation.phase is _Phase.AWAY:
                self._check_back(name, operation)
        for wave in self._waves.values():
            wave.follow(self._vms, self._listed_at, self._maintenance_seconds)

    def _check_back(self, name: str, operation: _Operation) -> None:
        record = self._vms.get(name)
        if self._listed_at < operation.since + self._least_away(operation):
            return
        if record is None or record.state is _ports.VmState.UP:
            _logs.log(
                "vm:back",
                vm=name,
                kind=str(operation.command.kind),
                pool=record.pool if record else "",
            )
            self._end(name)

    def _least_away(self, operation: _Operation) -> float:
        """Return how long a VM is surely away after its command."""
        if operation.command.kind is _Kind.MAINTAIN:
            return self._maintenance_seconds
        return _LIST_LAG_SECONDS

    def take_outcome(self, outcome: _commands.CommandOutcome) -> None:
        """Take the answer to a command."""
        operation = self._operations.get(outcome.command.vm)
        if operation is None or operation.command != outcome.command:
            return
        if outcome.result is _commands.CommandResult.DONE:
            operation.phase = _Phase.AWAY
            operation.since = outcome.at
            self._close_runner(operation)
            wave = self._waves.get(operation.wave)
            if wave is not None:
                wave.answered(outcome.command.vm, outcome.at)
            return
        refused = outcome.result is _commands.CommandResult.REFUSED
        unsure = outcome.result is _commands.CommandResult.UNSURE
        wave = self._waves.get(operation.wave)
        if wave is not None:
            if refused:
                wave.refused(outcome.command.vm)
            elif not (unsure or operation.repeats):
                wave.begun.discard(outcome.command.vm)
        self._not_before[outcome.command.vm] = outcome.at + _BUSY_SECONDS
        self._end(outcome.command.vm)

    def _close_runner(self, operation: _Operation) -> None:
        # Whatever ran there ended when the command was answered.
        worker = self._worker_of(operation.command.vm)
        if worker is None or worker.entry.id != operation.runner:
            return
        tasks = [(each.job, each.task) for each in worker.placed.values()]
        worker.placed.clear()
        worker.held_back = "its VM is away"
        worker.link.rest(True)
        self._parts.release(tasks, "VM taken away")

    def _end(self, vm: str) -> None:
        del self._operations[vm]
        # A VM that was away comes back with another runner. If it is the
        # same one, the command repeated what had been done already.
        worker = self._worker_of(vm)
        if worker is not None:
            worker.held_back = ""
            worker.link.rest(False)

    def _worker_of(self, vm: str) -> _workers.Worker | None:
        record = self._vms.get(vm)
        if record is None or not record.runner:
            return None
        return self._parts.workers.find(record.runner)

    # Decisions.

    def step(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
    ) -> None:
        """Decide about VMs; called in every round.

        Args:
            jobs: The open jobs by pool.
            estimator: What was learned about run times.
        """
        now = _clock.awake_seconds()
        self._advance(now)
        if now < self._next_at or not self._vms:
            return
        self._next_at = now + _PERIOD_SECONDS
        supplies = self._supplies(jobs, estimator, now)
        self._follow_waves(now)
        if now < self._may_command_from:
            return
        for wave in self._waves.values():
            self._plan_wave(wave, supplies, now)
        self._lend(supplies, now)

    def _advance(self, now: float) -> None:
        """Go on with the VMs that are being cleared.

        The one with the fewest tasks goes first: a job may miss few tasks
        at once, and spread over all VMs that would empty none of them.
        """
        clearing = []
        for name, operation in self._operations.items():
            if operation.phase is _Phase.CLEARING:
                worker = self._worker_of(name)
                count = len(worker.placed) if worker else 0
                clearing.append((count, name, operation, worker))
        clearing.sort(key=lambda each: each[:2])
        at_work: dict[tuple[str, str], frozenset[str]] = {}
        for count, name, operation, worker in clearing:
            if worker is None or not count:
                self._call(operation, now)
                continue
            if count < operation.tasks_left:
                operation.tasks_left = count
                operation.since = now
            if now - operation.since > _CLEAR_SECONDS:
                _logs.log("vm:not_cleared", vm=name, tasks=count)
                self._not_before[name] = now + _BUSY_SECONDS
                self._end(name)
            else:
                self._evict_from(worker, at_work)

    def _evict_from(
        self,
        worker: _workers.Worker,
        at_work: dict[tuple[str, str], frozenset[str]],
    ) -> None:
        for placed in tuple(worker.placed.values()):
            task = placed.task
            if not task.step.long_lived:
                continue
            if task.phase is not peridotsill_scheduler.TaskPhase.RUNNING:
                continue
            key = placed.job.key
            if key not in at_work:
                at_work[key] = self._parts.workers.at_work(placed.job)
            if peridotsill_scheduler.may_end(placed.job, task, at_work[key]):
                self._parts.evict(worker, placed)
                at_work[key] -= {task.key}

    def _call(self, operation: _Operation, now: float) -> None:
        if not self._record(operation, now):
            return
        operation.phase = _Phase.CALLING
        operation.since = now
        record = self._vms.get(operation.command.vm)
        operation.runner = record.runner if record else ""
        self._parts.commander.send(operation.command)

    def _record(self, operation: _Operation, now: float) -> bool:
        """Record a VM of a wave as begun; true if it may be commanded."""
        wave = self._waves.get(operation.wave)
        if wave is None:
            return True
        vm = operation.command.vm
        if vm in wave.begun:
            operation.repeats = True
            return True
        # Since the VM was chosen the row may have been read again, and so
        # another scheduler's VMs may have been found in it.
        out = self._out(wave, now)
        if len(out) >= wave.order.max_parallel:
            _logs.log(
                "wave:no_place",
                wave=wave.order.name,
                vm=vm,
                out=sorted(out),
                max_parallel=wave.order.max_parallel,
            )
            self._not_before[vm] = now + _BUSY_SECONDS
            self._end(vm)
            return False
        wave.begun.add(vm)
        if self._wave_rows.save(wave):
            return True
        wave.begun.discard(vm)
        return False

    def _out(self, wave: _waves.Wave, now: float) -> set[str]:
        """Return the VMs that take one of a wave's places.

        A VM without an answer that has left the list for as long as a
        maintenance takes is gone for good.
        """
        return {
            vm
            for vm in wave.out
            if vm in self._vms
            or now < wave.away_since.get(vm, now) + self._maintenance_seconds
        }

    def _begin(
        self, command: _commands.Command, now: float, wave: str = ""
    ) -> None:
        self._operations[command.vm] = _Operation(
            command=command, phase=_Phase.CLEARING, since=now, wave=wave
        )
        worker = self._worker_of(command.vm)
        if worker is not None:
            worker.held_back = f"to {command.kind}"

    def _free(self, record: _ports.VmRecord, now: float) -> bool:
        return (
            record.state is _ports.VmState.UP
            and record.name not in self._operations
            and now >= self._not_before.get(record.name, 0.0)
        )

    def _standby(self, pool: str) -> bool:
        settings = self._parts.catalog.pool(pool)
        return settings is not None and settings.standby

    def _pool_of(self, record: _ports.VmRecord) -> str:
        """Return the pool that a VM is in, or on its way to."""
        operation = self._operations.get(record.name)
        if operation and operation.command.kind is _Kind.MOVE:
            return operation.command.pool
        return record.pool

    def _supplies(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> list[peridotsill_scheduler.PoolSupply]:
        members: dict[str, list[_ports.VmRecord]] = {}
        for record in self._vms.values():
            members.setdefault(self._pool_of(record), []).append(record)
        config = self._parts.catalog.config
        names = {each.name for each in config.pools} if config else set()
        return [
            self._supply(pool, members.get(pool, []), jobs, estimator, now)
            for pool in sorted(names | set(members))
        ]

    def _supply(
        self,
        pool: str,
        records: list[_ports.VmRecord],
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> peridotsill_scheduler.PoolSupply:
        free = [each for each in records if self._free(each, now)]
        idle = tuple(each.name for each in free if self._is_idle(each))
        cores = [record.capacity.cores for record in records]
        return peridotsill_scheduler.PoolSupply(
            name=pool,
            standby=self._standby(pool),
            size=len(records),
            idle=idle,
            busy=self._busy(free, estimator, now),
            vm_cores=sum(cores) / len(cores) if cores else 1.0,
            need=peridotsill_scheduler.pool_need(
                jobs.get(pool, ()),
                self._arrivals.get(pool, ()),
                now,
                estimator,
            ),
        )

    def _is_idle(self, record: _ports.VmRecord) -> bool:
        if self._standby(record.pool):
            return True
        worker = self._worker_of(record.name)
        return worker is not None and not worker.placed

    def _busy(
        self,
        records: list[_ports.VmRecord],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> tuple[str, ...]:
        """Return the VMs that will soon be idle, the soonest first."""
        idle_in: dict[str, float] = {}
        for record in records:
            worker = self._worker_of(record.name)
            if worker is None or not worker.placed:
                continue
            left = max(
                peridotsill_scheduler.seconds_left(
                    each.job, each.task, estimator, now
                )
                for each in worker.placed.values()
            )
            if left < _SOON_SECONDS:
                idle_in[record.name] = left
        return tuple(sorted(idle_in, key=lambda name: idle_in[name]))

    def _lend(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> None:
        # Since they were counted, waves may have taken some of the idle.
        supplies = [
            attrs.evolve(
                each,
                idle=self._untaken(each.idle),
                busy=self._untaken(each.busy),
            )
            for each in supplies
        ]
        needs = {each.name: each for each in supplies}
        self._log_shortage(supplies, now)
        policy = self._parts.settings.current.lending_policy
        for move in peridotsill_scheduler.plan_moves(policy, supplies):
            need = needs[move.target].need
            _logs.log(
                "vm:lend",
                vm=move.vm,
                source=move.source,
                target=move.target,
                size=needs[move.target].size,
                need_cores=round(need.cores, 1),
                rate_cores=round(need.rate, 1),
                waiting_work=round(need.waiting, 1),
            )
            command = _commands.Command(
                kind=_Kind.MOVE, vm=move.vm, pool=move.target
            )
            self._begin(command, now)
        self._advance(now)

    def _untaken(self, vms: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(vm for vm in vms if vm not in self._operations)

    def _log_shortage(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> None:
        """Log who lacks VMs and who has some, at most once a second."""
        if now < self._shortage_logged_at + _SHORTAGE_SECONDS:
            return
        wanted = {
            each.name: peridotsill_scheduler.wanted_vms(each)
            for each in supplies
        }
        if all(wanted[each.name] <= each.size for each in supplies):
            return
        self._shortage_logged_at = now
        _logs.log(
            "vm:shortage",
            pools={
                each.name: {
                    "wanted": wanted[each.name],
                    "size": each.size,
                    "idle": len(each.idle),
                    "busy": len(each.busy),
                }
                for each in supplies
            },
        )

    # Waves.

    def _follow_waves(self, now: float) -> None:
        for order in self._parts.catalog.waves:
            wave = self._waves.get(order.name)
            if wave is None:
                wave = _waves.Wave(
                    order=order, seen_at=min(now, order.seen_at)
                )
                if not self._wave_rows.load(wave):
                    continue
                self._waves[order.name] = wave
                _logs.log(
                    "wave:seen",
                    wave=order.name,
                    vms=len(order.vms),
                    unfinished=sorted(wave.unfinished),
                    done=sorted(wave.done),
                    age_seconds=round(now - wave.seen_at, 1),
                )
            wave.order = order
            if wave.unrecorded:
                self._wave_rows.save(wave)
            self._show_wave(wave)

    def _show_wave(self, wave: _waves.Wave) -> None:
        left = [
            vm
            for vm in wave.order.vms
            if vm not in wave.back and vm in self._vms
        ]
        state = "running" if left else "completed"
        if state == wave.shown:
            return
        key = self._parts.keys.wave_status_prefix + wave.order.name
        value = self._parts.documents.wave_status(state)
        written = self._parts.table.commit(
            peridotsill_platform.Transaction(
                checks=(),
                writes=(peridotsill_platform.Write(key=key, value=value),),
            )
        )
        match written:
            case result.Success():
                wave.shown = state
                _logs.log("wave:state", wave=wave.order.name, state=state)
            case result.Failure(error):
                _logs.log(
                    "wave:unwritten",
                    wave=wave.order.name,
                    reason=str(error),
                )

    def _plan_wave(
        self,
        wave: _waves.Wave,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> None:
        if wave.shown == "completed":
            return
        by_pool = {each.name: each for each in supplies}
        views = []
        for name in wave.order.vms:
            record = self._vms.get(name)
            if record is not None:
                views.append(self._due_vm(wave, record, by_pool))
        self._avoid(views)
        for name in wave.unfinished - set(self._operations):
            # A command without an answer may still be carried out, and is
            # safe to repeat.
            rested = now >= self._not_before.get(name, 0.0)
            if name in self._vms and rested:
                self._begin_maintenance(wave, name, now)
        ready = {view.name for view in views if self._can_begin(view, now)}
        chosen = peridotsill_scheduler.plan_maintenance(
            [
                view
                for view in views
                if view.step is not _Step.DUE or view.name in ready
            ],
            max_parallel=wave.order.max_parallel,
            seconds_left=wave.seen_at + wave.order.deadline_seconds - now,
            maintenance_seconds=self._maintenance_seconds,
        )
        out = sorted(view.name for view in views if view.step in _OUT)
        for view in chosen:
            _logs.log(
                "wave:take",
                wave=wave.order.name,
                vm=view.name,
                pool=view.pool,
                tasks=view.task_count,
                out=out,
                max_parallel=wave.order.max_parallel,
            )
            self._begin_maintenance(wave, view.name, now)
        self._advance(now)

    def _begin_maintenance(
        self, wave: _waves.Wave, vm: str, now: float
    ) -> None:
        command = _commands.Command(
            kind=_Kind.MAINTAIN, vm=vm, wave=wave.order.number
        )
        self._begin(command, now, wave.order.name)

    def _avoid(self, views: list[peridotsill_scheduler.DueVm]) -> None:
        due = {view.name for view in views if view.step is _Step.DUE}
        for worker in self._parts.workers:
            worker.avoided = worker.vm in due

    def _can_begin(
        self, view: peridotsill_scheduler.DueVm, now: float
    ) -> bool:
        return self._free(self._vms[view.name], now)

    def _due_vm(
        self,
        wave: _waves.Wave,
        record: _ports.VmRecord,
        pools: dict[str, peridotsill_scheduler.PoolSupply],
    ) -> peridotsill_scheduler.DueVm:
        worker = self._worker_of(record.name)
        placed = list(worker.placed.values()) if worker else []
        pool = pools[self._pool_of(record)]
        return peridotsill_scheduler.DueVm(
            name=record.name,
            pool=pool.name,
            step=self._step_of(wave, record.name),
            standby=pool.standby,
            task_count=len(placed),
            long_lived_count=sum(each.task.step.long_lived for each in placed),
            pool_busy=peridotsill_scheduler.wanted_vms(pool) >= pool.size,
            pool_size=pool.size,
        )

    def _step_of(
        self, wave: _waves.Wave, vm: str
    ) -> peridotsill_scheduler.MaintenanceStep:
        if vm in wave.out:
            return _Step.BEGUN
        if vm in wave.back:
            return _Step.DONE
        operation = self._operations.get(vm)
        if operation is not None and operation.wave == wave.order.name:
            return _Step.CLEARING
        return _Step.DUE
