"""What has been done of each maintenance wave, kept in rows."""

import typing

import attrs
from returns import result

from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_platform
import peridotsill_platform.exceptions

KEY_PREFIX = "control//wave-"


@attrs.define(kw_only=True, eq=False)
class Wave:
    """A wave and its VMs.

    ``begun`` names the VMs that were, or may have been, commanded, and
    ``done`` those whose command was answered; ``recorded`` is what the
    row says of those. ``seen_at`` is in steady seconds. ``shown`` is the
    state that operators were told last.
    """

    order: _ports.WaveOrder
    seen_at: float
    begun: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    recorded: set[str] = attrs.field(factory=set)
    shown: str = ""
    row_version: int = 0

    @property
    def unfinished(self) -> set[str]:
        """The VMs whose command may still be carried out."""
        return self.begun - self.done

    @property
    def unrecorded(self) -> set[str]:
        """The VMs that a new scheduler would maintain once more."""
        return self.done - self.recorded


class WaveRows:
    """Reads and writes the progress of waves.

    A VM is recorded before it is commanded, so that a new scheduler
    counts it as out until its command was answered.
    """

    def __init__(self, *, table: peridotsill_platform.Table) -> None:
        self._table = table

    def load(self, wave: Wave) -> bool:
        """Read a wave's row; false if it could not be read."""
        match self._table.read((KEY_PREFIX + wave.order.name,)):
            case result.Success(rows):
                if rows:
                    value = rows[0].value
                    wave.begun |= _names(value, "begun")
                    wave.recorded = _names(value, "done")
                    wave.done |= wave.recorded
                    wave.row_version = rows[0].version
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
        value = {"begun": sorted(wave.begun), "done": sorted(wave.done)}
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
                wave.recorded = set(value["done"])
                return True
            case result.Failure(error):
                _logs.log(
                    "wave:unwritten", wave=wave.order.name, reason=str(error)
                )
                if isinstance(error, peridotsill_platform.exceptions.Conflict):
                    self.load(wave)
        return False


def _names(value: dict[str, typing.Any], field: str) -> set[str]:
    names = value.get(field)
    return {str(each) for each in names} if isinstance(names, list) else set()
