"""Holds connections back until a complete request header has arrived.

A worker thread gets a connection only when it can read the header without
blocking, so that slow senders don't occupy the worker threads.
"""

import collections.abc
import selectors
import socket
import threading
import time
import typing

import attrs

# Interval between two checks of the connections with partial headers.
_RECHECK_INTERVAL_SECONDS = 0.02
# The longest wait of the selector while there are no partial headers.
_POLL_INTERVAL_SECONDS = 0.5
_HEADER_END = b"\r\n\r\n"


class GatedConnection(typing.Protocol):
    """The part of a cheroot connection that the gate uses."""

    socket: socket.socket

    def close(self) -> None:
        """Close the connection."""


@attrs.define(kw_only=True, eq=False)
class _WaitingConnection:
    connection: GatedConnection
    deadline: float


class HeaderGate:
    """Waits for the request headers of connections, in one thread.

    Args:
        on_ready: Called with each connection that a worker can read.
        on_timeout: Called with each whose header did not arrive in time.
        header_bytes: A header of this size is forwarded even if it is not
            complete, for the worker to refuse it.
        header_seconds: Time limit for a header, counted from the call of
            `admit`.
    """

    def __init__(
        self,
        *,
        on_ready: collections.abc.Callable[[GatedConnection], None],
        on_timeout: collections.abc.Callable[[GatedConnection], None],
        header_bytes: int,
        header_seconds: float,
    ) -> None:
        self._on_ready = on_ready
        self._on_timeout = on_timeout
        self._header_bytes = header_bytes
        self._header_seconds = header_seconds
        self._selector = selectors.DefaultSelector()
        self._partial: list[_WaitingConnection] = []
        self._lock = threading.Lock()
        self._stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def admit(self, connection: GatedConnection) -> None:
        """Pass a connection to ``on_ready`` once a worker can read it.

        If the time limit ends first, it is passed to ``on_timeout``.
        """
        if self._is_ready(connection):
            self._on_ready(connection)
            return
        deadline = time.monotonic() + self._header_seconds
        entry = _WaitingConnection(connection=connection, deadline=deadline)
        with self._lock:
            self._watch(entry)

    def evict(self) -> bool:
        """Pass the connection that has waited longest to ``on_timeout``.

        Returns false if none is waiting.
        """
        with self._lock:
            entries = self._partial + self._watched()
            if not entries:
                return False
            oldest = min(entries, key=lambda entry: entry.deadline)
            if oldest in self._partial:
                self._partial.remove(oldest)
            else:
                self._selector.unregister(oldest.connection.socket)
        self._on_timeout(oldest.connection)
        return True

    def stop(self) -> None:
        """Close the connections that still wait, and let the thread end."""
        self._stopped = True
        with self._lock:
            waiting = self._partial + self._watched()
            for entry in waiting:
                entry.connection.close()
            self._partial = []

    def _watched(self) -> list[_WaitingConnection]:
        return [key.data for key in self._selector.get_map().values()]

    def _watch(self, entry: _WaitingConnection) -> None:
        try:
            self._selector.register(
                entry.connection.socket, selectors.EVENT_READ, entry
            )
        except (KeyError, ValueError, OSError):
            entry.connection.close()

    def _is_ready(self, connection: GatedConnection) -> bool:
        """Return whether a worker can read the connection without blocking.

        That is so for a complete or too large header, for a closed
        connection and for an error.
        """
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            data = connection.socket.recv(self._header_bytes, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        complete = _HEADER_END in data or not data
        return complete or len(data) >= self._header_bytes

    def _run(self) -> None:
        while not self._stopped:
            timeout_seconds = (
                _RECHECK_INTERVAL_SECONDS
                if self._partial
                else _POLL_INTERVAL_SECONDS
            )
            for key, _ in self._selector.select(timeout_seconds):
                self._on_readable(key.data)
            with self._lock:
                partial, self._partial = self._partial, []
            for entry in partial:
                self._check_header(entry)
            self._expire_waiting()

    def _on_readable(self, entry: _WaitingConnection) -> None:
        with self._lock:
            try:
                self._selector.unregister(entry.connection.socket)
            except (KeyError, ValueError):
                # It was evicted or closed meanwhile.
                return
        self._check_header(entry)

    def _check_header(self, entry: _WaitingConnection) -> None:
        if self._is_ready(entry.connection):
            self._on_ready(entry.connection)
        elif time.monotonic() > entry.deadline:
            self._on_timeout(entry.connection)
        else:
            # The selector is level-triggered: because of the part that has
            # arrived it would report this connection again at once. It is
            # polled instead.
            with self._lock:
                self._partial.append(entry)

    def _expire_waiting(self) -> None:
        now = time.monotonic()
        with self._lock:
            expired = [
                entry for entry in self._watched() if entry.deadline < now
            ]
            for entry in expired:
                self._selector.unregister(entry.connection.socket)
        for entry in expired:
            self._on_timeout(entry.connection)
