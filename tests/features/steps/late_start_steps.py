"""Steps on calls without an answer that a runner's next lifetime executes."""

import time

from behave import given
from behave import then
from behave import when
import controller_steps as base
import lifetime_steps

from peridotsill_jobs import _clock
from peridotsill_jobs import _feeds
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions
import peridotsill_scheduler as scheduler

_RUNNER = lifetime_steps._RUNNER


@given("the first attempt of its start got no answer {seconds:d} s ago")
def _unanswered_attempt(context, seconds):
    lifetime_steps._handle_answer_to_order(
        context,
        is_start=True,
        answered_at=time.monotonic() - seconds,
        no_attempt_in_flight=False,
    )


@when("lifetime {lifetime:d} reports the end of run 1 as done")
def _reports_end(context, lifetime):
    end = _ports.ReportedEnd(
        number=1, name=base._TASK, run=1, kind=_ports.EndKind.DONE
    )
    context.controller._handle_event(
        _link_events.ReportReceived(
            runner=_RUNNER,
            lifetime=lifetime,
            requested_at=time.monotonic(),
            report=_ports.RunnerReport(
                lifetime=lifetime, clock_ms=1000.0, running=(), ended=(end,)
            ),
        )
    )


_STATES = {
    "down": {"state": _ports.VmState.DOWN, "runner": ""},
    "up with another one": {"state": _ports.VmState.UP, "runner": "i-7"},
}


def _list_vms(context, state):
    """List the runner's VM as the registry and the VM service do."""
    worker = context.controller._workers.find(_RUNNER)
    worker.vm = "v1"
    vm = _ports.VmRecord(
        name="v1",
        pool="p",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=32),
        **_STATES[state],
    )
    context.controller._handle_event(
        _feeds.VmListSnapshot(
            vms=(vm,), requested_at=_clock.monotonic_seconds() + 1.0
        )
    )


@when('the VM of "i-1" is shown to be {state}')
def _show_vm(context, state):
    (link,) = context.made_links
    link.refused = True
    link.failing_since = time.monotonic()
    _list_vms(context, state)


@when("nothing is heard of it for {seconds:d} s")
def _nothing_heard(context, seconds):
    lifetime_steps._make_round_later(context, seconds)


@when("a poll that extends leases there {outcome}")
def _poll_ends(context, outcome):
    (link,) = context.made_links
    if outcome == "gets no answer":
        link.unanswered_poll_at = time.monotonic()


@when("lifetime {lifetime:d} is silent from then on")
def _silent_from_then(context, lifetime):
    lifetime_steps._fall_silent(context, "is silent")


@then("run 1 of the task is not lost before {seconds:g} s")
def _not_lost_before(context, seconds):
    lifetime_steps._make_round_later(context, seconds)
    lifetime_steps._not_lost(context)


@then("run 1 of the task is lost by {seconds:g} s")
def _lost_by(context, seconds):
    lifetime_steps._make_round_later(context, seconds)
    lifetime_steps._lost(context)


_POLL_ERRORS = {
    "is answered": None,
    "gets no answer": exceptions.RunnerUnavailable("", sent=True),
    "gets a refused connection": exceptions.ConnectionRefused(""),
}


@when("its next poll {ends}")
def _next_poll(context, ends):
    poller = context.link._poller
    poll = context.link._parts.calls.poll.return_value
    poll.read.side_effect = _POLL_ERRORS.get(ends)
    connection = poller._client._connection
    if ends == "is on its way":
        connection.call.side_effect = None
    poller.set_paused(False)
    poller._polling = False
    poller._poll()


@then("the link tells of {polls} that may come late")
def _tells_of_polls(context, polls):
    is_told = context.link.unanswered_poll_at > float("-inf")
    assert is_told is (polls == "a poll"), context.link.unanswered_poll_at


@then('the polls of "i-1" are {often}')
def _polled_often(context, often):
    (link,) = context.made_links
    expected = often == "shortened"
    assert link.frequently is expected, often


@when('the registry has no entry of "i-1"')
def _no_entry(context):
    context.controller._workers.update(())


@then('"i-1" is still polled')
def _still_polled(context):
    assert context.controller._workers.find(_RUNNER) is not None


@then('"i-1" is polled no longer')
def _polled_no_longer(context):
    assert context.controller._workers.find(_RUNNER) is None
