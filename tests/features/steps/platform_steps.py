"""Steps that run real nodes against a stand-in of the users' platform."""

import base64
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when
from emulator import faults
from emulator import nodes
from emulator import rules
from emulator import store

_POOL = "trails"
# A lease that is not renewed expires after this time.
_LEASE_SECONDS = 1.6
# The platform kills a process this long after SIGTERM.
_EXIT_SECONDS = 6


def _intervals(context, name):
    return context.cluster.world.log.starts_of(nodes.job_id(name))


def _running(context, name):
    return [each for each in _intervals(context, name) if not each.ended]


@given(
    '{count:d} job nodes with {vms:d} VMs in "trails" and {spare:d} in standby'
)
def _cluster(context, count, vms, spare):
    context.cluster = context.stack.enter_context(
        nodes.cluster(
            nodes=count,
            pools={_POOL: vms, "spare": spare},
            standby=("spare",),
        )
    )
    context.jobs = []


@given(
    "{count:d} job nodes with {vms:d} VMs whose maintenance takes "
    "{seconds:d} s"
)
def _cluster_with_maintenance_time(context, count, vms, seconds):
    bounds = {"max_lease_ms": 6000.0, "maintenance_ms": seconds * 1000.0}
    context.cluster = context.stack.enter_context(
        nodes.cluster(
            nodes=count, pools={_POOL: vms}, settings={"bounds": bounds}
        )
    )
    context.cluster.world.maintenance_seconds = seconds


@given("the runner of one VM drains")
def _drain(context):
    world = context.cluster.world
    vm = next(n for n, each in world.vms.items() if each["pool"] == _POOL)
    context.draining = world.runner_of(vm)
    context.draining.state = "draining"
    time.sleep(1.2)


@given("the registry holds malformed rows")
def _malformed_rows(context):
    world = context.cluster.world
    world.write("servers", "i-none", {"service": 7, "state": "ready"})
    world.write("servers", "i-odd", {"state": "asleep", "address": "x"})
    world.write("servers", "i-list", {"capacity": [1], "service": "trails"})


@when(
    'job "{name}" of {count:d} tasks is submitted {times:d} '
    "times at every node"
)
def _submit_repeatedly(context, name, count, times):
    steps = [{"count": count, "cpu": 1000}]
    for _ in range(times):
        for node in context.cluster.nodes:
            reply = context.cluster.submit(
                node, _POOL, nodes.job_id(name), steps
            )
            assert reply.status == 200, reply.status


def _submit(context, name, steps, **options):
    reply = context.cluster.submit(
        context.cluster.nodes[0], _POOL, nodes.job_id(name), steps, **options
    )
    assert reply.status == 200, reply.status


@when('job "{name}" of 1 task that fits nowhere is submitted')
def _submit_large(context, name):
    _submit(context, name, [{"count": 1, "cpu": 900000}])


@when('job "{name}" of 1 task that always fails is submitted')
def _submit_failing(context, name):
    _submit(context, name, [{"count": 1, "cpu": 1000}], poison=True)


@when('job "{name}" of {count:d} long-lived tasks is submitted')
def _submit_long_lived(context, name, count):
    steps = [{"count": count, "cpu": 3000, "long_lived": True, "may_miss": 1}]
    _submit(context, name, steps, seconds=1e6)
    context.long_lived_count = count


@when(
    'job "{name}" of {count:d} long-lived tasks, which declares '
    "{seconds:g} s, runs for {passed:g} s"
)
def _run_long_lived(context, name, count, seconds, passed):
    steps = [{"count": count, "cpu": 1000, "long_lived": True}]
    _submit(context, name, steps, seconds=seconds)
    context.long_lived_count = count
    _runs(context, name)
    time.sleep(passed)


@when("{count:d} jobs of two steps are submitted")
def _submit_many(context, count):
    context.jobs = [f"j{number}" for number in range(count)]
    for number, name in enumerate(context.jobs):
        node = context.cluster.nodes[number % len(context.cluster.nodes)]
        reply = context.cluster.submit(
            node, _POOL, nodes.job_id(name), nodes.TWO_STEPS, seconds=0.3
        )
        assert reply is not None and reply.status == 200, reply


@when('job "{name}" runs')
def _runs(context, name):
    _has_tasks(context, name, context.long_lived_count, 8)


@when('job "{name}" is cancelled')
def _cancel(context, name):
    cluster = context.cluster
    reply = cluster.cancel(cluster.nodes[1], _POOL, nodes.job_id(name))
    assert reply.status == 200, reply.status


@when('job "{name}" is cancelled in its row')
def _cancel_row(context, name):
    # The same write that a node makes for a caller while no node schedules.
    world = context.cluster.world
    row_key = next(
        each
        for each in tuple(world.store.rows)
        if each[0] == "jobs" and each[2] == nodes.job_id(name)
    )
    table, part, key = row_key
    row = world.read(table, key, part)
    row["cancelled"] = True
    value = base64.b64encode(json.dumps(row).encode()).decode()
    upsert = {"table": table, "part": part, "key": key, "value": value}
    world.store._apply({"precondition": [], "upserts": [upsert], "remove": []})


@when("the scheduler is killed")
def _kill_scheduler(context):
    context.killed = context.cluster.scheduler()
    context.epoch = context.cluster.world.read("control", "scheduler")["epoch"]
    context.killed.kill()


@when("the scheduler is frozen")
def _freeze_scheduler(context):
    context.epoch = context.cluster.world.read("control", "scheduler")["epoch"]
    context.cluster.scheduler().send(signal.SIGSTOP)


def _known_to_be_gone(context):
    """Return the last holders that nodes found to be gone, by epoch."""
    return {
        line["epoch"]: line["unchanged_seconds"]
        for line in context.cluster.events("lease:holder_gone")
    }


@then("the new scheduler did not wait for the lease to expire")
def _took_over_early(context):
    unchanged_seconds = _known_to_be_gone(context).get(context.epoch)
    assert unchanged_seconds is not None, "the holder was not asked"
    assert unchanged_seconds < _LEASE_SECONDS, unchanged_seconds


@then("the new scheduler waited for the lease to expire")
def _took_over_late(context):
    assert context.epoch not in _known_to_be_gone(context)


@when("another scheduler has taken over")
def _other_scheduler(context):
    def begun():
        row = context.cluster.world.read("control", "scheduler")
        return row["epoch"] > context.epoch

    nodes.wait_for(begun, 8, "another epoch")


@when("all nodes are killed")
def _kill_all(context):
    for node in context.cluster.nodes:
        node.kill()


@when("the nodes are started again")
def _start_all(context):
    context.cluster.start()


@when('a VM that runs job "{name}" crashes for good')
def _crash_vm_of_job(context, name):
    world = context.cluster.world
    interval = _running(context, name)[0]
    interval.runner.end_abruptly()
    world.vms.pop(interval.runner.vm)


@when(
    'a wave over all VMs in "trails" with {count:d} at once is '
    "ordered for {seconds:d} s"
)
def _wave(context, count, seconds):
    world = context.cluster.world
    vms = [n for n, each in world.vms.items() if each["pool"] == _POOL]
    world.order_wave(1, vms, seconds, count)
    time.sleep(1.5)


@when("each scheduler that has a VM maintained is stopped, and started again")
def _stop_each_holder(context):
    world = context.cluster.world

    def recorded():
        return len((world.read("control", "wave-1") or {}).get("done", ()))

    for number in range(len(world.read("op", "wave/1")["machines"])):
        nodes.wait_for(
            lambda: recorded() > number, 15, f"VM {number + 1} recorded"
        )
        holder = context.cluster.scheduler()
        if holder is not None:
            holder.send(signal.SIGTERM)
            _start_when_ended(context, holder)


def _start_when_ended(context, node):
    """Restart a node when its process ends, until the scenario ends."""
    scenario_ended = threading.Event()

    def start_again():
        node.process.wait()
        if not scenario_ended.is_set():
            node.start()

    thread = threading.Thread(target=start_again)
    thread.start()

    def end():
        scenario_ended.set()
        node.process.kill()
        thread.join()

    context.stack.callback(end)


@when("the fault is that {fault}")
def _inject_fault(context, fault):
    faults.inject(fault, context.cluster)


@given('job "{name}" of {count:d} speculative tasks runs on one VM')
def _speculative_job(context, name, count):
    steps = [{"count": count, "cpu": 1000, "speculative": True}]
    _submit(context, name, steps, seconds=0.4)
    nodes.wait_for(
        lambda: len(_running(context, name)) == count, 3, "its tasks"
    )
    runners = {each.runner for each in _running(context, name)}
    assert len(runners) == 1, runners
    context.silent_runner = runners.pop()


@when(
    "that VM's runner answers no call for {seconds:f} s and all others "
    "execute orders late"
)
def _silent_runner_and_late_others(context, seconds):
    others = [
        each
        for each in context.cluster.world.runners.values()
        if each is not context.silent_runner
    ]
    for each in others:
        each.faults.late_seconds = 2.0
    context.silent_runner.faults.silent = True
    time.sleep(seconds)
    context.silent_runner.faults.silent = False
    time.sleep(2.5)
    for each in others:
        each.faults.late_seconds = 0.0


@then(
    'no task of job "{name}" is started later than {seconds:d} s '
    "after its completion"
)
def _no_late_start(context, name, seconds):
    context.cluster.wait_state(_POOL, nodes.job_id(name), "completed", 1)
    completed_at = time.monotonic()
    time.sleep(4)
    late = [
        each.task
        for each in _intervals(context, name)
        if each.began > completed_at + seconds
    ]
    assert not late, late


@when("jobs are submitted while every node is stopped in turn")
def _stop_nodes_in_turn(context):
    cluster = context.cluster
    context.failed_submissions = []
    ended = threading.Event()

    def submit_jobs(node):
        number = 0
        while not ended.is_set():
            # A load balancer sends requests to ready nodes only.
            if not cluster.ready(node):
                time.sleep(0.05)
                continue
            number += 1
            job_id = f"{node.number:08x}{number:08x}"
            body = [{"count": 1, "cpu": 1000}]
            if cluster.submit(node, _POOL, job_id, body) is None:
                context.failed_submissions.append(job_id)

    threads = [
        threading.Thread(target=submit_jobs, args=(node,), daemon=True)
        for node in cluster.nodes
    ]
    for thread in threads:
        thread.start()
    try:
        for node in cluster.nodes:
            node.send(signal.SIGTERM)
            node.process.wait(_EXIT_SECONDS)
            node.start()
            cluster.wait_ready(node)
    finally:
        ended.set()
    for thread in threads:
        thread.join()


@when('the queue of "trails" is removed by a newer configuration')
def _remove_queue(context):
    context.cluster.world.configure(5, ["other"], ("spare",))


@then("every node answers 404 for it within {seconds:d} s")
def _gone_everywhere(context, seconds):
    for node in context.cluster.nodes:

        def gone(node=node):
            reply = context.cluster.call(node, "GET", f"/{_POOL}/")
            return reply is not None and reply.status == 404

        nodes.wait_for(gone, seconds, f"404 at node {node.number}")


@then("no call was cut off")
def _no_failed_submission(context):
    assert not context.failed_submissions, context.failed_submissions


@then('job "{name}" is {state} within {seconds:d} s')
def _job_state(context, name, state, seconds):
    context.cluster.wait_state(_POOL, nodes.job_id(name), state, seconds)


@then("all jobs are completed within {seconds:d} s")
def _all_completed(context, seconds):
    deadline = time.monotonic() + seconds
    for name in context.jobs:
        left = max(0.1, deadline - time.monotonic())
        context.cluster.wait_state(
            _POOL, nodes.job_id(name), "completed", left
        )


@then('every node shows job "{name}" as {state}')
def _state_at_every_node(context, name, state):
    for node in context.cluster.nodes:
        shown_state = context.cluster.state(_POOL, nodes.job_id(name), node)
        assert shown_state == state, (node.number, shown_state)


@then('each task of job "{name}" was started once')
def _started_once(context, name):
    _started(context, name, 1)


@then('each task of job "{name}" was started {times:d} times')
def _started(context, name, times):
    by_task = {}
    for each in _intervals(context, name):
        by_task.setdefault(each.task, []).append(each)
    counts = {task: len(runs) for task, runs in by_task.items()}
    assert counts and set(counts.values()) == {times}, counts


@then("no rule is broken")
def _no_rule_broken(context):
    broken = rules.broken_rules(context.cluster.world)
    assert not broken, broken[:10]


@then('the count of "trails" is {count:d} at every node within {seconds:d} s')
def _count(context, count, seconds):
    for node in context.cluster.nodes:

        def counted(node=node):
            reply = context.cluster.call(node, "GET", f"/{_POOL}/")
            return json.loads(reply.data) == {"pending": count}

        nodes.wait_for(counted, seconds, f"count {count}")


def _assert_status(context, method, path, status, body=None):
    reply = context.cluster.call(context.cluster.nodes[0], method, path, body)
    assert reply.status == status, reply.status


@then("a call of an unknown queue is answered 404")
def _unknown_queue(context):
    _assert_status(context, "GET", f"/nowhere/{nodes.job_id('x')}", 404)


@then("a call of an unknown job is answered 410")
def _unknown_job(context):
    _assert_status(context, "GET", f"/{_POOL}/{nodes.job_id('x')}", 410)
    _assert_status(context, "DELETE", f"/{_POOL}/{nodes.job_id('x')}", 410)


@then("a submission without steps is answered 400")
def _no_steps(context):
    path = f"/{_POOL}/{nodes.job_id('y')}"
    for body in (b"{}", b"[1]", b"\xff", b'{"steps":[{"count":0}]}'):
        _assert_status(context, "POST", path, 400, body)


@then('job "{name}" has no running task within {seconds:d} s')
def _nothing_runs(context, name, seconds):
    nodes.wait_for(
        lambda: not _running(context, name), seconds, f"{name} to stop"
    )
    time.sleep(1.0)
    assert not _running(context, name)


@then('job "{name}" has {count:d} tasks running within {seconds:d} s')
def _has_tasks(context, name, count, seconds):
    nodes.wait_for(
        lambda: len(_running(context, name)) == count,
        seconds,
        f"{count} tasks of {name}",
    )


@then('job "{name}" keeps the same runs for {seconds:d} s')
def _same_runs(context, name, seconds):
    before = {(each.task, each.run) for each in _running(context, name)}
    time.sleep(seconds)
    now = {(each.task, each.run) for each in _running(context, name)}
    assert before == now and len(now) == context.long_lived_count, (
        before,
        now,
    )


@then("the wave is shown as completed within {seconds:d} s")
def _wave_done(context, seconds):
    world = context.cluster.world

    def done():
        row = world.read("status", "wave/1")
        return row == {"state": "completed"}

    nodes.wait_for(done, seconds, "the wave's end")
    left = (
        set(world.vms)
        & set(world.read("op", "wave/1")["machines"]) - world.waves[1]["done"]
    )
    assert not left, left


@then("nothing was started on the draining runner")
def _none_on_draining(context):
    with context.cluster.world.log.lock:
        found = [
            each.task
            for each in context.cluster.world.log.intervals
            if each.runner is context.draining
        ]
    assert not found, found


@then("a log line names each such row")
def _rows_logged(context):
    keys = {line["key"] for line in context.cluster.events("row:unreadable")}
    wanted = {f"servers//{name}" for name in ("i-none", "i-odd", "i-list")}
    assert wanted <= keys, keys


@then('a VM is moved to "trails" within {seconds:d} s')
def _vm_moved(context, seconds):
    world = context.cluster.world
    nodes.wait_for(lambda: world.commands, seconds, "a move")
    with contextlib.suppress(StopIteration):
        _, vm, _, _ = next(iter(world.commands))
        assert world.vms[vm]["pool"] == _POOL, world.vms[vm]


@when('a node\'s settings get order policy "{policy}" with {how}')
def _new_settings(context, policy, how):
    context.node = context.cluster.nodes[0]
    context.node.change_settings(order_policy=policy)
    if how == "SIGHUP":
        context.node.send(signal.SIGHUP)


@then('that node logs that it reloaded "{name}" within {seconds:d} s')
def _settings_reloaded(context, name, seconds):
    nodes.wait_for(
        lambda: any(
            name in line.get("changed", [])
            for line in context.node.lines()
            if line.get("message_type") == "settings:read"
        ),
        seconds,
        f"{name} taken over",
    )


@then("a settings file with a bad field is refused and the node stays ready")
def _bad_settings(context):
    context.node.change_settings(threads="many")
    nodes.wait_for(
        lambda: any(
            line.get("message_type") == "settings:refused"
            for line in context.node.lines()
        ),
        3,
        "a refusal",
    )
    assert context.cluster.ready(context.node)


@when("the store answers no call for 2.8, 3.2, 3.6 and 4 s")
def _store_answers_no_call(context):
    silent = context.cluster.world.store.faults.silent
    context.accepted_after = []
    for number, seconds in enumerate((2.8, 3.2, 3.6, 4.0)):
        silent.add(store.EVERYONE)
        time.sleep(seconds)
        silent.discard(store.EVERYONE)
        back = time.monotonic()
        for node in context.cluster.nodes:
            _submit_until_accepted(context, node, f"d{number}{node.number}")
            context.accepted_after.append(time.monotonic() - back)


def _submit_until_accepted(context, node, name):
    def accepted():
        steps = [{"count": 1, "cpu": 1000, "mem_mb": 100}]
        reply = context.cluster.submit(node, _POOL, nodes.job_id(name), steps)
        return reply is not None and reply.status == 200

    nodes.wait_for(accepted, 10, f"{name} is accepted")


@then(
    "every node accepted a job within {seconds:d} s of each recovery "
    "of the store"
)
def _accepted_soon(context, seconds):
    assert max(context.accepted_after) <= seconds, context.accepted_after


def _run_service_command(context, *words, adapter="peridotsill_adapter"):
    """Run `peridotsill service`; return its exit code, output and errors."""
    binary = pathlib.Path(sys.executable).parent / "peridotsill"
    settings = str(context.cluster.nodes[0].settings)
    chosen = ["--settings", settings, "--adapter", adapter]
    done = subprocess.run(
        [str(binary), "-o", "json", "service", *chosen, *words],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert "Traceback" not in done.stderr, done.stderr
    data = json.loads(done.stdout) if done.stdout.strip() else None
    return done.returncode, data, done.stderr


@then("`peridotsill service` shows the scheduler, the jobs and {count:d} VMs")
def _service_shows(context, count):
    _, found, _ = _run_service_command(context, "scheduler")
    scheduler = context.cluster.scheduler()
    assert found["holder"] == f"node-{scheduler.number}", found
    _, found, _ = _run_service_command(context, "jobs", "--state", "completed")
    ids = {nodes.job_id(name) for name in context.jobs}
    assert {each["id"] for each in found} == ids, found
    _, found, _ = _run_service_command(context, "vms")
    assert len(found) == count, found
    assert _run_service_command(context, "waves")[:2] == (0, [])


@then("it shows a job's tasks and explains its decisions from the logs")
def _service_explains(context):
    queue, job = f"q-{_POOL}", nodes.job_id(context.jobs[0])
    _, found, _ = _run_service_command(context, "job", queue, job)
    assert [each["phase"] for each in found["tasks"]] == ["done"] * 6, found
    logs = [str(node.log) for node in context.cluster.nodes]
    _, found, _ = _run_service_command(context, "explain", job, *logs)
    kinds = [each["message_type"] for each in found]
    assert kinds[0] == "job:accepted" and kinds[-1] == "job:state", kinds
    assert kinds.count("task:start") == 6, kinds


@then('`peridotsill service` shows all {count:d} tasks of job "{name}"')
def _service_shows_tasks(context, count, name):
    queue, job = f"q-{_POOL}", nodes.job_id(name)
    _, found, _ = _run_service_command(context, "job", queue, job)
    phases = [each["phase"] for each in found["tasks"]]
    assert phases == ["done"] * count, phases
    _, found, _ = _run_service_command(context, "jobs", "--state", "completed")
    assert job in {each["id"] for each in found}, found


@then("it exits with 4 for an unknown job, and with 2 for bad settings")
def _exit_codes(context):
    assert _run_service_command(context, "job", f"q-{_POOL}", "ff")[0] == 4
    code, _, why = _run_service_command(
        context, "scheduler", adapter="no_such_module"
    )
    assert code == 2 and "no_such_module" in why, (code, why)


@when("all nodes and the store are down")
def _take_all_down(context):
    for node in context.cluster.nodes:
        node.kill()
    context.cluster.world.store.faults.refused.add(store.EVERYONE)


@then("`peridotsill service` exits with 6 and prints the reason")
def _exits_with_6(context):
    code, _, why = _run_service_command(context, "scheduler")
    assert code == 6 and why.strip(), (code, why)


@given(
    "every runner shrinks to {few:d} cores and grows to {many:d} again, by "
    "turns of {seconds:g} s"
)
def _changing_capacity(context, few, many, seconds):
    stopped = threading.Event()
    context.few_cores = few

    def change():
        cores = few
        while not stopped.wait(seconds):
            for runner in tuple(context.cluster.world.runners.values()):
                if runner.up:
                    runner.set_cores(cores)
            cores = many if cores == few else few

    thread = threading.Thread(target=change, daemon=True)
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(stopped.set)


@when("jobs are submitted for {seconds:d} s while {fault}")
def _submit_during(context, seconds, fault):
    cluster = context.cluster
    began = time.monotonic()
    context.jobs = []
    injected = False
    while time.monotonic() < began + seconds:
        if not injected and time.monotonic() > began + seconds / 3:
            faults.inject(fault, cluster)
            injected = True
        name = f"j{len(context.jobs)}"
        node = cluster.nodes[len(context.jobs) % len(cluster.nodes)]
        reply = cluster.submit(
            node, _POOL, nodes.job_id(name), nodes.TWO_STEPS, seconds=0.3
        )
        if reply is not None and reply.status == 200:
            context.jobs.append(name)
        time.sleep(0.1)


@then("runners were used beyond {cores:d} cores and within what they had")
def _used_more(context, cores):
    world = context.cluster.world
    used = []
    for runner in {each.runner for each in world.log.intervals}:
        runs = [e for e in world.log.intervals if e.runner is runner]
        for each in runs:
            used.append(
                sum(
                    world.cpu_of(other.task)
                    for other in runs
                    if other.began <= each.began
                    and (not other.ended or other.ended > each.began)
                )
            )
    assert max(used) > cores * 1000, max(used)
