"""The operators' client of a node; the command line uses it."""

import typing
import urllib.parse

import peridotsill
import peridotsill.exceptions

from peridotsill_operators import _routes
from peridotsill_operators import exceptions

_ERRORS_BY_STATUS: dict[int, type[exceptions.OperatorError]] = {
    404: exceptions.NotFound,
    409: exceptions.VersionConflict,
    412: exceptions.VersionConflict,
    410: exceptions.VersionTooOld,
}


def _url_quoted(name: str) -> str:
    return urllib.parse.quote(name, safe="")


class OperatorClient:
    """Calls the resource interface of one node.

    All methods raise an `OperatorError` if the node refuses the request or
    does not answer.
    """

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
        headers = {} if if_match is None else {"If-Match": f'"{if_match}"'}
        try:
            return self._client.call(
                method,
                path,
                body,
                timeout_seconds=timeout_seconds or self._timeout_seconds,
                extra_headers=headers,
            )
        except peridotsill.exceptions.PeerRefused as error:
            error_type = _ERRORS_BY_STATUS.get(
                error.status, exceptions.RequestRefused
            )
            raise error_type(str(error.body.get("detail", error))) from error
        except peridotsill.exceptions.PeerUnavailable as error:
            raise exceptions.NodeUnreachable(
                f"the node at {self._address} does not answer"
            ) from error

    def list(self, kind: str) -> peridotsill.Scan:
        """Return all resources of a kind, and the table's revision."""
        data = self._call("GET", f"/v1/resources/{_url_quoted(kind)}")
        return peridotsill.from_plain(data, peridotsill.Scan)

    def get(self, kind: str, name: str) -> peridotsill.Row:
        """Return one resource.

        Raises:
            NotFound: If it does not exist.
        """
        path = f"/v1/resources/{_url_quoted(kind)}/{_url_quoted(name)}"
        return peridotsill.from_plain(self._call("GET", path), peridotsill.Row)

    def watch(
        self, kind: str, since: int, wait_seconds: float
    ) -> tuple[peridotsill.Change, ...]:
        """Wait up to ``wait_seconds`` for changes after revision ``since``.

        The node waits at most 60 s. The result is empty if there are none.

        Raises:
            VersionTooOld: If the node no longer has all changes since then.
        """
        path = (
            f"/v1/watch/{_url_quoted(kind)}?since={since}&wait={wait_seconds}"
        )
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
    ) -> _routes.WriteResult:
        """Create or replace a resource.

        Raises:
            VersionConflict: If it is not at version ``if_match``, or its
                state forbids the change.
        """
        path = f"/v1/resources/{_url_quoted(kind)}/{_url_quoted(name)}"
        return self._write("PUT", path, document, if_match=if_match)

    def delete(
        self, kind: str, name: str, *, if_match: int | None = None
    ) -> _routes.WriteResult:
        """Delete a resource.

        Raises:
            VersionConflict: If it is not at version ``if_match``, or its
                state forbids the change.
        """
        path = f"/v1/resources/{_url_quoted(kind)}/{_url_quoted(name)}"
        return self._write("DELETE", path, None, if_match=if_match)

    def _write(
        self,
        method: str,
        path: str,
        body: object,
        *,
        if_match: int | None = None,
    ) -> _routes.WriteResult:
        data = self._call(method, path, body, if_match=if_match)
        return peridotsill.from_plain(data, _routes.WriteResult)

    def apply_config(
        self, change: _routes.ConfigChange
    ) -> _routes.WriteResult:
        """Replace the configuration, at most once per change id."""
        return self._write("PUT", "/v1/config", change)

    def config(self) -> peridotsill.Config:
        """Return the configuration that the node uses."""
        data = self._call("GET", "/v1/config")
        return peridotsill.from_plain(data, peridotsill.Config)

    def config_history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration, oldest first."""
        data = self._call("GET", "/v1/config/history")
        return peridotsill.from_plain(data, tuple[peridotsill.Config, ...])

    def move_vm(
        self, name: str, request: _routes.MoveRequest
    ) -> _routes.WriteResult:
        """Start moving a VM to another pool."""
        return self._write(
            "POST", f"/v1/vms/{_url_quoted(name)}/move", request
        )

    def drain_vm(
        self, name: str, request: _routes.DrainRequest
    ) -> _routes.WriteResult:
        """Drain a VM, or put it back in service."""
        return self._write(
            "POST", f"/v1/vms/{_url_quoted(name)}/drain", request
        )

    def set_wave_state(
        self, name: str, request: _routes.WaveStateRequest
    ) -> _routes.WriteResult:
        """Change a wave's state."""
        return self._write(
            "POST", f"/v1/waves/{_url_quoted(name)}/state", request
        )

    def cancel_jobs(
        self, request: _routes.CancelJobsRequest
    ) -> _routes.WriteResult:
        """Cancel jobs."""
        return self._write("POST", "/v1/jobs/cancel", request)

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Return the recorded decisions about an id or resource."""
        data = self._call("GET", f"/v1/explain/{_url_quoted(subject)}")
        return peridotsill.from_plain(data, peridotsill.Explanation)

    def nodes(self) -> tuple[_routes.NodeStatus, ...]:
        """Return the node and its live siblings."""
        data = self._call("GET", "/v1/nodes")
        return peridotsill.from_plain(data, tuple[_routes.NodeStatus, ...])
