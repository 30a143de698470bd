"""The operators' client; the command line is built on it."""

import typing
import urllib.parse

import peridotsill
import peridotsill.exceptions

from peridotsill_operators import _routes
from peridotsill_operators import exceptions

_ERRORS: dict[int, type[exceptions.OperatorError]] = {
    404: exceptions.NotFound,
    409: exceptions.VersionConflict,
    412: exceptions.VersionConflict,
    410: exceptions.TooOld,
}


def _quoted(name: str) -> str:
    return urllib.parse.quote(name, safe="")


class OperatorClient:
    """Calls the resource interface of one node."""

    def __init__(
        self, *, address: str, token: str, timeout_seconds: float = 15.0
    ) -> None:
        self._client = peridotsill.JsonClient(
            base=f"http://{address}", token=token
        )
        self._address = address
        self._timeout_seconds = timeout_seconds

    def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        if_match: int | None = None,
        timeout_seconds: float | None = None,
    ) -> typing.Any:
        extra = {} if if_match is None else {"If-Match": f'"{if_match}"'}
        try:
            return self._client.call(
                method,
                path,
                body,
                timeout_seconds=timeout_seconds or self._timeout_seconds,
                extra_headers=extra,
            )
        except peridotsill.exceptions.PeerRefused as error:
            kind = _ERRORS.get(error.status, exceptions.Refused)
            raise kind(str(error.body.get("detail", error))) from error
        except peridotsill.exceptions.PeerUnavailable as error:
            raise exceptions.NodeUnreachable(
                f"the node at {self._address} does not answer"
            ) from error

    def list(self, kind: str) -> peridotsill.Scan:
        """Return all resources of a kind and the revision."""
        data = self._call("GET", f"/v1/resources/{_quoted(kind)}")
        return peridotsill.from_plain(data, peridotsill.Scan)

    def get(self, kind: str, name: str) -> peridotsill.Row:
        """Return one resource.

        Raises:
            NotFound: If there is none by this name.
        """
        path = f"/v1/resources/{_quoted(kind)}/{_quoted(name)}"
        return peridotsill.from_plain(self._call("GET", path), peridotsill.Row)

    def watch(
        self, kind: str, since: int, wait_seconds: float
    ) -> tuple[peridotsill.Change, ...]:
        """Wait for changes after a version.

        Raises:
            TooOld: If the changes since then are gone.
        """
        path = f"/v1/watch/{_quoted(kind)}?since={since}&wait={wait_seconds}"
        data = self._call(
            "GET", path, timeout_seconds=wait_seconds + self._timeout_seconds
        )
        return peridotsill.from_plain(
            data["changes"], tuple[peridotsill.Change, ...]
        )

    def apply(
        self,
        kind: str,
        name: str,
        document: object,
        *,
        if_match: int | None = None,
    ) -> _routes.Applied:
        """Create or replace a resource.

        Raises:
            VersionConflict: If it isn't at version ``if_match``.
        """
        path = f"/v1/resources/{_quoted(kind)}/{_quoted(name)}"
        return self._applied("PUT", path, document, if_match=if_match)

    def delete(
        self, kind: str, name: str, *, if_match: int | None = None
    ) -> _routes.Applied:
        """Delete a resource."""
        path = f"/v1/resources/{_quoted(kind)}/{_quoted(name)}"
        return self._applied("DELETE", path, None, if_match=if_match)

    def _applied(
        self,
        method: str,
        path: str,
        body: object,
        *,
        if_match: int | None = None,
    ) -> _routes.Applied:
        data = self._call(method, path, body, if_match=if_match)
        return peridotsill.from_plain(data, _routes.Applied)

    def apply_config(self, change: _routes.ConfigChange) -> _routes.Applied:
        """Put a configuration in force."""
        return self._applied("PUT", "/v1/config", change)

    def config(self) -> peridotsill.Config:
        """Return the configuration in force at the node."""
        data = self._call("GET", "/v1/config")
        return peridotsill.from_plain(data, peridotsill.Config)

    def config_history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration."""
        data = self._call("GET", "/v1/config/history")
        return peridotsill.from_plain(data, tuple[peridotsill.Config, ...])

    def move_vm(self, name: str, order: _routes.MoveOrder) -> _routes.Applied:
        """Start moving a VM."""
        return self._applied("POST", f"/v1/vms/{_quoted(name)}/move", order)

    def drain_vm(
        self, name: str, order: _routes.DrainOrder
    ) -> _routes.Applied:
        """Drain a VM, or end its drain."""
        return self._applied("POST", f"/v1/vms/{_quoted(name)}/drain", order)

    def set_wave(self, name: str, order: _routes.WaveOrder) -> _routes.Applied:
        """Change a wave's state."""
        return self._applied("POST", f"/v1/waves/{_quoted(name)}/state", order)

    def cancel_jobs(
        self, cancellation: _routes.Cancellation
    ) -> _routes.Applied:
        """Cancel jobs."""
        return self._applied("POST", "/v1/jobs/cancel", cancellation)

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Find the decisions about an id or subject."""
        data = self._call("GET", f"/v1/explain/{_quoted(subject)}")
        return peridotsill.from_plain(data, peridotsill.Explanation)

    def nodes(self) -> tuple[_routes.NodeStatus, ...]:
        """Return all nodes that the asked one knows."""
        data = self._call("GET", "/v1/nodes")
        return peridotsill.from_plain(data, tuple[_routes.NodeStatus, ...])
