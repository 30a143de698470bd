"""Limits how often lines of one kind are logged."""

import collections
import threading


class LogLimiter:
    """Admits one log line of each kind in a period, from any thread.

    Example: with a period of 10 s, lines at 0, 3, 4 and 12 s get 0, None,
    None and 2.

    Args:
        period_seconds: Shortest time between two lines of one kind.
    """

    def __init__(self, *, period_seconds: float) -> None:
        self._period_seconds = period_seconds
        self._next_at: dict[str, float] = {}
        self._left_out: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def admit(self, kind: str, now: float) -> int | None:
        """Return how many lines were left out since the last one of a kind.

        None if this one is to be left out as well.

        Args:
            kind: The kind of line; there should be few.
            now: Seconds of the monotonic clock.
        """
        with self._lock:
            if now < self._next_at.get(kind, float("-inf")):
                self._left_out[kind] += 1
                return None
            self._next_at[kind] = now + self._period_seconds
            return self._left_out.pop(kind, 0)
