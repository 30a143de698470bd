"""Steps that compare the views of runners with a recount of their tasks."""

import random
import types

import attrs
from behave import given
from behave import then
from behave import when
from emulator import stubs
import hypothesis
from hypothesis import strategies

from peridotsill_jobs import _workers
import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", stretch=1.6, target_seconds=0.6
)


def _draw_job(rng, number):
    step = scheduler.Step(
        index=0,
        task_count=3,
        demand=scheduler.Resources(
            cores=rng.choice((0.1, 0.7, 1.3)), memory_mib=300.0
        ),
        long_lived=rng.random() < 0.2,
        fills=rng.random() < 0.2,
        tail_target_ms=rng.choice((0.0, 0.0, 5.0)),
    )
    spec = scheduler.JobSpec(
        id=f"j{number}", queue="q", payload="", steps=(step,)
    )
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    return job


def _place(rng, worker, jobs, now):
    job = rng.choice(jobs)
    task = rng.choice(job.tasks)
    task.run += 1
    worker.placed[(job.spec.id, task.key)] = _workers.PlacedTask(
        job=job, task=task, last_answered_at=now
    )


def _remove(rng, worker, jobs, now):
    if worker.placed:
        del worker.placed[rng.choice(tuple(worker.placed))]


def _abandon(rng, worker, jobs, now):
    if worker.placed:
        key = rng.choice(tuple(worker.placed))
        placed = worker.placed.pop(key)
        worker.abandoned[(*key, placed.run)] = placed


def _end_abandoned(rng, worker, jobs, now):
    if worker.abandoned:
        del worker.abandoned[rng.choice(tuple(worker.abandoned))]


def _lose_runs(rng, worker, jobs, now):
    worker.lose_runs(now)


def _change_crashes(rng, worker, jobs, now):
    task = rng.choice(rng.choice(jobs).tasks)
    crash = scheduler.Crash(
        runner="i-1", lifetime=1, host="h", run_seconds=0.4, certain=True
    )
    task.crashes = rng.choice(((), (), (crash,)))
    task.started_at = rng.choice((0.0, now - 0.3, now - 3.0))


def _change_entry(rng, worker, jobs, now):
    worker.entry = attrs.evolve(
        worker.entry,
        rack=rng.choice(("r", "r-2")),
        capacity=scheduler.Resources(
            cores=rng.choice((8.0, 16.0)), memory_mib=65536.0
        ),
    )


def _change_others(rng, worker, jobs, now):
    worker.avoided = rng.random() < 0.5
    worker.vm = rng.choice(("", "m-1"))
    worker.fleet_closed_reason = rng.choice(("", "to move"))


_CHANGES = (_place,) * 6 + (
    _remove,
    _remove,
    _abandon,
    _end_abandoned,
    _lose_runs,
    _change_crashes,
    _change_entry,
    _change_others,
)


def _recount(worker, now):
    """Return the view that is made from each of the tasks anew."""
    entry = worker.entry
    view = scheduler.VmView(
        runner=entry.id,
        lifetime=entry.lifetime,
        vm=worker.vm,
        pool=entry.pool,
        domain=entry.domain,
        rack=entry.rack,
        labels=entry.labels,
        capacity=entry.capacity,
        free=entry.capacity,
        closed_reason=worker.closed_reason(now),
        avoided=worker.avoided,
        made_at=now,
    )
    for placed in (*worker.placed.values(), *worker.abandoned.values()):
        view.reserve(placed.job.spec.id, placed.task)
    return view


def _check(worker, now):
    view = worker.view(now)
    assert attrs.asdict(view) == attrs.asdict(_recount(worker, now))
    # A round reserves its starts on the view.
    view.reserve("other", _some_task())
    view.closed_reason = "kept free"


def _some_task():
    """Return a task that a round may start on a view."""
    step = scheduler.Step(
        index=0, task_count=1, demand=scheduler.Resources(cores=0.3)
    )
    return scheduler.Task(occurrence=0, step=step, index=0)


@given("a drawn runner")
def _drawn_runner(context):
    context.seeds = strategies.integers(0, 2**32)


@when("its tasks and its entry change in drawn series")
def _change_runner(context):
    context.failures = []

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(context.seeds)
    def check(seed):
        rng = random.Random(seed)
        worker = _workers.Worker(
            entry=stubs.runner_entry("i-0"),
            link=types.SimpleNamespace(
                reached=True, refused=False, may_grant=True
            ),
        )
        jobs = [_draw_job(rng, number) for number in range(4)]
        now = 100.0
        for _ in range(rng.randint(1, 30)):
            rng.choice(_CHANGES)(rng, worker, jobs, now)
            now += rng.choice((0.0, 0.2))
            _check(worker, now)

    try:
        check()
    except AssertionError as error:
        context.failures.append(error)


@then("each view of it shows what a recount of its tasks gives")
def _check_views(context):
    if context.failures:
        raise context.failures[0]
