"""Bad input of callers and operators."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import threading
import time

from behave import then
from behave import when
import peridotsill.exceptions
from standins import fleet
import urllib3

_BAD = [
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        b"Content-Length: 5\r\n\r\nabcde",
        400,
    ),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n", 400),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4x\r\n\r\n", 400),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked, gzip\r\n\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n-5\r\nabcde\r\n0\r\n\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0_3\r\nabc\r\n0\r\n\r\n",
        400,
    ),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nX-A: a\x00b\r\n\r\n", 400),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nX-A: a\rb\r\n\r\n", 400),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nX-A: a\r\n b\r\n\r\n", 400),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nX(A: a\r\n\r\n", 400),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nab",
        400,
    ),
    (b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nBad Name: 4\r\n\r\n", 400),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 99999999\r\n\r\n",
        413,
    ),
    (
        b"GET /lookup/b HTTP/1.1\r\nHost: x\r\nX-A: "
        + b"a" * 20000
        + b"\r\n\r\n",
        413,
    ),
    (b"GET /nowhere/b HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    (b"TRACE /lookup/b HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    (
        b"GET /lookup/b HTTP/1.1\r\nHost: x\r\nRequest-Timeout: nan\r\n\r\n",
        400,
    ),
    (b"GET /lookup/b HTTP/1.1\r\nHost: x\r\nRequest-Timeout: -1\r\n\r\n", 400),
    (
        b"GET /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Peridotsill-Class: urgent\r\n\r\n",
        400,
    ),
    (
        b"GET /lookup/b HTTP/1.1\r\nHost: x\r\n"
        b"Peridotsill-Idempotent: maybe\r\n\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\n"
        b"Idempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
        400,
    ),
    (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: "
        + b"k" * 300
        + b"\r\nContent-Length: 0\r\n\r\n",
        400,
    ),
]


def raw(context, data, *, half_close=False):
    """Send bytes and return the status and the body's plain data."""
    listener = context.fleet.nodes["n0"]["callers"]
    address = (listener["host"], listener["port"])
    with socket.create_connection(address, timeout=15) as connection:
        connection.sendall(data)
        if half_close:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in received or b"}" not in received:
                part = connection.recv(65536)
                if not part:
                    break
                received += part
    head, _, body = received.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    return status, json.loads(body) if body.startswith(b"{") else {}, head


@when("each kind of bad request is sent to the callers' listener")
def step_bad_requests(context):
    context.before = sum(
        context.fleet.runner(vm)["requests"] for vm in context.fleet.vms
    )
    context.bad = [(data, want, raw(context, data)) for data, want in _BAD]


@then("each got the status that belongs to it, as a problem")
def step_statuses(context):
    wrong = []
    for data, want, (status, problem, head) in context.bad:
        good = (
            status == want
            and problem.get("ran") == "no"
            and b"application/problem+json" in head
        )
        if not good:
            wrong.append((data[:90], want, status, problem))
    assert not wrong, wrong


@then("nothing of them reached a runner")
def step_nothing_reached(context):
    after = sum(
        context.fleet.runner(vm)["requests"] for vm in context.fleet.vms
    )
    assert after == context.before, (context.before, after)


@then("a good look-up is served after all")
def step_good(context):
    assert context.fleet.call("n0", "GET", "/lookup/x").status == 200


@when("a caller half-closes after 5 of 50 body bytes")
def step_half(context):
    context.before = sum(
        context.fleet.runner(vm)["requests"] for vm in context.fleet.vms
    )
    data = (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"
        b"trunc"
    )
    status, problem, _ = raw(context, data, half_close=True)
    context.reply = fleet.Reply(
        status=status,
        body=json.dumps(problem).encode(),
        headers={"Content-Type": "application/problem+json"},
        seconds=0,
    )


@when("{count:d} senders send their headers byte by byte")
def step_slow(context, count):
    listener = context.fleet.nodes["n0"]["callers"]
    address = (listener["host"], listener["port"])
    senders = []
    for _ in range(count):
        connection = socket.create_connection(address)
        context.stack.callback(connection.close)
        senders.append(connection)
    stopped = threading.Event()
    context.stack.callback(stopped.set)

    def drip():
        text = b"GET /lookup/x HTTP/1.1\r\nX-Slow: " + b"a" * 1000
        for index in range(len(text)):
            for connection in senders:
                with contextlib.suppress(OSError):
                    connection.send(text[index : index + 1])
            if stopped.wait(0.1):
                return

    threading.Thread(target=drip, daemon=True).start()
    time.sleep(0.7)


@then("a good look-up is served in under {seconds:d} s meanwhile")
def step_meanwhile(context, seconds):
    for _ in range(5):
        reply = context.fleet.call("n0", "GET", "/lookup/x")
        assert reply.status == 200, reply
        assert reply.seconds < seconds, reply.seconds


_BAD_DOCUMENTS = [
    ("pools", "p", {"min_available": -1}, "min_available"),
    ("pools", "p", {"min_available": "3"}, "min_available"),
    ("pools", "p", {"min_available": 1, "colour": "red"}, "colour"),
    ("pools", "P P", {"min_available": 1}, "names are"),
    ("pools", "p", {"min_available": 1, "grants": 7}, "grants"),
    ("pools", "p", ["not an object"], "JSON object"),
    (
        "vms",
        "new",
        {"address": "a:1", "domain": "d", "rack": "r", "pool": "nowhere"},
        "no pool",
    ),
    (
        "vms",
        "vm0",
        {
            "address": "a:1",
            "domain": "d",
            "rack": "r",
            "pool": "trails",
            "cores": -4,
        },
        "cores",
    ),
    ("services", "s", {"pool": "trails", "slots_per_vm": 0}, "slots_per_vm"),
    ("services", "s", {"pool": "trails", "batch_share": 1.5}, "batch_share"),
    ("jobs", "j", {"pool": "trails", "cores": 400}, "fits no VM"),
    ("jobs", "j", {"pool": "trails", "accelerators": 1}, "fits no VM"),
    ("jobs", "j", {"pool": "trails", "run_seconds": "long"}, "run_seconds"),
    ("waves", "w", {"pool": "nowhere"}, "no pool"),
    ("teapots", "t", {}, "no kind"),
]


@when("an operator sends each kind of bad document")
def step_bad_documents(context):
    context.rows_before = context.fleet.platform(rows=True)["rows"]
    context.bad = []
    client = context.fleet.operator()
    for kind, name, document, hint in _BAD_DOCUMENTS:
        try:
            client.apply(kind, name, document)
            context.bad.append((kind, document, "accepted"))
        except peridotsill.exceptions.PeridotsillError as error:
            if hint not in str(error):
                context.bad.append((kind, document, str(error)))


@then("each was refused with a clear problem and nothing changed")
def step_documents_refused(context):
    assert not context.bad, context.bad
    rows = context.fleet.platform(rows=True)["rows"]
    for kind in ("pools", "vms", "services", "jobs", "waves"):
        before = {
            k: v for k, v in context.rows_before.items() if k.startswith(kind)
        }
        after = {k: v for k, v in rows.items() if k.startswith(kind)}
        assert before == after, kind


@when("operators and siblings are called without the token")
def step_no_token(context):
    context.codes = []
    for side, path in (
        ("operators", "/v1/nodes"),
        ("operators", "/metrics"),
        ("siblings", "/siblings/state"),
    ):
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            answer = urllib3.request(
                "GET",
                f"http://{context.fleet.address('n0', side)}{path}",
                headers=headers,
            )
            context.codes.append(answer.status)


@then("each call got 401")
def step_unauthorized(context):
    assert set(context.codes) == {401}, context.codes


@then("the callers' listener does not serve them")
def step_not_served(context):
    for path in ("/v1/nodes", "/siblings/state", "/metrics"):
        assert context.fleet.call("n0", "GET", path).status == 404, path


@when("a daemon is started with bad settings")
def step_bad_settings(context):
    settings = json.loads(json.dumps(context.fleet.nodes["n0"]))
    settings["callers"]["port"] = 70000
    settings["limits"]["threads"] = "many"
    settings["timing"]["poll_seconds"] = -1
    settings["colour"] = "red"
    del settings["domain"]
    path = context.fleet.folder / "bad.json"
    path.write_text(json.dumps(settings))
    binary = pathlib.Path(sys.executable).parent / "peridotsilld"
    context.done = subprocess.run(
        [str(binary), "run", str(path)], capture_output=True, text=True
    )


@then("it ends with exit code 2 and names every bad field")
def step_named(context):
    assert context.done.returncode == 2, context.done
    for field in (
        "callers.port",
        "limits.threads",
        "timing.poll_seconds",
        "colour",
        "domain",
    ):
        assert field in context.done.stderr, (field, context.done.stderr)
    assert "Traceback" not in context.done.stderr


def command(context, *words, node=""):
    """Run the command line against one node."""
    binary = pathlib.Path(sys.executable).parent / "peridotsill"
    node = node or context.fleet.address("n0", "operators")
    return subprocess.run(
        [
            str(binary),
            "--node",
            node,
            "--token-file",
            str(context.fleet.token_file),
            *words,
        ],
        capture_output=True,
        text=True,
    )


@when("the command line meets a dead node, an unknown name and a conflict")
def step_command_line(context):
    path = context.fleet.folder / "pool.json"
    document = {"name": "trails", "min_available": 1}
    path.write_text(json.dumps({"pools": [document]}))
    context.done = [
        command(context, "list", "pools", node="127.0.0.1:9"),
        command(context, "get", "pools", "nothing"),
        command(context, "apply", str(path), "--if-match", "999999"),
    ]


@then(
    "the exit codes are {first:d}, {second:d} and {third:d}"
    " and no traceback is shown"
)
def step_exit_codes_are(context, first, second, third):
    codes = [done.returncode for done in context.done]
    assert codes == [first, second, third], context.done
    for done in context.done:
        assert "Traceback" not in done.stderr, done.stderr
        assert len(done.stderr.strip().splitlines()) == 1, done.stderr
