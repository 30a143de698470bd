"""JSON calls to many peers at a time, from one thread.

With a thread for each connection, every system call of every call hands the
interpreter over to another thread; with some hundred peers that costs more
than the calls. Here one thread waits for all of them.

```python
loop = CallLoop(failed=print)
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
from peridotsill import exceptions

_READ_BYTES = 65536
# An answer above this size is taken for a fault of the peer.
_MOST_BODY_BYTES = 8 << 20
# Time for a connection to open, as in `JsonClient`.
_CONNECT_SECONDS = 1.0

Step = collections.abc.Callable[[], None]
CallResult = result.Result[
    typing.Any, exceptions.PeerUnavailable | exceptions.PeerRefused
]
Done = collections.abc.Callable[[CallResult], None]


@attrs.define(kw_only=True, eq=False)
class Timer:
    """A step that is due at a time, unless it is cancelled before."""

    step: Step
    cancelled: bool = False

    def cancel(self) -> None:
        """Don't run the step."""
        self.cancelled = True


class CallLoop:
    """A thread that runs steps when sockets or times are ready.

    Every step is run in that thread. One that raises ends nothing but
    itself.

    Args:
        failed: Is told of each error that a step raised.
    """

    def __init__(
        self, *, failed: collections.abc.Callable[[Exception], None]
    ) -> None:
        self._failed = failed
        self._selector = selectors.DefaultSelector()
        self._awake, self._waker = socket.socketpair()
        for each in (self._awake, self._waker):
            each.setblocking(False)
        self._selector.register(self._awake, selectors.EVENT_READ, self._drain)
        self._soon: collections.deque[Step] = collections.deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()
        self._sleeping = False
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True, name="calls").start()

    def stop(self) -> None:
        """End the thread; calls under way get no result."""
        self._stopped.set()
        self.run_soon(lambda: None)

    def run_soon(self, step: Step) -> None:
        """Have a step run in the loop's thread; any thread may call this."""
        self._soon.append(step)
        if self._sleeping:
            # A full buffer will wake the thread as well.
            with contextlib.suppress(BlockingIOError, OSError):
                self._waker.send(b"\0")

    def later(self, seconds: float, step: Step) -> Timer:
        """Have a step run after a time; for the loop's thread only."""
        timer = Timer(step=step)
        at = time.monotonic() + seconds
        heapq.heappush(self._timers, (at, next(self._numbers), timer))
        return timer

    def watch(
        self, sock: socket.socket, events: int, step: Step | None
    ) -> None:
        """Run a step whenever a socket is ready; None ends that."""
        if step is None:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
            return
        try:
            self._selector.modify(sock, events, step)
        except KeyError:
            self._selector.register(sock, events, step)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._run_due()
            self._sleeping = True
            wait = 0.0 if self._soon else self._seconds_left()
            ready = self._selector.select(wait)
            self._sleeping = False
            for key, _ in ready:
                self._guard(key.data)
        self._close()

    def _close(self) -> None:
        for key in tuple(self._selector.get_map().values()):
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()
        self._selector.close()
        self._waker.close()

    def _seconds_left(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _run_due(self) -> None:
        for _ in range(len(self._soon)):
            self._guard(self._soon.popleft())
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                self._guard(timer.step)

    def _guard(self, step: Step) -> None:
        try:
            step()
        except Exception as error:
            self._failed(error)

    def _drain(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._awake.recv(_READ_BYTES)


@attrs.frozen(kw_only=True)
class JsonCall:
    """One request with a JSON body, and how long its answer may take."""

    method: str
    path: str
    timeout_seconds: float
    body: object = None
    headers: collections.abc.Mapping[str, str] = attrs.field(factory=dict)


class JsonConnection:
    """One kept connection to a peer, for one call at a time.

    All methods are for the loop's thread. A call that fails closes the
    connection, and the next one opens another.

    Args:
        loop: Runs the calls.
        address: ``HOST:PORT`` of the peer.
    """

    def __init__(self, *, loop: CallLoop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._socket: socket.socket | None = None
        self._connecting = False
        self._unsent = b""
        self._done: Done | None = None
        self._timers: tuple[Timer, ...] = ()
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._complete = 0
        self._kept = False

    def call(self, call: JsonCall, done: Done) -> None:
        """Send one request; ``done`` gets its result once.

        A failure is `PeerUnavailable` if no whole answer came in time, or
        `PeerRefused` if the answer's status is 400 or above.
        """
        if self._done is not None:
            raise RuntimeError(f"{self._address}: a call is under way")
        self._done = done
        self._unsent = self._request(call)
        timers = [self._loop.later(call.timeout_seconds, self._expire)]
        if self._socket is None:
            timers.append(self._loop.later(_CONNECT_SECONDS, self._give_up))
        self._timers = tuple(timers)
        if self._socket is None:
            self._connect()
        else:
            self._send()

    def close(self) -> None:
        """Close the connection; a call under way gets no result."""
        self._done = None
        self._cancel_timers()
        self._disconnect()

    def _request(self, call: JsonCall) -> bytes:
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
            error = sock.connect_ex((host, int(port)))
        except (OSError, ValueError, OverflowError) as failure:
            self._fail(f"not connected: {failure}", sent=False)
            return
        if error not in (0, errno.EINPROGRESS):
            self._fail(f"not connected: {os.strerror(error)}", sent=False)
            return
        self._loop.watch(sock, selectors.EVENT_WRITE, self._opened)

    def _opened(self) -> None:
        if self._socket is None:
            return
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(f"not connected: {os.strerror(error)}", sent=False)
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
            self._fail(f"not sent: {error}")
            return
        self._unsent = self._unsent[count:]
        if self._unsent:
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._loop.watch(self._socket, events, self._exchange)

    def _exchange(self) -> None:
        """Send the rest of a request, and read what has come meanwhile."""
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
            self._fail(f"broken: {error}")
            return
        if not content:
            self._fail("closed by the peer")
            return
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error!r}")
            return
        if self._complete:
            self._hand_over(self._parser)

    # Called by the parser, which hides what these raise.

    def on_body(self, body: bytes) -> None:
        """Keep a part of the answer's body."""
        self._body_bytes += len(body)
        if self._body_bytes > _MOST_BODY_BYTES:
            raise ValueError("the answer is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole, and what becomes of the connection.

        The parser can tell only now whether the peer keeps it open.
        """
        self._complete += 1
        parser = self._parser
        self._kept = parser is not None and parser.should_keep_alive()

    def _hand_over(self, parser: httptools.HttpResponseParser) -> None:
        if self._complete > 1 or self._unsent:
            self._fail("more answers than calls")
            return
        content = b"".join(self._body)
        done, self._done = self._done, None
        self._body, self._body_bytes, self._complete = [], 0, 0
        self._cancel_timers()
        if not self._kept or done is None:
            self._disconnect()
        if done is not None:
            done(self._outcome(parser.get_status_code(), content))

    def _outcome(self, status: int, content: bytes) -> CallResult:
        try:
            return result.Success(_json_http.answer_data(status, content))
        except (
            exceptions.PeerRefused,
            exceptions.PeerUnavailable,
        ) as error:
            return result.Failure(error)

    # Ends of calls without an answer.

    def _expire(self) -> None:
        self._fail("no answer in time", sent=not self._connecting)

    def _give_up(self) -> None:
        if self._connecting:
            self._fail("not connected in time", sent=False)

    def _fail(self, reason: str, *, sent: bool = True) -> None:
        done, self._done = self._done, None
        self._cancel_timers()
        self._disconnect()
        if done is not None:
            message = f"{self._address}: {reason}"
            done(
                result.Failure(exceptions.PeerUnavailable(message, sent=sent))
            )

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = ()

    def _disconnect(self) -> None:
        sock, self._socket = self._socket, None
        self._parser = None
        self._connecting = False
        self._unsent = b""
        self._body, self._body_bytes, self._complete = [], 0, 0
        if sock is not None:
            self._loop.watch(sock, 0, None)
            sock.close()
