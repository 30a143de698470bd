"""A table client that counts its calls by outcome and times them."""

import collections.abc
import time
import typing

import peridotsill
from returns import result

import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions

_ResultT = typing.TypeVar(
    "_ResultT", bound=result.Result[typing.Any, typing.Any]
)


class TimedTable:
    """Forwards calls to another client and records metrics of them."""

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        counters: peridotsill.Counters,
    ) -> None:
        self._table = table
        self._counters = counters

    def read(self, keys: tuple[str, ...]) -> peridotsill_platform.ReadResult:
        """Return the rows that exist at ``keys``."""
        return self._timed("read", lambda: self._table.read(keys))

    def scan(
        self, prefixes: tuple[str, ...]
    ) -> peridotsill_platform.ScanResult:
        """Return all rows with one of ``prefixes``, as of one revision."""
        return self._timed("scan", lambda: self._table.scan(prefixes))

    def commit(
        self, transaction: peridotsill_platform.Transaction
    ) -> peridotsill_platform.CommitResult:
        """Apply a transaction and return its revision."""
        return self._timed("commit", lambda: self._table.commit(transaction))

    def _timed(
        self, call: str, function: collections.abc.Callable[[], _ResultT]
    ) -> _ResultT:
        started_at = time.monotonic()
        outcome = function()
        elapsed_microseconds = int(1e6 * (time.monotonic() - started_at))
        self._counters.add(
            "platform_microseconds", elapsed_microseconds, call=call
        )
        label = _outcome_label(outcome)
        self._counters.add("platform_calls", call=call, outcome=label)
        return outcome


def _outcome_label(outcome: result.Result[typing.Any, typing.Any]) -> str:
    match outcome:
        case result.Success(_):
            return "answered"
        case result.Failure(platform_exceptions.Conflict()):
            return "conflict"
        case result.Failure(platform_exceptions.OutcomeUnknown()):
            return "unknown"
        case _:
            return "unavailable"
