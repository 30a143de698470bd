"""Settings that can change at run time, and the file they come from."""

import pathlib

import attrs

from peridotsill_jobs import _logs
from peridotsill_jobs import _settings

# Settings that a running node reloads from a changed file. The others, such
# as its addresses and the services it uses, need a restart.
_RELOADABLE_FIELDS = frozenset(
    {
        "bounds",
        "lending_policy",
        "order_policy",
        "placement_policy",
        "return_policy",
    }
)


class LiveSettings:
    """The settings in force, some of which may change at run time."""

    def __init__(self, settings: _settings.JobNodeSettings) -> None:
        self._current = settings

    @property
    def current(self) -> _settings.JobNodeSettings:
        """The settings in force now."""
        return self._current

    def replace(self, new_settings: _settings.JobNodeSettings) -> None:
        """Apply the reloadable changes; log those that need a restart."""
        differing = {
            name
            for name in attrs.fields_dict(_settings.JobNodeSettings)
            if getattr(new_settings, name) != getattr(self._current, name)
        }
        changed = {
            name: getattr(new_settings, name)
            for name in differing & _RELOADABLE_FIELDS
        }
        self._current = attrs.evolve(self._current, **changed)
        _logs.log(
            "settings:read",
            changed=sorted(changed),
            need_restart=sorted(differing - _RELOADABLE_FIELDS),
        )


class SettingsFile:
    """A settings file that may be replaced while the node runs."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._signature = self._read_signature()

    def has_changed(self) -> bool:
        """Return whether the file was replaced since the last call.

        False if it can't be read now.
        """
        signature = self._read_signature()
        if signature is None or signature == self._signature:
            return False
        self._signature = signature
        return True

    def _read_signature(self) -> tuple[int, int, int] | None:
        try:
            stat = self._path.stat()
        except OSError as error:
            # It may be in the middle of a replacement; the next call finds it.
            _logs.log("settings:unreadable", problems=str(error))
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
