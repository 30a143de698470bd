"""Counts that any thread may add to, rendered as metrics in one place."""

import bisect
import collections
import threading
import typing

import aioprometheus
from aioprometheus import renderer

_HELP = {
    "requests": "Callers' requests by outcome.",
    "retries": "Retries by whether the budget allowed them.",
    "platform_calls": "Calls to the table by kind and outcome.",
    "platform_microseconds": "Time spent in calls to the table, by kind.",
    "job_calls": "Callers' job calls by kind and status.",
    "job_call_seconds": "Time from a job call to its answer.",
    "starts": "Starts of tasks by outcome.",
    "ends": "Ends of runs by kind.",
    "commit_seconds": "Time that a commit to the table took.",
    "start_delay_seconds": "Time from a job's arrival to its first start.",
}

# Upper bounds of a latency histogram's buckets: from a table's read to the
# longest time that a caller waits.
_BUCKET_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3)

_Labels = tuple[tuple[str, str], ...]


class Counters:
    """Monotonic counts by name and labels."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._times: dict[tuple[str, _Labels], list[int]] = {}
        self._sums: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._lock = threading.Lock()

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add one duration to a latency histogram."""
        key = (name, tuple(sorted(labels.items())))
        bucket = bisect.bisect_left(_BUCKET_SECONDS, seconds)
        with self._lock:
            counts = self._times.setdefault(
                key, [0] * (len(_BUCKET_SECONDS) + 1)
            )
            counts[bucket] += 1
            self._sums[key] += round(seconds * 1e6)

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a count."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] += amount

    def total(self, name: str) -> int:
        """Return a count summed over its labels."""
        with self._lock:
            return sum(
                count
                for (each, _), count in self._counts.items()
                if each == name
            )

    def render(self, gauges: typing.Mapping[str, float]) -> bytes:
        """Return the counts and the given gauges as Prometheus text."""
        registry = aioprometheus.Registry()
        with self._lock:
            counts = dict(self._counts)
        made: dict[str, aioprometheus.Counter] = {}
        for (name, labels), count in sorted(counts.items()):
            counter = made.get(name)
            if counter is None:
                counter = aioprometheus.Counter(
                    f"peridotsill_{name}_total",
                    _HELP.get(name, name),
                    registry=registry,
                )
                made[name] = counter
            counter.set(dict(labels), count)
        for name, value in gauges.items():
            gauge = aioprometheus.Gauge(
                f"peridotsill_{name}", name, registry=registry
            )
            gauge.set({}, value)
        self._render_times(registry)
        content, _ = renderer.render(registry, ["text/plain"])
        return bytes(content)

    def _render_times(self, registry: aioprometheus.Registry) -> None:
        with self._lock:
            times = {key: tuple(each) for key, each in self._times.items()}
            sums = dict(self._sums)
        made: dict[str, aioprometheus.Gauge] = {}
        for (name, labels), counts in sorted(times.items()):
            bounds = [*map(str, _BUCKET_SECONDS), "+Inf"]
            total = 0
            for bound, count in zip(bounds, counts):
                total += count
                self._set(
                    made, registry, f"{name}_bucket", total, labels, le=bound
                )
            self._set(made, registry, f"{name}_count", total, labels)
            seconds = sums[(name, labels)] / 1e6
            self._set(made, registry, f"{name}_sum", seconds, labels)

    @staticmethod
    def _set(
        made: dict[str, aioprometheus.Gauge],
        registry: aioprometheus.Registry,
        name: str,
        value: float,
        labels: _Labels,
        **extra: str,
    ) -> None:
        # Counted here, since the library's histograms take their values
        # one at a time and would have to be kept for each node.
        gauge = made.get(name)
        if gauge is None:
            base = name.rsplit("_", 1)[0]
            gauge = aioprometheus.Gauge(
                f"peridotsill_{name}", _HELP.get(base, base), registry=registry
            )
            made[name] = gauge
        gauge.set({**dict(labels), **extra}, value)
