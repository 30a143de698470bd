"""Configuration changes: commits, pushes, outages, frozen and new nodes."""

import concurrent.futures
import threading
import time
import uuid

from behave import then
from behave import when
import peridotsill
import peridotsill.exceptions
from standins import fleet

import peridotsill_operators


def new_change(ratio=0.1):
    """Return a configuration change with a new id."""
    return peridotsill_operators.ConfigChange(
        change_id=uuid.uuid4().hex,
        values=peridotsill.ConfigValues(retry_ratio=ratio),
    )


def config_versions(context):
    """Return the configuration version of each reachable node."""
    found = {}
    for node in tuple(context.fleet.nodes):
        client = peridotsill_operators.OperatorClient(
            address=context.fleet.address(node, "operators"),
            token=fleet.TOKEN,
            timeout_seconds=0.5,
        )
        try:
            found[node] = client.config().version
        except peridotsill.exceptions.PeridotsillError:
            continue
    return found


def record_versions(context):
    """Record the versions of all nodes in the background."""
    context.seen = []
    stopped = threading.Event()
    context.stack.callback(stopped.set)

    def observe():
        while not stopped.wait(0.1):
            context.seen.append(config_versions(context))

    threading.Thread(target=observe, daemon=True).start()


@when('a configuration is applied at "{node}"')
def step_apply(context, node):
    record_versions(context)
    context.change = new_change()
    context.applied_at = time.monotonic()
    applied = context.fleet.operator(node).apply_config(context.change)
    context.version = applied.version


@when('the same change is applied again at "{node}"')
def step_apply_again(context, node):
    applied = context.fleet.operator(node).apply_config(context.change)
    assert applied.version == context.version, applied
    assert not applied.changed, applied


@then("the history contains the change once")
def step_history_once(context):
    history = context.fleet.operator().config_history()
    ids = [each.change_id for each in history]
    assert ids == [context.change.change_id], ids


@then("every node has its version within {seconds:d} s")
@then("every node has the highest version within {seconds:d} s")
def step_version_everywhere(context, seconds):
    wanted = dict.fromkeys(context.fleet.nodes, context.version)
    fleet.wait_until(lambda: config_versions(context) == wanted, seconds)
    assert time.monotonic() - context.applied_at <= seconds + 0.5


@when("{count:d} configurations are applied at once across all nodes")
def step_apply_concurrently(context, count):
    nodes = list(context.fleet.nodes)
    changes = [new_change(number / 100) for number in range(count)]

    def send(number):
        client = context.fleet.operator(nodes[number % len(nodes)])
        try:
            return client.apply_config(changes[number])
        except peridotsill.exceptions.PeridotsillError:
            return None

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.race = list(zip(changes, pool.map(send, range(count))))
    context.applied_at = time.monotonic()
    accepted = [applied.version for _, applied in context.race if applied]
    context.version = max(accepted)


@then("the accepted changes have distinct versions and are all in the history")
def step_concurrent_all_in_history(context):
    history = {
        each.change_id: each.version
        for each in context.fleet.operator().config_history()
    }
    accepted = [(made, applied) for made, applied in context.race if applied]
    assert len(accepted) >= 2, accepted
    assert len({applied.version for _, applied in accepted}) == len(accepted)
    for made, applied in accepted:
        assert history[made.change_id] == applied.version, (made, applied)
    assert sorted(history.values()) == list(range(1, len(history) + 1))


@when('"{frozen}" is frozen while a configuration is applied at "{node}"')
def step_apply_while_frozen(context, frozen, node):
    context.fleet.processes[frozen].freeze()
    time.sleep(1.5)
    step_apply(context, node)


@when('a caller gets "{path}" from "{node}" right after it resumes')
def step_get_after_resume(context, path, node):
    context.fleet.processes[node].thaw()
    context.reply = context.fleet.call(node, "GET", path)


@then("its route was decided with the new version")
def step_decided_with_new_version(context):
    assert context.reply.status == 200, context.reply
    subject = context.reply.headers["Peridotsill-Request-Id"]
    found = context.fleet.operator().explain(subject).decisions
    assert found[0].config_version == context.version, found


@when('the platform goes down and "{node}" resumes')
def step_outage_and_resume(context, node):
    context.fleet.set_faults(down=1)
    context.fleet.processes[node].thaw()


@when('node "{name}" starts')
def step_start(context, name):
    context.fleet.start_node(name)


@then('"{name}" has the new version before it is ready')
def step_new_node_has_version(context, name):
    assert config_versions(context)[name] == context.version, config_versions(
        context
    )
    reply = context.fleet.call(name, "GET", "/lookup/x")
    assert reply.status == 200, reply


@then("no node's version ever decreased")
def step_never_decreased(context):
    highest = {}
    # A call to a frozen node takes its whole timeout, so there may be few
    # observations so far.
    fleet.wait_until(lambda: len(context.seen) > 5, 10.0)
    for each in context.seen:
        for node, version in each.items():
            assert version >= highest.get(node, 0), (node, version, highest)
            highest[node] = version


@when(
    "the platform goes down for {seconds:d} s"
    ' and a change is attempted at "{node}"'
)
def step_outage_change(context, seconds, node):
    context.fleet.set_faults(down=1)
    started = time.monotonic()
    try:
        context.fleet.operator(node).apply_config(new_change())
        context.refused = False
    except peridotsill.exceptions.PeridotsillError:
        context.refused = True
    time.sleep(max(0.0, seconds - (time.monotonic() - started)))
    context.fleet.set_faults(down=0)
    time.sleep(2.0)


@then("the attempted change was refused and nothing changed")
def step_attempted_refused(context):
    assert context.refused
    assert set(config_versions(context).values()) == {context.version}
