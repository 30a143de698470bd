"""From a WSGI environment to a checked request."""

import math
import time
import typing

import cheroot.errors
import peridotsill

from peridotsill_callers import exceptions

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_METHODS = _IDEMPOTENT_METHODS | {"POST", "PATCH"}
_MAX_KEY_LENGTH = 255
_MAX_TIMEOUT_SECONDS = 86400.0
_OWN_HEADERS = frozenset(
    {"Idempotency-Key", "Request-Timeout", "Expect", "Peridotsill-Ran"}
)


def parse_request(
    environ: dict[str, typing.Any],
    *,
    request_id: str,
    default_timeout_seconds: float,
) -> peridotsill.Request:
    """Read a whole request.

    Raises:
        BadRequest: If any part of it can't be taken; nothing has run.
    """
    started = time.monotonic()
    method = environ["REQUEST_METHOD"]
    if method not in _METHODS:
        raise _bad(405, f"{method} is not allowed")
    headers = _headers(environ)
    values = {header.name: header.value for header in headers}
    timeout = _timeout(values.get("Request-Timeout"), default_timeout_seconds)
    return peridotsill.Request(
        id=request_id,
        service=_service(environ),
        method=method,
        target=environ["REQUEST_URI"],
        headers=tuple(
            header for header in headers if header.name not in _OWN_HEADERS
        ),
        body=_body(environ),
        idempotent=_idempotent(values, method),
        deadline=started + timeout,
        key=_key(values.get("Idempotency-Key")),
        priority=_priority(values.get("Peridotsill-Class")),
    )


def _bad(status: int, detail: str) -> exceptions.BadRequest:
    return exceptions.BadRequest(
        peridotsill.Problem(
            status=status, title="Request refused", detail=detail
        )
    )


def _headers(
    environ: dict[str, typing.Any],
) -> tuple[peridotsill.Header, ...]:
    found = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            plain = name[5:].replace("_", "-").title()
            found.append(peridotsill.Header(name=plain, value=value))
    kind = environ.get("CONTENT_TYPE")
    if kind:
        found.append(peridotsill.Header(name="Content-Type", value=kind))
    return tuple(found)


def _service(environ: dict[str, typing.Any]) -> str:
    name = environ["PATH_INFO"].lstrip("/").partition("/")[0]
    if not name:
        raise _bad(404, "the path names no service")
    return str(name)


def _timeout(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise _bad(
            400,
            f"Request-Timeout: {text!r} is not between 0 and"
            f" {_MAX_TIMEOUT_SECONDS:.0f} seconds",
        )
    return seconds


def _idempotent(values: dict[str, str], method: str) -> bool:
    text = values.get("Peridotsill-Idempotent")
    if text is None:
        return method in _IDEMPOTENT_METHODS
    if text not in ("true", "false"):
        raise _bad(400, "Peridotsill-Idempotent: say true or false")
    return text == "true"


def _key(text: str | None) -> str | None:
    if text is None:
        return None
    if not 0 < len(text) <= _MAX_KEY_LENGTH:
        raise _bad(
            400, f"Idempotency-Key: needs 1 to {_MAX_KEY_LENGTH} characters"
        )
    return text


def _priority(text: str | None) -> peridotsill.RequestClass:
    if text is None:
        return peridotsill.RequestClass.INTERACTIVE
    try:
        return peridotsill.RequestClass(text)
    except ValueError:
        known = ", ".join(peridotsill.RequestClass)
        raise _bad(
            400, f"Peridotsill-Class: {text!r} is none of {known}"
        ) from None


def _body(environ: dict[str, typing.Any]) -> bytes:
    try:
        return peridotsill.read_body(environ)
    except peridotsill.HttpProblem as problem:
        raise _bad(problem.status, problem.detail) from problem
    except cheroot.errors.MaxSizeExceeded as error:
        raise _bad(413, "the body is too large") from error
    except TimeoutError as error:
        raise _bad(408, "the body took too long") from error
    except (ValueError, OSError) as error:
        raise _bad(400, f"the body is broken: {error}") from error
