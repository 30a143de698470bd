"""Tells which applied ends of runs a runner may forget."""

import collections.abc
import typing

from peridotsill_jobs import _logs

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _workers


# Most ends that a runner keeps for jobs that could not be written: half of
# those that it lists at a time.
_MAX_KEPT_ENDS = 250


class AppliedEnds:
    """The ends of runs that were applied and not yet acknowledged.

    A runner forgets all ends up to the acknowledged number. So an end whose
    job could not be written keeps that one and the later ones listed; the
    next scheduler would not know of it otherwise.

    Example: the ends 7, 8 and 9 of a runner were applied, and the job of 8
    could not be written. Only 7 is acknowledged.

    A runner lists a limited number of ends. Before too many are kept, all
    are acknowledged, as those of other jobs would not be listed any more.
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[str, int], list[tuple[int, str]]] = {}

    def add(self, worker: "_workers.Worker", number: int, job_id: str) -> None:
        """Add an end that was applied to a job."""
        key = (worker.entry.id, worker.lifetime)
        self._ends.setdefault(key, []).append((number, job_id))
        worker.last_applied_end = number

    def acknowledge(
        self,
        workers: collections.abc.Iterable["_workers.Worker"],
        unwritten_jobs: frozenset[str],
    ) -> None:
        """Let runners forget the ends of jobs that were written.

        Args:
            workers: All runners.
            unwritten_jobs: The ids of jobs with changes that are not written.
        """
        remaining = {}
        for worker in workers:
            key = (worker.entry.id, worker.lifetime)
            ends = self._ends.get(key, [])
            last = worker.last_applied_end
            if unwritten_jobs:
                last = min(
                    (
                        number - 1
                        for number, job in ends
                        if job in unwritten_jobs
                    ),
                    default=last,
                )
                if worker.last_applied_end - last > _MAX_KEPT_ENDS:
                    last = worker.last_applied_end
                    _logs.log(
                        "ends:given_up",
                        runner=worker.entry.id,
                        jobs=sorted({job for _, job in ends} & unwritten_jobs),
                    )
            worker.link.acknowledge_ends(last)
            kept = [each for each in ends if each[0] > last]
            if kept:
                remaining[key] = kept
        self._ends = remaining

    def reapply_all(
        self, workers: collections.abc.Iterable["_workers.Worker"]
    ) -> None:
        """Let every end that was not acknowledged be applied again."""
        for worker in workers:
            worker.last_applied_end = worker.link.last_acknowledged_end
        self._ends = {}
