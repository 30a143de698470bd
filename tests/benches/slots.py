"""Slot policies on the same demand: peaks in turns, then a twentieth.

Two services of 6 runners with 8 slots; in turn each is asked for five
times its mean, which is more than its pool holds, while the other gets a
twentieth. All policies get the same arrivals.
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
SLOTS = 48
PEAK = 5.0
LOW = 0.05
_GENERATORS = 2


@attrs.frozen(kw_only=True)
class Demand:
    """What is asked of each service; rates are by the second."""

    work_seconds: float = 0.25
    deadline_seconds: float = 2.0
    mean_rate: float = 60.0
    phase_seconds: float = 5.0
    phases: int = 4

    @property
    def capacity(self) -> float:
        """Answers that a pool can give, by the second."""
        return SLOTS / self.work_seconds


@attrs.frozen(kw_only=True)
class Outcome:
    """What a policy made of the demand.

    ``goodput`` is the part of the demand, or of the capacity where that
    is less, that was answered whole and in time during peaks.
    ``added_ms`` is the median latency over the work time, off the peaks.
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


def arrivals(demand: Demand) -> list[load.Shot]:
    """Return the same demand for every policy."""
    shots = []
    for phase in range(demand.phases):
        for index, service in enumerate(SERVICES):
            peak = phase % len(SERVICES) == index
            rate = demand.mean_rate * (PEAK if peak else LOW)
            kind = "peak" if peak else "low"
            found = load.steady(
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
            shots += [attrs.evolve(s, at=s.at + start) for s in found]
    return shots


def send(
    made: fleet.Fleet, shots: list[load.Shot], entries: int
) -> list[load.Result]:
    """Send shots from load generators in processes of their own."""
    start_at = time.time() + 2.0
    children = []
    for index in range(_GENERATORS):
        plan = {
            "addresses": [
                made.address(name, "callers")
                for name in list(made.nodes)[:entries]
            ],
            "shots": [attrs.asdict(s) for s in shots[index::_GENERATORS]],
            "start_at": start_at,
            "output": str(made.folder / f"results-{index}.json"),
        }
        path = made.folder / f"plan-{index}.json"
        path.write_text(json.dumps(plan))
        command = [sys.executable, "-m", "standins.load", str(path)]
        children.append((subprocess.Popen(command), plan["output"]))
    results = []
    for child, output in children:
        child.wait(300)
        with open(output) as file:
            results += [load.Result(**each) for each in json.load(file)]
    return results


def metric(made: fleet.Fleet, node: str, name: str) -> float:
    """Return a node's metric without labels."""
    answer = urllib3.request(
        "GET",
        f"http://{made.address(node, 'operators')}/metrics",
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
    entries: int = 0,
) -> Outcome:
    """Run one policy under the demand, let in by some or all nodes."""
    with fleet.fleet(nodes, 12) as made:
        names = list(made.vms)
        for index, service in enumerate(SERVICES):
            made.make_pool(service, names[index * 6 : index * 6 + 6], 5)
            made.make_service(
                service, service, expected_seconds=demand.work_seconds
            )
        made.operator().apply_config(
            peridotsill_operators.ConfigChange(
                change_id=policy,
                values=peridotsill.ConfigValues(
                    slot_policy=policy, lending=False
                ),
            )
        )
        time.sleep(2.5)
        before = {vm: made.runner(vm) for vm in names}
        shots = arrivals(demand)
        results = send(made, shots, entries or nodes)
        after = {vm: made.runner(vm) for vm in names}
        return _outcome(policy, made, results, before, after, demand)


def _outcome(policy, made, results, before, after, demand) -> Outcome:
    good = [
        r
        for r in results
        if r.status == 200 and r.own and r.seconds <= demand.deadline_seconds
    ]
    peaks = [r for r in good if r.marker.startswith("peak")]
    asked = sum(1 for r in results if r.marker.startswith("peak"))
    # What is asked at a peak's end may be served until its deadline.
    seconds = demand.phase_seconds + demand.deadline_seconds
    possible = min(asked, demand.capacity * seconds * demand.phases)
    low = [r.seconds for r in good if r.marker.startswith("low")]
    nodes = list(made.nodes)
    return Outcome(
        policy=policy,
        nodes=len(nodes),
        sent=len(results),
        served=len(good),
        late=sum(
            1
            for r in results
            if r.status == 200 and r.seconds > demand.deadline_seconds
        ),
        refused=sum(1 for r in results if r.ran == "no"),
        unknown=sum(1 for r in results if r.ran == "unknown"),
        cut=sum(1 for r in results if r.error),
        goodput=round(len(peaks) / possible, 3),
        overcommits=sum(
            after[vm]["overcommits"] - before[vm]["overcommits"]
            for vm in after
        ),
        peak_running=max(each["peak"] for each in after.values()),
        peak_connections=max(
            each["peak_connections"] for each in after.values()
        ),
        added_ms=round(
            1000 * (statistics.median(low) - demand.work_seconds), 1
        )
        if low
        else -1.0,
        messages=int(sum(metric(made, n, "slot_messages") for n in nodes)),
        fallbacks=int(sum(metric(made, n, "slot_fallbacks") for n in nodes)),
    )


def _added_ms(seconds: list[float], demand: Demand) -> float:
    if not seconds:
        return -1.0
    added = statistics.median(seconds) - demand.work_seconds
    return round(1000 * added, 1)


if __name__ == "__main__":
    for name in ("blind", "share", "borrow", "permits"):
        print(measure(name, 7, Demand()), flush=True)
