"""A stop that has to refuse a late start gets no answer, and that is all."""

import pathlib
import time

from emulator import nodes
import harness

# When the runner carries out the start and the stop, from the order on (2 to
# 12 s allowed).
_LATE_SECONDS = 11.5
_AWAY_SECONDS = 1.0
_WATCHED_SECONDS = 16.0
_JOB = nodes.job_id("pass")
_TASK = f"{_JOB}.0.0.0"
_STEPS = [{"count": 1, "cpu": 4000, "estimated_ms": 500}]
# Its orders are answered: at most half of all may be left unanswered.
_OTHER_JOB = nodes.job_id("others")
_OTHER_STEPS = [{"count": 8, "cpu": 4000, "estimated_ms": 500}]


def play(record):
    """Return what is broken."""
    with harness.deployment(node_count=2, runner_count=8) as cluster:
        record.watch_runners()
        world = cluster.world
        runners = tuple(world.runners.values())
        orders = harness.watch_orders()
        if harness.trouble():
            for each in runners:
                each.faults.late_seconds = _LATE_SECONDS
        began = time.monotonic()
        record.began = began
        record.submit(cluster, 0, _JOB, _STEPS, seconds=0.5)
        harness.wait_until(lambda: orders, 5.0, "an order")
        # Only the first attempt is left unanswered.
        for each in runners:
            each.faults.late_seconds = 0.0
        record.submit(cluster, 0, _OTHER_JOB, _OTHER_STEPS, seconds=0.5)
        for job in (_JOB, _OTHER_JOB):
            harness.wait_until(
                lambda job=job: (
                    cluster.state(harness.POOL, job) == "completed"
                ),
                8.0,
                f"{job} completed",
            )
        record.show(cluster, _JOB)
        harness.wait_until(
            lambda: world.log.runs_of(_TASK)[0].acknowledged,
            3.0,
            "the end was noted",
        )
        if harness.trouble():
            _restart(record, world, orders)
        time.sleep(max(0.0, began + _WATCHED_SECONDS - time.monotonic()))
        record.show(cluster, _JOB)
        for each in tuple(world.runners.values()):
            each.end_due_runs()
        runs = world.log.runs_of(_TASK)
        record.add_runs(runs)
        return harness.starts_after_done(runs)


def _restart(record, world, orders):
    """Restart the runner; the next order to it gets no answer either."""
    runner = orders[0]
    record.add(f"{runner.id} crashes")
    world.begin_restart(runner, is_silent=False)
    time.sleep(_AWAY_SECONDS)
    known = len(orders)
    runner = world.end_restart(runner)
    runner.faults.late_seconds = _LATE_SECONDS
    record.add(f"{runner.id} starts again, born {runner.born}")
    harness.wait_until(lambda: len(orders) > known, 5.0, "a stop")
    runner.faults.late_seconds = 0.0


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, play)
