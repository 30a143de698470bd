"""Decides which VMs are cleared, moved and maintained."""

import collections
import collections.abc

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _commands
from peridotsill_jobs import _evictions
from peridotsill_jobs import _feeds
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _wave_views
from peridotsill_jobs import _waves
from peridotsill_jobs import _workers
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler

_MaintenancePhase = peridotsill_scheduler.MaintenancePhase
_CommandKind = _commands.CommandKind
# Phases in which a wave's plan counts a VM towards ``max_parallel``. Unlike
# `Wave.out`, they include a VM that is still being cleared.
_OUT_PHASES = (_MaintenancePhase.CLEARING, _MaintenancePhase.BEGUN)

# No task is evicted for this long after the scheduler began. A stop that an
# earlier scheduler ordered may not be in the rows; it takes less time.
_UNRECORDED_STOPS_SECONDS = 1.5
# Period of the decisions about VMs; short compared with a move.
_DECISION_PERIOD_SECONDS = 0.2
# Pause before the next operation on a VM if an operation ended without its
# command being carried out, for instance because the VM was busy.
_BACKOFF_SECONDS = 1.0
# Clearing a VM is given up after this long without a task leaving it.
_CLEARING_TIMEOUT_SECONDS = 6.0
# A VM is cleared for lending only if its tasks are estimated to end within
# this time, which is about as long as a move takes.
_MAX_SECONDS_TO_IDLE = 1.5
# Shortest time between two log lines on a shortage of VMs.
_SHORTAGE_LOG_PERIOD_SECONDS = 1.0
# A command may be carried out this long after its operation has ended.
_LATE_COMMAND_SECONDS = 15.0
_MAY_BE_CARRIED_OUT = (
    _commands.CommandResult.DONE,
    _commands.CommandResult.UNSURE,
)


class _OperationPhase(peridotsill.TextEnum):
    CLEARING = "clearing"
    CALLING = "calling"
    AWAY = "away"


@attrs.define(kw_only=True, eq=False)
class _Operation:
    """An operation in progress on a VM.

    ``progressed_at`` is when its phase began, or when the VM's task count
    last fell while it was cleared; ``lowest_task_count`` is the count
    then. ``runner`` is the VM's runner when the command was sent, and
    ``lifetime`` its lifetime, 0 if that was not known.
    ``may_be_repeat`` tells that the same command may have been sent before,
    perhaps by an earlier scheduler. It may have been carried out already, or
    may still be carried out.
    """

    command: _commands.Command
    phase: _OperationPhase
    progressed_at: float
    lowest_task_count: float = float("inf")
    wave: str = ""
    runner: str = ""
    lifetime: int = 0
    may_be_repeat: bool = False

    def has_ended(self, worker: _workers.Worker) -> bool:
        """Tell whether the command, answered as done, has ended a runner.

        A command that had been carried out before is answered as done as
        well, and ends nothing then: neither the runner that the VM had come
        back with, nor a lifetime that began after the command was sent.
        """
        return not self.may_be_repeat and worker.lifetime == self.lifetime


@attrs.frozen(kw_only=True)
class FleetParts:
    """Dependencies of a `Fleet`.

    ``evict`` stops a long-lived task so that it starts elsewhere;
    ``requeue_lost`` is called with the tasks of a VM that was taken away.
    ``count_startable`` is as in `peridotsill_scheduler.pool_demand`.
    """

    settings: _live_settings.LiveSettings
    catalog: _catalog.Catalog
    table: peridotsill_platform.Table
    keys: _ports.Keys
    documents: _ports.Documents
    workers: _workers.Workers
    command_row: _command_rows.CommandRow
    command_sender: _commands.CommandSender
    evict: collections.abc.Callable[
        [_workers.Worker, _workers.PlacedTask], None
    ]
    requeue_lost: collections.abc.Callable[[list[_workers.JobTask], str], None]
    count_startable: peridotsill_scheduler.CountStartable = (
        peridotsill_scheduler.count_all
    )


class Fleet:
    """Plans and tracks operations on VMs, at most one at a time per VM."""

    def __init__(self, *, parts: FleetParts) -> None:
        self._parts = parts
        self._vms: dict[str, _ports.VmRecord] = {}
        self._list_requested_at = float("-inf")
        self._operations: dict[str, _Operation] = {}
        # Until when a command may yet end a runner, by the runner's id.
        self._endangered_until: dict[str, float] = {}
        self._wave_rows = _waves.WaveRows(table=parts.table)
        self._waves: dict[str, _waves.Wave] = {}
        self._arrivals: collections.defaultdict[
            str, peridotsill_scheduler.ArrivalHistory
        ] = collections.defaultdict(peridotsill_scheduler.ArrivalHistory)
        self._backoff_until: dict[str, float] = {}
        self._need_history = peridotsill_scheduler.NeedHistory()
        self._next_decision_at = 0.0
        # False once a write of this round got no answer. Another one would be
        # waited for in vain while nothing else of the round is done.
        self._may_write = True
        self._shortage_logged_at = float("-inf")
        self._began_at = _clock.monotonic_seconds()

    @property
    def _maintenance_seconds(self) -> float:
        return self._parts.settings.current.bounds.maintenance_ms / 1000.0

    def record_arrival(
        self, pool: str, arrival: peridotsill_scheduler.Arrival
    ) -> None:
        """Record the arrival of a job, for the pool's demand."""
        self._arrivals[pool].record(arrival)

    # Updates: the list of VMs and the outcomes of commands.

    def apply_vm_list(self, event: _feeds.VmListSnapshot) -> None:
        """Apply a new list of VMs; end operations that it shows as done."""
        self._vms = {vm.name: vm for vm in event.vms}
        self._list_requested_at = event.requested_at
        by_runner = {vm.runner: vm for vm in event.vms if vm.runner}
        for worker in self._parts.workers:
            record = by_runner.get(worker.entry.id)
            if record is not None:
                worker.vm = record.name
        for name, operation in tuple(self._operations.items()):
            if operation.phase is _OperationPhase.AWAY:
                self._end_if_back(name, operation)
        for wave in self._waves.values():
            wave.update_from_list(
                self._vms, self._list_requested_at, self._maintenance_seconds
            )

    def _end_if_back(self, name: str, operation: _Operation) -> None:
        record = self._vms.get(name)
        if (
            self._list_requested_at
            < operation.progressed_at + self._min_away_seconds(operation)
        ):
            return
        if record is None or record.state is _ports.VmState.UP:
            _logs.log(
                "vm:back",
                vm=name,
                kind=str(operation.command.kind),
                pool=record.pool if record else "",
            )
            self._end_operation(name)

    def _min_away_seconds(self, operation: _Operation) -> float:
        """Return how long the list is not trusted after a command's answer."""
        if operation.command.kind is _CommandKind.MAINTAIN:
            return self._maintenance_seconds
        return _feeds.VM_LIST_LAG_SECONDS

    def handle_outcome(self, outcome: _commands.CommandOutcome) -> None:
        """Update the operation and its wave with a command's outcome."""
        operation = self._operations.get(outcome.command.vm)
        if operation is None or operation.command != outcome.command:
            return
        self._parts.command_row.mark_answered(
            outcome.command.vm, outcome.ended_at
        )
        if outcome.result in _MAY_BE_CARRIED_OUT:
            self._remember_endangered(operation.runner, outcome.ended_at)
        if outcome.result is _commands.CommandResult.DONE:
            operation.phase = _OperationPhase.AWAY
            operation.progressed_at = outcome.ended_at
            self._requeue_tasks(operation)
            wave = self._waves.get(operation.wave)
            if wave is not None:
                wave.mark_answered(outcome.command.vm, outcome.ended_at)
            return
        refused = outcome.result is _commands.CommandResult.REFUSED
        unsure = outcome.result is _commands.CommandResult.UNSURE
        wave = self._waves.get(operation.wave)
        if wave is not None:
            if refused:
                wave.mark_refused(outcome.command.vm)
            elif not (unsure or operation.may_be_repeat):
                wave.begun.discard(outcome.command.vm)
        self._backoff_until[outcome.command.vm] = (
            outcome.ended_at + _BACKOFF_SECONDS
        )
        self._end_operation(outcome.command.vm)

    def _remember_endangered(self, runner: str, commanded_at: float) -> None:
        self._endangered_until = {
            name: until
            for name, until in self._endangered_until.items()
            if until > commanded_at
        }
        self._endangered_until[runner] = commanded_at + _LATE_COMMAND_SECONDS

    def _requeue_tasks(self, operation: _Operation) -> None:
        worker = self._worker_of(operation.command.vm)
        if worker is None or worker.entry.id != operation.runner:
            return
        worker.fleet_closed_reason = "its VM is away"
        if not operation.has_ended(worker):
            # Its polls show whether its tasks still run.
            return
        tasks = [(each.job, each.task) for each in worker.placed.values()]
        worker.placed.clear()
        worker.link.set_paused(True)
        self._parts.requeue_lost(tasks, "VM taken away")

    def _end_operation(self, vm: str) -> None:
        del self._operations[vm]
        # A VM that was away comes back with a new runner. If the runner is
        # the same, no command was carried out, or it had been carried out
        # before and this one was a repeat; so the runner can be used again.
        worker = self._worker_of(vm)
        if worker is not None:
            worker.fleet_closed_reason = ""
            worker.link.set_paused(False)

    def why_ended(self, worker: _workers.Worker) -> str:
        """Return how the list of VMs shows that a runner has ended.

        A VM has one runner at a time, and none while it is away. Empty if
        the list shows nothing of the kind, which proves nothing.

        A silent runner may have lost power with its VM, as others do at the
        same time. What it ran waits until the VM is back, as its end counts
        as a crash of its tasks.
        """
        record = self._vms.get(worker.vm)
        if record is None or not self.has_listed_since(worker):
            return ""
        if (
            worker.link.refused
            and record.state in _ports.STATES_WITHOUT_RUNNER
        ):
            return f"its VM is {record.state}"
        is_up = record.state is _ports.VmState.UP
        if is_up and record.runner not in ("", worker.entry.id):
            return f"its VM has runner {record.runner}"
        return ""

    def has_listed_since(self, worker: _workers.Worker) -> bool:
        """Tell whether the list is from after a runner was known.

        An earlier one may show its VM without it.
        """
        return (
            self._list_requested_at
            >= worker.known_at + _feeds.VM_LIST_LAG_SECONDS
        )

    def may_have_ended(self, worker: _workers.Worker) -> bool:
        """Tell whether a command on its VM may have ended a runner.

        A command ends the runner that the VM had when it was sent, and no
        runner that the VM comes back with.
        """
        runner = worker.entry.id
        record = self._vms.get(worker.vm)
        if (
            record is not None
            and record.state in _ports.STATES_OF_TAKEN_VMS
            and self.has_listed_since(worker)
        ):
            return True
        operation = self._operations.get(worker.vm)
        if operation is not None and operation.phase in (
            _OperationPhase.CALLING,
            _OperationPhase.AWAY,
        ):
            return operation.runner in ("", runner)
        return _clock.monotonic_seconds() < self._endangered_until.get(
            runner, float("-inf")
        )

    def _worker_of(self, vm: str) -> _workers.Worker | None:
        record = self._vms.get(vm)
        if record is None or not record.runner:
            return None
        return self._parts.workers.find(record.runner)

    def _awaiting_count(self, vm: str) -> int:
        """Return how many tasks the rows have on a VM's unknown runner."""
        record = self._vms.get(vm)
        if record is None or not record.runner:
            return 0
        return self._parts.workers.awaiting_count(record.runner)

    def _has_begun(self, operation: _Operation) -> bool:
        """Tell whether a VM's command in a wave was recorded before.

        The VM was empty then. Any task on it began after the command was
        carried out, and a repeat does not end it.
        """
        wave = self._waves.get(operation.wave)
        return wave is not None and operation.command.vm in wave.begun

    # Decisions.

    def decide(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
    ) -> None:
        """Decide on operations; called in every round of the scheduler.

        Args:
            jobs: The open jobs by pool.
            estimator: Estimates the run times of tasks.
        """
        now = _clock.monotonic_seconds()
        self._may_write = True
        self._advance_clearing(now)
        if now >= self._next_decision_at and self._vms:
            self._next_decision_at = now + _DECISION_PERIOD_SECONDS
            self._begin_operations(jobs, estimator, now)
            self._advance_clearing(now)

    def _begin_operations(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> None:
        supplies = self._pool_supplies(jobs, estimator, now)
        self._update_waves(now)
        if not self._parts.command_row.claim():
            return
        if self._may_write:
            self._may_write = self._parts.command_row.refresh()
        waves = [
            each for each in self._waves.values() if not each.is_completed
        ]
        self._mark_avoided(waves)
        if not waves:
            self._plan_lending(supplies, now)
            return
        evacuations = self._plan_evacuations(jobs, supplies)
        plans = [
            self._wave_plan(wave, supplies, evacuations, estimator, now)
            for wave in waves
        ]
        for plan in plans:
            plan.log_urgency()
            self._resume_maintenance(plan.wave, now)
            if plan.urgent:
                self._carry_out(plan, now)
        supplies = self._without_operations(supplies)
        supplies = self._make_room(
            supplies,
            evacuations,
            now,
            must_evict=any(plan.must_evict for plan in plans),
        )
        supplies = self._plan_lending(supplies, now)
        for plan in plans:
            if not plan.urgent:
                # The pools' demand went first; see what it has left.
                self._carry_out(
                    self._wave_plan(
                        plan.wave, supplies, evacuations, estimator, now
                    ),
                    now,
                )

    def _advance_clearing(self, now: float) -> None:
        """Continue to clear VMs, and send the commands for empty ones.

        The VM with the fewest tasks goes first. A job allows few of its
        tasks to be missing at once; evictions spread over all VMs would
        use that up without emptying any of them.
        """
        clearing = []
        for name, operation in self._operations.items():
            if operation.phase is _OperationPhase.CLEARING:
                worker = self._worker_of(name)
                count = len(worker.placed) if worker else 0
                if not self._has_begun(operation):
                    count += self._awaiting_count(name)
                clearing.append((count, name, operation, worker))
        clearing.sort(key=lambda each: each[:2])
        evictions = self._new_evictions()
        emptied = []
        evictions_allowed = self._may_evict(now)
        for count, name, operation, worker in clearing:
            if not count:
                emptied.append(operation)
                continue
            if count < operation.lowest_task_count:
                operation.lowest_task_count = count
                operation.progressed_at = now
            if now - operation.progressed_at > _CLEARING_TIMEOUT_SECONDS:
                _logs.log(
                    "vm:not_cleared",
                    vm=name,
                    tasks=count,
                    rest=evictions.describe_rest(worker) if worker else [],
                )
                self._backoff_until[name] = now + _BACKOFF_SECONDS
                self._end_operation(name)
            elif worker is not None and evictions_allowed:
                evictions.clear(worker)
        self._send_commands(emptied, now)

    def _may_evict(self, now: float) -> bool:
        return now >= self._began_at + _UNRECORDED_STOPS_SECONDS

    def _new_evictions(self) -> _evictions.Evictions:
        return _evictions.Evictions(
            workers=self._parts.workers, evict=self._parts.evict
        )

    def _plan_evacuations(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        supplies: list[peridotsill_scheduler.PoolSupply],
    ) -> dict[str, peridotsill_scheduler.Evacuation]:
        """Return, by pool, what the long-lived tasks on due VMs need."""
        leaving = {
            worker.entry.id
            for worker in self._parts.workers
            if worker.avoided or self._is_cleared_for_maintenance(worker.vm)
        }
        return {
            pool.name: peridotsill_scheduler.plan_evacuation(
                jobs.get(pool.name, ()), leaving
            )
            for pool in supplies
        }

    def _make_room(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        evacuations: dict[str, peridotsill_scheduler.Evacuation],
        now: float,
        *,
        must_evict: bool,
    ) -> list[peridotsill_scheduler.PoolSupply]:
        """Move long-lived tasks off the VMs that are yet to be maintained.

        They leave one after another, as their budgets allow; if they began
        to when the VMs are cleared, the last VMs would be late. VMs are
        fetched if they find no room. Return the pools without these VMs, and
        without those that are kept free as such room. VMs that are due come
        last in them, as they can be maintained if nobody else wants them.
        """
        due = [worker for worker in self._parts.workers if worker.avoided]
        lacking: collections.Counter[str] = collections.Counter()
        if self._may_evict(now):
            lacking = self._new_evictions().clear_ahead(
                [each for each in due if each.vm not in self._operations],
                now,
                without_room=must_evict,
            )
        due_vms = {worker.vm for worker in due}
        free_vms = {
            pool.name: [vm for vm in pool.idle if vm not in due_vms]
            for pool in supplies
        }
        for pool, evacuation in evacuations.items():
            lacking[pool] = max(
                lacking[pool], evacuation.waiting_vms - len(free_vms[pool])
            )
        lacking -= self._vms_on_their_way(due_vms, now)
        kept = {
            vm
            for pool, evacuation in evacuations.items()
            for vm in free_vms[pool][: evacuation.room_vms]
        }
        supplies = [_without_idle(pool, kept) for pool in supplies]
        moves = peridotsill_scheduler.plan_fetches(supplies, lacking, due_vms)
        for move in moves:
            _logs.log(
                "vm:fetch", vm=move.vm, source=move.source, target=move.target
            )
            self._begin_move(move, now)
        return [
            attrs.evolve(
                pool,
                idle=tuple(sorted(pool.idle, key=due_vms.__contains__)),
            )
            for pool in peridotsill_scheduler.after_moves(supplies, moves)
        ]

    def _is_cleared_for_maintenance(self, vm: str) -> bool:
        operation = self._operations.get(vm)
        return (
            operation is not None
            and operation.command.kind is _CommandKind.MAINTAIN
            and operation.phase is _OperationPhase.CLEARING
        )

    def _vms_on_their_way(
        self, due_vms: set[str], now: float
    ) -> collections.Counter[str]:
        """Count, by pool, the VMs that will be free but can't be used yet.

        A VM is back from a move before one that is just maintained.
        """
        return collections.Counter(
            self._effective_pool(record)
            for record in self._vms.values()
            if record.state is not _ports.VmState.DOWN
            and record.name not in due_vms
            and self._is_on_its_way(record, now)
        )

    def _is_on_its_way(self, record: _ports.VmRecord, now: float) -> bool:
        operation = self._operations.get(record.name)
        if operation is None:
            worker = self._worker_of(record.name)
            if worker is None:
                return not self._awaiting_count(record.name)
            return not worker.placed and bool(worker.closed_reason(now))
        return operation.command.kind is _CommandKind.MOVE

    def _send_commands(self, operations: list[_Operation], now: float) -> None:
        """Record the commands of operations in one write, then send them.

        If a write of this round got no answer, they wait for the next round.
        """
        if not self._may_write:
            return
        begun: dict[_waves.Wave, set[str]] = {}
        ready = [
            each
            for each in operations
            if self._may_command(each.command.vm, now)
            and self._begin_in_wave(each, begun, now)
        ]
        if not ready:
            return
        outcome = self._parts.command_row.record(
            frozenset(each.command.vm for each in ready),
            self._wave_rows.changes(begun),
        )
        self._wave_rows.apply_outcome(begun, outcome)
        match outcome:
            case result.Success():
                for operation in ready:
                    self._send_command(operation, now)
            case result.Failure(peridotsill_platform.exceptions.Conflict()):
                # The rows have been read again.
                pass
            case result.Failure():
                self._may_write = False

    def _send_command(self, operation: _Operation, now: float) -> None:
        operation.phase = _OperationPhase.CALLING
        operation.progressed_at = now
        record = self._vms.get(operation.command.vm)
        operation.runner = record.runner if record else ""
        worker = self._worker_of(operation.command.vm)
        operation.lifetime = worker.lifetime if worker else 0
        is_in_pool = record is not None and (
            record.pool == operation.command.pool
        )
        operation.may_be_repeat |= is_in_pool
        self._parts.command_sender.send(operation.command)

    def _begin_in_wave(
        self,
        operation: _Operation,
        begun: dict[_waves.Wave, set[str]],
        now: float,
    ) -> bool:
        """Add a VM to those that begin in its wave, if it has one.

        Return whether its command may be sent once that is recorded.
        """
        wave = self._waves.get(operation.wave)
        if wave is None:
            return True
        vm = operation.command.vm
        if vm in wave.begun:
            operation.may_be_repeat = True
            return True
        # The row may have been read again since the VM was chosen, and may
        # name VMs that another scheduler has begun. So count again.
        out = self._out_vms(wave, now) | begun.get(wave, set())
        if len(out) >= wave.order.max_parallel:
            _logs.log(
                "wave:no_place",
                wave=wave.order.name,
                vm=vm,
                out=sorted(out),
                max_parallel=wave.order.max_parallel,
            )
            self._backoff_until[vm] = now + _BACKOFF_SECONDS
            self._end_operation(vm)
            return False
        begun.setdefault(wave, set()).add(vm)
        return True

    def _out_vms(self, wave: _waves.Wave, now: float) -> set[str]:
        """Return the VMs that count towards a wave's ``max_parallel``.

        A VM whose command got no answer, and that has been missing from the
        list for as long as a maintenance takes, is treated as removed.
        """
        return {
            vm
            for vm in wave.out
            if vm in self._vms
            or now < wave.away_since.get(vm, now) + self._maintenance_seconds
        }

    def _begin_operation(
        self, command: _commands.Command, now: float, wave: str = ""
    ) -> None:
        self._operations[command.vm] = _Operation(
            command=command,
            phase=_OperationPhase.CLEARING,
            progressed_at=now,
            wave=wave,
        )
        worker = self._worker_of(command.vm)
        if worker is not None:
            worker.fleet_closed_reason = f"to {command.kind}"

    def _is_available(self, record: _ports.VmRecord, now: float) -> bool:
        return (
            record.state is _ports.VmState.UP
            and record.name not in self._operations
            and now >= self._backoff_until.get(record.name, 0.0)
            and self._may_command(record.name, now)
        )

    def _may_command(self, vm: str, now: float) -> bool:
        """Tell whether it is known that a command for a VM can't do harm.

        Neither may it follow a command of an earlier scheduler too soon, nor
        end a task that an earlier scheduler started since the rows were read.
        """
        command_row = self._parts.command_row
        if not command_row.may_command(vm, self._list_requested_at):
            return False
        return now >= command_row.unproved_until or self._is_reported(vm)

    def _is_reported(self, vm: str) -> bool:
        """Tell whether all tasks on a VM are known from its runner's report.

        A runner that has answered accepts nothing more of an earlier
        scheduler. VMs on standby are off.
        """
        record = self._vms.get(vm)
        if record is None:
            return False
        if self._is_standby(record.pool):
            return True
        worker = self._worker_of(vm)
        return (
            worker is not None and worker.reported and not worker.unknown_runs
        )

    def _is_standby(self, pool: str) -> bool:
        settings = self._parts.catalog.pool(pool)
        return settings is not None and settings.standby

    def _effective_pool(self, record: _ports.VmRecord) -> str:
        """Return the pool that a VM is in or is being moved to."""
        operation = self._operations.get(record.name)
        if operation and operation.command.kind is _CommandKind.MOVE:
            return operation.command.pool
        return record.pool

    def _pool_supplies(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> list[peridotsill_scheduler.PoolSupply]:
        members: dict[str, list[_ports.VmRecord]] = {}
        for record in self._vms.values():
            members.setdefault(self._effective_pool(record), []).append(record)
        config = self._parts.catalog.config
        pool_names = {each.name for each in config.pools} if config else set()
        return [
            self._pool_supply(
                pool, members.get(pool, []), jobs, estimator, now
            )
            for pool in sorted(pool_names | set(members))
        ]

    def _pool_supply(
        self,
        pool: str,
        records: list[_ports.VmRecord],
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> peridotsill_scheduler.PoolSupply:
        available = [each for each in records if self._is_available(each, now)]
        idle = tuple(each.name for each in available if self._is_idle(each))
        cores = [record.capacity.cores for record in records]
        return peridotsill_scheduler.PoolSupply(
            name=pool,
            standby=self._is_standby(pool),
            size=len(records),
            idle=idle,
            busy=self._soon_idle(available, estimator, now),
            vm_cores=sum(cores) / len(cores) if cores else 1.0,
            demand=peridotsill_scheduler.pool_demand(
                jobs.get(pool, ()),
                self._arrivals[pool].rates(now),
                now,
                estimator,
                self._parts.count_startable,
            ),
        )

    def _is_idle(self, record: _ports.VmRecord) -> bool:
        if self._is_standby(record.pool):
            return True
        worker = self._worker_of(record.name)
        return (
            worker is not None
            and not worker.placed
            and not self._awaiting_count(record.name)
        )

    def _soon_idle(
        self,
        records: list[_ports.VmRecord],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> tuple[str, ...]:
        """Return the busy VMs that are about to be idle, soonest first.

        They are estimated to be so within ``_MAX_SECONDS_TO_IDLE``.
        """
        seconds_to_idle_by_vm: dict[str, float] = {}
        for record in records:
            worker = self._worker_of(record.name)
            if worker is None or not worker.placed:
                continue
            seconds_to_idle = max(
                peridotsill_scheduler.remaining_run_seconds(
                    each.job, each.task, estimator, now
                )
                for each in worker.placed.values()
            )
            if seconds_to_idle < _MAX_SECONDS_TO_IDLE:
                seconds_to_idle_by_vm[record.name] = seconds_to_idle
        return tuple(
            sorted(
                seconds_to_idle_by_vm,
                key=lambda name: seconds_to_idle_by_vm[name],
            )
        )

    def _plan_lending(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> list[peridotsill_scheduler.PoolSupply]:
        """Begin the moves of the lending policy; return the pools after."""
        supply_by_pool = {each.name: each for each in supplies}
        self._log_shortage(supplies, now)
        policy = self._parts.settings.current.lending_policy
        moves = peridotsill_scheduler.plan_moves(policy, supplies)
        for move in moves:
            demand = supply_by_pool[move.target].demand
            _logs.log(
                "vm:lend",
                vm=move.vm,
                source=move.source,
                target=move.target,
                size=supply_by_pool[move.target].size,
                need_cores=round(demand.cores, 1),
                rate_cores=round(demand.rate, 1),
                waiting_work=round(demand.waiting, 1),
            )
            self._begin_move(move, now)
        supplies = peridotsill_scheduler.after_moves(supplies, moves)
        return self._plan_returns(supplies, now)

    def _plan_returns(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> list[peridotsill_scheduler.PoolSupply]:
        """Begin the moves of the return policy; return the pools after."""
        policy = self._parts.settings.current.return_policy
        moves = peridotsill_scheduler.plan_returns(
            policy, supplies, self._need_history, now
        )
        for move in moves:
            _logs.log("vm:return", vm=move.vm, source=move.source)
            self._begin_move(move, now)
        return peridotsill_scheduler.after_moves(supplies, moves)

    def _begin_move(
        self, move: peridotsill_scheduler.Move, now: float
    ) -> None:
        command = _commands.Command(
            kind=_CommandKind.MOVE, vm=move.vm, pool=move.target
        )
        self._begin_operation(command, now)

    def _without_operations(
        self, supplies: list[peridotsill_scheduler.PoolSupply]
    ) -> list[peridotsill_scheduler.PoolSupply]:
        """Leave out the VMs that waves have just begun operations on."""
        operations = self._operations
        return [
            attrs.evolve(
                pool,
                idle=tuple(vm for vm in pool.idle if vm not in operations),
                busy=tuple(vm for vm in pool.busy if vm not in operations),
            )
            for pool in supplies
        ]

    def _log_shortage(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> None:
        """Log all pools if one lacks VMs, at most once a second."""
        if now < self._shortage_logged_at + _SHORTAGE_LOG_PERIOD_SECONDS:
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

    def _update_waves(self, now: float) -> None:
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
            if not self._parts.command_row.is_claimed:
                continue
            if wave.has_unrecorded_changes and self._may_write:
                self._may_write = self._save_wave(wave)
            if self._may_write:
                self._publish_wave_state(wave)

    def _save_wave(self, wave: _waves.Wave) -> bool:
        unchanged: _waves.BegunVms = {wave: frozenset()}
        outcome = self._parts.command_row.write_others(
            self._wave_rows.changes(unchanged)
        )
        return self._wave_rows.apply_outcome(unchanged, outcome)

    def _publish_wave_state(self, wave: _waves.Wave) -> None:
        remaining = [
            vm
            for vm in wave.order.vms
            if vm not in wave.back and vm in self._vms
        ]
        state = "running" if remaining else "completed"
        if state == wave.published_state:
            return
        key = self._parts.keys.wave_status_prefix + wave.order.name
        value = self._parts.documents.wave_status(state)
        change = _waves.RowChange(
            check=None,
            write=peridotsill_platform.Write(key=key, value=value),
        )
        match self._parts.command_row.write_others((change,)):
            case result.Success():
                wave.published_state = state
                _logs.log("wave:state", wave=wave.order.name, state=state)
            case result.Failure(error):
                self._may_write = False
                _logs.log(
                    "wave:unwritten",
                    wave=wave.order.name,
                    reason=str(error),
                )

    def _wave_plan(
        self,
        wave: _waves.Wave,
        supplies: list[peridotsill_scheduler.PoolSupply],
        evacuations: dict[str, peridotsill_scheduler.Evacuation],
        estimator: peridotsill_scheduler.Estimator,
        now: float,
    ) -> _wave_views.WavePlan:
        by_pool = {each.name: each for each in supplies}
        views = []
        for name in wave.order.vms:
            record = self._vms.get(name)
            if record is not None:
                view = _wave_views.make_view(
                    name,
                    self._worker_of(name),
                    awaiting_count=self._awaiting_count(name),
                    pool=by_pool[self._effective_pool(record)],
                    phase=self._maintenance_phase(wave, name),
                    available=self._is_available(record, now),
                    estimator=estimator,
                    now=now,
                )
                views.append(view)
        terms = peridotsill_scheduler.WaveTerms(
            max_parallel=wave.order.max_parallel,
            seconds_left=wave.seen_at + wave.order.deadline_seconds - now,
            maintenance_seconds=self._maintenance_seconds,
            eviction_seconds=max(
                (each.seconds for each in evacuations.values()), default=0.0
            ),
        )
        return _wave_views.WavePlan(wave=wave, vms=views, terms=terms)

    def _resume_maintenance(self, wave: _waves.Wave, now: float) -> None:
        """Send the commands again that got no answer, which is safe.

        They may still be carried out, so their VMs are not lent.
        """
        for name in wave.unfinished - set(self._operations):
            backoff_over = now >= self._backoff_until.get(name, 0.0)
            if name in self._vms and backoff_over:
                self._begin_maintenance(wave, name, now)

    def _carry_out(self, plan: _wave_views.WavePlan, now: float) -> None:
        """Begin the maintenance of the VMs that a wave takes now."""
        wave = plan.wave
        out = sorted(
            each.name for each in plan.vms if each.phase in _OUT_PHASES
        )
        for view in peridotsill_scheduler.plan_maintenance(
            plan.vms, plan.terms
        ):
            if view.name in self._operations:
                # Another wave has just taken it.
                continue
            _logs.log(
                "wave:take",
                wave=wave.order.name,
                vm=view.name,
                pool=view.pool,
                tasks=view.task_count,
                out=out,
                max_parallel=wave.order.max_parallel,
                urgent=plan.urgent,
            )
            self._begin_maintenance(wave, view.name, now)

    def _begin_maintenance(
        self, wave: _waves.Wave, vm: str, now: float
    ) -> None:
        command = _commands.Command(
            kind=_CommandKind.MAINTAIN, vm=vm, wave=wave.order.number
        )
        self._begin_operation(command, now, wave.order.name)

    def _mark_avoided(self, waves: list[_waves.Wave]) -> None:
        due = {
            name
            for wave in waves
            for name in wave.order.vms
            if self._maintenance_phase(wave, name) is _MaintenancePhase.DUE
        }
        for worker in self._parts.workers:
            worker.avoided = worker.vm in due

    def _maintenance_phase(
        self, wave: _waves.Wave, vm: str
    ) -> peridotsill_scheduler.MaintenancePhase:
        if vm in wave.out:
            return _MaintenancePhase.BEGUN
        if vm in wave.back:
            return _MaintenancePhase.DONE
        operation = self._operations.get(vm)
        if operation is not None and operation.wave == wave.order.name:
            return _MaintenancePhase.CLEARING
        return _MaintenancePhase.DUE


def _without_idle(
    pool: peridotsill_scheduler.PoolSupply, vms: set[str]
) -> peridotsill_scheduler.PoolSupply:
    """Return a pool with some of its idle VMs left out."""
    return attrs.evolve(
        pool, idle=tuple(vm for vm in pool.idle if vm not in vms)
    )
