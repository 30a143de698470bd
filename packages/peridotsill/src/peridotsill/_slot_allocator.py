"""Allocates the slots of a service's runners; queues requests for them."""

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

# Batch requests are considered before interactive ones in every 8th call of
# `_decide_next`, so that they don't starve.
_BATCH_FIRST_INTERVAL = 8
_MIN_LATEST_RUN_WEIGHT = 0.1
_RUN_MARGIN_FACTOR = 1.15
_RUN_MARGIN_SECONDS = 0.05


class SlotAllocatorKind(_codec.TextEnum):
    """Whether an allocator has all slots of a service or one node's share."""

    HOME = "home"
    SHARE = "share"


@attrs.frozen(kw_only=True)
class SlotRequest:
    """A node's request for a slot, for one attempt of a caller's request.

    ``id`` is unique for each attempt and also identifies the granted
    hold, so that the slot can be released even if the reply with the
    grant was lost. ``excluded`` are VMs to avoid after failed attempts.
    ``borrow`` requests a slot of a sibling's share, if one is free now.
    ``deadline_seconds`` is relative to the arrival of this request, so
    that the nodes' clocks need not be synchronised.
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
    """A granted slot on a VM; ``hold`` is the id to release it by.

    ``home`` is the node whose allocator counts the slot, or empty if no
    allocator does. ``passes`` counts how often the holder has reused the
    slot for another of its requests since it was granted.
    """

    hold: str
    service: str
    vm: str
    home: str
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE
    kind: SlotAllocatorKind = SlotAllocatorKind.HOME
    fallback: bool = False
    passes: int = 0
    candidates: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SlotRefusal:
    """A refusal; a retry makes sense after ``retry_after_seconds``."""

    reason: str
    retry_after_seconds: float = 1.0


@attrs.frozen(kw_only=True)
class Hold:
    """A slot in use, as reported by the node that holds it."""

    hold: str
    service: str
    vm: str
    node: str
    seconds_left: float
    priority: _requests.RequestClass = _requests.RequestClass.INTERACTIVE


@attrs.frozen(kw_only=True)
class Release:
    """The end of a hold; ``ran_seconds`` is how long the request ran.

    If ``passed_to`` is set, the holder has already reused the slot for
    another of its own queued requests, without a round trip to the home
    node.
    """

    hold: str
    service: str
    ran_seconds: float | None = None
    passed_to: Hold | None = None


@attrs.frozen(kw_only=True)
class VmSlotUsage:
    """How many slots of a VM an allocator may grant, and how many are held."""

    vm: str
    slots: int
    used: int


SlotResult = result.Result[SlotGrant, SlotRefusal]
OutcomeCallback = collections.abc.Callable[[SlotResult], None]


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    request: SlotRequest
    deadline: float
    notify: OutcomeCallback
    outcome: SlotResult | None = None


class OutcomeFuture:
    """A one-shot future for the outcome of a slot request."""

    def __init__(self) -> None:
        self._outcome_is_set = threading.Event()
        self.outcome: SlotResult | None = None

    def set_outcome(self, outcome: SlotResult) -> None:
        """Set the outcome and wake the waiting thread."""
        self.outcome = outcome
        self._outcome_is_set.set()

    def wait(self, seconds: float) -> SlotResult | None:
        """Return the outcome, or None after ``seconds`` without one."""
        self._outcome_is_set.wait(max(seconds, 0.0))
        return self.outcome


class SlotAllocator:
    """Grants slots, earliest deadline first within a priority class.

    Holds are soft state: a hold ends when it is released, or else expires.
    A hold granted here expires one mean run time after its request's
    deadline, a reported one after its ``seconds_left``.
    """

    def __init__(
        self,
        *,
        service: str,
        home: str,
        kind: SlotAllocatorKind,
        expected_seconds: float,
        batch_share: float,
        queue_limit: int,
    ) -> None:
        self._service = service
        self._home = home
        self._kind = kind
        self._mean_seconds = dict.fromkeys(
            _requests.RequestClass, max(expected_seconds, 0.001)
        )
        self._batch_share = batch_share
        self._queue_limit = queue_limit
        self._run_counts: collections.Counter[_requests.RequestClass] = (
            collections.Counter()
        )
        self._capacity: dict[str, int] = {}
        self._holds_by_id: dict[str, tuple[Hold, float]] = {}
        self._used_by_vm: collections.Counter[str] = collections.Counter()
        self._released_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._queues: dict[
            _requests.RequestClass, list[tuple[float, int, _Waiter]]
        ] = {each: [] for each in _requests.RequestClass}
        self._waiters_by_id: dict[str, _Waiter] = {}
        self._batch_hold_count = 0
        self._refused_count = 0
        self._round_number = 0
        self._sequence = itertools.count()
        self._lock = threading.Lock()

    @property
    def held(self) -> int:
        """Number of slots in use."""
        return len(self._holds_by_id)

    @property
    def waiting(self) -> int:
        """Number of queued slot requests."""
        return len(self._waiters_by_id)

    def reset_refused_count(self) -> int:
        """Return the number of refusals since the last call, and reset it.

        Refusals by `acquire_now` aren't counted, nor queued requests that
        are withdrawn.
        """
        with self._lock:
            refused, self._refused_count = self._refused_count, 0
            return refused

    @property
    def total(self) -> int:
        """Number of slots that may be granted at once."""
        return sum(self._capacity.values())

    def set_capacity(self, capacity: typing.Mapping[str, int]) -> None:
        """Set the number of slots of each VM and process the queue."""
        with self._lock:
            self._capacity = dict(capacity)
        self.process_queue()

    def add_holds(self, holds: typing.Iterable[Hold]) -> None:
        """Count holds granted by another home node or as a fallback."""
        now = time.monotonic()
        with self._lock:
            for hold in holds:
                known = hold.hold in self._holds_by_id
                if known or hold.hold in self._released_ids:
                    continue
                self._add_hold(hold, now + hold.seconds_left)

    def limit_holds_of_node(self, node: str, grace_seconds: float) -> None:
        """Limit the holds of a dead node to a grace period from now."""
        latest_expiry = time.monotonic() + grace_seconds
        with self._lock:
            for hold, expiry in tuple(self._holds_by_id.values()):
                if hold.node == node:
                    self._holds_by_id[hold.hold] = (
                        hold,
                        min(expiry, latest_expiry),
                    )

    def acquire(self, request: SlotRequest) -> SlotResult:
        """Wait for a slot while the request can still meet its deadline.

        A request is refused at once if it was withdrawn already, if no
        runner is in service, if the queue is full, or if, by the current
        estimate, it would not get a slot and finish before its deadline.
        """
        future = OutcomeFuture()
        outcome = self.submit(request, future.set_outcome)
        if outcome is None:
            max_wait_seconds = (
                request.deadline_seconds
                - self._min_needed_seconds(request.priority)
            )
            outcome = future.wait(max_wait_seconds)
        if outcome is None:
            self.process_queue()
            outcome = future.wait(0.0)
        if outcome is None:
            self.release(Release(hold=request.id, service=request.service))
            outcome = result.Failure(
                SlotRefusal(reason="no slot came free in time")
            )
        return outcome

    def submit(
        self, request: SlotRequest, notify: OutcomeCallback
    ) -> SlotResult | None:
        """Return the outcome, or queue the request and return None.

        For a queued request ``notify`` is called with the outcome, from
        any thread that processes the queue, so it must not block. It is
        not called if the outcome is returned or if the request is
        withdrawn by a `Release`.
        """
        deadline = time.monotonic() + request.deadline_seconds
        with self._lock:
            self._expire_holds()
            refusal = self._check_admission(request)
            if refusal is not None:
                self._refused_count += 1
                return result.Failure(refusal)
            waiter = _Waiter(request=request, deadline=deadline, notify=notify)
            vm = self._choose_vm(request)
            self._waiters_by_id[request.id] = waiter
            if (
                vm is not None
                and not self._count_waiting(request.priority) - 1
            ):
                # No check against the expected run time: a slot is free now.
                self._grant(waiter, vm)
                return waiter.outcome
            queue_entry = (deadline, next(self._sequence), waiter)
            heapq.heappush(self._queues[request.priority], queue_entry)
            decided = self._decide_queued()
        self._notify_decided(decided, waiter)
        return waiter.outcome

    def acquire_now(self, request: SlotRequest) -> SlotResult:
        """Grant a free slot if nothing is queued, else refuse at once."""
        with self._lock:
            self._expire_holds()
            vm = None if self._waiters_by_id else self._choose_vm(request)
            if vm is None:
                return result.Failure(SlotRefusal(reason="none is free"))
            deadline = time.monotonic() + request.deadline_seconds
            waiter = _Waiter(
                request=request, deadline=deadline, notify=_discard_outcome
            )
            self._waiters_by_id[request.id] = waiter
            self._grant(waiter, vm)
        return typing.cast(SlotResult, waiter.outcome)

    def usage_by_vm(self) -> tuple[VmSlotUsage, ...]:
        """Return the number of slots and of holds of each VM."""
        with self._lock:
            names = set(self._capacity) | set(+self._used_by_vm)
            return tuple(
                VmSlotUsage(
                    vm=name,
                    slots=self._capacity.get(name, 0),
                    used=self._used_by_vm[name],
                )
                for name in sorted(names)
            )

    def process_queue(self) -> None:
        """Expire holds, grant free slots and refuse late requests."""
        with self._lock:
            self._expire_holds()
            decided = self._decide_queued()
            now = time.monotonic()
            for waiter in tuple(self._waiters_by_id.values()):
                min_needed_seconds = self._min_needed_seconds(
                    waiter.request.priority
                )
                if waiter.deadline < now + min_needed_seconds:
                    self._refuse_for_deadline(waiter)
                    decided.append(waiter)
        self._notify_decided(decided, None)

    def _min_needed_seconds(self, priority: _requests.RequestClass) -> float:
        """Return the expected run time of a request, with a margin."""
        mean = self._mean_seconds[priority]
        return mean * _RUN_MARGIN_FACTOR + _RUN_MARGIN_SECONDS

    def _count_waiting(self, priority: _requests.RequestClass) -> int:
        return sum(
            1
            for waiter in self._waiters_by_id.values()
            if waiter.request.priority is priority
        )

    def _refuse_for_deadline(self, waiter: _Waiter) -> None:
        del self._waiters_by_id[waiter.request.id]
        self._refused_count += 1
        refusal = SlotRefusal(
            reason="no slot came free in time",
            retry_after_seconds=self._estimate_queue_seconds(
                waiter.request.priority
            ),
        )
        waiter.outcome = result.Failure(refusal)

    def _notify_decided(
        self, decided: list[_Waiter], returned_waiter: _Waiter | None
    ) -> None:
        for waiter in decided:
            if waiter is not returned_waiter and waiter.outcome is not None:
                waiter.notify(waiter.outcome)

    def _check_admission(self, request: SlotRequest) -> SlotRefusal | None:
        if request.id in self._released_ids:
            return SlotRefusal(reason="the ask was withdrawn")
        if not self.total:
            return SlotRefusal(reason="no runner is in service")
        queue_seconds = self._estimate_queue_seconds(request.priority)
        if len(self._waiters_by_id) >= self._queue_limit:
            return SlotRefusal(
                reason=f"the queue holds {len(self._waiters_by_id)} requests",
                retry_after_seconds=queue_seconds,
            )
        needed_seconds = 0.0
        if self._has_no_free_slot(request):
            needed_seconds = queue_seconds + self._min_needed_seconds(
                request.priority
            )
        if needed_seconds > request.deadline_seconds:
            return SlotRefusal(
                reason=(
                    f"needs {needed_seconds:.2f} s, the caller waits "
                    f"{request.deadline_seconds:.2f} s"
                ),
                retry_after_seconds=queue_seconds,
            )
        return None

    def _has_no_free_slot(self, request: SlotRequest) -> bool:
        return self._choose_vm(request) is None

    def _estimate_queue_seconds(
        self, priority: _requests.RequestClass
    ) -> float:
        queue_length = self._count_waiting(priority) + 1
        slots = self.total
        if priority is _requests.RequestClass.BATCH:
            slots = math.floor(slots * self._batch_share)
        return queue_length * self._mean_seconds[priority] / max(slots, 1)

    def release(self, release: Release) -> None:
        """End a hold or withdraw a queued request; idempotent."""
        with self._lock:
            self._waiters_by_id.pop(release.hold, None)
            # Remembered for requests and holds that arrive after their
            # release; bounded.
            self._released_ids[release.hold] = None
            while len(self._released_ids) > 20000:
                self._released_ids.popitem(last=False)
            hold = self._remove_hold(release.hold)
            if release.passed_to is not None:
                self._transfer_hold(release.passed_to)
            if release.ran_seconds is not None and hold is not None:
                self._update_mean(hold.priority, release.ran_seconds)
            decided = self._decide_queued()
        self._notify_decided(decided, None)

    def _update_mean(
        self, priority: _requests.RequestClass, seconds: float
    ) -> None:
        """Update the mean: plain at first, then exponentially weighted."""
        self._run_counts[priority] += 1
        weight = max(_MIN_LATEST_RUN_WEIGHT, 1 / self._run_counts[priority])
        deviation = seconds - self._mean_seconds[priority]
        self._mean_seconds[priority] += weight * deviation

    def _transfer_hold(self, hold: Hold) -> None:
        self._waiters_by_id.pop(hold.hold, None)
        # A slot that this allocator has granted to the request meanwhile is
        # not used by the holder.
        self._remove_hold(hold.hold)
        if hold.hold not in self._released_ids:
            self._add_hold(hold, time.monotonic() + hold.seconds_left)

    def _decide_queued(self) -> list[_Waiter]:
        decided: list[_Waiter] = []
        while self._decide_next(decided):
            pass
        return decided

    def _decide_next(self, decided: list[_Waiter]) -> bool:
        self._round_number += 1
        order = list(_requests.RequestClass)
        if self._round_number % _BATCH_FIRST_INTERVAL == 0:
            order.reverse()
        return any(self._decide_next_in_class(each, decided) for each in order)

    def _decide_next_in_class(
        self, priority: _requests.RequestClass, decided: list[_Waiter]
    ) -> bool:
        queue = self._queues[priority]
        while queue and queue[0][2].request.id not in self._waiters_by_id:
            heapq.heappop(queue)
        if not queue:
            return False
        waiter = queue[0][2]
        min_needed_seconds = self._min_needed_seconds(priority)
        if waiter.deadline < time.monotonic() + min_needed_seconds:
            heapq.heappop(queue)
            self._refuse_for_deadline(waiter)
            decided.append(waiter)
            return True
        vm = self._choose_vm(waiter.request)
        if vm is None:
            return False
        heapq.heappop(queue)
        self._grant(waiter, vm)
        decided.append(waiter)
        return True

    def _choose_vm(self, request: SlotRequest) -> str | None:
        if request.priority is _requests.RequestClass.BATCH:
            if self._batch_hold_count >= math.floor(
                self.total * self._batch_share
            ):
                return None
        free_vms = [
            (self._used_by_vm[vm] / slots, vm)
            for vm, slots in self._capacity.items()
            if self._used_by_vm[vm] < slots
        ]
        allowed_vms = [
            each for each in free_vms if each[1] not in request.excluded
        ]
        # A retry avoids excluded VMs, and waits while all slots of the
        # other VMs are held. If every VM is excluded, any VM will do.
        if not allowed_vms and set(self._capacity) - set(request.excluded):
            return None
        best = min(allowed_vms or free_vms, default=None)
        return best[1] if best else None

    def _grant(self, waiter: _Waiter, vm: str) -> None:
        request = waiter.request
        hold = Hold(
            hold=request.id,
            service=self._service,
            vm=vm,
            node=request.node,
            seconds_left=waiter.deadline - time.monotonic(),
            priority=request.priority,
        )
        # A request abandoned at its deadline may keep running on the VM.
        self._add_hold(
            hold, waiter.deadline + self._mean_seconds[request.priority]
        )
        del self._waiters_by_id[request.id]
        grant = SlotGrant(
            hold=hold.hold,
            service=self._service,
            vm=vm,
            home=self._home,
            priority=request.priority,
            kind=self._kind,
            candidates=tuple(
                f"{name}: {self._used_by_vm[name]} of {slots} slots held"
                for name, slots in self._capacity.items()
            ),
        )
        waiter.outcome = result.Success(grant)

    def _add_hold(self, hold: Hold, expires_at: float) -> None:
        self._holds_by_id[hold.hold] = (hold, expires_at)
        self._used_by_vm[hold.vm] += 1
        if hold.priority is _requests.RequestClass.BATCH:
            self._batch_hold_count += 1

    def _remove_hold(self, hold_id: str) -> Hold | None:
        entry = self._holds_by_id.pop(hold_id, None)
        if entry is None:
            return None
        self._used_by_vm[entry[0].vm] -= 1
        if entry[0].priority is _requests.RequestClass.BATCH:
            self._batch_hold_count -= 1
        return entry[0]

    def _expire_holds(self) -> None:
        now = time.monotonic()
        expired_ids = [
            hold_id
            for hold_id, (_, expires_at) in self._holds_by_id.items()
            if expires_at < now
        ]
        for hold_id in expired_ids:
            self._remove_hold(hold_id)


def _discard_outcome(outcome: SlotResult) -> None:
    """Ignore an outcome that the caller also gets as a return value."""


@attrs.frozen(kw_only=True)
class SlotReply:
    """A node's reply to the slot request with id ``ask``.

    If ``queued`` is set, the outcome follows in another reply. If
    ``warming`` is set, the home node is new and does not know yet which
    slots are held, so it can't decide.
    """

    ask: str
    grant: SlotGrant | None = None
    refusal: SlotRefusal | None = None
    warming: bool = False
    queued: bool = False
