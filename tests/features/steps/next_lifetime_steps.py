"""Steps on orders and polls that reach the next lifetime of a runner."""

import time

from behave import when
from emulator import nodes


def _submit(context, name, count, seconds):
    reply = context.cluster.submit(
        context.cluster.nodes[0],
        "trails",
        nodes.job_id(name),
        [{"count": count, "cpu": 1000, "estimated_ms": 100}],
        seconds=seconds,
    )
    assert reply is not None and reply.status == 200, reply


@when("20 tasks have ended on the runner")
def _many_ends(context):
    world = context.cluster.world
    context.jobs = ["first"]
    _submit(context, "first", 20, 0.1)
    nodes.wait_for(
        lambda: sum(i.outcome == "done" for i in world.log.intervals) == 20,
        10.0,
        "20 ends",
    )
    time.sleep(0.5)


@when("it starts again under its id while jobs of {seconds:g} s start on it")
def _restart(context, seconds):
    world = context.cluster.world
    (runner,) = [r for r in world.runners.values() if r.up]
    runner = world.restart(runner)
    runner.faults.hold_seconds = 0.4
    for number in range(6):
        context.jobs.append(f"j{number}")
        _submit(context, f"j{number}", 2, seconds)


@when(
    "its runner starts again, begins tasks of {seconds:g} s, and is cut off "
    "for {cut:g} s"
)
def _restart_and_cut(context, seconds, cut):
    world = context.cluster.world
    context.jobs = ["a0"]
    time.sleep(9.0)
    _submit(context, "a0", 1, 0.1)
    nodes.wait_for(lambda: world.log.intervals, 5.0, "a start")
    time.sleep(0.3)
    restarted = []
    for runner in [r for r in world.runners.values() if r.up]:
        runner = world.restart(runner)
        runner.faults.hold_seconds = 0.5
        restarted.append(runner)
    context.jobs.append("a1")
    _submit(context, "a1", 3, seconds)
    nodes.wait_for(
        lambda: any(r.runs for r in restarted), 5.0, "a start after"
    )
    for runner in restarted:
        if runner.runs:
            runner.faults.silent = True
        else:
            runner.faults.hold_seconds = 0.0
    time.sleep(cut)
    for runner in restarted:
        runner.faults.silent = False
        runner.faults.hold_seconds = 0.0
