"""Kills the scheduling node while a job with several occurrences runs."""

import json
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-2")
)
import common  # noqa: E402

# Three occurrences that are due at the same time: `period_ms` is 0, so it is
# left out.
AT_ONCE = "00000000000000a1"
# Six occurrences, three in a second.
THREE_A_SECOND = "00000000000000a2"
TASK_SECONDS = 2.5
STEPS = [
    {"count": 1, "cpu": 1000, "estimated_ms": 2500},
    {"count": 1, "cpu": 1000, "estimated_ms": 2500, "after": [0]},
]


def scenario(cluster, record):
    common.wait_scheduler(cluster)
    entry = cluster.nodes[1]
    first_ms = (int(time.time()) + 2) * 1000
    jobs = {
        AT_ONCE: {"times": 3, "first_run_ms": first_ms},
        THREE_A_SECOND: {
            "times": 6,
            "first_run_ms": first_ms,
            "period_ms": 333.3,
        },
    }
    for job, fields in jobs.items():
        spec = json.dumps({"seconds": TASK_SECONDS})
        body = json.dumps(
            {"spec": spec, "steps": STEPS, **fields}
        )
        cluster.world.record_job(job, body)
        reply = common.call(
            record, cluster, entry, "POST", f"/alpha/{job}", body.encode()
        )
        if reply is None or reply.status != 200:
            raise common.CouldNotRun("a job was not accepted")
    log = cluster.world.log

    def done():
        with log.lock:
            return {
                each.task
                for each in log.intervals
                if each.outcome == "done" and each.acknowledged
            }

    # The last occurrence is due 1.7 s after the first.
    last_first_steps = {f"{AT_ONCE}.2.0.0", f"{THREE_A_SECOND}.5.0.0"}
    common.wait_for(
        lambda: last_first_steps <= done(),
        20.0,
        "the first steps of all occurrences are done",
    )
    if common.TROUBLE:
        node = cluster.scheduler()
        node.kill()
        record.note(f"SIGKILL to node-{node.number}, which schedules")
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline and not all(
        cluster.state("alpha", job) == "completed" for job in jobs
    ):
        time.sleep(0.2)
    for job in jobs:
        record.note(job + " is " + cluster.state("alpha", job))
    return common.twice(cluster)


common.run_case(scenario, count=3, pools={"alpha": 4})
