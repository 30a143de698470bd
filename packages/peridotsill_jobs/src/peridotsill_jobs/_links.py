"""The scheduler's connections to one runner: one looks, one gives orders."""

import collections
import collections.abc
import typing

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


def lapse_seconds(longest: float, *, given_back: bool) -> float:
    """Return how long the last holder's leases of runs may last yet.

    Args:
        longest: The platform's longest lease, in seconds.
        given_back: Whether the holder gave up its own lease in order, and
            grants none since; else it may have gone on for a while.
    """
    granted = run_lease_seconds(longest) / CLOCK_FACTOR
    return granted + (0.0 if given_back else LOOK_WITHOUT_LEASE_SECONDS)


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

    ``loop`` runs the link, and ``calls`` makes its calls. ``post`` takes
    `OrderOutcome` and `Looked`. If the runner has seen a newer scheduler,
    ``lease`` is told.
    """

    entry: _ports.RunnerEntry
    loop: peridotsill.CallLoop
    calls: _ports.RunnerCalls
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


@attrs.define(kw_only=True, eq=False)
class _Starting:
    """The tries of one start; ``clean`` as in `OrderOutcome`."""

    order: _ports.StartOrder
    tries_left: int = _START_TRIES
    clean: bool = True


_T = typing.TypeVar("_T")
# Returns what a runner said, or raises `RunnerError`.
_Reader = collections.abc.Callable[[], _T]


class RunnerLink:
    """Looks at one lifetime of a runner, and gives it orders in turn.

    Everything but the requests of the scheduler runs in the loop's thread.
    """

    def __init__(self, *, parts: LinkParts) -> None:
        self._parts = parts
        self._calls = parts.calls
        self._lookout = self._connection()
        self._orders_to = self._connection()
        self._orders: collections.deque[_Order] = collections.deque()
        self._ordering = False
        self._looking = False
        self._resting = False
        self._stopped = False
        self._wait_seconds = _WAIT_SECONDS
        self._withdrawn: set[_Stop] = set()
        self._awaits_commit: peridotsill.Timer | None = None
        self._last_seen = 0
        self._reported = 0
        self._clock_ms = 0.0
        self._clock_at = 0.0
        self._lease_until_ms = 0.0
        self._answered_at = float("-inf")
        self._lease_seconds = run_lease_seconds(parts.max_lease_seconds)

    def _connection(self) -> peridotsill.JsonConnection:
        return peridotsill.JsonConnection(
            loop=self._parts.loop, address=self._parts.entry.address
        )

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
        return self.seconds_to_lapse <= 0

    @property
    def seconds_to_lapse(self) -> float:
        """How long the leases that were granted so far may last yet."""
        passed = (_clock.awake_seconds() - self._clock_at) * 1000.0
        now_ms = self._clock_ms + passed * CLOCK_FACTOR
        return (self._lease_until_ms - now_ms) / 1000.0 / CLOCK_FACTOR

    def start(self) -> None:
        """Begin to look at the runner."""
        self._parts.loop.run_soon(self._look)

    def stop(self) -> None:
        """Close the connections; orders that were not sent are dropped."""
        self._stopped = True
        self._parts.loop.run_soon(self._close)

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

    def order_start(self, order: _ports.StartOrder) -> None:
        """Send a start; its lease is set when it leaves."""
        self._give(order)

    def order_stop(self, name: _ports.TaskName, run: int) -> None:
        """Send a stop; a start of the run that was not sent yet is not.

        A stop without an answer is reported as unknown.
        """
        stop = _Stop(name=name, run=run)
        self._withdrawn.add(stop)
        self._give(stop)

    def order_pace(
        self, name: _ports.TaskName, run: int, percent: int
    ) -> None:
        """Send a pace once; the next decision repeats it if need be."""
        self._give(_Pace(name=name, run=run, percent=percent))

    def _give(self, order: _Order) -> None:
        self._orders.append(order)
        self._parts.loop.run_soon(self._next_order)

    def _until_ms(self) -> float | None:
        """Return a new lease's end on the runner's clock.

        None if the runner has not answered lately: what is sent to it may
        still arrive, and the leases of what it lost would never run out.
        None too when the lease was given back: the next holder counts on it.
        """
        if not self.reached or self.silent_seconds > _TRUSTED_SECONDS:
            return None
        if self._parts.lease.lost:
            return None
        passed = (_clock.awake_seconds() - self._clock_at) * 1000.0
        until = self._clock_ms + passed + self._lease_seconds * 1000.0
        self._lease_until_ms = max(self._lease_until_ms, until)
        return float(int(until))

    def _close(self) -> None:
        self._lookout.close()
        self._orders_to.close()

    def _ask(
        self,
        connection: peridotsill.JsonConnection,
        asked: _ports.RunnerCall[_T],
        take: collections.abc.Callable[[_Reader[_T]], None],
    ) -> None:
        """Call the runner; ``take`` gets the reader of what it said."""

        def done(outcome: peridotsill.CallResult) -> None:
            if not self._stopped:
                take(lambda: self._read(asked, outcome))

        connection.call(asked.call, done)

    def _read(
        self, asked: _ports.RunnerCall[_T], outcome: peridotsill.CallResult
    ) -> _T:
        try:
            return asked.read(outcome)
        except exceptions.RunnerError:
            raise
        except Exception as error:
            # A link that raised would never look again.
            _logs.log(
                "runner:unreadable", runner=self.entry.id, reason=repr(error)
            )
            raise exceptions.RunnerUnavailable(
                repr(error), sent=True
            ) from error

    # Looks.

    def _look(self) -> None:
        """Look, if nothing else is to be waited for first."""
        if self._looking or self._stopped or self._resting:
            return
        lapsed = self._parts.lease.lapsed_seconds
        if lapsed > LOOK_WITHOUT_LEASE_SECONDS:
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
        until = self._until_ms()
        trusted = until is not None and self._reported <= self._last_seen
        wait = self._wait_seconds if trusted else 0.0
        asked_at = _clock.awake_seconds()
        self._looking = True
        self._ask(
            self._lookout,
            self._calls.look(
                fence=self._parts.lease.epoch,
                last_seen=self._last_seen,
                lease_until_ms=until,
                wait_seconds=wait,
                timeout_seconds=wait + _LOOK_TIMEOUT_SECONDS,
            ),
            lambda read: self._looked(read, asked_at),
        )

    def _looked(
        self, read: _Reader[_ports.RunnerReport], asked_at: float
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

    # Orders.

    def _next_order(self) -> None:
        """Send the next order, if none is under way."""
        if self._ordering or self._stopped or not self._orders:
            return
        self._ordering = True
        match self._orders.popleft():
            case _ports.StartOrder() as order:
                self._send_start(_Starting(order=order))
            case _Stop() as order:
                self._send_stop(order)
            case _Pace() as order:
                self._send_pace(order)

    def _ordered(self) -> None:
        self._ordering = False
        if self._orders:
            self._parts.loop.run_soon(self._next_order)

    def _send_start(self, starting: _Starting) -> None:
        order = starting.order
        until = self._until_ms()
        if until is None or not self._parts.lease.held:
            self._end_start(
                starting, "the lease or the runner's clock is not known"
            )
            return
        if _Stop(name=order.name, run=order.run) in self._withdrawn:
            self._end_start(starting, "withdrawn")
            return
        starting.tries_left -= 1
        leased = attrs.evolve(order, lease_until_ms=until)
        self._ask(
            self._orders_to,
            self._calls.start(leased, _ORDER_TIMEOUT_SECONDS),
            lambda read: self._started(starting, read),
        )

    def _started(self, starting: _Starting, read: _Reader[float]) -> None:
        order, clean = starting.order, starting.clean
        try:
            read()
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
            self._end_start(starting, str(error))
        except exceptions.RunnerUnavailable as error:
            starting.clean = clean and not error.sent
            if starting.tries_left:
                self._send_start(starting)
            else:
                self._end_start(starting, str(error))
        except exceptions.RunnerError as error:
            self._report(order, True, OrderResult.REFUSED, str(error), clean)
            self._ordered()
        else:
            self._report(order, True, OrderResult.DONE, "", clean)
            self._ordered()

    def _end_start(self, starting: _Starting, reason: str) -> None:
        """Report a start that was not answered, or not sent at all."""
        clean = starting.clean
        result = OrderResult.NOT_SENT if clean else OrderResult.UNKNOWN
        self._report(starting.order, True, result, reason, clean)
        self._ordered()

    def _send_stop(self, order: _Stop) -> None:
        self._withdrawn.discard(order)
        self._ask(
            self._orders_to,
            self._calls.stop(
                order.name,
                order.run,
                self._parts.lease.epoch,
                _ORDER_TIMEOUT_SECONDS,
            ),
            lambda read: self._stop_answered(order, read),
        )

    def _stop_answered(self, order: _Stop, read: _Reader[float]) -> None:
        try:
            read()
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
        except exceptions.OrderRefused as error:
            self._report(order, False, OrderResult.REFUSED, str(error), True)
        except exceptions.RunnerError as error:
            self._report(order, False, OrderResult.UNKNOWN, str(error), False)
        else:
            self._report(order, False, OrderResult.DONE, "", True)
        self._ordered()

    def _send_pace(self, order: _Pace) -> None:
        self._ask(
            self._orders_to,
            self._calls.pace(
                order.name,
                order.run,
                order.percent,
                self._parts.lease.epoch,
                _ORDER_TIMEOUT_SECONDS,
            ),
            lambda read: self._paced(order, read),
        )

    def _paced(self, order: _Pace, read: _Reader[float]) -> None:
        try:
            read()
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
        except exceptions.RunnerError as error:
            _logs.log(
                "task:pace_failed",
                job=order.name.job,
                task=order.name.task,
                reason=str(error),
            )
        self._ordered()

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
