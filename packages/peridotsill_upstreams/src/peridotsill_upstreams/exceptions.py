"""What can go wrong between a node and a runner."""

import peridotsill.exceptions


class UpstreamError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors.

    ``fresh`` tells whether the connection was new; only then does the
    failure count against the upstream.
    """

    def __init__(self, message: str, *, fresh: bool = True) -> None:
        super().__init__(message)
        self.fresh = fresh


class NotSent(UpstreamError):
    """No byte of the request left; it has certainly not run."""


class RefusedUnrun(UpstreamError):
    """The upstream refused the request before running it."""


class NoAnswer(UpstreamError):
    """Bytes left and no whole answer came; it may have run."""


class Silent(NoAnswer):
    """No byte of an answer came in the time given."""


class BadAnswer(NoAnswer):
    """An answer came that is truncated, malformed or not this request's."""


class TooManyConnections(UpstreamError):
    """This node's share of the runner's connections is in use."""
