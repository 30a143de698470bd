"""The scheduler's connection to one runner: a looker and an order giver."""

import collections.abc
import queue
import threading

import attrs
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

# A runner answers a look when a run ends, or after this time.
_WAIT_SECONDS = 1.0
# The wait while filling tasks are paced: what a tail is measured over.
_CLOSE_WAIT_SECONDS = 0.5
# Time for an answer beyond the wait; some twenty times the usual one.
_LOOK_TIMEOUT_SECONDS = 0.7
# Time for the answer to an order, before it is sent once more.
_ORDER_TIMEOUT_SECONDS = 0.6
_START_TRIES = 2
# A runner gets new leases for this long after its last answer: one wait
# for an end, and the way.
_TRUSTED_SECONDS = 1.6
# Pause after a failed look or stop.
_RETRY_SECONDS = 0.3
# After this time without the lease no leases of runs are extended any
# more, so that a new scheduler knows when they have run out. With the
# lease's own time and the last grant, runs outlive 10 seconds without the
# table.
LOOK_WITHOUT_LEASE_SECONDS = 6.0
# How long the committed ends may lag behind before a runner is looked at
# again all the same.
_COMMIT_WAIT_SECONDS = 0.5
# Runs are leased for this part of the longest lease: a margin for clocks.
_LEASE_PART = 0.9
# The longest lease that is asked for: a wait for an end and a takeover fit,
# and what a lost runner held is soon started elsewhere.
_LEASE_SECONDS = 3.8
# Runners' clocks may be slow by this factor.
CLOCK_FACTOR = 0.98


def run_lease_seconds(longest: float) -> float:
    """Return the lease that a look grants, given the platform's longest."""
    return min(_LEASE_SECONDS, longest * _LEASE_PART)


class OrderResult(peridotsill.TextEnum):
    """What came of an order."""

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class OrderOutcome:
    """The end of one order.

    ``at`` is when the answer came, in steady seconds; ``clean`` tells
    that no earlier try of the order may still be carried out.
    """

    runner: str
    lifetime: int
    name: _ports.TaskName
    run: int
    is_start: bool
    result: OrderResult
    reason: str
    at: float
    clean: bool


@attrs.frozen(kw_only=True)
class Looked:
    """A runner's report and when it was asked for, in steady seconds."""

    runner: str
    lifetime: int
    asked_at: float
    report: _ports.RunnerReport


@attrs.frozen(kw_only=True)
class LinkParts:
    """What a link works with.

    ``post`` takes `OrderOutcome` and `Looked`. If the runner has seen a
    newer scheduler, ``lease`` is told.
    """

    entry: _ports.RunnerEntry
    connect: collections.abc.Callable[[_ports.RunnerEntry], _ports.Runner]
    lease: _lease.Lease
    max_lease_seconds: float
    post: collections.abc.Callable[[OrderOutcome | Looked], None]


@attrs.frozen(kw_only=True)
class _Stop:
    name: _ports.TaskName
    run: int


@attrs.frozen(kw_only=True)
class _Pace:
    name: _ports.TaskName
    run: int
    percent: int


_Order = _ports.StartOrder | _Stop | _Pace


class RunnerLink:
    """Two threads that talk to one lifetime of a runner."""

    def __init__(self, *, parts: LinkParts) -> None:
        self._parts = parts
        self._lookout = parts.connect(parts.entry)
        self._orders_to = parts.connect(parts.entry)
        self._orders: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._wait_seconds = _WAIT_SECONDS
        self._withdrawn: set[_Stop] = set()
        self._stopped = threading.Event()
        self._committed = threading.Condition()
        self._last_seen = 0
        self._reported = 0
        self._clock_ms = 0.0
        self._clock_at = 0.0
        self._lease_until_ms = 0.0
        self._answered_at = float("-inf")
        self._lease_seconds = run_lease_seconds(parts.max_lease_seconds)

    @property
    def entry(self) -> _ports.RunnerEntry:
        """The registry's row with which the link was made."""
        return self._parts.entry

    @property
    def last_seen(self) -> int:
        """Number of the newest end that was committed."""
        return self._last_seen

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a look of this scheduler."""
        return self._clock_at > 0

    @property
    def silent_seconds(self) -> float:
        """How long ago the last look was answered; infinite before it."""
        return _clock.awake_seconds() - self._answered_at

    @property
    def leases_lapsed(self) -> bool:
        """Whether every lease that was granted has certainly run out.

        Never of a runner that has answered lately: it may still be given
        new leases.
        """
        if not self.reached or self.silent_seconds <= _TRUSTED_SECONDS:
            return False
        passed = (_clock.awake_seconds() - self._clock_at) * 1000.0
        now_ms = self._clock_ms + passed * CLOCK_FACTOR
        return now_ms > self._lease_until_ms

    def start(self) -> None:
        """Start both threads."""
        name = self._parts.entry.id
        for run in (self._look_loop, self._order_loop):
            threading.Thread(target=run, daemon=True, name=name).start()

    def stop(self) -> None:
        """End both threads after their current calls."""
        self._stopped.set()
        self._orders.put(None)
        with self._committed:
            self._committed.notify_all()

    def watch_closely(self, close: bool) -> None:
        """Look more often, for the tails of serving tasks."""
        self._wait_seconds = _CLOSE_WAIT_SECONDS if close else _WAIT_SECONDS

    def commit_ends(self, last_seen: int) -> None:
        """Let the runner forget the ends up to ``last_seen``."""
        with self._committed:
            self._last_seen = max(self._last_seen, last_seen)
            self._committed.notify_all()

    def order_start(self, order: _ports.StartOrder) -> None:
        """Send a start; its lease is set when it leaves."""
        self._orders.put(order)

    def order_stop(self, name: _ports.TaskName, run: int) -> None:
        """Send a stop; a start of the run that was not sent yet is not.

        A stop without an answer is reported as unknown.
        """
        stop = _Stop(name=name, run=run)
        self._withdrawn.add(stop)
        self._orders.put(stop)

    def order_pace(
        self, name: _ports.TaskName, run: int, percent: int
    ) -> None:
        """Send a pace once; the next decision repeats it if need be."""
        self._orders.put(_Pace(name=name, run=run, percent=percent))

    def _until_ms(self) -> float | None:
        """Return a new lease's end on the runner's clock.

        None if the runner has not answered lately: what is sent to it may
        still arrive, and the leases of what it lost would never run out.
        """
        if not self.reached or self.silent_seconds > _TRUSTED_SECONDS:
            return None
        passed = (_clock.awake_seconds() - self._clock_at) * 1000.0
        until = self._clock_ms + passed + self._lease_seconds * 1000.0
        self._lease_until_ms = max(self._lease_until_ms, until)
        return float(int(until))

    def _look_loop(self) -> None:
        while not self._stopped.is_set():
            lapsed = self._parts.lease.lapsed_seconds
            if lapsed > LOOK_WITHOUT_LEASE_SECONDS:
                self._stopped.wait(_RETRY_SECONDS)
                continue
            if not self._look():
                self._stopped.wait(_RETRY_SECONDS)
        self._lookout.close()

    def _look(self) -> bool:
        self._await_commit()
        until = self._until_ms()
        trusted = until is not None and self._reported <= self._last_seen
        wait = self._wait_seconds if trusted else 0.0
        asked_at = _clock.awake_seconds()
        try:
            report = self._lookout.look(
                fence=self._parts.lease.epoch,
                last_seen=self._last_seen,
                lease_until_ms=until,
                wait_seconds=wait,
                timeout_seconds=wait + _LOOK_TIMEOUT_SECONDS,
            )
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
            return False
        except exceptions.RunnerError as error:
            self._log_silence(error)
            return False
        self._take(report, asked_at)
        return True

    def _take(self, report: _ports.RunnerReport, asked_at: float) -> None:
        now = _clock.awake_seconds()
        if self.silent_seconds > _WAIT_SECONDS * 3:
            _logs.log("runner:reached", runner=self.entry.id)
        if not self.reached:
            # An earlier scheduler granted what runs there its lease.
            granted = self._lease_seconds * 1000.0 if report.running else 0.0
            self._lease_until_ms = report.clock_ms + granted
        self._answered_at = now
        self._clock_ms = report.clock_ms
        self._clock_at = now
        if report.ended:
            self._reported = max(
                self._reported, max(each.number for each in report.ended)
            )
        self._parts.post(
            Looked(
                runner=self.entry.id,
                lifetime=self.entry.lifetime,
                asked_at=asked_at,
                report=report,
            )
        )

    def _log_silence(self, error: Exception) -> None:
        silent = self.silent_seconds
        if silent < _WAIT_SECONDS * 3:
            _logs.log(
                "runner:look_failed",
                runner=self.entry.id,
                silent_seconds=round(silent, 2),
                reason=str(error),
            )

    def _await_commit(self) -> None:
        """Wait until the ends reported so far are committed, for a while."""
        with self._committed:
            self._committed.wait_for(
                lambda: (
                    self._stopped.is_set() or self._last_seen >= self._reported
                ),
                _COMMIT_WAIT_SECONDS,
            )

    def _order_loop(self) -> None:
        while True:
            order = self._orders.get()
            if order is None or self._stopped.is_set():
                break
            match order:
                case _ports.StartOrder():
                    self._send_start(order)
                case _Stop():
                    self._send_stop(order)
                case _Pace():
                    self._send_pace(order)
        self._orders_to.close()

    def _send_start(self, order: _ports.StartOrder) -> None:
        clean = True
        reason = ""
        for _ in range(_START_TRIES):
            until = self._until_ms()
            if until is None or not self._parts.lease.held:
                reason = "the lease or the runner's clock is not known"
                break
            if _Stop(name=order.name, run=order.run) in self._withdrawn:
                reason = "withdrawn"
                break
            leased = attrs.evolve(order, lease_until_ms=until)
            try:
                self._orders_to.start(leased, _ORDER_TIMEOUT_SECONDS)
                self._report(order, True, OrderResult.DONE, "", clean)
                return
            except exceptions.Fenced as error:
                self._parts.lease.lose(str(error))
                reason = str(error)
                break
            except exceptions.RunnerUnavailable as error:
                clean = clean and not error.sent
                reason = str(error)
            except exceptions.RunnerError as error:
                self._report(
                    order, True, OrderResult.REFUSED, str(error), clean
                )
                return
        result = OrderResult.NOT_SENT if clean else OrderResult.UNKNOWN
        self._report(order, True, result, reason, clean)

    def _send_stop(self, order: _Stop) -> None:
        self._withdrawn.discard(order)
        try:
            self._orders_to.stop(
                order.name,
                order.run,
                self._parts.lease.epoch,
                _ORDER_TIMEOUT_SECONDS,
            )
            self._report(order, False, OrderResult.DONE, "", True)
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
        except exceptions.OrderRefused as error:
            self._report(order, False, OrderResult.REFUSED, str(error), True)
        except exceptions.RunnerError as error:
            self._report(order, False, OrderResult.UNKNOWN, str(error), False)

    def _send_pace(self, order: _Pace) -> None:
        try:
            self._orders_to.pace(
                order.name,
                order.run,
                order.percent,
                self._parts.lease.epoch,
            )
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
        except exceptions.RunnerError as error:
            _logs.log(
                "task:pace_failed",
                job=order.name.job,
                task=order.name.task,
                reason=str(error),
            )

    def _report(
        self,
        order: _ports.StartOrder | _Stop,
        is_start: bool,
        result: OrderResult,
        reason: str,
        clean: bool,
    ) -> None:
        self._parts.post(
            OrderOutcome(
                runner=self.entry.id,
                lifetime=self.entry.lifetime,
                name=order.name,
                run=order.run,
                is_start=is_start,
                result=result,
                reason=reason,
                at=_clock.awake_seconds(),
                clean=clean,
            )
        )
