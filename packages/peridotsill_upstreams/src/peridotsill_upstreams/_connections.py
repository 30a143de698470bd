"""Bounded connection pools to runners, with idle time-outs."""

import collections.abc
import contextlib
import socket
import threading
import time

import attrs
import peridotsill
import urllib3.util.connection
import urllib3.util.wait

from peridotsill_upstreams import exceptions

_CONNECT_TIMEOUT_SECONDS = 1.0
_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 10000),
]


@attrs.define(kw_only=True, eq=False)
class Connection:
    """An open connection to a runner.

    Times are monotonic seconds. ``fresh`` is unset once the connection is
    reused. ``reusable`` is set once an answer was read whole, unless the
    runner closes the connection after it.
    """

    raw: peridotsill.BoundedConnection
    opened_at: float
    idle_since: float = 0.0
    fresh: bool = True
    reusable: bool = False

    def close(self) -> None:
        """Close the connection."""
        self.raw.close()


class ConnectionPool:
    """This node's connections to one runner.

    At most ``limit`` are open at any moment, idle ones included.
    ``echoes_request_ids`` is set once the runner returned a request's id.
    """

    def __init__(
        self, *, host: str, port: int, limit: int, idle_timeout_seconds: float
    ) -> None:
        self._host = host
        self._port = port
        self._limit = limit
        self._idle_timeout_seconds = idle_timeout_seconds
        self._idle: list[Connection] = []
        self._open = 0
        self._changed = threading.Condition()
        self._invalid_before = 0.0
        self.echoes_request_ids = False

    @property
    def open_count(self) -> int:
        """Number of open connections, idle ones included."""
        return self._open

    @contextlib.contextmanager
    def connection(
        self, *, fresh: bool, timeout_seconds: float
    ) -> collections.abc.Iterator[Connection]:
        """Check out a connection; it is returned, or closed, afterwards.

        With ``fresh`` a new connection is opened.

        Raises:
            NotSent: If no connection could be opened.
            TooManyConnections: If all stayed in use until the time-out.
        """
        connection = self._acquire(fresh, timeout_seconds)
        try:
            yield connection
        finally:
            self._release(connection)

    def invalidate(self, before: float) -> None:
        """Close connections opened at monotonic time ``before`` or earlier.

        Those checked out are closed when they are returned.
        """
        with self._changed:
            self._invalid_before = max(self._invalid_before, before)
            self._close_unusable()

    def close(self) -> None:
        """Close idle connections now, and others when they are returned."""
        self.invalidate(float("inf"))

    def close_unusable(self) -> None:
        """Close idle connections that timed out or can't be used."""
        with self._changed:
            self._close_unusable()

    def _acquire(self, fresh: bool, timeout_seconds: float) -> Connection:
        deadline = time.monotonic() + timeout_seconds
        with self._changed:
            self._close_unusable()
            if not fresh and self._idle:
                connection = self._idle.pop()
                connection.fresh = False
                connection.reusable = False
                return connection
            while self._open >= self._limit and not self._close_oldest_idle():
                left = deadline - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    raise exceptions.TooManyConnections(
                        f"all {self._limit} connections to the runner are"
                        " in use"
                    )
            self._open += 1
        return self._connect(min(_CONNECT_TIMEOUT_SECONDS, timeout_seconds))

    def _connect(self, timeout_seconds: float) -> Connection:
        raw = peridotsill.BoundedConnection(
            self._host,
            self._port,
            timeout=max(timeout_seconds, 0.001),
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            raw.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            with self._changed:
                self._open -= 1
                self._changed.notify()
            raise exceptions.NotSent(
                f"can't connect: {type(error).__name__}"
            ) from error
        now = time.monotonic()
        return Connection(raw=raw, opened_at=now, idle_since=now)

    def _release(self, connection: Connection) -> None:
        with self._changed:
            valid = connection.opened_at > self._invalid_before
            if connection.reusable and valid:
                connection.idle_since = time.monotonic()
                self._idle.append(connection)
            else:
                connection.close()
                self._open -= 1
            self._changed.notify()

    def _close_oldest_idle(self) -> bool:
        if not self._idle:
            return False
        self._idle.pop(0).close()
        self._open -= 1
        return True

    def _close_unusable(self) -> None:
        min_idle_since = time.monotonic() - self._idle_timeout_seconds
        kept = [
            each
            for each in self._idle
            if self._is_usable(each, min_idle_since)
        ]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
                self._open -= 1
        self._idle = kept
        self._changed.notify_all()

    def _is_usable(
        self, connection: Connection, min_idle_since: float
    ) -> bool:
        if connection.idle_since < min_idle_since:
            return False
        if connection.opened_at <= self._invalid_before:
            return False
        sock = connection.raw.sock
        # An idle connection that is readable was closed by the runner, or
        # holds bytes that belong to no request.
        return sock is not None and not urllib3.util.wait.wait_for_read(
            sock, timeout=0.0
        )
