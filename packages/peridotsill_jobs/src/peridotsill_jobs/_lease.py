"""Elects the scheduling node by a lease in a single table row.

A node takes the lease over when the row has stopped changing.
"""

import collections.abc
import math
import threading
import time
import typing
import uuid

import attrs
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _earlier_grants
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_platform.exceptions

# A lease whose row has not changed for this long may be taken over. Long
# enough that one renewal may be lost, short enough that the leases of runs
# outlast a takeover.
LEASE_SECONDS = 1.6
# Timeout of a renewal. The lease is valid from the time of the request, so
# part of it is left even if the answer takes this long.
RENEWAL_TIMEOUT_SECONDS = 1.2
# Period of renewals, and the pause before a failed table call is retried.
_RENEWAL_PERIOD_SECONDS = 0.35
_RETRY_DELAY_SECONDS = 0.05
# How long a node that leaves tries to release the lease. Once the lease has
# expired, releasing it gains nothing.
_RELEASE_TIMEOUT_SECONDS = 1.5
# The holder stops using its lease this long before it expires, to allow for
# the time that a renewal is in transit.
_SAFETY_MARGIN_SECONDS = 0.15
# Poll intervals of a node that does not hold the lease: while the row keeps
# changing, and once two successive reads found it unchanged. With many nodes,
# one of them reads the row soon after the last renewal.
_POLL_SECONDS = 0.7
_FAST_POLL_SECONDS = 0.2
# A less capable node leaves a free lease to the others for this long: two of
# their polls, and the latency of the table.
_LESS_CAPABLE_DELAY_SECONDS = 0.9
# A node is less capable if it has less than this fraction of the highest
# capability of any holder.
_LESS_CAPABLE_RATIO = 0.5
# This many failed reads in a row count as an outage of the table; a single
# one may be a lost answer.
_OUTAGE_FAILED_READS = 2
# After an outage the holder has this long to renew before others take over:
# the longest renewal that may be in progress, and the pause before the next.
_OUTAGE_GRACE_SECONDS = RENEWAL_TIMEOUT_SECONDS + _RETRY_DELAY_SECONDS
# After an outage a less capable node leaves the lease to the others for this
# long besides: a read of theirs that began in the outage times out, and the
# next one follows after a poll interval.
_LESS_CAPABLE_OUTAGE_SECONDS = RENEWAL_TIMEOUT_SECONDS + _POLL_SECONDS
# The holder is asked whether it still holds the lease once the row has not
# changed for this long: a renewal was due, and its commit takes some time.
_ASK_HOLDER_SECONDS = 0.6
# Period in which a new holder asks whether the last one has been replaced.
_ASK_PREDECESSOR_SECONDS = 0.5
# A holder that is asked gives the lease up after this many failed renewals
# in a row; a single one may be a lost answer.
_GIVE_UP_FAILED_RENEWALS = 2
# Highest capability that is assumed before the first lease, in cores. 350
# runners kept 0.65 of a core busy (docs/CAPACITY.md).
_DEFAULT_CAPABILITY_CORES = 1.0


# For each runner that does not answer, the seconds until the last lease that
# it was granted for a run expires; under `OTHER_RUNNERS` the same for runners
# without an entry, if that is longer than a lease that was granted just now.
LeaseExpiryWaits = collections.abc.Mapping[str, float]
OTHER_RUNNERS = ""
# Asks the node at an address whether it holds the lease under an epoch.
AskHolder = collections.abc.Callable[
    [str, int], _holder_check.HolderState | None
]


@attrs.frozen(kw_only=True)
class _ObservedRow:
    """The lease's row.

    ``first_read_at`` is when this version was first read, and
    ``unchanged_since`` the time from which its age counts for a takeover:
    the same, or later after an outage of the table. ``process`` names the
    process that wrote it, and ``earlier_grants_seconds`` says for how long
    from then on the holders before it may grant leases of runs; negative
    once they have stopped, None if it is not known. Every holder from the
    epoch ``commands_recorded_since`` on records its VM commands before it
    sends them; None if a holder of an earlier version wrote the row.
    """

    version: int
    holder: str
    epoch: int
    first_read_at: float
    unchanged_since: float
    max_capability: float = 0.0
    waits: LeaseExpiryWaits | None = None
    address: str = ""
    process: str = ""
    earlier_grants_seconds: float | None = None
    commands_recorded_since: int | None = None


class Lease:
    """One node's view of the scheduler's lease.

    The epoch increases with each takeover, by the number of fencing tokens
    that it reserves for the holder's calls to runners. A node takes over
    when the row's version has not changed for the duration of the lease on
    the node's own clock, so no clocks of different nodes are compared. It
    takes over a released lease at once.

    The row also holds the highest capability of any holder so far. A much
    less capable node waits longer before it takes over, because a takeover
    on a slow link or processor may last longer than the lease.

    A holder that releases the lease stores its `LeaseExpiryWaits` in the
    row, so that the next holder does not wait the full time again for a
    runner that is gone.

    A node that finds the row unchanged asks the holder at its address. If
    the connection is refused, the node takes over without waiting for the
    expiry, though the holder may live on behind a cut and use its lease
    until then. If the holder can't renew and gives the lease up, the node
    also takes over at once.

    Args:
        node: This node's name.
        table: The table with the lease's row.
        capability: The scheduling capacity of this node, in cores.
        address: Where other nodes can ask this one; empty if nowhere.
        ask_holder: Asks another node.
    """

    def __init__(
        self,
        *,
        node: str,
        table: peridotsill_platform.Table,
        capability: float = _DEFAULT_CAPABILITY_CORES,
        address: str = "",
        ask_holder: AskHolder = _holder_check.ask_holder,
    ) -> None:
        self._node = node
        self._table = table
        self._capability = capability
        self._address = address
        self._ask_holder = ask_holder
        # Version of the row whose holder gave no answer.
        self._silent_version = -1
        self._failed_renewals = 0
        self._unchanged_seconds_at_takeover = 0.0
        self._earlier_grants_end_at = 0.0
        self._commands_recorded_since = 1
        # The holder that the last takeover replaced.
        self._last_holder: _earlier_grants.LastHolder | None = None
        # Names this process for others: its node's name may have had another.
        self._process = uuid.uuid4().hex
        # When this process listened at its address for the first time.
        self._listening_since: float | None = None
        self._last_row: _ObservedRow | None = None
        self._max_capability = capability
        self._failed_reads = 0
        self._row_unchanged = False
        self._epoch = 0
        # The epoch of the last attempt to take the lease, and the highest
        # under which this process has told others that it won't hold it.
        self._attempted_epoch = 0
        self._declined_epoch = 0
        self._valid_until = float("-inf")
        self._first_unanswered_at: float | None = None
        self._lock = threading.Lock()
        self._released = False
        self._lost = True
        self._inherited_waits: LeaseExpiryWaits | None = None
        self._compute_waits: (
            collections.abc.Callable[[], LeaseExpiryWaits] | None
        ) = None

    @property
    def inherited_waits(self) -> LeaseExpiryWaits | None:
        """The waits that the previous holder stored when it released.

        None if it did not release the lease or did not know them; then it
        may have granted leases for some time after its own expired.
        """
        return self._inherited_waits

    @property
    def seconds_since_last_holder(self) -> float:
        """Seconds for which the last holder had been silent at the takeover.

        At most the lease's duration; that, too, if the lease was released.
        """
        return self._unchanged_seconds_at_takeover

    @property
    def earlier_grants_end_at(self) -> float:
        """When no earlier holder grants leases of runs any more.

        In seconds of `_clock.monotonic_seconds`; it may be before or after
        the takeover, and becomes earlier once `ask_predecessor` shows that
        the last holder has ended.
        """
        return self._earlier_grants_end_at

    @property
    def commands_recorded_since(self) -> int:
        """The epoch from which on every holder records its VM commands.

        Holders of earlier versions record none.
        """
        return self._commands_recorded_since

    def set_waits_source(
        self, compute_waits: collections.abc.Callable[[], LeaseExpiryWaits]
    ) -> None:
        """Set the function that returns the waits to store on release."""
        self._compute_waits = compute_waits

    @property
    def epoch(self) -> int:
        """The epoch under which this node holds the lease, or last did."""
        return self._epoch

    @property
    def predecessor_epoch(self) -> int:
        """The epoch of the holder before this one; 0 if there was none."""
        return self._last_holder.epoch if self._last_holder else 0

    @property
    def held(self) -> bool:
        """Whether this node may send orders now."""
        return not self.lost and self.seconds_since_expiry < 0

    @property
    def lost(self) -> bool:
        """Whether the lease was never taken, or was lost or released."""
        return self._lost or self._released

    @property
    def seconds_since_expiry(self) -> float:
        """Seconds since the lease expired; negative while it is valid."""
        return _clock.boottime_seconds() - self._valid_until

    def mark_lost(self, reason: str) -> None:
        """Stop being the holder at once, as when a newer one is found."""
        with self._lock:
            was_lost, self._lost = self._lost, True
        if not was_lost:
            _logs.log("lease:lost", epoch=self._epoch, reason=reason)

    @property
    def poll_delay_seconds(self) -> float:
        """Pause before a node that is not the holder polls again."""
        isolated_failure = 0 < self._failed_reads < _OUTAGE_FAILED_READS
        return (
            _FAST_POLL_SECONDS
            if self._row_unchanged or isolated_failure
            else _POLL_SECONDS
        )

    def try_acquire(self) -> bool:
        """Take the lease if it is free; true if this node then holds it."""
        if self._released:
            return False
        if self._listening_since is None:
            self._listening_since = _clock.monotonic_seconds()
        row = self._read_row()
        self._row_unchanged = row is not None and self._is_unchanged(row)
        if row is None:
            self._failed_reads += 1
            return False
        row = self._observe(row)
        unchanged_seconds = _clock.monotonic_seconds() - row.unchanged_since
        state = None
        waits = row.waits
        # A holder that has released the lease sends no more commands.
        self._unchanged_seconds_at_takeover = (
            min(unchanged_seconds, LEASE_SECONDS)
            if row.holder
            else LEASE_SECONDS
        )
        if unchanged_seconds < self._takeover_delay_seconds(row):
            state = self._holder_state(row, unchanged_seconds)
            if state is None or state.holds:
                return False
            waits = state.waits
            _logs.log(
                "lease:holder_gone",
                holder=row.holder,
                epoch=row.epoch,
                gave_up=waits is not None,
                unchanged_seconds=round(unchanged_seconds, 2),
            )
        self._max_capability = max(row.max_capability, self._capability)
        last_holder = self._make_last_holder(row)
        stopped_at = self._when_stopped(last_holder, state, waits)
        epoch = row.epoch + _fencing_tokens.TOKENS_PER_EPOCH
        with self._lock:
            self._last_holder = last_holder
            self._earlier_grants_end_at = last_holder.grants_end_at(stopped_at)
            self._attempted_epoch = epoch
        self._commands_recorded_since = (
            row.epoch + 1
            if row.commands_recorded_since is None
            else row.commands_recorded_since
        )
        self._inherited_waits = waits
        self._compute_waits = None
        if not self._commit_as_holder(row.version, epoch):
            return False
        _logs.log(
            "lease:acquired",
            epoch=self._epoch,
            previous_holder=row.holder,
            was_own=self._is_own(row.holder, row.address),
            unchanged_seconds=round(unchanged_seconds, 3),
            waits_handed_over=waits is not None,
            earlier_grants_seconds=round(
                self._earlier_grants_end_at - _clock.monotonic_seconds(), 3
            ),
        )
        return True

    def _make_last_holder(
        self, row: _ObservedRow
    ) -> _earlier_grants.LastHolder:
        """Return what a row tells of its holder and those before.

        Every renewal of theirs was requested before this node first read the
        row that its own takeover replaces.
        """
        earlier_seconds = row.earlier_grants_seconds
        return _earlier_grants.LastHolder(
            node=row.holder,
            address=row.address,
            process=row.process,
            epoch=row.epoch,
            lease_ends_at=row.first_read_at + LEASE_SECONDS,
            earlier_grants_end_at=(
                None
                if earlier_seconds is None
                else row.first_read_at + earlier_seconds
            ),
        )

    def _when_stopped(
        self,
        last_holder: _earlier_grants.LastHolder,
        answer: _holder_check.HolderState | None,
        waits: LeaseExpiryWaits | None,
    ) -> float | None:
        """Return when the last holder had stopped; None if it may live."""
        now = _clock.monotonic_seconds()
        if waits is not None:
            # It stopped of its own accord, but those before it may live.
            return now
        if last_holder.is_named and self._is_own(
            last_holder.node, last_holder.address
        ):
            is_former = last_holder.process != self._process
            return self._listening_since if is_former else now
        return last_holder.stopped_at(answer, now)

    def ask_predecessor(self) -> None:
        """Ask at the last holder's address whether it has stopped.

        A process that ended just before the takeover is started again a
        moment later.
        """
        last_holder = self._last_holder
        if last_holder is None or not last_holder.is_named:
            return
        if self._is_own(last_holder.node, last_holder.address):
            return
        answer = self._ask_holder(last_holder.address, last_holder.epoch)
        stopped_at = last_holder.stopped_at(answer, _clock.monotonic_seconds())
        if answer is None or stopped_at is None:
            return
        grants_end_at = last_holder.grants_end_at(stopped_at)
        with self._lock:
            # Meanwhile this node may have taken the lease over once more.
            if last_holder is not self._last_holder:
                return
            if grants_end_at >= self._earlier_grants_end_at:
                return
            self._earlier_grants_end_at = grants_end_at
        _logs.log(
            "lease:predecessor_replaced",
            holder=last_holder.node,
            epoch=last_holder.epoch,
            declined=answer.declined,
            up_seconds=round(answer.up_seconds, 3),
        )

    def _holder_state(
        self, row: _ObservedRow, unchanged_seconds: float
    ) -> _holder_check.HolderState | None:
        """Ask the row's holder for its state, once a renewal is overdue.

        A holder that did not answer is not asked again for the same row.
        """
        delay = self._less_capable_delay_seconds(row) + _ASK_HOLDER_SECONDS
        if not row.holder or not row.address or unchanged_seconds < delay:
            return None
        if row.version == self._silent_version:
            return None
        state = self._ask_holder(row.address, row.epoch)
        if state is None:
            self._silent_version = row.version
        return state

    def answer_peer(self, epoch: int) -> _holder_check.HolderState:
        """Tell another node whether this one holds the lease under an epoch.

        The other node can read the lease's row and finds it unchanged. So if
        this one can't renew the lease, it gives it up.
        """
        with self._lock:
            if self.lost and self._epoch < epoch <= self._attempted_epoch:
                # The answer to the commit that took it may still arrive.
                self._declined_epoch = max(self._declined_epoch, epoch)
                return self._make_state(holds=False, declined=True)
            if self.lost or epoch != self._epoch:
                return self._make_state(holds=False)
            failed = self._failed_renewals
        if failed < _GIVE_UP_FAILED_RENEWALS:
            return self._make_state(holds=True)
        # From here on this node grants no more leases to runners.
        self.mark_lost(f"given up after {failed} failed renewals")
        waits = self._compute_waits() if self._compute_waits else None
        return self._make_state(
            holds=False, waits=None if waits is None else dict(waits)
        )

    def _make_state(
        self,
        *,
        holds: bool,
        waits: dict[str, float] | None = None,
        declined: bool = False,
    ) -> _holder_check.HolderState:
        now = _clock.monotonic_seconds()
        since = self._listening_since
        return _holder_check.HolderState(
            holds=holds,
            waits=waits,
            node=self._node,
            process=self._process,
            up_seconds=0.0 if since is None else now - since,
            declined=declined,
        )

    def renew(self) -> bool:
        """Extend the lease; false if it could not be extended.

        If the table shows another holder, the lease is marked as lost. If
        the table does not answer, the lease is kept until it expires.
        """
        if self._last_row is None or self.lost:
            return False
        return self._commit_as_holder(self._last_row.version, self._epoch)

    def release(self) -> None:
        """Release the lease, so that another node can take it at once.

        A renewal that is in progress, or whose answer was lost, may change
        the row's version. So this retries until the release is known to be
        done, or times out.
        """
        with self._lock:
            held = not self._lost and self._epoch > 0
            self._released = True
            last_row = self._last_row
        if not held or last_row is None:
            return
        # From here on this node grants no more leases to runners.
        waits = self._compute_waits() if self._compute_waits else None
        version: int | None = last_row.version
        deadline = _clock.monotonic_seconds() + _RELEASE_TIMEOUT_SECONDS
        while version is not None and _clock.monotonic_seconds() < deadline:
            version = self._try_release(version, waits)

    def _try_release(
        self, version: int, waits: LeaseExpiryWaits | None
    ) -> int | None:
        """Return the row's version for a retry, None if none is needed."""
        match self._commit_row(version, "", self._epoch, waits):
            case result.Success():
                _logs.log("lease:released", epoch=self._epoch)
                return None
            case result.Failure(error):
                _logs.log(
                    "lease:unwritten", epoch=self._epoch, reason=str(error)
                )
        time.sleep(_RETRY_DELAY_SECONDS)
        row = self._read_row()
        if row is None:
            return version
        if self._is_own(row.holder, row.address) and row.epoch == self._epoch:
            return row.version
        # An earlier attempt succeeded, or another node has taken the lease.
        _logs.log("lease:released", epoch=self._epoch, holder=row.holder)
        return None

    def _is_unchanged(self, row: _ObservedRow) -> bool:
        """Whether the row has not changed since the last read."""
        return (
            self._last_row is not None
            and row.version == self._last_row.version
        )

    def _observe(self, row: _ObservedRow) -> _ObservedRow:
        """Remember a row; return it with the times of its version.

        An outage of the table counts only in part towards the time for which
        it has been unchanged: the holder could not renew either, and keeping
        the holder costs less than a takeover.
        """
        outage = self._failed_reads >= _OUTAGE_FAILED_READS
        self._failed_reads = 0
        last_row = self._last_row
        if last_row is not None and self._is_unchanged(row):
            unchanged_since = last_row.unchanged_since
            if outage:
                unchanged_since = max(
                    unchanged_since, self._unchanged_since_after_outage(row)
                )
            row = attrs.evolve(
                row,
                first_read_at=last_row.first_read_at,
                unchanged_since=unchanged_since,
            )
        self._last_row = row
        return row

    def _unchanged_since_after_outage(self, row: _ObservedRow) -> float:
        """Return the earliest time from which a row's age may count."""
        grace_seconds = _OUTAGE_GRACE_SECONDS
        if self._less_capable_delay_seconds(row):
            grace_seconds += _LESS_CAPABLE_OUTAGE_SECONDS
        return _clock.monotonic_seconds() - LEASE_SECONDS + grace_seconds

    def _takeover_delay_seconds(self, row: _ObservedRow) -> float:
        """Return how long the row must be unchanged before a takeover."""
        may_be_held = row.holder and not self._is_own(row.holder, row.address)
        expiry_delay = LEASE_SECONDS if may_be_held else 0.0
        return expiry_delay + self._less_capable_delay_seconds(row)

    def _is_own(self, holder: str, address: str) -> bool:
        """Whether a holder is this process or an earlier one at its address.

        A process of the same name at another address may live.
        """
        return (holder, address) == (self._node, self._address)

    def _less_capable_delay_seconds(self, row: _ObservedRow) -> float:
        max_capability = row.max_capability or _DEFAULT_CAPABILITY_CORES
        less_capable = self._capability < max_capability * _LESS_CAPABLE_RATIO
        return _LESS_CAPABLE_DELAY_SECONDS if less_capable else 0.0

    def _read_row(self) -> _ObservedRow | None:
        match self._table.read((_records.LEASE_KEY,)):
            case result.Success(rows):
                read_at = _clock.monotonic_seconds()
                if not rows:
                    return _ObservedRow(
                        version=0,
                        holder="",
                        epoch=0,
                        first_read_at=read_at,
                        unchanged_since=read_at,
                    )
                value = rows[0].value
                return _ObservedRow(
                    version=rows[0].version,
                    holder=str(value.get("holder", "")),
                    epoch=int(value.get("epoch", 0)),
                    first_read_at=read_at,
                    unchanged_since=read_at,
                    max_capability=float(value.get("strongest", 0.0)),
                    waits=_parse_waits(value),
                    address=str(value.get("address", "")),
                    process=str(value.get("process") or ""),
                    earlier_grants_seconds=_parse_seconds(
                        value.get("earlier_grants_seconds")
                    ),
                    commands_recorded_since=parse_epoch(
                        value.get("commands_recorded_since")
                    ),
                )
            case result.Failure(error):
                _logs.log("lease:unreadable", reason=str(error))
        return None

    def _commit_as_holder(self, version: int, epoch: int) -> bool:
        requested_at = _clock.boottime_seconds()
        match self._commit_row(version, self._node, epoch):
            case result.Success(revision):
                return self._record_held(int(revision), epoch, requested_at)
            case result.Failure(peridotsill_platform.exceptions.Conflict()):
                return self._resolve_conflict(epoch, requested_at)
            case result.Failure(error):
                self._failed_renewals += 1
                if self._first_unanswered_at is None:
                    self._first_unanswered_at = requested_at
                _logs.log("lease:unwritten", epoch=epoch, reason=str(error))
        return False

    def _resolve_conflict(self, epoch: int, requested_at: float) -> bool:
        # An earlier renewal may have succeeded and its answer been lost.
        row = self._read_row()
        if row is None:
            return False
        if self._is_own(row.holder, row.address) and row.epoch == epoch:
            # The one that succeeded may be the first unanswered renewal, so
            # the lease is counted from its request.
            first_requested_at = self._first_unanswered_at
            return self._record_held(
                row.version,
                epoch,
                requested_at
                if first_requested_at is None
                else first_requested_at,
            )
        self.mark_lost(f"epoch {row.epoch} is held by {row.holder!r}")
        return False

    def _record_held(
        self, version: int, epoch: int, requested_at: float
    ) -> bool:
        """Record a commit that succeeded; false if the lease is lost.

        A renewal that was in progress when the lease was lost does not bring
        it back: the scheduler ends, and waits may have been told to a peer.
        Nor does a takeover that was declined while it was in progress.
        """
        with self._lock:
            if self._lost and epoch == self._epoch:
                return False
            if epoch <= self._declined_epoch:
                return False
            recorded_at = _clock.monotonic_seconds()
            self._last_row = _ObservedRow(
                version=version,
                holder=self._node,
                epoch=epoch,
                first_read_at=recorded_at,
                unchanged_since=recorded_at,
            )
            self._epoch = epoch
            self._lost = False
            valid_until = requested_at + LEASE_SECONDS - _SAFETY_MARGIN_SECONDS
            self._valid_until = max(self._valid_until, valid_until)
            self._first_unanswered_at = None
            self._failed_renewals = 0
        return True

    def _commit_row(
        self,
        version: int,
        holder: str,
        epoch: int,
        waits: LeaseExpiryWaits | None = None,
    ) -> peridotsill_platform.CommitResult:
        check = peridotsill_platform.Check(
            key=_records.LEASE_KEY, version=version
        )
        write = peridotsill_platform.Write(
            key=_records.LEASE_KEY,
            value={
                "holder": holder,
                "epoch": epoch,
                "strongest": self._max_capability,
                "waits": None if waits is None else dict(waits),
                "address": self._address,
                "process": self._process,
                "earlier_grants_seconds": (
                    self._earlier_grants_end_at - _clock.monotonic_seconds()
                ),
                "commands_recorded_since": self._commands_recorded_since,
            },
        )
        return self._table.commit(
            peridotsill_platform.Transaction(checks=(check,), writes=(write,))
        )


def _parse_waits(value: dict[str, typing.Any]) -> LeaseExpiryWaits | None:
    """Return a row's waits; None if it is held, or they are malformed."""
    waits = value.get("waits")
    if value.get("holder") or not isinstance(waits, dict):
        return None
    if not all(
        isinstance(seconds, (int, float)) for seconds in waits.values()
    ):
        return None
    return waits


def _parse_seconds(value: object) -> float | None:
    """Return a number of a row; None if an earlier version wrote the row."""
    if isinstance(value, (int, float)) and math.isfinite(value):
        return float(value)
    return None


def parse_epoch(value: object) -> int | None:
    """Return an epoch of a row; None if an earlier version wrote the row."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return None


def acquire_and_schedule(
    lease: Lease,
    stopped: threading.Event,
    schedule: collections.abc.Callable[[], None],
) -> None:
    """Take the lease whenever it is free, and schedule while holding it.

    Args:
        lease: This node's view of the lease.
        stopped: Set when the node leaves.
        schedule: Runs until the lease is lost or the node leaves.
    """
    while not stopped.is_set():
        if not lease.try_acquire():
            stopped.wait(lease.poll_delay_seconds)
            continue
        renewal_thread = threading.Thread(
            target=_renew_until_lost,
            args=(lease, stopped),
            daemon=True,
            name="lease",
        )
        renewal_thread.start()
        threading.Thread(
            target=_ask_predecessor_until_known,
            args=(lease, stopped),
            daemon=True,
            name="predecessor",
        ).start()
        try:
            schedule()
        except Exception as error:
            # A holder that renews but does not schedule would keep every
            # other node from scheduling.
            lease.mark_lost(f"the scheduler failed: {error!r}")
            _logs.log_traceback("scheduler:failed")
        renewal_thread.join()


def _ask_predecessor_until_known(
    lease: Lease, stopped: threading.Event
) -> None:
    """Ask until it is known that no earlier holder grants leases of runs."""
    epoch = lease.epoch
    while (
        not stopped.wait(_ASK_PREDECESSOR_SECONDS)
        and not lease.lost
        and lease.epoch == epoch
        and lease.earlier_grants_end_at > _clock.monotonic_seconds()
    ):
        lease.ask_predecessor()


def _renew_until_lost(lease: Lease, stopped: threading.Event) -> None:
    pause = _RENEWAL_PERIOD_SECONDS
    while not stopped.wait(pause) and not lease.lost:
        started_at = _clock.monotonic_seconds()
        renewed = lease.renew()
        # The time that a renewal took is already gone from the lease, so the
        # period counts from the start of the renewal.
        remaining = (
            started_at + _RENEWAL_PERIOD_SECONDS - _clock.monotonic_seconds()
        )
        pause = (
            max(remaining, _RETRY_DELAY_SECONDS)
            if renewed
            else _RETRY_DELAY_SECONDS
        )
