"""Steps for time-outs and lost answers of an in-memory table."""

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
    """A table that can lose answers.

    If ``sleeps``, a commit whose answer is lost lasts the whole timeout.
    """

    def __init__(self, seconds=0.0):
        super().__init__()
        self.seconds = seconds
        self.timeout_seconds = 0.0
        self.answers_to_lose = 0
        self.lose_every_second = False
        self.sleeps = False
        self.commits = 0

    def with_timeout(self, seconds):
        self.timeout_seconds = seconds
        return self

    def commit(self, transaction):
        self.commits += 1
        outcome = super().commit(transaction)
        lose_this_answer = self.lose_every_second and self.commits % 2 == 0
        if self.answers_to_lose or lose_this_answer:
            self.answers_to_lose -= bool(self.answers_to_lose)
            time.sleep(self.timeout_seconds if self.sleeps else 0.0)
            return _UNKNOWN
        time.sleep(self.seconds)
        return outcome


_EMPTY_TRANSACTION = peridotsill_platform.Transaction(checks=(), writes=())


def _adaptive_table(
    table, max_timeout_seconds=_ports._MAX_COMMIT_TIMEOUT_SECONDS
):
    return peridotsill_platform.AdaptiveTimeoutTable(
        table_with_timeout=table.with_timeout,
        min_timeout_seconds=_ports._MIN_COMMIT_TIMEOUT_SECONDS,
        max_timeout_seconds=max_timeout_seconds,
    )


@given("a table that answers commits in {seconds:g} s")
def _table_answering(context, seconds):
    context.memory_table = _Table(seconds)
    context.adaptive_table = _adaptive_table(context.memory_table)


@when("{count:d} commits are made")
def _make_commits(context, count):
    for _ in range(count):
        context.adaptive_table.commit(_EMPTY_TRANSACTION)


@when("an answer is lost")
def _lose_one_answer(context):
    _lose_answers(context, 1)


@when("{count:d} answers are lost")
def _lose_answers(context, count):
    context.memory_table.answers_to_lose = count
    _make_commits(context, count)


@then("the timeout of that commit was {seconds:g} s")
def _assert_timeout(context, seconds):
    assert context.memory_table.timeout_seconds == seconds, (
        context.memory_table.timeout_seconds
    )


@then("the timeout of the next commit is {seconds:g} s")
def _assert_next_timeout(context, seconds):
    context.memory_table.answers_to_lose = 1
    _make_commits(context, 1)
    _assert_timeout(context, seconds)


@given("the holder of a lease whose table loses every second answer")
def _holder_with_lost_answers(context):
    _holder(context)
    context.memory_table.lose_every_second = True


class _SlowTable(_Table):
    """Applies each commit, but answers only within the timeout."""

    def commit(self, transaction):
        outcome = stubs.MemoryTable.commit(self, transaction)
        time.sleep(min(self.seconds, self.timeout_seconds))
        return _UNKNOWN if self.seconds > self.timeout_seconds else outcome


@given("the holder of a lease whose table takes {seconds:g} s for each commit")
def _holder_with_slow_table(context, seconds):
    context.memory_table = _SlowTable()
    _take_lease(context)
    context.memory_table.seconds = seconds


@then("the lease was held for at least half of the last {seconds:d} s")
def _assert_held_half(context, seconds):
    share = seconds / 8
    recent = context.held[-round(len(context.held) * share) :]
    assert sum(recent) >= len(recent) / 2, (sum(recent), len(recent))


@given("the holder of a lease")
def _holder(context):
    context.memory_table = _Table()
    context.memory_table.sleeps = True
    _take_lease(context)


def _take_lease(context):
    context.lease = _lease.Lease(
        node="n",
        table=_adaptive_table(
            context.memory_table, _lease.RENEWAL_TIMEOUT_SECONDS
        ),
    )
    assert context.lease.try_acquire()


@when("the holder renews the lease for {seconds:d} s")
def _renew_for(context, seconds):
    stopped = threading.Event()
    renewal_thread = threading.Thread(
        target=_lease._renew_until_lost, args=(context.lease, stopped)
    )
    renewal_thread.start()
    deadline = time.monotonic() + seconds
    context.held = []
    while time.monotonic() < deadline:
        context.held.append(context.lease.held)
        time.sleep(0.01)
    stopped.set()
    renewal_thread.join()


@then("the lease was held throughout")
def _assert_held_throughout(context):
    assert all(context.held), context.held.count(False)


@when("a renewal was committed {seconds:g} s ago and its answer was lost")
def _renewal_lost(context, seconds):
    context.memory_table.sleeps = False
    context.memory_table.answers_to_lose = 1
    assert not context.lease.renew()
    time.sleep(seconds)


@when("the next renewal finds it committed")
def _renewal_succeeds(context):
    assert context.lease.renew()


@then("the lease ends {seconds:g} s from now")
def _assert_lease_end(context, seconds):
    remaining = context.lease._valid_until - _clock.boottime_seconds()
    assert seconds - 0.1 <= remaining <= seconds + 0.01, remaining


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


class _ScriptedTable(stubs.MemoryTable):
    """Answers commits with given answers, repeating the last one.

    A commit is applied only if its answer is lost (``_UNKNOWN``).
    """

    def __init__(self, *answers, readable=True):
        super().__init__()
        self.answers = list(answers)
        self.readable = readable

    def commit(self, transaction):
        is_last = len(self.answers) == 1
        answer = self.answers[0] if is_last else self.answers.pop(0)
        if answer is _UNKNOWN:
            super().commit(transaction)
        return answer

    def read(self, keys):
        return super().read(keys) if self.readable else _REFUSED


@given(
    "a table that loses the answer to a submission, and then refuses commits"
)
def _lost_then_busy(context):
    context.scripted_table = _ScriptedTable(_UNKNOWN, _REFUSED)


@given(
    "a table that loses the answer to a submission, and then refuses all calls"
)
def _lost_then_away(context):
    context.scripted_table = _ScriptedTable(_UNKNOWN, _REFUSED, readable=False)


@given("a table that refuses all commits")
def _refusing_table(context):
    context.scripted_table = _ScriptedTable(_REFUSED)


@given("a table that holds the job, and refuses all commits")
def _stored_before(context):
    context.scripted_table = _ScriptedTable(_UNKNOWN, _REFUSED)
    _submit(context, 0.0001)


@when("the job is submitted")
def _submit_job(context):
    _submit(context, 1.0)


def _submit(context, seconds):
    committer = peridotsill_platform.GroupCommitter(
        table=context.scripted_table
    )
    committer.start()
    context.add_cleanup(committer.stop)
    submissions = _submissions.Submissions(
        table=context.scripted_table,
        committer=committer,
        short_timeout_table=context.scripted_table,
    )
    began = time.monotonic()
    context.reply = submissions.submit(_QUEUE, _SPEC, seconds)
    context.elapsed = time.monotonic() - began


@then("the caller is told that it was accepted")
def _accepted(context):
    assert context.reply.outcome is _submissions.Outcome.DONE, context.reply


@then("the caller is told within {seconds:g} s that it was not accepted")
def _not_accepted(context, seconds):
    outcome = context.reply.outcome
    assert outcome is _submissions.Outcome.NOT_DONE, context.reply
    assert context.elapsed < seconds, context.elapsed


@then("the caller is told that the outcome is unknown")
def _unknown_outcome(context):
    assert context.reply.outcome is _submissions.Outcome.UNKNOWN, context.reply


class _PartitionRecorder(stubs.MemoryTable):
    """Records the partitions of each commit; one may not answer."""

    def __init__(self, silent="", seconds=0.0):
        super().__init__()
        self.silent = silent
        self.seconds = seconds
        self.commits_seen = []
        self.errors = 0
        self.closing = threading.Event()

    def commit(self, transaction):
        if self.errors:
            self.errors -= 1
            raise TypeError("not serializable")
        partitions = {_records.partition_of(w.key) for w in transaction.writes}
        self.commits_seen.append(partitions)
        if self.silent in partitions:
            self.closing.wait(5)
            return _UNKNOWN
        time.sleep(self.seconds)
        return super().commit(transaction)


def _make_committer(context, table):
    context.partition_recorder = table
    context.committer = peridotsill_platform.GroupCommitter(
        table=table, partition_of=_records.partition_of
    )
    context.committer.start()
    context.add_cleanup(context.committer.stop)
    context.add_cleanup(table.closing.set)


@given('a committer on a table whose partition "{name}" does not answer')
def _silent_partition(context, name):
    _make_committer(context, _PartitionRecorder(silent=name))


@given("a committer on a table that answers commits in {seconds:g} s")
def _slow_partitions(context, seconds):
    _make_committer(context, _PartitionRecorder(seconds=seconds))


def _commit_at_once(context, partitions):
    """Commit a row in each partition, each in its own thread."""
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
        elapsed = time.monotonic() - context.began
        context.outcomes[number, partition] = outcome, elapsed

    context.threads = []
    for number, partition in enumerate(partitions):
        thread = threading.Thread(target=commit, args=(number, partition))
        thread.start()
        context.threads.append(thread)
        # Let the first commit start before the others are queued.
        time.sleep(0.0 if number else 0.05)


@when('transactions in partitions "a", "b" and "c" are committed at once')
def _three_partitions(context):
    _commit_at_once(context, "aabbcc")


@then('those in "b" and "c" are done within {seconds:g} s')
def _others_done(context, seconds):
    for thread in context.threads[2:]:
        thread.join()
    done = {
        key: elapsed
        for key, (outcome, elapsed) in context.outcomes.items()
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
def _assert_batched(context, commits, name):
    for thread in context.threads:
        thread.join()
    outcomes = [outcome for outcome, _ in context.outcomes.values()]
    assert all(isinstance(each, result.Success) for each in outcomes), outcomes
    assert context.partition_recorder.commits_seen == [{name}] * commits


@given("a committer on a table that fails unexpectedly {count:d} times")
def _failing_table(context, count):
    table = _PartitionRecorder()
    table.errors = count
    _make_committer(context, table)


@when('{count:d} transactions in partition "{name}" are committed in turn')
def _commit_in_turn(context, count, name):
    context.failures = []
    for _ in range(count):
        _commit_at_once(context, name)
        context.threads[0].join()
        context.failures += [each for each, _ in context.outcomes.values()]


@then("each outcome is unknown and names the error")
def _assert_unknown_with_error(context):
    for failure in context.failures:
        assert "not serializable" in str(failure), failure
        error = failure.failure()
        unknown = peridotsill_platform.exceptions.OutcomeUnknown
        assert isinstance(error, unknown), error


class _SilentTable:
    """Never answers; each call lasts its timeout and fails."""

    def __init__(self, seconds):
        self.seconds = seconds

    def commit(self, transaction):
        time.sleep(self.seconds)
        return _UNKNOWN

    def read(self, keys):
        time.sleep(self.seconds)
        return _REFUSED


@given("a node whose table does not answer")
def _node_with_silent_table(context):
    adaptive_table = peridotsill_platform.AdaptiveTimeoutTable(
        table_with_timeout=_SilentTable,
        min_timeout_seconds=_ports._MIN_COMMIT_TIMEOUT_SECONDS,
        max_timeout_seconds=_ports._MAX_COMMIT_TIMEOUT_SECONDS,
    )
    committer = peridotsill_platform.GroupCommitter(table=adaptive_table)
    committer.start()
    context.add_cleanup(committer.stop)
    context.submissions = _submissions.Submissions(
        table=_SilentTable(1.2),
        committer=committer,
        short_timeout_table=_SilentTable(_submissions.LOOKUP_TIMEOUT_SECONDS),
    )


@when("the job is submitted by a caller that waits {seconds:g} s")
def _submit_waiting(context, seconds):
    began = time.monotonic()
    context.reply = context.submissions.submit(_QUEUE, _SPEC, seconds)
    context.elapsed = time.monotonic() - began


@then("the caller is told within {seconds:g} s that the outcome is unknown")
def _assert_told_in_time(context, seconds):
    _unknown_outcome(context)
    assert context.elapsed < seconds, context.elapsed
