"""A client's HTTP connection with limits on the whole response.

A time-out of a socket applies to each read, so that a peer which sends a
byte at a time can keep a thread for ever, and `http.client` accepts headers
of 6.5 MB.
"""

import socket
import time
import typing

import urllib3
import urllib3.connection

from peridotsill import _limit_hits
from peridotsill import _peer_limits

# What `http.client` reads ahead of the part of a response that it parses.
_READ_AHEAD_BYTES = 8192

# By how much what arrives may extend the deadline of a response, so that
# large rows pass on a slow link: a configuration of 1,600 queues takes
# seconds at 5 Mbit/s.
_MAX_EXTENSION_SECONDS = 30.0


class BoundedSocket(socket.socket):
    """A socket whose reads share a deadline and a number of bytes.

    ``deadline`` is in monotonic seconds, ``extension_seconds`` is by how much
    received bytes may still extend it, and ``allowed_bytes`` counts down.
    """

    deadline = float("inf")
    extension_seconds = 0.0
    allowed_bytes = float("inf")

    def limit_reads(self, *, seconds: float, size: float) -> None:
        """Let all further reads take at most this time, and bytes."""
        self.deadline = time.monotonic() + seconds
        self.extension_seconds = _MAX_EXTENSION_SECONDS
        self.allowed_bytes = size

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Receive into a buffer.

        Raises:
            TimeoutError: If the deadline has passed.
            OSError: If more was received than is allowed.
        """
        if self.deadline < float("inf"):
            remaining_seconds = self.deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise TimeoutError("timed out")
            self.settimeout(min(remaining_seconds, 3600.0))
        count = super().recv_into(*args, **kwargs)
        extension = min(
            count / _peer_limits.MIN_BYTES_PER_SECOND, self.extension_seconds
        )
        self.extension_seconds -= extension
        self.deadline += extension
        self.allowed_bytes -= count
        if self.allowed_bytes < 0:
            _limit_hits.record("response_header_bytes")
            raise OSError("the response has too large a header or framing")
        return count


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection that applies its time-out to the whole response.

    ``bounded_socket`` is the socket, also after a response that ends the
    connection.
    """

    header_bytes = 65536
    bounded_socket: BoundedSocket

    def _new_conn(self) -> socket.socket:
        plain = super()._new_conn()
        self.bounded_socket = BoundedSocket(
            plain.family, plain.type, plain.proto, fileno=plain.detach()
        )
        self.bounded_socket.settimeout(self.timeout)
        return self.bounded_socket

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Read the response's header; its time counts for the body as well."""
        sock = self.bounded_socket
        seconds = self.timeout
        if not isinstance(seconds, (int, float)):
            seconds = float("inf")
        sock.limit_reads(
            seconds=seconds, size=self.header_bytes + _READ_AHEAD_BYTES
        )
        try:
            return super().getresponse()
        finally:
            sock.allowed_bytes = float("inf")

    def limit_part(self, size: int) -> None:
        """Limit what the next part of the body takes with its framing.

        `http.client` reads and drops trailers of any number within the read
        that finds the end of the body.

        Args:
            size: The most bytes that the part has without its framing.
        """
        self.bounded_socket.allowed_bytes = (
            size + self.header_bytes + _READ_AHEAD_BYTES
        )


def pool_manager(
    *, header_bytes: int, **options: typing.Any
) -> urllib3.PoolManager:
    """Return a manager of pools of such connections.

    Args:
        header_bytes: The largest header of a response.
        options: Passed on to the manager.
    """
    connection_class = type(
        "Connection", (BoundedConnection,), {"header_bytes": header_bytes}
    )
    pool_class = type(
        "ConnectionPool",
        (urllib3.HTTPConnectionPool,),
        {"ConnectionCls": connection_class},
    )
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager
