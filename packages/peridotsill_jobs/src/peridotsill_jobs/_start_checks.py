"""Checks recorded starts against the registry before they are sent."""

import attrs

from peridotsill_jobs import _ports
from peridotsill_jobs import _workers


def why_not_to_send(
    worker: _workers.Worker, entry: _ports.RunnerEntry | None, now: float
) -> str:
    """Return why a start that was just recorded must not be sent.

    The commit may have taken so long that the runner has meanwhile said that
    it drains, or that it has less capacity. Empty if the start may be sent.

    Args:
        worker: The runner, with the start among its placed tasks.
        entry: The runner's entry in the newest registry; None if it has none.
        now: Seconds of the monotonic clock.
    """
    if entry is None or entry.lifetime != worker.lifetime:
        return "not in the registry"
    if entry.state is _ports.RunnerState.DRAINING:
        return "draining"
    current = attrs.evolve(worker, entry=entry)
    if not current.view(now).has_nonnegative_room:
        return "its capacity has shrunk"
    return ""
