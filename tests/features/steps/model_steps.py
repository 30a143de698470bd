"""Steps on the model of the start protocol, checked by enumeration."""

from behave import then
from behave import when
from model import late_calls
from model import starts

# Bound of the search; the model has fewer than half as many states.
_MAX_STATES = 1_000_000


@when("all states of the start protocol are enumerated")
def _enumerate(context):
    context.verdict = starts.Model().check(_MAX_STATES)


@when("the states are enumerated without {mechanism}")
def _enumerate_without(context, mechanism):
    left_out = frozenset({starts.Mechanism(mechanism)})
    context.verdict = starts.Model(without=left_out).check(_MAX_STATES)


@when("all states of the fencing tokens are enumerated")
def _enumerate_tokens(context):
    context.verdict = late_calls.Model().check(_MAX_STATES)


@when("the states of the fencing tokens are enumerated without {mechanism}")
def _enumerate_tokens_without(context, mechanism):
    left_out = frozenset({late_calls.Mechanism(mechanism)})
    context.verdict = late_calls.Model(without=left_out).check(_MAX_STATES)


@then("no state violates the protocol")
def _no_violation(context):
    assert not context.verdict.violation, context.verdict
    assert context.verdict.states < _MAX_STATES, "not all states were seen"


@then("a state that violates it is found")
def _violation_found(context):
    assert context.verdict.violation, context.verdict
