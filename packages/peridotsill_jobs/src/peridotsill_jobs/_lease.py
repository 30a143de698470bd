"""Which node schedules: one row, taken over when it stops changing."""

import collections.abc
import threading
import time
import traceback
import typing

import attrs
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions

# A row that didn't change for this long is free to take. Long enough for one
# renewal to be lost, short enough that runs outlive a takeover.
LEASE_SECONDS = 1.6
# The longest wait for a renewal's answer. The lease counts from when it was
# asked for, so an answer this late still leaves some of it.
RENEWAL_SECONDS = 1.2
# Period of renewals; a renewal that fails is tried again after the second.
_RENEW_SECONDS = 0.35
_RETRY_SECONDS = 0.05
# How long a node that leaves tries to give the lease back; after the
# lease's own time nothing is gained by it.
_RELEASE_SECONDS = 1.5
# What the holder leaves of its lease unused, against the renewal's own way.
_MARGIN_SECONDS = 0.15
# Pause of a node that watches another's lease: as long as the lease is
# renewed, and once it has stood still from one look to the next. Of many
# nodes one is soon among the first to see the last renewal.
_WATCH_SECONDS = 0.7
_STILL_SECONDS = 0.2
# A free lease is left to more capable nodes for this long: two of their
# looks at it, and the way.
_YIELD_SECONDS = 0.9
# A node with less than this part of the most capable one gives way to it.
_CAPABLE_PART = 0.5
# So many looks in a row without an answer are an outage of the table; one
# may be a lost answer.
_OUTAGE_LOOKS = 2
# After an outage the holder has this long to renew before others take over:
# the longest renewal that may be under way, and its next try.
_RETURN_SECONDS = RENEWAL_SECONDS + _RETRY_SECONDS
# What the most capable node is taken for before the first lease, in cores;
# 350 runners kept 0.65 of a core busy (docs/CAPACITY.md).
_USUAL_CAPABILITY = 1.0


# For runners that could not be reached, the seconds until all leases that
# were granted there have run out.
Waits = collections.abc.Mapping[str, float]


@attrs.frozen(kw_only=True)
class _Seen:
    version: int
    holder: str
    epoch: int
    since: float
    strongest: float = 0.0
    waits: Waits | None = None


class Lease:
    """The scheduler's lease as one node sees it.

    A holder's orders carry the epoch, which rises with each takeover. A
    node takes over when the row's version stood still for the lease's
    time on its own clock, so that no two clocks are compared.

    The row also tells the highest capability of any holder so far. A node
    of much less waits a moment longer, as a takeover on a slow link or
    processor may last longer than the lease.

    A holder that gives the lease back leaves its `Waits` in the row, so that
    a runner that is gone is not waited for anew by each holder.

    Args:
        node: This node's name.
        table: Where the row is.
        capability: What this node can schedule, in cores.
    """

    def __init__(
        self,
        *,
        node: str,
        table: peridotsill_platform.Table,
        capability: float = _USUAL_CAPABILITY,
    ) -> None:
        self._node = node
        self._table = table
        self._capability = capability
        self._seen: _Seen | None = None
        self._strongest = capability
        self._unread_looks = 0
        self._still = False
        self._epoch = 0
        self._valid_until = float("-inf")
        self._unanswered_at: float | None = None
        self._lock = threading.Lock()
        self._released = False
        self._lost = True
        self._waits: Waits | None = None
        self._waits_left: collections.abc.Callable[[], Waits] | None = None

    @property
    def inherited_waits(self) -> Waits | None:
        """What the last holder left when it gave the lease back.

        None if it did not, or did not know; then it may have granted leases
        until some time after its own ran out.
        """
        return self._waits

    def leave_waits(
        self, waits_left: collections.abc.Callable[[], Waits]
    ) -> None:
        """Name the function that tells the waits when the lease ends."""
        self._waits_left = waits_left

    @property
    def epoch(self) -> int:
        """The epoch under which this node holds the lease, or last did."""
        return self._epoch

    @property
    def held(self) -> bool:
        """Whether this node may give orders at this moment."""
        return not self.lost and self.lapsed_seconds < 0

    @property
    def lost(self) -> bool:
        """Whether another node certainly is, or may become, the holder."""
        return self._lost or self._released

    @property
    def lapsed_seconds(self) -> float:
        """How long ago the lease ran out; negative while it lasts."""
        return _clock.real_seconds() - self._valid_until

    def lose(self, reason: str) -> None:
        """Stop being the holder at once, as a newer one was met."""
        with self._lock:
            lost, self._lost = self._lost, True
        if not lost:
            _logs.log("lease:lost", epoch=self._epoch, reason=reason)

    @property
    def watch_seconds(self) -> float:
        """How long a node that does not hold the lease may look away."""
        unsure = 0 < self._unread_looks < _OUTAGE_LOOKS
        return _STILL_SECONDS if self._still or unsure else _WATCH_SECONDS

    def try_acquire(self) -> bool:
        """Take the lease if it is free; true if this node now holds it."""
        if self._released:
            return False
        found = self._read()
        self._still = found is not None and self._is_known(found)
        if found is None:
            self._unread_looks += 1
            return False
        if self._age(found) < self._wait_seconds(found):
            return False
        self._strongest = max(found.strongest, self._capability)
        self._waits = found.waits
        self._waits_left = None
        return self._write(found.version, found.epoch + 1)

    def renew(self) -> bool:
        """Extend the lease, or learn that it was lost.

        Without an answer from the table nothing is learned, and the lease
        runs out by itself; false is returned.
        """
        if self._seen is None or self.lost:
            return False
        return self._write(self._seen.version, self._epoch)

    def release(self) -> None:
        """Give the lease back, so that another node need not wait.

        A renewal may be under way, or have been done without an answer.
        So this is tried until it is known to be done, for a while.
        """
        with self._lock:
            held = not self._lost and self._epoch > 0
            self._released = True
            seen = self._seen
        if not held or seen is None:
            return
        # From here on this node grants no leases any more.
        waits = self._waits_left() if self._waits_left else None
        version: int | None = seen.version
        until = _clock.awake_seconds() + _RELEASE_SECONDS
        while version is not None and _clock.awake_seconds() < until:
            version = self._try_release(version, waits)

    def _try_release(self, version: int, waits: Waits | None) -> int | None:
        """Return the row's version for another try, None if it is settled."""
        match self._commit(version, "", self._epoch, waits):
            case result.Success():
                _logs.log("lease:released", epoch=self._epoch)
                return None
            case result.Failure(error):
                _logs.log(
                    "lease:unwritten", epoch=self._epoch, reason=str(error)
                )
        time.sleep(_RETRY_SECONDS)
        found = self._read()
        if found is None:
            return version
        if (found.holder, found.epoch) == (self._node, self._epoch):
            return found.version
        # An earlier try was done after all, or another node has taken it.
        _logs.log("lease:released", epoch=self._epoch, holder=found.holder)
        return None

    def _is_known(self, found: _Seen) -> bool:
        """Whether the row has not changed since the last look."""
        return self._seen is not None and found.version == self._seen.version

    def _age(self, found: _Seen) -> float:
        """Return for how long this version has stood still, in seconds.

        An outage of the table counts only in part: the holder could not
        renew either, and to keep it costs less than a takeover.
        """
        now = _clock.awake_seconds()
        outage = self._unread_looks >= _OUTAGE_LOOKS
        self._unread_looks = 0
        seen = self._seen
        if seen is None or seen.version != found.version:
            self._seen = found
            return 0.0
        if outage:
            latest = now - LEASE_SECONDS + _RETURN_SECONDS
            self._seen = seen = attrs.evolve(
                seen, since=max(seen.since, latest)
            )
        return now - seen.since

    def _wait_seconds(self, found: _Seen) -> float:
        """Return for how long the row has to stand still before it is free."""
        # A row in this node's own name is that of its last process.
        taken = found.holder not in ("", self._node)
        strongest = found.strongest or _USUAL_CAPABILITY
        weak = self._capability < strongest * _CAPABLE_PART
        lease = LEASE_SECONDS if taken else 0.0
        return lease + (_YIELD_SECONDS if weak else 0.0)

    def _read(self) -> _Seen | None:
        match self._table.read((_records.LEASE_KEY,)):
            case result.Success(rows):
                since = _clock.awake_seconds()
                if not rows:
                    return _Seen(version=0, holder="", epoch=0, since=since)
                value = rows[0].value
                return _Seen(
                    version=rows[0].version,
                    holder=str(value.get("holder", "")),
                    epoch=int(value.get("epoch", 0)),
                    since=since,
                    strongest=float(value.get("strongest", 0.0)),
                    waits=_waits_of(value),
                )
            case result.Failure(error):
                _logs.log("lease:unreadable", reason=str(error))
        return None

    def _write(self, version: int, epoch: int) -> bool:
        asked_at = _clock.real_seconds()
        match self._commit(version, self._node, epoch):
            case result.Success(revision):
                self._hold(int(revision), epoch, asked_at)
                return True
            case result.Failure(peridotsill_platform.exceptions.Conflict()):
                return self._resolve(epoch, asked_at)
            case result.Failure(error):
                if self._unanswered_at is None:
                    self._unanswered_at = asked_at
                _logs.log("lease:unwritten", epoch=epoch, reason=str(error))
        return False

    def _resolve(self, epoch: int, asked_at: float) -> bool:
        # An earlier renewal whose answer was lost may have been done.
        found = self._read()
        if found is None:
            return False
        if found.holder == self._node and found.epoch == epoch:
            # It may be the first of those tries that was done.
            first = self._unanswered_at
            self._hold(
                found.version, epoch, asked_at if first is None else first
            )
            return True
        self.lose(f"epoch {found.epoch} is held by {found.holder!r}")
        return False

    def _hold(self, version: int, epoch: int, asked_at: float) -> None:
        with self._lock:
            self._seen = _Seen(
                version=version,
                holder=self._node,
                epoch=epoch,
                since=_clock.awake_seconds(),
            )
            self._epoch = epoch
            self._lost = False
            until = asked_at + LEASE_SECONDS - _MARGIN_SECONDS
            self._valid_until = max(self._valid_until, until)
            self._unanswered_at = None

    def _commit(
        self,
        version: int,
        holder: str,
        epoch: int,
        waits: Waits | None = None,
    ) -> peridotsill_platform.CommitResult:
        check = peridotsill_platform.Check(
            key=_records.LEASE_KEY, version=version
        )
        write = peridotsill_platform.Write(
            key=_records.LEASE_KEY,
            value={
                "holder": holder,
                "epoch": epoch,
                "strongest": self._strongest,
                "waits": None if waits is None else dict(waits),
            },
        )
        return self._table.commit(
            peridotsill_platform.Transaction(checks=(check,), writes=(write,))
        )


def _waits_of(value: dict[str, typing.Any]) -> Waits | None:
    """Return a row's waits; None if it holds none that can be trusted."""
    waits = value.get("waits")
    if value.get("holder") or not isinstance(waits, dict):
        return None
    if not all(isinstance(each, (int, float)) for each in waits.values()):
        return None
    return waits


def compete(
    lease: Lease,
    stopped: threading.Event,
    schedule: collections.abc.Callable[[], None],
) -> None:
    """Take the lease whenever it is free and schedule while it is held.

    Args:
        lease: This node's view of the lease.
        stopped: Set when the node leaves.
        schedule: Runs until the lease is lost or the node leaves.
    """
    while not stopped.is_set():
        if not lease.try_acquire():
            stopped.wait(lease.watch_seconds)
            continue
        _logs.log("lease:acquired", epoch=lease.epoch)
        renewal = threading.Thread(
            target=_keep, args=(lease, stopped), daemon=True, name="lease"
        )
        renewal.start()
        try:
            schedule()
        except Exception as error:
            # Renewing without scheduling would keep every node from it.
            lease.lose(f"the scheduler failed: {error!r}")
            _logs.log("scheduler:failed", traceback=traceback.format_exc())
        renewal.join()


def _keep(lease: Lease, stopped: threading.Event) -> None:
    pause = _RENEW_SECONDS
    while not stopped.wait(pause) and not lease.lost:
        began = _clock.awake_seconds()
        renewed = lease.renew()
        # A renewal that took long leaves the less of the lease.
        rest = began + _RENEW_SECONDS - _clock.awake_seconds()
        pause = max(rest, _RETRY_SECONDS) if renewed else _RETRY_SECONDS
