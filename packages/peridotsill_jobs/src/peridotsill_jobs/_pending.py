"""Removes the rows of ``pending`` of jobs that have begun.

It follows what the scheduler learns of runs a little later and apart from
its commits, so that no start waits for it; a count may be old by as much.
"""

import threading

from returns import result

from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform

_JobKey = tuple[str, str]
# A count may be two seconds old; this leaves time for a failed try, and for
# the count's own age.
_PERIOD_SECONDS = 0.8
# Rows in one transaction, of the hundred that a table may allow.
_ROWS_PER_COMMIT = 90


class PendingRows:
    """Takes the jobs that have begun and removes their rows in batches."""

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table
        self._waiting: list[_JobKey] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def begun(self, job: _JobKey) -> None:
        """Have a job's row removed."""
        with self._lock:
            self._waiting.append(job)

    def start(self, begun: frozenset[_JobKey]) -> None:
        """Start the thread; it first removes what a scheduler left.

        Args:
            begun: All jobs that had begun when the rows were read.
        """
        threading.Thread(
            target=self._run, args=(begun,), daemon=True, name="pending"
        ).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()

    def _run(self, begun: frozenset[_JobKey]) -> None:
        while not self._stopped.is_set() and not self._find_left(begun):
            self._stopped.wait(_PERIOD_SECONDS)
        while not self._stopped.wait(_PERIOD_SECONDS):
            self._remove_waiting()

    def _find_left(self, begun: frozenset[_JobKey]) -> bool:
        match self._table.scan((f"{_records.PENDING}/",)):
            case result.Success(scan):
                rows = {row.key for row in scan.rows}
            case result.Failure(error):
                _logs.log("pending:unreadable", reason=str(error))
                return False
        with self._lock:
            self._waiting += [
                job
                for job in begun
                if _records.row_key(_records.PENDING, *job) in rows
            ]
        return True

    def _remove_waiting(self) -> None:
        """Remove the rows of the jobs that wait for it.

        Each partition has commits of its own: one over several holds all of
        them up, and submissions go to the same partitions. What fails is
        left for the next time, so that a busy table is not pressed.
        """
        with self._lock:
            waiting = list(self._waiting)
        by_partition: dict[str, list[_JobKey]] = {}
        for job in waiting:
            key = _records.row_key(_records.PENDING, *job)
            partition = _records.partition_of(key)
            by_partition.setdefault(partition, []).append(job)
        for jobs in by_partition.values():
            if not self._remove(jobs[:_ROWS_PER_COMMIT]):
                return

    def _remove(self, jobs: list[_JobKey]) -> bool:
        writes = tuple(
            peridotsill_platform.Write(
                key=_records.row_key(_records.PENDING, *job), value=None
            )
            for job in jobs
        )
        outcome = self._table.commit(
            peridotsill_platform.Transaction(checks=(), writes=writes)
        )
        match outcome:
            case result.Failure(error):
                _logs.log("pending:unwritten", reason=str(error))
                return False
        removed = set(jobs)
        with self._lock:
            self._waiting = [
                job for job in self._waiting if job not in removed
            ]
        return True
