"""Slopes for docs/CAPACITY.md: state, messages, processor time, memory.

Each slope is a straight line through three sizes or more. Rows stand for
workers, pools and jobs; only nodes are processes. Prints one line for
each slope, and the whole as JSON with ``--json FILE``.
"""

import argparse
import itertools
import json
import pathlib
import statistics
import time
import tracemalloc

import attrs
import numpy
import peridotsill
import psutil
from standins import fleet

from benches import job_nodes
from peridotsill_node import _availability
from peridotsill_node import _lending
from peridotsill_node import _placement
import peridotsill_operators

_SECONDS = 8.0


@attrs.frozen(kw_only=True)
class Slope:
    """A measured line: ``value = base + per_unit * size``."""

    name: str
    unit: str
    size: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the value that the line gives at a size."""
        return self.base + self.per_unit * size


def line(name: str, unit: str, size: str, points: dict[float, float]) -> Slope:
    """Fit a line to measured points."""
    sizes, values = tuple(points), tuple(points.values())
    per_unit, base = numpy.polyfit(sizes, values, 1)
    return Slope(
        name=name,
        unit=unit,
        size=size,
        sizes=sizes,
        values=tuple(float(f"{value:.4g}") for value in values),
        base=float(f"{base:.4g}"),
        per_unit=float(f"{per_unit:.4g}"),
    )


def vm_row(number: int, version: int, pools: int) -> peridotsill.Row:
    """Return a worker's row."""
    vm = peridotsill.Vm(
        name=f"vm-{number:05d}",
        address=f"10.0.{number // 250}.{number % 250}:8000",
        domain=f"dc{number % 21}",
        rack=f"rack-{number // 4}",
        pool=f"pool-{number % pools}",
        accelerators=2 if number % 2 else 0,
    )
    value = peridotsill.to_plain(vm)
    return peridotsill.Row(key=f"vms/{vm.name}", value=value, version=version)


def view_slopes() -> list[Slope]:
    """Measure the view: memory, wire size, merge and parse time."""
    memory, wire, merge, poll = {}, {}, {}, {}
    for size in (1000, 2000, 4000, 8000):
        rows = tuple(vm_row(n, n + 1, 54) for n in range(size))
        scan = peridotsill.Scan(rows=rows, revision=size)
        text = peridotsill.encode(scan)
        wire[size] = len(text)
        tracemalloc.start()
        view = peridotsill.View()
        view.merge_scan(
            peridotsill.decode(text, peridotsill.Scan), started_at=0.0
        )
        view.resources("vms")
        memory[size] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        scan = peridotsill.decode(text, peridotsill.Scan)
        merge[size] = time.process_time() - started
        started = time.process_time()
        view.merge_scan(scan, started_at=0.0)
        view.resources("vms")
        poll[size] = time.process_time() - started
    return [
        line("view memory", "bytes", "rows", memory),
        line("scan on the wire", "bytes", "rows", wire),
        line("scan decode", "CPU seconds", "rows", merge),
        line("scan merge and parse", "CPU seconds", "rows", poll),
    ]


def decision_slopes() -> list[Slope]:
    """Measure the fleet's decisions by the number of VMs and jobs."""
    budget, place, lend = {}, {}, {}
    for size in (300, 600, 1200):
        vms = tuple(
            peridotsill.from_plain(vm_row(n, 1, 1).value, peridotsill.Vm)
            for n in range(size)
        )
        pool = peridotsill.Pool(name="pool-0", min_available=size - 3)
        budget[size] = seconds_of(
            lambda: (
                _availability.condition_of(
                    pool, vms, _availability.Evidence()
                ).slack
            )
        )
        loads = tuple(_placement.Load(vm=vm) for vm in vms)
        job = peridotsill.Job(name="job-1", pool="pool-0")
        need = _placement.UsageBook().need_of(job)
        place[size] = seconds_of(
            lambda: _placement.choose_vm(job, need, loads, {})
        )
    for size in (54, 108, 216):
        demands = tuple(
            _lending.PoolDemand(
                pool=f"p{n}",
                demand=float(n),
                slots_per_vm=8,
                available=6,
                lent=(),
            )
            for n in range(size)
        )
        weights = _lending.Weights(buffer=1, moves=1, rollout=1)
        lender = _lending.Lender()
        lend[size] = seconds_of(
            lambda: lender.decide(demands, ("a", "b"), weights, 0.5)
        )
    return [
        line("budget check", "CPU seconds", "VMs of the pool", budget),
        line("placement of a job", "CPU seconds", "VMs of the pool", place),
        line("lending decision", "CPU seconds", "pools", lend),
    ]


def seconds_of(work) -> float:
    """Return the median processor time of a call."""
    times = []
    for _ in range(9):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return statistics.median(times)


def ledger_slope() -> Slope:
    """Measure a grant and its release by the number of waiting asks."""
    points = {}
    for size in (100, 400, 1600):
        ledger = peridotsill.Ledger(
            service="s",
            home="n",
            kind=peridotsill.LedgerKind.SHARE,
            expected_seconds=0.001,
            batch_share=0.75,
            queue_limit=size * 2,
        )
        ledger.set_capacity({f"vm{n}": 8 for n in range(6)})
        numbers = itertools.count()
        granted = []
        for _ in range(48 + size):
            ask = slot_ask(next(numbers))
            ledger.submit(ask, lambda outcome: None)
            granted.append(ask.id)
        started = time.process_time()
        for _ in range(200):
            release = peridotsill.Release(hold=granted.pop(0), service="s")
            ledger.release(release)
            ask = slot_ask(next(numbers))
            ledger.submit(ask, lambda outcome: None)
            granted.append(ask.id)
        points[size] = (time.process_time() - started) / 200
    return line("slot grant and release", "CPU seconds", "waiting", points)


def slot_ask(number: int) -> peridotsill.SlotAsk:
    """Return an ask with plenty of time."""
    return peridotsill.SlotAsk(
        id=f"a{number}", service="s", node="n", deadline_seconds=600.0
    )


def decision_record_slopes() -> list[Slope]:
    """Measure a decision's memory and its size in the object store."""
    memory, wire = {}, {}
    for size in (1000, 2000, 4000):
        tracemalloc.start()
        journal = peridotsill.Journal(node="n", capacity=size * 2)
        for number in range(size):
            journal.note(
                "route",
                f"n.r{number}",
                "vm0",
                reason="attempt 1, 200",
                candidates=tuple(
                    peridotsill.Candidate(
                        name=f"vm{n}", reason=f"vm{n}: 1 of 8 slots held"
                    )
                    for n in range(6)
                ),
                inputs={"service": "s", "home": "n", "class": "interactive"},
            )
        memory[size] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        wire[size] = len(peridotsill.encode(journal.take_pending(size)))
    return [
        line("decision memory", "bytes", "decisions", memory),
        line("decision segment", "bytes", "decisions", wire),
    ]


def idle_cost(made: fleet.Fleet) -> dict[str, float]:
    """Measure one idle fleet for some seconds, by node."""
    names = list(made.nodes)
    processes = [
        psutil.Process(made.processes[name].child.pid) for name in names
    ]
    platform = psutil.Process(made.processes["platform"].child.pid)
    time.sleep(3.0)
    counts = made.platform()["counts"]
    cpu = [sum(each.cpu_times()[:2]) for each in processes]
    platform_cpu = sum(platform.cpu_times()[:2])
    sent = loopback_bytes()
    time.sleep(_SECONDS)
    after = made.platform()["counts"]
    cpu_after = [sum(each.cpu_times()[:2]) for each in processes]
    nodes = len(names)
    spent = sum(b - a for a, b in zip(cpu, cpu_after))
    return {
        "cpu": spent / _SECONDS / nodes,
        "memory": max(each.memory_info().rss for each in processes),
        "bytes": (loopback_bytes() - sent) / _SECONDS / nodes,
        "reads": (after["reads"] - counts["reads"]) / _SECONDS,
        "writes": (after["writes"] - counts["writes"]) / _SECONDS,
        "platform_cpu": (sum(platform.cpu_times()[:2]) - platform_cpu)
        / _SECONDS,
    }


def loopback_bytes() -> int:
    """Return the bytes that went over loopback so far."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


def node_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure idle nodes by their number, with 6 VMs."""
    points: dict[str, dict[float, float]] = {}
    for size in sizes:
        with fleet.fleet(0, 6) as made:
            made.limits = {"threads": 16}
            start_nodes(made, size)
            made.make_pool("p", list(made.vms), 5)
            made.make_service("s", "p")
            for name, value in idle_cost(made).items():
                points.setdefault(name, {})[size] = value
    return [
        line("idle node processor", "cores", "nodes", points["cpu"]),
        line("idle node memory", "bytes", "nodes", points["memory"]),
        line("idle node traffic", "bytes/s", "nodes", points["bytes"]),
        line("table reads, all nodes", "rows/s", "nodes", points["reads"]),
        line("table writes, all nodes", "1/s", "nodes", points["writes"]),
    ]


def start_nodes(made: fleet.Fleet, count: int) -> None:
    """Start nodes that may all serve at once."""
    for index in range(count):
        settings = made.settings_of(f"n{index}", index)
        settings["node_limit"] = 40
        made.nodes[f"n{index}"] = settings
        made.start_node(f"n{index}", wait=False)
    for name in made.nodes:
        made.wait_ready(name, 60)


def row_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure three idle nodes by the number of job rows in the table."""
    points: dict[str, dict[float, float]] = {}
    for size in sizes:
        with fleet.fleet(0, 3) as made:
            made.limits = {"threads": 16}
            start_nodes(made, 3)
            made.make_pool("p", list(made.vms), 2)
            seed_rows(made, size)
            for name, value in idle_cost(made).items():
                points.setdefault(name, {})[size] = value
    return [
        line("node processor by rows", "cores", "rows", points["cpu"]),
        line("node memory by rows", "bytes", "rows", points["memory"]),
        line("node traffic by rows", "bytes/s", "rows", points["bytes"]),
    ]


def seed_rows(made: fleet.Fleet, size: int) -> None:
    """Write finished jobs' rows straight into the platform's table."""
    client = peridotsill.JsonClient(base=f"http://{made.platform_address}")
    done = peridotsill.JobState.DONE
    for start in range(0, size, 500):
        writes = [
            {
                "key": f"jobs/j{number}",
                "value": peridotsill.to_plain(
                    peridotsill.Job(name=f"j{number}", pool="x", state=done)
                ),
            }
            for number in range(start, min(start + 500, size))
        ]
        client.call("POST", "/table/commit", {"checks": [], "writes": writes})


def config_seconds() -> dict[int, float]:
    """Measure how long a change takes to be in force, by nodes."""
    found = {}
    for size in (3, 9, 18):
        with fleet.fleet(0, 1) as made:
            made.limits = {"threads": 16}
            start_nodes(made, size)
            change = peridotsill_operators.ConfigChange(
                change_id="c", values=peridotsill.ConfigValues()
            )
            time.sleep(2.0)
            client = made.operator()
            started = time.monotonic()
            client.apply_config(change)
            fleet.wait_until(
                lambda: all(
                    made.operator(name).config().version == 1
                    for name in made.nodes
                ),
                20,
            )
            found[size] = time.monotonic() - started
    return found


def job_node_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure idle job nodes by their number, over 24 VMs."""
    costs = [job_nodes.measure(size) for size in sizes]
    return [
        line(name, unit, "nodes", {c.nodes: getattr(c, field) for c in costs})
        for name, unit, field in (
            ("idle job node processor", "cores", "node_cpu"),
            ("idle scheduler processor", "cores", "scheduler_cpu"),
            ("idle job node memory", "bytes", "memory_bytes"),
            ("idle job node traffic", "bytes/s", "node_traffic"),
        )
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", default="docs/measured/capacity.json")
    options = parser.parse_args()
    slopes = view_slopes()
    slopes += decision_slopes()
    slopes.append(ledger_slope())
    slopes += decision_record_slopes()
    slopes += node_slopes((3, 6, 12, 24))
    slopes += row_slopes((500, 2000, 4000))
    slopes += job_node_slopes((3, 6, 9))
    slopes.append(
        line("change in force", "seconds", "nodes", config_seconds())
    )
    for each in slopes:
        print(
            f"{each.name:26} {each.base:>10.4g} + {each.per_unit:>10.4g}"
            f" {each.unit} per {each.size}  {each.sizes} {each.values}",
            flush=True,
        )
    path = pathlib.Path(options.json)
    path.parent.mkdir(parents=True, exist_ok=True)
    plain = [attrs.asdict(each) for each in slopes]
    path.write_text(json.dumps(plain, indent=1) + "\n")


if __name__ == "__main__":
    main()
