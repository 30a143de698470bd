"""`make bench`: all measures against their baselines and bounds.

Writes docs/measured/bench.json and plots beside it. Exits with 1 if a
bound is broken. ``--stable`` runs only what does not depend on the
machine's speed.
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

_FOLDER = pathlib.Path("docs/measured")
_NODES = 7


@attrs.frozen(kw_only=True)
class Bound:
    """A limit that comes from a stated target."""

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


def stable() -> tuple[dict[str, typing.Any], list[Bound]]:
    """Run the decisions on recorded demand; the same every time."""
    loans = lending.measure()
    placed = jobs.measure()
    bounds = []
    for deployment in ("gidgee", "consortium"):
        mine = [o for o in loans if o.deployment == deployment]
        best = min(
            o.weighted_cost for o in mine if not o.rule.startswith("lender")
        )
        ours = min(
            o.weighted_cost for o in mine if o.rule.startswith("lender")
        )
        bounds.append(
            Bound(
                name=f"{deployment}: weighted cost over the better baseline",
                value=round(ours / best, 3),
                limit=1.0,
                at_least=False,
                source="issue 5.5: below the better baseline",
            )
        )
    learned = next(o for o in placed if o.rule == "learned, history")
    first = next(o for o in placed if o.rule == "first-fit, declared")
    bounds.append(
        Bound(
            name="missed deadlines against first-fit",
            value=learned.missed,
            limit=first.missed,
            at_least=False,
            source="issue 5.6: no more than first-fit",
        )
    )
    met, met_bounds = peak_bounds()
    data = {
        "lending": [attrs.asdict(each) for each in loans],
        "jobs": [attrs.asdict(each) for each in placed],
        "peaks": [attrs.asdict(each) for each in met],
    }
    return data, bounds + met_bounds


# Loads of the stable part and their seconds; half of the turns do for the
# highest, which takes the most time.
_PEAKS = {
    "turns of 4 s, twice a pool": peaks.TRAFFIC_SECONDS,
    "turns of 8 s, five times a pool": peaks.TRAFFIC_SECONDS / 2,
    "humps of 8 s, four times a pool": peaks.TRAFFIC_SECONDS,
    "no turns": peaks.TRAFFIC_SECONDS,
}


def peak_bounds() -> tuple[list[peaks.Outcome], list[Bound]]:
    """Compare lending with its baselines, with peaks and without."""
    outcomes = []
    bounds = []
    for load, seconds in _PEAKS.items():
        by_policy = {
            policy: peaks.measure(
                load, policy, "payoff_density", seconds=seconds
            )
            for policy in peridotsill_scheduler.lending_policies()
        }
        outcomes += by_policy.values()
        ours = by_policy.pop("rising")
        bounds.append(
            Bound(
                name=f"{load}: payoff earned, against the best baseline",
                value=ours.earned,
                limit=max(each.earned for each in by_policy.values()),
                at_least=True,
                source="issue 11.1: all other lending policies",
            )
        )
    return outcomes, bounds


def latency() -> dict[str, float]:
    """Compare a node with a direct call, one caller, in the same run."""
    with fleet.fleet(3, 6) as made:
        made.make_pool("p", list(made.vms), 5)
        made.make_service("s", "p")
        direct = f"http://{made.vms['vm0']['address']}/s/x"
        by_node, by_direct = [], []
        for turn in range(400):
            node = f"n{turn % 3}"
            started = time.perf_counter()
            made.call(node, "GET", "/s/x")
            by_node.append(time.perf_counter() - started)
            started = time.perf_counter()
            made.http.request("GET", direct)
            by_direct.append(time.perf_counter() - started)
        return {
            "node_ms": round(1000 * statistics.median(by_node), 2),
            "direct_ms": round(1000 * statistics.median(by_direct), 2),
            "node_p99_ms": round(
                1000 * statistics.quantiles(by_node, n=100)[98], 2
            ),
        }


def decision_cost() -> dict[str, float]:
    """Measure a slot decision in the time of a reference loop."""
    ledger = peridotsill.Ledger(
        service="s",
        home="n",
        kind=peridotsill.LedgerKind.SHARE,
        expected_seconds=0.05,
        batch_share=0.75,
        queue_limit=100,
    )
    ledger.set_capacity({f"vm{number}": 8 for number in range(6)})

    def decide() -> None:
        ask = peridotsill.SlotAsk(
            id="a", service="s", node="n", deadline_seconds=5.0
        )
        ledger.submit(ask, lambda outcome: None)
        ledger.release(peridotsill.Release(hold="a", service="s"))
        ledger._released.clear()

    def reference() -> None:
        total = 0
        for number in range(1000):
            total += number * number

    return {
        "decision_per_reference": round(
            timed(decide, 3000) / timed(reference, 3000), 2
        )
    }


def timed(work: typing.Callable[[], None], rounds: int) -> float:
    """Return the best time of a call out of five batches."""
    best = float("inf")
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(rounds):
            work()
        best = min(best, time.perf_counter() - started)
    return best / rounds


def waves() -> dict[str, float]:
    """Compare a wave of two at once with one VM at a time."""
    found = {}
    for parallel in (1, 2):
        with fleet.fleet(3, 12) as made:
            made.make_pool("p", list(made.vms), 10)
            made.make_service("s", "p")
            client = made.operator()
            document = {"pool": "p", "max_parallel": parallel}
            client.apply("waves", "w", document)
            fleet.wait_until(
                lambda: client.get("waves", "w").value["state"] == "done",
                120,
            )
            wave = client.get("waves", "w").value
            found[f"seconds_{parallel}_at_once"] = round(
                wave["finished_at"] - wave["started_at"], 1
            )
    return found


def measured() -> tuple[dict[str, typing.Any], list[Bound]]:
    """Run what depends on the machine."""
    demand = slots.Demand()
    found = [
        slots.measure(policy, _NODES, demand)
        for policy in ("blind", "share", "borrow", "permits")
    ]
    best = next(each for each in found if each.policy == "borrow")
    bounds = [
        Bound(
            name="goodput at five times the mean",
            value=best.goodput,
            limit=0.9,
            at_least=True,
            source="issue 4.5",
        ),
        Bound(
            name="overcommitted slots",
            value=best.overcommits,
            limit=0,
            at_least=False,
            source="issue 4.4",
        ),
        Bound(
            name="connections to a runner",
            value=max(each.peak_connections for each in found),
            limit=64,
            at_least=False,
            source="the brief: 64 connections",
        ),
    ]
    data = {
        "slots": [attrs.asdict(each) for each in found],
        "latency": latency(),
        "decision": decision_cost(),
        "waves": waves(),
    }
    return data, bounds


def plot(data: dict[str, typing.Any]) -> None:
    """Draw goodput by policy, and weighted cost by rule."""
    if "slots" in data:
        figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
        names = [each["policy"] for each in data["slots"]]
        axes[0].bar(names, [each["goodput"] for each in data["slots"]])
        axes[0].axhline(0.9, linestyle="--", color="black")
        axes[0].set_title("goodput of the possible")
        axes[1].bar(names, [each["added_ms"] for each in data["slots"]])
        axes[1].set_title("added latency, ms")
        figure.tight_layout()
        figure.savefig(_FOLDER / "slots.svg", metadata={"Date": None})
    plot_peaks([e for e in data["peaks"] if e["order"] == "payoff_density"])
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for axis, deployment in zip(axes, ("gidgee", "consortium")):
        rows = [e for e in data["lending"] if e["deployment"] == deployment]
        axis.barh(
            [each["rule"] for each in rows],
            [each["weighted_cost"] for each in rows],
        )
        axis.set_title(f"{deployment}: weighted cost")
    figure.tight_layout()
    figure.savefig(_FOLDER / "lending.svg", metadata={"Date": None})


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
            [place + number * height for place in range(len(loads))],
            [earned[load] for load in loads],
            height=height,
            label=policy,
        )
    axis.set_yticks(range(len(loads)), loads)
    axis.set_title("part of the payoff that was earned")
    axis.legend()
    figure.tight_layout()
    figure.savefig(_FOLDER / "peaks.svg", metadata={"Date": None})


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--stable", action="store_true")
    options = parser.parse_args()
    data, bounds = stable()
    if not options.stable:
        data["peaks"] = [attrs.asdict(each) for each in peaks.measure_all()]
        more, more_bounds = measured()
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
        _FOLDER.mkdir(parents=True, exist_ok=True)
        data["bounds"] = [attrs.asdict(each) for each in bounds]
        text = json.dumps(data, indent=1) + "\n"
        (_FOLDER / "bench.json").write_text(text)
        plot(data)
    return 0 if all(each.holds for each in bounds) else 1


if __name__ == "__main__":
    raise SystemExit(main())
