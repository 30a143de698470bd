"""A demo on the stand-ins: serving, jobs and a maintenance wave.

Three nodes over three data centres serve five services of 6 runners each,
with a spare pool. Everything is created by the `peridotsill` command. Ends
with a summary, and exits with 1 if a guarantee was broken.
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
    """The demo's fleet, its callers and the results of their requests."""

    def __init__(self, demo_fleet: fleet.Fleet) -> None:
        self.fleet = demo_fleet
        self.counts: collections.Counter[str] = collections.Counter()
        self.acknowledged: list[str] = []
        self.posted: list[str] = []
        self.wrong_answers = 0
        self.last_request_id = ""
        self.stop = threading.Event()
        self.lock = threading.Lock()

    def run_command(self, *arguments: str, check: bool = True) -> str:
        """Run `peridotsill` and return what it printed."""
        binary = pathlib.Path(sys.executable).parent / "peridotsill"
        nodes = ",".join(
            self.fleet.address(name, "operators") for name in self.fleet.nodes
        )
        completed = subprocess.run(
            [
                str(binary),
                "--node",
                nodes,
                "--token-file",
                str(self.fleet.token_file),
                *arguments,
            ],
            capture_output=True,
            text=True,
        )
        if check and completed.returncode:
            raise SystemExit(f"peridotsill {arguments}: {completed.stderr}")
        return completed.stdout

    def create(self) -> None:
        """Create pools, VMs, services and jobs by one file."""
        pools: list[dict] = [
            {"name": "spare", "min_available": 0, "spare": True}
        ]
        services, jobs, vms = [], [], []
        names = list(self.fleet.vms)
        for index, service in enumerate(_SERVICES):
            pools.append({"name": service, "min_available": _VMS_PER_POOL - 1})
            services.append({"name": service, "pool": service})
            first = index * _VMS_PER_POOL
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
        self.run_command("apply", str(path))
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

    def send_requests(self, kind: str, caller: int) -> None:
        """Send requests of one kind until told to stop."""
        sequence = 0
        nodes = list(self.fleet.nodes)
        while not self.stop.is_set():
            sequence += 1
            marker = f"{kind}-{caller}-{sequence}"
            node = nodes[(caller + sequence) % len(nodes)]
            service = _SERVICES[(caller + sequence) % len(_SERVICES)]
            try:
                reply = self.request(kind, node, service, marker)
            except urllib3.exceptions.HTTPError as error:
                self.count(kind, "lost", marker, str(error))
                continue
            self.record_reply(kind, marker, reply)

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

    def record_reply(self, kind: str, marker: str, reply: fleet.Reply) -> None:
        with self.lock:
            self.last_request_id = reply.headers["Peridotsill-Request-Id"]
        if reply.status == 200:
            if reply.body != marker.encode():
                with self.lock:
                    self.wrong_answers += 1
            if kind == "post":
                with self.lock:
                    self.acknowledged.append(marker)
            self.count(kind, "served", marker)
        else:
            self.count(kind, f"refused, ran {reply.ran}", marker)

    def count(
        self, kind: str, outcome: str, marker: str, error_text: str = ""
    ) -> None:
        with self.lock:
            self.counts[f"{kind}: {outcome}"] += 1
        if error_text:
            print(f"  {marker}: {error_text}")

    def start_load(self) -> list[threading.Thread]:
        """Start callers of every kind; return their threads."""
        threads = [
            threading.Thread(
                target=self.send_requests, args=(kind, caller), daemon=True
            )
            for kind in ("look-up", "post", "long job")
            for caller in range(_CALLERS_PER_KIND)
        ]
        for thread in threads:
            thread.start()
        return threads

    def print_summary(self, wave: dict, wave_started: float) -> bool:
        """Print the summary; true if every guarantee held."""
        runs = collections.Counter(
            each["marker"] for each in self.fleet.runs() if each["marker"]
        )
        run_twice = sum(1 for each in self.posted if runs[each] > 1)
        never_run = sum(1 for each in self.acknowledged if not runs[each])
        interrupted = sum(
            self.fleet.control_runner(vm)["cut"] for vm in self.fleet.vms
        )
        jobs = self.fleet.operator().list("jobs").rows
        jobs_done = sum(1 for job in jobs if job.value["state"] == "done")
        move_count = self.count_moves()
        served = sum(n for k, n in self.counts.items() if k.endswith("served"))
        print(f"\nserved          {served}")
        for name, count in sorted(self.counts.items()):
            print(f"  {name:28} {count}")
        refused = sum(self.counts.values()) - served
        print(f"refused         {refused}")
        print(f"lost            {never_run}")
        print(f"doubled         {run_twice}")
        print(f"wrong answers   {self.wrong_answers}")
        print(f"cut by reboots  {interrupted}")
        print(f"jobs done       {jobs_done} of {len(jobs)}")
        duration_seconds = wave["finished_at"] - wave_started
        print(
            f"wave            {wave['state']}, {len(wave['done'])} VMs,"
            f" {duration_seconds:.1f} s"
        )
        print(f"moves           {move_count}")
        return not (
            never_run
            or run_twice
            or self.wrong_answers
            or interrupted
            or jobs_done < len(jobs)
            or wave["state"] != "done"
            or any("lost" in name for name in self.counts)
        )

    def count_moves(self) -> int:
        """Count changes of a VM's pool in the table's history."""
        pools: dict[str, str] = {}
        move_count = 0
        for commit in self.fleet.control_platform(history=True)["history"]:
            for write in commit["writes"]:
                if not write["key"].startswith("vms/") or not write["value"]:
                    continue
                pool = write["value"]["pool"]
                move_count += pools.get(write["key"], pool) != pool
                pools[write["key"]] = pool
        return move_count


def main() -> int:
    started_at = time.monotonic()
    vms = len(_SERVICES) * _VMS_PER_POOL + _SPARE_VMS
    print(f"starting a platform, {vms} VMs and {_NODES} nodes")
    with fleet.fleet(_NODES, vms) as demo_fleet:
        demo = Demo(demo_fleet)
        print("creating pools, VMs, services and jobs")
        demo.create()
        print("sending look-ups, keyed posts and long jobs; starting a wave")
        threads = demo.start_load()
        wave_started = time.time()
        load_until = time.monotonic() + _LOAD_SECONDS
        print(
            demo.run_command(
                "wave", "start", "tonight", "conditions", "--wait", "90"
            ).rstrip()
        )
        time.sleep(max(0.0, load_until - time.monotonic()))
        demo.stop.set()
        for thread in threads:
            thread.join()
        wave = demo_fleet.operator().get("waves", "tonight").value
        fleet.wait_until(
            lambda: all(
                job.value["state"] == "done"
                for job in demo_fleet.operator().list("jobs").rows
            ),
            seconds=60,
            what="all jobs done",
        )
        held = demo.print_summary(wave, wave_started)
        print("\none decision, explained by another node:")
        print(
            demo.run_command(
                "--output", "json", "explain", demo.last_request_id
            )
        )
        print(
            f"{time.monotonic() - started_at:.0f} s; "
            f"{'every guarantee held' if held else 'A GUARANTEE WAS BROKEN'}"
        )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
