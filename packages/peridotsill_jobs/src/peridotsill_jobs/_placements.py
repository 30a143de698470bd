"""What the placement policy needs in a round, and what it decided."""

import collections.abc
import contextlib
import typing

import peridotsill

from peridotsill_jobs import _logs
import peridotsill_scheduler

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _live_settings
    from peridotsill_jobs import _workers

# The policy that needs nothing.
_IMMEDIATE = "immediate"
# Shortest time between two log lines of one kind; the counters have them all.
_LOG_PERIOD_SECONDS = 1.0


class Placements:
    """The placement policy in force, with what it remembers of each pool.

    The memory of a pool is small and lives as long as this scheduler: after a
    takeover capacity is reserved anew.
    """

    def __init__(
        self,
        *,
        settings: "_live_settings.LiveSettings",
        workers: "_workers.Workers",
        counters: peridotsill.Counters,
    ) -> None:
        self._settings = settings
        self._workers = workers
        self._counters = counters
        self._memories: dict[str, peridotsill_scheduler.ReservationMemory] = {}
        self._log_limiter = peridotsill.LogLimiter(
            period_seconds=_LOG_PERIOD_SECONDS
        )

    @contextlib.contextmanager
    def in_round(
        self, pool: str, now: float
    ) -> collections.abc.Iterator[peridotsill_scheduler.Placement | None]:
        """Yield what `plan_starts` needs; then log what was reserved.

        Args:
            pool: The pool whose starts are planned.
            now: Seconds of the monotonic clock.
        """
        policy = self._settings.current.placement_policy
        if policy == _IMMEDIATE:
            self._memories.clear()
            yield None
            return
        memory = self._memories.get(pool)
        if memory is None:
            memory = peridotsill_scheduler.ReservationMemory()
        yield peridotsill_scheduler.Placement(
            policy=policy, memory=memory, runs_of=self._runs_of
        )
        for change in memory.pop_changes():
            self._report(pool, change, now)
        if memory.is_empty:
            self._memories.pop(pool, None)
        else:
            self._memories[pool] = memory

    def _runs_of(
        self, vm: peridotsill_scheduler.VmView
    ) -> list[peridotsill_scheduler.ActiveRun]:
        worker = self._workers.get(vm.runner, vm.lifetime)
        if worker is None:
            return []
        return [
            peridotsill_scheduler.ActiveRun(
                job=each.job, task=each.task, started_at=each.began_at
            )
            for each in (*worker.placed.values(), *worker.abandoned.values())
        ]

    def _report(
        self,
        pool: str,
        change: peridotsill_scheduler.ReservationChange,
        now: float,
    ) -> None:
        if change.reason:
            kind = "released"
            self._counters.add("reservations_released", reason=change.reason)
        else:
            kind = "reserved"
            self._counters.add("reservations")
        unlogged = self._log_limiter.admit(kind, now)
        if unlogged is None:
            return
        queue, job, occurrence, step = change.key
        _logs.log(
            f"placement:{kind}",
            pool=pool,
            queue=queue,
            job=job,
            occurrence=occurrence,
            step=step,
            runners=sorted(runner for runner, _ in change.runners),
            wait_seconds=round(change.wait_seconds, 3),
            reason=change.reason,
            unlogged=unlogged,
        )
