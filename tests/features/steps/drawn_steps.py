"""Steps that inject random sequences of faults and check the rules.

hypothesis draws the sequences. With ``derandomize`` it derives them from the
source of the test function, so any edit of that function draws others.
"""

from behave import then
from behave import when
from emulator import drawn
import hypothesis
from hypothesis import strategies

_STRIKES = strategies.builds(
    drawn.TimedFault,
    pause=strategies.floats(0.0, 1.5),
    fault=strategies.sampled_from(drawn.repeatable_faults()),
)


@when("{count:d} random sequences of three faults are injected")
def _inject_sequences(context, count):
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
def _no_problems(context):
    assert not context.wrong, context.wrong
