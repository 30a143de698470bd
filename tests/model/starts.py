"""A model of who may start a task: two schedulers, two runners, one row.

All states are enumerated within a bound. A scheduler records a start by a
conditional write of the task's row and then orders it; orders may arrive
late, answers may be lost, schedulers may be frozen or killed between any
two steps, runners may crash, be cut off, and let their leases lapse. A
mechanism can be left out; then a run of the task beside another, or after
its end, has to be found.
"""

import collections
import collections.abc
import enum

import attrs

_MAX_RUNS = 2
_MAX_ORDERS = 2
_RUNNERS = (0, 1)


class Mechanism(enum.Enum):
    """What can be left out of the protocol."""

    CONDITIONAL_WRITE = "the conditional write"
    FENCE = "the fence check"
    STOP_FIRST = "the stop before a restart"
    EXPIRY = "the expiry of late starts"
    LIFETIME = "the check of the lifetime"


class Phase(enum.Enum):
    """Where the task's row stands."""

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

    ``gone`` is one that has found out that it lost the lease;
    ``to_order`` says that a start is recorded and not ordered yet, and
    ``stopped`` that its stop was answered.
    """

    epoch: int
    leads: bool = False
    gone: bool = False
    row: Row = Row()
    to_order: bool = False
    stopped: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class Runner:
    """A runner in one of its lifetimes.

    ``barred`` is the highest run that was stopped or ended here, and
    ``done`` the run whose end as done is listed, if its lease held.
    """

    lifetime: int = 1
    fence: int = 0
    barred: int = 0
    running: int = 0
    done: int = 0
    cut: bool = False
    was_cut: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class Order:
    """A start on its way; once expired its time to run is over."""

    runner: int
    lifetime: int
    run: int
    epoch: int
    expired: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class State:
    """The whole system; ``late`` marks a start after an unnoted end."""

    row: Row = Row()
    schedulers: tuple[Scheduler, ...] = (
        Scheduler(epoch=1, leads=True),
        Scheduler(epoch=2),
    )
    runners: tuple[Runner, ...] = (Runner(), Runner())
    orders: frozenset[Order] = frozenset()
    late: bool = False
    wrong: str = ""


@attrs.frozen(kw_only=True, cache_hash=True)
class Verdict:
    """What the enumeration found; ``wrong`` is empty if nothing."""

    states: int
    wrong: str
    steps: int


def _put(items: tuple, index: int, item: object) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _change(items: tuple, index: int, **changes: object) -> tuple:
    return _put(items, index, attrs.evolve(items[index], **changes))


class Model:
    """The protocol, with some mechanisms left out."""

    def __init__(self, *, without: frozenset[Mechanism] = frozenset()) -> None:
        self._without = without

    def check(self, limit: int) -> Verdict:
        """Enumerate the states, nearest first, until one is wrong."""
        first = State()
        seen = {first}
        queue = collections.deque([(first, 0)])
        while queue and len(seen) < limit:
            state, depth = queue.popleft()
            for found in self._successors(state):
                if found.wrong:
                    return Verdict(
                        states=len(seen), wrong=found.wrong, steps=depth + 1
                    )
                if found not in seen:
                    seen.add(found)
                    queue.append((found, depth + 1))
        return Verdict(states=len(seen), wrong="", steps=0)

    def _has(self, mechanism: Mechanism) -> bool:
        return mechanism not in self._without

    def _successors(self, state: State) -> collections.abc.Iterator[State]:
        for index, scheduler in enumerate(state.schedulers):
            if scheduler.gone:
                continue
            # One that is frozen, or killed, takes no step while others do.
            if scheduler.leads:
                yield from self._act(state, index, scheduler)
            elif index:
                yield self._take_over(state, index)
        for number in _RUNNERS:
            yield from self._runner_events(state, number)
        for order in state.orders:
            yield from self._arrive(state, order)

    # Schedulers.

    def _scheduler(self, state: State, index: int, **changes: object) -> State:
        return attrs.evolve(
            state, schedulers=_change(state.schedulers, index, **changes)
        )

    def _take_over(self, state: State, index: int) -> State:
        return self._scheduler(
            state,
            index,
            leads=True,
            row=state.row,
        )

    def _act(
        self, state: State, index: int, scheduler: Scheduler
    ) -> collections.abc.Iterator[State]:
        row = scheduler.row
        if scheduler.to_order:
            yield self._order(state, index, scheduler)
        elif row.phase is Phase.WAITING and row.run < _MAX_RUNS:
            for number in _RUNNERS:
                yield from self._record_start(state, index, row, number)
        elif row.phase is Phase.STARTED:
            yield from self._follow(state, index, scheduler)

    def _write(
        self, state: State, index: int, row: Row, **changes: object
    ) -> collections.abc.Iterator[State]:
        """Write a row; the answer may be lost, the write may conflict."""
        free = not self._has(Mechanism.CONDITIONAL_WRITE)
        if state.row.version != row.version and not free:
            # A conflict tells a former holder that it has lost the lease.
            if state.schedulers[1].leads and index == 0:
                yield self._scheduler(state, index, gone=True, leads=False)
            else:
                yield self._reload(state, index)
            return
        row = attrs.evolve(row, version=state.row.version + 1)
        written = attrs.evolve(state, row=row)
        yield self._scheduler(written, index, row=row, **changes)
        yield self._reload(written, index)

    def _reload(self, state: State, index: int) -> State:
        return self._scheduler(
            state,
            index,
            row=state.row,
            to_order=False,
            stopped=False,
        )

    def _record_start(
        self, state: State, index: int, row: Row, number: int
    ) -> collections.abc.Iterator[State]:
        runner = state.runners[number]
        if runner.cut:
            return
        started = attrs.evolve(
            row,
            phase=Phase.STARTED,
            run=row.run + 1,
            runner=number,
            lifetime=runner.lifetime,
        )
        yield from self._write(
            state, index, started, to_order=True, stopped=False
        )

    def _order(self, state: State, index: int, scheduler: Scheduler) -> State:
        row = scheduler.row
        order = Order(
            runner=row.runner,
            lifetime=row.lifetime,
            run=row.run,
            epoch=scheduler.epoch,
        )
        sent = self._scheduler(state, index, to_order=False)
        if len(state.orders) >= _MAX_ORDERS:
            return sent
        return attrs.evolve(sent, orders=state.orders | {order})

    def _follow(
        self, state: State, index: int, scheduler: Scheduler
    ) -> collections.abc.Iterator[State]:
        """Look at the runner that the row names, and act on it."""
        row = scheduler.row
        runner = state.runners[row.runner]
        if runner.cut:
            if self._lapsed(state, row):
                yield from self._free(state, index, row)
            return
        if runner.fence > scheduler.epoch and self._has(Mechanism.FENCE):
            yield self._scheduler(state, index, gone=True, leads=False)
            return
        if runner.lifetime != row.lifetime:
            yield from self._free(state, index, row)
            return
        fence = max(runner.fence, scheduler.epoch)
        state = attrs.evolve(
            state, runners=_change(state.runners, row.runner, fence=fence)
        )
        if runner.done == row.run:
            yield from self._note_end(state, index, row)
        elif runner.running == row.run:
            yield self._scheduler(state, index)
        elif scheduler.stopped or not self._has(Mechanism.STOP_FIRST):
            yield from self._free(state, index, row)
        else:
            yield self._stop(state, index, row)

    def _lapsed(self, state: State, row: Row) -> bool:
        """Whether the time that any lease could last has passed."""
        runner = state.runners[row.runner]
        if runner.running or runner.done:
            return False
        if not self._has(Mechanism.EXPIRY):
            return True
        former = state.schedulers[0]
        unsent = state.schedulers[1].leads and former.to_order
        return not unsent and not any(
            order.runner == row.runner and not order.expired
            for order in state.orders
        )

    def _free(
        self, state: State, index: int, row: Row
    ) -> collections.abc.Iterator[State]:
        waiting = attrs.evolve(row, phase=Phase.WAITING)
        yield from self._write(state, index, waiting, stopped=False)

    def _note_end(
        self, state: State, index: int, row: Row
    ) -> collections.abc.Iterator[State]:
        done = attrs.evolve(row, phase=Phase.DONE)
        for found in self._write(state, index, done):
            late = state.late and found.row.phase is Phase.DONE
            wrong = "started after its end" if late else ""
            yield attrs.evolve(found, wrong=wrong)

    def _stop(self, state: State, index: int, row: Row) -> State:
        runner = state.runners[row.runner]
        running = 0 if runner.running <= row.run else runner.running
        stopped = attrs.evolve(
            state,
            runners=_change(
                state.runners,
                row.runner,
                barred=max(runner.barred, row.run),
                running=running,
            ),
        )
        return self._scheduler(stopped, index, stopped=True)

    # Runners and what is on its way to them.

    def _runner_events(
        self, state: State, number: int
    ) -> collections.abc.Iterator[State]:
        runner = state.runners[number]
        if runner.running:
            yield self._runner(
                state,
                number,
                running=0,
                done=runner.running,
                barred=max(runner.barred, runner.running),
            )
        if runner.lifetime == 1:
            fresh = Runner(lifetime=2, was_cut=runner.was_cut)
            crashed = attrs.evolve(fresh, cut=runner.cut)
            yield attrs.evolve(
                state,
                runners=_put(state.runners, number, crashed),
            )
        if not runner.was_cut:
            yield self._runner(state, number, cut=True, was_cut=True)
        if runner.cut:
            yield self._runner(state, number, cut=False)
            yield self._lapse(state, number)

    def _runner(self, state: State, number: int, **changes: object) -> State:
        return attrs.evolve(
            state, runners=_change(state.runners, number, **changes)
        )

    def _lapse(self, state: State, number: int) -> State:
        """Let all leases run out, and all starts until now expire."""
        runner = state.runners[number]
        lapsed = self._runner(
            state,
            number,
            running=0,
            done=0,
            barred=max(runner.barred, runner.running),
        )
        if not self._has(Mechanism.EXPIRY):
            return lapsed
        if state.schedulers[1].leads:
            # In this time a former holder's check of its lease fails, or
            # the start that it sends after the check has expired.
            lapsed = self._scheduler(lapsed, 0, to_order=False)
        orders = frozenset(
            attrs.evolve(
                order, expired=order.expired or order.runner == number
            )
            for order in state.orders
        )
        return attrs.evolve(lapsed, orders=orders)

    def _arrive(
        self, state: State, order: Order
    ) -> collections.abc.Iterator[State]:
        left = attrs.evolve(state, orders=state.orders - {order})
        # It is lost, or arrives now; a cut holds it back only for a while.
        yield left
        runner = state.runners[order.runner]
        if self._refuses(runner, order):
            return
        other = state.runners[1 - order.runner]
        started = self._runner(
            left,
            order.runner,
            running=order.run,
            fence=max(runner.fence, order.epoch),
        )
        wrong = "two runs at once" if other.running else ""
        late = state.late or bool(other.done) or bool(runner.done)
        if state.row.phase is Phase.DONE:
            wrong = wrong or "started after its end"
        yield attrs.evolve(started, wrong=wrong, late=late)

    def _refuses(self, runner: Runner, order: Order) -> bool:
        if order.expired or runner.running == order.run:
            return True
        if order.run <= max(runner.barred, runner.running):
            return True
        if self._has(Mechanism.LIFETIME) and order.lifetime != runner.lifetime:
            return True
        return self._has(Mechanism.FENCE) and order.epoch < runner.fence
