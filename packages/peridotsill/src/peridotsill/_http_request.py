"""Strict parsing of requests, against request smuggling.

Requests that two HTTP parsers may interpret differently are refused.
cheroot alone accepts conflicting lengths, folded header lines, malformed
chunk sizes and malformed request lines, and reads the unread rest of a
chunked body as the next request. The classes here prevent that.
"""

import re
import typing

from cheroot import errors
from cheroot import server

from peridotsill import _codec

_SINGLETON_HEADERS = frozenset(
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
# RFC 9110's token without the underscore: in WSGI's variable names it
# can't be told from a dash.
_HEADER_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
# RFC 9110, 5.5: characters not allowed in a header line before its end.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# RFC 9112, 3: no white space or control characters within a component.
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [^\x00-\x20\x7f]+ HTTP/1\.[01]\r\n"
)
# RFC 9112, 7.1; 16 digits are enough for every size that a body may have.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_CRLF = b"\r\n"


class _LineRecorder:
    """Reads lines from another reader and records the last one."""

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile
        self.last = b""

    def readline(self) -> bytes:
        """Return the next line."""
        self.last = bytes(self._rfile.readline())
        return self.last


class _StrictHeaderLines:
    """Reads header lines and refuses folded ones and control characters.

    HTTP parsers disagree on what a folded line means, and on whether a NUL
    ends a line.
    """

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        """Return the next line.

        Raises:
            ValueError: If the line is folded or holds a control character.
        """
        line = bytes(self._rfile.readline())
        if line[:1] in (b" ", b"\t"):
            raise ValueError("Folded header line.")
        if _CONTROL_CHARACTER.search(line.removesuffix(_CRLF)):
            raise ValueError("Control character in a header line.")
        return line


class _HeaderReader(server.HeaderReader):
    """Refuses repeated singleton headers and conflicting body lengths."""

    def __init__(self) -> None:
        self._seen: set[bytes] = set()

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers = super().__call__(_StrictHeaderLines(rfile), hdict)
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
        if key_name in _SINGLETON_HEADERS and key_name in self._seen:
            raise ValueError(f"Repeated header {key_name.decode()}.")
        self._seen.add(key_name)
        return True

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip():
            raise ValueError("White space around a header name.")
        return key_name.title()


class _ChunkedBody(server.ChunkedRFile):
    """Reads a chunked body exactly to the end of its trailer.

    cheroot's own reader accepts chunk sizes such as ``-5`` and ``1_0``, and
    leaves the trailer unread, to be parsed as the next request.
    """

    @property
    def is_at_end(self) -> bool:
        """Whether the whole body has been read, including its trailer."""
        return bool(self.closed)

    def _fetch(self) -> None:
        if self.closed:
            return
        size = self._read_chunk_size()
        if size == 0:
            self._skip_trailer()
            self.closed = True
            return
        self._add_bytes_read(size + len(_CRLF))
        chunk = self.rfile.read(size)
        if len(chunk) < size or self.rfile.read(len(_CRLF)) != _CRLF:
            raise ValueError("a chunk is not of the size that it declares")
        self.buffer += chunk

    def _read_chunk_size(self) -> int:
        line = self.rfile.readline()
        self._add_bytes_read(len(line))
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise ValueError("bad chunk size")
        return int(match[1], 16)

    def _skip_trailer(self) -> None:
        while True:
            line = self.rfile.readline()
            self._add_bytes_read(len(line))
            if line == _CRLF:
                return
            if not line.endswith(_CRLF):
                raise ValueError("the trailer broke off")

    def _add_bytes_read(self, size: int) -> None:
        self.bytes_read += size
        if self.maxlen and self.bytes_read > self.maxlen:
            raise errors.MaxSizeExceeded("body too large", self.maxlen)


class HttpRequest(server.HTTPRequest):
    """A request with one time limit for its header and one for its body."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Read the header within its limit, then start the body's limit."""
        self.conn.set_read_deadline(self.server.header_seconds)
        super().parse_request()
        self.conn.set_read_deadline(self.server.body_seconds)

    def read_request_line(self) -> bool:
        """Read the request line; refuse malformed ones cheroot lets pass."""
        original_reader = self.rfile
        recorder = _LineRecorder(original_reader)
        self.rfile = recorder
        try:
            reader = typing.cast(typing.Any, super())
            if not reader.read_request_line():
                return False
        finally:
            self.rfile = original_reader
        if _REQUEST_LINE.fullmatch(recorder.last):
            return True
        self.simple_response("400 Bad Request", "Malformed Request-Line")
        return False

    def respond(self) -> None:
        """Run the application and send the response.

        The request counts as open until this method returns.
        """
        with self.server.open_requests.track():
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
        """Send ``Connection: close`` if no further request may follow.

        That is so after `Listener.disable_keep_alive`, and after a chunked
        body that was not read to its end: the rest must not be parsed as a
        request.
        """
        body = self.rfile
        unread = isinstance(body, _ChunkedBody) and not body.is_at_end
        if self.server.closing or unread:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a problem in place of the application's response, and close.

        cheroot calls this method as well, for requests that it refuses or
        that fail with an exception.
        """
        status_code = int(str(status)[:3])
        problem = {
            "type": "about:blank",
            "title": str(status)[4:],
            "status": status_code,
            "detail": msg or str(status)[4:],
            "ran": "no",
        }
        body = _codec.encode(problem)
        header = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/problem+json"
            f"\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(header.encode("latin-1") + body)
        except OSError:
            return
