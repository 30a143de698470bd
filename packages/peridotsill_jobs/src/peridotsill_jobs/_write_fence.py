"""Makes the writes of earlier holders of the lease fail.

The table may carry out a write seconds after it was sent, and a holder that
was paused may send one before it notices that its lease has expired. A check
of the written row's version does not help if the next holder has left that
row alone.
"""

import uuid

import peridotsill
from returns import result

from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
import peridotsill_platform
import peridotsill_platform.exceptions

# In the partition of the rows of jobs' progress.
KEY = "control/scheduler/fence"


class WriteFence:
    """A row that each holder replaces before it reads the jobs' rows.

    Every write of a holder to their partition requires the version of this
    row that the holder has written. So once a holder has claimed the row,
    those before it write nothing more: what it reads then stays as it is
    until it writes itself.

    Example: a holder is paused, and the next one finds all in order, so that
    it writes no job. The first goes on and records runs as lost, by its own
    clock. That write fails, as the second has claimed the fence.

    Args:
        table: The table with the row.
        lease: The lease, under the epoch in which the row is claimed.
    """

    def __init__(
        self, *, table: peridotsill_platform.Table, lease: _lease.Lease
    ) -> None:
        self._table = table
        self._lease = lease
        # Tells this holder's writes of the row from others under its epoch.
        self._token = uuid.uuid4().hex
        self._version: int | None = None

    @property
    def version(self) -> int:
        """The version of the row that was claimed; 0 before the claim.

        Rows of a later version are this holder's.
        """
        return self._version or 0

    @property
    def checks(self) -> tuple[peridotsill_platform.Check, ...]:
        """What a write of this holder requires; nothing before the claim."""
        if self._version is None:
            return ()
        return (peridotsill_platform.Check(key=KEY, version=self._version),)

    def claim(self) -> bool:
        """Replace the row, unless that is done; true once it is claimed."""
        return self._version is not None or self._replace()

    def handle_conflict(self, keys: tuple[str, ...]) -> None:
        """Learn from a write that failed whether another holder has begun.

        If so, the lease is lost. Otherwise somebody has damaged the row, or
        an earlier claim was carried out late, and it is claimed again.

        Args:
            keys: The keys of the rows that had another version.
        """
        if self._version is not None and KEY in keys:
            self._replace()

    def _replace(self) -> bool:
        match self._table.read((KEY,)):
            case result.Success(rows):
                row = rows[0] if rows else None
            case result.Failure(error):
                _logs.log("fence:unreadable", reason=str(error))
                return False
        epoch = _epoch_of(row)
        if epoch > self._lease.epoch:
            self._lease.mark_lost(f"epoch {epoch} has claimed the jobs' rows")
            return False
        if row is not None and row.value.get("token") == self._token:
            # An earlier claim was carried out, though its answer was lost.
            self._version = row.version
            return True
        return self._write(row.version if row is not None else 0)

    def _write(self, version: int) -> bool:
        outcome = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(peridotsill_platform.Check(key=KEY, version=version),),
                writes=(
                    peridotsill_platform.Write(
                        key=KEY,
                        value={
                            "epoch": self._lease.epoch,
                            "token": self._token,
                        },
                    ),
                ),
            )
        )
        match outcome:
            case result.Success(revision):
                self._version = int(revision)
                return True
            case result.Failure(error):
                _logs.log(
                    "fence:unclaimed",
                    epoch=self._lease.epoch,
                    reason=str(error),
                )
        return False


def _epoch_of(row: peridotsill.Row | None) -> int:
    """Return the epoch of the row's writer; 0 without one."""
    if row is None:
        return 0
    epoch = _lease.parse_epoch(row.value.get("epoch"))
    if epoch is None:
        _logs.log("fence:malformed")
    return epoch or 0
