"""Steps on pool ownership, budgets, moves and waves under failures."""

import concurrent.futures
import contextlib
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
import peridotsill
import peridotsill.exceptions
from standins import checker
from standins import fleet
from standins import load

import peridotsill_operators


def wave(context):
    """Return the wave's row from the platform's table."""
    return rows(context).get("waves/w", {})


def rows(context):
    """Return the table's rows."""
    return context.fleet.control_platform(rows=True)["rows"]


def disrupted(context):
    """Return the names of the VMs that have a disruption."""
    return {
        key.partition("/")[2]
        for key, row in rows(context).items()
        if key.startswith("vms/") and row.get("disruption")
    }


@when("a wave runs while look-ups and long jobs go on")
def step_wave_load(context):
    cluster = context.fleet
    balancer = load.Balancer(
        [cluster.address(name, "callers") for name in cluster.nodes]
    )
    requests = load.poisson_arrivals(30, 24.0, 1, "look", path="/lookup/x")
    requests += load.poisson_arrivals(
        6,
        24.0,
        2,
        "long",
        path="/lookup/x",
        headers={"X-Work-Seconds": "1.0", "Peridotsill-Class": "batch"},
    )
    results = []
    thread = threading.Thread(
        target=lambda: results.extend(load.run(balancer, requests))
    )
    thread.start()
    cluster.operator().apply("waves", "w", {"pool": "trails"})
    step_wave_done(context, 60)
    thread.join()
    balancer.stopped.set()
    context.results = results


@then("each VM was rebooted once and cut no request")
def step_rebooted_once(context):
    for vm in context.fleet.vms:
        stats = context.fleet.control_runner(vm)
        assert stats["boot"] == 2, (vm, stats)
        assert stats["cut"] == 0, (vm, stats)


@then("the history breaks no promise")
def step_check_history(context):
    checker.check(context.fleet)


@when("a wave starts and {count:d} VMs are done")
def step_wave_starts(context, count):
    fleet.wait_until(lambda: apply_wave(context), 10, "wave applied")
    fleet.wait_until(
        lambda: len(wave(context)["done"]) >= count, 40, f"{count} done"
    )


def apply_wave(context):
    """Apply the wave; a repeat after a lost answer changes nothing."""
    with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
        document = {"pool": "trails"}
        return context.fleet.operator().apply("waves", "w", document)
    return None


@when("the pool's owner gets {name}")
def step_owner_signal(context, name):
    owner = context.fleet.pool_owner("trails")
    context.owner = owner
    context.victim = owner.rpartition("-")[0]
    process = context.fleet.processes[context.victim]
    process.send(getattr(signal, name))


@then("another node owns the pool within {seconds:d} s")
def step_ownership_moved(context, seconds):
    fleet.wait_until(
        lambda: (
            rows(context)["owners/trails"]["node"] not in ("", context.owner)
        ),
        seconds,
        "another owner",
    )


@then("the wave is done within {seconds:d} s")
def step_wave_done(context, seconds):
    fleet.wait_until(
        lambda: wave(context).get("state") == "done",
        seconds,
        "the wave is done",
    )


@then("the old owner resumes and changes no row")
def step_old_owner_resumes(context):
    before = {
        key: row
        for key, row in rows(context).items()
        if key.startswith(("vms/", "waves/"))
    }
    context.fleet.processes[context.victim].thaw()
    time.sleep(3.0)
    after = {
        key: row
        for key, row in rows(context).items()
        if key.startswith(("vms/", "waves/"))
    }
    assert before == after


@when("the platform is down for {seconds:d} s")
def step_platform_down(context, seconds):
    context.fleet.set_faults(down=1)
    time.sleep(seconds)
    context.fleet.set_faults(down=0)


@when("a VM that {kind} is killed")
def step_kill_vm(context, kind):
    def candidates():
        done = set(wave(context)["done"])
        undisrupted = set(context.fleet.vms) - disrupted(context)
        return sorted(
            done & undisrupted if kind == "is done" else undisrupted - done
        )

    # Kill the VM that the wave would take last. If the wave took a VM at the
    # moment of its kill, it would wait for the VM's reboot, but the stand-in
    # can't reboot a process that has ended.
    context.killed = fleet.wait_until(candidates, 10)[-1]
    context.fleet.processes[f"runner-{context.killed}"].kill()


@then("no further VM is taken for {seconds:d} s after the nodes noticed")
def step_no_vm_taken(context, seconds):
    time.sleep(3.5)
    fleet.wait_until(lambda: not disrupted(context), 20, "none under way")
    time.sleep(0.5)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert not disrupted(context), disrupted(context)
        time.sleep(0.1)


@then("the wave goes on once the VM is back")
def step_wave_goes_on(context):
    context.fleet.start_runner(context.killed)
    step_wave_done(context, 60)


@then("the wave is halted within {seconds:d} s and says which VM failed")
def step_wave_halted(context, seconds):
    fleet.wait_until(
        lambda: wave(context)["state"] == "halted", seconds, "halted"
    )
    assert context.killed in wave(context)["reason"], wave(context)


def set_wave_state(context, state):
    """Set the wave's state as an operator."""
    request = peridotsill_operators.WaveStateRequest(
        state=peridotsill.WaveState(state)
    )
    return context.fleet.operator().set_wave_state("w", request)


@when("an operator pauses the wave")
def step_pause_wave(context):
    set_wave_state(context, "paused")


@then("the wave goes on when an operator resumes it")
def step_resume_wave(context):
    count = len(wave(context)["done"])
    set_wave_state(context, "running")
    fleet.wait_until(lambda: len(wave(context)["done"]) > count, 20)


@then("an aborted wave takes no further VM")
def step_abort_wave(context):
    set_wave_state(context, "aborted")
    step_no_vm_taken(context, 3)


def drain(context, vm):
    """Drain a VM by an operation of its own; return if it was granted."""
    nodes = list(context.fleet.nodes)
    client = context.fleet.operator(nodes[int(vm[2:]) % len(nodes)])
    request = peridotsill_operators.DrainRequest(operation=f"drain-{vm}")
    try:
        client.drain_vm(vm, request)
    except peridotsill.exceptions.PeridotsillError:
        return False
    return True


@when("each VM is drained by a different operator at once")
def step_drain_all(context):
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        granted = pool.map(lambda vm: drain(context, vm), context.fleet.vms)
        context.granted = [ok for ok in granted if ok]


@then("just one drain was granted")
def step_one_drain(context):
    assert len(context.granted) == 1, context.granted
    assert len(disrupted(context)) == 1, disrupted(context)


@given('pools "{first}" and "{second}" without VMs and budget {budget:d}')
def step_empty_pools(context, first, second, budget):
    for name in (first, second):
        context.fleet.create_pool(name, [], budget)
    context.fleet.operator().apply("pools", "trails", {"min_available": 2})


def move(context, node, vm, pool):
    """Move a VM; return it with its new pool, or None if refused."""
    operation = f"to-{pool}-{vm}"
    request = peridotsill_operators.MoveRequest(
        target_pool=pool, operation=operation
    )
    try:
        context.fleet.operator(node).move_vm(vm, request)
    except peridotsill.exceptions.PeridotsillError:
        return None
    return vm, pool


@when('{count:d} VMs are each moved to "{first}" and to "{second}" at once')
def step_race_moves(context, count, first, second):
    vms = list(context.fleet.vms)[:count]
    orders = []
    for vm in vms:
        orders += [("n0", vm, first), ("n1", vm, second)]
    with concurrent.futures.ThreadPoolExecutor(len(orders)) as pool:
        found = pool.map(lambda order: move(context, *order), orders)
        context.granted = [each for each in found if each]
    assert len(context.granted) == count, context.granted


@then("each VM is in the pool of the one move that was granted")
def step_granted_pool(context):
    for vm, pool in context.granted:
        fleet.wait_until(
            lambda: rows(context)[f"vms/{vm}"]["pool"] == pool, 20, vm
        )


@when('a VM is moved to "{pool}" and the owner is killed at once')
def step_move_kill(context, pool):
    owner = context.fleet.pool_owner("trails").rpartition("-")[0]
    other = next(name for name in context.fleet.nodes if name != owner)
    assert move(context, other, "vm0", pool)
    context.fleet.processes[owner].kill()


@then('the VM is in "{pool}" within {seconds:d} s')
def step_in_pool(context, pool, seconds):
    fleet.wait_until(
        lambda: rows(context)["vms/vm0"]["pool"] == pool, seconds, pool
    )


@given("a spare pool with {count:d} VMs")
def step_spare_pool(context, count):
    names = [f"spare{index}" for index in range(count)]
    for index, name in enumerate(names):
        context.fleet.add_vm(name, 20 + index)
        context.fleet.control_platform(vms={name: context.fleet.vms[name]})
    context.fleet.create_pool("spare", names, 0, spare=True)


@when("{count:d} VMs of the pool are killed")
def step_kill_pool_vms(context, count):
    for vm in list(context.fleet.vms)[:count]:
        context.fleet.processes[f"runner-{vm}"].kill()
    context.killed_vms = set(list(context.fleet.vms)[:count])


@then("the pool has its {count:d} VMs in service again within {seconds:d} s")
def step_pool_restored(context, count, seconds):
    def is_restored():
        found = [
            row["name"]
            for key, row in rows(context).items()
            if key.startswith("vms/")
            and row["pool"] == "trails"
            and not row.get("disruption")
            and row["name"] not in context.killed_vms
        ]
        return len(found) >= count

    fleet.wait_until(is_restored, seconds, "enough VMs in service")


@when("{rate:d} long requests a second are sent for {seconds:d} s")
def step_peak(context, rate, seconds):
    cluster = context.fleet
    balancer = load.Balancer(
        [cluster.address(name, "callers") for name in cluster.nodes]
    )
    requests = load.poisson_arrivals(
        rate,
        seconds,
        5,
        "peak",
        path="/lookup/x",
        headers={"X-Work-Seconds": "0.8", "Request-Timeout": "30"},
    )
    context.results = load.run(balancer, requests)
    balancer.stopped.set()


@then("a VM was lent to the pool")
def step_vm_lent(context):
    pools = {row["pool"] for row in spare_vm_rows(context)}
    found = checker.check(context.fleet)
    assert found.moves >= 1, (pools, found.moves)


def spare_vm_rows(context):
    """Return the rows of the VMs whose home is the spare pool."""
    return [
        row
        for key, row in rows(context).items()
        if key.startswith("vms/spare")
    ]


@then("it is back in the spare pool within {seconds:d} s")
def step_vms_returned(context, seconds):
    fleet.wait_until(
        lambda: all(row["pool"] == "spare" for row in spare_vm_rows(context)),
        seconds,
        "back in the spare pool",
    )
