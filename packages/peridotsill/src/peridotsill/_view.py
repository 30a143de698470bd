"""A node's local copy of the table, merged by row version."""

import collections.abc
import threading
import time
import typing

import attrs

from peridotsill import _codec
from peridotsill import _model

_T = typing.TypeVar("_T")


@attrs.frozen(kw_only=True)
class Row:
    """A row of the table; ``version`` is the revision of its commit."""

    key: str
    value: dict[str, typing.Any]
    version: int


@attrs.frozen(kw_only=True)
class Scan:
    """All rows under some key prefixes, as of commit ``revision``."""

    rows: tuple[Row, ...]
    revision: int


class ChangeType(_codec.TextEnum):
    """Whether a row was written or deleted."""

    PUT = "put"
    DELETE = "delete"


@attrs.frozen(kw_only=True)
class Change:
    """One change of a row, as watchers receive it.

    For a deleted row, ``value`` is its last known value and ``version`` the
    revision of the scan that no longer had it.
    """

    type: ChangeType
    key: str
    version: int
    value: dict[str, typing.Any]


class TableView:
    """A node's copy of the table's rows.

    Rows come from scans of the table, from this node's own commits, from
    siblings that push their commits, and from a sibling's full copy, which
    is merged like a scan. A row is only replaced by one
    of a higher version, and a scan older than the last merged one is
    ignored, so the copy never goes back to an older state.
    """

    def __init__(self, *, max_changes: int = 5000) -> None:
        self._rows: dict[str, Row] = {}
        self._parsed_by_key: dict[str, tuple[int, object]] = {}
        self._revision = 0
        self._max_changes = max_changes
        self._changes: list[Change] = []
        self._dropped_version = 0
        self._condition = threading.Condition()
        self._refreshed_at = float("-inf")
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def subscribe(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call ``listener`` after each merge."""
        self._listeners.append(listener)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    @property
    def revision(self) -> int:
        """Revision of the newest merged scan; 0 before the first."""
        return self._revision

    @property
    def refreshed_at(self) -> float:
        """Latest ``started_at`` of the merged scans; -inf before the first."""
        return self._refreshed_at

    def merge_scan(self, scan: Scan, *, started_at: float) -> bool:
        """Merge a scan; return False if it is older than the last one.

        Rows that the scan lacks are deleted, unless they are newer than it.
        ``started_at`` is when the read of the table was started, on the
        monotonic clock; -inf for a sibling's copy.
        """
        with self._condition:
            if scan.revision < self._revision:
                return False
            scanned_keys = {row.key for row in scan.rows}
            for row in scan.rows:
                self._store_if_newer(row)
            for key in [key for key in self._rows if key not in scanned_keys]:
                if self._rows[key].version <= scan.revision:
                    self._delete(key, scan.revision)
            self._revision = scan.revision
            self._refreshed_at = max(self._refreshed_at, started_at)
            self._condition.notify_all()
        self._notify_listeners()
        return True

    def merge_rows(self, rows: collections.abc.Iterable[Row]) -> None:
        """Merge rows of a commit that this node or a sibling has made."""
        with self._condition:
            for row in rows:
                # A row that is neither newer than the last scan nor known
                # was absent from that scan: it has been deleted.
                if row.version > self._revision or row.key in self._rows:
                    self._store_if_newer(row)
            self._condition.notify_all()
        self._notify_listeners()

    def _store_if_newer(self, row: Row) -> None:
        current = self._rows.get(row.key)
        if current is not None and current.version >= row.version:
            return
        self._rows[row.key] = row
        self._append_change(ChangeType.PUT, row.key, row.version, row.value)

    def _delete(self, key: str, version: int) -> None:
        row = self._rows.pop(key)
        self._parsed_by_key.pop(key, None)
        self._append_change(ChangeType.DELETE, key, version, row.value)

    def _append_change(
        self,
        kind: ChangeType,
        key: str,
        version: int,
        value: dict[str, typing.Any],
    ) -> None:
        change = Change(type=kind, key=key, version=version, value=value)
        self._changes.append(change)
        if len(self._changes) > self._max_changes:
            dropped = self._changes.pop(0)
            self._dropped_version = max(self._dropped_version, dropped.version)

    def row(self, key: str) -> Row | None:
        """Return the row at ``key``, or None."""
        return self._rows.get(key)

    def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows under ``prefix``, sorted by key."""
        with self._condition:
            found = [
                row
                for key, row in self._rows.items()
                if key.startswith(prefix)
            ]
        return tuple(sorted(found, key=lambda row: row.key))

    def resource(self, key: str, kind: type[_T]) -> _T | None:
        """Return the parsed resource at ``key``, or None."""
        row = self._rows.get(key)
        if row is None:
            return None
        cached = self._parsed_by_key.get(key)
        if cached is not None and cached[0] == row.version:
            return typing.cast(_T, cached[1])
        value = _codec.from_plain(row.value, kind, strict=False)
        self._parsed_by_key[key] = (row.version, value)
        return value

    def resources(self, kind: str) -> tuple[typing.Any, ...]:
        """Return all parsed resources of a kind, sorted by name."""
        resource_type = _model.RESOURCE_KINDS[kind]
        found = (
            self.resource(row.key, resource_type)
            for row in self.rows(f"{kind}/")
        )
        return tuple(each for each in found if each is not None)

    def vms_of(self, pool: str) -> tuple[_model.Vm, ...]:
        """Return the VMs that belong to ``pool``."""
        return tuple(vm for vm in self.resources("vms") if vm.pool == pool)

    @property
    def config(self) -> _model.Config:
        """The current configuration; defaults with version 0 if none."""
        found = self.resource(_model.CONFIG_KEY, _model.Config)
        if found is not None:
            return found
        return _model.Config(
            version=0, change_id="", values=_model.ConfigValues()
        )

    def changes_since(
        self, version: int, prefix: str, timeout_seconds: float
    ) -> tuple[Change, ...] | None:
        """Wait for changes after ``version`` to rows under ``prefix``.

        Return an empty tuple if there were none in time, and None if
        changes after ``version`` were already discarded.
        """
        deadline = time.monotonic() + timeout_seconds
        with self._condition:
            while True:
                if version < self._dropped_version:
                    return None
                found = tuple(
                    change
                    for change in self._changes
                    if change.version > version
                    and change.key.startswith(prefix)
                )
                remaining_seconds = deadline - time.monotonic()
                if found or remaining_seconds <= 0:
                    return found
                self._condition.wait(remaining_seconds)
