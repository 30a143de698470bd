"""The WSGI application that callers meet."""

import collections.abc
import http
import itertools
import math
import typing

import peridotsill

from peridotsill_callers import _parsing
from peridotsill_callers import exceptions

Outcome = peridotsill.Answer | peridotsill.Problem
Handler = collections.abc.Callable[[peridotsill.Request], Outcome]
StartResponse = collections.abc.Callable[..., typing.Any]
_Fields = list[tuple[str, str]]

_ID_HEADER = "Peridotsill-Request-Id"


class CallerApp:
    """Reads requests, has them handled, and writes whole answers.

    Args:
        node: Id of this node; it starts each request's id.
        handler: Decides about a request.
        is_ready: Tells the balancer whether to send requests here.
        default_timeout_seconds: Returns what holds without the header.
    """

    def __init__(
        self,
        *,
        node: str,
        handler: Handler,
        is_ready: collections.abc.Callable[[], str],
        default_timeout_seconds: collections.abc.Callable[[], float],
    ) -> None:
        self._node = node
        self._handler = handler
        self._is_ready = is_ready
        self._default_timeout_seconds = default_timeout_seconds
        self._numbers = itertools.count(1)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _plain(start_response, "200 OK", b"ok\n")
        if path == "/readyz":
            return self._readiness(start_response)
        request_id = f"{self._node}.r{next(self._numbers)}"
        try:
            request = _parsing.parse_request(
                environ,
                request_id=request_id,
                default_timeout_seconds=self._default_timeout_seconds(),
            )
        except exceptions.BadRequest as error:
            return _problem(start_response, error.problem, request_id)
        return self._answer(start_response, request)

    def _readiness(self, start_response: StartResponse) -> list[bytes]:
        reason = self._is_ready()
        if reason:
            return _plain(
                start_response,
                "503 Service Unavailable",
                f"{reason}\n".encode(),
            )
        return _plain(start_response, "200 OK", b"ready\n")

    def _answer(
        self, start_response: StartResponse, request: peridotsill.Request
    ) -> collections.abc.Iterable[bytes]:
        outcome = self._handler(request)
        if isinstance(outcome, peridotsill.Problem):
            return _problem(start_response, outcome, request.id)
        fields = [
            (header.name, header.value)
            for header in outcome.headers
            if header.name != _ID_HEADER
        ]
        fields.append((_ID_HEADER, request.id))
        length = outcome.length
        if outcome.rest is None:
            length = _whole_length(outcome, request)
        if length is not None:
            fields.append(("Content-Length", str(length)))
        start_response(_status_line(outcome.status), fields)
        if outcome.rest is None:
            return [outcome.body]
        return _stream(outcome)


def _whole_length(
    answer: peridotsill.Answer, request: peridotsill.Request
) -> int | None:
    if request.method == "HEAD":
        return answer.length
    if answer.status in (204, 304):
        return None
    return len(answer.body)


def _stream(answer: peridotsill.Answer) -> collections.abc.Iterator[bytes]:
    # An error from the upstream leaves through here; cheroot then closes
    # the connection, so that the caller sees the answer broken off.
    yield answer.body
    if answer.rest is not None:
        yield from answer.rest


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _plain(
    start_response: StartResponse, status: str, body: bytes
) -> list[bytes]:
    fields: _Fields = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, fields)
    return [body]


def _problem(
    start_response: StartResponse,
    problem: peridotsill.Problem,
    request_id: str,
) -> list[bytes]:
    data: dict[str, object] = {
        "type": "about:blank",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "ran": str(problem.ran),
        "request_id": request_id,
    }
    body = peridotsill.encode(data)
    fields: _Fields = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        (_ID_HEADER, request_id),
    ]
    if problem.retry_after_seconds is not None:
        seconds = max(1, math.ceil(problem.retry_after_seconds))
        fields.append(("Retry-After", str(seconds)))
    start_response(_status_line(problem.status), fields)
    return [body]
