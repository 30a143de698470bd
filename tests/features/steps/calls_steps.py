"""Steps on JSON calls made from one thread to peers on plain sockets."""

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
from emulator import stubs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_adapter import _runners
import peridotsill_jobs
from peridotsill_jobs import _grants
from peridotsill_jobs import _link_events
from peridotsill_jobs import _runner_client
import peridotsill_jobs.exceptions

_TEST_TIMEOUT_SECONDS = 10.0
_CALL_TIMEOUT_SECONDS = 0.5
_OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + b'{"a": 1}'
_CLOSING_ANSWER = _OK_ANSWER.replace(
    b"OK\r\n", b"OK\r\nConnection: close\r\n", 1
)
_ANSWERS = {
    "not HTTP": b"SSH-2.0-x\r\n\r\n",
    "not JSON": _OK_ANSWER.replace(b'{"a": 1}', b'{"a": 1 '),
    "truncated": _OK_ANSWER[:-4],
    "too large": _OK_ANSWER.replace(b"Length: 8", b"Length: 900000000"),
    "followed by another": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    + _OK_ANSWER,
    "a refusal": (
        b'HTTP/1.1 409 Conflict\r\nContent-Length: 16\r\n\r\n{"reason":"old"}'
    ),
}


class _SocketPeer:
    """Serves each connection with ``serve(socket, connection number)``."""

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
                target=self._serve_connection,
                args=(sock, self.connections),
                daemon=True,
            ).start()

    def _serve_connection(self, sock, number):
        with sock, contextlib.suppress(OSError):
            self._serve(sock, number)

    def close(self):
        self._listener.close()


def _address(listener):
    return f"127.0.0.1:{listener.getsockname()[1]}"


def _read_request(sock):
    """Read one request; return false if the connection was closed."""
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


def _start_peer(context, serve):
    context.peer = _SocketPeer(serve)
    context.add_cleanup(context.peer.close)
    context.address = context.peer.address


@given("a peer that answers every call")
def _given_answering_peer(context):
    def serve(sock, number):
        while _read_request(sock):
            sock.sendall(_OK_ANSWER)

    _start_peer(context, serve)


@given("a peer that closes the connection after each answer")
def _given_closing_peer(context):
    def serve(sock, number):
        if _read_request(sock):
            sock.sendall(_CLOSING_ANSWER)

    _start_peer(context, serve)


@given("a peer whose first connection stops responding after an answer")
def _given_unresponsive_peer(context):
    def serve(sock, number):
        while _read_request(sock):
            sock.sendall(_OK_ANSWER)
            if number == 1:
                time.sleep(_TEST_TIMEOUT_SECONDS)

    _start_peer(context, serve)


@given("a peer whose first answer is {answer}")
def _given_bad_first_answer(context, answer):
    def serve(sock, number):
        first = number == 1
        while _read_request(sock):
            sock.sendall(_ANSWERS[answer] if first else _OK_ANSWER)
            first = False
            if answer == "truncated" and number == 1:
                return

    _start_peer(context, serve)


@given("a peer that reads slowly")
def _given_slow_reader(context):
    def serve(sock, number):
        time.sleep(0.2)
        while _read_request(sock):
            sock.sendall(_OK_ANSWER)

    _start_peer(context, serve)


@given("an address at which no peer listens")
def _given_unused_address(context):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        context.address = _address(taken)


def _get_loop(context):
    if "loop" not in context:
        context.errors = []
        context.loop = peridotsill.CallLoop(on_error=context.errors.append)
        context.loop.start()
        context.add_cleanup(context.loop.stop)
    return context.loop


def _call_peer(context, count, body=None, timeout=_CALL_TIMEOUT_SECONDS):
    loop = _get_loop(context)
    connection = peridotsill.JsonConnection(loop=loop, address=context.address)
    outcomes = queue.Queue()
    call = peridotsill.JsonCall(
        method="POST", path="/x", body=body, timeout_seconds=timeout
    )
    context.outcomes = []
    for _ in range(count):
        loop.run_soon(lambda: connection.call(call, outcomes.put))
        context.outcomes.append(outcomes.get(timeout=_TEST_TIMEOUT_SECONDS))


@when("it is called {count:d} times")
@when("it is called {count:d} time")
def _when_called(context, count):
    _call_peer(context, count)


@when("it is called with a body of {megabytes:d} MB")
def _when_called_with_large_body(context, megabytes):
    _call_peer(
        context, 1, {"x": "x" * (megabytes << 20)}, _TEST_TIMEOUT_SECONDS
    )


@when("a callback raises in the loop's thread")
def _when_callback_raises(context):
    def callback():
        raise ZeroDivisionError("on purpose")

    _get_loop(context).run_soon(callback)


@then("every call was answered")
def _then_all_answered(context):
    expected = result.Success({"a": 1})
    assert all(each == expected for each in context.outcomes), context.outcomes


@then("call {number:d} was answered")
def _then_one_answered(context, number):
    outcome = context.outcomes[number - 1]
    assert outcome == result.Success({"a": 1}), outcome


@then("the peer has seen {count:d} connection")
@then("the peer has seen {count:d} connections")
def _then_connection_count(context, count):
    assert context.peer.connections == count, context.peer.connections


def _get_failure(context, number):
    return context.outcomes[number - 1].failure()


@then("call {number:d} failed, and the peer may have received it")
def _then_maybe_received(context, number):
    error = _get_failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerUnavailable), error
    assert error.sent, error


@then("call {number:d} failed, and the peer did not receive it")
def _then_not_received(context, number):
    error = _get_failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerUnavailable), error
    assert not error.sent, error


@then("call {number:d} shows that no process listens there")
def _then_nobody_listens(context, number):
    error = _get_failure(context, number)
    assert error.refused, error


@then(
    'call {number:d} was refused with status {status:d} and reason "{reason}"'
)
def _then_refused(context, number, status, reason):
    error = _get_failure(context, number)
    assert isinstance(error, peridotsill.exceptions.PeerRefused), error
    assert (error.status, error.body["reason"]) == (status, reason), error


@then("the error was reported")
def _then_error_reported(context):
    kinds = [type(each) for each in context.errors]
    assert kinds == [ZeroDivisionError], context.errors


def _build_runner_call(name):
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
    return entry, calls.poll(
        fence=1,
        last_seen=0,
        lease_until_ms=None,
        wait_seconds=0.0,
        timeout_seconds=1.0,
    )


@when("a runner answers a {name} call with {answer}")
def _when_runner_answers(context, name, answer):
    _finish_runner_call(context, name, result.Success(json.loads(answer)))


def _new_grants():
    """Return the grants of a link whose first poll was answered."""
    grants = _grants.Grants(lease=unittest.mock.Mock(), max_lease_seconds=6.0)
    grants.record_report(unittest.mock.Mock(clock_ms=1.0, running=()))
    return grants


def _finish_runner_call(context, name, outcome):
    entry, asked = _build_runner_call(name)
    context.events = []
    parts = unittest.mock.Mock(
        entry=entry,
        post=context.events.append,
        grants=_new_grants(),
        tokens=stubs.runner_tokens(),
    )
    client = _runner_client.RunnerClient(parts=parts)
    client._connection = unittest.mock.Mock()
    client.call(
        lambda token: asked, lambda read: setattr(context, "read", read)
    )
    _, done = client._connection.call.call_args.args
    done(outcome)


_REPORT = {"clock_ms": 1, "running": [], "ended": []}
_RUNNER_FAILURES = {
    "a refused connection": peridotsill.exceptions.PeerUnavailable(
        "connection failed", sent=False, refused=True
    ),
    "the status of another lifetime": peridotsill.exceptions.PeerRefused(
        421, {}
    ),
    "a connection closed midway": peridotsill.exceptions.PeerUnavailable(
        "connection closed"
    ),
    "no answer in time": peridotsill.exceptions.PeerUnavailable(
        "no response", sent=False
    ),
    "status 400": peridotsill.exceptions.PeerRefused(400, {}),
    "status 503": peridotsill.exceptions.PeerRefused(503, {}),
}


@when("polls of a runner end, one a second, with {results}")
def _when_polls_end(context, results):
    entry, poll = _build_runner_call("poll")
    context.events = []
    context.grants = _new_grants()
    parts = unittest.mock.Mock(
        entry=entry,
        post=context.events.append,
        grants=context.grants,
        tokens=stubs.runner_tokens(),
    )
    client = _runner_client.RunnerClient(parts=parts)
    client._connection = unittest.mock.Mock()
    for number, name in enumerate(results.split("; ")):
        client.call(
            lambda token: poll, lambda read: setattr(context, "read", read)
        )
        done = client._connection.call.call_args.args[1]
        error = _RUNNER_FAILURES.get(name)
        done(result.Failure(error) if error else result.Success(_REPORT))
        with (
            unittest.mock.patch.object(
                _runner_client._clock,
                "monotonic_seconds",
                return_value=number + 1.0,
            ),
            contextlib.suppress(peridotsill_jobs.exceptions.RunnerError),
        ):
            context.read()


@then("its process counts as ended since the poll number {number:d}")
def _then_ended_since(context, number):
    ends = [
        event.ended_at
        for event in context.events
        if isinstance(event, _link_events.RunnerFoundGone)
    ]
    assert ends == [number], context.events


@then("calls to it count as failing since the poll number {number:d}")
def _then_failing_since(context, number):
    (event,) = context.events
    assert isinstance(event, _link_events.RunnerRefuses), event
    assert context.grants.failing_since == number, context.grants


@when("a poll of a runner ends with {failure}")
def _when_poll_fails(context, failure):
    error = _RUNNER_FAILURES[failure]
    _finish_runner_call(context, "poll", result.Failure(error))
    try:
        context.read()
    except peridotsill_jobs.exceptions.RunnerError as error:
        context.runner_error = error


def _is_found_gone(context):
    errors = peridotsill_jobs.exceptions
    gone = isinstance(context.runner_error, errors.WrongLifetime)
    refused = isinstance(context.runner_error, errors.ConnectionRefused)
    posted = [type(each).__name__ for each in context.events]
    expected = ["RunnerFoundGone"] * gone + ["RunnerRefuses"] * refused
    assert posted == expected, posted
    return gone


@then("the runner's process is known to be gone")
def _then_gone(context):
    assert _is_found_gone(context), context.runner_error


@then("the runner's process is not known to be gone")
def _then_not_gone(context):
    assert not _is_found_gone(context), context.runner_error


@then("the call failed, and the runner may have executed it")
def _then_maybe_executed(context):
    try:
        found = context.read()
    except peridotsill_jobs.exceptions.RunnerUnavailable as error:
        assert error.sent, error
    else:
        raise AssertionError(f"read as {found!r}")


_CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b'3\r\n{"a\r\n5\r\n": 1}\r\n0\r\n\r\n'
)


@given("a peer that answers in chunks")
def _given_chunking_peer(context):
    def serve(sock, number):
        while _read_request(sock):
            sock.sendall(_CHUNKED_ANSWER)

    _start_peer(context, serve)


def _send_bytes(sock, seconds):
    for each in _OK_ANSWER:
        sock.sendall(bytes([each]))
        time.sleep(seconds)


@given("a peer that answers byte by byte")
def _given_bytewise_peer(context):
    def serve(sock, number):
        while _read_request(sock):
            _send_bytes(sock, 0.0)

    _start_peer(context, serve)


@given("a peer that answers with a byte each 0.1 s")
def _given_trickling_peer(context):
    def serve(sock, number):
        while _read_request(sock):
            _send_bytes(sock, 0.1)

    _start_peer(context, serve)


@given("a peer whose answer of {size:d} KiB takes {seconds:d} s to arrive")
def _given_slow_link(context, size, seconds):
    content = b'{"a": 1' + b" " * (size * 1024) + b"}"
    parts = 20

    def serve(sock, number):
        if not _read_request(sock):
            return
        header = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        sock.sendall(header.encode())
        step = len(content) // parts + 1
        for start in range(0, len(content), step):
            time.sleep(seconds / parts)
            sock.sendall(content[start : start + step])

    _start_peer(context, serve)


@given("a peer that ends each answer by closing the connection")
def _given_peer_without_lengths(context):
    def serve(sock, number):
        if _read_request(sock):
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"a": 1}')

    _start_peer(context, serve)


@given("a peer that closes the connection some time later")
def _given_peer_that_closes_idle(context):
    def serve(sock, number):
        if _read_request(sock):
            sock.sendall(_OK_ANSWER)
            time.sleep(0.02)

    _start_peer(context, serve)


def _outcome_of_blocking(client, body=None, path="/x", timeout=0.5):
    try:
        answer = client.call("POST", path, body, timeout_seconds=timeout)
    except (
        peridotsill.exceptions.PeerUnavailable,
        peridotsill.exceptions.PeerRefused,
    ) as error:
        return result.Failure(error)
    return result.Success(answer)


def _blocking_client(context):
    client = peridotsill.JsonClient(base=f"http://{context.address}")
    context.add_cleanup(client.close)
    return client


@when("a blocking client calls it {count:d} times")
def _when_blocking_calls(context, count):
    client = _blocking_client(context)
    context.outcomes = []
    began = time.monotonic()
    for _ in range(count):
        context.outcomes.append(_outcome_of_blocking(client))
        context.elapsed = time.monotonic() - began
        # For what a peer does after an answer.
        time.sleep(0.1)


@when("a blocking client calls it with a body of {megabytes:d} MB")
def _when_blocking_sends_much(context, megabytes):
    outcome = _outcome_of_blocking(
        _blocking_client(context),
        {"x": "x" * (megabytes << 20)},
        timeout=_TEST_TIMEOUT_SECONDS,
    )
    context.outcomes = [outcome]


@then("it was given up within {seconds:g} s")
def _then_given_up(context, seconds):
    assert context.elapsed < seconds, context.elapsed


@when('a blocking client of "{base}" is called')
def _when_blocking_calls_odd(context, base):
    client = peridotsill.JsonClient(base=base)
    context.outcomes = [_outcome_of_blocking(client)]


@when(
    "{threads:d} threads call it {count:d} times each by one blocking client"
)
def _when_threads_call(context, threads, count):
    client = _blocking_client(context)
    context.outcomes = []

    def call():
        for _ in range(count):
            context.outcomes.append(_outcome_of_blocking(client, {"a": 1}))

    workers = [threading.Thread(target=call) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    assert len(context.outcomes) == threads * count


@then("the peer has seen at most {count:d} connections")
def _then_most_connections(context, count):
    assert 0 < context.peer.connections <= count, context.peer.connections


@then("a blocking client refuses a header with a line break")
def _then_refuses_header(context):
    client = _blocking_client(context)
    for value in ("a\r\nB: c", "a\nB: c", "a\rB: c"):
        try:
            client.call("GET", "/x", extra_headers={"A": value})
        except ValueError:
            continue
        raise AssertionError(f"sent: {value!r}")
    assert not context.peer.connections


@when('a blocking client calls it at "{path}"')
def _when_blocking_calls_path(context, path):
    requests = []
    receive = socket.socket.recv
    client = _blocking_client(context)

    def record(sock, *arguments):
        content = receive(sock, *arguments)
        requests.append(content)
        return content

    with unittest.mock.patch.object(socket.socket, "recv", record):
        context.outcomes = [_outcome_of_blocking(client, path=path)]
    context.request = b"".join(requests)


@then('the peer got the path "{path}"')
def _then_path(context, path):
    line = f"POST {path} HTTP/1.1\r\n".encode()
    assert context.request.startswith(line), context.request
