"""The complete stand-in: store, runners, VMs and the operator's writes."""

import base64
import collections
import contextlib
import itertools
import json
import threading
import time

import attrs

from emulator import rules
from emulator import runners
from emulator import store

# How long after the return of a store that was silent the runners are in the
# registry again, by turns.
_RETURN_SECONDS = (0.3, 0.8, 1.2, 1.6)
# A listener that is closed still has its address for a moment.
_LISTEN_ATTEMPTS = 200
_LISTEN_PAUSE_SECONDS = 0.05


@attrs.define
class _Omission:
    """A VM that one of a caller's lists of VMs leaves out.

    ``number`` counts the lists down to the one that does, which is 0.
    """

    vm: str
    caller: str
    number: int

    def counts_to(self, caller):
        """Count a caller's list; tell whether it leaves out the VM."""
        self.number -= caller == self.caller
        return caller == self.caller and self.number == 0


class World:
    """A platform with pools of VMs, each of which has one runner.

    A job's ``spec`` is a JSON object: ``seconds`` is how long each of its
    tasks takes, or ``ends_at`` the monotonic time at which all of them end;
    with ``poison`` set its tasks fail on every runner.
    The tasks whose indexes ``deadly`` lists crash the runner that starts
    them after ``deadly_seconds``, or with 0 before it answers the start;
    it is back after ``crash_seconds``. With ``crashed_vms_are_silent`` the
    address of a runner that crashed refuses no connection. The registry
    lists a runner that crashed for ``registry_expiry_seconds`` more. A
    runner whose capacity has shrunk may be started on beyond it for
    ``shrink_grace_seconds``. Long-lived tasks run until they are stopped,
    whatever ``seconds`` says. ``cancelled_at`` holds, by job id, when a
    cancellation was acknowledged, and ``cancel_seconds`` how long after it
    a task may still start. A VM is unavailable for ``move_seconds`` during
    a move, and for ``maintenance_seconds`` during maintenance. The registry
    shows runners as started ``born_offsets_ms`` later than they were, by id.
    """

    def __init__(
        self,
        *,
        move_seconds=0.6,
        maintenance_seconds=2.0,
        max_lease_ms=6000.0,
        cancel_seconds=3.0,
        crash_seconds=2.0,
        deadly_seconds=0.01,
        registry_expiry_seconds=3.0,
        shrink_grace_seconds=3.5,
    ):
        self.store = store.Store()
        self.log = rules.RunLog()
        self.runners = {}
        self.vms = {}
        self.jobs = {}
        self.rejected_jobs = set()
        self.cancelled_at = {}
        self.cancel_seconds = cancel_seconds
        self.wave_limit_violations = []
        self.waves = {}
        self.max_lease_ms = max_lease_ms
        self.move_seconds = move_seconds
        self.maintenance_seconds = maintenance_seconds
        self.port = 0
        self.runner_port = 0
        self.listen = None
        self.crash_seconds = crash_seconds
        self.deadly_seconds = deadly_seconds
        self.registry_expiry_seconds = registry_expiry_seconds
        self.shrink_grace_seconds = shrink_grace_seconds
        self.crashed_vms_are_silent = False
        self.crash_count = 0
        self.born_offsets_ms = {}
        # By runner, calls that were left to its next lifetime.
        self.kept_calls = collections.defaultdict(list)
        self._expires_at = {}
        self._registered_at = {}
        self._registers_from = {}
        self._omissions = []
        self.lock = threading.RLock()
        self.commands = []
        # All accepted orders for VMs, also those that changed nothing.
        self.orders = []
        self.highest_fences = collections.Counter()
        self._id_numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._registry_thread = threading.Thread(
            target=self._refresh_registry, daemon=True
        )

    def start(self):
        """Start the thread that refreshes the runner registry."""
        self._registry_thread.start()

    def stop(self):
        """Stop the registry thread and all runners."""
        with self.lock:
            self._stopped.set()
        for runner in tuple(self.runners.values()):
            runner.end_abruptly()

    # VMs and runners.

    def add_pool(self, name, count, cores=32):
        """Add VMs to a pool, each with one runner."""
        for _ in range(count):
            number = next(self._id_numbers)
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
            self._start_runner(vm)

    def _start_runner(self, vm, former=None, reaches_store=True):
        with self.lock:
            if self._stopped.is_set():
                return
            record = self.vms[vm]
            runner = runners.Runner(
                world=self,
                runner_id=(
                    former.id if former else f"i-{next(self._id_numbers)}"
                ),
                listener=former.listener if former else None,
                vm=vm,
                pool=record["pool"],
                capacity=record["capacity"],
                labels=record["labels"],
            )
            record["id"] = runner.id
            record["state"] = "up"
            self.runners[runner.id] = runner
            runner.faults.unregistered = not reaches_store
            if reaches_store:
                self._write_entry(runner)

    def runner_of(self, vm):
        """Return the current runner of a VM."""
        return self.runners[self.vms[vm]["id"]]

    def tasks_on(self, vm):
        """Return the names of the tasks that run on a VM."""
        return set(self.runner_of(vm).runs)

    def crash(self, runner, restart_after_seconds=None, silent=False):
        """Crash a runner and mark its VM as down.

        Without ``restart_after_seconds`` the VM gets no new runner. The
        address of a ``silent`` one refuses no connection.
        """
        with self.lock:
            if not runner.up:
                return
            self.vms[runner.vm]["state"] = "down"
            self._expires_at[runner.id] = (
                time.monotonic() + self.registry_expiry_seconds
            )
            runner.end_abruptly(
                "crashed", silent=silent or self.crashed_vms_are_silent
            )
        if restart_after_seconds is not None:
            threading.Timer(
                restart_after_seconds, self._start_runner, (runner.vm,)
            ).start()

    def crash_for_good(self, runner):
        """Crash a runner as a VM does that loses power and never returns.

        Its address is silent, and its VM is listed as down, without a runner.
        """
        with self.lock:
            self.crash(runner, silent=True)
            self.vms[runner.vm]["id"] = ""

    def drain(self, runner, seconds):
        """Let a runner drain, which goes on serving, and leave later."""
        with self.lock:
            runner.state = "draining"
            runner.leaves_at = time.monotonic() + seconds
            self._write_entry(runner)
        timer = threading.Timer(seconds, self.leave, (runner,))
        timer.daemon = True
        timer.start()

    def leave(self, runner):
        """Let a runner leave for good, and its VM with it.

        All that runs there ends, the registry and the VM service list
        neither any more, and nothing ever answers at its address.
        """
        with self.lock:
            if not runner.up or self._stopped.is_set():
                return
            runner.end_abruptly("left", silent=True)
            self.vms.pop(runner.vm, None)
            self.write("servers", runner.id, None)

    def refuse_connections(self, runner, seconds):
        """Let a runner's address refuse connections, while its runs go on."""
        runner.listener.close()
        threading.Timer(seconds, self._accept_connections, (runner,)).start()

    def _accept_connections(self, runner):
        with self.lock:
            if runner.up and not self._stopped.is_set():
                runner.listener = self.listen(self.address_of(runner))

    def crash_under_task(self, runner):
        """Crash a runner under a deadly task; it is back later."""
        with self.lock:
            self.crash_count += runner.up
        self.crash(runner, restart_after_seconds=self.crash_seconds)

    def execute_late(self, runner_id, name, body):
        """Execute a call that got no answer on a runner's present lifetime.

        Args:
            runner_id: The runner.
            name: The name of the method of `runners.Runner`.
            body: The body of the call.
        """
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        with contextlib.suppress(
            runners.RunnerStatusError,
            runners.UnansweredError,
            runners.CrashedError,
        ):
            getattr(runner, name)(body, delayed=True)

    def begin_restart(self, runner, *, is_silent):
        """End a runner's process; `end_restart` starts the next one.

        Its VM is listed as down. The address of a silent one accepts calls
        and answers none; they are kept for the next lifetime.
        """
        with self.lock:
            self.vms[runner.vm]["state"] = "down"
            self._expires_at[runner.id] = (
                time.monotonic() + self.registry_expiry_seconds
            )
            runner.faults.keeps_calls = is_silent
            runner.end_abruptly(
                "restarted", silent=is_silent, keeps_address=is_silent
            )

    def end_restart(self, runner, late_seconds=0.0, reaches_store=True):
        """Start a runner's next lifetime under the same id, and return it.

        The calls that were kept are executed ``late_seconds`` later. One that
        doesn't reach the store does not get into the registry.
        """
        if runner.listener.closed:
            runner.listener = self._listen_again(runner)
        with self.lock:
            self._start_runner(runner.vm, runner, reaches_store)
            for name, body in self.kept_calls.pop(runner.id, ()):
                timer = threading.Timer(
                    late_seconds, self.execute_late, (runner.id, name, body)
                )
                timer.daemon = True
                timer.start()
            return self.runners[runner.id]

    def _listen_again(self, runner):
        """Listen at a runner's address once its last listener is closed."""
        for _ in range(_LISTEN_ATTEMPTS):
            with contextlib.suppress(OSError):
                return self.listen(self.address_of(runner))
            time.sleep(_LISTEN_PAUSE_SECONDS)
        return self.listen(self.address_of(runner))

    def restart(self, runner):
        """End a runner's process and start it anew under the same id.

        The new process, which is returned, listens at once, so that no
        connection is refused.
        """
        with self.lock:
            runner.end_abruptly(keeps_address=True)
            self._start_runner(runner.vm, runner)
            return self.runners[runner.id]

    def address_of(self, runner):
        """Return a runner's address; each has its own loopback IP."""
        number = int(runner.id.split("-")[1])
        host = f"127.0.{1 + number // 250}.{1 + number % 250}"
        return f"{host}:{self.runner_port}"

    def runner_at(self, host):
        """Return the runner with an address, or None."""
        for runner in tuple(self.runners.values()):
            if self.address_of(runner) == host:
                return runner
        return None

    # The registry.

    def _refresh_registry(self):
        while not self._stopped.wait(0.5):
            for runner in tuple(self.runners.values()):
                self._refresh_entry(runner)

    def _refresh_entry(self, runner):
        now = time.monotonic()
        if self.runners.get(runner.id) is not runner:
            return
        if not runner.up:
            if now > self._expires_at.get(runner.id, 0.0):
                self.write("servers", runner.id, None)
                self.runners.pop(runner.id, None)
        elif self._reaches_store(runner, now):
            self._write_entry(runner)
        elif self._has_lapsed(runner, now):
            self.write("servers", runner.id, None)

    def _reaches_store(self, runner, now):
        return not runner.faults.unregistered and now > (
            self._registers_from.get(runner.id, 0.0)
        )

    def _has_lapsed(self, runner, now):
        """Tell whether a runner's entry is there and has to be removed."""
        expiry = self._registered_at[runner.id] + self.registry_expiry_seconds
        return now > expiry and self.read("servers", runner.id) is not None

    def _write_entry(self, runner):
        self._registered_at[runner.id] = time.monotonic()
        self.write("servers", runner.id, runner.row())

    def silence_store(self, seconds):
        """Let the store answer nobody for a while, nor take entries.

        Entries of the registry lapse meanwhile. Those of runners that live
        are back within about 2 s of the store's return.
        """
        silent = self.store.faults.silent
        returns_at = time.monotonic() + seconds
        with self.lock:
            for number, runner in enumerate(self.runners.values()):
                self._registers_from[runner.id] = (
                    returns_at + _RETURN_SECONDS[number % len(_RETURN_SECONDS)]
                )
            silent.add(store.EVERYONE)
        timer = threading.Timer(seconds, silent.discard, (store.EVERYONE,))
        timer.daemon = True
        timer.start()

    # The VM service.

    def omit_vm(self, vm, caller, number):
        """Leave a VM out of one list: a caller's next, or a later one.

        ``number`` is 1 for the next list that this caller reads.
        """
        with self.lock:
            self._omissions.append(
                _Omission(vm=vm, caller=caller, number=number)
            )

    def list_machines(self, caller=""):
        """Return all VMs as the body of an answer."""
        with self.lock:
            omitted = {
                each.vm for each in self._omissions if each.counts_to(caller)
            }
            return {
                "machines": [
                    dict(record)
                    for vm, record in self.vms.items()
                    if vm not in omitted
                ],
                "next_token": None,
            }

    def disrupt(self, vm, *, pool=None, wave=None, holder="", fence=0):
        """Move a VM to a pool, or maintain it for a wave.

        Returns an HTTP status and a reason. A token below the highest one
        seen for this VM is refused. A repeated request succeeds without a
        second disruption.
        """
        with self.lock:
            record = self.vms.get(vm)
            if record is None:
                return 400, ""
            if fence < self.highest_fences[vm]:
                return 409, "fence"
            self.highest_fences[vm] = fence
            self.orders.append((time.monotonic(), vm, fence))
            if pool is not None and record["pool"] == pool:
                return 200, ""
            if wave is not None and vm in self.waves[wave]["done"]:
                return 200, ""
            if record["state"] != "up":
                return 409, "busy"
            self.commands.append((time.monotonic(), vm, holder, fence))
            if wave is not None:
                self._record_wave_disruption(wave, vm)
            runner = self.runner_of(vm)
            runner.end_abruptly()
            self.write("servers", runner.id, None)
            self.runners.pop(runner.id, None)
            record["state"] = "moving" if pool else "upkeep"
            record["id"] = ""
            if pool is not None:
                record["pool"] = pool
            seconds = (
                self.move_seconds if wave is None else self.maintenance_seconds
            )
            threading.Timer(seconds, self._return_vm, (vm, wave)).start()
            return 200, ""

    def _record_wave_disruption(self, number, vm):
        wave = self.waves[number]
        wave["done"].add(vm)
        wave["out"].add(vm)
        if len(wave["out"]) > wave["max_count"]:
            self.wave_limit_violations.append(
                f"wave {number}: {sorted(wave['out'])}"
            )

    def _return_vm(self, vm, wave):
        if self._stopped.is_set():
            return
        if wave is not None:
            self.waves[wave]["out"].discard(vm)
        self._start_runner(vm)

    # Rows written by the operator and the runners.

    def write(self, table, key, value):
        """Write a row with the operator's permissions; None deletes it.

        The store refuses other writers of the operator's table and the
        runner registry.
        """
        content = None if value is None else json.dumps(value).encode()
        self.write_bytes(table, key, content)

    def write_bytes(self, table, key, content):
        """Write a row with any bytes as its value; None deletes it."""
        row = {"table": table, "part": "", "key": key}
        body = {
            "precondition": [],
            "upserts": [],
            "remove": [],
            "operator": True,
        }
        if content is None:
            body["remove"] = [row]
        else:
            row["value"] = base64.b64encode(content).decode()
            body["upserts"] = [row]
        self.store._apply(body)

    def read(self, table, key, part=""):
        """Return a row's decoded value, or None if there is no row."""
        row = self.store.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def configure(self, version, pools, standby=(), attempts=2, tenants=None):
        """Write a configuration with one queue for each of ``pools``.

        Without ``tenants`` it has no such field.
        """
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
        if tenants is not None:
            config["tenants"] = tenants
        self.write("op", "config", config)

    def order_wave(self, number, vms, deadline_seconds, max_count):
        """Write the order for a maintenance wave."""
        self.waves[number] = {
            "max_count": max_count,
            "done": set(),
            "out": set(),
        }
        order = {
            "wave": number,
            "machines": list(vms),
            "deadline_s": deadline_seconds,
            "max_count": max_count,
        }
        self.write("op", f"wave/{number}", order)

    # Submitted jobs.

    def record_job(self, job_id, body):
        """Store a submitted job, which the rule checker reads."""
        self.jobs[job_id] = json.loads(body)

    def steps_of(self, job_id):
        """Return the steps of a job as they were submitted."""
        return self.jobs[job_id]["steps"]

    def step_of(self, task):
        """Return the step of a task as it was submitted."""
        job, _, step, _ = task.split(".")
        return self.steps_of(job)[int(step)]

    def _task_spec(self, task):
        return json.loads(self.jobs[task.split(".")[0]]["spec"])

    def task_seconds(self, task):
        """Return how long a task takes; infinite for a long-lived one."""
        if self.step_of(task).get("long_lived"):
            return float("inf")
        spec = self._task_spec(task)
        if spec.get("ends_at"):
            return max(0.0, spec["ends_at"] - time.monotonic())
        return spec.get("seconds", 0.1)

    def is_poison(self, task):
        """Tell whether a task fails on every runner."""
        return bool(self._task_spec(task).get("poison"))

    def is_deadly(self, task):
        """Tell whether a task crashes the runner that starts it."""
        index = int(task.rpartition(".")[2])
        return index in self._task_spec(task).get("deadly", ())

    def cpu_of(self, task):
        """Return a task's demand in thousandths of a core."""
        return self.step_of(task).get("cpu", 0)
