"""Fits what a holder of the lease hands over into the lease's row."""

from peridotsill_jobs import _lease

# What the row holds beside the waits, and what each wait takes beside the
# name of its runner.
_OTHER_BYTES = 1024
_BYTES_PER_WAIT = 32


def fit_waits(
    waits: _lease.LeaseExpiryWaits,
    *,
    max_bytes: int,
    longest_lease_seconds: float,
) -> dict[str, float]:
    """Return waits that fit in a row, of which none is too short.

    The shortest are kept. Runners without an entry are waited for by the
    longest lease, or for longer under `_lease.OTHER_RUNNERS`.

    Example: with room for one, ``{"a": 0.5, "b": 1.0, "c": 9.0}`` becomes
    ``{"a": 0.5, "": 9.0}`` if the longest lease is 3.9 s.

    Args:
        waits: The seconds to wait for each runner.
        max_bytes: The size of the row.
        longest_lease_seconds: How long a lease that was granted just now may
            last.
    """
    room = max_bytes - _OTHER_BYTES
    fitting: dict[str, float] = {}
    other_seconds = waits.get(_lease.OTHER_RUNNERS, 0.0)
    for runner, seconds in sorted(waits.items(), key=lambda item: item[1]):
        if runner == _lease.OTHER_RUNNERS:
            continue
        room -= len(runner.encode()) + _BYTES_PER_WAIT
        if room >= 0:
            fitting[runner] = seconds
        else:
            other_seconds = max(other_seconds, seconds)
    if other_seconds > longest_lease_seconds:
        fitting[_lease.OTHER_RUNNERS] = other_seconds
    return fitting
