"""Decides when VMs are lent between pools and when they are returned.

A pool whose demand exceeds its slots, or that is below its availability
budget, borrows at once: first from the spare pool, then VMs that are on loan
to other pools and idle there, then VMs of other pools that those can spare.
A loan moves the VM directly from pool to pool. A pool that is only above its
target utilization, or in which a wave waits, accrues a cost over time and
borrows once that has reached the cost of a move. Idle VMs on loan
accrue a cost in the same way and are returned once that has reached the cost
of a return.
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

# Costs are relative to one VM on loan that is idle for one second; the
# weights scale them.
_MOVE_COST = 10.0
_OVERUSE_COST_PER_SECOND = 2.0
_IDLE_COST_PER_SECOND = 1.0
_WAVE_WAIT_COST_PER_SECOND = 1.0
_RETURN_COST_FACTOR = 3.0
_TARGET_UTILIZATION = 0.85
_DONOR_MIN_SURPLUS_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class CostWeights:
    """Factors of the costs in this deployment.

    ``buffer`` scales the cost of idle VMs on loan, ``moves`` that of a
    move and ``rollout`` that of a wave which waits.
    """

    buffer: float
    moves: float
    rollout: float


@attrs.frozen(kw_only=True)
class PoolDemand:
    """A pool's demand and its VMs.

    ``demand`` is in slots. ``available`` counts its available VMs and those
    on their way to it. ``borrowed`` are the available VMs that other pools
    have lent to it. ``own`` are its other available VMs, limited to the
    number that its availability budget allows to be taken.
    ``short_of_budget`` tells that fewer VMs are available than the budget
    demands, ``wave_waits`` that a wave is running and the budget has no
    slack.
    """

    pool: str
    demand: float
    slots_per_vm: int
    available: int
    borrowed: tuple[str, ...]
    own: tuple[str, ...] = ()
    short_of_budget: bool = False
    wave_waits: bool = False

    @property
    def vms_at_full_use(self) -> int:
        """Number of VMs for the demand if every slot is used."""
        return math.ceil(self.demand / self.slots_per_vm)

    @property
    def vms_at_target_use(self) -> int:
        """Number of VMs for the demand at the target utilization."""
        return math.ceil(
            self.demand / (self.slots_per_vm * _TARGET_UTILIZATION)
        )

    @property
    def surplus(self) -> int:
        """Number of VMs that the pool does not need."""
        if self.short_of_budget or self.wave_waits:
            return 0
        return max(self.available - self.vms_at_target_use, 0)


@attrs.frozen(kw_only=True)
class Transfer:
    """A VM to move now, to its home pool if ``to_pool`` is None."""

    vm: str
    reason: str
    to_pool: str | None = None


class Lender:
    """Decides on loans and returns; keeps the accrued costs of each pool."""

    def __init__(self) -> None:
        self._overuse_costs: dict[str, float] = {}
        self._idle_costs: dict[str, float] = {}
        self._surplus_seconds: dict[str, float] = {}

    def decide(
        self,
        pools: tuple[PoolDemand, ...],
        spare: tuple[str, ...],
        weights: CostWeights,
        seconds: float,
    ) -> tuple[Transfer, ...]:
        """Return the moves that are due.

        Args:
            pools: The demands of all pools but the spare pool.
            spare: VMs of the spare pool that can be lent.
            weights: Factors of the costs.
            seconds: Time since the last decision.
        """
        for pool in pools:
            surplus_seconds = (
                self._surplus_seconds.get(pool.pool, 0.0) + seconds
            )
            self._surplus_seconds[pool.pool] = (
                surplus_seconds if pool.surplus else 0.0
            )
        donors = _Donors(
            spare=list(spare),
            pools=[
                pool
                for pool in pools
                if self._surplus_seconds[pool.pool]
                >= _DONOR_MIN_SURPLUS_SECONDS
            ],
        )
        transfers: list[Transfer] = []
        for pool in sorted(pools, key=_urgency, reverse=True):
            transfers += self._borrow(pool, donors, weights, seconds)
        lent_now = {transfer.vm for transfer in transfers}
        for pool in pools:
            transfers += self._return_idle(pool, lent_now, weights, seconds)
        return tuple(transfers)

    def _borrow(
        self,
        pool: PoolDemand,
        donors: "_Donors",
        weights: CostWeights,
        seconds: float,
    ) -> list[Transfer]:
        wanted = max(
            pool.vms_at_full_use - pool.available, int(pool.short_of_budget)
        )
        wanted = max(wanted, self._affordable_loans(pool, weights, seconds))
        transfers = []
        reason = (
            f"{pool.vms_at_target_use} VMs needed, {pool.available} available"
        )
        if pool.short_of_budget:
            reason = "below its budget"
        for _ in range(wanted):
            vm = donors.take(pool.pool)
            if vm is None:
                break
            transfers.append(Transfer(vm=vm, to_pool=pool.pool, reason=reason))
        return transfers

    def _affordable_loans(
        self, pool: PoolDemand, weights: CostWeights, seconds: float
    ) -> int:
        """Return how many more VMs the pool borrows for its accrued cost.

        The cost accrues while the pool is above its target utilization or
        a wave waits for slack.
        """
        missing = max(
            pool.vms_at_target_use - pool.available, int(pool.wave_waits)
        )
        cost = missing * _OVERUSE_COST_PER_SECOND
        if pool.wave_waits:
            cost += weights.rollout * _WAVE_WAIT_COST_PER_SECOND
        accrued = self._overuse_costs.get(pool.pool, 0.0) + cost * seconds
        move_cost = max(_MOVE_COST * weights.moves, 0.001)
        affordable = min(missing, int(accrued / move_cost))
        self._overuse_costs[pool.pool] = (
            accrued - affordable * move_cost if missing else 0.0
        )
        return affordable

    def _return_idle(
        self,
        pool: PoolDemand,
        lent_now: set[str],
        weights: CostWeights,
        seconds: float,
    ) -> list[Transfer]:
        idle = [vm for vm in pool.borrowed if vm not in lent_now][
            : pool.surplus
        ]
        if not idle:
            self._idle_costs[pool.pool] = 0.0
            return []
        cost = weights.buffer * len(idle) * _IDLE_COST_PER_SECOND
        accrued = self._idle_costs.get(pool.pool, 0.0) + cost * seconds
        move_cost = max(
            _MOVE_COST * weights.moves * _RETURN_COST_FACTOR, 0.001
        )
        affordable = min(len(idle), int(accrued / move_cost))
        self._idle_costs[pool.pool] = accrued - affordable * move_cost
        reason = f"{pool.vms_at_target_use} of {pool.available} VMs needed"
        return [Transfer(vm=vm, reason=reason) for vm in idle[:affordable]]


def _urgency(pool: PoolDemand) -> tuple[bool, int]:
    return pool.short_of_budget, pool.vms_at_full_use - pool.available


class _Donors:
    """The VMs that can be lent now.

    The spare pool's VMs go first, then VMs that other pools have on loan,
    then their own; of these pools, the one with the largest surplus first.
    """

    def __init__(self, *, spare: list[str], pools: list[PoolDemand]) -> None:
        self._spare = spare
        self._surplus_left = {pool.pool: pool.surplus for pool in pools}
        self._borrowed = {pool.pool: list(pool.borrowed) for pool in pools}
        self._own = {pool.pool: list(pool.own) for pool in pools}

    def take(self, borrower: str) -> str | None:
        """Remove and return a VM for the borrower, or None."""
        if self._spare:
            return self._spare.pop(0)
        for vms in (self._borrowed, self._own):
            for pool in sorted(
                vms, key=self._surplus_left.__getitem__, reverse=True
            ):
                if pool != borrower and self._surplus_left[pool] and vms[pool]:
                    self._surplus_left[pool] -= 1
                    return vms[pool].pop()
        return None


@attrs.frozen(kw_only=True)
class LendingParts:
    """Dependencies of `LendingDuty`."""

    view: peridotsill.TableView
    grants: _grants.Grants
    evidence_collector: _evidence.EvidenceCollector
    membership: peridotsill_siblings.Membership
    slots: peridotsill_siblings.Slots
    journal: peridotsill.Journal


class LendingDuty:
    """Moves VMs between all pools, for the owner of the spare pool."""

    def __init__(self, *, parts: LendingParts) -> None:
        self._parts = parts
        self._lender = Lender()
        self._decided_at = time.monotonic()

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Decide for all pools, and start the moves that are due.

        Does nothing for pools other than the spare pool, or while lending
        is disabled in the configuration.
        """
        values = self._parts.view.config.values
        if not pool.spare or not values.lending:
            return
        now = time.monotonic()
        seconds, self._decided_at = min(now - self._decided_at, 2.0), now
        evidence = self._parts.evidence_collector.evidence()
        transfers = self._lender.decide(
            self._demands(evidence),
            self._lendable_spares(pool, evidence),
            CostWeights(
                buffer=values.buffer_weight,
                moves=values.moves_weight,
                rollout=values.rollout_weight,
            ),
            seconds,
        )
        for transfer in transfers:
            self._move(transfer, tenure)

    def _lendable_spares(
        self, pool: peridotsill.Pool, evidence: _availability.Evidence
    ) -> tuple[str, ...]:
        vms = self._parts.view.vms_of(pool.name)
        condition = _availability.condition_of(pool, vms, evidence)
        available = [each.vm.name for each in condition.vms if not each.reason]
        return tuple(available[: max(condition.slack, 0)])

    def _demands(
        self, evidence: _availability.Evidence
    ) -> tuple[PoolDemand, ...]:
        loads = list(self._parts.slots.loads())
        for heartbeat in self._parts.membership.live_heartbeats():
            loads += heartbeat.loads
        demand_by_service: dict[str, float] = collections.defaultdict(float)
        for load in loads:
            demand_by_service[load.service] += (
                load.held + load.waiting + load.refused
            )
        demands = []
        for pool in self._parts.view.resources("pools"):
            if not pool.spare:
                demands.append(self._demand(pool, demand_by_service, evidence))
        return tuple(demands)

    def _demand(
        self,
        pool: peridotsill.Pool,
        demand_by_service: typing.Mapping[str, float],
        evidence: _availability.Evidence,
    ) -> PoolDemand:
        vms = self._parts.view.vms_of(pool.name)
        condition = _availability.condition_of(pool, vms, evidence)
        services = [
            service
            for service in self._parts.view.resources("services")
            if service.pool == pool.name
        ]
        slots_per_vm = max((each.slots_per_vm for each in services), default=8)
        demand = sum(
            demand_by_service.get(each.name, 0.0) for each in services
        )
        waves = [
            wave
            for wave in self._parts.view.resources("waves")
            if wave.pool == pool.name
            and wave.state is peridotsill.WaveState.RUNNING
        ]
        available = [each.vm for each in condition.vms if not each.reason]
        arriving = [
            vm
            for vm in self._parts.view.resources("vms")
            if vm.disruption is not None
            and vm.disruption.target_pool == pool.name
        ]
        return PoolDemand(
            pool=pool.name,
            demand=demand,
            slots_per_vm=slots_per_vm,
            available=condition.available + len(arriving),
            borrowed=tuple(vm.name for vm in available if vm.home_pool),
            own=tuple(vm.name for vm in available if not vm.home_pool)[
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
            id=_writer.new_operation_id("lend"),
            kind=peridotsill.DisruptionKind.MOVE,
            target_pool=target,
            lent=True,
            reason=transfer.reason,
        )
        self._parts.journal.record(
            "lending",
            f"vms/{transfer.vm}",
            target,
            reason=transfer.reason,
            config_version=self._parts.view.config.version,
        )
        try:
            self._parts.grants.disrupt(transfer.vm, disruption, tenure.fence)
        except peridotsill.HttpProblem as problem:
            self._parts.journal.record(
                "lending",
                f"vms/{transfer.vm}",
                "kept",
                reason=problem.detail,
            )
