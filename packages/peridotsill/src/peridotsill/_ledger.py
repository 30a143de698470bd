"""Slots of one service's runners, and the bounded queue for them."""

import collections
import heapq
import itertools
import math
import threading
import time
import typing

import attrs
from returns import result

from peridotsill import _requests

_BATCH_TURN = 8
_MEAN_WEIGHT = 0.05


@attrs.frozen(kw_only=True)
class SlotAsk:
    """A request's wish for a slot.

    ``id`` is unique for each attempt and names the slot that is granted,
    so that it can be given back even if the grant's answer was lost.
    ``deadline_seconds`` counts from the moment the ask arrives, so that
    no clock has to agree between nodes.
    """

    id: str
    service: str
    node: str
    deadline_seconds: float
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE
    excluded: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SlotGrant:
    """A slot on a VM; ``hold`` names it when it is given back."""

    hold: str
    service: str
    vm: str
    home: str
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
    """The end of a hold, with the slot's run time in seconds."""

    hold: str
    service: str
    ran_seconds: float | None = None


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    ask: SlotAsk
    deadline: float
    ready: threading.Event
    outcome: SlotGrant | None = None
    gone: bool = False


SlotResult = result.Result[SlotGrant, SlotRefusal]


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
        expected_seconds: float,
        batch_share: float,
        queue_limit: int,
    ) -> None:
        self._service = service
        self._home = home
        self._mean_seconds = max(expected_seconds, 0.001)
        self._batch_share = batch_share
        self._queue_limit = queue_limit
        self._capacity: dict[str, int] = {}
        self._holds: dict[str, tuple[Hold, float]] = {}
        self._used: collections.Counter[str] = collections.Counter()
        self._released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._queues: dict[
            _requests.RequestClass, list[tuple[float, int, _Waiter]]
        ] = {each: [] for each in _requests.RequestClass}
        self._waiting = 0
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
        return self._waiting

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
            self._expire()
            self._serve()

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

    def acquire(
        self, ask: SlotAsk, *, wait_seconds: float = float("inf")
    ) -> SlotResult | None:
        """Wait for a slot until the ask's deadline at the latest.

        An ask that can't be served in time by the current estimate is
        refused at once. None is returned if ``wait_seconds`` passed
        first; the same ask may then be made again and keeps its order,
        which goes by deadline.
        """
        now = time.monotonic()
        deadline = now + ask.deadline_seconds
        with self._lock:
            self._expire()
            refusal = self._refusal(ask)
            if refusal is not None:
                self._refused += 1
                return result.Failure(refusal)
            waiter = _Waiter(
                ask=ask, deadline=deadline, ready=threading.Event()
            )
            queue = self._queues[ask.priority]
            item = (deadline, next(self._numbers), waiter)
            heapq.heappush(queue, item)
            self._waiting += 1
            self._serve()
        return self._wait(waiter, now + wait_seconds)

    def _wait(self, waiter: _Waiter, until: float) -> SlotResult | None:
        last = waiter.deadline - self._mean_seconds
        left = min(last, until) - time.monotonic()
        while left > 0 and waiter.outcome is None:
            waiter.ready.wait(min(left, 0.5))
            left = min(last, until) - time.monotonic()
            with self._lock:
                self._expire()
                self._serve()
        with self._lock:
            if waiter.outcome is not None:
                return result.Success(waiter.outcome)
            waiter.gone = True
            self._waiting -= 1
            seconds = self._queue_seconds(waiter.ask.priority)
        if until < last:
            return None
        return result.Failure(
            SlotRefusal(
                reason="no slot came free in time",
                retry_after_seconds=seconds,
            )
        )

    def _refusal(self, ask: SlotAsk) -> SlotRefusal | None:
        if ask.id in self._released:
            return SlotRefusal(reason="the ask was withdrawn")
        if not self.total:
            return SlotRefusal(reason="no runner is in service")
        seconds = self._queue_seconds(ask.priority)
        if self._waiting >= self._queue_limit:
            return SlotRefusal(
                reason=f"the queue holds {self._waiting} requests",
                retry_after_seconds=seconds,
            )
        need = seconds + self._mean_seconds if self._is_full(ask) else 0.0
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
        ahead = self._waiting + 1
        if priority is _requests.RequestClass.INTERACTIVE:
            ahead = 1 + sum(
                1
                for _, _, waiter in self._queues[priority]
                if not waiter.gone and waiter.outcome is None
            )
        return ahead * self._mean_seconds / max(self.total, 1)

    def release(self, release: Release) -> None:
        """End a hold; repeated releases change nothing."""
        with self._lock:
            self._released[release.hold] = None
            while len(self._released) > 20000:
                self._released.popitem(last=False)
            self._remove(release.hold)
            if release.ran_seconds is not None:
                step = release.ran_seconds - self._mean_seconds
                self._mean_seconds += _MEAN_WEIGHT * step
            self._serve()

    def _serve(self) -> None:
        while self._serve_one():
            pass

    def _serve_one(self) -> bool:
        self._turn += 1
        order = list(_requests.RequestClass)
        if self._turn % _BATCH_TURN == 0:
            order.reverse()
        return any(self._serve_class(each) for each in order)

    def _serve_class(self, priority: _requests.RequestClass) -> bool:
        queue = self._queues[priority]
        while queue and queue[0][2].gone:
            heapq.heappop(queue)
        if not queue:
            return False
        waiter = queue[0][2]
        vm = self._choose(waiter.ask)
        if vm is None:
            return False
        heapq.heappop(queue)
        self._grant(waiter, vm)
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
        self._add(hold, waiter.deadline)
        self._waiting -= 1
        waiter.outcome = SlotGrant(
            hold=hold.hold,
            service=self._service,
            vm=vm,
            home=self._home,
            candidates=tuple(
                f"{name}: {self._used[name]} of {slots} slots held"
                for name, slots in self._capacity.items()
            ),
        )
        waiter.ready.set()

    def _add(self, hold: Hold, until: float) -> None:
        self._holds[hold.hold] = (hold, until)
        self._used[hold.vm] += 1
        if hold.priority is _requests.RequestClass.BATCH:
            self._batch_held += 1

    def _remove(self, name: str) -> None:
        entry = self._holds.pop(name, None)
        if entry is None:
            return
        self._used[entry[0].vm] -= 1
        if entry[0].priority is _requests.RequestClass.BATCH:
            self._batch_held -= 1

    def _expire(self) -> None:
        now = time.monotonic()
        late = [name for name, (_, at) in self._holds.items() if at < now]
        for name in late:
            self._remove(name)


@attrs.frozen(kw_only=True)
class SlotReply:
    """A home's answer to an ask: one of the two is set.

    ``warming`` says that the home can't know yet which slots are held,
    ``queued`` that the ask should be made again.
    """

    grant: SlotGrant | None = None
    refusal: SlotRefusal | None = None
    warming: bool = False
    queued: bool = False
