"""Restarts runners under their ids, and cuts them off, while long tasks run.

``python -m emulator.restarts`` plays new series, with the options of
`emulator.soak`; each line begins with the seed that draws its series again.
A series holds several restarts, which overlap. Calls for a runner's former
lifetime are executed by the next one, some of them seconds later. Near each
restart a node is killed, stopped or frozen, by preference the scheduler.
"""

import concurrent.futures
import random
import sys
import threading
import time

import attrs

from emulator import nodes
from emulator import rules
from emulator import seeds

_POOL = "trails"
_VMS = 8
_LASTING_JOB = f"{1:016x}"
_LASTING_STEP = {"count": 4, "cpu": 3000, "long_lived": True}
_STEP = {"count": 2, "cpu": 3000, "estimated_ms": 4000}
_WIDE_STEP = {"count": 24, "cpu": 3000, "estimated_ms": 4000}
_TASK_SECONDS = (0.3, 3.0, 8.0, 13.0)
_JOB_GAP_SECONDS = 0.35
_START_UP_SECONDS = 8.0
_RESTARTS = 4
# Until all waits of a scheduler that takes over at the end have passed.
_SETTLE_SECONDS = 60.0
_MAX_LEASES_MS = (10_000.0, 6_000.0)
_NODE_ACTIONS = {
    "kill": nodes.NodeProcess.kill_and_start,
    "stop": nodes.NodeProcess.stop_and_start,
    "freeze": nodes.NodeProcess.freeze,
}


@attrs.frozen(kw_only=True)
class Restart:
    """What a runner and a node go through, in seconds.

    The runner is the one with the most runs, or the n-th, at ``at``. For
    ``late_seconds`` before it ends each ``late_every``-th of its orders, and
    polls if ``late_polls``, is executed that much later. It is down for
    ``down_seconds``; its address is silent or refuses connections meanwhile.
    The calls that it left are executed ``kept_seconds`` after its start. It
    is cut off ``heard_seconds`` after that, for ``cut_seconds``.
    ``node_action`` names what happens to a node ``node_delay`` seconds after
    the restart. A job with tasks of ``task_seconds`` for all runners is
    submitted as the runner ends.
    """

    number: int
    at: float
    runner: int
    task_seconds: float
    late_seconds: float
    late_polls: bool
    late_every: int
    is_silent: bool
    down_seconds: float
    kept_seconds: float
    reaches_store: bool
    heard_seconds: float
    cut_seconds: float
    node_action: str
    node: int
    node_delay: float
    node_seconds: float


def draw_series(seed, node_count):
    """Return the restarts that a seed stands for, by their beginning."""
    draw = random.Random(seed)
    # Apart, so that seeds stand for what else they stood for before.
    late_draw = random.Random(f"late {seed}")
    at = 0.0
    series = []
    for number in range(_RESTARTS):
        at += draw.choice((0.2, 2.0, 5.0))
        series.append(
            Restart(
                number=number,
                at=at,
                task_seconds=draw.choice((4.0, 9.0, 14.0)),
                runner=draw.choice((0, 0, 0, *range(1, _VMS))),
                late_seconds=draw.choice((0.0, 0.0, 1.0, 3.0)),
                late_polls=draw.random() < 0.5,
                late_every=late_draw.choice((1, 2, 2, 3)),
                is_silent=draw.random() < 0.7,
                down_seconds=draw.choice((0.0, 0.1, 0.3, 0.6, 1.5)),
                kept_seconds=draw.choice((0.0, 0.0, 0.4, 1.5, 4.0)),
                reaches_store=draw.random() < 0.7,
                heard_seconds=draw.choice((0.05, 0.3, 0.8, 2.0, 4.0)),
                cut_seconds=draw.choice((2.0, 5.0, 9.0, 11.0, 14.0)),
                node_action=draw.choice(
                    ("none", "kill", "kill", "kill", "stop", "freeze")
                ),
                node=draw.choice((0, 0, 0, *range(1, node_count + 1))),
                node_delay=draw.uniform(0.0, 4.0),
                node_seconds=draw.choice((0.05, 0.3, 1.5, 3.0)),
            )
        )
    return series


class _Series:
    """One play of a series."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._world = cluster.world
        self._seed = seed
        self._busy = {node.number: threading.Lock() for node in cluster.nodes}
        self._accepted = []
        self._began = 0.0
        self._unix_began = 0.0
        self._stopped = threading.Event()

    def play(self):
        """Play the series; return a line for each problem."""
        self._submit(_LASTING_JOB, [_LASTING_STEP], 1.0)
        time.sleep(_START_UP_SECONDS)
        client = threading.Thread(target=self._submit_repeatedly)
        client.start()
        time.sleep(1.0)
        series = draw_series(self._seed, len(self._cluster.nodes))
        self._began = time.monotonic()
        self._unix_began = time.time()
        with concurrent.futures.ThreadPoolExecutor(2 * _RESTARTS) as pool:
            ends = []
            for restart in series:
                time.sleep(
                    max(0.0, self._began + restart.at - time.monotonic())
                )
                ends.append(pool.submit(self._restart_runner, restart))
                ends.append(pool.submit(self._disrupt_node, restart))
            for end in ends:
                end.result()
        self._stopped.set()
        client.join()
        broken = rules.broken_rules(self._world)
        return [
            *self._unfinished(),
            *broken,
            *(line for rule in broken for line in self._describe_runs(rule)),
        ]

    def _describe_runs(self, broken_rule):
        """Return a line for each run of a task that ran twice."""
        rule, _, rest = broken_rule.partition(": ")
        if rule != "TWICE":
            return
        for each in self._world.log.runs_of(rest.partition(" ")[0]):
            began, ended = (
                round(at - self._began, 2) if at else "?"
                for at in (each.began, each.ended)
            )
            yield (
                f"  {began} s to {ended} s run {each.run} on {each.runner.id}"
                f" (up at {each.runner.born / 1000 - self._unix_began:.2f} s),"
                f" fence {each.body.get('fencing_token')}: {each.outcome}"
            )

    def _submit(self, job, steps, seconds):
        deadline = time.monotonic() + _SETTLE_SECONDS
        draw = random.Random(f"{self._seed} {job}")
        while time.monotonic() < deadline:
            node = draw.choice(self._cluster.nodes)
            reply = self._cluster.submit(
                node, _POOL, job, steps, seconds=seconds
            )
            if reply is not None and reply.status == 200:
                return True
            time.sleep(0.2)
        return False

    def _submit_repeatedly(self):
        draw = random.Random(self._seed)
        number = 1
        while not self._stopped.wait(_JOB_GAP_SECONDS):
            number += 1
            job = f"{number:016x}"
            if self._submit(job, [_STEP], draw.choice(_TASK_SECONDS)):
                self._accepted.append(job)

    def _submit_wide(self, restart):
        """Submit a job that has tasks for all runners."""
        job = f"{1 + restart.number:08x}{0:08x}"
        if self._submit(job, [_WIDE_STEP], restart.task_seconds):
            self._accepted.append(job)

    def _runner(self, number):
        runners = [each for each in self._world.runners.values() if each.up]
        if number == 0:
            return max(runners, key=lambda each: len(each.runs))
        return runners[number % len(runners)]

    def _restart_runner(self, restart):
        runner = self._runner(restart.runner)
        runner.faults.late_seconds = restart.late_seconds
        runner.faults.late_polls = restart.late_polls
        runner.faults.late_every = restart.late_every
        time.sleep(restart.late_seconds)
        if not runner.up:
            return
        self._world.begin_restart(runner, is_silent=restart.is_silent)
        # Its starts are sent before the scheduler knows of the restart.
        threading.Thread(target=self._submit_wide, args=(restart,)).start()
        time.sleep(restart.down_seconds)
        runner = self._world.end_restart(
            runner, restart.kept_seconds, restart.reaches_store
        )
        time.sleep(restart.heard_seconds)
        if not runner.up:
            return
        runner.faults.silent = True
        runner.faults.unregistered = True
        time.sleep(restart.cut_seconds)
        if runner.up:
            runner.faults.silent = False
            runner.faults.unregistered = False

    def _disrupt_node(self, restart):
        time.sleep(
            restart.late_seconds + restart.down_seconds + restart.node_delay
        )
        node = self._cluster.scheduler()
        if restart.node or node is None:
            node = self._cluster.nodes[restart.node - 1]
        if restart.node_action == "none":
            return
        if not self._busy[node.number].acquire(blocking=False):
            return
        try:
            _NODE_ACTIONS[restart.node_action](node, restart.node_seconds)
        finally:
            self._busy[node.number].release()

    def _unfinished(self):
        deadline = time.monotonic() + _SETTLE_SECONDS
        for job in self._accepted:
            left = max(0.1, deadline - time.monotonic())
            try:
                nodes.wait_for(
                    lambda job=job: self._is_over(job), left, f"{job} is over"
                )
            except AssertionError as error:
                yield str(error)
        runs = self._world.log.starts_of(_LASTING_JOB)
        running = sum(not each.ended for each in runs)
        if running != _LASTING_STEP["count"]:
            yield f"{running} long-lived tasks are running"

    def _is_over(self, job):
        """Tell whether a job is completed, or was given up with cause.

        A job under whose tasks two runners have crashed may be given up.
        """
        state = self._cluster.state(_POOL, job)
        runs = self._world.log.starts_of(job)
        restarts = sum(each.outcome == "restarted" for each in runs)
        return state == "completed" or (state == "failed" and restarts >= 2)


def play(seed, node_count=4):
    """Play the series of a seed; return a line for each problem."""
    with nodes.cluster(
        nodes=node_count,
        pools={_POOL: _VMS, "spare": 1},
        standby=("spare",),
        max_lease_ms=_MAX_LEASES_MS[seed % len(_MAX_LEASES_MS)],
    ) as cluster:
        return _Series(cluster, seed).play()


def main():
    """Play new series; return 1 if any had a problem."""
    return seeds.play_series(play, description=__doc__, nodes=4)


if __name__ == "__main__":
    sys.exit(main())
