"""Errors raised or returned by the clients of the platform."""

import peridotsill.exceptions


class PlatformError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class TableUnavailable(PlatformError):
    """A read failed, or a commit was refused or not sent: nothing written."""


class CommitRejected(PlatformError):
    """The table rejects a transaction as invalid; nothing was written.

    An example is a row that is too large. The same transaction is rejected
    each time, so it must not be repeated as it is.
    """


class HistoryGone(PlatformError):
    """The table no longer keeps the changes since a revision."""


class OutcomeUnknown(PlatformError):
    """A commit may have been applied, or may still be."""


class Conflict(PlatformError):
    """A commit's check failed, and none of its writes were applied.

    ``keys`` are the keys of the rows whose version was not the expected one.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__(
            "rows changed since they were read: " + ", ".join(keys)
        )
        self.keys = keys


class StoreUnavailable(PlatformError):
    """The object store did not answer, or refused the call."""


class VmListUnavailable(PlatformError):
    """The list of VMs could not be read."""


class CommandUnanswered(PlatformError):
    """A worker or VM command got no usable answer.

    It may have been executed.
    """


class CommandRefused(PlatformError):
    """The platform refused a worker or VM command."""
