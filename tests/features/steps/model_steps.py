"""Steps on the model of the start protocol, checked by enumeration."""

from behave import then
from behave import when
from model import late_calls
from model import starts

# Bound of the search; the model has fewer than half as many states.
_MAX_STATES = 1_000_000


_MODELS = {"start protocol": starts, "fencing tokens": late_calls}


@when("all states of the {name} are enumerated")
def _enumerate(context, name):
    context.verdict = _MODELS[name].Model().check(_MAX_STATES)


@when("the states of the {name} are enumerated without {mechanism}")
def _enumerate_without(context, name, mechanism):
    model = _MODELS[name]
    left_out = frozenset({model.Mechanism(mechanism)})
    context.verdict = model.Model(without=left_out).check(_MAX_STATES)


@then("no state violates the protocol")
def _no_violation(context):
    assert not context.verdict.violation, context.verdict
    assert context.verdict.states < _MAX_STATES, "not all states were seen"


@then("a state that violates it is found")
def _violation_found(context):
    assert context.verdict.violation, context.verdict
