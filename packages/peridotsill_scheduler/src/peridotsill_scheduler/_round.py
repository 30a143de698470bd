"""A scheduling round of a pool."""

import collections.abc
import typing

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _order
from peridotsill_scheduler import _placement
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _vms


def plan_starts(
    *,
    policy: str,
    jobs: typing.Iterable[_progress.Job],
    vms: collections.abc.Sequence[_vms.VmView],
    now: float,
    estimator: _estimates.Estimator,
) -> list[_placement.Start]:
    """Return the tasks to start now on one pool's VMs, best-ranked jobs first.

    Args:
        policy: Name of the order policy.
        jobs: The jobs of the queues that the pool serves.
        vms: The pool's VMs; the started tasks are reserved on them.
        now: Seconds of the monotonic clock.
        estimator: Estimates the run times of the jobs' tasks.
    """
    placer = _placement.Placer(vms=vms)
    ready = {}
    starts: list[_placement.Start] = []
    for job in jobs:
        steps = [each.step for each in _progress.ready_steps(job)]
        if not job.tally.has_suspects and not placer.has_room_for_any(steps):
            continue
        tasks = _progress.ready_tasks(job, now)
        lone = [each for each in tasks if _crashes.must_run_alone(each, now)]
        if lone and not lone[0].step.gang:
            starts += placer.place_alone(job, lone)
            tasks = [each for each in tasks if each not in lone]
        if tasks and placer.can_place_any(tasks):
            ready[job.key] = (job, tasks)
    context = _order.OrderContext(now=now, estimator=estimator)
    ordered = _order.order_jobs(
        policy, [job for job, _ in ready.values()], context
    )
    for job in ordered:
        _, tasks = ready[job.key]
        starts += placer.place_job(job, tasks)
    return starts
