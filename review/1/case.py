"""A job of many work items, beside small jobs of another queue.

The large job has the largest sizes of `groomlog`'s queue in the site file: 5
steps of 32 work items, 8 times, 4.5 s apart. Without trouble it comes twice.
"""

import json
import time

import platform_standin as standin

STEPS = 5
WIDTH = 32
PERIOD_S = 4.5
FINISH_S = 14.0
IDLE_S = 3.0


def main():
    times = 8 if standin.trouble() else 2
    with standin.Site(".") as site:
        platform = site.platform
        platform.add_pool("groomlog", 6)
        platform.add_pool("conditions", 6)
        platform.configure(1, ["groomlog", "conditions"])
        if not site.start_nodes():
            standin.give_up(site.record, "the nodes did not become ready")
        large = site.new_id()
        body = {
            "spec": json.dumps({"ms": 150}),
            "steps": [
                {
                    "count": WIDTH,
                    "cpu": 100,
                    "mem_mb": 64,
                    "estimated_ms": 150,
                    **({"after": [number - 1]} if number else {}),
                }
                for number in range(STEPS)
            ],
            "times": times,
            "first_run_ms": int(time.time() * 1000) + 500,
            "period_ms": int(PERIOD_S * 1000),
        }
        accepted = {}
        if site.submit("groomlog", large, body) == 200:
            accepted[large] = "groomlog"
        ends_at = time.monotonic() + 8 * PERIOD_S + 8.0
        while time.monotonic() < ends_at:
            small = site.new_id()
            step = {"count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 200}
            body = {"spec": json.dumps({"ms": 200}), "steps": [step]}
            if site.submit("conditions", small, body) == 200:
                accepted[small] = "conditions"
            time.sleep(2.0)
        site.record("traffic-ends", accepted=len(accepted))
        time.sleep(FINISH_S)
        states = {job: site.state(pool, job) for job, pool in accepted.items()}
        unfinished = [
            job for job, state in states.items() if state != "completed"
        ]
        now = time.monotonic()
        last_start = max((each[0] for each in platform.starts), default=0.0)
        site.record(
            "summary",
            accepted=len(accepted),
            unfinished=len(unfinished),
            store_refusals=platform.store.refused,
            seconds_since_last_start=round(now - last_start, 1),
            starts=len(platform.starts),
        )
        broken = bool(unfinished) and now - last_start > IDLE_S
        standin.finish(
            site.record,
            broken,
            f"{len(unfinished)} of {len(accepted)} jobs not completed "
            f"{FINISH_S} s after the traffic, last start "
            f"{now - last_start:.1f} s ago, store refused "
            f"{platform.store.refused} transactions",
        )


main()
