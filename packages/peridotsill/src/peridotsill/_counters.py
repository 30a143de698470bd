"""Thread-safe counters and histograms, rendered as Prometheus metrics."""

import bisect
import collections
import threading
import typing

import aioprometheus
from aioprometheus import renderer

from peridotsill import _limit_hits

_HELP = {
    "requests": "Callers' requests by outcome.",
    "suspect_requests": "Requests under which runners broke off, given up.",
    "retries": "Retries by whether the budget allowed them.",
    "platform_calls": "Calls to the table by kind and outcome.",
    "platform_microseconds": "Time spent in calls to the table, by kind.",
    "job_calls": "Callers' job calls by kind and status.",
    "calls_refused": "Job calls refused for their key, by reason.",
    "job_call_seconds": "Time from a job call to its answer.",
    "peer_limits": "Limits that peers reached, by the limit.",
    "starts": "Starts of tasks by outcome.",
    "start_checkpoints": "Checkpoints of unanswered starts by outcome.",
    "ends": "Ends of runs by kind.",
    "team_starts": "Starts within and beyond the rates of their teams.",
    "tasks_lost": "Tasks that lost their run, by the reason.",
    "tasks_given_up": "Tasks given up as their runners crashed.",
    "runners_gone": "Runners whose process has ended, by pool and reason.",
    "reservations": "Reservations of capacity for large waiting tasks.",
    "reservations_released": "Reservations that ended, by the reason.",
    "commit_seconds": "Time that a commit to the table took.",
    "round_seconds": "Time that a round of the scheduler took, by part.",
    "start_delay_seconds": "Time from a job's arrival to its first start.",
}

# Upper bounds of the latency histograms' buckets. The first is about the time
# of one read of the table, the last is the default time-out of job calls that
# have no deadline header. Longer durations are counted in a last bucket
# without an upper bound.
_BUCKET_BOUNDS_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3)

_Labels = tuple[tuple[str, str], ...]


class Counters:
    """Monotonic counters and latency histograms by name and labels."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._bucket_counts: dict[tuple[str, _Labels], list[int]] = {}
        self._sum_microseconds: collections.Counter[tuple[str, _Labels]] = (
            collections.Counter()
        )
        self._lock = threading.Lock()

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record one duration in a latency histogram."""
        key = (name, tuple(sorted(labels.items())))
        bucket = bisect.bisect_left(_BUCKET_BOUNDS_SECONDS, seconds)
        with self._lock:
            counts = self._bucket_counts.setdefault(
                key, [0] * (len(_BUCKET_BOUNDS_SECONDS) + 1)
            )
            counts[bucket] += 1
            self._sum_microseconds[key] += round(seconds * 1e6)

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] += amount

    def total(self, name: str) -> int:
        """Return a counter's sum over all its label values."""
        with self._lock:
            return sum(
                count
                for (each, _), count in self._counts.items()
                if each == name
            )

    def render(self, gauges: typing.Mapping[str, float]) -> bytes:
        """Return all metrics and the given gauges as Prometheus text."""
        registry = aioprometheus.Registry()
        with self._lock:
            counts = dict(self._counts)
        for limit, count in _limit_hits.counts().items():
            counts["peer_limits", (("limit", limit),)] = count
        metrics_by_name: dict[str, aioprometheus.Counter] = {}
        for (name, labels), count in sorted(counts.items()):
            counter = metrics_by_name.get(name)
            if counter is None:
                counter = aioprometheus.Counter(
                    f"peridotsill_{name}_total",
                    _HELP.get(name, name),
                    registry=registry,
                )
                metrics_by_name[name] = counter
            counter.set(dict(labels), count)
        for name, value in gauges.items():
            gauge = aioprometheus.Gauge(
                f"peridotsill_{name}", name, registry=registry
            )
            gauge.set({}, value)
        self._render_histograms(registry)
        content, _ = renderer.render(registry, ["text/plain"])
        return bytes(content)

    def _render_histograms(self, registry: aioprometheus.Registry) -> None:
        with self._lock:
            bucket_counts = {
                key: tuple(each) for key, each in self._bucket_counts.items()
            }
            sums = dict(self._sum_microseconds)
        metrics_by_name: dict[str, aioprometheus.Gauge] = {}
        for (name, labels), counts in sorted(bucket_counts.items()):
            bounds = [*map(str, _BUCKET_BOUNDS_SECONDS), "+Inf"]
            total = 0
            for bound, count in zip(bounds, counts):
                total += count
                self._set_gauge(
                    metrics_by_name,
                    registry,
                    f"{name}_bucket",
                    total,
                    labels,
                    le=bound,
                )
            self._set_gauge(
                metrics_by_name, registry, f"{name}_count", total, labels
            )
            seconds = sums[(name, labels)] / 1e6
            self._set_gauge(
                metrics_by_name, registry, f"{name}_sum", seconds, labels
            )

    @staticmethod
    def _set_gauge(
        metrics_by_name: dict[str, aioprometheus.Gauge],
        registry: aioprometheus.Registry,
        name: str,
        value: float,
        labels: _Labels,
        **extra: str,
    ) -> None:
        # Histograms are counted in this class and exported as gauges: the
        # library's histograms can't be set to counts, they accept only single
        # observations. Each node would have to keep the library's objects
        # from one call of `render` to the next.
        gauge = metrics_by_name.get(name)
        if gauge is None:
            base = name.rsplit("_", 1)[0]
            gauge = aioprometheus.Gauge(
                f"peridotsill_{name}", _HELP.get(base, base), registry=registry
            )
            metrics_by_name[name] = gauge
        gauge.set({**dict(labels), **extra}, value)
