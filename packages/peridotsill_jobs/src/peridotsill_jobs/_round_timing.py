"""Measures the parts of the scheduler's rounds."""

import collections.abc
import contextlib
import time

import peridotsill

from peridotsill_jobs import _logs

# Rounds from this duration on are logged. It is a fraction of the slack that
# a job's objective leaves, and several times a usual round.
_SLOW_ROUND_SECONDS = 0.1


class RoundTimer:
    """Adds up the time of each part of a round.

    While a round lasts, no event is handled and no start is sent. Example:
    ``with timer.round(jobs=lambda: 12): ...`` around
    ``with timer.part("plan"): ...`` observes ``round_seconds`` for "plan"
    and "all", and logs ``round:slow`` with the parts if the round took 0.1 s
    or more.
    """

    def __init__(self, *, counters: peridotsill.Counters) -> None:
        self._counters = counters
        self._seconds: dict[str, float] = {}

    @contextlib.contextmanager
    def round(
        self, **sizes: collections.abc.Callable[[], int]
    ) -> collections.abc.Iterator[None]:
        """Measure a round.

        Args:
            sizes: Functions that return the figures to log with a slow round.
        """
        self._seconds.clear()
        started_at = time.monotonic()
        try:
            yield
        finally:
            elapsed = time.monotonic() - started_at
            self._counters.observe("round_seconds", elapsed, part="all")
            if elapsed >= _SLOW_ROUND_SECONDS:
                _logs.log(
                    "round:slow",
                    seconds=round(elapsed, 3),
                    parts={
                        name: round(seconds, 3)
                        for name, seconds in self._seconds.items()
                    },
                    **{name: size() for name, size in sizes.items()},
                )

    @contextlib.contextmanager
    def part(self, name: str) -> collections.abc.Iterator[None]:
        """Measure a part of the round."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            elapsed = time.monotonic() - started_at
            self._seconds[name] = self._seconds.get(name, 0.0) + elapsed
            self._counters.observe("round_seconds", elapsed, part=name)
