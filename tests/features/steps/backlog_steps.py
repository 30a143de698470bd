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


def _job(number, task_count, cores=1.0):
    """Return a job of two steps, the second of which needs the first.

    Of its first step, half runs and half waits or is done.
    """
    half = task_count // 2
    demand = scheduler.Resources(cores=cores)
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
    context.cores = 1.0
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


def _decide(
    context, job_count, task_count, *, later=False, policy=None, large=()
):
    jobs = [*large]
    jobs += [
        _job(number, task_count, context.cores) for number in range(job_count)
    ]
    estimator = scheduler.Estimator()
    for _ in range(20):
        estimator.record_task("q", 1.5)

    placement = None
    if policy is not None:
        placement = scheduler.Placement(
            policy=policy,
            memory=scheduler.ReservationMemory(),
            runs_of=context.runs_of,
        )
        # Capacity is reserved in a round before the others arrive.
        _plan(context, large, estimator, placement)

    for vm in context.vms:
        vm.closed_reason = ""

    def decide():
        scheduler.pool_demand(jobs, scheduler.ArrivalRates(), _NOW, estimator)
        starts = _plan(context, jobs, estimator, placement)
        # In "immediate", what is reserved otherwise is used.
        assert not starts or policy == "immediate", starts

    if later:
        decide()
        estimator.record_task("q", 1.0)
    return executed_lines.count(decide)


def _plan(context, jobs, estimator, placement):
    return scheduler.plan_starts(
        policy="payoff_density",
        jobs=jobs,
        vms=context.vms,
        now=_NOW,
        estimator=estimator,
        placement=placement,
    )


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


@given("none of the jobs is large")
def _none_large(context):
    # The place of one run is enough for any job.
    context.runs_of = _runs_of(7.5)
    context.large = []


def _runs_of(cores):
    """Return a function that fills a VM with runs of so many cores."""
    job = _sized_job("running", cores)
    run = scheduler.ActiveRun(
        job=job, task=job.tasks[0], started_at=_NOW - 0.5
    )
    return lambda vm: [run] * int((8.0 - vm.free.cores) / cores)


def _sized_job(name, cores):
    step = scheduler.Step(
        index=0,
        task_count=1,
        demand=scheduler.Resources(cores=cores),
        estimated_seconds=0.6,
    )
    spec = scheduler.JobSpec(id=name, queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=_NOW - 1.0)
    scheduler.open_occurrences(job, 0.0)
    return job


@given("one of the jobs is large")
def _one_large(context):
    context.runs_of = _runs_of(0.9)
    context.large = [_sized_job("large", 7.0)]


@given("all of the jobs are large")
def _all_large(context):
    context.cores = 2.0
    context.runs_of = _runs_of(0.9)
    context.large = []


@given("room is reserved that no other job leaves in time")
def _reserved_room(context):
    _one_large(context)
    # Only on the VM that the reservation is on, the first of them.
    context.vms[0].free = attrs.evolve(context.vms[0].free, cores=3.0)


@when("decisions are made by both policies with 20 jobs of 16 tasks, and 200")
def _decide_by_both(context):
    context.counts_by_policy = {}
    free = [vm.free for vm in context.vms]
    for policy in ("immediate", "reserving"):
        counts = []
        for job_count in (20, 200):
            for vm, room in zip(context.vms, free):
                vm.free = room
                vm.closed_reason = ""
            counts.append(
                _decide(
                    context,
                    job_count,
                    16,
                    policy=policy,
                    large=context.large,
                )
            )
        context.counts_by_policy[policy] = counts


@then(
    '"reserving" adds at most {most:d} executed lines for each further '
    "one that waits"
)
def _check_added(context, most):
    # Every other job waits.
    per_job = {
        policy: (sum(second.values()) - sum(first.values())) / 90
        for policy, (first, second) in context.counts_by_policy.items()
    }
    added = per_job["reserving"] - per_job["immediate"]
    described = _describe(context.counts_by_policy["reserving"][1])
    assert added <= most, f"{per_job}; {described}"
