"""The scheduler's view of a wave and of its VMs."""

import collections.abc

import attrs

from peridotsill_jobs import _logs
from peridotsill_jobs import _waves
from peridotsill_jobs import _workers
import peridotsill_scheduler

_DUE = peridotsill_scheduler.MaintenancePhase.DUE


@attrs.frozen(kw_only=True)
class WavePlan:
    """What is decided on a wave by: its VMs, and what it has to keep.

    ``urgent`` tells that it goes before the pools' demand.
    """

    wave: _waves.Wave
    vms: list[peridotsill_scheduler.WaveVm]
    terms: peridotsill_scheduler.WaveTerms
    urgent: bool = attrs.field(init=False)

    @urgent.default
    def _is_urgent(self) -> bool:
        return peridotsill_scheduler.is_urgent(self.vms, self.terms)

    @property
    def must_evict(self) -> bool:
        """Whether long-lived tasks must leave though they find no room."""
        return peridotsill_scheduler.must_evict(self.vms, self.terms)

    def log_urgency(self) -> None:
        """Log if the wave has become urgent, or is no longer."""
        if self.urgent == self.wave.urgent:
            return
        self.wave.urgent = self.urgent
        needed = peridotsill_scheduler.seconds_needed(self.vms, self.terms)
        _logs.log(
            "wave:urgent" if self.urgent else "wave:gives_way",
            wave=self.wave.order.name,
            due=sum(vm.phase is _DUE for vm in self.vms),
            needed_seconds=round(needed, 1),
            must_evict=self.must_evict,
            eviction_seconds=round(self.terms.eviction_seconds, 1),
            seconds_left=round(self.terms.seconds_left, 1),
        )


def make_view(
    name: str,
    worker: _workers.Worker | None,
    *,
    awaiting_count: int,
    pool: peridotsill_scheduler.PoolSupply,
    phase: peridotsill_scheduler.MaintenancePhase,
    available: bool,
    estimator: peridotsill_scheduler.Estimator,
    now: float,
) -> peridotsill_scheduler.WaveVm:
    """Return the view of a VM, with what its runner's tasks still need.

    ``awaiting_count`` is the number of tasks that the rows place on its runner
    while the registry lacks it.
    """
    placed = tuple(worker.placed.values()) if worker is not None else ()
    short = [each for each in placed if not each.task.step.long_lived]
    return peridotsill_scheduler.WaveVm(
        name=name,
        pool=pool.name,
        phase=phase,
        standby=pool.standby,
        task_count=len(placed) + awaiting_count,
        long_lived_count=len(placed) - len(short),
        pool_spare=peridotsill_scheduler.spare_vms(pool),
        pool_size=pool.size,
        clear_seconds=_clear_seconds(short, estimator, now),
        available=available,
    )


def _clear_seconds(
    placed: collections.abc.Iterable[_workers.PlacedTask],
    estimator: peridotsill_scheduler.Estimator,
    now: float,
) -> float:
    return max(
        (
            peridotsill_scheduler.remaining_run_seconds(
                each.job, each.task, estimator, now
            )
            for each in placed
        ),
        default=0.0,
    )
