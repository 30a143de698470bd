"""Errors of requests from a node to a runner."""

import peridotsill.exceptions


class UpstreamError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors.

    ``fresh`` tells whether the connection was new. Only then does the
    failure count against the upstream, as a reused connection may have
    been dead before.
    """

    def __init__(self, message: str, *, fresh: bool = True) -> None:
        super().__init__(message)
        self.fresh = fresh


class NotSent(UpstreamError):
    """No byte of the request was sent, so it has not run."""


class RefusedBeforeRun(UpstreamError):
    """The upstream refused the request before running it."""


class AnswerIncomplete(UpstreamError):
    """No complete answer came to a request that was sent, even in part.

    The request may have run.
    """


class AnswerTimedOut(AnswerIncomplete):
    """The answer did not begin before the time-out."""


class BadAnswer(AnswerIncomplete):
    """The answer is truncated, malformed or belongs to another request."""


class TooManyConnections(UpstreamError):
    """All connections to the runner that this node may open are in use."""
