"""Steps on cancellations of jobs whose submissions have not arrived yet."""

import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _job_store
from peridotsill_jobs import _lease
from peridotsill_jobs import _records
from peridotsill_jobs import _submissions
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_JOB = "00000000000000aa"
_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_SPEC = scheduler.JobSpec(
    id=_JOB,
    queue="q",
    payload="",
    steps=(scheduler.Step(index=0, task_count=1, long_lived=True),),
)
_Outcome = _submissions.Outcome


class _HoldingTable(stubs.MemoryTable):
    """Holds back the first commit, whose caller gets no answer."""

    held = None

    def commit(self, transaction):
        if self.held is None:
            self.held = transaction
            return result.Failure(
                peridotsill_platform.exceptions.OutcomeUnknown("no answer")
            )
        return super().commit(transaction)

    def carry_out_held(self):
        return super().commit(self.held)


class _RefusingTable(stubs.MemoryTable):
    def commit(self, transaction):
        return result.Failure(
            peridotsill_platform.exceptions.TableUnavailable("status 503")
        )


class _ExpiringTable(stubs.MemoryTable):
    """Removes a tombstone right after a submission has found it."""

    def read(self, keys):
        found = super().read(keys)
        for row in found.unwrap():
            if "tombstone" in row.value:
                self.rows[row.key] = (None, row.version)
        return found


def _make_submissions(context, table):
    context.memory = table
    committer = peridotsill_platform.GroupCommitter(
        table=table, partition_of=_records.partition_of
    )
    committer.start()
    context.add_cleanup(committer.stop)
    context.submissions = _submissions.Submissions(
        table=table, committer=committer, short_timeout_table=table
    )


@given("a table without jobs")
def _empty_table(context):
    _make_submissions(context, stubs.MemoryTable())


@given("a table that holds back the first commit")
def _holding_table(context):
    _make_submissions(context, _HoldingTable())


@given("a table without jobs that refuses all commits")
def _refusing_table(context):
    _make_submissions(context, _RefusingTable())


@given(
    "a table without jobs whose record of the cancellation expires as the "
    "job arrives"
)
def _expiring_table(context):
    _make_submissions(context, _ExpiringTable())
    _cancel(context)


@when("the unknown job is cancelled")
def _cancel(context):
    context.cancel_reply = context.submissions.cancel("q", _JOB, 0.5)


@when("{count:d} unknown jobs are cancelled")
def _cancel_many(context, count):
    for number in range(count):
        reply = context.submissions.cancel("q", f"{number:016x}", 1.0)
        assert reply.outcome is _Outcome.ABSENT, reply


@then("the caller is told that there is no such job")
def _told_absent(context):
    assert context.cancel_reply.outcome is _Outcome.ABSENT


@then("the caller is told that the outcome of the cancellation is unknown")
def _told_unknown(context):
    assert context.cancel_reply.outcome is _Outcome.UNKNOWN


@when("the unknown job is submitted late")
def _submit_late(context):
    context.submit_reply = context.submissions.submit(_QUEUE, _SPEC, 1.0)


@when("the unknown job is submitted, and the caller leaves without an answer")
def _submit_unanswered(context):
    reply = context.submissions.submit(_QUEUE, _SPEC, 0.01)
    assert reply.outcome is _Outcome.UNKNOWN, reply


@when("the table carries the held commit out")
def _carry_out(context):
    outcome = context.memory.carry_out_held()
    assert isinstance(outcome, result.Failure), outcome


@then("the caller is told that the early job was accepted")
def _told_accepted(context):
    assert context.submit_reply.outcome is _Outcome.DONE, context.submit_reply


@then("the unknown job is shown as {state}")
def _shown(context, state):
    reply = context.submissions.show("q", _JOB)
    if state == "absent":
        assert reply.outcome is _Outcome.ABSENT, reply
    else:
        assert str(reply.state) == state, reply


@then("no job counts as pending")
def _none_pending(context):
    assert context.submissions.count("q").pending == 0


def _stored_jobs(context):
    """Return whether each job that is stored was cancelled, by its id."""
    scan = context.memory.scan((f"{_records.JOBS}/",)).unwrap()
    submissions = {}
    for row in scan.rows:
        try:
            submission = _records.parse_submission(row)
        except peridotsill.exceptions.InvalidResource:
            continue
        submissions[submission.spec.id] = submission.cancelled
    return submissions


@then("the table holds no job")
def _no_job(context):
    assert not _stored_jobs(context), context.memory.rows


def _make_store(context):
    """Return a scheduler's jobs, with the lease in a table of its own."""
    lease = _lease.Lease(node="n", table=stubs.MemoryTable())
    assert lease.try_acquire()
    catalog = unittest.mock.Mock(queue=lambda name: _QUEUE)
    store = _job_store.JobStore(
        table=context.memory,
        catalog=catalog,
        lease=lease,
        counters=peridotsill.Counters(),
    )
    store._fence = unittest.mock.Mock(
        version=0,
        claim=lambda: True,
        checks=(),
        handle_conflict=lambda keys: None,
    )
    context.add_cleanup(store.close)
    return store


@then("a scheduler that follows the table starts no task of it")
def _not_started_by_follower(context):
    with unittest.mock.patch.object(
        context.memory, "scan", stubs.MemoryTable().scan
    ):
        store = _make_store(context)
        assert store.load() is not None
    (row,) = context.memory.scan((f"{_records.JOBS}/",)).unwrap().rows
    job, cancelled = store.apply_row(row)
    assert job is not None and cancelled


@then("a scheduler that loads the table starts no task of it")
def _not_started_by_loader(context):
    store = _make_store(context)
    assert store.load() is not None
    assert [job.spec.id for job in store.cancelled] == [_JOB]


@then("a scheduler that loads the table knows no job")
def _knows_no_job(context):
    store = _make_store(context)
    assert store.load() is not None
    assert not store.open_jobs and not store.cancelled


def _load(context):
    if "store" not in context:
        context.now = _clock.monotonic_seconds()
        context.shown = {}
        context.store = _make_store(context)
        assert context.store.load() is not None


def _pass_time(context, seconds):
    """Tell a scheduler once of each changed row, and let time pass then."""
    _load(context)
    for row in context.memory.scan((f"{_records.JOBS}/",)).unwrap().rows:
        if context.shown.get(row.key) == row.version:
            continue
        context.shown[row.key] = row.version
        with _clock_at(context.now):
            context.store.apply_row(row)
    context.now += seconds


def _clock_at(now):
    return unittest.mock.patch.object(_clock, "monotonic_seconds", lambda: now)


def _remove_expired(context):
    with _clock_at(context.now):
        context.store._tombstones.remove_expired()


@when("a scheduler that loads the table has seen the record for {seconds:d} s")
@when("the scheduler has seen the record for {seconds:d} s")
def _seen_for(context, seconds):
    _pass_time(context, seconds)
    _remove_expired(context)


@when(
    "a scheduler that loads the table has seen the records for {seconds:d} s"
)
def _seen_all_for(context, seconds):
    _seen_for(context, seconds)


@when(
    "the scheduler has seen the records for {seconds:d} s, as the job of one "
    "arrives"
)
def _seen_as_one_arrives(context, seconds):
    _pass_time(context, seconds)
    spec = scheduler.JobSpec(
        id=f"{7:016x}", queue="q", payload="", steps=_SPEC.steps
    )
    reply = context.submissions.submit(_QUEUE, spec, 1.0)
    assert reply.outcome is _Outcome.DONE, reply
    _remove_expired(context)


def _row_count(context):
    return len(context.memory.scan((f"{_records.JOBS}/",)).unwrap().rows)


@then("the record of the cancellation is kept")
def _kept(context):
    assert _row_count(context) == 1


@then("the record of the cancellation is removed")
def _removed(context):
    assert _row_count(context) == 0


@then("the table holds {count:d} records of cancellations")
def _holds_records(context, count):
    assert _row_count(context) == count
    assert not _stored_jobs(context)


@then("the table holds only the job that has arrived, as cancelled")
def _holds_arrived(context):
    assert _stored_jobs(context) == {f"{7:016x}": True}
    assert _row_count(context) == 1
