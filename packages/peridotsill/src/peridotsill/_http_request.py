"""Strict parsing of requests, against request smuggling.

Requests that two HTTP parsers may interpret differently are refused.
cheroot alone accepts conflicting lengths, folded header lines, malformed
chunk sizes and malformed request lines, and reads the unread rest of a
chunked body as the next request. The classes here prevent that.
"""

import contextlib
import re
import typing

from cheroot import server

from peridotsill import _bodies
from peridotsill import _codec
from peridotsill import _limit_hits
from peridotsill import _memory_budget
from peridotsill import exceptions

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
_CRLF = b"\r\n"
# Of the request line, and of all header lines.
_HEADER_TOO_LARGE = (414, 413)


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


class HttpRequest(server.HTTPRequest):
    """A request with one time limit for its header and one for its body."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = _HeaderReader()
        self._application_ran = False

    def parse_request(self) -> None:
        """Read the header within its limit, then start the body's limit."""
        self.conn.set_read_deadline(self.server.header_seconds)
        try:
            super().parse_request()
        except exceptions.TooManySlowClients as error:
            self.simple_response("503 Service Unavailable", str(error))
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
        charge = self.server.body_memory.charge()
        with self.server.open_requests.track():
            try:
                if self._open_body(charge):
                    self._run_application()
            finally:
                charge.release()

    def _open_body(self, charge: _memory_budget.MemoryCharge) -> bool:
        """Prepare the body's reader; return false if it is refused."""
        limit = self.server.max_request_body_size
        limits = self.server.peer_limits
        if self.chunked_read:
            self.conn.enlarge_receive_buffer()
            self.rfile = _bodies.ChunkedBody(
                self.conn.rfile,
                limit,
                line_bytes=limits.line_bytes,
                trailer_bytes=limits.trailer_bytes,
                charge=charge,
            )
            return True
        length = int(self.inheaders.get(b"Content-Length", 0))
        if limit and length > limit:
            _limit_hits.record("body_bytes", f"{limit} bytes")
            self.simple_response(
                "413 Request Entity Too Large",
                "The entity sent with the request exceeds the maximum allowed"
                " bytes.",
            )
            return False
        if length > limits.receive_buffer_bytes:
            self.conn.enlarge_receive_buffer()
        self.rfile = _bodies.KnownLengthBody(
            self.conn.rfile, length, charge=charge
        )
        return True

    def _run_application(self) -> None:
        self._application_ran = True
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self) -> None:
        """Send ``Connection: close`` if no further request may follow.

        That is so after `Listener.disable_keep_alive`, and after a body that
        was not read to its end: the rest must not be parsed as a request.
        """
        if self.server.closing or not self._is_body_at_end():
            self.close_connection = True
        super().send_headers()

    def _is_body_at_end(self) -> bool:
        """Return whether the body is read; discard one that was not begun.

        One that the application began to read has failed.
        """
        body = self.rfile
        if isinstance(body, _bodies.ChunkedBody):
            return body.is_at_end
        if not body.is_at_end and not body.begun:
            with contextlib.suppress(OSError):
                body.discard()
        return bool(body.is_at_end)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a problem in place of the application's response, and close.

        cheroot calls this method as well, for requests that it refuses or
        that fail with an exception.
        """
        if int(str(status)[:3]) in _HEADER_TOO_LARGE and not self.ready:
            _limit_hits.record("header_bytes")
        self.close_connection = True
        ran = "unknown" if self._application_ran else "no"
        try:
            self.conn.wfile.write(problem_response(status, msg, ran))
        except OSError:
            return


def problem_response(status: str, detail: str = "", ran: str = "no") -> bytes:
    """Return a response with a problem document that ends the connection.

    Args:
        status: Code and phrase, such as ``408 Request Timeout``.
        detail: What is wrong; the phrase if it is empty.
        ran: Whether the request may have run: ``no`` or ``unknown``.
    """
    code, _, title = str(status).partition(" ")
    problem = {
        "type": "about:blank",
        "title": title,
        "status": int(code),
        "detail": detail or title,
        "ran": ran,
    }
    body = _codec.encode(problem)
    retry = "Retry-After: 1\r\n" if code == "503" else ""
    header = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/problem+json\r\n"
        f"Content-Length: {len(body)}\r\n{retry}Connection: close\r\n\r\n"
    )
    return header.encode("latin-1") + body
