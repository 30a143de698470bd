"""Steps on the VM commands of schedulers that take over from one another."""

import json
import threading
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import handovers
from emulator import rules
from emulator import stubs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _commands
from peridotsill_jobs import _controller
from peridotsill_jobs import _feeds
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_VMS = ("a1", "a2", "a3")
# Sums of the clock's readings are inexact.
_CLOCK_ERROR_SECONDS = 0.001


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


def _make_wave(vms, number=1):
    """Make a wave that is due so soon that it takes all VMs at once."""
    return _ports.WaveOrder(
        name=str(number),
        number=number,
        vms=vms,
        deadline_seconds=1.0,
        max_parallel=len(vms),
    )


def _mock_link(entry):
    return unittest.mock.Mock(
        reached=True, refused=False, may_grant=True, silent_seconds=0.0
    )


def _make_controller(context, node, seconds_silent=0.0):
    """Make the scheduler of a node that takes the lease.

    The last holder's row has been unchanged for ``seconds_silent`` then.
    """
    catalog = unittest.mock.Mock(waves=(), standby_pools=frozenset())
    catalog.config.pools = [scheduler.PoolSettings(name="a")]
    catalog.pool.side_effect = lambda name: scheduler.PoolSettings(name=name)
    ports = unittest.mock.Mock(
        table=context.store,
        advisor=None,
        keys=unittest.mock.Mock(wave_status_prefix="status//"),
        table_limits=peridotsill_platform.TableLimits(),
    )
    ports.adaptive_timeout_table.return_value = context.store
    lease = _lease.Lease(node=node, table=context.store, address=f"{node}:1")
    if seconds_silent:
        assert not lease.try_acquire()
        context.now += seconds_silent + _CLOCK_ERROR_SECONDS
    assert lease.try_acquire()
    made = _controller.Controller(
        parts=_controller.ControllerParts(
            settings=_live_settings.LiveSettings(stubs.node_settings()),
            ports=ports,
            catalog=catalog,
            lease=lease,
            counters=peridotsill.Counters(),
            stopped=threading.Event(),
        )
    )
    made._feeds = unittest.mock.Mock()
    made._workers._connect = _mock_link
    made.sent = []
    made._command_sender.send = made.sent.append
    return made


def _decide(controller):
    controller._fleet._next_decision_at = 0.0
    controller._fleet.decide({}, scheduler.Estimator())


def _list_vms(controller, requested_at):
    controller._fleet.apply_vm_list(
        _feeds.VmListSnapshot(
            vms=tuple(map(_make_vm, _VMS)), requested_at=requested_at
        )
    )


def _register(controller, vms):
    controller._workers.update(
        tuple(stubs.runner_entry(f"r-{vm}", pool="a", vm=vm) for vm in vms)
    )


def _report(controller, worker):
    """Have a runner report to its scheduler that it runs nothing."""
    controller._apply_report(
        _link_events.ReportReceived(
            runner=worker.entry.id,
            lifetime=worker.lifetime,
            requested_at=_clock.monotonic_seconds(),
            report=_ports.RunnerReport(
                lifetime=worker.lifetime, clock_ms=0.0, running=(), ended=()
            ),
        )
    )


def _stop_clock(context):
    """Have the monotonic clock show ``context.now`` from now on."""
    context.now = _clock.monotonic_seconds()
    patch = unittest.mock.patch.object(
        _clock, "monotonic_seconds", lambda: context.now
    )
    patch.start()
    context.add_cleanup(patch.stop)


def _start_first(context):
    """Make a scheduler that holds the lease and has claimed the row."""
    if "store" not in context:
        _stop_clock(context)
        context.store = stubs.MemoryTable()
        context.registered = _VMS
        context.silent = ()
        context.seconds_silent = 0.0
        context.adopted = []
    made = context.first = _make_controller(context, "first")
    _register(made, _VMS)
    for worker in made._workers:
        _report(made, worker)
    made._command_row.claim()
    _list_vms(made, _clock.monotonic_seconds())
    return made


@given("a scheduler that commanded no VM")
def _start_without_command(context):
    _start_first(context)


@given("a scheduler that commanded no VM and released the lease")
def _release_without_command(context):
    _start_first(context)._parts.lease.release()


@given(
    'a scheduler that had "{vm}" maintained, {answer}, and released the lease'
)
def _command_and_release(context, vm, answer):
    _command_first(context, vm, answer)
    context.first._parts.lease.release()


@given('a scheduler that had "{vm}" maintained, {answer}, and is silent')
def _command_and_fall_silent(context, vm, answer):
    _command_first(context, vm, answer)
    context.seconds_silent = _lease.LEASE_SECONDS


def _command_first(context, vm, answer):
    made = _start_first(context)
    made._parts.catalog.waves = (_make_wave((vm,)),)
    _decide(made)
    assert _commanded(made) == [vm], made.sent
    if answer.startswith("which was answered"):
        _answer(made)
    if answer.endswith("recorded since"):
        made._command_row.record(frozenset({"a3"}), ())


def _answer(controller):
    controller._fleet.handle_outcome(
        _commands.CommandOutcome(
            command=controller.sent[-1],
            result=_commands.CommandResult.DONE,
            reason="",
            ended_at=_clock.monotonic_seconds(),
        )
    )


def _write_lease_as_earlier_version(context):
    """Remove from the lease's row what earlier versions don't write."""
    value, version = context.store.rows[_records.LEASE_KEY]
    value = {**value}
    del value["commands_recorded_since"]
    context.store.rows[_records.LEASE_KEY] = (value, version)


@given("the last scheduler was of an earlier version")
def _remove_row(context):
    del context.store.rows[_command_rows.KEY]
    _write_lease_as_earlier_version(context)


@given("a scheduler of an earlier version came after it")
def _pass_lease_on(context):
    lease = _lease.Lease(node="old", table=context.store, address="old:1")
    assert lease.try_acquire()
    lease.release()
    _write_lease_as_earlier_version(context)


@given("the row of commands holds a rest of {rest}")
def _malform_row(context, rest):
    value, version = context.store.rows[_command_rows.KEY]
    malformed = value | {"rests": {"a1": json.loads(rest)}}
    context.store.rows[_command_rows.KEY] = (malformed, version)


@given('the runner of "{vm}" does not answer')
def _silence_runner(context, vm):
    context.silent = (f"r-{vm}",)


@given("the table gives no answer to its next {count:d} records, which {fate}")
def _lose_answers(context, count, fate):
    commit = context.store.commit
    lost = []

    def commit_without_answer(transaction):
        keys = [write.key for write in transaction.writes]
        if _command_rows.KEY not in keys or len(lost) == count:
            return commit(transaction)
        lost.append(transaction)
        if fate == "were done":
            commit(transaction)
        return result.Failure(
            peridotsill_platform.exceptions.OutcomeUnknown("no answer")
        )

    context.store.commit = commit_without_answer


@given(
    'the rows place a task on the runner of "{vm}", which the registry lacks'
)
def _adopt_unregistered(context, vm):
    context.registered = tuple(each for each in _VMS if each != vm)
    step = scheduler.Step(index=0, task_count=1, estimated_seconds=9.0)
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="a")
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    task = job.tasks[0]
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, f"r-{vm}", 1
    context.adopted = [(job, task)]


@when('the next scheduler takes over and a wave over "{vms}" is due')
def _take_over(context, vms):
    made = _make_controller(context, "next", context.seconds_silent)
    context.next = made
    made._command_row.claim()
    for job, task in context.adopted:
        made._workers.adopt(job, task)
    _register(made, context.registered)
    for worker in made._workers:
        if worker.entry.id not in context.silent:
            _report(made, worker)
    _list_vms(made, _clock.monotonic_seconds())
    wave = _make_wave(tuple(vms.split(", ")), number=2)
    made._parts.catalog.waves = (wave,)
    _decide(made)


@when("it decides {seconds:g} s later")
def _decide_later(context, seconds):
    context.now += seconds
    _list_vms(context.next, context.now)
    _decide(context.next)
    # What the first decision began goes on in the next.
    _decide(context.next)


@when("it decides {seconds:g} s later without a new list of VMs")
def _decide_by_old_list(context, seconds):
    context.now += seconds
    _decide(context.next)
    _decide(context.next)


@when("the next scheduler claims the row of commands")
def _claim_as_next(context):
    context.next = _make_controller(context, "next", _lease.LEASE_SECONDS)
    assert context.next._command_row.claim()


@when('a wave over "{vms}" is due with the first scheduler')
def _order_wave(context, vms):
    wave = _make_wave(tuple(vms.split(", ")))
    context.first._parts.catalog.waves = (wave,)
    _decide(context.first)


@when("the first scheduler decides {count:d} more times")
def _decide_again(context, count):
    for _ in range(count):
        _decide(context.first)


@when("the first scheduler's command is answered")
def _answer_first(context):
    _answer(context.first)


@when("the first scheduler decides for {seconds:d} s")
def _decide_for(context, seconds):
    for _ in range(5 * seconds):
        context.now += 0.2
        _list_vms(context.first, context.now)
        _decide(context.first)


@when("holders take over from one another in {count:d} drawn runs")
def _play_handovers(context, count):
    context.runs = [
        handovers.Handovers(seed=seed).play(300) for seed in range(count)
    ]


def _commanded(controller):
    return [command.vm for command in controller.sent]


@then("it has commanded no VM")
def _check_none_commanded(context):
    assert not context.next.sent, context.next.sent


@then('it has commanded "{vms}"')
def _check_commanded(context, vms):
    assert _commanded(context.next) == vms.split(", "), context.next.sent


@then('it has not commanded "{vm}"')
def _check_not_commanded(context, vm):
    assert vm not in _commanded(context.next), context.next.sent


@then("the first scheduler has commanded no VM")
def _check_first_commanded_none(context):
    assert not context.first.sent, context.first.sent


@then('the first scheduler has commanded "{vm}"')
def _check_first_commanded(context, vm):
    assert _commanded(context.first) == [vm], context.first.sent


@then("the first scheduler has lost the lease")
def _check_lost(context):
    assert context.first._parts.lease.lost


@then("the row of commands names no VM")
def _check_no_names(context):
    value, _ = context.store.rows[_command_rows.KEY]
    assert not value["unanswered"] and not value["rests"], value


@then("the row was written {count:d} times")
def _check_writes(context, count):
    writes = [
        keys for keys in context.store.committed if _command_rows.KEY in keys
    ]
    assert len(writes) == count, writes


@then("no two of them command a VM within the hand-over time")
def _check_no_turns(context):
    turns = [handovers.taken_in_turns(sent) for sent in context.runs]
    assert not any(turns), [each for each in turns if each][0]


@then("most VMs are commanded by several of them")
def _check_several(context):
    holders = {}
    for run, sent in enumerate(context.runs):
        for each in sent:
            holders.setdefault((run, each.vm), set()).add(each.epoch)
    several = sum(len(epochs) > 1 for epochs in holders.values())
    assert several > 0.8 * len(context.runs) * len(handovers.VMS), holders


@then('it counts the task as one to be cleared from "{vm}"')
def _check_counted(context, vm):
    fleet = context.next._fleet
    wave = fleet._waves["2"]
    supplies = fleet._pool_supplies(
        {}, scheduler.Estimator(), _clock.monotonic_seconds()
    )
    plan = fleet._wave_plan(
        wave,
        supplies,
        {},
        scheduler.Estimator(),
        _clock.monotonic_seconds(),
    )
    counts = {view.name: view.task_count for view in plan.vms}
    assert counts[vm] == 1, plan


@when(
    "a VM is ordered under fence 1, and {seconds:g} s later "
    "under fence {fence:d}"
)
def _order_vm(context, seconds, fence):
    world = unittest.mock.Mock(
        lock=threading.Lock(),
        orders=[(10.0, "a1", 1), (10.0 + seconds, "a1", fence)],
        runners={},
        wave_limit_violations=(),
        rejected=(),
    )
    world.log.lock = threading.Lock()
    world.log.intervals = []
    context.broken_rules = rules.broken_rules(world)


@then('the rules broken are "{names}"')
def _check_broken_rules(context, names):
    found = [line.partition(":")[0] for line in context.broken_rules]
    assert found == names.split(), context.broken_rules


@then('the rules broken are ""')
def _check_no_broken_rule(context):
    assert not context.broken_rules, context.broken_rules
