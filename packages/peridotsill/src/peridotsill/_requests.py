"""A caller's request and the possible responses to it."""

import collections.abc
import time

import attrs

from peridotsill import _codec


class RequestClass(_codec.TextEnum):
    """Priority class of a request."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class Ran(_codec.TextEnum):
    """Whether an upstream executed a request that was refused or failed."""

    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Header:
    """One header field of a request or a response."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class Request:
    """A complete request from a caller.

    ``deadline`` is in seconds of the monotonic clock.
    """

    id: str
    service: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent: bool
    deadline: float
    idempotency_key: str | None = None
    priority: RequestClass = RequestClass.INTERACTIVE

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the request's deadline."""
        return self.deadline - time.monotonic()


@attrs.frozen(kw_only=True)
class Problem:
    """A refusal or error, sent as an RFC 9457 problem document."""

    status: int
    title: str
    detail: str
    ran: Ran = Ran.NO
    retry_after_seconds: float | None = None
    problems: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Answer:
    """A complete response, or the start of a streamed one.

    If ``rest`` is set, it yields what follows ``body`` and raises if the
    upstream ends the stream early. ``length`` is the upstream's
    ``Content-Length``, or None if it is not known; it is used for streamed
    answers and for answers to HEAD requests.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    rest: collections.abc.Iterator[bytes] | None = None
    length: int | None = None
