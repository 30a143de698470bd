"""What the scheduler follows: submitted jobs, runners and VMs."""

import collections.abc
import threading

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _following
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import exceptions

# A wait for submissions ends after this time without one; it bounds how
# long a silent connection hides them.
_WAIT_SECONDS = 0.6
# Period of reading the registry: a third of the time in which a draining
# runner must get no more work, less the way of the change.
_REGISTRY_SECONDS = 0.4
# Period of reading the list of VMs; a VM is gone for at least 1.5 seconds.
_VMS_SECONDS = 0.7


@attrs.frozen(kw_only=True)
class JobRows:
    """Changed rows of submitted jobs."""

    rows: tuple[peridotsill.Row, ...]


@attrs.frozen(kw_only=True)
class RegistrySeen:
    """All runners in the registry."""

    entries: tuple[_ports.RunnerEntry, ...]
    asked_at: float


@attrs.frozen(kw_only=True)
class VmsSeen:
    """All VMs of the list."""

    vms: tuple[_ports.VmRecord, ...]
    asked_at: float


Post = collections.abc.Callable[[JobRows | RegistrySeen | VmsSeen], None]


class Feeds:
    """Three threads that post what they see until they are stopped."""

    def __init__(self, *, ports: _ports.PlatformPorts, post: Post) -> None:
        self._ports = ports
        self._post = post
        self._stopped = threading.Event()

    def start_jobs(self, revision: int) -> None:
        """Follow submissions from a revision on."""
        threading.Thread(
            target=self._follow_jobs, args=(revision,), daemon=True
        ).start()

    def start_fleet(self) -> None:
        """Follow runners and VMs."""
        for run in (self._read_registry, self._read_vms):
            threading.Thread(target=run, daemon=True).start()

    def stop(self) -> None:
        """End the threads after their current calls."""
        self._stopped.set()

    def _follow_jobs(self, revision: int) -> None:
        _following.follow(
            _following.Following(
                table=self._ports.table,
                name=_records.JOBS,
                prefix=f"{_records.JOBS}/",
                wait_seconds=_WAIT_SECONDS,
                take=self._take_jobs,
                failed=_log_jobs_unread,
                revision=revision,
            ),
            self._stopped,
        )

    def _take_jobs(self, followed: _following.Followed) -> None:
        # Jobs are cancelled by a write; their rows are never deleted.
        if followed.rows:
            self._post(JobRows(rows=followed.rows))

    def _read_registry(self) -> None:
        prefix = f"{self._ports.keys.registry}//"
        while not self._stopped.is_set():
            asked_at = _clock.awake_seconds()
            match self._ports.table.scan((prefix,)):
                case result.Success(scan):
                    found = map(self._ports.documents.runner, scan.rows)
                    entries = tuple(each for each in found if each)
                    self._post(
                        RegistrySeen(entries=entries, asked_at=asked_at)
                    )
                case result.Failure(error):
                    _logs.log("registry:scan_failed", reason=str(error))
            self._stopped.wait(_REGISTRY_SECONDS)

    def _read_vms(self) -> None:
        while not self._stopped.is_set():
            asked_at = _clock.awake_seconds()
            try:
                vms = self._ports.vms.list_vms()
            except exceptions.FleetError as error:
                _logs.log("vms:list_failed", reason=str(error))
            else:
                self._post(VmsSeen(vms=vms, asked_at=asked_at))
            self._stopped.wait(_VMS_SECONDS)


def _log_jobs_unread(error: Exception) -> None:
    _logs.log("jobs:watch_failed", reason=str(error))
