"""Which nodes are alive: heartbeats, one thread for each sibling."""

import collections.abc
import threading
import time

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_siblings import _messages
from peridotsill_siblings import exceptions

_CALL_SECONDS = 1.0
_FORGET_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class Member:
    """A sibling as it was last heard of, at a monotonic time."""

    last: _messages.Heartbeat
    heard_at: float


class _Peer:
    """The task that talks to one sibling."""

    def __init__(
        self, *, address: str, token: str, membership: "Membership"
    ) -> None:
        self.address = address
        self.node: str | None = None
        self._membership = membership
        self._client = peridotsill.JsonClient(
            base=f"http://{address}", token=token
        )
        self._asks: list[peridotsill.SlotAsk] = []
        self._releases: list[peridotsill.Release] = []
        self._replies: list[peridotsill.SlotReply] = []
        self._wake = threading.Condition()
        self._stopped = False
        self._due = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def add(
        self,
        *,
        ask: peridotsill.SlotAsk | None = None,
        release: peridotsill.Release | None = None,
        reply: peridotsill.SlotReply | None = None,
    ) -> None:
        """Put something about a slot into the next batch."""
        with self._wake:
            if ask is not None:
                self._asks.append(ask)
            if release is not None:
                self._releases.append(release)
            if reply is not None:
                self._replies.append(reply)
            self._wake.notify()

    def call(self, path: str, body: object, timeout_seconds: float) -> object:
        """Send one message.

        Raises:
            SiblingUnavailable: If it was not answered well.
        """
        try:
            return self._client.call(
                "POST", path, body, timeout_seconds=timeout_seconds
            )
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.SiblingUnavailable(str(error)) from error

    def beat_now(self) -> None:
        """Send the next heartbeat at once."""
        with self._wake:
            self._due = 0.0
            self._wake.notify()

    def stop(self) -> None:
        """End the task."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        self._client.close()

    def _run(self) -> None:
        while not self._stopped:
            batch = self._next_batch()
            if batch is not None:
                self._send_batch(batch)
            if time.monotonic() >= self._due:
                period = self._membership.period_seconds
                self._due = time.monotonic() + period
                self._beat()

    def _next_batch(self) -> _messages.SlotBatch | None:
        """Wait for something to say, or for the next heartbeat."""
        with self._wake:
            left = self._due - time.monotonic()
            if left > 0 and not self._has_words():
                self._wake.wait(left)
            if not self._has_words():
                return None
            batch = _messages.SlotBatch(
                node=self._membership.node,
                asks=tuple(self._asks),
                releases=tuple(self._releases),
                replies=tuple(self._replies),
            )
            self._asks, self._releases, self._replies = [], [], []
            return batch

    def _has_words(self) -> bool:
        return bool(self._asks or self._releases or self._replies)

    def _send_batch(self, batch: _messages.SlotBatch) -> None:
        self._membership.batches += 1
        try:
            data = self.call("/siblings/slots", batch, _CALL_SECONDS)
            answer = peridotsill.from_plain(data, _messages.SlotReplies)
        except peridotsill.exceptions.PeridotsillError:
            # Holds end at their deadline; asks are told that nobody heard.
            self._membership.on_replies(
                tuple(
                    peridotsill.SlotReply(ask=ask.id, warming=True)
                    for ask in batch.asks
                )
            )
            return
        self._membership.on_replies(answer.replies)

    def _beat(self) -> None:
        own = self._membership.own_heartbeat(self.node)
        try:
            data = self.call("/siblings/heartbeat", own, _CALL_SECONDS)
            beat = peridotsill.from_plain(
                data, _messages.Heartbeat, strict=False
            )
        except peridotsill.exceptions.PeridotsillError:
            return
        self.node = beat.node
        self._membership.heard(beat)


class Membership:
    """The siblings of a node, by heartbeats that go both ways.

    Addresses come from the settings' seeds and from the table's node
    rows; a node's id changes each time its process starts.
    """

    def __init__(
        self,
        *,
        node: str,
        own_address: str,
        token: str,
        period_seconds: float,
        timeout_seconds: float,
        heartbeat: collections.abc.Callable[[str | None], _messages.Heartbeat],
        on_heard: collections.abc.Callable[[_messages.Heartbeat], None],
        on_replies: collections.abc.Callable[
            [tuple[peridotsill.SlotReply, ...]], None
        ],
    ) -> None:
        self._node = node
        self._own_address = own_address
        self._token = token
        self._period_seconds = period_seconds
        self._timeout_seconds = timeout_seconds
        self._heartbeat = heartbeat
        self._on_heard = on_heard
        self.on_replies = on_replies
        self.batches = 0
        self._peers: dict[str, _Peer] = {}
        self._members: dict[str, Member] = {}
        self._lock = threading.Lock()

    @property
    def node(self) -> str:
        """This node's id."""
        return self._node

    @property
    def period_seconds(self) -> float:
        """Seconds between two heartbeats to one sibling."""
        return self._period_seconds

    @property
    def peer_count(self) -> int:
        """Number of other nodes that are known by address."""
        return len(self._peers)

    def own_heartbeat(self, receiver: str | None) -> _messages.Heartbeat:
        """Return this node's state for a sibling."""
        return self._heartbeat(receiver)

    def heard(self, beat: _messages.Heartbeat) -> None:
        """Take in a sibling's state."""
        if beat.node == self._node:
            return
        member = Member(last=beat, heard_at=time.monotonic())
        with self._lock:
            self._members[beat.node] = member
        self._add_peer(beat.siblings)
        self._on_heard(beat)

    def sync(self, addresses: collections.abc.Iterable[str]) -> None:
        """Follow the addresses of seeds and node rows."""
        wanted = set(addresses) - {self._own_address}
        for address in wanted:
            self._add_peer(address)
        now = time.monotonic()
        with self._lock:
            heard = {
                member.last.siblings
                for member in self._members.values()
                if now - member.heard_at < _FORGET_SECONDS
            }
            gone = set(self._peers) - wanted - heard
            stopped = [self._peers.pop(address) for address in gone]
            self._members = {
                name: member
                for name, member in self._members.items()
                if now - member.heard_at < _FORGET_SECONDS
            }
        for peer in stopped:
            peer.stop()

    def _add_peer(self, address: str) -> None:
        if address == self._own_address:
            return
        with self._lock:
            if address in self._peers:
                return
            self._peers[address] = _Peer(
                address=address, token=self._token, membership=self
            )

    def live(self) -> tuple[_messages.Heartbeat, ...]:
        """Return the last heartbeats of the siblings heard of lately."""
        oldest = time.monotonic() - self._timeout_seconds
        with self._lock:
            return tuple(
                member.last
                for member in self._members.values()
                if member.heard_at >= oldest
            )

    def last_shares(self, node: str) -> tuple[_messages.ShareUse, ...]:
        """Return the slot shares that a node last reported."""
        with self._lock:
            member = self._members.get(node)
        return member.last.shares if member else ()

    def serving(self) -> tuple[str, ...]:
        """Return the ids of all live nodes that don't leave, sorted."""
        others = [beat.node for beat in self.live() if not beat.leaving]
        return tuple(sorted([*others, self._node]))

    def is_live(self, node: str) -> bool:
        """Tell whether a node was heard of lately, or is this one."""
        if node == self._node:
            return True
        return any(beat.node == node for beat in self.live())

    def call(
        self,
        node: str,
        path: str,
        body: object,
        timeout_seconds: float = _CALL_SECONDS,
    ) -> object:
        """Send a message to a sibling by its id.

        Raises:
            SiblingUnavailable: If it is unknown or does not answer.
        """
        peer = self._peer_of(node)
        if peer is None:
            raise exceptions.SiblingUnavailable(f"{node} is not known")
        return peer.call(path, body, timeout_seconds)

    def tell(
        self,
        node: str,
        *,
        ask: peridotsill.SlotAsk | None = None,
        release: peridotsill.Release | None = None,
        reply: peridotsill.SlotReply | None = None,
    ) -> bool:
        """Put something about a slot into the next batch for a node.

        Returns:
            Whether the node is known.
        """
        peer = self._peer_of(node)
        if peer is None:
            return False
        peer.add(ask=ask, release=release, reply=reply)
        return True

    def beat_now(self) -> None:
        """Tell every sibling this node's state at once."""
        with self._lock:
            peers = tuple(self._peers.values())
        for peer in peers:
            peer.beat_now()

    def broadcast(self, path: str, body: object) -> None:
        """Send a message to every known sibling, each by its own thread."""
        with self._lock:
            peers = tuple(self._peers.values())
        for peer in peers:
            threading.Thread(
                target=_call_quietly, args=(peer, path, body), daemon=True
            ).start()

    def ask_all(self, path: str, body: object) -> tuple[object, ...]:
        """Return the answers of all siblings that can be reached."""
        with self._lock:
            peers = tuple(self._peers.values())
        answers: list[object] = []
        threads = [
            threading.Thread(
                target=_collect, args=(peer, path, body, answers), daemon=True
            )
            for peer in peers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return tuple(answers)

    def _peer_of(self, node: str) -> _Peer | None:
        with self._lock:
            member = self._members.get(node)
            if member is None:
                return None
            return self._peers.get(member.last.siblings)

    def stop(self) -> None:
        """End all tasks."""
        with self._lock:
            peers, self._peers = self._peers, {}
        for peer in peers.values():
            peer.stop()


def _call_quietly(peer: _Peer, path: str, body: object) -> None:
    try:
        peer.call(path, body, _CALL_SECONDS)
    except exceptions.SiblingUnavailable:
        return


def _collect(
    peer: _Peer, path: str, body: object, answers: list[object]
) -> None:
    try:
        answers.append(peer.call(path, body, _CALL_SECONDS))
    except exceptions.SiblingUnavailable:
        return
