"""JSON over HTTP between the project's own processes and the platform."""

import collections.abc
import hmac
import http
import socket
import typing
import urllib.parse

import attrs
import urllib3

from peridotsill import _codec
from peridotsill import exceptions

_KEEPALIVE_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 10000),
]

_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class JsonClient:
    """Calls one JSON peer over kept connections.

    A call that runs into its timeout closes its connection; the calls
    after it open new ones for ``distrust`` of all that were open before.
    """

    def __init__(
        self, *, base: str, token: str = "", connections: int = 64
    ) -> None:
        self._base = base.rstrip("/")
        self._token = token
        self._connections = connections
        self._pool = self._new_pool()

    def _new_pool(self) -> urllib3.PoolManager:
        return urllib3.PoolManager(
            num_pools=4,
            maxsize=self._connections,
            retries=False,
            socket_options=_KEEPALIVE_OPTIONS,
        )

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timeout_seconds: float = 2.0,
        extra_headers: collections.abc.Mapping[str, str] | None = None,
    ) -> typing.Any:
        """Send one request and return the plain data of its answer.

        Raises:
            PeerUnavailable: If no whole answer came in time.
            PeerRefused: If the answer's status is 400 or above.
        """
        headers = {"Content-Type": "application/json"}
        headers.update(extra_headers or {})
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        payload = None if body is None else _codec.encode(body)
        pool = self._pool
        try:
            answer = pool.request(
                method,
                f"{self._base}{path}",
                body=payload,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=min(1.0, timeout_seconds), total=timeout_seconds
                ),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._distrust(pool)
            raise exceptions.PeerUnavailable(
                f"{self._base}{path}: {type(error).__name__}",
                sent=not isinstance(error, _NEVER_SENT),
            ) from error
        return answer_data(answer.status, answer.data)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.clear()

    def _distrust(self, pool: urllib3.PoolManager) -> None:
        if self._pool is pool:
            self._pool = self._new_pool()
            pool.clear()


def answer_data(status: int, content: bytes) -> typing.Any:
    """Return the plain data of a JSON answer.

    Raises:
        PeerUnavailable: If the content is not JSON.
        PeerRefused: If the status is 400 or above.
    """
    try:
        data = _codec.decode_plain(content) if content else {}
    except exceptions.InvalidResource as error:
        raise exceptions.PeerUnavailable("the answer is not JSON") from error
    if status >= http.HTTPStatus.BAD_REQUEST:
        body = data if isinstance(data, dict) else {"detail": str(data)}
        raise exceptions.PeerRefused(status, body)
    return data


@attrs.frozen(kw_only=True)
class JsonRequest:
    """What a route's function is given."""

    parts: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    if_match: str | None = None


class HttpProblem(exceptions.PeridotsillError):
    """Ends a JSON route with a problem answer."""

    def __init__(self, status: int, detail: str, **extra: object) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.extra = extra


Route = collections.abc.Callable[[typing.Any, JsonRequest], object]


class Routes:
    """A registry of functions by method and path, filled by a decorator.

    ```python
    routes = Routes()


    @routes.add("GET", "/vms/{}")
    def show(api: Api, request: JsonRequest) -> object:
        return api.vm(request.parts[0])
    ```
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, tuple[str, ...], Route]] = []

    def add(
        self, method: str, path: str
    ) -> collections.abc.Callable[[Route], Route]:
        """Return a decorator that serves ``path`` by its function."""

        def register(route: Route) -> Route:
            pattern = tuple(path.strip("/").split("/"))
            self._routes.append((method, pattern, route))
            return route

        return register

    def find(self, method: str, path: str) -> tuple[Route, tuple[str, ...]]:
        """Return the function for a path and the path's variable parts.

        Raises:
            HttpProblem: With 404 or 405 if there is none.
        """
        given = tuple(
            urllib.parse.unquote(part) for part in path.strip("/").split("/")
        )
        known = False
        for each, pattern, route in self._routes:
            parts = _match(pattern, given)
            if parts is None:
                continue
            known = True
            if each == method:
                return route, parts
        if known:
            raise HttpProblem(405, f"{method} is not allowed on {path}")
        raise HttpProblem(404, f"nothing is served at {path}")


def _match(
    pattern: tuple[str, ...], given: tuple[str, ...]
) -> tuple[str, ...] | None:
    if len(pattern) != len(given):
        return None
    parts = []
    for want, have in zip(pattern, given):
        if want == "{}":
            parts.append(have)
        elif want != have:
            return None
    return tuple(parts)


class JsonApp:
    """A WSGI application over `Routes`, guarded by a shared token."""

    def __init__(
        self, *, routes: Routes, target: object, token: str = ""
    ) -> None:
        self._routes = routes
        self._target = target
        self._token = token

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> list[bytes]:
        try:
            status, result = 200, self._run(environ)
        except HttpProblem as problem:
            status = problem.status
            result = _problem_body(status, problem.detail, problem.extra)
        except exceptions.InvalidResource as error:
            status = 400
            extra: dict[str, object] = {"problems": error.problems}
            result = _problem_body(status, str(error), extra)
        except exceptions.PeridotsillError as error:
            status = 503
            result = _problem_body(status, str(error), {})
        kind = (
            "application/json"
            if status < 400
            else ("application/problem+json")
        )
        if isinstance(result, bytes):
            kind, body = "text/plain; version=0.0.4", result
        else:
            body = _codec.encode(result)
        phrase = http.HTTPStatus(status).phrase
        start_response(
            f"{status} {phrase}",
            [("Content-Type", kind), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _run(self, environ: dict[str, typing.Any]) -> object:
        self._check_token(environ.get("HTTP_AUTHORIZATION", ""))
        path = environ["PATH_INFO"]
        route, parts = self._routes.find(environ["REQUEST_METHOD"], path)
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        request = JsonRequest(
            parts=parts,
            query=query,
            body=read_body(environ),
            if_match=environ.get("HTTP_IF_MATCH"),
        )
        return route(self._target, request)

    def _check_token(self, header: str) -> None:
        if not self._token:
            return
        want = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(want, header.encode()):
            raise HttpProblem(401, "the shared token is missing or wrong")


def _problem_body(
    status: int, detail: str, extra: dict[str, object]
) -> dict[str, object]:
    title = http.HTTPStatus(status).phrase
    return {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        **extra,
    }


def read_body(environ: dict[str, typing.Any]) -> bytes:
    """Read a request's whole body.

    Raises:
        HttpProblem: With 400 if it is shorter than declared.
    """
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return bytes(stream.read())
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = bytes(stream.read(length)) if length else b""
    if len(body) < length:
        raise HttpProblem(
            400, f"the body broke off after {len(body)} of {length} bytes"
        )
    return body
