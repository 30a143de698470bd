"""Clients of the platform's object store, VM list and worker tasks."""

import base64

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_platform import exceptions


class VmPhase(peridotsill.TextEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedVm:
    """A VM in the platform's list, which lags behind its real state."""

    name: str
    address: str
    domain: str
    rack: str
    phase: VmPhase = VmPhase.LIVE
    cores: float = 32.0
    memory_gib: float = 64.0
    accelerators: int = 0


@attrs.frozen(kw_only=True)
class TaskOrder:
    """An order to start a task on a VM.

    It is safe to repeat: a second order with the same ``id`` starts no
    second task. ``resume_from`` is the fraction of the work, 0 to 1, that a
    checkpoint already holds.
    """

    id: str
    vm: str
    cores: float
    memory_gib: float
    accelerators: int
    run_seconds: float
    lease_seconds: float
    resume_from: float = 0.0


class TaskPhase(peridotsill.TextEnum):
    """State of a task on its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class TaskStatus:
    """A worker's report on a task; the usage in it may be out of date.

    ``progress`` is the finished fraction, 0 to 1, or -1 if not reported.
    """

    id: str
    vm: str
    phase: TaskPhase
    progress: float = -1.0
    used_cores: float = 0.0
    used_memory_gib: float = 0.0
    checkpoint: float = 0.0


class ObjectStore:
    """Client of the platform's object store."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def put(self, name: str, content: bytes) -> None:
        """Store ``content`` under ``name``.

        Raises:
            StoreUnavailable: If the store did not confirm the write.
        """
        text = base64.b64encode(content).decode()
        self._call("/objects/put", {"name": name, "content": text})

    def get(self, name: str) -> bytes | None:
        """Return the content of ``name``, or None if there is none.

        Raises:
            StoreUnavailable: If the store did not answer, or refused the
                call.
        """
        data = self._call("/objects/get", {"name": name})
        content = data.get("content")
        return None if content is None else base64.b64decode(str(content))

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names that start with ``prefix``, sorted.

        Raises:
            StoreUnavailable: If the store did not answer, or refused the
                call.
        """
        data = self._call("/objects/list", {"prefix": prefix})
        names = data.get("names")
        return tuple(names) if isinstance(names, list) else ()

    def _call(self, path: str, body: object) -> dict[str, object]:
        try:
            data = self._client.call(
                "POST", path, body, timeout_seconds=self._timeout_seconds
            )
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.StoreUnavailable(str(error)) from error
        return data if isinstance(data, dict) else {}


class VmList:
    """Client of the platform's list of live and leaving VMs.

    The list lags behind the real state of the VMs.
    """

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def read(self) -> tuple[ListedVm, ...]:
        """Return all VMs of the list.

        Raises:
            VmListUnavailable: If it can't be read.
        """
        try:
            data = self._client.call(
                "GET", "/vms", timeout_seconds=self._timeout_seconds
            )
            return peridotsill.from_plain(data, tuple[ListedVm, ...])
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.VmListUnavailable(str(error)) from error


class Workers:
    """Sends commands to VMs and to the tasks on them; all are idempotent."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def reboot(self, vm: str, operation: str) -> None:
        """Reboot a VM, at most once for each operation id.

        Raises:
            CommandUnanswered: If the platform gave no JSON answer.
            CommandRefused: If the platform refused the command.
        """
        self._call(f"/vms/{vm}/reboot", {"operation": operation})

    def start(self, order: TaskOrder) -> TaskStatus:
        """Start a task and return its status.

        If a task with this id was started before, its status is returned.

        Raises:
            CommandUnanswered: If the platform gave no JSON answer.
            CommandRefused: If the platform refused the command.
            InvalidResource: If the answer holds no valid status.
        """
        data = self._call(f"/vms/{order.vm}/tasks", order)
        return peridotsill.from_plain(data, TaskStatus)

    def renew(
        self, ids: tuple[str, ...], lease_seconds: float
    ) -> tuple[TaskStatus, ...]:
        """Extend task leases and return the tasks' statuses.

        Raises:
            CommandUnanswered: If the platform gave no JSON answer.
            CommandRefused: If the platform refused the command.
            InvalidResource: If the answer holds no valid status.
        """
        body = {"ids": ids, "lease_seconds": lease_seconds}
        data = self._call("/tasks/renew", body)
        return peridotsill.from_plain(data, tuple[TaskStatus, ...])

    def stop(
        self, ids: tuple[str, ...], *, checkpoint: bool = False
    ) -> tuple[TaskStatus, ...]:
        """Stop tasks; with ``checkpoint``, each writes a checkpoint first.

        Raises:
            CommandUnanswered: If the platform gave no JSON answer.
            CommandRefused: If the platform refused the command.
            InvalidResource: If the answer holds no valid status.
        """
        body = {"ids": ids, "checkpoint": checkpoint}
        data = self._call("/tasks/stop", body)
        return peridotsill.from_plain(data, tuple[TaskStatus, ...])

    def _call(self, path: str, body: object) -> object:
        try:
            return self._client.call(
                "POST", path, body, timeout_seconds=self._timeout_seconds
            )
        except peridotsill.exceptions.PeerRefused as error:
            raise exceptions.CommandRefused(str(error)) from error
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.CommandUnanswered(str(error)) from error
