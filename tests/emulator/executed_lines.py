"""Counts the lines that the scheduler's package executes."""

import pathlib
import sys
import threading

import peridotsill_scheduler

_PACKAGE = str(pathlib.Path(peridotsill_scheduler.__file__).parent)


def count(function):
    """Return how many lines of the scheduler's package a call executes."""
    counts = {}

    def trace_line(frame, event, arg):
        if event == "line":
            name = frame.f_code.co_qualname
            counts[name] = counts.get(name, 0) + 1
        return trace_line

    def trace_call(frame, event, arg):
        if frame.f_code.co_filename.startswith(_PACKAGE):
            return trace_line(frame, event, arg)
        return None

    assert threading.current_thread() is threading.main_thread()
    former = sys.gettrace()
    sys.settrace(trace_call)
    try:
        function()
    finally:
        sys.settrace(former)
    return counts
