"""Compares placement by learned use with first-fit by declared size.

Declared sizes and run times are wrong by up to five times. If the jobs of
a VM together use more memory than it has, its youngest job is killed and
loses its work. Jobs with a deadline arrive among long ones; an estimate of
the remaining run times decides whether a deadline job waits for a running
job to end or preempts one.
"""

import collections.abc
import random

import attrs
import peridotsill

from peridotsill_node import _placement

VMS = 6
CORES, MEMORY_GIB = 32.0, 64.0
JOBS = 200
STEP_SECONDS = 1.0
MAX_SIMULATED_SECONDS = 20000.0


@attrs.define(kw_only=True, eq=False)
class Task:
    """A job with its actual memory and run time."""

    job: peridotsill.Job
    memory: float
    seconds: float
    arrives: float
    vm: str = ""
    started: float = 0.0
    done_at: float = 0.0
    lost: float = 0.0


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of one rule."""

    rule: str
    missed: int
    with_deadline: int
    lost_seconds: float
    preemptions: int
    finished_at: float


def workload() -> list[Task]:
    """Return the jobs of the workload, which has a fixed seed."""
    rng = random.Random(735)
    families = {}
    for number in range(8):
        seconds = rng.uniform(30, 300)
        memory = rng.uniform(4, 24)
        families[f"family{number}"] = (
            memory,
            seconds,
            memory * rng.choice((0.2, 0.5, 2.0, 5.0)),
            seconds * rng.choice((0.2, 0.5, 2.0, 5.0)),
        )
    tasks = []
    now = 0.0
    for number in range(JOBS):
        now += rng.expovariate(1 / 3.2)
        name = rng.choice(sorted(families))
        memory, seconds, declared_memory, declared_seconds = families[name]
        urgent = rng.random() < 0.25
        actual_seconds = seconds * rng.uniform(0.8, 1.25)
        job = peridotsill.Job(
            name=f"job-{number}",
            pool="p",
            family=name,
            cores=4,
            memory_gib=min(declared_memory, MEMORY_GIB),
            run_seconds=declared_seconds,
            deadline_at=now + actual_seconds * 2.0 if urgent else 0.0,
        )
        tasks.append(
            Task(
                job=job,
                memory=memory * rng.uniform(0.8, 1.2),
                seconds=actual_seconds,
                arrives=now,
            )
        )
    return tasks


RemainingEstimate = collections.abc.Callable[[Task, "Sim"], float]


def remaining_by_declared(task: Task, sim: "Sim") -> float:
    """Estimate the remaining time from the declared run time."""
    return max(task.job.run_seconds - (sim.now - task.started), 0.0)


def remaining_by_history(task: Task, sim: "Sim") -> float:
    """Estimate the remaining time from the family's history."""
    need = sim.usage.need_of(task.job)
    return max(need.run_seconds - (sim.now - task.started), 0.0)


def remaining_by_progress(task: Task, sim: "Sim") -> float:
    """Estimate it from progress, and below 5 % from the family's history.

    The rule "learned, progress (paper)" takes this estimate from a paper.
    """
    elapsed = sim.now - task.started
    progress = min(elapsed / task.seconds, 1.0)
    if progress < 0.05:
        return remaining_by_history(task, sim)
    return elapsed * (1 - progress) / progress


class Sim:
    """Simulates a pool; placement is decided by `_placement`."""

    def __init__(
        self, *, learned: bool, estimate_remaining: RemainingEstimate
    ) -> None:
        self.learned = learned
        self.estimate_remaining = estimate_remaining
        self.usage = _placement.UsageHistory()
        self.now = 0.0
        self.running: list[Task] = []
        self.preemptions = 0
        self.vms = tuple(
            peridotsill.Vm(
                name=f"vm{number}",
                address="",
                domain="d",
                rack=f"r{number // 4}",
                pool="p",
                cores=CORES,
                memory_gib=MEMORY_GIB,
            )
            for number in range(VMS)
        )

    def need(self, task: Task) -> _placement.Need:
        """Return what a job is expected to use."""
        if self.learned:
            return self.usage.need_of(task.job)
        return _placement.UsageHistory().need_of(task.job)

    def loads(self) -> tuple[_placement.Load, ...]:
        """Return the VMs with the expected use of their jobs."""
        loads = {vm.name: _placement.Load(vm=vm) for vm in self.vms}
        for task in self.running:
            loads[task.vm].add(task.job, self.need(task))
        return tuple(loads.values())

    def start(self, task: Task) -> bool:
        """Place and start a job; return False if it fits nowhere."""
        loads = self.loads()
        need = self.need(task)
        if self.learned:
            choice = _placement.choose_vm(task.job, need, loads, {})
            vm = choice.vm
        else:
            fitting = (each for each in loads if not each.misfit_reason(need))
            first = next(fitting, None)
            vm = first.vm.name if first else None
        if vm is None:
            return False
        task.vm, task.started = vm, self.now
        self.running.append(task)
        return True

    def stop(self, task: Task) -> None:
        """Stop a running job; its work is lost."""
        task.lost += self.now - task.started
        self.running.remove(task)

    def preempt_if_late(self, task: Task, queue: list[Task]) -> None:
        """Preempt a job if a deadline job can't wait until one ends."""
        need = self.need(task)
        slack = _placement.slack_seconds(task.job, need, self.now)
        if slack > 0.5 * need.run_seconds:
            return
        preemptible = [t for t in self.running if not t.job.deadline_at]
        if any(
            self.estimate_remaining(t, self) <= max(slack, 0)
            for t in preemptible
        ):
            return
        if preemptible:
            victim = min(preemptible, key=lambda t: self.now - t.started)
            self.stop(victim)
            queue.append(victim)
            self.preemptions += 1

    def end_finished(self) -> None:
        """End the jobs whose run time has passed."""
        for task in list(self.running):
            if self.now - task.started >= task.seconds:
                self.running.remove(task)
                task.done_at = self.now
                self.usage.record(
                    task.job,
                    peridotsill.JobUsage(
                        cores=4,
                        memory_gib=task.memory,
                        run_seconds=task.seconds,
                    ),
                )

    def enforce_memory(self, queue: list[Task]) -> None:
        """Kill the youngest jobs of VMs whose jobs exceed their memory."""
        for vm in self.vms:
            vm_tasks = [t for t in self.running if t.vm == vm.name]
            vm_tasks.sort(key=lambda t: t.started)
            while sum(t.memory for t in vm_tasks) > MEMORY_GIB:
                victim = vm_tasks.pop()
                self.stop(victim)
                queue.append(victim)


def run(
    name: str, *, learned: bool, estimate_remaining: RemainingEstimate
) -> Outcome:
    """Run one rule over the workload."""
    sim = Sim(learned=learned, estimate_remaining=estimate_remaining)
    tasks = workload()
    arrivals = list(tasks)
    queue: list[Task] = []
    while (
        arrivals or queue or sim.running
    ) and sim.now < MAX_SIMULATED_SECONDS:
        sim.end_finished()
        while arrivals and arrivals[0].arrives <= sim.now:
            queue.append(arrivals.pop(0))
        if learned:
            queue.sort(
                key=lambda t: _placement.slack_seconds(
                    t.job, sim.need(t), sim.now
                )
            )
        for task in list(queue):
            if sim.start(task):
                queue.remove(task)
            elif task.job.deadline_at:
                sim.preempt_if_late(task, queue)
        sim.enforce_memory(queue)
        sim.now += STEP_SECONDS
    urgent = [t for t in tasks if t.job.deadline_at]
    missed = [
        t for t in urgent if not t.done_at or t.done_at > t.job.deadline_at
    ]
    return Outcome(
        rule=name,
        missed=len(missed),
        with_deadline=len(urgent),
        lost_seconds=round(sum(t.lost for t in tasks)),
        preemptions=sim.preemptions,
        finished_at=sim.now,
    )


def measure() -> list[Outcome]:
    """Run all rules."""
    return [
        run(
            "first-fit, declared",
            learned=False,
            estimate_remaining=remaining_by_declared,
        ),
        run(
            "learned, declared time",
            learned=True,
            estimate_remaining=remaining_by_declared,
        ),
        run(
            "learned, history",
            learned=True,
            estimate_remaining=remaining_by_history,
        ),
        run(
            "learned, progress (paper)",
            learned=True,
            estimate_remaining=remaining_by_progress,
        ),
    ]


if __name__ == "__main__":
    for outcome in measure():
        print(outcome)
