"""Gives each scenario its own resources, and releases them at its end."""

import contextlib
import json
import pathlib

_FAILURES = pathlib.Path(__file__).resolve().parents[2] / "build" / "failures"


def before_scenario(context, scenario):
    """Set up the scenario's context."""
    context.stack = contextlib.ExitStack()
    context.fleet = None
    context.cluster = None
    context.replies = {}
    context.linked = None


def after_scenario(context, scenario):
    """Release the resources; keep the processes' output on a failure."""
    if scenario.status.name == "failed" and context.fleet is not None:
        for path in sorted(context.fleet.folder.glob("*.out")):
            text = path.read_text()
            if text.strip():
                print(f"--- {path.name}\n{text[-2000:]}")
    if scenario.status.name == "failed" and context.cluster is not None:
        _keep_logs(context.cluster, scenario)
    context.stack.close()


def _keep_logs(cluster, scenario):
    """Write what a cluster's nodes logged to a file, in the order of time."""
    lines = [line for node in cluster.nodes for line in node.lines()]
    lines.sort(key=lambda line: line.get("timestamp", 0.0))
    lines += [
        {"node": node.number, "output": line}
        for node in cluster.nodes
        for line in node.other_lines()
    ]
    _FAILURES.mkdir(parents=True, exist_ok=True)
    feature = pathlib.Path(scenario.filename).stem
    path = _FAILURES / f"{feature}-{scenario.line}.jsonl"
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    print(f"--- the nodes' log lines are in build/failures/{path.name}")
