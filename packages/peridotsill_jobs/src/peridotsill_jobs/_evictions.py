"""Ends long-lived tasks on VMs that are to be empty, within their budgets."""

import collections
import collections.abc
import typing

import attrs

from peridotsill_jobs import _workers
import peridotsill_scheduler

_RUNNING = peridotsill_scheduler.TaskPhase.RUNNING


class Evictions:
    """The evictions of one round.

    Which tasks run at full speed is looked up once for each job; a task that
    is evicted no longer counts.

    Args:
        workers: All runners.
        evict: Stops a long-lived task so that it starts elsewhere.
    """

    def __init__(
        self,
        *,
        workers: _workers.Workers,
        evict: collections.abc.Callable[
            [_workers.Worker, _workers.PlacedTask], None
        ],
    ) -> None:
        self._workers = workers
        self._evict = evict
        self._full_speed_tasks: dict[tuple[str, str], frozenset[str]] = {}

    def clear(self, worker: _workers.Worker) -> None:
        """Evict what may be evicted from a VM that is being cleared."""
        for placed in self._evictable(worker):
            self._end(worker, placed)

    def clear_ahead(
        self,
        due: collections.abc.Iterable[_workers.Worker],
        now: float,
        *,
        without_room: bool,
    ) -> collections.Counter[str]:
        """Evict what may be evicted from VMs that are yet to be cleared.

        A task is evicted only if it has room on a VM that is not due itself,
        or, if it must leave ``without_room``, if it will have room there once
        other tasks end. The VM with the fewest long-lived tasks goes first.
        Return how many empty VMs each pool lacks for tasks without room.
        """
        views: list[peridotsill_scheduler.VmView] = []
        lacking: list[peridotsill_scheduler.VmView] = []
        for worker in sorted(due, key=_count_long_lived):
            for placed in self._evictable(worker):
                views = views or [each.view(now) for each in self._workers]
                room = _find_room(views, worker, placed)
                if room is None:
                    room = _find_room(lacking, worker, placed)
                    if room is None:
                        room = _empty_view(worker, now)
                        lacking.append(room)
                    if without_room and _will_have_room(views, worker, placed):
                        self._end(worker, placed)
                    else:
                        self._count_as_away(placed)
                else:
                    self._end(worker, placed)
                room.reserve(placed.job.spec.id, placed.task)
        return collections.Counter(view.pool for view in lacking)

    def describe_rest(
        self, worker: _workers.Worker
    ) -> list[dict[str, typing.Any]]:
        """Return, for a log line, what keeps the tasks that are on a VM.

        ``away`` names the other tasks of the step that are not known to run
        at full speed.
        """
        return [
            {
                "job": placed.job.spec.id,
                "task": placed.task.key,
                "phase": str(placed.task.phase),
                "long_lived": placed.task.step.long_lived,
                "may_miss": placed.task.step.may_miss,
                "away": sorted(
                    f"{key} {phase}"
                    for key, phase in self._unavailable(placed)
                ),
            }
            for placed in worker.placed.values()
        ]

    def _evictable(
        self, worker: _workers.Worker
    ) -> collections.abc.Iterator[_workers.PlacedTask]:
        for placed in tuple(worker.placed.values()):
            task = placed.task
            if (
                task.step.long_lived
                and task.phase is _RUNNING
                and peridotsill_scheduler.may_evict(
                    placed.job, task, self._running_keys(placed.job)
                )
            ):
                yield placed

    def _end(
        self, worker: _workers.Worker, placed: _workers.PlacedTask
    ) -> None:
        self._count_as_away(placed)
        self._evict(worker, placed)

    def _count_as_away(self, placed: _workers.PlacedTask) -> None:
        running_keys = self._running_keys(placed.job)
        self._full_speed_tasks[placed.job.key] = running_keys - {
            placed.task.key
        }

    def _running_keys(self, job: peridotsill_scheduler.Job) -> frozenset[str]:
        if job.key not in self._full_speed_tasks:
            self._full_speed_tasks[job.key] = self._workers.full_speed_tasks(
                job
            )
        return self._full_speed_tasks[job.key]

    def _unavailable(
        self, placed: _workers.PlacedTask
    ) -> collections.abc.Iterator[tuple[str, str]]:
        if not placed.task.step.long_lived:
            return
        running_keys = self._running_keys(placed.job)
        for task in peridotsill_scheduler.tasks_of(
            placed.job, placed.task.occurrence, placed.task.step.index
        ):
            if task is not placed.task and task.key not in running_keys:
                yield task.key, str(task.phase)


def _count_long_lived(worker: _workers.Worker) -> tuple[int, str]:
    count = sum(each.task.step.long_lived for each in worker.placed.values())
    return count, worker.vm


def _find_room(
    views: collections.abc.Iterable[peridotsill_scheduler.VmView],
    worker: _workers.Worker,
    placed: _workers.PlacedTask,
) -> peridotsill_scheduler.VmView | None:
    return next(
        (
            view
            for view in views
            if view.pool == worker.entry.pool
            and not view.avoided
            and view.has_room(placed.job, placed.task)
        ),
        None,
    )


def _will_have_room(
    views: collections.abc.Iterable[peridotsill_scheduler.VmView],
    worker: _workers.Worker,
    placed: _workers.PlacedTask,
) -> bool:
    """Tell whether other tasks' ends will make room for a task.

    Long-lived tasks are the first to be placed there.
    """
    return (
        _find_room(
            [
                attrs.evolve(view, free=view.capacity)
                for view in views
                if not view.long_lived_count
            ],
            worker,
            placed,
        )
        is not None
    )


def _empty_view(
    worker: _workers.Worker, now: float
) -> peridotsill_scheduler.VmView:
    """Return the view of an empty VM like the one of a runner."""
    view = worker.view(now)
    return peridotsill_scheduler.VmView(
        runner="",
        lifetime=0,
        vm="",
        pool=view.pool,
        domain=view.domain,
        rack=view.rack,
        labels=view.labels,
        capacity=view.capacity,
        free=view.capacity,
    )
