"""Steps that compare the choice of VMs with a look at each VM."""

import collections
import random
import unittest.mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

import peridotsill_scheduler as scheduler
from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _vm_order

_NOW = 100.0
_QUEUES = tuple(
    scheduler.Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        pool="p",
        stretch=1.6,
        target_seconds=0.6,
        advice=advice,
    )
    for name, advice in (
        ("q", None),
        (
            "advised",
            scheduler.AdviceTiming(
                decision_seconds=0.01, vm_seconds=0.0, validity_seconds=9.0
            ),
        ),
    )
)


def _look_at_each(job, task, vms):
    """Return the VM for a task, as it was chosen before there was an order."""
    best = None
    best_rank = ()
    for vm in vms:
        if not vm.allows(job, task):
            continue
        rank = _rank(job, task, vm)
        if best is None or rank < best_rank:
            best, best_rank = vm, rank
    return best


def _rank(job, task, vm):
    step = task.step
    outside_affinity_rack = (
        bool(step.affinity_rack) and step.affinity_rack != vm.rack
    )
    failed_here = vm.runner == task.failed_on
    if step.fills:
        penalty = vm.serving_count * 4 + vm.filler_count
    elif step.long_lived:
        penalty = vm.filler_count * 8 - vm.long_lived_count
    else:
        penalty = 0.0
    group = scheduler.suspicion_group(job.spec.id, task)
    if scheduler.is_suspect(task):
        company = (
            not vm.is_free_of_others(group),
            len(vm.suspect_groups - {group}),
            vm.unexplained_crashes,
        )
    else:
        beside_suspect = bool(vm.suspect_groups) and (
            vm.suspect_groups != {group}
        )
        company = (beside_suspect, 0.0, 0.0)
    return (
        *company,
        failed_here,
        vm.avoided,
        outside_affinity_rack,
        penalty,
        vm.free.cores,
    )


def _draw_step(rng, index):
    kind = rng.choice(("plain",) * 4 + ("fills", "long", "serving", "gang"))
    return scheduler.Step(
        index=index,
        task_count=rng.randint(1, 6),
        demand=scheduler.Resources(
            cores=rng.choice((0.5, 1.0, 1.5, 2.2, 4.0)),
            memory_mib=rng.choice((0.0, 512.0, 1024.0, 3000.0)),
            accelerators=rng.choice((0, 0, 0, 1)),
        ),
        estimated_seconds=rng.choice((0.5, 1.0)),
        gang=kind == "gang",
        rack_sensitive=kind == "gang" and rng.random() < 0.5,
        required_label=rng.choice(("", "", "", "fast")),
        affinity_rack=rng.choice(("", "", "r-0", "r-1")),
        max_per_vm=rng.choice((0, 0, 1, 2)),
        long_lived=kind in ("long", "serving"),
        tail_target_ms=5.0 if kind == "serving" else 0.0,
        fills=kind == "fills",
    )


def _draw_crashes(rng):
    return tuple(
        scheduler.Crash(
            runner=f"c-{number}",
            lifetime=1,
            host="h",
            run_seconds=rng.choice((0.01, 0.4)),
            certain=True,
        )
        for number in range(rng.randint(1, 2))
    )


def _draw_job(rng, number):
    queue = rng.choice(_QUEUES + _QUEUES[:1] * 3)
    spec = scheduler.JobSpec(
        id=f"j{number}",
        queue=queue.name,
        payload="",
        steps=tuple(
            _draw_step(rng, index) for index in range(rng.randint(1, 2))
        ),
    )
    job = scheduler.Job(
        spec=spec, queue=queue, arrived_at=_NOW - rng.uniform(0.0, 5.0)
    )
    scheduler.open_occurrences(job, 0.0)
    for task in job.tasks:
        task.not_before = rng.choice((0.0,) * 9 + (_NOW + 1.0,))
        if rng.random() < 0.1:
            task.failed_on = f"i-{rng.randint(0, 5)}"
        if rng.random() < 0.05:
            task.crashes = _draw_crashes(rng)
            task.requeued_at = _NOW - rng.choice((0.5, 30.0))
    if queue.advice is not None:
        job.advisor_answers = [
            scheduler.AdvisorAnswer(
                occurrence=0,
                step=step.index,
                runner=f"i-{runner}",
                ticket=rng.choice(("", "t", "t")),
                valid_until=_NOW + 9.0,
            )
            for step in spec.steps
            for runner in range(6)
        ]
    return job


def _draw_vm(rng, number):
    capacity = scheduler.Resources(
        cores=rng.choice((4.0, 8.0)),
        memory_mib=rng.choice((2048.0, 8192.0)),
        accelerators=rng.choice((0, 2)),
    )
    return scheduler.VmView(
        runner=f"i-{number}",
        lifetime=1,
        vm=f"m-{number}",
        pool="p",
        domain="z",
        rack=f"r-{number % 3}",
        labels=frozenset(rng.choice(((), ("fast",)))),
        capacity=capacity,
        free=capacity,
        closed_reason=rng.choice(("",) * 6 + ("silent",)),
        avoided=rng.random() < 0.2,
        unexplained_crashes=rng.choice((0, 0, 0, 1)),
        made_at=_NOW,
    )


def _draw_pool(rng):
    """Return jobs, and VMs on which tasks of other jobs are reserved."""
    vms = [_draw_vm(rng, number) for number in range(rng.randint(1, 8))]
    for number in range(rng.randint(0, 10)):
        job = _draw_job(rng, f"-there-{number}")
        task = rng.choice(job.tasks)
        task.started_at = rng.choice((0.0, _NOW - 0.3, _NOW - 5.0))
        vm = rng.choice(vms)
        if vm.free.covers(task.step.reserved):
            vm.reserve(job.spec.id, task)
    jobs = [_draw_job(rng, number) for number in range(rng.randint(1, 8))]
    return jobs, vms


def _plan_by_order(jobs, vms):
    return scheduler.plan_starts(
        policy="payoff_density",
        jobs=jobs,
        vms=vms,
        now=_NOW,
        estimator=scheduler.Estimator(),
    )


def _plan_by_look(jobs, vms):
    """Return the starts that were planned before there was an order.

    Each ready job is ranked, and each VM looked at for each of its tasks.
    """

    def look_at_each(order, job, task):
        return _look_at_each(job, task, order._vms)

    with (
        unittest.mock.patch.object(_vm_order.VmOrder, "choose", look_at_each),
        unittest.mock.patch.object(
            _vm_order.LargestRoom, "has_room", lambda *args: True
        ),
    ):
        placer = scheduler.Placer(vms=vms)
        ready = {}
        starts = []
        for job in jobs:
            tasks = scheduler.ready_tasks(job, _NOW)
            lone = [
                each for each in tasks if _crashes.must_run_alone(each, _NOW)
            ]
            if lone and not lone[0].step.gang:
                starts += placer.place_alone(job, lone)
                tasks = [each for each in tasks if each not in lone]
            if tasks:
                ready[job.key] = (job, tasks)
        ordered = scheduler.order_jobs(
            "payoff_density",
            [job for job, _ in ready.values()],
            scheduler.OrderContext(now=_NOW, estimator=scheduler.Estimator()),
        )
        for job in ordered:
            starts += placer.place_job(job, ready[job.key][1])
        return starts


def _plan(seed, plan):
    jobs, vms = _draw_pool(random.Random(seed))
    starts = plan(jobs, vms)
    placed = [
        (start.job.spec.id, start.task.key, start.vm.runner)
        for start in starts
    ]
    return placed, [(vm.free, vm.closed_reason) for vm in vms], starts


@given("drawn pools with jobs of all kinds")
def _drawn_pools(context):
    context.seeds = strategies.integers(0, 2**32)
    context.kinds = collections.Counter()


@when("each round is planned by order, and by a look at each VM")
def _plan_both(context):
    context.differences = []

    @hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
    @hypothesis.given(context.seeds)
    def check(seed):
        *by_order, starts = _plan(seed, _plan_by_order)
        *by_look, _ = _plan(seed, _plan_by_look)
        if by_order != by_look:
            context.differences.append((seed, by_order, by_look))
        for start in starts:
            context.kinds.update(_kinds(start))

    check()


def _kinds(start):
    task = start.task
    step = task.step
    yield from (
        name
        for name, is_so in {
            "filler": step.fills,
            "long-lived": step.long_lived,
            "gang": step.gang,
            "suspect": bool(task.crashes),
            "beside a suspect": bool(start.vm.suspect_groups),
            "failed before": bool(task.failed_on),
            "advised": start.job.queue.advice is not None,
            "limited by VM": bool(step.max_per_vm),
            "near a rack": bool(step.affinity_rack),
            "on an avoided VM": start.vm.avoided,
        }.items()
        if is_so
    )


@then("the same tasks start on the same VMs")
def _check_same_vms(context):
    assert not context.differences, context.differences[:1]


@then("there were starts of {count:d} kinds, {least:d} or more of each")
def _check_kinds(context, count, least):
    assert len(context.kinds) == count, context.kinds
    assert min(context.kinds.values()) >= least, context.kinds
