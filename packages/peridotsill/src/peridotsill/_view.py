"""What a node knows of the table: rows merged by version, never back."""

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
    """A row of the table; ``version`` is the commit that wrote it."""

    key: str
    value: dict[str, typing.Any]
    version: int


@attrs.frozen(kw_only=True)
class Scan:
    """All rows below some prefixes, as of commit ``revision``."""

    rows: tuple[Row, ...]
    revision: int


class ChangeType(_codec.TextEnum):
    """What happened to a row."""

    PUT = "put"
    DELETE = "delete"


@attrs.frozen(kw_only=True)
class Change:
    """One change of a row, for watchers."""

    type: ChangeType
    key: str
    version: int
    value: dict[str, typing.Any]


class View:
    """A node's copy of the table's resources.

    Rows come from scans, from pushes of siblings and from a sibling's
    whole state. A row is only replaced by one of a higher version, and a
    scan older than the last one is dropped, so nothing ever reverts.
    """

    def __init__(self, *, history: int = 5000) -> None:
        self._rows: dict[str, Row] = {}
        self._parsed: dict[str, tuple[int, object]] = {}
        self._revision = 0
        self._history = history
        self._changes: list[Change] = []
        self._dropped_version = 0
        self._changed = threading.Condition()
        self._refreshed_at = float("-inf")
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def subscribe(self, listener: collections.abc.Callable[[], None]) -> None:
        """Have ``listener`` called after each merge."""
        self._listeners.append(listener)

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()

    @property
    def revision(self) -> int:
        """The newest commit whose scan was merged; 0 before the first."""
        return self._revision

    @property
    def refreshed_at(self) -> float:
        """Monotonic time of the last merged scan."""
        return self._refreshed_at

    def merge_scan(self, scan: Scan, *, started_at: float) -> bool:
        """Take in a scan; false if it was older than what is known."""
        with self._changed:
            if scan.revision < self._revision:
                return False
            seen = {row.key for row in scan.rows}
            for row in scan.rows:
                self._put(row)
            for key in [key for key in self._rows if key not in seen]:
                if self._rows[key].version <= scan.revision:
                    self._drop(key, scan.revision)
            self._revision = scan.revision
            self._refreshed_at = max(self._refreshed_at, started_at)
            self._changed.notify_all()
        self._tell()
        return True

    def merge_rows(self, rows: collections.abc.Iterable[Row]) -> None:
        """Take in rows that a sibling pushed after its commit."""
        with self._changed:
            for row in rows:
                if row.version > self._revision or row.key in self._rows:
                    self._put(row)
            self._changed.notify_all()
        self._tell()

    def _put(self, row: Row) -> None:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return
        self._rows[row.key] = row
        self._note(ChangeType.PUT, row.key, row.version, row.value)

    def _drop(self, key: str, version: int) -> None:
        row = self._rows.pop(key)
        self._parsed.pop(key, None)
        self._note(ChangeType.DELETE, key, version, row.value)

    def _note(
        self,
        kind: ChangeType,
        key: str,
        version: int,
        value: dict[str, typing.Any],
    ) -> None:
        change = Change(type=kind, key=key, version=version, value=value)
        self._changes.append(change)
        if len(self._changes) > self._history:
            old = self._changes.pop(0)
            self._dropped_version = max(self._dropped_version, old.version)

    def row(self, key: str) -> Row | None:
        """Return the row at ``key``."""
        return self._rows.get(key)

    def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows below ``prefix``, by key."""
        with self._changed:
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
        cached = self._parsed.get(key)
        if cached is not None and cached[0] == row.version:
            return typing.cast(_T, cached[1])
        value = _codec.from_plain(row.value, kind, strict=False)
        self._parsed[key] = (row.version, value)
        return value

    def resources(self, kind: str) -> tuple[typing.Any, ...]:
        """Return all parsed resources of a kind, by name."""
        cls = _model.RESOURCE_KINDS[kind]
        found = (self.resource(row.key, cls) for row in self.rows(f"{kind}/"))
        return tuple(each for each in found if each is not None)

    def vms_of(self, pool: str) -> tuple[_model.Vm, ...]:
        """Return the VMs that belong to ``pool``."""
        return tuple(vm for vm in self.resources("vms") if vm.pool == pool)

    @property
    def config(self) -> _model.Config:
        """The configuration in force; defaults at version 0."""
        found = self.resource(_model.CONFIG_KEY, _model.Config)
        if found is not None:
            return found
        return _model.Config(
            version=0, change_id="", values=_model.ConfigValues()
        )

    def changes_since(
        self, version: int, prefix: str, timeout_seconds: float
    ) -> tuple[Change, ...] | None:
        """Wait for changes after ``version``; None if it is too old."""
        until = time.monotonic() + timeout_seconds
        with self._changed:
            while True:
                if version < self._dropped_version:
                    return None
                found = tuple(
                    change
                    for change in self._changes
                    if change.version > version
                    and change.key.startswith(prefix)
                )
                left = until - time.monotonic()
                if found or left <= 0:
                    return found
                self._changed.wait(left)
