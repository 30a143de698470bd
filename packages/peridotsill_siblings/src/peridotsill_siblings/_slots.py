"""Allocation of runner slots to nodes, by one of four policies.

``blind`` counts this node's own requests only. ``share`` splits the slots
among the live nodes. ``borrow`` does so too, and a node without a free
slot borrows one from a sibling. ``permits`` keeps one ledger for each
service at the service's home, a node chosen by rendezvous hashing, and
falls back to ``share`` while the home does not answer.
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
# A sibling that refused to lend a slot is not asked again for this long.
_LENDER_BACKOFF_SECONDS = 0.5
_DEAD_NODE_GRACE_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class ServiceSlots:
    """A service and the VMs that may get its requests now."""

    service: peridotsill.Service
    vms: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SlotCounts:
    """Counters of a node's slot allocation, for metrics and benches."""

    messages: int
    fallbacks: int
    borrowed: int
    held: int
    waiting: int


Catalog = collections.abc.Callable[[str], ServiceSlots | None]
InFlight = collections.abc.Callable[[str], int]


@attrs.define(kw_only=True, eq=False)
class _PendingAsk:
    ask: peridotsill.SlotAsk
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
        self._pending: dict[str, _PendingAsk] = {}
        self._home_ledgers: dict[str, tuple[peridotsill.Ledger, float]] = {}
        self._share_ledgers: dict[str, peridotsill.Ledger] = {}
        self._own_holds: dict[str, tuple[peridotsill.Hold, float]] = {}
        self._loads: tuple[_messages.ServiceLoad, ...] = ()
        self._dead_node_shares: list[tuple[float, _messages.ShareUse]] = []
        self._lender_backoff_until: dict[tuple[str, str], float] = {}
        self.borrowed = 0
        self._lock = threading.Lock()

    def acquire(
        self, policy: str, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Acquire a slot by the named policy.

        Raises:
            UnknownPolicy: If there is no such policy.
        """
        outcome = policy_named(policy).acquire(self, ask)
        match outcome:
            case result.Success(grant):
                self._record_hold(ask, grant)
        return outcome

    def _record_hold(
        self, ask: peridotsill.SlotAsk, grant: peridotsill.SlotGrant
    ) -> None:
        hold = peridotsill.Hold(
            hold=grant.hold,
            service=ask.service,
            vm=grant.vm,
            node=ask.node,
            seconds_left=ask.deadline_seconds,
            priority=ask.priority,
        )
        until = time.monotonic() + ask.deadline_seconds
        with self._lock:
            self._own_holds[grant.hold] = (hold, until)

    def release(
        self,
        grant: peridotsill.SlotGrant,
        ran_seconds: float | None,
    ) -> None:
        """Return a slot to the ledger that counts it, if one does."""
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
        if grant.kind is peridotsill.LedgerKind.HOME or grant.fallback:
            self._release_at_home(release)
        if grant.kind is peridotsill.LedgerKind.SHARE:
            self._release_share(grant.home, release)

    def _release_share(self, owner: str, release: peridotsill.Release) -> None:
        if owner == self.membership.node:
            self.apply_release(release)
        else:
            self.membership.enqueue(owner, release=release)

    def _hand_over_locally(
        self, grant: peridotsill.SlotGrant
    ) -> peridotsill.Hold | None:
        """Hand a slot over to this node's most urgent waiting ask.

        Returning it to the home would leave the slot idle for a round
        trip. After ``_MAX_LOCAL_HANDOVERS`` in a row it is returned all
        the same, so that other nodes' asks are not starved.

        Returns:
            The new hold, or None if the slot must go back to its home.
        """
        if grant.kind is not peridotsill.LedgerKind.HOME:
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
                grant, hold=pending.ask.id, passes=grant.passes + 1
            )
            pending.reply = peridotsill.SlotReply(
                ask=pending.ask.id, grant=passed
            )
        pending.decided.set()
        return peridotsill.Hold(
            hold=pending.ask.id,
            service=grant.service,
            vm=grant.vm,
            node=self.membership.node,
            seconds_left=pending.deadline - time.monotonic(),
            priority=pending.ask.priority,
        )

    def _most_urgent(
        self, grant: peridotsill.SlotGrant
    ) -> "_PendingAsk | None":
        waiting = [
            pending
            for pending in self._pending.values()
            if pending.reply is None
            and pending.queued
            and pending.ask.service == grant.service
            and pending.ask.priority is grant.priority
            and grant.vm not in pending.ask.excluded
        ]
        return min(waiting, key=lambda each: each.deadline, default=None)

    def _release_at_home(self, release: peridotsill.Release) -> None:
        home = self.home_of(release.service)
        if home == self.membership.node:
            self.apply_release(release)
            return
        self.membership.enqueue(home, release=release)

    def withdraw(self, ask: peridotsill.SlotAsk) -> None:
        """Cancel an ask at its home, and release a slot granted for it.

        The grant may have been lost on its way here.
        """
        self._release_at_home(
            peridotsill.Release(hold=ask.id, service=ask.service)
        )

    def apply_release(self, release: peridotsill.Release) -> None:
        """Apply a release to the ledgers of this node."""
        entry = self._home_ledgers.get(release.service)
        if entry is not None:
            entry[0].release(release)
        share = self._share_ledgers.get(release.service)
        if share is not None:
            share.release(release)

    def home_of(self, service: str) -> str:
        """Return the home of a service: the node that keeps its ledger."""
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
        """Count holds that a sibling reports in the ledgers kept here."""
        for hold in holds:
            entry = self._home_ledgers.get(hold.service)
            if entry is not None:
                entry[0].adopt((hold,))

    def sync(self) -> None:
        """Update ledgers to the live nodes and the VMs open for requests.

        Ledgers of services whose home moved to another node are dropped.
        """
        for service, (ledger, _) in tuple(self._home_ledgers.items()):
            if self.home_of(service) != self.membership.node:
                with self._lock:
                    self._home_ledgers.pop(service, None)
                continue
            slots = self.catalog(service)
            ledger.set_capacity(_capacity_by_vm(slots))
        for service, ledger in tuple(self._share_ledgers.items()):
            ledger.set_capacity(self._share_capacity(service))

    def node_lost(self, node: str) -> None:
        """Expire a dead node's holds after a grace time.

        Slots that it used of its own share count as used until then too.
        """
        for ledger, _ in tuple(self._home_ledgers.values()):
            ledger.drop_node(node, _DEAD_NODE_GRACE_SECONDS)
        until = time.monotonic() + _DEAD_NODE_GRACE_SECONDS
        for use in self.membership.last_shares(node):
            self._dead_node_shares.append((until, use))

    def request_slot_from(
        self,
        node: str,
        ask: peridotsill.SlotAsk,
        *,
        stop_on_home_change: bool = True,
    ) -> peridotsill.SlotReply | None:
        """Request a slot from another node, and wait for its decision.

        Returns None if the node does not answer. With
        ``stop_on_home_change`` it also returns None if the node stops
        being the service's home while the ask is queued there, as a dead
        home would never decide. The ask is withdrawn then.
        """
        deadline = time.monotonic() + ask.deadline_seconds
        pending = _PendingAsk(ask=ask, deadline=deadline)
        self._pending[ask.id] = pending
        try:
            if not self.membership.enqueue(node, ask=ask):
                return None
            reply = self._await_reply(
                pending, node if stop_on_home_change else None
            )
        finally:
            self._pending.pop(ask.id, None)
        if reply is None or reply.warming:
            self.withdraw(ask)
        return reply

    def _await_reply(
        self, pending: "_PendingAsk", home: str | None
    ) -> peridotsill.SlotReply | None:
        ask = pending.ask
        answer_by = time.monotonic() + _ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < pending.deadline:
            pending.decided.wait(_POLL_SECONDS)
            if pending.reply is not None:
                return pending.reply
            if not pending.queued and time.monotonic() > answer_by:
                return None
            if home is not None and self.home_of(ask.service) != home:
                return None
        self.withdraw(ask)
        return peridotsill.SlotReply(
            ask=ask.id,
            refusal=peridotsill.SlotRefusal(
                reason="no slot came free in time"
            ),
        )

    def handle_replies(
        self, replies: tuple[peridotsill.SlotReply, ...]
    ) -> None:
        """Wake the requests that wait for these replies.

        ``queued`` only says that the decision follows later.
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
        """Decide a sibling's asks; those queued are answered by message."""
        for release in batch.releases:
            self.apply_release(release)
        self.handle_replies(batch.replies)
        replies = tuple(self._decide(ask, batch.node) for ask in batch.asks)
        return _messages.SlotReplies(replies=replies)

    def _decide(
        self, ask: peridotsill.SlotAsk, node: str
    ) -> peridotsill.SlotReply:
        if ask.borrow:
            share = self.share_ledger(ask.service)
            return _make_reply(ask.id, share.take_free(ask))
        ledger = self.home_ledger(ask.service)
        if ledger is None:
            return peridotsill.SlotReply(ask=ask.id, warming=True)

        def notify(outcome: peridotsill.SlotResult) -> None:
            self.membership.enqueue(node, reply=_make_reply(ask.id, outcome))

        outcome = ledger.submit(ask, notify)
        if outcome is None:
            return peridotsill.SlotReply(ask=ask.id, queued=True)
        return _make_reply(ask.id, outcome)

    def acquire_as_home(
        self, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotReply:
        """Decide this node's own ask, as the home of the service."""
        ledger = self.home_ledger(ask.service)
        if ledger is None:
            return peridotsill.SlotReply(ask=ask.id, warming=True)
        return _make_reply(ask.id, ledger.acquire(ask))

    def home_ledger(self, service: str) -> peridotsill.Ledger | None:
        """Return the ledger of a service whose home is this node.

        Returns None while it warms up: siblings may hold slots that they
        have not reported to this home yet.
        """
        with self._lock:
            entry = self._home_ledgers.get(service)
            if entry is None:
                entry = self._create_home_ledger(service)
            ledger, ready_at = entry
        return ledger if time.monotonic() >= ready_at else None

    def _create_home_ledger(
        self, service: str
    ) -> tuple[peridotsill.Ledger, float]:
        ledger = self._create_ledger(service, peridotsill.LedgerKind.HOME)
        ledger.set_capacity(_capacity_by_vm(self.catalog(service)))
        alone = len(self.membership.serving_nodes()) == 1
        wait = 0.0 if alone else _HOME_WARM_UP_SECONDS
        own = tuple(
            hold
            for hold, _ in self._own_holds.values()
            if hold.service == service
        )
        ledger.adopt(own)
        entry = (ledger, time.monotonic() + wait)
        self._home_ledgers[service] = entry
        return entry

    def share_ledger(self, service: str) -> peridotsill.Ledger:
        """Return the ledger of this node's own share of a service."""
        with self._lock:
            ledger = self._share_ledgers.get(service)
            if ledger is not None:
                return ledger
            ledger = self._create_ledger(service, peridotsill.LedgerKind.SHARE)
            ledger.set_capacity(self._share_capacity(service))
            self._share_ledgers[service] = ledger
        return ledger

    def _create_ledger(
        self, service: str, kind: peridotsill.LedgerKind
    ) -> peridotsill.Ledger:
        slots = self.catalog(service)
        spec = (
            slots.service
            if slots
            else peridotsill.Service(name=service, pool="")
        )
        return peridotsill.Ledger(
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
        """Count, by VM, slots in use beyond their user's current share."""
        excess: collections.Counter[str] = collections.Counter()
        for beat in self.membership.live_heartbeats():
            owned = shares.get(beat.node, {})
            for use in beat.shares:
                if use.service == service:
                    for each in use.vms:
                        over = each.used - owned.get(each.vm, 0)
                        excess[each.vm] += max(over, 0)
        now = time.monotonic()
        self._dead_node_shares = [
            each for each in self._dead_node_shares if each[0] > now
        ]
        for _, use in self._dead_node_shares:
            if use.service == service:
                for each in use.vms:
                    excess[each.vm] += each.used
        return excess

    def share_uses(self) -> tuple[_messages.ShareUse, ...]:
        """Return this node's shares, with the slots granted from them."""
        found = []
        for service, ledger in tuple(self._share_ledgers.items()):
            free = 0 if ledger.waiting else ledger.total - ledger.held
            found.append(
                _messages.ShareUse(
                    service=service, free=max(free, 0), vms=ledger.uses()
                )
            )
        return tuple(found)

    def find_lender(self, service: str) -> str | None:
        """Return the sibling with the most free slots, by its heartbeat.

        Siblings that refused lately are skipped.
        """
        best: tuple[int, str] | None = None
        now = time.monotonic()
        for beat in self.membership.live_heartbeats():
            if self._lender_backoff_until.get((beat.node, service), 0.0) > now:
                continue
            for use in beat.shares:
                if use.service == service and use.free > 0:
                    best = max(best or (0, ""), (use.free, beat.node))
        return best[1] if best else None

    def borrow(
        self, lender: str, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotGrant | None:
        """Request one of a sibling's free slots; None if it has none."""
        lender_ask = attrs.evolve(ask, id=f"{ask.id}+{lender}", borrow=True)
        reply = self.request_slot_from(
            lender, lender_ask, stop_on_home_change=False
        )
        if reply is not None and reply.grant is not None:
            self.borrowed += 1
            return reply.grant
        if reply is None:
            release = peridotsill.Release(
                hold=lender_ask.id, service=ask.service
            )
            self._release_share(lender, release)
        until = time.monotonic() + _LENDER_BACKOFF_SECONDS
        self._lender_backoff_until[lender, ask.service] = until
        return None

    def loads(self) -> tuple[_messages.ServiceLoad, ...]:
        """Return the demand that `update_loads` last found in the ledgers."""
        return self._loads

    def update_loads(self) -> None:
        """Update the loads and restart their count of refusals.

        Meant to be called about once a second.
        """
        self._loads = tuple(
            _messages.ServiceLoad(
                service=service,
                held=ledger.held,
                waiting=ledger.waiting,
                refused=ledger.take_refused(),
            )
            for service, ledger in self._ledgers()
        )

    def _ledgers(self) -> list[tuple[str, peridotsill.Ledger]]:
        homes = [
            (service, ledger)
            for service, (ledger, _) in tuple(self._home_ledgers.items())
        ]
        return homes + list(self._share_ledgers.items())

    def counts(self) -> SlotCounts:
        """Return the counters."""
        ledgers = [ledger for _, ledger in self._ledgers()]
        return SlotCounts(
            messages=self.membership.batches_sent,
            fallbacks=self.fallbacks,
            borrowed=self.borrowed,
            held=sum(ledger.held for ledger in ledgers),
            waiting=sum(ledger.waiting for ledger in ledgers),
        )


def _make_reply(
    ask: str, outcome: peridotsill.SlotResult
) -> peridotsill.SlotReply:
    match outcome:
        case result.Success(grant):
            return peridotsill.SlotReply(ask=ask, grant=grant)
        case result.Failure(refusal):
            return peridotsill.SlotReply(ask=ask, refusal=refusal)
    raise AssertionError("a result is a success or a failure")


def _capacity_by_vm(slots: ServiceSlots | None) -> dict[str, int]:
    if slots is None:
        return {}
    return dict.fromkeys(slots.vms, slots.service.slots_per_vm)


class SlotPolicy(abc.ABC):
    """Decides which slot a request gets."""

    @abc.abstractmethod
    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Grant a slot or refuse the ask."""


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
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Grant at once: slots are neither counted nor queued for."""
        service_slots = slots.catalog(ask.service)
        vms = service_slots.vms if service_slots else ()
        eligible = [vm for vm in vms if vm not in ask.excluded] or list(vms)
        if not eligible:
            return result.Failure(
                peridotsill.SlotRefusal(reason="no runner is in service")
            )
        sampled = random.sample(eligible, min(2, len(eligible)))
        vm = min(sampled, key=slots.in_flight)
        return result.Success(
            peridotsill.SlotGrant(
                hold=ask.id,
                service=ask.service,
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
    """Queues asks at this node for its own share of the slots."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Wait for a slot of this node's share."""
        ledger = slots.share_ledger(ask.service)
        return ledger.acquire(ask)


@slot_policy("borrow")
class Borrow(SlotPolicy):
    """Uses this node's share first, then a sibling's free slot."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Queue for this node's share, and try to borrow meanwhile."""
        until = time.monotonic() + ask.deadline_seconds
        ledger = slots.share_ledger(ask.service)
        mailbox = peridotsill.Mailbox()
        outcome = ledger.submit(ask, mailbox.put)
        while _not_granted(outcome):
            lender = slots.find_lender(ask.service)
            if lender is None and outcome is not None:
                return outcome
            left = until - time.monotonic()
            if lender is not None and left > 0:
                remaining_ask = attrs.evolve(ask, deadline_seconds=left)
                grant = slots.borrow(lender, remaining_ask)
                if grant is not None:
                    ledger.release(_withdrawal(ask))
                    return result.Success(grant)
                continue
            outcome = mailbox.wait(min(left, _POLL_SECONDS))
            if outcome is None and left <= 0:
                ledger.release(_withdrawal(ask))
                return mailbox.outcome or _timed_out()
        return typing.cast(peridotsill.SlotResult, outcome)


def _not_granted(outcome: peridotsill.SlotResult | None) -> bool:
    match outcome:
        case result.Success(_):
            return False
        case _:
            return True


def _withdrawal(ask: peridotsill.SlotAsk) -> peridotsill.Release:
    return peridotsill.Release(hold=ask.id, service=ask.service)


def _timed_out() -> peridotsill.SlotResult:
    return result.Failure(
        peridotsill.SlotRefusal(reason="no slot came free in time")
    )


@slot_policy("permits")
class Permits(SlotPolicy):
    """Queues the asks of all nodes at the service's home."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Ask the home; fall back to the share if it can't decide."""
        until = time.monotonic() + ask.deadline_seconds
        home = slots.home_of(ask.service)
        if home == slots.membership.node:
            reply: peridotsill.SlotReply | None = slots.acquire_as_home(ask)
        else:
            reply = slots.request_slot_from(home, ask)
        if reply is None or reply.warming:
            slots.fallbacks += 1
            return self._fall_back(slots, ask, until)
        if reply.grant is not None:
            return result.Success(reply.grant)
        return result.Failure(
            reply.refusal or peridotsill.SlotRefusal(reason="refused")
        )

    def _fall_back(
        self, slots: Slots, ask: peridotsill.SlotAsk, until: float
    ) -> peridotsill.SlotResult:
        # The id differs, as the home may hold a slot under the first one.
        share_ask = attrs.evolve(
            ask,
            id=f"{ask.id}+share",
            deadline_seconds=until - time.monotonic(),
        )
        outcome = policy_named("share").acquire(slots, share_ask)
        return outcome.map(lambda grant: attrs.evolve(grant, fallback=True))
