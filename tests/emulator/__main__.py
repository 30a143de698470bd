"""Runs a load against real nodes on the stand-in and prints a table.

``python -m emulator [LOAD.json] [--policies A,B] [--kill]``. A load is a JSON
object: ``nodes``, ``pools`` (name to VMs), ``standby``, ``seconds``, ``seed``
and ``turns``: for each pool its job rate at its turn and between turns, and
the turn's length. The same arrivals are played under each policy.
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

_DEFAULT = pathlib.Path(__file__).with_name("turns.json")
_TASK_SECONDS = (0.2, 0.6)
_TASK_CORES = (2000, 6000)
_SETTLE_SECONDS = 20.0


@attrs.frozen(kw_only=True)
class Arrival:
    """A job of the load: when, where, and its steps."""

    at: float
    pool: str
    job_id: str
    steps: list
    seconds: float

    @property
    def objective(self):
        """Return the seconds in which the job should be complete."""
        return 1.6 * self.seconds * len(self.steps) + 0.6


@attrs.frozen(kw_only=True)
class Outcome:
    """What a policy made of a load."""

    policy: str
    jobs: int
    in_objective: int
    late: int
    unfinished: int
    moves: int
    broken: int


def arrivals(load):
    """Draw the load's arrivals from its seed."""
    draw = random.Random(load["seed"])
    found = []
    number = 0
    for index, (pool, turn) in enumerate(sorted(load["turns"].items())):
        now = 0.0
        while now < load["seconds"]:
            phase = int(now / turn["seconds"]) % len(load["turns"])
            rate = turn["peak"] if phase == index else turn["between"]
            now += draw.expovariate(rate)
            number += 1
            seconds = draw.uniform(*_TASK_SECONDS)
            steps = [
                {
                    "count": draw.randint(2, 8),
                    "cpu": draw.randint(*_TASK_CORES),
                    "estimated_ms": int(seconds * draw.uniform(500, 1500)),
                }
            ]
            found.append(
                Arrival(
                    at=now,
                    pool=pool,
                    job_id=f"{number:016x}",
                    steps=steps,
                    seconds=seconds,
                )
            )
    return sorted(found, key=lambda each: each.at)


def play(load, policy, kill):
    """Play a load under an order policy."""
    jobs = arrivals(load)
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
        ends = _completions(cluster, jobs, began)
        return Outcome(
            policy=policy,
            jobs=len(jobs),
            in_objective=sum(
                ends.get(job.job_id, 1e9) <= job.at + job.objective
                for job in jobs
            ),
            late=sum(
                job.at + job.objective < ends.get(job.job_id, -1.0)
                for job in jobs
            ),
            unfinished=len(jobs) - len(ends),
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
    """Return when the last task of each job that completed was done."""
    left = [(job.at, job.job_id, job.pool) for job in jobs]
    heapq.heapify(left)
    deadline = time.monotonic() + _SETTLE_SECONDS
    ends = {}
    while left and time.monotonic() < deadline:
        _, job_id, pool = left[0]
        if cluster.state(pool, job_id) != "completed":
            time.sleep(0.05)
            continue
        heapq.heappop(left)
        done = [
            each.ended
            for each in cluster.world.log.starts_of(job_id)
            if each.how == "done"
        ]
        ends[job_id] = max(done) - began
    return ends


def main():
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="emulator", description=__doc__)
    parser.add_argument("load", nargs="?", default=str(_DEFAULT))
    parser.add_argument("--policies", default="first_come,payoff_density")
    parser.add_argument("--kill", action="store_true")
    given = parser.parse_args()
    load = json.loads(pathlib.Path(given.load).read_text())
    columns = [field.name for field in attrs.fields(Outcome)]
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for policy in given.policies.split(","):
        outcome = play(load, policy, given.kill)
        values = [str(each) for each in attrs.astuple(outcome)]
        print("| " + " | ".join(values) + " |", flush=True)


if __name__ == "__main__":
    main()
