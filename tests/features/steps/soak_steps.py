"""Steps that play seeded series of signals to nodes."""

import concurrent.futures

from behave import then
from behave import when
from emulator import soak


@when("the series of signals of seeds {first:d} and {second:d} are played")
def _play(context, first, second):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.problems = dict(
            zip(
                (first, second),
                pool.map(soak.play, (first, second)),
                strict=True,
            )
        )


@then(
    "no long-lived task ended, all jobs were completed and no rule was broken"
)
def _no_problems(context):
    assert not any(context.problems.values()), context.problems
