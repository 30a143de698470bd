"""Parses and validates a request from a WSGI environment."""

import math
import time
import typing

import cheroot.errors
import peridotsill

from peridotsill_callers import exceptions

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_METHODS = _IDEMPOTENT_METHODS | {"POST", "PATCH"}
_MAX_KEY_CHARACTERS = 255
_MAX_TIMEOUT_SECONDS = 86400.0
# Headers that are not forwarded to the upstream.
_NOT_FORWARDED_HEADERS = frozenset(
    {"Idempotency-Key", "Request-Timeout", "Expect", "Peridotsill-Ran"}
)


def parse_request(
    environ: dict[str, typing.Any],
    *,
    request_id: str,
    default_timeout_seconds: float,
) -> peridotsill.Request:
    """Read a request and its whole body.

    Raises:
        BadRequest: If it is invalid or can't be read; nothing was run.
    """
    started_at = time.monotonic()
    method = environ["REQUEST_METHOD"]
    if method not in _METHODS:
        raise _bad_request(405, f"{method} is not allowed")
    headers = _headers(environ)
    header_values = {header.name: header.value for header in headers}
    timeout = _timeout_seconds(
        header_values.get("Request-Timeout"), default_timeout_seconds
    )
    return peridotsill.Request(
        id=request_id,
        service=_service_name(environ),
        method=method,
        target=environ["REQUEST_URI"],
        headers=tuple(
            header
            for header in headers
            if header.name not in _NOT_FORWARDED_HEADERS
        ),
        body=_read_body(environ),
        idempotent=_is_idempotent(header_values, method),
        deadline=started_at + timeout,
        idempotency_key=_idempotency_key(header_values.get("Idempotency-Key")),
        priority=_request_class(header_values.get("Peridotsill-Class")),
    )


def _bad_request(status: int, detail: str) -> exceptions.BadRequest:
    return exceptions.BadRequest(
        peridotsill.Problem(
            status=status, title="Request refused", detail=detail
        )
    )


def _headers(
    environ: dict[str, typing.Any],
) -> tuple[peridotsill.Header, ...]:
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            header_name = name[5:].replace("_", "-").title()
            headers.append(peridotsill.Header(name=header_name, value=value))
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(
            peridotsill.Header(name="Content-Type", value=content_type)
        )
    return tuple(headers)


def _service_name(environ: dict[str, typing.Any]) -> str:
    name = environ["PATH_INFO"].lstrip("/").partition("/")[0]
    if not name:
        raise _bad_request(404, "the path names no service")
    return str(name)


def _timeout_seconds(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise _bad_request(
            400,
            f"Request-Timeout: {text!r} is not between 0 and"
            f" {_MAX_TIMEOUT_SECONDS:.0f} seconds",
        )
    return seconds


def _is_idempotent(header_values: dict[str, str], method: str) -> bool:
    text = header_values.get("Peridotsill-Idempotent")
    if text is None:
        return method in _IDEMPOTENT_METHODS
    if text not in ("true", "false"):
        raise _bad_request(400, "Peridotsill-Idempotent: say true or false")
    return text == "true"


def _idempotency_key(text: str | None) -> str | None:
    if text is None:
        return None
    if not 0 < len(text) <= _MAX_KEY_CHARACTERS:
        raise _bad_request(
            400,
            f"Idempotency-Key: needs 1 to {_MAX_KEY_CHARACTERS} characters",
        )
    return text


def _request_class(text: str | None) -> peridotsill.RequestClass:
    if text is None:
        return peridotsill.RequestClass.INTERACTIVE
    try:
        return peridotsill.RequestClass(text)
    except ValueError:
        known = ", ".join(peridotsill.RequestClass)
        raise _bad_request(
            400, f"Peridotsill-Class: {text!r} is none of {known}"
        ) from None


def _read_body(environ: dict[str, typing.Any]) -> bytes:
    try:
        return peridotsill.read_body(environ)
    except peridotsill.HttpProblem as problem:
        raise _bad_request(problem.status, problem.detail) from problem
    except cheroot.errors.MaxSizeExceeded as error:
        raise _bad_request(413, "the body is too large") from error
    except TimeoutError as error:
        raise _bad_request(408, "the body took too long") from error
    except (ValueError, OSError) as error:
        raise _bad_request(400, f"the body is broken: {error}") from error
