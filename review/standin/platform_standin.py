"""A small stand-in of the users' platform, of its runners and of callers.

It needs nothing but the standard library. The store keeps to the limits that
PROTOCOL.md names: bytes of a row, entries and bytes of a transaction, and
rows and bytes of a page. All addresses are loopback addresses.
"""

import base64
import http.client
import http.server
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "jobs.example"
ROW_BYTES = 65536
TRANSACTION_BYTES = 1_000_000
PAGE_BYTES = 1_000_000
PAGE_ROWS = 500
PARTS_PER_PAGE = 1000
MAX_ENTRIES = 100
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10000
STOP_GRACE_S = 0.05
MOVE_S = 1.5
UPKEEP_S = 2.0


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():9.3f} {what} {text}\n")
            self._file.flush()


class Status(Exception):
    def __init__(self, status, body=None):
        super().__init__(str(status))
        self.status = status
        self.body = {} if body is None else body


class NoAnswer(Exception):
    """The peer gets no answer, and its channel is closed later."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(answer, host="127.0.0.1", port=0):
    """Serve ``answer(method, path, headers, body)``; return the server."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _handle(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            try:
                status, data = (
                    200,
                    answer(self.command, self.path, self.headers, body),
                )
            except Status as error:
                status, data = error.status, error.body
            except NoAnswer:
                time.sleep(5.0)
                self.close_connection = True
                return
            content = json.dumps(data).encode()
            head = (
                f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"
                "\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n"
            )
            self.wfile.write(head.encode() + content)

        do_GET = do_POST = do_DELETE = do_PUT = _handle

        def log_message(self, *args):
            pass

    server = _Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def address_of(server):
    host, port = server.server_address[:2]
    return f"{host}:{port}"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Store:
    """Rows by table, part and key, with the limits of PROTOCOL.md."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.history = []
        self.refused = 0

    def answer(self, method, path, headers, body):
        path, _, query_text = path.partition("?")
        query = {}
        for pair in filter(None, query_text.split("&")):
            key, _, value = pair.partition("=")
            query[key] = urllib.parse.unquote_plus(value)
        if path == "/-/rows-tx":
            return self._transact(body)
        if path == "/-/rows-get":
            return self._get(query)
        if path == "/-/rows-parts":
            return self._parts(query)
        if path == "/-/rows-feed":
            return self._feed(query)
        raise Status(404)

    def _transact(self, body):
        if len(body) > TRANSACTION_BYTES:
            raise self._refuse(f"{len(body)} bytes in a transaction")
        call = json.loads(body)
        checks = call.get("precondition", [])
        upserts, removals = call.get("upserts", []), call.get("remove", [])
        entries = [*checks, *upserts, *removals]
        if len(entries) > MAX_ENTRIES:
            raise self._refuse(f"{len(entries)} entries")
        if len({each.get("part", "") for each in entries}) > 1 and not (
            call.get("across")
        ):
            raise self._refuse("several parts")
        for each in upserts:
            size = len(base64.b64decode(each["value"]))
            if size > ROW_BYTES:
                raise self._refuse(
                    f"{size} bytes in row {each['table']}/{each['key']}"
                )
        if any(e["table"] in ("op", "servers") for e in upserts + removals):
            raise Status(403)
        return self.apply(checks, upserts, removals)

    def _refuse(self, reason):
        self.refused += 1
        if self.refused <= 5 or self.refused % 50 == 0:
            self._record("store-400", count=self.refused, reason=reason)
        return Status(400, {"error": reason})

    def apply(self, checks, upserts, removals):
        with self._changed:
            current = [self.rows.get(_id(each)) for each in checks]
            if any(
                (row["ver"] if row else 0) != each["ver"]
                for row, each in zip(current, checks)
            ):
                raise Status(412, {"rows": [row for row in current if row]})
            self.version += 1
            for each in upserts:
                table, part, key = _id(each)
                row = {
                    "table": table,
                    "part": part,
                    "key": key,
                    "value": each["value"],
                    "ver": self.version,
                }
                self.rows[_id(each)] = row
                self.history.append(row)
            for each in removals:
                table, part, key = _id(each)
                self.rows.pop(_id(each), None)
                self.history.append(
                    {
                        "table": table,
                        "part": part,
                        "key": key,
                        "ver": self.version,
                        "deleted": True,
                    }
                )
            self._changed.notify_all()
            return {"ver": self.version, "now_ms": _now_ms()}

    def write(self, table, key, value):
        """Write or, with None, remove a row as operator or runner."""
        row = {"table": table, "part": "", "key": key}
        if value is None:
            self.apply([], [], [row])
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.apply([], [{**row, "value": text}], [])

    def read(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        with self._changed:
            keys = sorted(
                (
                    key
                    for name, its_part, key in self.rows
                    if (name, its_part) == (table, part)
                    and key >= start
                    and (end is None or key < end)
                ),
                key=str.encode,
            )
            rows, size = [], 0
            for key in keys[:limit]:
                row = self.rows[(table, part, key)]
                size += len(row["value"]) + 200
                if rows and size > PAGE_BYTES:
                    break
                rows.append(row)
            return {
                "rows": rows,
                "has_more": len(rows) < len(keys),
                "ver": self.version,
                "now_ms": _now_ms(),
            }

    def _parts(self, query):
        with self._changed:
            parts = sorted(
                {
                    part
                    for name, part, _ in self.rows
                    if name == query["table"] and part > query.get("after", "")
                }
            )
            return {
                "parts": parts[:PARTS_PER_PAGE],
                "has_more": len(parts) > PARTS_PER_PAGE,
                "ver": self.version,
                "now_ms": _now_ms(),
            }

    def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000.0
        with self._changed:
            while True:
                rows = []
                for row in reversed(self.history):
                    if row["ver"] <= after:
                        break
                    if row["table"] == table:
                        rows.append(row)
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return {
                        "rows": rows[::-1],
                        "ver": self.version,
                        "now_ms": _now_ms(),
                    }
                self._changed.wait(left)


def _id(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


def _now_ms():
    return int(time.monotonic() * 1000)


class Runner:
    """One life of a machine.

    A job's ``spec`` is a JSON object; its ``ms`` is how long a run takes.
    """

    def __init__(self, platform, machine, runner_id=None, listens=True):
        self.platform = platform
        self.machine = machine
        self.id = runner_id or f"i-{next(platform.numbers):010x}"
        self.born = int(time.time() * 1000)
        self.up = True
        self.state = "ready"
        self.fence = 0
        self.lease_until = 0.0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.changed = threading.Condition()
        self._zero = time.monotonic()
        self.server = None
        machine["id"] = self.id
        machine["state"] = "up"
        if listens:
            self.listen()
            self.write_entry()
        threading.Thread(target=self._work, daemon=True).start()

    def listen(self):
        machine = self.machine
        self.server = serve(self._answer, machine["host"], machine["port"])
        machine["port"] = self.server.server_address[1]

    def clock_ms(self):
        return (time.monotonic() - self._zero) * 1000.0

    def write_entry(self):
        self.platform.store.write(
            "servers",
            self.id,
            {
                "service": self.machine["pool"],
                "address": address_of(self.server),
                "machine": self.machine["machine"],
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": self.machine["capacity"],
                "labels": self.machine["labels"],
                "seq": int(self.clock_ms()),
                "born": self.born,
            },
        )

    def _work(self):
        beat_at = time.monotonic() + HEARTBEAT_S
        while self.up:
            with self.changed:
                self._advance()
            if time.monotonic() > beat_at:
                beat_at += HEARTBEAT_S
                if self.up and self.platform.store_reachable_for(self):
                    self.write_entry()
            time.sleep(0.01)

    def _advance(self):
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_until
        for name, run in list(self.runs.items()):
            if run.get("stop_at") and now >= run["stop_at"]:
                self._end(name, "stopped")
            elif run["due"] <= now:
                self._end(name, "done")
            elif lapsed:
                self._end(name, "lapsed")

    def _end(self, name, how):
        run = self.runs.pop(name)
        self.ended.append(
            [next(self.numbers), run["task"], run["run"], how, run["saved"]]
        )
        self.platform.note_end(self, run, how)
        self.changed.notify_all()

    def crash(self):
        """End the process: nothing listens at the address any more."""
        self.end_process()
        close(self.server)

    def end_process(self):
        """End all runs; calls to the address get no answer any more."""
        with self.changed:
            self.up = False
            for run in self.runs.values():
                self.platform.note_end(self, run, "crashed")
            self.runs = {}
            self.changed.notify_all()

    def carry_out_start(self, call):
        """Carry out a start that was delayed on its way."""
        with self.changed:
            if self.up and call.get("fencing_token", 0) >= self.fence:
                self.fence = call["fencing_token"]
                self._start(call)

    def _answer(self, method, path, headers, body):
        if not self.up:
            raise NoAnswer
        target = headers.get("Peridotsill-Target-Instance")
        if target and target != self.id:
            raise Status(421)
        if path == "/health":
            return {}
        call = json.loads(body)
        self.platform.on_call(self, path, call)
        with self.changed:
            fence = call.get("fencing_token", 0)
            if fence < self.fence:
                raise self._conflict("fence")
            self.fence = fence
            if path == "/-/run-start":
                return self._start(call)
            if path == "/-/run-stop":
                return self._stop(call)
            if path == "/-/pace":
                return self._body()
            if path == "/-/hold":
                return self._hold(call)
        raise Status(404)

    def _body(self):
        return {"clock_ms": int(self.clock_ms()), "born": self.born}

    def _conflict(self, reason):
        return Status(409, {**self._body(), "reason": reason})

    def _extend(self, until_ms):
        latest = self.clock_ms() + HOLD_MAX_MS
        self.lease_until = max(self.lease_until, min(until_ms, latest))

    def _start(self, call):
        task, run = call["task"], call["run"]
        if (task, run) in self.runs:
            return self._body()
        if run <= self.highest.get(task, 0):
            self._extend(call["until_ms"])
            raise self._conflict("old")
        if call["until_ms"] <= self.clock_ms():
            raise self._conflict("late")
        self.highest[task] = run
        self._extend(call["until_ms"])
        spec = json.loads(call["spec"])
        began = time.monotonic()
        record = {
            "task": task,
            "run": run,
            "began": began,
            "due": began + self.platform.run_seconds(task, spec),
            "saved": call.get("checkpoint", ""),
            "fence": self.fence,
        }
        self.runs[(task, run)] = record
        self.platform.note_start(self, record, call)
        return self._body()

    def _stop(self, call):
        task, run = call["task"], call["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        record = self.runs.get((task, run))
        if record is not None:
            record.setdefault("stop_at", time.monotonic() + STOP_GRACE_S)
        return self._body()

    def _hold(self, call):
        self._advance()
        if call.get("until_ms"):
            self._extend(call["until_ms"])
        seen = call.get("last_seen", 0)
        forgotten = [row for row in self.ended if row[0] <= seen]
        if forgotten:
            self.platform.note_seen(self, forgotten)
            self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + call.get("wait_ms", 0) / 1000.0
        while not self.ended and self.up and time.monotonic() < deadline:
            self.changed.wait(0.05)
        if not self.up:
            raise NoAnswer
        return {
            **self._body(),
            "running": [
                [run["task"], run["run"], run["saved"], 100, 0]
                for run in self.runs.values()
            ],
            "ended": self.ended[:500],
        }


def close(server):
    """Refuse further connections; break the open ones off."""
    server.shutdown()
    server.server_close()


class Platform:
    """Store, VM service, runners and the operator."""

    runner_class = Runner

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.numbers = itertools.count(0x5CD11AD793)
        self.machines = {}
        self.runners = {}
        self.starts = []
        self.ends = []
        # Ends that the scheduler has taken note of: runner, task and run.
        self.seen = set()
        self.lock = threading.RLock()
        self._fences = {}
        self.store_server = serve(self.store.answer)
        self.cloud_server = serve(self._cloud)

    # What stands in the record.

    def note_start(self, runner, run, call):
        self.record(
            "start",
            task=run["task"],
            run=run["run"],
            runner=runner.id,
            fence=runner.fence,
            checkpoint=call.get("checkpoint", ""),
        )
        self.starts.append(
            (time.monotonic(), runner.id, run["task"], run["run"])
        )

    def note_end(self, runner, run, how):
        self.record(
            "end", task=run["task"], run=run["run"], runner=runner.id, how=how
        )
        self.ends.append(
            (time.monotonic(), runner.id, run["task"], run["run"], how)
        )

    def note_seen(self, runner, rows):
        for row in rows:
            self.seen.add((runner.id, row[1], row[2]))
        self.record(
            "ends-seen",
            runner=runner.id,
            last_seen=rows[-1][0],
            ends=[row[1:4] for row in rows[:5]],
            more=max(0, len(rows) - 5),
        )

    # Hooks of the scripts.

    def on_call(self, runner, path, call):
        """Called with each call to a runner; may delay it or raise."""

    def store_reachable_for(self, runner):
        return True

    def run_seconds(self, task, spec):
        """Return how long a run of a work item takes."""
        return spec["ms"] / 1000.0

    # Machines and the operator.

    def add_pool(self, pool, count, cores=32):
        for _ in range(count):
            number = len(self.machines) + 1
            machine = {
                "machine": f"m-{number:05x}",
                "pool": pool,
                "state": "up",
                "zone": "z1",
                "labels": ["a", f"r-{number // 4}"],
                "capacity": {"cpu": cores * 1000, "mem_mb": 65536, "gpu": 0},
                "id": "",
                "host": f"127.0.2.{number}",
                "port": 0,
            }
            self.machines[machine["machine"]] = machine
            self.start_runner(machine)

    def start_runner(self, machine):
        with self.lock:
            machine["port"] = 0
            runner = self.runner_class(self, machine)
            self.runners[runner.id] = runner
            self.record(
                "runner-up", runner=runner.id, machine=machine["machine"]
            )
            return runner

    def crash(self, runner, back_after_s, silent=False):
        """Crash a runner; its machine is back with a new one later.

        The address of a ``silent`` one, as behind a cut, refuses nothing.
        """
        machine = runner.machine
        self.record("crash", runner=runner.id, machine=machine["machine"])
        with self.lock:
            machine["state"] = "down"
            machine["id"] = ""
            if silent:
                runner.end_process()
            else:
                runner.crash()
        threading.Timer(
            3 * HEARTBEAT_S, self.store.write, ("servers", runner.id, None)
        ).start()
        threading.Timer(back_after_s, self.start_runner, (machine,)).start()

    def configure(self, version, pools, max_attempts=3):
        self.store.write(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{pool}",
                        "host": HOST_NAME,
                        "prefix": f"/{pool}/",
                        "kind": "unsafe",
                        "timeout_ms": 3000,
                        "target_duration_ms": 600,
                        "priority": 0,
                        "service": pool,
                        "max_attempts": max_attempts,
                        "stretch": 1.6,
                    }
                    for pool in pools
                ],
                "services": [
                    {
                        "name": pool,
                        "health_path": "/health",
                        "max_conns": 64,
                        "protocol": "h1",
                        "tls": False,
                        "admission_check": False,
                        "standby": False,
                    }
                    for pool in pools
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    def _cloud(self, method, path, headers, body):
        if path.startswith("/-/machines"):
            with self.lock:
                return {
                    "machines": [
                        {
                            key: value
                            for key, value in machine.items()
                            if key not in ("host", "port")
                        }
                        for machine in self.machines.values()
                    ],
                    "next_token": None,
                }
        call = json.loads(body)
        fence = int(headers.get("Peridotsill-Fencing-Token") or 0)
        with self.lock:
            machine = self.machines.get(call["machine"])
            if machine is None:
                raise Status(400)
            name = machine["machine"]
            if fence < self._fences.get(name, 0):
                raise Status(409, {"reason": "fence"})
            self._fences[name] = fence
            pool = call.get("pool")
            if pool is not None and machine["pool"] == pool:
                return {}
            if call.get("wave") is not None and (
                call["wave"] in machine.setdefault("waves", [])
            ):
                return {}
            if machine["state"] != "up":
                raise Status(409, {"reason": "busy"})
            runner = self.runners[machine["id"]]
            self.record("cloud", path=path, machine=name, runner=runner.id)
            runner.crash()
            self.store.write("servers", runner.id, None)
            machine["id"] = ""
            machine["state"] = "moving" if pool else "upkeep"
            if pool:
                machine["pool"] = pool
            else:
                machine["waves"].append(call["wave"])
        threading.Timer(
            MOVE_S if pool else UPKEEP_S, self.start_runner, (machine,)
        ).start()
        return {}


class Node:
    """A process of the system, started as the deploy file says."""

    def __init__(self, platform, folder, number):
        self.number = number
        # The port of the metrics is the same on every machine, so runs at the
        # same time need addresses of their own.
        self.host = (
            f"127.{64 + os.getpid() // 250 % 64}.{os.getpid() % 250}.{number}"
        )
        self.front = f"{self.host}:{free_port()}"
        self.ready = f"{self.host}:{free_port()}"
        self.settings = folder / f"node-{number}.json"
        self.log = folder / f"node-{number}.log"
        self.process = None
        fields = {
            "node_name": f"edge-z1-{number}",
            "zone": "z1",
            "ip": self.host,
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [free_port(), 0],
            "platform": {"address": address_of(platform.store_server)},
            "cloud_api": {"address": address_of(platform.cloud_server)},
            "limits": {"cores": 2, "cpu_share": 0.537, "link_mbps": 1000.0},
            "bounds": {
                "hold_max_ms": HOLD_MAX_MS,
                "lease_ms": 3000,
                "maintenance_s": 2,
                "grace_s": 6,
            },
        }
        template = (ROOT / "deploy" / "settings.json.template").read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERIDOTSILL_CONFIG"] = str(self.settings)
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "peridotsill_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=out,
                stderr=out,
            )

    def is_ready(self):
        return call(self.ready, "GET", "/-/readiness", seconds=1.0)[0] == 200

    def kill(self, signal_number=signal.SIGKILL):
        self.process.send_signal(signal_number)


def render(template, fields):
    """Fill in the settings template as DEPLOY.md says."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if part.isdigit() else None
            else:
                value = value.get(part) if value is not None else None
        return value

    def section(match):
        return match[2] if look_up(match[1]) else ""

    def field(match):
        value = look_up(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


def call(address, method, path, body=None, seconds=3.0):
    """Call a node as a client does; the status is 0 without an answer."""
    host, _, port = address.rpartition(":")
    channel = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        content = None if body is None else json.dumps(body).encode()
        headers = {
            "Host": HOST_NAME,
            "Peridotsill-Deadline-Ms": str(int(seconds * 1000)),
        }
        if content is not None:
            headers["Content-Type"] = "application/json"
        channel.request(method, path, content, headers)
        response = channel.getresponse()
        data = response.read()
        try:
            return response.status, json.loads(data)
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        channel.close()


class Site:
    """A platform with nodes; a context that ends all processes."""

    def __init__(self, folder, nodes=3, platform_class=Platform):
        self._platform_class = platform_class
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._log_folder = pathlib.Path(folder)
        self._count = nodes
        self.platform = None
        self.nodes = []
        self._numbers = itertools.count(1)

    def __enter__(self):
        self.platform = self._platform_class(self.record)
        return self

    def start_nodes(self, seconds=20.0):
        """Start the nodes; tell whether all became ready."""
        self.nodes = [
            Node(self.platform, self._folder, number + 1)
            for number in range(self._count)
        ]
        for node in self.nodes:
            node.start()
        return wait_for(
            lambda: all(node.is_ready() for node in self.nodes), seconds
        )

    def holder(self):
        """Return the node that holds the scheduler's lease, or None."""
        row = self.platform.store.read("control", "scheduler") or {}
        for node in self.nodes:
            if row.get("holder") == f"edge-z1-{node.number}":
                return node
        return None

    def __exit__(self, *error):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                shutil.copy(node.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(self._folder, ignore_errors=True)

    # A client. A call is tried again at the next node, as the pages allow.

    def new_id(self):
        return f"{0x5C0E7A21D94B0000 + next(self._numbers):016x}"

    def submit(self, pool, job_id, body, tries=4):
        status = 0
        for number in range(tries):
            node = self.nodes[number % len(self.nodes)]
            status, data = call(node.front, "POST", f"/{pool}/{job_id}", body)
            self.record(
                "client",
                POST=f"/{pool}/{job_id}",
                node=node.number,
                status=status,
                answer=json.dumps(data),
            )
            if status == 200:
                break
            time.sleep(0.3)
        return status

    def state(self, pool, job_id):
        for node in self.nodes:
            status, data = call(
                node.front, "GET", f"/{pool}/{job_id}", seconds=2.0
            )
            self.record(
                "client",
                GET=f"/{pool}/{job_id}",
                node=node.number,
                status=status,
                answer=json.dumps(data),
            )
            if status == 200:
                return data.get("state", "")
            if status == 410:
                return "410"
        return ""

    def cancel(self, pool, job_id):
        for node in self.nodes:
            status, data = call(node.front, "DELETE", f"/{pool}/{job_id}")
            self.record(
                "client",
                DELETE=f"/{pool}/{job_id}",
                node=node.number,
                status=status,
            )
            if status in (200, 410):
                return status
        return 0


def wait_for(condition, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return bool(condition())


def finish(record, broken, text):
    """Write the verdict and exit as the scripts have to."""
    record("verdict", broken=broken, text=text)
    print(("BROKEN: " if broken else "held: ") + text)
    sys.exit(1 if broken else 0)


def give_up(record, text):
    record("verdict", text=text)
    print("could not run: " + text)
    sys.exit(2)


def trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
