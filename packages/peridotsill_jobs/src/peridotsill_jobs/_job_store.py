"""The scheduler's copy of all jobs, and the commits of their progress."""

import collections.abc
import time

import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _pending
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler

_JobKey = tuple[str, str]
# Most jobs in one commit. Each takes a check and a write, and a platform's
# table may allow only a hundred of these in a transaction.
_JOBS_PER_COMMIT = 45
# Pause after an attempt of a commit that failed other than by a conflict.
_RETRY_SECONDS = 0.1


class JobStore:
    """The jobs by queue and id, as the table's rows hold them.

    A job's ``progress`` row is written only if it still has the version
    that this scheduler last read or wrote. So of two schedulers that each
    record a start before they order it, only one succeeds.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        catalog: _catalog.Catalog,
        lease: _lease.Lease,
        counters: peridotsill.Counters,
    ) -> None:
        self._table = table
        self._pending_row_remover = _pending.PendingRowRemover(table=table)
        self._catalog = catalog
        self._lease = lease
        self._counters = counters
        self._jobs: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._by_id: dict[str, list[peridotsill_scheduler.Job]] = {}
        self._dirty: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._started_keys: set[_JobKey] = set()
        self._cancelled: list[peridotsill_scheduler.Job] = []
        self._open_jobs: dict[_JobKey, peridotsill_scheduler.Job] = {}
        # Keys of the ``jobs`` rows of jobs that were finished when loaded.
        self._final_row_keys: set[str] = set()

    @property
    def open_jobs(
        self,
    ) -> collections.abc.Collection[peridotsill_scheduler.Job]:
        """The jobs that are not final, or that still have active tasks."""
        return self._open_jobs.values()

    @property
    def cancelled(self) -> tuple[peridotsill_scheduler.Job, ...]:
        """The jobs that callers had cancelled before they were loaded."""
        return tuple(self._cancelled)

    def get(self, key: _JobKey) -> peridotsill_scheduler.Job | None:
        """Return a job by queue and id."""
        return self._jobs.get(key)

    def find(self, job_id: str) -> tuple[peridotsill_scheduler.Job, ...]:
        """Return the jobs with an id, one per queue that uses it."""
        return tuple(self._by_id.get(job_id, ()))

    def load(self) -> int | None:
        """Read all rows; return the revision of ``jobs``, None on failure."""
        revision: int | None = None
        rows = []
        for name in (_records.JOBS, _records.PROGRESS):
            match self._table.scan((f"{name}/",)):
                case result.Success(scan):
                    rows.append(scan.rows)
                    if revision is None:
                        # The watch starts at the revision of ``jobs``.
                        revision = int(scan.revision)
                case result.Failure(error):
                    _logs.log("book:unreadable", reason=str(error))
                    return None
        job_rows, progress_rows = rows
        progress_by_key = {row.key: row for row in progress_rows}
        finished_keys = [
            _records.parse_progress_key(row.key)
            for row in progress_rows
            if _is_finished(row)
        ]
        self._started_keys.update(finished_keys)
        self._final_row_keys = {
            _records.row_key(_records.JOBS, *key) for key in finished_keys
        }
        for row in job_rows:
            self._restore(row, progress_by_key)
        self._pending_row_remover.start(frozenset(self._started_keys))
        return revision

    def close(self) -> None:
        """Stop the thread that removes ``pending`` rows."""
        self._pending_row_remover.stop()

    def _restore(
        self, row: peridotsill.Row, progress: dict[str, peridotsill.Row]
    ) -> None:
        if row.key in self._final_row_keys:
            return
        job = self._add(row, restored=True)
        if job is None:
            return
        progress_row = progress.get(
            _records.row_key(_records.PROGRESS, job.spec.queue, job.spec.id)
        )
        if progress_row is not None:
            self._restore_progress(job, progress_row)
        if row.value.get("cancelled"):
            self._cancelled.append(job)
        self._update_open_jobs(job)

    def _restore_progress(
        self, job: peridotsill_scheduler.Job, row: peridotsill.Row
    ) -> None:
        try:
            _records.restore_progress(job, row)
        except peridotsill.exceptions.InvalidResource as error:
            _logs.log("row:unreadable", key=row.key, problems=error.problems)
        else:
            if peridotsill_scheduler.has_started(job):
                self._started_keys.add(job.key)

    def _add(
        self, row: peridotsill.Row, *, restored: bool = False
    ) -> peridotsill_scheduler.Job | None:
        """Return a row's job, created if it is new; None if unreadable.

        Args:
            row: A row of ``jobs``.
            restored: Whether the row was read at loading and may be old.
                Only then is its age taken from the time of day of the node
                that accepted it, which may be seconds off this node's.
        """
        try:
            submission = _records.parse_submission(row)
        except peridotsill.exceptions.InvalidResource as error:
            _logs.log("row:unreadable", key=row.key, problems=error.problems)
            return None
        spec = submission.spec
        known_job = self._jobs.get((spec.queue, spec.id))
        if known_job is not None:
            return known_job
        queue = self._catalog.queue(spec.queue) or submission.queue
        age = 0.0
        if restored:
            age = (_clock.unix_ms() - submission.arrived_ms) / 1000.0
        job = peridotsill_scheduler.Job(
            spec=spec,
            queue=queue,
            arrived_at=_clock.monotonic_seconds() - max(0.0, age),
            arrived_ms=submission.arrived_ms,
        )
        peridotsill_scheduler.open_occurrences(job, _clock.unix_ms())
        self._jobs[job.key] = job
        self._by_id.setdefault(spec.id, []).append(job)
        self._update_open_jobs(job)
        return job

    def apply_row(
        self, row: peridotsill.Row
    ) -> tuple[peridotsill_scheduler.Job | None, bool]:
        """Add the job of a changed ``jobs`` row, unless it is known.

        Return the job, and whether the row says that it was cancelled; the
        caller has to cancel it. The job is None if it was finished when
        loaded, or if the row is unreadable.
        """
        if row.key in self._final_row_keys:
            return None, False
        job = self._add(row)
        return job, bool(row.value.get("cancelled"))

    def mark_dirty(self, job: peridotsill_scheduler.Job) -> None:
        """Mark a job's progress to be written by the next commit."""
        self._dirty[job.key] = job
        self._update_open_jobs(job)

    def _update_open_jobs(self, job: peridotsill_scheduler.Job) -> None:
        if job.final and not job.tally.counts.active:
            self._open_jobs.pop(job.key, None)
        else:
            self._open_jobs[job.key] = job

    def commit(
        self,
        on_written: collections.abc.Callable[[list[_JobKey]], None] = (
            lambda keys: None
        ),
    ) -> frozenset[_JobKey] | None:
        """Write the marked jobs; return the keys of those re-read.

        Another scheduler wrote those; its row stands, and the changes made
        here are dropped. None means that the lease was lost or
        released before the outcome was known.

        Args:
            on_written: Called after each transaction, before the next one
                begins, with the keys of the jobs that are now written. Jobs
                that it marks are written as well.
        """
        reread_keys: set[_JobKey] = set()
        while self._dirty:
            batch = list(self._dirty.values())[:_JOBS_PER_COMMIT]
            conflicts = self._write(batch)
            if conflicts is None:
                return None
            reread_keys |= conflicts
            for job in batch:
                self._dirty.pop(job.key, None)
            on_written([job.key for job in batch if job.key not in conflicts])
        return frozenset(reread_keys)

    def _write(
        self, batch: list[peridotsill_scheduler.Job]
    ) -> frozenset[_JobKey] | None:
        """Commit a batch; return the keys as `commit` does."""
        reread_keys: set[_JobKey] = set()
        remaining = list(batch)
        while remaining:
            started_at = time.monotonic()
            values = {
                job.key: _records.progress_value(job, self._lease.epoch)
                for job in remaining
            }
            outcome = self._table.commit(self._transaction(remaining, values))
            elapsed = time.monotonic() - started_at
            self._counters.observe("commit_seconds", elapsed)
            match outcome:
                case result.Success(revision):
                    self._record_written(remaining, int(revision))
                    break
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict()
                ):
                    remaining = self._resolve_conflict(
                        remaining, values, reread_keys
                    )
                case result.Failure(error):
                    _logs.log(
                        "commit:failed", jobs=len(remaining), reason=str(error)
                    )
                    time.sleep(_RETRY_SECONDS)
            if self._lease.lost:
                return None
        return frozenset(reread_keys)

    def _transaction(
        self,
        jobs: list[peridotsill_scheduler.Job],
        values: dict[_JobKey, dict[str, object]],
    ) -> peridotsill_platform.Transaction:
        checks = []
        writes = []
        for job in jobs:
            queue, job_id = job.key
            key = _records.row_key(_records.PROGRESS, queue, job_id)
            checks.append(
                peridotsill_platform.Check(key=key, version=job.row_version)
            )
            writes.append(
                peridotsill_platform.Write(key=key, value=values[job.key])
            )
        return peridotsill_platform.Transaction(
            checks=tuple(checks), writes=tuple(writes)
        )

    def _record_written(
        self, jobs: list[peridotsill_scheduler.Job], revision: int
    ) -> None:
        for job in jobs:
            job.row_version = revision
            if job.final:
                self.mark_started(job)

    def mark_started(self, job: peridotsill_scheduler.Job) -> None:
        """Stop counting a job as pending: a runner started it, or it ended.

        A recorded start is not enough: the order may never be sent, or get
        no answer.
        """
        if job.key not in self._started_keys:
            self._started_keys.add(job.key)
            self._pending_row_remover.queue_removal(job.key)

    def _resolve_conflict(
        self,
        jobs: list[peridotsill_scheduler.Job],
        values: dict[_JobKey, dict[str, object]],
        reread_keys: set[_JobKey],
    ) -> list[peridotsill_scheduler.Job]:
        """Re-read the jobs of a batch in conflict; return those to retry.

        Args:
            jobs: The batch's jobs.
            values: The rows that were to be written, by job.
            reread_keys: Gets the keys of the jobs that another scheduler has
                written.
        """
        remaining = []
        for job in jobs:
            queue, job_id = job.key
            key = _records.row_key(_records.PROGRESS, queue, job_id)
            match self._table.read((key,)):
                case result.Success(rows):
                    row = rows[0] if rows else None
                case result.Failure(error):
                    _logs.log("commit:unresolved", reason=str(error))
                    remaining.append(job)
                    continue
            if row is None or row.version == job.row_version:
                remaining.append(job)
            elif row.value == values[job.key]:
                # An earlier attempt of this commit did succeed.
                self._record_written([job], row.version)
            else:
                self._accept_superseding_row(job, row)
                reread_keys.add(job.key)
        return remaining

    def _accept_superseding_row(
        self, job: peridotsill_scheduler.Job, row: peridotsill.Row
    ) -> None:
        epoch = row.value.get("epoch", 0)
        _logs.log(
            "job:superseded",
            job=job.spec.id,
            epoch=epoch,
            own_epoch=self._lease.epoch,
        )
        if isinstance(epoch, int) and epoch > self._lease.epoch:
            self._lease.mark_lost(f"epoch {epoch} has written a job")
        self._restore_progress(job, row)
        self._update_open_jobs(job)


def _is_finished(row: peridotsill.Row) -> bool:
    try:
        return _records.is_finished(row.value)
    except peridotsill.exceptions.InvalidResource as error:
        _logs.log("row:unreadable", key=row.key, problems=error.problems)
        return False
