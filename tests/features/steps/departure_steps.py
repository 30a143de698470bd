"""Steps on runners that are gone, or only seem to be, at a takeover."""

import socket
import time

from behave import then
from behave import when
from emulator import nodes
from emulator import wire

# Longer than any wait for a lease, so that a failure tells how long it took.
_LONGEST_WAIT_SECONDS = 20.0


def _intervals(context, name):
    return context.cluster.world.log.starts_of(nodes.job_id(name))


def _running(context, name):
    """Return the runs of a job that last, as of now."""
    for runner in tuple(context.cluster.world.runners.values()):
        runner.end_due_runs()
    return [each for each in _intervals(context, name) if not each.ended]


def _choose_runner(context, name):
    """Return a runner with runs of a job, and note it for later steps."""
    context.chosen_runner = _running(context, name)[0].runner
    return context.chosen_runner


def _lease_row(context):
    return context.cluster.world.read("control", "scheduler")


def _kill_scheduler(context):
    """Kill the scheduler, as the latest disturbance."""
    context.killed = context.cluster.scheduler()
    context.epoch = _lease_row(context)["epoch"]
    context.killed.kill()
    context.disturbed_at = time.monotonic()


@when('a runner of job "{name}" drains for {seconds:g} s and leaves for good')
def _drain_and_leave(context, name, seconds):
    runner = _choose_runner(context, name)
    context.cluster.world.drain(runner, seconds)


def _wait_until_left(context):
    runner = context.chosen_runner
    nodes.wait_for(lambda: not runner.up, 5.0, "the runner to leave")


@when("the scheduler is killed {seconds:g} s before that")
def _kill_before_it_leaves(context, seconds):
    leaves_at = context.chosen_runner.leaves_at
    time.sleep(max(0.0, leaves_at - seconds - time.monotonic()))
    _kill_scheduler(context)


@when("the scheduler is killed as soon as it has left")
def _kill_after_it_left(context):
    _wait_until_left(context)
    _kill_scheduler(context)


@when("the scheduler is killed {seconds:g} s later")
def _kill_later(context, seconds):
    time.sleep(seconds)
    _kill_scheduler(context)


def _set_reach_of_others(context, silent):
    """Let the store be silent to all nodes but the killed one, or not."""
    hosts = {
        each.store_host
        for each in context.cluster.nodes
        if each is not context.killed
    }
    faults = context.cluster.world.store.faults
    if silent:
        faults.silent |= hosts
    else:
        faults.silent -= hosts


@when(
    "{pause:g} s later the store is silent for {seconds:g} s and all entries "
    "lapse"
)
def _silence_store(context, pause, seconds):
    # The other nodes don't reach it from the kill on, so that none of them
    # takes over before.
    _set_reach_of_others(context, silent=True)
    time.sleep(pause)
    context.cluster.world.silence_store(seconds)
    context.disturbed_at = time.monotonic() + seconds


@when("the killed node is started again and is the first to take over")
def _killed_node_first(context):
    context.killed.start()
    _wait_until_left(context)

    def begun():
        return _lease_row(context)["epoch"] > context.epoch

    seconds = context.disturbed_at - time.monotonic() + 5.0
    nodes.wait_for(begun, seconds, "another epoch")
    assert time.monotonic() > context.disturbed_at, "it began in the outage"
    assert context.cluster.scheduler() is context.killed
    _set_reach_of_others(context, silent=False)


@when('the VM of a runner of job "{name}" loses power for good')
def _lose_power(context, name):
    context.cluster.world.crash_for_good(_choose_runner(context, name))
    context.disturbed_at = time.monotonic()


@then(
    'all tasks of job "{name}" run again within {seconds:g} s of the last '
    "disturbance"
)
def _run_again(context, name, seconds):
    assert not context.chosen_runner.up
    count = context.long_lived_count
    nodes.wait_for(
        lambda: len(_running(context, name)) == count,
        _LONGEST_WAIT_SECONDS,
        f"{count} tasks of {name}",
    )
    last_start = max(each.began for each in _running(context, name))
    passed = last_start - context.disturbed_at
    assert passed <= seconds, f"the last task ran again after {passed:.2f} s"


# An earlier scheduler that lives.


@when('the entry of a runner of job "{name}" lapses {when} the takeover')
def _entry_lapses(context, name, when):
    runner = _choose_runner(context, name)
    runner.faults.unregistered = True
    if when == "before":
        _wait_until_unlisted(context)


def _wait_until_unlisted(context):
    world = context.cluster.world
    runner = context.chosen_runner
    nodes.wait_for(
        lambda: world.read("servers", runner.id) is None, 5.0, "no entry"
    )


@when('only the scheduler reaches a runner of job "{name}", and nothing else')
def _cut_off_with_runner(context, name):
    _choose_runner(context, name)
    _cut_off_scheduler(context)


@when("only the scheduler reaches the runner, and nothing else")
def _cut_off_scheduler(context):
    cluster = context.cluster
    chosen = context.chosen_runner
    context.epoch = _lease_row(context)["epoch"]
    context.cut_off = cluster.scheduler()
    cluster.world.store.faults.silent.add(context.cut_off.store_host)
    context.cut_off_at = time.monotonic()
    for each in tuple(cluster.world.runners.values()):
        if each is chosen:
            each.faults.only_epoch = context.epoch
        else:
            each.faults.unheard_epoch = context.epoch


def _silent_address(context):
    """Return an address that takes connections and answers nothing."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    context.stack.callback(listener.close)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def _refusing_address(context):
    (port,) = wire.free_ports(1)
    return f"127.0.0.1:{port}"


_ADDRESSES = {
    "gives no answer to nodes": _silent_address,
    "refuses connections": _refusing_address,
}


def _cut_off_from_nodes(context, answer):
    """Let nodes that ask the scheduler get no answer, or a refusal.

    The scheduler, which can't write its row any more, is not at the address
    that they find there.
    """
    row = {**_lease_row(context), "address": _ADDRESSES[answer](context)}
    assert row["epoch"] == context.epoch
    context.cluster.world.write("control", "scheduler", row)


def _register(answer):
    @when(f"the scheduler {answer}")
    def _answers(context):
        _cut_off_from_nodes(context, answer)


for _answer in _ADDRESSES:
    _register(_answer)


@then(
    "the runs of the runner go on for {seconds:g} s more, and end by "
    "themselves"
)
def _runs_go_on(context, seconds):
    world = context.cluster.world
    runner = context.chosen_runner
    record = world.vms[runner.vm]
    nodes.wait_for(lambda: not _runs_on(world, runner), 15.0, "their end")
    runs = [each for each in world.log.intervals if each.runner is runner]
    lasted = min(each.ended for each in runs) - context.cut_off_at
    assert lasted >= seconds, f"they ended {lasted:.2f} s after the cut"
    assert {each.outcome for each in runs} == {"lapsed"}, runs
    assert (record["state"], record["id"]) == ("up", runner.id), record
    is_listed = world.read("servers", runner.id) is not None
    assert is_listed != runner.faults.unregistered, is_listed


def _runs_on(world, runner):
    runner.end_due_runs()
    return dict(runner.runs)


@when("its list {number:d} of VMs leaves out the VM of the runner")
def _omit_vm(context, number):
    world = context.cluster.world
    caller = context.cluster.scheduler().store_host
    world.omit_vm(context.chosen_runner.vm, caller, number)


@when("the next scheduler reaches the runner {seconds:g} s later")
def _reach_runner(context, seconds):
    time.sleep(seconds)
    context.chosen_runner.faults.only_epoch = 0
