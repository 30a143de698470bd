"""Accepting, showing, cancelling and counting jobs; any node may do so."""

import contextlib
import threading
import time

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler

_State = peridotsill_scheduler.JobState

# Part of a caller's time that the table may use; the rest is the answer's
# way back.
_TABLE_SHARE = 0.8
# The longest wait for a look at whether a job is stored; it leaves time for
# the answer's way back after the last try.
LOOK_SECONDS = 0.5
# Pause between two tries of a commit without a known outcome.
_RETRY_SECONDS = 0.05
# A count may be this old, so that many askers cost one read.
_COUNT_SECONDS = 0.5


class Outcome(peridotsill.TextEnum):
    """What became of a caller's call."""

    DONE = "done"
    ABSENT = "absent"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Shown:
    """What a caller is told of a job."""

    outcome: Outcome
    state: peridotsill_scheduler.JobState | None = None
    reason: str = ""


@attrs.frozen(kw_only=True)
class Counted:
    """A queue's number of jobs that have not begun, None if unknown."""

    pending: int | None
    read_at: float


class Submissions:
    """The callers' side of the job tables.

    A submission is a row that must not exist yet, so that repeats at any
    node are one job; the commit is done before the caller is told.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.WatchedTable,
        committer: peridotsill_platform.GroupCommitter,
        quick_table: peridotsill_platform.Table,
    ) -> None:
        self._table = table
        self._quick_table = quick_table
        self._committer = committer
        self._counts: dict[str, Counted] = {}
        self._lock = threading.Lock()

    def submit(
        self,
        queue: peridotsill_scheduler.Queue,
        spec: peridotsill_scheduler.JobSpec,
        seconds: float,
    ) -> Shown:
        """Store a job within ``seconds``; the same id twice is one job."""
        submission = _records.Submission(
            spec=spec, queue=queue, arrived_ms=_clock.unix_ms()
        )
        key = _records.row_key(_records.JOBS, spec.queue, spec.id)
        pending = _records.row_key(_records.PENDING, spec.queue, spec.id)
        transaction = peridotsill_platform.Transaction(
            checks=(peridotsill_platform.Check(key=key, version=0),),
            writes=(
                peridotsill_platform.Write(
                    key=key, value=_records.submission_value(submission)
                ),
                peridotsill_platform.Write(key=pending, value={}),
            ),
        )
        return self._commit(key, transaction, seconds * _TABLE_SHARE)

    def _commit(
        self,
        key: str,
        transaction: peridotsill_platform.Transaction,
        seconds: float,
    ) -> Shown:
        deadline = time.monotonic() + seconds
        doubtful = False
        reason = ""
        while True:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            match self._committer.commit(transaction, left):
                case result.Success():
                    return Shown(outcome=Outcome.DONE)
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict()
                ):
                    # The row exists: this job was accepted before.
                    return Shown(outcome=Outcome.DONE, reason="repeated")
                case result.Failure(
                    peridotsill_platform.exceptions.OutcomeUnknown() as error
                ):
                    doubtful, reason = True, str(error)
                case result.Failure(error):
                    reason = str(error)
            if time.monotonic() < deadline and self._is_stored(key):
                return Shown(outcome=Outcome.DONE, reason="found stored")
            if not doubtful:
                return Shown(outcome=Outcome.NOT_DONE, reason=reason)
            time.sleep(_RETRY_SECONDS)
        return Shown(outcome=Outcome.UNKNOWN, reason=reason)

    def _is_stored(self, key: str) -> bool:
        """Tell whether a submission's row is there for certain.

        An earlier try may have been done, also one at another node, while a
        table that is too busy for a commit still answers a read.
        """
        match self._quick_table.read((key,)):
            case result.Success(rows):
                return bool(rows)
            case result.Failure(error):
                _logs.log("job:unreadable", key=key, reason=str(error))
        return False

    def show(self, queue: str, job_id: str) -> Shown:
        """Return a job's state, from the rows."""
        progress = _records.row_key(_records.PROGRESS, queue, job_id)
        match self._table.read((progress,)):
            case result.Success(rows):
                if rows:
                    with contextlib.suppress(
                        peridotsill.exceptions.InvalidResource
                    ):
                        state = _records.parse_state(rows[0].value)
                        return Shown(outcome=Outcome.DONE, state=state)
                    _logs.log("row:unreadable", key=progress)
            case result.Failure(error):
                return Shown(outcome=Outcome.UNKNOWN, reason=str(error))
        return self._show_submitted(queue, job_id)

    def _show_submitted(self, queue: str, job_id: str) -> Shown:
        key = _records.row_key(_records.JOBS, queue, job_id)
        match self._table.read((key,)):
            case result.Success(rows):
                if not rows:
                    return Shown(outcome=Outcome.ABSENT)
                cancelled = bool(rows[0].value.get("cancelled"))
                state = _State.CANCELLED if cancelled else _State.QUEUED
                return Shown(outcome=Outcome.DONE, state=state)
            case result.Failure(error):
                return Shown(outcome=Outcome.UNKNOWN, reason=str(error))
        raise AssertionError("a result is a success or a failure")

    def cancel(self, queue: str, job_id: str, seconds: float) -> Shown:
        """Mark a job as cancelled within ``seconds``."""
        key = _records.row_key(_records.JOBS, queue, job_id)
        deadline = time.monotonic() + seconds * _TABLE_SHARE
        shown = Shown(outcome=Outcome.UNKNOWN)
        while time.monotonic() < deadline:
            shown = self._try_cancel(key, queue, job_id)
            if shown.outcome is not Outcome.UNKNOWN:
                return shown
            time.sleep(_RETRY_SECONDS)
        return shown

    def _try_cancel(self, key: str, queue: str, job_id: str) -> Shown:
        match self._table.read((key,)):
            case result.Success(rows):
                if not rows:
                    return Shown(outcome=Outcome.ABSENT)
                row = rows[0]
            case result.Failure(error):
                return Shown(outcome=Outcome.UNKNOWN, reason=str(error))
        if row.value.get("cancelled"):
            return Shown(outcome=Outcome.DONE, reason="repeated")
        pending = _records.row_key(_records.PENDING, queue, job_id)
        written = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(
                    peridotsill_platform.Check(key=key, version=row.version),
                ),
                writes=(
                    peridotsill_platform.Write(
                        key=key, value={**row.value, "cancelled": True}
                    ),
                    peridotsill_platform.Write(key=pending, value=None),
                ),
            )
        )
        match written:
            case result.Success():
                return Shown(outcome=Outcome.DONE)
            case result.Failure(error):
                return Shown(outcome=Outcome.UNKNOWN, reason=str(error))
        raise AssertionError("a result is a success or a failure")

    def count(self, queue: str) -> Counted:
        """Return how many of a queue's jobs have not begun."""
        now = time.monotonic()
        with self._lock:
            known = self._counts.get(queue)
        if known and now - known.read_at < _COUNT_SECONDS:
            return known
        prefixes = _records.queue_prefixes(_records.PENDING, queue)
        match self._table.scan(prefixes):
            case result.Success(scan):
                counted = Counted(pending=len(scan.rows), read_at=now)
            case result.Failure(error):
                _logs.log("count:failed", queue=queue, reason=str(error))
                return Counted(pending=None, read_at=now)
        with self._lock:
            self._counts[queue] = counted
        return counted
