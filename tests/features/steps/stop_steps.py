"""Steps for planned stops of nodes under load."""

import socket
import threading
import time

from behave import then
from behave import when
from standins import load


def mixed_load(seconds):
    """Return look-ups, posts with idempotency keys, and long requests."""
    requests = load.poisson_arrivals(40, seconds, 1, "look", path="/lookup/x")
    requests += load.poisson_arrivals(
        10,
        seconds,
        2,
        "long",
        path="/lookup/x",
        headers={"X-Work-Seconds": "1.5", "Peridotsill-Class": "batch"},
    )
    posts = load.poisson_arrivals(
        15, seconds, 3, "post", method="POST", path="/lookup/p"
    )
    for request in posts:
        request.headers["Idempotency-Key"] = request.headers["X-Marker"]
        requests.append(request)
    return requests


@when("each node is replaced under look-ups, posts and long batch requests")
def step_replace_nodes(context):
    test_fleet = context.fleet
    balancer = load.Balancer(
        [test_fleet.address(name, "callers") for name in test_fleet.nodes]
    )
    results = []
    requests = mixed_load(14.0)
    thread = threading.Thread(
        target=lambda: results.extend(load.run(balancer, requests))
    )
    thread.start()
    context.exit_codes = {}
    for index, name in enumerate(list(test_fleet.nodes)):
        replacement = f"r{index}"
        test_fleet.start_node(replacement)
        balancer.addresses.append(test_fleet.address(replacement, "callers"))
        test_fleet.processes[name].terminate()
        context.exit_codes[name] = test_fleet.processes[name].exit_code(60)
        balancer.addresses.remove(test_fleet.address(name, "callers"))
    thread.join()
    balancer.stopped.set()
    context.results = results


@then("no caller was cut and none was refused")
def step_no_request_failed(context):
    counts = load.count_outcomes(context.results)
    failed_results = [r for r in context.results if r.error or r.status != 200]
    assert set(counts) == {"served"}, (counts, failed_results[:3])


@then("each stopped node ended with exit code 0")
def step_exit_codes(context):
    assert set(context.exit_codes.values()) == {0}, context.exit_codes


@then("no runner had more than {limit:d} connections")
def step_connections(context, limit):
    peaks = {
        vm: context.fleet.control_runner(vm)["peak_connections"]
        for vm in context.fleet.vms
    }
    assert max(peaks.values()) <= limit, peaks


@when("a caller reads {size:d} bytes slowly while its node stops")
def step_slow_reader(context, size):
    listener = context.fleet.nodes["n0"]["callers"]
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect((listener["host"], listener["port"]))
    connection.sendall(
        b"GET /lookup/x HTTP/1.1\r\nHost: x\r\nX-Marker: slow\r\n"
        b"Request-Timeout: 60\r\nX-Answer-Bytes: %d\r\n\r\n" % size
    )
    time.sleep(0.3)
    context.fleet.processes["n0"].terminate()
    received = 0
    give_up_at = time.monotonic() + 40
    while time.monotonic() < give_up_at:
        data = connection.recv(65536)
        if not data:
            break
        received += len(data)
        time.sleep(0.01 if received < size // 2 else 0)
    context.received = received
    context.size = size
    context.exit_codes = {"n0": context.fleet.processes["n0"].exit_code(30)}


@then("the slow caller received the whole answer")
def step_slow_caller_complete(context):
    assert context.received > context.size, context.received
    assert context.exit_codes == {"n0": 0}, context.exit_codes
