"""At most once, and the truth of "not run"; the run log judges."""

import collections
import concurrent.futures
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
import peridotsill
from standins import fleet
from standins import scenario

import peridotsill_operators


def post_all(context, node, keys, **fields):
    """Post many keys at once and keep the replies."""
    with concurrent.futures.ThreadPoolExecutor(len(keys)) as pool:
        found = pool.map(
            lambda key: scenario.post(context, node, key, **fields), keys
        )
        context.first = dict(zip(keys, found))


@when("{count:d} posts without a key are sent at once")
def step_posts(context, count):
    nodes = list(context.fleet.nodes)

    def send(number):
        return context.fleet.call(
            nodes[number % len(nodes)],
            "POST",
            "/passes/log",
            b"pass",
            X_Marker=f"post-{number}",
            Request_Timeout="5",
        )

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.posts = list(pool.map(send, range(count)))


@then("no request that was refused as not run is in the run log")
def step_truth(context):
    runs = scenario.counted(context)
    lies = [
        (number, runs[f"post-{number}"])
        for number, reply in enumerate(context.posts)
        if reply.ran == "no" and runs[f"post-{number}"]
    ]
    assert not lies, lies


@then("no request is twice in the run log")
def step_not_twice(context):
    twice = {m: n for m, n in scenario.counted(context).items() if m and n > 1}
    assert not twice, twice


@then('{share} of the replies say ran "{ran}"')
def step_share(context, share, ran):
    said = sum(1 for reply in context.posts if reply.ran == ran)
    least = {"all": len(context.posts), "most": 20, "some": 1}[share]
    outcomes = collections.Counter(
        (reply.status, reply.ran) for reply in context.posts
    )
    assert said >= least, outcomes


@then("each reply says when to come back")
def step_retry_after(context):
    for reply in context.posts:
        assert int(reply.headers["Retry-After"]) >= 1, reply


@when("all runners are killed")
def step_kill_runners(context):
    for name, process in context.fleet.processes.items():
        if name.startswith("runner-"):
            process.kill()


@when("{keys:d} keys are each posted {times:d} times at once over all nodes")
def step_same_keys(context, keys, times):
    nodes = list(context.fleet.nodes)
    context.keys = [f"key-{number}" for number in range(keys)]
    orders = [
        (nodes[turn % len(nodes)], key)
        for key in context.keys
        for turn in range(times)
    ]
    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        replies = pool.map(
            lambda order: scenario.post(
                context, *order, X_Work_Seconds="0.05"
            ),
            orders,
        )
        context.all = list(zip((key for _, key in orders), replies))


@then("each key ran exactly once")
def step_exactly_once(context):
    runs = scenario.counted(context)
    wrong = {key: runs[key] for key in context.keys if runs[key] != 1}
    assert not wrong, wrong


@then("each key was acknowledged at least once")
def step_acknowledged(context):
    good = {key for key, reply in context.all if reply.status == 200}
    assert good == set(context.keys), set(context.keys) - good
    own = all(
        reply.body == key.encode()
        for key, reply in context.all
        if reply.status == 200
    )
    assert own


@when("a key is posted with an answer of {size:d} bytes and again elsewhere")
def step_repeat(context, size):
    key = f"sized-{size}"
    first = scenario.post(context, "n0", key, X_Answer_Bytes=size)
    second = scenario.post(context, "n1", key, X_Answer_Bytes=size)
    context.replies[key] = (first, second, size)


@then("both answers of each key are the same and it ran once")
def step_same_answers(context):
    runs = scenario.counted(context)
    for key, (first, second, size) in context.replies.items():
        assert first.status == second.status == 200, (first, second)
        assert len(first.body) == size, len(first.body)
        assert first.body == second.body
        assert runs[key] == 1, runs


@when("a key is posted with two bodies")
def step_two_bodies(context):
    for body in (b"one", b"two"):
        context.reply = context.fleet.call(
            "n0", "POST", "/passes/log", body, Idempotency_Key="shared"
        )


@then("the second is refused with {status:d} as not run")
def step_refused(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.ran == "no", context.reply


@when(
    '{count:d} keyed posts are sent to "{node}", which gets {name} meanwhile'
)
def step_signal(context, count, node, name):
    context.keys = [f"key-{number}" for number in range(count)]
    process = context.fleet.processes[node]
    number = getattr(signal, name)
    timer = threading.Timer(0.25, process.send, (number,))
    timer.start()
    post_all(context, node, context.keys, X_Work_Seconds="0.2")
    timer.join()
    context.signalled = process


@when('{count:d} keyed posts are sent to "{node}" and the answers {what}')
def step_send(context, count, node, what):
    context.keys = [f"key-{number}" for number in range(count)]
    post_all(context, node, context.keys)


@when('each is repeated at "{node}" until its answer is final')
def step_repeat_all(context, node):
    process = getattr(context, "signalled", None)
    context.final = dict(context.first)
    context.fleet.wait_ready(node)

    def settle(key):
        until = time.monotonic() + 25
        while time.monotonic() < until:
            reply = scenario.post(context, node, key)
            if reply is not None and reply.status == 200:
                context.final[key] = reply
                return
            lost = reply is not None and "lost" in reply.detail
            if lost and process is None:
                return
            if lost:
                break
            time.sleep(0.3)

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        list(pool.map(settle, context.keys))
    if process is not None:
        process.thaw()
        time.sleep(1.5)


@then("no key ran twice")
def step_no_key_twice(context):
    runs = scenario.counted(context)
    twice = {key: runs[key] for key in context.keys if runs[key] > 1}
    assert not twice, twice


@then("each acknowledged key ran")
def step_acknowledged_ran(context):
    runs = scenario.counted(context)
    replies = [*context.first.items(), *context.final.items()]
    good = {key for key, reply in replies if reply and reply.status == 200}
    missing = {key for key in good if not runs[key]}
    assert not missing, missing
    lies = {
        key
        for key, reply in context.first.items()
        if reply is not None
        and reply.ran == "no"
        and runs[key]
        and key not in good
    }
    assert not lies, lies


@when(
    "the platform is down for {seconds:d} s while keyed posts and look-ups"
    " are sent"
)
def step_outage(context, seconds):
    context.keyed, context.lookups = [], []
    context.fleet.faults(down=1)
    until = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < until:
        node = list(context.fleet.nodes)[turn % len(context.fleet.nodes)]
        context.keyed.append(scenario.post(context, node, f"outage-{turn}"))
        context.lookups.append(context.fleet.call(node, "GET", "/passes/x"))
        turn += 1
        time.sleep(0.05)
    context.fleet.faults(down=0)


@then("every keyed post was refused as not run in under {seconds:d} s")
def step_keyed_refused(context, seconds):
    for reply in context.keyed:
        assert reply.status == 503 and reply.ran == "no", reply
        assert reply.seconds < seconds, reply
        assert "Retry-After" in reply.headers, reply
    runs = scenario.counted(context)
    assert not any(marker.startswith("outage") for marker in runs), runs


@then("every look-up was served")
def step_lookups_served(context):
    assert context.lookups
    bad = [reply for reply in context.lookups if reply.status != 200]
    assert not bad, bad[:2]


@given('the platform has fault "{fault}" at {amount:g}')
def step_platform_fault(context, fault, amount):
    context.fleet.faults(**{fault: amount, "late_seconds": 2.0})


@when("the platform is well again")
def step_well(context):
    context.fleet.faults(lost_answers=0, late_commits=0, table_slow=0)
    fleet.wait_until(
        lambda: context.fleet.call("n0", "GET", "/readyz").status == 200
    )


@then("each key was served at its first try")
def step_first_try(context):
    bad = {k: r for k, r in context.first.items() if not r or r.status != 200}
    assert not bad, bad


@when("claims are kept for {seconds:g} s from now on")
def step_claim_seconds(context, seconds):
    change = peridotsill_operators.ConfigChange(
        change_id="short-claims",
        values=peridotsill.ConfigValues(claim_seconds=seconds),
    )
    context.fleet.operator("n0").apply_config(change)


@when('{count:d} more keyed posts are sent to "{node}"')
def step_more(context, count, node):
    post_all(context, node, [f"more-{number}" for number in range(count)])


@then("the table holds just the first {count:d} claims within {seconds:d} s")
def step_claims_left(context, count, seconds):
    def requests():
        rows = context.fleet.platform(rows=True)["rows"]
        return [key for key in rows if key.startswith("claims/")]

    assert len(requests()) >= count
    fleet.wait_until(lambda: len(requests()) == count, seconds, "cleaned")
