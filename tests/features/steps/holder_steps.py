"""Steps on an earlier holder of the lease that lives on.

They share the simulated clock and the table of ``lease_steps``.
"""

import threading
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import returns.result

from peridotsill_jobs import _earlier_grants
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _workers
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_STEP_SECONDS = 0.05
_MAX_STEPS = 400
# How long the steps with threads wait, in real time.
_WAIT_SECONDS = 3.0
_MAX_LEASE_SECONDS = 10.0
_RUNNER_CLOCK_RATE = 0.98
_RUNNER = "i-1"
_NAME = _ports.TaskName(job="aa", task="0.0.0")
_OUTCOME_UNKNOWN = returns.result.Failure(
    peridotsill_platform.exceptions.OutcomeUnknown("no answer")
)


def _refused(address, epoch):
    return _holder_check.HolderState(holds=False)


def _silent(address, epoch):
    return None


def _make_lease(context, name, address="", ask_holder=_refused):
    return _lease.Lease(
        node=name,
        table=context.store,
        capability=2.0,
        address=address or f"{name}:1",
        ask_holder=ask_holder,
    )


class _Runner:
    """A runner that answers the polls of one holder, on a slow clock."""

    def __init__(self, clock, link):
        self._clock = clock
        self._poller = link._poller
        self._until_ms = float("-inf")
        self._poller._parts.calls.poll.side_effect = self._answer
        self._unanswered = []
        connection = self._poller._client._connection
        connection.call.side_effect = self._take_call
        self._poller._poll()

    @property
    def _clock_ms(self):
        return self._clock.now * 1000.0 * _RUNNER_CLOCK_RATE

    @property
    def lease_seconds_left(self):
        return (self._until_ms - self._clock_ms) / 1000.0 / _RUNNER_CLOCK_RATE

    def _take_call(self, call, done):
        self._unanswered.append(done)

    def _answer(self, *, lease_until_ms, **_):
        if lease_until_ms is not None:
            self._until_ms = max(self._until_ms, lease_until_ms)
        report = _ports.RunnerReport(
            lifetime=1,
            clock_ms=self._clock_ms,
            running=(_ports.ReportedRun(name=_NAME, run=1, checkpoint=""),),
            ended=(),
        )
        answer = unittest.mock.Mock()
        answer.read.return_value = report
        return answer

    def answer(self):
        """Answer the holder's poll, after which it polls again if it may."""
        if self._unanswered:
            self._unanswered.pop()(returns.result.Success({}))


def _make_workers(lease):
    """Return a new holder's view of the runner, with no tasks placed."""
    workers = _workers.Workers(
        connect=lambda entry: stubs.runner_link(lease, _MAX_LEASE_SECONDS),
        inherited_leases=_inherited_leases.InheritedLeases(
            waits=lease.inherited_waits,
            get_grants_end=lambda: lease.earlier_grants_end_at,
        ),
    )
    workers.update((stubs.runner_entry(),))
    return workers


def _make_job():
    step = scheduler.Step(index=0, task_count=1)
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="p")
    spec = scheduler.JobSpec(id="aa", queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    task = job.tasks[0]
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, _RUNNER, 1
    return job


@given("a run that its holder keeps alive on a runner that only it reaches")
def _run_kept_alive(context):
    context.job = _make_job()
    context.runner = _Runner(
        context.clock, stubs.runner_link(context.holder, _MAX_LEASE_SECONDS)
    )
    context.runner.answer()
    assert context.holder.renew()
    context.renewed_at = context.clock.now


@given("the holder is paused for {seconds:g} s as it grants its last lease")
def _paused_as_it_grants(context, seconds):
    poller = context.runner._poller
    send_poll = poller._send_poll
    last_look = _earlier_grants.POLL_WITHOUT_LEASE_SECONDS - 2 * _STEP_SECONDS

    def pause_and_send():
        if context.holder.seconds_since_expiry > last_look:
            poller._send_poll = send_poll
            context.clock.now += seconds
        send_poll()

    poller._send_poll = pause_and_send


def _pass_time(context):
    context.clock.now += _STEP_SECONDS
    context.runner.answer()


def _acquire(context, lease):
    for _ in range(_MAX_STEPS):
        if lease.try_acquire():
            return lease
        _pass_time(context)
    raise AssertionError("the lease was not taken")


def _take_over(context):
    return _acquire(context, _make_lease(context, "next"))


def _take_over_without_answer(context):
    lease = _make_lease(context, "next")
    commit = context.store.commit

    def commit_and_lose_answer(transaction):
        commit(transaction)
        return _OUTCOME_UNKNOWN

    with unittest.mock.patch.object(
        context.store, "commit", side_effect=commit_and_lose_answer
    ) as lossy_commit:
        while not lossy_commit.called:
            assert not lease.try_acquire()
            _pass_time(context)
    return _acquire(context, lease)


def _release_to_another(context):
    _take_over(context).release()
    return _acquire(context, _make_lease(context, "third"))


def _release_unaware(context):
    lease = _take_over(context)
    workers = _make_workers(lease)
    _pass_time(context)
    lease.set_waits_source(lambda: workers.remaining_waits(_MAX_LEASE_SECONDS))
    lease.release()
    return _acquire(context, _make_lease(context, "third"))


def _release_without_registry(context):
    """Have the next holder leave once it has read the rows only."""
    lease = _take_over(context)
    workers = _workers.Workers(
        connect=None,
        inherited_leases=_inherited_leases.InheritedLeases(
            get_grants_end=lambda: lease.earlier_grants_end_at
        ),
    )
    _pass_time(context)
    lease.set_waits_source(lambda: workers.remaining_waits(_MAX_LEASE_SECONDS))
    lease.release()
    return _acquire(context, _make_lease(context, "third"))


def _release_and_restart(context):
    """Have a third holder take over, and be killed and started again."""
    _release_without_registry(context)
    _pass_time(context)
    return _acquire(context, _make_lease(context, "third"))


def _start_again(context):
    _take_over(context)
    _pass_time(context)
    return _acquire(context, _make_lease(context, "next"))


_TAKEOVERS = {
    "takes over": _take_over,
    "gets no answer as it takes over": _take_over_without_answer,
    "leaves before it has read the rows": _release_to_another,
    "leaves without knowing of the run": _release_unaware,
    "is started again": _start_again,
    "leaves before it has read the registry": _release_without_registry,
    "leaves so, and the one after it is started again": _release_and_restart,
}


@when("the holder is cut off and refuses connections, and the next {how}")
def _take_over_from_refusing_holder(context, how):
    context.lease = lease = _TAKEOVERS[how](context)
    context.workers = _make_workers(lease)
    context.workers.adopt(context.job, context.job.tasks[0])


@then("the run is given up after its lease has ended")
def _given_up_after_lease(context):
    for _ in range(_MAX_STEPS):
        _pass_time(context)
        if context.workers.pop_expired(_MAX_LEASE_SECONDS):
            break
    seconds_left = context.runner.lease_seconds_left
    assert seconds_left < 0, f"its lease lasts {seconds_left:.2f} s more"


@then("the run is given up soon after its lease has ended, and not before")
def _given_up_soon_after_lease(context):
    _given_up_after_lease(context)
    seconds_left = context.runner.lease_seconds_left
    assert seconds_left > -_lease.LEASE_SECONDS, seconds_left


@then("only the time since the last renewal counts for the hand-over")
def _handover_counts_from_renewal(context):
    elapsed = context.clock.now - context.renewed_at
    counted = context.lease.seconds_since_last_holder
    assert counted <= elapsed + 1e-6, (counted, elapsed)


@when("the holder is asked during a third renewal, which succeeds")
def _asked_during_renewal(context):
    commit = context.store.commit

    def ask_and_commit(transaction):
        answer = context.holder.answer_peer(context.holder.epoch)
        assert not answer.holds
        return commit(transaction)

    with unittest.mock.patch.object(context.store, "commit", ask_and_commit):
        context.renewed = context.holder.renew()


@then("the holder does not hold the lease")
def _not_held(context):
    assert not context.renewed and not context.holder.held


@when("a node takes it, and its scheduler fails while it renews the lease")
def _scheduler_fails_during_renewal(context):
    lease = _make_lease(context, "node")
    commit = context.store.commit
    renewing = threading.Event()
    stopped = threading.Event()
    context.add_cleanup(stopped.set)
    context.scheduler_runs = []
    context.began_again = threading.Event()

    def commit_once_lost(transaction):
        if context.scheduler_runs and not renewing.is_set():
            renewing.set()
            deadline = time.monotonic() + _WAIT_SECONDS
            while not lease.lost and time.monotonic() < deadline:
                time.sleep(_STEP_SECONDS / 10)
        return commit(transaction)

    def schedule():
        context.scheduler_runs.append(lease.epoch)
        if len(context.scheduler_runs) == 1:
            renewing.wait(_WAIT_SECONDS)
            raise ValueError("a fault")
        context.began_again.set()
        stopped.wait(_WAIT_SECONDS)

    context.store.commit = commit_once_lost
    threading.Thread(
        target=_lease.acquire_and_schedule,
        args=(lease, stopped, schedule),
        daemon=True,
    ).start()


@then("its scheduler begins again")
def _scheduler_begins_again(context):
    assert context.began_again.wait(_WAIT_SECONDS), context.scheduler_runs


_ADDRESSES = {"its own": "last:1", "another": "last:2"}


@when("a process of the same name at {address} address polls it")
def _poll_in_same_name(context, address):
    lease = _make_lease(context, "last", _ADDRESSES[address], _silent)
    context.polled_from = context.clock.now
    for _ in range(_MAX_STEPS):
        if lease.try_acquire():
            return
        context.clock.now += _STEP_SECONDS
    raise AssertionError("the lease was not taken")


@then("it takes the lease after {seconds:g} s")
def _taken_in_same_name_after(context, seconds):
    taken_after = context.clock.now - context.polled_from
    assert -1e-6 < taken_after - seconds < 2 * _STEP_SECONDS, taken_after


@when("two processes of another name at two addresses take it at once")
def _two_processes_take(context):
    context.clock.now += _lease.LEASE_SECONDS
    first, second = (
        _make_lease(context, "twin", f"twin:{number}") for number in (1, 2)
    )
    context.twins = (first, second)
    assert not first.try_acquire() and not second.try_acquire()
    context.clock.now += _lease.LEASE_SECONDS
    commit = context.store.commit

    def commit_after_other(transaction):
        context.store.commit = commit
        assert second.try_acquire()
        return commit(transaction)

    context.store.commit = commit_after_other
    first.try_acquire()


@then("only one of them holds it")
def _one_twin_holds(context):
    epochs = [lease.epoch for lease in context.twins if lease.held]
    assert len(epochs) == 1, epochs
