"""What the link to a runner posts to the scheduler."""

import attrs
import peridotsill

from peridotsill_jobs import _ports


class OrderResult(peridotsill.TextEnum):
    """What came of an order."""

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class OrderOutcome:
    """The end of one order.

    ``at`` is when the answer came, in steady seconds; ``clean`` tells
    that no earlier try of the order may still be carried out.
    """

    runner: str
    lifetime: int
    name: _ports.TaskName
    run: int
    is_start: bool
    result: OrderResult
    reason: str
    at: float
    clean: bool


@attrs.frozen(kw_only=True)
class Looked:
    """A runner's report and when it was asked for, in steady seconds."""

    runner: str
    lifetime: int
    asked_at: float
    report: _ports.RunnerReport
