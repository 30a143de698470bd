"""Reads from and writes to a client's socket within limits of time.

A worker thread may wait for a client, but not all threads of a listener may:
`PeerWaits` limits how many wait at once for longer than a moment. The moment
is counted over a whole request, as a client may send a byte at a time.
"""

import io
import select
import socket
import threading
import time
import typing

from cheroot import makefile

from peridotsill import _limit_hits
from peridotsill import _peer_limits
from peridotsill import exceptions

# How long a request may keep a thread waiting in all before it needs one of
# the limited places. Parts of an ordinary request arrive within a round trip.
_GRACE_SECONDS = 0.2
_READ_BYTES = 65536


class PeerWaits:
    """Counts the threads of a listener that wait for slow clients.

    Args:
        limit: How many may wait at once; at least 1.
    """

    def __init__(self, *, limit: int) -> None:
        self._places = threading.BoundedSemaphore(limit)

    def acquire(self) -> bool:
        """Take a place; return false if none is free."""
        return self._places.acquire(blocking=False)

    def release(self) -> None:
        """Give a place back."""
        self._places.release()


class PeerStream(io.RawIOBase):
    """A raw stream on a non-blocking socket.

    Reads share one deadline, and so do the waits for the client to read.

    Args:
        sock: The socket; it is made non-blocking.
        waits: Limits the threads that wait.
        response_seconds: How long a client may keep a response waiting.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        waits: PeerWaits,
        response_seconds: float,
    ) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._waits = waits
        self._response_seconds = response_seconds
        self._has_place = False
        self._waited_seconds = 0.0
        self._write_wait_seconds = 0.0
        self._written_bytes = 0
        self.deadline = float("inf")

    def begin_request(self) -> None:
        """Forget the waits of the request before."""
        self.end_request()
        self._waited_seconds = self._write_wait_seconds = 0.0
        self._written_bytes = 0

    def end_request(self) -> None:
        """Give back the place among the threads that wait, if one is held."""
        if self._has_place:
            self._has_place = False
            self._waits.release()

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        while True:
            if self.deadline <= time.monotonic():
                raise TimeoutError("timed out")
            try:
                return self._sock.recv_into(buffer)
            except BlockingIOError:
                self._wait(select.POLLIN, self.deadline)

    def send_all(self, data: typing.Any) -> None:
        """Send ``data``.

        Raises:
            OSError: If the connection is broken or the client reads too
                slowly.
        """
        view = memoryview(data)
        while view:
            try:
                sent = self._sock.send(view)
            except BlockingIOError:
                self._wait_for_reader()
                continue
            self._written_bytes += sent
            view = view[sent:]

    def _wait_for_reader(self) -> None:
        allowed_seconds = (
            self._response_seconds
            + self._written_bytes / _peer_limits.MIN_BYTES_PER_SECOND
        )
        remaining_seconds = allowed_seconds - self._write_wait_seconds
        if remaining_seconds <= 0:
            _limit_hits.record("response_seconds", f"{allowed_seconds:.0f} s")
            raise TimeoutError("the client reads too slowly")
        began_at = time.monotonic()
        self._wait(select.POLLOUT, began_at + remaining_seconds)
        self._write_wait_seconds += time.monotonic() - began_at

    def _wait(self, events: int, deadline: float) -> None:
        """Wait for an event, for the rest of the grace or until a deadline."""
        if not self._has_place and self._waited_seconds >= _GRACE_SECONDS:
            self._has_place = self._waits.acquire()
            if not self._has_place:
                _limit_hits.record("waiting_share")
                raise exceptions.TooManySlowClients(
                    "too many clients are slow at the moment"
                )
        began_at = time.monotonic()
        seconds = deadline - began_at
        if not self._has_place:
            seconds = min(seconds, _GRACE_SECONDS - self._waited_seconds)
        poll = select.poll()
        poll.register(self._sock, events)
        poll.poll(max(0.0, min(seconds, 3600.0)) * 1000.0 + 1.0)
        self._waited_seconds += time.monotonic() - began_at


class PeerReader(makefile.StreamReader):
    """cheroot's buffered reader on top of a `PeerStream`."""

    # Of Python's own reader in `_pyio`, which cheroot's is derived from.
    _read_buf: bytes
    _read_pos: int

    def __init__(self, stream: PeerStream) -> None:
        # Skips cheroot's constructor, which creates its own raw reader.
        super(makefile.StreamReader, self).__init__(
            typing.cast(typing.Any, stream), io.DEFAULT_BUFFER_SIZE
        )
        self.bytes_read = 0

    def read_some(self, size: int) -> bytes:
        """Return 1 to ``size`` bytes, or b"" at the end of the stream.

        At most 64 KiB are returned, as soon as any have arrived.
        """
        # As in `read1`, whose lock is not needed here.
        position = self._read_pos
        part: bytes = self._read_buf[position : position + size]
        if part:
            self._read_pos = position + len(part)
            return part
        return bytes(self.raw.read(min(size, _READ_BYTES)) or b"")


class PeerWriter:
    """cheroot's writer on top of a `PeerStream`; it keeps no buffer."""

    def __init__(self, stream: PeerStream) -> None:
        self._stream = stream
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send ``data``.

        Raises:
            OSError: If the connection is broken or the client reads too
                slowly.
        """
        self._stream.send_all(data)
        self.bytes_written += len(data)
        return len(data)
