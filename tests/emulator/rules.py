"""The log of all runs, and the rules that are checked against it."""

import collections
import threading
import time

import attrs

# The hand-over time of the nodes' settings, less the longest time for which
# an order is on its way.
_MIN_HANDOVER_SECONDS = 3.0 - 0.2


@attrs.define
class Interval:
    """A run on a runner; times are monotonic.

    ``ended`` is 0 while the run lasts. ``acknowledged`` tells whether the
    scheduler has acknowledged the end. ``body`` is the start request.
    """

    runner: object
    task: str
    run: int
    began: float
    ended: float = 0.0
    outcome: str = ""
    acknowledged: bool = False
    body: dict = attrs.field(factory=dict)


class RunLog:
    """All runs that runners started, with their ends."""

    def __init__(self):
        self.lock = threading.Lock()
        self.intervals = []

    def record_start(self, runner, task, run, body):
        """Record the start of a run."""
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

    def record_end(self, runner, task, run, outcome, end_time):
        """Record the end of a run; only the first end counts."""
        with self.lock:
            for each in self.intervals:
                if each.runner is runner and (each.task, each.run) == (
                    task,
                    run,
                ):
                    each.ended = each.ended or end_time
                    each.outcome = each.outcome or outcome

    def record_acknowledged(self, runner, row):
        """Record that the end of a run was acknowledged.

        If the runner's lease expired after the end, the end stays
        unacknowledged: the scheduler may have started the task again.
        """
        with self.lock:
            for each in self.intervals:
                if each.runner is runner and (each.task, each.run) == (
                    row[1],
                    row[2],
                ):
                    each.acknowledged = each.ended > runner.lease_lapsed_at

    def runs_of(self, task):
        """Return the runs of a task."""
        with self.lock:
            return [each for each in self.intervals if each.task == task]

    def starts_of(self, job):
        """Return the runs of all tasks of a job."""
        return self.members_of(job)

    def members_of(self, name):
        """Return the runs of all tasks of a job, an occurrence or a step."""
        with self.lock:
            return [
                each
                for each in self.intervals
                if each.task.startswith(name + ".")
            ]


def broken_rules(world):
    """Check all rules and return a line for each violation.

    - TWICE: no two runs of a task overlap, and none starts after another's
      acknowledged success (copies of speculative steps are exempt).
    - LIMIT: no runner exceeds its cores, and no wave its number of VMs that
      are down at once.
    - ONE: no two schedulers order a VM in turns within the hand-over time.
    - ORDER: no step starts before the steps that it depends on are done.
    - REFUSED: no task of a refused job runs.
    - BUDGET: no task is started three times more after three runners have
      crashed under it.
    - UNASKED: no task starts later than ``cancel_seconds`` after its job's
      cancellation was acknowledged.
    """
    for runner in tuple(world.runners.values()):
        runner.end_due_runs()
    with world.log.lock:
        intervals = list(world.log.intervals)
    return (
        _repeated_runs(world, intervals)
        + _exceeded_capacity(world, intervals)
        + _early_steps(world, intervals)
        + _rejected_runs(world, intervals)
        + _exceeded_waves(world)
        + _orders_in_turns(world)
        + _starts_after_cancellation(world, intervals)
        + _starts_after_crashes(intervals)
    )


def _end_or_infinity(interval):
    return interval.ended or float("inf")


def _repeated_runs(world, intervals):
    # Speculative steps are exempt: several copies of a task may run, and a
    # copy may start after another one is done.
    violations = []
    by_task = collections.defaultdict(list)
    for each in intervals:
        if not world.step_of(each.task).get("speculative"):
            by_task[each.task].append(each)
    for task, runs in by_task.items():
        for i, earlier_run in enumerate(runs):
            for later_run in runs[i + 1 :]:
                if earlier_run.began < _end_or_infinity(
                    later_run
                ) and later_run.began < _end_or_infinity(earlier_run):
                    violations.append(
                        f"TWICE: {task} has two runs at the same time"
                    )
                done = (
                    earlier_run.outcome == "done" and earlier_run.acknowledged
                )
                if done and later_run.began > earlier_run.ended:
                    violations.append(
                        f"TWICE: {task} was started after it was done"
                    )
    return violations


def _exceeded_capacity(world, intervals):
    violations = []
    by_runner = collections.defaultdict(list)
    for each in intervals:
        by_runner[each.runner.id].append(each)
    for runs in by_runner.values():
        for each in runs:
            used = sum(
                world.cpu_of(other.task)
                for other in runs
                if other.began <= each.began < _end_or_infinity(other)
            )
            if used > each.runner.allowed_cpu(each.began):
                violations.append(
                    f"LIMIT: {each.runner.id} uses {used} millicores"
                )
    return violations


def _early_steps(world, intervals):
    violations = []
    done = {}
    for each in intervals:
        if each.outcome == "done":
            done[each.task] = min(
                done.get(each.task, float("inf")), each.ended
            )
    for each in intervals:
        job, occurrence, step, _ = each.task.split(".")
        for dependency in world.steps_of(job)[int(step)].get("after", []):
            count = world.steps_of(job)[dependency]["count"]
            for index in range(count):
                required = f"{job}.{occurrence}.{dependency}.{index}"
                if done.get(required, float("inf")) > each.began:
                    violations.append(
                        f"ORDER: {each.task} began before {required} was done"
                    )
    return violations


def _rejected_runs(world, intervals):
    return [
        f"REFUSED: {each.task} ran, but its job was refused"
        for each in intervals
        if each.task.split(".")[0] in world.rejected_jobs
    ]


def _exceeded_waves(world):
    return [f"LIMIT: {line}" for line in world.wave_limit_violations]


def _orders_in_turns(world):
    violations = []
    last_by_vm = {}
    with world.lock:
        orders = list(world.orders)
    for ordered_at, vm, fence in orders:
        last_at, last_fence = last_by_vm.get(vm, (float("-inf"), fence))
        seconds = ordered_at - last_at
        if fence != last_fence and seconds < _MIN_HANDOVER_SECONDS:
            violations.append(
                f"ONE: {vm} was ordered under fence {fence} {seconds:.2f} s "
                f"after it was under {last_fence}"
            )
        last_by_vm[vm] = (ordered_at, fence)
    return violations


def _starts_after_cancellation(world, intervals):
    violations = []
    for each in intervals:
        cancelled_at = world.cancelled_at.get(each.task.split(".")[0])
        if cancelled_at is None:
            continue
        seconds = each.began - cancelled_at
        if seconds > world.cancel_seconds:
            violations.append(
                f"UNASKED: {each.task} began {seconds:.1f} s after its job "
                "was cancelled"
            )
    return violations


def _starts_after_crashes(intervals):
    violations = []
    by_task = collections.defaultdict(list)
    for each in intervals:
        by_task[each.task].append(each)
    for task, runs in by_task.items():
        crashes = sorted(each.ended for each in runs if _is_crash(each))
        if len(crashes) < 3:
            continue
        later = sum(each.began > crashes[2] for each in runs)
        if later >= 3:
            violations.append(
                f"BUDGET: {task} was started {later} times after three "
                "runners had crashed under it"
            )
    return violations


def _is_crash(interval):
    return interval.outcome == "crashed"
