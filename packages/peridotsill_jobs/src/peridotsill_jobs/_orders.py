"""Sends one runner its orders, one at a time: starts, stops and paces."""

import collections

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _runner_client
from peridotsill_jobs import exceptions

# Timeout of the answer to an order; a start is then sent once more.
_TIMEOUT_SECONDS = 0.6
_START_ATTEMPTS = 2
# Pause after a stop that was refused at once, as it is ordered again.
_REFUSED_STOP_PAUSE_SECONDS = 0.3

_Result = _link_events.OrderResult


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
class _StartAttempts:
    """The attempts of one start.

    ``no_attempt_in_flight`` is as in `OrderOutcome`.
    """

    order: _ports.StartOrder
    attempts_left: int = _START_ATTEMPTS
    no_attempt_in_flight: bool = True


class OrderSender:
    """Queues and sends a runner's orders; posts outcomes of starts and stops.

    An outcome is an `OrderOutcome`.
    """

    def __init__(self, *, parts: _runner_client.LinkParts) -> None:
        self._parts = parts
        self._client = _runner_client.RunnerClient(parts=parts)
        self._orders: collections.deque[_Order] = collections.deque()
        self._in_flight = False
        self._stopped = False
        self._withdrawn: set[_Stop] = set()
        # The start in flight, and those that were sent and got no answer.
        # The loop's thread sets them and the scheduler's reads them.
        self._start_in_flight: _ports.StartOrder | None = None
        self._unanswered_starts: frozenset[tuple[_ports.TaskName, int]] = (
            frozenset()
        )

    def may_have_begun(self, name: _ports.TaskName, run: int) -> bool:
        """Tell whether a start that got no answer may have been executed."""
        in_flight = self._start_in_flight
        return (name, run) in self._unanswered_starts or (
            in_flight is not None
            and (in_flight.name, in_flight.run) == (name, run)
        )

    def stop(self) -> None:
        """Close the connection and drop the orders that were not sent."""
        self._stopped = True
        self._parts.loop.run_soon(self._client.close)

    def start_run(self, order: _ports.StartOrder) -> None:
        """Queue a start; its lease is set when it is sent."""
        self._enqueue(order)

    def stop_run(self, name: _ports.TaskName, run: int) -> None:
        """Queue a stop, and withdraw the run's start if it is not sent yet.

        A stop that gets no answer is reported as unknown.
        """
        stop = _Stop(name=name, run=run)
        self._withdrawn.add(stop)
        self._enqueue(stop)

    def pace_run(self, name: _ports.TaskName, run: int, percent: int) -> None:
        """Queue a pace; it is not retried, as the next decision repeats it."""
        self._enqueue(_Pace(name=name, run=run, percent=percent))

    def _enqueue(self, order: _Order) -> None:
        self._orders.append(order)
        self._parts.loop.run_soon(self._send_next)

    def _send_next(self) -> None:
        """Send the next order, unless one is in flight."""
        if self._in_flight or self._stopped or not self._orders:
            return
        self._in_flight = True
        match self._orders.popleft():
            case _ports.StartOrder() as order:
                self._send_start(_StartAttempts(order=order))
            case _Stop() as order:
                self._send_stop(order)
            case _Pace() as order:
                self._send_pace(order)

    def _finish_order(self) -> None:
        self._in_flight = False
        if self._orders:
            self._parts.loop.run_soon(self._send_next)

    def _send_start(self, attempts: _StartAttempts) -> None:
        order = attempts.order
        until = self._parts.grants.extend()
        if until is None or not self._parts.lease.held:
            self._report_unanswered_start(
                attempts,
                "the runner refuses connections"
                if self._parts.grants.refused
                else "the lease or the runner's clock is not known",
            )
            return
        if _clock.monotonic_seconds() > order.send_before:
            self._report_unanswered_start(
                attempts, "the registry was not read for too long"
            )
            return
        if _Stop(name=order.name, run=order.run) in self._withdrawn:
            self._report_unanswered_start(attempts, "withdrawn")
            return
        attempts.attempts_left -= 1
        self._start_in_flight = order
        known_clock_ms = self._parts.grants.last_clock_ms
        self._client.call(
            lambda token: self._parts.calls.start(
                attrs.evolve(order, lease_until_ms=until, fence=token),
                _TIMEOUT_SECONDS,
            ),
            lambda read: self._handle_start_answer(
                attempts, read, known_clock_ms
            ),
        )

    def _handle_start_answer(
        self,
        attempts: _StartAttempts,
        read: _runner_client.AnswerReader[float],
        known_clock_ms: float,
    ) -> None:
        order, no_attempt_in_flight = (
            attempts.order,
            attempts.no_attempt_in_flight,
        )
        # Before the answer is read, which posts what it shows of the runner.
        self._start_in_flight = None
        try:
            clock_ms = read()
        except exceptions.StaleFencingToken as error:
            self._parts.lease.mark_lost(str(error))
            self._report_unanswered_start(attempts, str(error))
        except exceptions.CallOvertaken:
            attempts.attempts_left += 1
            self._send_start(attempts)
        except exceptions.ConnectionRefused as error:
            self._report_unanswered_start(attempts, str(error))
        except exceptions.WrongLifetime as error:
            # The process of an earlier attempt has ended too.
            attempts.no_attempt_in_flight = True
            self._report_unanswered_start(attempts, str(error))
        except exceptions.RunnerUnavailable as error:
            attempts.no_attempt_in_flight = (
                no_attempt_in_flight and not error.sent
            )
            if error.sent:
                self._unanswered_starts |= {(order.name, order.run)}
            if attempts.attempts_left:
                self._send_start(attempts)
            else:
                self._report_unanswered_start(attempts, str(error))
        except exceptions.RunnerError as error:
            self._report(
                order, True, _Result.REFUSED, str(error), no_attempt_in_flight
            )
            self._finish_order()
        else:
            self._report(
                order,
                True,
                _Result.DONE,
                "",
                no_attempt_in_flight,
                is_from_another=clock_ms < known_clock_ms,
            )
            self._finish_order()

    def _report_unanswered_start(
        self, attempts: _StartAttempts, reason: str
    ) -> None:
        """Report a start that was unanswered, not sent or fenced off."""
        no_attempt_in_flight = attempts.no_attempt_in_flight
        result = _Result.NOT_SENT if no_attempt_in_flight else _Result.UNKNOWN
        self._report(
            attempts.order, True, result, reason, no_attempt_in_flight
        )
        self._finish_order()

    def _send_stop(self, order: _Stop) -> None:
        self._withdrawn.discard(order)
        self._client.call(
            lambda token: self._parts.calls.stop(
                order.name, order.run, token, _TIMEOUT_SECONDS
            ),
            lambda read: self._handle_stop_answer(order, read),
        )

    def _handle_stop_answer(
        self, order: _Stop, read: _runner_client.AnswerReader[float]
    ) -> None:
        try:
            read()
        except exceptions.StaleFencingToken as error:
            self._parts.lease.mark_lost(str(error))
        except exceptions.CallOvertaken:
            self._send_stop(order)
            return
        except (
            exceptions.RunnerUnhealthy,
            exceptions.ConnectionRefused,
        ) as error:
            self._report(order, False, _Result.UNKNOWN, str(error), False)
            self._parts.loop.run_later(
                _REFUSED_STOP_PAUSE_SECONDS, self._finish_order
            )
            return
        except exceptions.OrderRefused as error:
            self._report(order, False, _Result.REFUSED, str(error), True)
        except exceptions.RunnerError as error:
            self._report(order, False, _Result.UNKNOWN, str(error), False)
        else:
            self._report(order, False, _Result.DONE, "", True)
        self._finish_order()

    def _send_pace(self, order: _Pace) -> None:
        self._client.call(
            lambda token: self._parts.calls.pace(
                order.name, order.run, order.percent, token, _TIMEOUT_SECONDS
            ),
            lambda read: self._handle_pace_answer(order, read),
        )

    def _handle_pace_answer(
        self, order: _Pace, read: _runner_client.AnswerReader[float]
    ) -> None:
        try:
            read()
        except exceptions.StaleFencingToken as error:
            self._parts.lease.mark_lost(str(error))
        except exceptions.RunnerError as error:
            _logs.log(
                "task:pace_failed",
                job=order.name.job,
                task=order.name.task,
                reason=str(error),
            )
        self._finish_order()

    def _report(
        self,
        order: _ports.StartOrder | _Stop,
        is_start: bool,
        result: _Result,
        reason: str,
        no_attempt_in_flight: bool,
        is_from_another: bool = False,
    ) -> None:
        if result in (_Result.DONE, _Result.REFUSED):
            self._unanswered_starts -= {(order.name, order.run)}
        self._parts.post(
            _link_events.OrderOutcome(
                runner=self._parts.entry.id,
                lifetime=self._parts.entry.lifetime,
                name=order.name,
                run=order.run,
                is_start=is_start,
                result=result,
                reason=reason,
                answered_at=_clock.monotonic_seconds(),
                no_attempt_in_flight=no_attempt_in_flight,
                is_from_another=is_from_another,
            )
        )
