"""Removes the tombstones of jobs that were cancelled and never submitted."""

import threading

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions

# How long a tombstone is kept. A submission may be as late as this: longer
# than a node freezes, a commit is delayed or a client retries.
LIFETIME_SECONDS = 120.0
_REMOVAL_PERIOD_SECONDS = 2.0
# Most rows in one transaction. Each takes a check and a removal, and a table
# may allow a hundred of these.
_MAX_ROWS_PER_COMMIT = 45


@attrs.frozen(kw_only=True)
class _Tombstone:
    """A row, and when this scheduler first saw it in this version."""

    key: str
    version: int
    seen_at: float


class TombstoneRemover:
    """Removes each tombstone some time after this scheduler first saw it.

    Its age is not taken from the times of day of other nodes, and counts
    anew after a takeover. A tombstone that is written again, or replaced by
    its job, is not removed, as its version is another one then.
    """

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table
        self._tombstones: dict[str, _Tombstone] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def add(self, row: peridotsill.Row) -> None:
        """Remove a tombstone once its lifetime has passed."""
        with self._lock:
            known = self._tombstones.get(row.key)
            if known is None or known.version != row.version:
                self._tombstones[row.key] = _Tombstone(
                    key=row.key,
                    version=row.version,
                    seen_at=_clock.monotonic_seconds(),
                )

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, daemon=True, name="tombstones"
        ).start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(_REMOVAL_PERIOD_SECONDS):
            self.remove_expired()

    def remove_expired(self) -> None:
        """Remove the tombstones whose lifetime has passed.

        After a failure the rest is left for the next period, so that a busy
        table gets no extra load.
        """
        oldest = _clock.monotonic_seconds() - LIFETIME_SECONDS
        by_partition: dict[str, list[_Tombstone]] = {}
        with self._lock:
            for each in self._tombstones.values():
                if each.seen_at < oldest:
                    partition = _records.partition_of(each.key)
                    by_partition.setdefault(partition, []).append(each)
        for expired in by_partition.values():
            for start in range(0, len(expired), _MAX_ROWS_PER_COMMIT):
                batch = expired[start : start + _MAX_ROWS_PER_COMMIT]
                if not self._remove(batch):
                    return

    def _remove(self, batch: list[_Tombstone]) -> bool:
        """Remove rows of one partition; false if the table can't do it."""
        while batch:
            outcome = self._table.commit(_removal(batch))
            match outcome:
                case result.Success():
                    self._forget(batch)
                    return True
                case result.Failure(
                    peridotsill_platform.exceptions.Conflict(keys=keys)
                ) if any(each.key in keys for each in batch):
                    # Gone, replaced or written again, which the feed tells.
                    self._forget([each for each in batch if each.key in keys])
                    batch = [each for each in batch if each.key not in keys]
                case result.Failure(error):
                    _logs.log("tombstones:unwritten", reason=str(error))
                    return False
        return True

    def _forget(self, tombstones: list[_Tombstone]) -> None:
        with self._lock:
            for each in tombstones:
                if self._tombstones.get(each.key) == each:
                    del self._tombstones[each.key]


def _removal(
    batch: list[_Tombstone],
) -> peridotsill_platform.Transaction:
    return peridotsill_platform.Transaction(
        checks=tuple(
            peridotsill_platform.Check(key=each.key, version=each.version)
            for each in batch
        ),
        writes=tuple(
            peridotsill_platform.Write(key=each.key, value=None)
            for each in batch
        ),
    )
