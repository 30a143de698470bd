"""Registry of placement policies, which decide on waiting large tasks."""

import collections.abc

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _placement
from peridotsill_scheduler import _quotas
from peridotsill_scheduler import _reservation_memory
from peridotsill_scheduler import _reservations
from peridotsill_scheduler import _reserving
from peridotsill_scheduler import _vms


@attrs.frozen(kw_only=True)
class Placement:
    """A placement policy by its name, and what it may need for a pool.

    ``runs_of`` returns the runs that are on a VM, and ``memory`` is kept from
    round to round.
    """

    policy: str
    memory: _reservation_memory.ReservationMemory
    runs_of: _reservations.RunsOf


@attrs.frozen(kw_only=True)
class PlacementContext:
    """Inputs of a placement policy; ``now`` is as in `OrderContext`."""

    placement: Placement
    vms: collections.abc.Sequence[_vms.VmView]
    now: float
    estimator: _estimates.Estimator
    quotas: _quotas.Quotas


PlacementPolicy = collections.abc.Callable[
    [PlacementContext], _placement.Placer
]
_policies: dict[str, PlacementPolicy] = {}


def placement_policy(
    name: str,
) -> collections.abc.Callable[[PlacementPolicy], PlacementPolicy]:
    """Return a decorator that registers a placement policy."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        _policies[name] = policy
        return policy

    return register


def placement_policies() -> tuple[str, ...]:
    """Return the names of the registered policies."""
    return tuple(sorted(_policies))


def make_placer(
    placement: Placement | None,
    vms: collections.abc.Sequence[_vms.VmView],
    now: float,
    estimator: _estimates.Estimator,
    quotas: _quotas.Quotas,
) -> _placement.Placer:
    """Return the placer of a round; without a policy that of `immediate`."""
    if placement is None:
        return _placement.Placer(vms=vms, quotas=quotas)
    context = PlacementContext(
        placement=placement,
        vms=vms,
        now=now,
        estimator=estimator,
        quotas=quotas,
    )
    return _policies[placement.policy](context)


@placement_policy("immediate")
def _immediate(context: PlacementContext) -> _placement.Placer:
    """Start what has room now, best-ranked jobs first."""
    return _placement.Placer(vms=context.vms, quotas=context.quotas)


@placement_policy("reserving")
def _reserving_policy(context: PlacementContext) -> _placement.Placer:
    """Reserve capacity for large tasks, as EASY backfilling does."""
    return _reserving.ReservingPlacer(
        vms=context.vms,
        now=context.now,
        estimator=context.estimator,
        quotas=context.quotas,
        memory=context.placement.memory,
        runs_of=context.placement.runs_of,
    )
