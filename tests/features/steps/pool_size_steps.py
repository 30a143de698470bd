"""Steps on what pools need, and on VMs that go back to standby pools."""

import attrs
import behave
import hypothesis
from hypothesis import strategies

import peridotsill_scheduler as scheduler

_VM_CORES = 17.0
# A VM's cores that tasks of uneven sizes can use; each needed VM has as many.
_USABLE_CORES = 14.45


def _job(steps, phase=scheduler.TaskPhase.WAITING):
    job = scheduler.Job(
        spec=scheduler.JobSpec(id="j", queue="q", payload="", steps=steps),
        queue=scheduler.Queue(
            name="q", host="", prefix="/", pool="a", target_seconds=60.0
        ),
        arrived_at=100.0,
    )
    scheduler.open_occurrences(job, 0.0)
    for task in job.tasks:
        if task.step.index == 0:
            task.phase = phase
    return job


def _step(index, count, seconds, after=()):
    return scheduler.Step(
        index=index,
        task_count=count,
        demand=scheduler.Resources(cores=2.0),
        estimated_seconds=seconds,
        after=after,
    )


def _demand(job):
    return scheduler.pool_demand(
        [job], scheduler.ArrivalRates(), 100.0, scheduler.Estimator()
    )


@behave.given(
    "{count:d} running tasks of 2 cores whose jobs have a second step of "
    "{second:d} tasks"
)
def _two_steps(context, count, second):
    steps = (_step(0, count, 1.0), _step(1, second, 1.0, after=(0,)))
    context.demand = _demand(_job(steps, scheduler.TaskPhase.RUNNING))


@behave.given("{count:d} waiting tasks of 2 cores that run for {seconds:d} s")
def _backlog(context, count, seconds):
    context.demand = _demand(_job((_step(0, count, float(seconds)),)))


@behave.then("the pool's work can use {cores:d} cores")
def _check_usable(context, cores):
    assert context.demand.usable_cores == cores, context.demand


@behave.given("a rate of {rate:d} cores for 4 s, and of 1 for 12 s")
def _earlier_peak(context, rate):
    context.history = scheduler.ArrivalHistory()
    context.now, context.seconds = 0.0, 1.0
    for seconds, cores in ((4.0, rate), (12.0, 1)):
        _arrive(context, cores, seconds)


@behave.given("jobs of {seconds:d} s that arrive at a rate of {rate:d} cores")
def _long_jobs(context, seconds, rate):
    context.history = scheduler.ArrivalHistory()
    context.now, context.seconds = 0.0, float(seconds)


@behave.when("a rate of {rate:d} cores has lasted for 1.5 s")
def _rise(context, rate):
    _arrive(context, rate, 1.5)
    context.demand = scheduler.pool_demand(
        [], context.history.rates(context.now), 0.0, scheduler.Estimator()
    )


def _arrive(context, cores, seconds):
    for _ in range(round(seconds / 0.1)):
        context.now += 0.1
        context.history.record(
            scheduler.Arrival(
                at=context.now, work=cores * 0.1, seconds=context.seconds
            )
        )
        context.history.rates(context.now)


@behave.then("the pool's work can use at most {cores:d} cores")
def _check_bound(context, cores):
    assert context.demand.usable_cores <= cores, context.demand


def _pool(name, size, idle, need, *, standby=False):
    return scheduler.PoolSupply(
        name=name,
        standby=standby,
        size=size,
        idle=tuple(f"{name}{number}" for number in range(idle)),
        vm_cores=_VM_CORES,
        demand=scheduler.PoolDemand(
            long_lived=0.0,
            running=need * _USABLE_CORES * 0.999,
            rate=float(need > 0),
            waiting=0.0,
        ),
    )


@behave.given(
    'pool "{name}" with {size:d} VMs, {idle:d} of them idle, that needs '
    "{need:d}"
)
def _add_pool(context, name, size, idle, need):
    context.pools = [
        *getattr(context, "pools", ()),
        _pool(**{"name": name, "size": size, "idle": idle, "need": need}),
    ]


@behave.given(
    'pool "{name}" with {size:d} VMs, {idle:d} of them idle, whose late jobs '
    "need {need:d}"
)
def _add_late_pool(context, name, size, idle, need):
    pool = _pool(name, size, idle, 0)
    late_ready = need * _USABLE_CORES * 0.999
    demand = attrs.evolve(pool.demand, rate=1.0, late_ready=late_ready)
    context.pools = [attrs.evolve(pool, demand=demand)]


@behave.given("a standby pool with {size:d} VMs")
def _add_standby(context, size):
    context.pools.append(_pool("standby", size, size, 0, standby=True))


@behave.when("VMs are moved for what work can use")
def _move(context):
    context.moves = scheduler.plan_moves("usable", context.pools)


@behave.when("the need has been the same for {seconds:d} s")
def _return(context, seconds):
    context.moves = _returns(context.pools, seconds)


def _returns(pools, seconds):
    history = scheduler.NeedHistory()
    for tick in range(seconds * 5):
        moves = scheduler.plan_returns("unneeded", pools, history, tick * 0.2)
        if moves:
            return moves
    return []


@behave.when("the need has been known for 10 s, then nothing ran for 10 s")
def _gap(context):
    context.history = scheduler.NeedHistory()
    silent = [
        attrs.evolve(
            pool, demand=attrs.evolve(pool.demand, rate=0.0, running=0.0)
        )
        for pool in context.pools
    ]
    for tick in range(100):
        pools = context.pools if tick < 50 else silent
        scheduler.plan_returns("unneeded", pools, context.history, tick * 0.2)


@behave.then("the first job afterwards returns no VM")
def _check_after_gap(context):
    moves = scheduler.plan_returns(
        "unneeded", context.pools, context.history, 20.0
    )
    assert not moves, moves


@behave.when("a job of 36000 s arrives, then 5000 jobs of 1 s in 500 s")
def _long_job_first(context):
    context.history = scheduler.ArrivalHistory()
    context.history.record(scheduler.Arrival(at=0.0, work=1.0, seconds=36e3))
    for number in range(5000):
        at = number * 0.1
        arrival = scheduler.Arrival(at=at, work=1.0, seconds=1.0)
        context.history.record(arrival)
        context.history.rates(at)


@behave.then("at most {count:d} arrivals are kept")
def _check_kept(context, count):
    assert len(context.history._arrivals) <= count


@behave.then('{count:d} VMs move from "{source}" to "{target}"')
def _check_moves(context, count, source, target):
    assert len(context.moves) == count, context.moves
    assert {(each.source, each.target) for each in context.moves} == {
        (source, target)
    }, context.moves


@behave.then('{count:d} VMs move from "{source}" to standby')
def _check_returns(context, count, source):
    _check_moves(context, count, source, "standby")


@behave.then("no VM moves to standby")
def _check_no_return(context):
    assert not context.moves, context.moves


@behave.then("drawn returns leave each pool its need, and take idle VMs only")
def _check_drawn_returns(context):
    numbers = strategies.integers(0, 40)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(numbers, numbers, numbers),
            min_size=1,
            max_size=5,
        )
    )
    def check(drawn):
        pools = [
            _pool(f"p{position}-", max(size, idle), idle, need)
            for position, (size, idle, need) in enumerate(drawn)
        ]
        moves = _returns([*pools, _pool("s", 3, 3, 0, standby=True)], 4)
        for pool in pools:
            taken = [each.vm for each in moves if each.source == pool.name]
            assert set(taken) <= set(pool.idle) and len(taken) == len(
                set(taken)
            ), (taken, pool)
            if taken:
                left = pool.size - len(taken)
                need = pool.demand.usable_cores / _USABLE_CORES
                assert left >= need, (left, need)

    check()
