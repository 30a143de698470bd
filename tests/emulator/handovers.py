"""Draws holders of the lease that take over from one another in any way.

The row of VM commands is the product's own, as is the table; the lease, the
clock and the holders' commands are simulated.
"""

import random
import unittest.mock

import attrs
from returns import result

from emulator import stubs
from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
import peridotsill_platform.exceptions

HANDOVER_SECONDS = 3.0
VMS = ("a", "b", "c")
# A holder uses its lease for this long after its last renewal, and another
# may take it over after the longer time, or sooner if it is asked.
_USED_SECONDS = 1.45
_EXPIRY_SECONDS = 1.6
_ASKED_SECONDS = 0.6
_STEP_SECONDS = 0.1
_ENDS = ("expires", "refuses", "gives up", "is released")


class _UnreliableTable(stubs.MemoryTable):
    """A table whose answers are lost at times, before or after the write."""

    def __init__(self, draw):
        super().__init__()
        self.draw = draw
        self.late = []

    def commit(self, transaction):
        kind = self.draw.choice(("done",) * 4 + ("lost", "written", "late"))
        if kind == "done":
            return super().commit(transaction)
        if kind == "written":
            super().commit(transaction)
        if kind == "late":
            self.late.append(transaction)
        return result.Failure(
            peridotsill_platform.exceptions.OutcomeUnknown("drawn")
        )

    def write_late(self):
        """Carry out a transaction whose sender has given it up."""
        if self.late:
            super().commit(self.late.pop(0))


@attrs.define(eq=False, kw_only=True)
class _Lease:
    """The lease of one holder, which uses it until ``used_until``."""

    epoch: int
    predecessor_epoch: int
    seconds_since_last_holder: float
    used_until: float
    inherited_waits: dict | None = None
    commands_recorded_since: int = 1
    lost: bool = False

    def mark_lost(self, reason):
        self.lost = True


@attrs.define(eq=False, kw_only=True)
class _Holder:
    lease: _Lease
    row: _command_rows.CommandRow
    unanswered: set = attrs.field(factory=set)


@attrs.frozen
class Sent:
    """A command that a holder has sent."""

    at: float
    epoch: int
    vm: str


class Handovers:
    """A drawn run of holders that command a few VMs.

    Example: ``Handovers(seed=7).play(300)`` returns the commands that were
    sent in 300 steps of 0.1 s.
    """

    def __init__(self, *, seed):
        self._draw = random.Random(seed)
        self._end_probability = self._draw.choice((0.02, 0.05, 0.1))
        self._table = _UnreliableTable(self._draw)
        self._now = 1000.0
        self._sent = []
        self._holders = []

    def play(self, steps):
        """Play some steps, and return the commands sent."""
        with unittest.mock.patch.object(
            _clock, "monotonic_seconds", lambda: self._now
        ):
            self._take_over(0.0)
            for _ in range(steps):
                self._step()
        return self._sent

    def _step(self):
        self._now += _STEP_SECONDS
        if self._draw.random() < 0.3:
            self._table.write_late()
        for holder in self._holders[-3:]:
            self._act(holder)
        last = self._holders[-1].lease
        if self._draw.random() >= self._end_probability:
            last.used_until = max(last.used_until, self._now + _USED_SECONDS)
        elif not last.lost:
            self._end(last)

    def _end(self, last):
        how = self._draw.choice(_ENDS)
        silent = _EXPIRY_SECONDS
        if how == "refuses":
            silent = _ASKED_SECONDS
        if how in ("expires", "refuses"):
            # Its last renewal was in the step before, and it lives on.
            last.used_until = self._now + _USED_SECONDS
            ends_at = self._now + silent
            while self._now < ends_at:
                self._now += _STEP_SECONDS
                for holder in self._holders[-3:]:
                    self._act(holder)
        else:
            last.lost = True
            if how == "gives up":
                silent = self._draw.uniform(_ASKED_SECONDS, _EXPIRY_SECONDS)
        self._take_over(silent, {} if last.lost else None)

    def _take_over(self, silent_seconds, waits=None):
        lease = _Lease(
            epoch=len(self._holders) + 1,
            predecessor_epoch=len(self._holders),
            seconds_since_last_holder=silent_seconds,
            used_until=self._now + _USED_SECONDS,
            inherited_waits=waits,
        )
        row = _command_rows.CommandRow(
            table=self._table,
            lease=lease,
            handover_seconds=HANDOVER_SECONDS,
        )
        self._holders.append(_Holder(lease=lease, row=row))

    def _act(self, holder):
        lease = holder.lease
        if self._draw.random() < 0.2:
            # It is frozen, or waits.
            return
        for vm in sorted(holder.unanswered):
            self._repeat(holder, vm)
        if lease.lost or self._now >= lease.used_until:
            return
        if not holder.row.claim():
            return
        holder.row.refresh()
        vms = frozenset(
            vm
            for vm in VMS
            if vm not in holder.unanswered
            and self._draw.random() < 0.3
            and holder.row.may_command(vm, self._now)
        )
        if not vms:
            return
        outcome = holder.row.record(vms, ())
        if isinstance(outcome, result.Success):
            holder.unanswered |= vms

    def _repeat(self, holder, vm):
        lease = holder.lease
        if lease.lost or self._now >= lease.used_until:
            return
        self._sent.append(Sent(self._now, lease.epoch, vm))
        if self._draw.random() < 0.5:
            holder.unanswered.discard(vm)
            holder.row.mark_answered(vm, self._now)


def taken_in_turns(sent):
    """Return the pairs of commands of two holders that are too close."""
    pairs = []
    last_by_vm = {}
    for each in sorted(sent, key=lambda command: command.at):
        last = last_by_vm.get(each.vm)
        if (
            last is not None
            and last.epoch != each.epoch
            and each.at < last.at + HANDOVER_SECONDS - 1e-6
        ):
            pairs.append((last, each))
        last_by_vm[each.vm] = each
    return pairs
