"""Steps for the resource interface and the recorded decisions."""

import concurrent.futures
import time

from behave import then
from behave import when
import peridotsill
from standins import fleet
import urllib3

from peridotsill_operators import exceptions as operator_exceptions


@when('pool "{pool}" is changed {count:d} times during a watch')
def step_change_during_watch(context, count, pool):
    client = context.fleet.operator("n0")
    watcher = context.fleet.operator("n1")
    start = watcher.list("pools").revision
    context.changes = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        future = executor.submit(watch_until, watcher, start, count)
        for number in range(count):
            client.apply("pools", pool, {"min_available": 100 + number})
        context.changes = future.result()
    context.last_min_available = 100 + count - 1


def watch_until(client, version, count):
    """Return the changes up to the last one, or those within 20 s."""
    changes = []
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        for change in client.watch("pools", version, 2.0):
            changes.append(change)
            version = max(version, change.version)
        if changes and changes[-1].value["min_available"] == 100 + count - 1:
            return changes
    return changes


@then("the watch reported changes in order, none twice, up to the last")
def step_watch_in_order(context):
    versions = [change.version for change in context.changes]
    assert versions == sorted(set(versions)), versions
    assert (
        context.changes[-1].value["min_available"]
        == context.last_min_available
    )


@when("{count:d} changes are merged into a view")
def step_merge_changes(context, count):
    view = peridotsill.TableView()
    for number in range(count):
        row = peridotsill.Row(
            key="pools/p", value={"n": number}, version=number + 1
        )
        view.merge_rows([row])
    context.view = view


@then("a watch from version {version:d} is told to list again")
def step_watch_version_too_old(context, version):
    assert context.view.changes_since(version, "pools/", 0.0) is None
    newest = context.view.changes_since(5190, "pools/", 0.0)
    assert len(newest) == 10, newest


@when(
    '{count:d} operators write pool "{pool}" at once with the same If-Match'
    " version"
)
def step_concurrent_writes(context, count, pool):
    nodes = list(context.fleet.nodes)
    version = context.fleet.operator().get("pools", pool).version

    def write(number):
        client = context.fleet.operator(nodes[number % len(nodes)])
        try:
            client.apply(
                "pools", pool, {"min_available": 50 + number}, if_match=version
            )
        except operator_exceptions.VersionConflict:
            return "conflict"
        return "accepted"

    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        context.write_outcomes = list(executor.map(write, range(count)))


@then("one write was accepted and the others got a version conflict")
def step_one_accepted(context):
    assert context.write_outcomes.count("accepted") == 1, (
        context.write_outcomes
    )
    assert (
        context.write_outcomes.count("conflict")
        == len(context.write_outcomes) - 1
    )


@when("the same pool document is applied {count:d} times")
def step_apply_repeatedly(context, count):
    nodes = list(context.fleet.nodes)
    context.applied = [
        context.fleet.operator(nodes[number % len(nodes)]).apply(
            "pools", "fresh", {"min_available": 1}
        )
        for number in range(count)
    ]


@then("only the first apply reported a change")
def step_only_first_changed(context):
    changed = [each.changed for each in context.applied]
    assert changed == [True] + [False] * (len(changed) - 1), changed


@when('a caller gets "{path}" from "{node}" and the decision is flushed')
def step_call_and_flush(context, path, node):
    reply = context.fleet.call(node, "GET", path)
    context.subject = reply.headers["Peridotsill-Request-Id"]
    # Nodes flush their decisions to the object store every second.
    time.sleep(2.5)


@when('"{node}" is killed')
def step_kill_node(context, node):
    context.fleet.processes[node].kill()


@then('"{node}" returns the decision about the request with its inputs')
def step_explain_after_loss(context, node):
    found = context.fleet.operator(node).explain(context.subject)
    assert [each.kind for each in found.decisions] == ["route"], found
    names = {each.name for each in found.decisions[0].inputs}
    assert {"service", "class", "seconds_left"} <= names, names


@when("no request is sent for {seconds:d} s")
def step_without_requests(context, seconds):
    before = context.fleet.control_platform()["counts"]
    time.sleep(seconds)
    after = context.fleet.control_platform()["counts"]
    nodes = len(context.fleet.nodes)
    context.rates = {
        name: (after[name] - before[name]) / seconds / nodes
        for name in ("reads", "writes")
    }


@then(
    "each node made at most {writes:d} commit and {reads:d} key or prefix"
    " reads a second"
)
def step_table_rates(context, writes, reads):
    assert context.rates["writes"] <= writes, context.rates
    assert context.rates["reads"] <= reads, context.rates


@when(
    '{count:d} pools get a VM through "{first}" and at once a job through'
    ' "{second}"'
)
def step_job_after_new_vm(context, count, first, second):
    clients = context.fleet.operator(first), context.fleet.operator(second)
    context.refused = []
    for number in range(count):
        pool = f"quick-{number}"
        clients[0].apply("pools", pool, {"min_available": 0})
        vm = {**context.fleet.vms["vm0"], "name": pool, "pool": pool}
        clients[0].apply("vms", pool, vm)
        try:
            clients[1].apply("jobs", pool, {"pool": pool})
        except operator_exceptions.OperatorError as error:
            context.refused.append(str(error))


@then("no job was refused")
def step_no_job_refused(context):
    assert not context.refused, context.refused


@then("the metrics of a node count the calls to the table and their duration")
def step_table_metrics(context):
    response = urllib3.request(
        "GET",
        f"http://{context.fleet.address('n0', 'operators')}/metrics",
        headers={"Authorization": f"Bearer {fleet.TOKEN}"},
    )
    text = response.data.decode()
    for name in (
        'platform_calls_total{call="scan",outcome="answered"}',
        'platform_microseconds_total{call="commit"}',
        'requests_total{outcome="served",service="lookup"}',
        "budget_slack_trails",
        "config_version",
    ):
        assert f"peridotsill_{name} " in text, (name, text)
