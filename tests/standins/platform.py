"""Stand-in of the platform: table, object store, VM list, tasks, faults.

Run as ``python -m standins.platform --host H --port P [--vms FILE]``.
"""

import argparse
import json
import threading
import time

import peridotsill

routes = peridotsill.Routes()


class Platform:
    """The platform's state.

    ``history`` holds all commits and ``task_log`` all started tasks, for
    checks. ``actual_usage`` is by job family: what its tasks really use,
    where that differs from what the job declares. Tasks on ``bad_vms`` fail
    at once.
    """

    def __init__(self, vms: list[dict]) -> None:
        self.lock = threading.RLock()
        self.rows: dict[str, tuple[dict, int]] = {}
        self.revision = 0
        self.history: list[dict] = []
        self.objects: dict[str, str] = {}
        self.vms = {vm["name"]: dict(vm) for vm in vms}
        self.vm_list_snapshots: list[tuple[float, list[dict]]] = []
        self.reboot_operations: set[str] = set()
        self.tasks: dict[str, dict] = {}
        self.task_log: list[dict] = []
        self.actual_usage: dict[str, dict] = {}
        self.bad_vms: set[str] = set()
        self.faults: dict[str, float] = {}
        self.counts = {"reads": 0, "writes": 0, "rows_written": 0}

    def check_faults(self, service: str) -> None:
        """Delay or fail a request if such a fault is set.

        A fault whose name has no service as prefix applies to all services.
        """
        delay_seconds = self.faults.get(
            f"{service}_slow", 0
        ) or self.faults.get("slow", 0)
        if delay_seconds:
            time.sleep(delay_seconds)
        if self.faults.get(f"{service}_down") or self.faults.get("down"):
            raise peridotsill.HttpProblem(503, f"{service} is down")

    def commit(self, body: dict) -> int:
        with self.lock:
            conflicts = [
                check["key"]
                for check in body["checks"]
                if self.version(check["key"]) != check["version"]
            ]
            if conflicts:
                raise peridotsill.HttpProblem(409, "conflict", keys=conflicts)
            self.revision += 1
            for write in body["writes"]:
                if write["value"] is None:
                    self.rows.pop(write["key"], None)
                else:
                    row = (write["value"], self.revision)
                    self.rows[write["key"]] = row
            self.history.append(
                {
                    "revision": self.revision,
                    "t": time.time(),
                    "checks": body["checks"],
                    "writes": body["writes"],
                }
            )
            self.counts["writes"] += 1
            self.counts["rows_written"] += len(body["writes"])
            return self.revision

    def version(self, key: str) -> int:
        return self.rows[key][1] if key in self.rows else 0

    def read_rows(self, keys: list[str]) -> dict:
        with self.lock:
            rows = [
                {
                    "key": k,
                    "value": self.rows[k][0],
                    "version": self.rows[k][1],
                }
                for k in keys
                if k in self.rows
            ]
            return {"rows": rows, "revision": self.revision}

    def consume_fault(self, name: str) -> bool:
        """Tell whether a fault applies, and count it down."""
        remaining = self.faults.get(name, 0)
        if remaining:
            self.faults[name] = remaining - 1
        return remaining != 0

    def lagged_vm_list(self) -> list[dict]:
        """Return the VM list as it was ``list_lag`` seconds ago."""
        lag_seconds = self.faults.get("list_lag", 0)
        now = time.time()
        with self.lock:
            current = json.loads(json.dumps(list(self.vms.values())))
            self.vm_list_snapshots.append((now, current))
            visible = [
                snapshot
                for at, snapshot in self.vm_list_snapshots
                if at <= now - lag_seconds
            ]
            self.vm_list_snapshots = self.vm_list_snapshots[-400:]
            return visible[-1] if visible else self.vm_list_snapshots[0][1]

    def update_task(self, task: dict) -> dict:
        """Advance a task to the present time; return its status."""
        now = time.time()
        if task["phase"] == "running":
            elapsed_seconds = now - task["started"]
            duration_seconds = max(task["actual"], 0.001)
            if elapsed_seconds >= duration_seconds:
                task["phase"] = "done"
                task["ended"] = task["started"] + duration_seconds
            elif now > task["lease_until"]:
                task["phase"] = "stopped"
                task["ended"] = task["lease_until"]
            task["progress"] = min(1.0, elapsed_seconds / duration_seconds)
        return {
            "id": task["id"],
            "vm": task["vm"],
            "phase": task["phase"],
            "progress": task["progress"],
            "used_cores": task["cores"],
            "used_memory_gib": task["memory"],
            "checkpoint": task["checkpoint"],
        }


@routes.add("POST", "/table/read")
def _read_rows(platform: Platform, request) -> object:
    keys = peridotsill.decode_plain(request.body)["keys"]
    platform.counts["reads"] += len(keys)
    platform.check_faults("table")
    return platform.read_rows(keys)


@routes.add("POST", "/table/scan")
def _scan_rows(platform: Platform, request) -> object:
    prefixes = peridotsill.decode_plain(request.body)["prefixes"]
    platform.counts["reads"] += len(prefixes)
    platform.check_faults("table")
    with platform.lock:
        keys = [k for k in platform.rows if k.startswith(tuple(prefixes))]
        return platform.read_rows(keys)


@routes.add("POST", "/table/commit")
def _commit(platform: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body)
    platform.check_faults("table")
    # The caller can't tell these two faults apart: the first applies the
    # commit after the failed answer, the second before it.
    if platform.consume_fault("late_commits"):
        delay = platform.faults.get("late_seconds", 1.0)
        threading.Timer(
            delay, _commit_unless_conflict, (platform, body)
        ).start()
        raise peridotsill.HttpProblem(504, "the answer was lost")
    revision = platform.commit(body)
    if platform.consume_fault("lost_answers"):
        raise peridotsill.HttpProblem(504, "the answer was lost")
    return {"revision": revision}


def _commit_unless_conflict(platform: Platform, body: dict) -> None:
    try:
        platform.commit(body)
    except peridotsill.HttpProblem:
        pass


@routes.add("POST", "/objects/put")
def _put_object(platform: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body)
    platform.check_faults("objects")
    platform.objects[body["name"]] = body["content"]
    return {}


@routes.add("POST", "/objects/get")
def _get_object(platform: Platform, request) -> object:
    platform.check_faults("objects")
    name = peridotsill.decode_plain(request.body)["name"]
    return {"content": platform.objects.get(name)}


@routes.add("POST", "/objects/list")
def _list_objects(platform: Platform, request) -> object:
    platform.check_faults("objects")
    prefix = peridotsill.decode_plain(request.body)["prefix"]
    names = sorted(n for n in platform.objects if n.startswith(prefix))
    return {"names": names}


@routes.add("GET", "/vms")
def _list_vms(platform: Platform, request) -> object:
    platform.check_faults("list")
    return platform.lagged_vm_list()


@routes.add("POST", "/vms/{}/reboot")
def _reboot_vm(platform: Platform, request) -> object:
    platform.check_faults("vms")
    operation = peridotsill.decode_plain(request.body)["operation"]
    with platform.lock:
        if operation in platform.reboot_operations:
            return {}
        platform.reboot_operations.add(operation)
    address = platform.vms[request.path_parameters[0]]["address"]
    seconds = platform.faults.get("reboot_seconds", 0.5)
    peridotsill.JsonClient(base=f"http://{address}", connections=1).call(
        "POST", "/standin/reboot", {"seconds": seconds}
    )
    return {}


@routes.add("POST", "/vms/{}/tasks")
def _start_task(platform: Platform, request) -> object:
    platform.check_faults("tasks")
    request_body = peridotsill.decode_plain(request.body)
    with platform.lock:
        if request_body["id"] in platform.tasks:
            return platform.update_task(platform.tasks[request_body["id"]])
        now = time.time()
        family = request_body["id"].split("/")[-1].split("-")[0]
        usage = platform.actual_usage.get(family, {})
        run_seconds = usage.get("run_seconds", request_body["run_seconds"])
        remaining_seconds = run_seconds * (1 - request_body["resume_from"])
        fails = request_body["vm"] in platform.bad_vms
        task = {
            "id": request_body["id"],
            "vm": request_body["vm"],
            "phase": "failed" if fails else "running",
            "started": now,
            "ended": now,
            "actual": remaining_seconds,
            "lease_until": now + request_body["lease_seconds"],
            "progress": 0.0,
            "cores": usage.get("cores", request_body["cores"]),
            "memory": usage.get("memory_gib", request_body["memory_gib"]),
            "checkpoint": 0.0,
        }
        platform.tasks[request_body["id"]] = task
        platform.task_log.append(task)
        return platform.update_task(task)


def _task_statuses(platform: Platform, ids: list[str]) -> list[dict]:
    absent = {"vm": "", "phase": "absent"}
    return [
        platform.update_task(platform.tasks[task_id])
        if task_id in platform.tasks
        else {"id": task_id, **absent}
        for task_id in ids
    ]


@routes.add("POST", "/tasks/renew")
def _renew_tasks(platform: Platform, request) -> object:
    platform.check_faults("tasks")
    body = peridotsill.decode_plain(request.body)
    with platform.lock:
        statuses = _task_statuses(platform, body["ids"])
        for task_id in body["ids"]:
            task = platform.tasks.get(task_id)
            if task and task["phase"] == "running":
                task["lease_until"] = time.time() + body["lease_seconds"]
        return statuses


@routes.add("POST", "/tasks/stop")
def _stop_tasks(platform: Platform, request) -> object:
    platform.check_faults("tasks")
    body = peridotsill.decode_plain(request.body)
    with platform.lock:
        for task_id in body["ids"]:
            task = platform.tasks.get(task_id)
            if task is None:
                # A start that arrives after its stop must have no effect.
                platform.tasks[task_id] = {
                    "id": task_id,
                    "vm": "",
                    "phase": "stopped",
                    "started": 0,
                    "ended": 0,
                    "actual": 0,
                    "lease_until": 0,
                    "progress": 0.0,
                    "cores": 0.0,
                    "memory": 0.0,
                    "checkpoint": 0.0,
                }
                continue
            platform.update_task(task)
            if task["phase"] == "running":
                task["phase"], task["ended"] = "stopped", time.time()
                if body.get("checkpoint"):
                    task["checkpoint"] = task["progress"]
        return _task_statuses(platform, body["ids"])


@routes.add("POST", "/standin/state")
def _change_state(platform: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body or b"{}")
    with platform.lock:
        platform.faults.update(body.get("faults", {}))
        platform.actual_usage.update(body.get("truth", {}))
        platform.bad_vms = set(body.get("bad_vms", platform.bad_vms))
        for name, change in body.get("vms", {}).items():
            platform.vms.setdefault(name, {}).update(change)
        for task in platform.tasks.values():
            platform.update_task(task)
        return {
            "counts": platform.counts,
            "revision": platform.revision,
            "history": platform.history if body.get("history") else [],
            "tasks": platform.task_log if body.get("tasks") else [],
            "rows": {k: v[0] for k, v in platform.rows.items()}
            if body.get("rows")
            else {},
        }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vms", default="")
    options = parser.parse_args()
    vms = []
    if options.vms:
        with open(options.vms) as file:
            vms = json.load(file)
    listener = peridotsill.Listener(
        options=peridotsill.ListenerOptions(
            host=options.host,
            port=options.port,
            threads=64,
            idle_seconds=60.0,
            body_bytes=64 << 20,
        ),
        app=peridotsill.JsonApp(routes=routes, handler_context=Platform(vms)),
    )
    listener.start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
