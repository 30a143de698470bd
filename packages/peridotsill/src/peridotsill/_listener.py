"""A cheroot server that bounds each phase of a connection.

cheroot alone takes a half-closed short body for a whole one and gives a
slow sender a fresh timeout for every byte; the classes here close those
gaps. What a request may look like is `_http_request`'s.
"""

import collections.abc
import contextlib
import io
import queue
import socket
import threading
import time
import typing

import attrs
from cheroot import makefile
from cheroot import server
from cheroot import wsgi

from peridotsill import _gate
from peridotsill import _http_request

_WRITE_TIMEOUT_SECONDS = 60.0


class _TimedSocket(io.RawIOBase):
    """Raw reads of a socket that all share one phase's deadline."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.deadline = float("inf")

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(min(left, 3600.0))
        try:
            return self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(_WRITE_TIMEOUT_SECONDS)


class _Reader(makefile.StreamReader):
    """cheroot's reader over a `_TimedSocket`."""

    def __init__(self, sock: socket.socket, raw: _TimedSocket) -> None:
        # cheroot's own constructor would make its raw reader itself.
        super(makefile.StreamReader, self).__init__(
            typing.cast(typing.Any, raw), io.DEFAULT_BUFFER_SIZE
        )
        self.bytes_read = 0


class _Connection(server.HTTPConnection):
    """A caller's connection with bounded phases."""

    RequestHandlerClass = _http_request.HttpRequest

    def __init__(
        self,
        owner: typing.Any,
        sock: socket.socket,
        make: typing.Any = makefile.MakeFile,
    ) -> None:
        super().__init__(owner, sock, make)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        self._raw = _TimedSocket(sock)
        self.rfile = _Reader(sock, self._raw)

    def start_phase(self, seconds: float) -> None:
        """Give all further reads together ``seconds`` from now."""
        self._raw.deadline = time.monotonic() + seconds


class OpenRequests:
    """Counts requests from their first byte to the last of the answer."""

    def __init__(self) -> None:
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Number of requests that are open now."""
        return self._count

    @contextlib.contextmanager
    def entered(self) -> collections.abc.Iterator[None]:
        """Count one request while the context lasts."""
        self.add(1)
        try:
            yield
        finally:
            self.add(-1)

    def add(self, amount: int) -> None:
        """Change the count."""
        with self._changed:
            self._count += amount
            self._changed.notify_all()

    def wait_idle(self, timeout_seconds: float | None = None) -> bool:
        """Wait until no request is open; false if time ran out."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count == 0, timeout_seconds
            )


class _Server(wsgi.Server):
    """cheroot's server with the phases' limits on it."""

    ConnectionClass = _Connection
    header_seconds = 2.0
    body_seconds = 10.0
    closing = False
    open_requests: OpenRequests
    gate: _gate.HeaderGate

    def process_conn(self, conn: typing.Any) -> None:
        """Queue a connection as soon as its header is there."""
        if conn.rfile.has_data():
            self.queue(conn)
        else:
            self.gate.admit(conn)

    def queue(self, conn: typing.Any) -> None:
        """Give a connection to the next free worker thread."""
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Drop cheroot's own lines; a broken connection is no event."""


@attrs.frozen(kw_only=True)
class ListenerOptions:
    """Where and how a listener serves.

    ``shutdown_seconds`` is how long a stop waits for worker threads that
    are stuck in a connection; None waits for as long as it takes.
    """

    host: str
    port: int
    threads: int = 16
    header_seconds: float = 2.0
    body_seconds: float = 10.0
    idle_seconds: float = 10.0
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    connections: int = 2000
    shutdown_seconds: float | None = None


class Listener:
    """One listening address with a WSGI application behind it."""

    def __init__(
        self,
        *,
        options: ListenerOptions,
        app: collections.abc.Callable[..., typing.Any],
    ) -> None:
        self._server = _Server(
            (options.host, options.port),
            app,
            numthreads=options.threads,
            max=options.threads,
            request_queue_size=512,
            timeout=typing.cast(int, options.idle_seconds),
            shutdown_timeout=typing.cast(int, options.shutdown_seconds),
        )
        self._server.header_seconds = options.header_seconds
        self._server.body_seconds = options.body_seconds
        self._server.max_request_header_size = options.header_bytes
        self._server.max_request_body_size = options.body_bytes
        self._server.keep_alive_conn_limit = options.connections
        self._server.open_requests = OpenRequests()
        self._server.gate = _gate.HeaderGate(
            forward=self._server.queue,
            late=_time_out,
            header_bytes=options.header_bytes,
            header_seconds=max(options.header_seconds, options.idle_seconds),
        )
        self._thread: typing.Any = None

    @property
    def open_requests(self) -> OpenRequests:
        """The requests that this listener is working on."""
        return self._server.open_requests

    def start(self) -> None:
        """Bind and serve in a thread of its own.

        Raises:
            OSError: If the address can't be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def keepalive_count(self) -> int:
        """Number of connections that wait for a next request."""
        manager = self._server._connections  # type: ignore[attr-defined]
        return int(manager._num_connections)

    def close_gently(self) -> None:
        """Say on each further answer that its connection ends."""
        self._server.closing = True

    def stop(self, wait_seconds: float | None = None) -> None:
        """Finish the open requests, then close every connection.

        Args:
            wait_seconds: How long to wait for the open requests; None
                waits for as long as it takes.
        """
        self.open_requests.wait_idle(wait_seconds)
        self._server.gate.stop()
        self._server.stop()


def _time_out(connection: typing.Any) -> None:
    # One that never sent a byte is idle, and closed without a word.
    try:
        if connection.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            request = _http_request.HttpRequest(connection.server, connection)
            request.simple_response(
                "408 Request Timeout", "the header took too long"
            )
    except OSError:
        pass
    connection.close()
