"""Bounds leases that calls for a runner's former lifetime may have granted.

A runner that starts again under its id takes calls that were meant for its
former lifetime. The end of a lease in such a call is a time on the former
clock, so on the new one, which began anew, the lease is as long as the
platform allows. It holds for everything that runs there, also for runs that
were started properly since.
"""

import collections.abc
import typing

from peridotsill_jobs import _clock

if typing.TYPE_CHECKING:
    from peridotsill_jobs import _late_starts
    from peridotsill_jobs import _workers

# A call that got no answer is taken to be executed within this time, if at
# all. It also allows for the difference of two clocks' times of day.
LATE_CALL_SECONDS = 12.0
# On a runner's clock a second lasts at most this many of ours.
_MAX_CLOCK_SLOWNESS = 1.03


def longest_lease_seconds(max_lease_seconds: float) -> float:
    """Return how long a lease by a former lifetime's clock may last.

    Args:
        max_lease_seconds: The platform's longest lease of a run.
    """
    return max_lease_seconds * _MAX_CLOCK_SLOWNESS


def effect_seconds(max_lease_seconds: float) -> float:
    """Return for how long from its sending a call may act in this way.

    Args:
        max_lease_seconds: The platform's longest lease of a run.
    """
    return LATE_CALL_SECONDS + longest_lease_seconds(max_lease_seconds)


def estimate_start(lifetime: int) -> float:
    """Return when a lifetime began, in seconds of the monotonic clock.

    Calls for a former lifetime were sent before. Example: one that began 4 s
    ago by the time of day began at 996 if the monotonic clock is at 1,000. One
    that is to begin yet by the time of day begins now.

    Args:
        lifetime: The Unix millisecond at which it began; 0 if not known.
    """
    age_seconds = (_clock.unix_ms() - lifetime) / 1000.0
    return _clock.monotonic_seconds() - max(0.0, age_seconds)


def lease_seconds(
    worker: "_workers.Worker", max_lease_seconds: float
) -> float:
    """Return how long leases by a former lifetime's clock may still last.

    Calls of this scheduler for the former lifetime had come to the present
    one when it took over, if at all, but for those without an answer.

    Args:
        worker: The runner.
        max_lease_seconds: The platform's longest lease of a run.

    Returns:
        The seconds, negative if there is no such lease any more.
    """
    answered_calls_end_at = worker.took_over_at + longest_lease_seconds(
        max_lease_seconds
    )
    latest_call_at = max(
        worker.began_at,
        worker.former_poll_at,
        worker.late_starts.newest_until(worker.took_over_at),
    )
    late_calls_end_at = latest_call_at + effect_seconds(max_lease_seconds)
    now = _clock.monotonic_seconds()
    return max(answered_calls_end_at, late_calls_end_at) - now


def start_seconds(
    worker: "_workers.Worker", max_lease_seconds: float
) -> float:
    """Return how long runs may last whose starts reach the next lifetime.

    Args:
        worker: The runner.
        max_lease_seconds: The platform's longest lease of a run.

    Returns:
        The seconds, negative if all starts were answered, or long ago.
    """
    placed = tuple(worker.placed.values())
    if any(worker.link.may_have_begun(each.name, each.run) for each in placed):
        return effect_seconds(max_lease_seconds)
    return open_seconds(
        worker.late_starts, (each.id for each in placed), max_lease_seconds
    )


def open_seconds(
    late_starts: "_late_starts.LateStarts",
    runs: collections.abc.Iterable["_late_starts.RunId"],
    max_lease_seconds: float,
) -> float:
    """Return how long runs may last by what is known of their starts.

    Args:
        late_starts: The unanswered starts of their runner.
        runs: The runs.
        max_lease_seconds: The platform's longest lease of a run.

    Returns:
        The seconds, negative if all starts were answered, or long ago.
    """
    newest_at = max(
        (late_starts.unanswered_at(each) for each in runs),
        default=float("-inf"),
    )
    ends_at = newest_at + effect_seconds(max_lease_seconds)
    return ends_at - _clock.monotonic_seconds()


def may_last(
    late_starts: "_late_starts.LateStarts",
    run: "_late_starts.RunId",
    max_lease_seconds: float,
) -> bool:
    """Tell whether a run may last whose start got no answer."""
    return open_seconds(late_starts, (run,), max_lease_seconds) > 0


def affected_runs(
    worker: "_workers.Worker", max_lease_seconds: float
) -> list["_workers.PlacedTask"]:
    """Return the runs that may go on by calls for a former lifetime.

    These are all runs while the present lifetime may have got such calls,
    and else those whose starts may reach the next one yet.

    Args:
        worker: The runner.
        max_lease_seconds: The platform's longest lease of a run.
    """
    runs = [*worker.placed.values(), *worker.abandoned.values()]
    if lease_seconds(worker, max_lease_seconds) >= 0:
        return runs
    return [
        each
        for each in runs
        if may_last(worker.late_starts, each.id, max_lease_seconds)
    ]
