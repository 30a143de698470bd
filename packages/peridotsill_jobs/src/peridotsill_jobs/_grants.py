"""A runner's clock as the scheduler knows it, and the leases granted by it."""

from peridotsill_jobs import _clock
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports

# A runner gets new leases for this long after its last answer: one wait
# for an end, and the way.
_TRUSTED_SECONDS = 1.6
# After this time without the lease no leases of runs are extended any
# more, so that a new scheduler knows when they have run out. With the
# lease's own time and the last grant, runs outlive 10 seconds without the
# table.
LOOK_WITHOUT_LEASE_SECONDS = 6.0
# Runs are leased for this part of the longest lease: a margin for clocks.
_LEASE_PART = 0.9
# The longest lease that is asked for: a wait for an end and a takeover fit,
# and what a lost runner held is soon started elsewhere.
_LEASE_SECONDS = 3.8
# Runners' clocks may be slow by this factor.
_CLOCK_FACTOR = 0.98


def lapse_seconds(longest: float, *, given_back: bool) -> float:
    """Return how long the last holder's leases of runs may last yet.

    Args:
        longest: The platform's longest lease, in seconds.
        given_back: Whether the holder gave up its own lease in order, and
            grants none since; else it may have gone on for a while.
    """
    granted = _granted_seconds(longest) / _CLOCK_FACTOR
    return granted + (0.0 if given_back else LOOK_WITHOUT_LEASE_SECONDS)


def _granted_seconds(longest: float) -> float:
    """Return the lease that a look grants, given the platform's longest."""
    return min(_LEASE_SECONDS, longest * _LEASE_PART)


class Grants:
    """Leases of runs on one lifetime of a runner, by the runner's clock.

    The runner's clock is known from its last answer. Example: it said
    5,000 ms one second ago, so a lease of 3.8 s granted now ends at 9,800.

    Args:
        lease: The scheduler's own lease.
        max_lease_seconds: The platform's longest lease of a run.
    """

    def __init__(
        self, *, lease: _lease.Lease, max_lease_seconds: float
    ) -> None:
        self._lease = lease
        self._lease_seconds = _granted_seconds(max_lease_seconds)
        # The runner's clock and when it was told. One value, as the
        # scheduler's thread reads what the loop's thread writes.
        self._told: tuple[float, float] = (0.0, float("-inf"))
        self._lease_until_ms = 0.0

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a look of this scheduler."""
        return self._told[1] > float("-inf")

    @property
    def silent_seconds(self) -> float:
        """How long ago the last look was answered; infinite before it."""
        return _clock.awake_seconds() - self._told[1]

    @property
    def lapsed(self) -> bool:
        """Whether every lease that was granted has certainly run out.

        Never of a runner that has answered lately: it may still be given
        new leases.
        """
        if not self.reached or self.silent_seconds <= _TRUSTED_SECONDS:
            return False
        return self.seconds_left <= 0

    @property
    def seconds_left(self) -> float:
        """How long the leases that were granted so far may last yet."""
        clock_ms, told_at = self._told
        passed = (_clock.awake_seconds() - told_at) * 1000.0
        now_ms = clock_ms + passed * _CLOCK_FACTOR
        return (self._lease_until_ms - now_ms) / 1000.0 / _CLOCK_FACTOR

    def extend(self) -> float | None:
        """Grant a lease; return its end on the runner's clock.

        None if the runner has not answered lately: what is sent to it may
        still arrive, and the leases of what it lost would never run out.
        None too when the lease was given back: the next holder counts on it.
        """
        if not self.reached or self.silent_seconds > _TRUSTED_SECONDS:
            return None
        if self._lease.lost:
            return None
        clock_ms, told_at = self._told
        passed = (_clock.awake_seconds() - told_at) * 1000.0
        until = clock_ms + passed + self._lease_seconds * 1000.0
        self._lease_until_ms = max(self._lease_until_ms, until)
        return float(int(until))

    def answered(self, report: _ports.RunnerReport) -> None:
        """Take the clock of a report that has just come."""
        if not self.reached:
            # An earlier scheduler granted what runs there its lease.
            granted = self._lease_seconds * 1000.0 if report.running else 0.0
            self._lease_until_ms = report.clock_ms + granted
        self._told = (report.clock_ms, _clock.awake_seconds())
