"""Steps for the decisions of `Fleet`, with stubs around it."""

import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import stubs

from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _commands
from peridotsill_jobs import _feeds
from peridotsill_jobs import _fleet
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _workers
from peridotsill_jobs import exceptions
import peridotsill_platform
import peridotsill_scheduler as scheduler

_POOLS = ("a", "b")
_WAVE_KEY = "control//wave-1"


def _make_vm(name):
    return _ports.VmRecord(
        name=name,
        pool="a",
        state=_ports.VmState.UP,
        runner=f"r-{name}",
        rack="r",
        labels=frozenset(),
        domain="z",
        capacity=scheduler.Resources(cores=32, memory_mib=65536),
    )


def _stop(worker, placed):
    placed.task.phase = scheduler.TaskPhase.STOPPING


def _mock_worker(name):
    worker = unittest.mock.Mock(
        entry=unittest.mock.Mock(id=f"r-{name}", pool="a"),
        vm=name,
        placed={},
        avoided=False,
        fleet_closed_reason="",
    )
    worker.closed_reason.side_effect = lambda now: worker.fleet_closed_reason
    worker.view.side_effect = lambda now: _view_of(worker)
    return worker


def _view_of(worker):
    capacity = scheduler.Resources(cores=32, memory_mib=65536)
    view = scheduler.VmView(
        runner=worker.entry.id,
        lifetime=1,
        vm=worker.vm,
        pool=worker.entry.pool,
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=capacity,
        free=capacity,
        closed_reason=worker.closed_reason(0.0),
        avoided=worker.avoided,
    )
    for placed in worker.placed.values():
        view.reserve(placed.job.spec.id, placed.task)
    return view


class _StubWorkers(list):
    """Stub of the scheduler's `Workers`."""

    def find(self, runner):
        return next(
            (worker for worker in self if worker.entry.id == runner), None
        )

    def awaiting_count(self, runner):
        return 0

    def full_speed_tasks(self, job):
        return frozenset(
            placed.task.key
            for worker in self
            for placed in worker.placed.values()
            if placed.job is job
            and placed.speed_percent == 100
            and placed.task.phase is scheduler.TaskPhase.RUNNING
        )


@given('a fleet with idle VMs "a1" to "a4" in pool "a" and none in "b"')
def _make_fleet(context):
    names = [f"a{number}" for number in range(1, 5)]
    context.records = tuple(map(_make_vm, names))
    context.sent = []
    context.open_jobs = {"a": []}
    patch = unittest.mock.patch.object(_logs, "log")
    context.log = patch.start()
    context.add_cleanup(patch.stop)
    context.catalog = unittest.mock.Mock(waves=())
    context.catalog.config.pools = [
        scheduler.PoolSettings(name=name) for name in _POOLS
    ]
    context.catalog.pool.side_effect = lambda name: scheduler.PoolSettings(
        name=name
    )
    command_sender = unittest.mock.Mock()
    command_sender.send.side_effect = context.sent.append
    settings = stubs.node_settings()
    context.store = stubs.MemoryTable()
    context.keys = unittest.mock.Mock(wave_status_prefix="status//")
    context.planner = _fleet.Fleet(
        parts=_fleet.FleetParts(
            settings=_live_settings.LiveSettings(settings),
            catalog=context.catalog,
            table=context.store,
            keys=context.keys,
            documents=unittest.mock.Mock(),
            workers=_StubWorkers(map(_mock_worker, names)),
            command_row=_command_rows.CommandRow(
                table=context.store,
                lease=unittest.mock.Mock(
                    epoch=1,
                    predecessor_epoch=0,
                    seconds_since_last_holder=0.0,
                    commands_recorded_since=1,
                ),
                handover_seconds=3.0,
            ),
            command_sender=command_sender,
            evict=unittest.mock.Mock(side_effect=_stop),
            requeue_lost=unittest.mock.Mock(),
        )
    )
    context.planner._parts.command_row.claim()
    context.planner._began_at = float("-inf")
    _list_vms(context, _clock.monotonic_seconds())


@given('pool "{standby}" is a standby pool')
def _make_standby(context, standby):
    context.catalog.pool.side_effect = lambda name: scheduler.PoolSettings(
        name=name, standby=name == standby
    )


@given('"a2", "a3" and "a4" are in pool "{pool}"')
def _put_into_pool(context, pool):
    names = ("a2", "a3", "a4")
    context.records = tuple(
        attrs.evolve(each, pool=pool) if each.name in names else each
        for each in context.records
    )
    for name in names:
        worker = context.planner._parts.workers.find(f"r-{name}")
        worker.entry.pool = pool
    _list_vms(context, _clock.monotonic_seconds())


def _list_vms(context, requested_at):
    context.planner.apply_vm_list(
        _feeds.VmListSnapshot(vms=context.records, requested_at=requested_at)
    )


@given(
    'a wave over "a{first:d}" to "a{last:d}" with at most '
    "{max_parallel:d} out at once"
)
def _order_wave(context, first, last, max_parallel):
    context.catalog.waves = (
        _ports.WaveOrder(
            name="1",
            number=1,
            vms=tuple(f"a{number}" for number in range(first, last + 1)),
            deadline_seconds=20.0,
            max_parallel=max_parallel,
        ),
    )


@given("the wave is due in {seconds:d} s")
def _set_deadline(context, seconds):
    wave = context.catalog.waves[0]
    context.catalog.waves = (attrs.evolve(wave, deadline_seconds=seconds),)


def _write_wave_row(context, **value):
    """Write the wave's row as another scheduler would."""
    write = peridotsill_platform.Write(key=_WAVE_KEY, value=value)
    context.store.commit(
        peridotsill_platform.Transaction(checks=(), writes=(write,))
    )


@given('an earlier scheduler recorded "{vm}" as begun')
def _record_begun(context, vm):
    _write_wave_row(context, begun=[vm], done=[])


@given('an earlier scheduler recorded "{vm}" as begun and done')
def _record_begun_and_done(context, vm):
    _write_wave_row(context, begun=[vm], done=[vm])


@given('the wave\'s row names "{vm}" as done, and no VM as begun')
def _record_done_only(context, vm):
    _write_wave_row(context, begun=[], done=[vm])


@given('an earlier scheduler recorded "{vm}" as begun, done and back')
def _record_begun_done_and_back(context, vm):
    _write_wave_row(context, begun=[vm], done=[vm], back=[vm])


@given(
    'another scheduler records "{vm}" as begun once this one has read the row'
)
def _record_begun_after_read(context, vm):
    read = context.store.read

    def read_once(keys):
        found = read(keys)
        context.store.read = read
        _record_begun(context, vm)
        return found

    context.store.read = read_once


@given('"{vm}" has gone from the list of VMs')
def _remove_from_list(context, vm):
    context.records = tuple(
        each for each in context.records if each.name != vm
    )
    _list_vms(context, _clock.monotonic_seconds())


@given("an earlier scheduler recorded the wave as {seconds:d} s old")
def _record_age(context, seconds):
    _write_wave_row(context, begun=[], done=[], age_seconds=float(seconds))


@given("the wave's row holds an age that is not a number")
def _record_malformed_age(context):
    _write_wave_row(context, begun=[], done=[], age_seconds="30")


@given("this node saw the wave {seconds:d} s ago")
def _set_seen_at(context, seconds):
    seen_at = _clock.monotonic_seconds() - seconds
    wave = context.catalog.waves[0]
    context.catalog.waves = (attrs.evolve(wave, seen_at=seen_at),)


@then("the wave's row says that it is {seconds:d} s old")
def _check_recorded_age(context, seconds):
    row, _ = context.store.rows[_WAVE_KEY]
    assert seconds <= row["age_seconds"] < seconds + 1, row


@given('pool "{pool}" needs {count:d} VMs')
def _add_demand(context, pool, count):
    context.planner.record_arrival(
        pool,
        scheduler.Arrival(at=_clock.monotonic_seconds(), work=32.0 * count),
    )


@when("the fleet decides")
def _decide(context):
    context.planner._next_decision_at = 0.0
    context.planner.decide(context.open_jobs, scheduler.Estimator())


@when("the fleet decides {count:d} more times")
def _decide_times(context, count):
    for _ in range(count):
        # Clears the backoff of VMs whose last command has failed.
        context.planner._backoff_until.clear()
        _decide(context)


def _last_maintenance_command(context):
    kind = _commands.CommandKind.MAINTAIN
    return [each for each in context.sent if each.kind is kind][-1]


def _answer_last_command(context, *answers):
    """Have the VM service answer the command that was sent last."""
    service = unittest.mock.Mock()
    service.maintain.side_effect = answers
    lease = unittest.mock.Mock(epoch=1, held=True, lost=False)
    command_sender = _commands.CommandSender(
        node="n", vms=service, lease=lease, post=context.planner.handle_outcome
    )
    command_sender._send_until_answered(_last_maintenance_command(context))


@when("the command gets no answer, and then its repeat finds the VM busy")
def _answer_lost_then_busy(context):
    _answer_last_command(
        context,
        exceptions.VmServiceError("no answer"),
        exceptions.VmNotReady("busy"),
    )


@when("the command is answered that the VM is busy")
def _answer_busy(context):
    _answer_last_command(context, exceptions.VmNotReady("busy"))


@when("the command is answered as done")
def _answer_done(context):
    _answer_last_command(context, None)


def _list_vm_as(context, vm, state, seconds_later=0.0):
    context.records = tuple(
        attrs.evolve(each, state=state) if each.name == vm else each
        for each in context.records
    )
    _list_vms(context, _clock.monotonic_seconds() + seconds_later)


@when("the list of VMs shows it in maintenance")
def _list_commanded_in_maintenance(context):
    vm = _last_maintenance_command(context).vm
    _list_vm_as(context, vm, _ports.VmState.MAINTENANCE)


@given('the list of VMs shows "{vm}" in maintenance')
def _list_in_maintenance(context, vm):
    _list_vm_as(context, vm, _ports.VmState.MAINTENANCE)


@when('the list of VMs shows "{vm}" up, {seconds:g} s later')
def _list_up(context, vm, seconds):
    _list_vm_as(context, vm, _ports.VmState.UP, seconds)


@when("the list of VMs lags and shows all of them as up")
def _list_all_up(context):
    _list_vms(context, _clock.monotonic_seconds() + 0.5)


@when(
    "the command is answered as done, though its maintenance was over before"
)
def _answer_done_before(context):
    _answer_last_command(context, None)
    requested_at = _clock.monotonic_seconds() + 2.5
    _list_vms(context, requested_at)


@then('the runner of "{vm}" may be given tasks again')
def _check_usable(context, vm):
    worker = context.planner._worker_of(vm)
    assert not worker.fleet_closed_reason, worker.fleet_closed_reason


@then('the wave\'s row says that "{vm}" is done')
def _check_recorded_done(context, vm):
    row, _ = context.store.rows[_WAVE_KEY]
    assert row["done"] == [vm], row


@then('the wave\'s row says that "{vm}" is back')
def _check_recorded_back(context, vm):
    row, _ = context.store.rows[_WAVE_KEY]
    assert row["back"] == [vm], row


@then("all VMs of the wave were commanded to be maintained")
def _check_all_maintained(context):
    assert _maintained_vms(context) == set(context.catalog.waves[0].vms)


@given("all {count:d} VMs have been chosen for it")
def _choose_all(context, count):
    fleet, now = context.planner, _clock.monotonic_seconds()
    fleet._update_waves(now)
    (wave,) = fleet._waves.values()
    assert len(wave.order.vms) == count
    for vm in wave.order.vms:
        fleet._begin_maintenance(wave, vm, now)


@then("{count:d} VMs were commanded to be maintained")
def _check_maintained_count(context, count):
    assert len(_maintained_vms(context)) == count, context.sent


@then("the wave's row was written once")
def _check_one_write(context):
    writes = [key for keys in context.store.committed for key in keys].count(
        _WAVE_KEY
    )
    assert writes == 1, context.store.committed


@then("no VM got two commands")
def _check_no_second_command(context):
    vms = [command.vm for command in context.sent]
    assert len(vms) == len(set(vms)), context.sent


def _maintained_vms(context):
    kind = _commands.CommandKind.MAINTAIN
    return {each.vm for each in context.sent if each.kind is kind}


@then("no VM was commanded to be maintained")
def _check_none_maintained(context):
    assert not _maintained_vms(context), context.sent


@then("only one VM was commanded to be maintained")
def _check_one_maintained(context):
    assert len(_maintained_vms(context)) == 1, context.sent


def _place_task(context, name, seconds, long_lived=False):
    step = scheduler.Step(
        index=0,
        task_count=1,
        estimated_seconds=seconds,
        long_lived=long_lived,
    )
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    task = scheduler.Task(occurrence=0, step=step, index=0)
    worker = context.planner._worker_of(name)
    worker.placed = {0: unittest.mock.Mock(task=task, job=_StubJob(spec))}


@attrs.frozen
class _StubJob:
    spec: scheduler.JobSpec


@given('"{vm}" is full with other tasks')
def _fill(context, vm):
    step = scheduler.Step(
        index=0, task_count=1, demand=scheduler.Resources(cores=32)
    )
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="a")
    spec = scheduler.JobSpec(id="full", queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    worker = context.planner._parts.workers.find(f"r-{vm}")
    worker.placed[("full", "0.0.0")] = unittest.mock.Mock(
        job=job, task=job.tasks[0], vm=vm, speed_percent=100
    )


@given('"a1" runs a task of 1 s, "a2" of 0.5 s and "a3" of 9 s')
def _place_tasks(context):
    for name, seconds in (("a1", 1.0), ("a2", 0.5), ("a3", 9.0)):
        _place_task(context, name, seconds)


@given('"a1" runs a task of 1 s, "a2" of 0.5 s and "a3" a long-lived one')
def _place_tasks_with_long_lived(context):
    _place_tasks(context)
    _place_task(context, "a3", 0.1, long_lived=True)


@when("a pool lacks VMs")
def _compute_supplies(context):
    context.supplies = context.planner._pool_supplies(
        {}, scheduler.Estimator(), _clock.monotonic_seconds()
    )


@then('"a2" and then "a1" may be cleared for it')
def _check_soon_idle(context):
    pool = next(each for each in context.supplies if each.name == "a")
    assert pool.busy == ("a2", "a1"), pool.busy
    assert pool.idle == ("a4",), pool.idle


@given('job "{name}" of long-lived tasks, 1 of which may be missing, on {vms}')
def _place_long_lived_job(context, name, vms):
    names = [each.strip().strip('"') for each in vms.split(",")]
    step = scheduler.Step(
        index=0,
        task_count=len(names),
        demand=scheduler.Resources(cores=4),
        long_lived=True,
        max_per_vm=1,
        may_miss=1,
    )
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="a")
    spec = scheduler.JobSpec(id=name, queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    context.open_jobs["a"].append(job)
    for vm, task in zip(names, job.tasks):
        task.phase = scheduler.TaskPhase.RUNNING
        task.runner = f"r-{vm}"
        worker = context.planner._parts.workers.find(f"r-{vm}")
        worker.placed[(name, task.key)] = unittest.mock.Mock(
            job=job, task=task, vm=vm, speed_percent=100
        )


@then(
    'the tasks ended are those of job "{first_job}" on "{vm}" '
    'and of job "{second_job}" on "{second}"'
)
def _check_evicted(context, first_job, vm, second_job, second):
    calls = context.planner._parts.evict.call_args_list
    found = {(each.args[1].job.spec.id, each.args[1].vm) for each in calls}
    assert found == {(first_job, vm), (second_job, second)}, found


@then('a task of job "{name}" was ended, and no other')
def _check_one_evicted(context, name):
    calls = context.planner._parts.evict.call_args_list
    found = [each.args[1].job.spec.id for each in calls]
    assert found == [name], found


@given("the scheduler has just begun")
def _begin_now(context):
    context.planner._began_at = _clock.monotonic_seconds()


@then("no task was ended")
def _check_none_evicted(context):
    context.planner._parts.evict.assert_not_called()


@given('the task of job "{name}" on "{vm}" does not run at full speed')
def _slow_down(context, name, vm):
    _find_placed(context, name, vm).speed_percent = 50


def _find_placed(context, name, vm):
    placed = context.planner._parts.workers.find(f"r-{vm}").placed
    return next(placed[key] for key in placed if key[0] == name)


@then(
    'the log says that the task of job "{name}" on "{vm}" waits for the one '
    'on "{other}"'
)
def _check_rest_logged(context, name, vm, other):
    calls = context.log.call_args_list
    (rest,) = [
        call.kwargs["rest"]
        for call in calls
        if call.args == ("vm:not_cleared",)
    ]
    held, away = [_find_placed(context, name, each) for each in (vm, other)]
    assert [each["task"] for each in rest] == [held.task.key], rest
    assert rest[0]["away"] == [f"{away.task.key} running"], rest


def _advance_clock(context, seconds):
    now = _clock.monotonic_seconds() + seconds
    patch = unittest.mock.patch.object(
        _clock, "monotonic_seconds", lambda: now
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when("{seconds:d} s pass")
def _advance_clock_and_decide(context, seconds):
    _advance_clock(context, seconds)
    _decide(context)


@when('{seconds:d} s pass and job "{name}" has left "{vm}"')
def _advance_clock_and_remove_tasks(context, seconds, name, vm):
    placed = context.planner._parts.workers.find(f"r-{vm}").placed
    for key in [each for each in placed if each[0] == name]:
        del placed[key]
    _advance_clock_and_decide(context, seconds)


@when('the task of job "{name}" on "{vm}" has been ended, and waits')
def _end_task(context, name, vm):
    _find_placed(context, name, vm).task.phase = scheduler.TaskPhase.WAITING
    context.planner._parts.workers.find(f"r-{vm}").placed.clear()


@then('"{vm}" was commanded to be maintained')
def _check_maintained(context, vm):
    assert vm in _maintained_vms(context), context.sent


@then('"{vm}" was not commanded to be maintained')
def _check_not_maintained(context, vm):
    assert vm not in _maintained_vms(context), context.sent


@then('the runner of "{vm}" is still held back')
def _check_held_back(context, vm):
    worker = context.planner._parts.workers.find(f"r-{vm}")
    assert worker.fleet_closed_reason, worker.fleet_closed_reason


def _track_workers(context):
    """Replace the stub of the workers with the scheduler's own class."""
    workers = _workers.Workers(connect=lambda entry: unittest.mock.Mock())
    context.planner._parts = attrs.evolve(
        context.planner._parts, workers=workers
    )
    return workers


def _list_runners(context, **lifetimes):
    """List all VMs' runners; those named in another lifetime, 0 for none."""
    workers = context.planner._parts.workers
    runners = {record.runner: 1 for record in context.records} | {
        f"r-{vm}": lifetime for vm, lifetime in lifetimes.items()
    }
    workers.update(
        tuple(
            stubs.runner_entry(runner, lifetime=lifetime, pool="a")
            for runner, lifetime in runners.items()
            if lifetime
        )
    )
    _list_vms(context, _clock.monotonic_seconds())


@given("the registry lists the runners of all VMs")
def _track_all_runners(context):
    _track_workers(context)
    _list_runners(context)


@given('the registry lists the runners of all VMs but "{vm}"')
def _track_runners_without(context, vm):
    _track_workers(context)
    _list_runners(context, **{vm: 0})


@when("the registry lists the runners of all VMs")
def _list_all_runners(context):
    _list_runners(context)


@when('the next lifetime of the runner of "{vm}" is listed and answers')
def _answer_next_lifetime(context, vm):
    _list_runners(context, **{vm: 2})
    workers = context.planner._parts.workers
    workers.replace(
        workers.find(f"r-{vm}"),
        stubs.runner_entry(f"r-{vm}", lifetime=2, pool="a"),
    )


def _make_running_task(runner, lifetime):
    step = scheduler.Step(index=0, task_count=1, estimated_seconds=9.0)
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="a")
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    task = job.tasks[0]
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, runner, lifetime
    return job, task


def _runner_of(context, vm):
    record = next(each for each in context.records if each.name == vm)
    return record.runner


@given('an earlier scheduler\'s task runs on the runner of "{vm}"')
def _adopt_task(context, vm):
    job, task = _make_running_task(_runner_of(context, vm), lifetime=1)
    context.planner._parts.workers.adopt(job, task)


@when('a task starts on the runner of "{vm}"')
def _start_task(context, vm):
    workers = context.planner._parts.workers
    worker = workers.find(_runner_of(context, vm))
    job, task = _make_running_task(worker.entry.id, worker.lifetime)
    workers.place(worker, job, task, last_answered_at=0.0)


def _requeued(context):
    calls = context.planner._parts.requeue_lost.call_args_list
    return [
        (task.run, call.args[1]) for call in calls for _, task in call.args[0]
    ]


@then('the task on "{vm}" still counts as running there')
def _check_still_placed(context, vm):
    worker = context.planner._parts.workers.find(_runner_of(context, vm))
    assert not _requeued(context), _requeued(context)
    assert len(worker.placed) == 1, worker.placed


@then('the task on "{vm}" is lost for the reason "{reason}"')
def _check_requeued(context, vm, reason):
    worker = context.planner._parts.workers.find(_runner_of(context, vm))
    assert _requeued(context) == [(1, reason)], _requeued(context)
    assert not worker.placed, worker.placed


def _pauses(context, vm):
    worker = context.planner._parts.workers.find(_runner_of(context, vm))
    return [call.args[0] for call in worker.link.set_paused.call_args_list]


@then('the runner of "{vm}" was always polled')
def _check_polled(context, vm):
    assert True not in _pauses(context, vm), _pauses(context, vm)


@then('the runner of "{vm}" is not polled')
def _check_not_polled(context, vm):
    assert _pauses(context, vm) == [True], _pauses(context, vm)


@given('"{vm}" is being cleared to be moved to pool "{pool}"')
def _clear_for_move(context, vm, pool):
    _start_task(context, vm)
    command = _commands.Command(
        kind=_commands.CommandKind.MOVE, vm=vm, pool=pool
    )
    context.planner._begin_operation(command, _clock.monotonic_seconds())


@when('the list of VMs shows "{vm}" in pool "{pool}" with runner "{runner}"')
def _list_in_pool(context, vm, pool, runner):
    context.records = tuple(
        attrs.evolve(each, pool=pool, runner=runner)
        if each.name == vm
        else each
        for each in context.records
    )
    _list_runners(context)


def _moves(context, vm):
    kind = _commands.CommandKind.MOVE
    return [
        each for each in context.sent if each.kind is kind and each.vm == vm
    ]


@then('{count:d} VMs were commanded to be moved to pool "{pool}"')
def _check_moved_to_pool(context, count, pool):
    kind = _commands.CommandKind.MOVE
    moved = {each.vm for each in context.sent if each.kind is kind}
    pools = {each.pool for each in context.sent if each.kind is kind}
    assert (len(moved), pools) == (count, {pool}), context.sent


@then('"{vm}" was not commanded to be moved')
def _check_not_moved(context, vm):
    assert not _moves(context, vm), context.sent


@then('"{vm}" was commanded to be moved')
def _check_moved(context, vm):
    assert len(_moves(context, vm)) == 1, context.sent


@when('the move of "{vm}" is answered as done')
def _answer_move(context, vm):
    context.planner.handle_outcome(
        _commands.CommandOutcome(
            command=_moves(context, vm)[-1],
            result=_commands.CommandResult.DONE,
            reason="",
            ended_at=_clock.monotonic_seconds(),
        )
    )
