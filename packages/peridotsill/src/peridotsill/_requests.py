"""A caller's request and the answers it can get."""

import collections.abc
import time

import attrs

from peridotsill import _codec


class RequestClass(_codec.TextEnum):
    """Priority class of a request."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class Ran(_codec.TextEnum):
    """Whether a refused request ran at an upstream."""

    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Header:
    """One header field of a request or an answer."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class Request:
    """A whole request, as taken from a caller.

    ``deadline`` is on the monotonic clock, in seconds.
    """

    id: str
    service: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent: bool
    deadline: float
    key: str | None = None
    priority: RequestClass = RequestClass.INTERACTIVE

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the caller stops waiting."""
        return self.deadline - time.monotonic()


@attrs.frozen(kw_only=True)
class Problem:
    """A refusal or error, as RFC 9457 writes it."""

    status: int
    title: str
    detail: str
    ran: Ran = Ran.NO
    retry_after_seconds: float | None = None
    problems: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer, or the start of a streamed one.

    If ``rest`` is set, it yields what follows ``body`` and raises if the
    upstream breaks off; ``length`` is then the declared size in bytes, or
    None if it isn't known.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    rest: collections.abc.Iterator[bytes] | None = None
    length: int | None = None
