"""Steps on answers: complete, and matched to their own request."""

import concurrent.futures
import hashlib

from behave import given
from behave import then
from behave import when
import urllib3


@given('every runner will "{fault}"')
def step_fault_everywhere(context, fault):
    for vm in context.fleet.vms:
        context.fleet.control_runner(vm, "faults", **{fault: -1})


@given('runner "{vm}" will "{fault}" always')
def step_fault_at_runner(context, vm, fault):
    context.fleet.control_runner(vm, "faults", **{fault: -1}, seconds=1.0)


@when(
    "{callers:d} callers send {count:d} requests each, with different bodies"
)
def step_concurrent_callers(context, callers, count):
    nodes = list(context.fleet.nodes)

    def send(caller):
        pairs = []
        for turn in range(count):
            body = f"{caller}/{turn}/".encode() * (caller + 1)
            node = nodes[(caller + turn) % len(nodes)]
            reply = context.fleet.call(node, "POST", "/lookup/own", body)
            pairs.append((body, reply))
        return pairs

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        pairs_by_caller = list(pool.map(send, range(callers)))
    context.pairs = [pair for each in pairs_by_caller for pair in each]


@when('a caller gets "{path}" with "{header}"')
def step_get_with_header(context, path, header):
    name, _, value = header.partition(": ")
    fields = {name.replace("-", "_"): value}
    context.reply = context.fleet.call("n0", "GET", path, **fields)


@then('the reply is a {status:d} problem that says ran "{ran}"')
def step_problem(context, status, ran):
    assert context.reply.status == status, context.reply
    assert context.reply.ran == ran, context.reply
    content_type = context.reply.headers["Content-Type"]
    assert content_type == "application/problem+json", content_type


@when("{count:d} look-ups are sent one after the other")
def step_sequential_lookups(context, count):
    step_lookups_with_deadline(context, count, 10.0)


@when("{count:d} look-ups with a deadline of {seconds:g} s are sent")
def step_lookups_with_deadline(context, count, seconds):
    context.pairs = []
    nodes = list(context.fleet.nodes)
    for turn in range(count):
        marker = f"turn-{turn}"
        reply = context.fleet.call(
            nodes[turn % len(nodes)],
            "GET",
            "/lookup/x",
            X_Marker=marker,
            Request_Timeout=seconds,
        )
        context.pairs.append((marker.encode(), reply))


@then("each request got status 200 and its own body")
def step_each_own_body(context):
    bad = [
        (body[:40], reply.status, reply.body[:120])
        for body, reply in context.pairs
        if reply.status != 200 or reply.body != body
    ]
    assert not bad, (len(bad), len(context.pairs), bad[:3])


@then("every answer with status 200 belongs to its request")
def step_successes_are_own(context):
    succeeded = [(b, r) for b, r in context.pairs if r.status == 200]
    assert len(succeeded) > len(context.pairs) // 2, len(succeeded)
    bad = [(b, r.body[:60]) for b, r in succeeded if r.body != b]
    assert not bad, bad[:3]


@when("a caller gets {size:d} bytes from each node")
def step_get_long_answers(context, size):
    context.pairs = []
    context.truncated = 0
    for node in context.fleet.nodes:
        seed = hashlib.sha256(node.encode()).hexdigest().encode()
        body = (seed * (size // len(seed) + 1))[:size]
        try:
            reply = context.fleet.call(
                node, "GET", "/lookup/x", X_Marker=node, X_Answer_Bytes=size
            )
            context.pairs.append((body, reply))
        except urllib3.exceptions.HTTPError:
            context.truncated += 1


@then("each caller saw that its answer was truncated")
def step_answers_truncated(context):
    assert context.truncated == len(context.fleet.nodes), context.pairs
