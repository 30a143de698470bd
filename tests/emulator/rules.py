"""What runners saw, and the rules that are judged from it."""

import collections
import threading
import time

import attrs


@attrs.define
class Interval:
    """One run at one runner; ``ended`` is 0 while it goes on."""

    runner: object
    task: str
    run: int
    began: float
    ended: float = 0.0
    how: str = ""
    noted: bool = False
    body: dict = attrs.field(factory=dict)


class RunLog:
    """Every run that a runner began, with its end."""

    def __init__(self):
        self.lock = threading.Lock()
        self.intervals = []

    def begun(self, runner, task, run, body):
        """Note a run's begin."""
        with self.lock:
            self.intervals.append(
                Interval(
                    runner=runner,
                    task=task,
                    run=run,
                    began=time.monotonic(),
                    body=body,
                )
            )

    def ended(self, runner, task, run, how, at):
        """Note a run's end at a monotonic time."""
        with self.lock:
            for each in self.intervals:
                if each.runner is runner and (each.task, each.run) == (
                    task,
                    run,
                ):
                    each.ended = each.ended or at
                    each.how = each.how or how

    def noted(self, runner, row):
        """Note that an end was acknowledged.

        An end counts as not taken note of, for good, if the runner's lease
        lapsed between the two.
        """
        with self.lock:
            for each in self.intervals:
                if each.runner is runner and (each.task, each.run) == (
                    row[1],
                    row[2],
                ):
                    each.noted = each.ended > runner.lapsed_at

    def of(self, task):
        """Return the intervals of a task."""
        with self.lock:
            return [each for each in self.intervals if each.task == task]

    def starts_of(self, job):
        """Return the intervals of a job."""
        with self.lock:
            return [
                each
                for each in self.intervals
                if each.task.startswith(job + ".")
            ]


def broken_rules(world):
    """Return a line for each rule that the run log shows as broken."""
    for runner in tuple(world.runners.values()):
        runner.settle()
    with world.log.lock:
        intervals = list(world.log.intervals)
    return (
        _twice(world, intervals)
        + _limit(world, intervals)
        + _order(world, intervals)
        + _refused(world, intervals)
        + _waves(world)
    )


def _end(interval):
    return interval.ended or float("inf")


def _twice(world, intervals):
    # Of a speculative step several copies may run, also after one is done.
    found = []
    by_task = collections.defaultdict(list)
    for each in intervals:
        job, _, step, _ = each.task.split(".")
        if not world.steps_of(job)[int(step)].get("speculative"):
            by_task[each.task].append(each)
    for task, runs in by_task.items():
        for i, first in enumerate(runs):
            for second in runs[i + 1 :]:
                if first.began < _end(second) and second.began < _end(first):
                    found.append(f"TWICE: {task} at the same time")
                done = first.how == "done" and first.noted
                if done and second.began > first.ended:
                    found.append(f"TWICE: {task} after it was done")
    return found


def _limit(world, intervals):
    found = []
    by_runner = collections.defaultdict(list)
    for each in intervals:
        by_runner[each.runner.id].append(each)
    for runs in by_runner.values():
        for each in runs:
            used = sum(
                world.cpu_of(other.task)
                for other in runs
                if other.began <= each.began < _end(other)
            )
            if used > each.runner.capacity["cpu"]:
                found.append(f"LIMIT: {each.runner.id} with {used}")
    return found


def _order(world, intervals):
    found = []
    done = {}
    for each in intervals:
        if each.how == "done":
            done[each.task] = min(
                done.get(each.task, float("inf")), each.ended
            )
    for each in intervals:
        job, occurrence, step, _ = each.task.split(".")
        for before in world.steps_of(job)[int(step)].get("after", []):
            count = world.steps_of(job)[before]["count"]
            for index in range(count):
                earlier = f"{job}.{occurrence}.{before}.{index}"
                if done.get(earlier, float("inf")) > each.began:
                    found.append(f"ORDER: {each.task} before {earlier}")
    return found


def _refused(world, intervals):
    return [
        f"REFUSED: {each.task}"
        for each in intervals
        if each.task.split(".")[0] in world.rejected
    ]


def _waves(world):
    return [f"LIMIT: {line}" for line in world.wave_breaches]
