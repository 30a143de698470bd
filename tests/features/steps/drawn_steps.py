"""Steps on drawn sequences of faults, judged by the rules."""

from behave import then
from behave import when
from emulator import drawn
import hypothesis
from hypothesis import strategies

_STRIKES = strategies.builds(
    drawn.Strike,
    pause=strategies.floats(0.0, 1.5),
    fault=strategies.sampled_from(drawn.choices()),
)


@when("{count:d} drawn sequences of three faults are played")
def _play(context, count):
    context.wrong = []

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=count,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.tuples(_STRIKES, _STRIKES, _STRIKES))
    def play(sequence):
        wrong = drawn.play(sequence)
        if wrong:
            context.wrong.append((sequence, wrong))

    play()


@then("all jobs were completed in each, and no rule was broken")
def _none_wrong(context):
    assert not context.wrong, context.wrong
