"""Slots of one service's runners, and the bounded queue for them."""

import collections
import collections.abc
import heapq
import itertools
import math
import threading
import time
import typing

import attrs
from returns import result

from peridotsill import _codec
from peridotsill import _requests

_BATCH_TURN = 8
_MEAN_WEIGHT = 0.1
_RUN_MARGIN_FACTOR = 1.15
_RUN_MARGIN_SECONDS = 0.05


class LedgerKind(_codec.TextEnum):
    """What a ledger counts: all slots of a service, or a node's share."""

    HOME = "home"
    SHARE = "share"


@attrs.frozen(kw_only=True)
class SlotAsk:
    """A request's wish for a slot.

    ``id`` is unique for each attempt and names the slot that is granted,
    so that it can be given back even if the grant's answer was lost.
    ``borrow`` asks a sibling for a slot of its share that is free now.
    ``deadline_seconds`` counts from the moment the ask arrives, so that
    no clock has to agree between nodes.
    """

    id: str
    service: str
    node: str
    deadline_seconds: float
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE
    excluded: tuple[str, ...] = ()
    borrow: bool = False


@attrs.frozen(kw_only=True)
class SlotGrant:
    """A slot on a VM; ``hold`` names it when it is given back.

    ``home`` is the node whose ledger counts it, or empty if none does.
    """

    hold: str
    service: str
    vm: str
    home: str
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE
    kind: LedgerKind = LedgerKind.HOME
    fallback: bool = False
    passes: int = 0
    candidates: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SlotRefusal:
    """No slot in time; ``retry_after_seconds`` says when to come back."""

    reason: str
    retry_after_seconds: float = 1.0


@attrs.frozen(kw_only=True)
class Hold:
    """A slot that is in use, as its holder reports it."""

    hold: str
    service: str
    vm: str
    node: str
    seconds_left: float
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE


@attrs.frozen(kw_only=True)
class Release:
    """The end of a hold, with the slot's run time in seconds.

    If ``passed_to`` is set, the holder has given the slot on to another
    of its own asks, which then need not wait for the home.
    """

    hold: str
    service: str
    ran_seconds: float | None = None
    passed_to: Hold | None = None


@attrs.frozen(kw_only=True)
class VmUse:
    """How many slots of a VM a ledger may grant, and has granted."""

    vm: str
    slots: int
    used: int


SlotResult = result.Result[SlotGrant, SlotRefusal]
Notify = collections.abc.Callable[[SlotResult], None]


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    ask: SlotAsk
    deadline: float
    notify: Notify
    outcome: SlotResult | None = None


class Mailbox:
    """Where a thread waits for the outcome of its ask."""

    def __init__(self) -> None:
        self._arrived = threading.Event()
        self.outcome: SlotResult | None = None

    def put(self, outcome: SlotResult) -> None:
        """Leave the outcome and wake the waiting thread."""
        self.outcome = outcome
        self._arrived.set()

    def wait(self, seconds: float) -> SlotResult | None:
        """Return the outcome, or None if it did not come in time."""
        self._arrived.wait(max(seconds, 0.0))
        return self.outcome


class Ledger:
    """Grants slots, shortest slack first within a class.

    Slots are soft state: a hold ends when it is released or when its
    request's deadline has passed.
    """

    def __init__(
        self,
        *,
        service: str,
        home: str,
        kind: LedgerKind,
        expected_seconds: float,
        batch_share: float,
        queue_limit: int,
    ) -> None:
        self._service = service
        self._home = home
        self._kind = kind
        self._means = dict.fromkeys(
            _requests.RequestClass, max(expected_seconds, 0.001)
        )
        self._batch_share = batch_share
        self._queue_limit = queue_limit
        self._runs: collections.Counter[_requests.RequestClass] = (
            collections.Counter()
        )
        self._capacity: dict[str, int] = {}
        self._holds: dict[str, tuple[Hold, float]] = {}
        self._used: collections.Counter[str] = collections.Counter()
        self._released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._queues: dict[
            _requests.RequestClass, list[tuple[float, int, _Waiter]]
        ] = {each: [] for each in _requests.RequestClass}
        self._waiters: dict[str, _Waiter] = {}
        self._batch_held = 0
        self._refused = 0
        self._turn = 0
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    @property
    def held(self) -> int:
        """Number of slots in use."""
        return len(self._holds)

    @property
    def waiting(self) -> int:
        """Number of asks in the queue."""
        return len(self._waiters)

    def take_refused(self) -> int:
        """Return how many asks were refused since the last call."""
        with self._lock:
            refused, self._refused = self._refused, 0
            return refused

    @property
    def total(self) -> int:
        """Number of slots that may be granted at once."""
        return sum(self._capacity.values())

    def set_capacity(self, capacity: typing.Mapping[str, int]) -> None:
        """Replace the slots by VM, and serve whoever can go now."""
        with self._lock:
            self._capacity = dict(capacity)
        self.sweep()

    def adopt(self, holds: typing.Iterable[Hold]) -> None:
        """Count holds that another home or a fallback granted."""
        now = time.monotonic()
        with self._lock:
            for hold in holds:
                known = hold.hold in self._holds
                if known or hold.hold in self._released:
                    continue
                self._add(hold, now + hold.seconds_left)

    def drop_node(self, node: str, grace_seconds: float) -> None:
        """Let the holds of a dead node end after a grace time."""
        until = time.monotonic() + grace_seconds
        with self._lock:
            for hold, expiry in tuple(self._holds.values()):
                if hold.node == node:
                    self._holds[hold.hold] = (hold, min(expiry, until))

    def acquire(self, ask: SlotAsk) -> SlotResult:
        """Wait for a slot until the ask's deadline at the latest.

        An ask that can't be served in time by the current estimate is
        refused at once.
        """
        mailbox = Mailbox()
        outcome = self.submit(ask, mailbox.put)
        if outcome is None:
            left = ask.deadline_seconds - self._least_seconds(ask.priority)
            outcome = mailbox.wait(left)
        if outcome is None:
            self.sweep()
            outcome = mailbox.wait(0.0)
        if outcome is None:
            self.release(Release(hold=ask.id, service=ask.service))
            outcome = result.Failure(
                SlotRefusal(reason="no slot came free in time")
            )
        return outcome

    def submit(self, ask: SlotAsk, notify: Notify) -> SlotResult | None:
        """Decide about an ask now, or later through ``notify``.

        ``notify`` is called from whichever thread frees the slot; it must
        not block. It isn't called if the outcome is returned.
        """
        deadline = time.monotonic() + ask.deadline_seconds
        with self._lock:
            self._expire()
            refusal = self._refusal(ask)
            if refusal is not None:
                self._refused += 1
                return result.Failure(refusal)
            waiter = _Waiter(ask=ask, deadline=deadline, notify=notify)
            vm = self._choose(ask)
            self._waiters[ask.id] = waiter
            if vm is not None and not self._count_waiting(ask.priority) - 1:
                # However short its deadline is: a slot is free now.
                self._grant(waiter, vm)
                return waiter.outcome
            item = (deadline, next(self._numbers), waiter)
            heapq.heappush(self._queues[ask.priority], item)
            decided = self._serve()
        self._tell(decided, waiter)
        return waiter.outcome

    def take_free(self, ask: SlotAsk) -> SlotResult:
        """Grant a slot that nobody waits for, or refuse; never wait."""
        with self._lock:
            self._expire()
            vm = None if self._waiters else self._choose(ask)
            if vm is None:
                return result.Failure(SlotRefusal(reason="none is free"))
            deadline = time.monotonic() + ask.deadline_seconds
            waiter = _Waiter(ask=ask, deadline=deadline, notify=_ignore)
            self._waiters[ask.id] = waiter
            self._grant(waiter, vm)
        return typing.cast(SlotResult, waiter.outcome)

    def uses(self) -> tuple[VmUse, ...]:
        """Return the slots and the holds of each VM."""
        with self._lock:
            names = set(self._capacity) | set(+self._used)
            return tuple(
                VmUse(
                    vm=name,
                    slots=self._capacity.get(name, 0),
                    used=self._used[name],
                )
                for name in sorted(names)
            )

    def sweep(self) -> None:
        """Refuse those who can't be served in time any more."""
        with self._lock:
            self._expire()
            decided = self._serve()
            now = time.monotonic()
            for waiter in tuple(self._waiters.values()):
                least = self._least_seconds(waiter.ask.priority)
                if waiter.deadline < now + least:
                    self._refuse_late(waiter)
                    decided.append(waiter)
        self._tell(decided, None)

    def _least_seconds(self, priority: _requests.RequestClass) -> float:
        """Return the time that a queued request still needs for its run."""
        mean = self._means[priority]
        return mean * _RUN_MARGIN_FACTOR + _RUN_MARGIN_SECONDS

    def _count_waiting(self, priority: _requests.RequestClass) -> int:
        return sum(
            1
            for waiter in self._waiters.values()
            if waiter.ask.priority is priority
        )

    def _refuse_late(self, waiter: _Waiter) -> None:
        del self._waiters[waiter.ask.id]
        self._refused += 1
        refusal = SlotRefusal(
            reason="no slot came free in time",
            retry_after_seconds=self._queue_seconds(waiter.ask.priority),
        )
        waiter.outcome = result.Failure(refusal)

    def _tell(self, decided: list[_Waiter], but: _Waiter | None) -> None:
        for waiter in decided:
            if waiter is not but and waiter.outcome is not None:
                waiter.notify(waiter.outcome)

    def _refusal(self, ask: SlotAsk) -> SlotRefusal | None:
        if ask.id in self._released:
            return SlotRefusal(reason="the ask was withdrawn")
        if not self.total:
            return SlotRefusal(reason="no runner is in service")
        seconds = self._queue_seconds(ask.priority)
        if len(self._waiters) >= self._queue_limit:
            return SlotRefusal(
                reason=f"the queue holds {len(self._waiters)} requests",
                retry_after_seconds=seconds,
            )
        need = 0.0
        if self._is_full(ask):
            need = seconds + self._least_seconds(ask.priority)
        if need > ask.deadline_seconds:
            return SlotRefusal(
                reason=(
                    f"needs {need:.2f} s, the caller waits "
                    f"{ask.deadline_seconds:.2f} s"
                ),
                retry_after_seconds=seconds,
            )
        return None

    def _is_full(self, ask: SlotAsk) -> bool:
        return self._choose(ask) is None

    def _queue_seconds(self, priority: _requests.RequestClass) -> float:
        ahead = self._count_waiting(priority) + 1
        slots = self.total
        if priority is _requests.RequestClass.BATCH:
            slots = math.floor(slots * self._batch_share)
        return ahead * self._means[priority] / max(slots, 1)

    def release(self, release: Release) -> None:
        """End a hold or withdraw an ask; repeats change nothing."""
        with self._lock:
            self._waiters.pop(release.hold, None)
            self._released[release.hold] = None
            while len(self._released) > 20000:
                self._released.popitem(last=False)
            hold = self._remove(release.hold)
            if release.passed_to is not None:
                self._pass_on(release.passed_to)
            if release.ran_seconds is not None and hold is not None:
                self._learn(hold.priority, release.ran_seconds)
            decided = self._serve()
        self._tell(decided, None)

    def _learn(self, priority: _requests.RequestClass, seconds: float) -> None:
        """Follow the run time: the plain mean at first, then recent runs."""
        self._runs[priority] += 1
        weight = max(_MEAN_WEIGHT, 1 / self._runs[priority])
        step = seconds - self._means[priority]
        self._means[priority] += weight * step

    def _pass_on(self, hold: Hold) -> None:
        self._waiters.pop(hold.hold, None)
        # The home may have granted another slot meanwhile, which the
        # holder does not use.
        self._remove(hold.hold)
        if hold.hold not in self._released:
            self._add(hold, time.monotonic() + hold.seconds_left)

    def _serve(self) -> list[_Waiter]:
        decided: list[_Waiter] = []
        while self._serve_one(decided):
            pass
        return decided

    def _serve_one(self, decided: list[_Waiter]) -> bool:
        self._turn += 1
        order = list(_requests.RequestClass)
        if self._turn % _BATCH_TURN == 0:
            order.reverse()
        return any(self._serve_class(each, decided) for each in order)

    def _serve_class(
        self, priority: _requests.RequestClass, decided: list[_Waiter]
    ) -> bool:
        queue = self._queues[priority]
        while queue and queue[0][2].ask.id not in self._waiters:
            heapq.heappop(queue)
        if not queue:
            return False
        waiter = queue[0][2]
        least = self._least_seconds(priority)
        if waiter.deadline < time.monotonic() + least:
            heapq.heappop(queue)
            self._refuse_late(waiter)
            decided.append(waiter)
            return True
        vm = self._choose(waiter.ask)
        if vm is None:
            return False
        heapq.heappop(queue)
        self._grant(waiter, vm)
        decided.append(waiter)
        return True

    def _choose(self, ask: SlotAsk) -> str | None:
        if ask.priority is _requests.RequestClass.BATCH:
            if self._batch_held >= math.floor(self.total * self._batch_share):
                return None
        free = [
            (self._used[vm] / slots, vm)
            for vm, slots in self._capacity.items()
            if self._used[vm] < slots
        ]
        wanted = [each for each in free if each[1] not in ask.excluded]
        # A retry prefers another VM; with none left it waits for one,
        # unless every VM of the service was excluded.
        if not wanted and set(self._capacity) - set(ask.excluded):
            return None
        best = min(wanted or free, default=None)
        return best[1] if best else None

    def _grant(self, waiter: _Waiter, vm: str) -> None:
        ask = waiter.ask
        hold = Hold(
            hold=ask.id,
            service=self._service,
            vm=vm,
            node=ask.node,
            seconds_left=waiter.deadline - time.monotonic(),
            priority=ask.priority,
        )
        # A request that is given up at its deadline may run on a little.
        self._add(hold, waiter.deadline + self._means[ask.priority])
        del self._waiters[ask.id]
        grant = SlotGrant(
            hold=hold.hold,
            service=self._service,
            vm=vm,
            home=self._home,
            priority=ask.priority,
            kind=self._kind,
            candidates=tuple(
                f"{name}: {self._used[name]} of {slots} slots held"
                for name, slots in self._capacity.items()
            ),
        )
        waiter.outcome = result.Success(grant)

    def _add(self, hold: Hold, until: float) -> None:
        self._holds[hold.hold] = (hold, until)
        self._used[hold.vm] += 1
        if hold.priority is _requests.RequestClass.BATCH:
            self._batch_held += 1

    def _remove(self, name: str) -> Hold | None:
        entry = self._holds.pop(name, None)
        if entry is None:
            return None
        self._used[entry[0].vm] -= 1
        if entry[0].priority is _requests.RequestClass.BATCH:
            self._batch_held -= 1
        return entry[0]

    def _expire(self) -> None:
        now = time.monotonic()
        late = [name for name, (_, at) in self._holds.items() if at < now]
        for name in late:
            self._remove(name)


def _ignore(outcome: SlotResult) -> None:
    """Take the outcome of an ask that is decided at once."""


@attrs.frozen(kw_only=True)
class SlotReply:
    """A home's word on the ask of this id.

    ``queued`` says that the outcome follows; ``warming`` that the home
    can't know yet which slots are held.
    """

    ask: str
    grant: SlotGrant | None = None
    refusal: SlotRefusal | None = None
    warming: bool = False
    queued: bool = False
