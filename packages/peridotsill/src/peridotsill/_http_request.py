"""Requests as a listener takes them: nothing that two readers read apart.

cheroot alone takes conflicting lengths, folded lines, odd chunk sizes and
odd request lines, and reads what is left of a chunked body as the next
request; the classes here close those gaps.
"""

import re
import typing

from cheroot import errors
from cheroot import server

from peridotsill import _codec

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


class HttpRequest(server.HTTPRequest):
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
