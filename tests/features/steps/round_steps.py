"""Steps for the time that the scheduler's rounds take."""

import time

from behave import given
from behave import then
import eliot
import peridotsill

from peridotsill_jobs import _round_timing


@given("a round whose planning takes {plan:g} s and whose commit {commit:g} s")
def _run_round(context, plan, commit):
    context.counters = peridotsill.Counters()
    context.lines = []
    timer = _round_timing.RoundTimer(counters=context.counters)
    eliot.add_destinations(context.lines.append)
    try:
        with timer.round(open_jobs=lambda: 3):
            with timer.part("plan"):
                time.sleep(plan)
            with timer.part("commit"):
                time.sleep(commit)
    finally:
        eliot.remove_destination(context.lines.append)


def _slow_rounds(context):
    return [
        line for line in context.lines if line["message_type"] == "round:slow"
    ]


@then('one round is logged as slow, and its longest part is "{part}"')
def _check_slow(context, part):
    (line,) = _slow_rounds(context)
    assert max(line["parts"], key=line["parts"].get) == part, line
    assert line["open_jobs"] == 3, line


@then("no round is logged as slow")
def _check_not_slow(context):
    assert not _slow_rounds(context), context.lines


@then("the histogram of rounds has 1 of the whole, and 1 of each part")
def _check_histogram(context):
    text = context.counters.render({}).decode()
    for part in ("all", "plan", "commit"):
        line = f'peridotsill_round_seconds_count{{part="{part}"}} 1'
        assert line in text, text
