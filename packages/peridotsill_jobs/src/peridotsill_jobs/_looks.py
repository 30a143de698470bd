"""Looks at one runner: what ran, what ended, and longer leases for it."""

import peridotsill

from peridotsill_jobs import _asking
from peridotsill_jobs import _clock
from peridotsill_jobs import _grants
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

# A runner answers a look when a run ends, or after this time.
_WAIT_SECONDS = 1.0
# The wait while filling tasks are paced: what a tail is measured over.
_CLOSE_WAIT_SECONDS = 0.5
# Time for an answer beyond the wait; some twenty times the usual one.
_LOOK_TIMEOUT_SECONDS = 0.7
# Pause after a failed look.
_RETRY_SECONDS = 0.3
# How long the committed ends may lag behind before a runner is looked at
# again all the same.
_COMMIT_WAIT_SECONDS = 0.5


class Looker:
    """Looks at a runner again and again, until it is stopped.

    The next look is made when the ends of the last one are committed, so
    that it tells the runner to forget them.
    """

    def __init__(self, *, parts: _asking.LinkParts) -> None:
        self._parts = parts
        self._grants = parts.grants
        self._asker = _asking.Asker(parts=parts)
        self._looking = False
        self._resting = False
        self._stopped = False
        self._wait_seconds = _WAIT_SECONDS
        self._awaits_commit: peridotsill.Timer | None = None
        self._last_seen = 0
        self._reported = 0

    @property
    def last_seen(self) -> int:
        """Number of the newest end that was committed."""
        return self._last_seen

    def start(self) -> None:
        """Begin to look at the runner."""
        self._parts.loop.run_soon(self._look)

    def stop(self) -> None:
        """End the looks and close the connection."""
        self._stopped = True
        self._parts.loop.run_soon(self._asker.close)

    def rest(self, resting: bool) -> None:
        """Don't look at the runner while its VM is known to be away."""
        self._resting = resting
        if not resting:
            self._parts.loop.run_soon(self._look)

    def watch_closely(self, close: bool) -> None:
        """Look more often, for the tails of serving tasks."""
        self._wait_seconds = _CLOSE_WAIT_SECONDS if close else _WAIT_SECONDS

    def commit_ends(self, last_seen: int) -> None:
        """Let the runner forget the ends up to ``last_seen``."""
        if last_seen > self._last_seen:
            self._last_seen = last_seen
            self._parts.loop.run_soon(self._committed)

    def _look(self) -> None:
        """Look, if nothing else is to be waited for first."""
        if self._looking or self._stopped or self._resting:
            return
        lapsed = self._parts.lease.lapsed_seconds
        if lapsed > _grants.LOOK_WITHOUT_LEASE_SECONDS:
            self._look_later()
            return
        if self._last_seen < self._reported and not self._awaits_commit:
            # The next look tells the runner to forget them.
            self._awaits_commit = self._parts.loop.later(
                _COMMIT_WAIT_SECONDS, self._look
            )
            return
        self._send_look()

    def _committed(self) -> None:
        if self._awaits_commit and self._last_seen >= self._reported:
            self._look()

    def _look_later(self) -> None:
        self._looking = True
        self._parts.loop.later(_RETRY_SECONDS, self._look_again)

    def _look_again(self) -> None:
        self._looking = False
        self._look()

    def _send_look(self) -> None:
        if self._awaits_commit:
            self._awaits_commit.cancel()
            self._awaits_commit = None
        until = self._grants.extend()
        trusted = until is not None and self._reported <= self._last_seen
        wait = self._wait_seconds if trusted else 0.0
        asked_at = _clock.awake_seconds()
        self._looking = True
        self._asker.ask(
            self._parts.calls.look(
                fence=self._parts.lease.epoch,
                last_seen=self._last_seen,
                lease_until_ms=until,
                wait_seconds=wait,
                timeout_seconds=wait + _LOOK_TIMEOUT_SECONDS,
            ),
            lambda read: self._looked(read, asked_at),
        )

    def _looked(
        self, read: _asking.Reader[_ports.RunnerReport], asked_at: float
    ) -> None:
        try:
            report = read()
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
            self._look_later()
        except exceptions.RunnerError as error:
            self._log_silence(error)
            self._look_later()
        else:
            self._take(report, asked_at)
            self._look_again()

    def _take(self, report: _ports.RunnerReport, asked_at: float) -> None:
        if self._grants.silent_seconds > _WAIT_SECONDS * 3:
            _logs.log("runner:reached", runner=self._parts.entry.id)
        self._grants.answered(report)
        if report.ended:
            self._reported = max(
                self._reported, max(each.number for each in report.ended)
            )
        self._parts.post(
            _link_events.Looked(
                runner=self._parts.entry.id,
                lifetime=self._parts.entry.lifetime,
                asked_at=asked_at,
                report=report,
            )
        )

    def _log_silence(self, error: Exception) -> None:
        silent = self._grants.silent_seconds
        if silent < _WAIT_SECONDS * 3:
            _logs.log(
                "runner:look_failed",
                runner=self._parts.entry.id,
                silent_seconds=round(silent, 2),
                reason=str(error),
            )
