"""Placement by learned use against first-fit by declared size.

Declared sizes and run times are off by up to five times. A VM whose jobs
together use more memory than it has loses the last one, with its work.
Deadline jobs come among long ones; estimates of the remaining time decide
whether a deadline job waits for a running one or preempts.
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
LIMIT_SECONDS = 20000.0


@attrs.define(kw_only=True, eq=False)
class Task:
    """A job with what it really uses."""

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
    """What a rule made of the jobs."""

    rule: str
    missed: int
    with_deadline: int
    lost_seconds: float
    preemptions: int
    finished_at: float


def workload() -> list[Task]:
    """Return the recorded jobs."""
    chance = random.Random(735)
    families = {}
    for number in range(8):
        seconds = chance.uniform(30, 300)
        memory = chance.uniform(4, 24)
        families[f"family{number}"] = (
            memory,
            seconds,
            memory * chance.choice((0.2, 0.5, 2.0, 5.0)),
            seconds * chance.choice((0.2, 0.5, 2.0, 5.0)),
        )
    tasks = []
    now = 0.0
    for number in range(JOBS):
        now += chance.expovariate(1 / 3.2)
        name = chance.choice(sorted(families))
        memory, seconds, said_memory, said_seconds = families[name]
        urgent = chance.random() < 0.25
        real = seconds * chance.uniform(0.8, 1.25)
        job = peridotsill.Job(
            name=f"job-{number}",
            pool="p",
            family=name,
            cores=4,
            memory_gib=min(said_memory, MEMORY_GIB),
            run_seconds=said_seconds,
            deadline_at=now + real * 2.0 if urgent else 0.0,
        )
        tasks.append(
            Task(
                job=job,
                memory=memory * chance.uniform(0.8, 1.2),
                seconds=real,
                arrives=now,
            )
        )
    return tasks


Remaining = collections.abc.Callable[[Task, "Sim"], float]


def by_declared(task: Task, sim: "Sim") -> float:
    """Estimate the remaining time by the declared run time."""
    return max(task.job.run_seconds - (sim.now - task.started), 0.0)


def by_history(task: Task, sim: "Sim") -> float:
    """Estimate it by the family's history."""
    need = sim.usage.need_of(task.job)
    return max(need.run_seconds - (sim.now - task.started), 0.0)


def by_progress(task: Task, sim: "Sim") -> float:
    """Estimate it by history and progress, as the paper does."""
    elapsed = sim.now - task.started
    progress = min(elapsed / task.seconds, 1.0)
    if progress < 0.05:
        return by_history(task, sim)
    return elapsed * (1 - progress) / progress


class Sim:
    """A pool's VMs over time; decisions are the product's."""

    def __init__(self, *, learned: bool, remaining: Remaining) -> None:
        self.learned = learned
        self.remaining = remaining
        self.usage = _placement.UsageBook()
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
        return _placement.UsageBook().need_of(task.job)

    def loads(self) -> tuple[_placement.Load, ...]:
        """Return the VMs with what is expected to run on them."""
        loads = {vm.name: _placement.Load(vm=vm) for vm in self.vms}
        for task in self.running:
            loads[task.vm].add(task.job, self.need(task))
        return tuple(loads.values())

    def start(self, task: Task) -> bool:
        """Place and start a job; false if it fits nowhere."""
        loads = self.loads()
        need = self.need(task)
        if self.learned:
            choice = _placement.choose_vm(task.job, need, loads, {})
            vm = choice.vm
        else:
            fits = (each for each in loads if not each.why_not(need))
            first = next(fits, None)
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

    def make_room(self, task: Task, queue: list[Task]) -> None:
        """Preempt for a deadline job that can't wait for an end."""
        need = self.need(task)
        slack = _placement.slack_seconds(task.job, need, self.now)
        if slack > 0.5 * need.run_seconds:
            return
        movable = [t for t in self.running if not t.job.deadline_at]
        if any(self.remaining(t, self) <= max(slack, 0) for t in movable):
            return
        if movable:
            victim = min(movable, key=lambda t: self.now - t.started)
            self.stop(victim)
            queue.append(victim)
            self.preemptions += 1

    def finish(self) -> None:
        """End the jobs whose time has come."""
        for task in list(self.running):
            if self.now - task.started >= task.seconds:
                self.running.remove(task)
                task.done_at = self.now
                self.usage.record(
                    task.job,
                    peridotsill.JobUse(
                        cores=4,
                        memory_gib=task.memory,
                        run_seconds=task.seconds,
                    ),
                )

    def enforce(self, queue: list[Task]) -> None:
        """Kill the youngest jobs of VMs that use more than they have."""
        for vm in self.vms:
            here = [t for t in self.running if t.vm == vm.name]
            here.sort(key=lambda t: t.started)
            while sum(t.memory for t in here) > MEMORY_GIB:
                victim = here.pop()
                self.stop(victim)
                queue.append(victim)


def run(name: str, *, learned: bool, remaining: Remaining) -> Outcome:
    """Run one rule over the recorded jobs."""
    sim = Sim(learned=learned, remaining=remaining)
    tasks = workload()
    coming = list(tasks)
    queue: list[Task] = []
    while (coming or queue or sim.running) and sim.now < LIMIT_SECONDS:
        sim.finish()
        while coming and coming[0].arrives <= sim.now:
            queue.append(coming.pop(0))
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
                sim.make_room(task, queue)
        sim.enforce(queue)
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
        run("first-fit, declared", learned=False, remaining=by_declared),
        run("learned, declared time", learned=True, remaining=by_declared),
        run("learned, history", learned=True, remaining=by_history),
        run("learned, progress (paper)", learned=True, remaining=by_progress),
    ]


if __name__ == "__main__":
    for outcome in measure():
        print(outcome)
