"""Errors of the platform's clients."""

import peridotsill.exceptions


class PlatformError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class TableUnavailable(PlatformError):
    """The table did not answer; what was asked has certainly not run."""


class HistoryGone(PlatformError):
    """The changes since the wanted revision are not kept any more."""


class OutcomeUnknown(PlatformError):
    """A commit may have taken effect, or may still do so."""


class Conflict(PlatformError):
    """A commit's check failed, so that nothing of it was written.

    ``keys`` are the rows whose version differed.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__("changed meanwhile: " + ", ".join(keys))
        self.keys = keys


class StoreUnavailable(PlatformError):
    """The object store did not answer."""


class ListUnavailable(PlatformError):
    """The list of VMs could not be read."""


class TaskUnavailable(PlatformError):
    """A worker or VM command got no answer; it may have taken effect."""


class TaskRefused(PlatformError):
    """The platform refused a worker or VM command."""
