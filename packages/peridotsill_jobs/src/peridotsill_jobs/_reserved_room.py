"""What the tasks on a runner leave of its capacity."""

import typing

from peridotsill_jobs import _ports
import peridotsill_scheduler

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _workers


class ReservedRoom:
    """The view of a runner with its tasks' resources reserved.

    It is kept from round to round. Tasks that were added since are reserved
    on it; it is made anew if one was removed, or if the runner's entry has
    changed. With a suspect among the tasks it isn't kept, as whether a task is
    one may change with time.
    """

    def __init__(self) -> None:
        self._entry: _ports.RunnerEntry | None = None
        self._reserved: list[_workers.PlacedTask] = []
        self._view: peridotsill_scheduler.VmView | None = None

    def view(
        self,
        entry: _ports.RunnerEntry,
        tasks: "list[_workers.PlacedTask]",
        now: float,
    ) -> peridotsill_scheduler.VmView:
        """Return a view that the caller may change."""
        if any(each.task.crashes for each in tasks):
            self._view = None
            return _reserve_all(_empty_view(entry, now), tasks)
        known = self._reserved
        if (
            self._view is None
            or not _is_same(self._entry, entry)
            or tasks[: len(known)] != known
        ):
            self._view = _empty_view(entry, now)
            known = []
        _reserve_all(self._view, tasks[len(known) :])
        self._entry = entry
        self._reserved = tasks
        view = self._view.copy()
        view.made_at = now
        return view


def _is_same(
    known: _ports.RunnerEntry | None, entry: _ports.RunnerEntry
) -> bool:
    return known is entry or known == entry


def _empty_view(
    entry: _ports.RunnerEntry, now: float
) -> peridotsill_scheduler.VmView:
    return peridotsill_scheduler.VmView(
        runner=entry.id,
        lifetime=entry.lifetime,
        vm=entry.vm,
        pool=entry.pool,
        domain=entry.domain,
        rack=entry.rack,
        labels=entry.labels,
        capacity=entry.capacity,
        free=entry.capacity,
        made_at=now,
    )


def _reserve_all(
    view: peridotsill_scheduler.VmView,
    tasks: "list[_workers.PlacedTask]",
) -> peridotsill_scheduler.VmView:
    for placed in tasks:
        view.reserve(placed.job.spec.id, placed.task)
    return view
