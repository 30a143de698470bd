"""Steps that start a fleet and send simple requests."""

from behave import given
from behave import then
from behave import when
from standins import scenario


@given(
    '{nodes:d} nodes and {vms:d} VMs in pool "{pool}" with budget {budget:d}'
)
def step_start_fleet(context, nodes, vms, pool, budget):
    scenario.start(context, nodes, vms, pool, budget)


@given('service "{service}" on pool "{pool}"')
def step_make_service(context, service, pool):
    context.fleet.create_service(service, pool)


@when('a caller gets "{path}" from each node')
def step_get_each(context, path):
    for node in context.fleet.nodes:
        context.replies[node] = context.fleet.call(
            node, "GET", path, X_Marker=f"mark-{node}"
        )


@then("each response has its own marker and status 200")
def step_answers_match_marker(context):
    for node, reply in context.replies.items():
        assert reply.status == 200, reply
        assert reply.body == f"mark-{node}".encode(), reply


@then("every node explains each request with the VMs it weighed")
def step_every_node_explains(context):
    for reply in context.replies.values():
        subject = reply.headers["Peridotsill-Request-Id"]
        for node in context.fleet.nodes:
            found = context.fleet.operator(node).explain(subject)
            kinds = [each.kind for each in found.decisions]
            assert kinds == ["route"], found
            assert len(found.decisions[0].candidates) == 6, found
