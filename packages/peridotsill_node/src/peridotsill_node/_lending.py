"""When the spare pool's VMs are lent and given back.

Each second of a shortage or of an idle lent VM costs something, and so
does a move. A move is made when the cost that it would have saved has
grown to the cost of the move; so the sum is never more than about twice
that of a decision made with foresight.
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
from peridotsill_node import _ownership
from peridotsill_node import _writer
import peridotsill_siblings

_MOVE_COST = 10.0
_SHORTAGE_COST_PER_SECOND = 10.0
_IDLE_COST_PER_SECOND = 1.0
_WAVE_WAIT_COST_PER_SECOND = 1.0
_TARGET_USE = 0.85


@attrs.frozen(kw_only=True)
class Weights:
    """How much each measure counts for this deployment."""

    buffer: float
    moves: float
    rollout: float


@attrs.frozen(kw_only=True)
class PoolDemand:
    """What a pool needs and has.

    ``demand`` is in slots; ``lent`` are the VMs it has on loan;
    ``short_of_budget`` says that fewer VMs are available than it must
    have, and ``wave_waits`` that a wave waits for slack.
    """

    pool: str
    demand: float
    slots_per_vm: int
    available: int
    lent: tuple[str, ...]
    short_of_budget: bool = False
    wave_waits: bool = False

    @property
    def needed(self) -> int:
        """VMs that the demand fills to the wanted use."""
        return math.ceil(self.demand / (self.slots_per_vm * _TARGET_USE))


@attrs.frozen(kw_only=True)
class Transfer:
    """A VM to move now."""

    vm: str
    to_pool: str
    reason: str


class Lender:
    """Decides about loans; keeps the grown costs of each pool."""

    def __init__(self) -> None:
        self._shortage: dict[str, float] = {}
        self._idle: dict[str, float] = {}

    def decide(
        self,
        pools: tuple[PoolDemand, ...],
        spare_pool: str,
        spare: tuple[str, ...],
        weights: Weights,
        seconds: float,
    ) -> tuple[Transfer, ...]:
        """Return the moves that are due after ``seconds`` more.

        Args:
            pools: All pools but the spare one.
            spare_pool: Name of the spare pool.
            spare: Its VMs that can be lent.
            weights: What each measure counts.
            seconds: Time since the last decision.
        """
        transfers: list[Transfer] = []
        free = list(spare)
        ordered = sorted(pools, key=self._urgency, reverse=True)
        for pool in ordered:
            transfers += self._borrow(pool, free, weights, seconds)
            transfers += self._give_back(pool, spare_pool, weights, seconds)
        return tuple(transfers)

    def _urgency(self, pool: PoolDemand) -> tuple[bool, float]:
        return pool.short_of_budget, self._shortage.get(pool.pool, 0.0)

    def _borrow(
        self,
        pool: PoolDemand,
        free: list[str],
        weights: Weights,
        seconds: float,
    ) -> list[Transfer]:
        missing = max(pool.needed - pool.available, 0)
        cost = missing * _SHORTAGE_COST_PER_SECOND
        if pool.wave_waits:
            cost += weights.rollout * _WAVE_WAIT_COST_PER_SECOND
            missing = max(missing, 1)
        if pool.short_of_budget:
            missing = max(missing, 1)
        grown = self._shortage.get(pool.pool, 0.0) + cost * seconds
        self._shortage[pool.pool] = grown if missing else 0.0
        transfers = []
        price = _MOVE_COST * weights.moves
        while missing and free:
            if not pool.short_of_budget and grown < price:
                break
            grown -= price
            missing -= 1
            reason = f"{pool.needed} VMs needed, {pool.available} available"
            if pool.short_of_budget:
                reason = "below its budget"
            transfers.append(
                Transfer(vm=free.pop(0), to_pool=pool.pool, reason=reason)
            )
        if transfers:
            self._shortage[pool.pool] = max(grown, 0.0)
        return transfers

    def _give_back(
        self,
        pool: PoolDemand,
        spare_pool: str,
        weights: Weights,
        seconds: float,
    ) -> list[Transfer]:
        surplus = min(pool.available - pool.needed, len(pool.lent))
        if surplus <= 0 or pool.wave_waits or pool.short_of_budget:
            self._idle[pool.pool] = 0.0
            return []
        cost = weights.buffer * surplus * _IDLE_COST_PER_SECOND
        grown = self._idle.get(pool.pool, 0.0) + cost * seconds
        price = _MOVE_COST * weights.moves
        transfers = []
        lent = list(pool.lent)
        while surplus and grown >= price:
            grown -= price
            surplus -= 1
            transfers.append(
                Transfer(
                    vm=lent.pop(),
                    to_pool=spare_pool,
                    reason=f"{pool.needed} of {pool.available} VMs needed",
                )
            )
        self._idle[pool.pool] = grown
        return transfers


@attrs.frozen(kw_only=True)
class LendingParts:
    """What the lending duty works with."""

    view: peridotsill.View
    writer: _writer.Writer
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
            pool.name,
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
            short_of_budget=condition.slack < 0,
            wave_waits=bool(waves) and condition.slack <= 0,
        )

    def _move(self, transfer: Transfer, tenure: _ownership.Tenure) -> None:
        disruption = peridotsill.Disruption(
            id=_writer.new_operation("lend"),
            kind=peridotsill.DisruptionKind.MOVE,
            target_pool=transfer.to_pool,
            lent=True,
            reason=transfer.reason,
        )
        self._parts.journal.note(
            "lending",
            f"vms/{transfer.vm}",
            transfer.to_pool,
            reason=transfer.reason,
            config_version=self._parts.view.config.version,
        )
        try:
            self._parts.writer.disrupt(transfer.vm, disruption, tenure.fence)
        except peridotsill.HttpProblem as problem:
            self._parts.journal.note(
                "lending",
                f"vms/{transfer.vm}",
                "kept",
                reason=problem.detail,
            )
