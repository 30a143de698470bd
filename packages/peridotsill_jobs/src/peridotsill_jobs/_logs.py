"""Log lines on standard output that never block the thread that logs."""

import collections
import collections.abc
import contextlib
import sys
import threading
import typing

import eliot
import orjson

# Lines that wait to be written; beyond that they are counted and dropped.
# At 300 bytes a line this bounds the backlog to about 2 MB.
_BACKLOG_LINES = 8000
# Largest write: a pipe takes as much in one piece and mixes it with nothing.
_WRITE_BYTES = 4096
# Period of writing; longer saves wake-ups, shorter loses less on a kill.
_FLUSH_SECONDS = 0.1


class LogWriter:
    """Writes eliot messages from a bounded backlog."""

    def __init__(self, *, stream: typing.BinaryIO) -> None:
        self._stream = stream
        self._lines: collections.deque[dict[str, typing.Any]] = (
            collections.deque()
        )
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="log"
        )

    def accept(self, message: dict[str, typing.Any]) -> None:
        """Queue a message, or count it as dropped."""
        if len(self._lines) >= _BACKLOG_LINES:
            self._dropped += 1
            return
        self._lines.append(message)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write what is queued and end the thread."""
        self._stopped.set()
        self._thread.join(2.0)

    def _run(self) -> None:
        while not self._stopped.wait(_FLUSH_SECONDS):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._lines.appendleft(
                {"message_type": "log:dropped", "lines": dropped}
            )
        chunk = b""
        while self._lines:
            message = self._lines.popleft()
            line = orjson.dumps(message, default=str) + b"\n"
            if len(chunk) + len(line) > _WRITE_BYTES:
                self._write(chunk)
                chunk = b""
            chunk += line
        self._write(chunk)

    def _write(self, chunk: bytes) -> None:
        if not chunk:
            return
        try:
            self._stream.write(chunk)
            self._stream.flush()
        except OSError:
            # Nobody reads the log; the count is told with the next line.
            self._dropped += chunk.count(b"\n")


@contextlib.contextmanager
def logging_to_stdout() -> collections.abc.Iterator[None]:
    """Send eliot's messages to standard output while the context lasts."""
    writer = LogWriter(stream=sys.stdout.buffer)
    writer.start()
    eliot.add_destinations(writer.accept)
    try:
        yield
    finally:
        eliot.remove_destination(writer.accept)
        writer.stop()


def log(event: str, **fields: object) -> None:
    """Write one line, ``event`` being its kind such as ``job:accepted``."""
    eliot.log_message(message_type=event, **fields)
