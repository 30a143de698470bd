"""Records which starts may be unanswered, for the next scheduler.

A start that got no answer may be executed seconds later, also by a next
lifetime of its runner. A scheduler that is killed hands over nothing of what
it knew about that, so it keeps a row on it beside those of the jobs.
"""

import collections.abc
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _logs
import peridotsill_platform

# In the partition of the rows of jobs' progress.
KEY = "control/scheduler/starts"
# Least time from one checkpoint to the next: nearly every commit changes it.
_PERIOD_SECONDS = 0.5
# A checkpoint waits this long for answers to starts that were just sent, which
# it would list as open. Usually they come within a round trip.
_MAX_ANSWER_WAIT_SECONDS = 0.25
# Pause after a write that failed, which may have taken a whole timeout.
_RETRY_SECONDS = 2.0

# A runner's id and a run that was to start there.
OpenStart = tuple[str, _late_starts.RunId]
OpenStarts = frozenset[OpenStart]


@attrs.frozen(kw_only=True)
class StartCheckpoint:
    """Which starts in the jobs' rows were answered, as of a revision.

    Those in rows up to ``revision`` were, at each attempt, but for
    ``open_starts``. Nothing is known of starts in later rows.

    Example: a checkpoint of revision 70 lists run 1 of task 0.0.1. Of a job
    whose row has version 69, only that start may be open; of one whose row
    has version 71, each may.
    """

    revision: int = 0
    open_starts: OpenStarts = frozenset()

    def may_be_open(
        self, runner: str, run: _late_starts.RunId, row_version: int
    ) -> bool:
        """Tell whether a recorded start may have got no answer.

        Args:
            runner: The runner that the row names.
            run: The run.
            row_version: The version of the job's row.
        """
        return row_version > self.revision or (runner, run) in self.open_starts

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row's value."""
        return {
            "revision": self.revision,
            "open": [
                [runner, *run] for runner, run in sorted(self.open_starts)
            ],
        }


def parse_checkpoint(value: dict[str, typing.Any]) -> StartCheckpoint:
    """Return the checkpoint of a row; one that knows nothing if malformed."""
    try:
        return StartCheckpoint(
            revision=int(value["revision"]),
            open_starts=frozenset(
                (str(runner), (str(job), str(task), int(run)))
                for runner, job, task, run in value["open"]
            ),
        )
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        _logs.log("starts:checkpoint_malformed", reason=repr(error))
        return StartCheckpoint()


class StartCheckpoints:
    """The checkpoint of the last holder, and those of this one.

    Args:
        table: The table with the row.
        counters: Counts the checkpoints by outcome.
        get_open_starts: Returns the starts that may be unanswered. None if
            no checkpoints are to be made.
        max_bytes: The size of the row. While there are more open starts than
            fit, the last checkpoint stands.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        counters: peridotsill.Counters,
        get_open_starts: collections.abc.Callable[[], OpenStarts] | None,
        max_bytes: int,
    ) -> None:
        self._table = table
        self._counters = counters
        self._get_open_starts = get_open_starts
        self._max_bytes = max_bytes
        self._inherited = StartCheckpoint()
        self._revision = 0
        self._prepared: StartCheckpoint | None = None
        self._written = StartCheckpoint()
        self._next_at = float("-inf")
        self._outdated_since = float("inf")

    @property
    def inherited(self) -> StartCheckpoint:
        """The checkpoint of the last holder of the lease."""
        return self._inherited

    def load(self, claimed_revision: int) -> bool:
        """Read the last holder's checkpoint; false if that fails.

        Args:
            claimed_revision: The revision from which on only this holder
                writes jobs' rows.
        """
        match self._table.read((KEY,)):
            case result.Success(rows):
                if rows:
                    self._inherited = parse_checkpoint(rows[0].value)
            case result.Failure(error):
                _logs.log("starts:checkpoint_unreadable", reason=str(error))
                return False
        self.record_revision(claimed_revision)
        return True

    def record_revision(self, revision: int) -> None:
        """Record that this holder has written jobs' rows at a revision."""
        self._revision = max(self._revision, revision)

    def prepare(self) -> tuple[peridotsill_platform.Write, ...]:
        """Return the write of a checkpoint, or nothing if none is due."""
        self._prepared = None
        now = _clock.monotonic_seconds()
        is_outdated = (
            self._revision > self._written.revision
            or self._written.open_starts
        )
        if (
            self._get_open_starts is None
            or now < self._next_at
            or not is_outdated
        ):
            return ()
        checkpoint = StartCheckpoint(
            revision=self._revision, open_starts=self._get_open_starts()
        )
        if checkpoint == self._written:
            return ()
        self._outdated_since = min(self._outdated_since, now)
        lists_more = checkpoint.open_starts - self._written.open_starts
        waited_seconds = now - self._outdated_since
        if lists_more and waited_seconds < _MAX_ANSWER_WAIT_SECONDS:
            return ()
        self._outdated_since = float("inf")
        if self._written.revision:
            # The first one, just after a takeover, doesn't hold up the next.
            self._next_at = now + _PERIOD_SECONDS
        value = checkpoint.to_value()
        if len(peridotsill.encode(value)) > self._max_bytes:
            self._counters.add("start_checkpoints", outcome="too_large")
            return ()
        self._prepared = checkpoint
        return (peridotsill_platform.Write(key=KEY, value=value),)

    def record_written(self) -> None:
        """Record that the checkpoint was written, if one was prepared."""
        if self._prepared is not None:
            self._written = self._prepared
            self._counters.add("start_checkpoints", outcome="written")

    def record_failed(self) -> None:
        """Record that a write failed; the next one follows after a while."""
        self._next_at = _clock.monotonic_seconds() + _RETRY_SECONDS
        self._counters.add("start_checkpoints", outcome="failed")
