"""The HTTP routes of the resource interface for operators."""

import typing

import attrs
import peridotsill

routes = peridotsill.Routes()

_MAX_WATCH_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class NodeStatus:
    """State of a node, as the queried node knows it."""

    node: str
    domain: str
    ready: bool
    leaving: bool
    config_version: int
    revision: int


@attrs.frozen(kw_only=True)
class WriteResult:
    """Outcome of a write; ``changed`` is false if nothing was written.

    Nothing is written if the table already has the requested state or the
    request repeats an earlier one.
    """

    version: int
    changed: bool = True


@attrs.frozen(kw_only=True)
class ConfigChange:
    """A whole new configuration; applied at most once per ``change_id``."""

    change_id: str
    values: peridotsill.ConfigValues
    author: str = ""


@attrs.frozen(kw_only=True)
class MoveRequest:
    """Request to move a VM to another pool.

    ``operation`` is an id chosen by the operator; a repeated request with
    the same id has no further effect while the move is in progress.
    """

    target_pool: str
    operation: str


@attrs.frozen(kw_only=True)
class DrainRequest:
    """Request to drain a VM, or to put it back in service.

    ``drained`` is false to put it back in service. ``operation`` is an id
    chosen by the operator; a VM is put back in service with the id of the
    operation that drained it.
    """

    operation: str
    drained: bool = True


@attrs.frozen(kw_only=True)
class WaveStateRequest:
    """Request to set the state of a wave."""

    state: peridotsill.WaveState


@attrs.frozen(kw_only=True)
class CancelJobsRequest:
    """Request to cancel jobs, given by their names."""

    jobs: tuple[str, ...]


class OperatorBackend(typing.Protocol):
    """The operations that the routes call; the node implements them."""

    def view(self) -> peridotsill.TableView:
        """Return the node's local copy of the table."""

    def apply(
        self,
        kind: str,
        name: str,
        document: object,
        expected_version: int | None,
    ) -> WriteResult:
        """Create or replace a resource."""

    def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> WriteResult:
        """Delete a resource."""

    def apply_config(self, change: ConfigChange) -> WriteResult:
        """Replace the configuration, at most once per change id."""

    def config_history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration, oldest first."""

    def move_vm(self, name: str, request: MoveRequest) -> WriteResult:
        """Start moving a VM to another pool."""

    def drain_vm(self, name: str, request: DrainRequest) -> WriteResult:
        """Drain a VM, or put it back in service."""

    def set_wave_state(
        self, name: str, request: WaveStateRequest
    ) -> WriteResult:
        """Change a wave's state."""

    def cancel_jobs(self, request: CancelJobsRequest) -> WriteResult:
        """Cancel jobs."""

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Return the recorded decisions about an id or resource."""

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return this node and its live siblings."""

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""


def _if_match_version(request: peridotsill.JsonRequest) -> int | None:
    text = request.if_match
    if text is None:
        return None
    try:
        return int(text.strip('"'))
    except ValueError:
        raise peridotsill.HttpProblem(
            400, f"If-Match: {text!r} is not a version"
        ) from None


def _query_number(
    request: peridotsill.JsonRequest, name: str, default: float
) -> float:
    text = request.query.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < 2**53:
        raise peridotsill.HttpProblem(
            400, f"{name}: {text!r} is not a number in [0, 2**53)"
        )
    return number


def _checked_kind(name: str) -> str:
    if name not in peridotsill.RESOURCE_KINDS:
        known = ", ".join(peridotsill.RESOURCE_KINDS)
        raise peridotsill.HttpProblem(
            404, f"{name!r} is no kind of resource; there are {known}"
        )
    return name


def _backend(backend: object) -> OperatorBackend:
    return typing.cast(OperatorBackend, backend)


@routes.add("GET", "/v1/resources/{}")
def _list(backend: object, request: peridotsill.JsonRequest) -> object:
    kind = _checked_kind(request.path_parameters[0])
    view = _backend(backend).view()
    return {"rows": view.rows(f"{kind}/"), "revision": view.revision}


@routes.add("GET", "/v1/watch/{}")
def _watch(backend: object, request: peridotsill.JsonRequest) -> object:
    kind = _checked_kind(request.path_parameters[0])
    since = int(_query_number(request, "since", 0))
    wait = min(_query_number(request, "wait", 10), _MAX_WATCH_SECONDS)
    changes = _backend(backend).view().changes_since(since, f"{kind}/", wait)
    if changes is None:
        raise peridotsill.HttpProblem(
            410, f"changes since {since} are no longer kept; list again"
        )
    return {"changes": changes}


@routes.add("GET", "/v1/resources/{}/{}")
def _get(backend: object, request: peridotsill.JsonRequest) -> object:
    kind, name = (
        _checked_kind(request.path_parameters[0]),
        request.path_parameters[1],
    )
    row = _backend(backend).view().row(peridotsill.resource_key(kind, name))
    if row is None:
        raise peridotsill.HttpProblem(404, f"{kind}/{name} does not exist")
    return row


@routes.add("PUT", "/v1/resources/{}/{}")
def _apply(backend: object, request: peridotsill.JsonRequest) -> object:
    kind, name = (
        _checked_kind(request.path_parameters[0]),
        request.path_parameters[1],
    )
    document = peridotsill.decode_plain(request.body)
    return _backend(backend).apply(
        kind, name, document, _if_match_version(request)
    )


@routes.add("DELETE", "/v1/resources/{}/{}")
def _delete(backend: object, request: peridotsill.JsonRequest) -> object:
    kind, name = (
        _checked_kind(request.path_parameters[0]),
        request.path_parameters[1],
    )
    return _backend(backend).delete(kind, name, _if_match_version(request))


@routes.add("GET", "/v1/config")
def _config(backend: object, request: peridotsill.JsonRequest) -> object:
    return _backend(backend).view().config


@routes.add("PUT", "/v1/config")
def _put_config(backend: object, request: peridotsill.JsonRequest) -> object:
    change = peridotsill.decode(request.body, ConfigChange)
    return _backend(backend).apply_config(change)


@routes.add("GET", "/v1/config/history")
def _history(backend: object, request: peridotsill.JsonRequest) -> object:
    return _backend(backend).config_history()


@routes.add("POST", "/v1/vms/{}/move")
def _move(backend: object, request: peridotsill.JsonRequest) -> object:
    body = peridotsill.decode(request.body, MoveRequest)
    return _backend(backend).move_vm(request.path_parameters[0], body)


@routes.add("POST", "/v1/vms/{}/drain")
def _drain(backend: object, request: peridotsill.JsonRequest) -> object:
    body = peridotsill.decode(request.body, DrainRequest)
    return _backend(backend).drain_vm(request.path_parameters[0], body)


@routes.add("POST", "/v1/waves/{}/state")
def _set_wave_state(
    backend: object, request: peridotsill.JsonRequest
) -> object:
    body = peridotsill.decode(request.body, WaveStateRequest)
    return _backend(backend).set_wave_state(request.path_parameters[0], body)


@routes.add("POST", "/v1/jobs/cancel")
def _cancel(backend: object, request: peridotsill.JsonRequest) -> object:
    body = peridotsill.decode(request.body, CancelJobsRequest)
    return _backend(backend).cancel_jobs(body)


@routes.add("GET", "/v1/explain/{}")
def _explain(backend: object, request: peridotsill.JsonRequest) -> object:
    return _backend(backend).explain(request.path_parameters[0])


@routes.add("GET", "/v1/nodes")
def _nodes(backend: object, request: peridotsill.JsonRequest) -> object:
    return _backend(backend).nodes()


@routes.add("GET", "/metrics")
def _metrics(backend: object, request: peridotsill.JsonRequest) -> object:
    return _backend(backend).metrics()
