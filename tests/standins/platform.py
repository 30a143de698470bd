"""The platform: table, object store, lagging VM list, workers, faults.

Run as ``python -m standins.platform --host H --port P [--vms FILE]``.
"""

import argparse
import json
import threading
import time

import peridotsill

routes = peridotsill.Routes()


class Platform:
    """All state of the platform, and its faults."""

    def __init__(self, vms: list[dict]) -> None:
        self.lock = threading.RLock()
        self.rows: dict[str, tuple[dict, int]] = {}
        self.revision = 0
        self.history: list[dict] = []
        self.objects: dict[str, str] = {}
        self.vms = {vm["name"]: dict(vm) for vm in vms}
        self.published: list[tuple[float, list[dict]]] = []
        self.operations: set[str] = set()
        self.tasks: dict[str, dict] = {}
        self.task_log: list[dict] = []
        self.truth: dict[str, dict] = {}
        self.bad_vms: set[str] = set()
        self.faults: dict[str, float] = {}
        self.counts = {"reads": 0, "writes": 0, "rows_written": 0}

    def check_faults(self, part: str) -> None:
        slow = self.faults.get(f"{part}_slow", 0) or self.faults.get("slow", 0)
        if slow:
            time.sleep(slow)
        if self.faults.get(f"{part}_down") or self.faults.get("down"):
            raise peridotsill.HttpProblem(503, f"{part} is down")

    def commit(self, body: dict) -> int:
        with self.lock:
            wrong = [
                check["key"]
                for check in body["checks"]
                if self.version(check["key"]) != check["version"]
            ]
            if wrong:
                raise peridotsill.HttpProblem(409, "conflict", keys=wrong)
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

    def found(self, keys: list[str]) -> dict:
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

    def lose(self, name: str) -> bool:
        left = self.faults.get(name, 0)
        if left:
            self.faults[name] = left - 1
        return left != 0

    def listed(self) -> list[dict]:
        lag = self.faults.get("list_lag", 0)
        now = time.time()
        with self.lock:
            fresh = json.loads(json.dumps(list(self.vms.values())))
            self.published.append((now, fresh))
            old = [each for at, each in self.published if at <= now - lag]
            self.published = self.published[-400:]
            return old[-1] if old else self.published[0][1]

    def update_task(self, task: dict) -> dict:
        now = time.time()
        if task["phase"] == "running":
            ran = now - task["started"]
            full = max(task["actual"], 0.001)
            if ran >= full:
                task["phase"] = "done"
                task["ended"] = task["started"] + full
            elif now > task["lease_until"]:
                task["phase"] = "stopped"
                task["ended"] = task["lease_until"]
            task["progress"] = min(1.0, ran / full)
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
def _read(target: Platform, request) -> object:
    keys = peridotsill.decode_plain(request.body)["keys"]
    target.counts["reads"] += len(keys)
    target.check_faults("table")
    return target.found(keys)


@routes.add("POST", "/table/scan")
def _scan(target: Platform, request) -> object:
    prefixes = peridotsill.decode_plain(request.body)["prefixes"]
    target.counts["reads"] += len(prefixes)
    target.check_faults("table")
    with target.lock:
        keys = [k for k in target.rows if k.startswith(tuple(prefixes))]
        return target.found(keys)


@routes.add("POST", "/table/commit")
def _commit(target: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body)
    target.check_faults("table")
    if target.lose("late_commits"):
        delay = target.faults.get("late_seconds", 1.0)
        threading.Timer(delay, _quietly, (target, body)).start()
        raise peridotsill.HttpProblem(504, "the answer was lost")
    revision = target.commit(body)
    if target.lose("lost_answers"):
        raise peridotsill.HttpProblem(504, "the answer was lost")
    return {"revision": revision}


def _quietly(target: Platform, body: dict) -> None:
    try:
        target.commit(body)
    except peridotsill.HttpProblem:
        pass


@routes.add("POST", "/objects/put")
def _put(target: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body)
    target.check_faults("objects")
    target.objects[body["name"]] = body["content"]
    return {}


@routes.add("POST", "/objects/get")
def _get(target: Platform, request) -> object:
    target.check_faults("objects")
    name = peridotsill.decode_plain(request.body)["name"]
    return {"content": target.objects.get(name)}


@routes.add("POST", "/objects/list")
def _objects(target: Platform, request) -> object:
    target.check_faults("objects")
    prefix = peridotsill.decode_plain(request.body)["prefix"]
    names = sorted(n for n in target.objects if n.startswith(prefix))
    return {"names": names}


@routes.add("GET", "/vms")
def _vms(target: Platform, request) -> object:
    target.check_faults("list")
    return target.listed()


@routes.add("POST", "/vms/{}/reboot")
def _reboot(target: Platform, request) -> object:
    target.check_faults("vms")
    operation = peridotsill.decode_plain(request.body)["operation"]
    with target.lock:
        if operation in target.operations:
            return {}
        target.operations.add(operation)
    address = target.vms[request.parts[0]]["address"]
    seconds = target.faults.get("reboot_seconds", 0.5)
    peridotsill.JsonClient(base=f"http://{address}", connections=1).call(
        "POST", "/standin/reboot", {"seconds": seconds}
    )
    return {}


@routes.add("POST", "/vms/{}/tasks")
def _start(target: Platform, request) -> object:
    target.check_faults("tasks")
    order = peridotsill.decode_plain(request.body)
    with target.lock:
        if order["id"] in target.tasks:
            return target.update_task(target.tasks[order["id"]])
        now = time.time()
        family = order["id"].split("/")[-1].split("-")[0]
        truth = target.truth.get(family, {})
        full = truth.get("run_seconds", order["run_seconds"])
        actual = full * (1 - order["resume_from"])
        bad = order["vm"] in target.bad_vms
        task = {
            "id": order["id"],
            "vm": order["vm"],
            "phase": "failed" if bad else "running",
            "started": now,
            "ended": now,
            "actual": actual,
            "lease_until": now + order["lease_seconds"],
            "progress": 0.0,
            "cores": truth.get("cores", order["cores"]),
            "memory": truth.get("memory_gib", order["memory_gib"]),
            "checkpoint": 0.0,
        }
        target.tasks[order["id"]] = task
        target.task_log.append(task)
        return target.update_task(task)


def _statuses(target: Platform, ids: list[str]) -> list[dict]:
    absent = {"vm": "", "phase": "absent"}
    return [
        target.update_task(target.tasks[each])
        if each in target.tasks
        else {"id": each, **absent}
        for each in ids
    ]


@routes.add("POST", "/tasks/renew")
def _renew(target: Platform, request) -> object:
    target.check_faults("tasks")
    body = peridotsill.decode_plain(request.body)
    with target.lock:
        statuses = _statuses(target, body["ids"])
        for each in body["ids"]:
            task = target.tasks.get(each)
            if task and task["phase"] == "running":
                task["lease_until"] = time.time() + body["lease_seconds"]
        return statuses


@routes.add("POST", "/tasks/stop")
def _stop(target: Platform, request) -> object:
    target.check_faults("tasks")
    body = peridotsill.decode_plain(request.body)
    with target.lock:
        for each in body["ids"]:
            task = target.tasks.get(each)
            if task is None:
                # A stopped id may never start afterwards.
                target.tasks[each] = {
                    "id": each,
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
            target.update_task(task)
            if task["phase"] == "running":
                task["phase"], task["ended"] = "stopped", time.time()
                if body.get("checkpoint"):
                    task["checkpoint"] = task["progress"]
        return _statuses(target, body["ids"])


@routes.add("POST", "/standin/state")
def _state(target: Platform, request) -> object:
    body = peridotsill.decode_plain(request.body or b"{}")
    with target.lock:
        target.faults.update(body.get("faults", {}))
        target.truth.update(body.get("truth", {}))
        target.bad_vms = set(body.get("bad_vms", target.bad_vms))
        for name, change in body.get("vms", {}).items():
            target.vms.setdefault(name, {}).update(change)
        for task in target.tasks.values():
            target.update_task(task)
        return {
            "counts": target.counts,
            "revision": target.revision,
            "history": target.history if body.get("history") else [],
            "tasks": target.task_log if body.get("tasks") else [],
            "rows": {k: v[0] for k, v in target.rows.items()}
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
        app=peridotsill.JsonApp(routes=routes, target=Platform(vms)),
    )
    listener.start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
