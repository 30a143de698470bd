"""A cheroot server that bounds each phase and refuses ambiguous lengths.

cheroot alone takes a half-closed short body for a whole one, accepts
conflicting lengths, and gives a slow sender a fresh timeout for every byte;
the classes here close those gaps.
"""

import collections.abc
import contextlib
import io
import queue
import re
import socket
import threading
import time
import typing

import attrs
from cheroot import errors
from cheroot import makefile
from cheroot import server
from cheroot import wsgi

from peridotsill import _codec
from peridotsill import _gate

_SINGLE_HEADERS = frozenset(
    {
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Idempotency-Key",
        b"Peridotsill-Idempotent",
        b"Peridotsill-Class",
        b"Request-Timeout",
    }
)
_WRITE_TIMEOUT_SECONDS = 60.0
# RFC 9110's token, without the underscore: WSGI can't tell it from a dash.
_HEADER_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
# RFC 9110, 5.5: what no header line may hold besides its own end.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# RFC 9112, 3: no white space or control characters within a part.
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [^\x00-\x20\x7f]+ HTTP/1\.[01]\r\n"
)
# RFC 9112, 7.1; 16 digits pass every size that a body may have.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_CRLF = b"\r\n"


class _RememberedLine:
    """Passes lines on and keeps the last one."""

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile
        self.last = b""

    def readline(self) -> bytes:
        """Return the next line."""
        self.last = bytes(self._rfile.readline())
        return self.last


class _HeaderLines:
    """Header lines as they are read, without folds and control characters.

    A folded line and one that a NUL ends mean different things to
    different readers of the same bytes.
    """

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        """Return the next line.

        Raises:
            ValueError: If no reader should guess what it means.
        """
        line = bytes(self._rfile.readline())
        if line[:1] in (b" ", b"\t"):
            raise ValueError("Folded header line.")
        if _CONTROL_CHARACTER.search(line.removesuffix(_CRLF)):
            raise ValueError("Control character in a header line.")
        return line


class _HeaderReader(server.HeaderReader):
    """Refuses repeated singletons and lengths that contradict."""

    def __init__(self) -> None:
        self._seen: set[bytes] = set()

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers = super().__call__(_HeaderLines(rfile), hdict)
        length = headers.get(b"Content-Length")
        if length is not None and not length.isdigit():
            raise ValueError("Content-Length is not a natural number.")
        encoding = headers.get(b"Transfer-Encoding")
        if encoding is not None and length is not None:
            raise ValueError("Content-Length with Transfer-Encoding.")
        if encoding is not None and encoding.lower() != b"chunked":
            raise ValueError("Unknown Transfer-Encoding.")
        return typing.cast(dict[bytes, bytes], headers)

    def _allow_header(self, key_name: bytes) -> bool:
        if not _HEADER_NAME.fullmatch(key_name):
            raise ValueError("Malformed header name.")
        if key_name in _SINGLE_HEADERS and key_name in self._seen:
            raise ValueError(f"Repeated header {key_name.decode()}.")
        self._seen.add(key_name)
        return True

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip():
            raise ValueError("White space around a header name.")
        return key_name.title()


class _ChunkedBody(server.ChunkedRFile):
    """A chunked body, read to the end of its trailer and no further.

    cheroot's own takes sizes such as ``-5`` and ``1_0`` and leaves the
    trailer to be read as the next request.
    """

    @property
    def is_at_end(self) -> bool:
        """Whether all of the body has been read, its trailer too."""
        return bool(self.closed)

    def _fetch(self) -> None:
        if self.closed:
            return
        size = self._chunk_size()
        if size == 0:
            self._skip_trailer()
            self.closed = True
            return
        self._count(size + len(_CRLF))
        chunk = self.rfile.read(size)
        if len(chunk) < size or self.rfile.read(len(_CRLF)) != _CRLF:
            raise ValueError("a chunk is not of the size that it declares")
        self.buffer += chunk

    def _chunk_size(self) -> int:
        line = self.rfile.readline()
        self._count(len(line))
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            raise ValueError("bad chunk size")
        return int(found[1], 16)

    def _skip_trailer(self) -> None:
        while True:
            line = self.rfile.readline()
            self._count(len(line))
            if line == _CRLF:
                return
            if not line.endswith(_CRLF):
                raise ValueError("the trailer broke off")

    def _count(self, size: int) -> None:
        self.bytes_read += size
        if self.maxlen and self.bytes_read > self.maxlen:
            raise errors.MaxSizeExceeded("body too large", self.maxlen)


class _HttpRequest(server.HTTPRequest):
    """A request whose header phase has one deadline for all its bytes."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Read the header within the listener's time for it."""
        self.conn.start_phase(self.server.header_seconds)
        super().parse_request()
        self.conn.start_phase(self.server.body_seconds)

    def read_request_line(self) -> bool:
        """Read the first line; refuse what cheroot would guess about."""
        source = self.rfile
        lines = _RememberedLine(source)
        self.rfile = lines
        try:
            reader = typing.cast(typing.Any, super())
            if not reader.read_request_line():
                return False
        finally:
            self.rfile = source
        if _REQUEST_LINE.fullmatch(lines.last):
            return True
        self.simple_response("400 Bad Request", "Malformed Request-Line")
        return False

    def respond(self) -> None:
        """Run the application and count the request as open meanwhile."""
        with self.server.open_requests.entered():
            if self.chunked_read:
                self._respond_to_chunked()
            else:
                super().respond()

    def _respond_to_chunked(self) -> None:
        self.rfile = _ChunkedBody(
            self.conn.rfile, self.server.max_request_body_size
        )
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self) -> None:
        """Announce the connection's end where no request may follow.

        That is so while the listener closes, and after a chunked body
        that was not read to its end: its rest is no request.
        """
        body = self.rfile
        unread = isinstance(body, _ChunkedBody) and not body.is_at_end
        if self.server.closing or unread:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that the parser refused, and close."""
        code = int(str(status)[:3])
        problem = {
            "type": "about:blank",
            "title": str(status)[4:],
            "status": code,
            "detail": msg or str(status)[4:],
            "ran": "no",
        }
        body = _codec.encode(problem)
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/problem+json"
            f"\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            return


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

    RequestHandlerClass = _HttpRequest

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
            request = _HttpRequest(connection.server, connection)
            request.simple_response(
                "408 Request Timeout", "the header took too long"
            )
    except OSError:
        pass
    connection.close()
