"""Submits, shows, cancels and counts jobs; every node serves these calls."""

import contextlib
import threading
import time
import typing

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

# Fraction of a caller's timeout that may be spent on the table; the rest is
# for returning the response.
_TABLE_TIME_FRACTION = 0.8
# Timeout of the read that tells whether a job is stored. It is short enough
# that the response still reaches the caller in time after the last attempt.
LOOKUP_TIMEOUT_SECONDS = 0.5
# Pause before a submission or cancellation of unknown outcome is retried.
_RETRY_DELAY_SECONDS = 0.05
_DEFAULT_LIMITS = peridotsill_platform.TableLimits()
# How long a count is cached, so that many requests cost one scan.
_COUNT_CACHE_SECONDS = 0.5


class Outcome(peridotsill.TextEnum):
    """Outcome of a caller's request.

    FOREIGN says that the job is another team's than the caller's.
    """

    DONE = "done"
    ABSENT = "absent"
    NOT_DONE = "not done"
    REJECTED = "rejected"
    FOREIGN = "foreign"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class JobReply:
    """Reply to a caller about one job."""

    outcome: Outcome
    state: peridotsill_scheduler.JobState | None = None
    reason: str = ""


@attrs.frozen(kw_only=True)
class PendingCount:
    """Number of a queue's jobs that have not started; None if unknown."""

    pending: int | None
    read_at: float


class Submissions:
    """Serves callers' requests from the job tables.

    A submission creates a row on condition that it does not exist, so
    repeated submissions at any node result in one job. The caller gets a
    reply only after the commit.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.WatchedTable,
        committer: peridotsill_platform.GroupCommitter,
        short_timeout_table: peridotsill_platform.Table,
        limits: peridotsill_platform.TableLimits = _DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
        self._table = table
        self._short_timeout_table = short_timeout_table
        self._committer = committer
        self._counts: dict[str, PendingCount] = {}
        self._lock = threading.Lock()

    def submit(
        self,
        queue: peridotsill_scheduler.Queue,
        spec: peridotsill_scheduler.JobSpec,
        seconds: float,
        team: str = "",
    ) -> JobReply:
        """Store a job within ``seconds``; submitting an id is idempotent.

        A job that was cancelled before is stored as cancelled. ``team``
        names the team that submits it; it is empty without one.
        """
        submission = _records.Submission(
            spec=spec, queue=queue, arrived_ms=_clock.unix_ms(), team=team
        )
        size = len(peridotsill.encode(_records.submission_value(submission)))
        if size > self._limits.value_bytes:
            return JobReply(
                outcome=Outcome.REJECTED,
                reason=f"its record would have {size} bytes",
            )
        return self._commit(submission, seconds * _TABLE_TIME_FRACTION)

    def _commit(
        self, submission: _records.Submission, seconds: float
    ) -> JobReply:
        spec = submission.spec
        key = _records.row_key(_records.JOBS, spec.queue, spec.id)
        deadline = time.monotonic() + seconds
        transaction = _first_transaction(submission)
        may_be_stored = False
        is_rejected = False
        reason = ""
        while (remaining := deadline - time.monotonic()) > 0:
            match self._committer.commit(transaction, remaining):
                case result.Success():
                    return JobReply(outcome=Outcome.DONE)
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict() as error
                ):
                    # Another row is there: the job, or a tombstone.
                    may_be_stored, reason = True, str(error)
                case result.Failure(
                    peridotsill_platform.exceptions.OutcomeUnknown() as error
                ):
                    may_be_stored, reason = True, str(error)
                case result.Failure(
                    peridotsill_platform.exceptions.CommitRejected() as error
                ):
                    is_rejected, reason = True, str(error)
                case result.Failure(error):
                    reason = str(error)
            if time.monotonic() < deadline:
                match self._read_submission_row(key):
                    case result.Success(row) if row is None:
                        transaction = _first_transaction(submission)
                    case result.Success(row) if _records.is_tombstone(row):
                        transaction = _tombstone_replacement(submission, row)
                    case result.Success(row) if _records.is_of_other_team(
                        row.value, submission.team
                    ):
                        return JobReply(outcome=Outcome.FOREIGN)
                    case result.Success(_):
                        return JobReply(outcome=Outcome.DONE, reason="stored")
            if is_rejected:
                return JobReply(outcome=Outcome.REJECTED, reason=reason)
            if not may_be_stored:
                return JobReply(outcome=Outcome.NOT_DONE, reason=reason)
            time.sleep(_RETRY_DELAY_SECONDS)
        return JobReply(outcome=Outcome.UNKNOWN, reason=reason)

    def _read_submission_row(
        self, key: str
    ) -> result.Result[
        peridotsill.Row | None,
        peridotsill_platform.exceptions.TableUnavailable,
    ]:
        """Return a submission's row; None if there is none.

        An earlier attempt, here or at another node, may have been
        committed. A table that is too busy to commit can still answer
        reads.
        """
        found = self._short_timeout_table.read((key,))
        match found:
            case result.Failure(error):
                _logs.log("job:unreadable", key=key, reason=str(error))
        return found.map(lambda rows: rows[0] if rows else None)

    def show(self, queue: str, job_id: str, team: str = "") -> JobReply:
        """Return a job's state as stored in the table, to a team."""
        progress_key = _records.row_key(_records.PROGRESS, queue, job_id)
        match self._table.read((progress_key,)):
            case result.Success(rows):
                if rows:
                    with contextlib.suppress(
                        peridotsill.exceptions.InvalidResource
                    ):
                        return self._show_progress(
                            queue, job_id, team, rows[0].value
                        )
                    _logs.log("row:unreadable", key=progress_key)
            case result.Failure(error):
                return JobReply(outcome=Outcome.UNKNOWN, reason=str(error))
        return self._show_submitted(queue, job_id, team)

    def _show_progress(
        self,
        queue: str,
        job_id: str,
        team: str,
        value: dict[str, typing.Any],
    ) -> JobReply:
        reply = JobReply(
            outcome=Outcome.DONE,
            state=_records.parse_state(value),
            reason=_records.parse_failure_reason(value),
        )
        if _records.is_of_other_team(value, team):
            return JobReply(outcome=Outcome.FOREIGN)
        if team and not _records.parse_team(value):
            # A scheduler of an earlier version writes no team to this row.
            submitted = self._show_submitted(queue, job_id, team)
            if submitted.outcome in (Outcome.FOREIGN, Outcome.UNKNOWN):
                return submitted
        return reply

    def _show_submitted(self, queue: str, job_id: str, team: str) -> JobReply:
        key = _records.row_key(_records.JOBS, queue, job_id)
        match self._table.read((key,)):
            case result.Success(rows):
                if not rows or _records.is_tombstone(rows[0]):
                    return JobReply(outcome=Outcome.ABSENT)
                if _records.is_of_other_team(rows[0].value, team):
                    return JobReply(outcome=Outcome.FOREIGN)
                cancelled = bool(rows[0].value.get("cancelled"))
                state = _State.CANCELLED if cancelled else _State.QUEUED
                return JobReply(outcome=Outcome.DONE, state=state)
            case result.Failure(error):
                return JobReply(outcome=Outcome.UNKNOWN, reason=str(error))
        raise AssertionError("result is neither Success nor Failure")

    def cancel(
        self, queue: str, job_id: str, seconds: float, team: str = ""
    ) -> JobReply:
        """Mark a job as cancelled within ``seconds``, for a team.

        If there is no such job, a tombstone is stored before the caller is
        told so. A submission that is still on its way finds it and stores
        the job as cancelled, and a commit of it that the table carries out
        late fails.
        """
        deadline = time.monotonic() + seconds * _TABLE_TIME_FRACTION
        reply = JobReply(outcome=Outcome.UNKNOWN)
        while (remaining := deadline - time.monotonic()) > 0:
            reply = self._try_cancel((queue, job_id), team, remaining)
            if reply.outcome is not Outcome.UNKNOWN:
                return reply
            time.sleep(_RETRY_DELAY_SECONDS)
        return reply

    def _try_cancel(
        self, job: tuple[str, str], team: str, seconds: float
    ) -> JobReply:
        key = _records.row_key(_records.JOBS, *job)
        match self._table.read((key,)):
            case result.Success(rows):
                row = rows[0] if rows else None
            case result.Failure(error):
                return JobReply(outcome=Outcome.UNKNOWN, reason=str(error))
        if row is None or _records.is_tombstone(row):
            return self._write_tombstone(key, row, team, seconds)
        if _records.is_of_other_team(row.value, team):
            return JobReply(outcome=Outcome.FOREIGN)
        if row.value.get("cancelled"):
            return JobReply(outcome=Outcome.DONE, reason="repeated")
        pending_key = _records.row_key(_records.PENDING, *job)
        commit_result = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(
                    peridotsill_platform.Check(key=key, version=row.version),
                ),
                writes=(
                    peridotsill_platform.Write(
                        key=key, value={**row.value, "cancelled": True}
                    ),
                    peridotsill_platform.Write(key=pending_key, value=None),
                ),
            )
        )
        match commit_result:
            case result.Success():
                return JobReply(outcome=Outcome.DONE)
            case result.Failure(error):
                return JobReply(outcome=Outcome.UNKNOWN, reason=str(error))
        raise AssertionError("result is neither Success nor Failure")

    def _write_tombstone(
        self,
        key: str,
        tombstone: peridotsill.Row | None,
        team: str,
        seconds: float,
    ) -> JobReply:
        """Write a tombstone, or write it again to prolong its lifetime."""
        version = tombstone.version if tombstone else 0
        transaction = peridotsill_platform.Transaction(
            checks=(peridotsill_platform.Check(key=key, version=version),),
            writes=(
                peridotsill_platform.Write(
                    key=key, value=_records.tombstone_value(team, tombstone)
                ),
            ),
        )
        match self._committer.commit(transaction, seconds):
            case result.Success():
                return JobReply(outcome=Outcome.ABSENT)
            case result.Failure(error):
                return JobReply(outcome=Outcome.UNKNOWN, reason=str(error))
        raise AssertionError("result is neither Success nor Failure")

    def count(self, queue: str) -> PendingCount:
        """Return how many of a queue's jobs have not started."""
        now = time.monotonic()
        with self._lock:
            cached_count = self._counts.get(queue)
        if cached_count and now - cached_count.read_at < _COUNT_CACHE_SECONDS:
            return cached_count
        prefixes = _records.queue_prefixes(_records.PENDING, queue)
        match self._table.scan(prefixes):
            case result.Success(scan):
                pending_count = PendingCount(
                    pending=len(scan.rows), read_at=now
                )
            case result.Failure(error):
                _logs.log("count:failed", queue=queue, reason=str(error))
                return PendingCount(pending=None, read_at=now)
        with self._lock:
            self._counts[queue] = pending_count
        return pending_count


def _first_transaction(
    submission: _records.Submission, known_version: int = 0
) -> peridotsill_platform.Transaction:
    """Store a job that no row is known of but one to be replaced."""
    spec = submission.spec
    key = _records.row_key(_records.JOBS, spec.queue, spec.id)
    pending_key = _records.row_key(_records.PENDING, spec.queue, spec.id)
    return peridotsill_platform.Transaction(
        checks=(peridotsill_platform.Check(key=key, version=known_version),),
        writes=(
            peridotsill_platform.Write(
                key=key, value=_records.submission_value(submission)
            ),
            peridotsill_platform.Write(key=pending_key, value={}),
        ),
    )


def _tombstone_replacement(
    submission: _records.Submission, tombstone: peridotsill.Row
) -> peridotsill_platform.Transaction:
    """Store a job in place of a tombstone, which may cancel it."""
    if not _records.tombstone_cancels(tombstone, submission.team):
        return _first_transaction(submission, tombstone.version)
    cancelled = attrs.evolve(submission, cancelled=True)
    return peridotsill_platform.Transaction(
        checks=(
            peridotsill_platform.Check(
                key=tombstone.key, version=tombstone.version
            ),
        ),
        writes=(
            peridotsill_platform.Write(
                key=tombstone.key, value=_records.submission_value(cancelled)
            ),
        ),
    )
