"""Steps on the fencing tokens of calls to runners."""

import gc
import signal
import threading
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import nodes
from emulator import runners
from emulator import stubs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_adapter import _runners
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _records

_POOL = "trails"
_MAX_REFUSED_CALLS = 5
_BLOCK = _fencing_tokens.TOKENS_PER_EPOCH
_NAME = _ports.TaskName(job="00000000000000aa", task="0.0.0")
_PATHS = {
    "start": "/-/run-start",
    "stop": "/-/run-stop",
    "pace": "/-/pace",
    "poll": "/-/hold",
}
_FENCED = result.Failure(
    peridotsill.exceptions.PeerRefused(409, {"reason": "fence"})
)
_OUTCOMES = {
    "gets no answer": result.Failure(
        peridotsill.exceptions.PeerUnavailable("no response")
    ),
    "is answered by status 500": result.Failure(
        peridotsill.exceptions.PeerRefused(500, {})
    ),
    "is answered by status 503": result.Failure(
        peridotsill.exceptions.PeerRefused(503, {})
    ),
    "is refused as old": result.Failure(
        peridotsill.exceptions.PeerRefused(409, {"reason": "old"})
    ),
    "finds nobody listening": result.Failure(
        peridotsill.exceptions.PeerUnavailable(
            "refused", sent=False, refused=True
        )
    ),
    "gets an unreadable answer": result.Success({"clock_ms": "x"}),
    "is answered": result.Success({"clock_ms": 5001}),
}


class _Connection:
    """A connection whose calls end when the scenario says so."""

    def __init__(self, sent):
        self._sent = sent

    def call(self, call, on_done):
        self._sent.append((call, on_done))

    def close(self):
        pass


def _connect(context):
    entry = stubs.runner_entry()
    loop = unittest.mock.Mock()
    loop.run_soon.side_effect = lambda callback: callback()
    link = stubs.runner_link(
        context.lease,
        10.0,
        entry,
        loop=loop,
        calls=_runners.runner_calls(entry),
        tokens=context.tokens.of_runner(entry.id),
    )
    for part in (link._poller, link._orders):
        part._client._connection = _Connection(context.sent)
    link._parts.grants.record_report(
        _ports.RunnerReport(lifetime=1, clock_ms=5000.0, running=(), ended=())
    )
    link._poller._lifetime_confirmed = True
    return link


@given("a link to a runner that has answered a poll")
def _given_link(context):
    context.sent = []
    context.lease = unittest.mock.Mock(
        lost=False, held=True, seconds_since_expiry=-1.0
    )
    context.tokens = _fencing_tokens.FencingTokens(epoch=_BLOCK)
    context.link = _connect(context)


@given("a link to a runner with a single token left")
def _given_last_token(context):
    _given_link(context)
    context.link._parts.tokens.record_unanswered(_BLOCK - 1)


def _send(context, name):
    """Send a call; return its body and what is told of its end."""
    link = context.link
    if name == "start":
        link.order_start(_ports.StartOrder(name=_NAME, run=1, payload=""))
    elif name == "stop":
        link.order_stop(_NAME, 1)
    elif name == "pace":
        link.order_pace(_NAME, 1, 50)
    else:
        link.start()
    call, end = context.sent[-1]
    assert call.path == _PATHS[name], call
    return call.body, end


def _token(context, position=-1):
    return context.sent[position][0].body["fencing_token"]


@when("it is sent a {name}, which {ends}")
def _call_ends(context, name, ends):
    body, end = _send(context, name)
    context.token = body["fencing_token"]
    if ends == "is dropped with the link":
        context.link.stop()
        context.link = _connect(context)
        return
    end(_OUTCOMES[ends])


@when("the runner is forgotten, and connected to anew")
def _connect_anew(context):
    context.link.stop()
    context.link = None
    context.sent.clear()
    gc.collect()
    assert not context.tokens._by_runner
    context.link = _connect(context)


@then("the next call to it bears {expected}")
def _check_next_token(context, expected):
    context.link._poller._polling = False
    context.link.start()
    token = _token(context)
    if expected == "a higher token":
        assert token > context.token, (token, context.token)
    else:
        assert token == context.token, (token, context.token)


@when("a {name} is on its way, and {event}")
def _on_its_way(context, name, event):
    _, context.end_call = _send(context, name)
    if event == "nothing happens":
        return
    other = "start" if name == "poll" else "poll"
    _, end = _send(context, other)
    end(_OUTCOMES["gets no answer"])
    if other == "poll":
        context.link._poller._polling = False
        context.link.start()
    assert _token(context) > _token(context, 0)
    context.sent_before = len(context.sent)


@when("the runner refuses the token of that {name}")
def _refuses_token(context, name):
    context.end_call(_FENCED)
    context.refused_count = 1


@then("the lease is held, and the {name} {outcome}")
def _check_overtaken(context, name, outcome):
    context.lease.mark_lost.assert_not_called()
    again = [call for call, _ in context.sent[context.sent_before :]]
    if outcome == "is given up":
        assert not again, again
        return
    (call,) = again
    assert call.path == _PATHS[name], call
    assert call.body["fencing_token"] == max(
        each.body["fencing_token"] for each, _ in context.sent
    )


@when("the runner refuses the token of each {name} after it")
def _refuses_each(context, name):
    known = 1
    for _ in range(_MAX_REFUSED_CALLS):
        if context.lease.mark_lost.called:
            return
        later = [
            end
            for call, end in context.sent[known:]
            if call.path == _PATHS[name]
        ]
        known = len(context.sent)
        assert later, "no further call"
        context.refused_count += 1
        later[-1](_FENCED)


@then("the lease is lost after {count:d} refused calls")
def _lost_after(context, count):
    assert context.lease.mark_lost.called
    assert context.refused_count == count, context.refused_count


@then("the lease is lost")
def _lease_lost(context):
    context.lease.mark_lost.assert_called()


# Holders of two versions.


def _take_over(context, version):
    """Take the lease over; return the tokens that its holder may use."""
    if version == "the earlier version":
        value, _ = context.lease_table.rows.get(_records.LEASE_KEY, ({}, 0))
        epoch = value.get("epoch", 0) + 1
        context.lease_table.version += 1
        context.lease_table.rows[_records.LEASE_KEY] = (
            {"holder": "", "epoch": epoch, "waits": {}},
            context.lease_table.version,
        )
        return epoch, epoch
    lease = _lease.Lease(node="n", table=context.lease_table)
    assert lease.try_acquire()
    tokens = _fencing_tokens.FencingTokens(epoch=lease.epoch)
    lease.release()
    return tokens.next, tokens.last


@given("a node of {version} holds the lease")
def _given_holder(context, version):
    context.lease_table = stubs.MemoryTable()
    context.former_tokens = _take_over(context, version)


@when("a node of {version} takes it over")
def _next_holder(context, version):
    context.next_tokens = _take_over(context, version)


@then("each token of the new holder is above those of the last one")
def _check_tokens(context):
    assert context.former_tokens[1] < context.next_tokens[0]


# Real nodes.


class _FirstAttempt:
    """Leaves the first start without an answer, and keeps it."""

    def __init__(self, world):
        self._is_armed = threading.Lock()
        self.runner = None
        self.body = None
        for runner in tuple(world.runners.values()):
            self._watch(runner)

    def _watch(self, runner):
        start = runner.start

        def start_later(body, delayed=False):
            if not self._is_armed.acquire(blocking=False):
                return start(body, delayed)
            self.runner, self.body = runner, body
            raise runners.UnansweredError(runner.id)

        runner.start = start_later


def _submit(context, name, count, cores):
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        _POOL,
        nodes.job_id(name),
        [{"count": count, "cpu": cores * 1000, "estimated_ms": 500}],
        seconds=0.5,
    )
    assert reply is not None and reply.status == 200, reply


@given("a task is done, of whose start the first attempt got no answer")
def _done_at_second_attempt(context):
    world = context.cluster.world
    context.attempt = _FirstAttempt(world)
    _submit(context, "first", 1, 4)

    def is_noted():
        runs = world.log.runs_of(f"{nodes.job_id('first')}.0.0.0")
        return runs and runs[0].acknowledged

    nodes.wait_for(is_noted, 5.0, "the end of the task")


def _return_after_lapse(context):
    world, runner = context.cluster.world, context.attempt.runner
    world.begin_restart(runner, is_silent=False)
    time.sleep(world.registry_expiry_seconds + 2.0)
    world.end_restart(runner)
    time.sleep(1.5)


def _return_without_answer(context):
    world, runner = context.cluster.world, context.attempt.runner
    world.begin_restart(runner, is_silent=False)
    time.sleep(1.0)
    runner = world.end_restart(runner)
    runner.faults.late_seconds = 60.0
    time.sleep(2.0)
    runner.faults.late_seconds = 0.0


def _return_before_poll(context):
    world, runner = context.cluster.world, context.attempt.runner
    polled = threading.Event()
    hold = runner.hold

    def note(body, delayed=False):
        polled.set()
        return hold(body, delayed)

    runner.hold = note
    assert polled.wait(3.0)
    world.begin_restart(runner, is_silent=True)
    runner.faults.keeps_calls = False
    time.sleep(0.2)
    runner = world.end_restart(runner, reaches_store=False)
    _submit(context, "others", 16, 14)
    nodes.wait_for(lambda: runner.runs, 1.0, "an order to that lifetime")
    runner.faults.unregistered = False


_RETURNS = {
    "is up after its entry has lapsed": _return_after_lapse,
    "leaves the first order without answer": _return_without_answer,
    "answers an order before it is polled": _return_before_poll,
}


@when("its runner restarts, and the lifetime after it {how}")
def _restart(context, how):
    _RETURNS[how](context)


@when("that lifetime executes the first attempt")
def _execute_attempt(context):
    runner_id = context.attempt.runner.id
    context.cluster.world.execute_late(
        runner_id, "start", context.attempt.body
    )


@then("the task has run once")
def _has_run_once(context):
    runs = context.cluster.world.log.runs_of(f"{nodes.job_id('first')}.0.0.0")
    assert len(runs) == 1, runs


@given("one of them is of the earlier version")
def _earlier_node(context):
    node = context.cluster.nodes[0]
    node.module = "emulator.earlier_version"
    node.stop_and_start(0.5)
    context.cluster.wait_ready(node)


@when(
    "jobs run while the scheduler is stopped and killed in turn, "
    "{count:d} times"
)
def _run_in_turn(context, count):
    cluster = context.cluster
    context.jobs = []
    for number in range(count):
        node = cluster.scheduler()
        (other,) = [each for each in cluster.nodes if each is not node]
        context.jobs.append(f"j{number}")
        reply = cluster.submit(
            other,
            _POOL,
            nodes.job_id(context.jobs[-1]),
            [{"count": 12, "cpu": 2000, "estimated_ms": 3000}],
            seconds=3.0,
        )
        assert reply is not None and reply.status == 200, reply
        time.sleep(1.0)
        node.send(signal.SIGKILL if number % 2 else signal.SIGTERM)
        nodes.wait_for(
            lambda other=other: cluster.scheduler() is other,
            8.0,
            "another scheduler",
        )
        node.process.wait()
        node.start()
        cluster.wait_ready(node)


@then("each of the nodes has scheduled at least twice")
def _both_scheduled(context):
    for node in context.cluster.nodes:
        acquired = node.events("lease:acquired")
        assert len(acquired) >= 2, acquired
