"""What has been done of each maintenance wave, kept in rows."""

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
    """A wave and its VMs.

    ``begun`` names the VMs that were, or may have been, commanded, ``done``
    those whose command was answered, and ``back`` those whose maintenance
    is over; ``recorded`` is what the row says of the last two. A VM may
    still be away some time after ``away_since``, where it has an entry.
    ``seen_at`` is when the order was seen first, by any holder of the lease
    as far as is known. Times are in steady seconds. ``shown`` is the state
    that operators were told last.
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
    shown: str = ""
    row_version: int = 0

    @property
    def unfinished(self) -> set[str]:
        """The VMs whose command may still be carried out."""
        return self.begun - self.done

    @property
    def out(self) -> set[str]:
        """The VMs that are, or may be, away for their maintenance."""
        return self.begun - self.back

    @property
    def unrecorded(self) -> bool:
        """Whether a new scheduler would know less than this one."""
        done, back = self.recorded
        return done != self.done or back != self.back

    def answered(self, vm: str, at: float) -> None:
        """Note that a VM's command was carried out by ``at``."""
        self.done.add(vm)
        self.away_since[vm] = at

    def refused(self, vm: str) -> None:
        """Note that a VM will not be maintained for this wave."""
        self.done.add(vm)
        self.back.add(vm)

    def follow(
        self,
        vms: dict[str, _ports.VmRecord],
        asked_at: float,
        away_seconds: float,
    ) -> None:
        """Find the VMs that are back, from a list of all VMs.

        The list may lag behind an answer, so a VM counts as away for as
        long as its maintenance takes, whatever the list says.

        Args:
            vms: The list's VMs by name.
            asked_at: When the list was asked for.
            away_seconds: How long a maintenance takes.
        """
        for vm in self.out:
            record = vms.get(vm)
            if vm in self.unfinished:
                if record is not None:
                    self.away_since[vm] = asked_at
                continue
            if asked_at < self.away_since[vm] + away_seconds:
                continue
            # It may have been moved, or have crashed, since.
            away = _ports.VmState.MAINTENANCE
            if record is None or record.state is not away:
                self.back.add(vm)


class WaveRows:
    """Reads and writes the progress of waves.

    A VM is recorded before it is commanded, and as back once it was seen
    so, so that a new scheduler counts it as out in between.
    """

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table

    def load(self, wave: Wave) -> bool:
        """Read a wave's row; false if it could not be read."""
        match self._table.read((KEY_PREFIX + wave.order.name,)):
            case result.Success(rows):
                if rows:
                    _take_row(wave, rows[0])
                return True
            case result.Failure(error):
                _logs.log(
                    "wave:unreadable",
                    wave=wave.order.name,
                    reason=str(error),
                )
        return False

    def save(self, wave: Wave) -> bool:
        """Write a wave's row; false if it is not known to be written."""
        key = KEY_PREFIX + wave.order.name
        value = {
            "begun": sorted(wave.begun),
            "done": sorted(wave.done),
            "back": sorted(wave.back),
            "age_seconds": _clock.awake_seconds() - wave.seen_at,
        }
        outcome = self._table.commit(
            peridotsill_platform.Transaction(
                checks=(
                    peridotsill_platform.Check(
                        key=key, version=wave.row_version
                    ),
                ),
                writes=(peridotsill_platform.Write(key=key, value=value),),
            )
        )
        match outcome:
            case result.Success(revision):
                wave.row_version = int(revision)
                wave.recorded = (frozenset(wave.done), frozenset(wave.back))
                return True
            case result.Failure(error):
                _logs.log(
                    "wave:unwritten", wave=wave.order.name, reason=str(error)
                )
                if isinstance(error, peridotsill_platform.exceptions.Conflict):
                    self.load(wave)
        return False


def _take_row(wave: Wave, row: peridotsill.Row) -> None:
    known = frozenset(wave.done)
    done, back = _names(row.value, "done"), _names(row.value, "back")
    wave.begun |= _names(row.value, "begun") | done
    wave.done |= done
    wave.back |= back
    wave.recorded = (done, back)
    wave.row_version = row.version
    # When another scheduler's command was answered is not known; it was
    # before now.
    now = _clock.awake_seconds()
    for vm in wave.out - known:
        wave.away_since[vm] = now
    age = row.value.get("age_seconds")
    if isinstance(age, (int, float)):
        wave.seen_at = min(wave.seen_at, now - age)


def _names(value: dict[str, typing.Any], field: str) -> frozenset[str]:
    names = value.get(field)
    if not isinstance(names, list):
        return frozenset()
    return frozenset(str(each) for each in names)
