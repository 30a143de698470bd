"""A scheduling round of a pool."""

import collections.abc
import typing

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _model
from peridotsill_scheduler import _order
from peridotsill_scheduler import _placement
from peridotsill_scheduler import _placement_policies
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _quotas
from peridotsill_scheduler import _team_order
from peridotsill_scheduler import _vms


def plan_starts(
    *,
    policy: str,
    jobs: typing.Iterable[_progress.Job],
    vms: collections.abc.Sequence[_vms.VmView],
    now: float,
    estimator: _estimates.Estimator,
    quotas: _quotas.Quotas | None = None,
    placement: _placement_policies.Placement | None = None,
) -> list[_placement.Start]:
    """Return the tasks to start now on one pool's VMs, best-ranked jobs first.

    Args:
        policy: Name of the order policy.
        jobs: The jobs of the queues that the pool serves.
        vms: The pool's VMs; the started tasks are reserved on them.
        now: Seconds of the monotonic clock.
        estimator: Estimates the run times of the jobs' tasks.
        quotas: What the jobs' teams have and may have running in all pools;
            the starts are counted there. Unlimited by default.
        placement: The placement policy and what it needs; `immediate` if
            left out.
    """
    quotas = quotas or _quotas.Quotas()
    placer = _placement_policies.make_placer(
        placement, vms, now, estimator, quotas
    )
    ready_steps: dict[tuple[str, str], list[_model.Step]] = {}
    tasks_with_suspects: dict[tuple[str, str], list[_progress.Task]] = {}
    starts: list[_placement.Start] = []
    candidates: list[_progress.Job] = []
    for job in jobs:
        steps = [each.step for each in _progress.ready_steps(job)]
        if not steps:
            continue
        if job.team:
            steps = quotas.startable_steps(job, steps)
            if not steps:
                continue
        if job.tally.has_suspects:
            tasks = [
                each
                for each in _progress.ready_tasks(job, now)
                if each.step in steps
            ]
            lone = [
                each for each in tasks if _crashes.must_run_alone(each, now)
            ]
            if lone and not lone[0].step.gang:
                starts += placer.place_alone(job, lone)
                tasks = [each for each in tasks if each not in lone]
            steps = list({id(each.step): each.step for each in tasks}.values())
            tasks_with_suspects[job.key] = tasks
        if placer.has_room_for_any(job, steps):
            ready_steps[job.key] = steps
            candidates.append(job)
    starts += placer.place_reserved()
    for job, deferred_steps in placer.pop_deferred():
        ready_steps[job.key] = list(deferred_steps)
        candidates.append(job)
    context = _order.OrderContext(now=now, estimator=estimator)
    for job in _team_order.serve_jobs(
        policy, candidates, context, quotas, vms
    ):
        # Listing the tasks is left for jobs that still have room.
        steps = quotas.startable_steps(job, ready_steps[job.key])
        if not any(placer.has_room(step, job) for step in steps):
            continue
        if job.tally.has_suspects:
            tasks = tasks_with_suspects[job.key]
        else:
            tasks = _progress.ready_tasks(job, now)
        starts += placer.place_job(job, tasks)
    return starts
