"""Registry of lending policies, which choose the VMs that change pools."""

import collections
import collections.abc

import attrs

from peridotsill_scheduler import _demand

# The threshold policy lends to pools above the first utilization, from pools
# below the second. These are the usual values of such policies.
_HIGH_UTILIZATION = 0.9
_LOW_UTILIZATION = 0.5
# Surplus VMs that a pool keeps when it lends.
_LENDER_RESERVE_VMS = 1


@attrs.frozen(kw_only=True)
class Move:
    """A decision to move a VM to another pool."""

    vm: str
    source: str
    target: str


LendingPolicy = collections.abc.Callable[
    [collections.abc.Sequence[_demand.PoolSupply]], list[Move]
]
_policies: dict[str, LendingPolicy] = {}


def lending_policy(
    name: str,
) -> collections.abc.Callable[[LendingPolicy], LendingPolicy]:
    """Return a decorator that registers a lending policy."""

    def register(policy: LendingPolicy) -> LendingPolicy:
        _policies[name] = policy
        return policy

    return register


def lending_policies() -> tuple[str, ...]:
    """Return the names of the registered policies."""
    return tuple(sorted(_policies))


def plan_moves(
    policy: str, pools: collections.abc.Sequence[_demand.PoolSupply]
) -> list[Move]:
    """Return the moves that a policy chooses."""
    return _policies[policy](pools)


def plan_fetches(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    lacking: collections.abc.Mapping[str, int],
    due: collections.abc.Set[str],
) -> list[Move]:
    """Choose VMs for pools that lack room for what leaves their due VMs.

    They go before all demand, as they are few and needed for seconds, and a
    task that finds no room keeps its VM from being maintained. They come from
    standby pools first, then from the pool with the most idle VMs, then from
    the one with the most that are soon idle. A pool whose demand exceeds its
    VMs gets none, as its waiting tasks would fill them; it is lent VMs.

    Args:
        pools: All pools.
        lacking: How many VMs each pool lacks.
        due: Names of the VMs that are due themselves.
    """
    lacking = {
        pool.name: lacking.get(pool.name, 0)
        for pool in pools
        if _demand.wanted_vms(pool) <= max(pool.size, _demand.MIN_POOL_VMS)
    }
    movable = {
        pool.name: [vm for vm in pool.idle + pool.busy if vm not in due]
        for pool in pools
        if not lacking.get(pool.name)
    }
    taken: collections.Counter[str] = collections.Counter()
    moves: list[Move] = []
    for target, count in sorted(lacking.items()):
        for _ in range(count):
            source = max(
                (
                    pool
                    for pool in pools
                    if movable.get(pool.name)
                    and (
                        pool.standby
                        or pool.size - taken[pool.name] > _demand.MIN_POOL_VMS
                    )
                ),
                key=lambda pool: (
                    pool.standby,
                    len(pool.idle) - taken[pool.name],
                    len(movable[pool.name]),
                ),
                default=None,
            )
            if source is None:
                return moves
            vm = movable[source.name].pop(0)
            taken[source.name] += 1
            moves.append(Move(vm=vm, source=source.name, target=target))
    return moves


def after_moves(
    pools: collections.abc.Iterable[_demand.PoolSupply],
    moves: collections.abc.Sequence[Move],
) -> list[_demand.PoolSupply]:
    """Return the pools as they are once VMs have moved."""
    moved = {move.vm for move in moves}
    gained = collections.Counter(move.target for move in moves)
    gained.subtract(move.source for move in moves)
    return [
        attrs.evolve(
            pool,
            size=pool.size + gained[pool.name],
            idle=tuple(vm for vm in pool.idle if vm not in moved),
            busy=tuple(vm for vm in pool.busy if vm not in moved),
        )
        for pool in pools
    ]


def spare_vms(pool: _demand.PoolSupply) -> int:
    """Return how many VMs a pool can do without, now and soon."""
    needed = max(_demand.wanted_vms(pool), _demand.forecast_vms(pool))
    return max(0, pool.size - needed)


@lending_policy("none")
def _no_moves(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Baseline: move no VM."""
    return []


@lending_policy("threshold")
def _threshold(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Baseline: move idle VMs to full pools.

    They come from standby pools and from pools of low utilization. The
    utilization counts active tasks and waiting long-lived ones, but no
    other waiting work and no arrivals. At most one VM is moved to each
    full pool.
    """
    utilization = {pool.name: _utilization(pool) for pool in pools}
    full = [
        pool
        for pool in pools
        if not pool.standby and utilization[pool.name] > _HIGH_UTILIZATION
    ]
    idle = {
        pool.name: list(pool.idle)
        for pool in pools
        if pool.standby
        or (
            utilization[pool.name] < _LOW_UTILIZATION
            and pool.size > _demand.MIN_POOL_VMS
        )
    }
    moves: list[Move] = []
    for target in full:
        source = next((name for name, vms in idle.items() if vms), None)
        if source is None:
            return moves
        vm = idle[source].pop()
        moves.append(Move(vm=vm, source=source, target=target.name))
    return moves


def _utilization(pool: _demand.PoolSupply) -> float:
    cores = pool.size * pool.vm_cores
    if not cores:
        # A pool without cores counts as full.
        return 1.0
    return (pool.demand.long_lived + pool.demand.running) / cores


@lending_policy("reactive")
def _reactive(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Baseline: move idle VMs to the pools that have too few."""
    return _plan_transfers(
        pools,
        {each.name: _demand.wanted_vms(each) for each in pools},
        {each.name: each.idle for each in pools},
    )


@lending_policy("clearing")
def _clearing(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Move VMs, including busy ones, for the demand without late jobs.

    After a peak that exceeded the capacity, a pool's VMs are full with
    jobs that are late already; if another pool's peak follows, its jobs
    become late while it waits for VMs. So the cores used by late jobs
    don't count as demand, and busy VMs are cleared by starting no more
    tasks on them.
    """
    return _plan_transfers(
        pools,
        {
            each.name: _demand.vms_for(
                each, each.demand.cores_without_late_jobs
            )
            for each in pools
        },
        {each.name: each.idle + each.busy for each in pools},
    )


@lending_policy("rising")
def _rising(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Move VMs as "clearing" does, but for the forecast demand.

    A peak rises for some seconds, so a VM that is requested for the
    present demand arrives too late by the duration of a move.
    """
    return _plan_transfers(
        pools,
        {each.name: _demand.forecast_vms(each) for each in pools},
        {each.name: each.idle + each.busy for each in pools},
    )


@lending_policy("usable")
def _usable(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Move VMs as "rising" does, but only for what work can use.

    It leaves out tasks that wait for other steps, and work that is counted
    twice, as arriving and as waiting; and it extrapolates a rise no further
    than to somewhat above earlier peaks. Idle VMs of other pools are moved
    before those of standby pools, which are not billed.

    Late jobs take no VM from other pools and get one at a time from standby
    pools, so that none waits for ever in a pool that has become small.
    """
    wanted = {each.name: _demand.usable_vms(each) for each in pools}
    billed = [each for each in pools if not each.standby]
    moves = _plan_transfers(
        billed, wanted, {each.name: each.idle for each in billed}
    )
    rest = after_moves(pools, moves)
    moves += _plan_transfers(
        rest, wanted, {each.name: each.idle + each.busy for each in rest}
    )
    return moves + _fetch_for_late_jobs(after_moves(pools, moves))


def _fetch_for_late_jobs(
    pools: collections.abc.Sequence[_demand.PoolSupply],
) -> list[Move]:
    """Move one standby VM to the pool whose late jobs lack the most."""
    source = next((each for each in pools if each.standby and each.idle), None)
    target = max(
        (each for each in pools if not each.standby),
        key=lambda pool: _demand.vms_with_late_jobs(pool) - pool.size,
        default=None,
    )
    if source is None or target is None:
        return []
    if _demand.vms_with_late_jobs(target) <= target.size:
        return []
    vm = source.idle[0]
    return [Move(vm=vm, source=source.name, target=target.name)]


def _plan_transfers(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    wanted: dict[str, int],
    movable: dict[str, tuple[str, ...]],
) -> list[Move]:
    """Choose moves to the pools that have fewer VMs than ``wanted``.

    The pool with the largest deficit is served first. VMs are taken from
    standby pools first, then from the pool with the largest surplus beyond
    its reserve. Of a pool's VMs they are taken in the order of ``movable``.
    """
    size = {pool.name: pool.size for pool in pools}
    movable_left = {name: list(vms) for name, vms in movable.items()}
    moves: list[Move] = []
    while True:
        target = max(
            (pool for pool in pools if not pool.standby),
            key=lambda pool: wanted[pool.name] - size[pool.name],
            default=None,
        )
        if target is None or wanted[target.name] <= size[target.name]:
            return moves
        source = _choose_source(pools, wanted, size, movable_left, target)
        if source is None:
            return moves
        vm = movable_left[source.name].pop(0)
        size[source.name] -= 1
        size[target.name] += 1
        moves.append(Move(vm=vm, source=source.name, target=target.name))


def _choose_source(
    pools: collections.abc.Sequence[_demand.PoolSupply],
    wanted: dict[str, int],
    size: dict[str, int],
    movable_left: dict[str, list[str]],
    target: _demand.PoolSupply,
) -> _demand.PoolSupply | None:
    best: _demand.PoolSupply | None = None
    for pool in pools:
        if pool is target or not movable_left[pool.name]:
            continue
        if pool.standby:
            return pool
        surplus = size[pool.name] - wanted[pool.name] - _LENDER_RESERVE_VMS
        if surplus <= 0:
            continue
        if best is None or surplus > (
            size[best.name] - wanted[best.name] - _LENDER_RESERVE_VMS
        ):
            best = pool
    return best
