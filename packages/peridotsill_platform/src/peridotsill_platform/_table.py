"""What the project needs of the platform's transactional table."""

import collections.abc
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_platform import exceptions


@attrs.frozen(kw_only=True)
class Check:
    """Demands that a row has this version; 0 demands that it is absent."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Write:
    """Replaces a row's value; None deletes the row."""

    key: str
    value: dict[str, typing.Any] | None


@attrs.frozen(kw_only=True)
class Transaction:
    """Writes that take effect together, if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


CommitFailure = (
    exceptions.Conflict
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
    """Rows written and keys deleted after some revision, to ``revision``."""

    rows: tuple[peridotsill.Row, ...]
    deleted: tuple[str, ...]
    revision: int


WatchFailure = exceptions.HistoryGone | exceptions.TableUnavailable
WatchResult = result.Result[TableChanges, WatchFailure]


class Table(typing.Protocol):
    """A transactional table; a row's version is the commit's revision."""

    def read(self, keys: tuple[str, ...]) -> ReadResult:
        """Return the rows that exist at ``keys``."""

    def scan(self, prefixes: tuple[str, ...]) -> ScanResult:
        """Return all rows below ``prefixes``, as of one revision."""

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction and return its revision."""


class WatchedTable(Table, typing.Protocol):
    """A table whose changes can be followed.

    The first segment of a key names the table within the store and the
    second its partition, which may be empty: ``jobs/checks/5c0e`` is the
    key ``5c0e`` of partition ``checks`` of ``jobs``.
    """

    def watch(self, name: str, after: int, wait_seconds: float) -> WatchResult:
        """Return the changes of one table after a revision.

        Waits up to ``wait_seconds`` until there is at least one. Fails
        with `HistoryGone` if the changes since ``after`` are not kept
        any more; the table has to be scanned again then.
        """


TableFactory = collections.abc.Callable[[str, float], Table]
_clients: dict[str, TableFactory] = {}


def table_client(
    name: str,
) -> collections.abc.Callable[[TableFactory], TableFactory]:
    """Return a decorator that registers a client under ``name``."""

    def register(factory: TableFactory) -> TableFactory:
        _clients[name] = factory
        return factory

    return register


def make_table(name: str, base: str, timeout_seconds: float) -> Table:
    """Build the client that the settings name.

    Raises:
        PlatformError: If no client has this name.
    """
    if name not in _clients:
        known = ", ".join(sorted(_clients))
        raise exceptions.PlatformError(
            f"table_client: {name!r} is none of {known}"
        )
    return _clients[name](base, timeout_seconds)


_ROUNDS = 3


def commit_marked(
    table: Table, transaction: Transaction, marker: Write
) -> CommitResult:
    """Commit, and resolve a lost answer by a row that only this writes.

    The marker is written in the same transaction and must never have
    stood before. As the transaction is conditional, sending it again is
    safe: it takes effect at most once. After a conflict the caller reads
    the marker, which tells whether it has.
    """
    whole = Transaction(
        checks=(*transaction.checks, Check(key=marker.key, version=0)),
        writes=(*transaction.writes, marker),
    )
    outcome = table.commit(whole)
    doubtful = False
    for _ in range(_ROUNDS):
        match outcome:
            case result.Failure(exceptions.OutcomeUnknown()):
                doubtful = True
                outcome = table.commit(whole)
            case _:
                break
    match outcome:
        case result.Failure(exceptions.TableUnavailable()) if doubtful:
            return result.Failure(
                exceptions.OutcomeUnknown("the table went away meanwhile")
            )
        case _:
            return outcome
