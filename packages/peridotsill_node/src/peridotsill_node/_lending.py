"""When VMs are lent among pools, and given back.

A pool that is asked for more than it can carry borrows at once: first from
the spare pool, then VMs that stand idle on loan elsewhere, then what other
pools can spare of their own. A loan goes straight from pool to pool. What
would only be more comfortable waits until its cost has grown to the cost
of a move; so does the return of an idle VM to the spare pool.
"""

import collections
import math
import time
import typing

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_node import _availability
from peridotsill_node import _evidence
from peridotsill_node import _grants
from peridotsill_node import _ownership
from peridotsill_node import _writer
import peridotsill_siblings

_MOVE_COST = 10.0
_COMFORT_COST_PER_SECOND = 2.0
_IDLE_COST_PER_SECOND = 1.0
_WAVE_WAIT_COST_PER_SECOND = 1.0
_RETURN_FACTOR = 3.0
_TARGET_USE = 0.85
_DONOR_IDLE_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Weights:
    """How much each measure counts for this deployment."""

    buffer: float
    moves: float
    rollout: float


@attrs.frozen(kw_only=True)
class PoolDemand:
    """What a pool needs and has.

    ``demand`` is in slots; ``lent`` are the VMs it has on loan, ``own``
    those of its own that its budget lets go. ``short_of_budget`` says that
    fewer VMs are available than it must have, and ``wave_waits`` that a
    wave waits for slack.
    """

    pool: str
    demand: float
    slots_per_vm: int
    available: int
    lent: tuple[str, ...]
    own: tuple[str, ...] = ()
    short_of_budget: bool = False
    wave_waits: bool = False

    @property
    def least(self) -> int:
        """VMs that the demand fills."""
        return math.ceil(self.demand / self.slots_per_vm)

    @property
    def needed(self) -> int:
        """VMs that the demand fills to the wanted use."""
        return math.ceil(self.demand / (self.slots_per_vm * _TARGET_USE))

    @property
    def surplus(self) -> int:
        """VMs that the pool could do without."""
        if self.short_of_budget or self.wave_waits:
            return 0
        return max(self.available - self.needed, 0)


@attrs.frozen(kw_only=True)
class Transfer:
    """A VM to move now; without ``to_pool``, to where it is at home."""

    vm: str
    reason: str
    to_pool: str | None = None


class Lender:
    """Decides about loans; keeps the grown costs of each pool."""

    def __init__(self) -> None:
        self._comfort: dict[str, float] = {}
        self._idle: dict[str, float] = {}
        self._idle_seconds: dict[str, float] = {}

    def decide(
        self,
        pools: tuple[PoolDemand, ...],
        spare: tuple[str, ...],
        weights: Weights,
        seconds: float,
    ) -> tuple[Transfer, ...]:
        """Return the moves that are due after ``seconds`` more.

        Args:
            pools: All pools but the spare one.
            spare: Its VMs that can be lent.
            weights: What each measure counts.
            seconds: Time since the last decision.
        """
        for pool in pools:
            idle = self._idle_seconds.get(pool.pool, 0.0) + seconds
            self._idle_seconds[pool.pool] = idle if pool.surplus else 0.0
        donors = _Donors(
            spare=list(spare),
            pools=[
                pool
                for pool in pools
                if self._idle_seconds[pool.pool] >= _DONOR_IDLE_SECONDS
            ],
        )
        transfers: list[Transfer] = []
        for pool in sorted(pools, key=_urgency, reverse=True):
            transfers += self._borrow(pool, donors, weights, seconds)
        taken = {transfer.vm for transfer in transfers}
        for pool in pools:
            transfers += self._give_back(pool, taken, weights, seconds)
        return tuple(transfers)

    def _borrow(
        self,
        pool: PoolDemand,
        donors: "_Donors",
        weights: Weights,
        seconds: float,
    ) -> list[Transfer]:
        wanted = max(pool.least - pool.available, int(pool.short_of_budget))
        wanted = max(wanted, self._grown(pool, weights, seconds))
        transfers = []
        reason = f"{pool.needed} VMs needed, {pool.available} available"
        if pool.short_of_budget:
            reason = "below its budget"
        for _ in range(wanted):
            vm = donors.take(pool.pool)
            if vm is None:
                break
            transfers.append(Transfer(vm=vm, to_pool=pool.pool, reason=reason))
        return transfers

    def _grown(
        self, pool: PoolDemand, weights: Weights, seconds: float
    ) -> int:
        """Return how many VMs the grown cost of doing without pays for."""
        missing = max(pool.needed - pool.available, int(pool.wave_waits))
        cost = missing * _COMFORT_COST_PER_SECOND
        if pool.wave_waits:
            cost += weights.rollout * _WAVE_WAIT_COST_PER_SECOND
        grown = self._comfort.get(pool.pool, 0.0) + cost * seconds
        price = max(_MOVE_COST * weights.moves, 0.001)
        paid = min(missing, int(grown / price))
        self._comfort[pool.pool] = grown - paid * price if missing else 0.0
        return paid

    def _give_back(
        self,
        pool: PoolDemand,
        taken: set[str],
        weights: Weights,
        seconds: float,
    ) -> list[Transfer]:
        idle = [vm for vm in pool.lent if vm not in taken][: pool.surplus]
        if not idle:
            self._idle[pool.pool] = 0.0
            return []
        cost = weights.buffer * len(idle) * _IDLE_COST_PER_SECOND
        grown = self._idle.get(pool.pool, 0.0) + cost * seconds
        price = max(_MOVE_COST * weights.moves * _RETURN_FACTOR, 0.001)
        paid = min(len(idle), int(grown / price))
        self._idle[pool.pool] = grown - paid * price
        reason = f"{pool.needed} of {pool.available} VMs needed"
        return [Transfer(vm=vm, reason=reason) for vm in idle[:paid]]


def _urgency(pool: PoolDemand) -> tuple[bool, int]:
    return pool.short_of_budget, pool.least - pool.available


class _Donors:
    """The VMs that can be lent now, in the order of what a loan costs."""

    def __init__(self, *, spare: list[str], pools: list[PoolDemand]) -> None:
        self._spare = spare
        self._left = {pool.pool: pool.surplus for pool in pools}
        self._lent = {pool.pool: list(pool.lent) for pool in pools}
        self._own = {pool.pool: list(pool.own) for pool in pools}

    def take(self, borrower: str) -> str | None:
        """Return a VM for a pool, or None."""
        if self._spare:
            return self._spare.pop(0)
        for vms in (self._lent, self._own):
            for pool in sorted(vms, key=self._left.__getitem__, reverse=True):
                if pool != borrower and self._left[pool] and vms[pool]:
                    self._left[pool] -= 1
                    return vms[pool].pop()
        return None


@attrs.frozen(kw_only=True)
class LendingParts:
    """What the lending duty works with."""

    view: peridotsill.View
    grants: _grants.Grants
    witness: _evidence.Witness
    membership: peridotsill_siblings.Membership
    slots: peridotsill_siblings.Slots
    journal: peridotsill.Journal


class LendingDuty:
    """Lends the VMs of an owned spare pool."""

    def __init__(self, *, parts: LendingParts) -> None:
        self._parts = parts
        self._lender = Lender()
        self._last = time.monotonic()

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Decide once for all pools, and start the moves."""
        values = self._parts.view.config.values
        if not pool.spare or not values.lending:
            return
        now = time.monotonic()
        seconds, self._last = min(now - self._last, 2.0), now
        evidence = self._parts.witness.evidence()
        transfers = self._lender.decide(
            self._demands(evidence),
            self._lendable(pool, evidence),
            Weights(
                buffer=values.buffer_weight,
                moves=values.moves_weight,
                rollout=values.rollout_weight,
            ),
            seconds,
        )
        for transfer in transfers:
            self._move(transfer, tenure)

    def _lendable(
        self, pool: peridotsill.Pool, evidence: _availability.Evidence
    ) -> tuple[str, ...]:
        vms = self._parts.view.vms_of(pool.name)
        condition = _availability.condition_of(pool, vms, evidence)
        well = [each.vm.name for each in condition.vms if not each.reason]
        return tuple(well[: max(condition.slack, 0)])

    def _demands(
        self, evidence: _availability.Evidence
    ) -> tuple[PoolDemand, ...]:
        loads = list(self._parts.slots.loads())
        for beat in self._parts.membership.live():
            loads += beat.loads
        by_service: dict[str, float] = collections.defaultdict(float)
        for load in loads:
            by_service[load.service] += load.held + load.waiting + load.refused
        found = []
        for pool in self._parts.view.resources("pools"):
            if not pool.spare:
                found.append(self._demand(pool, by_service, evidence))
        return tuple(found)

    def _demand(
        self,
        pool: peridotsill.Pool,
        demands: typing.Mapping[str, float],
        evidence: _availability.Evidence,
    ) -> PoolDemand:
        vms = self._parts.view.vms_of(pool.name)
        condition = _availability.condition_of(pool, vms, evidence)
        services = [
            service
            for service in self._parts.view.resources("services")
            if service.pool == pool.name
        ]
        slots = max((each.slots_per_vm for each in services), default=8)
        demand = sum(demands.get(each.name, 0.0) for each in services)
        waves = [
            wave
            for wave in self._parts.view.resources("waves")
            if wave.pool == pool.name
            and wave.state is peridotsill.WaveState.RUNNING
        ]
        well = [each.vm for each in condition.vms if not each.reason]
        coming = [
            vm
            for vm in self._parts.view.resources("vms")
            if vm.disruption is not None
            and vm.disruption.target_pool == pool.name
        ]
        return PoolDemand(
            pool=pool.name,
            demand=demand,
            slots_per_vm=slots,
            available=condition.available + len(coming),
            lent=tuple(vm.name for vm in well if vm.home_pool),
            own=tuple(vm.name for vm in well if not vm.home_pool)[
                : max(condition.slack, 0)
            ],
            short_of_budget=condition.slack < 0,
            wave_waits=bool(waves) and condition.slack <= 0,
        )

    def _move(self, transfer: Transfer, tenure: _ownership.Tenure) -> None:
        key = peridotsill.resource_key("vms", transfer.vm)
        vm = self._parts.view.resource(key, peridotsill.Vm)
        if vm is None:
            return
        target = transfer.to_pool or vm.home_pool or vm.pool
        disruption = peridotsill.Disruption(
            id=_writer.new_operation("lend"),
            kind=peridotsill.DisruptionKind.MOVE,
            target_pool=target,
            lent=True,
            reason=transfer.reason,
        )
        self._parts.journal.note(
            "lending",
            f"vms/{transfer.vm}",
            target,
            reason=transfer.reason,
            config_version=self._parts.view.config.version,
        )
        try:
            self._parts.grants.disrupt(transfer.vm, disruption, tenure.fence)
        except peridotsill.HttpProblem as problem:
            self._parts.journal.note(
                "lending",
                f"vms/{transfer.vm}",
                "kept",
                reason=problem.detail,
            )
