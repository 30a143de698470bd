"""Stops starts on a runner that fails whatever is started there."""

import attrs

# This many failed runs, of two jobs or more, open the breaker.
_FAILURES_TO_OPEN = 3
# How long nothing is started once the breaker has opened.
_OPEN_SECONDS = 4.0
# A failure counts for this long. An open breaker closes after this time at
# the latest, as nothing newer speaks against the runner.
_FAILURE_MEMORY_SECONDS = 10.0
# A long-lived task that has run for this long has come to work.
_AT_WORK_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class _Failure:
    """A failed run; times are in seconds of the monotonic clock."""

    job_id: str
    started_at: float
    failed_at: float


class CircuitBreaker:
    """Tells from the ends of a runner's runs whether to start more there.

    The breaker opens after a few failures in a row. Then nothing is started
    on the runner for a while, and later one run at a time on trial, until one
    succeeds, fails, or the failures are too old to count. A run succeeds by
    being done; a long-lived one by coming to work, and how it ends later says
    nothing of the runner.

    A success shows that the runner took starts at the time when the run was
    started; failures of later starts still count.

    Example: of three jobs, a task each fails at 100, 101 and 102 s. Nothing
    is started until 106 s. A task that is started then and done at 107 s
    closes the breaker.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._failures: list[_Failure] = []
        self._opened_at = float("-inf")

    def is_open(self, now: float) -> bool:
        """Tell whether nothing may be started."""
        return now < self._opened_at + _OPEN_SECONDS

    def is_half_open(self, now: float) -> bool:
        """Tell whether one run at a time may be started on trial."""
        return not self.is_open(now) and self._is_in_doubt(now)

    def _is_in_doubt(self, now: float) -> bool:
        return now < self._opened_at + _FAILURE_MEMORY_SECONDS

    def is_trial(self, started_at: float, now: float) -> bool:
        """Tell whether a run is one that was started on trial."""
        return self._is_in_doubt(now) and started_at >= self._opened_at

    def record_success(self, started_at: float) -> None:
        """Record that a run succeeded."""
        self._failures = [
            each for each in self._failures if each.started_at > started_at
        ]
        if started_at >= self._opened_at:
            self._opened_at = float("-inf")

    def record_failure(
        self, job_id: str, started_at: float, now: float
    ) -> bool:
        """Record that a run failed; return whether the breaker opens.

        It stays open for longer if that was open already.
        """
        is_failed_trial = self.is_half_open(now) and self.is_trial(
            started_at, now
        )
        failure = _Failure(job_id=job_id, started_at=started_at, failed_at=now)
        recent = [
            each
            for each in self._failures
            if each.failed_at > now - _FAILURE_MEMORY_SECONDS
        ]
        self._failures = [*recent, failure][-_FAILURES_TO_OPEN:]
        are_enough = (
            len(self._failures) == _FAILURES_TO_OPEN
            and len({each.job_id for each in self._failures}) > 1
        )
        opens = is_failed_trial or are_enough
        if opens:
            self._opened_at = now
        return opens


def has_come_to_work(started_at: float, now: float) -> bool:
    """Tell whether a long-lived task that runs has come to work.

    Args:
        started_at: When the run began; 0 if it is not known to have begun.
        now: The time, on the same clock.
    """
    return started_at > 0 and now - started_at >= _AT_WORK_SECONDS
