"""Steps on the occurrences of jobs that are run several times."""

import random

import attrs
from behave import given
from behave import then
from behave import when
import peridotsill

from peridotsill_jobs import _records
import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_FIRST_MS = 1_796_537_597_000.0
_SEED = 51
_STEPS = (
    scheduler.Step(index=0, task_count=2),
    scheduler.Step(index=1, task_count=1, after=(0,)),
)


def _make_job(times, period_ms, first_ms=_FIRST_MS):
    spec = scheduler.JobSpec(
        id="j",
        queue="q",
        payload="",
        steps=_STEPS,
        first_due_ms=first_ms,
        period_ms=period_ms,
        occurrences=times,
    )
    return scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0)


def _due_ms(job, occurrence):
    return job.spec.first_due_ms + occurrence * job.spec.period_ms


def _complete_tasks(job):
    for task in job.tasks:
        task.run, task.runner, task.lifetime = 1, "i-1", 1
        task.phase = scheduler.TaskPhase.DONE


def _restore(job):
    row = peridotsill.Row(
        key=_records.row_key(_records.PROGRESS, "q", "j"),
        value=peridotsill.decode_plain(
            peridotsill.encode(_records.progress_value(job, 1))
        ),
        version=7,
    )
    restored = scheduler.Job(spec=job.spec, queue=_QUEUE, arrived_at=0.0)
    _records.restore_progress(restored, row)
    return restored


def _describe(job):
    return [
        (task.key, str(task.phase), task.run, task.runner)
        for task in job.tasks
    ]


@given("a job of {times:d} occurrences with a period of {period:g} ms")
def _periodic_job(context, times, period):
    context.job = _make_job(times, period)


@when("its row is written once {opened:d} of them are due and done")
def _write_row(context, opened):
    job = context.job
    scheduler.open_occurrences(job, _due_ms(job, opened - 1))
    assert job.opened_count == opened, job.opened_count
    _complete_tasks(job)


@when("the next scheduler reads the row")
def _read_row(context):
    context.restored = _restore(context.job)


@then("all tasks of the {opened:d} occurrences are done, as before")
def _all_done(context, opened):
    assert context.restored.opened_count == opened
    assert _describe(context.restored) == _describe(context.job)
    assert not context.restored.tally.counts.unfinished


@then("{left:d} more occurrences are due in time")
def _more_due(context, left):
    job = context.restored
    for _ in range(left):
        due_ms = job.next_due_ms
        assert due_ms == _due_ms(job, job.opened_count), due_ms
        assert scheduler.open_occurrences(job, due_ms)
    assert job.next_due_ms == float("inf")


def _draw_jobs(count):
    generator = random.Random(_SEED)
    for _ in range(count):
        period_ms = generator.choice(
            (
                0.0,
                generator.uniform(1e-6, 1.0),
                generator.uniform(1.0, 5000.0),
                float(generator.randrange(1, 5000)),
            )
        )
        first_ms = generator.choice(
            (0.0, 1.0, _FIRST_MS, _FIRST_MS + generator.random())
        )
        yield (
            generator,
            _make_job(generator.randrange(1, 200), period_ms, first_ms),
        )


@when("the rows of {count:d} drawn jobs are restored")
def _restore_drawn(context, count):
    context.pairs = []
    for generator, job in _draw_jobs(count):
        last = generator.randrange(job.spec.occurrences)
        scheduler.open_occurrences(job, _due_ms(job, last))
        _complete_tasks(job)
        context.pairs.append((job, _restore(job)))


@then("each job has the tasks that it had")
def _same_tasks(context):
    for job, restored in context.pairs:
        assert _describe(restored) == _describe(job), attrs.asdict(job.spec)


@when(
    "{count:d} drawn jobs are asked for what is due at and just before a due "
    "time"
)
def _ask_drawn(context, count):
    context.openings = []
    for generator, job in _draw_jobs(count):
        due_ms = _due_ms(job, generator.randrange(job.spec.occurrences))
        for now_ms in (due_ms, due_ms - 1e-3):
            asked = scheduler.Job(spec=job.spec, queue=_QUEUE, arrived_at=0.0)
            scheduler.open_occurrences(asked, now_ms)
            context.openings.append((asked, now_ms))


@then("each has opened the occurrences that are due, and no more")
def _opened_as_due(context):
    for job, now_ms in context.openings:
        expected = sum(
            _due_ms(job, each) <= now_ms
            for each in range(job.spec.occurrences)
        )
        assert job.opened_count == expected, (job.spec, now_ms)
        assert job.next_due_ms > now_ms
