"""The progress of maintenance waves, stored in table rows."""

import collections.abc
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_platform
import peridotsill_platform.exceptions

KEY_PREFIX = "control//wave-"


@attrs.define(kw_only=True, eq=False)
class Wave:
    """A wave and the progress of its VMs.

    ``begun`` names the VMs for which a command was, or may have been, sent,
    ``done`` those whose command was answered, and ``back`` those whose
    maintenance is over or was refused. ``recorded`` holds ``done`` and
    ``back`` as the row has them. A VM with an entry in ``away_since`` may
    be away from that time for as long as a maintenance takes. ``seen_at``
    is the earliest known time at which this node or an earlier scheduler
    read the order. Times are in monotonic seconds. ``published_state`` is
    the state that was last published to operators. ``urgent`` tells that it
    went before the pools' demand in the last decision.
    """

    order: _ports.WaveOrder
    seen_at: float
    begun: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    back: set[str] = attrs.field(factory=set)
    recorded: tuple[frozenset[str], frozenset[str]] = (
        frozenset(),
        frozenset(),
    )
    away_since: dict[str, float] = attrs.field(factory=dict)
    published_state: str = ""
    urgent: bool = False
    row_version: int = 0

    @property
    def is_completed(self) -> bool:
        """Whether operators have been told that all VMs are maintained."""
        return self.published_state == "completed"

    @property
    def unfinished(self) -> set[str]:
        """The VMs whose command may still be carried out."""
        return self.begun - self.done

    @property
    def out(self) -> set[str]:
        """The VMs that are, or may be, away for their maintenance."""
        return self.begun - self.back

    @property
    def has_unrecorded_changes(self) -> bool:
        """Whether the row lacks part of ``done`` or ``back``.

        A new scheduler would then know less than this one.
        """
        done, back = self.recorded
        return done != self.done or back != self.back

    def mark_answered(self, vm: str, answered_at: float) -> None:
        """Record that a VM's command was answered at ``answered_at``."""
        self.done.add(vm)
        self.away_since[vm] = answered_at

    def mark_refused(self, vm: str) -> None:
        """Record that a VM will not be maintained for this wave."""
        self.done.add(vm)
        self.back.add(vm)

    def update_from_list(
        self,
        vms: dict[str, _ports.VmRecord],
        requested_at: float,
        away_seconds: float,
    ) -> None:
        """Update which VMs are away or back from a list of all VMs.

        The list may lag behind the answer to a command, so a VM counts as
        away for the whole maintenance time even if the list shows it up.

        Args:
            vms: The list's VMs by name.
            requested_at: When the list was requested.
            away_seconds: How long a maintenance takes.
        """
        for vm in self.out:
            record = vms.get(vm)
            if vm in self.unfinished:
                if record is not None:
                    self.away_since[vm] = requested_at
                continue
            if requested_at < self.away_since[vm] + away_seconds:
                continue
            # In any other state, e.g. moving or crashed, it is not in
            # maintenance any more.
            maintenance = _ports.VmState.MAINTENANCE
            if record is None or record.state is not maintenance:
                self.back.add(vm)


@attrs.frozen(kw_only=True)
class RowChange:
    """A write of a row if its version is unchanged, or without a check."""

    check: peridotsill_platform.Check | None
    write: peridotsill_platform.Write


# Waves, each with VMs that begin their maintenance.
BegunVms = collections.abc.Mapping[Wave, collections.abc.Set[str]]


class WaveRows:
    """Reads and writes the progress of waves.

    A VM is recorded as begun before its command is sent, and as back once
    the list has shown it back. So a new scheduler counts it as out in
    between.
    """

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table

    def load(self, wave: Wave) -> bool:
        """Read a wave's row; false if it could not be read."""
        match self._table.read((KEY_PREFIX + wave.order.name,)):
            case result.Success(rows):
                if rows:
                    _apply_row(wave, rows[0])
                return True
            case result.Failure(error):
                _logs.log(
                    "wave:unreadable",
                    wave=wave.order.name,
                    reason=str(error),
                )
        return False

    def changes(self, begun: BegunVms) -> tuple[RowChange, ...]:
        """Return the writes of waves' rows, if they are as they were read."""
        return tuple(_change(wave, vms) for wave, vms in begun.items())

    def apply_outcome(
        self, begun: BegunVms, outcome: peridotsill_platform.CommitResult
    ) -> bool:
        """Apply the outcome of a transaction with the writes of `changes`.

        Returns false if they may not have been written. After a conflict
        the rows are read again.
        """
        match outcome:
            case result.Success(revision):
                for wave, vms in begun.items():
                    wave.begun |= vms
                    wave.row_version = int(revision)
                    wave.recorded = frozenset(wave.done), frozenset(wave.back)
                return True
            case result.Failure(error):
                for wave in begun:
                    _logs.log(
                        "wave:unwritten",
                        wave=wave.order.name,
                        reason=str(error),
                    )
                if isinstance(error, peridotsill_platform.exceptions.Conflict):
                    for wave in begun:
                        self.load(wave)
        return False


def _change(wave: Wave, vms: collections.abc.Set[str]) -> RowChange:
    key = KEY_PREFIX + wave.order.name
    value = {
        "begun": sorted(wave.begun | vms),
        "done": sorted(wave.done),
        "back": sorted(wave.back),
        "age_seconds": _clock.monotonic_seconds() - wave.seen_at,
    }
    return RowChange(
        check=peridotsill_platform.Check(key=key, version=wave.row_version),
        write=peridotsill_platform.Write(key=key, value=value),
    )


def _apply_row(wave: Wave, row: peridotsill.Row) -> None:
    known_done = frozenset(wave.done)
    done, back = _vm_names(row.value, "done"), _vm_names(row.value, "back")
    wave.begun |= _vm_names(row.value, "begun") | done
    wave.done |= done
    wave.back |= back
    wave.recorded = (done, back)
    wave.row_version = row.version
    # The time at which another scheduler's command was answered is unknown,
    # but not later than now.
    now = _clock.monotonic_seconds()
    for vm in wave.out - known_done:
        wave.away_since[vm] = now
    age = row.value.get("age_seconds")
    if isinstance(age, (int, float)):
        wave.seen_at = min(wave.seen_at, now - age)


def _vm_names(value: dict[str, typing.Any], field: str) -> frozenset[str]:
    names = value.get(field)
    if not isinstance(names, list):
        return frozenset()
    return frozenset(str(each) for each in names)
