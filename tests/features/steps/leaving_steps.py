"""Leaving upstreams and silent connections."""

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


def load_during(context, seconds, work, rate=60.0, **more):
    """Send look-ups while ``work`` goes on; keep the results."""
    made = context.fleet
    balancer = load.Balancer(
        [made.address(name, "callers") for name in made.nodes]
    )
    shots = load.steady(rate, seconds, 7, "look", path="/lookup/x", **more)
    shots += getattr(context, "extra_shots", [])
    results = []
    thread = threading.Thread(
        target=lambda: results.extend(load.run(balancer, shots))
    )
    thread.start()
    time.sleep(1.0)
    work()
    thread.join()
    balancer.stopped.set()
    context.results = results


def leave(context, vm, signal):
    """Make a VM's leave show in one signal."""
    made = context.fleet
    if signal == "in the platform list":
        made.platform(vms={vm: {"phase": "leaving"}})
    elif signal == "in its answers":
        made.runner(vm, "faults", leaving=True)
    elif signal == "in its answers only":
        made.runner(vm, "faults", leaving=True, quiet_health=-1)
    else:
        order = peridotsill_operators.DrainOrder(operation="leave")
        made.operator("n0").drain_vm(vm, order)


@when('"{vm}" leaves {signal} under load')
def step_leave(context, vm, signal):
    def work():
        leave(context, vm, signal)
        time.sleep(3.0)
        context.after = context.fleet.runner(vm)["requests"]

    load_during(context, 7.0, work)
    context.end = context.fleet.runner(vm)["requests"]
    others = [
        context.fleet.runner(name)["requests"] for name in context.fleet.vms
    ]
    assert sum(others) > 300, others


@then('"{vm}" gets nothing later than 3 s after')
def step_nothing(context, vm):
    assert context.end == context.after, (context.after, context.end)


@then("every look-up of the load was served")
def step_load_served(context):
    counts = load.outcomes(context.results)
    assert set(counts) == {"served"}, counts


@given('a node "{name}" that shares no token with its siblings')
def step_cut(context, name):
    made = context.fleet
    path = made.folder / "other-token"
    path.write_text("quite-another-shared-token")
    settings = made.settings_of(name, len(made.nodes))
    settings["token_file"] = str(path)
    made.nodes[name] = settings
    made.start_node(name)


@when("all connections to runners go silent under look-ups and posts")
def step_silence(context):
    context.extra_shots = load.steady(
        30, 6.0, 8, "post", method="POST", path="/lookup/p"
    )

    def work():
        for vm in context.fleet.vms:
            context.fleet.runner(vm, "faults", silence=True)

    headers = {"Request-Timeout": "2"}
    load_during(context, 6.0, work, headers=headers)


@then("every look-up met its deadline")
def step_met(context):
    looks = [r for r in context.results if r.marker.startswith("look")]
    counts = load.outcomes(looks)
    assert set(counts) == {"served"}, counts
    assert max(r.seconds for r in looks) < 2.0


@then("at most 1% of the posts are unknown")
def step_few_unknown(context):
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
    """Start a fleet whose nodes use links to their peers."""
    made = context.stack.enter_context(fleet.fleet(0, vms))
    context.fleet = made
    context.links = []
    for index in range(nodes):
        settings = made.settings_of(f"n{index}", index)
        if context.linked == "platform":
            target = made.platform_address
        else:
            own = settings["siblings"]
            target = f"{own['host']}:{own['port']}"
        made_link = link.Link(target)
        context.stack.callback(made_link.close)
        context.links.append(made_link)
        if context.linked == "platform":
            settings["platform"] = f"http://{made_link.address}"
        else:
            host, _, port = made_link.address.rpartition(":")
            advertised = {"host": host, "port": int(port)}
            settings["siblings_advertised"] = advertised
        made.nodes[f"n{index}"] = settings
        made.start_node(f"n{index}")
    made.make_pool(pool, list(made.vms), budget)


scenario.STARTERS["linked"] = start_linked


@when("the links' connections go silent")
def step_links_silent(context):
    for each in context.links:
        each.silence()


@then("keyed posts are served again within {seconds:d} s")
def step_posts_again(context, seconds):
    for node in context.fleet.nodes:
        fleet.wait_until(
            lambda: served_post(context, node), seconds, f"post at {node}"
        )


def served_post(context, node):
    """Send a keyed post under a key of its own."""
    context.number = getattr(context, "number", 0) + 1
    reply = scenario.post(context, node, f"again-{context.number}")
    return reply is not None and reply.status == 200


@then("a change is in force on every node within {seconds:d} s")
def step_change_in_force(context, seconds):
    context.execute_steps('When a configuration is applied at "n0"')
    context.execute_steps(
        f"Then every node has its version within {seconds} s"
    )


@then("look-ups at every node are served within {seconds:d} s each")
def step_lookups_fast(context, seconds):
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
            f"{node} sees all",
        )
