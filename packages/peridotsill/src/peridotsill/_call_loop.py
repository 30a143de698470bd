"""Concurrent JSON calls to many peers from one event-loop thread.

With one thread per connection, each system call hands the interpreter lock
to another thread; with a few hundred peers this switching costs more than
the calls themselves. Here one thread waits for all sockets.

```python
loop = CallLoop(on_error=print)
loop.start()
peer = JsonConnection(loop=loop, address="127.0.0.1:8080")
call = JsonCall(method="GET", path="/state", timeout_seconds=1.0)
loop.run_soon(lambda: peer.call(call, print))
```
"""

import collections
import collections.abc
import contextlib
import errno
import heapq
import itertools
import os
import selectors
import socket
import threading
import time
import typing

import attrs
import httptools
from returns import result

from peridotsill import _codec
from peridotsill import _json_http
from peridotsill import _limit_hits
from peridotsill import _response_limits
from peridotsill import exceptions

_READ_BYTES = 65536
# A response may be received in as many bytes more than its body may have,
# as the framing of small chunks takes several times their size.
_MAX_FRAMING_FACTOR = 8
# The same limit as in `JsonClient`.
_CONNECT_TIMEOUT_SECONDS = 1.0

Callback = collections.abc.Callable[[], None]
CallResult = result.Result[
    typing.Any, exceptions.PeerUnavailable | exceptions.PeerRefused
]
ResultCallback = collections.abc.Callable[[CallResult], None]


@attrs.define(kw_only=True, eq=False)
class Timer:
    """A callback scheduled for a point in time; it can be cancelled."""

    callback: Callback
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent the callback from being run."""
        self.cancelled = True


class CallLoop:
    """An event loop: a thread that runs callbacks for sockets and timers.

    All callbacks run in that thread. An exception from one of them is
    reported, and the loop goes on.

    Args:
        on_error: Called with each exception that a callback raised.
        limits: Limits on the responses to the calls.
    """

    def __init__(
        self,
        *,
        on_error: collections.abc.Callable[[Exception], None],
        limits: _response_limits.ResponseLimits | None = None,
    ) -> None:
        self._on_error = on_error
        self._limits = limits or _response_limits.ResponseLimits.for_runners()
        self._selector = selectors.DefaultSelector()
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        for wakeup_socket in (self._wakeup_receiver, self._wakeup_sender):
            wakeup_socket.setblocking(False)
        self._selector.register(
            self._wakeup_receiver, selectors.EVENT_READ, self._clear_wakeups
        )
        self._ready_callbacks: collections.deque[Callback] = (
            collections.deque()
        )
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._selecting = False
        self._stopped = threading.Event()

    @property
    def limits(self) -> _response_limits.ResponseLimits:
        """Limits on the responses to the calls."""
        return self._limits

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True, name="calls").start()

    def stop(self) -> None:
        """End the thread; calls in progress get no result."""
        self._stopped.set()
        self.run_soon(lambda: None)

    def run_soon(self, callback: Callback) -> None:
        """Queue a callback for the loop's thread; safe from any thread."""
        self._ready_callbacks.append(callback)
        if self._selecting:
            # Callbacks that follow are seen after the same wake-up.
            self._selecting = False
            # If the socket's buffer is full, the thread wakes up anyway; a
            # closed socket means that the loop has ended.
            with contextlib.suppress(BlockingIOError, OSError):
                self._wakeup_sender.send(b"\0")

    def run_later(self, seconds: float, callback: Callback) -> Timer:
        """Schedule a callback after a delay; for the loop's thread only."""
        timer = Timer(callback=callback)
        due_at = time.monotonic() + seconds
        heapq.heappush(self._timers, (due_at, next(self._sequence), timer))
        return timer

    def watch(
        self, sock: socket.socket, events: int, callback: Callback | None
    ) -> None:
        """Run ``callback`` whenever the socket is ready for ``events``.

        It replaces the socket's previous callback; None unregisters the
        socket. For the loop's thread only.
        """
        if callback is None:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
            return
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._run_due()
            # Set before the queue is checked: a callback queued from now on
            # is either seen by that check or wakes the selector up.
            self._selecting = True
            wait_seconds = (
                0.0 if self._ready_callbacks else self._seconds_to_next_timer()
            )
            ready = self._selector.select(wait_seconds)
            self._selecting = False
            for key, _ in ready:
                self._run_callback(key.data)
        self._close()

    def _close(self) -> None:
        for key in tuple(self._selector.get_map().values()):
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()
        self._selector.close()
        self._wakeup_sender.close()

    def _seconds_to_next_timer(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _run_due(self) -> None:
        for _ in range(len(self._ready_callbacks)):
            self._run_callback(self._ready_callbacks.popleft())
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                self._run_callback(timer.callback)

    def _run_callback(self, callback: Callback) -> None:
        try:
            callback()
        except Exception as error:
            self._on_error(error)

    def _clear_wakeups(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wakeup_receiver.recv(_READ_BYTES)


@attrs.frozen(kw_only=True)
class JsonCall:
    """One request with a JSON body and the time limit for its response."""

    method: str
    path: str
    timeout_seconds: float
    body: object = None
    headers: collections.abc.Mapping[str, str] = attrs.field(factory=dict)


class JsonConnection:
    """A persistent connection to a peer, for one call at a time.

    All methods are for the loop's thread only. The connection is closed
    after a call that got no complete HTTP response, and after a response
    without keep-alive; the next call opens a new one.

    Args:
        loop: The event loop that does the I/O.
        address: ``HOST:PORT`` of the peer.
    """

    def __init__(self, *, loop: CallLoop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._socket: socket.socket | None = None
        self._connecting = False
        self._unsent = b""
        self._on_result: ResultCallback | None = None
        self._timers: tuple[Timer, ...] = ()
        self._parser: httptools.HttpResponseParser | None = None
        # A small part of a body as an object of its own would take many times
        # its size.
        self._body = bytearray()
        self._body_charge = loop.limits.memory.charge()
        self._received_bytes = 0
        self._header_complete = False
        self._complete_count = 0
        self._keep_alive = False

    def call(self, call: JsonCall, on_result: ResultCallback) -> None:
        """Send one request; ``on_result`` is called once with the result.

        It may be called before this method returns, and is not called if
        `close` is called first. A failure is `PeerUnavailable` if no usable
        response came in time, or `PeerRefused` if the response's status is
        400 or above.

        Raises:
            RuntimeError: If another call is in progress.
        """
        if self._on_result is not None:
            raise RuntimeError(f"{self._address}: another call is in progress")
        self._on_result = on_result
        self._unsent = self._encode_request(call)
        timers = [self._loop.run_later(call.timeout_seconds, self._on_timeout)]
        if self._socket is None:
            timers.append(
                self._loop.run_later(
                    _CONNECT_TIMEOUT_SECONDS, self._on_connect_timeout
                )
            )
        self._timers = tuple(timers)
        if self._socket is None:
            self._connect()
        else:
            self._send()

    def close(self) -> None:
        """Close the connection; a call in progress gets no result."""
        self._on_result = None
        self._cancel_timers()
        self._disconnect()

    def _encode_request(self, call: JsonCall) -> bytes:
        body = b"" if call.body is None else _codec.encode(call.body)
        lines = [
            f"{call.method} {call.path} HTTP/1.1",
            f"Host: {self._address}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in call.headers.items()),
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._socket = sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = httptools.HttpResponseParser(self)
        self._connecting = True
        try:
            error_number = sock.connect_ex((host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            self._fail(f"connection failed: {error}", sent=False)
            return
        if error_number not in (0, errno.EINPROGRESS):
            self._fail_connect(error_number)
            return
        self._loop.watch(sock, selectors.EVENT_WRITE, self._on_connect)

    def _on_connect(self) -> None:
        if self._socket is None:
            return
        error_number = self._socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if error_number:
            self._fail_connect(error_number)
            return
        self._connecting = False
        self._loop.watch(self._socket, selectors.EVENT_READ, self._receive)
        self._send()

    def _send(self) -> None:
        if self._socket is None:
            return
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self._fail(f"send failed: {error}")
            return
        self._unsent = self._unsent[count:]
        if self._unsent:
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._loop.watch(self._socket, events, self._send_and_receive)

    def _send_and_receive(self) -> None:
        """Send more of the request, and read what has arrived meanwhile."""
        self._send()
        if self._socket is None:
            return
        if not self._unsent:
            self._loop.watch(self._socket, selectors.EVENT_READ, self._receive)
        self._receive()

    def _receive(self) -> None:
        if self._socket is None or self._parser is None:
            return
        try:
            content = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(f"receive failed: {error}")
            return
        if not content:
            self._fail(
                "connection closed by the peer before the end of the response"
            )
            return
        try:
            self._check_received(len(content))
            self._parser.feed_data(content)
        except ValueError as error:
            self._fail(str(error))
            return
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error!r}")
            return
        if self._complete_count:
            self._deliver_result(self._parser)

    def _check_received(self, size: int) -> None:
        """Check the size of a response's header, and of its framing."""
        limits = self._loop.limits
        self._received_bytes += size
        limit = limits.header_bytes + _READ_BYTES
        if self._header_complete:
            limit += limits.body_bytes * _MAX_FRAMING_FACTOR
        if self._received_bytes > limit:
            _limit_hits.record("response_header_bytes", self._address)
            raise ValueError("the response has too large a header or framing")

    # Callbacks of httptools. It turns an exception raised in one of them
    # into its own `HttpParserCallbackError`.

    def on_headers_complete(self) -> None:
        """Record that the rest is the response's body."""
        self._header_complete = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the response's body."""
        if len(self._body) + len(body) > self._loop.limits.body_bytes:
            _limit_hits.record("runner_response_bytes", self._address)
            raise ValueError("the response body is too large")
        self._body_charge.add(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Count a complete response; record whether the connection stays open.

        The parser knows only at this point whether the peer keeps it open.
        """
        self._complete_count += 1
        parser = self._parser
        self._keep_alive = parser is not None and parser.should_keep_alive()

    def _deliver_result(self, parser: httptools.HttpResponseParser) -> None:
        if self._complete_count > 1 or self._unsent:
            self._fail(
                "more than one response, or one before the request was sent"
            )
            return
        content = bytes(self._body)
        on_result, self._on_result = self._on_result, None
        self._reset_response()
        self._cancel_timers()
        if not self._keep_alive or on_result is None:
            self._disconnect()
        if on_result is not None:
            on_result(self._parse_result(parser.get_status_code(), content))

    def _parse_result(self, status: int, content: bytes) -> CallResult:
        try:
            return result.Success(_json_http.decode_response(status, content))
        except (
            exceptions.PeerRefused,
            exceptions.PeerUnavailable,
        ) as error:
            return result.Failure(error)

    # Calls that end without a response.

    def _on_timeout(self) -> None:
        self._fail(
            "no response within the time limit", sent=not self._connecting
        )

    def _on_connect_timeout(self) -> None:
        if self._connecting:
            self._fail(
                "connection not established within the time limit", sent=False
            )

    def _fail_connect(self, error_number: int) -> None:
        self._fail(
            f"connection failed: {os.strerror(error_number)}",
            sent=False,
            refused=error_number == errno.ECONNREFUSED,
        )

    def _fail(
        self, reason: str, *, sent: bool = True, refused: bool = False
    ) -> None:
        on_result, self._on_result = self._on_result, None
        self._cancel_timers()
        self._disconnect()
        if on_result is not None:
            error = exceptions.PeerUnavailable(
                f"{self._address}: {reason}", sent=sent, refused=refused
            )
            on_result(result.Failure(error))

    def _reset_response(self) -> None:
        self._body = bytearray()
        self._body_charge.release()
        self._received_bytes = self._complete_count = 0
        self._header_complete = False

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = ()

    def _disconnect(self) -> None:
        sock, self._socket = self._socket, None
        self._parser = None
        self._connecting = False
        self._unsent = b""
        self._reset_response()
        if sock is not None:
            self._loop.watch(sock, 0, None)
            sock.close()
