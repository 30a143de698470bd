"""Each scenario has its own processes and ends them."""

import contextlib


def before_scenario(context, scenario):
    """Prepare the scenario's resources."""
    context.stack = contextlib.ExitStack()
    context.fleet = None
    context.replies = {}
    context.linked = None


def after_scenario(context, scenario):
    """End everything that the scenario started."""
    if scenario.status.name == "failed" and context.fleet is not None:
        for path in sorted(context.fleet.folder.glob("*.out")):
            text = path.read_text()
            if text.strip():
                print(f"--- {path.name}\n{text[-2000:]}")
    context.stack.close()
