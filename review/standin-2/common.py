"""What the scripts of cases 6 to 10 share: nodes, clients, a record.

The platform, its store and its runners are the project's own stand-in,
`tests/emulator`. Nodes are started with the command of the deploy file,
`python3 -m peridotsill_adapter`, and with settings as the deploy file's
template makes them for a small deployment.
"""

import contextlib
import os
import pathlib
import sys
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(REPOSITORY / "tests"),
    str(REPOSITORY / "target" / "deps"),
]
os.environ["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
os.environ.pop("PERIDOTSILL_CONFIG", None)

from emulator import nodes  # noqa: E402
from emulator import rules  # noqa: E402
from emulator import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The bounds of the small deployment gidgee-sched.
SETTINGS = {
    "resources": {"cores": 2, "core_share": 0.537, "link_mbps": 1000.0},
    "bounds": {
        "max_lease_ms": 10000,
        "handover_ms": 3000,
        "maintenance_ms": 2e3,
        "exit_grace_ms": 6e3,
    },
}
MAX_LEASE_MS = 10000.0


class _LoopbackServer(wire._Server):
    """Listens on one loopback address where the stand-in takes all."""

    def __init__(self, address, *arguments, **options):
        host, port = address
        if host == "0.0.0.0":
            host = nodes.NodeProcess.store_host
        super().__init__((host, port), *arguments, **options)


# All nodes call the store and the VM service at the same address.
nodes.NodeProcess.store_host = "127.0.0.1"
wire._Server = _LoopbackServer


class CouldNotRun(Exception):
    """The scenario did not get as far as the disruption."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def at(self, moment):
        """Return a monotonic time in seconds since the start."""
        return moment - self._began

    def note(self, text, at=None):
        """Write a line, for now or for an earlier moment."""
        seconds = self.at(time.monotonic() if at is None else at)
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()

    def note_runs(self, log):
        """Write all runs that runners began, by the time of their start."""
        self.note("what the runners ran:")
        with log.lock:
            runs = sorted(log.intervals, key=lambda each: each.began)
        for each in runs:
            end = (
                f"{each.outcome} at {self.at(each.ended):.3f}"
                + (", taken note of" if each.acknowledged else "")
                if each.ended
                else "still running"
            )
            self._file.write(
                f"{self.at(each.began):8.3f}  run {each.run} of {each.task}"
                f" began on {each.runner.id}, fence"
                f" {each.body.get('fencing_token', 0)}; {end}\n"
            )
        self._file.flush()


def call(record, cluster, node, method, path, body=None, seconds=3.0):
    """Call a node as a client does, and record it."""
    record.note(f"{method} {path} to node-{node.number} {body or ''}")
    reply = cluster.call(node, method, path, body, seconds)
    record.note(
        f"{method} {path} answered "
        + (f"{reply.status} {reply.data!r}" if reply is not None else "nothing")
    )
    return reply


def wait_for(condition, seconds, description):
    """Wait until a condition holds.

    Raises:
        CouldNotRun: It did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.03)
    raise CouldNotRun(f"not within {seconds} s: {description}")


def wait_scheduler(cluster):
    """Wait until a node schedules, and return it."""
    wait_for(
        lambda: cluster.scheduler() is not None
        and any(
            line["epoch"] == (cluster.world.read("control", "scheduler") or {}
                              ).get("epoch")
            for line in cluster.events("scheduler:began")
        ),
        20.0,
        "a scheduler",
    )
    return cluster.scheduler()


def run_case(scenario, *, count, pools, standby=(), settings=None):
    """Run a scenario against a cluster; exit as `run.sh` has to.

    ``scenario`` takes the cluster and the record, and returns the lines that
    say how the rule was broken.
    """
    record = Record(os.environ.get("CASE_FOLDER", "."))
    record.note(f"trouble: {'yes' if TROUBLE else 'no'}")
    broken = None
    try:
        with contextlib.ExitStack() as stack:
            cluster = stack.enter_context(
                nodes.cluster(
                    nodes=count,
                    pools=pools,
                    standby=standby,
                    settings={**SETTINGS, **(settings or {})},
                )
            )
            cluster.world.max_lease_ms = MAX_LEASE_MS
            try:
                broken = scenario(cluster, record)
            finally:
                record.note_runs(cluster.world.log)
                for node in cluster.nodes:
                    if node.other_lines():
                        record.note(
                            f"node-{node.number} wrote:"
                            f" {node.other_lines()[-5:]}"
                        )
    except (CouldNotRun, AssertionError) as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        _leave(COULD_NOT_RUN)
    for line in broken:
        record.note(f"BROKEN {line}")
        print(line)
    record.note("the rule was broken" if broken else "the rule held")
    _leave(BROKEN if broken else HELD)


def _leave(status):
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads of the stand-in must not hold up the end.
    os._exit(status)


def twice(cluster):
    """Return the lines on TWICE of the stand-in's check of all runs."""
    return sorted(
        {
            line
            for line in rules.broken_rules(cluster.world)
            if line.startswith("TWICE")
        }
    )
