"""Removes the rows in ``pending`` of jobs that have started.

Rows are removed a little after the scheduler learns of the start and not in
its own commits, so that no start waits for the removal. Counts of pending
jobs lag by as much.
"""

import threading

from returns import result

from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform

_JobKey = tuple[str, str]
# A count may be two seconds out of date. This period leaves time for a failed
# attempt and for the time a count is cached.
_REMOVAL_PERIOD_SECONDS = 0.8
# Most rows in one transaction; a table may limit it to a hundred.
_MAX_ROWS_PER_COMMIT = 90


class PendingRowRemover:
    """Removes the pending rows of started jobs in batches."""

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table
        self._to_remove: list[_JobKey] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def queue_removal(self, job: _JobKey) -> None:
        """Queue the removal of a started job's row."""
        with self._lock:
            self._to_remove.append(job)

    def start(self, started_jobs: frozenset[_JobKey]) -> None:
        """Start the thread; it first removes rows a past scheduler left.

        Args:
            started_jobs: All jobs that had started when the rows were read.
        """
        threading.Thread(
            target=self._run, args=(started_jobs,), daemon=True, name="pending"
        ).start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def _run(self, started_jobs: frozenset[_JobKey]) -> None:
        while not self._stopped.is_set() and not self._queue_leftover_rows(
            started_jobs
        ):
            self._stopped.wait(_REMOVAL_PERIOD_SECONDS)
        while not self._stopped.wait(_REMOVAL_PERIOD_SECONDS):
            self._remove_queued_rows()

    def _queue_leftover_rows(self, started_jobs: frozenset[_JobKey]) -> bool:
        match self._table.scan((f"{_records.PENDING}/",)):
            case result.Success(scan):
                rows = {row.key for row in scan.rows}
            case result.Failure(error):
                _logs.log("pending:unreadable", reason=str(error))
                return False
        with self._lock:
            self._to_remove += [
                job
                for job in started_jobs
                if _records.row_key(_records.PENDING, *job) in rows
            ]
        return True

    def _remove_queued_rows(self) -> None:
        """Remove the rows whose removal is queued.

        Each commit is limited to one partition: a commit over several would
        delay all of them, and submissions go to the same partitions. After a
        failure the rest is left for the next period, so that a busy table
        gets no extra load.
        """
        with self._lock:
            to_remove = list(self._to_remove)
        by_partition: dict[str, list[_JobKey]] = {}
        for job in to_remove:
            key = _records.row_key(_records.PENDING, *job)
            partition = _records.partition_of(key)
            by_partition.setdefault(partition, []).append(job)
        for jobs in by_partition.values():
            if not self._remove_batch(jobs[:_MAX_ROWS_PER_COMMIT]):
                return

    def _remove_batch(self, jobs: list[_JobKey]) -> bool:
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
            self._to_remove = [
                job for job in self._to_remove if job not in removed
            ]
        return True
