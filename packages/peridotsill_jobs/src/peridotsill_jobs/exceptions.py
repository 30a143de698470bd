"""Errors of the job service and of the ports that it calls."""

import peridotsill.exceptions


class JobsError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class RunnerError(JobsError):
    """Base of the errors of calls to a runner."""


class RunnerUnavailable(RunnerError):
    """A runner did not answer.

    ``sent`` is false if the call certainly never reached it; else it may
    have been carried out, or may be later.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class OrderRefused(RunnerError):
    """A runner refused an order and did nothing; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Fenced(RunnerError):
    """A runner or the VM service has seen a newer scheduler."""


class WrongLifetime(RunnerError):
    """The call was meant for another lifetime of the runner."""


class FleetError(JobsError):
    """Base of the errors of the VM service."""


class FleetUnavailable(FleetError):
    """The VM service did not answer; the call may have taken effect."""


class FleetBusy(FleetError):
    """The VM is not up, or its runner is leaving; nothing was done."""


class FleetRefused(FleetError):
    """The VM service refused the call for good."""


class AdviceUnavailable(JobsError):
    """The placement advisor did not answer."""


class RowsUnreadable(JobsError):
    """The table did not answer, so its rows can't be shown."""
