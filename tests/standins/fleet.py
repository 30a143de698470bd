"""Runs fleets for scenarios, demo and benches: processes on loopback.

A fleet has a platform stand-in, a runner stand-in for each VM, and nodes.
"""

import collections.abc
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import attrs
import peridotsill
import urllib3

import peridotsill_operators

_TESTS_FOLDER = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "a-shared-token-for-tests"
# Each test process uses its own loopback subnet, so that a concurrent test
# process can't take a port between the look-up and the child's bind.
_SUBNET_PREFIX = f"127.{10 + os.getpid() % 240}"
_PLATFORM_HOST = f"{_SUBNET_PREFIX}.0.9"


def wait_until(
    condition: typing.Callable[[], typing.Any],
    seconds: float = 20.0,
    what: str = "",
) -> typing.Any:
    """Poll a condition; return its first true value.

    Raises AssertionError, with ``what`` in its message, on a time-out.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(
                f"condition not met within {seconds} s: {what}"
            )
        time.sleep(0.03)


@attrs.define(kw_only=True, eq=False)
class Process:
    """A child process that can be suspended, resumed and killed."""

    name: str
    command: list[str]
    log: pathlib.Path
    child: subprocess.Popen | None = None

    def start(self) -> None:
        # A mutation run puts its packages in front of the installed ones.
        mutated = os.environ.get("MUTANT_PATH")
        paths = (
            [mutated, str(_TESTS_FOLDER)] if mutated else [str(_TESTS_FOLDER)]
        )
        python_path = os.pathsep.join(paths)
        environment = {**os.environ, "PYTHONPATH": python_path}
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                self.command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, signal_number: int) -> None:
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal_number)

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def exit_code(self, seconds: float = 60.0) -> int:
        return self.child.wait(seconds) if self.child else -1


@attrs.frozen(kw_only=True)
class Reply:
    """A response as its caller got it; ``seconds`` is the latency."""

    status: int
    body: bytes
    headers: dict[str, str]
    seconds: float

    @property
    def ran(self) -> str:
        """Whether the request ran: ``ran`` of a problem, or empty."""
        try:
            return json.loads(self.body).get("ran", "")
        except (ValueError, AttributeError):
            return ""

    @property
    def detail(self) -> str:
        try:
            return json.loads(self.body).get("detail", "")
        except (ValueError, AttributeError):
            return ""


class Fleet:
    """A platform, runners and nodes as processes on loopback."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.vms: dict[str, dict] = {}
        self.nodes: dict[str, dict] = {}
        self.token_file = folder / "token"
        self.token_file.write_text(TOKEN)
        self.run_log = folder / "runs.jsonl"
        self.http = urllib3.PoolManager(
            maxsize=300, retries=False, num_pools=100
        )
        self.platform_address = f"{_PLATFORM_HOST}:{free_port(_PLATFORM_HOST)}"
        self.timing: dict[str, float] = {}
        self.limits: dict[str, float] = {}

    # Starting processes

    def _launch(self, name: str, command: list[str]) -> Process:
        process = Process(
            name=name, command=command, log=self.folder / f"{name}.out"
        )
        process.start()
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        path = self.folder / "vms.json"
        path.write_text(json.dumps(list(self.vms.values())))
        host, _, port = self.platform_address.rpartition(":")
        self._launch(
            "platform",
            [
                sys.executable,
                "-m",
                "standins.platform",
                "--host",
                host,
                "--port",
                port,
                "--vms",
                str(path),
            ],
        )
        wait_until(
            lambda: _is_listening(self.platform_address), what="platform"
        )

    def add_vm(self, name: str, index: int, *options: str) -> None:
        """Start a runner on a new VM.

        Consecutive indexes go to three data centres in turn, and each four
        of them share a rack. ``options`` go to the runner's command line.
        """
        domain = index % 3 + 1
        host = f"{_SUBNET_PREFIX}.{domain}.{index // 3 + 10}"
        address = f"{host}:{free_port(host)}"
        self.vms[name] = {
            "name": name,
            "address": address,
            "domain": f"dc{domain}",
            "rack": f"rack{index // 4}",
        }
        self.start_runner(name, *options)

    def start_runner(self, name: str, *options: str) -> None:
        host, _, port = self.vms[name]["address"].rpartition(":")
        self._launch(
            f"runner-{name}",
            [
                sys.executable,
                "-m",
                "standins.runner",
                "--host",
                host,
                "--port",
                port,
                "--log",
                str(self.run_log),
                *options,
            ],
        )

    def settings_of(self, name: str, index: int) -> dict:
        """Return a new node's settings, with free ports."""
        host = f"{_SUBNET_PREFIX}.{index % 3 + 1}.{200 + index}"
        ports = [free_port(host) for _ in range(3)]
        while len(set(ports)) < 3:
            ports = [free_port(host) for _ in range(3)]
        listeners = [{"host": host, "port": port} for port in ports]
        return {
            "node": name,
            "domain": f"dc{index % 3 + 1}",
            "callers": listeners[0],
            "operators": listeners[1],
            "siblings": listeners[2],
            "platform": f"http://{self.platform_address}",
            "token_file": str(self.token_file),
            "seeds": [node["siblings"] for node in self.nodes.values()],
            "log_file": str(self.folder / f"{name}.log"),
            "timing": {"stop_notice_seconds": 0.5, **self.timing},
            "limits": dict(self.limits),
        }

    def start_node(self, name: str, *, wait: bool = True) -> None:
        """Start a node, with its previous settings if it has any."""
        settings = self.nodes.get(name)
        if settings is None:
            settings = self.settings_of(name, len(self.nodes))
            self.nodes[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        binary = pathlib.Path(sys.executable).parent / "peridotsilld"
        self._launch(name, [str(binary), "run", str(path)])
        if wait:
            self.wait_ready(name)

    def wait_ready(self, name: str, seconds: float = 20.0) -> None:
        def ready() -> bool:
            try:
                return (
                    self.call(name, "GET", "/readyz", timeout=1).status == 200
                )
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(ready, seconds, f"{name} is ready")

    # Access by tests

    def address(self, node: str, listener_name: str) -> str:
        listener = self.nodes[node][listener_name]
        return f"{listener['host']}:{listener['port']}"

    def operator(self, node: str = "") -> peridotsill_operators.OperatorClient:
        node = node or next(iter(self.nodes))
        token = pathlib.Path(self.nodes[node]["token_file"]).read_text()
        return peridotsill_operators.OperatorClient(
            address=self.address(node, "operators"), token=token
        )

    def call(
        self,
        node: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 30.0,
        **headers: str,
    ) -> Reply:
        """Send a caller's request; ``_`` in a header name stands for ``-``."""
        header_fields = {
            name.replace("_", "-"): str(value)
            for name, value in headers.items()
        }
        started = time.monotonic()
        response = self.http.request(
            method,
            f"http://{self.address(node, 'callers')}{path}",
            body=body or None,
            headers=header_fields,
            timeout=timeout,
            redirect=False,
        )
        return Reply(
            status=response.status,
            body=response.data,
            headers=dict(response.headers),
            seconds=time.monotonic() - started,
        )

    def control_platform(self, **state: object) -> dict:
        """Change the platform stand-in's state and return it.

        The keys are those of its ``/standin/state``.
        """
        client = peridotsill.JsonClient(
            base=f"http://{self.platform_address}", connections=2
        )
        return client.call(
            "POST", "/standin/state", state, timeout_seconds=10.0
        )

    def pool_owner(self, pool: str) -> str:
        """Return a pool's owner; during a hand-over, wait for the next."""
        key = f"owners/{pool}"
        return wait_until(
            lambda: (
                self.control_platform(rows=True)["rows"]
                .get(key, {})
                .get("node")
            ),
            10,
            f"an owner of {pool}",
        )

    def set_faults(self, **faults: float) -> None:
        """Set faults of the platform stand-in; 0 ends a fault."""
        self.control_platform(faults=faults)

    def control_runner(
        self, vm: str, path: str = "stats", **body: object
    ) -> dict:
        """Send a control request to a runner stand-in; return its stats."""
        client = peridotsill.JsonClient(
            base=f"http://{self.vms[vm]['address']}", connections=1
        )
        return client.call("POST", f"/standin/{path}", body)

    def runs(self, marker: str = "") -> list[dict]:
        """Return the run log's start events, of all markers or of one."""
        if not self.run_log.exists():
            return []
        lines = self.run_log.read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return [
            event
            for event in events
            if event["event"] == "start"
            and (not marker or event["marker"] == marker)
        ]

    def create_pool(
        self, pool: str, vms: list[str], minimum: int, **fields: object
    ) -> None:
        client = self.operator()
        document = {"min_available": minimum, **fields}
        client.apply("pools", pool, document)
        for name in vms:
            client.apply("vms", name, {**self.vms[name], "pool": pool})

    def create_service(
        self, service: str, pool: str, **fields: object
    ) -> None:
        """Create a service and wait until every node serves it."""
        client = self.operator()
        client.apply("services", service, {"pool": pool, **fields})
        for node in self.nodes:
            wait_until(
                lambda: (
                    self.call(
                        node, "GET", f"/{service}/warm", Request_Timeout="5"
                    ).status
                    == 200
                ),
                what=f"{node} serves {service}",
            )

    def vm(self, name: str) -> dict:
        return self.operator().get("vms", name).value

    def close(self) -> None:
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            if process.child:
                process.child.wait()


def _is_listening(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True


_used_ports: set[int] = set()


def free_port(host: str) -> int:
    """Return a port of a host that is free and was not returned before.

    It is below the ephemeral range, so that no outgoing connection takes
    it.
    """
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


@contextlib.contextmanager
def fleet(
    nodes: int = 3, vms: int = 6, *, refuse: bool = False
) -> collections.abc.Iterator[Fleet]:
    """Run a platform, VMs vm0, vm1, … and nodes n0, n1, …

    With ``refuse``, runners refuse a request when all slots are in use;
    otherwise they queue it.
    """
    with tempfile.TemporaryDirectory() as folder:
        new_fleet = Fleet(pathlib.Path(folder))
        options = ["--refuse"] if refuse else []
        try:
            for index in range(vms):
                new_fleet.add_vm(f"vm{index}", index, *options)
            new_fleet.start_platform()
            for index in range(nodes):
                new_fleet.start_node(f"n{index}", wait=False)
            for name in new_fleet.nodes:
                new_fleet.wait_ready(name)
            yield new_fleet
        finally:
            new_fleet.close()
