"""Records VM commands in a table row before they are sent.

From the row a new holder of the lease learns which VMs the last one may have
commanded, and lets only these rest before it commands them itself.
"""

import collections.abc
import math

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _feeds
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _waves
import peridotsill_platform
import peridotsill_platform.exceptions

# In the partition of the lease's row and those of waves, so that one
# transaction can write it with these.
KEY = "control//vm-commands"
# Stands for all VMs where a row names VMs.
_ALL_VMS = ""
# The epoch of a malformed row, before that of any holder.
_UNKNOWN_EPOCH = -1
# Shortest time between two writes that only shorten the rests of VMs.
_REFRESH_PERIOD_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class _Content:
    """The row's content.

    ``epoch`` is that of the holder that wrote it, or claimed it.
    ``unanswered`` names the VMs whose commands that holder may send or
    repeat. ``rests`` holds, in seconds from the write on, for how long no
    other holder may command a VM. It was commanded before, by that holder
    or an earlier one.
    """

    version: int = 0
    epoch: int = 0
    unanswered: frozenset[str] = frozenset()
    rests: dict[str, float] = attrs.field(factory=dict)


class CommandRow:
    """The row of VM commands, as one holder of the lease keeps it.

    A holder claims the row before its first command. From then on the last
    holder's conditional writes fail. It can send no command that it has not
    recorded before, even if it thinks that it still holds the lease. Commands
    that it had recorded may be sent until its lease expires. The VMs that
    they are for rest until the hand-over time has passed since then; the
    VMs of answered commands until it has passed since the answer.

    Example: a holder has 3 of 276 VMs moved and is cut off. The row names
    these 3, and the next holder commands any of the other 273 at once.

    A holder after the row's writer has not claimed the row, and so has sent
    nothing, unless it is of an earlier version, which records no commands;
    then all VMs rest.

    Args:
        table: The table with the row.
        lease: The lease, under the epoch in which the row is claimed.
        handover_seconds: The hand-over time, that has to pass between the
            commands of two holders for one VM.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.Table,
        lease: _lease.Lease,
        handover_seconds: float,
    ) -> None:
        self._table = table
        self._lease = lease
        self._epoch = lease.epoch
        self._predecessor_epoch = lease.predecessor_epoch
        self._handover_seconds = handover_seconds
        self._began_at = _clock.monotonic_seconds()
        self._silent_seconds = lease.seconds_since_last_holder
        # Otherwise the last holder may live, and use its lease to the end.
        self._has_stopped = lease.inherited_waits is not None
        self._claimed_at: float | None = None
        self._version = 0
        # Until when a VM rests that an earlier holder has commanded.
        self._rest_until: dict[str, float] = {}
        self._unanswered: set[str] = set()
        self._answered_at: dict[str, float] = {}
        # The names that the row may hold, and those as unanswered.
        self._recorded: frozenset[str] = frozenset()
        self._recorded_unanswered: frozenset[str] = frozenset()
        self._next_refresh_at = 0.0

    @property
    def is_claimed(self) -> bool:
        """Whether earlier holders can't write with this row any more."""
        return self._claimed_at is not None

    @property
    def unproved_until(self) -> float:
        """Until when a VM's state has to be proved, other than by the rows.

        The last holder may have started tasks since the rows were read.
        """
        if not self._predecessor_epoch:
            return self._began_at
        return self._began_at + max(
            0.0, self._handover_seconds - self._silent_seconds
        )

    def may_command(self, vm: str, list_requested_at: float) -> bool:
        """Tell whether this holder may command a VM.

        Args:
            vm: The VM's name.
            list_requested_at: When the list of VMs was requested that this
                is decided by. It has to be newer than the commands of
                earlier holders.
        """
        if self._claimed_at is None:
            return False
        until = max(
            self._claimed_at,
            self._rest_until.get(vm, -math.inf),
            self._rest_until.get(_ALL_VMS, -math.inf),
        )
        last_commanded_at = until - self._handover_seconds
        return (
            _clock.monotonic_seconds() >= until
            and list_requested_at
            >= last_commanded_at + _feeds.VM_LIST_LAG_SECONDS
        )

    def claim(self) -> bool:
        """Claim the row, unless that is done; true once it is claimed."""
        if self._claimed_at is not None:
            return True
        content = self._read()
        if content is None:
            return False
        if content.epoch < self._epoch:
            self._inherit(content)
            outcome = self._commit(content.version, self._content(()), ())
            if not isinstance(outcome, result.Success):
                return False
        self._claimed_at = _clock.monotonic_seconds()
        self._log_claim()
        return True

    def _inherit(self, content: _Content) -> None:
        """Compute for how long VMs rest from the row of an earlier holder."""
        now = _clock.monotonic_seconds()
        longest_seconds = _lease.LEASE_SECONDS + self._handover_seconds
        rests = {
            vm: now + min(left, longest_seconds)
            for vm, left in content.rests.items()
        }
        is_last_holders = content.epoch == self._predecessor_epoch
        lease_ended_at = self._began_at
        if not is_last_holders:
            lease_ended_at += _lease.LEASE_SECONDS
        elif not self._has_stopped:
            lease_ended_at += _lease.LEASE_SECONDS - self._silent_seconds
        for vm in content.unanswered:
            rests[vm] = lease_ended_at + self._handover_seconds
        if self._lease.commands_recorded_since > content.epoch + 1:
            rests[_ALL_VMS] = max(
                rests.get(_ALL_VMS, -math.inf), self.unproved_until
            )
        self._rest_until = rests

    def _log_claim(self) -> None:
        now = _clock.monotonic_seconds()
        rests = {
            vm: until - now
            for vm, until in self._rest_until.items()
            if until > now
        }
        _logs.log(
            "vm:commands_wait",
            epoch=self._epoch,
            reason=(
                "it is not known what the last scheduler commanded"
                if _ALL_VMS in rests
                else "earlier schedulers commanded them"
                if rests
                else ""
            ),
            vms="all" if _ALL_VMS in rests else len(rests),
            seconds=round(max(rests.values(), default=0.0), 3),
            silent_seconds=round(self._silent_seconds, 3),
        )

    def record(
        self,
        vms: frozenset[str],
        changes: collections.abc.Iterable[_waves.RowChange],
    ) -> peridotsill_platform.CommitResult:
        """Record commands for VMs, and write other rows with them.

        The commands may be sent if this succeeds.
        """
        outcome = self._commit(self._version, self._content(vms), changes)
        if isinstance(outcome, result.Success):
            self._unanswered |= vms
            for vm in vms:
                self._answered_at.pop(vm, None)
                self._rest_until.pop(vm, None)
        return outcome

    def write_others(
        self, changes: collections.abc.Iterable[_waves.RowChange]
    ) -> peridotsill_platform.CommitResult:
        """Write other rows, unless another holder has claimed this one."""
        changes = tuple(changes)
        claimed = peridotsill_platform.Check(key=KEY, version=self._version)
        outcome = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(claimed, *_checks(changes)),
                writes=tuple(each.write for each in changes),
            )
        )
        match outcome:
            case result.Failure(
                peridotsill_platform.exceptions.Conflict() as error
            ) if KEY in error.keys:
                self._read()
        return outcome

    def mark_answered(self, vm: str, answered_at: float) -> None:
        """Remember that a VM's command is not sent any more."""
        self._unanswered.discard(vm)
        self._answered_at[vm] = answered_at

    def refresh(self) -> bool:
        """Record answers, and remove names that nobody needs any more.

        So VMs rest no longer than needed when another holder takes over.
        Return whether no write has failed.
        """
        now = _clock.monotonic_seconds()
        if self._claimed_at is None or now < self._next_refresh_at:
            return True
        content = self._content(())
        if (
            self._recorded <= self._names(content)
            and self._recorded_unanswered <= content.unanswered
        ):
            return True
        self._next_refresh_at = now + _REFRESH_PERIOD_SECONDS
        self._answered_at = {
            vm: at
            for vm, at in self._answered_at.items()
            if vm in content.rests
        }
        outcome = self._commit(self._version, content, ())
        return isinstance(outcome, result.Success)

    def _content(self, vms: collections.abc.Iterable[str]) -> _Content:
        """Return what the row has to say before VMs are commanded."""
        now = _clock.monotonic_seconds()
        unanswered = self._unanswered.union(vms)
        rest_until = self._rest_until | {
            vm: at + self._handover_seconds
            for vm, at in self._answered_at.items()
        }
        return _Content(
            epoch=self._epoch,
            unanswered=frozenset(unanswered),
            rests={
                vm: until - now
                for vm, until in rest_until.items()
                if until > now and vm not in unanswered
            },
        )

    def _names(self, content: _Content) -> frozenset[str]:
        return content.unanswered.union(content.rests)

    def _commit(
        self,
        version: int,
        content: _Content,
        changes: collections.abc.Iterable[_waves.RowChange],
    ) -> peridotsill_platform.CommitResult:
        changes = tuple(changes)
        check = peridotsill_platform.Check(key=KEY, version=version)
        write = peridotsill_platform.Write(
            key=KEY,
            value={
                "epoch": content.epoch,
                "unanswered": sorted(content.unanswered),
                "rests": content.rests,
            },
        )
        outcome = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(check, *_checks(changes)),
                writes=(write, *(each.write for each in changes)),
            )
        )
        match outcome:
            case result.Success(revision):
                self._version = int(revision)
                self._recorded = self._names(content)
                self._recorded_unanswered = content.unanswered
            case result.Failure(error):
                _logs.log(
                    "vm:commands_unwritten",
                    epoch=self._epoch,
                    reason=str(error),
                )
                # It may have been written all the same.
                self._recorded |= self._names(content)
                self._recorded_unanswered |= content.unanswered
                if isinstance(error, peridotsill_platform.exceptions.Conflict):
                    self._read()
        return outcome

    def _read(self) -> _Content | None:
        """Read the row; None if it can't be read, or if the lease is lost."""
        match self._table.read((KEY,)):
            case result.Success(rows):
                content = _parse(rows[0]) if rows else _Content()
            case result.Failure(error):
                _logs.log("vm:commands_unreadable", reason=str(error))
                return None
        if content.epoch > self._epoch:
            self._lease.mark_lost(
                f"epoch {content.epoch} has claimed the VM commands"
            )
            return None
        if content.epoch == self._epoch or self._claimed_at is not None:
            # An earlier write of this holder was done, though its answer was
            # lost; or somebody else has damaged the row that it has claimed.
            self._version = content.version
        return content


def _checks(
    changes: collections.abc.Iterable[_waves.RowChange],
) -> tuple[peridotsill_platform.Check, ...]:
    return tuple(each.check for each in changes if each.check is not None)


def _parse(row: peridotsill.Row) -> _Content:
    """Parse the row; a malformed one proves nothing about any holder."""
    epoch = row.value.get("epoch")
    unanswered = row.value.get("unanswered")
    rests = row.value.get("rests")
    if (
        isinstance(epoch, int)
        and isinstance(unanswered, list)
        and isinstance(rests, dict)
        and all(map(_is_duration, rests.values()))
    ):
        return _Content(
            version=row.version,
            epoch=epoch,
            unanswered=frozenset(map(str, unanswered)),
            rests=rests,
        )
    _logs.log("vm:commands_malformed", version=row.version)
    return _Content(version=row.version, epoch=_UNKNOWN_EPOCH)


def _is_duration(value: object) -> bool:
    return isinstance(value, (int, float)) and 0 <= value < math.inf
