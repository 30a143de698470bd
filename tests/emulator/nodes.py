"""Runs real nodes, as processes, against a served `World`."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import attrs
import urllib3

from emulator import wire
from emulator import world as worlds

_START_SECONDS = 15.0
_HOST_HEADER = "jobs.example"
# The steps of a job whose second step waits for its first.
TWO_STEPS = [
    {"count": 4, "cpu": 4000, "estimated_ms": 300},
    {"count": 2, "cpu": 8000, "estimated_ms": 300, "after": [0]},
]


def job_id(name):
    """Return the id of a job that scenarios call by a short name."""
    return name.encode().hex().rjust(16, "0")


@attrs.define
class NodeProcess:
    """A node that runs as a process of its own.

    ``callers`` and ``readiness`` are the addresses on which it serves callers
    and its readiness and metrics, and ``module`` is what it runs.
    """

    number: int
    callers: str
    readiness: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None
    module: str = "peridotsill_adapter"

    @property
    def store_host(self):
        """The address by which only this node calls the store."""
        return f"127.2.0.{self.number}"

    def start(self):
        """Start the process."""
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module],
                env={**os.environ, "PERIDOTSILL_CONFIG": str(self.settings)},
                stdout=out,
                stderr=out,
            )

    def send(self, signal_number):
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def freeze(self, seconds):
        """Pause the process for a time."""
        self.send(signal.SIGSTOP)
        time.sleep(seconds)
        self.send(signal.SIGCONT)

    def stop_and_start(self, seconds):
        """Stop the process by SIGTERM, and start it after a pause."""
        self.send(signal.SIGTERM)
        self.process.wait()
        time.sleep(seconds)
        self.start()

    def kill_and_start(self, seconds):
        """Kill the process, and start it after a pause."""
        self.kill()
        time.sleep(seconds)
        self.start()

    def change_settings(self, **fields):
        """Replace the settings file atomically by one with new fields."""
        current = json.loads(self.settings.read_text())
        new_path = self.settings.with_suffix(".new")
        new_path.write_text(json.dumps({**current, **fields}))
        new_path.replace(self.settings)

    def lines(self):
        """Return the log lines that are JSON; others are skipped."""
        entries = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                entries.append(json.loads(line))
        return entries

    def events(self, message_type):
        """Return the log lines of a message type."""
        return [
            line
            for line in self.lines()
            if line.get("message_type") == message_type
        ]

    def other_lines(self):
        """Return the lines that are no JSON, as of a process that failed."""
        return [
            line
            for line in self.log.read_text().splitlines()
            if not line.startswith("{")
        ]


class Cluster:
    """Nodes on a common world, and a client that calls them.

    ``standby`` holds the names of the standby pools. ``key`` is the key that
    calls send; empty for none.
    """

    def __init__(self, *, world, folder, count, settings, standby):
        self.world = world
        self.standby = standby
        self.key = ""
        self._folder = folder
        self._settings = settings
        self.nodes = [self._make_node(number + 1) for number in range(count)]
        self._http = urllib3.PoolManager(retries=False, maxsize=32)

    def _make_node(self, number):
        host = f"127.1.0.{number}"
        callers, readiness, siblings = (
            f"{host}:{port}" for port in wire.free_ports(3)
        )
        node = NodeProcess(
            number=number,
            callers=callers,
            readiness=readiness,
            settings=self._folder / f"node-{number}.json",
            log=self._folder / f"node-{number}.log",
        )
        store = f"http://{node.store_host}:{self.world.port}"
        node.settings.write_text(
            json.dumps(
                {
                    "node": f"node-{number}",
                    "domain": "z1",
                    "callers": node.callers,
                    "readiness": node.readiness,
                    "metrics": node.readiness,
                    "siblings": siblings,
                    "platform": "gidgee",
                    "table": store,
                    "vm_service": store,
                    "bounds": {"max_lease_ms": self.world.max_lease_ms},
                    **self._settings,
                }
            )
        )
        return node

    def start(self):
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            self.wait_ready(node)

    def wait_ready(self, node):
        """Wait until a node reports itself ready.

        Raises:
            AssertionError: It is not ready in time; with what it wrote.
        """
        try:
            wait_for(lambda: self.ready(node), _START_SECONDS, "a ready node")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{node.log.read_text()}") from error

    def ready(self, node):
        """Tell whether a node reports itself ready."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"http://{node.readiness}/-/readiness"
            return self._http.request("GET", url, timeout=1.0).status == 200
        return False

    def metrics(self, node):
        """Return a node's metrics as text."""
        url = f"http://{node.readiness}/metrics"
        return self._http.request("GET", url, timeout=2.0).data.decode()

    def scheduler(self):
        """Return the node that holds the scheduler's lease in the store."""
        row = self.world.read("control", "scheduler") or {}
        for node in self.nodes:
            if row.get("holder") == f"node-{node.number}":
                return node
        return None

    def call(self, node, method, path, body=None, seconds=3.0):
        """Call a node as a caller does; return None without an answer."""
        headers = {
            "Host": _HOST_HEADER,
            "Content-Type": "application/json",
            "Peridotsill-Deadline-Ms": str(int(seconds * 1000)),
        }
        if self.key:
            headers["Peridotsill-Key"] = self.key
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self._http.request(
                method,
                f"http://{node.callers}{path}",
                body=body,
                headers=headers,
                timeout=seconds,
            )
        return None

    def submit(
        self,
        node,
        pool,
        job_id,
        steps,
        *,
        seconds=0.1,
        ends_at=0.0,
        poison=False,
        deadly=(),
        **fields,
    ):
        """Submit a job whose tasks take ``seconds``, or fail with ``poison``.

        With ``ends_at`` they all end at that monotonic time instead.
        The tasks whose indexes ``deadly`` lists crash their runner.
        ``fields`` are added to the document. A job
        that is answered with status 429 or 503 must not run, unless it is
        submitted again and accepted.
        """
        spec = json.dumps(
            {
                "seconds": seconds,
                "ends_at": ends_at,
                "poison": poison,
                "deadly": list(deadly),
            }
        )
        body = json.dumps({"spec": spec, "steps": steps, **fields})
        self.world.record_job(job_id, body)
        reply = self.call(node, "POST", f"/{pool}/{job_id}", body.encode())
        if reply is not None and reply.status in (429, 503):
            self.world.rejected_jobs.add(job_id)
        elif reply is not None and reply.status == 200:
            self.world.rejected_jobs.discard(job_id)
        return reply

    def cancel(self, node, pool, job_id):
        """Cancel a job; return the answer, None without one."""
        reply = self.call(node, "DELETE", f"/{pool}/{job_id}")
        if reply is not None and reply.status == 200:
            self.world.cancelled_at.setdefault(job_id, time.monotonic())
        return reply

    def state(self, pool, job_id, node=None):
        """Return a job's state as the first node that answers shows it.

        Returns "gone" for an unknown job, and "" if no node answers.
        """
        nodes = [node] if node else self.nodes
        for each in nodes:
            reply = self.call(each, "GET", f"/{pool}/{job_id}", seconds=1.0)
            if reply is not None and reply.status == 200:
                return json.loads(reply.data)["state"]
            if reply is not None and reply.status == 410:
                return "gone"
        return ""

    def wait_state(self, pool, job_id, state, seconds):
        """Wait until a job is in a state."""
        wait_for(
            lambda: self.state(pool, job_id) == state,
            seconds,
            f"{job_id} {state}, not {self.state(pool, job_id)}",
        )

    def events(self, message_type):
        """Return the log lines of a message type from all nodes."""
        return [
            line for node in self.nodes for line in node.events(message_type)
        ]


def wait_for(condition, seconds, description):
    """Wait until a condition holds.

    Raises:
        AssertionError: The condition did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    if not condition():
        raise AssertionError(f"not within {seconds} s: {description}")


@contextlib.contextmanager
def cluster(*, nodes, pools, standby=(), settings=None, max_lease_ms=6000.0):
    """Run nodes against a new world while the context lasts.

    ``pools`` maps the name of a pool to its number of VMs; the pools named
    in ``standby`` are standby pools. ``settings`` are added to the settings
    of each node. ``max_lease_ms`` is the platform's longest lease of a run.
    """
    world = worlds.World(max_lease_ms=max_lease_ms)
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        stack.enter_context(wire.served(world))
        for pool, count in pools.items():
            world.add_pool(pool, count)
        queues = [pool for pool in pools if pool not in standby]
        world.configure(1, queues, standby)
        running = Cluster(
            world=world,
            folder=pathlib.Path(folder),
            count=nodes,
            settings=settings or {},
            standby=standby,
        )
        try:
            running.start()
            yield running
        finally:
            _kill_all(running.nodes)


def _kill_all(nodes):
    for node in nodes:
        if node.process is not None and node.process.poll() is None:
            with contextlib.suppress(OSError):
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
    threads = [
        threading.Thread(target=node.process.wait)
        for node in nodes
        if node.process is not None
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
