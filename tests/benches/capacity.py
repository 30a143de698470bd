"""Measures for docs/CAPACITY.md how costs grow with a deployment's size.

The costs are state, messages, processor time and memory. Each slope is a
straight line fitted to three sizes or more. Workers, pools and jobs are
scaled as table rows only; nodes are scaled as processes. Prints one line
for each slope, and writes all as JSON to the file of ``--json``.
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

_MEASURE_SECONDS = 8.0


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


def fit_line(
    name: str, unit: str, size: str, points: dict[float, float]
) -> Slope:
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
    """Measure a view: memory, wire size, decode and merge time."""
    memory_bytes, scan_bytes, decode_seconds, merge_seconds = {}, {}, {}, {}
    for size in (1000, 2000, 4000, 8000):
        rows = tuple(vm_row(n, n + 1, 54) for n in range(size))
        scan = peridotsill.Scan(rows=rows, revision=size)
        text = peridotsill.encode(scan)
        scan_bytes[size] = len(text)
        tracemalloc.start()
        view = peridotsill.TableView()
        view.merge_scan(
            peridotsill.decode(text, peridotsill.Scan), started_at=0.0
        )
        view.resources("vms")
        memory_bytes[size] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        scan = peridotsill.decode(text, peridotsill.Scan)
        decode_seconds[size] = time.process_time() - started
        started = time.process_time()
        view.merge_scan(scan, started_at=0.0)
        view.resources("vms")
        merge_seconds[size] = time.process_time() - started
    return [
        fit_line("view memory", "bytes", "rows", memory_bytes),
        fit_line("scan on the wire", "bytes", "rows", scan_bytes),
        fit_line("scan decode", "CPU seconds", "rows", decode_seconds),
        fit_line("scan merge and parse", "CPU seconds", "rows", merge_seconds),
    ]


def decision_slopes() -> list[Slope]:
    """Measure the fleet's decisions by the number of VMs and jobs."""
    check_seconds, placement_seconds, lending_seconds = {}, {}, {}
    for size in (300, 600, 1200):
        vms = tuple(
            peridotsill.from_plain(vm_row(n, 1, 1).value, peridotsill.Vm)
            for n in range(size)
        )
        pool = peridotsill.Pool(name="pool-0", min_available=size - 3)
        check_seconds[size] = median_cpu_seconds(
            lambda: (
                _availability.condition_of(
                    pool, vms, _availability.Evidence()
                ).slack
            )
        )
        loads = tuple(_placement.Load(vm=vm) for vm in vms)
        job = peridotsill.Job(name="job-1", pool="pool-0")
        need = _placement.UsageHistory().need_of(job)
        placement_seconds[size] = median_cpu_seconds(
            lambda: _placement.choose_vm(job, need, loads, {})
        )
    for size in (54, 108, 216):
        demands = tuple(
            _lending.PoolDemand(
                pool=f"p{n}",
                demand=float(n),
                slots_per_vm=8,
                available=6,
                borrowed=(),
            )
            for n in range(size)
        )
        weights = _lending.CostWeights(buffer=1, moves=1, rollout=1)
        lender = _lending.Lender()
        lending_seconds[size] = median_cpu_seconds(
            lambda: lender.decide(demands, ("a", "b"), weights, 0.5)
        )
    return [
        fit_line(
            "budget check", "CPU seconds", "VMs of the pool", check_seconds
        ),
        fit_line(
            "placement of a job",
            "CPU seconds",
            "VMs of the pool",
            placement_seconds,
        ),
        fit_line("lending decision", "CPU seconds", "pools", lending_seconds),
    ]


def median_cpu_seconds(work) -> float:
    """Return the median processor time of a call."""
    seconds = []
    for _ in range(9):
        started = time.process_time()
        work()
        seconds.append(time.process_time() - started)
    return statistics.median(seconds)


def allocator_slope() -> Slope:
    """Measure a grant and its release by the number of waiting requests."""
    cpu_seconds = {}
    for size in (100, 400, 1600):
        allocator = peridotsill.SlotAllocator(
            service="s",
            home="n",
            kind=peridotsill.SlotAllocatorKind.SHARE,
            expected_seconds=0.001,
            batch_share=0.75,
            queue_limit=size * 2,
        )
        allocator.set_capacity({f"vm{n}": 8 for n in range(6)})
        numbers = itertools.count()
        requested_ids = []
        for _ in range(48 + size):
            request = slot_request(next(numbers))
            allocator.submit(request, lambda outcome: None)
            requested_ids.append(request.id)
        started = time.process_time()
        for _ in range(200):
            release = peridotsill.Release(
                hold=requested_ids.pop(0), service="s"
            )
            allocator.release(release)
            request = slot_request(next(numbers))
            allocator.submit(request, lambda outcome: None)
            requested_ids.append(request.id)
        cpu_seconds[size] = (time.process_time() - started) / 200
    return fit_line(
        "slot grant and release", "CPU seconds", "waiting", cpu_seconds
    )


def slot_request(number: int) -> peridotsill.SlotRequest:
    """Return a request whose deadline does not end during the measure."""
    return peridotsill.SlotRequest(
        id=f"a{number}", service="s", node="n", deadline_seconds=600.0
    )


def decision_record_slopes() -> list[Slope]:
    """Measure a decision's memory and its size in the object store."""
    memory_bytes, segment_bytes = {}, {}
    for size in (1000, 2000, 4000):
        tracemalloc.start()
        journal = peridotsill.Journal(node="n", capacity=size * 2)
        for number in range(size):
            journal.record(
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
        memory_bytes[size] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        segment_bytes[size] = len(
            peridotsill.encode(journal.dequeue_pending(size))
        )
    return [
        fit_line("decision memory", "bytes", "decisions", memory_bytes),
        fit_line("decision segment", "bytes", "decisions", segment_bytes),
    ]


def idle_cost(bench_fleet: fleet.Fleet) -> dict[str, float]:
    """Measure an idle fleet for ``_MEASURE_SECONDS``.

    Processor time and traffic are by node, memory is that of the largest
    node. Table reads and writes and the platform's processor time are
    totals.
    """
    names = list(bench_fleet.nodes)
    processes = [
        psutil.Process(bench_fleet.processes[name].child.pid) for name in names
    ]
    platform = psutil.Process(bench_fleet.processes["platform"].child.pid)
    time.sleep(3.0)
    counts_before = bench_fleet.control_platform()["counts"]
    cpu_before = [sum(each.cpu_times()[:2]) for each in processes]
    platform_cpu_before = sum(platform.cpu_times()[:2])
    bytes_before = loopback_bytes()
    time.sleep(_MEASURE_SECONDS)
    counts_after = bench_fleet.control_platform()["counts"]
    cpu_after = [sum(each.cpu_times()[:2]) for each in processes]
    node_count = len(names)
    cpu_seconds = sum(b - a for a, b in zip(cpu_before, cpu_after))
    return {
        "cpu": cpu_seconds / _MEASURE_SECONDS / node_count,
        "memory": max(each.memory_info().rss for each in processes),
        "bytes": (loopback_bytes() - bytes_before)
        / _MEASURE_SECONDS
        / node_count,
        "reads": (counts_after["reads"] - counts_before["reads"])
        / _MEASURE_SECONDS,
        "writes": (counts_after["writes"] - counts_before["writes"])
        / _MEASURE_SECONDS,
        "platform_cpu": (sum(platform.cpu_times()[:2]) - platform_cpu_before)
        / _MEASURE_SECONDS,
    }


def loopback_bytes() -> int:
    """Return the bytes sent over loopback since the machine's start."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


def node_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure idle nodes by their number, over 6 VMs."""
    points: dict[str, dict[float, float]] = {}
    for size in sizes:
        with fleet.fleet(0, 6) as bench_fleet:
            bench_fleet.limits = {"threads": 16}
            start_nodes(bench_fleet, size)
            bench_fleet.create_pool("p", list(bench_fleet.vms), 5)
            bench_fleet.create_service("s", "p")
            for name, value in idle_cost(bench_fleet).items():
                points.setdefault(name, {})[size] = value
    return [
        fit_line("idle node processor", "cores", "nodes", points["cpu"]),
        fit_line("idle node memory", "bytes", "nodes", points["memory"]),
        fit_line("idle node traffic", "bytes/s", "nodes", points["bytes"]),
        fit_line("table reads, all nodes", "rows/s", "nodes", points["reads"]),
        fit_line("table writes, all nodes", "1/s", "nodes", points["writes"]),
    ]


def start_nodes(bench_fleet: fleet.Fleet, count: int) -> None:
    """Start nodes, with a limit that lets all of them serve at once."""
    for index in range(count):
        settings = bench_fleet.settings_of(f"n{index}", index)
        settings["node_limit"] = 40
        bench_fleet.nodes[f"n{index}"] = settings
        bench_fleet.start_node(f"n{index}", wait=False)
    for name in bench_fleet.nodes:
        bench_fleet.wait_ready(name, 60)


def row_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure three idle nodes by the number of job rows in the table."""
    points: dict[str, dict[float, float]] = {}
    for size in sizes:
        with fleet.fleet(0, 3) as bench_fleet:
            bench_fleet.limits = {"threads": 16}
            start_nodes(bench_fleet, 3)
            bench_fleet.create_pool("p", list(bench_fleet.vms), 2)
            seed_rows(bench_fleet, size)
            for name, value in idle_cost(bench_fleet).items():
                points.setdefault(name, {})[size] = value
    return [
        fit_line("node processor by rows", "cores", "rows", points["cpu"]),
        fit_line("node memory by rows", "bytes", "rows", points["memory"]),
        fit_line("node traffic by rows", "bytes/s", "rows", points["bytes"]),
    ]


def seed_rows(bench_fleet: fleet.Fleet, size: int) -> None:
    """Write finished jobs' rows straight into the platform's table."""
    client = peridotsill.JsonClient(
        base=f"http://{bench_fleet.platform_address}"
    )
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
    """Measure how long a configuration change takes to reach all nodes."""
    seconds_by_size = {}
    for size in (3, 9, 18):
        with fleet.fleet(0, 1) as bench_fleet:
            bench_fleet.limits = {"threads": 16}
            start_nodes(bench_fleet, size)
            change = peridotsill_operators.ConfigChange(
                change_id="c", values=peridotsill.ConfigValues()
            )
            time.sleep(2.0)
            client = bench_fleet.operator()
            started = time.monotonic()
            client.apply_config(change)
            fleet.wait_until(
                lambda: all(
                    bench_fleet.operator(name).config().version == 1
                    for name in bench_fleet.nodes
                ),
                20,
            )
            seconds_by_size[size] = time.monotonic() - started
    return seconds_by_size


def job_node_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure idle job nodes by their number, over 24 VMs."""
    costs = [job_nodes.measure(size) for size in sizes]
    return [
        fit_line(
            name,
            unit,
            "nodes",
            {cost.nodes: getattr(cost, field) for cost in costs},
        )
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
    slopes.append(allocator_slope())
    slopes += decision_record_slopes()
    slopes += node_slopes((3, 6, 12, 24))
    slopes += row_slopes((500, 2000, 4000))
    slopes += job_node_slopes((3, 6, 9))
    slopes.append(
        fit_line("change in force", "seconds", "nodes", config_seconds())
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
