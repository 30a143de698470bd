"""Who may use which slot of a runner: four policies behind one name.

``blind`` looks at this node's own requests only. ``share`` splits the
slots among the live nodes. ``borrow`` does so too, and a node without a
free slot borrows one of a sibling's. ``permits`` keeps one ledger for each
service at a node that all agree on, with ``share`` while that is away.
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

_WARMING_SECONDS = 1.2
_ANSWER_SECONDS = 1.2
_LOOK_SECONDS = 0.25
_MAX_PASSES = 16
_REFUSED_SECONDS = 0.5
_DEAD_NODE_GRACE_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class ServiceSlots:
    """A service and the VMs that may carry it now."""

    service: peridotsill.Service
    vms: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SlotCounts:
    """How the slots were decided about, for metrics and benches."""

    messages: int
    fallbacks: int
    borrowed: int
    held: int
    waiting: int


Catalog = collections.abc.Callable[[str], ServiceSlots | None]
InFlight = collections.abc.Callable[[str], int]


@attrs.define(kw_only=True, eq=False)
class _Pending:
    ask: peridotsill.SlotAsk
    deadline: float
    arrived: threading.Event = attrs.Factory(threading.Event)
    reply: peridotsill.SlotReply | None = None
    queued: bool = False


class Slots:
    """A node's part in the sharing of slots."""

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
        self._pending: dict[str, _Pending] = {}
        self._homes: dict[str, tuple[peridotsill.Ledger, float]] = {}
        self._shares: dict[str, peridotsill.Ledger] = {}
        self._held: dict[str, tuple[peridotsill.Hold, float]] = {}
        self._loads: tuple[_messages.ServiceLoad, ...] = ()
        self._ghosts: list[tuple[float, _messages.ShareUse]] = []
        self._refused_by: dict[tuple[str, str], float] = {}
        self.borrowed = 0
        self._lock = threading.Lock()

    def acquire(
        self, policy: str, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Get a slot by the named policy.

        Raises:
            UnknownPolicy: If there is no such policy.
        """
        outcome = policy_named(policy).acquire(self, ask)
        match outcome:
            case result.Success(grant):
                self._remember(ask, grant)
        return outcome

    def _remember(
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
            self._held[grant.hold] = (hold, until)

    def release(
        self,
        grant: peridotsill.SlotGrant,
        ran_seconds: float | None,
    ) -> None:
        """Give a slot back to whoever counts it."""
        with self._lock:
            self._held.pop(grant.hold, None)
        release = peridotsill.Release(
            hold=grant.hold, service=grant.service, ran_seconds=ran_seconds
        )
        if grant.home == "":
            return
        passed_to = self._pass_on(grant)
        if passed_to is not None:
            release = attrs.evolve(release, passed_to=passed_to)
        if grant.kind is peridotsill.LedgerKind.HOME or grant.fallback:
            self._release_at_home(release)
        if grant.kind is peridotsill.LedgerKind.SHARE:
            self._release_share(grant.home, release)

    def _release_share(self, owner: str, release: peridotsill.Release) -> None:
        if owner == self.membership.node:
            self.take_release(release)
        else:
            self.membership.tell(owner, release=release)

    def _pass_on(
        self, grant: peridotsill.SlotGrant
    ) -> peridotsill.Hold | None:
        """Give a slot to the most urgent of this node's own waiting asks.

        The way over the home would leave the slot idle meanwhile. After
        some passes it goes back all the same, for the other nodes' sake.
        """
        if grant.kind is not peridotsill.LedgerKind.HOME:
            return None
        if grant.passes >= _MAX_PASSES or grant.home == self.membership.node:
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
        pending.arrived.set()
        return peridotsill.Hold(
            hold=pending.ask.id,
            service=grant.service,
            vm=grant.vm,
            node=self.membership.node,
            seconds_left=pending.deadline - time.monotonic(),
            priority=pending.ask.priority,
        )

    def _most_urgent(self, grant: peridotsill.SlotGrant) -> "_Pending | None":
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
            self.take_release(release)
            return
        self.membership.tell(home, release=release)

    def withdraw(self, ask: peridotsill.SlotAsk) -> None:
        """Give back whatever an ask may have got without our knowing."""
        self._release_at_home(
            peridotsill.Release(hold=ask.id, service=ask.service)
        )

    def take_release(self, release: peridotsill.Release) -> None:
        """Count a release of a slot that this node granted."""
        entry = self._homes.get(release.service)
        if entry is not None:
            entry[0].release(release)
        share = self._shares.get(release.service)
        if share is not None:
            share.release(release)

    def home_of(self, service: str) -> str:
        """Return the node that keeps a service's ledger."""
        members = self.membership.serving()
        return peridotsill.rendezvous(service, members) or (
            self.membership.node
        )

    def holds_for(self, receiver: str | None) -> tuple[peridotsill.Hold, ...]:
        """Return this node's holds of services at home at ``receiver``."""
        now = time.monotonic()
        with self._lock:
            self._held = {
                name: entry
                for name, entry in self._held.items()
                if entry[1] > now
            }
            held = tuple(self._held.values())
        return tuple(
            attrs.evolve(hold, seconds_left=until - now)
            for hold, until in held
            if receiver is not None and self.home_of(hold.service) == receiver
        )

    def adopt(self, holds: tuple[peridotsill.Hold, ...]) -> None:
        """Count a sibling's holds at this home."""
        for hold in holds:
            entry = self._homes.get(hold.service)
            if entry is not None:
                entry[0].adopt((hold,))

    def sync(self) -> None:
        """Follow membership and health: homes, shares and capacities."""
        for service, (ledger, _) in tuple(self._homes.items()):
            if self.home_of(service) != self.membership.node:
                with self._lock:
                    self._homes.pop(service, None)
                continue
            slots = self.catalog(service)
            ledger.set_capacity(_capacity(slots))
        for service, ledger in tuple(self._shares.items()):
            ledger.set_capacity(self._share_capacity(service))

    def node_lost(self, node: str) -> None:
        """End a dead node's holds after a grace time."""
        for ledger, _ in tuple(self._homes.values()):
            ledger.drop_node(node, _DEAD_NODE_GRACE_SECONDS)
        until = time.monotonic() + _DEAD_NODE_GRACE_SECONDS
        for use in self.membership.last_shares(node):
            self._ghosts.append((until, use))

    def ask_home(
        self, home: str, ask: peridotsill.SlotAsk, *, by_home: bool = True
    ) -> peridotsill.SlotReply | None:
        """Ask another node for a slot; None if it does not answer.

        A home that queued the ask may die or change meanwhile; then None
        is returned too, and the ask is withdrawn.
        """
        deadline = time.monotonic() + ask.deadline_seconds
        pending = _Pending(ask=ask, deadline=deadline)
        self._pending[ask.id] = pending
        try:
            if not self.membership.tell(home, ask=ask):
                return None
            reply = self._await_reply(pending, home if by_home else None)
        finally:
            self._pending.pop(ask.id, None)
        if reply is None or reply.warming:
            self.withdraw(ask)
        return reply

    def _await_reply(
        self, pending: "_Pending", home: str | None
    ) -> peridotsill.SlotReply | None:
        ask = pending.ask
        heard_by = time.monotonic() + _ANSWER_SECONDS
        while time.monotonic() < pending.deadline:
            pending.arrived.wait(_LOOK_SECONDS)
            if pending.reply is not None:
                return pending.reply
            if not pending.queued and time.monotonic() > heard_by:
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

    def take_replies(self, replies: tuple[peridotsill.SlotReply, ...]) -> None:
        """Wake the requests that wait for these replies."""
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
            pending.arrived.set()

    def take_batch(self, batch: _messages.SlotBatch) -> _messages.SlotReplies:
        """Decide about a sibling's asks; later outcomes are sent to it."""
        for release in batch.releases:
            self.take_release(release)
        self.take_replies(batch.replies)
        replies = tuple(self._decide(ask, batch.node) for ask in batch.asks)
        return _messages.SlotReplies(replies=replies)

    def _decide(
        self, ask: peridotsill.SlotAsk, node: str
    ) -> peridotsill.SlotReply:
        if ask.borrow:
            share = self.share_ledger(ask.service)
            return _reply(ask.id, share.take_free(ask))
        ledger = self.home_ledger(ask.service)
        if ledger is None:
            return peridotsill.SlotReply(ask=ask.id, warming=True)

        def notify(outcome: peridotsill.SlotResult) -> None:
            self.membership.tell(node, reply=_reply(ask.id, outcome))

        outcome = ledger.submit(ask, notify)
        if outcome is None:
            return peridotsill.SlotReply(ask=ask.id, queued=True)
        return _reply(ask.id, outcome)

    def acquire_here(self, ask: peridotsill.SlotAsk) -> peridotsill.SlotReply:
        """Decide about this node's own ask at its home."""
        ledger = self.home_ledger(ask.service)
        if ledger is None:
            return peridotsill.SlotReply(ask=ask.id, warming=True)
        return _reply(ask.id, ledger.acquire(ask))

    def home_ledger(self, service: str) -> peridotsill.Ledger | None:
        """Return the ledger if this node is home and knows the holds."""
        with self._lock:
            entry = self._homes.get(service)
            if entry is None:
                entry = self._new_home(service)
            ledger, ready_at = entry
        return ledger if time.monotonic() >= ready_at else None

    def _new_home(self, service: str) -> tuple[peridotsill.Ledger, float]:
        ledger = self._new_ledger(service, peridotsill.LedgerKind.HOME)
        ledger.set_capacity(_capacity(self.catalog(service)))
        alone = len(self.membership.serving()) == 1
        wait = 0.0 if alone else _WARMING_SECONDS
        own = tuple(
            hold for hold, _ in self._held.values() if hold.service == service
        )
        ledger.adopt(own)
        entry = (ledger, time.monotonic() + wait)
        self._homes[service] = entry
        return entry

    def share_ledger(self, service: str) -> peridotsill.Ledger:
        """Return the ledger of this node's own share of a service."""
        with self._lock:
            ledger = self._shares.get(service)
            if ledger is not None:
                return ledger
            ledger = self._new_ledger(service, peridotsill.LedgerKind.SHARE)
            ledger.set_capacity(self._share_capacity(service))
            self._shares[service] = ledger
        return ledger

    def _new_ledger(
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
        shares = self._all_shares(slots)
        own = shares[self.membership.node]
        # Slots that change their owner are taken up only when the former
        # one has none of them in use any more.
        for vm, excess in self._excess(service, shares).items():
            if vm in own:
                own[vm] = max(own[vm] - excess, 0)
        return own

    def _all_shares(self, slots: ServiceSlots) -> dict[str, dict[str, int]]:
        members = self.membership.serving()
        shares: dict[str, dict[str, int]] = {each: {} for each in members}
        per_vm = slots.service.slots_per_vm
        for index in range(len(slots.vms) * per_vm):
            share = shares[members[index % len(members)]]
            vm = slots.vms[index // per_vm]
            share[vm] = share.get(vm, 0) + 1
        return shares

    def _excess(
        self, service: str, shares: dict[str, dict[str, int]]
    ) -> collections.Counter[str]:
        """Return the slots in use by nodes that don't own them now."""
        excess: collections.Counter[str] = collections.Counter()
        for beat in self.membership.live():
            owned = shares.get(beat.node, {})
            for use in beat.shares:
                if use.service == service:
                    for each in use.vms:
                        over = each.used - owned.get(each.vm, 0)
                        excess[each.vm] += max(over, 0)
        now = time.monotonic()
        self._ghosts = [each for each in self._ghosts if each[0] > now]
        for _, use in self._ghosts:
            if use.service == service:
                for each in use.vms:
                    excess[each.vm] += each.used
        return excess

    def share_uses(self) -> tuple[_messages.ShareUse, ...]:
        """Return this node's shares and what is granted of them."""
        found = []
        for service, ledger in tuple(self._shares.items()):
            free = 0 if ledger.waiting else ledger.total - ledger.held
            found.append(
                _messages.ShareUse(
                    service=service, free=max(free, 0), vms=ledger.uses()
                )
            )
        return tuple(found)

    def lender_for(self, service: str) -> str | None:
        """Return the sibling with the most free slots, as last heard."""
        best: tuple[int, str] | None = None
        now = time.monotonic()
        for beat in self.membership.live():
            if self._refused_by.get((beat.node, service), 0.0) > now:
                continue
            for use in beat.shares:
                if use.service == service and use.free > 0:
                    best = max(best or (0, ""), (use.free, beat.node))
        return best[1] if best else None

    def borrow(
        self, lender: str, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotGrant | None:
        """Ask a sibling for one of its free slots."""
        again = attrs.evolve(ask, id=f"{ask.id}+{lender}", borrow=True)
        reply = self.ask_home(lender, again, by_home=False)
        if reply is not None and reply.grant is not None:
            self.borrowed += 1
            return reply.grant
        if reply is None:
            release = peridotsill.Release(hold=again.id, service=ask.service)
            self._release_share(lender, release)
        until = time.monotonic() + _REFUSED_SECONDS
        self._refused_by[lender, ask.service] = until
        return None

    def loads(self) -> tuple[_messages.ServiceLoad, ...]:
        """Return the demand as this node's ledgers see it."""
        return self._loads

    def measure(self) -> None:
        """Look at the demand again; meant for about once a second."""
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
            for service, (ledger, _) in tuple(self._homes.items())
        ]
        return homes + list(self._shares.items())

    def counts(self) -> SlotCounts:
        """Return the counters."""
        ledgers = [ledger for _, ledger in self._ledgers()]
        return SlotCounts(
            messages=self.membership.batches,
            fallbacks=self.fallbacks,
            borrowed=self.borrowed,
            held=sum(ledger.held for ledger in ledgers),
            waiting=sum(ledger.waiting for ledger in ledgers),
        )


def _reply(ask: str, outcome: peridotsill.SlotResult) -> peridotsill.SlotReply:
    match outcome:
        case result.Success(grant):
            return peridotsill.SlotReply(ask=ask, grant=grant)
        case result.Failure(refusal):
            return peridotsill.SlotReply(ask=ask, refusal=refusal)
    raise AssertionError("a result is a success or a failure")


def _capacity(slots: ServiceSlots | None) -> dict[str, int]:
    if slots is None:
        return {}
    return dict.fromkeys(slots.vms, slots.service.slots_per_vm)


class SlotPolicy(abc.ABC):
    """A way to decide which slot a request gets."""

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
        UnknownPolicy: If there is none by this name.
    """
    if name not in _policies:
        raise exceptions.UnknownPolicy(f"{name!r} is no slot policy")
    return _policies[name]


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies."""
    return tuple(sorted(_policies))


@slot_policy("blind")
class Blind(SlotPolicy):
    """The less loaded of two random VMs, by this node's own requests."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Grant at once; nothing is counted and nothing waits."""
        found = slots.catalog(ask.service)
        vms = found.vms if found else ()
        wanted = [vm for vm in vms if vm not in ask.excluded] or list(vms)
        if not wanted:
            return result.Failure(
                peridotsill.SlotRefusal(reason="no runner is in service")
            )
        pair = random.sample(wanted, min(2, len(wanted)))
        vm = min(pair, key=slots.in_flight)
        return result.Success(
            peridotsill.SlotGrant(
                hold=ask.id,
                service=ask.service,
                vm=vm,
                home="",
                candidates=tuple(
                    f"{name}: {slots.in_flight(name)} in flight"
                    for name in pair
                ),
            )
        )


@slot_policy("share")
class Share(SlotPolicy):
    """A queue of this node's own over its share of the slots."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Wait for one of this node's own slots."""
        ledger = slots.share_ledger(ask.service)
        return ledger.acquire(ask)


@slot_policy("borrow")
class Borrow(SlotPolicy):
    """The node's own share first, then a sibling's free slot."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Queue at the own share, and look for a free slot meanwhile."""
        until = time.monotonic() + ask.deadline_seconds
        ledger = slots.share_ledger(ask.service)
        mailbox = peridotsill.Mailbox()
        outcome = ledger.submit(ask, mailbox.put)
        while _is_open(outcome):
            lender = slots.lender_for(ask.service)
            if lender is None and outcome is not None:
                return outcome
            left = until - time.monotonic()
            if lender is not None and left > 0:
                again = attrs.evolve(ask, deadline_seconds=left)
                grant = slots.borrow(lender, again)
                if grant is not None:
                    ledger.release(_withdrawal(ask))
                    return result.Success(grant)
                continue
            outcome = mailbox.wait(min(left, _LOOK_SECONDS))
            if outcome is None and left <= 0:
                ledger.release(_withdrawal(ask))
                return mailbox.outcome or _too_late()
        return typing.cast(peridotsill.SlotResult, outcome)


def _is_open(outcome: peridotsill.SlotResult | None) -> bool:
    match outcome:
        case result.Success(_):
            return False
        case _:
            return True


def _withdrawal(ask: peridotsill.SlotAsk) -> peridotsill.Release:
    return peridotsill.Release(hold=ask.id, service=ask.service)


def _too_late() -> peridotsill.SlotResult:
    return result.Failure(
        peridotsill.SlotRefusal(reason="no slot came free in time")
    )


@slot_policy("permits")
class Permits(SlotPolicy):
    """One queue for all nodes, kept at the service's home."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Ask the home; fall back to the share while it can't answer."""
        until = time.monotonic() + ask.deadline_seconds
        home = slots.home_of(ask.service)
        if home == slots.membership.node:
            reply: peridotsill.SlotReply | None = slots.acquire_here(ask)
        else:
            reply = slots.ask_home(home, ask)
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
        # The name differs, as the home may hold a slot under the first.
        again = attrs.evolve(
            ask,
            id=f"{ask.id}+share",
            deadline_seconds=until - time.monotonic(),
        )
        outcome = policy_named("share").acquire(slots, again)
        return outcome.map(lambda grant: attrs.evolve(grant, fallback=True))
