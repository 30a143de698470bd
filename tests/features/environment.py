"""Gives each scenario its own resources, and releases them at its end."""

import contextlib


def before_scenario(context, scenario):
    """Set up the scenario's context."""
    context.stack = contextlib.ExitStack()
    context.fleet = None
    context.replies = {}
    context.linked = None


def after_scenario(context, scenario):
    """Release the resources; print the processes' output on a failure."""
    if scenario.status.name == "failed" and context.fleet is not None:
        for path in sorted(context.fleet.folder.glob("*.out")):
            text = path.read_text()
            if text.strip():
                print(f"--- {path.name}\n{text[-2000:]}")
    context.stack.close()
