"""`make bench`: compares all measures with their baselines and bounds.

Writes docs/measured/bench.json and plots beside it. Exits with 1 if a
bound is broken. ``--stable`` runs only the simulations, whose results do
not depend on the machine's speed.
"""

import argparse
import json
import pathlib
import statistics
import time
import typing

import attrs
import matplotlib
import peridotsill
from standins import fleet

from benches import jobs
from benches import lending
from benches import peaks
from benches import slots
import peridotsill_scheduler

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_OUTPUT_FOLDER = pathlib.Path("docs/measured")
_NODES = 7


@attrs.frozen(kw_only=True)
class Bound:
    """A limit on a measure, and the requirement (``source``) behind it."""

    name: str
    value: float
    limit: float
    at_least: bool
    source: str

    @property
    def holds(self) -> bool:
        """Whether the value is within the limit."""
        if self.at_least:
            return self.value >= self.limit
        return self.value <= self.limit


def measure_simulations() -> tuple[dict[str, typing.Any], list[Bound]]:
    """Measure decisions on demand from fixed seeds; results don't vary."""
    lending_outcomes = lending.measure()
    job_outcomes = jobs.measure()
    bounds = []
    for deployment in ("gidgee", "consortium"):
        outcomes = [
            outcome
            for outcome in lending_outcomes
            if outcome.deployment == deployment
        ]
        baseline_cost = min(
            outcome.weighted_cost
            for outcome in outcomes
            if not outcome.rule.startswith("lender")
        )
        lender_cost = min(
            outcome.weighted_cost
            for outcome in outcomes
            if outcome.rule.startswith("lender")
        )
        bounds.append(
            Bound(
                name=f"{deployment}: weighted cost over the better baseline",
                value=round(lender_cost / baseline_cost, 3),
                limit=1.0,
                at_least=False,
                source="issue 5.5: below the better baseline",
            )
        )
    learned = next(
        outcome
        for outcome in job_outcomes
        if outcome.rule == "learned, history"
    )
    first_fit = next(
        outcome
        for outcome in job_outcomes
        if outcome.rule == "first-fit, declared"
    )
    bounds.append(
        Bound(
            name="missed deadlines against first-fit",
            value=learned.missed,
            limit=first_fit.missed,
            at_least=False,
            source="issue 5.6: no more than first-fit",
        )
    )
    peak_outcomes, more_bounds = measure_peaks()
    data = {
        "lending": [attrs.asdict(each) for each in lending_outcomes],
        "jobs": [attrs.asdict(each) for each in job_outcomes],
        "peaks": [attrs.asdict(each) for each in peak_outcomes],
    }
    return data, bounds + more_bounds


# Seconds of traffic for each load of the simulations. The highest load gets
# half of them, as it takes the longest to simulate.
_PEAK_LOAD_SECONDS = {
    "turns of 4 s, twice a pool": peaks.TRAFFIC_SECONDS,
    "turns of 8 s, five times a pool": peaks.TRAFFIC_SECONDS / 2,
    "humps of 8 s, four times a pool": peaks.TRAFFIC_SECONDS,
    "no turns": peaks.TRAFFIC_SECONDS,
}


def measure_peaks() -> tuple[list[peaks.Outcome], list[Bound]]:
    """Compare the `rising` policy with all others, with and without peaks."""
    outcomes = []
    bounds = []
    for load, seconds in _PEAK_LOAD_SECONDS.items():
        by_policy = {
            policy: peaks.measure(
                load, policy, "payoff_density", seconds=seconds
            )
            for policy in peridotsill_scheduler.lending_policies()
        }
        outcomes += by_policy.values()
        rising = by_policy.pop("rising")
        bounds.append(
            Bound(
                name=f"{load}: payoff earned, against the best baseline",
                value=rising.earned,
                limit=max(each.earned for each in by_policy.values()),
                at_least=True,
                source="issue 11.1: all other lending policies",
            )
        )
    return outcomes, bounds


def measure_latency() -> dict[str, float]:
    """Compare requests through a node with direct ones to a runner.

    One caller sends both in turn, so that they meet the same conditions.
    """
    with fleet.fleet(3, 6) as bench_fleet:
        bench_fleet.create_pool("p", list(bench_fleet.vms), 5)
        bench_fleet.create_service("s", "p")
        direct = f"http://{bench_fleet.vms['vm0']['address']}/s/x"
        node_seconds, direct_seconds = [], []
        for number in range(400):
            node = f"n{number % 3}"
            started = time.perf_counter()
            bench_fleet.call(node, "GET", "/s/x")
            node_seconds.append(time.perf_counter() - started)
            started = time.perf_counter()
            bench_fleet.http.request("GET", direct)
            direct_seconds.append(time.perf_counter() - started)
        return {
            "node_ms": round(1000 * statistics.median(node_seconds), 2),
            "direct_ms": round(1000 * statistics.median(direct_seconds), 2),
            "node_p99_ms": round(
                1000 * statistics.quantiles(node_seconds, n=100)[98], 2
            ),
        }


def measure_decision() -> dict[str, float]:
    """Measure a slot decision's time, as a multiple of a reference loop's.

    The ratio depends less on the machine than the time itself.
    """
    allocator = peridotsill.SlotAllocator(
        service="s",
        home="n",
        kind=peridotsill.SlotAllocatorKind.SHARE,
        expected_seconds=0.05,
        batch_share=0.75,
        queue_limit=100,
    )
    allocator.set_capacity({f"vm{number}": 8 for number in range(6)})

    def decide() -> None:
        request = peridotsill.SlotRequest(
            id="a", service="s", node="n", deadline_seconds=5.0
        )
        allocator.submit(request, lambda outcome: None)
        allocator.release(peridotsill.Release(hold="a", service="s"))
        allocator._released_ids.clear()

    def reference() -> None:
        total = 0
        for number in range(1000):
            total += number * number

    return {
        "decision_per_reference": round(
            best_seconds(decide, 3000) / best_seconds(reference, 3000), 2
        )
    }


def best_seconds(work: typing.Callable[[], None], rounds: int) -> float:
    """Return the mean time of a call in the fastest of five batches."""
    best = float("inf")
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(rounds):
            work()
        best = min(best, time.perf_counter() - started)
    return best / rounds


def measure_waves() -> dict[str, float]:
    """Measure a wave that takes one VM at a time, and one that takes two."""
    durations = {}
    for parallel in (1, 2):
        with fleet.fleet(3, 12) as bench_fleet:
            bench_fleet.create_pool("p", list(bench_fleet.vms), 10)
            bench_fleet.create_service("s", "p")
            client = bench_fleet.operator()
            document = {"pool": "p", "max_parallel": parallel}
            client.apply("waves", "w", document)
            fleet.wait_until(
                lambda: client.get("waves", "w").value["state"] == "done",
                120,
            )
            wave = client.get("waves", "w").value
            durations[f"seconds_{parallel}_at_once"] = round(
                wave["finished_at"] - wave["started_at"], 1
            )
    return durations


def measure_processes() -> tuple[dict[str, typing.Any], list[Bound]]:
    """Measure real processes; the results depend on the machine."""
    demand = slots.Demand()
    outcomes = [
        slots.measure(policy, _NODES, demand)
        for policy in ("blind", "share", "borrow", "permits")
    ]
    borrow = next(
        outcome for outcome in outcomes if outcome.policy == "borrow"
    )
    bounds = [
        Bound(
            name="goodput at five times the mean",
            value=borrow.goodput,
            limit=0.9,
            at_least=True,
            source="issue 4.5",
        ),
        Bound(
            name="overcommitted slots",
            value=borrow.overcommits,
            limit=0,
            at_least=False,
            source="issue 4.4",
        ),
        Bound(
            name="connections to a runner",
            value=max(outcome.peak_connections for outcome in outcomes),
            limit=64,
            at_least=False,
            source="the brief: 64 connections",
        ),
    ]
    data = {
        "slots": [attrs.asdict(outcome) for outcome in outcomes],
        "latency": measure_latency(),
        "decision": measure_decision(),
        "waves": measure_waves(),
    }
    return data, bounds


def plot(data: dict[str, typing.Any]) -> None:
    """Draw the slot policies, the peaks and the lending rules."""
    if "slots" in data:
        figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
        names = [each["policy"] for each in data["slots"]]
        axes[0].bar(names, [each["goodput"] for each in data["slots"]])
        axes[0].axhline(0.9, linestyle="--", color="black")
        axes[0].set_title("goodput, part of the attainable")
        axes[1].bar(names, [each["added_ms"] for each in data["slots"]])
        axes[1].set_title("added latency, ms")
        figure.tight_layout()
        figure.savefig(_OUTPUT_FOLDER / "slots.svg", metadata={"Date": None})
    plot_peaks(
        [row for row in data["peaks"] if row["order"] == "payoff_density"]
    )
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for axis, deployment in zip(axes, ("gidgee", "consortium")):
        rows = [
            row for row in data["lending"] if row["deployment"] == deployment
        ]
        axis.barh(
            [each["rule"] for each in rows],
            [each["weighted_cost"] for each in rows],
        )
        axis.set_title(f"{deployment}: weighted cost")
    figure.tight_layout()
    figure.savefig(_OUTPUT_FOLDER / "lending.svg", metadata={"Date": None})


def plot_peaks(rows: list[dict[str, typing.Any]]) -> None:
    """Draw the payoff that each lending policy earned on each load."""
    loads = list(dict.fromkeys(row["load"] for row in rows))
    policies = list(dict.fromkeys(row["lending"] for row in rows))
    figure, axis = pyplot.subplots(figsize=(9, 3.2))
    height = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        earned = {
            row["load"]: row["earned"]
            for row in rows
            if row["lending"] == policy
        }
        axis.barh(
            [position + number * height for position in range(len(loads))],
            [earned[load] for load in loads],
            height=height,
            label=policy,
        )
    axis.set_yticks(range(len(loads)), loads)
    axis.set_title("earned part of the payoff")
    axis.legend()
    figure.tight_layout()
    figure.savefig(_OUTPUT_FOLDER / "peaks.svg", metadata={"Date": None})


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--stable", action="store_true")
    options = parser.parse_args()
    data, bounds = measure_simulations()
    if not options.stable:
        data["peaks"] = [attrs.asdict(each) for each in peaks.measure_all()]
        more, more_bounds = measure_processes()
        data.update(more)
        bounds += more_bounds
    for part, rows in data.items():
        print(part)
        for row in rows if isinstance(rows, list) else [rows]:
            print("  " + ", ".join(f"{k} {v}" for k, v in row.items()))
    for each in bounds:
        sign = ">=" if each.at_least else "<="
        word = "holds" if each.holds else "BROKEN"
        print(
            f"{word}: {each.name}: {each.value} {sign} {each.limit}"
            f" ({each.source})"
        )
    if not options.stable:
        _OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
        data["bounds"] = [attrs.asdict(each) for each in bounds]
        text = json.dumps(data, indent=1) + "\n"
        (_OUTPUT_FOLDER / "bench.json").write_text(text)
        plot(data)
    return 0 if all(each.holds for each in bounds) else 1


if __name__ == "__main__":
    raise SystemExit(main())
