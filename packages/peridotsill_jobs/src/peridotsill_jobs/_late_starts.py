"""Remembers the starts of a runner that may be executed late.

An attempt of a start that got no answer may be executed some seconds later,
also by the runner's next lifetime. That one knows of no earlier run, so it
refuses the start only once it was told to stop the run.
"""

import collections.abc
import typing

from peridotsill_jobs import _clock
from peridotsill_jobs import _departures
from peridotsill_jobs import _former_calls
from peridotsill_jobs import _logs
import peridotsill_scheduler

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _workers

# Job id, task key and run.
RunId = tuple[str, str, int]

# By then no start of this age is executed, and no run that one began lasts.
_MEMORY_SECONDS = 60.0
# Most runs in a log line.
_MAX_LOGGED_RUNS = 12


def run_id(
    job: peridotsill_scheduler.Job, task: peridotsill_scheduler.Task
) -> RunId:
    """Return the id of a task's current run."""
    return (job.spec.id, task.key, task.run)


class LateStarts:
    """A runner's unanswered starts, in whichever of its lifetimes.

    Example: an attempt to start run 1 got no answer by 100, the next one was
    answered. Until 112 ``may_come`` tells that the run may begin, or begin
    again in a next lifetime. Times are those of `_clock.monotonic_seconds`.
    """

    def __init__(self) -> None:
        self._unanswered_at: dict[RunId, float] = {}
        self._in_doubt: frozenset[RunId] = frozenset()

    @property
    def runs(self) -> tuple[RunId, ...]:
        """The runs of all starts that are remembered."""
        return tuple(self._unanswered_at)

    @property
    def pending(self) -> list[RunId]:
        """The runs that may still begin."""
        return [each for each in self._unanswered_at if self.may_come(each)]

    def record(
        self, run: RunId, unanswered_at: float, *, is_in_doubt: bool = False
    ) -> None:
        """Record when an attempt to start a run was found unanswered.

        Args:
            run: The run.
            unanswered_at: When it was.
            is_in_doubt: Whether it was answered for all that is known.
        """
        oldest = _clock.monotonic_seconds() - _MEMORY_SECONDS
        recent = {
            each: at for each, at in self._unanswered_at.items() if at > oldest
        }
        # Replaced as a whole, as the lease's thread reads it, too.
        self._unanswered_at = {**recent, run: unanswered_at}
        in_doubt = {each for each in self._in_doubt if each in recent}
        self._in_doubt = frozenset(
            in_doubt | {run} if is_in_doubt else in_doubt - {run}
        )

    def unanswered_at(self, run: RunId) -> float:
        """Return when an attempt to start a run was; minus infinity if not."""
        return self._unanswered_at.get(run, float("-inf"))

    def newest_until(self, until: float) -> float:
        """Return when the newest attempt up to a time was unanswered."""
        return max(
            (at for at in self._unanswered_at.values() if at <= until),
            default=float("-inf"),
        )

    def may_come(self, run: RunId) -> bool:
        """Tell whether a start of the run may still be executed."""
        age_seconds = _clock.monotonic_seconds() - self.unanswered_at(run)
        return age_seconds < _former_calls.LATE_CALL_SECONDS

    def may_come_to_vm(self, run: RunId) -> bool:
        """Tell the same of a VM that is listed as down, without a runner.

        Most starts that are in doubt were answered, and the runner of such a
        VM is seldom started again under its id. A task that lasts would be
        away for too long if all of them were waited for.
        """
        return run not in self._in_doubt and self.may_come(run)


def runs_to_keep(
    worker: "_workers.Worker",
    evidence: str,
    runs: collections.abc.Iterable["_workers.PlacedTask"],
) -> list["_workers.PlacedTask"]:
    """Return the runs that may begin though the runner has ended.

    Its VM may come back with a next lifetime of the runner, unless it has
    another runner already.

    Args:
        worker: The runner.
        evidence: What shows that it has ended.
        runs: Its runs.
    """
    if evidence != _departures.VM_IS_DOWN:
        return []
    return [
        each for each in runs if worker.late_starts.may_come_to_vm(each.id)
    ]


def log_runs(
    worker: "_workers.Worker", runs: list[RunId], handling: str
) -> None:
    """Log how runs are handled whose starts may still be executed.

    Args:
        worker: The runner.
        runs: The runs, of which there is one at least.
        handling: What is done about them.
    """
    _logs.log(
        "runner:late_starts",
        runner=worker.entry.id,
        lifetime=worker.lifetime,
        handling=handling,
        run_count=len(runs),
        runs=[
            f"{job}.{task}#{run}" for job, task, run in runs[:_MAX_LOGGED_RUNS]
        ],
    )
