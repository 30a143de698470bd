"""A cheroot server with a time limit for each phase of a connection.

cheroot alone accepts a body that is shorter than declared as complete if
the sender half-closes the connection, and restarts its timeout with every
byte of a slow sender. The classes here prevent both. Requests are validated
in `_http_request`.
"""

import collections.abc
import contextlib
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
from peridotsill import _limit_hits
from peridotsill import _memory_budget
from peridotsill import _peer_limits
from peridotsill import _peer_stream

# While a large body arrives, so that a distant client can send it in time.
_LARGE_RECEIVE_BUFFER_BYTES = 262144
# The largest share of a listener's connections that are kept between two
# requests. They are not evicted, so new callers need the others.
_KEEP_ALIVE_SHARE = 0.9
_NOT_ACCEPTED = _http_request.problem_response(
    "503 Service Unavailable", "too many connections are open"
)


class _Connection(server.HTTPConnection):
    """A client connection with limits for its reads and writes."""

    RequestHandlerClass = _http_request.HttpRequest

    def __init__(
        self,
        http_server: typing.Any,
        sock: socket.socket,
        make_file: typing.Any = makefile.MakeFile,
    ) -> None:
        # The reader and the writer are replaced below.
        super().__init__(http_server, sock, lambda *_: None)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        limits = http_server.peer_limits
        self._receive_buffer_bytes = limits.receive_buffer_bytes
        self._set_buffer(socket.SO_RCVBUF, limits.receive_buffer_bytes)
        self._set_buffer(socket.SO_SNDBUF, limits.send_buffer_bytes)
        self._enlarged = False
        self._stream = _peer_stream.PeerStream(
            sock=sock,
            waits=http_server.peer_waits,
            response_seconds=limits.response_seconds,
        )
        self.rfile = _peer_stream.PeerReader(self._stream)
        self.wfile = _peer_stream.PeerWriter(self._stream)
        self._counted = True
        http_server.open_connections.add(1)

    def _set_buffer(self, option: int, size: int) -> None:
        if size:
            self.socket.setsockopt(socket.SOL_SOCKET, option, size)

    def set_read_deadline(self, seconds: float) -> None:
        """Let all further reads together take at most ``seconds`` from now."""
        self._stream.deadline = time.monotonic() + seconds

    def enlarge_receive_buffer(self) -> None:
        """Let the kernel receive more at once until the request's end."""
        if self._receive_buffer_bytes and not self._enlarged:
            self._enlarged = True
            size = max(self._receive_buffer_bytes, _LARGE_RECEIVE_BUFFER_BYTES)
            self._set_buffer(socket.SO_RCVBUF, size)

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        self._stream.begin_request()
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self._stream.end_request()
            if self._enlarged:
                self._enlarged = False
                with contextlib.suppress(OSError):
                    self._set_buffer(
                        socket.SO_RCVBUF, self._receive_buffer_bytes
                    )

    def refuse(self, response: bytes) -> None:
        """Send a response if that is possible at once, and close."""
        with contextlib.suppress(OSError):
            self.socket.send(response)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._counted:
            self._counted = False
            self.server.open_connections.add(-1)
        super().close()


class OpenRequests:
    """Counts what is open, such as requests until their response's end."""

    def __init__(self) -> None:
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Number of those that are open at present."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count one as open until the context ends."""
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
        """Wait until none is open; return false on a timeout."""
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
    open_connections: OpenRequests
    max_connections: int
    peer_limits: _peer_limits.PeerLimits
    peer_waits: _peer_stream.PeerWaits
    body_memory: _memory_budget.MemoryBudget
    gate: _gate.HeaderGate

    def process_conn(self, conn: typing.Any) -> None:
        """Queue a connection as soon as its header has arrived."""
        if self.open_connections.count > self.max_connections:
            _limit_hits.record("connections", f"{self.max_connections}")
            # One that has not sent a request yet gives way to a new one.
            if not self.gate.evict():
                conn.refuse(_NOT_ACCEPTED)
                return
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
    peer_limits: _peer_limits.PeerLimits = _peer_limits.PeerLimits()


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
        self._server.keep_alive_conn_limit = int(
            options.connections * _KEEP_ALIVE_SHARE
        )
        self._server.open_requests = OpenRequests()
        self._server.open_connections = OpenRequests()
        self._server.max_connections = options.connections
        limits = options.peer_limits.with_header_space(options.header_bytes)
        self._server.peer_limits = limits
        self._server.peer_waits = _peer_stream.PeerWaits(
            limit=max(1, int(options.threads * limits.waiting_share))
        )
        self._server.body_memory = _memory_budget.MemoryBudget(
            name="body_memory_bytes",
            limit_bytes=max(limits.body_memory_bytes, options.body_bytes),
        )
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
            _limit_hits.record("header_seconds")
            connection.refuse(
                _http_request.problem_response(
                    "408 Request Timeout", "the header took too long"
                )
            )
            return
    except OSError:
        pass
    connection.close()
