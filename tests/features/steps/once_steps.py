"""At-most-once execution, and refusals that report "not run".

The replies are compared with the runners' log of executed requests.
"""

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
    """Post many keys at once and store the replies by key."""
    with concurrent.futures.ThreadPoolExecutor(len(keys)) as pool:
        replies_of_keys = pool.map(
            lambda key: scenario.post_with_key(context, node, key, **fields),
            keys,
        )
        context.first_replies = dict(zip(keys, replies_of_keys))


@when("{count:d} posts without a key are sent at once")
def step_send_unkeyed(context, count):
    _send_all(context, count, "POST", b"pass")


@when("{count:d} look-ups of {seconds:g} s are sent at once")
def step_send_lookups(context, count, seconds):
    _send_all(context, count, "GET", b"", X_Work_Seconds=str(seconds))


def _send_all(context, count, method, body, **headers):
    nodes = list(context.fleet.nodes)

    def send(number):
        return context.fleet.call(
            nodes[number % len(nodes)],
            method,
            "/passes/log",
            body,
            X_Marker=f"post-{number}",
            Request_Timeout="5",
            **headers,
        )

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.posts = list(pool.map(send, range(count)))


@then("no request that was refused as not run is in the run log")
def step_refused_did_not_run(context):
    runs = scenario.run_counts(context)
    wrongly_refused = [
        (number, runs[f"post-{number}"])
        for number, reply in enumerate(context.posts)
        if reply.ran == "no" and runs[f"post-{number}"]
    ]
    assert not wrongly_refused, wrongly_refused


@then("no request is in the run log twice")
def step_no_request_twice(context):
    twice = {
        m: n for m, n in scenario.run_counts(context).items() if m and n > 1
    }
    assert not twice, twice


@then('{share} of the replies say ran "{ran}"')
def step_share_of_replies(context, share, ran):
    matching = sum(1 for reply in context.posts if reply.ran == ran)
    minimum = {"all": len(context.posts), "most": 20, "some": 1}[share]
    outcomes = collections.Counter(
        (reply.status, reply.ran) for reply in context.posts
    )
    assert matching >= minimum, outcomes


@then("each reply has a Retry-After header")
def step_retry_after(context):
    for reply in context.posts:
        assert int(reply.headers["Retry-After"]) >= 1, reply


@when("all runners are killed")
def step_kill_runners(context):
    _kill_runners(context, left=0)


@when("all runners but one are killed")
def step_kill_other_runners(context):
    _kill_runners(context, left=1)


def _kill_runners(context, left):
    runners = [
        process
        for name, process in context.fleet.processes.items()
        if name.startswith("runner-")
    ]
    for process in runners[left:]:
        process.kill()


@when("{keys:d} keys are each posted {times:d} times at once across all nodes")
def step_post_same_keys(context, keys, times):
    nodes = list(context.fleet.nodes)
    context.keys = [f"key-{number}" for number in range(keys)]
    targets = [
        (nodes[turn % len(nodes)], key)
        for key in context.keys
        for turn in range(times)
    ]
    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        replies = pool.map(
            lambda target: scenario.post_with_key(
                context, *target, X_Work_Seconds="0.05"
            ),
            targets,
        )
        context.all = list(zip((key for _, key in targets), replies))


@then("each key ran exactly once")
def step_ran_exactly_once(context):
    runs = scenario.run_counts(context)
    unexpected = {key: runs[key] for key in context.keys if runs[key] != 1}
    assert not unexpected, unexpected


@then("each key was acknowledged at least once")
def step_acknowledged(context):
    acknowledged = {key for key, reply in context.all if reply.status == 200}
    assert acknowledged == set(context.keys), set(context.keys) - acknowledged
    bodies_match = all(
        reply.body == key.encode()
        for key, reply in context.all
        if reply.status == 200
    )
    assert bodies_match


@when("a key is posted at two nodes with an answer of {size:d} bytes")
def step_post_at_two_nodes(context, size):
    key = f"sized-{size}"
    first = scenario.post_with_key(context, "n0", key, X_Answer_Bytes=size)
    second = scenario.post_with_key(context, "n1", key, X_Answer_Bytes=size)
    context.replies[key] = (first, second, size)


@then("both answers of each key are the same and it ran once")
def step_same_answers(context):
    runs = scenario.run_counts(context)
    for key, (first, second, size) in context.replies.items():
        assert first.status == second.status == 200, (first, second)
        assert len(first.body) == size, len(first.body)
        assert first.body == second.body
        assert runs[key] == 1, runs


@when("a key is posted with two different bodies")
def step_two_bodies(context):
    for body in (b"one", b"two"):
        context.reply = context.fleet.call(
            "n0", "POST", "/passes/log", body, Idempotency_Key="shared"
        )


@then("the second post is refused with {status:d} as not run")
def step_second_refused(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.ran == "no", context.reply


@when(
    '{count:d} keyed posts are sent to "{node}",'
    " which gets {name} while they run"
)
def step_send_and_signal(context, count, node, name):
    context.keys = [f"key-{number}" for number in range(count)]
    process = context.fleet.processes[node]
    number = getattr(signal, name)
    timer = threading.Timer(0.25, process.send, (number,))
    timer.start()
    post_all(context, node, context.keys, X_Work_Seconds="0.2")
    timer.join()
    context.signalled = process


@when('{count:d} keyed posts are sent to "{node}" and the answers {what}')
def step_send_keyed(context, count, node, what):
    context.keys = [f"key-{number}" for number in range(count)]
    post_all(context, node, context.keys)


@when('each is repeated at "{node}" until its outcome is final')
def step_repeat_until_final(context, node):
    process = getattr(context, "signalled", None)
    context.final_replies = dict(context.first_replies)
    context.fleet.wait_ready(node)

    def settle(key):
        end_at = time.monotonic() + 25
        while time.monotonic() < end_at:
            reply = scenario.post_with_key(context, node, key)
            if reply is not None and reply.status == 200:
                context.final_replies[key] = reply
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
    runs = scenario.run_counts(context)
    twice = {key: runs[key] for key in context.keys if runs[key] > 1}
    assert not twice, twice


@then("each acknowledged key ran")
def step_acknowledged_ran(context):
    runs = scenario.run_counts(context)
    replies = [*context.first_replies.items(), *context.final_replies.items()]
    acknowledged = {
        key for key, reply in replies if reply and reply.status == 200
    }
    missing = {key for key in acknowledged if not runs[key]}
    assert not missing, missing
    wrongly_refused = {
        key
        for key, reply in context.first_replies.items()
        if reply is not None
        and reply.ran == "no"
        and runs[key]
        and key not in acknowledged
    }
    assert not wrongly_refused, wrongly_refused


@when(
    "the platform is down for {seconds:d} s while keyed posts and look-ups"
    " are sent"
)
def step_outage(context, seconds):
    context.keyed, context.lookups = [], []
    context.fleet.set_faults(down=1)
    end_at = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < end_at:
        node = list(context.fleet.nodes)[turn % len(context.fleet.nodes)]
        context.keyed.append(
            scenario.post_with_key(context, node, f"outage-{turn}")
        )
        context.lookups.append(context.fleet.call(node, "GET", "/passes/x"))
        turn += 1
        time.sleep(0.05)
    context.fleet.set_faults(down=0)


@then("every keyed post was refused as not run in under {seconds:d} s")
def step_keyed_refused(context, seconds):
    for reply in context.keyed:
        assert reply.status == 503 and reply.ran == "no", reply
        assert reply.seconds < seconds, reply
        assert "Retry-After" in reply.headers, reply
    runs = scenario.run_counts(context)
    assert not any(marker.startswith("outage") for marker in runs), runs


@then("every look-up was served")
def step_lookups_served(context):
    assert context.lookups
    failed = [reply for reply in context.lookups if reply.status != 200]
    assert not failed, failed[:2]


@given('the platform has fault "{fault}" at {amount:g}')
def step_platform_fault(context, fault, amount):
    context.fleet.set_faults(**{fault: amount, "late_seconds": 2.0})


@when("the platform's faults are cleared")
def step_clear_faults(context):
    context.fleet.set_faults(lost_answers=0, late_commits=0, table_slow=0)
    fleet.wait_until(
        lambda: context.fleet.call("n0", "GET", "/readyz").status == 200
    )


@then("each key was served at its first attempt")
def step_served_at_first_attempt(context):
    failed = {
        k: r
        for k, r in context.first_replies.items()
        if not r or r.status != 200
    }
    assert not failed, failed


@when("new claims expire after {seconds:g} s")
def step_claim_seconds(context, seconds):
    change = peridotsill_operators.ConfigChange(
        change_id="short-claims",
        values=peridotsill.ConfigValues(claim_seconds=seconds),
    )
    context.fleet.operator("n0").apply_config(change)


@when('{count:d} more keyed posts are sent to "{node}"')
def step_send_more_keyed(context, count, node):
    post_all(context, node, [f"more-{number}" for number in range(count)])


@then(
    "only the first {count:d} claims are left in the table"
    " within {seconds:d} s"
)
def step_claims_left(context, count, seconds):
    def claim_keys():
        rows = context.fleet.control_platform(rows=True)["rows"]
        return [key for key in rows if key.startswith("claims/")]

    assert len(claim_keys()) >= count
    fleet.wait_until(lambda: len(claim_keys()) == count, seconds, "cleaned")


@when('a look-up is sent to "{node}"')
def step_send_lookup(context, node):
    context.lookup = context.fleet.call(
        node, "GET", "/passes/deadly", X_Marker="deadly", Request_Timeout="5"
    )


@then(
    "the look-up ran at {count:d} runners, and is refused as unknown "
    "without a Retry-After"
)
def step_lookup_refused(context, count):
    reply = context.lookup
    assert (reply.status, reply.ran) == (502, "unknown"), reply
    assert "Retry-After" not in reply.headers, reply
    runs = scenario.run_counts(context)
    assert runs["deadly"] == count, runs


@then("the refusal says that runners closed the connection under it")
def step_refusal_says_why(context):
    assert b"closed the connection under" in context.lookup.body, (
        context.lookup.body
    )
