"""Runs a load against real nodes on the stand-in and prints a table.

``python -m emulator [LOAD.json] [--policies A,B] [--kill]``. A load is a JSON
object: ``nodes``, ``pools`` and ``standby`` (name to number of VMs),
``seconds``, ``seed`` and ``turns``. The pools have their load peaks in turn:
``turns`` holds for each pool its jobs per second at its peak (``peak``) and
outside it (``between``), and how long a peak lasts (``seconds``). Each order
policy gets the same arrivals. ``--kill`` kills the scheduler halfway.
"""

import argparse
import heapq
import json
import pathlib
import random
import time

import attrs

from emulator import nodes
from emulator import rules

_DEFAULT_LOAD = pathlib.Path(__file__).with_name("turns.json")
_TASK_SECONDS = (0.2, 0.6)
_TASK_MILLICORES = (2000, 6000)
_SETTLE_SECONDS = 20.0


@attrs.frozen(kw_only=True)
class Arrival:
    """A job of the load.

    ``at`` is when it arrives, in seconds after the start, and ``seconds``
    how long each of its tasks takes.
    """

    at: float
    pool: str
    job_id: str
    steps: list
    seconds: float

    @property
    def objective_seconds(self):
        """Return the time from arrival in which the job should complete."""
        return 1.6 * self.seconds * len(self.steps) + 0.6


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a load under a policy.

    ``late`` jobs completed after their objective, ``unfinished`` ones not at
    all; ``broken`` counts the rule violations.
    """

    policy: str
    jobs: int
    in_objective: int
    late: int
    unfinished: int
    moves: int
    broken: int


def draw_arrivals(load):
    """Draw the arrivals of a load from its seed."""
    generator = random.Random(load["seed"])
    arrivals = []
    number = 0
    for index, (pool, turn) in enumerate(sorted(load["turns"].items())):
        now = 0.0
        while now < load["seconds"]:
            phase = int(now / turn["seconds"]) % len(load["turns"])
            rate = turn["peak"] if phase == index else turn["between"]
            now += generator.expovariate(rate)
            number += 1
            seconds = generator.uniform(*_TASK_SECONDS)
            steps = [
                {
                    "count": generator.randint(2, 8),
                    "cpu": generator.randint(*_TASK_MILLICORES),
                    "estimated_ms": int(
                        seconds * generator.uniform(500, 1500)
                    ),
                }
            ]
            arrivals.append(
                Arrival(
                    at=now,
                    pool=pool,
                    job_id=f"{number:016x}",
                    steps=steps,
                    seconds=seconds,
                )
            )
    return sorted(arrivals, key=lambda each: each.at)


def play(load, policy, kill):
    """Run a load under an order policy.

    With ``kill`` the scheduler is killed halfway.
    """
    jobs = draw_arrivals(load)
    pools = {**load["pools"], **load["standby"]}
    with nodes.cluster(
        nodes=load["nodes"],
        pools=pools,
        standby=tuple(load["standby"]),
        settings={"order_policy": policy},
    ) as cluster:
        began = time.monotonic()
        killed = not kill
        for number, job in enumerate(jobs):
            time.sleep(max(0.0, began + job.at - time.monotonic()))
            if not killed and job.at > load["seconds"] / 2:
                cluster.scheduler().kill()
                killed = True
            _submit(cluster, number, job)
        completion_times = _completions(cluster, jobs, began)
        return Outcome(
            policy=policy,
            jobs=len(jobs),
            in_objective=sum(
                completion_times.get(job.job_id, 1e9)
                <= job.at + job.objective_seconds
                for job in jobs
            ),
            late=sum(
                job.at + job.objective_seconds
                < completion_times.get(job.job_id, -1.0)
                for job in jobs
            ),
            unfinished=len(jobs) - len(completion_times),
            moves=len(cluster.world.commands),
            broken=len(rules.broken_rules(cluster.world)),
        )


def _submit(cluster, number, job):
    for offset in range(len(cluster.nodes)):
        node = cluster.nodes[(number + offset) % len(cluster.nodes)]
        reply = cluster.submit(
            node, job.pool, job.job_id, job.steps, seconds=job.seconds
        )
        if reply is not None and reply.status == 200:
            return


def _completions(cluster, jobs, began):
    """Return when the last task of each completed job was done.

    Times are in seconds after the start. Jobs that aren't completed in time
    are left out.
    """
    pending = [(job.at, job.job_id, job.pool) for job in jobs]
    heapq.heapify(pending)
    deadline = time.monotonic() + _SETTLE_SECONDS
    completion_times = {}
    while pending and time.monotonic() < deadline:
        _, job_id, pool = pending[0]
        if cluster.state(pool, job_id) != "completed":
            time.sleep(0.05)
            continue
        heapq.heappop(pending)
        done_times = [
            each.ended
            for each in cluster.world.log.starts_of(job_id)
            if each.outcome == "done"
        ]
        completion_times[job_id] = max(done_times) - began
    return completion_times


def main():
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="emulator", description=__doc__)
    parser.add_argument("load", nargs="?", default=str(_DEFAULT_LOAD))
    parser.add_argument("--policies", default="first_come,payoff_density")
    parser.add_argument("--kill", action="store_true")
    options = parser.parse_args()
    load = json.loads(pathlib.Path(options.load).read_text())
    columns = [field.name for field in attrs.fields(Outcome)]
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for policy in options.policies.split(","):
        outcome = play(load, policy, options.kill)
        values = [str(each) for each in attrs.astuple(outcome)]
        print("| " + " | ".join(values) + " |", flush=True)


if __name__ == "__main__":
    main()
