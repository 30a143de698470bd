"""Keeps a node's view up to date, and detects when that is impossible."""

import collections.abc
import threading
import time

import peridotsill
import peridotsill.exceptions
from returns import result

import peridotsill_platform
import peridotsill_siblings

PREFIXES = (
    "pools/",
    "vms/",
    "services/",
    "jobs/",
    "waves/",
    "config/",
    "nodes/",
    "owners/",
)
_TICK_PERIOD_SECONDS = 0.1
# A longer gap between ticks means that the process was paused.
_PAUSE_SECONDS = 1.0


class ViewFeed:
    """Polls the table and the VM list; reads from siblings in an outage.

    A process that was paused must not act on its stale view, so callers
    call `refresh_if_paused` before they act on it.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        vm_list: peridotsill_platform.VmList,
        membership: peridotsill_siblings.Membership,
        view: peridotsill.TableView,
        timing: peridotsill.Timing,
        on_vm_list: collections.abc.Callable[[], None],
    ) -> None:
        self._table = table
        self._vm_list = vm_list
        self._membership = membership
        self._view = view
        self._timing = timing
        self._on_vm_list = on_vm_list
        self._listed_vms: tuple[peridotsill_platform.ListedVm, ...] | None = (
            None
        )
        self._ticked_at = time.monotonic()
        self._table_read_at = float("-inf")
        self._started_at = time.monotonic()
        self._bootstrapped = False
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._refresh_lock = threading.Lock()

    @property
    def bootstrapped(self) -> bool:
        """Whether the state has been read, from the table or a sibling."""
        return self._bootstrapped

    @property
    def listed_vms(self) -> tuple[peridotsill_platform.ListedVm, ...] | None:
        """The platform's VM list as last read; None before the first read."""
        return self._listed_vms

    @property
    def table_age_seconds(self) -> float:
        """Seconds since the last successful table read began.

        Infinite before the first.
        """
        return time.monotonic() - self._table_read_at

    def start(self) -> None:
        """Start the polling threads."""
        for loop in (self._poll_loop, self._vm_list_loop, self._tick_loop):
            threading.Thread(target=loop, daemon=True).start()

    def stop(self) -> None:
        """Stop the polling threads."""
        self._stopped.set()
        self._wake.set()

    def request_poll(self) -> None:
        """Wake the polling thread to read the table now."""
        self._wake.set()

    def is_isolated(self) -> bool:
        """Return whether neither the table nor any sibling can be reached.

        The table counts as out of reach after ``isolation_seconds`` without
        a read; a node is never isolated in its first ``isolation_seconds``.
        A node without known siblings is never isolated: no other node
        could have newer state.
        """
        if not self._membership.peer_count:
            return False
        limit = self._timing.isolation_seconds
        if (
            self.table_age_seconds < limit
            or self._membership.live_heartbeats()
        ):
            return False
        return time.monotonic() - self._started_at > limit

    def refresh_if_paused(self) -> None:
        """Refresh the view if this process was paused."""
        if time.monotonic() - self._ticked_at > _PAUSE_SECONDS:
            self.refresh()
            self._ticked_at = time.monotonic()

    def refresh(self) -> bool:
        """Read the table, or else siblings' copies; false if both failed."""
        with self._refresh_lock:
            if self._read_table():
                return True
            return self._read_siblings()

    def _read_table(self) -> bool:
        started_at = time.monotonic()
        match self._table.scan(PREFIXES):
            case result.Success(scan):
                self._view.merge_scan(scan, started_at=started_at)
                self._table_read_at = started_at
                self._bootstrapped = True
                return True
            case _:
                return False

    def _read_siblings(self) -> bool:
        copies = self._membership.call_all("/siblings/state", {})
        found = False
        for data in copies:
            copy = _state_copy(data)
            if copy is None or not copy.ready:
                continue
            self._view.merge_scan(copy.scan, started_at=float("-inf"))
            found = True
        if found:
            self._bootstrapped = True
        return found

    def _poll_loop(self) -> None:
        while not self._stopped.is_set():
            self._wake.clear()
            if not self._read_table() and not self._bootstrapped:
                self._read_siblings()
            self._wake.wait(self._timing.poll_seconds)

    def _vm_list_loop(self) -> None:
        while not self._stopped.wait(self._timing.poll_seconds):
            try:
                self._listed_vms = self._vm_list.read()
            except peridotsill.exceptions.PeridotsillError:
                continue
            self._on_vm_list()

    def _tick_loop(self) -> None:
        while not self._stopped.wait(_TICK_PERIOD_SECONDS):
            self.refresh_if_paused()
            self._ticked_at = time.monotonic()


def _state_copy(data: object) -> peridotsill_siblings.StateCopy | None:
    try:
        return peridotsill.from_plain(data, peridotsill_siblings.StateCopy)
    except peridotsill.exceptions.InvalidResource:
        return None
