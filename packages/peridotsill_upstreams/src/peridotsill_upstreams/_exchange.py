"""Sends one request to one runner and reads its answer."""

import collections.abc
import http.client
import time
import typing

import attrs
import peridotsill
import urllib3
import urllib3.connection

from peridotsill_upstreams import _connections
from peridotsill_upstreams import exceptions

REQUEST_ID_HEADER = "Peridotsill-Request-Id"
RAN_HEADER = "Peridotsill-Ran"
LEAVING_HEADER = "Peridotsill-Leaving"

_MAX_BUFFERED_BYTES = 256 * 1024
_CHUNK_BYTES = 64 * 1024
# Of the line before a part of the body, and of trailers.
_MAX_FRAMING_BYTES = 256 * 1024
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
_BODYLESS_STATUSES = frozenset({204, 304})


@attrs.frozen(kw_only=True)
class SendOptions:
    """Time-outs of a request, and whether it needs a new connection.

    ``reused_timeout_seconds`` bounds the wait for the answer's start on a
    reused connection, ``fresh_timeout_seconds`` on a new one. If ``fresh``
    is set, no idle connection is reused.
    """

    fresh: bool
    reused_timeout_seconds: float
    fresh_timeout_seconds: float


@attrs.frozen(kw_only=True)
class Exchange:
    """An answer, with what is known about its connection and VM.

    ``fresh`` tells whether the connection was new, ``leaving`` whether the
    VM announced that it leaves. ``seconds`` is the time until the answer,
    or its buffered start, was read.
    """

    answer: peridotsill.Answer
    fresh: bool
    leaving: bool
    seconds: float


def send(
    pool: _connections.ConnectionPool,
    request: peridotsill.Request,
    options: SendOptions,
) -> Exchange:
    """Send a request once and return its answer.

    An answer shorter than 256 KiB is read whole. The rest of a longer one is
    read as the caller consumes it, and the connection is kept until then.
    Reading the rest may raise ``BadAnswer``.

    Raises:
        NotSent: If no byte of the request was sent.
        TooManyConnections: If no connection came free before the
            deadline; no byte was sent.
        RefusedBeforeRun: If the upstream answered with an error and said
            that it did not run the request.
        AnswerIncomplete: If no complete and valid answer came; the request
            may have run.
    """
    started = time.monotonic()
    checkout = pool.connection(
        fresh=options.fresh, timeout_seconds=request.remaining_seconds
    )
    connection = checkout.__enter__()
    keep_open = False
    try:
        response = _send_and_receive(connection, request, options)
        _check_request_id(response, connection, request, pool)
        buffered, rest = _read_buffered(response, connection, request)
        keep_open = rest is not None
    finally:
        if not keep_open:
            checkout.__exit__(None, None, None)
    _check_refusal(response, connection)
    if rest is not None:
        rest = _return_connection_after(rest, checkout)
    return Exchange(
        answer=_make_answer(response, buffered, rest),
        fresh=connection.fresh,
        leaving=response.headers.get(LEAVING_HEADER) == "true",
        seconds=time.monotonic() - started,
    )


def _send_and_receive(
    connection: _connections.Connection,
    request: peridotsill.Request,
    options: SendOptions,
) -> urllib3.BaseHTTPResponse:
    answer_timeout_seconds = options.reused_timeout_seconds
    if connection.fresh:
        answer_timeout_seconds = options.fresh_timeout_seconds
    timeout_seconds = min(answer_timeout_seconds, request.remaining_seconds)
    if timeout_seconds <= 0:
        raise exceptions.NotSent(
            "the deadline has passed", fresh=connection.fresh
        )
    connection.raw.timeout = timeout_seconds
    try:
        _write(connection, request)
        response = connection.raw.getresponse()
    except TimeoutError as error:
        raise exceptions.AnswerTimedOut(
            f"silent for {timeout_seconds:.2f} s", fresh=connection.fresh
        ) from error
    except (
        urllib3.exceptions.HTTPError,
        http.client.HTTPException,
        OSError,
        ValueError,
    ) as error:
        raise exceptions.AnswerIncomplete(
            f"broke off: {type(error).__name__}", fresh=connection.fresh
        ) from error
    _check_headers(response, connection, request)
    return response


def _write(
    connection: _connections.Connection, request: peridotsill.Request
) -> None:
    headers = {
        header.name: header.value
        for header in request.headers
        if header.name.lower() not in _HOP_BY_HOP_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.id
    headers["Content-Length"] = str(len(request.body))
    connection.raw.request(
        request.method,
        request.target,
        body=request.body or None,
        headers=headers,
        preload_content=False,
        decode_content=False,
    )


def _check_headers(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
    request: peridotsill.Request,
) -> None:
    lengths = set(response.headers.getlist("Content-Length"))
    chunked = "Transfer-Encoding" in response.headers
    if len(lengths) > 1 or (lengths and chunked):
        raise exceptions.BadAnswer(
            "contradicting lengths", fresh=connection.fresh
        )
    if lengths and not next(iter(lengths)).isdigit():
        raise exceptions.BadAnswer("bad length", fresh=connection.fresh)
    if _has_body(response, request) and not lengths and not chunked:
        raise exceptions.BadAnswer(
            "neither length nor chunks, so it can't be told whole",
            fresh=connection.fresh,
        )


def _check_request_id(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
    request: peridotsill.Request,
    pool: _connections.ConnectionPool,
) -> None:
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed == request.id:
        pool.echoes_request_ids = True
        return
    # A runner that echoes request ids does so in every answer. Another id,
    # or none, shows that the answer belongs to another request, such as an
    # earlier one on this connection.
    if echoed is not None or pool.echoes_request_ids:
        raise exceptions.BadAnswer(
            f"the answer is for {echoed or 'another request'}",
            fresh=connection.fresh,
        )


def _has_body(
    response: urllib3.BaseHTTPResponse, request: peridotsill.Request
) -> bool:
    return (
        request.method != "HEAD" and response.status not in _BODYLESS_STATUSES
    )


def _read_buffered(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
    request: peridotsill.Request,
) -> tuple[bytes, collections.abc.Iterator[bytes] | None]:
    if not _has_body(response, request):
        _set_reusable(response, connection)
        return b"", None
    stream = _chunks(response, connection, request)
    chunks: list[bytes] = []
    size = 0
    for chunk in stream:
        chunks.append(chunk)
        size += len(chunk)
        if size >= _MAX_BUFFERED_BYTES:
            return b"".join(chunks), stream
    return b"".join(chunks), None


def _chunks(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
    request: peridotsill.Request,
) -> collections.abc.Iterator[bytes]:
    stream = response.stream(_CHUNK_BYTES, decode_content=False)
    while True:
        connection.raw.bounded_socket.limit_reads(
            seconds=max(request.remaining_seconds, 0.001),
            size=_CHUNK_BYTES + _MAX_FRAMING_BYTES,
        )
        try:
            chunk = next(stream, None)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            ValueError,
        ) as error:
            raise exceptions.BadAnswer(
                f"truncated: {type(error).__name__}", fresh=connection.fresh
            ) from error
        if chunk is None:
            break
        yield chunk
    _set_reusable(response, connection)


def _set_reusable(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
) -> None:
    connection_header = response.headers.get("Connection", "").lower()
    connection.reusable = (
        "close" not in connection_header and response.version != 10
    )


def _check_refusal(
    response: urllib3.BaseHTTPResponse,
    connection: _connections.Connection,
) -> None:
    refused_before_run = response.headers.get(RAN_HEADER) == "no"
    if refused_before_run and response.status >= 400:
        raise exceptions.RefusedBeforeRun(
            f"refused with {response.status}", fresh=connection.fresh
        )


def _make_answer(
    response: urllib3.BaseHTTPResponse,
    buffered: bytes,
    rest: collections.abc.Iterator[bytes] | None,
) -> peridotsill.Answer:
    headers = tuple(
        peridotsill.Header(name=name, value=value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )
    length = response.headers.get("Content-Length")
    return peridotsill.Answer(
        status=response.status,
        headers=headers,
        body=buffered,
        rest=rest,
        length=int(length) if length is not None else None,
    )


def _return_connection_after(
    stream: collections.abc.Iterator[bytes],
    checkout: typing.ContextManager[_connections.Connection],
) -> collections.abc.Iterator[bytes]:
    try:
        yield from stream
    finally:
        checkout.__exit__(None, None, None)
