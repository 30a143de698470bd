"""What the scripts of review 3 share: the deployment, the record, the result.

The nodes are the project's own programs, started with the command of the
deploy file. The platform and its runners are the project's stand-in,
`tests/emulator`, served on loopback addresses only.
"""

import contextlib
import json
import os
import pathlib
import random
import socket
import sys
import threading
import time

from emulator import nodes
from emulator import rules
from emulator import runners
from emulator import wire
from emulator import world as worlds

HELD, BROKEN, NOT_RUN = 0, 1, 2
POOL = "conditions"
# The bounds of the small installation gidgee-sched, in milliseconds.
_BOUNDS = {
    "max_lease_ms": 10000,
    "handover_ms": 3000,
    "maintenance_ms": 2000,
    "exit_grace_ms": 6000,
}
# The machines of that installation.
_RESOURCES = {"cores": 2, "core_share": 0.537, "link_mbps": 1000.0}
_SETTLE_SECONDS = 2.0
# An entry of the registry is removed after three heartbeats of 1.5 s.
_ENTRY_EXPIRY_SECONDS = 4.5
# For how long the runners are up when the nodes start.
_RUNNER_AGE_SECONDS = 600


class NotRunError(Exception):
    """The case could not be played as it is meant."""


def trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_ports(count):
    """Return ports that are free on the loopback addresses that are used.

    They are below those that systems give to outgoing connections.
    """
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for host in ("127.0.0.1", "127.1.0.1", "127.2.0.1"):
                probe = stack.enter_context(socket.socket())
                probe.bind((host, port))
            ports.append(port)
    return ports


@contextlib.contextmanager
def _served(world, hosts):
    """Serve a world on loopback addresses while the context lasts."""
    world.port, world.runner_port = _free_ports(2)
    servers = []
    for host in hosts:
        server = wire._Server(
            (host, world.port), wire.App(world), numthreads=48, max=48
        )
        server.shutdown_timeout = 1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        servers.append(server)
    listeners = []

    def listen(address):
        listeners.append(
            wire._RunnerListener(address=address, app=wire.App(world))
        )
        return listeners[-1]

    world.listen = listen
    world.start()
    try:
        yield
    finally:
        world.stop()
        for each in listeners:
            each.close()
        for each in servers:
            each.stop()


def _age_runners(world):
    """Let the runners' clocks and births say that they began before."""
    for each in world.runners.values():
        each.born -= _RUNNER_AGE_SECONDS * 1000
        each._clock_start -= _RUNNER_AGE_SECONDS
        world.write("servers", each.id, each.row())


def _add_aged_pool(add_pool):
    def added(world, *args, **kwargs):
        add_pool(world, *args, **kwargs)
        _age_runners(world)

    return added


@contextlib.contextmanager
def deployment(*, node_count, runner_count):
    """Run nodes and one pool of runners while the context lasts."""
    hosts = [f"127.2.0.{number + 1}" for number in range(node_count)]
    wire.served = lambda world: _served(world, hosts)
    wire.free_ports = _free_ports
    worlds.World.add_pool = _add_aged_pool(worlds.World.add_pool)
    with nodes.cluster(
        nodes=node_count,
        pools={POOL: runner_count},
        max_lease_ms=_BOUNDS["max_lease_ms"],
        settings={"bounds": _BOUNDS, "resources": _RESOURCES},
    ) as cluster:
        cluster.world.registry_expiry_seconds = _ENTRY_EXPIRY_SECONDS
        time.sleep(_SETTLE_SECONDS)
        yield cluster


class Record:
    """Collects what runners and clients see, in order of time.

    `noted_at` holds, by work item and run, when its end was first noted.

    Args:
        folder: Where `record.txt` is written.
    """

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []
        self._lock = threading.Lock()
        self.began = time.monotonic()
        self.noted_at = {}

    def add(self, text, at=None):
        """Add a line, for now or another monotonic time."""
        seconds = (time.monotonic() if at is None else at) - self.began
        with self._lock:
            self._lines.append((seconds, text))

    def write(self):
        """Write all lines by their time."""
        with self._lock:
            lines = sorted(self._lines, key=lambda each: each[0])
        text = "".join(f"{at:8.3f} s  {line}\n" for at, line in lines)
        self._path.write_text(text)

    def watch_runners(self):
        """Record each start and stop order as a runner handles it."""
        for name in ("start", "stop"):
            self._watch(name)
        note = rules.RunLog.record_acknowledged

        def noted(log, runner, row):
            key = (row[1], row[2])
            if key not in self.noted_at:
                self.noted_at[key] = time.monotonic()
                self.add(f"{runner.id}: end of {row[1]} run {row[2]} noted")
            note(log, runner, row)

        rules.RunLog.record_acknowledged = noted

    def _watch(self, name):
        call = getattr(runners.Runner, name)

        def recorded(runner, body, delayed=False):
            order = f"{name} of {body['task']} run {body['run']}"
            where = f"{runner.id} (born {runner.born})"
            late = ", carried out late" if delayed else ""
            try:
                answer = call(runner, body, delayed)
            except runners.UnansweredError:
                self.add(f"{where}: {order}: no answer")
                raise
            except runners.RunnerStatusError as error:
                self.add(
                    f"{where}: {order}: {error.status} {error.reason}{late}"
                )
                raise
            self.add(f"{where}: {order}: 200{late}")
            return answer

        setattr(runners.Runner, name, recorded)

    def add_runs(self, runs):
        """Record when runs began and ended, and how."""
        for each in runs:
            run = f"{each.task} run {each.run} on {each.runner.id}"
            self.add(f"{run} begins", each.began)
            if each.ended:
                noted = ", noted" if each.acknowledged else ""
                self.add(f"{run} ends {each.outcome}{noted}", each.ended)

    def submit(self, cluster, number, job_id, steps, **fields):
        """Submit a job at a node, and record the answer."""
        node = cluster.nodes[number]
        reply = cluster.submit(node, POOL, job_id, steps, **fields)
        status = reply.status if reply is not None else None
        self.add(f"client: POST {job_id} at node {number + 1}: {status}")
        if status != 200:
            raise NotRunError(f"job {job_id} was not accepted")

    def show(self, cluster, job_id):
        """Return what a client is told of a job, and record it."""
        for node in cluster.nodes:
            reply = cluster.call(node, "GET", f"/{POOL}/{job_id}")
            if reply is not None:
                answer = json.loads(reply.data)
                self.add(f"client: GET {job_id}: {reply.status} {answer}")
                if reply.status == 200:
                    return answer["state"]
        return ""


def wait_until(condition, seconds, what):
    """Wait until a condition holds.

    Raises:
        NotRunError: It did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise NotRunError(f"not within {seconds} s: {what}")
        time.sleep(0.005)


def watch_orders():
    """Return a list that gets the runner of each start and stop order."""
    orders = []
    for name in ("start", "stop"):
        _note_orders(name, orders)
    return orders


def watch_polls():
    """Return a list that gets the runner of each poll as it comes."""
    polls = []
    hold = runners.Runner.hold

    def noted(runner, body, delayed=False):
        polls.append(runner)
        return hold(runner, body, delayed)

    runners.Runner.hold = noted
    return polls


def _note_orders(name, orders):
    call = getattr(runners.Runner, name)

    def noted(runner, body, delayed=False):
        try:
            return call(runner, body, delayed)
        finally:
            if not delayed:
                orders.append(runner)

    setattr(runners.Runner, name, noted)


def starts_after_done(runs):
    """Return a line for each start of a run after one that was done."""
    return [
        f"TWICE: {later.task} run {later.run} began on {later.runner.id} "
        f"{later.began - done.ended:.2f} s after run {done.run} had ended "
        "done, and that end was noted"
        for done in runs
        if done.outcome == "done" and done.acknowledged
        for later in runs
        if later.began > done.ended
    ]


def main(folder, play):
    """Play a case, write its record, and exit as the issue asks.

    Args:
        folder: The case's folder.
        play: Called with the record; returns the lines on what is broken.
    """
    record = Record(folder)
    try:
        broken = play(record)
    except (NotRunError, AssertionError) as error:
        record.add(f"could not run: {error}")
        code = NOT_RUN
    else:
        for line in broken or ["the rule held"]:
            record.add(line)
        code = BROKEN if broken else HELD
    record.write()
    sys.stdout.flush()
    os._exit(code)
