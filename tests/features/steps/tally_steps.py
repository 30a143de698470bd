"""Steps that compare the counts of a job's tasks with a recount of them."""

import collections
import random

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import peridotsill

from peridotsill_jobs import _records
import peridotsill_scheduler as scheduler
from peridotsill_scheduler import _estimates

_NOW = 100.0
_PERIOD_MS = 1000.0
_QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", stretch=1.6, target_seconds=0.6
)
_Phase = scheduler.TaskPhase
_State = scheduler.JobState


def _draw_job(rng):
    steps = tuple(
        scheduler.Step(
            index=index,
            task_count=rng.randint(1, 4),
            demand=scheduler.Resources(cores=rng.choice((0.7, 1.1, 2.3))),
            estimated_seconds=rng.choice((0.3, 1.0)),
            after=tuple(each for each in range(index) if rng.random() < 0.5),
            long_lived=rng.random() < 0.15,
            fills=rng.random() < 0.15,
        )
        for index in range(rng.randint(1, 4))
    )
    occurrences = rng.choice((0, 0, 3))
    spec = scheduler.JobSpec(
        id="j",
        queue="q",
        payload="",
        steps=steps,
        occurrences=occurrences,
        period_ms=_PERIOD_MS if occurrences else 0.0,
    )
    job = scheduler.Job(
        spec=spec, queue=_QUEUE, arrived_at=_NOW - rng.uniform(0.0, 4.0)
    )
    scheduler.open_occurrences(job, 0.0)
    return job


def _crash(rng):
    return scheduler.Crash(
        runner="i-0",
        lifetime=1,
        host="h",
        run_seconds=rng.choice((0.01, 0.4)),
        certain=True,
    )


def _change_phase(rng, job, former_tasks):
    task = rng.choice(job.tasks)
    task.run += 1
    task.phase = rng.choice(tuple(_Phase))
    task.not_before = rng.choice((0.0, 0.0, _NOW + 1.0))


def _finish_step(rng, job, former_tasks):
    step = rng.choice(job.spec.steps)
    for task in scheduler.tasks_of(job, 0, step.index):
        task.run += 1
        task.phase = _Phase.DONE


def _change_crashes(rng, job, former_tasks):
    task = rng.choice(job.tasks)
    task.crashes = rng.choice(((), (*task.crashes, _crash(rng))))


def _open(rng, job, former_tasks):
    scheduler.open_occurrences(job, rng.uniform(0.0, 3.0) * _PERIOD_MS)


def _reread(rng, job, former_tasks):
    former_tasks += job.tasks
    row = peridotsill.Row(
        key="k", value=_records.progress_value(job, 1), version=2
    )
    _records.restore_progress(job, row)


def _change_former(rng, job, former_tasks):
    """Change a task that the job no longer has, as a late answer may."""
    if former_tasks:
        rng.choice(former_tasks).phase = rng.choice(tuple(_Phase))


def _refresh(rng, job, former_tasks):
    expected = _derive_state(job) if not job.final else job.state
    scheduler.refresh_state(job)
    assert job.state is expected, (job.state, expected)


def _cancel(rng, job, former_tasks):
    if rng.random() < 0.2:
        job.state = _State.CANCELLED


_CHANGES = (_change_phase,) * 6 + (
    _finish_step,
    _change_crashes,
    _open,
    _reread,
    _change_former,
    _refresh,
    _cancel,
)


# What was computed from all tasks before they were counted.


def _derive_state(job):
    phases = {task.phase for task in job.tasks}
    if _Phase.FAILED in phases:
        return _State.FAILED
    all_opened = job.opened_count >= max(1, job.spec.occurrences)
    if all_opened and job.tasks and phases == {_Phase.DONE}:
        return _State.COMPLETED
    if job.state is _State.RUNNING or phases - {_Phase.WAITING}:
        return _State.RUNNING
    return _State.QUEUED


def _ready_tasks(job):
    if job.final:
        return []
    unfinished = {
        (task.occurrence, task.step.index)
        for task in job.tasks
        if task.phase is not _Phase.DONE
    }
    return [
        task
        for task in job.tasks
        if task.phase is _Phase.WAITING
        and task.not_before <= _NOW
        and not any(
            (task.occurrence, predecessor) in unfinished
            for predecessor in task.step.after
        )
    ]


def _count_unfinished(job):
    return collections.Counter(
        task.step.index for task in job.tasks if task.phase is not _Phase.DONE
    )


def _remaining_work(job, estimator):
    unfinished = _count_unfinished(job)
    return sum(
        unfinished[step.index]
        * step.demand.cores
        * estimator.task_seconds("q", step)
        for step in job.spec.steps
    )


def _remaining_path(job, estimator):
    unfinished = _count_unfinished(job)
    ends = {}
    for step in job.spec.steps:
        start = max((ends.get(each, 0.0) for each in step.after), default=0.0)
        seconds = 0.0
        if unfinished[step.index]:
            seconds = estimator.task_seconds("q", step)
        ends[step.index] = start + seconds
    return max(ends.values(), default=0.0)


def _demand(job, estimator):
    objective = scheduler.objective_seconds(job, estimator)
    in_time = not job.final and _NOW - job.arrived_at < objective
    long_lived = running = waiting = ready = late_ready = 0.0
    unfinished = {
        task.step.index for task in job.tasks if task.phase is not _Phase.DONE
    }
    for step in job.spec.steps:
        phases = collections.Counter(
            task.phase for task in job.tasks if task.step.index == step.index
        )
        active = sum(phases[phase] for phase in scheduler.ACTIVE_PHASES)
        cores = step.reserved.cores
        if step.long_lived:
            count = active if job.final else sum(phases.values())
            long_lived += cores * count
            continue
        running += cores * active
        if in_time:
            seconds = estimator.task_seconds("q", step)
            waiting += cores * seconds * phases[_Phase.WAITING]
        if unfinished.isdisjoint(step.after) and not job.final:
            if in_time:
                ready += cores * phases[_Phase.WAITING]
            else:
                late_ready += cores * phases[_Phase.WAITING]
    return scheduler.PoolDemand(
        long_lived=long_lived,
        running=running,
        rate=0.0,
        waiting=waiting,
        late_running=0.0 if in_time else running,
        ready=ready,
        late_ready=late_ready,
    )


def _check(job, estimator):
    assert scheduler.ready_tasks(job, _NOW) == _ready_tasks(job)
    assert scheduler.remaining_work(job, estimator) == _remaining_work(
        job, estimator
    )
    assert scheduler.critical_path_seconds(
        job, estimator, only_remaining=True
    ) == _remaining_path(job, estimator)
    assert _estimates.outlook(job, estimator) == _estimates.Outlook(
        objective=scheduler.objective_seconds(job, estimator),
        remaining_path=_remaining_path(job, estimator),
        work=scheduler.job_work(job, estimator),
        remaining_work=_remaining_work(job, estimator),
    )
    demand = scheduler.pool_demand(
        [job], scheduler.ArrivalRates(), _NOW, estimator
    )
    assert demand == _demand(job, estimator), (
        attrs.asdict(demand),
        attrs.asdict(_demand(job, estimator)),
    )
    counts = job.tally.counts
    active = sum(task.active for task in job.tasks)
    assert counts.active == active and counts.total == len(job.tasks), counts
    suspects = any(task.crashes for task in job.tasks)
    assert job.tally.has_suspects == suspects
    for step in job.spec.steps:
        for occurrence in range(4):
            assert scheduler.tasks_of(job, occurrence, step.index) == [
                task
                for task in job.tasks
                if task.occurrence == occurrence and task.step is step
            ]


@given("drawn jobs of several steps, some of them periodic")
def _drawn_jobs(context):
    context.seeds = strategies.integers(0, 2**32)


@when("drawn series of changes are made to their tasks")
def _change_tasks(context):
    context.failures = []

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(context.seeds)
    def check(seed):
        rng = random.Random(seed)
        job = _draw_job(rng)
        estimator = scheduler.Estimator()
        for _ in range(rng.choice((0, 20))):
            estimator.record_task("q", rng.uniform(0.2, 2.0))
        former_tasks = []
        _check(job, estimator)
        for _ in range(rng.randint(1, 30)):
            rng.choice(_CHANGES)(rng, job, former_tasks)
            _check(job, estimator)

    try:
        check()
    except AssertionError as error:
        context.failures.append(error)


@then("what is derived from the counts is what a recount gives")
def _check_recount(context):
    if context.failures:
        raise context.failures[0]
