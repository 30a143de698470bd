"""Real nodes, as processes, against a served `World`."""

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
_HOST = "jobs.example"


@attrs.define
class NodeProcess:
    """One node: its number, addresses, process and log file."""

    number: int
    callers: str
    readiness: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def store_host(self):
        """The address by which this node, and no other, calls the store."""
        return f"127.2.0.{self.number}"

    def start(self):
        """Start the process."""
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "peridotsill_adapter"],
                env={**os.environ, "PERIDOTSILL_CONFIG": str(self.settings)},
                stdout=out,
                stderr=out,
            )

    def send(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def change_settings(self, **fields):
        """Replace the settings file by one with other fields."""
        found = json.loads(self.settings.read_text())
        new = self.settings.with_suffix(".new")
        new.write_text(json.dumps({**found, **fields}))
        new.replace(self.settings)

    def lines(self):
        """Return the log's lines that are JSON."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class Cluster:
    """Nodes, their world, and callers of it."""

    def __init__(self, *, world, folder, count, settings, standby):
        self.world = world
        self.standby = standby
        self._folder = folder
        self._settings = settings
        self.nodes = [self._make(number + 1) for number in range(count)]
        self._http = urllib3.PoolManager(retries=False, maxsize=32)

    def _make(self, number):
        host = f"127.1.0.{number}"
        port = wire.free_port()
        node = NodeProcess(
            number=number,
            callers=f"{host}:{port}",
            readiness=f"{host}:{port + 1}",
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
        """Wait until a node reports itself ready."""
        wait_for(lambda: self.ready(node), _START_SECONDS, "a ready node")

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
        """Return the node that holds the lease, as the store says."""
        row = self.world.read("control", "scheduler") or {}
        for node in self.nodes:
            if row.get("holder") == f"node-{node.number}":
                return node
        return None

    def call(self, node, method, path, body=None, seconds=3.0):
        """Call a node as a caller does; None without an answer."""
        headers = {
            "Host": _HOST,
            "Content-Type": "application/json",
            "Peridotsill-Deadline-Ms": str(int(seconds * 1000)),
        }
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self._http.request(
                method,
                f"http://{node.callers}{path}",
                body=body,
                headers=headers,
                timeout=seconds,
            )
        return None

    def submit(self, node, pool, job_id, steps, *, seconds=0.1, poison=False):
        """Submit a job whose tasks take ``seconds``."""
        spec = json.dumps({"seconds": seconds, "poison": poison})
        body = json.dumps({"spec": spec, "steps": steps})
        self.world.note_job(job_id, body)
        reply = self.call(node, "POST", f"/{pool}/{job_id}", body.encode())
        if reply is not None and reply.status in (429, 503):
            self.world.rejected.add(job_id)
        elif reply is not None and reply.status == 200:
            self.world.rejected.discard(job_id)
        return reply

    def state(self, pool, job_id, node=None):
        """Return a job's state as some live node tells it."""
        nodes = [node] if node else self.nodes
        for each in nodes:
            reply = self.call(each, "GET", f"/{pool}/{job_id}", seconds=1.0)
            if reply is not None and reply.status == 200:
                return json.loads(reply.data)["state"]
            if reply is not None and reply.status == 410:
                return "gone"
        return ""

    def wait_state(self, pool, job_id, state, seconds):
        """Wait until a job has a state."""
        wait_for(
            lambda: self.state(pool, job_id) == state,
            seconds,
            f"{job_id} {state}, not {self.state(pool, job_id)}",
        )

    def events(self, kind):
        """Return the log lines of a kind, over all nodes."""
        return [
            line
            for node in self.nodes
            for line in node.lines()
            if line.get("message_type") == kind
        ]


def wait_for(condition, seconds, what):
    """Wait until a condition holds.

    Raises:
        AssertionError: If it doesn't in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    if not condition():
        raise AssertionError(f"not within {seconds} s: {what}")


@contextlib.contextmanager
def cluster(*, nodes, pools, standby=(), settings=None):
    """Run nodes against a new world while the context lasts.

    ``pools`` maps a pool's name to its number of VMs; those named in
    ``standby`` too are standby pools. ``settings`` go into each node's.
    """
    made = worlds.World()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        stack.enter_context(wire.served(made))
        for pool, count in pools.items():
            made.add_pool(pool, count)
        queues = [pool for pool in pools if pool not in standby]
        made.configure(1, queues, standby)
        running = Cluster(
            world=made,
            folder=pathlib.Path(folder),
            count=nodes,
            settings=settings or {},
            standby=standby,
        )
        try:
            running.start()
            yield running
        finally:
            _end_all(running.nodes)


def _end_all(nodes):
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
