"""Counts that any thread may add to, rendered as metrics in one place."""

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
}

_Labels = tuple[tuple[str, str], ...]


class Counters:
    """Monotonic counts by name and labels."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._lock = threading.Lock()

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
        content, _ = renderer.render(registry, ["text/plain"])
        return bytes(content)
