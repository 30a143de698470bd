"""A cheroot server with a time limit for each phase of a connection.

cheroot alone accepts a body that is shorter than declared as complete if
the sender half-closes the connection, and restarts its timeout with every
byte of a slow sender. The classes here prevent both. Requests are validated
in `_http_request`.
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


class _DeadlineSocket(io.RawIOBase):
    """A raw socket reader whose reads share one deadline."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.deadline = float("inf")

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        remaining_seconds = self.deadline - time.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError("timed out")
        # `settimeout` does not accept an infinite value.
        self._sock.settimeout(min(remaining_seconds, 3600.0))
        try:
            return self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(_WRITE_TIMEOUT_SECONDS)


class _DeadlineReader(makefile.StreamReader):
    """cheroot's buffered reader on top of a `_DeadlineSocket`."""

    def __init__(self, sock: socket.socket, raw: _DeadlineSocket) -> None:
        # Skips cheroot's constructor, which creates its own raw reader.
        super(makefile.StreamReader, self).__init__(
            typing.cast(typing.Any, raw), io.DEFAULT_BUFFER_SIZE
        )
        self.bytes_read = 0


class _Connection(server.HTTPConnection):
    """A client connection with a deadline for its reads."""

    RequestHandlerClass = _http_request.HttpRequest

    def __init__(
        self,
        http_server: typing.Any,
        sock: socket.socket,
        make_file: typing.Any = makefile.MakeFile,
    ) -> None:
        super().__init__(http_server, sock, make_file)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        self._raw = _DeadlineSocket(sock)
        self.rfile = _DeadlineReader(sock, self._raw)

    def set_read_deadline(self, seconds: float) -> None:
        """Let all further reads together take at most ``seconds`` from now."""
        self._raw.deadline = time.monotonic() + seconds


class OpenRequests:
    """Counts requests from the end of their header to their response's end."""

    def __init__(self) -> None:
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Number of requests that are open at present."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count one request as open until the context ends."""
        self.add(1)
        try:
            yield
        finally:
            self.add(-1)

    def add(self, amount: int) -> None:
        """Add ``amount``, which may be negative, to the count."""
        with self._changed:
            self._count += amount
            self._changed.notify_all()

    def wait_idle(self, timeout_seconds: float | None = None) -> bool:
        """Wait until no request is open; return false on a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count == 0, timeout_seconds
            )


class _Server(wsgi.Server):
    """cheroot's server with time limits for a request's header and body."""

    ConnectionClass = _Connection
    header_seconds = 2.0
    body_seconds = 10.0
    closing = False
    open_requests: OpenRequests
    gate: _gate.HeaderGate

    def process_conn(self, conn: typing.Any) -> None:
        """Queue a connection as soon as its header has arrived."""
        # The gate peeks at the socket, where data that `rfile` has already
        # buffered can't be seen.
        if conn.rfile.has_data():
            self.queue(conn)
        else:
            self.gate.admit(conn)

    def queue(self, conn: typing.Any) -> None:
        """Queue a connection for a worker; close it if the queue is full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Discard cheroot's messages; broken connections are routine."""


@attrs.frozen(kw_only=True)
class ListenerOptions:
    """Address and limits of a listener.

    ``shutdown_seconds`` is how long a stop waits for worker threads that
    are blocked on a connection; None waits without a limit.
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
    """A WSGI application served at one address."""

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
            on_ready=self._server.queue,
            on_timeout=_refuse_late_header,
            header_bytes=options.header_bytes,
            header_seconds=max(options.header_seconds, options.idle_seconds),
        )
        self._thread: typing.Any = None

    @property
    def open_requests(self) -> OpenRequests:
        """The requests that this listener is processing."""
        return self._server.open_requests

    def start(self) -> None:
        """Bind the address and start the server's thread.

        Raises:
            OSError: If the address can't be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def keepalive_count(self) -> int:
        """Number of connections that are open between two requests."""
        manager = self._server._connections  # type: ignore[attr-defined]
        return int(manager._num_connections)

    def disable_keep_alive(self) -> None:
        """Send ``Connection: close`` with every further response."""
        self._server.closing = True

    def stop(self, wait_seconds: float | None = None) -> None:
        """Finish the open requests, then close every connection.

        Args:
            wait_seconds: How long to wait for the open requests; None
                waits without a limit.
        """
        self.open_requests.wait_idle(wait_seconds)
        self._server.gate.stop()
        self._server.stop()


def _refuse_late_header(connection: typing.Any) -> None:
    # A connection without a single byte of a request gets no response: it
    # was merely idle.
    try:
        if connection.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            request = _http_request.HttpRequest(connection.server, connection)
            request.simple_response(
                "408 Request Timeout", "the header took too long"
            )
    except OSError:
        pass
    connection.close()
