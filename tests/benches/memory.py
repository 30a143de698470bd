"""Measures the memory of a job node under ordinary load.

Sixteen callers submit jobs, look them up, cancel and count them at one node
over 24 VMs; then 2,000 connections are opened to it and left idle. Prints the
largest resident memory in each part, and the processor time of a call::

    PYTHONPATH=tests .venv/bin/python -m benches.memory
"""

import argparse
import concurrent.futures
import contextlib
import json
import resource
import socket
import threading
import time

import attrs
from emulator import nodes
import psutil

_VMS = 24
_CALLERS = 16
_POOL = "trails"
_STEPS = [{"count": 2, "cpu": 1000, "estimated_ms": 100}]
# Every tenth job has a large payload, within what a row holds.
_PAYLOAD_BYTES = 1000
_LARGE_PAYLOAD_BYTES = 30000
_SETTLE_SECONDS = 3.0
_SAMPLE_SECONDS = 0.02
_IDLE_CONNECTIONS = 2000
_DESCRIPTOR_LIMIT = 4100


@attrs.frozen(kw_only=True)
class Memory:
    """Memory in MiB; ``cpu_ms`` is the processor time of one call.

    ``idle_connections`` were opened, the backlog of the listener included.
    """

    at_start: float
    peak_under_load: float
    with_idle_connections: float
    idle_connections: int
    calls: int
    failed_calls: int
    cpu_ms: float


class _Peak:
    """Samples a process's resident memory until it is stopped."""

    def __init__(self, process):
        self._process = process
        self._stopped = threading.Event()
        self.mib = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self._stopped.wait(_SAMPLE_SECONDS):
            self.mib = max(self.mib, _resident_mib(self._process))

    def stop(self):
        self._stopped.set()


def measure(jobs: int) -> Memory:
    """Serve ``jobs`` jobs with four calls each."""
    with nodes.cluster(nodes=1, pools={_POOL: _VMS}) as cluster:
        node = cluster.nodes[0]
        process = psutil.Process(node.process.pid)
        time.sleep(_SETTLE_SECONDS)
        at_start = _resident_mib(process)
        began_cpu = _cpu_seconds(process)
        peak = _Peak(process)
        with concurrent.futures.ThreadPoolExecutor(_CALLERS) as callers:
            statuses = [
                status
                for found in callers.map(
                    lambda number: _serve_job(cluster, node, number),
                    range(jobs),
                )
                for status in found
            ]
        cpu_seconds = _cpu_seconds(process) - began_cpu
        peak.stop()
        with contextlib.ExitStack() as stack:
            connections = _open_connections(node, stack)
            with_connections = _resident_mib(process)
    return Memory(
        at_start=round(at_start, 1),
        peak_under_load=round(peak.mib, 1),
        with_idle_connections=round(with_connections, 1),
        idle_connections=connections,
        calls=len(statuses),
        failed_calls=sum(status != 200 for status in statuses),
        cpu_ms=round(1000 * cpu_seconds / len(statuses), 3),
    )


def _serve_job(cluster, node, number):
    """Make the four calls of a job; return their statuses, 0 for none."""
    job_id = nodes.job_id(f"m{number}")
    size = _LARGE_PAYLOAD_BYTES if number % 10 == 0 else _PAYLOAD_BYTES
    body = json.dumps({"spec": "x" * size, "steps": _STEPS}).encode()
    path = f"/{_POOL}/{job_id}"
    replies = [
        cluster.call(node, "POST", path, body),
        cluster.call(node, "GET", path),
        cluster.call(node, "GET", f"/{_POOL}/"),
        cluster.call(node, "DELETE", path),
    ]
    return [0 if reply is None else reply.status for reply in replies]


def _open_connections(node, stack):
    """Open connections until one is not accepted; return their number."""
    host, _, port = node.callers.rpartition(":")
    for number in range(_IDLE_CONNECTIONS):
        try:
            sock = socket.create_connection((host, int(port)), 5.0)
        except OSError:
            return number
        stack.callback(sock.close)
    return _IDLE_CONNECTIONS


def _resident_mib(process):
    return process.memory_info().rss / (1 << 20)


def _cpu_seconds(process):
    return sum(process.cpu_times()[:2])


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=1000)
    options = parser.parse_args()
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (_DESCRIPTOR_LIMIT, hard_limit))
    for name, value in attrs.asdict(measure(options.jobs)).items():
        print(f"{name} {value}")


if __name__ == "__main__":
    main()
