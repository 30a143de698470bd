"""Tells how long leases of runs last that earlier schedulers granted."""

import collections.abc

from peridotsill_jobs import _clock
from peridotsill_jobs import _grants
from peridotsill_jobs import _lease

# A runner has this long to answer a new scheduler that knows its address,
# also if its leases have expired by then: it may tell how its runs ended.
_FIRST_ANSWER_SECONDS = 2.5

_LogFields = dict[str, float | bool]


class InheritedLeases:
    """Leases of runs on runners that have not answered this scheduler.

    Example: the last holder of the scheduler's lease released it and left a
    wait of 2 s for runner ``i-1``. Half a second after the takeover
    ``seconds_left("i-1", 10.0)`` is 1.5.

    Args:
        waits: The seconds to wait for each runner that the last holder of
            the lease left when it released it; None if it left none.
        get_grants_end: Returns when no earlier holder grants leases of runs
            any more, in seconds of `_clock.monotonic_seconds`. It may become
            earlier as more is known of them.
    """

    def __init__(
        self,
        *,
        waits: _lease.LeaseExpiryWaits | None = None,
        get_grants_end: collections.abc.Callable[[], float],
    ) -> None:
        self._waits = waits
        self._get_grants_end = get_grants_end
        self._taken_over_at = _clock.monotonic_seconds()

    @property
    def age_seconds(self) -> float:
        """Seconds since this scheduler took over."""
        return _clock.monotonic_seconds() - self._taken_over_at

    def answer_seconds_left(self, known_at: float) -> float:
        """Return for how long a runner may yet answer its first poll.

        A holder that left waits has left that time, too, with them.

        Args:
            known_at: Since when its address is known; infinite before that.
        """
        if self._waits is not None:
            return 0.0
        now = _clock.monotonic_seconds()
        return max(0.0, min(known_at, now) + _FIRST_ANSWER_SECONDS - now)

    def seconds_left(self, runner: str, max_lease_seconds: float) -> float:
        """Return how long leases of earlier holders may still last there.

        Negative once they have certainly expired.
        """
        wait_seconds = self._wait_seconds(runner, max_lease_seconds)
        return self._counted_from + wait_seconds - _clock.monotonic_seconds()

    def may_last(self, max_lease_seconds: float) -> bool:
        """Tell whether some earlier holder's lease may last yet."""
        runners = (_lease.OTHER_RUNNERS, *(self._waits or ()))
        return any(
            self.seconds_left(each, max_lease_seconds) >= 0 for each in runners
        )

    def describe(self, runner: str, max_lease_seconds: float) -> _LogFields:
        """Return what the wait for a runner is made of, for a log line.

        ``counted_from_seconds`` is relative to the takeover.
        """
        wait_seconds = self._wait_seconds(runner, max_lease_seconds)
        counted_from_seconds = self._counted_from - self._taken_over_at
        return {
            "wait_seconds": round(wait_seconds, 3),
            "counted_from_seconds": round(counted_from_seconds, 3),
            "waits_handed_over": self._waits is not None,
        }

    @property
    def _counted_from(self) -> float:
        if self._waits is not None:
            return self._taken_over_at
        return self._get_grants_end()

    def _wait_seconds(self, runner: str, max_lease_seconds: float) -> float:
        longest_seconds = _grants.longest_lease_seconds(max_lease_seconds)
        if self._waits is None:
            return longest_seconds
        other_seconds = self._waits.get(_lease.OTHER_RUNNERS, longest_seconds)
        return self._waits.get(runner, other_seconds)
