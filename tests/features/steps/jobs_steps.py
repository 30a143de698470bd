"""Steps on jobs, checked by their rows and the platform's task log."""

import collections
import concurrent.futures
import threading
import time

from behave import given
from behave import then
from behave import when
from standins import fleet

import peridotsill_operators

_FINAL_STATES = {"done", "failed", "cancelled", "unknown"}


def rows(context):
    """Return the jobs' rows by name."""
    found = context.fleet.control_platform(rows=True)["rows"]
    return {
        key.partition("/")[2]: row
        for key, row in found.items()
        if key.startswith("jobs/")
    }


def tasks(context):
    """Return all task starts that the platform accepted."""
    return context.fleet.control_platform(tasks=True)["tasks"]


def declare(context, names, **more):
    """Declare jobs, up to 8 at a time and spread over the nodes."""
    nodes = list(context.fleet.nodes)
    document = {"pool": "trails", "cores": 2, **more}

    def apply(item):
        index, name = item
        client = context.fleet.operator(nodes[index % len(nodes)])
        client.apply("jobs", name, {**document})

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        list(pool.map(apply, enumerate(names)))


@given("the pool is owned")
def step_owned(context):
    context.fleet.pool_owner("trails")


@given('VM "{vm}" fails every task')
def step_vm_fails_tasks(context, vm):
    context.fleet.control_platform(bad_vms=[vm])


@when("{count:d} {kind} jobs of {seconds:g} s are declared")
def step_declare(context, count, kind, seconds):
    names = [f"work-{number}" for number in range(count)]
    once_only = kind == "once-only"
    declare(context, names, run_seconds=seconds, idempotent=not once_only)


@then("all jobs are done within {seconds:d} s")
def step_done(context, seconds):
    fleet.wait_until(
        lambda: all(row["state"] == "done" for row in rows(context).values()),
        seconds,
        "all jobs done",
    )


@then('"{vm}" started at most {limit:d} tasks')
def step_started(context, vm, limit):
    started = [task for task in tasks(context) if task["vm"] == vm]
    assert 1 <= len(started) <= limit, len(started)


@then('once "{vm}" fails no task any more it gets jobs within {seconds:d} s')
def step_gets_jobs_again(context, vm, seconds):
    context.fleet.control_platform(bad_vms=[])
    batch = iter(range(1000))

    def runs_tasks():
        names = [f"again-{next(batch)}-{number}" for number in range(8)]
        declare(context, names, run_seconds=0.3)
        time.sleep(1.0)
        return any(
            task["vm"] == vm and task["phase"] == "done"
            for task in tasks(context)
        )

    fleet.wait_until(runs_tasks, seconds, f"{vm} gets jobs")


@when("all jobs are cancelled in one request")
def step_cancel(context):
    names = tuple(rows(context))
    fleet.wait_until(
        lambda: any(row["vm"] for row in rows(context).values()), 10
    )
    context.writes = context.fleet.control_platform()["counts"]["writes"]
    order = peridotsill_operators.CancelJobsRequest(jobs=names)
    context.fleet.operator().cancel_jobs(order)


@then("all jobs are cancelled within {seconds:d} s")
def step_cancelled(context, seconds):
    fleet.wait_until(
        lambda: (
            {row["state"] for row in rows(context).values()} == {"cancelled"}
        ),
        seconds,
        "all cancelled",
    )


@then("cancelling took at most {limit:d} writes")
def step_writes(context, limit):
    writes = context.fleet.control_platform()["counts"]["writes"]
    assert writes - context.writes <= limit, writes - context.writes


@when("{count:d} once-only jobs of {seconds:g} s are declared while {fault}")
def step_declare_fault(context, count, seconds, fault):
    owner = context.fleet.pool_owner("trails")
    process = context.fleet.processes[owner.rpartition("-")[0]]
    names = [f"once-{number}" for number in range(count)]
    half = count // 2
    context.thaw = None
    # Half of the jobs are declared before the fault and half after, so
    # that it comes between placements.
    declare_with_retries(context, names[:half], process, seconds)
    if fault == "the owner is killed":
        process.kill()
    elif fault == "the owner is frozen":
        process.freeze()
        timer = threading.Timer(6.0, process.thaw)
        timer.start()
        context.stack.callback(timer.join)
    elif fault == "the table loses answers":
        context.fleet.set_faults(lost_answers=20)
    else:
        context.fleet.set_faults(down=1)
        time.sleep(4.0)
        context.fleet.set_faults(down=0)
    declare_with_retries(context, names[half:], process, seconds)


def declare_with_retries(context, names, process, seconds):
    """Declare jobs at a node other than the owner; retry until accepted."""
    other = next(
        name
        for name in context.fleet.nodes
        if context.fleet.processes[name] is not process
    )
    client = context.fleet.operator(other)
    document = {
        "pool": "trails",
        "run_seconds": seconds,
        "idempotent": False,
    }
    for name in names:
        fleet.wait_until(lambda: try_apply(client, name, document), 20)


def try_apply(client, name, document):
    """Apply a job; a repeat for a job that exists changes nothing."""
    try:
        client.apply("jobs", name, {**document})
    except Exception:
        return False
    return True


@then("all jobs have ended within {seconds:d} s")
def step_ended(context, seconds):
    fleet.wait_until(
        lambda: all(
            row["state"] in _FINAL_STATES for row in rows(context).values()
        ),
        seconds,
        "all jobs ended",
    )
    done = [r for r in rows(context).values() if r["state"] == "done"]
    assert len(done) * 2 > len(rows(context)), len(done)


@then("no once-only task was started twice")
def step_no_task_twice(context):
    starts = collections.Counter(
        task["id"].rpartition("-")[0] for task in tasks(context) if task["vm"]
    )
    twice = {name: count for name, count in starts.items() if count > 1}
    assert not twice, twice


@when("all jobs are running")
def step_all_run(context):
    fleet.wait_until(
        lambda: (
            {row["state"] for row in rows(context).values()} == {"running"}
        ),
        20,
        "all jobs are running",
    )


@then("no job lost work")
def step_no_lost_work(context):
    lost = {n: r["lost_seconds"] for n, r in rows(context).items()}
    assert not any(lost.values()), lost
    assert any(row["attempt"] > 1 for row in rows(context).values())


@when("the job's VM is drained by an operator")
def step_drain_job_vm(context):
    context.job_vm = rows(context)["work-0"]["vm"]
    order = peridotsill_operators.DrainRequest(operation="drain-job")
    context.fleet.operator().drain_vm(context.job_vm, order)


@then("the VM is held only after the job is done")
def step_held_after(context):
    def held():
        found = context.fleet.vm(context.job_vm)["disruption"]
        return found["step"] == "held"

    while not held():
        time.sleep(0.05)
    assert rows(context)["work-0"]["state"] == "done", rows(context)


@when("more jobs than fit are declared, then a job with a deadline")
def step_declare_too_many(context):
    names = [f"bulk-{number}" for number in range(24)]
    declare(context, names, cores=16, run_seconds=4.0)
    context.deadline = time.time() + 12.0
    declare(
        context,
        ["report"],
        cores=16,
        run_seconds=3.0,
        deadline_at=context.deadline,
    )


@then("the job with a deadline is done in time")
def step_done_in_time(context):
    fleet.wait_until(
        lambda: rows(context)["report"]["state"] == "done",
        context.deadline - time.time(),
        "the report is done before its deadline",
    )
    waiting = [r for r in rows(context).values() if r["state"] == "queued"]
    assert waiting, "no other job is queued any more, so none was overtaken"


@given(
    'jobs of family "{family}" use {cores:d} cores'
    " though they declare {declared_cores:d}"
)
def step_true_use(context, family, cores, declared_cores):
    context.fleet.control_platform(truth={family: {"cores": cores}})


@when('{count:d} jobs of family "{family}" are declared in two batches')
def step_batches(context, count, family):
    names = [f"{family}-{number}" for number in range(count)]
    declare(context, names[:8], family=family, run_seconds=0.5)
    step_done(context, 20)
    context.batch_start = len(tasks(context))
    declare(context, names[8:], family=family, run_seconds=1.5)
    step_done(context, 60)


@when(
    '{count:d} jobs of family "{family}" are declared, the owner killed'
    " in between"
)
def step_batches_killed(context, count, family):
    names = [f"{family}-{number}" for number in range(count)]
    declare(context, names[:8], family=family, run_seconds=0.5)
    step_done(context, 20)
    context.batch_start = len(tasks(context))
    owner = context.fleet.pool_owner("trails")
    victim = owner.rpartition("-")[0]
    context.fleet.processes[victim].kill()
    del context.fleet.nodes[victim]
    fleet.wait_until(
        lambda: context.fleet.pool_owner("trails") != owner,
        30,
        "another owner",
    )
    declare(context, names[8:], family=family, run_seconds=1.5)
    step_done(context, 60)


@then("in the second batch at most {limit:d} of them share a VM")
def step_shared_vms(context, limit):
    found = tasks(context)[context.batch_start :]
    max_overlap = 0
    for task in found:
        overlapping = sum(
            1
            for other in found
            if other["vm"] == task["vm"]
            and other["started"] <= task["started"] < other["ended"]
        )
        max_overlap = max(max_overlap, overlapping)
    assert max_overlap <= limit, max_overlap


@when("the workers can't be reached for {seconds:d} s")
def step_workers_away(context, seconds):
    context.fleet.set_faults(tasks_down=1)
    time.sleep(seconds)
    context.fleet.set_faults(tasks_down=0)


@then("all jobs have ended as unknown within {seconds:d} s")
def step_unknown(context, seconds):
    fleet.wait_until(
        lambda: (
            {row["state"] for row in rows(context).values()} == {"unknown"}
        ),
        seconds,
        "all jobs unknown",
    )
