"""A table whose commits are given up soon after they are overdue.

A conditional commit may be sent again without harm, so a lost answer need
not be waited for much longer than answers usually take.
"""

import collections.abc
import threading
import time

from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions

# Times the usual answer's time that is waited for the next one: a store's
# slow answers are several times its usual ones.
_FACTOR = 8.0
# Weight of the newest answer in the usual time.
_NEWEST_WEIGHT = 0.2
# The usual time before the first answer, in seconds.
_FIRST_USUAL_SECONDS = 0.05
# An overdue answer doubles the wait until one arrives, at most so often.
_MOST_DOUBLINGS = 4

TableWithin = collections.abc.Callable[[float], _table.Table]


class Patience:
    """How long to wait for an answer, learned from those that came."""

    def __init__(self, *, least_seconds: float, most_seconds: float) -> None:
        self._least_seconds = least_seconds
        self._most_seconds = most_seconds
        self._usual_seconds = _FIRST_USUAL_SECONDS
        self._overdue = 0
        self._lock = threading.Lock()

    @property
    def seconds(self) -> float:
        """How long the next answer is waited for."""
        with self._lock:
            wait = max(self._least_seconds, _FACTOR * self._usual_seconds)
            return min(self._most_seconds, wait * 2.0**self._overdue)

    def answered(self, spent_seconds: float) -> None:
        """Learn from an answer that came after ``spent_seconds``."""
        with self._lock:
            change = spent_seconds - self._usual_seconds
            self._usual_seconds += _NEWEST_WEIGHT * change
            self._overdue = 0

    def unanswered(self) -> None:
        """Be more patient with the next, in case the table is slow."""
        with self._lock:
            self._overdue = min(self._overdue + 1, _MOST_DOUBLINGS)


class PatientTable:
    """Reads with the longest wait, and commits with a learned one.

    Args:
        within: Returns the table with a timeout in seconds.
        least_seconds: The shortest wait for a commit's answer.
        most_seconds: The longest wait for any answer.
    """

    def __init__(
        self,
        *,
        within: TableWithin,
        least_seconds: float,
        most_seconds: float,
    ) -> None:
        self._within = within
        self._most_seconds = most_seconds
        self._patience = Patience(
            least_seconds=least_seconds, most_seconds=most_seconds
        )

    def read(self, keys: tuple[str, ...]) -> _table.ReadResult:
        """Return the rows that exist at ``keys``."""
        return self._within(self._most_seconds).read(keys)

    def scan(self, prefixes: tuple[str, ...]) -> _table.ScanResult:
        """Return all rows below ``prefixes``."""
        return self._within(self._most_seconds).scan(prefixes)

    def commit(self, transaction: _table.Transaction) -> _table.CommitResult:
        """Apply a transaction and return its revision."""
        wait = self._patience.seconds
        began = time.monotonic()
        outcome = self._within(wait).commit(transaction)
        match outcome:
            case result.Failure(exceptions.OutcomeUnknown()):
                self._patience.unanswered()
            case _:
                self._patience.answered(time.monotonic() - began)
        return outcome
