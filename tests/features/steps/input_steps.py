"""Steps that send invalid input as callers and as operators."""

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

_BAD_REQUESTS = [
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


def send_raw(context, data, *, half_close=False):
    """Send bytes; return the response's status, JSON body and raw header.

    With ``half_close``, the sending side is then shut down, as by a caller
    that ends in the middle of a request.
    """
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
def step_send_bad_requests(context):
    context.requests_before = sum(
        context.fleet.control_runner(vm)["requests"]
        for vm in context.fleet.vms
    )
    context.responses = [
        (data, expected_status, send_raw(context, data))
        for data, expected_status in _BAD_REQUESTS
    ]


@then("each got its expected status in a problem document")
def step_expected_statuses(context):
    mismatches = []
    for data, expected_status, (status, problem, head) in context.responses:
        matches = (
            status == expected_status
            and problem.get("ran") == "no"
            and b"application/problem+json" in head
        )
        if not matches:
            mismatches.append((data[:90], expected_status, status, problem))
    assert not mismatches, mismatches


@then("none of them reached a runner")
def step_none_reached_runner(context):
    after = sum(
        context.fleet.control_runner(vm)["requests"]
        for vm in context.fleet.vms
    )
    assert after == context.requests_before, (context.requests_before, after)


@then("a valid look-up is still served")
def step_valid_request_served(context):
    assert context.fleet.call("n0", "GET", "/lookup/x").status == 200


@when("a caller half-closes after 5 of 50 body bytes")
def step_half_close(context):
    context.requests_before = sum(
        context.fleet.control_runner(vm)["requests"]
        for vm in context.fleet.vms
    )
    data = (
        b"POST /lookup/b HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"
        b"trunc"
    )
    status, problem, _ = send_raw(context, data, half_close=True)
    context.reply = fleet.Reply(
        status=status,
        body=json.dumps(problem).encode(),
        headers={"Content-Type": "application/problem+json"},
        seconds=0,
    )


@when("{count:d} senders send their headers byte by byte")
def step_slow_senders(context, count):
    listener = context.fleet.nodes["n0"]["callers"]
    address = (listener["host"], listener["port"])
    senders = []
    for _ in range(count):
        connection = socket.create_connection(address)
        context.stack.callback(connection.close)
        senders.append(connection)
    stopped = threading.Event()
    context.stack.callback(stopped.set)

    def send_bytes():
        text = b"GET /lookup/x HTTP/1.1\r\nX-Slow: " + b"a" * 1000
        for index in range(len(text)):
            for connection in senders:
                with contextlib.suppress(OSError):
                    connection.send(text[index : index + 1])
            if stopped.wait(0.1):
                return

    threading.Thread(target=send_bytes, daemon=True).start()
    time.sleep(0.7)


@then("a valid look-up is still served in under {seconds:d} s")
def step_valid_request_fast(context, seconds):
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
def step_send_bad_documents(context):
    context.rows_before = context.fleet.control_platform(rows=True)["rows"]
    context.wrong_results = []
    client = context.fleet.operator()
    for kind, name, document, expected_text in _BAD_DOCUMENTS:
        try:
            client.apply(kind, name, document)
            context.wrong_results.append((kind, document, "accepted"))
        except peridotsill.exceptions.PeridotsillError as error:
            if expected_text not in str(error):
                context.wrong_results.append((kind, document, str(error)))


@then("each was refused with its fault named and no row changed")
def step_documents_refused(context):
    assert not context.wrong_results, context.wrong_results
    rows = context.fleet.control_platform(rows=True)["rows"]
    for kind in ("pools", "vms", "services", "jobs", "waves"):
        before = {
            k: v for k, v in context.rows_before.items() if k.startswith(kind)
        }
        after = {k: v for k, v in rows.items() if k.startswith(kind)}
        assert before == after, kind


@when("operators and siblings are called without the token")
def step_call_without_token(context):
    context.statuses = []
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
            context.statuses.append(answer.status)


@then("each call got 401")
def step_unauthorized(context):
    assert set(context.statuses) == {401}, context.statuses


@then("the callers' listener does not serve their paths")
def step_not_served_to_callers(context):
    for path in ("/v1/nodes", "/siblings/state", "/metrics"):
        assert context.fleet.call("n0", "GET", path).status == 404, path


@when("a daemon is started with bad settings")
def step_start_with_bad_settings(context):
    settings = json.loads(json.dumps(context.fleet.nodes["n0"]))
    settings["callers"]["port"] = 70000
    settings["limits"]["threads"] = "many"
    settings["timing"]["poll_seconds"] = -1
    settings["colour"] = "red"
    del settings["domain"]
    path = context.fleet.folder / "bad.json"
    path.write_text(json.dumps(settings))
    binary = pathlib.Path(sys.executable).parent / "peridotsilld"
    context.completed = subprocess.run(
        [str(binary), "run", str(path)], capture_output=True, text=True
    )


@then("it exits with code 2 and names every bad field")
def step_fields_named(context):
    assert context.completed.returncode == 2, context.completed
    for field in (
        "callers.port",
        "limits.threads",
        "timing.poll_seconds",
        "colour",
        "domain",
    ):
        assert field in context.completed.stderr, (
            field,
            context.completed.stderr,
        )
    assert "Traceback" not in context.completed.stderr


def run_cli(context, *arguments, node=""):
    """Run the CLI against one node, by default n0."""
    binary = pathlib.Path(sys.executable).parent / "peridotsill"
    node = node or context.fleet.address("n0", "operators")
    return subprocess.run(
        [
            str(binary),
            "--node",
            node,
            "--token-file",
            str(context.fleet.token_file),
            *arguments,
        ],
        capture_output=True,
        text=True,
    )


@when("the CLI is run with a dead node, an unknown name and a conflict")
def step_run_failing_commands(context):
    path = context.fleet.folder / "pool.json"
    document = {"name": "trails", "min_available": 1}
    path.write_text(json.dumps({"pools": [document]}))
    context.completed = [
        run_cli(context, "list", "pools", node="127.0.0.1:9"),
        run_cli(context, "get", "pools", "nothing"),
        run_cli(context, "apply", str(path), "--if-match", "999999"),
    ]


@then(
    "the exit codes are {first:d}, {second:d} and {third:d}"
    " and no traceback is shown"
)
def step_exit_codes(context, first, second, third):
    codes = [process.returncode for process in context.completed]
    assert codes == [first, second, third], context.completed
    for process in context.completed:
        assert "Traceback" not in process.stderr, process.stderr
        assert len(process.stderr.strip().splitlines()) == 1, process.stderr
