"""Who may use which slot of a runner: three policies behind one name.

``blind`` looks at this node's own requests only, ``share`` splits the
slots among the live nodes, and ``permits`` keeps one ledger for each
service at a node that all agree on, with ``share`` while that is away.
"""

import abc
import collections.abc
import random
import threading
import time
import typing

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_siblings import _membership
from peridotsill_siblings import _messages
from peridotsill_siblings import exceptions

_WARMING_SECONDS = 1.2
_ROUND_SECONDS = 1.0
_ANSWER_SECONDS = 1.8
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
    held: int
    waiting: int


Catalog = collections.abc.Callable[[str], ServiceSlots | None]
InFlight = collections.abc.Callable[[str], int]


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
        self.messages = 0
        self.fallbacks = 0
        self._homes: dict[str, tuple[peridotsill.Ledger, float]] = {}
        self._shares: dict[str, peridotsill.Ledger] = {}
        self._held: dict[str, tuple[peridotsill.Hold, float]] = {}
        self._loads: tuple[_messages.ServiceLoad, ...] = ()
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
        share = self._shares.get(grant.service)
        if share is not None:
            share.release(release)
        self._release_at_home(release)

    def _release_at_home(self, release: peridotsill.Release) -> None:
        home = self.home_of(release.service)
        if home == self.membership.node:
            self.take_release(release)
            return
        self.messages += 1
        self.membership.release(home, release)

    def withdraw(self, ask: peridotsill.SlotAsk) -> None:
        """Give back whatever an ask may have got without our knowing."""
        self._release_at_home(
            peridotsill.Release(hold=ask.id, service=ask.service)
        )

    def take_release(self, release: peridotsill.Release) -> None:
        """Count a release at this home."""
        entry = self._homes.get(release.service)
        if entry is not None:
            entry[0].release(release)

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

    def answer(self, ask: peridotsill.SlotAsk) -> peridotsill.SlotReply:
        """Decide about an ask at its home."""
        ledger = self.home_ledger(ask.service)
        if ledger is None:
            return peridotsill.SlotReply(warming=True)
        match ledger.acquire(ask, wait_seconds=_ROUND_SECONDS):
            case result.Success(grant):
                return peridotsill.SlotReply(grant=grant)
            case result.Failure(refusal):
                return peridotsill.SlotReply(refusal=refusal)
            case _:
                return peridotsill.SlotReply(queued=True)

    def home_ledger(self, service: str) -> peridotsill.Ledger | None:
        """Return the ledger if this node is home and knows the holds."""
        with self._lock:
            entry = self._homes.get(service)
            if entry is None:
                entry = self._new_home(service)
            ledger, ready_at = entry
        return ledger if time.monotonic() >= ready_at else None

    def _new_home(self, service: str) -> tuple[peridotsill.Ledger, float]:
        ledger = self._new_ledger(service)
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
            if ledger is None:
                ledger = self._new_ledger(service)
                self._shares[service] = ledger
        ledger.set_capacity(self._share_capacity(service))
        return ledger

    def _new_ledger(self, service: str) -> peridotsill.Ledger:
        slots = self.catalog(service)
        spec = (
            slots.service
            if slots
            else peridotsill.Service(name=service, pool="")
        )
        return peridotsill.Ledger(
            service=service,
            home=self.membership.node,
            expected_seconds=spec.expected_seconds,
            batch_share=spec.batch_share,
            queue_limit=spec.queue_limit,
        )

    def _share_capacity(self, service: str) -> dict[str, int]:
        slots = self.catalog(service)
        if slots is None:
            return {}
        members = self.membership.serving()
        rank = members.index(self.membership.node)
        per_vm = slots.service.slots_per_vm
        share: dict[str, int] = {}
        for index in range(len(slots.vms) * per_vm):
            if index % len(members) == rank:
                vm = slots.vms[index // per_vm]
                share[vm] = share.get(vm, 0) + 1
        return share

    def loads(self) -> tuple[_messages.ServiceLoad, ...]:
        """Return the demand on the services that are at home here."""
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
            for service, (ledger, _) in tuple(self._homes.items())
        )

    def counts(self) -> SlotCounts:
        """Return the counters."""
        ledgers = [entry[0] for entry in tuple(self._homes.values())]
        return SlotCounts(
            messages=self.messages,
            fallbacks=self.fallbacks,
            held=sum(ledger.held for ledger in ledgers),
            waiting=sum(ledger.waiting for ledger in ledgers),
        )


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
        outcome = ledger.acquire(ask)
        return typing.cast(peridotsill.SlotResult, outcome)


@slot_policy("permits")
class Permits(SlotPolicy):
    """One queue for all nodes, kept at the service's home."""

    def acquire(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotResult:
        """Ask the home; fall back to the share while it can't answer."""
        until = time.monotonic() + ask.deadline_seconds
        while True:
            left = until - time.monotonic()
            reply = self._ask(slots, attrs.evolve(ask, deadline_seconds=left))
            if reply is None or reply.warming:
                slots.fallbacks += 1
                return self._fall_back(slots, ask, until)
            if reply.grant is not None:
                return result.Success(reply.grant)
            if reply.refusal is not None:
                return result.Failure(reply.refusal)

    def _ask(
        self, slots: Slots, ask: peridotsill.SlotAsk
    ) -> peridotsill.SlotReply | None:
        home = slots.home_of(ask.service)
        if home == slots.membership.node:
            return slots.answer(ask)
        slots.messages += 1
        try:
            data = slots.membership.call(
                home, "/siblings/slots", ask, _ANSWER_SECONDS
            )
            return peridotsill.from_plain(data, peridotsill.SlotReply)
        except peridotsill.exceptions.PeridotsillError:
            slots.membership.suspect(home)
            slots.withdraw(ask)
            return None

    def _fall_back(
        self, slots: Slots, ask: peridotsill.SlotAsk, until: float
    ) -> peridotsill.SlotResult:
        # The name differs, as the home may hold a slot under the first.
        again = attrs.evolve(
            ask,
            id=f"{ask.id}+share",
            deadline_seconds=until - time.monotonic(),
        )
        return policy_named("share").acquire(slots, again)
