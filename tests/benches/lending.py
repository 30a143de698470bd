"""Compares lending with static pools and a threshold rule.

There are five pools, of 6 VMs unless a run says otherwise. One pool at a
time has five times the mean demand, more than its 6 VMs can carry, and the
others a twentieth of the mean. All rules get the same demand. A VM serves
no pool while it moves.
"""

import collections.abc
import math
import random

import attrs

from peridotsill_node import _lending

POOLS = tuple(f"pool-{number}" for number in range(5))
HOME_VMS = 6
MIN_AVAILABLE = 5
SPARE_VMS = 4
SLOTS = 8
MEAN_SLOTS = 12.0
STEP_SECONDS = 0.5
MOVE_SECONDS = 3.0
PHASE_SECONDS = 30.0
PHASES = 20
MOVE_COST = 10.0
SHORTAGE_COST_PER_SECOND = 10.0


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of one rule; costs are in VM-seconds."""

    rule: str
    deployment: str
    vms: int
    buffer_vm_seconds: float
    shortage_vm_seconds: float
    moves: int
    weighted_cost: float


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The VMs of each pool, and those that are being moved."""

    vms: dict[str, list[str]]
    moving: list[tuple[float, str, str]] = attrs.Factory(list)
    lent: dict[str, str] = attrs.Factory(dict)
    moves: int = 0

    def move(self, vm: str, pool: str, now: float) -> None:
        """Start moving a VM."""
        for pool_vms in self.vms.values():
            if vm in pool_vms:
                pool_vms.remove(vm)
        self.moving.append((now + MOVE_SECONDS, vm, pool))
        self.moves += 1

    def finish_moves(self, now: float) -> None:
        """Add VMs whose move has ended to their new pools."""
        for move in list(self.moving):
            arrives_at, vm, pool = move
            if arrives_at <= now:
                self.moving.remove(move)
                self.vms[pool].append(vm)

    def arriving(self, pool: str) -> int:
        """Count the VMs that are being moved to a pool."""
        return sum(1 for _, _, target in self.moving if target == pool)


Rule = collections.abc.Callable[[Fleet, dict[str, float], float], None]


def demand_at(now: float, rng: random.Random) -> dict[str, float]:
    """Return each pool's demand in slots."""
    peak_index = int(now // PHASE_SECONDS) % len(POOLS)
    found = {}
    for index, pool in enumerate(POOLS):
        mean = MEAN_SLOTS * (5.0 if index == peak_index else 0.05)
        found[pool] = max(0.0, rng.gauss(mean, math.sqrt(mean)))
    return found


def vms_for(slots: float) -> int:
    """Return the number of VMs for a demand if every slot is used."""
    return math.ceil(slots / SLOTS)


def demands(
    fleet: Fleet, demand: dict[str, float]
) -> tuple[_lending.PoolDemand, ...]:
    """Return the pools' demands as input for a rule."""
    return tuple(
        _lending.PoolDemand(
            pool=pool,
            demand=demand[pool],
            slots_per_vm=SLOTS,
            available=len(fleet.vms[pool]) + fleet.arriving(pool),
            borrowed=tuple(
                vm for vm in fleet.vms[pool] if not vm.startswith(pool)
            ),
            own=tuple(vm for vm in fleet.vms[pool] if vm.startswith(pool))[
                : max(len(fleet.vms[pool]) - MIN_AVAILABLE, 0)
            ],
        )
        for pool in POOLS
    )


def lender_rule(weights: _lending.CostWeights) -> Rule:
    """Return the rule of `_lending.Lender`."""
    lender = _lending.Lender()

    def decide(fleet: Fleet, demand: dict[str, float], now: float) -> None:
        transfers = lender.decide(
            demands(fleet, demand),
            tuple(fleet.vms["spare"]),
            weights,
            STEP_SECONDS,
        )
        for transfer in transfers:
            home = transfer.vm.rpartition("-")[0]
            fleet.move(transfer.vm, transfer.to_pool or home, now)

    return decide


def threshold_rule(fleet: Fleet, demand: dict[str, float], now: float) -> None:
    """Borrow above 0.85 of the slots in use, return below half."""
    for each in demands(fleet, demand):
        slots = max(each.available, 1) * SLOTS
        use = each.demand / slots
        if use > 0.85 and fleet.vms["spare"]:
            fleet.move(fleet.vms["spare"][0], each.pool, now)
        elif use < 0.5 and each.borrowed:
            fleet.move(each.borrowed[0], "spare", now)


def static_rule(fleet: Fleet, demand: dict[str, float], now: float) -> None:
    """Move no VM."""


def run(
    name: str,
    deployment: str,
    rule: Rule,
    weights: _lending.CostWeights,
    home_vms: int,
    spare_vms: int,
) -> Outcome:
    """Run one rule over the demand, which has a fixed seed."""
    rng = random.Random(20261204)
    vms = {
        pool: [f"{pool}-{number}" for number in range(home_vms)]
        for pool in POOLS
    }
    vms["spare"] = [f"spare-{number}" for number in range(spare_vms)]
    fleet = Fleet(vms=vms)
    total = home_vms * len(POOLS) + spare_vms
    buffer = shortage = 0.0
    for step in range(int(PHASE_SECONDS * PHASES / STEP_SECONDS)):
        now = step * STEP_SECONDS
        fleet.finish_moves(now)
        demand = demand_at(now, rng)
        used = 0
        for pool in POOLS:
            needed_vms, present_vms = (
                vms_for(demand[pool]),
                len(fleet.vms[pool]),
            )
            used += min(needed_vms, present_vms)
            shortage += max(needed_vms - present_vms, 0) * STEP_SECONDS
        buffer += (total - used) * STEP_SECONDS
        rule(fleet, demand, now)
    cost = (
        weights.buffer * buffer
        + weights.moves * MOVE_COST * fleet.moves
        + SHORTAGE_COST_PER_SECOND * shortage
    )
    return Outcome(
        rule=name,
        deployment=deployment,
        vms=total,
        buffer_vm_seconds=round(buffer),
        shortage_vm_seconds=round(shortage),
        moves=fleet.moves,
        weighted_cost=round(cost),
    )


def measure() -> list[Outcome]:
    """Run all rules with the weights of both deployments."""
    found = []
    for deployment, weights in (
        ("gidgee", _lending.CostWeights(buffer=3, moves=1, rollout=1)),
        ("consortium", _lending.CostWeights(buffer=1, moves=3, rollout=1)),
    ):
        peak = vms_for(MEAN_SLOTS * 5 + 3 * math.sqrt(MEAN_SLOTS * 5))
        for name, rule, home, spare in (
            ("static", static_rule, HOME_VMS, SPARE_VMS),
            ("static at peak", static_rule, peak, 0),
            ("threshold", threshold_rule, HOME_VMS, SPARE_VMS),
            ("lender", lender_rule(weights), HOME_VMS, SPARE_VMS),
            ("lender, half spare", lender_rule(weights), HOME_VMS, 2),
            ("lender, no spare", lender_rule(weights), HOME_VMS, 0),
            ("threshold, half spare", threshold_rule, HOME_VMS, 2),
        ):
            found.append(run(name, deployment, rule, weights, home, spare))
    return found


if __name__ == "__main__":
    for outcome in measure():
        print(outcome)
