"""Two runners crash, one after the other, under the only task of a job."""

import pathlib
import time

from emulator import nodes
import harness

_CRASHES = 2
_CRASH_AFTER_SECONDS = 1.5
_DOWN_SECONDS = 4.5
_WORK_SECONDS = 6.0
_WATCHED_SECONDS = 25.0
_JOB = nodes.job_id("pass")
_TASK = f"{_JOB}.0.0.0"
_STEPS = [{"count": 1, "cpu": 4000, "estimated_ms": 6000}]


def play(record):
    """Return what is broken."""
    with harness.deployment(node_count=2, runner_count=8) as cluster:
        record.watch_runners()
        world = cluster.world
        began = time.monotonic()
        record.began = began
        record.submit(cluster, 0, _JOB, _STEPS, seconds=_WORK_SECONDS)
        for number in range(_CRASHES if harness.trouble() else 0):
            run = _run_under_way(world, number)
            time.sleep(
                max(0.0, run.began + _CRASH_AFTER_SECONDS - time.monotonic())
            )
            record.add(f"{run.runner.id} crashes, back in {_DOWN_SECONDS} s")
            world.crash(run.runner, restart_after_seconds=_DOWN_SECONDS)
        state = ""
        while time.monotonic() < began + _WATCHED_SECONDS:
            time.sleep(1.0)
            state = record.show(cluster, _JOB)
            if state in ("completed", "failed"):
                break
        runs = world.log.runs_of(_TASK)
        record.add_runs(runs)
        failed_runs = sum(each.outcome == "failed" for each in runs)
        if state == "failed" and failed_runs == 0:
            return [
                f"LOST: the accepted job {_JOB} is shown as failed; none of "
                "its runs ended failed, and max_attempts is 2"
            ]
        if state != "completed":
            raise harness.NotRunError(f"the job is {state}")
        return []


def _run_under_way(world, number):
    harness.wait_until(
        lambda: len(world.log.runs_of(_TASK)) > number, 8.0, "a further run"
    )
    return world.log.runs_of(_TASK)[number]


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, play)
