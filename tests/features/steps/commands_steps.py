"""Steps on the VM commands of schedulers that take over from one another."""

import threading
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _controller
from peridotsill_jobs import _feeds
from peridotsill_jobs import _lease
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _ports
import peridotsill_scheduler as scheduler

_VMS = ("a1", "a2", "a3")
# Longer than any wait before the first command.
_LONG_SECONDS = 10.0


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


def _make_wave(vms):
    return _ports.WaveOrder(
        name="1",
        number=1,
        vms=vms,
        deadline_seconds=20.0,
        max_parallel=len(vms),
    )


def _mock_link(entry):
    return unittest.mock.Mock(
        reached=True, refused=False, may_grant=True, silent_seconds=0.0
    )


def _make_controller(context, node):
    """Make the scheduler of a node that takes the lease."""
    catalog = unittest.mock.Mock(waves=(), standby_pools=frozenset())
    catalog.config.pools = [scheduler.PoolSettings(name="a")]
    catalog.pool.side_effect = lambda name: scheduler.PoolSettings(name=name)
    ports = unittest.mock.Mock(
        table=context.store,
        advisor=None,
        keys=unittest.mock.Mock(wave_status_prefix="status//"),
    )
    ports.adaptive_timeout_table.return_value = context.store
    lease = _lease.Lease(node=node, table=context.store, address=f"{node}:1")
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


@given("a scheduler that commanded no VM and released the lease")
def _release_without_command(context):
    context.store = stubs.MemoryTable()
    context.registered = _VMS
    context.adopted = []
    last = _make_controller(context, "last")
    last._parts.stopped.set()
    last.run()
    last._parts.lease.release()


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


@when('the next scheduler takes over and a wave over "{vm}" is due')
def _take_over(context, vm):
    made = context.next = _make_controller(context, "next")
    for job, task in context.adopted:
        made._workers.adopt(job, task)
    _register(made, context.registered)
    _list_vms(made, _clock.monotonic_seconds())
    made._parts.catalog.waves = (_make_wave((vm,)),)
    _decide(made)


def _pass_time(context, seconds):
    now = _clock.monotonic_seconds() + seconds
    patch = unittest.mock.patch.object(
        _clock, "monotonic_seconds", lambda: now
    )
    patch.start()
    context.add_cleanup(patch.stop)
    _list_vms(context.next, now)


@when("all waits after the takeover have passed")
def _pass_all_waits(context):
    _pass_time(context, _LONG_SECONDS)
    _decide(context.next)
    # What the first decision began goes on in the next.
    _decide(context.next)


def _commanded(controller):
    return [command.vm for command in controller.sent]


@then('it has commanded "{vm}"')
def _check_commanded(context, vm):
    assert _commanded(context.next) == [vm], context.next.sent


@then('it has not commanded "{vm}"')
def _check_not_commanded(context, vm):
    assert vm not in _commanded(context.next), context.next.sent


@then('it counts the task as one to be cleared from "{vm}"')
def _check_counted(context, vm):
    fleet = context.next._fleet
    wave = fleet._waves["1"]
    supplies = fleet._pool_supplies(
        {}, scheduler.Estimator(), _clock.monotonic_seconds()
    )
    view = fleet._maintenance_view(
        wave, fleet._vms[vm], {each.name: each for each in supplies}
    )
    assert view.task_count == 1, view
