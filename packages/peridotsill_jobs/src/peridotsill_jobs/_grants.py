"""Leases of runs, granted on an estimate of the runner's clock."""

from peridotsill_jobs import _clock
from peridotsill_jobs import _earlier_grants
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports

# A runner gets new leases for this long after its last answer: one long
# poll, and the time that its answer takes to arrive.
_GRANT_WINDOW_SECONDS = 1.6
# Share of the platform's longest lease for which runs are leased; the rest
# is a margin for clock errors.
_MAX_LEASE_SHARE = 0.9
# The longest lease that is granted. A long poll and a takeover fit into it; a
# longer one would delay the tasks of a lost runner, which are started
# elsewhere only once it has expired.
_RUN_LEASE_SECONDS = 3.8
# Runners' clocks run at least at this rate, relative to the scheduler's.
_MIN_CLOCK_RATE = 0.98


def longest_lease_seconds(max_lease_seconds: float) -> float:
    """Return how long a lease of a run may last that was granted just now.

    The runner's clock may have fallen behind its estimate since its last
    answer.

    Args:
        max_lease_seconds: The platform's longest lease of a run.
    """
    clock_error_seconds = _GRANT_WINDOW_SECONDS * (1.0 - _MIN_CLOCK_RATE)
    granted_seconds = _granted_seconds(max_lease_seconds)
    return (granted_seconds + clock_error_seconds) / _MIN_CLOCK_RATE


def _granted_seconds(max_lease_seconds: float) -> float:
    """Return the length of the leases that polls and starts grant."""
    return min(_RUN_LEASE_SECONDS, max_lease_seconds * _MAX_LEASE_SHARE)


class Grants:
    """Grants leases of runs on one lifetime of a runner, on its clock.

    The runner's clock is estimated from its last report. Example: it was
    5,000 ms one second ago, so a lease of 3.8 s granted now ends at
    9,800 ms.

    Args:
        lease: The scheduler's own lease.
        max_lease_seconds: The platform's longest lease of a run.
    """

    def __init__(
        self, *, lease: _lease.Lease, max_lease_seconds: float
    ) -> None:
        self._lease = lease
        self._lease_seconds = _granted_seconds(max_lease_seconds)
        # The runner's clock in milliseconds and when it was reported. It is
        # one value, as the loop's thread sets it and the scheduler's reads
        # it without a lock.
        self._last_clock: tuple[float, float] = (0.0, float("-inf"))
        self._lease_until_ms = 0.0
        self._failing_since: float | None = None

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a poll of this scheduler."""
        return self._last_clock[1] > float("-inf")

    @property
    def last_clock_ms(self) -> float:
        """The runner's clock in its last report; 0 before it."""
        return self._last_clock[0]

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last answer to a poll; infinite before it."""
        return _clock.monotonic_seconds() - self._last_clock[1]

    @property
    def refused(self) -> bool:
        """Whether the runner has refused a connection since its last report.

        Its process has ended, or a partition refuses connections to it.
        """
        return self._failing_since is not None

    @property
    def failing_since(self) -> float | None:
        """When the calls began to fail of which the last was refused."""
        return self._failing_since

    @property
    def may_extend(self) -> bool:
        """Whether the runner has answered recently enough for a lease."""
        return self._may_extend_at(_clock.monotonic_seconds())

    @property
    def _may_grant(self) -> bool:
        """Whether the next holder expects that leases are granted yet."""
        since_expiry = self._lease.seconds_since_expiry
        return (
            not self._lease.lost
            and since_expiry <= _earlier_grants.POLL_WITHOUT_LEASE_SECONDS
        )

    def _may_extend_at(self, now: float) -> bool:
        return not self.refused and (
            now - self._last_clock[1] <= _GRANT_WINDOW_SECONDS
        )

    @property
    def expired(self) -> bool:
        """Whether every granted lease has certainly expired.

        This is never so while the runner may still get new leases, or before
        its first answer.
        """
        if not self.reached or self.may_extend:
            return False
        return self.seconds_left <= 0

    @property
    def seconds_left(self) -> float:
        """Seconds that the leases granted so far may last yet."""
        clock_ms, read_at = self._last_clock
        passed_ms = (_clock.monotonic_seconds() - read_at) * 1000.0
        now_ms = clock_ms + passed_ms * _MIN_CLOCK_RATE
        return (self._lease_until_ms - now_ms) / 1000.0 / _MIN_CLOCK_RATE

    def extend(self) -> float | None:
        """Grant a lease; return its end on the runner's clock.

        None if the runner has not answered within ``_GRANT_WINDOW_SECONDS``,
        or has refused a connection since:
        requests to it may still arrive, and leases extended on and on would
        never expire, so that its tasks could not be started elsewhere. None
        also once the scheduler's own lease is lost, released or expired for
        long, as the next holder relies on no more grants.
        """
        # One time for all: a pause after it can only shorten the lease.
        now = _clock.monotonic_seconds()
        if not self._may_extend_at(now) or not self._may_grant:
            return None
        clock_ms, read_at = self._last_clock
        passed_ms = (now - read_at) * 1000.0
        until = clock_ms + passed_ms + self._lease_seconds * 1000.0
        self._lease_until_ms = max(self._lease_until_ms, until)
        return float(int(until))

    def record_report(self, report: _ports.RunnerReport) -> None:
        """Update the estimate of the clock from a report just received."""
        if not self.reached:
            # An earlier scheduler may just have extended the leases there.
            granted = self._lease_seconds * 1000.0 if report.running else 0.0
            self._lease_until_ms = report.clock_ms + granted
        self._last_clock = (report.clock_ms, _clock.monotonic_seconds())
        self._failing_since = None

    def record_refusal(self, failing_since: float) -> None:
        """Grant no more leases until the next report."""
        if self._failing_since is None:
            self._failing_since = failing_since
