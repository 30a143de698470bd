"""Freezes a node while it gets a submission that the client then cancels."""

import json
import pathlib
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-2")
)
import common  # noqa: E402

JOB = "00000000000000b1"
# The client leaves before its time budget of 3 s, and the node freezes for
# less than the 3.5 s of the site file gidgee-sched. A node that has not read
# the store for 2 s would refuse the submission.
PATIENCE_SECONDS = 0.8
FREEZE_SECONDS = 1.0
# The bounds of UNASKED, from the site file.
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
STOP_GRACE_SECONDS = 0.9
# How long the script looks on after the latest moment of the rule.
LOOK_ON_SECONDS = 3.0


def scenario(cluster, record):
    scheduler = common.wait_scheduler(cluster)
    entry, other = (each for each in cluster.nodes if each is not scheduler)
    frozen_at = time.monotonic()
    if common.TROUBLE:
        entry.send(signal.SIGSTOP)
        record.note(f"SIGSTOP to node-{entry.number}, which doesn't schedule")
    body = json.dumps(
        {
            "spec": json.dumps({"seconds": 60}),
            "steps": [
                {
                    "count": 1,
                    "cpu": 1000,
                    "estimated_ms": 60000,
                    "long_lived": True,
                }
            ],
        }
    ).encode()
    cluster.world.record_job(JOB, body)
    path = f"/alpha/{JOB}"
    common.call(
        record, cluster, entry, "POST", path, body, seconds=PATIENCE_SECONDS
    )
    reply = common.call(record, cluster, other, "DELETE", path)
    if reply is None or reply.status not in (200, 410):
        raise common.CouldNotRun("the cancelling was not acknowledged")
    acknowledged_at = time.monotonic()
    thaws_at = frozen_at + FREEZE_SECONDS
    if common.TROUBLE:
        time.sleep(max(0.0, thaws_at - time.monotonic()))
        entry.send(signal.SIGCONT)
        record.note(f"SIGCONT to node-{entry.number}")
    # The rule holds from here on: the bounds after the acknowledgement have
    # passed, and so has the time in touch since the freeze.
    judged_from = max(
        acknowledged_at + CANCEL_SECONDS + STOP_GRACE_SECONDS,
        thaws_at + CONTACT_SECONDS,
    )
    time.sleep(judged_from + LOOK_ON_SECONDS - time.monotonic())
    record.note(f"the rule is judged from {record.at(judged_from):.3f} on")
    common.call(record, cluster, other, "GET", path)
    lines = []
    for each in cluster.world.log.starts_of(JOB):
        end = each.ended or time.monotonic()
        if each.began > acknowledged_at + CANCEL_SECONDS or end > judged_from:
            lines.append(
                f"UNASKED: run {each.run} of {each.task} began"
                f" {each.began - acknowledged_at:.2f} s and runs"
                f" {end - acknowledged_at:.2f} s after the cancelling of its"
                f" job was acknowledged with {reply.status}"
            )
    return lines


common.run_case(scenario, count=3, pools={"alpha": 4})
