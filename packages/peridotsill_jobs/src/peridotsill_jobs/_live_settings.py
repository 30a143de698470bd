"""Settings that change while a node runs, and the file they come from."""

import pathlib

import attrs

from peridotsill_jobs import _logs
from peridotsill_jobs import _settings

# What a running node takes over from a changed file; the rest names its
# addresses and neighbours and needs a new process.
_CHANGEABLE = frozenset({"bounds", "lending_policy", "order_policy"})


class LiveSettings:
    """The settings in force, of which a part may change at run time."""

    def __init__(self, settings: _settings.JobNodeSettings) -> None:
        self._current = settings

    @property
    def current(self) -> _settings.JobNodeSettings:
        """The settings in force now."""
        return self._current

    def replace(self, found: _settings.JobNodeSettings) -> None:
        """Take over what may change, and log what may not and did."""
        differing = {
            name
            for name in attrs.fields_dict(_settings.JobNodeSettings)
            if getattr(found, name) != getattr(self._current, name)
        }
        changed = {
            name: getattr(found, name) for name in differing & _CHANGEABLE
        }
        self._current = attrs.evolve(self._current, **changed)
        _logs.log(
            "settings:read",
            changed=sorted(changed),
            need_restart=sorted(differing - _CHANGEABLE),
        )


class SettingsFile:
    """A settings file that may be replaced while the node runs."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._stamp = self._read_stamp()

    def has_changed(self) -> bool:
        """Tell whether the file was replaced since the last call."""
        stamp = self._read_stamp()
        if stamp is None or stamp == self._stamp:
            return False
        self._stamp = stamp
        return True

    def _read_stamp(self) -> tuple[int, int, int] | None:
        try:
            found = self._path.stat()
        except OSError as error:
            # It may be between two versions; the next look finds it.
            _logs.log("settings:unreadable", problems=str(error))
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino
