"""Steps on the fleet's decisions, with stubs for everything outside it."""

import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import stubs

from peridotsill_jobs import _clock
from peridotsill_jobs import _commands
from peridotsill_jobs import _feeds
from peridotsill_jobs import _fleet
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions
import peridotsill_platform
import peridotsill_scheduler as scheduler

_POOLS = ("a", "b")
_WAVE_KEY = "control//wave-1"


def _record(name):
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


def _worker(name):
    return unittest.mock.Mock(
        entry=unittest.mock.Mock(id=f"r-{name}"), vm=name, placed={}
    )


class _Workers(list):
    """Workers that are found by their runner."""

    def find(self, runner):
        return next((w for w in self if w.entry.id == runner), None)

    def at_work(self, job):
        return frozenset(
            placed.task.key
            for worker in self
            for placed in worker.placed.values()
            if placed.job is job
        )


@given('a fleet with idle VMs "a1" to "a4" in pool "a" and none in "b"')
def _make_fleet(context):
    names = [f"a{number}" for number in range(1, 5)]
    context.records = tuple(map(_record, names))
    context.sent = []
    context.catalog = unittest.mock.Mock(waves=())
    context.catalog.config.pools = [
        scheduler.PoolSettings(name=name) for name in _POOLS
    ]
    context.catalog.pool.side_effect = lambda name: scheduler.PoolSettings(
        name=name
    )
    commander = unittest.mock.Mock()
    commander.send.side_effect = context.sent.append
    settings = stubs.node_settings()
    context.rows = stubs.MemoryTable()
    context.keys = unittest.mock.Mock(wave_status_prefix="status//")
    context.made = _fleet.Fleet(
        parts=_fleet.FleetParts(
            settings=_live_settings.LiveSettings(settings),
            catalog=context.catalog,
            table=context.rows,
            keys=context.keys,
            documents=unittest.mock.Mock(),
            workers=_Workers(map(_worker, names)),
            commander=commander,
            evict=unittest.mock.Mock(),
            release=unittest.mock.Mock(),
        ),
        may_command_from=0.0,
    )
    _list_vms(context, _clock.awake_seconds())


def _list_vms(context, asked_at):
    context.made.take_vms(
        _feeds.VmsSeen(vms=context.records, asked_at=asked_at)
    )


@given('a wave over "a{first:d}" to "a{last:d}" with at most {most:d} at once')
def _wave(context, first, last, most):
    context.catalog.waves = (
        _ports.WaveOrder(
            name="1",
            number=1,
            vms=tuple(f"a{number}" for number in range(first, last + 1)),
            deadline_seconds=20.0,
            max_parallel=most,
        ),
    )


@given("the wave is due in {seconds:d} s")
def _wave_due(context, seconds):
    wave = context.catalog.waves[0]
    context.catalog.waves = (attrs.evolve(wave, deadline_seconds=seconds),)


def _write_wave(context, **value):
    """Write the wave's row as another scheduler does."""
    write = peridotsill_platform.Write(key=_WAVE_KEY, value=value)
    context.rows.commit(
        peridotsill_platform.Transaction(checks=(), writes=(write,))
    )


@given('an earlier scheduler recorded "{vm}" as begun')
def _begun(context, vm):
    _write_wave(context, begun=[vm], done=[])


@given('an earlier scheduler recorded "{vm}" as begun and done')
def _begun_and_done(context, vm):
    _write_wave(context, begun=[vm], done=[vm])


@given('the wave\'s row names "{vm}" as done, and no VM as begun')
def _done_only(context, vm):
    _write_wave(context, begun=[], done=[vm])


@given('an earlier scheduler recorded "{vm}" as begun, done and back')
def _begun_and_back(context, vm):
    _write_wave(context, begun=[vm], done=[vm], back=[vm])


@given(
    'another scheduler records "{vm}" as begun once this one has read the row'
)
def _recorded_meanwhile(context, vm):
    read = context.rows.read

    def read_once(keys):
        found = read(keys)
        context.rows.read = read
        _begun(context, vm)
        return found

    context.rows.read = read_once


@given('"{vm}" has gone from the list of VMs')
def _gone(context, vm):
    context.records = tuple(
        each for each in context.records if each.name != vm
    )
    _list_vms(context, _clock.awake_seconds())


@given("an earlier scheduler recorded the wave as {seconds:d} s old")
def _recorded_age(context, seconds):
    _write_wave(context, begun=[], done=[], age_seconds=float(seconds))


@given("the wave's row holds an age of no number")
def _bad_age(context):
    _write_wave(context, begun=[], done=[], age_seconds="30")


@given("this node saw the wave {seconds:d} s ago")
def _seen_before(context, seconds):
    seen_at = _clock.awake_seconds() - seconds
    wave = context.catalog.waves[0]
    context.catalog.waves = (attrs.evolve(wave, seen_at=seen_at),)


@then("the wave's row says that it is {seconds:d} s old")
def _has_age(context, seconds):
    row, _ = context.rows.rows[_WAVE_KEY]
    assert seconds <= row["age_seconds"] < seconds + 1, row


@given('pool "{pool}" needs {count:d} VMs')
def _needs(context, pool, count):
    context.made.note_arrival(pool, 32.0 * count, _clock.awake_seconds())


@when("the fleet decides")
def _decide(context):
    context.made._next_at = 0.0
    context.made.step({}, scheduler.Estimator())


@when("the fleet decides 10 times more")
def _decide_more(context):
    for _ in range(10):
        # Nothing is left alone for having been busy a moment ago.
        context.made._not_before.clear()
        _decide(context)


def _last_maintenance(context):
    kind = _commands.CommandKind.MAINTAIN
    return [each for each in context.sent if each.kind is kind][-1]


def _answer(context, *answers):
    """Have the VM service answer the command that was sent last."""
    service = unittest.mock.Mock()
    service.maintain.side_effect = answers
    lease = unittest.mock.Mock(epoch=1, held=True, lost=False)
    commander = _commands.Commander(
        node="n", vms=service, lease=lease, post=context.made.take_outcome
    )
    commander._run(_last_maintenance(context))


@when("the command gets no answer, and then that the VM is busy")
def _unanswered(context):
    _answer(
        context,
        exceptions.FleetError("no answer"),
        exceptions.FleetBusy("busy"),
    )


@when("the command is answered that the VM is busy")
def _busy(context):
    _answer(context, exceptions.FleetBusy("busy"))


@when("the command is answered as done")
def _done(context):
    _answer(context, None)


def _show(context, vm, state, later=0.0):
    context.records = tuple(
        attrs.evolve(each, state=state) if each.name == vm else each
        for each in context.records
    )
    _list_vms(context, _clock.awake_seconds() + later)


@when("the list of VMs shows it in maintenance")
def _in_maintenance(context):
    vm = _last_maintenance(context).vm
    _show(context, vm, _ports.VmState.MAINTENANCE)


@given('the list of VMs shows "{vm}" in maintenance')
def _shown_in_maintenance(context, vm):
    _show(context, vm, _ports.VmState.MAINTENANCE)


@when('the list of VMs shows "{vm}" up, {seconds:g} s later')
def _shown_up(context, vm, seconds):
    _show(context, vm, _ports.VmState.UP, seconds)


@when("the list of VMs lags and shows all of them as up")
def _lagging(context):
    _list_vms(context, _clock.awake_seconds() + 0.5)


@when("the command is answered as done, though it was done before")
def _done_before(context):
    _answer(context, None)
    later = _clock.awake_seconds() + 2.5
    _list_vms(context, later)


@then('the runner of "{vm}" may be given tasks again')
def _open_again(context, vm):
    worker = context.made._worker_of(vm)
    assert not worker.held_back, worker.held_back


@then('the wave\'s row says that "{vm}" is done')
def _recorded(context, vm):
    row, _ = context.rows.rows[_WAVE_KEY]
    assert row["done"] == [vm], row


@then('the wave\'s row says that "{vm}" is back')
def _recorded_back(context, vm):
    row, _ = context.rows.rows[_WAVE_KEY]
    assert row["back"] == [vm], row


@then("no VM was commanded twice")
def _once(context):
    vms = [command.vm for command in context.sent]
    assert len(vms) == len(set(vms)), context.sent


def _maintained(context):
    kind = _commands.CommandKind.MAINTAIN
    return {each.vm for each in context.sent if each.kind is kind}


@then("no VM was commanded to be maintained")
def _none_maintained(context):
    assert not _maintained(context), context.sent


@then("only one VM was commanded to be maintained")
def _only_one(context):
    assert len(_maintained(context)) == 1, context.sent


def _run_on(context, name, seconds, long_lived=False):
    step = scheduler.Step(
        index=0,
        task_count=1,
        estimated_seconds=seconds,
        long_lived=long_lived,
    )
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    task = scheduler.Task(occurrence=0, step=step, index=0)
    worker = context.made._worker_of(name)
    worker.placed = {0: unittest.mock.Mock(task=task, job=_Job(spec))}


@attrs.frozen
class _Job:
    spec: scheduler.JobSpec


@given('"a1" runs a task of 1 s, "a2" of 0.5 s and "a3" of 9 s')
def _tasks(context):
    for name, seconds in (("a1", 1.0), ("a2", 0.5), ("a3", 9.0)):
        _run_on(context, name, seconds)


@given('"a1" runs a task of 1 s, "a2" of 0.5 s and "a3" a long-lived one')
def _with_long_lived(context):
    _tasks(context)
    _run_on(context, "a3", 0.1, long_lived=True)


@when("a pool lacks VMs")
def _lacking(context):
    context.supplies = context.made._supplies(
        {}, scheduler.Estimator(), _clock.awake_seconds()
    )


@then('"a2" and then "a1" may be cleared for it')
def _may_clear(context):
    pool = next(each for each in context.supplies if each.name == "a")
    assert pool.busy == ("a2", "a1"), pool.busy
    assert pool.idle == ("a4",), pool.idle


@given('job "{name}" of long-lived tasks, 1 of which may be away, on {vms}')
def _long_lived(context, name, vms):
    names = [each.strip().strip('"') for each in vms.split(",")]
    step = scheduler.Step(
        index=0, task_count=len(names), long_lived=True, may_miss=1
    )
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="a")
    spec = scheduler.JobSpec(id=name, queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    for vm, task in zip(names, job.tasks):
        task.phase = scheduler.TaskPhase.RUNNING
        worker = context.made._parts.workers.find(f"r-{vm}")
        worker.placed[(name, task.key)] = unittest.mock.Mock(
            job=job, task=task, vm=vm
        )


@then(
    'the tasks ended are those of job "{one}" on "{vm}" '
    'and of job "{other}" on "{second}"'
)
def _ended_tasks(context, one, vm, other, second):
    calls = context.made._parts.evict.call_args_list
    found = {(each.args[1].job.spec.id, each.args[1].vm) for each in calls}
    assert found == {(one, vm), (other, second)}, found


def _let_pass(context, seconds):
    now = _clock.awake_seconds() + seconds
    patch = unittest.mock.patch.object(_clock, "awake_seconds", lambda: now)
    patch.start()
    context.add_cleanup(patch.stop)


@when("{seconds:d} s pass")
def _pass(context, seconds):
    _let_pass(context, seconds)
    _decide(context)


@when('{seconds:d} s pass and job "{name}" has left "{vm}"')
def _pass_and_leave(context, seconds, name, vm):
    placed = context.made._parts.workers.find(f"r-{vm}").placed
    for key in [each for each in placed if each[0] == name]:
        del placed[key]
    _pass(context, seconds)


@then('"{vm}" was commanded to be maintained')
def _was_maintained(context, vm):
    assert vm in _maintained(context), context.sent


@then('"{vm}" was not commanded to be maintained')
def _was_not_maintained(context, vm):
    assert vm not in _maintained(context), context.sent


@then('the runner of "{vm}" is still held back')
def _held_back(context, vm):
    worker = context.made._parts.workers.find(f"r-{vm}")
    assert worker.held_back, worker.held_back
