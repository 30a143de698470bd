"""Steps for the scheduler's lease, run on a simulated clock."""

import contextlib
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
from returns import result

from peridotsill_jobs import _grants
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _settings
import peridotsill_platform.exceptions

# Time between two polls of the lease, in seconds of the simulated clock.
_POLL_SECONDS = 0.1
_MAX_POLLS = 60
_OUTCOME_UNKNOWN = result.Failure(
    peridotsill_platform.exceptions.OutcomeUnknown("no answer")
)
_TABLE_UNAVAILABLE = result.Failure(
    peridotsill_platform.exceptions.TableUnavailable("away")
)


class _SimulatedClock:
    """A simulated clock that replaces both clocks of the lease's module."""

    def __init__(self, context):
        self.now = 100.0
        for name in ("monotonic_seconds", "boottime_seconds"):
            patcher = unittest.mock.patch.object(
                _lease._clock, name, lambda: self.now
            )
            patcher.start()
            context.add_cleanup(patcher.stop)


def _make_lease(context, name, capability, ask_holder=None):
    return _lease.Lease(
        node=name,
        table=context.store,
        capability=capability,
        address=f"{name}:1",
        ask_holder=ask_holder or (lambda address, epoch: None),
    )


@given("a lease that no node has held")
def _unheld_lease(context):
    context.store = stubs.MemoryTable()
    context.clock = _SimulatedClock(context)


@given("a lease that a node of {cores:g} cores held and stopped renewing")
def _expired_lease(context, cores):
    _unheld_lease(context)
    context.holder = _make_lease(context, "last", cores)
    while not context.holder.try_acquire():
        context.clock.now += _POLL_SECONDS


@given("a lease that a node of {cores:g} cores held and released")
def _released_lease(context, cores):
    _expired_lease(context, cores)
    context.holder.release()


@given("a lease that a node of {cores:g} cores holds and renews")
def _renewed_lease(context, cores):
    _expired_lease(context, cores)
    assert context.holder.renew()


@when(
    "the table is unavailable for {outage:g} s, and the holder renews "
    "{later:g} s after that"
)
def _outage_then_renewal(context, outage, later):
    poller = _poll_through_outage(context, 2.0, outage)
    available_at = context.clock.now
    while context.clock.now < available_at + later:
        assert not poller.try_acquire()
        context.clock.now += _POLL_SECONDS
    assert context.holder.renew()
    context.poller = poller


@then("no other node has taken the lease, and the holder still holds it")
def _holder_kept(context):
    assert not context.poller.try_acquire()
    assert context.holder.held


def _poll_through_outage(context, cores, seconds):
    """Return a node that polled the lease before and during an outage."""
    poller = _make_lease(context, "watcher", cores)
    assert not poller.try_acquire()
    with unittest.mock.patch.object(
        context.store, "read", return_value=_TABLE_UNAVAILABLE
    ):
        outage_end = context.clock.now + seconds
        while context.clock.now < outage_end:
            context.clock.now += _POLL_SECONDS
            assert not poller.try_acquire()
    return poller


@when(
    "the table is unavailable for {outage:g} s, and a node of {cores:g} "
    "cores polls it"
)
def _outage_without_holder(context, outage, cores):
    poller = _poll_through_outage(context, cores, outage)
    available_at = context.clock.now
    while not poller.try_acquire():
        context.clock.now += _POLL_SECONDS
        assert context.clock.now < available_at + _MAX_POLLS * _POLL_SECONDS
    context.taken_after = context.clock.now - available_at


@then(
    "that node takes the lease {seconds:g} s after the table is available "
    "again"
)
def _check_takeover_after_outage(context, seconds):
    delay_error = context.taken_after - seconds
    assert -1e-6 <= delay_error <= _POLL_SECONDS + 1e-6, context.taken_after


@when("a node of {cores:g} cores polls it and its third read fails")
def _poll_with_failed_read(context, cores):
    node = _make_lease(context, "node", cores)
    started_at = context.clock.now
    context.taken_by = cores
    for poll in range(_MAX_POLLS):
        failed_read = unittest.mock.patch.object(
            context.store, "read", return_value=_TABLE_UNAVAILABLE
        )
        with failed_read if poll == 2 else contextlib.nullcontext():
            if node.try_acquire():
                break
        context.clock.now += _POLL_SECONDS
    context.taken_after = context.clock.now - started_at


@when("a renewal is done but its answer is lost")
def _renewal_answer_lost(context):
    commit = context.store.commit

    def commit_and_lose_answer(transaction):
        commit(transaction)
        return _OUTCOME_UNKNOWN

    with unittest.mock.patch.object(
        context.store, "commit", commit_and_lose_answer
    ):
        assert not context.holder.renew()


@when("another node has taken it")
def _take_over(context):
    context.other = _make_lease(context, "other", 2.0)
    while not context.other.try_acquire():
        context.clock.now += _POLL_SECONDS


@when("its holder releases it")
def _release(context):
    context.holder.release()


@then("another node can take it at once")
def _check_can_take(context):
    assert _make_lease(context, "other", 2.0).try_acquire()


@then("the other node still holds it")
def _check_other_holds(context):
    assert context.other.renew() and context.other.held


@when("nodes of {first:g} and {second:g} cores poll it")
def _poll(context, first, second):
    # The first node always polls first; it is never the more capable one.
    nodes = [
        (cores, _make_lease(context, f"node-{number}", cores))
        for number, cores in enumerate((first, second))
    ]
    started_at = context.clock.now
    for _ in range(_MAX_POLLS):
        for cores, node in nodes:
            if node.try_acquire():
                context.taken_by = cores
                context.taken_after = context.clock.now - started_at
                return
        context.clock.now += _POLL_SECONDS
    raise AssertionError("no node took the lease")


@then("{_:w} node of {cores:g} cores takes it after {seconds:g} s")
def _check_taken(context, _, cores, seconds):
    assert context.taken_by == cores, context.taken_by
    delay_error = context.taken_after - seconds
    assert -1e-6 <= delay_error <= _POLL_SECONDS + 1e-6, context.taken_after


@then(
    "a node with {core_share:g} of each of {cores:g} cores and a link of "
    "{link_mbps:g} Mbit/s has capability {capability:g}"
)
def _check_capability(context, core_share, cores, link_mbps, capability):
    resources = _settings.HostResources(
        cores=cores, core_share=core_share, link_mbps=link_mbps
    )
    assert abs(resources.capability - capability) < 1e-6, resources


def _fail_renewals(context, count):
    with unittest.mock.patch.object(
        context.store, "commit", return_value=_TABLE_UNAVAILABLE
    ):
        for _ in range(count):
            assert not context.holder.renew()


def _answer_without_process(context, epoch):
    return _holder_check.HolderState(holds=False)


def _answer_after_restart(context, epoch):
    restarted = _make_lease(context, "last", 2.0)
    return restarted.answer_peer(epoch)


def _answer_of_holder(context, epoch):
    return context.holder.answer_peer(epoch)


def _no_answer(context, epoch):
    return None


_HOLDER_ANSWERS = {
    "is no longer running": _answer_without_process,
    "has failed to renew twice": _answer_of_holder,
    "was started again": _answer_after_restart,
    "does not answer": _no_answer,
    "says that it holds the lease": _answer_of_holder,
}


@when("a node of {cores:g} cores polls it and the holder {how}")
def _poll_and_ask(context, cores, how):
    if how == "has failed to renew twice":
        _fail_renewals(context, 2)
    context.questions = []

    def ask(address, epoch):
        context.questions.append((address, epoch))
        return _HOLDER_ANSWERS[how](context, epoch)

    began = context.clock.now
    context.poller = _make_lease(context, "next", cores, ask)
    while not context.poller.try_acquire():
        context.clock.now += _POLL_SECONDS
        assert context.clock.now < began + _MAX_POLLS * _POLL_SECONDS
    context.taken_after = context.clock.now - began


@then("that node takes the lease {seconds:g} s after the last renewal")
def _taken_after(context, seconds):
    # The node polls every 0.1 s, and the clock's sums are inexact.
    delay = context.taken_after - seconds
    assert -1e-6 < delay < _POLL_SECONDS + 1e-6, context.taken_after
    asked = {("last:1", context.poller.predecessor_epoch)}
    assert set(context.questions) == asked, context.questions


@then("the time that was left counts for the hand-over")
def _handover_time(context):
    silent = context.poller.seconds_since_last_holder
    assert silent <= context.taken_after + 1e-6, silent


@when("two renewals fail")
def _two_renewals_fail(context):
    _fail_renewals(context, 2)


@when("one renewal fails")
def _one_renewal_fails(context):
    _fail_renewals(context, 1)


@then("the holder keeps the lease until it is asked, and tells its waits")
def _gives_up_when_asked(context):
    assert context.holder.held
    context.holder.set_waits_source(lambda: {"r1": 2.5})
    answer = context.holder.answer_peer(context.holder.epoch)
    assert not answer.holds and answer.waits == {"r1": 2.5}, answer
    assert not context.holder.held


@then("it grants no lease from then on")
def _grants_nothing(context):
    grants = _grants.Grants(lease=context.holder, max_lease_seconds=6.0)
    grants.record_report(
        _ports.RunnerReport(lifetime=1, clock_ms=5000.0, running=(), ended=())
    )
    assert grants.extend() is None


@then("the holder says that it holds the lease, and holds it")
def _still_holds(context):
    answer = context.holder.answer_peer(context.holder.epoch)
    assert answer.holds and answer.waits is None, answer
    assert context.holder.held


@then("the holder was asked once")
def _asked_once(context):
    assert len(context.questions) == 1, context.questions
