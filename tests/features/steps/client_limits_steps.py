"""Steps on peers that send too much, too slowly, or never read."""

import contextlib
import itertools
import json
import socket
import threading
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import nodes
from emulator import wire
import peridotsill
import psutil
from standins import fleet

_CROWD = 8
# As many responses of 8 MiB, kept at once, are more than `_MEMORY_BYTES`.
_RUNNERS = 12
# What a machine of 200 MB leaves to the process, beside the kernel and its
# buffers for connections.
_MEMORY_BYTES = 120 << 20
# The listeners' connections by the lowered settings, and some for the rest.
_DESCRIPTORS = 160
_SAMPLE_SECONDS = 0.01
# What each of a crowd sends at most, so that a process without limits does
# not fill the machine's memory.
_SENT_BYTES = 32 << 20
_PIECE_BYTES = 65536
_SOCKET_SECONDS = 10.0
_WAIT_SECONDS = 30.0
# A process that serves a client's requests reads more of them within this
# time; one that does not is blocked in writing the responses.
_BLOCKED_SECONDS = 8.0
_POOL = "trails"
_REFUSALS = (400, 408, 413, 414, 431, 503)
_HEAD = b"POST /trails/0a HTTP/1.1\r\nHost: jobs.example\r\n"
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BODY_BYTES = 1 << 20
_HEALTHY = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
)
_SETTINGS = {
    "threads": _CROWD,
    "peer_limits": {
        "line_bytes": 1024,
        "trailer_bytes": 4096,
        "body_memory_bytes": 2 << 20,
        "connections": 64,
        "internal_connections": 16,
        "response_bytes": 1 << 20,
        "responses_memory_bytes": 4 << 20,
        "runner_responses_memory_bytes": 4 << 20,
    },
}


class _Watch:
    """Records the largest memory and number of descriptors of a process."""

    def __init__(self, process):
        self._process = process
        self._status = psutil.Process(process.pid)
        self._stopped = threading.Event()
        self.memory_bytes = self.descriptors = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        with contextlib.suppress(psutil.Error):
            while not self._stopped.wait(_SAMPLE_SECONDS):
                self._sample()

    def _sample(self):
        memory_bytes = self._status.memory_info().rss
        self.memory_bytes = max(self.memory_bytes, memory_bytes)
        self.descriptors = max(self.descriptors, self._status.num_fds())

    def check(self):
        """Check that the process lives and stayed within its bounds."""
        assert self._process.poll() is None, "the process has ended"
        self._sample()
        print(f"{self.memory_bytes >> 20} MiB, {self.descriptors} descriptors")
        assert 0 < self.memory_bytes <= _MEMORY_BYTES, (
            f"{self.memory_bytes >> 20} MiB"
        )
        assert 0 < self.descriptors <= _DESCRIPTORS, self.descriptors

    def stop(self):
        self._stopped.set()
        self._thread.join()


def _watch(context, process):
    context.watch = _Watch(process)
    context.stack.callback(context.watch.stop)


def _start_job_node(context, **settings):
    context.cluster = context.stack.enter_context(
        nodes.cluster(
            nodes=1,
            pools={_POOL: _RUNNERS},
            settings={**_SETTINGS, **settings},
        )
    )
    node = context.cluster.nodes[0]
    context.address = _split(node.callers)
    context.readiness_address = _split(node.readiness)
    context.request = lambda: context.cluster.call(
        node, "GET", f"/{_POOL}/", seconds=5.0
    )
    _watch(context, node.process)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@given("a job node with lowered limits")
def _given_job_node(context):
    _start_job_node(context)


@given("a fleet daemon with lowered limits and a runner that sends {response}")
def _given_daemon_and_peer(context, response):
    _given_daemon(context)
    peer = _EndlessPeer(response)
    context.stack.callback(peer.close)
    vm = {**context.fleet_vm, "name": "vm1", "address": peer.address}
    client = context.operator
    client.apply("pools", "slow", {"min_available": 0})
    client.apply("vms", "vm1", {**vm, "pool": "slow"})
    client.apply("services", "slow", {"pool": "slow", "slots_per_vm": 64})


@when("a crowd calls that runner")
def _when_crowd_calls_slow(context):
    request = (
        b"POST /slow/x HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    context.responses = _crowd(
        lambda _: _send_and_read(context.address, [request])
    )


@given("a fleet daemon with lowered limits")
def _given_daemon(context):
    running = context.stack.enter_context(fleet.fleet(0, 1))
    running.limits = {"threads": _CROWD}
    running.start_node("n0")
    running.create_pool(_POOL, ["vm0"], 0)
    running.create_service(_POOL, _POOL)
    context.address = _split(running.address("n0", "callers"))
    context.request = lambda: running.call(
        "n0", "GET", f"/{_POOL}/x", timeout=5.0
    )
    context.operator = running.operator()
    context.fleet_vm = running.vms["vm0"]
    _watch(context, running.processes["n0"].child)


# Crowds of clients.


def _crowd(client):
    """Run ``client(number)`` in eight threads; return what they return."""
    results = [None] * _CROWD
    threads = [
        threading.Thread(
            target=lambda i=i: results.__setitem__(i, client(i)), daemon=True
        )
        for i in range(_CROWD)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(_WAIT_SECONDS)
    assert not any(thread.is_alive() for thread in threads), "still sending"
    return results


def _send_and_read(address, pieces):
    """Send pieces until the server closes; return its response or b""."""
    with socket.create_connection(address, _SOCKET_SECONDS) as sock:
        with contextlib.suppress(OSError):
            for piece in pieces:
                sock.sendall(piece)
        response = b""
        with contextlib.suppress(OSError):
            while more := sock.recv(65536):
                response += more
                if _is_complete(response):
                    break
        return response


def _is_complete(response):
    head, found, body = response.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return bool(found) and len(body) >= int(length or 0)


def _repeated(head, unit):
    """Yield a head, and a unit repeated to a crowd's size of 32 MiB."""
    piece = unit * (_PIECE_BYTES // len(unit))
    yield head
    yield from itertools.repeat(piece, _SENT_BYTES // len(piece))


def _when_crowd_sends(context, head, unit):
    context.responses = _crowd(
        lambda _: _send_and_read(context.address, _repeated(head, unit))
    )


@when("a crowd sends it a trailer line without an end")
def _when_trailer_line(context):
    _when_crowd_sends(context, _CHUNKED_HEAD + b"0\r\n", b"a")


@when("a crowd sends it trailers without an end")
def _when_trailers(context):
    _when_crowd_sends(context, _CHUNKED_HEAD + b"0\r\n", b"X-A: a\r\n")


@when("a crowd sends it a chunk-size line without an end")
def _when_chunk_size_line(context):
    _when_crowd_sends(context, _CHUNKED_HEAD, b"0")


@when("a crowd sends it a header line without an end")
def _when_header_line(context):
    _when_crowd_sends(context, _HEAD + b"X-A: ", b"a")


@when("a crowd sends it bodies that decode to many times their size")
def _when_large_bodies(context):
    # An object of seven bytes decodes to one of about 230.
    item = b'{"":0}'
    items = b",".join([item] * ((_BODY_BYTES - 64) // (len(item) + 1)))
    body = b'{"spec":"","steps":[' + items + b"]}"
    head = _HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    responses = [
        _crowd(lambda _: _send_and_read(context.address, [head, body]))
        for _ in range(4)
    ]
    context.responses = list(itertools.chain(*responses))


@when("a crowd sends it large bodies in pieces of two bytes")
def _when_small_pieces(context):
    def client(number):
        with socket.create_connection(context.address) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(OSError):
                sock.sendall(_HEAD + b"Content-Length: 1000000\r\n\r\n")
                ends_at = time.monotonic() + _SOCKET_SECONDS / 2
                while time.monotonic() < ends_at:
                    sock.sendall(b"[[")

    _crowd(client)


def _start_crowd(context, client):
    """Run ``client(number, stopped)`` repeatedly until the scenario ends."""
    stopped = threading.Event()

    def run(number):
        while not stopped.is_set():
            with contextlib.suppress(OSError):
                client(number, stopped)
            # A refused client comes back soon, but not in a busy loop.
            stopped.wait(0.05)

    threads = [
        threading.Thread(target=run, args=(number,), daemon=True)
        for number in range(_CROWD)
    ]

    def stop():
        stopped.set()
        for thread in threads:
            thread.join()

    context.stack.callback(stop)
    for thread in threads:
        thread.start()


@when("a crowd asks it for its metrics and never reads a response")
def _when_never_reads(context):
    hindered = set()

    def client(number, stopped):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.connect(context.readiness_address)
            sock.settimeout(_BLOCKED_SECONDS)
            request = b"GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
            while not stopped.is_set():
                try:
                    sock.sendall(request * 8)
                except TimeoutError:
                    hindered.add(number)
                except OSError:
                    hindered.add(number)
                    return

    _start_crowd(context, client)
    nodes.wait_for(
        lambda: len(hindered) == _CROWD, _WAIT_SECONDS, "a crowd hindered"
    )


def _start_slow_bodies(context, address):
    slow = set()

    def client(number, stopped):
        with socket.create_connection(address, _SOCKET_SECONDS) as sock:
            sock.sendall(_HEAD + b"Content-Length: 100000\r\n\r\n")
            for count in itertools.count():
                if count == 4:
                    slow.add(number)
                if stopped.wait(0.1):
                    return
                sock.sendall(b"[")

    _start_crowd(context, client)
    nodes.wait_for(
        lambda: len(slow) == _CROWD, _WAIT_SECONDS, "a crowd of slow clients"
    )


@when("a crowd sends it bodies a byte at a time, again and again")
def _when_slow_bodies(context):
    _start_slow_bodies(context, context.address)


@when("a crowd sends its readiness listener bodies a byte at a time")
def _when_slow_at_readiness(context):
    _start_slow_bodies(context, context.readiness_address)


@when("a crowd opens {count:d} connections to it and sends nothing")
def _when_idle_connections(context, count):
    for _ in range(count):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(context.address, _SOCKET_SECONDS)
            context.stack.callback(sock.close)
    # The listener accepts connections in their order.
    with socket.create_connection(context.address, _SOCKET_SECONDS) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(b"GET /x HTTP/1.0\r\n\r\n")
            sock.recv(1)


# Peers that the process calls.


# Of chunked responses: what precedes the part that is repeated, and the part.
_ENDLESS_PARTS = {
    "a body without an end": (b"", b"8\r\n        \r\n"),
    "trailers without an end": (b"0\r\n", b"X-A: aaaaaaaa\r\n"),
    "a trailer line without an end": (b"0\r\n", b"a"),
}


class _EndlessPeer:
    """Answers each request with a response that does not end.

    ``calls`` counts the requests that got as much as is sent at most, or
    whose connection the caller closed before that.
    """

    def __init__(self, response, host="127.0.0.1", port=0):
        self._response = response
        self._listener = socket.create_server((host, port))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.closed = False
        self.calls = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            request = sock.recv(65536)
            if request.startswith(b"GET /healthz"):
                sock.sendall(_HEALTHY)
            elif request:
                with contextlib.suppress(OSError):
                    self._send(sock)
                self.calls += 1
                # Leaves the caller waiting until it closes the connection.
                while sock.recv(65536):
                    pass

    def _send(self, sock):
        status = b"HTTP/1.1 200 OK\r\n"
        if self._response == "a header a byte at a time":
            while not self.closed:
                sock.sendall(status[:1])
                status = status[1:] or b"X-A: a\r\n"
                time.sleep(0.05)
            return
        if self._response == "a header without an end":
            pieces = _repeated(status, b"X-A: aaaaaaaa\r\n")
        elif self._response in _ENDLESS_PARTS:
            before, part = _ENDLESS_PARTS[self._response]
            head = status + b"Transfer-Encoding: chunked\r\n\r\n"
            pieces = _repeated(head + before, part)
        else:
            head = status + b"Content-Length: 8388608\r\n\r\n"
            pieces = [head, b" " * (8388608 - 1)]
        for piece in pieces:
            sock.sendall(piece)

    def close(self):
        self.closed = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@given("a job node with lowered limits whose VM service sends {response}")
def _given_endless_vm_service(context, response):
    context.peers = [_EndlessPeer(response)]
    context.stack.callback(context.peers[0].close)
    _start_job_node(context, vm_service=f"http://{context.peers[0].address}")


@when("the node has called the VM service")
def _when_vm_service_called(context):
    nodes.wait_for(
        lambda: context.peers[0].calls >= 3, _WAIT_SECONDS, "three calls"
    )


@given("a job node with lowered limits whose runners send {response}")
def _given_endless_runners(context, response):
    context.peers = []

    def listen(*, address, app):
        context.peers.append(_EndlessPeer(response, *_split(address)))
        return context.peers[-1]

    context.stack.enter_context(
        unittest.mock.patch.object(wire, "_RunnerListener", listen)
    )
    _start_job_node(context)


@when("the node has called the runners")
def _when_runners_called(context):
    nodes.wait_for(
        lambda: sum(each.calls for each in context.peers) >= 3 * _RUNNERS,
        _WAIT_SECONDS,
        "three calls to each runner",
    )


# Checks.


@then("each of the crowd was refused truthfully or closed")
def _then_refused(context):
    for response in filter(None, context.responses):
        head, _, body = response.partition(b"\r\n\r\n")
        assert int(head.split()[1]) in _REFUSALS, response[:500]
        assert json.loads(body).get("ran", "no") == "no", response[:500]
        status = int(head.split()[1])
        if status != 400:
            assert b"connection: close" in head.lower(), response[:500]


@then("the process stayed within its memory and descriptors")
def _then_within_bounds(context):
    context.watch.check()


@then("an ordinary request is answered")
def _then_answered(context):
    reply = context.request()
    assert reply is not None and reply.status == 200, reply
    context.watch.check()


@then("each of the crowd was answered")
def _then_each_answered(context):
    assert all(context.responses), context.responses


@then("its readiness is answered")
def _then_ready(context):
    assert context.cluster.ready(context.cluster.nodes[0])


# Budgets of one process.


def _small_limits(kind):
    limits = peridotsill.PeerLimits(
        responses_memory_bytes=_PIECE_BYTES,
        runner_responses_memory_bytes=_PIECE_BYTES,
    )
    if kind == "runner":
        return peridotsill.ResponseLimits.for_runners(limits)
    return peridotsill.ResponseLimits.for_calls(limits)


@when("stalled responses hold the whole budget of {kind} responses")
def _when_budget_is_held(context, kind):
    charge = _small_limits(kind).memory.charge()
    charge.add(_PIECE_BYTES)
    context.stack.callback(charge.release)


@when("a peer declares a body of the whole budget and sends nothing")
def _when_declared_only(context):
    listener = context.stack.enter_context(
        socket.create_server(("127.0.0.1", 0))
    )
    client = peridotsill.JsonClient(
        base=f"http://127.0.0.1:{listener.getsockname()[1]}",
        limits=_small_limits("blocking"),
    )

    def call():
        with contextlib.suppress(peridotsill.exceptions.PeerUnavailable):
            client.call("GET", "/", timeout_seconds=_SOCKET_SECONDS)

    caller = threading.Thread(target=call, daemon=True)
    caller.start()
    connection, _ = listener.accept()
    context.stack.callback(caller.join)
    context.stack.enter_context(connection)
    connection.recv(_PIECE_BYTES)
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % _PIECE_BYTES
    )
    # Until the client has read the header.
    time.sleep(0.2)


@then("a blocking call is {outcome}")
def _then_blocking_call(context, outcome):
    listener = context.stack.enter_context(
        socket.create_server(("127.0.0.1", 0))
    )
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(_PIECE_BYTES)
            connection.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()
    client = peridotsill.JsonClient(
        base=f"http://127.0.0.1:{listener.getsockname()[1]}",
        limits=_small_limits("blocking"),
    )
    context.stack.callback(client.close)
    pool = client._pool
    try:
        assert client.call("GET", "/") == {}
        observed = "answered"
    except peridotsill.exceptions.PeerUnavailable:
        observed = "given up"
    assert observed == outcome, observed
    assert client._pool is pool, "the connections were replaced"


# A listener within this process.

_HEADER_SECONDS = 1.0
_SLOW_BODY_SECONDS = 0.6


def _read_and_answer(environ, start_response):
    environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    start_response("200 OK", [("Content-Length", "2")])
    return [b"{}"]


def _start_listener(context, *, threads, connections=20, **limits):
    listener = peridotsill.Listener(
        options=peridotsill.ListenerOptions(
            host="127.0.0.1",
            port=0,
            threads=threads,
            connections=connections,
            header_seconds=_HEADER_SECONDS,
            peer_limits=peridotsill.PeerLimits(**limits),
        ),
        app=_read_and_answer,
    )
    listener.start()
    context.stack.callback(listener.stop, 1.0)
    context.address = listener._server.bind_addr


@given("a listener of {threads:d} threads and {connections:d} connections")
def _given_listener(context, threads, connections):
    _start_listener(context, threads=threads, connections=connections)


@given("a listener with a receive buffer of {size:d} bytes")
def _given_small_buffer(context, size):
    _start_listener(context, threads=4, receive_buffer_bytes=size)


def _get_status(context, *parts, pause_seconds=0.0):
    """Send the parts of a request; return the status of its response."""
    sock = socket.create_connection(context.address, timeout=_SOCKET_SECONDS)
    context.stack.enter_context(sock)
    for part in parts:
        sock.sendall(part)
        time.sleep(pause_seconds)
    return int(sock.recv(_PIECE_BYTES).split()[1])


@when("{count:d} clients keep their connections after a response")
def _when_clients_keep(context, count):
    request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    for _ in range(count):
        assert _get_status(context, request) == 200
        # Until the worker has given the connection back.
        time.sleep(0.02)


@then("a client whose request is {kind} gets {status:d}")
def _then_client_gets(context, kind, status):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
    if kind == "whole":
        observed = _get_status(context, head + b"\r\n{}")
    elif kind == "slow":
        observed = _get_status(
            context,
            head + b"\r\n{",
            b"}",
            pause_seconds=_SLOW_BODY_SECONDS,
        )
    else:
        assert kind == "long", kind
        # One segment would be received whatever the buffer's size.
        field = b"X-Long: " + 1000 * b"x" + b"\r\n"
        observed = _get_status(
            context, head, *[field] * 15, b"\r\n{}", pause_seconds=0.01
        )
    assert observed == status, observed
