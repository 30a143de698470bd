"""Steps on who takes the scheduler's lease, on a clock that is set."""

import contextlib
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
from returns import result

from peridotsill_jobs import _lease
from peridotsill_jobs import _settings
import peridotsill_platform.exceptions

# Pause between two looks at the lease, in seconds of the set clock.
_STEP_SECONDS = 0.1
_STEPS = 60
_UNKNOWN = result.Failure(
    peridotsill_platform.exceptions.OutcomeUnknown("no answer")
)
_UNREADABLE = result.Failure(
    peridotsill_platform.exceptions.TableUnavailable("away")
)


class _Clock:
    """A clock in place of both of the module's, and its time."""

    def __init__(self, context):
        self.now = 100.0
        for name in ("awake_seconds", "real_seconds"):
            patch = unittest.mock.patch.object(
                _lease._clock, name, lambda: self.now
            )
            patch.start()
            context.add_cleanup(patch.stop)


def _node(context, name, capability):
    return _lease.Lease(node=name, table=context.rows, capability=capability)


@given("a lease that nobody has held")
def _free(context):
    context.rows = stubs.MemoryTable()
    context.clock = _Clock(context)


@given("a lease that a node of {cores:g} cores has held and lost")
def _lapsed(context, cores):
    _free(context)
    context.last = _node(context, "last", cores)
    while not context.last.try_acquire():
        context.clock.now += _STEP_SECONDS


@given("a lease that a node of {cores:g} cores has held and given back")
def _released(context, cores):
    _lapsed(context, cores)
    context.last.release()


@given("a lease that a node of {cores:g} cores holds and renews")
def _renewed(context, cores):
    _lapsed(context, cores)
    assert context.last.renew()


@when(
    "the table is away for {away:g} s, and the holder's next try is "
    "{later:g} s later"
)
def _away(context, away, later):
    watcher = _watch_outage(context, 2.0, away)
    returned = context.clock.now
    while context.clock.now < returned + later:
        assert not watcher.try_acquire()
        context.clock.now += _STEP_SECONDS
    assert context.last.renew()
    context.watcher = watcher


@then("nobody has taken the lease, and the holder has it")
def _kept(context):
    assert not context.watcher.try_acquire()
    assert context.last.held


def _watch_outage(context, cores, seconds):
    """Return a node that watched the lease before and during an outage."""
    watcher = _node(context, "watcher", cores)
    assert not watcher.try_acquire()
    with unittest.mock.patch.object(
        context.rows, "read", return_value=_UNREADABLE
    ):
        until = context.clock.now + seconds
        while context.clock.now < until:
            context.clock.now += _STEP_SECONDS
            assert not watcher.try_acquire()
    return watcher


@when(
    "the table is away for {away:g} s, and a node of {cores:g} cores "
    "watches it"
)
def _away_without(context, away, cores):
    watcher = _watch_outage(context, cores, away)
    returned = context.clock.now
    while not watcher.try_acquire():
        context.clock.now += _STEP_SECONDS
        assert context.clock.now < returned + _STEPS * _STEP_SECONDS
    context.taken_after = context.clock.now - returned


@then("it takes it {seconds:g} s after the table's return")
def _taken_after(context, seconds):
    late = context.taken_after - seconds
    assert -1e-6 <= late <= _STEP_SECONDS + 1e-6, context.taken_after


@when("a node of {cores:g} cores watches it and loses its third answer")
def _lossy(context, cores):
    node = _node(context, "node", cores)
    began = context.clock.now
    context.taken_by = cores
    for look in range(_STEPS):
        read = unittest.mock.patch.object(
            context.rows, "read", return_value=_UNREADABLE
        )
        with read if look == 2 else contextlib.nullcontext():
            if node.try_acquire():
                break
        context.clock.now += _STEP_SECONDS
    context.taken_after = context.clock.now - began


@when("a renewal of it is done without an answer")
def _doubtful(context):
    commit = context.rows.commit

    def lose(transaction):
        commit(transaction)
        return _UNKNOWN

    with unittest.mock.patch.object(context.rows, "commit", lose):
        assert not context.last.renew()


@when("another node has taken it")
def _taken_over(context):
    context.other = _node(context, "other", 2.0)
    while not context.other.try_acquire():
        context.clock.now += _STEP_SECONDS


@when("its holder gives it back")
def _give_back(context):
    context.last.release()


@then("another node may take it at once")
def _may_take(context):
    assert _node(context, "other", 2.0).try_acquire()


@then("the other node still has it")
def _still(context):
    assert context.other.renew() and context.other.held


@when("nodes of {first:g} and {second:g} cores watch it")
def _watch(context, first, second):
    # The less capable one always looks first.
    nodes = [
        (cores, _node(context, f"node-{number}", cores))
        for number, cores in enumerate((first, second))
    ]
    began = context.clock.now
    for _ in range(_STEPS):
        for cores, node in nodes:
            if node.try_acquire():
                context.taken_by = cores
                context.taken_after = context.clock.now - began
                return
        context.clock.now += _STEP_SECONDS
    raise AssertionError("nobody took the lease")


@then("{_:w} node of {cores:g} cores takes it after {seconds:g} s")
def _taken(context, _, cores, seconds):
    assert context.taken_by == cores, context.taken_by
    late = context.taken_after - seconds
    assert -1e-6 <= late <= _STEP_SECONDS + 1e-6, context.taken_after


@then(
    "a node of {cores:g} cores at {share:g} with a link of {mbps:g} Mbit/s"
    " counts as {capability:g}"
)
def _counts(context, cores, share, mbps, capability):
    resources = _settings.HostResources(
        cores=cores, core_share=share, link_mbps=mbps
    )
    assert abs(resources.capability - capability) < 1e-6, resources
