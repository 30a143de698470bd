"""A table whose commit timeout adapts to the observed response times.

A conditional commit can safely be sent again, so there is no need to wait
for a lost answer much longer than answers usually take.
"""

import collections.abc
import threading
import time

from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions

# The timeout is this multiple of the average response time: a store's slow
# answers take several times as long as its usual ones.
_TIMEOUT_FACTOR = 8.0
# Weight of the newest response time in the moving average.
_SMOOTHING_WEIGHT = 0.2
# The average before the first answer.
_INITIAL_AVERAGE_SECONDS = 0.05
# Each commit whose outcome is unknown doubles the timeout of the next, up to
# this many times; any other outcome undoes all doublings.
_MAX_DOUBLINGS = 4

TableWithTimeoutFactory = collections.abc.Callable[[float], _table.Table]


class _AdaptiveTimeout:
    """A timeout derived from the response times of earlier calls."""

    def __init__(self, *, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._average_seconds = _INITIAL_AVERAGE_SECONDS
        self._doublings = 0
        self._lock = threading.Lock()

    @property
    def seconds(self) -> float:
        """Timeout of the next call."""
        with self._lock:
            base_seconds = max(
                self._min_seconds, _TIMEOUT_FACTOR * self._average_seconds
            )
            return min(self._max_seconds, base_seconds * 2.0**self._doublings)

    def record_answer(self, elapsed_seconds: float) -> None:
        """Add a response time to the average, and undo all doublings."""
        with self._lock:
            change = elapsed_seconds - self._average_seconds
            self._average_seconds += _SMOOTHING_WEIGHT * change
            self._doublings = 0

    def record_timeout(self) -> None:
        """Double the next timeout, in case the table is slow."""
        with self._lock:
            self._doublings = min(self._doublings + 1, _MAX_DOUBLINGS)


class AdaptiveTimeoutTable:
    """Reads with a fixed timeout, and commits with an adaptive one.

    Args:
        table_with_timeout: Returns the table with a given timeout in seconds.
        min_timeout_seconds: Minimum timeout of a commit.
        max_timeout_seconds: Maximum timeout of a commit, and timeout of reads.
    """

    def __init__(
        self,
        *,
        table_with_timeout: TableWithTimeoutFactory,
        min_timeout_seconds: float,
        max_timeout_seconds: float,
    ) -> None:
        self._table_with_timeout = table_with_timeout
        self._max_seconds = max_timeout_seconds
        self._commit_timeout = _AdaptiveTimeout(
            min_seconds=min_timeout_seconds, max_seconds=max_timeout_seconds
        )

    def read(self, keys: tuple[str, ...]) -> _table.ReadResult:
        """Return the rows that exist at ``keys``."""
        return self._table_with_timeout(self._max_seconds).read(keys)

    def scan(self, prefixes: tuple[str, ...]) -> _table.ScanResult:
        """Return all rows whose keys start with one of ``prefixes``."""
        return self._table_with_timeout(self._max_seconds).scan(prefixes)

    def commit(self, transaction: _table.Transaction) -> _table.CommitResult:
        """Apply a transaction and return its revision."""
        timeout_seconds = self._commit_timeout.seconds
        started_at = time.monotonic()
        outcome = self._table_with_timeout(timeout_seconds).commit(transaction)
        match outcome:
            case result.Failure(exceptions.OutcomeUnknown()):
                self._commit_timeout.record_timeout()
            case _:
                self._commit_timeout.record_answer(
                    time.monotonic() - started_at
                )
        return outcome
