"""Steps on odd rows that other writers leave in the registry."""

import io
import json
import time

from behave import then
from behave import when

from peridotsill_jobs import _logs

_NESTED = "[" * 900 + "]" * 900


class _Unprintable:
    def __str__(self):
        raise RecursionError("too deep")


_ODD_VALUES = {
    "a number beyond 64 bits": 1 << 70,
    "a very deeply nested list": json.loads(_NESTED),
    "a key that is no text": {1: 2},
    "a value that can't be printed": _Unprintable(),
}


@when("the log gets a line with {value} between two others")
def _log_odd_line(context, value):
    stream = io.BytesIO()
    writer = _logs.LogWriter(stream=stream)
    writer.start()
    writer.accept({"message_type": "first"})
    writer.accept(
        {"message_type": "odd", "runner": "i-1", "v": _ODD_VALUES[value]}
    )
    # The last line comes after the others were written, or not.
    time.sleep(0.3)
    writer.accept({"message_type": "last"})
    time.sleep(0.3)
    context.lines = [
        json.loads(line) for line in stream.getvalue().splitlines()
    ]
    writer.stop()


@then("all three lines are written, and the odd one names what it left out")
def _all_lines_written(context):
    types_written = [line["message_type"] for line in context.lines]
    assert types_written == ["first", "odd", "last"], context.lines
    odd = context.lines[1]
    assert odd["runner"] == "i-1" and "v" not in odd, odd
    assert list(odd["left_out"]) == ["v"] and odd["left_out"]["v"], odd
