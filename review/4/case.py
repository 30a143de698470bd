"""A lasting job, two of whose runners crash one after the other.

Each work item is on a runner of its own. One of eight runners crashes at a
time, and its machine is back after 4.5 s with a new one.
"""

import json
import time

import platform_standin as standin

ITEMS = 4
MAY_MISS = 1
CRASHES = 2
CRASH_AFTER_S = 1.5
BACK_AFTER_S = 4.5
JUDGED_S = 15.0


class LastingPlatform(standin.Platform):
    """Work items last until they are stopped."""

    def run_seconds(self, task, spec):
        return float("inf")


def run_of(platform, task, run):
    """Return the runner that a work item is on in a run or a later one."""
    for runner in list(platform.runners.values()):
        for name, number in list(runner.runs):
            if runner.up and name == task and number >= run:
                return runner
    return None


def main():
    with standin.Site(".", platform_class=LastingPlatform) as site:
        platform = site.platform
        platform.add_pool("conditions", 8)
        platform.configure(1, ["conditions"], max_attempts=2)
        if not site.start_nodes():
            standin.give_up(site.record, "the nodes did not become ready")
        standin.wait_for(lambda: site.holder() is not None, 5.0)
        time.sleep(3.0)
        job = site.new_id()
        step = {
            "count": ITEMS,
            "cpu": 2700,
            "mem_mb": 6800,
            "estimated_ms": 900,
            "long_lived": True,
            "may_miss": MAY_MISS,
            "max_per_server": 1,
        }
        body = {"spec": json.dumps({}), "steps": [step]}
        if site.submit("conditions", job, body) != 200:
            standin.give_up(site.record, "the job was not accepted")
        task = f"{job}.0.0.0"
        for number in range(CRASHES if standin.trouble() else 0):
            first_run = number + 1
            if not standin.wait_for(
                lambda run=first_run: run_of(platform, task, run), 20.0
            ):
                break
            time.sleep(CRASH_AFTER_S)
            platform.crash(run_of(platform, task, first_run), BACK_AFTER_S)
        time.sleep(JUDGED_S)
        state = site.state("conditions", job)
        stopped = [each for each in platform.ends if each[4] == "stopped"]
        at_work = sum(len(each.runs) for each in platform.runners.values())
        site.record(
            "summary", state=state, stopped=len(stopped), at_work=at_work
        )
        standin.finish(
            site.record,
            len(stopped) > MAY_MISS,
            f"the system has stopped {len(stopped)} work items on sound "
            f"runners, may_miss is {MAY_MISS}; {at_work} are at work; the job "
            f"is shown as {state!r}; nobody cancelled it",
        )


main()
