"""Steps on the enumerated model of the start protocol."""

from behave import then
from behave import when
from model import starts

# All states within the model's bounds are fewer than half of this.
_LIMIT = 1_000_000


@when("all states of the start protocol are enumerated")
def _enumerate(context):
    context.verdict = starts.Model().check(_LIMIT)


@when("the states are enumerated without {mechanism}")
def _enumerate_without(context, mechanism):
    left_out = frozenset({starts.Mechanism(mechanism)})
    context.verdict = starts.Model(without=left_out).check(_LIMIT)


@then("no state is wrong")
def _none_wrong(context):
    assert not context.verdict.wrong, context.verdict
    assert context.verdict.states < _LIMIT, "not all states were seen"


@then("a wrong state is found")
def _wrong(context):
    assert context.verdict.wrong, context.verdict
