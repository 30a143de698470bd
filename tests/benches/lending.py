"""Lending against static pools and a threshold rule, on one demand.

Five pools of 6 VMs; in turn each asks for five times its mean, which is
more than it holds, then for a twentieth. The demand is the same for all
rules; a move takes a VM away for some seconds.
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
    """What a rule made of the demand; costs are in VM-seconds."""

    rule: str
    deployment: str
    vms: int
    buffer_vm_seconds: float
    shortage_vm_seconds: float
    moves: int
    weighted_cost: float


@attrs.define(kw_only=True, eq=False)
class World:
    """Which pool has which VMs, and which are on their way."""

    vms: dict[str, list[str]]
    moving: list[tuple[float, str, str]] = attrs.Factory(list)
    lent: dict[str, str] = attrs.Factory(dict)
    moves: int = 0

    def move(self, vm: str, pool: str, now: float) -> None:
        """Start moving a VM."""
        for held in self.vms.values():
            if vm in held:
                held.remove(vm)
        self.moving.append((now + MOVE_SECONDS, vm, pool))
        self.moves += 1

    def settle(self, now: float) -> None:
        """Let arrived VMs serve."""
        for item in list(self.moving):
            until, vm, pool = item
            if until <= now:
                self.moving.remove(item)
                self.vms[pool].append(vm)

    def coming(self, pool: str) -> int:
        """Count the VMs on their way to a pool."""
        return sum(1 for _, _, target in self.moving if target == pool)


Rule = collections.abc.Callable[[World, dict[str, float], float], None]


def demand_at(now: float, chance: random.Random) -> dict[str, float]:
    """Return the slots that each pool is asked for."""
    turn = int(now // PHASE_SECONDS) % len(POOLS)
    found = {}
    for index, pool in enumerate(POOLS):
        mean = MEAN_SLOTS * (5.0 if index == turn else 0.05)
        found[pool] = max(0.0, chance.gauss(mean, math.sqrt(mean)))
    return found


def needed(slots: float) -> int:
    """Return the VMs that a demand fills."""
    return math.ceil(slots / SLOTS)


def demands(
    world: World, asked: dict[str, float]
) -> tuple[_lending.PoolDemand, ...]:
    """Return what the product's rule sees."""
    return tuple(
        _lending.PoolDemand(
            pool=pool,
            demand=asked[pool],
            slots_per_vm=SLOTS,
            available=len(world.vms[pool]) + world.coming(pool),
            lent=tuple(
                vm for vm in world.vms[pool] if not vm.startswith(pool)
            ),
            own=tuple(vm for vm in world.vms[pool] if vm.startswith(pool))[
                : max(len(world.vms[pool]) - MIN_AVAILABLE, 0)
            ],
        )
        for pool in POOLS
    )


def growing_costs(weights: _lending.Weights) -> Rule:
    """Return the product's own rule."""
    lender = _lending.Lender()

    def decide(world: World, asked: dict[str, float], now: float) -> None:
        transfers = lender.decide(
            demands(world, asked),
            tuple(world.vms["spare"]),
            weights,
            STEP_SECONDS,
        )
        for transfer in transfers:
            home = transfer.vm.rpartition("-")[0]
            world.move(transfer.vm, transfer.to_pool or home, now)

    return decide


def threshold(world: World, asked: dict[str, float], now: float) -> None:
    """Borrow above 0.85 of the slots, give back below half."""
    for each in demands(world, asked):
        slots = max(each.available, 1) * SLOTS
        use = each.demand / slots
        if use > 0.85 and world.vms["spare"]:
            world.move(world.vms["spare"][0], each.pool, now)
        elif use < 0.5 and each.lent:
            world.move(each.lent[0], "spare", now)


def static(world: World, asked: dict[str, float], now: float) -> None:
    """Move nothing."""


def run(
    name: str,
    deployment: str,
    rule: Rule,
    weights: _lending.Weights,
    home_vms: int,
    spare_vms: int,
) -> Outcome:
    """Run one rule over the recorded demand."""
    chance = random.Random(20261204)
    vms = {
        pool: [f"{pool}-{number}" for number in range(home_vms)]
        for pool in POOLS
    }
    vms["spare"] = [f"spare-{number}" for number in range(spare_vms)]
    world = World(vms=vms)
    total = home_vms * len(POOLS) + spare_vms
    buffer = shortage = 0.0
    for step in range(int(PHASE_SECONDS * PHASES / STEP_SECONDS)):
        now = step * STEP_SECONDS
        world.settle(now)
        asked = demand_at(now, chance)
        used = 0
        for pool in POOLS:
            want, have = needed(asked[pool]), len(world.vms[pool])
            used += min(want, have)
            shortage += max(want - have, 0) * STEP_SECONDS
        buffer += (total - used) * STEP_SECONDS
        rule(world, asked, now)
    cost = (
        weights.buffer * buffer
        + weights.moves * MOVE_COST * world.moves
        + SHORTAGE_COST_PER_SECOND * shortage
    )
    return Outcome(
        rule=name,
        deployment=deployment,
        vms=total,
        buffer_vm_seconds=round(buffer),
        shortage_vm_seconds=round(shortage),
        moves=world.moves,
        weighted_cost=round(cost),
    )


def measure() -> list[Outcome]:
    """Run all rules for both deployments."""
    found = []
    for deployment, weights in (
        ("gidgee", _lending.Weights(buffer=3, moves=1, rollout=1)),
        ("consortium", _lending.Weights(buffer=1, moves=3, rollout=1)),
    ):
        peak = needed(MEAN_SLOTS * 5 + 3 * math.sqrt(MEAN_SLOTS * 5))
        for name, rule, home, spare in (
            ("static", static, HOME_VMS, SPARE_VMS),
            ("static at peak", static, peak, 0),
            ("threshold", threshold, HOME_VMS, SPARE_VMS),
            ("lender", growing_costs(weights), HOME_VMS, SPARE_VMS),
            ("lender, half spare", growing_costs(weights), HOME_VMS, 2),
            ("lender, no spare", growing_costs(weights), HOME_VMS, 0),
            ("threshold, half spare", threshold, HOME_VMS, 2),
        ):
            found.append(run(name, deployment, rule, weights, home, spare))
    return found


if __name__ == "__main__":
    for outcome in measure():
        print(outcome)
