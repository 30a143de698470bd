"""Steps on a node that starts."""

import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs

from peridotsill_jobs import _lease
from peridotsill_jobs import _node
from peridotsill_jobs import _settings


@given("a node that has its configuration, and reaches the table")
def _make_node(context):
    with unittest.mock.patch.object(_settings, "make_ports"):
        context.node = _node.JobNode(settings=stubs.node_settings())
    context.node._catalog = unittest.mock.Mock(reachable=True)
    context.node._committer = unittest.mock.Mock()
    context.node._internal_listeners = []


@when("it starts, and its readiness is checked before it accepts callers")
def _start(context):
    context.reasons = []
    context.node._caller_listener = unittest.mock.Mock()
    context.node._caller_listener.start.side_effect = lambda: (
        context.reasons.append(context.node.why_unready())
    )
    with unittest.mock.patch.object(_lease, "acquire_and_schedule"):
        context.node.start()


@then("it is not ready then, as it is starting")
def _not_ready(context):
    assert context.reasons == ["starting"], context.reasons


@then("it is ready once it has started")
def _ready(context):
    assert context.node.why_unready() == ""
