"""Allocation of runner slots to nodes, by one of four policies.

``blind`` counts this node's own requests only. ``share`` splits the slots
among the live nodes. ``borrow`` does so too, and a node without a free
slot borrows one from a sibling. ``permits`` has one allocator for each
service at the service's home, a node chosen by rendezvous hashing, and
falls back to ``share`` while the home does not answer or warms up.
"""

import abc
import collections
import collections.abc
import random
import threading
import time
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_siblings import _membership
from peridotsill_siblings import _messages
from peridotsill_siblings import exceptions

# A new home grants nothing until siblings had time to report their holds.
_HOME_WARM_UP_SECONDS = 1.2
_ANSWER_TIMEOUT_SECONDS = 1.2
_POLL_SECONDS = 0.25
_MAX_LOCAL_HANDOVERS = 16
# A sibling that refused to lend a slot of a service, or did not answer, is not
# asked for that service's slots again for this long.
_LENDER_BACKOFF_SECONDS = 0.5
_DEAD_NODE_GRACE_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class ServiceSlots:
    """A service and the VMs that may get its requests now."""

    service: peridotsill.Service
    vms: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SlotCounts:
    """Counters of a node's slot allocation, for metrics and benchmarks.

    ``held`` and ``waiting`` are the slots granted and the requests queued by
    this node's allocators now; the others count since the node started.
    ``messages`` are the slot batches sent to siblings.
    """

    messages: int
    fallbacks: int
    borrowed: int
    held: int
    waiting: int


Catalog = collections.abc.Callable[[str], ServiceSlots | None]
InFlight = collections.abc.Callable[[str], int]


@attrs.define(kw_only=True, eq=False)
class _PendingRequest:
    request: peridotsill.SlotRequest
    deadline: float
    decided: threading.Event = attrs.Factory(threading.Event)
    reply: peridotsill.SlotReply | None = None
    queued: bool = False


class Slots:
    """The slots that this node allocates, holds and borrows.

    ``catalog`` gives a service's VMs that are open for requests;
    ``in_flight`` counts this node's own requests at a VM.
    """

    def __init__(
        self,
        *,
        membership: _membership.Membership,
        catalog: Catalog,
        in_flight: InFlight,
    ) -> None:
        self.membership = membership
        self.catalog = catalog
        self.in_flight = in_flight
        self.fallbacks = 0
        self._pending: dict[str, _PendingRequest] = {}
        self._home_allocators: dict[
            str, tuple[peridotsill.SlotAllocator, float]
        ] = {}
        self._share_allocators: dict[str, peridotsill.SlotAllocator] = {}
        self._own_holds: dict[str, tuple[peridotsill.Hold, float]] = {}
        self._loads: tuple[_messages.ServiceLoad, ...] = ()
        self._dead_node_shares: list[tuple[float, _messages.ShareUsage]] = []
        self._lender_backoff_until: dict[tuple[str, str], float] = {}
        self.borrowed = 0
        self._lock = threading.Lock()

    def acquire(
        self, policy: str, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Acquire a slot by the named policy.

        Raises:
            UnknownPolicy: If there is no such policy.
        """
        outcome = policy_named(policy).acquire(self, request)
        match outcome:
            case result.Success(grant):
                self._record_hold(request, grant)
        return outcome

    def _record_hold(
        self, request: peridotsill.SlotRequest, grant: peridotsill.SlotGrant
    ) -> None:
        hold = peridotsill.Hold(
            hold=grant.hold,
            service=request.service,
            vm=grant.vm,
            node=request.node,
            seconds_left=request.deadline_seconds,
            priority=request.priority,
        )
        until = time.monotonic() + request.deadline_seconds
        with self._lock:
            self._own_holds[grant.hold] = (hold, until)

    def release(
        self,
        grant: peridotsill.SlotGrant,
        ran_seconds: float | None,
    ) -> None:
        """Return a slot to the allocator that counts it, if one does.

        The release may tell the home that one of this node's waiting
        requests has taken the slot over.
        """
        with self._lock:
            self._own_holds.pop(grant.hold, None)
        release = peridotsill.Release(
            hold=grant.hold, service=grant.service, ran_seconds=ran_seconds
        )
        if grant.home == "":
            return
        passed_to = self._hand_over_locally(grant)
        if passed_to is not None:
            release = attrs.evolve(release, passed_to=passed_to)
        if grant.kind is peridotsill.SlotAllocatorKind.HOME or grant.fallback:
            self._release_at_home(release)
        if grant.kind is peridotsill.SlotAllocatorKind.SHARE:
            self._release_share(grant.home, release)

    def _release_share(self, owner: str, release: peridotsill.Release) -> None:
        if owner == self.membership.node:
            self.apply_release(release)
        else:
            self.membership.enqueue(owner, release=release)

    def _hand_over_locally(
        self, grant: peridotsill.SlotGrant
    ) -> peridotsill.Hold | None:
        """Hand a slot over to one of this node's requests queued at a home.

        Of those with the same service and priority that may use the VM, the
        one with the earliest deadline gets it.

        Returning the slot to the home would leave the slot idle for a round
        trip. After ``_MAX_LOCAL_HANDOVERS`` in a row it is returned all
        the same, so that other nodes' requests are not starved.

        Returns:
            The new hold, or None if the slot is not handed over.
        """
        if grant.kind is not peridotsill.SlotAllocatorKind.HOME:
            return None
        if (
            grant.passes >= _MAX_LOCAL_HANDOVERS
            or grant.home == self.membership.node
        ):
            return None
        slots = self.catalog(grant.service)
        if slots is None or grant.vm not in slots.vms:
            return None
        with self._lock:
            pending = self._most_urgent(grant)
            if pending is None:
                return None
            passed = attrs.evolve(
                grant, hold=pending.request.id, passes=grant.passes + 1
            )
            pending.reply = peridotsill.SlotReply(
                ask=pending.request.id, grant=passed
            )
        pending.decided.set()
        return peridotsill.Hold(
            hold=pending.request.id,
            service=grant.service,
            vm=grant.vm,
            node=self.membership.node,
            seconds_left=pending.deadline - time.monotonic(),
            priority=pending.request.priority,
        )

    def _most_urgent(
        self, grant: peridotsill.SlotGrant
    ) -> "_PendingRequest | None":
        waiting = [
            pending
            for pending in self._pending.values()
            if pending.reply is None
            and pending.queued
            and pending.request.service == grant.service
            and pending.request.priority is grant.priority
            and grant.vm not in pending.request.excluded
        ]
        return min(waiting, key=lambda each: each.deadline, default=None)

    def _release_at_home(self, release: peridotsill.Release) -> None:
        home = self.home_of(release.service)
        if home == self.membership.node:
            self.apply_release(release)
            return
        self.membership.enqueue(home, release=release)

    def withdraw(self, request: peridotsill.SlotRequest) -> None:
        """Cancel a request at its home, and release a slot granted for it.

        The grant may have been lost on its way here.
        """
        self._release_at_home(
            peridotsill.Release(hold=request.id, service=request.service)
        )

    def apply_release(self, release: peridotsill.Release) -> None:
        """Apply a release to the allocators of this node."""
        entry = self._home_allocators.get(release.service)
        if entry is not None:
            entry[0].release(release)
        share = self._share_allocators.get(release.service)
        if share is not None:
            share.release(release)

    def home_of(self, service: str) -> str:
        """Return the home of a service: the node that has its allocator."""
        members = self.membership.serving_nodes()
        return peridotsill.rendezvous(service, members) or (
            self.membership.node
        )

    def holds_for(self, receiver: str | None) -> tuple[peridotsill.Hold, ...]:
        """Return this node's holds of services whose home is ``receiver``."""
        now = time.monotonic()
        with self._lock:
            self._own_holds = {
                name: entry
                for name, entry in self._own_holds.items()
                if entry[1] > now
            }
            held = tuple(self._own_holds.values())
        return tuple(
            attrs.evolve(hold, seconds_left=until - now)
            for hold, until in held
            if receiver is not None and self.home_of(hold.service) == receiver
        )

    def add_reported_holds(self, holds: tuple[peridotsill.Hold, ...]) -> None:
        """Add a sibling's reported holds to this node's home allocators."""
        for hold in holds:
            entry = self._home_allocators.get(hold.service)
            if entry is not None:
                entry[0].add_holds((hold,))

    def sync(self) -> None:
        """Update allocators to the live nodes and the VMs open for requests.

        Home allocators of services whose home is now another node are
        dropped.
        """
        for service, (allocator, _) in tuple(self._home_allocators.items()):
            if self.home_of(service) != self.membership.node:
                with self._lock:
                    self._home_allocators.pop(service, None)
                continue
            slots = self.catalog(service)
            allocator.set_capacity(_capacity_by_vm(slots))
        for service, allocator in tuple(self._share_allocators.items()):
            allocator.set_capacity(self._share_capacity(service))

    def expire_holds_of_node(self, node: str) -> None:
        """Expire a dead node's holds at this home after a grace time.

        The slots in use from its own share also count as used until then.
        """
        for allocator, _ in tuple(self._home_allocators.values()):
            allocator.limit_holds_of_node(node, _DEAD_NODE_GRACE_SECONDS)
        until = time.monotonic() + _DEAD_NODE_GRACE_SECONDS
        for use in self.membership.last_shares(node):
            self._dead_node_shares.append((until, use))

    def request_slot_from(
        self,
        node: str,
        request: peridotsill.SlotRequest,
        *,
        stop_on_home_change: bool = True,
    ) -> peridotsill.SlotReply | None:
        """Request a slot from another node, and wait for its decision.

        Returns None if the node is unknown or does not answer. With
        ``stop_on_home_change`` it also returns None if the node is no longer
        the service's home while the request waits, as a dead home would
        never decide. A request that was sent and is given up, or gets a
        ``warming`` reply, is withdrawn at the service's home.
        """
        deadline = time.monotonic() + request.deadline_seconds
        pending = _PendingRequest(request=request, deadline=deadline)
        self._pending[request.id] = pending
        try:
            if not self.membership.enqueue(node, request=request):
                return None
            reply = self._await_reply(
                pending, node if stop_on_home_change else None
            )
        finally:
            self._pending.pop(request.id, None)
        if reply is None or reply.warming:
            self.withdraw(request)
        return reply

    def _await_reply(
        self, pending: "_PendingRequest", home: str | None
    ) -> peridotsill.SlotReply | None:
        request = pending.request
        answer_by = time.monotonic() + _ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < pending.deadline:
            pending.decided.wait(_POLL_SECONDS)
            if pending.reply is not None:
                return pending.reply
            if not pending.queued and time.monotonic() > answer_by:
                return None
            if home is not None and self.home_of(request.service) != home:
                return None
        self.withdraw(request)
        return peridotsill.SlotReply(
            ask=request.id,
            refusal=peridotsill.SlotRefusal(
                reason="no slot came free in time"
            ),
        )

    def handle_replies(
        self, replies: tuple[peridotsill.SlotReply, ...]
    ) -> None:
        """Wake the requests that wait for these replies.

        A ``queued`` reply wakes none: the decision follows later.
        """
        for reply in replies:
            pending = self._pending.get(reply.ask)
            if pending is None:
                continue
            if reply.queued:
                pending.queued = True
                continue
            with self._lock:
                if pending.reply is None:
                    pending.reply = reply
            pending.decided.set()

    def handle_batch(
        self, batch: _messages.SlotBatch
    ) -> _messages.SlotReplies:
        """Apply a sibling's releases and replies, and decide its requests.

        The replies to requests that are queued follow later.
        """
        for release in batch.releases:
            self.apply_release(release)
        self.handle_replies(batch.replies)
        replies = tuple(
            self._decide(request, batch.node) for request in batch.asks
        )
        return _messages.SlotReplies(replies=replies)

    def _decide(
        self, request: peridotsill.SlotRequest, node: str
    ) -> peridotsill.SlotReply:
        if request.borrow:
            share = self.share_allocator(request.service)
            return _make_reply(request.id, share.acquire_now(request))
        allocator = self.home_allocator(request.service)
        if allocator is None:
            return peridotsill.SlotReply(ask=request.id, warming=True)

        def notify(outcome: peridotsill.SlotResult) -> None:
            self.membership.enqueue(
                node, reply=_make_reply(request.id, outcome)
            )

        outcome = allocator.submit(request, notify)
        if outcome is None:
            return peridotsill.SlotReply(ask=request.id, queued=True)
        return _make_reply(request.id, outcome)

    def acquire_as_home(
        self, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotReply:
        """Decide this node's own request, as the home of the service."""
        allocator = self.home_allocator(request.service)
        if allocator is None:
            return peridotsill.SlotReply(ask=request.id, warming=True)
        return _make_reply(request.id, allocator.acquire(request))

    def home_allocator(self, service: str) -> peridotsill.SlotAllocator | None:
        """Return the allocator of a service whose home is this node.

        Returns None while it warms up: siblings may hold slots that they
        have not reported to this home yet.
        """
        with self._lock:
            entry = self._home_allocators.get(service)
            if entry is None:
                entry = self._create_home_allocator(service)
            allocator, ready_at = entry
        return allocator if time.monotonic() >= ready_at else None

    def _create_home_allocator(
        self, service: str
    ) -> tuple[peridotsill.SlotAllocator, float]:
        allocator = self._create_allocator(
            service, peridotsill.SlotAllocatorKind.HOME
        )
        allocator.set_capacity(_capacity_by_vm(self.catalog(service)))
        alone = len(self.membership.serving_nodes()) == 1
        warm_up_seconds = 0.0 if alone else _HOME_WARM_UP_SECONDS
        own_holds = tuple(
            hold
            for hold, _ in self._own_holds.values()
            if hold.service == service
        )
        allocator.add_holds(own_holds)
        entry = (allocator, time.monotonic() + warm_up_seconds)
        self._home_allocators[service] = entry
        return entry

    def share_allocator(self, service: str) -> peridotsill.SlotAllocator:
        """Return the allocator of this node's own share of a service."""
        with self._lock:
            allocator = self._share_allocators.get(service)
            if allocator is not None:
                return allocator
            allocator = self._create_allocator(
                service, peridotsill.SlotAllocatorKind.SHARE
            )
            allocator.set_capacity(self._share_capacity(service))
            self._share_allocators[service] = allocator
        return allocator

    def _create_allocator(
        self, service: str, kind: peridotsill.SlotAllocatorKind
    ) -> peridotsill.SlotAllocator:
        slots = self.catalog(service)
        spec = (
            slots.service
            if slots
            else peridotsill.Service(name=service, pool="")
        )
        return peridotsill.SlotAllocator(
            service=service,
            home=self.membership.node,
            kind=kind,
            expected_seconds=spec.expected_seconds,
            batch_share=spec.batch_share,
            queue_limit=spec.queue_limit,
        )

    def _share_capacity(self, service: str) -> dict[str, int]:
        slots = self.catalog(service)
        if slots is None:
            return {}
        shares = self._shares_by_node(slots)
        own = shares[self.membership.node]
        # A slot that moved here from another node's share is granted only
        # once the former owner has stopped using it.
        for vm, excess in self._excess_use(service, shares).items():
            if vm in own:
                own[vm] = max(own[vm] - excess, 0)
        return own

    def _shares_by_node(
        self, slots: ServiceSlots
    ) -> dict[str, dict[str, int]]:
        members = self.membership.serving_nodes()
        shares: dict[str, dict[str, int]] = {each: {} for each in members}
        per_vm = slots.service.slots_per_vm
        for index in range(len(slots.vms) * per_vm):
            share = shares[members[index % len(members)]]
            vm = slots.vms[index // per_vm]
            share[vm] = share.get(vm, 0) + 1
        return shares

    def _excess_use(
        self, service: str, shares: dict[str, dict[str, int]]
    ) -> collections.Counter[str]:
        """Count, by VM, slots that siblings use beyond their current share.

        All slots that a dead node used count, until its grace time ends.
        """
        excess: collections.Counter[str] = collections.Counter()
        for heartbeat in self.membership.live_heartbeats():
            owned = shares.get(heartbeat.node, {})
            for use in heartbeat.shares:
                if use.service == service:
                    for each in use.vms:
                        beyond_share = each.used - owned.get(each.vm, 0)
                        excess[each.vm] += max(beyond_share, 0)
        now = time.monotonic()
        self._dead_node_shares = [
            each for each in self._dead_node_shares if each[0] > now
        ]
        for _, use in self._dead_node_shares:
            if use.service == service:
                for each in use.vms:
                    excess[each.vm] += each.used
        return excess

    def share_usages(self) -> tuple[_messages.ShareUsage, ...]:
        """Return this node's shares, with the slots granted from them."""
        found = []
        for service, allocator in tuple(self._share_allocators.items()):
            free = 0 if allocator.waiting else allocator.total - allocator.held
            found.append(
                _messages.ShareUsage(
                    service=service,
                    free=max(free, 0),
                    vms=allocator.usage_by_vm(),
                )
            )
        return tuple(found)

    def find_lender(self, service: str) -> str | None:
        """Return the sibling whose heartbeat reports the most free slots.

        Siblings that failed to lend a slot of this service within
        ``_LENDER_BACKOFF_SECONDS`` are skipped. Returns None if none is left.
        """
        best: tuple[int, str] | None = None
        now = time.monotonic()
        for heartbeat in self.membership.live_heartbeats():
            if (
                self._lender_backoff_until.get((heartbeat.node, service), 0.0)
                > now
            ):
                continue
            for use in heartbeat.shares:
                if use.service == service and use.free > 0:
                    best = max(best or (0, ""), (use.free, heartbeat.node))
        return best[1] if best else None

    def borrow(
        self, lender: str, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotGrant | None:
        """Request one of a sibling's free slots; None if it grants none."""
        lender_request = attrs.evolve(
            request, id=f"{request.id}+{lender}", borrow=True
        )
        reply = self.request_slot_from(
            lender, lender_request, stop_on_home_change=False
        )
        if reply is not None and reply.grant is not None:
            self.borrowed += 1
            return reply.grant
        if reply is None:
            release = peridotsill.Release(
                hold=lender_request.id, service=request.service
            )
            self._release_share(lender, release)
        until = time.monotonic() + _LENDER_BACKOFF_SECONDS
        self._lender_backoff_until[lender, request.service] = until
        return None

    def loads(self) -> tuple[_messages.ServiceLoad, ...]:
        """Return the demand that `update_loads` last found."""
        return self._loads

    def update_loads(self) -> None:
        """Update the loads and restart their count of refusals.

        Meant to be called about once a second.
        """
        self._loads = tuple(
            _messages.ServiceLoad(
                service=service,
                held=allocator.held,
                waiting=allocator.waiting,
                refused=allocator.reset_refused_count(),
            )
            for service, allocator in self._allocators()
        )

    def _allocators(self) -> list[tuple[str, peridotsill.SlotAllocator]]:
        home_allocators = [
            (service, allocator)
            for service, (allocator, _) in tuple(self._home_allocators.items())
        ]
        return home_allocators + list(self._share_allocators.items())

    def counts(self) -> SlotCounts:
        """Return the current values of the counters."""
        allocators = [allocator for _, allocator in self._allocators()]
        return SlotCounts(
            messages=self.membership.batches_sent,
            fallbacks=self.fallbacks,
            borrowed=self.borrowed,
            held=sum(allocator.held for allocator in allocators),
            waiting=sum(allocator.waiting for allocator in allocators),
        )


def _make_reply(
    request_id: str, outcome: peridotsill.SlotResult
) -> peridotsill.SlotReply:
    match outcome:
        case result.Success(grant):
            return peridotsill.SlotReply(ask=request_id, grant=grant)
        case result.Failure(refusal):
            return peridotsill.SlotReply(ask=request_id, refusal=refusal)
    raise AssertionError("a result is a success or a failure")


def _capacity_by_vm(slots: ServiceSlots | None) -> dict[str, int]:
    if slots is None:
        return {}
    return dict.fromkeys(slots.vms, slots.service.slots_per_vm)


class SlotPolicy(abc.ABC):
    """Decides which slot a request gets."""

    @abc.abstractmethod
    def acquire(
        self, slots: Slots, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Grant a slot or refuse the request."""


_policies: dict[str, SlotPolicy] = {}
_P = typing.TypeVar("_P", bound=type[SlotPolicy])


def slot_policy(name: str) -> collections.abc.Callable[[_P], _P]:
    """Return a decorator that registers a policy under ``name``."""

    def register(cls: _P) -> _P:
        _policies[name] = cls()
        return cls

    return register


def policy_named(name: str) -> SlotPolicy:
    """Return a registered policy.

    Raises:
        UnknownPolicy: If none is registered under this name.
    """
    if name not in _policies:
        raise exceptions.UnknownPolicy(
            f"no slot policy is registered as {name!r}"
        )
    return _policies[name]


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies."""
    return tuple(sorted(_policies))


@slot_policy("blind")
class Blind(SlotPolicy):
    """Takes the less loaded of two random VMs, by this node's requests."""

    def acquire(
        self, slots: Slots, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Grant at once, or refuse if the service has no open VM.

        Slots are neither counted nor queued for.
        """
        service_slots = slots.catalog(request.service)
        vms = service_slots.vms if service_slots else ()
        eligible = [vm for vm in vms if vm not in request.excluded] or list(
            vms
        )
        if not eligible:
            return result.Failure(
                peridotsill.SlotRefusal(reason="no runner is in service")
            )
        sampled = random.sample(eligible, min(2, len(eligible)))
        vm = min(sampled, key=slots.in_flight)
        return result.Success(
            peridotsill.SlotGrant(
                hold=request.id,
                service=request.service,
                vm=vm,
                home="",
                candidates=tuple(
                    f"{name}: {slots.in_flight(name)} in flight"
                    for name in sampled
                ),
            )
        )


@slot_policy("share")
class Share(SlotPolicy):
    """Queues requests at this node for its own share of the slots."""

    def acquire(
        self, slots: Slots, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Wait for a slot of this node's share."""
        allocator = slots.share_allocator(request.service)
        return allocator.acquire(request)


@slot_policy("borrow")
class Borrow(SlotPolicy):
    """Uses this node's share first, then a sibling's free slot."""

    def acquire(
        self, slots: Slots, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Queue for this node's share, and try to borrow meanwhile."""
        until = time.monotonic() + request.deadline_seconds
        allocator = slots.share_allocator(request.service)
        future = peridotsill.OutcomeFuture()
        outcome = allocator.submit(request, future.set_outcome)
        while _not_granted(outcome):
            lender = slots.find_lender(request.service)
            if lender is None and outcome is not None:
                return outcome
            left = until - time.monotonic()
            if lender is not None and left > 0:
                remaining_request = attrs.evolve(
                    request, deadline_seconds=left
                )
                grant = slots.borrow(lender, remaining_request)
                if grant is not None:
                    allocator.release(_withdrawal(request))
                    return result.Success(grant)
                continue
            outcome = future.wait(min(left, _POLL_SECONDS))
            if outcome is None and left <= 0:
                allocator.release(_withdrawal(request))
                return future.outcome or _timed_out()
        return typing.cast(peridotsill.SlotResult, outcome)


def _not_granted(outcome: peridotsill.SlotResult | None) -> bool:
    match outcome:
        case result.Success(_):
            return False
        case _:
            return True


def _withdrawal(request: peridotsill.SlotRequest) -> peridotsill.Release:
    return peridotsill.Release(hold=request.id, service=request.service)


def _timed_out() -> peridotsill.SlotResult:
    return result.Failure(
        peridotsill.SlotRefusal(reason="no slot came free in time")
    )


@slot_policy("permits")
class Permits(SlotPolicy):
    """Queues the requests of all nodes at the service's home."""

    def acquire(
        self, slots: Slots, request: peridotsill.SlotRequest
    ) -> peridotsill.SlotResult:
        """Ask the home; if it does not answer or warms up, use the share."""
        until = time.monotonic() + request.deadline_seconds
        home = slots.home_of(request.service)
        if home == slots.membership.node:
            reply: peridotsill.SlotReply | None = slots.acquire_as_home(
                request
            )
        else:
            reply = slots.request_slot_from(home, request)
        if reply is None or reply.warming:
            slots.fallbacks += 1
            return self._fall_back(slots, request, until)
        if reply.grant is not None:
            return result.Success(reply.grant)
        return result.Failure(
            reply.refusal or peridotsill.SlotRefusal(reason="refused")
        )

    def _fall_back(
        self, slots: Slots, request: peridotsill.SlotRequest, until: float
    ) -> peridotsill.SlotResult:
        # The home may still hold a slot under the original id, so this request
        # gets another.
        share_request = attrs.evolve(
            request,
            id=f"{request.id}+share",
            deadline_seconds=until - time.monotonic(),
        )
        outcome = policy_named("share").acquire(slots, share_request)
        return outcome.map(lambda grant: attrs.evolve(grant, fallback=True))
