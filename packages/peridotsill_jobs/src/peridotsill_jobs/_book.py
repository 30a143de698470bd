"""The scheduler's copy of all jobs, and the commits that change it."""

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
# Jobs in one commit; each takes two entries of the hundred that a platform's
# table may allow.
_JOBS_PER_COMMIT = 45
# Pause between tries of a commit while the table is away.
_RETRY_SECONDS = 0.1


class Book:
    """All jobs by queue and id.

    A job's ``progress`` row is written only if it still has the version
    that this scheduler read or wrote last. So a start is recorded before
    it is ordered, and of two schedulers only one can record it.
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
        self._pending = _pending.PendingRows(table=table)
        self._catalog = catalog
        self._lease = lease
        self._counters = counters
        self._jobs: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._by_id: dict[str, list[peridotsill_scheduler.Job]] = {}
        self._dirty: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._begun: set[_JobKey] = set()
        self._cancelled: list[peridotsill_scheduler.Job] = []
        self._open: dict[_JobKey, peridotsill_scheduler.Job] = {}
        # Keys of the rows of jobs that were over when the rows were read.
        self._settled: set[str] = set()

    @property
    def open_jobs(
        self,
    ) -> collections.abc.Collection[peridotsill_scheduler.Job]:
        """The jobs that are not in a final state."""
        return self._open.values()

    @property
    def cancelled(self) -> tuple[peridotsill_scheduler.Job, ...]:
        """The jobs that callers had cancelled when they were loaded."""
        return tuple(self._cancelled)

    def get(self, key: _JobKey) -> peridotsill_scheduler.Job | None:
        """Return a job by queue and id."""
        return self._jobs.get(key)

    def find(self, job_id: str) -> tuple[peridotsill_scheduler.Job, ...]:
        """Return the jobs with an id; of different queues if several."""
        return tuple(self._by_id.get(job_id, ()))

    def load(self) -> int | None:
        """Read all rows; return their revision, or None if unreadable."""
        revision: int | None = None
        rows = []
        for name in (_records.JOBS, _records.PROGRESS):
            match self._table.scan((f"{name}/",)):
                case result.Success(scan):
                    rows.append(scan.rows)
                    if revision is None:
                        # The first table is the one that is watched.
                        revision = int(scan.revision)
                case result.Failure(error):
                    _logs.log("book:unreadable", reason=str(error))
                    return None
        submitted, made = rows
        by_key = {row.key: row for row in made}
        settled = [
            _records.job_of_progress(row.key)
            for row in made
            if _is_settled(row)
        ]
        self._begun.update(settled)
        self._settled = {
            _records.row_key(_records.JOBS, *job) for job in settled
        }
        for row in submitted:
            self._restore(row, by_key)
        self._pending.start(frozenset(self._begun))
        return revision

    def close(self) -> None:
        """End the thread that follows the commits."""
        self._pending.stop()

    def _restore(
        self, row: peridotsill.Row, progress: dict[str, peridotsill.Row]
    ) -> None:
        if row.key in self._settled:
            return
        job = self._admit(row, found=True)
        if job is None:
            return
        made = progress.get(
            _records.row_key(_records.PROGRESS, job.spec.queue, job.spec.id)
        )
        if made is not None:
            self._restore_progress(job, made)
        if row.value.get("cancelled"):
            self._cancelled.append(job)
        self._index(job)

    def _restore_progress(
        self, job: peridotsill_scheduler.Job, row: peridotsill.Row
    ) -> None:
        try:
            _records.restore_progress(job, row)
        except peridotsill.exceptions.InvalidResource as error:
            _logs.log("row:unreadable", key=row.key, problems=error.problems)
        else:
            if peridotsill_scheduler.has_begun(job):
                self._begun.add(job.key)

    def _admit(
        self, row: peridotsill.Row, *, found: bool = False
    ) -> peridotsill_scheduler.Job | None:
        """Return a row's job, making it if it is new.

        Args:
            row: A row of ``jobs``.
            found: Whether it may be old. Only then its age is taken from
                the accepting node's time of day, which may be off from
                this node's by seconds.
        """
        try:
            submission = _records.parse_submission(row)
        except peridotsill.exceptions.InvalidResource as error:
            _logs.log("row:unreadable", key=row.key, problems=error.problems)
            return None
        spec = submission.spec
        known = self._jobs.get((spec.queue, spec.id))
        if known is not None:
            return known
        queue = self._catalog.queue(spec.queue) or submission.queue
        age = 0.0
        if found:
            age = (_clock.unix_ms() - submission.arrived_ms) / 1000.0
        job = peridotsill_scheduler.Job(
            spec=spec,
            queue=queue,
            arrived_at=_clock.awake_seconds() - max(0.0, age),
            arrived_ms=submission.arrived_ms,
        )
        peridotsill_scheduler.open_occurrences(job, _clock.unix_ms())
        self._jobs[job.key] = job
        self._by_id.setdefault(spec.id, []).append(job)
        self._index(job)
        return job

    def take(
        self, row: peridotsill.Row
    ) -> tuple[peridotsill_scheduler.Job | None, bool]:
        """Take a changed ``jobs`` row; tell whether it is cancelled.

        None if there is nothing to do about it.
        """
        if row.key in self._settled:
            return None, False
        job = self._admit(row)
        return job, bool(row.value.get("cancelled"))

    def mark(self, job: peridotsill_scheduler.Job) -> None:
        """Have a job's progress written by the next commit."""
        self._dirty[job.key] = job
        self._index(job)

    def _index(self, job: peridotsill_scheduler.Job) -> None:
        busy = any(task.active for task in job.tasks)
        if job.final and not busy:
            self._open.pop(job.key, None)
        else:
            self._open[job.key] = job

    def commit(self) -> frozenset[_JobKey] | None:
        """Write what changed, and return the jobs that had to be re-read.

        Another scheduler's later word on those stands, and what was
        decided about them here is dropped. None means that the lease was
        lost or ran out before the outcome was known.
        """
        reloaded: set[_JobKey] = set()
        while self._dirty:
            batch = list(self._dirty.values())[:_JOBS_PER_COMMIT]
            conflicts = self._write(batch)
            if conflicts is None:
                return None
            reloaded |= conflicts
            for job in batch:
                self._dirty.pop(job.key, None)
        return frozenset(reloaded)

    def _write(
        self, batch: list[peridotsill_scheduler.Job]
    ) -> frozenset[_JobKey] | None:
        """Commit a batch; return the jobs that another scheduler wrote."""
        reloaded: set[_JobKey] = set()
        left = list(batch)
        while left:
            began = time.monotonic()
            values = {
                job.key: _records.progress_value(job, self._lease.epoch)
                for job in left
            }
            outcome = self._table.commit(self._transaction(left, values))
            spent = time.monotonic() - began
            self._counters.observe("commit_seconds", spent)
            match outcome:
                case result.Success(revision):
                    self._written(left, int(revision))
                    break
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict()
                ):
                    left = self._resolve(left, values, reloaded)
                case result.Failure(error):
                    _logs.log(
                        "commit:failed", jobs=len(left), reason=str(error)
                    )
                    time.sleep(_RETRY_SECONDS)
            if self._lease.lost:
                return None
        return frozenset(reloaded)

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

    def _written(
        self, jobs: list[peridotsill_scheduler.Job], revision: int
    ) -> None:
        for job in jobs:
            job.row_version = revision
            if job.final:
                self.note_begun(job)

    def note_begun(self, job: peridotsill_scheduler.Job) -> None:
        """Have a job no longer counted as pending.

        That a start is recorded is not enough: the order may never be sent,
        or get no answer.
        """
        if job.key not in self._begun:
            self._begun.add(job.key)
            self._pending.begun(job.key)

    def _resolve(
        self,
        jobs: list[peridotsill_scheduler.Job],
        values: dict[_JobKey, dict[str, object]],
        reloaded: set[_JobKey],
    ) -> list[peridotsill_scheduler.Job]:
        """After a conflict, take over what stands; return the rest."""
        left = []
        for job in jobs:
            queue, job_id = job.key
            key = _records.row_key(_records.PROGRESS, queue, job_id)
            match self._table.read((key,)):
                case result.Success(rows):
                    row = rows[0] if rows else None
                case result.Failure(error):
                    _logs.log("commit:unresolved", reason=str(error))
                    left.append(job)
                    continue
            if row is None or row.version == job.row_version:
                left.append(job)
            elif row.value == values[job.key]:
                # An earlier try of this commit was done after all.
                self._written([job], row.version)
            else:
                self._supersede(job, row)
                reloaded.add(job.key)
        return left

    def _supersede(
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
            self._lease.lose(f"epoch {epoch} has written a job")
        self._restore_progress(job, row)
        self._index(job)


def _is_settled(row: peridotsill.Row) -> bool:
    try:
        return _records.is_settled(row.value)
    except peridotsill.exceptions.InvalidResource as error:
        _logs.log("row:unreadable", key=row.key, problems=error.problems)
        return False
