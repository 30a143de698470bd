"""Persistent HTTP connections to one peer, for calls that block a thread.

They do what a general HTTP client does with far fewer steps and system
calls. After each system call a thread waits for the interpreter again.
"""

import collections
import contextlib
import select
import socket
import time

import httptools

_RECEIVE_BYTES = 65536
_CONNECT_TIMEOUT_SECONDS = 1.0


class NotSent(Exception):
    """No connection could be established; nothing was sent."""


class _Response:
    """Parses one response; the methods are callbacks of httptools."""

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._body: list[bytes] = []
        self._lasts_until_close = True
        self._headers_complete = False
        self.status = 0
        self.complete = False
        self.keep_alive = False

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._body)

    @property
    def may_end_by_close(self) -> bool:
        """Whether the end of the connection ends the body."""
        return self._headers_complete and self._lasts_until_close

    def feed(self, content: bytes) -> None:
        """Parse what was received."""
        if self._parser is None:
            raise ValueError("the response is complete")
        self._parser.feed_data(content)
        if self.complete:
            # It refers to this object and its body.
            self._parser = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Look for the headers that tell where the body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._lasts_until_close = False

    def on_headers_complete(self) -> None:
        """Note the status, and that the body follows."""
        self._headers_complete = True
        if self._parser is not None:
            self.status = int(self._parser.get_status_code())

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end; the parser knows now whether the peer goes on."""
        if self.complete:
            raise ValueError("more than one response")
        self.complete = True
        if self._parser is not None:
            self.keep_alive = self._parser.should_keep_alive()


class _Connection:
    """A connection for one call at a time, until a deadline each."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    @property
    def usable(self) -> bool:
        """Whether the peer has neither closed it nor sent anything."""
        return not self._poll.poll(0)

    def exchange(self, request: bytes, deadline: float) -> _Response:
        """Send a request and return the complete response.

        Raises:
            OSError: If the connection breaks, or the deadline passes.
            ValueError: If what comes is no response.
        """
        self._send(request, deadline)
        response = _Response()
        while not response.complete:
            self._wait(select.POLLIN, deadline)
            content = self._socket.recv(_RECEIVE_BYTES)
            if not content:
                if response.may_end_by_close:
                    break
                raise ConnectionResetError("closed before the response's end")
            try:
                response.feed(content)
            except httptools.HttpParserError as error:
                raise ValueError(f"no HTTP response: {error!r}") from error
        return response

    def _send(self, request: bytes, deadline: float) -> None:
        unsent = memoryview(request)
        while unsent:
            try:
                count = self._socket.send(unsent)
            except BlockingIOError:
                self._wait(select.POLLOUT, deadline)
            else:
                unsent = unsent[count:]

    def _wait(self, events: int, deadline: float) -> None:
        """Wait until the socket is ready, or broken."""
        self._poll.modify(self._socket, events)
        try:
            remaining = max(0.0, deadline - time.monotonic())
            if not self._poll.poll(remaining * 1000.0):
                raise TimeoutError("no complete response in time")
        finally:
            if events != select.POLLIN:
                self._poll.modify(self._socket, select.POLLIN)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class ConnectionPool:
    """The connections to one peer; its methods are safe from any thread.

    After a call that failed, all connections that were open then are closed
    as they become idle: they may be broken as well.

    Args:
        host: Name or address of the peer.
        port: Port of the peer.
        socket_options: Arguments of ``setsockopt`` for each connection.
        max_idle: Most connections that are kept open between calls.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        socket_options: list[tuple[int, int, int]],
        max_idle: int,
    ) -> None:
        self._address = (host, port)
        self._socket_options = socket_options
        self._max_idle = max_idle
        self._idle: collections.deque[_Connection] = collections.deque()

    def exchange(self, request: bytes, seconds: float) -> tuple[int, bytes]:
        """Send a request; return the response's status and body.

        Raises:
            NotSent: If no connection could be established; its cause is a
                `ConnectionRefusedError` if the peer refused it.
            OSError, ValueError: If no complete response came in time.
        """
        deadline = time.monotonic() + seconds
        idle = self._idle
        connection = self._take(idle)
        try:
            if connection is None:
                connection = self._connect(seconds)
            response = connection.exchange(request, deadline)
        except Exception:
            if connection is not None:
                connection.close()
            # Another thread's failed call may have replaced them already.
            if self._idle is idle:
                self.clear()
            raise
        if (
            response.keep_alive
            and self._idle is idle
            and len(idle) < self._max_idle
        ):
            idle.append(connection)
        else:
            connection.close()
        return response.status, response.body

    def clear(self) -> None:
        """Close the idle connections, and the others after their calls."""
        idle, self._idle = self._idle, collections.deque()
        with contextlib.suppress(IndexError):
            while True:
                idle.pop().close()

    def _take(
        self, idle: collections.deque[_Connection]
    ) -> _Connection | None:
        """Return a usable idle connection, the one used last if possible."""
        while True:
            try:
                connection = idle.pop()
            except IndexError:
                return None
            if connection.usable:
                return connection
            connection.close()

    def _connect(self, seconds: float) -> _Connection:
        try:
            sock = socket.create_connection(
                self._address, min(_CONNECT_TIMEOUT_SECONDS, seconds)
            )
        except OSError as error:
            raise NotSent(str(error)) from error
        for option in self._socket_options:
            sock.setsockopt(*option)
        sock.setblocking(False)
        return _Connection(sock)
