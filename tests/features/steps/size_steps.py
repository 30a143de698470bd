"""Steps for rows and transactions that are too large for the table."""

import json
import random
import threading
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import nodes
from emulator import stubs
import peridotsill
from returns import result

from peridotsill_jobs import _applied_ends
from peridotsill_jobs import _clock
from peridotsill_jobs import _handed_over_waits
from peridotsill_jobs import _job_store
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_POOL = "trails"
_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_Phase = scheduler.TaskPhase


class LimitedTable(stubs.MemoryTable):
    """A table in memory that rejects large values and transactions.

    Rows whose key ends with one of ``rejected_keys`` are rejected as well.
    After ``writes_left`` transactions it is away.
    """

    def __init__(self, value_bytes, transaction_bytes):
        super().__init__()
        self.limits = peridotsill_platform.TableLimits(
            value_bytes=value_bytes, transaction_bytes=transaction_bytes
        )
        self.rejected_keys = ()
        self.sizes = []
        self.writes_left = float("inf")

    def commit(self, transaction):
        sizes = [
            len(peridotsill.encode(each.value)) for each in transaction.writes
        ]
        is_rejected = any(
            each.key.endswith(tuple(self.rejected_keys))
            for each in transaction.writes
        )
        if (
            is_rejected
            or max(sizes) > self.limits.value_bytes
            or sum(sizes) > self.limits.transaction_bytes
        ):
            return result.Failure(
                peridotsill_platform.exceptions.CommitRejected("too large")
            )
        if self.writes_left <= 0:
            return result.Failure(
                peridotsill_platform.exceptions.TableUnavailable("away")
            )
        self.writes_left -= 1
        self.sizes.append(sum(sizes))
        # A copy, as a real table has.
        encoded = peridotsill_platform.Transaction(
            checks=transaction.checks,
            writes=tuple(
                attrs.evolve(
                    each, value=json.loads(peridotsill.encode(each.value))
                )
                for each in transaction.writes
            ),
        )
        return super().commit(encoded)


def _make_store(context, table):
    store = _job_store.JobStore(
        table=table,
        catalog=unittest.mock.Mock(
            queue=unittest.mock.Mock(return_value=_QUEUE)
        ),
        lease=context.lease,
        counters=context.counters,
        limits=table.limits,
    )
    context.stack.callback(store.close)
    return store


def _make_job(job_id, steps, occurrences=0):
    spec = scheduler.JobSpec(
        id=job_id,
        queue="q",
        payload="",
        steps=tuple(steps),
        occurrences=occurrences,
        first_due_ms=1.0,
        period_ms=1.0,
    )
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0)
    scheduler.open_occurrences(job, 1.0)
    return job


@when('job "{name}" of 2 steps with {count:d} small tasks each is submitted')
def _submit_wide(context, name, count):
    step = {"count": count, "cpu": 100, "mem_mb": 16, "estimated_ms": 100}
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        _POOL,
        nodes.job_id(name),
        [step, {**step, "after": [0]}],
    )
    assert reply is not None and reply.status == 200, reply


@when('{count:d} tasks of job "{name}" are done')
def _wait_done(context, count, name):
    def done():
        runs = context.cluster.world.log.starts_of(nodes.job_id(name))
        return sum(each.outcome == "done" for each in runs) >= count

    nodes.wait_for(done, 30, f"{count} tasks done")


@then('the store has rows of the tasks of job "{name}"')
def _has_task_rows(context, name):
    tables = {
        table
        for table, _, key in context.cluster.world.store.rows
        if nodes.job_id(name) in key
    }
    assert _records.PROGRESS_TASKS in tables, tables


@when("a job of {count:d} steps is submitted")
def _submit_large(context, count):
    step = {"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 100}
    context.job_id = nodes.job_id("big")
    context.reply = context.cluster.submit(
        context.cluster.nodes[0], _POOL, context.job_id, [step] * count
    )


@then("it is answered 413 with a reason, and is unknown")
def _refused_for_good(context):
    assert context.reply is not None and context.reply.status == 413
    assert "bytes" in json.loads(context.reply.data)["error"]
    assert context.cluster.state(_POOL, context.job_id) == "gone"


@then("a job that is submitted beside it is accepted")
def _accepted(context):
    threads = [
        threading.Thread(target=_submit_large, args=(context, 3000))
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        _POOL,
        nodes.job_id("small"),
        nodes.TWO_STEPS,
    )
    for thread in threads:
        thread.join()
    assert reply is not None and reply.status == 200, reply


@given("a scheduler's jobs in a table that rejects values over {size:d} bytes")
def _limited_store(context, size):
    context.now = 1000.0
    context.stack.enter_context(
        unittest.mock.patch.object(
            _clock, "monotonic_seconds", lambda: context.now
        )
    )
    context.lines = []
    context.stack.enter_context(
        unittest.mock.patch.object(
            _logs,
            "log",
            lambda message_type, **fields: context.lines.append(
                (message_type, fields)
            ),
        )
    )
    context.lease = unittest.mock.Mock(epoch=1, lost=False)
    context.counters = peridotsill.Counters()
    context.limited_table = LimitedTable(size, max(20_000, 2 * size))
    context.job_store = _make_store(context, context.limited_table)
    context.jobs = []


@given(
    "{count:d} jobs with a task each, of which {large:d} have checkpoints of "
    "{size:d} bytes"
)
def _jobs_with_checkpoints(context, count, large, size):
    for number in range(count):
        job = _make_job(f"j{number}", [scheduler.Step(index=0, task_count=1)])
        job.tasks[0].run = 1
        job.tasks[0].phase = _Phase.RUNNING
        # The large ones are spread over the transaction.
        is_large = number % (count // large) == 0
        job.tasks[0].checkpoint = "c" * size if is_large else "c"
        context.jobs.append(job)
        context.job_store.mark_dirty(job)


@when("the jobs are written")
def _write_jobs(context):
    context.outcome = context.job_store.commit()


@then("{written:d} jobs are written, and {rejected:d} are marked as rejected")
def _check_written(context, written, rejected):
    assert context.outcome == frozenset(), context.outcome
    rows = [
        key
        for key in context.limited_table.rows
        if key.startswith(f"{_records.PROGRESS}/")
    ]
    assert len(rows) == written, (written, len(rows))
    assert len(context.job_store.rejected_keys) == rejected


@then("a log line and a counter tell of both rejected jobs")
def _told(context):
    named = {
        fields["job"]
        for message_type, fields in context.lines
        if message_type == "commit:rejected"
    }
    assert named == {job_id for _, job_id in context.job_store.rejected_keys}
    assert context.counters.total("commits_rejected") == len(named) == 2


@given(
    "{count:d} jobs with a task each, of which {large:d} have reasons of "
    "{size:d} bytes"
)
def _jobs_with_reasons(context, count, large, size):
    _jobs_with_checkpoints(context, count, count, 1)
    for job in context.jobs[:: count // large]:
        job.failure_reason = "r" * size


@when("the reasons are replaced by short ones, and {seconds:d} s pass")
def _shorten(context, seconds):
    for job in context.jobs:
        job.failure_reason = "r"
    _pass_time(context, seconds)


@when("the jobs wait for {seconds:d} s")
def _pass_time(context, seconds):
    context.now += seconds


@given("the jobs' rows are limited to {size:d} bytes")
def _limit_rows(context, size):
    rows = context.job_store._progress_rows
    rows._limits = attrs.evolve(rows._limits, value_bytes=size)


@given("a job of {count:d} tasks with checkpoints of {size:d} bytes")
def _job_with_checkpoints(context, count, size):
    step = scheduler.Step(index=0, task_count=count)
    job = _make_job("j", [step])
    submission = _records.Submission(
        spec=job.spec, queue=_QUEUE, arrived_ms=1.0
    )
    context.limited_table.rows[_records.row_key(_records.JOBS, "q", "j")] = (
        _records.submission_value(submission),
        0,
    )
    context.jobs = [job]
    for task in job.tasks:
        task.run = 1
        task.phase = _Phase.RUNNING
        task.runner = "i-1"
    _replace_checkpoints(context, size)


@when("the checkpoints are replaced by ones of {size:d} bytes")
def _replace_checkpoints(context, size):
    for job in context.jobs:
        for task in job.tasks:
            task.run += 1
            task.checkpoint = "c" * size
        context.job_store.mark_dirty(job)


@then("a new scheduler knows all runs of the job, {kept} checkpoints")
def _knows_runs(context, kept):
    (job,) = context.jobs
    reader = _make_store(context, context.limited_table)
    assert reader.load() is not None
    read = reader.get(("q", "j"))
    for task, known in zip(job.tasks, read.tasks):
        assert (known.run, known.phase) == (task.run, task.phase), known
        expected = task.checkpoint if kept == "with the" else ""
        assert known.checkpoint == expected, len(known.checkpoint)


@then("a log line tells that checkpoints were left out")
def _told_of_checkpoints(context):
    (fields,) = [
        fields
        for message_type, fields in context.lines
        if message_type == "job:checkpoints_left_out"
    ]
    assert fields["longest"] == 9000, fields


@then("no transaction had more than {size:d} bytes")
def _check_sizes(context, size):
    assert max(context.limited_table.sizes) <= size, (
        context.limited_table.sizes
    )


@given("ends 1 to 4 of a runner, of which 3 is of a rejected job")
def _ends(context):
    context.worker = unittest.mock.Mock(lifetime=1, last_applied_end=0)
    context.worker.entry.id = "i-1"
    context.applied_ends = _applied_ends.AppliedEnds()
    for number, job in enumerate(("a", "b", "c", "a"), start=1):
        context.applied_ends.add(context.worker, number, job)
    context.unwritten = frozenset({"c"})


@when("the ends are acknowledged")
def _acknowledge(context):
    context.applied_ends.acknowledge([context.worker], context.unwritten)


@when("the rejected job has been written, and the ends are acknowledged")
def _acknowledge_written(context):
    context.unwritten = frozenset()
    _acknowledge(context)


@then("the runner was told to forget ends up to {number:d}")
def _check_acknowledged(context, number):
    calls = context.worker.link.acknowledge_ends.call_args_list
    assert calls[-1].args == (number,), calls


@given("a table that rejects what is written of the job")
def _reject_job(context):
    commit = context.store.commit

    def rejecting_commit(transaction):
        if any(
            each.key.startswith(f"{_records.PROGRESS}/")
            for each in transaction.writes
        ):
            return result.Failure(
                peridotsill_platform.exceptions.CommitRejected("rejected")
            )
        return commit(transaction)

    context.store.commit = rejecting_commit


@then("nothing was ordered, and the job's task waits without a place")
def _not_started(context):
    assert context.links, "no runner"
    assert not any(link.starts for link in context.links.values())
    assert context.job.tasks[0].phase is _Phase.WAITING
    assert not any(worker.placed for worker in context.controller._workers)


def _draw_changes(draw, job, sent):
    """Change some tasks as a scheduling round does."""
    for task in job.tasks:
        if draw.random() > 0.3 or task.is_over:
            continue
        if task.phase is _Phase.WAITING:
            task.run += 1
            task.runner = f"i-{draw.randrange(9)}"
            task.lifetime = 1
            task.phase = _Phase.ASSIGNED
            sent.append((task.key, task.run))
        elif task.phase is _Phase.ASSIGNED:
            task.phase = _Phase.RUNNING
            task.checkpoint = "c" * draw.choice((0, 0, 0, 900, 5000))
        else:
            task.phase = draw.choice((_Phase.DONE, _Phase.WAITING))


@when("drawn jobs of many tasks are written with a crash at a drawn point")
def _draw_crashes(context):
    context.lease = unittest.mock.Mock(epoch=1, lost=False)
    context.counters = peridotsill.Counters()
    context.outcomes = []
    for seed in range(60):
        context.outcomes.append(_write_and_crash(context, seed))


def _write_and_crash(context, seed):
    """Return what may have been sent and acknowledged, and what is read."""
    draw = random.Random(seed)
    table = LimitedTable(draw.choice((3000, 12_000)), 20_000)
    store = _make_store(context, table)
    steps = [scheduler.Step(index=0, task_count=draw.randrange(20, 400))]
    job = _make_job("j", steps, occurrences=draw.choice((0, 3)))
    submission = _records.Submission(
        spec=job.spec, queue=_QUEUE, arrived_ms=1.0
    )
    table.rows[_records.row_key(_records.JOBS, "q", "j")] = (
        _records.submission_value(submission),
        0,
    )
    sent, done = {}, set()
    for round_number in range(draw.randrange(1, 6)):
        scheduler.open_occurrences(job, 1.0 + round_number)
        starts = []
        _draw_changes(draw, job, starts)
        scheduler.refresh_state(job)
        store.mark_dirty(job)
        store.commit(lambda keys, starts=starts: sent.update(starts))
        done = {task.key for task in job.tasks if task.phase is _Phase.DONE}
    table.writes_left = draw.randrange(4)
    context.lease.lost = False
    starts = []
    _draw_changes(draw, job, starts)
    scheduler.refresh_state(job)
    store.mark_dirty(job)
    stop = unittest.mock.PropertyMock(
        side_effect=lambda: table.writes_left <= 0
    )
    type(context.lease).lost = stop
    acknowledged = store.commit(
        lambda keys: sent.update(starts) if keys else None
    )
    if acknowledged is not None:
        done = {task.key for task in job.tasks if task.phase is _Phase.DONE}
    type(context.lease).lost = unittest.mock.PropertyMock(return_value=False)
    table.writes_left = float("inf")
    reader = _make_store(context, table)
    assert reader.load() is not None
    read = reader.get(("q", "j"))
    if read is None:
        # The row shows it as finished.
        assert job.final
        return sent, done, None
    return sent, done, {task.key: task for task in read.tasks}


@then("a new scheduler knows each start that may have been sent")
def _knows_starts(context):
    divided = 0
    for sent, _, tasks in context.outcomes:
        divided += tasks is not None and len(tasks) > 100
        for key, run in sent.items():
            assert tasks is None or tasks[key].run >= run, (key, run)
    assert divided > 10, divided


@then("it knows each end that may have been acknowledged")
def _knows_ends(context):
    for _, done, tasks in context.outcomes:
        for key in done:
            assert tasks is None or tasks[key].phase is _Phase.DONE, key


@given("{count:d} transactions that are committed as one group")
def _group(context, count):
    context.limited_table = LimitedTable(1000, 100_000)
    context.transactions = [
        peridotsill_platform.Transaction(
            checks=(),
            writes=(peridotsill_platform.Write(key=f"t//{n}.", value={}),),
        )
        for n in range(count)
    ]
    context.group = peridotsill_platform.GroupCommitter(
        table=context.limited_table, threads=1
    )


@given("the table rejects {count:d} of them")
def _reject_some(context, count):
    context.limited_table.rejected_keys = tuple(
        f"//{number * 5 + 1}." for number in range(count)
    )


@when("the group is committed")
def _commit_group(context):
    context.outcomes = []
    threads = [
        threading.Thread(
            target=lambda each=each: context.outcomes.append(
                context.group.commit(each, 5.0)
            )
        )
        for each in context.transactions
    ]
    for thread in threads:
        thread.start()
    nodes.wait_for(
        lambda: sum(map(len, context.group._waiting.values())) == len(threads),
        5,
        "the transactions to wait",
    )
    context.group.start()
    for thread in threads:
        thread.join()
    context.group.stop()


@then("{done:d} transactions are done and {rejected:d} are rejected")
def _check_group(context, done, rejected):
    failures = [
        each.failure()
        for each in context.outcomes
        if isinstance(each, result.Failure)
    ]
    assert len(context.outcomes) - len(failures) == done, failures
    assert len(failures) == rejected
    assert all(
        isinstance(each, peridotsill_platform.exceptions.CommitRejected)
        for each in failures
    ), failures


_LONGEST_LEASE_SECONDS = 3.9


@given("waits for {count:d} runners of up to {seconds:d} s")
def _waits(context, count, seconds):
    draw = random.Random(count + seconds)
    context.waits = {
        f"i-{number:010x}": draw.uniform(0.0, seconds)
        for number in range(count)
    }


@when("they are handed over in a row of {size:d} bytes")
def _hand_over_waits(context, size):
    context.row_bytes = size
    context.fitting = _handed_over_waits.fit_waits(
        context.waits,
        max_bytes=size,
        longest_lease_seconds=_LONGEST_LEASE_SECONDS,
    )


def _wait_for(waits, runner):
    other = waits.get(_lease.OTHER_RUNNERS, _LONGEST_LEASE_SECONDS)
    return waits.get(runner, other)


@then("the row fits, and the next holder waits no shorter for any runner")
def _row_fits(context):
    row = {"holder": "n" * 200, "waits": context.fitting}
    assert len(peridotsill.encode(row)) <= context.row_bytes
    for runner in (*context.waits, "i-without-entry"):
        before = _wait_for(context.waits, runner)
        assert _wait_for(context.fitting, runner) >= before, runner


@then("it waits no longer for {count:d} runners at least")
def _waits_kept(context, count):
    kept = [
        runner
        for runner, seconds in context.waits.items()
        if _wait_for(context.fitting, runner) == seconds
    ]
    assert len(kept) >= count, len(kept)
