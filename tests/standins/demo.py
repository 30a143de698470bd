"""The main job on the stand-ins, with a short summary at the end.

Five services of 6 runners and a spare pool, three nodes over three data
centres. Everything is created by the `peridotsill` command. Exits with 1
if a promise was broken.
"""

import collections
import json
import pathlib
import subprocess
import sys
import threading
import time

import urllib3

from standins import fleet

_SERVICES = ("conditions", "passes", "snowdepth", "dossiers", "scoring")
_VMS_PER_POOL = 6
_SPARE_VMS = 2
_NODES = 3
_LOAD_SECONDS = 12.0
_CALLERS_PER_KIND = 4


class Demo:
    """The demo's fleet, callers and counts."""

    def __init__(self, made: fleet.Fleet) -> None:
        self.fleet = made
        self.counts: collections.Counter[str] = collections.Counter()
        self.acknowledged: list[str] = []
        self.posted: list[str] = []
        self.wrong = 0
        self.last_id = ""
        self.stop = threading.Event()
        self.lock = threading.Lock()

    def command(self, *words: str, check: bool = True) -> str:
        """Run `peridotsill` and return what it printed."""
        binary = pathlib.Path(sys.executable).parent / "peridotsill"
        nodes = ",".join(
            self.fleet.address(name, "operators") for name in self.fleet.nodes
        )
        done = subprocess.run(
            [
                str(binary),
                "--node",
                nodes,
                "--token-file",
                str(self.fleet.token_file),
                *words,
            ],
            capture_output=True,
            text=True,
        )
        if check and done.returncode:
            raise SystemExit(f"peridotsill {words}: {done.stderr}")
        return done.stdout

    def create(self) -> None:
        """Create pools, VMs, services and jobs by one file."""
        pools: list[dict] = [
            {"name": "spare", "min_available": 0, "spare": True}
        ]
        services, jobs, vms = [], [], []
        names = list(self.fleet.vms)
        for number, service in enumerate(_SERVICES):
            pools.append({"name": service, "min_available": _VMS_PER_POOL - 1})
            services.append({"name": service, "pool": service})
            first = number * _VMS_PER_POOL
            for name in names[first : first + _VMS_PER_POOL]:
                vms.append({**self.fleet.vms[name], "pool": service})
            for job in range(4):
                jobs.append(
                    {
                        "name": f"{service}-rebuild-{job}",
                        "pool": service,
                        "cores": 4,
                        "run_seconds": 2.0,
                        "deadline_at": time.time() + 60,
                    }
                )
        for name in names[len(_SERVICES) * _VMS_PER_POOL :]:
            vms.append({**self.fleet.vms[name], "pool": "spare"})
        path = self.fleet.folder / "fleet-resources.json"
        documents = {
            "pools": pools,
            "vms": vms,
            "services": services,
            "jobs": jobs,
        }
        path.write_text(json.dumps(documents))
        self.command("apply", str(path))
        for node in self.fleet.nodes:
            for service in _SERVICES:
                fleet.wait_until(
                    lambda: (
                        self.fleet.call(node, "GET", f"/{service}/").status
                        == 200
                    ),
                    what=f"{service} at {node}",
                )

    def is_served(self, node: str, service: str) -> bool:
        """Tell whether a node serves a service."""
        return self.fleet.call(node, "GET", f"/{service}/").status == 200

    def send(self, kind: str, number: int) -> None:
        """Send requests of one kind until told to stop."""
        turn = 0
        nodes = list(self.fleet.nodes)
        while not self.stop.is_set():
            turn += 1
            marker = f"{kind}-{number}-{turn}"
            node = nodes[(number + turn) % len(nodes)]
            service = _SERVICES[(number + turn) % len(_SERVICES)]
            try:
                reply = self.request(kind, node, service, marker)
            except urllib3.exceptions.HTTPError as error:
                self.count(kind, "lost", marker, str(error))
                continue
            self.judge(kind, marker, reply)

    def request(
        self, kind: str, node: str, service: str, marker: str
    ) -> fleet.Reply:
        path = f"/{service}/{marker}"
        if kind == "look-up":
            return self.fleet.call(
                node, "GET", path, X_Marker=marker, Request_Timeout="5"
            )
        if kind == "post":
            with self.lock:
                self.posted.append(marker)
            return self.fleet.call(
                node,
                "POST",
                path,
                marker.encode(),
                X_Marker=marker,
                Idempotency_Key=marker,
                X_Work_Seconds="0.02",
            )
        return self.fleet.call(
            node,
            "GET",
            path,
            X_Marker=marker,
            X_Work_Seconds="1.0",
            Peridotsill_Class="batch",
        )

    def judge(self, kind: str, marker: str, reply: fleet.Reply) -> None:
        with self.lock:
            self.last_id = reply.headers["Peridotsill-Request-Id"]
        if reply.status == 200:
            if reply.body != marker.encode():
                with self.lock:
                    self.wrong += 1
            if kind == "post":
                with self.lock:
                    self.acknowledged.append(marker)
            self.count(kind, "served", marker)
        else:
            self.count(kind, f"refused, ran {reply.ran}", marker)

    def count(
        self, kind: str, outcome: str, marker: str, why: str = ""
    ) -> None:
        with self.lock:
            self.counts[f"{kind}: {outcome}"] += 1
        if why:
            print(f"  {marker}: {why}")

    def load(self) -> list[threading.Thread]:
        threads = [
            threading.Thread(
                target=self.send, args=(kind, number), daemon=True
            )
            for kind in ("look-up", "post", "long job")
            for number in range(_CALLERS_PER_KIND)
        ]
        for thread in threads:
            thread.start()
        return threads

    def summary(self, wave: dict, started: float) -> bool:
        """Print the summary; true if every promise held."""
        runs = collections.Counter(
            each["marker"] for each in self.fleet.runs() if each["marker"]
        )
        doubled = sum(1 for each in self.posted if runs[each] > 1)
        lost = sum(1 for each in self.acknowledged if not runs[each])
        cut = sum(self.fleet.runner(vm)["cut"] for vm in self.fleet.vms)
        jobs = self.fleet.operator().list("jobs").rows
        done = sum(1 for job in jobs if job.value["state"] == "done")
        moves = self.moves()
        served = sum(n for k, n in self.counts.items() if k.endswith("served"))
        print(f"\nserved          {served}")
        for name, count in sorted(self.counts.items()):
            print(f"  {name:28} {count}")
        unserved = sum(self.counts.values()) - served
        print(f"refused         {unserved}")
        print(f"lost            {lost}")
        print(f"doubled         {doubled}")
        print(f"wrong answers   {self.wrong}")
        print(f"cut by reboots  {cut}")
        print(f"jobs done       {done} of {len(jobs)}")
        took = wave["finished_at"] - started
        print(
            f"wave            {wave['state']}, {len(wave['done'])} VMs,"
            f" {took:.1f} s"
        )
        print(f"moves           {moves}")
        return not (
            lost
            or doubled
            or self.wrong
            or cut
            or done < len(jobs)
            or wave["state"] != "done"
            or any("lost" in name for name in self.counts)
        )

    def moves(self) -> int:
        """Count changes of a VM's pool in the table's history."""
        pools: dict[str, str] = {}
        moves = 0
        for commit in self.fleet.platform(history=True)["history"]:
            for write in commit["writes"]:
                if not write["key"].startswith("vms/") or not write["value"]:
                    continue
                pool = write["value"]["pool"]
                moves += pools.get(write["key"], pool) != pool
                pools[write["key"]] = pool
        return moves


def main() -> int:
    began = time.monotonic()
    vms = len(_SERVICES) * _VMS_PER_POOL + _SPARE_VMS
    print(f"starting a platform, {vms} VMs and {_NODES} nodes")
    with fleet.fleet(_NODES, vms) as made:
        demo = Demo(made)
        print("creating pools, VMs, services and jobs")
        demo.create()
        print("sending look-ups, keyed posts and long jobs; starting a wave")
        threads = demo.load()
        started = time.time()
        until = time.monotonic() + _LOAD_SECONDS
        print(
            demo.command(
                "wave", "start", "tonight", "conditions", "--wait", "90"
            ).rstrip()
        )
        time.sleep(max(0.0, until - time.monotonic()))
        demo.stop.set()
        for thread in threads:
            thread.join()
        wave = made.operator().get("waves", "tonight").value
        fleet.wait_until(
            lambda: all(
                job.value["state"] == "done"
                for job in made.operator().list("jobs").rows
            ),
            seconds=60,
            what="all jobs done",
        )
        good = demo.summary(wave, started)
        print("\none decision, explained by another node:")
        print(demo.command("--output", "json", "explain", demo.last_id))
        print(
            f"{time.monotonic() - began:.0f} s; "
            f"{'every promise held' if good else 'A PROMISE BROKE'}"
        )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
