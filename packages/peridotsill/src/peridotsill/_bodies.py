"""Reads request bodies within limits of size and memory."""

import re
import typing

from cheroot import errors
from cheroot import server

from peridotsill import _limit_hits
from peridotsill import _memory_budget

# RFC 9112, 7.1; 16 digits are enough for every size that a body may have.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_CRLF = b"\r\n"
_DISCARD_BYTES = 16384
# The first part of a body of up to this size is not charged: all threads
# together hold little of these.
_SMALL_BYTES = 16384


def _read_into(
    target: bytearray,
    rfile: typing.Any,
    size: int,
    charge: _memory_budget.MemoryCharge,
) -> None:
    """Append up to ``size`` bytes of a reader; fewer at the stream's end.

    The parts are copied into one buffer as they arrive: an object for each
    would take many times the size of a small part.
    """
    remaining = size
    while remaining:
        part = rfile.read_some(remaining)
        if not part:
            return
        charge.add(len(part))
        target += part
        remaining -= len(part)


def _read_line(rfile: typing.Any, limit: int) -> bytes:
    line = bytes(rfile.readline(limit + 1))
    if len(line) > limit:
        _limit_hits.record("line_bytes", f"{limit} bytes")
        raise ValueError("a line of the body's framing is too long")
    return line


class KnownLengthBody(server.KnownLengthRFile):
    """A body with a ``Content-Length``.

    Args:
        rfile: The connection's reader.
        length: The declared length.
        charge: What the body holds of the memory for bodies.
    """

    def __init__(
        self,
        rfile: typing.Any,
        length: int,
        *,
        charge: _memory_budget.MemoryCharge,
    ) -> None:
        super().__init__(rfile, length)
        self._charge = charge
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the application has begun to read the body."""
        return self._begun

    @property
    def is_at_end(self) -> bool:
        """Whether the whole body has been read."""
        return bool(self.remaining == 0)

    def read(self, size: int | None = None) -> bytes:
        """Return the next bytes of the body, all of them without a size.

        Raises:
            MemoryBudgetExceeded: If there is no memory for them.
        """
        wanted = self.remaining
        if size is not None and size >= 0:
            wanted = min(size, wanted)
        self._begun = True
        content = bytearray()
        if 0 < wanted <= _SMALL_BYTES:
            # Usually all of it has arrived.
            part = bytes(self.rfile.read_some(wanted))
            self.remaining -= len(part)
            if len(part) == wanted or not part:
                return part
            content += part
        before = len(content)
        wanted -= before
        try:
            _read_into(content, self.rfile, wanted, self._charge)
        finally:
            self.remaining -= len(content) - before
        return bytes(content)

    def discard(self) -> None:
        """Read the rest of the body and drop it."""
        while self.remaining:
            part = self.rfile.read_some(min(self.remaining, _DISCARD_BYTES))
            if not part:
                return
            self.remaining -= len(part)


class ChunkedBody(server.ChunkedRFile):
    """Reads a chunked body exactly to the end of its trailer.

    cheroot's own reader accepts chunk sizes such as ``-5`` and ``1_0``, and
    leaves the trailer unread, to be parsed as the next request.

    Args:
        rfile: The connection's reader.
        maxlen: The largest size with all framing; 0 for no limit.
        line_bytes: The longest line before a chunk or in the trailer.
        trailer_bytes: The largest trailer.
        charge: What the body holds of the memory for bodies.
    """

    def __init__(
        self,
        rfile: typing.Any,
        maxlen: int,
        *,
        line_bytes: int,
        trailer_bytes: int,
        charge: _memory_budget.MemoryCharge,
    ) -> None:
        super().__init__(rfile, maxlen)
        self._line_bytes = line_bytes
        self._trailer_bytes = trailer_bytes
        self._charge = charge

    @property
    def is_at_end(self) -> bool:
        """Whether the whole body has been read, including its trailer."""
        return bool(self.closed)

    def read(self, size: int | None = None) -> bytes:
        """Return the next bytes of the body, all of them without a size.

        Raises:
            MaxSizeExceeded: If the body is too large.
            MemoryBudgetExceeded: If there is no memory for it.
            ValueError: If the framing is malformed.
        """
        if size:
            return bytes(super().read(size))
        content = bytearray(self.buffer)
        self.buffer = b""
        while self._read_chunk(content):
            pass
        return bytes(content)

    def _fetch(self) -> None:
        chunk = bytearray()
        self._read_chunk(chunk)
        self.buffer += bytes(chunk)

    def _read_chunk(self, target: bytearray) -> bool:
        """Append the next chunk; return false at the end of the body."""
        if self.closed:
            return False
        size = self._read_chunk_size()
        if size == 0:
            self._skip_trailer()
            self.closed = True
            return False
        self._add_bytes_read(size + len(_CRLF))
        length = len(target)
        _read_into(target, self.rfile, size, self._charge)
        complete = len(target) - length == size
        if not complete or self.rfile.read(len(_CRLF)) != _CRLF:
            raise ValueError("a chunk is not of the size that it declares")
        return True

    def _read_chunk_size(self) -> int:
        line = _read_line(self.rfile, self._line_bytes)
        self._add_bytes_read(len(line))
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise ValueError("bad chunk size")
        return int(match[1], 16)

    def _skip_trailer(self) -> None:
        remaining = self._trailer_bytes
        while True:
            line = _read_line(self.rfile, self._line_bytes)
            self._add_bytes_read(len(line))
            if line == _CRLF:
                return
            if not line.endswith(_CRLF):
                raise ValueError("the trailer broke off")
            remaining -= len(line)
            if remaining < 0:
                _limit_hits.record("trailer_bytes")
                raise errors.MaxSizeExceeded("trailer too large")

    def _add_bytes_read(self, size: int) -> None:
        self.bytes_read += size
        if self.maxlen and self.bytes_read > self.maxlen:
            _limit_hits.record("body_bytes", f"{self.maxlen} bytes")
            raise errors.MaxSizeExceeded("body too large", self.maxlen)
