"""Steps on how long a new scheduler waits for unreachable runners."""

import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import returns.result

from peridotsill_jobs import _clock
from peridotsill_jobs import _grants
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _workers
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_MAX_LEASE_SECONDS = 10.0
_POLL_SECONDS = 0.1
_RUNNER = "i-1"
_TABLE_UNAVAILABLE = returns.result.Failure(
    peridotsill_platform.exceptions.TableUnavailable("away")
)


class _Clock:
    """Replaces both monotonic clocks."""

    def __init__(self, context):
        self.now = 1000.0
        for name in ("monotonic_seconds", "boottime_seconds"):
            patch = unittest.mock.patch.object(_clock, name, self.read)
            patch.start()
            context.add_cleanup(patch.stop)

    def read(self):
        return self.now


def _make_clock_and_store(context):
    context.clock = _Clock(context)
    context.store = stubs.MemoryTable()
    context.node_count = 0


def _make_lease(context, node, ask_holder=lambda address, epoch: None):
    return _lease.Lease(
        node=node,
        table=context.store,
        address=f"{node}:1",
        ask_holder=ask_holder,
    )


def _acquire_lease(context):
    context.node_count += 1
    lease = _make_lease(context, f"n{context.node_count}")
    if not lease.try_acquire():
        context.clock.now += _lease.LEASE_SECONDS
        assert lease.try_acquire()
    context.lease = lease


@given("a holder of the lease that was killed")
def _holder_killed(context):
    _make_clock_and_store(context)
    _acquire_lease(context)


@given("a holder of the lease that reached all runners and released it")
def _holder_released(context):
    _make_clock_and_store(context)
    _acquire_lease(context)
    context.lease.set_waits_source(dict)
    context.lease.release()


@given("a lease that was released with waits that are not numbers")
def _released_with_bad_waits(context):
    _holder_released(context)
    value, version = context.store.rows[_records.LEASE_KEY]
    bad = {**value, "waits": {_RUNNER: "soon"}}
    context.store.rows[_records.LEASE_KEY] = (bad, version)


@given("a task on a runner that is not in the registry")
def _task_on_unlisted_runner(context):
    _task_on_silent_runner(context)
    context.entries = ()


@given("a task on a runner that does not answer")
def _task_on_silent_runner(context):
    context.entries = (stubs.runner_entry(),)
    step = scheduler.Step(index=0, task_count=1)
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="p")
    spec = scheduler.JobSpec(id="aa", queue="q", payload="", steps=(step,))
    context.job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(context.job, 0.0)
    task = context.job.tasks[0]
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, _RUNNER, 1


def _connect(context, entry):
    context.link = stubs.runner_link(context.lease, _MAX_LEASE_SECONDS, entry)
    context.poller = context.link._poller
    return context.link


def _table_unavailable(context):
    return unittest.mock.patch.object(
        context.store, "read", return_value=_TABLE_UNAVAILABLE
    )


@when(
    "another node has read the lease's row before the table is away for "
    "{seconds:d} s"
)
def _read_before_outage(context, seconds):
    context.lease = _make_lease(context, "reader")
    assert not context.lease.try_acquire()
    context.first_read_at = context.clock.now
    with _table_unavailable(context):
        for _ in range(seconds):
            context.clock.now += 1.0
            assert not context.lease.try_acquire()


@when("that node takes the lease")
def _reader_takes_lease(context):
    while not context.lease.try_acquire():
        context.clock.now += _POLL_SECONDS
    _begin_scheduling(context)


@given("a holder that renewed the lease for 12 s and was killed")
def _renewing_holder_killed(context):
    _holder_killed(context)
    for _ in range(12):
        context.clock.now += 1.0
        assert context.lease.renew()


@given("a holder that renewed the lease for 12 s and released it")
def _renewing_holder_released(context):
    _renewing_holder_killed(context)
    context.lease.set_waits_source(dict)
    context.lease.release()


@when("another node takes the lease and never learns of it")
def _take_lease_unknowingly(context):
    context.unaware = _make_lease(context, "unaware")
    commit = context.store.commit

    def lose_answer(transaction):
        commit(transaction)
        return _TABLE_UNAVAILABLE

    with unittest.mock.patch.object(context.store, "commit", lose_answer):
        while not _is_row_of(context, "unaware"):
            assert not context.unaware.try_acquire()
            context.clock.now += _POLL_SECONDS
    context.unaware._released = True


def _is_row_of(context, node):
    value, _ = context.store.rows[_records.LEASE_KEY]
    return value["holder"] == node


@when("a third node takes the lease once that node has answered it")
def _take_lease_after_answer(context):
    _ask_and_take_lease(context, context.unaware.answer_peer)


@when("a third node takes the lease before that node has answered it")
def _take_lease_before_answer(context):
    _ask_and_take_lease(context, lambda epoch: None)
    context.lease._ask_holder = lambda address, epoch: (
        context.unaware.answer_peer(epoch)
    )
    context.lease.ask_predecessor()


@when("another node takes the lease, and is asked for it before it learns so")
def _asked_before_answer(context):
    context.lease = _make_lease(context, "asked")
    commit = context.store.commit

    def commit_and_ask(transaction):
        answer = commit(transaction)
        value, _ = context.store.rows[_records.LEASE_KEY]
        state = context.lease.answer_peer(value["epoch"])
        assert state.declined and not state.holds, state
        return answer

    with unittest.mock.patch.object(context.store, "commit", commit_and_ask):
        assert not context.lease.try_acquire()


@then("that node does not hold the lease")
def _not_held(context):
    assert not context.lease.held
    assert _is_row_of(context, "asked")


@when("another node is asked whether it holds epoch {epoch:d}")
def _asked_for_epoch(context, epoch):
    context.lease = _make_lease(context, "asked")
    state = context.lease.answer_peer(epoch)
    assert not state.holds and not state.declined, state


@then("it can take the lease over again")
def _can_take_lease(context):
    assert context.lease.try_acquire()
    assert context.lease.held


@when("its node starts again and takes the lease")
def _restarted_takes_lease(context):
    context.lease = _make_lease(context, context.lease._node)
    _reader_takes_lease(context)


@when("its node starts again, is without table for 2 s and takes the lease")
def _restarted_takes_lease_later(context):
    context.lease = _make_lease(context, context.lease._node)
    with _table_unavailable(context):
        assert not context.lease.try_acquire()
    context.clock.now += 2.0
    _reader_takes_lease(context)


def _answer_of_next_process(context):
    next_process = _make_lease(context, context.lease._node)
    return next_process.answer_peer


def _answer_of_other_name(context):
    return _make_lease(context, "other").answer_peer


def _answer_of_holder(context):
    context.lease.mark_lost("cut off")
    return context.lease.answer_peer


def _refusal(context):
    return lambda epoch: _holder_check.HolderState(holds=False)


_ANSWERS = {
    "its connections are refused": _refusal,
    "a node of another name answers": _answer_of_other_name,
    "the holder itself answers that it lost it": _answer_of_holder,
}


@when("1 s later the killed holder's next process answers")
def _next_process_answers(context):
    context.clock.now += 1.0
    context.lease.ask_predecessor()
    next_process = _make_lease(context, context.killed_node)
    context.lease._ask_holder = lambda address, epoch: (
        next_process.answer_peer(epoch)
    )
    context.lease.ask_predecessor()


def _ask_and_take_lease(context, answer):
    context.killed_node = context.lease._node
    context.lease = _make_lease(
        context, "asker", lambda address, epoch: answer(epoch)
    )
    _reader_takes_lease(context)


@when("another node is answered by its next process and takes the lease")
def _asker_takes_lease(context):
    _ask_and_take_lease(context, _answer_of_next_process(context))


@when("another node takes the lease as {answer}")
def _asker_takes_lease_as(context, answer):
    _ask_and_take_lease(context, _ANSWERS[answer](context))


@when("another node takes the lease and is killed 3 s later")
def _next_holder_killed(context):
    _acquire_lease(context)
    for _ in range(3):
        context.clock.now += 1.0
        assert context.lease.renew()


@when("another node takes the lease")
def _other_node_takes_lease(context):
    _acquire_lease(context)
    _begin_scheduling(context)


def _begin_scheduling(context):
    context.workers = _workers.Workers(
        connect=lambda entry: _connect(context, entry),
        inherited_leases=_inherited_leases.InheritedLeases(
            waits=context.lease.inherited_waits,
            get_grants_end=lambda: context.lease.earlier_grants_end_at,
        ),
    )
    context.workers.adopt(context.job, context.job.tasks[0])
    context.workers.update(context.entries)


@when("it releases the lease after {seconds:g} s")
def _release_after(context, seconds):
    context.clock.now += seconds
    context.lease.set_waits_source(
        lambda: context.workers.remaining_waits(_MAX_LEASE_SECONDS)
    )
    context.lease.release()


@when("the runner is found to have restarted just now")
def _restarted(context):
    (worker,) = context.workers
    worker.took_over_at = context.clock.now


@when("it releases the lease before it has read the rows")
def _release_before_load(context):
    context.lease.release()


def _prepare_one_answer(context):
    """Have the runner answer only the next poll, with its one run."""
    name = _ports.TaskName(job="aa", task="0.0.0")
    report = _ports.RunnerReport(
        lifetime=1,
        clock_ms=5000.0,
        running=(_ports.ReportedRun(name=name, run=1, checkpoint=""),),
        ended=(),
    )
    calls = context.poller._parts.calls
    calls.poll.return_value.read.return_value = report
    answers = [returns.result.Success({})]
    context.poller._client._connection.call.side_effect = lambda call, done: (
        answers and done(answers.pop())
    )


@when("the runner answers once and goes silent")
def _runner_answers_once(context):
    _prepare_one_answer(context)
    context.poller._poll()


@then(
    "the task counts as lost {seconds:g} s after that node first read the row"
)
def _task_lost_after_first_read(context, seconds):
    elapsed = context.clock.now - context.first_read_at
    _task_lost_after(context, seconds - elapsed)


@then("the task counts as lost after {seconds:g} s")
def _task_lost_after(context, seconds):
    began = context.clock.now
    context.clock.now = began + seconds - 0.1
    assert not context.workers.pop_expired(_MAX_LEASE_SECONDS)
    context.clock.now = began + seconds + 0.1
    lost = context.workers.pop_expired(_MAX_LEASE_SECONDS)
    assert lost == [(context.job, context.job.tasks[0])], lost


@then("the task has counted as lost within {seconds:g} s")
def _lost_within(context, seconds):
    context.clock.now += seconds
    assert context.workers.pop_expired(_MAX_LEASE_SECONDS)


@given("a runner whose clock is 2% slow and was read 1.59 s ago")
def _slow_runner_clock(context):
    context.clock = _Clock(context)
    context.grants = _grants.Grants(
        lease=unittest.mock.Mock(lost=False, seconds_since_expiry=-1.0),
        max_lease_seconds=_MAX_LEASE_SECONDS,
    )
    context.grants.record_report(
        unittest.mock.Mock(clock_ms=5000.0, running=())
    )
    context.clock.now += 1.59
    context.runner_clock_ms = 5000.0 + 1590.0 * 0.98


@when("it is granted a lease")
def _grant_lease(context):
    context.lease_until_ms = context.grants.extend()


@then("the lease ends within the time for which the next holder waits")
def _lease_ends_in_time(context):
    left_ms = context.lease_until_ms - context.runner_clock_ms
    waited = _grants.longest_lease_seconds(_MAX_LEASE_SECONDS)
    assert left_ms / 980.0 <= waited, (left_ms / 980.0, waited)


@given("a link to a runner under a lease that is released")
def _link_under_released_lease(context):
    _holder_killed(context)
    _connect(context, stubs.runner_entry())
    _prepare_one_answer(context)
    context.poller._poll()
    context.lease.release()


@when("the runner is polled once more")
def _poll_once_more(context):
    context.poller._polling = False
    context.poller._parts.calls.poll.reset_mock()
    context.poller._poll()


@then("no lease of runs was granted")
def _no_grant(context):
    asked = context.poller._parts.calls.poll.call_args.kwargs
    assert asked["lease_until_ms"] is None, asked
