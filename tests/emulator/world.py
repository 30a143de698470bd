"""The whole stand-in: store, runners, VMs and the operator."""

import base64
import collections
import itertools
import json
import threading
import time

from emulator import rules
from emulator import runners
from emulator import store


class World:
    """A platform with pools of VMs, each with one runner.

    A task's time is read from the job's ``spec``: a JSON object with
    ``seconds`` and ``poison``. A VM is away for ``move_seconds`` when it is
    moved, and for ``maintenance_seconds`` when it is maintained.
    """

    def __init__(
        self,
        *,
        move_seconds=0.6,
        maintenance_seconds=2.0,
        max_lease_ms=6000.0,
    ):
        self.store = store.Store()
        self.log = rules.RunLog()
        self.runners = {}
        self.vms = {}
        self.jobs = {}
        self.rejected = set()
        self.wave_breaches = []
        self.waves = {}
        self.max_lease_ms = max_lease_ms
        self.move_seconds = move_seconds
        self.maintenance_seconds = maintenance_seconds
        self.port = 0
        self.lock = threading.RLock()
        self.commands = []
        self.fences = collections.Counter()
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._beats = threading.Thread(target=self._beat, daemon=True)

    def start(self):
        """Begin to write the registry."""
        self._beats.start()

    def stop(self):
        """End the registry's thread and all runners."""
        self._stopped.set()
        for runner in tuple(self.runners.values()):
            runner.die()

    # VMs and runners.

    def add_pool(self, name, count, cores=32):
        """Add VMs with a runner each."""
        for _ in range(count):
            number = next(self._numbers)
            vm = f"m-{number}"
            self.vms[vm] = {
                "machine": vm,
                "pool": name,
                "state": "up",
                "zone": "z1",
                "labels": ["a", f"r-{number // 4}"],
                "capacity": {"cpu": cores * 1000, "mem_mb": 65536, "gpu": 0},
                "id": "",
            }
            self._raise_runner(vm)

    def _raise_runner(self, vm):
        with self.lock:
            record = self.vms[vm]
            runner = runners.Runner(
                world=self,
                runner_id=f"i-{next(self._numbers)}",
                vm=vm,
                pool=record["pool"],
                capacity=record["capacity"],
                labels=record["labels"],
            )
            record["id"] = runner.id
            record["state"] = "up"
            self.runners[runner.id] = runner
            self.write("servers", runner.id, runner.row())

    def runner_of(self, vm):
        """Return the runner that a VM has now."""
        return self.runners[self.vms[vm]["id"]]

    def on(self, vm):
        """Return the names of what runs on a VM."""
        return set(self.runner_of(vm).runs)

    def crash(self, runner, back_after=None):
        """End a runner without a word; its VM may get a new one."""
        self.vms[runner.vm]["state"] = "down"
        runner.die()
        if back_after is not None:
            threading.Timer(
                back_after, self._raise_runner, (runner.vm,)
            ).start()

    def address_of(self, runner):
        """Return an address of its own on the loopback network."""
        number = int(runner.id.split("-")[1])
        return f"127.0.{1 + number // 250}.{1 + number % 250}:{self.port}"

    def runner_at(self, host):
        """Return the runner with this address."""
        for runner in tuple(self.runners.values()):
            if self.address_of(runner) == host:
                return runner
        return None

    def _beat(self):
        while not self._stopped.wait(0.5):
            for runner in tuple(self.runners.values()):
                if runner.up:
                    self.write("servers", runner.id, runner.row())
                else:
                    self.write("servers", runner.id, None)
                    self.runners.pop(runner.id, None)

    # The machine calls.

    def list_machines(self):
        """Return the list of VMs."""
        with self.lock:
            return {
                "machines": [dict(each) for each in self.vms.values()],
                "next_token": None,
            }

    def take_away(self, vm, *, pool=None, wave=None, holder="", fence=0):
        """Move or maintain a VM; returns a status and a reason."""
        with self.lock:
            record = self.vms.get(vm)
            if record is None:
                return 400, ""
            if fence < self.fences[vm]:
                return 409, "fence"
            self.fences[vm] = fence
            if pool is not None and record["pool"] == pool:
                return 200, ""
            if wave is not None and vm in self.waves[wave]["done"]:
                return 200, ""
            if record["state"] != "up":
                return 409, "busy"
            self.commands.append((time.monotonic(), vm, holder, fence))
            if wave is not None:
                self._count_wave(wave, vm)
            runner = self.runner_of(vm)
            runner.die()
            self.write("servers", runner.id, None)
            self.runners.pop(runner.id, None)
            record["state"] = "moving" if pool else "upkeep"
            record["id"] = ""
            if pool is not None:
                record["pool"] = pool
            seconds = (
                self.move_seconds if wave is None else self.maintenance_seconds
            )
            threading.Timer(seconds, self._back, (vm, wave)).start()
            return 200, ""

    def _count_wave(self, number, vm):
        wave = self.waves[number]
        wave["done"].add(vm)
        wave["out"].add(vm)
        if len(wave["out"]) > wave["max_count"]:
            self.wave_breaches.append(f"wave {number}: {sorted(wave['out'])}")

    def _back(self, vm, wave):
        if self._stopped.is_set():
            return
        if wave is not None:
            self.waves[wave]["out"].discard(vm)
        self._raise_runner(vm)

    # The operator.

    def write(self, table, key, value):
        """Write a row as the operator or a runner does."""
        row = {"table": table, "part": "", "key": key}
        body = {
            "precondition": [],
            "upserts": [],
            "remove": [],
            "operator": True,
        }
        if value is None:
            body["remove"] = [row]
        else:
            text = json.dumps(value).encode()
            row["value"] = base64.b64encode(text).decode()
            body["upserts"] = [row]
        self.store._apply(body)

    def read(self, table, key, part=""):
        """Return a row's value, or None."""
        row = self.store.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def configure(self, version, pools, standby=(), attempts=2):
        """Write a configuration with a queue for each pool."""
        routes = [
            {
                "name": f"q-{pool}",
                "host": "jobs.example",
                "prefix": f"/{pool}/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": 600,
                "priority": 0,
                "service": pool,
                "max_attempts": attempts,
                "stretch": 1.6,
            }
            for pool in pools
        ]
        services = [
            {"name": pool, "standby": pool in standby}
            for pool in (*pools, *standby)
        ]
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        self.write("op", "config", config)

    def order_wave(self, number, vms, seconds, at_once):
        """Write a wave."""
        self.waves[number] = {
            "max_count": at_once,
            "done": set(),
            "out": set(),
        }
        order = {
            "wave": number,
            "machines": list(vms),
            "deadline_s": seconds,
            "max_count": at_once,
        }
        self.write("op", f"wave/{number}", order)

    # What is known of the jobs.

    def note_job(self, job_id, body):
        """Keep what a caller submitted, for the rules."""
        self.jobs[job_id] = json.loads(body)

    def steps_of(self, job_id):
        """Return a job's steps."""
        return self.jobs[job_id]["steps"]

    def _spec(self, task):
        return json.loads(self.jobs[task.split(".")[0]]["spec"])

    def task_seconds(self, task):
        """Return how long a task takes."""
        return self._spec(task).get("seconds", 0.1)

    def is_poison(self, task):
        """Tell whether a task fails wherever it runs."""
        return bool(self._spec(task).get("poison"))

    def cpu_of(self, task):
        """Return a task's demand in thousandths of a core."""
        job, _, step, _ = task.split(".")
        return self.steps_of(job)[int(step)].get("cpu", 0)
