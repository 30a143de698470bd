"""Steps on calls from one thread, against peers of raw sockets."""

import contextlib
import json
import queue
import socket
import threading
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_adapter import _runners
import peridotsill_jobs
from peridotsill_jobs import _asking
import peridotsill_jobs.exceptions

_PATIENCE_SECONDS = 10.0
_TIMEOUT_SECONDS = 0.5
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + b'{"a": 1}'
_CLOSING = _OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n", 1)
_ANSWERS = {
    "not HTTP": b"SSH-2.0-x\r\n\r\n",
    "not JSON": _OK.replace(b'{"a": 1}', b'{"a": 1 '),
    "cut short": _OK[:-4],
    "of endless size": _OK.replace(b"Length: 8", b"Length: 900000000"),
    "two in one": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + _OK,
    "a refusal": (
        b'HTTP/1.1 409 Conflict\r\nContent-Length: 16\r\n\r\n{"reason":"old"}'
    ),
}


class _Peer:
    """Serves each connection by a function of its number and socket."""

    def __init__(self, serve):
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = _address(self._listener)
        self.connections = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._guard, args=(sock, self.connections), daemon=True
            ).start()

    def _guard(self, sock, number):
        with sock, contextlib.suppress(OSError):
            self._serve(sock, number)

    def close(self):
        self._listener.close()


def _address(listener):
    return f"127.0.0.1:{listener.getsockname()[1]}"


def _read_request(sock):
    """Read one request; false at the end of the connection."""
    head = b""
    while b"\r\n\r\n" not in head:
        more = sock.recv(4096)
        if not more:
            return False
        head += more
    head, _, body = head.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return True


def _use(context, serve):
    context.peer = _Peer(serve)
    context.add_cleanup(context.peer.close)
    context.address = context.peer.address


@given("a peer that answers every call")
def _answering(context):
    def serve(sock, number):
        while _read_request(sock):
            sock.sendall(_OK)

    _use(context, serve)


@given("a peer that answers every call and closes")
def _closing(context):
    def serve(sock, number):
        if _read_request(sock):
            sock.sendall(_CLOSING)

    _use(context, serve)


@given("a peer whose first connection goes silent after an answer")
def _going_silent(context):
    def serve(sock, number):
        while _read_request(sock):
            sock.sendall(_OK)
            if number == 1:
                time.sleep(_PATIENCE_SECONDS)

    _use(context, serve)


@given("a peer whose first answer is {answer}")
def _answering_badly(context, answer):
    def serve(sock, number):
        first = number == 1
        while _read_request(sock):
            sock.sendall(_ANSWERS[answer] if first else _OK)
            first = False
            if answer == "cut short" and number == 1:
                return

    _use(context, serve)


@given("a peer that reads slowly")
def _reading_slowly(context):
    def serve(sock, number):
        time.sleep(0.2)
        while _read_request(sock):
            sock.sendall(_OK)

    _use(context, serve)


@given("an address at which nobody listens")
def _nobody(context):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        context.address = _address(taken)


def _loop(context):
    if "loop" not in context:
        context.errors = []
        context.loop = peridotsill.CallLoop(failed=context.errors.append)
        context.loop.start()
        context.add_cleanup(context.loop.stop)
    return context.loop


def _call(context, count, body=None, timeout=_TIMEOUT_SECONDS):
    loop = _loop(context)
    connection = peridotsill.JsonConnection(loop=loop, address=context.address)
    outcomes = queue.Queue()
    call = peridotsill.JsonCall(
        method="POST", path="/x", body=body, timeout_seconds=timeout
    )
    context.outcomes = []
    for _ in range(count):
        loop.run_soon(lambda: connection.call(call, outcomes.put))
        context.outcomes.append(outcomes.get(timeout=_PATIENCE_SECONDS))


@when("it is called {count:d} times")
@when("it is called {count:d} time")
def _called(context, count):
    _call(context, count)


@when("it is called with a body of {megabytes:d} MB")
def _called_with_much(context, megabytes):
    _call(context, 1, {"x": "x" * (megabytes << 20)}, _PATIENCE_SECONDS)


@when("a step of the loop raises")
def _raise(context):
    def step():
        raise ZeroDivisionError("on purpose")

    _loop(context).run_soon(step)


@then("every call was answered")
def _answered(context):
    wanted = result.Success({"a": 1})
    assert all(each == wanted for each in context.outcomes), context.outcomes


@then("call {number:d} was answered")
def _one_answered(context, number):
    outcome = context.outcomes[number - 1]
    assert outcome == result.Success({"a": 1}), outcome


@then("the peer has seen {count:d} connection")
@then("the peer has seen {count:d} connections")
def _connections(context, count):
    assert context.peer.connections == count, context.peer.connections


def _failure(context, number):
    return context.outcomes[number - 1].failure()


@then("call {number:d} failed as one that may have arrived")
def _doubtful(context, number):
    error = _failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerUnavailable), error
    assert error.sent, error


@then("call {number:d} failed as one that never arrived")
def _not_sent(context, number):
    error = _failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerUnavailable), error
    assert not error.sent, error


@then('call {number:d} was refused with status {status:d} and reason "{why}"')
def _refused(context, number, status, why):
    error = _failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerRefused), error
    assert (error.status, error.body["reason"]) == (status, why), error


@then("the error was reported")
def _reported(context):
    kinds = [type(each) for each in context.errors]
    assert kinds == [ZeroDivisionError], context.errors


def _runner_call(name):
    entry = unittest.mock.Mock(id="i-1", address="127.0.0.1:1")
    calls = _runners.runner_calls(entry)
    task = peridotsill_jobs.TaskName(job="a", task="0.0.0")
    if name == "start":
        order = peridotsill_jobs.StartOrder(
            name=task, run=1, payload="", lease_until_ms=1.0, fence=1
        )
        return entry, calls.start(order, 1.0)
    if name == "stop":
        return entry, calls.stop(task, 1, 1, 1.0)
    if name == "pace":
        return entry, calls.pace(task, 1, 50, 1, 1.0)
    return entry, calls.look(
        fence=1,
        last_seen=0,
        lease_until_ms=None,
        wait_seconds=0.0,
        timeout_seconds=1.0,
    )


@when("a runner answers a {name} with {answer}")
def _runner_answers(context, name, answer):
    entry, asked = _runner_call(name)
    parts = unittest.mock.Mock(entry=entry)
    asker = _asking.Asker(parts=parts)
    asker._connection = unittest.mock.Mock()
    asker.ask(asked, lambda read: setattr(context, "read", read))
    _, done = asker._connection.call.call_args.args
    done(result.Success(json.loads(answer)))


@then("the call counts as one that may have been carried out")
def _may_have_been(context):
    try:
        found = context.read()
    except peridotsill_jobs.exceptions.RunnerUnavailable as error:
        assert error.sent, error
    else:
        raise AssertionError(f"read as {found!r}")
