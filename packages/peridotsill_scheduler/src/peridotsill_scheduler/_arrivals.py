"""The rate at which work arrives for a pool, now and at earlier peaks."""

import collections

import attrs

# Window over which the arrival rate is measured: long enough for a few jobs
# to arrive in it during a peak, and short compared with the peak.
RATE_WINDOW_SECONDS = 1.5
# A VM that is requested now can be used after a move, which takes 1.5 s, and
# the next reading of the list of VMs.
MOVE_SECONDS = 2.0
# Rates count as an earlier peak's after this time, so that a peak does not
# bound the forecast of its own rise.
_EARLIER_AFTER_SECONDS = 4.0
# Earlier rates are forgotten after this time.
_RETENTION_SECONDS = 60.0
# Smallest number of arrivals from which on ended ones are dropped.
_MIN_CLEANUP = 64


@attrs.frozen(kw_only=True)
class Arrival:
    """Work that arrived: monotonic time in seconds, and core-seconds.

    ``seconds`` is how long the job is expected to take if nothing waits for
    room, 0 if that is not known.
    """

    at: float
    work: float
    seconds: float = 0.0


@attrs.frozen(kw_only=True)
class ArrivalRates:
    """Arrival rates of a pool, in core-seconds per second.

    ``recent`` is the rate of the last window, ``previous`` that of the one
    before, and ``earlier_peak`` the highest rate of earlier peaks, 0 if there
    was none. ``remaining_cores`` is what the work that has arrived is
    expected to use once a requested VM is usable, and ``mean_seconds`` how
    long the jobs of the last window take, weighted by their work.
    """

    recent: float = 0.0
    previous: float = 0.0
    earlier_peak: float = 0.0
    remaining_cores: float = 0.0
    mean_seconds: float = 0.0

    @property
    def growth(self) -> float:
        """Increase of the rate per second, 0 if it falls."""
        return max(0.0, self.recent - self.previous) / RATE_WINDOW_SECONDS


class ArrivalHistory:
    """What has arrived for a pool."""

    def __init__(self) -> None:
        self._arrivals: list[Arrival] = []
        self._next_cleanup_length = _MIN_CLEANUP
        # Times and rates that are not yet those of an earlier peak.
        self._latest: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Times and rates of earlier peaks; the rates fall.
        self._earlier: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(self, arrival: Arrival) -> None:
        """Add an arrival; they may be recorded in any order."""
        self._arrivals.append(arrival)

    def rates(self, now: float) -> ArrivalRates:
        """Return the rates at a time, in seconds of the monotonic clock."""
        recent = previous = remaining = weighted_seconds = 0.0
        oldest = now - 2 * RATE_WINDOW_SECONDS
        usable_at = now + MOVE_SECONDS
        self._forget_ended(now)
        for each in self._arrivals:
            if each.at > now - RATE_WINDOW_SECONDS:
                recent += each.work
                weighted_seconds += each.work * each.seconds
            elif each.at > oldest:
                previous += each.work
            if each.at + each.seconds > usable_at:
                remaining += each.work / each.seconds
        rate = recent / RATE_WINDOW_SECONDS
        self._remember(now, rate)
        return ArrivalRates(
            recent=rate,
            previous=previous / RATE_WINDOW_SECONDS,
            earlier_peak=self._earlier[0][1] if self._earlier else 0.0,
            remaining_cores=remaining,
            mean_seconds=weighted_seconds / recent if recent else 0.0,
        )

    def _forget_ended(self, now: float) -> None:
        """Drop arrivals that no figure needs, once they are half of all."""
        if len(self._arrivals) < self._next_cleanup_length:
            return
        oldest = now - 2 * RATE_WINDOW_SECONDS
        self._arrivals = [
            each
            for each in self._arrivals
            if each.at > oldest or each.at + each.seconds > now
        ]
        self._next_cleanup_length = 2 * len(self._arrivals) + _MIN_CLEANUP

    def _remember(self, now: float, rate: float) -> None:
        self._latest.append((now, rate))
        while self._latest[0][0] <= now - _EARLIER_AFTER_SECONDS:
            entry = self._latest.popleft()
            while self._earlier and self._earlier[-1][1] <= entry[1]:
                self._earlier.pop()
            self._earlier.append(entry)
        while (
            self._earlier and self._earlier[0][0] <= now - _RETENTION_SECONDS
        ):
            self._earlier.popleft()
