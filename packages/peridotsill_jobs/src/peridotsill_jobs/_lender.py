"""Decides and logs which VMs change their pool."""

from peridotsill_jobs import _logs
import peridotsill_scheduler

# Shortest time between two log lines on a shortage of VMs.
_SHORTAGE_LOG_PERIOD_SECONDS = 1.0


class Lender:
    """Plans moves of VMs between pools from the pools' supplies."""

    def __init__(self) -> None:
        self._recent_need = peridotsill_scheduler.RecentNeed()
        self._shortage_logged_at = float("-inf")

    def record_need(
        self, supplies: list[peridotsill_scheduler.PoolSupply], now: float
    ) -> None:
        """Record what the pools need; also while no VM may be moved."""
        need = peridotsill_scheduler.total_need(supplies)
        self._recent_need.record(need, now)

    def plan(
        self,
        policy: str,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> list[peridotsill_scheduler.Move]:
        """Return the moves to begin now, and log each with its reason."""
        self._log_shortage(supplies, now)
        moves = peridotsill_scheduler.plan_moves(
            policy, supplies, recent_need=self._recent_need.highest
        )
        supply_by_pool = {each.name: each for each in supplies}
        for move in moves:
            self._log_move(move, supply_by_pool)
        return moves

    def _log_move(
        self,
        move: peridotsill_scheduler.Move,
        supply_by_pool: dict[str, peridotsill_scheduler.PoolSupply],
    ) -> None:
        target = supply_by_pool[move.target]
        if target.standby:
            source = supply_by_pool[move.source]
            _logs.log(
                "vm:return",
                vm=move.vm,
                source=move.source,
                target=move.target,
                size=source.size,
                need_cores=round(source.demand.cores, 1),
                recent_need_vms=self._recent_need.highest,
            )
            return
        _logs.log(
            "vm:lend",
            vm=move.vm,
            source=move.source,
            target=move.target,
            size=target.size,
            need_cores=round(target.demand.cores, 1),
            rate_cores=round(target.demand.rate, 1),
            waiting_work=round(target.demand.waiting, 1),
        )

    def _log_shortage(
        self,
        supplies: list[peridotsill_scheduler.PoolSupply],
        now: float,
    ) -> None:
        """Log all pools if one lacks VMs, at most once a second."""
        if now < self._shortage_logged_at + _SHORTAGE_LOG_PERIOD_SECONDS:
            return
        wanted = {
            each.name: peridotsill_scheduler.wanted_vms(each)
            for each in supplies
        }
        if all(wanted[each.name] <= each.size for each in supplies):
            return
        self._shortage_logged_at = now
        _logs.log(
            "vm:shortage",
            pools={
                each.name: {
                    "wanted": wanted[each.name],
                    "size": each.size,
                    "idle": len(each.idle),
                    "busy": len(each.busy),
                }
                for each in supplies
            },
        )
