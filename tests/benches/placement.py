"""Compares placement policies under loads of small and large tasks.

A pool's VMs, tasks and arrivals are simulated on a virtual clock, without a
network; the decisions are those of `peridotsill_scheduler`. Each policy gets
the same arrivals, with the same run times and declarations.

Example: ``python -m benches.placement`` prints the waits by size of job.
"""

import collections
import statistics

import attrs
import numpy

import peridotsill_scheduler as scheduler

_TICK_SECONDS = 0.1
_SEED = 412
_TRAFFIC_SECONDS = 120.0
_DRAIN_SECONDS = 240.0
_VMS = 8
_VM_CORES = 16.0
_FIXED_PAYOFF_SHARE = 0.3
_LATE_PAYOFF_SHARE = 0.5

QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", stretch=2.0, target_seconds=0.8
)


@attrs.define(kw_only=True, eq=False)
class Vm:
    """A simulated VM; ``fields`` replace those of its view."""

    name: str
    cores: float
    rack: str = "r-0"
    lifetime: int = 1
    fields: dict = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)


class Pool:
    """A pool on a virtual clock, with a round every 0.1 s."""

    def __init__(self, *, vms, policy, order="payoff_density"):
        self.now = 0.0
        self.vms = list(vms)
        self.policy = policy
        self.jobs = []
        self.starts = collections.defaultdict(list)
        self.ended_at = {}
        self.changes = []
        self.teams = ()
        self._order = order
        self._seconds = {}
        self._arrivals = collections.deque()
        self.take_over()

    def take_over(self):
        """Go on with another scheduler, which remembers nothing."""
        self.estimator = scheduler.Estimator()
        self.memory = scheduler.ReservationMemory()

    def submit(self, name, *, count=1, cores, seconds, declared=None, **step):
        """Submit a job of one step; its tasks run for ``seconds``."""
        queue = step.pop("queue", QUEUE)
        spec = scheduler.JobSpec(
            id=name,
            queue=queue.name,
            payload="",
            steps=(
                scheduler.Step(
                    index=0,
                    task_count=count,
                    demand=scheduler.Resources(cores=cores),
                    estimated_seconds=declared or seconds,
                    **step,
                ),
            ),
        )
        job = scheduler.Job(spec=spec, queue=queue, arrived_at=self.now)
        scheduler.open_occurrences(job, 0.0)
        self.jobs.append(job)
        self._seconds[name] = seconds
        return job

    def submit_at(self, at, name, **fields):
        """Submit a job later; calls are in order of time."""
        self._arrivals.append((at, name, fields))

    def lose(self, vm):
        """Lose a VM; its tasks wait again."""
        self.vms.remove(vm)
        for task, _, _ in vm.runs:
            task.phase = scheduler.TaskPhase.WAITING
            task.started_at = 0.0

    def cancel(self, job):
        """Cancel a job; what runs of it is stopped at once."""
        job.state = scheduler.JobState.CANCELLED
        self.jobs.remove(job)
        for vm in self.vms:
            vm.runs = [run for run in vm.runs if run[1] is not job]

    def run_until(self, at, *, each_round=lambda pool: None):
        """Let time pass."""
        while self.now < at - 1e-9:
            while self._arrivals and self._arrivals[0][0] <= self.now:
                _, name, fields = self._arrivals.popleft()
                self.submit(name, **fields)
            self.round()
            each_round(self)
            self.now = round(self.now + _TICK_SECONDS, 6)
            self._end_runs()

    @property
    def is_idle(self):
        """Whether no job is left or will arrive."""
        return not self.jobs and not self._arrivals

    def _end_runs(self):
        for vm in self.vms:
            for run in [each for each in vm.runs if each[2] <= self.now]:
                vm.runs.remove(run)
                task, job, ends_at = run
                self.estimator.record_task(
                    job.spec.queue, ends_at - task.started_at, task.step
                )
                task.phase = scheduler.TaskPhase.DONE
                scheduler.refresh_state(job)
                if job.final:
                    self.ended_at[job.spec.id] = ends_at
                    self.jobs.remove(job)

    def _view(self, vm):
        capacity = scheduler.Resources(cores=vm.cores, memory_mib=65536)
        fields = {
            "runner": vm.name,
            "lifetime": vm.lifetime,
            "vm": vm.name,
            "pool": "p",
            "domain": "z",
            "rack": vm.rack,
            "labels": frozenset(),
            "capacity": capacity,
            "free": capacity,
            "made_at": self.now,
            **vm.fields,
        }
        view = scheduler.VmView(**fields)
        for task, job, _ in vm.runs:
            view.reserve(job.spec.id, task)
        return view

    def _runs_of(self, view):
        vm = next(each for each in self.vms if each.name == view.runner)
        return [
            scheduler.ActiveRun(job=job, task=task, started_at=task.started_at)
            for task, job, _ in vm.runs
        ]

    def round(self):
        """Plan a round and start its tasks; return them by VM."""
        starts = scheduler.plan_starts(
            policy=self._order,
            jobs=list(self.jobs),
            vms=[self._view(vm) for vm in self.vms],
            now=self.now,
            estimator=self.estimator,
            quotas=scheduler.Quotas(teams=self.teams),
            placement=scheduler.Placement(
                policy=self.policy,
                memory=self.memory,
                runs_of=self._runs_of,
            ),
        )
        self.changes += self.memory.pop_changes()
        by_name = {vm.name: vm for vm in self.vms}
        for start in starts:
            job, task = start.job, start.task
            assert task.phase is scheduler.TaskPhase.WAITING, task
            task.phase = scheduler.TaskPhase.RUNNING
            task.started_at = self.now or 1e-6
            name = job.spec.id
            self.starts[name].append((self.now, start.vm.runner))
            vm = by_name[start.vm.runner]
            ends_at = round(self.now + self._seconds[name], 6)
            vm.runs.append((task, job, ends_at))
            used = sum(each.step.reserved.cores for each, _, _ in vm.runs)
            assert used <= vm.cores + 1e-6, (vm.name, used)
        return starts


def _draw_arrivals(load, large_share, seed):
    """Return jobs by time: small ones, and some that need most of a VM."""
    rng = numpy.random.default_rng(seed)
    small_cores = (1.0, 2.0)
    large_cores = (12.0, 16.0)
    mean_seconds = float(numpy.exp(0.08))
    small_work = 2.5 * 1.5 * mean_seconds
    large_work = 14.0 * mean_seconds * 1.5
    work = load * _VMS * _VM_CORES
    arrivals = []
    now = 0.0
    while now < _TRAFFIC_SECONDS:
        for size, share in (
            ("small", 1 - large_share),
            ("large", large_share),
        ):
            mean_work = small_work if size == "small" else large_work
            mean = work * share / mean_work * _TICK_SECONDS
            for _ in range(int(rng.poisson(mean))):
                seconds = float(rng.lognormal(0.0, 0.4))
                if size == "large":
                    seconds *= 1.5
                arrivals.append(
                    (
                        now,
                        f"{size}-{len(arrivals)}",
                        {
                            "count": int(rng.integers(1, 5))
                            if size == "small"
                            else 1,
                            "cores": float(
                                rng.choice(
                                    small_cores
                                    if size == "small"
                                    else large_cores
                                )
                            ),
                            "seconds": round(seconds, 3),
                            "declared": seconds
                            * float(rng.choice((0.5, 1.0, 2.0))),
                        },
                    )
                )
        now = round(now + _TICK_SECONDS, 6)
    return arrivals


@attrs.frozen(kw_only=True)
class Outcome:
    """Waits by size of job in seconds, and what the jobs earned."""

    load: float
    large_share: float
    order: str
    policy: str
    small_mean: float
    small_95: float
    large_mean: float
    large_95: float
    large_max: float
    earned: float
    used: float
    reservations: int


def measure(*, load, large_share, order, policy, seed=_SEED):
    """Simulate a load under an order and a placement policy."""
    arrivals = _draw_arrivals(load, large_share, seed)
    pool = Pool(
        vms=[Vm(name=f"i-{n}", cores=_VM_CORES) for n in range(_VMS)],
        policy=policy,
        order=order,
    )
    for at, name, fields in arrivals:
        pool.submit_at(at, name, **fields)
    used = []
    pool.run_until(
        _TRAFFIC_SECONDS,
        each_round=lambda each: used.append(
            sum(
                task.step.reserved.cores
                for vm in each.vms
                for task, _, _ in vm.runs
            )
        ),
    )
    while not pool.is_idle and pool.now < _TRAFFIC_SECONDS + _DRAIN_SECONDS:
        pool.run_until(pool.now + 1.0)
    waits = {"small": [], "large": []}
    works = [f["count"] * f["cores"] * f["seconds"] for _, _, f in arrivals]
    mean_work = statistics.fmean(works)
    earned = total = 0.0
    for (at, name, fields), work in zip(arrivals, works):
        starts = pool.starts.get(name)
        last = max(start for start, _ in starts) if starts else pool.now
        waits[name.partition("-")[0]].append(last - at)
        payoff = _FIXED_PAYOFF_SHARE + (1 - _FIXED_PAYOFF_SHARE) * (
            work / mean_work
        )
        total += payoff
        took = pool.ended_at.get(name, float("inf")) - at
        objective = 2.0 * fields["seconds"] + 0.8
        if took <= objective:
            earned += payoff
        elif took <= objective * scheduler.LATE_FACTOR:
            earned += payoff * _LATE_PAYOFF_SHARE
    return Outcome(
        load=load,
        large_share=large_share,
        order=order,
        policy=policy,
        small_mean=round(statistics.fmean(waits["small"]), 2),
        small_95=round(float(numpy.quantile(waits["small"], 0.95)), 2),
        large_mean=round(statistics.fmean(waits["large"]), 2),
        large_95=round(float(numpy.quantile(waits["large"], 0.95)), 2),
        large_max=round(max(waits["large"]), 2),
        earned=round(earned / total, 3),
        used=round(statistics.fmean(used) / _VMS / _VM_CORES, 3),
        reservations=sum(not each.reason for each in pool.changes),
    )


def main():
    """Print the waits under each policy, side by side."""
    for order in ("payoff_density", "first_come"):
        for load in (0.6, 0.8, 0.95, 1.2):
            for large_share in (0.1, 0.3):
                for policy in ("immediate", "reserving"):
                    outcome = measure(
                        load=load,
                        large_share=large_share,
                        order=order,
                        policy=policy,
                    )
                    print(
                        *(
                            f"{name}={value}"
                            for name, value in attrs.asdict(outcome).items()
                        ),
                        flush=True,
                    )


if __name__ == "__main__":
    main()
