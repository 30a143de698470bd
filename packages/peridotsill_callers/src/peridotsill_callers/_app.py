"""The WSGI application that serves callers."""

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
_HeaderFields = list[tuple[str, str]]

_REQUEST_ID_HEADER = "Peridotsill-Request-Id"


class CallerApp:
    """Parses requests, passes them to a handler and returns its answers.

    Args:
        node: Id of this node, the prefix of its request ids.
        handler: Returns the answer to a request, or a problem.
        unready_reason: Returns why load balancers should send no requests
            here, or an empty string if the node is ready.
        default_timeout_seconds: Returns the time-out of requests without a
            ``Request-Timeout`` header.
    """

    def __init__(
        self,
        *,
        node: str,
        handler: Handler,
        unready_reason: collections.abc.Callable[[], str],
        default_timeout_seconds: collections.abc.Callable[[], float],
    ) -> None:
        self._node = node
        self._handler = handler
        self._unready_reason = unready_reason
        self._default_timeout_seconds = default_timeout_seconds
        self._request_numbers = itertools.count(1)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _text_response(start_response, "200 OK", b"ok\n")
        if path == "/readyz":
            return self._readiness(start_response)
        request_id = f"{self._node}.r{next(self._request_numbers)}"
        try:
            request = _parsing.parse_request(
                environ,
                request_id=request_id,
                default_timeout_seconds=self._default_timeout_seconds(),
            )
        except exceptions.BadRequest as error:
            return _problem_response(start_response, error.problem, request_id)
        return self._respond(start_response, request)

    def _readiness(self, start_response: StartResponse) -> list[bytes]:
        reason = self._unready_reason()
        if reason:
            return _text_response(
                start_response,
                "503 Service Unavailable",
                f"{reason}\n".encode(),
            )
        return _text_response(start_response, "200 OK", b"ready\n")

    def _respond(
        self, start_response: StartResponse, request: peridotsill.Request
    ) -> collections.abc.Iterable[bytes]:
        outcome = self._handler(request)
        if isinstance(outcome, peridotsill.Problem):
            return _problem_response(start_response, outcome, request.id)
        fields = [
            (header.name, header.value)
            for header in outcome.headers
            if header.name != _REQUEST_ID_HEADER
        ]
        fields.append((_REQUEST_ID_HEADER, request.id))
        length = outcome.length
        if outcome.rest is None:
            length = _content_length(outcome, request)
        if length is not None:
            fields.append(("Content-Length", str(length)))
        start_response(_status_line(outcome.status), fields)
        if outcome.rest is None:
            return [outcome.body]
        return _stream(outcome)


def _content_length(
    answer: peridotsill.Answer, request: peridotsill.Request
) -> int | None:
    if request.method == "HEAD":
        return answer.length
    if answer.status in (204, 304):
        return None
    return len(answer.body)


def _stream(answer: peridotsill.Answer) -> collections.abc.Iterator[bytes]:
    # An error of the upstream propagates to cheroot, which closes the
    # connection, so that the caller can tell that the body is truncated.
    yield answer.body
    if answer.rest is not None:
        yield from answer.rest


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _text_response(
    start_response: StartResponse, status: str, body: bytes
) -> list[bytes]:
    fields: _HeaderFields = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, fields)
    return [body]


def _problem_response(
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
    fields: _HeaderFields = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        (_REQUEST_ID_HEADER, request_id),
    ]
    if problem.retry_after_seconds is not None:
        seconds = max(1, math.ceil(problem.retry_after_seconds))
        fields.append(("Retry-After", str(seconds)))
    start_response(_status_line(problem.status), fields)
    return [body]
