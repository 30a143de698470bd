"""Steps that play seeded series of signals to nodes."""

import concurrent.futures

from behave import then
from behave import when
from emulator import restarts
from emulator import soak


def _play(context, play, seeds):
    """Play the series of some seeds side by side."""
    with concurrent.futures.ThreadPoolExecutor(len(seeds)) as pool:
        problems = pool.map(play, seeds)
        context.problems = dict(zip(seeds, problems, strict=True))


@when("the series of signals of seeds {first:d} and {second:d} are played")
def _play_signals(context, first, second):
    _play(context, soak.play, (first, second))


@when("the series of restarts of seeds {first:d} and {second:d} are played")
def _play_restarts(context, first, second):
    _play(context, restarts.play, (first, second))


@then(
    "no long-lived task ended, all jobs were completed and no rule was broken"
)
@then("all jobs were completed and no rule was broken")
def _no_problems(context):
    assert not any(context.problems.values()), context.problems
