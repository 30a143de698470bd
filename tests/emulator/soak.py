"""Sends overlapping series of signals to real nodes under load.

``python -m emulator.soak [--count N] [--seed S] [--at-once N] [--nodes N]``
plays new series; each line begins with the seed that draws its series again.
Nothing but the nodes is disrupted, so no long-lived task has a reason to end.
"""

import concurrent.futures
import random
import signal
import sys
import threading
import time

import attrs

from emulator import nodes
from emulator import rules
from emulator import seeds

_POOL = "trails"
_LASTING_JOBS = 3
_LASTING_STEP = {"count": 4, "cpu": 3000, "long_lived": True, "may_miss": 1}
_CLIENTS = 3
_SMALL_JOB_GAP_SECONDS = 0.4
_START_UP_SECONDS = 2.0
_SERIES_SECONDS = 18.0
# Longer than a lease and all that is waited for after it.
_SETTLE_SECONDS = 14.0
_FINISH_SECONDS = 30.0
_KINDS = ("freeze", "stop", "kill", "reload", "configure")
_WEIGHTS = (5, 3, 2, 1, 2)
_OUTAGES = ("freeze", "stop", "kill")
# The longest time in which a node stops, starts, and could take the lease.
_RECOVERY_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class Action:
    """What is done ``at`` seconds after the series begins.

    ``target`` is a node's number, or 0 for the one that holds the lease then.
    A freeze lasts for ``seconds``, and so long a stopped node stays down.
    """

    at: float
    kind: str
    target: int
    seconds: float


def draw_series(seed, node_count):
    """Return the actions that a seed stands for, which may overlap.

    Two nodes at least are up and have been so for some time at any moment:
    otherwise nobody can take the lease before the leases of runs expire.
    """
    draw = random.Random(seed)
    actions = []
    out_until = []
    at = draw.uniform(0.0, 2.0)
    while at < _SERIES_SECONDS:
        action = Action(
            at=at,
            kind=draw.choices(_KINDS, _WEIGHTS)[0],
            target=draw.choice((0, 0, *range(1, node_count + 1))),
            seconds=draw.choice((0.3, 1.0, 2.0, 4.0, 6.0)),
        )
        out_until = [end for end in out_until if end > at]
        if action.kind in _OUTAGES:
            if len(out_until) >= node_count - 2:
                action = attrs.evolve(action, kind="reload")
            else:
                out_until.append(at + action.seconds + _RECOVERY_SECONDS)
        actions.append(action)
        at += draw.choice((0.05, 0.4, 1.2, 3.0))
    return actions


class _Soak:
    """One play of a series; ``problems`` is empty if all was well."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._seed = seed
        self._busy = {node.number: threading.Lock() for node in cluster.nodes}
        self._config_lock = threading.Lock()
        self._config_version = 1
        self._accepted = []
        self._stopped = threading.Event()

    def play(self):
        """Play the series; return a line for each problem."""
        for number in range(1, _LASTING_JOBS + 1):
            self._submit(f"{number:016x}", [_LASTING_STEP])
        time.sleep(_START_UP_SECONDS)
        clients = [
            threading.Thread(target=self._call_repeatedly, args=(number,))
            for number in range(_CLIENTS)
        ]
        series = draw_series(self._seed, len(self._cluster.nodes))
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            for client in clients:
                client.start()
            began = time.monotonic()
            for action in series:
                time.sleep(max(0.0, began + action.at - time.monotonic()))
                pool.submit(self._act, action)
        self._stopped.set()
        for client in clients:
            client.join()
        time.sleep(_SETTLE_SECONDS)
        return [
            *self._ended_lasting_runs(),
            *self._unfinished(),
            *rules.broken_rules(self._cluster.world),
        ]

    def _submit(self, job, steps, node=None):
        """Submit a job at a node, or until it is accepted without one."""
        deadline = time.monotonic() + _FINISH_SECONDS
        while time.monotonic() < deadline:
            reply = self._cluster.submit(
                node or self._cluster.nodes[0], _POOL, job, steps, seconds=0.2
            )
            if reply is not None and reply.status == 200:
                return True
            if node is not None:
                return False
            time.sleep(0.2)
        return False

    def _call_repeatedly(self, client):
        """Submit jobs and ask for them over connections that are kept."""
        draw = random.Random(f"{self._seed} {client}")
        number = 0
        while not self._stopped.wait(_SMALL_JOB_GAP_SECONDS):
            number += 1
            job = f"{client + 1:08x}{number:08x}"
            node = draw.choice(self._cluster.nodes)
            if self._submit(job, nodes.TWO_STEPS, node):
                self._accepted.append(job)
                self._cluster.state(_POOL, job, node)

    def _act(self, action):
        node = self._cluster.scheduler()
        if action.target:
            node = self._cluster.nodes[action.target - 1]
        if action.kind == "configure":
            self._configure()
        elif node is not None and self._busy[node.number].acquire(False):
            try:
                getattr(self, f"_{action.kind}")(node, action.seconds)
            finally:
                self._busy[node.number].release()

    def _configure(self):
        with self._config_lock:
            self._config_version += 1
            self._cluster.world.configure(
                self._config_version, [_POOL], self._cluster.standby
            )

    def _freeze(self, node, seconds):
        node.freeze(seconds)

    def _stop(self, node, seconds):
        node.stop_and_start(min(seconds, 1.0))

    def _kill(self, node, seconds):
        node.kill_and_start(min(seconds, 1.0))

    def _reload(self, node, seconds):
        node.send(signal.SIGHUP)

    def _ended_lasting_runs(self):
        log = self._cluster.world.log
        for number in range(1, _LASTING_JOBS + 1):
            runs = log.starts_of(f"{number:016x}")
            for each in runs:
                if each.outcome:
                    yield f"{each.task} run {each.run} ended: {each.outcome}"
            running = sum(not each.ended for each in runs)
            if running != _LASTING_STEP["count"]:
                yield f"{number:016x} has {running} tasks running"

    def _unfinished(self):
        deadline = time.monotonic() + _FINISH_SECONDS
        for job in self._accepted:
            left = max(0.1, deadline - time.monotonic())
            try:
                self._cluster.wait_state(_POOL, job, "completed", left)
            except AssertionError as error:
                yield str(error)


def play(seed, node_count=5):
    """Play the series of a seed; return a line for each problem."""
    with nodes.cluster(
        nodes=node_count, pools={_POOL: 8, "spare": 2}, standby=("spare",)
    ) as cluster:
        return _Soak(cluster, seed).play()


def main():
    """Play new series; return 1 if any had a problem."""
    return seeds.play_series(play, description=__doc__, nodes=5)


if __name__ == "__main__":
    sys.exit(main())
