"""Polls one runner: extends its leases and reads its reports."""

import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _earlier_grants
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _runner_client
from peridotsill_jobs import exceptions

# A runner answers a poll when a run ends, or after this time.
_LONG_POLL_SECONDS = 1.0
# The same while a runner is to be polled frequently: response times, by which
# filler tasks are paced, are measured over this time.
_FREQUENT_LONG_POLL_SECONDS = 0.5
# Timeout of an answer beyond the long poll; some twenty times the usual
# answer time.
_ANSWER_MARGIN_SECONDS = 0.7
# Pause after a failed poll.
_RETRY_SECONDS = 0.3
# A poll waits at most this long for the ends of the last report to be
# committed.
_MAX_COMMIT_WAIT_SECONDS = 0.5


class RunnerPoller:
    """Polls a runner until it is stopped.

    A poll waits until the ends in the last report are committed, so that
    it can tell the runner to forget them.
    """

    def __init__(self, *, parts: _runner_client.LinkParts) -> None:
        self._parts = parts
        self._grants = parts.grants
        self._client = _runner_client.RunnerClient(parts=parts)
        self._polling = False
        self._paused = False
        self._stopped = False
        self._repeated_at_once = False
        self._timeout_at = 0.0
        self._long_poll_seconds = _LONG_POLL_SECONDS
        self._commit_timer: peridotsill.Timer | None = None
        self._last_acknowledged_end = 0
        # Whether the process that the connection leads to is known to be the
        # lifetime that is polled, and not a later one.
        self._lifetime_confirmed = False
        self._last_reported_end = 0
        # The last poll that extends leases and got no answer, and whether the
        # one in flight does. The loop's thread sets them and the scheduler's
        # reads them.
        self._unanswered_poll_at = float("-inf")
        self._extending_poll_in_flight = False

    @property
    def unanswered_poll_at(self) -> float:
        """When a poll that extends leases was last found unanswered.

        That is now while one is in flight, and minus infinity without any.
        """
        if self._extending_poll_in_flight:
            return _clock.monotonic_seconds()
        return self._unanswered_poll_at

    @property
    def last_acknowledged_end(self) -> int:
        """Number of the newest end that was committed."""
        return self._last_acknowledged_end

    def start(self) -> None:
        """Start to poll the runner."""
        self._parts.loop.run_soon(self._poll)

    def stop(self) -> None:
        """Stop polling and close the connection."""
        self._stopped = True
        self._parts.loop.run_soon(self._client.close)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume polling; paused while the runner's VM is away."""
        self._paused = paused
        if not paused:
            self._parts.loop.run_soon(self._poll)

    def poll_frequently(self, frequently: bool) -> None:
        """Set whether to shorten long polls."""
        self._long_poll_seconds = (
            _FREQUENT_LONG_POLL_SECONDS if frequently else _LONG_POLL_SECONDS
        )

    def acknowledge_ends(self, last_end: int) -> None:
        """Let the runner forget the ends up to ``last_end``."""
        if last_end > self._last_acknowledged_end:
            self._last_acknowledged_end = last_end
            self._parts.loop.run_soon(self._on_ends_acknowledged)

    def _poll(self) -> None:
        """Poll, unless something has to be waited for first."""
        if self._polling or self._stopped or self._paused:
            return
        seconds_since_expiry = self._parts.lease.seconds_since_expiry
        if seconds_since_expiry > _earlier_grants.POLL_WITHOUT_LEASE_SECONDS:
            self._poll_later()
            return
        if (
            self._last_acknowledged_end < self._last_reported_end
            and not self._commit_timer
        ):
            # Wait until the reported ends are committed: the next poll then
            # tells the runner to forget them.
            self._commit_timer = self._parts.loop.run_later(
                _MAX_COMMIT_WAIT_SECONDS, self._poll
            )
            return
        self._send_poll()

    def _on_ends_acknowledged(self) -> None:
        if (
            self._commit_timer
            and self._last_acknowledged_end >= self._last_reported_end
        ):
            self._poll()

    def _poll_later(self) -> None:
        self._polling = True
        self._parts.loop.run_later(_RETRY_SECONDS, self._poll_again)

    def _poll_again(self) -> None:
        self._polling = False
        self._poll()

    def _send_poll(self) -> None:
        if self._commit_timer:
            self._commit_timer.cancel()
            self._commit_timer = None
        until = self._grants.extend() if self._lifetime_confirmed else None
        may_long_poll = (
            until is not None
            and self._last_reported_end <= self._last_acknowledged_end
        )
        wait_seconds = self._long_poll_seconds if may_long_poll else 0.0
        timeout_seconds = wait_seconds + _ANSWER_MARGIN_SECONDS
        requested_at = _clock.monotonic_seconds()
        # A later lifetime would take the number for one of its own ends.
        last_seen = (
            self._last_acknowledged_end if self._lifetime_confirmed else 0
        )
        self._polling = True
        self._extending_poll_in_flight = until is not None
        self._timeout_at = requested_at + timeout_seconds
        self._client.call(
            lambda token: self._parts.calls.poll(
                fence=token,
                last_seen=last_seen,
                lease_until_ms=until,
                wait_seconds=wait_seconds,
                timeout_seconds=timeout_seconds,
            ),
            lambda read: self._handle_answer(read, requested_at),
        )

    def _handle_answer(
        self,
        read: _runner_client.AnswerReader[_ports.RunnerReport],
        requested_at: float,
    ) -> None:
        extends_leases = self._extending_poll_in_flight
        self._extending_poll_in_flight = False
        try:
            report = read()
        except exceptions.StaleFencingToken as error:
            self._parts.lease.mark_lost(str(error))
            self._poll_later()
        except exceptions.CallOvertaken:
            self._poll_again()
        except exceptions.RunnerError as error:
            if extends_leases and _may_be_executed(error):
                self._unanswered_poll_at = _clock.monotonic_seconds()
            self._lifetime_confirmed = False
            self._log_failure(error)
            if self._may_repeat_at_once(error):
                self._repeated_at_once = True
                self._poll_again()
            else:
                self._poll_later()
        else:
            self._repeated_at_once = False
            self._handle_report(report, requested_at)
            self._poll_again()

    def _may_repeat_at_once(self, error: exceptions.RunnerError) -> bool:
        """Return whether a poll failed because the runner disconnected.

        If its process has ended, the next connection is refused, and shows
        that nothing need be sent there any more.
        """
        return (
            isinstance(error, exceptions.RunnerUnavailable)
            and not isinstance(
                error, exceptions.ConnectionRefused | exceptions.WrongLifetime
            )
            and not self._repeated_at_once
            and _clock.monotonic_seconds() < self._timeout_at
        )

    def _handle_report(
        self, report: _ports.RunnerReport, requested_at: float
    ) -> None:
        if self._grants.silent_seconds > _LONG_POLL_SECONDS * 3:
            _logs.log("runner:reached", runner=self._parts.entry.id)
        event = _link_events.ReportReceived(
            runner=self._parts.entry.id,
            lifetime=self._parts.entry.lifetime,
            requested_at=requested_at,
            report=report,
        )
        if event.is_from_another:
            # More polls would extend leases that this link doesn't count.
            self._paused = True
        else:
            self._grants.record_report(report)
            self._lifetime_confirmed = True
        if report.ended:
            self._last_reported_end = max(
                self._last_reported_end,
                max(each.number for each in report.ended),
            )
        self._parts.post(event)

    def _log_failure(self, error: Exception) -> None:
        silent_seconds = self._grants.silent_seconds
        if silent_seconds < _LONG_POLL_SECONDS * 3:
            _logs.log(
                "runner:look_failed",
                runner=self._parts.entry.id,
                silent_seconds=round(silent_seconds, 2),
                reason=str(error),
            )


def _may_be_executed(error: exceptions.RunnerError) -> bool:
    """Tell whether a call that failed may be executed yet."""
    return isinstance(error, exceptions.RunnerUnavailable) and error.sent
