"""A restarted runner answers orders before a late start comes to it."""

import pathlib
import threading
import time

from emulator import nodes
import harness

# When the runner carries out the start, from the order on (2 to 12 s allowed).
_LATE_SECONDS = 5.0
# The runner loses power this long before, at the most.
_BEFORE_LATE_SECONDS = 1.4
_AWAY_SECONDS = 0.2
# It is in the registry again after this time, less than a heartbeat of 1.5 s.
_REGISTERED_AFTER_SECONDS = 1.2
_WATCHED_SECONDS = 9.0
_JOB = nodes.job_id("pass")
_TASK = f"{_JOB}.0.0.0"
_STEPS = [{"count": 1, "cpu": 4000, "estimated_ms": 500}]
_OTHER_JOB = nodes.job_id("others")
_OTHER_STEPS = [{"count": 16, "cpu": 14000, "estimated_ms": 500}]


def play(record):
    """Return what is broken."""
    with harness.deployment(node_count=2, runner_count=8) as cluster:
        record.watch_runners()
        world = cluster.world
        runners = tuple(world.runners.values())
        orders = harness.watch_orders()
        polls = harness.watch_polls()
        if harness.trouble():
            for each in runners:
                each.faults.late_seconds = _LATE_SECONDS
        began = time.monotonic()
        record.began = began
        record.submit(cluster, 0, _JOB, _STEPS, seconds=0.5)
        harness.wait_until(lambda: orders, 5.0, "an order")
        late_at = time.monotonic() + _LATE_SECONDS
        # Only the first attempt is left unanswered.
        for each in runners:
            each.faults.late_seconds = 0.0
        harness.wait_until(
            lambda: (
                world.log.runs_of(_TASK)
                and world.log.runs_of(_TASK)[0].acknowledged
            ),
            3.0,
            "the end was noted",
        )
        record.show(cluster, _JOB)
        time.sleep(max(0.0, late_at - _BEFORE_LATE_SECONDS - time.monotonic()))
        if harness.trouble():
            _restart(record, world, orders[0], polls)
        record.submit(cluster, 0, _OTHER_JOB, _OTHER_STEPS, seconds=1.0)
        time.sleep(max(0.0, began + _WATCHED_SECONDS - time.monotonic()))
        record.show(cluster, _JOB)
        for each in tuple(world.runners.values()):
            each.end_due_runs()
        runs = world.log.runs_of(_TASK)
        record.add_runs(runs)
        broken = harness.starts_after_done(runs)
        if broken:
            _require_orders_before(world, runs[-1])
        return broken


def _restart(record, world, runner, polls):
    """Let a runner lose power just after it got a poll, and come back."""
    known = len(polls)
    harness.wait_until(lambda: runner in polls[known:], 2.0, "a poll")
    record.add(f"{runner.id} loses power")
    world.begin_restart(runner, is_silent=True)
    runner.faults.keeps_calls = False
    time.sleep(_AWAY_SECONDS)
    runner = world.end_restart(runner, reaches_store=False)
    record.add(f"{runner.id} starts again, born {runner.born}")
    timer = threading.Timer(_REGISTERED_AFTER_SECONDS, _register, (runner,))
    timer.daemon = True
    timer.start()


def _register(runner):
    runner.faults.unregistered = False


def _require_orders_before(world, late_run):
    """Require that the lifetime had answered an order of ours by then."""
    answered = [
        each
        for each in world.log.starts_of(_OTHER_JOB)
        if each.runner is late_run.runner and each.began < late_run.began
    ]
    if not answered:
        raise harness.NotRunError("no order had come to that lifetime before")


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, play)
