"""Steps for what decisions cost, in executed lines and not in time."""

import attrs
from behave import given
from behave import then
from behave import when
from emulator import executed_lines

import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", stretch=1.6, target_seconds=0.6
)
_NOW = 100.0


def _job(number, task_count):
    """Return a job of two steps, the second of which needs the first.

    Of its first step, half runs and half waits or is done.
    """
    half = task_count // 2
    demand = scheduler.Resources(cores=1.0)
    steps = (
        scheduler.Step(
            index=0, task_count=half, demand=demand, estimated_seconds=1.0
        ),
        scheduler.Step(
            index=1,
            task_count=half,
            demand=demand,
            estimated_seconds=1.0,
            after=(0,),
        ),
    )
    spec = scheduler.JobSpec(
        id=f"j{number}", queue="q", payload="", steps=steps
    )
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=_NOW - number % 4)
    scheduler.open_occurrences(job, 0.0)
    others = (scheduler.TaskPhase.WAITING, scheduler.TaskPhase.DONE)
    for task in job.tasks[: half // 2]:
        task.phase = scheduler.TaskPhase.RUNNING
    for task in job.tasks[half // 2 : half]:
        task.phase = others[number % 2]
    scheduler.refresh_state(job)
    return job


@given("a full pool, and open jobs some of which run and some wait")
def _full_pool(context):
    capacity = scheduler.Resources(cores=8.0, memory_mib=65536)
    context.vms = [
        scheduler.VmView(
            runner=f"i-{number}",
            lifetime=1,
            vm=f"m-{number}",
            pool="p",
            domain="z",
            rack="r",
            labels=frozenset(),
            capacity=capacity,
            free=attrs.evolve(capacity, cores=0.5),
        )
        for number in range(20)
    ]


def _decide(context, job_count, task_count, *, later=False):
    jobs = [_job(number, task_count) for number in range(job_count)]
    estimator = scheduler.Estimator()
    for _ in range(20):
        estimator.record_task("q", 1.5)

    def decide():
        scheduler.pool_demand(jobs, scheduler.ArrivalRates(), _NOW, estimator)
        starts = scheduler.plan_starts(
            policy="payoff_density",
            jobs=jobs,
            vms=context.vms,
            now=_NOW,
            estimator=estimator,
        )
        assert not starts, starts

    if later:
        decide()
        estimator.record_task("q", 1.0)
    return executed_lines.count(decide)


@when("decisions are made with 20 jobs of 16 tasks, and of 160")
def _decide_more_tasks(context):
    context.counts = [_decide(context, 20, count) for count in (16, 160)]


@when("decisions are made with 20 jobs of 16 tasks, and with 200")
def _decide_more_jobs(context):
    context.counts = [_decide(context, count, 16) for count in (20, 200)]


@when("later decisions are made with 20 jobs of 16 tasks, and with 200")
def _decide_again(context):
    context.counts = [
        _decide(context, count, 16, later=True) for count in (20, 200)
    ]


def _describe(counts):
    largest = sorted(counts.items(), key=lambda each: -each[1])[:6]
    return f"{sum(counts.values())} lines: {largest}"


@then("the second one executes no more lines than the first")
def _check_same(context):
    first, second = context.counts
    assert first and sum(second.values()) <= sum(first.values()), (
        f"{_describe(first)}, then {_describe(second)}"
    )


@then("each further job adds at most {most:d} executed lines")
def _check_slope(context, most):
    first, second = context.counts
    per_job = (sum(second.values()) - sum(first.values())) / 180
    assert first and per_job <= most, (
        f"{per_job:.1f} a job; {_describe(first)}, then {_describe(second)}"
    )
