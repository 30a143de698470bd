"""Steps on calls that reach a later lifetime than they were meant for."""

import threading
import time
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import nodes
from emulator import runners
from emulator import stubs
import lifetime_steps
import returns.result

from peridotsill_jobs import _clock
from peridotsill_jobs import _feeds
from peridotsill_jobs import _link_events
from peridotsill_jobs import _orders
from peridotsill_jobs import _ports
import peridotsill_scheduler as scheduler

_RUNNER = lifetime_steps._RUNNER
_CONFIRMED = _ports.TaskName(job=base._JOB, task="0.0.0")
_UNCONFIRMED = _ports.TaskName(job=base._JOB, task="0.0.1")


class _Clocks:
    """The clocks that the scheduler sees; both are set by `now`."""

    def __init__(self, context):
        self.now = time.monotonic()
        self.unix_ms_at_zero = time.time() * 1000 - self.now * 1000
        for name, read in (
            ("monotonic_seconds", lambda: self.now),
            ("unix_ms", lambda: self.unix_ms_at_zero + self.now * 1000),
        ):
            patch = unittest.mock.patch.object(_clock, name, read)
            patch.start()
            context.add_cleanup(patch.stop)

    def unix_ms(self, age_seconds):
        return int(self.unix_ms_at_zero + (self.now - age_seconds) * 1000)


def _begin(context):
    context.clocks = _Clocks(context)
    lifetime_steps._make_scheduler(context)
    for task in context.job.tasks:
        task.step = attrs.evolve(task.step, speculative=False)
    lease = context.controller._parts.lease
    lease._valid_until = float("inf")
    lease._earlier_grants_end_at = context.clocks.now
    context.took_over_at = context.clocks.now


def _list_lifetime(context, lifetime):
    entry = stubs.runner_entry(_RUNNER, lifetime=lifetime)
    context.controller._handle_event(
        _feeds.RegistrySnapshot(
            entries=(entry,), requested_at=context.clocks.now
        )
    )


def _run_round(context):
    with unittest.mock.patch.object(
        type(context.controller), "_plan_starts", lambda *arguments: []
    ):
        context.controller._run_round()


@given("a scheduler that takes over a run in a lifetime that is {age:d} s old")
def _take_over(context, age):
    _begin(context)
    context.lifetime = context.clocks.unix_ms(age)
    lifetime_steps._set_run(context, context.lifetime)
    context.controller._workers.adopt(context.job, context.task)


@when("that takeover finds that the registry {what}")
def _registry(context, what):
    lifetimes = {
        "has the lifetime": context.lifetime,
        "has an older lifetime": context.lifetime - 60_000,
        "has a young lifetime": context.clocks.unix_ms(2),
    }
    if what == "has one that lapses":
        _list_lifetime(context, lifetimes["has a young lifetime"])
    if what in ("has no entry", "has one that lapses"):
        context.controller._handle_event(
            _feeds.RegistrySnapshot(
                entries=(stubs.runner_entry("i-9"),),
                requested_at=context.clocks.now,
            )
        )
    else:
        _list_lifetime(context, lifetimes[what])


@when(
    "the runner of it {what} and the grants of all earlier holders have ended"
)
def _fall_silent(context, what):
    if what == "answers only once":
        run = _ports.ReportedRun(name=_CONFIRMED, run=1, checkpoint="")
        lifetime_steps._answer(
            context,
            context.lifetime,
            context.lifetime,
            (run,),
            requested_at=context.clocks.now,
        )
        (link,) = context.made_links
        # As `Grants` counts the leases that an earlier holder may have given.
        link.silent_seconds = 60.0
        link.leases_expired = True


def _round_at(context, seconds):
    context.clocks.now = context.took_over_at + seconds
    _run_round(context)


@then("the run is not lost before {seconds:g} s")
def _not_lost_before(context, seconds):
    for share in (0.5, 1.0):
        _round_at(context, seconds * share)
        assert not context.lost, context.lost


@then("the run is lost by {seconds:g} s")
def _lost_by(context, seconds):
    _round_at(context, seconds)
    assert [run for run, _ in context.lost] == [1], context.lost


@given("a scheduler that began {seconds:d} s ago")
def _began_before(context, seconds):
    _begin(context)
    context.clocks.now += seconds


@when("a new runner begins a run and falls silent")
def _new_runner(context):
    lifetime = context.clocks.unix_ms(0)
    _list_lifetime(context, lifetime)
    lifetime_steps._answer(
        context, lifetime, lifetime, requested_at=context.clocks.now
    )
    lifetime_steps._set_run(context, lifetime)
    workers = context.controller._workers
    workers.place(
        workers.get(_RUNNER, lifetime),
        context.job,
        context.task,
        last_answered_at=context.clocks.now,
    )
    context.took_over_at = context.clocks.now
    _expire_leases(context)


def _expire_leases(context):
    for link in context.made_links:
        link.leases_expired = True


# A start of this scheduler.


def _report_start(context, name, result, **fields):
    context.controller._handle_event(
        _link_events.OrderOutcome(
            runner=_RUNNER,
            lifetime=1,
            name=name,
            run=1,
            is_start=True,
            result=result,
            reason="",
            answered_at=context.clocks.now,
            **{"no_attempt_in_flight": True, **fields},
        )
    )


_OUTCOMES = {
    "gets no answer": (
        _link_events.OrderResult.UNKNOWN,
        {"no_attempt_in_flight": False},
    ),
    "is answered at the second attempt": (
        _link_events.OrderResult.DONE,
        {"no_attempt_in_flight": False},
    ),
    "is answered by the clock of another life": (
        _link_events.OrderResult.DONE,
        {"is_from_another": True},
    ),
}


@given("a scheduler with a confirmed run and one whose start {outcome}")
def _two_starts(context, outcome):
    _begin(context)
    _list_lifetime(context, 1)
    lifetime_steps._answer(context, 1, 1, requested_at=context.clocks.now)
    step = context.task.step
    context.other = scheduler.Task(occurrence=0, step=step, index=1)
    context.job.tasks = [*context.job.tasks, context.other]
    workers = context.controller._workers
    for task in context.job.tasks:
        task.run, task.runner, task.lifetime = 1, _RUNNER, 1
        task.phase = scheduler.TaskPhase.ASSIGNED
        workers.place(
            workers.get(_RUNNER, 1),
            context.job,
            task,
            last_answered_at=float("inf"),
        )
    _report_start(context, _CONFIRMED, _link_events.OrderResult.DONE)
    result, fields = _OUTCOMES[outcome]
    _report_start(context, _UNCONFIRMED, result, **fields)
    context.unanswered_at = context.clocks.now


@when("the runner falls silent")
def _falls_silent(context):
    (link,) = context.made_links
    link.silent_seconds = 1.0
    link.seconds_to_expiry = 2.9


@when("the runner falls silent and its leases have expired")
def _leases_expired(context):
    _expire_leases(context)
    (link,) = context.made_links
    link.silent_seconds = 4.0
    context.clocks.now += 4.0
    _run_round(context)


@then("only the confirmed run is lost")
def _confirmed_lost(context):
    assert len(context.lost) == 1, context.lost
    assert context.task.phase is scheduler.TaskPhase.WAITING, context.task
    assert context.other.active, context.other


@then("the other run is not lost before {seconds:g} s")
def _other_kept(context, seconds):
    context.clocks.now = context.unanswered_at + seconds
    _run_round(context)
    assert context.other.active, context.other


@then("the other run is lost by {seconds:g} s")
def _other_lost(context, seconds):
    context.clocks.now = context.unanswered_at + seconds
    _run_round(context)
    assert context.other.phase is scheduler.TaskPhase.WAITING, context.other


@when("neither registry nor list of VMs has the runner for {seconds:d} s")
def _platform_lacks(context, seconds):
    departures = context.controller._departures
    vm = _ports.VmRecord(
        name="v9",
        pool="p",
        state=_ports.VmState.UP,
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=1),
        runner="i-9",
    )
    for _ in range(seconds * 2 + 1):
        context.clocks.now += 0.5
        departures.record_registry(
            _feeds.RegistrySnapshot(
                entries=(stubs.runner_entry("i-9"),),
                requested_at=context.clocks.now,
            )
        )
        departures.record_vm_list(
            _feeds.VmListSnapshot(vms=(vm,), requested_at=context.clocks.now),
            frozenset(),
        )
    _run_round(context)


@then("both runs are lost")
def _both_lost(context):
    assert len(context.lost) == 2, context.lost


@then("the next scheduler is told to wait for it for {seconds:g} s")
def _told_to_wait(context, seconds):
    waits = context.controller._compute_waits()
    assert abs(waits[_RUNNER] - seconds) < 0.2, waits


@given("a link to a runner whose clock was {clock_ms:d} ms in its last report")
def _reported_clock(context, clock_ms):
    base._make_controller(context)
    lease = context.controller._parts.lease
    context.link = stubs.runner_link(lease, 10.0)
    sender = context.link._orders
    sender._parts.grants.record_report(
        _ports.RunnerReport(
            lifetime=1, clock_ms=clock_ms, running=(), ended=()
        )
    )
    context.reported = []
    sender._report = lambda *arguments, **fields: context.reported.append(
        (arguments, fields)
    )


@when("a start is answered by a clock of {clock_ms:d} ms")
def _answer_start(context, clock_ms):
    sender = context.link._orders
    sender._parts.calls.start.return_value.read.return_value = clock_ms
    sender._client._connection = unittest.mock.Mock()
    sender._client._connection.call.side_effect = lambda call, done: done(
        returns.result.Success({})
    )
    sender._send_start(
        _orders._StartAttempts(
            order=_ports.StartOrder(
                name=_CONFIRMED, run=1, payload="", lease_until_ms=0, fence=1
            )
        )
    )


@then("the start counts as answered by {who}")
def _answered_by(context, who):
    ((arguments, fields),) = context.reported
    assert arguments[2] is _link_events.OrderResult.DONE, arguments
    assert fields["is_from_another"] is (who == "another lifetime"), fields


# Real nodes.


@given("its runners have been up for {seconds:g} s")
def _up_for(context, seconds):
    time.sleep(seconds)


def _crash_at_start(context, start_again):
    """Let the first runner that gets a start crash, and start a job.

    ``start_again`` takes it, and returns the next lifetime of it.
    """
    world = context.cluster.world
    context.reborn = []
    is_armed = threading.Lock()

    def restart(runner, body):
        time.sleep(0.1)
        successor = start_again(world, runner)
        successor.start(body, delayed=True)
        _cut_off(successor, successor.faults.unregistered)
        context.reborn.append(successor)

    def crash(runner):
        start = runner.start

        def crash_once(body, delayed=False):
            if not is_armed.acquire(blocking=False):
                return start(body, delayed)
            threading.Thread(target=restart, args=(runner, body)).start()
            raise runners.UnansweredError(runner.id)

        runner.start = crash_once

    for runner in tuple(world.runners.values()):
        crash(runner)
    context.jobs = ["reborn"]
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        "trails",
        nodes.job_id("reborn"),
        [{"count": 1, "cpu": 3800, "estimated_ms": 13000}],
        seconds=13.0,
    )
    assert reply is not None and reply.status == 200, reply
    nodes.wait_for(lambda: context.reborn, 5.0, "a start that came late")


def _cut_off(runner, is_cut_off):
    runner.faults.silent = is_cut_off
    runner.faults.unregistered = is_cut_off


@when("a runner crashes as it gets a start, starts again and carries it out")
def _restart_at_start(context):
    _crash_at_start(context, lambda world, runner: world.restart(runner))


@when(
    "a runner crashes as it gets a start, starts again unheard of and carries "
    "it out"
)
def _restart_unheard_of(context):
    def restart(world, runner):
        world.begin_restart(runner, is_silent=True)
        return world.end_restart(runner, reaches_store=False)

    _crash_at_start(context, restart)


@when(
    "it is cut off {heard:g} s later, and the scheduler is killed and started "
    "again"
)
def _cut_and_kill(context, heard):
    time.sleep(heard)
    (runner,) = context.reborn
    _cut_off(runner, True)
    time.sleep(0.2)
    _kill_scheduler(context)


@when("the scheduler is killed and started again")
def _kill_scheduler(context):
    node = context.cluster.scheduler()
    node.kill()
    node.process.wait()
    node.start()


@when("the cut ends after {seconds:g} s")
def _cut_ends(context, seconds):
    time.sleep(seconds)
    (runner,) = context.reborn
    _cut_off(runner, False)
