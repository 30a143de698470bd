"""Compares the slot policies under demand peaks that alternate.

Two services have 6 runners each, with 8 slots per runner. In alternating
phases one gets five times its mean rate, which exceeds its pool's
capacity, and the other a twentieth. All policies get the same arrivals.
"""

import json
import statistics
import subprocess
import sys
import time

import attrs
import peridotsill
from standins import fleet
from standins import load
import urllib3

import peridotsill_operators

SERVICES = ("alpha", "beta")
SLOTS_PER_POOL = 48
PEAK_FACTOR = 5.0
OFF_PEAK_FACTOR = 0.05
_GENERATORS = 2


@attrs.frozen(kw_only=True)
class Demand:
    """Demand on each service; rates are per second."""

    work_seconds: float = 0.25
    deadline_seconds: float = 2.0
    mean_rate: float = 60.0
    phase_seconds: float = 5.0
    phases: int = 4

    @property
    def capacity(self) -> float:
        """Answers per second that a pool can give."""
        return SLOTS_PER_POOL / self.work_seconds


@attrs.frozen(kw_only=True)
class Outcome:
    """Results of one policy under the demand.

    ``goodput`` is the fraction of the requests at peaks that were answered
    completely and in time; if the capacity is less than the requests sent,
    it is the fraction of the capacity. ``added_ms`` is the median latency
    outside the peaks, less the work time.
    """

    policy: str
    nodes: int
    sent: int
    served: int
    late: int
    refused: int
    unknown: int
    cut: int
    goodput: float
    overcommits: int
    peak_running: int
    peak_connections: int
    added_ms: float
    messages: int
    fallbacks: int


def arrivals(demand: Demand) -> list[load.ScheduledRequest]:
    """Return the arrivals, which are the same for every policy."""
    requests = []
    for phase in range(demand.phases):
        for index, service in enumerate(SERVICES):
            peak = phase % len(SERVICES) == index
            rate = demand.mean_rate * (
                PEAK_FACTOR if peak else OFF_PEAK_FACTOR
            )
            kind = "peak" if peak else "low"
            service_requests = load.poisson_arrivals(
                rate,
                demand.phase_seconds,
                seed=phase * 10 + index,
                prefix=f"{kind}-{service}-{phase}",
                path=f"/{service}/x",
                headers={
                    "X-Work-Seconds": str(demand.work_seconds),
                    "Request-Timeout": str(demand.deadline_seconds),
                },
            )
            start = phase * demand.phase_seconds
            requests += [
                attrs.evolve(s, at=s.at + start) for s in service_requests
            ]
    return requests


def send(
    cluster: fleet.Fleet,
    requests: list[load.ScheduledRequest],
    entry_nodes: int,
) -> list[load.Result]:
    """Send requests from load generators in separate processes.

    They use the first ``entry_nodes`` nodes.
    """
    start_at = time.time() + 2.0
    children = []
    for index in range(_GENERATORS):
        plan = {
            "addresses": [
                cluster.address(name, "callers")
                for name in list(cluster.nodes)[:entry_nodes]
            ],
            "requests": [
                attrs.asdict(s) for s in requests[index::_GENERATORS]
            ],
            "start_at": start_at,
            "output": str(cluster.folder / f"results-{index}.json"),
        }
        path = cluster.folder / f"plan-{index}.json"
        path.write_text(json.dumps(plan))
        command = [sys.executable, "-m", "standins.load", str(path)]
        children.append((subprocess.Popen(command), plan["output"]))
    results = []
    for child, output in children:
        child.wait(300)
        with open(output) as file:
            results += [load.Result(**each) for each in json.load(file)]
    return results


def metric(cluster: fleet.Fleet, node: str, name: str) -> float:
    """Return the value of a node's metric that has no labels."""
    answer = urllib3.request(
        "GET",
        f"http://{cluster.address(node, 'operators')}/metrics",
        headers={"Authorization": f"Bearer {fleet.TOKEN}"},
    )
    for line in answer.data.decode().splitlines():
        if line.startswith(f"peridotsill_{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


def measure(
    policy: str,
    nodes: int,
    demand: Demand,
    entry_nodes: int = 0,
) -> Outcome:
    """Run one policy under the demand.

    Requests enter by ``entry_nodes`` of the nodes, or by all if it is 0.
    """
    with fleet.fleet(nodes, 12) as cluster:
        names = list(cluster.vms)
        for index, service in enumerate(SERVICES):
            cluster.create_pool(service, names[index * 6 : index * 6 + 6], 5)
            cluster.create_service(
                service, service, expected_seconds=demand.work_seconds
            )
        cluster.operator().apply_config(
            peridotsill_operators.ConfigChange(
                change_id=policy,
                values=peridotsill.ConfigValues(
                    slot_policy=policy, lending=False
                ),
            )
        )
        time.sleep(2.5)
        before = {vm: cluster.control_runner(vm) for vm in names}
        requests = arrivals(demand)
        results = send(cluster, requests, entry_nodes or nodes)
        after = {vm: cluster.control_runner(vm) for vm in names}
        return _outcome(policy, cluster, results, before, after, demand)


def _outcome(policy, cluster, results, before, after, demand) -> Outcome:
    in_time = [
        r
        for r in results
        if r.status == 200
        and r.response_matches
        and r.seconds <= demand.deadline_seconds
    ]
    peaks_in_time = [r for r in in_time if r.marker.startswith("peak")]
    sent_at_peaks = sum(1 for r in results if r.marker.startswith("peak"))
    # Requests sent at a peak's end may be served until their deadline.
    seconds = demand.phase_seconds + demand.deadline_seconds
    possible_at_peaks = min(
        sent_at_peaks, demand.capacity * seconds * demand.phases
    )
    off_peak_seconds = [
        r.seconds for r in in_time if r.marker.startswith("low")
    ]
    nodes = list(cluster.nodes)
    return Outcome(
        policy=policy,
        nodes=len(nodes),
        sent=len(results),
        served=len(in_time),
        late=sum(
            1
            for r in results
            if r.status == 200 and r.seconds > demand.deadline_seconds
        ),
        refused=sum(1 for r in results if r.ran == "no"),
        unknown=sum(1 for r in results if r.ran == "unknown"),
        cut=sum(1 for r in results if r.error),
        goodput=round(len(peaks_in_time) / possible_at_peaks, 3),
        overcommits=sum(
            after[vm]["overcommits"] - before[vm]["overcommits"]
            for vm in after
        ),
        peak_running=max(each["peak"] for each in after.values()),
        peak_connections=max(
            each["peak_connections"] for each in after.values()
        ),
        added_ms=round(
            1000 * (statistics.median(off_peak_seconds) - demand.work_seconds),
            1,
        )
        if off_peak_seconds
        else -1.0,
        messages=int(sum(metric(cluster, n, "slot_messages") for n in nodes)),
        fallbacks=int(
            sum(metric(cluster, n, "slot_fallbacks") for n in nodes)
        ),
    )


def _added_ms(seconds: list[float], demand: Demand) -> float:
    if not seconds:
        return -1.0
    added = statistics.median(seconds) - demand.work_seconds
    return round(1000 * added, 1)


if __name__ == "__main__":
    for name in ("blind", "share", "borrow", "permits"):
        print(measure(name, 7, Demand()), flush=True)
