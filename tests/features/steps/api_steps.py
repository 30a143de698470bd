"""The resource interface and decisions."""

import concurrent.futures
import time

from behave import then
from behave import when
import peridotsill
from standins import fleet
import urllib3

from peridotsill_operators import exceptions as operator_exceptions


@when('{count:d} changes of pool "{pool}" are made while a watch goes on')
def step_changes(context, count, pool):
    client = context.fleet.operator("n0")
    watcher = context.fleet.operator("n1")
    start = watcher.list("pools").revision
    context.seen = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        future = executor.submit(watch_until, watcher, start, count)
        for number in range(count):
            client.apply("pools", pool, {"min_available": 100 + number})
        context.seen = future.result()
    context.last = 100 + count - 1


def watch_until(client, version, count):
    """Watch until the last change was seen."""
    seen = []
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for change in client.watch("pools", version, 2.0):
            seen.append(change)
            version = max(version, change.version)
        if seen and seen[-1].value["min_available"] == 100 + count - 1:
            return seen
    return seen


@then("the watch told the last of them, in order, none twice")
def step_watched(context):
    versions = [change.version for change in context.seen]
    assert versions == sorted(set(versions)), versions
    assert context.seen[-1].value["min_available"] == context.last


@when("{count:d} changes have passed the node")
def step_many_changes(context, count):
    view = peridotsill.View()
    for number in range(count):
        row = peridotsill.Row(
            key="pools/p", value={"n": number}, version=number + 1
        )
        view.merge_rows([row])
    context.view = view


@then("a watch from version {version:d} is told to list again")
def step_too_old(context, version):
    assert context.view.changes_since(version, "pools/", 0.0) is None
    newest = context.view.changes_since(5190, "pools/", 0.0)
    assert len(newest) == 10, newest


@when('{count:d} operators write pool "{pool}" at the same version')
def step_race(context, count, pool):
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
        context.race = list(executor.map(write, range(count)))


@then("one was accepted and the others were told the conflict")
def step_one_accepted(context):
    assert context.race.count("accepted") == 1, context.race
    assert context.race.count("conflict") == len(context.race) - 1


@when("the same pool is applied {count:d} times")
def step_same(context, count):
    nodes = list(context.fleet.nodes)
    context.applied = [
        context.fleet.operator(nodes[number % len(nodes)]).apply(
            "pools", "fresh", {"min_available": 1}
        )
        for number in range(count)
    ]


@then("only the first changed anything")
def step_first(context):
    changed = [each.changed for each in context.applied]
    assert changed == [True] + [False] * (len(changed) - 1), changed


@when('a caller gets "{path}" from "{node}" and the decision is kept')
def step_kept(context, path, node):
    reply = context.fleet.call(node, "GET", path)
    context.subject = reply.headers["Peridotsill-Request-Id"]
    time.sleep(2.5)


@when('"{node}" is killed')
def step_killed(context, node):
    context.fleet.processes[node].kill()


@then('"{node}" explains the request with the inputs it had then')
def step_explains(context, node):
    found = context.fleet.operator(node).explain(context.subject)
    assert [each.kind for each in found.decisions] == ["route"], found
    names = {each.name for each in found.decisions[0].inputs}
    assert {"service", "class", "seconds_left"} <= names, names


@when("nothing happens for {seconds:d} s")
def step_idle(context, seconds):
    before = context.fleet.platform()["counts"]
    time.sleep(seconds)
    after = context.fleet.platform()["counts"]
    nodes = len(context.fleet.nodes)
    context.rates = {
        name: (after[name] - before[name]) / seconds / nodes
        for name in ("reads", "writes")
    }


@then(
    "each node wrote at most {writes:d} time and read at most {reads:d} rows"
    " a second"
)
def step_rates(context, writes, reads):
    assert context.rates["writes"] <= writes, context.rates
    assert context.rates["reads"] <= reads, context.rates


@when('{count:d} pools get a VM at "{first}" and at once a job at "{second}"')
def step_vm_then_job(context, count, first, second):
    makers = context.fleet.operator(first), context.fleet.operator(second)
    context.refused = []
    for number in range(count):
        pool = f"quick-{number}"
        makers[0].apply("pools", pool, {"min_available": 0})
        vm = {**context.fleet.vms["vm0"], "name": pool, "pool": pool}
        makers[0].apply("vms", pool, vm)
        try:
            makers[1].apply("jobs", pool, {"pool": pool})
        except operator_exceptions.OperatorError as error:
            context.refused.append(str(error))


@then("no job was refused")
def step_no_job_refused(context):
    assert not context.refused, context.refused


@then("its metrics tell the calls to the table and their time")
def step_metrics(context):
    answer = urllib3.request(
        "GET",
        f"http://{context.fleet.address('n0', 'operators')}/metrics",
        headers={"Authorization": f"Bearer {fleet.TOKEN}"},
    )
    text = answer.data.decode()
    for name in (
        'platform_calls_total{call="scan",outcome="answered"}',
        'platform_microseconds_total{call="commit"}',
        'requests_total{outcome="served",service="lookup"}',
        "budget_slack_trails",
        "config_version",
    ):
        assert f"peridotsill_{name} " in text, (name, text)
