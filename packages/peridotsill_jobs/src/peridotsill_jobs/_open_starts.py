"""Collects starts that may be unanswered, and those of earlier schedulers.

A run of theirs may begin, or go on, in a lifetime of its runner that neither
the rows nor the registry name.
"""

import collections.abc
import typing

from peridotsill_jobs import _departures
from peridotsill_jobs import _former_calls
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _logs
from peridotsill_jobs import _start_checkpoints
import peridotsill_scheduler

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _workers

# Most starts in a log line.
_MAX_LOGGED_STARTS = 12


class UnlistedStarts:
    """Open starts of earlier schedulers on runners that are not known yet."""

    def __init__(self) -> None:
        self._by_runner: dict[str, _late_starts.LateStarts] = {}

    def __iter__(
        self,
    ) -> collections.abc.Iterator[tuple[str, _late_starts.LateStarts]]:
        return iter(self._by_runner.items())

    def add(self, runner: str) -> _late_starts.LateStarts:
        """Return those of a runner, to which more may be added."""
        late_starts = self.get(runner)
        # Replaced as a whole, as the lease's thread reads it, too.
        self._by_runner = {**self._by_runner, runner: late_starts}
        return late_starts

    def get(self, runner: str) -> _late_starts.LateStarts:
        """Return those of a runner."""
        return self._by_runner.get(runner) or _late_starts.LateStarts()

    def take(self, runner: str) -> _late_starts.LateStarts:
        """Remove and return those of a runner that is known from now on."""
        taken = self.get(runner)
        self._by_runner = {
            each: late
            for each, late in self._by_runner.items()
            if each != runner
        }
        return taken


def collect(
    workers: collections.abc.Iterable["_workers.Worker"],
    unlisted: UnlistedStarts,
    max_lease_seconds: float,
) -> _start_checkpoints.OpenStarts:
    """Return the starts whose runs may begin, or last, without an answer.

    Args:
        workers: The runners.
        unlisted: Starts on runners that are not known.
        max_lease_seconds: The platform's longest lease of a run.
    """
    open_starts: set[_start_checkpoints.OpenStart] = set()
    late_starts = list(unlisted)
    for worker in workers:
        runner = worker.entry.id
        late_starts.append((runner, worker.late_starts))
        runs = (*worker.placed.values(), *worker.abandoned.values())
        open_starts.update(
            (runner, each.id) for each in runs if _is_open(worker, each)
        )
    for runner, late in late_starts:
        open_starts.update(
            (runner, run)
            for run in late.runs
            if _former_calls.may_last(late, run, max_lease_seconds)
        )
    return frozenset(open_starts)


def _is_open(worker: "_workers.Worker", placed: "_workers.PlacedTask") -> bool:
    """Tell whether a start of this scheduler is queued or on its way.

    A run that its runner lists may have another attempt of its start yet,
    whose outcome was posted and not handled.
    """
    awaits_start = (
        placed.awaits_answer
        and placed.task.phase is not peridotsill_scheduler.TaskPhase.STOPPING
    )
    return awaits_start or worker.link.may_have_begun(placed.name, placed.run)


def split_kept(
    tasks: list["_workers.JobTask"],
    late_starts: _late_starts.LateStarts,
    evidence: str,
) -> tuple[list["_workers.JobTask"], list["_workers.JobTask"]]:
    """Return the tasks of an ended runner that are lost, and those kept.

    As with `_late_starts.runs_to_keep`, a run may begin yet if its VM is
    only down.
    """
    if evidence != _departures.VM_IS_DOWN:
        return tasks, []
    return _split(tasks, late_starts.may_come_to_vm)


def split_lasting(
    tasks: list["_workers.JobTask"],
    late_starts: _late_starts.LateStarts,
    max_lease_seconds: float,
) -> tuple[list["_workers.JobTask"], list["_workers.JobTask"]]:
    """Return the tasks whose runs have certainly lapsed, and the others."""
    return _split(
        tasks,
        lambda run: _former_calls.may_last(
            late_starts, run, max_lease_seconds
        ),
    )


def _split(
    tasks: list["_workers.JobTask"],
    is_kept: collections.abc.Callable[[_late_starts.RunId], bool],
) -> tuple[list["_workers.JobTask"], list["_workers.JobTask"]]:
    lost: list[_workers.JobTask] = []
    kept: list[_workers.JobTask] = []
    for job, task in tasks:
        run = _late_starts.run_id(job, task)
        (kept if is_kept(run) else lost).append((job, task))
    return lost, kept


def log_inherited(starts: list[_start_checkpoints.OpenStart]) -> None:
    """Log which starts the last holder of the lease may have left open."""
    if not starts:
        return
    _logs.log(
        "starts:inherited_open",
        count=len(starts),
        starts=[
            f"{job}.{task}#{run} on {runner}"
            for runner, (job, task, run) in starts[:_MAX_LOGGED_STARTS]
        ],
    )
