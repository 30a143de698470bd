"""Steps for upstreams that leave and connections that go silent."""

import threading
import time

from behave import given
from behave import then
from behave import when
from standins import fleet
from standins import link
from standins import load
from standins import scenario

import peridotsill_operators


def run_during_load(context, seconds, action, rate=60.0, **load_options):
    """Run ``action`` 1 s into a steady load of look-ups.

    The results of the load go to ``context.results``.
    """
    test_fleet = context.fleet
    balancer = load.Balancer(
        [test_fleet.address(name, "callers") for name in test_fleet.nodes]
    )
    requests = load.poisson_arrivals(
        rate, seconds, 7, "look", path="/lookup/x", **load_options
    )
    requests += getattr(context, "extra_requests", [])
    results = []
    thread = threading.Thread(
        target=lambda: results.extend(load.run(balancer, requests))
    )
    thread.start()
    time.sleep(1.0)
    action()
    thread.join()
    balancer.stopped.set()
    context.results = results


def announce_leave(context, vm, signal):
    """Announce that a VM is leaving, through ``signal``.

    The runner's answers and its health check both show it, unless
    ``signal`` is "in its answers only".
    """
    test_fleet = context.fleet
    if signal == "in the platform list":
        test_fleet.control_platform(vms={vm: {"phase": "leaving"}})
    elif signal == "in its answers":
        test_fleet.control_runner(vm, "faults", leaving=True)
    elif signal == "in its answers only":
        test_fleet.control_runner(vm, "faults", leaving=True, quiet_health=-1)
    else:
        order = peridotsill_operators.DrainRequest(operation="leave")
        test_fleet.operator("n0").drain_vm(vm, order)


@when('"{vm}" leaves {signal} under load')
def step_leave(context, vm, signal):
    def action():
        announce_leave(context, vm, signal)
        time.sleep(3.0)
        context.requests_after_leave = context.fleet.control_runner(vm)[
            "requests"
        ]

    run_during_load(context, 7.0, action)
    context.requests_at_end = context.fleet.control_runner(vm)["requests"]
    others = [
        context.fleet.control_runner(name)["requests"]
        for name in context.fleet.vms
    ]
    assert sum(others) > 300, others


@then('"{vm}" receives no request from 3 s after that on')
def step_no_later_requests(context, vm):
    assert context.requests_at_end == context.requests_after_leave, (
        context.requests_after_leave,
        context.requests_at_end,
    )


@then("every look-up of the load was served")
def step_all_lookups_served(context):
    counts = load.count_outcomes(context.results)
    assert set(counts) == {"served"}, counts


@given('a node "{name}" that shares no token with its siblings')
def step_node_with_other_token(context, name):
    test_fleet = context.fleet
    path = test_fleet.folder / "other-token"
    path.write_text("quite-another-shared-token")
    settings = test_fleet.settings_of(name, len(test_fleet.nodes))
    settings["token_file"] = str(path)
    test_fleet.nodes[name] = settings
    test_fleet.start_node(name)


@when("all connections to runners go silent under look-ups and posts")
def step_runner_connections_silent(context):
    context.extra_requests = load.poisson_arrivals(
        30, 6.0, 8, "post", method="POST", path="/lookup/p"
    )

    def action():
        for vm in context.fleet.vms:
            context.fleet.control_runner(vm, "faults", silence=True)

    headers = {"Request-Timeout": "2"}
    run_during_load(context, 6.0, action, headers=headers)


@then("every look-up met its deadline")
def step_lookups_meet_deadline(context):
    lookups = [r for r in context.results if r.marker.startswith("look")]
    counts = load.count_outcomes(lookups)
    assert set(counts) == {"served"}, counts
    assert max(r.seconds for r in lookups) < 2.0


@then("at most 1% of the posts are unknown")
def step_few_posts_unknown(context):
    posts = [r for r in context.results if r.marker.startswith("post")]
    unknown = [r for r in posts if r.ran == "unknown" or r.error]
    assert len(unknown) * 100 <= len(posts), (len(unknown), len(posts))


@then("no VM was ejected")
def step_not_ejected(context):
    reply = context.fleet.call("n0", "GET", "/lookup/x")
    subject = reply.headers["Peridotsill-Request-Id"]
    found = context.fleet.operator().explain(subject).decisions[0]
    assert len(found.candidates) == len(context.fleet.vms), found


@given("the nodes reach the platform through a link")
def step_platform_link(context):
    context.linked = "platform"


@given("the nodes reach each other through links")
def step_sibling_links(context):
    context.linked = "siblings"


def start_linked(context, nodes, vms, pool, budget):
    """Start a fleet whose nodes connect through a `link.TcpProxy`.

    The links go to the platform or between the nodes, by
    ``context.linked``.
    """
    test_fleet = context.stack.enter_context(fleet.fleet(0, vms))
    context.fleet = test_fleet
    context.links = []
    for index in range(nodes):
        settings = test_fleet.settings_of(f"n{index}", index)
        if context.linked == "platform":
            target = test_fleet.platform_address
        else:
            listener = settings["siblings"]
            target = f"{listener['host']}:{listener['port']}"
        node_link = link.TcpProxy(target)
        context.stack.callback(node_link.close)
        context.links.append(node_link)
        if context.linked == "platform":
            settings["platform"] = f"http://{node_link.address}"
        else:
            host, _, port = node_link.address.rpartition(":")
            advertised = {"host": host, "port": int(port)}
            settings["siblings_advertised"] = advertised
        test_fleet.nodes[f"n{index}"] = settings
        test_fleet.start_node(f"n{index}")
    test_fleet.create_pool(pool, list(test_fleet.vms), budget)


scenario.FLEET_STARTERS["linked"] = start_linked


@when("the links' connections go silent")
def step_links_silent(context):
    for each in context.links:
        each.silence()


@then("keyed posts are served again within {seconds:d} s")
def step_posts_served_again(context, seconds):
    for node in context.fleet.nodes:
        fleet.wait_until(
            lambda: is_post_served(context, node), seconds, f"post at {node}"
        )


def is_post_served(context, node):
    """Send a post with a new idempotency key; tell if it succeeded."""
    context.post_count = getattr(context, "post_count", 0) + 1
    reply = scenario.post_with_key(
        context, node, f"again-{context.post_count}"
    )
    return reply is not None and reply.status == 200


@then("a change is in force on every node within {seconds:d} s")
def step_change_in_force(context, seconds):
    context.execute_steps('When a configuration is applied at "n0"')
    context.execute_steps(
        f"Then every node has its version within {seconds} s"
    )


@then("look-ups at every node are served within {seconds:d} s each")
def step_lookups_served_within(context, seconds):
    for _ in range(10):
        for node in context.fleet.nodes:
            reply = context.fleet.call(
                node, "GET", "/lookup/x", Request_Timeout="5"
            )
            assert reply.status == 200, reply
            assert reply.seconds < seconds, reply


@then("every node is live again to each other within {seconds:d} s")
def step_all_live(context, seconds):
    for node in context.fleet.nodes:
        fleet.wait_until(
            lambda: (
                len(context.fleet.operator(node).nodes())
                == len(context.fleet.nodes)
            ),
            seconds,
            f"{node} lists all nodes",
        )
