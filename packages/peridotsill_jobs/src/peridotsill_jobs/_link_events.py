"""Events that the link to a runner posts to the scheduler."""

import attrs
import peridotsill

from peridotsill_jobs import _ports


class OrderResult(peridotsill.TextEnum):
    """The result of an order; unknown if it may still be carried out."""

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class OrderOutcome:
    """The outcome of a start or a stop.

    ``answered_at`` is when the answer came, or the order was given up, in
    seconds of `_clock.monotonic_seconds`. ``no_attempt_in_flight`` tells that
    no unanswered attempt of the order may still be carried out, and
    ``is_from_another`` that another lifetime has answered, as its clock shows.
    """

    runner: str
    lifetime: int
    name: _ports.TaskName
    run: int
    is_start: bool
    result: OrderResult
    reason: str
    answered_at: float
    no_attempt_in_flight: bool
    is_from_another: bool = False

    @property
    def may_come_late(self) -> bool:
        """Whether an attempt that the lifetime didn't answer may be done."""
        return not self.no_attempt_in_flight or self.is_from_another


@attrs.frozen(kw_only=True)
class ReportReceived:
    """A runner's report.

    ``requested_at`` is when the poll was sent, in seconds of
    `_clock.monotonic_seconds`.
    """

    runner: str
    lifetime: int
    requested_at: float
    report: _ports.RunnerReport

    @property
    def is_from_another(self) -> bool:
        """Whether another lifetime than the one that was asked answered."""
        return self.report.lifetime not in (0, self.lifetime)


@attrs.frozen(kw_only=True)
class RunnerRefuses:
    """A runner's address has begun to refuse connections, or is not its own.

    ``reason`` is the error of the first call that was refused.
    """

    runner: str
    lifetime: int
    reason: str


@attrs.frozen(kw_only=True)
class RunnerFoundGone:
    """A call found that a runner's process has ended.

    ``evidence`` is the error that shows it. ``ended_at`` is when calls to it
    began to fail, in seconds of `_clock.monotonic_seconds`.
    """

    runner: str
    lifetime: int
    evidence: str
    ended_at: float


LinkEvent = OrderOutcome | ReportReceived | RunnerRefuses | RunnerFoundGone
