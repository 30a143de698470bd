"""Steps on tasks that crash the runners that start them."""

import json
import re
import time

from behave import given
from behave import then
from behave import when
from emulator import faults
from emulator import nodes

_POOL = "trails"


def _job_id(number):
    return f"{number:016x}"


def _submit(context, number, steps, **options):
    cluster = context.cluster
    node = cluster.nodes[number % len(cluster.nodes)]
    reply = cluster.submit(node, _POOL, _job_id(number), steps, **options)
    assert reply is not None and reply.status == 200, reply


@given("deadly tasks crash their runner after {seconds:g} s")
def _set_deadly_seconds(context, seconds):
    context.cluster.world.deadly_seconds = seconds


@given("VMs that crash lose power, and are back after {seconds:g} s")
def _set_power_loss(context, seconds):
    context.cluster.world.crash_seconds = seconds
    context.cluster.world.crashed_vms_are_silent = True


@when(
    "{count:d} jobs of two steps are submitted, one of them with a deadly task"
)
def _submit_with_deadly(context, count):
    context.deadly_job = count // 2
    context.innocent_jobs = set(range(count)) - {context.deadly_job}
    for number in range(count):
        deadly = (1,) if number == context.deadly_job else ()
        _submit(context, number, nodes.TWO_STEPS, seconds=0.3, deadly=deadly)


@then("the job with the deadly task is failed within {seconds:d} s")
def _deadly_failed(context, seconds):
    context.cluster.wait_state(
        _POOL, _job_id(context.deadly_job), "failed", seconds
    )


@then("at most {count:d} runners crashed under it")
def _few_crashes(context, count):
    assert context.cluster.world.crash_count <= count, (
        context.cluster.world.crash_count
    )


@then("all other jobs are completed within {seconds:d} s")
def _innocent_completed(context, seconds):
    for number in context.innocent_jobs:
        context.cluster.wait_state(
            _POOL, _job_id(number), "completed", seconds
        )


@when("after the first crash {fault}")
def _fault_after_crash(context, fault):
    world = context.cluster.world
    nodes.wait_for(lambda: world.crash_count, 10, "a runner crashed")
    faults.inject(fault, context.cluster)


@then("at most {count:d} runners crashed under it in the first {seconds:d} s")
def _few_crashes_until(context, count, seconds):
    time.sleep(max(0.0, context.submitted_at + seconds - time.monotonic()))
    _few_crashes(context, count)


@then("its job is running, and its other tasks were not stopped")
def _others_run_on(context):
    job = _job_id(context.deadly_job)
    context.cluster.wait_state(_POOL, job, "running", 1)
    runs = context.cluster.world.log.starts_of(job)
    assert "stopped" not in {each.outcome for each in runs}, runs
    running = {each.task for each in runs if not each.ended}
    assert running >= {f"{job}.0.0.1", f"{job}.0.0.2"}, running


_LASTING_JOB = _job_id(0xBEEF)
_LASTING_TASK = f"{_LASTING_JOB}.0.0.0"


def _running(context):
    runs = context.cluster.world.log.starts_of(_LASTING_JOB)
    return {each.task: each for each in runs if not each.ended}


@given(
    "{count:d} long-lived tasks of a job on VMs of their own, of which "
    "{may_miss:d} may be away"
)
def _lasting_job(context, count, may_miss):
    step = {
        "count": count,
        "cpu": 2700,
        "estimated_ms": 900,
        "long_lived": True,
        "may_miss": may_miss,
        "max_per_server": 1,
    }
    _submit(context, 0xBEEF, [step])
    nodes.wait_for(
        lambda: len(_running(context)) == count, 5, "all tasks to run"
    )


@when(
    "{count:d} runners crash under one of them, each {seconds:g} s after it "
    "starts"
)
def _crash_in_turn(context, count, seconds):
    world = context.cluster.world
    for _ in range(count):
        nodes.wait_for(
            lambda: _LASTING_TASK in _running(context), 20, "the task to run"
        )
        run = _running(context)[_LASTING_TASK]
        time.sleep(max(0.0, run.began + seconds - time.monotonic()))
        world.crash(run.runner, restart_after_seconds=4.5)
    context.crashed_at = time.monotonic()


@then("the task runs again within {seconds:d} s")
def _runs_again(context, seconds):
    nodes.wait_for(
        lambda: _LASTING_TASK in _running(context), seconds, "another run"
    )


@then("the job is running, and none of its tasks was stopped")
def _lasting_job_runs(context):
    context.cluster.wait_state(_POOL, _LASTING_JOB, "running", 1)
    runs = context.cluster.world.log.starts_of(_LASTING_JOB)
    assert "stopped" not in {each.outcome for each in runs}, runs


_KINDS = {
    "gang": {"count": 3, "gang": True},
    "speculative": {"count": 3, "speculative": True},
    "long-lived": {"count": 3, "long_lived": True},
    "lone": {"count": 1},
    "recurring": {"count": 2},
}
_OCCURRENCES = {"first_run_ms": 1, "period_ms": 500, "times": 3}


@when(
    "{count:d} jobs of two steps are submitted, and one with a deadly "
    "{kind} task"
)
def _submit_deadly_kind(context, count, kind):
    context.innocent_jobs = set(range(count))
    context.submitted_at = time.monotonic()
    for number in range(count):
        _submit(context, number, nodes.TWO_STEPS, seconds=0.3)
    context.deadly_job = count
    step = {"cpu": 4000, "estimated_ms": 300, **_KINDS[kind]}
    fields = _OCCURRENCES if kind == "recurring" else {}
    _submit(context, count, [step], seconds=0.3, deadly=(0,), **fields)


@then("callers and metrics are told that runners crashed under it")
def _told_why(context):
    cluster = context.cluster
    path = f"/{_POOL}/{_job_id(context.deadly_job)}"
    reply = cluster.call(cluster.nodes[0], "GET", path)
    reason = json.loads(reply.data)["reason"]
    assert re.search(r"runners crashed under task \d\.0\.", reason), reason
    metrics = cluster.metrics(cluster.scheduler())
    assert re.search(
        "peridotsill_tasks_(given_up|held_back)_total", metrics
    ), metrics
