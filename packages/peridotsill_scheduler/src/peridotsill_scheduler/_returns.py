"""Returns idle VMs to standby that no pool is likely to need soon."""

import collections
import collections.abc

from peridotsill_scheduler import _demand
from peridotsill_scheduler import _model

# Needs within this time, which is how long a move takes, count for how many
# VMs are kept.
_WINDOW_SECONDS = 1.5


class RecentNeed:
    """The most VMs that all pools needed together in the last 1.5 seconds.

    Example: after records of 12 and then 9, ``highest`` is 12; once the
    first one is older than that, it is 9.
    """

    def __init__(self) -> None:
        # Times and needs; the needs fall, as an older record that is no
        # higher than a newer one can't become the highest any more.
        self._records: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def highest(self) -> int:
        """The highest need; 0 before the first record."""
        return self._records[0][1] if self._records else 0

    def record(self, need: int, now: float) -> None:
        """Record the need at ``now``, in seconds of the monotonic clock."""
        while self._records and self._records[-1][1] <= need:
            self._records.pop()
        self._records.append((now, need))
        while self._records[0][0] < now - _WINDOW_SECONDS:
            self._records.popleft()


def total_need(
    pools: collections.abc.Iterable[_demand.PoolSupply],
) -> int:
    """Return how many VMs all pools need together, by their forecast."""
    return sum(map(_demand.forecast_vms, pools))


def plan_returns(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    moves: collections.abc.Iterable[_model.Move],
    recent_need: int,
) -> list[_model.Move]:
    """Return moves of idle VMs to standby.

    As many VMs stay outside standby as the pools need together now, or
    needed recently. The VMs are taken from the pools with the largest
    surplus.

    Args:
        pools: All pools; without a standby pool nothing is returned.
        moves: The moves that are already decided.
        recent_need: The highest recent `total_need`.
    """
    standby = next((pool.name for pool in pools if pool.standby), None)
    if standby is None:
        return []
    changes: collections.Counter[str] = collections.Counter()
    for move in moves:
        changes[move.source] -= 1
        changes[move.target] += 1
    moved_vms = {move.vm for move in moves}
    candidates = []
    kept = 0
    for pool in pools:
        if pool.standby:
            continue
        size = pool.size + changes[pool.name]
        kept += size
        surplus = size - _demand.forecast_vms(pool)
        idle = [vm for vm in pool.idle if vm not in moved_vms]
        # Each with the surplus that its pool has before it is taken.
        candidates += [
            (left, pool.name, vm)
            for left, vm in zip(range(surplus, 0, -1), idle)
        ]
    count = kept - max(recent_need, total_need(pools))
    candidates.sort(reverse=True)
    return [
        _model.Move(vm=vm, source=pool, target=standby)
        for _, pool, vm in candidates[: max(0, count)]
    ]
