"""Errors of the job service and of the platform ports it calls."""

import peridotsill.exceptions


class JobsError(peridotsill.exceptions.PeridotsillError):
    """Base class of this package's errors."""


class RunnerError(JobsError):
    """Base class of the errors of calls to a runner."""


class RunnerUnavailable(RunnerError):
    """A runner gave no usable answer.

    ``sent`` is false if the call certainly never reached the runner;
    otherwise it may have been executed, or may still be.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class OrderRefused(RunnerError):
    """A runner refused an order and changed nothing.

    ``reason`` is the runner's reason.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RunnerUnhealthy(OrderRefused):
    """A runner changed nothing, as it is unhealthy or has too much to do.

    So it has not taken note of the order either: after a refused stop, a
    start that was sent before it may still be executed.
    """


class StaleFencingToken(RunnerError):
    """The fencing token is older than one the callee has already seen."""


class CallOvertaken(RunnerError):
    """A runner did nothing, as a later call of this scheduler came first."""


class ConnectionRefused(RunnerUnavailable):
    """The runner's address refuses connections, or is not the runner's.

    The runner may live: a partition can refuse connections to it too. So
    what it runs may go on, and an earlier call may still be executed. An
    address at which another runner answers, and this one never has, shows
    no more than that.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class WrongLifetime(RunnerUnavailable):
    """Another lifetime answers at the runner's address.

    If the runner has answered there before, its process has ended, and with
    it all that it ran.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class VmServiceError(JobsError):
    """Base class of the VM service's errors."""


class VmServiceUnavailable(VmServiceError):
    """The VM service gave no usable answer.

    The call may have taken effect.
    """


class VmNotReady(VmServiceError):
    """The VM is not up, or its runner is leaving; nothing was changed."""


class VmCommandRefused(VmServiceError):
    """The VM service refused the call; a retry won't succeed."""


class AdviceUnavailable(JobsError):
    """The placement advisor gave no usable answer."""


class RowsUnreadable(JobsError):
    """The table did not answer, so its rows can't be read."""
