"""Connections to runners: bounded, retired young, and distrusted."""

import collections.abc
import contextlib
import socket
import threading
import time

import attrs
import urllib3.connection
import urllib3.util.connection
import urllib3.util.wait

from peridotsill_upstreams import exceptions

_CONNECT_SECONDS = 1.0
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
    """An open connection to a runner; times are monotonic seconds."""

    raw: urllib3.connection.HTTPConnection
    opened_at: float
    answered_at: float = 0.0
    fresh: bool = True
    reusable: bool = False

    def close(self) -> None:
        """Close the connection."""
        self.raw.close()


class ConnectionPool:
    """This node's connections to one runner.

    At most ``limit`` are open at any moment, idle ones included.
    ``echoes`` is set once the runner was seen to return request ids.
    """

    def __init__(
        self, *, host: str, port: int, limit: int, idle_seconds: float
    ) -> None:
        self._host = host
        self._port = port
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._idle: list[Connection] = []
        self._open = 0
        self._changed = threading.Condition()
        self._distrusted_before = 0.0
        self.echoes = False

    @property
    def open_count(self) -> int:
        """Number of open connections, idle ones included."""
        return self._open

    @contextlib.contextmanager
    def connection(
        self, *, fresh: bool, timeout_seconds: float
    ) -> collections.abc.Iterator[Connection]:
        """Lend a connection; it is kept afterwards if it is reusable.

        Raises:
            NotSent: If no connection could be opened.
            TooManyConnections: If none came free in the time given.
        """
        connection = self._take(fresh, timeout_seconds)
        try:
            yield connection
        finally:
            self._give_back(connection)

    def distrust(self, before: float) -> None:
        """Close, now or when given back, all opened before a moment."""
        with self._changed:
            self._distrusted_before = max(self._distrusted_before, before)
            self._retire()

    def close(self) -> None:
        """Close the idle connections; lent ones close when given back."""
        self.distrust(float("inf"))

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        with self._changed:
            self._retire()

    def _take(self, fresh: bool, timeout_seconds: float) -> Connection:
        until = time.monotonic() + timeout_seconds
        with self._changed:
            self._retire()
            if not fresh and self._idle:
                connection = self._idle.pop()
                connection.fresh = False
                connection.reusable = False
                return connection
            while self._open >= self._limit and not self._drop_idle():
                left = until - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    raise exceptions.TooManyConnections(
                        f"all {self._limit} connections to the runner are"
                        " in use"
                    )
            self._open += 1
        return self._connect(min(_CONNECT_SECONDS, timeout_seconds))

    def _connect(self, timeout_seconds: float) -> Connection:
        raw = urllib3.connection.HTTPConnection(
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
        return Connection(raw=raw, opened_at=now, answered_at=now)

    def _give_back(self, connection: Connection) -> None:
        with self._changed:
            trusted = connection.opened_at > self._distrusted_before
            if connection.reusable and trusted:
                connection.answered_at = time.monotonic()
                self._idle.append(connection)
            else:
                connection.close()
                self._open -= 1
            self._changed.notify()

    def _drop_idle(self) -> bool:
        if not self._idle:
            return False
        self._idle.pop(0).close()
        self._open -= 1
        return True

    def _retire(self) -> None:
        oldest = time.monotonic() - self._idle_seconds
        kept = [each for each in self._idle if self._is_good(each, oldest)]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
                self._open -= 1
        self._idle = kept
        self._changed.notify_all()

    def _is_good(self, connection: Connection, oldest: float) -> bool:
        if connection.answered_at < oldest:
            return False
        if connection.opened_at <= self._distrusted_before:
            return False
        sock = connection.raw.sock
        # Bytes that nobody asked for, or an end of file, make it unusable.
        return sock is not None and not urllib3.util.wait.wait_for_read(
            sock, timeout=0.0
        )
