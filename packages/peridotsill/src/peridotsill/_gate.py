"""Holds connections back until a whole header has arrived.

A worker thread is given a connection only when it can read the header
without waiting, so that slow senders keep no thread from others.
"""

import collections.abc
import contextlib
import selectors
import socket
import threading
import time
import typing

import attrs

_RECHECK_SECONDS = 0.02
_IDLE_SECONDS = 0.5
_HEADER_END = b"\r\n\r\n"


class GatedConnection(typing.Protocol):
    """What the gate needs of a cheroot connection."""

    socket: socket.socket

    def close(self) -> None:
        """Close the connection."""


@attrs.define(kw_only=True, eq=False)
class _Entry:
    connection: GatedConnection
    deadline: float


class HeaderGate:
    """Watches connections whose header is not complete yet.

    Args:
        forward: Called with each connection that is ready.
        late: Called with each that ran out of time.
        header_bytes: Size from which a header is let through to be
            refused.
        header_seconds: Time for a header, from its first watch.
    """

    def __init__(
        self,
        *,
        forward: collections.abc.Callable[[GatedConnection], None],
        late: collections.abc.Callable[[GatedConnection], None],
        header_bytes: int,
        header_seconds: float,
    ) -> None:
        self._forward = forward
        self._late = late
        self._header_bytes = header_bytes
        self._header_seconds = header_seconds
        self._selector = selectors.DefaultSelector()
        self._partial: list[_Entry] = []
        self._lock = threading.Lock()
        self._stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def admit(self, connection: GatedConnection) -> None:
        """Forward a connection now, or once its header is there."""
        if self._is_ready(connection):
            self._forward(connection)
            return
        deadline = time.monotonic() + self._header_seconds
        entry = _Entry(connection=connection, deadline=deadline)
        with self._lock:
            self._watch(entry)

    def stop(self) -> None:
        """Close what still waits."""
        self._stopped = True
        with self._lock:
            waiting = self._partial + self._watched()
            for entry in waiting:
                entry.connection.close()
            self._partial = []

    def _watched(self) -> list[_Entry]:
        return [key.data for key in self._selector.get_map().values()]

    def _watch(self, entry: _Entry) -> None:
        try:
            self._selector.register(
                entry.connection.socket, selectors.EVENT_READ, entry
            )
        except (KeyError, ValueError, OSError):
            entry.connection.close()

    def _is_ready(self, connection: GatedConnection) -> bool:
        """Tell whether a worker would not wait: a header, an end, an error."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            data = connection.socket.recv(self._header_bytes, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        whole = _HEADER_END in data or not data
        return whole or len(data) >= self._header_bytes

    def _run(self) -> None:
        while not self._stopped:
            wait = _RECHECK_SECONDS if self._partial else _IDLE_SECONDS
            for key, _ in self._selector.select(wait):
                self._on_readable(key.data)
            with self._lock:
                partial, self._partial = self._partial, []
            for entry in partial:
                self._recheck(entry)
            self._drop_late()

    def _on_readable(self, entry: _Entry) -> None:
        with self._lock:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(entry.connection.socket)
        self._recheck(entry)

    def _recheck(self, entry: _Entry) -> None:
        if self._is_ready(entry.connection):
            self._forward(entry.connection)
        elif time.monotonic() > entry.deadline:
            self._late(entry.connection)
        else:
            # A level-triggered wait would spin on the part that is there.
            with self._lock:
                self._partial.append(entry)

    def _drop_late(self) -> None:
        now = time.monotonic()
        with self._lock:
            late = [e for e in self._watched() if e.deadline < now]
            for entry in late:
                self._selector.unregister(entry.connection.socket)
        for entry in late:
            self._late(entry.connection)
