"""Steps on runners whose address refuses connections while they live."""

import itertools
import time
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import nodes
import peridotsill
import peridotsill.exceptions
import returns.result

from peridotsill_adapter import _documents
from peridotsill_adapter import _runners
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _feeds
from peridotsill_jobs import _grants
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
import peridotsill_jobs.exceptions
import peridotsill_scheduler as scheduler

_POOL = "trails"
_VM = "m-1"
_TASK = _ports.TaskName(job="00000000000000aa", task="0.0.0")
_STEP = {"count": 6, "cpu": 4000, "estimated_ms": 3000}


def _job_id(number):
    return f"{number:016x}"


def _runners_by_load(world):
    """Return the runners that have runs, those with the most first."""
    runners = [each for each in tuple(world.runners.values()) if each.runs]
    return sorted(runners, key=lambda runner: -len(runner.runs))


def _submit_jobs(context, count, steps, seconds, nodes_used):
    context.job_count = count
    for number in range(count):
        reply = context.cluster.submit(
            nodes_used[number % len(nodes_used)],
            _POOL,
            _job_id(number),
            steps,
            seconds=seconds,
        )
        assert reply is not None and reply.status == 200, reply


def _wait_for_runs(context):
    nodes.wait_for(
        lambda: len(_runners_by_load(context.cluster.world)) > 1,
        10,
        "tasks run on two runners",
    )


@when("{count:d} jobs with tasks of {seconds:g} s are submitted")
def _submit(context, count, seconds):
    _submit_jobs(context, count, [_STEP], seconds, context.cluster.nodes)


@when("{count:d} jobs with tasks of {seconds:g} s run")
def _submit_and_wait(context, count, seconds):
    _submit(context, count, seconds)
    _wait_for_runs(context)


@when("{count:d} jobs with {kind} tasks of {seconds:g} s run")
def _submit_kind_and_wait(context, count, kind, seconds):
    step = {**_STEP, kind: True}
    _submit_jobs(context, count, [step], seconds, context.cluster.nodes)
    _wait_for_runs(context)


@when("one runner loses starts and refuses stops, and 2 jobs are submitted")
def _lose_starts(context):
    cluster = context.cluster
    runner = next(iter(cluster.world.runners.values()))
    runner.faults.late_seconds = 300.0
    runner.faults.unhealthy_stops = True
    step = {"count": 24, "cpu": 1000, "estimated_ms": 100}
    _submit_jobs(context, 2, [step], 0.2, cluster.nodes[:1])


@when("{count:d} of their runners refuse connections for {seconds:g} s")
def _refuse(context, count, seconds):
    world = context.cluster.world
    for runner in _runners_by_load(world)[:count]:
        world.refuse_connections(runner, seconds)


@then("all the jobs are completed within {seconds:d} s")
def _all_completed(context, seconds):
    for number in range(context.job_count):
        context.cluster.wait_state(
            _POOL, _job_id(number), "completed", seconds
        )


# One process.


def _worker(context):
    return context.controller._workers.get("i-1", 1)


def _list_vm(context, *, requested_at=None, **fields):
    """Let the scheduler handle a list with the runner's VM."""
    record = _ports.VmRecord(
        name=_VM,
        pool="p",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=32),
        **fields,
    )
    _handle_list(context, (record,), requested_at)


def _handle_list(context, vms, requested_at=None):
    context.controller._handle_event(
        _feeds.VmListSnapshot(
            vms=vms,
            requested_at=_worker(context).known_at + 1.0
            if requested_at is None
            else requested_at,
        )
    )


@given("its VM was listed with it")
def _listed_before(context):
    _list_vm(context, state=_ports.VmState.UP, runner="i-1")
    assert _worker(context).vm == _VM


@given("the registry names its VM")
def _registry_names_vm(context):
    fields = {
        "service": "p",
        "address": "127.0.0.1:1",
        "state": "ready",
        "born": 1,
        "labels": ["a", "r-1"],
        "capacity": {"cpu": 32000, "mem_mb": 65536},
        "machine": _VM,
    }
    row = peridotsill.Row(key="servers//i-1", value=fields, version=1)
    entry = _documents.PlatformDocuments(
        unreadable_rows=_unreadable.UnreadableRows()
    ).runner(row)
    workers = context.controller._workers
    (placed,) = _worker(context).placed.values()
    del workers._workers["i-1"]
    workers.update((entry,))
    workers.place(
        _worker(context), context.job, placed.task, last_answered_at=1.0
    )


@when('runner "{runner}" begins to refuse connections')
def _begin_to_refuse(context, runner):
    link = context.links[runner]
    link.refused, link.may_grant = True, False
    link.failing_since = time.monotonic()
    link.may_have_begun = lambda name, run: True
    context.request_vm_list = unittest.mock.Mock()
    context.controller._gone_runners._request_vm_list = context.request_vm_list
    context.controller._handle_event(
        _link_events.RunnerRefuses(
            runner=runner, lifetime=1, reason="connection refused"
        )
    )


@when('runner "{runner}" is silent for {seconds:g} s')
def _be_silent(context, runner, seconds):
    link = context.links[runner]
    link.may_grant = False
    link.silent_seconds = seconds
    link.may_have_begun = lambda name, run: True


@then("the list of VMs is asked for")
def _list_requested(context):
    context.request_vm_list.assert_called_once_with()


@then("the list of VMs is asked for again")
def _list_requested_again(context):
    assert context.request_vm_list.call_count == 2, context.request_vm_list


def _expire_leases(context):
    context.links["i-1"].leases_expired = True
    context.controller._run_round()


def _list_while_answering(context):
    context.links["i-1"].refused = False
    context.links["i-1"].may_grant = True
    _list_vm(context, state=_ports.VmState.DOWN)


_UP = _ports.VmState.UP
_LISTS = {
    "its VM is listed as up with it": lambda context: _list_vm(
        context, state=_UP, runner="i-1"
    ),
    "its VM is not listed": lambda context: _handle_list(context, ()),
    "its VM is listed as up without a runner": lambda context: _list_vm(
        context, state=_UP
    ),
    "its VM is listed in a state that is not known": (
        lambda context: _list_vm(context, state=_ports.VmState.OTHER)
    ),
    "its VM is listed as down, by a list that may be from before": (
        lambda context: _list_vm(
            context,
            state=_ports.VmState.DOWN,
            requested_at=_worker(context).known_at + 0.1,
        )
    ),
    "its VM is listed as down while the runner answers": _list_while_answering,
    "its VM is listed as down": lambda context: _list_vm(
        context, state=_ports.VmState.DOWN
    ),
    "its VM is listed with another runner": lambda context: _list_vm(
        context, state=_UP, runner="i-9"
    ),
    "its VM is listed as moving": lambda context: _list_vm(
        context, state=_ports.VmState.MOVING
    ),
    "its VM is listed as in maintenance": lambda context: _list_vm(
        context, state=_ports.VmState.MAINTENANCE
    ),
    "the leases of its runs have expired": _expire_leases,
}


def _register(description):
    @when(description)
    def _happens(context):
        _LISTS[description](context)


for _description in _LISTS:
    _register(_description)


@then("run 1 is still held to be there")
def _still_there(context):
    assert context.task.phase is scheduler.TaskPhase.RUNNING, context.task
    assert _worker(context).placed, _worker(context)


@then('run 1 is lost for "{reason}"')
def _is_lost(context, reason):
    assert context.task.phase is not scheduler.TaskPhase.RUNNING, context.task
    assert not _worker(context).placed, _worker(context)
    counts = context.controller._parts.counters.render({}).decode()
    line = f'tasks_lost_total{{reason="{reason}"}} 1'
    assert line in counts, counts


@then("no crash is held against the task")
def _no_crash(context):
    assert not context.task.crashes, context.task


@then("{count:d} crash is held against the task")
def _crashes_held(context, count):
    assert len(context.task.crashes) == count, context.task


_ERRORS = {
    "a refused connection": peridotsill_jobs.exceptions.ConnectionRefused("r"),
    "no answer": peridotsill_jobs.exceptions.RunnerUnavailable("n", sent=True),
    "a runner's bad health": _runners._runner_error(
        peridotsill.exceptions.PeerRefused(503, {})
    ),
    "a number that is out of date": _runners._runner_error(
        peridotsill.exceptions.PeerRefused(409, {"reason": "old"})
    ),
}


@when("a connection to it is refused")
def _refuse_poll(context):
    poller = context.link._poller
    calls = poller._parts.calls
    context.report = calls.poll.return_value.read.return_value
    calls.poll.return_value.read.side_effect = _ERRORS["a refused connection"]
    poller.set_paused(False)
    poller._poll()


@then("no run may get a lease there, and its leases have not run out")
def _no_lease(context):
    assert context.link.refused and not context.link.may_grant
    assert context.link._parts.grants.extend() is None
    assert not context.link.leases_expired


@when("it answers a poll")
def _answer_poll(context):
    poller = context.link._poller
    poller._parts.calls.poll.return_value.read.side_effect = None
    poller.set_paused(False)
    poller._poll_again()


def _end_orders_with(context, answers):
    """Let the next orders of the link end with these answers."""
    sender = context.link._orders
    context.outcomes = []
    sender._parts = attrs.evolve(sender._parts, post=context.outcomes.append)
    sender._client._connection = unittest.mock.Mock()
    sender._client._connection.call.side_effect = lambda call, done: done(
        returns.result.Success({})
    )
    errors = [_ERRORS[each] for each in answers.split(" and ")]
    calls = sender._parts.calls
    calls.start.return_value.read.side_effect = errors
    calls.stop.return_value.read.side_effect = errors
    return sender


@when("a start ends with {answers}")
def _end_start(context, answers):
    sender = _end_orders_with(context, answers)
    sender.start_run(
        _ports.StartOrder(
            name=_TASK, run=1, payload="", lease_until_ms=0.0, fence=1
        )
    )
    sender._send_next()


@when("a stop ends with {answer}")
def _end_stop(context, answer):
    sender = _end_orders_with(context, answer)
    sender.stop_run(_TASK, 1)
    sender._send_next()


@then("the next order is sent {when}")
def _next_order(context, when):
    sender = context.link._orders
    calls = context.link._parts.calls
    calls.stop.return_value.read.side_effect = None
    loop = context.link._parts.loop
    sender.stop_run(_TASK, 1)
    sender._send_next()
    if when == "after a pause":
        assert calls.stop.call_count == 1
        seconds, resume = loop.run_later.call_args.args
        assert seconds > 0
        resume()
        sender._send_next()
    assert calls.stop.call_count == 2


@when(
    "the scheduler is paused for {seconds:g} s while it grants a lease there"
)
def _pause_in_grant(context, seconds):
    context.granted_at = time.monotonic()
    times = itertools.chain(
        [context.granted_at], itertools.repeat(context.granted_at + seconds)
    )
    grants = context.link._parts.grants
    with unittest.mock.patch.object(
        _grants._clock, "monotonic_seconds", lambda: next(times)
    ):
        context.until = grants.extend()


@then("the lease ends as if it had not been paused")
def _not_lengthened(context):
    grants = context.link._parts.grants
    clock_ms, read_at = grants._last_clock
    seconds = grants._lease_seconds + context.granted_at - read_at
    assert context.until == int(clock_ms + seconds * 1000.0), context.until
