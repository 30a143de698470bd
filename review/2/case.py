"""Many small work items that end at the same time.

Each work item records until a set time, which the job's ``spec`` gives. With
trouble there are 1,200 on two runners, without it 300.
"""

import json
import time

import platform_standin as standin

RUNNERS = 2
WIDTH = 300
CPU = 50
RECORD_S = 9.0
JUDGED_S = 30.0


class RecordingPlatform(standin.Platform):
    """Work items end at the time that their spec gives."""

    def run_seconds(self, task, spec):
        return max(0.0, spec["until_unix_ms"] / 1000.0 - time.time())


def main():
    jobs = 4 if standin.trouble() else 1
    with standin.Site(".", platform_class=RecordingPlatform) as site:
        platform = site.platform
        platform.add_pool("conditions", RUNNERS)
        platform.configure(1, ["conditions"], max_attempts=2)
        if not site.start_nodes():
            standin.give_up(site.record, "the nodes did not become ready")
        standin.wait_for(lambda: site.holder() is not None, 5.0)
        time.sleep(3.0)
        step = {
            "count": WIDTH,
            "cpu": CPU,
            "mem_mb": 64,
            "estimated_ms": int(RECORD_S * 1000),
        }
        until_ms = int((time.time() + RECORD_S) * 1000)
        body = {
            "spec": json.dumps({"until_unix_ms": until_ms}),
            "steps": [step],
        }
        accepted = []
        for _ in range(jobs):
            job = site.new_id()
            if site.submit("conditions", job, body) == 200:
                accepted.append(job)
        if len(accepted) < jobs:
            standin.give_up(site.record, "a job was not accepted")
        time.sleep(max(0.0, until_ms / 1000.0 - 0.5 - time.time()))
        on_runners = [len(each.runs) for each in platform.runners.values()]
        site.record("before-the-end", on_runners=on_runners)
        states = []
        ends_at = time.monotonic() + JUDGED_S
        while time.monotonic() < ends_at:
            states = [site.state("conditions", job) for job in accepted]
            if all(state == "completed" for state in states):
                break
            time.sleep(1.0)
        time.sleep(3.0)
        done = {}
        for at, runner, task, run, how in platform.ends:
            if how == "done":
                done.setdefault(task, (at, run, runner))
        again = []
        for at, runner, task, run in platform.starts:
            if task not in done or at <= done[task][0]:
                continue
            done_at, done_run, done_on = done[task]
            if run != done_run and (done_on, task, done_run) in platform.seen:
                again.append((task, run, runner, done_run, done_on))
        for task, run, runner, done_run, done_on in again[:10]:
            site.record(
                "started-again",
                task=task,
                run=run,
                runner=runner,
                after_done_run=done_run,
                on=done_on,
            )
        site.record("summary", states=states, started_again=len(again))
        standin.finish(
            site.record,
            bool(again),
            f"{len(again)} of {WIDTH * jobs} work items were started again "
            f"after a run had ended 'done' whose end was taken note of; up to "
            f"{max(on_runners)} ended at once on a runner; states: "
            f"{sorted(set(states))}",
        )


main()
