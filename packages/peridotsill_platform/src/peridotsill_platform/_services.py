"""Clients of the platform's object store, VM list and worker tasks."""

import base64

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_platform import exceptions


class VmPhase(peridotsill.TextEnum):
    """What the list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedVm:
    """A VM as the platform's lagging list shows it."""

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
    """A task to start on a VM; its ``id`` makes repeats safe.

    ``resume_from`` is the part, 0 to 1, that a checkpoint holds already.
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
    """State of a task at its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    ABSENT = "absent"


@attrs.frozen(kw_only=True)
class TaskStatus:
    """What a worker reports of a task; usage lags behind.

    ``progress`` is the finished part, 0 to 1, or -1 if not reported.
    """

    id: str
    vm: str
    phase: TaskPhase
    progress: float = -1.0
    used_cores: float = 0.0
    used_memory_gib: float = 0.0
    checkpoint: float = 0.0


class ObjectStore:
    """Keeps named byte strings."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def put(self, name: str, content: bytes) -> None:
        """Store ``content`` under ``name``.

        Raises:
            StoreUnavailable: If the store did not confirm it.
        """
        text = base64.b64encode(content).decode()
        self._call("/objects/put", {"name": name, "content": text})

    def get(self, name: str) -> bytes | None:
        """Return the content of ``name``, or None.

        Raises:
            StoreUnavailable: If the store did not answer.
        """
        data = self._call("/objects/get", {"name": name})
        content = data.get("content")
        return None if content is None else base64.b64decode(str(content))

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names below ``prefix``, sorted.

        Raises:
            StoreUnavailable: If the store did not answer.
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
    """The platform's lagging list of live and leaving VMs."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def read(self) -> tuple[ListedVm, ...]:
        """Return the list as it stands.

        Raises:
            ListUnavailable: If it can't be read.
        """
        try:
            data = self._client.call(
                "GET", "/vms", timeout_seconds=self._timeout_seconds
            )
            return peridotsill.from_plain(data, tuple[ListedVm, ...])
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.ListUnavailable(str(error)) from error


class Workers:
    """Commands to VMs and to the tasks on them; all safe to repeat."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def reboot(self, vm: str, operation: str) -> None:
        """Reboot a VM; an operation id that was seen does nothing.

        Raises:
            TaskUnavailable: If the platform did not answer.
            TaskRefused: If it refused.
        """
        self._call(f"/vms/{vm}/reboot", {"operation": operation})

    def start(self, order: TaskOrder) -> TaskStatus:
        """Start a task, or return the status of the one with its id.

        Raises:
            TaskUnavailable: If the platform did not answer.
            TaskRefused: If it refused.
        """
        data = self._call(f"/vms/{order.vm}/tasks", order)
        return peridotsill.from_plain(data, TaskStatus)

    def renew(
        self, ids: tuple[str, ...], lease_seconds: float
    ) -> tuple[TaskStatus, ...]:
        """Extend task leases and return the tasks' statuses.

        Raises:
            TaskUnavailable: If the platform did not answer.
            TaskRefused: If it refused.
        """
        body = {"ids": ids, "lease_seconds": lease_seconds}
        data = self._call("/tasks/renew", body)
        return peridotsill.from_plain(data, tuple[TaskStatus, ...])

    def stop(
        self, ids: tuple[str, ...], *, checkpoint: bool = False
    ) -> tuple[TaskStatus, ...]:
        """Stop tasks, with a checkpoint first if wanted.

        Raises:
            TaskUnavailable: If the platform did not answer.
            TaskRefused: If it refused.
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
            raise exceptions.TaskRefused(str(error)) from error
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.TaskUnavailable(str(error)) from error
