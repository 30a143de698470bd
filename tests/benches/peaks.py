"""Simulates lending and order policies under peaks that rotate over pools.

The decisions are those of `peridotsill_scheduler`; VMs, tasks and arrivals are
simulated on a virtual clock, without a network. All random numbers derive from
one seed, so that every policy gets the same jobs.
"""

import collections.abc
import math

import attrs
import numpy

import peridotsill_scheduler as scheduler

POOLS = ("a", "b", "c", "d")
STANDBY = "standby"
VMS_PER_POOL = 6
VM_CORES = 32.0
VM_MEMORY_MIB = 131072.0
# A VM that moves to another pool is unusable for this long, as on the users'
# platform.
MOVE_SECONDS = 1.5
# A busy VM may be cleared if its tasks are expected to end within this time;
# the fleet of `peridotsill_jobs` uses the same limit.
MAX_CLEAR_SECONDS = 1.5
TRAFFIC_SECONDS = 32.0
# Jobs may go on for this long after the last arrivals.
DRAIN_SECONDS = 12.0
TICK_SECONDS = 0.1
LENDING_PERIOD_SECONDS = 0.2
# Load of a pool outside its peaks, as a multiple of its own cores.
_OFF_PEAK_LOAD = 0.1
_FIXED_PAYOFF_SHARE = 0.3
# Share of the payoff of a late job that takes up to three objectives.
_LATE_PAYOFF_SHARE = 0.5
_SEED = 735

# Returns a pool's load at a time, as a multiple of the cores of its own VMs.
LoadCurve = collections.abc.Callable[[int, float], float]
_load_curves: dict[str, LoadCurve] = {}


def load_curve(name: str) -> collections.abc.Callable[[LoadCurve], LoadCurve]:
    """Return a decorator that registers a load curve."""

    def register(function: LoadCurve) -> LoadCurve:
        _load_curves[name] = function
        return function

    return register


@load_curve("turns of 8 s, twice a pool")
def _rotating_peak(pool: int, now: float) -> float:
    return 2.0 if int(now // 8.0) % len(POOLS) == pool else _OFF_PEAK_LOAD


@load_curve("turns of 4 s, twice a pool")
def _short_rotating_peak(pool: int, now: float) -> float:
    return 2.0 if int(now // 4.0) % len(POOLS) == pool else _OFF_PEAK_LOAD


@load_curve("turns of 8 s, five times a pool")
def _high_rotating_peak(pool: int, now: float) -> float:
    return 5.0 if int(now // 8.0) % len(POOLS) == pool else _OFF_PEAK_LOAD


# The pool that has the peak in each turn of "turns in no order".
_RANDOM_PEAK_POOLS = numpy.random.default_rng(_SEED).integers(
    0, len(POOLS), 64
)


@load_curve("turns in no order")
def _randomly_ordered_peak(pool: int, now: float) -> float:
    return (
        2.0 if _RANDOM_PEAK_POOLS[int(now // 5.0)] == pool else _OFF_PEAK_LOAD
    )


@load_curve("humps of 8 s, four times a pool")
def _humps(pool: int, now: float) -> float:
    if int(now // 8.0) % len(POOLS) != pool:
        return _OFF_PEAK_LOAD
    return max(_OFF_PEAK_LOAD, 4.0 * math.sin(math.pi * (now % 8.0) / 8.0))


@load_curve("no turns")
def _steady(pool: int, now: float) -> float:
    return 0.5


def load_names() -> tuple[str, ...]:
    """Return the names of the load curves."""
    return tuple(_load_curves)


@attrs.define(kw_only=True, eq=False)
class _Run:
    job: scheduler.Job
    task: scheduler.Task
    started_at: float
    ends_at: float


@attrs.define(kw_only=True, eq=False)
class _Vm:
    name: str
    pool: str
    available_at: float = 0.0
    moving_to: str = ""
    runs: list[_Run] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Outcome:
    """Result of a lending and an order policy under a load.

    ``earned`` is the share of the total payoff; ``in_time`` and ``late``
    are shares of the jobs. ``paid_vm_seconds`` leaves out VMs in standby.
    """

    load: str
    lending: str
    order: str
    jobs: int
    earned: float
    in_time: float
    late: float
    moves: int
    paid_vm_seconds: int


def measure(
    load: str,
    lending: str,
    order: str,
    *,
    seconds: float = TRAFFIC_SECONDS,
) -> Outcome:
    """Simulate a load curve under a lending and an order policy."""
    return _Simulation(
        load=load, lending=lending, order=order, seconds=seconds
    ).run()


class _Simulation:
    def __init__(
        self, *, load: str, lending: str, order: str, seconds: float
    ) -> None:
        self._traffic_seconds = seconds
        self._load = load
        self._lending = lending
        self._order = order
        self._random = numpy.random.default_rng(_SEED)
        self._estimator = scheduler.Estimator()
        self._true_run_seconds: dict[tuple[str, int], float] = {}
        self._vms = [
            _Vm(name=f"{pool}{number}", pool=pool)
            for pool in (*POOLS, STANDBY)
            for number in range(VMS_PER_POOL)
        ]
        self._jobs: list[scheduler.Job] = []
        self._open_jobs: list[scheduler.Job] = []
        self._end_times: dict[str, float] = {}
        self._arrivals = {
            pool: scheduler.ArrivalHistory() for pool in (*POOLS, STANDBY)
        }
        self._moves = 0
        self._paid_vm_seconds = 0.0
        self._mean_work = self._sample_mean_work()

    def run(self) -> Outcome:
        now = 0.0
        next_lending = 0.0
        while now < self._traffic_seconds + DRAIN_SECONDS:
            self._end_runs(now)
            if now < self._traffic_seconds:
                self._draw_arrivals(now)
                paid_vms = sum(vm.pool != STANDBY for vm in self._vms)
                self._paid_vm_seconds += paid_vms * TICK_SECONDS
            elif not self._open_jobs:
                break
            self._move_emptied_vms(now)
            self._start_tasks(now)
            if now >= next_lending:
                next_lending = now + LENDING_PERIOD_SECONDS
                self._plan_lending(now)
            now = round(now + TICK_SECONDS, 6)
        return self._outcome()

    def _sample_mean_work(self) -> float:
        generator = numpy.random.default_rng(_SEED + 1)
        steps = [self._draw_steps(generator) for _ in range(400)]
        job_works = [
            sum(s.task_count * s.demand.cores * t for s, t in each)
            for each in steps
        ]
        return float(numpy.mean(job_works))

    def _draw_steps(
        self, generator: numpy.random.Generator
    ) -> list[tuple[scheduler.Step, float]]:
        """Draw a chain of steps, each with the true run time of its tasks."""
        steps = []
        for index in range(int(generator.integers(1, 4))):
            seconds = float(generator.lognormal(-0.6, 0.5))
            declared = seconds * float(generator.choice((0.5, 1.0, 2.0)))
            step = scheduler.Step(
                index=index,
                task_count=int(generator.integers(2, 13)),
                demand=scheduler.Resources(
                    cores=float(generator.choice((0.5, 1.0, 2.0, 4.0))),
                    memory_mib=512.0,
                ),
                estimated_seconds=declared,
                after=(index - 1,) if index else (),
            )
            steps.append((step, seconds))
        return steps

    def _draw_arrivals(self, now: float) -> None:
        own_cores = VMS_PER_POOL * VM_CORES
        for number, pool in enumerate(POOLS):
            cores = _load_curves[self._load](number, now) * own_cores
            mean = cores / self._mean_work * TICK_SECONDS
            for _ in range(int(self._random.poisson(mean))):
                self._submit(pool, now)

    def _submit(self, pool: str, now: float) -> None:
        drawn = self._draw_steps(self._random)
        job_id = f"{len(self._jobs):08d}"
        queue = scheduler.Queue(
            name=pool,
            host="h",
            prefix="/",
            pool=pool,
            stretch=2.0,
            target_seconds=0.8,
        )
        spec = scheduler.JobSpec(
            id=job_id,
            queue=pool,
            payload="",
            steps=tuple(step for step, _ in drawn),
        )
        job = scheduler.Job(spec=spec, queue=queue, arrived_at=now)
        scheduler.open_occurrences(job, 0.0)
        for step, seconds in drawn:
            self._true_run_seconds[(job_id, step.index)] = seconds
        self._jobs.append(job)
        self._open_jobs.append(job)
        self._arrivals[pool].record(scheduler.arrival_of(job, self._estimator))

    def _end_runs(self, now: float) -> None:
        for vm in self._vms:
            for run in [each for each in vm.runs if each.ends_at <= now]:
                vm.runs.remove(run)
                run.task.phase = scheduler.TaskPhase.DONE
                self._estimator.record_task(
                    run.job.spec.queue, run.ends_at - run.started_at
                )
                scheduler.refresh_state(run.job)
                if run.job.final:
                    self._end_times[run.job.spec.id] = run.ends_at
                    self._open_jobs.remove(run.job)

    def _start_tasks(self, now: float) -> None:
        for pool in POOLS:
            views = {
                vm.name: self._view(vm)
                for vm in self._vms
                if vm.pool == pool
                and vm.available_at <= now
                and not vm.moving_to
            }
            starts = scheduler.plan_starts(
                policy=self._order,
                jobs=[
                    job for job in self._open_jobs if job.spec.queue == pool
                ],
                vms=list(views.values()),
                now=now,
                estimator=self._estimator,
            )
            by_name = {vm.name: vm for vm in self._vms}
            for start in starts:
                start.task.phase = scheduler.TaskPhase.RUNNING
                start.task.started_at = now
                key = (start.job.spec.id, start.task.step.index)
                by_name[start.vm.vm].runs.append(
                    _Run(
                        job=start.job,
                        task=start.task,
                        started_at=now,
                        ends_at=now + self._true_run_seconds[key],
                    )
                )

    def _view(self, vm: _Vm) -> scheduler.VmView:
        capacity = scheduler.Resources(
            cores=VM_CORES, memory_mib=VM_MEMORY_MIB
        )
        view = scheduler.VmView(
            runner=vm.name,
            lifetime=1,
            vm=vm.name,
            pool=vm.pool,
            domain="z",
            rack="r",
            labels=frozenset(),
            capacity=capacity,
            free=capacity,
        )
        for run in vm.runs:
            view.reserve(run.job.spec.id, run.task)
        return view

    def _plan_lending(self, now: float) -> None:
        supplies = [self._supply(pool, now) for pool in (*POOLS, STANDBY)]
        by_name = {vm.name: vm for vm in self._vms}
        for move in scheduler.plan_moves(self._lending, supplies):
            by_name[move.vm].moving_to = move.target
        self._move_emptied_vms(now)

    def _move_emptied_vms(self, now: float) -> None:
        for vm in self._vms:
            if vm.moving_to and not vm.runs:
                vm.pool, vm.moving_to = vm.moving_to, ""
                vm.available_at = now + MOVE_SECONDS
                self._moves += 1

    def _seconds_left(self, run: _Run, now: float) -> float:
        return scheduler.remaining_run_seconds(
            run.job, run.task, self._estimator, now
        )

    def _supply(self, pool: str, now: float) -> scheduler.PoolSupply:
        members = [vm for vm in self._vms if (vm.moving_to or vm.pool) == pool]
        available_vms = [
            vm for vm in members if vm.available_at <= now and not vm.moving_to
        ]
        seconds_to_idle = {
            vm.name: max(self._seconds_left(run, now) for run in vm.runs)
            for vm in available_vms
            if vm.runs
        }
        clearable = [
            name
            for name, left in seconds_to_idle.items()
            if left < MAX_CLEAR_SECONDS
        ]
        return scheduler.PoolSupply(
            name=pool,
            standby=pool == STANDBY,
            size=len(members),
            idle=tuple(vm.name for vm in available_vms if not vm.runs),
            busy=tuple(
                sorted(clearable, key=lambda name: seconds_to_idle[name])
            ),
            vm_cores=VM_CORES,
            demand=scheduler.pool_demand(
                [job for job in self._open_jobs if job.spec.queue == pool],
                self._arrivals[pool].rates(now),
                now,
                self._estimator,
            ),
        )

    def _outcome(self) -> Outcome:
        earned = total_payoff = 0.0
        in_time = late = 0
        for job in self._jobs:
            payoff = _FIXED_PAYOFF_SHARE + (1 - _FIXED_PAYOFF_SHARE) * (
                self._true_work(job) / self._mean_work
            )
            total_payoff += payoff
            response_seconds = self._end_times.get(job.spec.id, float("inf"))
            response_seconds -= job.arrived_at
            objective = self._true_objective(job)
            if response_seconds <= objective:
                in_time += 1
                earned += payoff
            elif response_seconds <= objective * scheduler.LATE_FACTOR:
                late += 1
                earned += payoff * _LATE_PAYOFF_SHARE
        count = max(1, len(self._jobs))
        return Outcome(
            load=self._load,
            lending=self._lending,
            order=self._order,
            jobs=len(self._jobs),
            earned=round(earned / max(total_payoff, 1e-9), 3),
            in_time=round(in_time / count, 3),
            late=round(late / count, 3),
            moves=self._moves,
            paid_vm_seconds=round(self._paid_vm_seconds),
        )

    def _true_work(self, job: scheduler.Job) -> float:
        return sum(
            step.task_count
            * step.demand.cores
            * self._true_run_seconds[(job.spec.id, step.index)]
            for step in job.spec.steps
        )

    def _true_objective(self, job: scheduler.Job) -> float:
        critical_path = sum(
            self._true_run_seconds[(job.spec.id, step.index)]
            for step in job.spec.steps
        )
        return job.queue.stretch * critical_path + job.queue.target_seconds


def measure_all() -> list[Outcome]:
    """Simulate all load curves under every lending policy.

    Each also runs with lending policy "rising" and jobs in order of arrival.
    """
    outcomes = []
    for load in load_names():
        outcomes += [
            measure(load, lending, "payoff_density")
            for lending in scheduler.lending_policies()
        ]
        outcomes.append(measure(load, "rising", "first_come"))
    return outcomes
