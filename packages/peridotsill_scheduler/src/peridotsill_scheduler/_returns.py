"""Registry of return policies, which give idle VMs back to standby pools."""

import collections
import collections.abc

from peridotsill_scheduler import _demand
from peridotsill_scheduler import _lending

# The total need of the pools is looked back on for this long, so that a short
# lull returns nothing.
_NEED_WINDOW_SECONDS = 1.5
# What is kept, as a multiple of the highest total need in the window. A VM
# that was returned and is needed again is missing for two moves.
_KEPT_NEED_FACTOR = 1.2
# Idle VMs that a pool keeps beyond its own need.
_POOL_RESERVE_VMS = 1


class NeedHistory:
    """The highest total need of all pools, in VMs, over a sliding window.

    A scheduler that has just begun knows nothing of the time before, so there
    is no peak until its history covers the window. The same holds after a
    gap in which nothing was recorded.
    """

    def __init__(self) -> None:
        self._first_at = float("inf")
        self._latest_at = float("-inf")
        # Times and needs; the needs fall from the first to the last.
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, now: float, need: int) -> None:
        """Record the total need; ``now`` is in monotonic seconds."""
        if self._latest_at < now - _NEED_WINDOW_SECONDS:
            self._first_at = now
        self._latest_at = now
        while self._peaks and self._peaks[-1][1] <= need:
            self._peaks.pop()
        self._peaks.append((now, need))
        self._forget_old(now)

    def peak(self, now: float) -> int | None:
        """Return the highest need in the window, None if it isn't covered."""
        if now - self._first_at < _NEED_WINDOW_SECONDS:
            return None
        self._forget_old(now)
        return self._peaks[0][1] if self._peaks else None

    def _forget_old(self, now: float) -> None:
        while self._peaks and self._peaks[0][0] < now - _NEED_WINDOW_SECONDS:
            self._peaks.popleft()


ReturnPolicy = collections.abc.Callable[
    [collections.abc.Sequence[_demand.PoolSupply], NeedHistory, float],
    list[_lending.Move],
]
_policies: dict[str, ReturnPolicy] = {}


def return_policy(
    name: str,
) -> collections.abc.Callable[[ReturnPolicy], ReturnPolicy]:
    """Return a decorator that registers a return policy."""

    def register(policy: ReturnPolicy) -> ReturnPolicy:
        _policies[name] = policy
        return policy

    return register


def return_policies() -> tuple[str, ...]:
    """Return the names of the registered policies."""
    return tuple(sorted(_policies))


def plan_returns(
    policy: str,
    pools: collections.abc.Sequence[_demand.PoolSupply],
    history: NeedHistory,
    now: float,
) -> list[_lending.Move]:
    """Return the moves to standby pools that a policy chooses.

    Args:
        policy: Name of the policy.
        pools: All pools, as they are after the moves that were planned.
        history: What the policy remembers from one decision to the next.
        now: Seconds of the monotonic clock.
    """
    return _policies[policy](pools, history, now)


@return_policy("never")
def _never(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    history: NeedHistory,
    now: float,
) -> list[_lending.Move]:
    """Return no VM."""
    return []


@return_policy("unneeded")
def _unneeded(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    history: NeedHistory,
    now: float,
) -> list[_lending.Move]:
    """Return idle VMs beyond what all pools needed together lately.

    Where peaks go round, a VM that is idle in one pool is the next pool's
    reserve: a move from there takes as long as one from standby, and costs
    one move less. So the sum over all pools decides how many are kept, and
    deployments that need nearly all of their VMs return none.

    While no work arrives or runs, nothing is known of the need.
    """
    if any(pool.demand.rate or pool.demand.running for pool in pools):
        history.record(now, sum(_demand.usable_vms(pool) for pool in pools))
    target = next((pool for pool in pools if pool.standby), None)
    peak = history.peak(now)
    if target is None or peak is None:
        return []
    paid = sum(pool.size for pool in pools if not pool.standby)
    count = paid - int(peak * _KEPT_NEED_FACTOR)
    surplus = {
        pool.name: min(
            len(pool.idle),
            pool.size - _demand.vms_with_late_jobs(pool) - _POOL_RESERVE_VMS,
        )
        for pool in pools
        if not pool.standby
    }
    idle = {pool.name: list(pool.idle) for pool in pools}
    moves: list[_lending.Move] = []
    while count > 0:
        source = max(surplus, key=lambda name: surplus[name], default=None)
        if source is None or surplus[source] <= 0:
            break
        # VMs that are due for maintenance are the last ones; on standby it
        # takes no capacity.
        vm = idle[source].pop()
        surplus[source] -= 1
        count -= 1
        moves.append(_lending.Move(vm=vm, source=source, target=target.name))
    return moves
