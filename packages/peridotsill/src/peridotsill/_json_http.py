"""JSON over HTTP: a client for peers and the platform, and a WSGI app."""

import collections.abc
import hmac
import http
import http.client
import socket
import typing
import urllib.parse

import attrs
from cheroot import errors
import urllib3

from peridotsill import _bounded_connection
from peridotsill import _codec
from peridotsill import _limit_hits
from peridotsill import _memory_budget
from peridotsill import _response_limits
from peridotsill import exceptions

_KEEPALIVE_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 10000),
]

_READ_BYTES = 65536

_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


class JsonClient:
    """A client of one JSON peer with a pool of persistent connections.

    After a call that failed in transport, such as by a timeout, the whole
    pool is replaced: the other connections that were open then may be
    broken as well, so later calls open new ones.

    Args:
        base: URL that the paths are added to.
        token: Bearer token that is sent with each call, if any.
        connections: Largest number of connections that are kept.
        limits: Limits on the responses.
    """

    def __init__(
        self,
        *,
        base: str,
        token: str = "",
        connections: int = 64,
        limits: _response_limits.ResponseLimits | None = None,
    ) -> None:
        self._limits = limits or _response_limits.ResponseLimits.for_calls()
        self._base = base.rstrip("/")
        self._token = token
        self._connections = connections
        self._pool = self._new_pool()

    def _new_pool(self) -> urllib3.PoolManager:
        return _bounded_connection.pool_manager(
            header_bytes=self._limits.header_bytes,
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
        """Send one request and return the decoded JSON of its response.

        Raises:
            PeerUnavailable: If no usable response came in time.
            PeerRefused: If the response's status is 400 or above.
        """
        headers = {"Content-Type": "application/json"}
        headers.update(extra_headers or {})
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        payload = None if body is None else _codec.encode(body)
        pool = self._pool
        charge = self._limits.memory.charge()
        try:
            response = pool.request(
                method,
                f"{self._base}{path}",
                body=payload,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=min(1.0, timeout_seconds), total=timeout_seconds
                ),
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            content = self._read(response, charge)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            exceptions.MemoryBudgetExceeded,
        ) as error:
            # The budget says nothing about the other connections.
            if not isinstance(error, exceptions.MemoryBudgetExceeded):
                self._replace_pool(pool)
            raise exceptions.PeerUnavailable(
                f"{self._base}{path}: {type(error).__name__}",
                sent=not isinstance(error, _NOT_SENT_ERRORS),
                refused=isinstance(error.__cause__, ConnectionRefusedError),
            ) from error
        finally:
            charge.release()
        return decode_response(response.status, content)

    def _read(
        self,
        response: urllib3.BaseHTTPResponse,
        charge: _memory_budget.MemoryCharge,
    ) -> bytes:
        """Return a response's body; the time-out applies to the whole."""
        length = response.length_remaining
        try:
            if length is None:
                read = response.read1
            else:
                self._check_size(length)
                read = response.read
            content = self._read_parts(read, charge, response.connection)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return content

    def _read_parts(
        self,
        read: collections.abc.Callable[..., bytes],
        charge: _memory_budget.MemoryCharge,
        connection: object,
    ) -> bytes:
        # Charged as it arrives: a peer that declares a large body and sends
        # nothing would hold the budget otherwise.
        content = bytearray()
        while True:
            if isinstance(connection, _bounded_connection.BoundedConnection):
                connection.limit_part(_READ_BYTES)
            part = read(_READ_BYTES, decode_content=False)
            if not part:
                return bytes(content)
            self._check_size(len(content) + len(part))
            charge.add(len(part))
            content += part

    def _check_size(self, size: int) -> None:
        if size > self._limits.body_bytes:
            _limit_hits.record("response_bytes", self._base)
            raise OSError("the body of the response is too large")

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def _replace_pool(self, pool: urllib3.PoolManager) -> None:
        # Another thread's failed call may have replaced it already.
        if self._pool is pool:
            self._pool = self._new_pool()
            pool.clear()


def decode_response(status: int, content: bytes) -> typing.Any:
    """Return the decoded JSON of a response's body; ``{}`` if it is empty.

    Raises:
        PeerUnavailable: If the body is not JSON, whatever the status, or if
            the status is one of an interim response.
        PeerRefused: If the status is 400 or above.
    """
    if status < http.HTTPStatus.OK:
        raise exceptions.PeerUnavailable(f"no final answer: {status}")
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
    """A request as a route handler gets it.

    ``path_parameters`` are the values of the path's ``{}`` segments, in order.
    """

    path_parameters: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    if_match: str | None = None


class HttpProblem(exceptions.PeridotsillError):
    """Raised by a route handler to respond with an RFC 9457 problem.

    ``extra`` holds further members of the problem document.
    """

    def __init__(self, status: int, detail: str, **extra: object) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.extra = extra


RouteHandler = collections.abc.Callable[[typing.Any, JsonRequest], object]


class Routes:
    """A registry of handlers by method and path, filled by a decorator.

    A segment ``{}`` of a path matches any value.

    ```python
    routes = Routes()


    @routes.add("GET", "/vms/{}")
    def show(api: Api, request: JsonRequest) -> object:
        return api.vm(request.path_parameters[0])
    ```
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, tuple[str, ...], RouteHandler]] = []

    def add(
        self, method: str, path: str
    ) -> collections.abc.Callable[[RouteHandler], RouteHandler]:
        """Return a decorator that registers a handler for ``path``."""

        def register(handler: RouteHandler) -> RouteHandler:
            pattern = tuple(path.strip("/").split("/"))
            self._routes.append((method, pattern, handler))
            return handler

        return register

    def find(
        self, method: str, path: str
    ) -> tuple[RouteHandler, tuple[str, ...]]:
        """Return the handler for a path and the values of its ``{}`` segments.

        Raises:
            HttpProblem: With 404 if no route has this path, with 405 if
                one has it for other methods only.
        """
        segments = tuple(
            urllib.parse.unquote(part) for part in path.strip("/").split("/")
        )
        path_exists = False
        for known_method, pattern, handler in self._routes:
            path_parameters = _match_path(pattern, segments)
            if path_parameters is None:
                continue
            path_exists = True
            if known_method == method:
                return handler, path_parameters
        if path_exists:
            raise HttpProblem(405, f"{method} is not allowed on {path}")
        raise HttpProblem(404, f"nothing is served at {path}")


def _match_path(
    pattern: tuple[str, ...], segments: tuple[str, ...]
) -> tuple[str, ...] | None:
    if len(pattern) != len(segments):
        return None
    path_parameters = []
    for expected, actual in zip(pattern, segments):
        if expected == "{}":
            path_parameters.append(actual)
        elif expected != actual:
            return None
    return tuple(path_parameters)


class JsonApp:
    """A WSGI application that serves `Routes`.

    A handler's result is sent as JSON, or as Prometheus text if it is
    ``bytes``.

    Args:
        routes: The handlers.
        handler_context: Passed to each handler as its first argument.
        token: Bearer token that every request must carry; if it is empty,
            none is required.
    """

    def __init__(
        self, *, routes: Routes, handler_context: object, token: str = ""
    ) -> None:
        self._routes = routes
        self._handler_context = handler_context
        self._token = token

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> list[bytes]:
        try:
            status, result = 200, self._dispatch(environ)
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
        content_type = (
            "application/json"
            if status < 400
            else ("application/problem+json")
        )
        if isinstance(result, bytes):
            content_type, body = "text/plain; version=0.0.4", result
        else:
            body = _codec.encode(result)
        phrase = http.HTTPStatus(status).phrase
        start_response(
            f"{status} {phrase}",
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _dispatch(self, environ: dict[str, typing.Any]) -> object:
        self._check_token(environ.get("HTTP_AUTHORIZATION", ""))
        path = environ["PATH_INFO"]
        handler, path_parameters = self._routes.find(
            environ["REQUEST_METHOD"], path
        )
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        request = JsonRequest(
            path_parameters=path_parameters,
            query=query,
            body=read_body(environ),
            if_match=environ.get("HTTP_IF_MATCH"),
        )
        return handler(self._handler_context, request)

    def _check_token(self, header: str) -> None:
        if not self._token:
            return
        expected = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(expected, header.encode()):
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
    """Read a request's complete body.

    Raises:
        HttpProblem: With 400 if it is malformed or shorter than its
            ``Content-Length``, 408 if it took too long, 413 if it is too
            large, and 503 if there is no memory or thread for it now. The
            request was not run.
    """
    try:
        return _read_body(environ)
    except errors.MaxSizeExceeded as error:
        raise _body_problem(413, "the body is too large") from error
    except (
        exceptions.MemoryBudgetExceeded,
        exceptions.TooManySlowClients,
    ) as error:
        raise _body_problem(503, str(error)) from error
    except TimeoutError as error:
        _limit_hits.record("body_seconds")
        raise _body_problem(408, "the body took too long") from error
    except (ValueError, OSError) as error:
        raise _body_problem(400, f"the body is broken: {error}") from error


def _body_problem(status: int, detail: str) -> HttpProblem:
    return HttpProblem(status, detail, ran="no")


def _read_body(environ: dict[str, typing.Any]) -> bytes:
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return bytes(stream.read())
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = bytes(stream.read(length)) if length else b""
    if len(body) < length:
        raise _body_problem(
            400, f"the body broke off after {len(body)} of {length} bytes"
        )
    return body
