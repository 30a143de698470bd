"""The order of jobs within and beyond the rates of their teams."""

import collections
import collections.abc
import heapq

from peridotsill_scheduler import _model
from peridotsill_scheduler import _order
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _quotas
from peridotsill_scheduler import _vms


def serve_jobs(
    policy: str,
    jobs: collections.abc.Iterable[_progress.Job],
    context: _order.OrderContext,
    quotas: _quotas.Quotas,
    vms: collections.abc.Sequence[_vms.VmView],
) -> collections.abc.Iterator[_progress.Job]:
    """Yield a pool's jobs in the order in which they are served.

    Those within their team's rate come first, as the order policy has them.
    Of the others, each time the first job of the team with the smallest
    weighted share is next. The starts of a job are counted before the next
    one is asked for, so that no team's queue goes as a whole before others.
    """
    within: list[_progress.Job] = []
    beyond: list[_progress.Job] = []
    for job in jobs:
        (beyond if quotas.is_beyond_rate(job) else within).append(job)
    yield from _order.order_jobs(policy, within, context)
    if not beyond:
        return
    pool = beyond[0].queue.pool
    capacity = _total_capacity(vms)
    by_team: dict[str, collections.deque[tuple[int, _progress.Job]]] = {}
    for position, job in enumerate(_order.order_jobs(policy, beyond, context)):
        queue = by_team.setdefault(job.team, collections.deque())
        queue.append((position, job))
    heap = [
        (quotas.weighted_share(team, pool, capacity), queue[0][0], team)
        for team, queue in by_team.items()
    ]
    heapq.heapify(heap)
    while heap:
        _, _, team = heapq.heappop(heap)
        queue = by_team[team]
        yield queue.popleft()[1]
        if queue:
            share = quotas.weighted_share(team, pool, capacity)
            heapq.heappush(heap, (share, queue[0][0], team))


def _total_capacity(
    vms: collections.abc.Iterable[_vms.VmView],
) -> _model.Resources:
    total = _model.Resources()
    for vm in vms:
        total = total.plus(vm.capacity)
    return total
