"""Steps on runners whose address refuses connections while they live."""

from behave import then
from behave import when
from emulator import nodes

_POOL = "trails"
_STEPS = [{"count": 6, "cpu": 4000, "estimated_ms": 3000}]


def _job_id(number):
    return f"{number:016x}"


def _runners_by_load(world):
    """Return the runners that have runs, those with the most first."""
    runners = [each for each in tuple(world.runners.values()) if each.runs]
    return sorted(runners, key=lambda runner: -len(runner.runs))


@when("{count:d} jobs with tasks of {seconds:g} s run")
def _submit_and_wait(context, count, seconds):
    cluster = context.cluster
    context.job_count = count
    for number in range(count):
        node = cluster.nodes[number % len(cluster.nodes)]
        reply = cluster.submit(
            node, _POOL, _job_id(number), _STEPS, seconds=seconds
        )
        assert reply is not None and reply.status == 200, reply
    nodes.wait_for(
        lambda: len(_runners_by_load(cluster.world)) > 1,
        10,
        "tasks run on two runners",
    )


@when("{count:d} of their runners refuse connections for {seconds:g} s")
def _refuse(context, count, seconds):
    world = context.cluster.world
    for runner in _runners_by_load(world)[:count]:
        world.refuse_connections(runner, seconds)


@then("all the jobs are completed within {seconds:d} s")
def _all_completed(context, seconds):
    for number in range(context.job_count):
        context.cluster.wait_state(
            _POOL, _job_id(number), "completed", seconds
        )
