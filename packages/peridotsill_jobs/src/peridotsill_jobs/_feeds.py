"""Feeds of the scheduler: submitted jobs, runners and VMs."""

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

# A watch returns after this time without a change; this bounds how long a
# connection that stopped responding hides submissions and cancellations.
_WATCH_TIMEOUT_SECONDS = 0.6
# Period of reading the registry: a third of the time after which a draining
# runner must get no more work, less the time a change takes to arrive.
_REGISTRY_POLL_SECONDS = 0.4
# How long a snapshot of the registry may be relied on for starts. It is less
# than the time for which a runner still takes what it has said before.
_REGISTRY_VALID_SECONDS = 3.0
# Period of reading the list of VMs. A VM is absent for at least 1.5 seconds,
# so every absence is seen.
_VM_POLL_SECONDS = 0.7
# Shortest time between two reads of it.
_MIN_VM_POLL_SECONDS = 0.1
# How far the list of VMs may lag behind the answer to a move, or behind the
# registry. The duration of a move is not waited for, because a repeated
# command for a move that is already done is answered at once.
VM_LIST_LAG_SECONDS = 0.3


@attrs.frozen(kw_only=True)
class JobRowsChanged:
    """Changed rows of submitted jobs."""

    rows: tuple[peridotsill.Row, ...]


@attrs.frozen(kw_only=True)
class RegistrySnapshot:
    """All runners in the registry, read at ``requested_at``.

    ``unreadable_ids`` are those of entries that name no runner to use;
    ``runner_ids`` are those of all entries.
    """

    entries: tuple[_ports.RunnerEntry, ...]
    requested_at: float
    received_at: float = attrs.field()
    unreadable_ids: frozenset[str] = frozenset()
    runner_ids: frozenset[str] = attrs.field(init=False)

    @received_at.default
    def _not_later(self) -> float:
        return self.requested_at

    @runner_ids.default
    def _all_ids(self) -> frozenset[str]:
        return self.unreadable_ids | {entry.id for entry in self.entries}

    @property
    def valid_until(self) -> float:
        """When it becomes too old for starts, in monotonic seconds."""
        return self.requested_at + _REGISTRY_VALID_SECONDS


@attrs.frozen(kw_only=True)
class RegistryReadFailed:
    """The registry could not be read."""


@attrs.frozen(kw_only=True)
class VmListSnapshot:
    """All VMs listed by the VM service, read at ``requested_at``."""

    vms: tuple[_ports.VmRecord, ...]
    requested_at: float


PostEvent = collections.abc.Callable[
    [JobRowsChanged | RegistrySnapshot | RegistryReadFailed | VmListSnapshot],
    None,
]


class Feeds:
    """Three threads that post changes and snapshots until stopped."""

    def __init__(
        self, *, ports: _ports.PlatformPorts, post: PostEvent
    ) -> None:
        self._ports = ports
        self._post = post
        self._stopped = threading.Event()
        self._vm_list_requested = threading.Event()
        self._latest_registry: RegistrySnapshot | None = None

    @property
    def latest_registry(self) -> RegistrySnapshot | None:
        """The newest snapshot, which may not have been handled yet."""
        return self._latest_registry

    @property
    def _registry_prefix(self) -> str:
        return f"{self._ports.keys.registry}//"

    def start_following_jobs(self, revision: int) -> None:
        """Start following submissions from a revision of the table."""
        threading.Thread(
            target=self._follow_jobs, args=(revision,), daemon=True
        ).start()

    def start_polling(self) -> None:
        """Start polling the registry and the list of VMs."""
        for poll, wait in (
            (self._poll_registry, self._wait_for_registry_poll),
            (self._poll_vms, self._wait_for_vm_poll),
        ):
            threading.Thread(
                target=self._repeat, args=(poll, wait), daemon=True
            ).start()

    def request_vm_list(self) -> None:
        """Read the list of VMs soon, rather than after the usual period."""
        self._vm_list_requested.set()

    def stop(self) -> None:
        """Stop the threads after their current calls."""
        self._stopped.set()
        self._vm_list_requested.set()

    def _follow_jobs(self, revision: int) -> None:
        _following.follow(
            _following.Subscription(
                table=self._ports.table,
                name=_records.JOBS,
                prefix=f"{_records.JOBS}/",
                wait_seconds=_WATCH_TIMEOUT_SECONDS,
                on_update=self._post_job_rows,
                on_failure=_log_watch_failure,
                revision=revision,
            ),
            self._stopped,
        )

    def _post_job_rows(self, update: _following.TableUpdate) -> None:
        # Cancelling a job writes its row; only tombstones are deleted.
        if update.rows:
            self._post(JobRowsChanged(rows=update.rows))

    def _repeat(
        self,
        poll: collections.abc.Callable[[], None],
        wait: collections.abc.Callable[[], object],
    ) -> None:
        while not self._stopped.is_set():
            try:
                poll()
            except Exception:
                # Without this thread the scheduler would know no more of
                # its runners, and go on.
                _logs.log_traceback("feed:failed")
            wait()

    def _poll_registry(self) -> None:
        requested_at = _clock.monotonic_seconds()
        match self._ports.table.scan((self._registry_prefix,)):
            case result.Success(scan):
                received_at = _clock.monotonic_seconds()
                snapshot = self._decode_registry(
                    scan.rows, requested_at, received_at
                )
                self._latest_registry = snapshot
                self._post(snapshot)
            case result.Failure(error):
                _logs.log("registry:scan_failed", reason=str(error))
                self._post(RegistryReadFailed())

    def _decode_registry(
        self,
        rows: tuple[peridotsill.Row, ...],
        requested_at: float,
        received_at: float,
    ) -> RegistrySnapshot:
        entries: list[_ports.RunnerEntry] = []
        unreadable_ids: set[str] = set()
        for row in rows:
            entry = self._ports.documents.runner(row)
            if entry is None:
                unreadable_ids.add(row.key.removeprefix(self._registry_prefix))
            else:
                entries.append(entry)
        return RegistrySnapshot(
            entries=tuple(entries),
            requested_at=requested_at,
            received_at=received_at,
            unreadable_ids=frozenset(unreadable_ids),
        )

    def _poll_vms(self) -> None:
        self._vm_list_requested.clear()
        requested_at = _clock.monotonic_seconds()
        try:
            vms = self._ports.vms.list_vms()
        except exceptions.VmServiceError as error:
            _logs.log("vms:list_failed", reason=str(error))
        else:
            self._post(VmListSnapshot(vms=vms, requested_at=requested_at))

    def _wait_for_registry_poll(self) -> None:
        self._stopped.wait(_REGISTRY_POLL_SECONDS)

    def _wait_for_vm_poll(self) -> None:
        self._stopped.wait(_MIN_VM_POLL_SECONDS)
        self._vm_list_requested.wait(_VM_POLL_SECONDS - _MIN_VM_POLL_SECONDS)


def _log_watch_failure(error: Exception) -> None:
    _logs.log("jobs:watch_failed", reason=str(error))
