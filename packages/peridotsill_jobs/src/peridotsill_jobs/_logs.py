"""Writes log lines to standard output without blocking the caller."""

import collections
import collections.abc
import contextlib
import itertools
import sys
import threading
import time
import traceback
import typing
import uuid

import eliot
import orjson

# Largest number of lines in the backlog; further ones are dropped and counted.
# At 300 bytes a line this bounds the backlog to about 2 MB.
_MAX_BACKLOG_LINES = 8000
# Largest write, unless one line is longer. A write of up to this size to a
# pipe is atomic.
_MAX_WRITE_BYTES = 4096
# Period of writing; a longer one saves wake-ups, a shorter one loses fewer
# lines when the process is killed.
_FLUSH_PERIOD_SECONDS = 0.1


class LogWriter:
    """Writes eliot messages from a bounded backlog."""

    def __init__(self, *, stream: typing.BinaryIO) -> None:
        self._stream = stream
        self._backlog: collections.deque[dict[str, typing.Any]] = (
            collections.deque()
        )
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="log"
        )

    def accept(self, message: dict[str, typing.Any]) -> None:
        """Queue a message, or count it as dropped."""
        if len(self._backlog) >= _MAX_BACKLOG_LINES:
            self._dropped += 1
            return
        self._backlog.append(message)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the backlog and stop the thread."""
        self._stopped.set()
        self._thread.join(2.0)

    def _run(self) -> None:
        while not self._stopped.wait(_FLUSH_PERIOD_SECONDS):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._backlog.appendleft(
                {"message_type": "log:dropped", "lines": dropped}
            )
        chunk = b""
        while self._backlog:
            message = self._backlog.popleft()
            line = _encode(message) + b"\n"
            if len(chunk) + len(line) > _MAX_WRITE_BYTES:
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
            # The reader is gone; the next write reports the lines lost.
            self._dropped += chunk.count(b"\n")


def _encode(message: dict[str, typing.Any]) -> bytes:
    """Return a message as JSON text; name the fields that can't be encoded.

    Such fields are left out, with the reason under ``left_out``. They may
    hold what another writer sent, so any error is possible.
    """
    try:
        return orjson.dumps(message, default=str)
    except Exception:
        encodable: dict[str, typing.Any] = {}
        left_out: dict[str, str] = {}
        for name, value in message.items():
            try:
                encodable[name] = orjson.Fragment(
                    orjson.dumps(value, default=str)
                )
            except Exception as error:
                left_out[str(name)] = repr(error)
        return orjson.dumps({**encodable, "left_out": left_out})


@contextlib.contextmanager
def logging_to_stdout() -> collections.abc.Iterator[None]:
    """Write eliot's messages to standard output while the context lasts."""
    writer = LogWriter(stream=sys.stdout.buffer)
    writer.start()
    eliot.add_destinations(writer.accept)
    try:
        yield
    finally:
        eliot.remove_destination(writer.accept)
        writer.stop()


_logger = eliot.Logger()
# The ids of eliot's tasks: each message outside of an action is a task of its
# own. They have the form of a random UUID, whose last group counts up.
_task_id_prefix = str(uuid.uuid4())[:24]
_task_numbers = itertools.count()


def log(event: str, **fields: object) -> None:
    """Log a message; ``event`` is its type, such as ``job:accepted``.

    The message is the one that `eliot.log_message` writes, which creates an
    action for each message outside of one.
    """
    if eliot.current_action() is not None:
        eliot.log_message(message_type=event, **fields)
        return
    fields["timestamp"] = time.time()
    fields["task_uuid"] = f"{_task_id_prefix}{next(_task_numbers):012x}"
    fields["task_level"] = [1]
    fields["message_type"] = event
    _logger.write(fields)


def log_traceback(event: str, **fields: object) -> None:
    """Log a message with the traceback of the error that is handled."""
    log(event, **fields, traceback=traceback.format_exc())
