"""Lets work items that last fail now and then, as the pages allow them to."""

import collections
import json
import pathlib
import random
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-2")
)
import common  # noqa: E402

JOBS = ("00000000000000f1", "00000000000000f2")
ITEMS = 6
# One of the twelve work items, drawn at random, fails at a time, and the next
# one only when all run again.
SEED = 1
FAILURE_GAP_SECONDS = 1.0
MOST_FAILURES = 50
# LOST: from 6 s after the last run, if 3 s and the 4 s before them are calm.
# Nothing but single failures of work items happens here.
AFTER_RUN_SECONDS = 6.0
IDLE_SECONDS = 3.0
# An item that doesn't run again within this time ends the failures.
RESTART_SECONDS = 6.0
LONGEST_SECONDS = 85.0


class Items:
    """The work items, as the runners know them."""

    def __init__(self, cluster, record):
        self._world = cluster.world
        self._record = record
        self.failures = collections.defaultdict(list)

    def running(self):
        """Return the runs that have not ended, by the name of their item."""
        log = self._world.log
        with log.lock:
            return {each.task: each for each in log.intervals if not each.ended}

    def fail(self, run):
        """End a run as failed, through its own fault."""
        runner = run.runner
        with runner.lock:
            runner._end(runner.runs[run.task], "failed", time.monotonic())
        self.failures[runner.id].append(run.task)
        self._record.note(
            f"run {run.run} of {run.task} fails on {runner.id}, where it is"
            f" failure {len(self.failures[runner.id])}"
        )


def scenario(cluster, record):
    world = cluster.world
    common.wait_scheduler(cluster)
    entry = cluster.nodes[0]
    body = json.dumps(
        {
            "spec": json.dumps({"seconds": 1}),
            "steps": [
                {
                    "count": ITEMS,
                    "cpu": 2000,
                    "estimated_ms": 900,
                    "long_lived": True,
                }
            ],
        }
    ).encode()
    for job in JOBS:
        world.record_job(job, body)
        reply = common.call(
            record, cluster, entry, "POST", f"/alpha/{job}", body
        )
        if reply is None or reply.status != 200:
            raise common.CouldNotRun("a job was not accepted")
    items = Items(cluster, record)
    names = {f"{job}.0.0.{index}" for job in JOBS for index in range(ITEMS)}
    common.wait_for(
        lambda: set(items.running()) == names, 8.0, "all items run"
    )
    generator = random.Random(SEED)
    give_up_at = time.monotonic() + LONGEST_SECONDS
    for _ in range(MOST_FAILURES if common.TROUBLE else 0):
        time.sleep(FAILURE_GAP_SECONDS)
        deadline = time.monotonic() + RESTART_SECONDS
        while set(items.running()) != names and time.monotonic() < deadline:
            time.sleep(0.05)
        running = items.running()
        if set(running) != names or time.monotonic() > give_up_at:
            break
        items.fail(running[generator.choice(sorted(running))])
    time.sleep(AFTER_RUN_SECONDS + IDLE_SECONDS)
    for job in JOBS:
        common.call(record, cluster, entry, "GET", f"/alpha/{job}")
    lines = []
    now = time.monotonic()
    running = items.running()
    for name in sorted(names - set(running)):
        last_end = max(each.ended for each in world.log.runs_of(name))
        if now - last_end > AFTER_RUN_SECONDS + IDLE_SECONDS:
            used = collections.Counter(
                each.runner.vm for each in running.values()
            )
            lines.append(
                f"LOST: {name}, which lasts, has not run for"
                f" {now - last_end:.1f} s; each of the {len(world.vms)} VMs is"
                f" up, has 32 cores and runs no more than"
                f" {2 * max(used.values())} cores of work"
            )
    return lines


common.run_case(scenario, count=3, pools={"alpha": 4})
