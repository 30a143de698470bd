"""A model of the start protocol: two schedulers, two runners, one task.

All states within a bound are enumerated. A scheduler records a start by a
conditional write of the task's row and then orders it. Orders may arrive
late, answers may be lost, schedulers may be frozen or killed between any
two steps, and runners may crash, be partitioned and let leases lapse. Each
mechanism of the protocol can be left out; the enumeration then has to find
two runs of the task at once, or one started after the task's end.
"""

import collections.abc
import enum

import attrs

from model import search

_MAX_RUNS = 2
_MAX_ORDERS = 2
_RUNNERS = (0, 1)


class Mechanism(enum.Enum):
    """A mechanism that can be left out of the protocol."""

    CONDITIONAL_WRITE = "the conditional write"
    FENCE = "the fence check"
    STOP_FIRST = "the stop before a restart"
    EXPIRY = "the expiry of late starts"
    LIFETIME = "the check of the lifetime"


class Phase(enum.Enum):
    """The task's phase in its row."""

    WAITING = enum.auto()
    STARTED = enum.auto()
    DONE = enum.auto()


@attrs.frozen(kw_only=True, cache_hash=True)
class Row:
    """The task's row in the store."""

    version: int = 1
    phase: Phase = Phase.WAITING
    run: int = 0
    runner: int = 0
    lifetime: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class Scheduler:
    """A holder, or former holder, of the lease, and what it knows.

    ``deposed`` says that it has found out that it lost the lease;
    ``start_unsent`` that a start is recorded and not ordered yet; and
    ``stop_answered`` that the runner answered the stop of the row's run.
    """

    epoch: int
    is_leader: bool = False
    deposed: bool = False
    row: Row = Row()
    start_unsent: bool = False
    stop_answered: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class Runner:
    """A runner in one of its lifetimes.

    ``highest_ended_run`` is the highest run that was stopped or ended here.
    ``done`` is the run that is listed as done; it is dropped if the lease
    lapses. A runner is partitioned at most once: ``was_partitioned``.
    """

    lifetime: int = 1
    fence: int = 0
    highest_ended_run: int = 0
    running: int = 0
    done: int = 0
    partitioned: bool = False
    was_partitioned: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class Order:
    """A start in flight; an expired one is refused on arrival."""

    runner: int
    lifetime: int
    run: int
    epoch: int
    expired: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class State:
    """The whole system.

    ``restarted_after_end`` marks a start after an end that a runner lists
    and that the row doesn't hold yet. ``violation`` says what is wrong in
    this state, or is empty.
    """

    row: Row = Row()
    schedulers: tuple[Scheduler, ...] = (
        Scheduler(epoch=1, is_leader=True),
        Scheduler(epoch=2),
    )
    runners: tuple[Runner, ...] = (Runner(), Runner())
    orders: frozenset[Order] = frozenset()
    restarted_after_end: bool = False
    violation: str = ""


def _replaced(items: tuple, index: int, item: object) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _with_changes(items: tuple, index: int, **changes: object) -> tuple:
    return _replaced(items, index, attrs.evolve(items[index], **changes))


class Model:
    """The protocol, with some mechanisms left out."""

    def __init__(self, *, without: frozenset[Mechanism] = frozenset()) -> None:
        self._without = without

    def check(self, max_states: int) -> search.Verdict:
        """Search the states, up to the first violation."""
        return search.search([State()], self._successors, max_states)

    def _has(self, mechanism: Mechanism) -> bool:
        return mechanism not in self._without

    def _successors(self, state: State) -> collections.abc.Iterator[State]:
        for index, scheduler in enumerate(state.schedulers):
            if scheduler.deposed:
                continue
            # A frozen or killed scheduler is one that takes no steps.
            if scheduler.is_leader:
                yield from self._leader_steps(state, index, scheduler)
            elif index:
                yield self._take_over(state, index)
        for number in _RUNNERS:
            yield from self._runner_steps(state, number)
        for order in state.orders:
            yield from self._deliver(state, order)

    # Steps of schedulers.

    def _with_scheduler(
        self, state: State, index: int, **changes: object
    ) -> State:
        return attrs.evolve(
            state, schedulers=_with_changes(state.schedulers, index, **changes)
        )

    def _take_over(self, state: State, index: int) -> State:
        return self._with_scheduler(
            state,
            index,
            is_leader=True,
            row=state.row,
        )

    def _leader_steps(
        self, state: State, index: int, scheduler: Scheduler
    ) -> collections.abc.Iterator[State]:
        row = scheduler.row
        if scheduler.start_unsent:
            yield self._send_order(state, index, scheduler)
        elif row.phase is Phase.WAITING and row.run < _MAX_RUNS:
            for number in _RUNNERS:
                yield from self._record_start(state, index, row, number)
        elif row.phase is Phase.STARTED:
            yield from self._check_runner(state, index, scheduler)

    def _write(
        self, state: State, index: int, row: Row, **changes: object
    ) -> collections.abc.Iterator[State]:
        """Write a row; it may conflict, and its answer may be lost."""
        unconditional = not self._has(Mechanism.CONDITIONAL_WRITE)
        if state.row.version != row.version and not unconditional:
            # A conflict tells a former holder that it has lost the lease.
            if state.schedulers[1].is_leader and index == 0:
                yield self._with_scheduler(
                    state, index, deposed=True, is_leader=False
                )
            else:
                yield self._reload(state, index)
            return
        row = attrs.evolve(row, version=state.row.version + 1)
        written = attrs.evolve(state, row=row)
        yield self._with_scheduler(written, index, row=row, **changes)
        yield self._reload(written, index)

    def _reload(self, state: State, index: int) -> State:
        return self._with_scheduler(
            state,
            index,
            row=state.row,
            start_unsent=False,
            stop_answered=False,
        )

    def _record_start(
        self, state: State, index: int, row: Row, number: int
    ) -> collections.abc.Iterator[State]:
        runner = state.runners[number]
        if runner.partitioned:
            return
        started = attrs.evolve(
            row,
            phase=Phase.STARTED,
            run=row.run + 1,
            runner=number,
            lifetime=runner.lifetime,
        )
        yield from self._write(
            state, index, started, start_unsent=True, stop_answered=False
        )

    def _send_order(
        self, state: State, index: int, scheduler: Scheduler
    ) -> State:
        row = scheduler.row
        order = Order(
            runner=row.runner,
            lifetime=row.lifetime,
            run=row.run,
            epoch=scheduler.epoch,
        )
        sent = self._with_scheduler(state, index, start_unsent=False)
        if len(state.orders) >= _MAX_ORDERS:
            return sent
        return attrs.evolve(sent, orders=state.orders | {order})

    def _check_runner(
        self, state: State, index: int, scheduler: Scheduler
    ) -> collections.abc.Iterator[State]:
        """Poll the runner that the row names, and act on its report."""
        row = scheduler.row
        runner = state.runners[row.runner]
        if runner.partitioned:
            if self._leases_lapsed(state, row):
                yield from self._requeue(state, index, row)
            return
        if runner.fence > scheduler.epoch and self._has(Mechanism.FENCE):
            yield self._with_scheduler(
                state, index, deposed=True, is_leader=False
            )
            return
        if runner.lifetime != row.lifetime:
            yield from self._requeue(state, index, row)
            return
        fence = max(runner.fence, scheduler.epoch)
        state = attrs.evolve(
            state,
            runners=_with_changes(state.runners, row.runner, fence=fence),
        )
        if runner.done == row.run:
            yield from self._record_end(state, index, row)
        elif runner.running == row.run:
            yield self._with_scheduler(state, index)
        elif scheduler.stop_answered or not self._has(Mechanism.STOP_FIRST):
            yield from self._requeue(state, index, row)
        else:
            yield self._stop(state, index, row)

    def _leases_lapsed(self, state: State, row: Row) -> bool:
        """Whether no run can hold a lease, and no start still take effect."""
        runner = state.runners[row.runner]
        if runner.running or runner.done:
            return False
        if not self._has(Mechanism.EXPIRY):
            return True
        former = state.schedulers[0]
        unsent = state.schedulers[1].is_leader and former.start_unsent
        return not unsent and not any(
            order.runner == row.runner and not order.expired
            for order in state.orders
        )

    def _requeue(
        self, state: State, index: int, row: Row
    ) -> collections.abc.Iterator[State]:
        waiting = attrs.evolve(row, phase=Phase.WAITING)
        yield from self._write(state, index, waiting, stop_answered=False)

    def _record_end(
        self, state: State, index: int, row: Row
    ) -> collections.abc.Iterator[State]:
        done = attrs.evolve(row, phase=Phase.DONE)
        for found in self._write(state, index, done):
            restarted_after_end = (
                state.restarted_after_end and found.row.phase is Phase.DONE
            )
            violation = "started after its end" if restarted_after_end else ""
            yield attrs.evolve(found, violation=violation)

    def _stop(self, state: State, index: int, row: Row) -> State:
        runner = state.runners[row.runner]
        running = 0 if runner.running <= row.run else runner.running
        stopped = attrs.evolve(
            state,
            runners=_with_changes(
                state.runners,
                row.runner,
                highest_ended_run=max(runner.highest_ended_run, row.run),
                running=running,
            ),
        )
        return self._with_scheduler(stopped, index, stop_answered=True)

    # Steps of runners, and the delivery of orders.

    def _runner_steps(
        self, state: State, number: int
    ) -> collections.abc.Iterator[State]:
        runner = state.runners[number]
        if runner.running:
            yield self._with_runner(
                state,
                number,
                running=0,
                done=runner.running,
                highest_ended_run=max(
                    runner.highest_ended_run, runner.running
                ),
            )
        if runner.lifetime == 1:
            restarted = Runner(
                lifetime=2, was_partitioned=runner.was_partitioned
            )
            crashed = attrs.evolve(restarted, partitioned=runner.partitioned)
            yield attrs.evolve(
                state,
                runners=_replaced(state.runners, number, crashed),
            )
        if not runner.was_partitioned:
            yield self._with_runner(
                state, number, partitioned=True, was_partitioned=True
            )
        if runner.partitioned:
            yield self._with_runner(state, number, partitioned=False)
            yield self._expire_leases(state, number)

    def _with_runner(
        self, state: State, number: int, **changes: object
    ) -> State:
        return attrs.evolve(
            state, runners=_with_changes(state.runners, number, **changes)
        )

    def _expire_leases(self, state: State, number: int) -> State:
        """Let a runner's leases lapse, and starts sent to it so far expire."""
        runner = state.runners[number]
        lapsed = self._with_runner(
            state,
            number,
            running=0,
            done=0,
            highest_ended_run=max(runner.highest_ended_run, runner.running),
        )
        if not self._has(Mechanism.EXPIRY):
            return lapsed
        if state.schedulers[1].is_leader:
            # By this time a former holder's check of its lease has failed,
            # or a start that it sent after the check has expired.
            lapsed = self._with_scheduler(lapsed, 0, start_unsent=False)
        orders = frozenset(
            attrs.evolve(
                order, expired=order.expired or order.runner == number
            )
            for order in state.orders
        )
        return attrs.evolve(lapsed, orders=orders)

    def _deliver(
        self, state: State, order: Order
    ) -> collections.abc.Iterator[State]:
        left = attrs.evolve(state, orders=state.orders - {order})
        # It is lost, or arrives now. A partition only delays it.
        yield left
        runner = state.runners[order.runner]
        if self._refuses(runner, order):
            return
        other = state.runners[1 - order.runner]
        started = self._with_runner(
            left,
            order.runner,
            running=order.run,
            fence=max(runner.fence, order.epoch),
        )
        violation = "two runs at once" if other.running else ""
        restarted_after_end = (
            state.restarted_after_end or bool(other.done) or bool(runner.done)
        )
        if state.row.phase is Phase.DONE:
            violation = violation or "started after its end"
        yield attrs.evolve(
            started,
            violation=violation,
            restarted_after_end=restarted_after_end,
        )

    def _refuses(self, runner: Runner, order: Order) -> bool:
        if order.expired or runner.running == order.run:
            return True
        if order.run <= max(runner.highest_ended_run, runner.running):
            return True
        if self._has(Mechanism.LIFETIME) and order.lifetime != runner.lifetime:
            return True
        return self._has(Mechanism.FENCE) and order.epoch < runner.fence
