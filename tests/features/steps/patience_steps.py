"""Steps on waits for the table's answers, with a table in memory."""

import threading
import time

from behave import given
from behave import then
from behave import when
from emulator import stubs
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _submissions
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_UNKNOWN = result.Failure(
    peridotsill_platform.exceptions.OutcomeUnknown("no answer")
)


class _Table(stubs.MemoryTable):
    """A table that can lose answers; a lost one takes the whole timeout."""

    def __init__(self, seconds=0.0):
        super().__init__()
        self.seconds = seconds
        self.timeout = 0.0
        self.lost = 0
        self.lose_each_second = False
        self.sleeps = False
        self.commits = 0

    def within(self, seconds):
        self.timeout = seconds
        return self

    def commit(self, transaction):
        self.commits += 1
        outcome = super().commit(transaction)
        each_second = self.lose_each_second and self.commits % 2 == 0
        if self.lost or each_second:
            self.lost -= bool(self.lost)
            time.sleep(self.timeout if self.sleeps else 0.0)
            return _UNKNOWN
        time.sleep(self.seconds)
        return outcome


_NOTHING = peridotsill_platform.Transaction(checks=(), writes=())


def _patient(table, most=_ports._MOST_COMMIT_SECONDS):
    return peridotsill_platform.PatientTable(
        within=table.within,
        least_seconds=_ports._LEAST_COMMIT_SECONDS,
        most_seconds=most,
    )


@given("a table that answers commits in {seconds:g} s")
def _answering(context, seconds):
    context.made = _Table(seconds)
    context.patient = _patient(context.made)


@when("{count:d} commits are made")
def _commits(context, count):
    for _ in range(count):
        context.patient.commit(_NOTHING)


@when("an answer is lost")
def _lose_one(context):
    _lose(context, 1)


@when("{count:d} answers are lost")
def _lose(context, count):
    context.made.lost = count
    _commits(context, count)


@then("it was waited for {seconds:g} s")
def _waited(context, seconds):
    assert context.made.timeout == seconds, context.made.timeout


@then("the next answer is waited for {seconds:g} s")
def _next_wait(context, seconds):
    context.made.lost = 1
    _commits(context, 1)
    _waited(context, seconds)


@given("the holder of a lease whose table loses each second answer")
def _lossy_holder(context):
    _holder(context)
    context.made.lose_each_second = True


class _SlowTable(_Table):
    """Does each commit, and answers those that are waited for."""

    def commit(self, transaction):
        outcome = stubs.MemoryTable.commit(self, transaction)
        time.sleep(min(self.seconds, self.timeout))
        return _UNKNOWN if self.seconds > self.timeout else outcome


@given("the holder of a lease whose table takes {seconds:g} s for each commit")
def _slow_holder(context, seconds):
    context.made = _SlowTable()
    _take_lease(context)
    context.made.seconds = seconds


@then("it held the lease for half of the last {seconds:d} s at least")
def _held_half(context, seconds):
    share = seconds / 8
    last = context.held[-round(len(context.held) * share) :]
    assert sum(last) >= len(last) / 2, (sum(last), len(last))


@given("the holder of a lease")
def _holder(context):
    context.made = _Table()
    context.made.sleeps = True
    _take_lease(context)


def _take_lease(context):
    context.lease = _lease.Lease(
        node="n", table=_patient(context.made, _lease.RENEWAL_SECONDS)
    )
    assert context.lease.try_acquire()


@when("it renews for {seconds:d} s")
def _renews(context, seconds):
    stopped = threading.Event()
    keeper = threading.Thread(
        target=_lease._keep, args=(context.lease, stopped)
    )
    keeper.start()
    until = time.monotonic() + seconds
    context.held = []
    while time.monotonic() < until:
        context.held.append(context.lease.held)
        time.sleep(0.01)
    stopped.set()
    keeper.join()


@then("it held the lease all the while")
def _held(context):
    assert all(context.held), context.held.count(False)


@when("a renewal is done and its answer lost {seconds:g} s ago")
def _renewal_lost(context, seconds):
    context.made.sleeps = False
    context.made.lost = 1
    assert not context.lease.renew()
    time.sleep(seconds)


@when("the next renewal learns it")
def _learns(context):
    assert context.lease.renew()


@then("its lease ends {seconds:g} s from now")
def _ends(context, seconds):
    left = context.lease._valid_until - _clock.real_seconds()
    assert seconds - 0.1 <= left <= seconds + 0.01, left


_REFUSED = result.Failure(
    peridotsill_platform.exceptions.TableUnavailable("too many calls")
)
_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_SPEC = scheduler.JobSpec(
    id="aa",
    queue="q",
    payload="",
    steps=(scheduler.Step(index=0, task_count=1),),
)


class _BusyTable(stubs.MemoryTable):
    """Answers commits as told, the last answer again and again."""

    def __init__(self, *answers, readable=True):
        super().__init__()
        self.answers = list(answers)
        self.readable = readable

    def commit(self, transaction):
        last = len(self.answers) == 1
        answer = self.answers[0] if last else self.answers.pop(0)
        if answer is _UNKNOWN:
            super().commit(transaction)
        return answer

    def read(self, keys):
        return super().read(keys) if self.readable else _REFUSED


@given("a table that loses the answer to a submission, and then refuses all")
def _lost_then_busy(context):
    context.busy_table = _BusyTable(_UNKNOWN, _REFUSED)


@given("a table that loses the answer to a submission, and then goes away")
def _lost_then_away(context):
    context.busy_table = _BusyTable(_UNKNOWN, _REFUSED, readable=False)


@given("a table that refuses all commits")
def _busy(context):
    context.busy_table = _BusyTable(_REFUSED)


@given("a table that holds the job, and refuses all commits")
def _stored_before(context):
    context.busy_table = _BusyTable(_UNKNOWN, _REFUSED)
    _submit(context, 0.0001)


@when("the job is submitted")
def _submit_job(context):
    _submit(context, 1.0)


def _submit(context, seconds):
    committer = peridotsill_platform.GroupCommitter(table=context.busy_table)
    committer.start()
    context.add_cleanup(committer.stop)
    submissions = _submissions.Submissions(
        table=context.busy_table,
        committer=committer,
        quick_table=context.busy_table,
    )
    began = time.monotonic()
    context.shown = submissions.submit(_QUEUE, _SPEC, seconds)
    context.spent = time.monotonic() - began


@then("the caller is told that it was accepted")
def _accepted(context):
    assert context.shown.outcome is _submissions.Outcome.DONE, context.shown


@then("the caller is told within {seconds:g} s that it was not accepted")
def _not_accepted(context, seconds):
    outcome = context.shown.outcome
    assert outcome is _submissions.Outcome.NOT_DONE, context.shown
    assert context.spent < seconds, context.spent


@then("the caller is told that the outcome is unknown")
def _unknown_outcome(context):
    assert context.shown.outcome is _submissions.Outcome.UNKNOWN, context.shown


class _Partitioned(stubs.MemoryTable):
    """Notes the partitions of each commit; one of them may not answer."""

    def __init__(self, silent="", seconds=0.0):
        super().__init__()
        self.silent = silent
        self.seconds = seconds
        self.seen = []
        self.errors = 0
        self.closing = threading.Event()

    def commit(self, transaction):
        if self.errors:
            self.errors -= 1
            raise TypeError("not serializable")
        found = {_records.partition_of(w.key) for w in transaction.writes}
        self.seen.append(found)
        if self.silent in found:
            self.closing.wait(5)
            return _UNKNOWN
        time.sleep(self.seconds)
        return super().commit(transaction)


def _make_committer(context, table):
    context.partitioned = table
    context.committer = peridotsill_platform.GroupCommitter(
        table=table, partition_of=_records.partition_of
    )
    context.committer.start()
    context.add_cleanup(context.committer.stop)
    context.add_cleanup(table.closing.set)


@given('a committer on a table whose partition "{name}" does not answer')
def _silent_partition(context, name):
    _make_committer(context, _Partitioned(silent=name))


@given("a committer on a table that answers commits in {seconds:g} s")
def _slow_partitions(context, seconds):
    _make_committer(context, _Partitioned(seconds=seconds))


def _commit_at_once(context, partitions):
    """Commit a row in each partition, each from a thread of its own."""
    context.outcomes = {}
    context.began = time.monotonic()

    def commit(number, partition):
        write = peridotsill_platform.Write(
            key=f"t/{partition}/{number}", value={}
        )
        transaction = peridotsill_platform.Transaction(
            checks=(), writes=(write,)
        )
        outcome = context.committer.commit(transaction, 3.0)
        spent = time.monotonic() - context.began
        context.outcomes[number, partition] = outcome, spent

    context.threads = []
    for number, partition in enumerate(partitions):
        thread = threading.Thread(target=commit, args=(number, partition))
        thread.start()
        context.threads.append(thread)
        # The first commit leaves before the others come.
        time.sleep(0.0 if number else 0.05)


@when('transactions in partitions "a", "b" and "c" are committed at once')
def _three_partitions(context):
    _commit_at_once(context, "aabbcc")


@then('those in "b" and "c" are done within {seconds:g} s')
def _others_done(context, seconds):
    for thread in context.threads[2:]:
        thread.join()
    done = {
        key: spent
        for key, (outcome, spent) in context.outcomes.items()
        if key[1] in "bc" and isinstance(outcome, result.Success)
    }
    assert len(done) == 4 and max(done.values()) < seconds, context.outcomes


@when('{count:d} transactions in partition "{name}" are committed at once')
def _many_in_one(context, count, name):
    _commit_at_once(context, name * count)


@when(
    '{count:d} transactions in partition "{name}" are committed, '
    "and the node leaves"
)
def _many_and_leave(context, count, name):
    _commit_at_once(context, name * count)
    context.committer.stop()


@then('all are done, in {commits:d} commits of partition "{name}" alone')
def _joined(context, commits, name):
    for thread in context.threads:
        thread.join()
    outcomes = [outcome for outcome, _ in context.outcomes.values()]
    assert all(isinstance(each, result.Success) for each in outcomes), outcomes
    assert context.partitioned.seen == [{name}] * commits


@given("a committer on a table that fails unexpectedly {count:d} times")
def _failing_table(context, count):
    table = _Partitioned()
    table.errors = count
    _make_committer(context, table)


@when('{count:d} transactions in partition "{name}" are committed in turn')
def _one_by_one(context, count, name):
    context.failures = []
    for _ in range(count):
        _commit_at_once(context, name)
        context.threads[0].join()
        context.failures += [each for each, _ in context.outcomes.values()]


@then("each is told as unknown, with the error")
def _told_unknown(context):
    for failure in context.failures:
        assert "not serializable" in str(failure), failure
        error = failure.failure()
        unknown = peridotsill_platform.exceptions.OutcomeUnknown
        assert isinstance(error, unknown), error


class _SilentTable:
    """Answers nothing; its calls end with their timeouts."""

    def __init__(self, seconds):
        self.seconds = seconds

    def commit(self, transaction):
        time.sleep(self.seconds)
        return _UNKNOWN

    def read(self, keys):
        time.sleep(self.seconds)
        return _REFUSED


@given("a node whose table does not answer")
def _silent_table(context):
    patient = peridotsill_platform.PatientTable(
        within=_SilentTable,
        least_seconds=_ports._LEAST_COMMIT_SECONDS,
        most_seconds=_ports._MOST_COMMIT_SECONDS,
    )
    committer = peridotsill_platform.GroupCommitter(table=patient)
    committer.start()
    context.add_cleanup(committer.stop)
    context.submissions = _submissions.Submissions(
        table=_SilentTable(1.2),
        committer=committer,
        quick_table=_SilentTable(_submissions.LOOK_SECONDS),
    )


@when("the job is submitted by a caller that waits {seconds:g} s")
def _submit_waiting(context, seconds):
    began = time.monotonic()
    context.shown = context.submissions.submit(_QUEUE, _SPEC, seconds)
    context.spent = time.monotonic() - began


@then("the caller is told within {seconds:g} s that the outcome is unknown")
def _told_in_time(context, seconds):
    _unknown_outcome(context)
    assert context.spent < seconds, context.spent
