"""The interface to the platform's transactional table."""

import collections.abc
import http
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_platform import exceptions


@attrs.frozen(kw_only=True)
class Check:
    """Requires that a row has this version; 0 requires that it is absent."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Write:
    """Replaces a row's value; None deletes the row."""

    key: str
    value: dict[str, typing.Any] | None


@attrs.frozen(kw_only=True)
class Transaction:
    """Writes that are applied atomically, if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@attrs.frozen(kw_only=True)
class TableLimits:
    """The sizes that a table accepts.

    ``value_bytes`` is the largest value of a row, encoded as JSON, and
    ``transaction_bytes`` the largest sum of the values and keys of a
    transaction.
    """

    value_bytes: int = 49_152
    transaction_bytes: int = 700_000


# HTTP statuses by which a table rejects a transaction itself.
REJECTED_STATUSES = (
    http.HTTPStatus.BAD_REQUEST,
    http.HTTPStatus.FORBIDDEN,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    http.HTTPStatus.UNPROCESSABLE_ENTITY,
)

CommitFailure = (
    exceptions.Conflict
    | exceptions.CommitRejected
    | exceptions.TableUnavailable
    | exceptions.OutcomeUnknown
)
CommitResult = result.Result[int, CommitFailure]
ReadResult = result.Result[
    tuple[peridotsill.Row, ...], exceptions.TableUnavailable
]
ScanResult = result.Result[peridotsill.Scan, exceptions.TableUnavailable]


@attrs.frozen(kw_only=True)
class TableChanges:
    """Rows written and keys deleted between two revisions.

    The changes follow the revision that was asked for, and include those
    of ``revision``.
    """

    rows: tuple[peridotsill.Row, ...]
    deleted: tuple[str, ...]
    revision: int


WatchFailure = exceptions.HistoryGone | exceptions.TableUnavailable
WatchResult = result.Result[TableChanges, WatchFailure]


class Table(typing.Protocol):
    """A transactional table.

    A row's version is the revision of the commit that wrote it.
    """

    def read(self, keys: tuple[str, ...]) -> ReadResult:
        """Return the rows that exist at ``keys``."""

    def scan(self, prefixes: tuple[str, ...]) -> ScanResult:
        """Return all rows whose keys start with one of ``prefixes``.

        The rows are at least as new as the returned revision, so that a
        watch from it misses no change.
        """

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction and return its revision."""


class WatchedTable(Table, typing.Protocol):
    """A table that can be watched for changes.

    The first segment of a key names the table within the store and the
    second its partition, which may be empty: ``jobs/checks/5c0e`` is the
    key ``5c0e`` of partition ``checks`` of ``jobs``.
    """

    def watch(self, name: str, after: int, wait_seconds: float) -> WatchResult:
        """Return the changes of one table after a revision.

        Waits up to ``wait_seconds`` until there is at least one; without
        one, the result holds no changes. Fails with `HistoryGone` if the
        table no longer keeps the changes since ``after``; the caller then
        has to scan the table again.
        """


TableFactory = collections.abc.Callable[[str, float], Table]
_factories: dict[str, TableFactory] = {}


def table_client(
    name: str,
) -> collections.abc.Callable[[TableFactory], TableFactory]:
    """Return a decorator that registers a client under ``name``."""

    def register(factory: TableFactory) -> TableFactory:
        _factories[name] = factory
        return factory

    return register


def make_table(name: str, base: str, timeout_seconds: float) -> Table:
    """Build a table client by its registered name.

    Args:
        name: The setting ``table_client``.
        base: The base URL of the table.
        timeout_seconds: The timeout of each call.

    Raises:
        PlatformError: If no client is registered under this name.
    """
    if name not in _factories:
        registered = ", ".join(sorted(_factories))
        raise exceptions.PlatformError(
            f"table_client: {name!r} is none of {registered}"
        )
    return _factories[name](base, timeout_seconds)


# Maximum number of times that a transaction whose answer was lost is resent.
_MAX_RESENDS = 3


def commit_with_marker(
    table: Table, transaction: Transaction, marker: Write
) -> CommitResult:
    """Commit a transaction with a marker row, so that resending is safe.

    The marker is written in the same transaction, on the condition that it
    does not exist; its key must never have been used before. A transaction
    whose answer was lost is therefore applied at most once when it is sent
    again, and this function does so if the outcome is unknown. After a
    conflict the caller reads the marker: it exists if the transaction was
    applied.
    """
    marked = Transaction(
        checks=(*transaction.checks, Check(key=marker.key, version=0)),
        writes=(*transaction.writes, marker),
    )
    outcome = table.commit(marked)
    may_have_committed = False
    for _ in range(_MAX_RESENDS):
        match outcome:
            case result.Failure(exceptions.OutcomeUnknown()):
                may_have_committed = True
                outcome = table.commit(marked)
            case _:
                break
    match outcome:
        case result.Failure(exceptions.TableUnavailable()) if (
            may_have_committed
        ):
            return result.Failure(
                exceptions.OutcomeUnknown("the table went away meanwhile")
            )
        case _:
            return outcome
