"""Steps on a runner that starts again under the id that it had."""

import time
import unittest.mock

from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import nodes
from emulator import stubs
import returns.result

from peridotsill_jobs import _clock
from peridotsill_jobs import _feeds
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
import peridotsill_scheduler as scheduler

_RUNNER = "i-1"


class _Link(base._Link):
    """A runner's link, which is not reached before it is answered."""

    reached = False

    def __init__(self, lifetime):
        super().__init__()
        self.lifetime = lifetime
        self.polled_at = time.monotonic()

    @property
    def may_grant(self):
        return self.reached

    def may_have_begun(self, name, run):
        return True


def _make_scheduler(context):
    base._make_controller(context)
    base._submit_job(context)
    controller = context.controller
    context.made_links = []
    context.lost = []
    requeue = controller._runs.requeue_lost

    def connect(entry):
        context.made_links.append(_Link(entry.lifetime))
        return context.made_links[-1]

    def requeue_lost(tasks, reason):
        tasks = list(tasks)
        context.lost += [(task.run, reason) for _, task in tasks]
        requeue(tasks, reason)

    controller._workers._connect = connect
    controller._runs.requeue_lost = requeue_lost
    controller._gone_runners._requeue_lost = requeue_lost
    controller._workers.update(())


def _list_runner(context, lifetime):
    entry = stubs.runner_entry(_RUNNER, lifetime=lifetime)
    context.controller._handle_event(
        _feeds.RegistrySnapshot(
            entries=(entry,), requested_at=time.monotonic()
        )
    )


def _set_run(context, lifetime, phase=scheduler.TaskPhase.RUNNING):
    task = context.task
    task.run, task.runner, task.lifetime = 1, _RUNNER, lifetime
    task.phase = phase
    scheduler.refresh_state(context.job)


@given(
    'a new scheduler with a task in the rows on "i-1" of lifetime {lifetime:d}'
)
def _new_scheduler(context, lifetime):
    _make_scheduler(context)
    _set_run(context, lifetime)
    context.controller._workers.adopt(context.job, context.task)


@given('a scheduler that knows "i-1" of lifetime {lifetime:d}')
def _knowing_scheduler(context, lifetime):
    _make_scheduler(context)
    _list_runner(context, lifetime)
    _answer(context, lifetime, lifetime)
    context.asked_before = time.monotonic()


@when('a row names a task on "i-1" of lifetime {lifetime:d}')
def _adopt_row(context, lifetime):
    _set_run(context, lifetime)
    context.controller._workers.adopt(context.job, context.task)


@when('"i-1" is found gone in lifetime {lifetime:d}')
def _find_gone(context, lifetime):
    context.controller._handle_event(
        _link_events.RunnerFoundGone(
            runner=_RUNNER,
            lifetime=lifetime,
            evidence="status 421",
            ended_at=time.monotonic(),
        )
    )


@when("lifetime {lifetime:d} answers a request from before with nothing")
def _answer_old_request(context, lifetime):
    _answer(context, lifetime, lifetime, requested_at=context.asked_before)


def _scheduler_with_placed(context, lifetime, phase, last_answered_at):
    _make_scheduler(context)
    _list_runner(context, lifetime)
    _answer(context, lifetime, lifetime)
    _set_run(context, lifetime, phase)
    workers = context.controller._workers
    workers.place(
        workers.get(_RUNNER, lifetime),
        context.job,
        context.task,
        last_answered_at=last_answered_at,
    )


@given('a scheduler with run 1 on "i-1" of lifetime {lifetime:d}')
def _scheduler_with_run(context, lifetime):
    _scheduler_with_placed(
        context, lifetime, scheduler.TaskPhase.RUNNING, time.monotonic()
    )


@given(
    'a scheduler with an unanswered start of run 1 on "i-1" of lifetime '
    "{lifetime:d}"
)
def _scheduler_with_start(context, lifetime):
    _scheduler_with_placed(
        context, lifetime, scheduler.TaskPhase.ASSIGNED, float("inf")
    )


@when('the registry lists "i-1" with lifetime {lifetime:d}')
def _registry_lists(context, lifetime):
    context.entry_lifetime = lifetime
    _list_runner(context, lifetime)


@when("a round is made")
def _make_round(context):
    context.controller._run_round()


def _answer(
    context,
    asked,
    answering,
    running=(),
    requested_at=None,
    lists_all_ends=True,
):
    """Report as a lifetime to the link that was made for another one.

    A link's first poll is sent when it is made.
    """
    links = [
        link
        for link in context.made_links
        if link.lifetime == asked and not link.stopped
    ]
    for link in links:
        requested_at = requested_at or link.polled_at
        link.polled_at = time.monotonic()
        link.reached = link.reached or asked == answering
    context.controller._handle_event(
        _link_events.ReportReceived(
            runner=_RUNNER,
            lifetime=asked,
            requested_at=requested_at or time.monotonic(),
            report=_ports.RunnerReport(
                lifetime=answering,
                clock_ms=1000.0,
                running=tuple(running),
                ended=(),
                lists_all_ends=lists_all_ends,
            ),
        )
    )


_CUT_LIST = "a list that is cut off"
_LISTS = {
    "nothing": (),
    _CUT_LIST: (),
    "run 1": (_ports.ReportedRun(name=base._TASK, run=1, checkpoint=""),),
}


@when("lifetime {lifetime:d} answers the link to it with {what}")
def _answers(context, lifetime, what):
    _answer(
        context,
        lifetime,
        lifetime,
        _LISTS[what],
        lists_all_ends=what != _CUT_LIST,
    )


@when(
    "lifetime {lifetime:d} answers at the address in the registry with {what}"
)
def _answers_at_address(context, lifetime, what):
    _answer(context, context.entry_lifetime, lifetime, _LISTS[what])
    _answer(context, lifetime, lifetime, _LISTS[what])


@when(
    "lifetime {lifetime:d} answers the link to lifetime {asked:d} with {what}"
)
def _answers_other_link(context, lifetime, asked, what):
    _answer(
        context,
        asked,
        lifetime,
        _LISTS[what],
        lists_all_ends=what != _CUT_LIST,
    )


@then("run 1 of the task is not lost")
def _not_lost(context):
    assert not context.lost, context.lost
    assert context.task.active and context.task.run == 1, context.task


@then("run 1 of the task is lost")
def _lost(context):
    assert [run for run, _ in context.lost] == [1], context.lost
    assert context.task.phase is scheduler.TaskPhase.WAITING, context.task


@then('run 1 of the task is placed on "i-1" of lifetime {lifetime:d}')
def _placed(context, lifetime):
    assert not context.lost, context.lost
    worker = context.controller._workers.get(_RUNNER, lifetime)
    assert worker is not None, "no such runner"
    placed = worker.placed.get((base._JOB, "0.0.0"))
    assert placed is not None and placed.run == 1, worker.placed
    assert context.task.lifetime == lifetime, context.task


def _closed_reason(context):
    worker = context.controller._workers.find(_RUNNER)
    return worker.closed_reason(time.monotonic())


@then('"i-1" is closed')
def _closed(context):
    assert _closed_reason(context)


@then('"i-1" is open')
def _open(context):
    assert not _closed_reason(context), _closed_reason(context)


@then("nothing is connected to lifetime {lifetime:d} any more")
def _not_connected(context, lifetime):
    links = [each for each in context.made_links if not each.stopped]
    assert lifetime not in [each.lifetime for each in links], links
    made = [each.lifetime for each in context.made_links]
    assert made.count(lifetime) <= 1, made


@then('"i-1" is ordered to stop run 1 in lifetime {lifetime:d}')
def _ordered_to_stop(context, lifetime):
    stops = [
        stop
        for link in context.made_links
        if link.lifetime == lifetime and not link.stopped
        for stop in link.stops
    ]
    assert stops == [(base._TASK, 1)], stops


def _handle_answer_to_order(
    context, *, is_start, answered_at, no_attempt_in_flight
):
    """Let an order about run 1 be answered as done."""
    context.controller._handle_event(
        _link_events.OrderOutcome(
            runner=_RUNNER,
            lifetime=context.task.lifetime,
            name=base._TASK,
            run=1,
            is_start=is_start,
            result=_link_events.OrderResult.DONE,
            reason="",
            answered_at=answered_at,
            no_attempt_in_flight=no_attempt_in_flight,
        )
    )


@when("that stop is answered")
def _stop_answered(context):
    _handle_answer_to_order(
        context,
        is_start=False,
        answered_at=time.monotonic(),
        no_attempt_in_flight=True,
    )


@when("60 s after the scheduler began lifetime 6 {state}")
def _fall_silent(context, state):
    inherited = context.controller._workers._inherited_leases
    inherited._taken_over_at -= 60.0
    context.controller._parts.lease._earlier_grants_end_at -= 60.0
    (link,) = [each for each in context.made_links if each.lifetime == 6]
    link.reached = state == "is silent"
    link.leases_expired = True


def _make_round_later(context, seconds):
    later = time.monotonic() + seconds
    with unittest.mock.patch.object(
        _clock, "monotonic_seconds", lambda: later
    ):
        context.controller._run_round()


@then("run 1 of the task is not lost within {seconds:d} s")
def _not_lost_within(context, seconds):
    _make_round_later(context, 0)
    _make_round_later(context, seconds)
    _not_lost(context)


@then("run 1 of the task is lost within {seconds:d} s")
def _lost_within(context, seconds):
    _make_round_later(context, seconds)
    _lost(context)


@given('a scheduler whose link to "i-1" of lifetime {lifetime:d} gets answers')
def _scheduler_with_link(context, lifetime):
    base._make_controller(context)
    controller = context.controller
    controller._call_loop.start()
    context.add_cleanup(controller._call_loop.stop)
    context.calls = unittest.mock.Mock()
    controller._parts.ports.runner_calls.return_value = context.calls
    context.entry = stubs.runner_entry(_RUNNER, lifetime=lifetime)


@when("lifetime {lifetime:d} answers its polls for {seconds:g} s")
def _answer_polls(context, lifetime, seconds):
    context.calls.poll.return_value.read.return_value = _ports.RunnerReport(
        lifetime=lifetime, clock_ms=1000.0, running=(), ended=()
    )
    with unittest.mock.patch("peridotsill.JsonConnection") as connection:
        loop = context.controller._call_loop

        def answer(call, done):
            loop.run_later(0.01, lambda: done(returns.result.Success({})))

        connection.return_value.call.side_effect = answer
        link = context.controller._connect_runner(context.entry)
        time.sleep(seconds)
        link.stop()


@then("it has sent {count:d} poll, which extends no lease")
def _sent_polls(context, count):
    polls = context.calls.poll.call_args_list
    assert len(polls) == count, polls
    assert polls[0].kwargs["lease_until_ms"] is None, polls


@when("the registry names lifetimes of its runners that are {seconds:d} s off")
def _shift_registry(context, seconds):
    world = context.cluster.world
    world.born_offsets_ms = {
        runner.id: seconds * 1000
        for runner in world.runners.values()
        if runner.runs
    }
    time.sleep(1.5)


@when("the registry is right again {seconds:d} s later")
def _right_registry(context, seconds):
    time.sleep(seconds)
    context.cluster.world.born_offsets_ms = {}
    time.sleep(1.5)


def _submit_small(context, name):
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        "trails",
        nodes.job_id(name),
        [{"count": 2, "cpu": 1000, "estimated_ms": 1000}],
        seconds=1.0,
    )
    assert reply is not None and reply.status == 200, reply


@when("a runner starts again under its id while small jobs start on it")
def _restart_during_starts(context):
    context.jobs = [f"j{number}" for number in range(6)]
    world = context.cluster.world
    _submit_small(context, context.jobs[0])
    nodes.wait_for(lambda: world.log.intervals, 5.0, "a start")
    runner = world.restart(world.log.intervals[-1].runner)
    # Starts overtake the polls by which the new process is found.
    runner.faults.hold_seconds = 0.4
    for name in context.jobs[1:]:
        _submit_small(context, name)
