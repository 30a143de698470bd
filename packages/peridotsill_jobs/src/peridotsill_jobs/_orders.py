"""Orders to one runner: starts, stops and paces, one after another."""

import collections

import attrs

from peridotsill_jobs import _asking
from peridotsill_jobs import _clock
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

# Time for the answer to an order, before it is sent once more.
_TIMEOUT_SECONDS = 0.6
_START_TRIES = 2

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
class _Starting:
    """The tries of one start; ``clean`` as in `OrderOutcome`."""

    order: _ports.StartOrder
    tries_left: int = _START_TRIES
    clean: bool = True


class OrderGiver:
    """Gives a runner its orders, and posts what came of starts and stops."""

    def __init__(self, *, parts: _asking.LinkParts) -> None:
        self._parts = parts
        self._asker = _asking.Asker(parts=parts)
        self._orders: collections.deque[_Order] = collections.deque()
        self._ordering = False
        self._stopped = False
        self._withdrawn: set[_Stop] = set()

    def stop(self) -> None:
        """Close the connection; orders that were not sent are dropped."""
        self._stopped = True
        self._parts.loop.run_soon(self._asker.close)

    def start_run(self, order: _ports.StartOrder) -> None:
        """Send a start; its lease is set when it leaves."""
        self._give(order)

    def stop_run(self, name: _ports.TaskName, run: int) -> None:
        """Send a stop; a start of the run that was not sent yet is not.

        A stop without an answer is reported as unknown.
        """
        stop = _Stop(name=name, run=run)
        self._withdrawn.add(stop)
        self._give(stop)

    def pace_run(self, name: _ports.TaskName, run: int, percent: int) -> None:
        """Send a pace once; the next decision repeats it if need be."""
        self._give(_Pace(name=name, run=run, percent=percent))

    def _give(self, order: _Order) -> None:
        self._orders.append(order)
        self._parts.loop.run_soon(self._next_order)

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
        until = self._parts.grants.extend()
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
        self._asker.ask(
            self._parts.calls.start(leased, _TIMEOUT_SECONDS),
            lambda read: self._started(starting, read),
        )

    def _started(
        self, starting: _Starting, read: _asking.Reader[float]
    ) -> None:
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
            self._report(order, True, _Result.REFUSED, str(error), clean)
            self._ordered()
        else:
            self._report(order, True, _Result.DONE, "", clean)
            self._ordered()

    def _end_start(self, starting: _Starting, reason: str) -> None:
        """Report a start that was not answered, or not sent at all."""
        clean = starting.clean
        result = _Result.NOT_SENT if clean else _Result.UNKNOWN
        self._report(starting.order, True, result, reason, clean)
        self._ordered()

    def _send_stop(self, order: _Stop) -> None:
        self._withdrawn.discard(order)
        self._asker.ask(
            self._parts.calls.stop(
                order.name,
                order.run,
                self._parts.lease.epoch,
                _TIMEOUT_SECONDS,
            ),
            lambda read: self._stop_answered(order, read),
        )

    def _stop_answered(
        self, order: _Stop, read: _asking.Reader[float]
    ) -> None:
        try:
            read()
        except exceptions.Fenced as error:
            self._parts.lease.lose(str(error))
        except exceptions.OrderRefused as error:
            self._report(order, False, _Result.REFUSED, str(error), True)
        except exceptions.RunnerError as error:
            self._report(order, False, _Result.UNKNOWN, str(error), False)
        else:
            self._report(order, False, _Result.DONE, "", True)
        self._ordered()

    def _send_pace(self, order: _Pace) -> None:
        self._asker.ask(
            self._parts.calls.pace(
                order.name,
                order.run,
                order.percent,
                self._parts.lease.epoch,
                _TIMEOUT_SECONDS,
            ),
            lambda read: self._paced(order, read),
        )

    def _paced(self, order: _Pace, read: _asking.Reader[float]) -> None:
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
        result: _Result,
        reason: str,
        clean: bool,
    ) -> None:
        self._parts.post(
            _link_events.OrderOutcome(
                runner=self._parts.entry.id,
                lifetime=self._parts.entry.lifetime,
                name=order.name,
                run=order.run,
                is_start=is_start,
                result=result,
                reason=reason,
                at=_clock.awake_seconds(),
                clean=clean,
            )
        )
