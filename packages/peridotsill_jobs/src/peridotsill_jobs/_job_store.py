"""The scheduler's copy of all jobs, and the commits of their progress."""

import collections.abc
import time

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _pending
from peridotsill_jobs import _progress_rows
from peridotsill_jobs import _records
from peridotsill_jobs import _start_checkpoints
from peridotsill_jobs import _tombstones
from peridotsill_jobs import _write_fence
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler

_JobKey = tuple[str, str]
# Most rows in one commit. Each takes a check and a write, and a platform's
# table may allow only a hundred of these in a transaction.
_ROWS_PER_COMMIT = 45
# Pause after an attempt of a commit that failed other than by a conflict.
_RETRY_SECONDS = 0.1
# Pause before the rows of a job that the table has rejected are sent again.
_REJECTED_RETRY_SECONDS = 5.0
_DEFAULT_LIMITS = peridotsill_platform.TableLimits()


@attrs.frozen(kw_only=True)
class _JobWrites:
    """Rows of a job to write; ``is_complete`` if these are all of them."""

    job: peridotsill_scheduler.Job
    writes: tuple[_progress_rows.RowWrite, ...]
    is_complete: bool


class _TransactionRoom:
    """What a transaction may hold beside the rows that it already has."""

    def __init__(self, limits: peridotsill_platform.TableLimits) -> None:
        self._rows = _ROWS_PER_COMMIT
        self._bytes = limits.transaction_bytes
        self._is_empty = True

    def take(
        self, writes: collections.abc.Sequence[_progress_rows.RowWrite]
    ) -> tuple[_progress_rows.RowWrite, ...]:
        """Return the first of some writes that still fit, one if empty."""
        taken = []
        for each in writes:
            self._rows -= 1
            self._bytes -= each.transaction_bytes
            if min(self._rows, self._bytes) < 0 and not self._is_empty:
                break
            self._is_empty = False
            taken.append(each)
        return tuple(taken)


def _transaction(
    batch: list[_JobWrites],
    fence_checks: tuple[peridotsill_platform.Check, ...],
    other_writes: tuple[peridotsill_platform.Write, ...] = (),
) -> peridotsill_platform.Transaction:
    writes = [write for each in batch for write in each.writes]
    row_checks = (
        peridotsill_platform.Check(key=each.key, version=each.version)
        for each in writes
    )
    return peridotsill_platform.Transaction(
        checks=(*fence_checks, *row_checks),
        writes=(
            *(
                peridotsill_platform.Write(key=each.key, value=each.value)
                for each in writes
            ),
            *other_writes,
        ),
    )


class JobStore:
    """The jobs by queue and id, as the table's rows hold them.

    A job's ``progress`` row is written only if it still has the version
    that this scheduler last read or wrote. So of two schedulers that each
    record a start before they order it, only one succeeds. Nor is any row
    written once another scheduler has begun to read them.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        catalog: _catalog.Catalog,
        lease: _lease.Lease,
        counters: peridotsill.Counters,
        limits: peridotsill_platform.TableLimits = _DEFAULT_LIMITS,
        get_open_starts: collections.abc.Callable[
            [], _start_checkpoints.OpenStarts
        ]
        | None = None,
    ) -> None:
        self._table = table
        self._limits = limits
        self._progress_rows = _progress_rows.ProgressRows(limits=limits)
        # When to write a job again whose rows the table has rejected.
        self._retry_at: dict[_JobKey, float] = {}
        self._pending_row_remover = _pending.PendingRowRemover(table=table)
        self._tombstones = _tombstones.TombstoneRemover(table=table)
        self._catalog = catalog
        self._lease = lease
        self._fence = _write_fence.WriteFence(table=table, lease=lease)
        self._start_checkpoints = _start_checkpoints.StartCheckpoints(
            table=table,
            counters=counters,
            get_open_starts=get_open_starts,
            max_bytes=limits.value_bytes,
        )
        self._counters = counters
        self._jobs: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._by_id: dict[str, list[peridotsill_scheduler.Job]] = {}
        self._dirty: dict[_JobKey, peridotsill_scheduler.Job] = {}
        self._started_keys: set[_JobKey] = set()
        self._cancelled: list[peridotsill_scheduler.Job] = []
        self._open_jobs: dict[_JobKey, peridotsill_scheduler.Job] = {}
        # Keys of the ``jobs`` rows of jobs that were finished when loaded.
        self._final_row_keys: set[str] = set()
        self._quarantined_keys: set[_JobKey] = set()
        self._ended_arrivals: list[tuple[float, str]] = []

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

    @property
    def quarantined_keys(self) -> frozenset[_JobKey]:
        """The jobs with a row that this scheduler can't read.

        None of their tasks is started, as it may be running or done, and
        none of their rows is written. The next scheduler reads them again.
        """
        return frozenset(self._quarantined_keys)

    @property
    def inherited_open_starts(self) -> _start_checkpoints.OpenStarts:
        """The starts that the last scheduler has recorded as unanswered."""
        return self._start_checkpoints.inherited.open_starts

    def may_start_be_open(
        self, job: peridotsill_scheduler.Job, task: peridotsill_scheduler.Task
    ) -> bool:
        """Tell whether an earlier scheduler's start may be unanswered.

        Args:
            job: A job as it was loaded.
            task: A task of it that its row has on a runner.
        """
        return self._start_checkpoints.inherited.may_be_open(
            task.runner, _late_starts.run_id(job, task), job.row_version
        )

    def pop_ended_arrivals(self) -> list[tuple[float, str]]:
        """Return when jobs of teams arrived that had ended when loaded.

        Each is a time in Unix milliseconds and the team's name; they are not
        kept.
        """
        arrivals, self._ended_arrivals = self._ended_arrivals, []
        return arrivals

    def get(self, key: _JobKey) -> peridotsill_scheduler.Job | None:
        """Return a job by queue and id."""
        return self._jobs.get(key)

    def find(self, job_id: str) -> tuple[peridotsill_scheduler.Job, ...]:
        """Return the jobs with an id, one per queue that uses it."""
        return tuple(self._by_id.get(job_id, ()))

    def load(self) -> int | None:
        """Read all rows; return the revision of ``jobs``, None on failure.

        Earlier schedulers can't write any of them from then on.
        """
        if not (
            self._fence.claim()
            and self._start_checkpoints.load(self._fence.version)
        ):
            return None
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
        if not self._load_task_rows(progress_rows):
            return None
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
        self._tombstones.start()
        return revision

    def _load_task_rows(
        self, progress_rows: collections.abc.Sequence[peridotsill.Row]
    ) -> bool:
        """Read the rows of divided tasks, if any; false on failure."""
        values = (row.value for row in progress_rows)
        if not any(map(_records.has_divided_tasks, values)):
            return True
        match self._table.scan((f"{_records.PROGRESS_TASKS}/",)):
            case result.Success(scan):
                for row in scan.rows:
                    self._progress_rows.record_task_row(row)
                return True
            case result.Failure(error):
                _logs.log("book:unreadable", reason=str(error))
        return False

    def close(self) -> None:
        """Stop the threads that remove rows."""
        self._pending_row_remover.stop()
        self._tombstones.stop()

    def _restore(
        self, row: peridotsill.Row, progress: dict[str, peridotsill.Row]
    ) -> None:
        if row.key in self._final_row_keys:
            arrival = _records.parse_team_arrival(row)
            if arrival is not None:
                self._ended_arrivals.append(arrival)
            return
        job = self._add(row, restored=True)
        if job is None:
            return
        progress_row = progress.get(
            _records.row_key(_records.PROGRESS, job.spec.queue, job.spec.id)
        )
        if progress_row is not None and not self._restore_progress(
            job, progress_row
        ):
            return
        if row.value.get("cancelled"):
            self._cancelled.append(job)
        self._update_open_jobs(job)

    def _restore_progress(
        self, job: peridotsill_scheduler.Job, row: peridotsill.Row
    ) -> bool:
        """Restore a job; quarantine it and return false if that fails."""
        try:
            _records.restore_progress(job, self._progress_rows.join(row))
        except peridotsill.exceptions.InvalidResource as error:
            self._quarantine(job.key, row, error)
            return False
        if peridotsill_scheduler.has_started(job):
            self._started_keys.add(job.key)
        if peridotsill_scheduler.refresh_state(job):
            # Its tasks were written, but not yet its own row.
            self.mark_dirty(job)
        return True

    def _handle_unreadable(
        self,
        row: peridotsill.Row,
        error: peridotsill.exceptions.InvalidResource,
    ) -> None:
        """Quarantine the job of a ``jobs`` row; a known job goes on."""
        key = _records.parse_job_key(row.key)
        if key in self._jobs:
            _logs.log("row:unreadable", key=row.key, problems=error.problems)
        elif key not in self._quarantined_keys:
            self._quarantine(key, row, error)

    def _quarantine(
        self,
        key: _JobKey,
        row: peridotsill.Row,
        error: peridotsill.exceptions.InvalidResource,
    ) -> None:
        """Handle a job no more until another scheduler reads its rows."""
        self._quarantined_keys.add(key)
        self._counters.add("jobs_quarantined")
        _logs.log(
            "job:quarantined",
            job=key[1],
            queue=key[0],
            row=row.key,
            version=row.version,
            problems=error.problems,
        )
        job = self._jobs.pop(key, None)
        if job is not None:
            self._by_id[job.spec.id].remove(job)
        for jobs in (self._open_jobs, self._dirty, self._retry_at):
            jobs.pop(key, None)

    def _add(
        self, row: peridotsill.Row, *, restored: bool = False
    ) -> peridotsill_scheduler.Job | None:
        """Return a row's job, created if it is new.

        None if the row is unreadable or a tombstone, or the job quarantined.

        Args:
            row: A row of ``jobs``.
            restored: Whether the row was read at loading and may be old.
                Only then is its age taken from the time of day of the node
                that accepted it, which may be seconds off this node's.
        """
        if _records.is_tombstone(row):
            self._tombstones.add(row)
            return None
        try:
            submission = _records.parse_submission(row)
        except peridotsill.exceptions.InvalidResource as error:
            self._handle_unreadable(row, error)
            return None
        spec = submission.spec
        if (spec.queue, spec.id) in self._quarantined_keys:
            return None
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
            team=submission.team,
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
        loaded or is quarantined, or if the row is a tombstone.
        """
        if row.key in self._final_row_keys:
            return None, False
        job = self._add(row)
        return job, bool(row.value.get("cancelled"))

    def mark_dirty(self, job: peridotsill_scheduler.Job) -> None:
        """Mark a job's progress to be written by the next commit."""
        if job.key in self._quarantined_keys:
            return
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

        A job whose rows the table rejects stays marked and is tried again
        some time later. It holds up no other job.

        Args:
            on_written: Called after each transaction, before the next one
                begins, with the keys of the jobs that are now written. Jobs
                that it marks are written as well.
        """
        reread_keys: set[_JobKey] = set()
        while batch := self._next_batch():
            conflicts = self._write(batch)
            if conflicts is None:
                return None
            reread_keys |= conflicts
            settled = [
                each.job.key
                for each in batch
                if each.is_complete and not self.is_rejected(each.job)
            ]
            for key in settled:
                self._dirty.pop(key, None)
            on_written([key for key in settled if key not in conflicts])
        self._write_checkpoint()
        return frozenset(reread_keys)

    def _write_checkpoint(self) -> None:
        """Write a checkpoint of starts if one is due with no job to write."""
        if not self._lease.held:
            return
        writes = self._start_checkpoints.prepare()
        if not writes:
            return
        outcome = self._table.commit(
            _transaction([], self._fence.checks, writes)
        )
        match outcome:
            case result.Success():
                self._start_checkpoints.record_written()
                return
            case result.Failure(
                peridotsill_platform.exceptions.Conflict() as error
            ):
                self._fence.handle_conflict(error.keys)
            case result.Failure(error):
                _logs.log("starts:checkpoint_failed", reason=str(error))
        self._start_checkpoints.record_failed()

    def is_rejected(self, job: peridotsill_scheduler.Job) -> bool:
        """Tell whether the table has rejected a job's changed rows.

        No start of such a job can be recorded.
        """
        return job.key in self._retry_at

    @property
    def rejected_keys(self) -> frozenset[_JobKey]:
        """The jobs whose changed rows the table has rejected."""
        return frozenset(self._retry_at)

    def _next_batch(self) -> list[_JobWrites]:
        """Return writes of marked jobs that fit in one transaction.

        A job of which not all rows fit is the last one; the rest of its rows
        follow in the next batches. A job that was rejected is alone.
        """
        now = _clock.monotonic_seconds()
        batch: list[_JobWrites] = []
        room = _TransactionRoom(self._limits)
        for key, job in self._dirty.items():
            was_rejected = key in self._retry_at
            if was_rejected and (batch or now < self._retry_at[key]):
                continue
            writes = self._progress_rows.writes(job, self._lease.epoch)
            fitting = room.take(writes)
            is_complete = len(fitting) == len(writes)
            if batch and not is_complete:
                break
            batch.append(
                _JobWrites(job=job, writes=fitting, is_complete=is_complete)
            )
            if was_rejected or not is_complete:
                break
        return batch

    def _write(self, batch: list[_JobWrites]) -> frozenset[_JobKey] | None:
        """Commit a batch; return the keys as `commit` does."""
        reread_keys: set[_JobKey] = set()
        remaining = list(batch)
        checkpoint = self._start_checkpoints.prepare()
        while remaining:
            started_at = time.monotonic()
            outcome = self._table.commit(
                _transaction(remaining, self._fence.checks, checkpoint)
            )
            elapsed = time.monotonic() - started_at
            self._counters.observe("commit_seconds", elapsed)
            match outcome:
                case result.Success(revision):
                    self._start_checkpoints.record_written()
                    for each in remaining:
                        self._record_written(each, int(revision))
                    break
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict() as error
                ):
                    self._fence.handle_conflict(error.keys)
                    if self._lease.lost:
                        return None
                    remaining = self._resolve_conflict(remaining, reread_keys)
                case result.Failure(
                    peridotsill_platform.exceptions.CommitRejected() as error
                ):
                    if len(remaining) == 1:
                        self._record_rejected(remaining[0], error)
                        break
                    return self._write_halves(remaining, reread_keys)
                case result.Failure(error):
                    _logs.log(
                        "commit:failed", jobs=len(remaining), reason=str(error)
                    )
                    time.sleep(_RETRY_SECONDS)
            if self._lease.lost:
                return None
        return frozenset(reread_keys)

    def _write_halves(
        self, batch: list[_JobWrites], reread_keys: set[_JobKey]
    ) -> frozenset[_JobKey] | None:
        """Commit a rejected batch in two parts, to find the rejected jobs."""
        middle = len(batch) // 2
        for half in (batch[:middle], batch[middle:]):
            conflicts = self._write(half)
            if conflicts is None:
                return None
            reread_keys |= conflicts
        return frozenset(reread_keys)

    def _record_written(self, written: _JobWrites, revision: int) -> None:
        job = written.job
        self._start_checkpoints.record_revision(revision)
        self._retry_at.pop(job.key, None)
        for each in written.writes:
            self._record_row(job, each, revision)

    def _record_row(
        self,
        job: peridotsill_scheduler.Job,
        write: _progress_rows.RowWrite,
        version: int,
    ) -> None:
        self._progress_rows.record_written(job, write, version)
        if write.is_job_row and job.final:
            self.mark_started(job)

    def _record_rejected(
        self,
        rejected: _JobWrites,
        error: peridotsill_platform.exceptions.CommitRejected,
    ) -> None:
        job = rejected.job
        self._progress_rows.leave_out_checkpoints(job)
        self._counters.add("commits_rejected")
        self._retry_at[job.key] = (
            _clock.monotonic_seconds() + _REJECTED_RETRY_SECONDS
        )
        _logs.log(
            "commit:rejected",
            job=job.spec.id,
            queue=job.spec.queue,
            rows=len(rejected.writes),
            bytes=sum(each.transaction_bytes for each in rejected.writes),
            reason=str(error),
        )

    def mark_started(self, job: peridotsill_scheduler.Job) -> None:
        """Stop counting a job as pending: a runner started it, or it ended.

        A recorded start is not enough: the order may never be sent, or get
        no answer.
        """
        if job.key not in self._started_keys:
            self._started_keys.add(job.key)
            self._pending_row_remover.queue_removal(job.key)

    def _resolve_conflict(
        self, batch: list[_JobWrites], reread_keys: set[_JobKey]
    ) -> list[_JobWrites]:
        """Re-read the rows of a batch in conflict; return those to retry.

        Args:
            batch: The batch's jobs and rows.
            reread_keys: Gets the keys of the jobs that another scheduler has
                written.
        """
        remaining = []
        for each in batch:
            writes: list[_progress_rows.RowWrite] = []
            superseding_row = None
            for write in each.writes:
                match self._table.read((write.key,)):
                    case result.Success(rows):
                        row = rows[0] if rows else None
                    case result.Failure(error):
                        _logs.log("commit:unresolved", reason=str(error))
                        writes.append(write)
                        continue
                if row is None or row.version == write.version:
                    writes.append(write)
                elif row.value == write.value and write.is_job_row:
                    self._record_earlier_attempt(
                        batch, row.version, reread_keys
                    )
                    return []
                elif row.value == write.value:
                    self._record_row(each.job, write, row.version)
                elif write.is_job_row:
                    superseding_row = row
                else:
                    # A row that no complete write of the job refers to.
                    self._progress_rows.record_task_row(row)
                    writes.append(attrs.evolve(write, version=row.version))
            if superseding_row is not None:
                self._accept_superseding_row(each.job, superseding_row)
                reread_keys.add(each.job.key)
            elif writes:
                remaining.append(attrs.evolve(each, writes=tuple(writes)))
        return remaining

    def _record_earlier_attempt(
        self,
        batch: list[_JobWrites],
        revision: int,
        reread_keys: set[_JobKey],
    ) -> None:
        """Record that an earlier attempt to commit a batch has succeeded.

        Rows are only removed from a batch from one attempt to the next, so
        the attempt that has written one of the rows has written all of them.
        A job's own row shows whose attempt it was, by its epoch.
        """
        for each in batch:
            if each.job.key not in reread_keys:
                self._record_written(each, revision)

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
        self._load_task_rows([row])
        if self._restore_progress(job, row):
            self._update_open_jobs(job)


def _is_finished(row: peridotsill.Row) -> bool:
    try:
        return _records.is_finished(row.value)
    except peridotsill.exceptions.InvalidResource as error:
        _logs.log("row:unreadable", key=row.key, problems=error.problems)
        return False
