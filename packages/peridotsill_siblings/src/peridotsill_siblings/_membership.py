"""Membership: heartbeats to the siblings, one thread for each."""

import collections.abc
import threading
import time

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_siblings import _messages
from peridotsill_siblings import exceptions

_CALL_TIMEOUT_SECONDS = 1.0
_FORGET_MEMBER_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class Member:
    """A sibling's last heartbeat and its monotonic time of receipt."""

    heartbeat: _messages.Heartbeat
    received_at: float


class _Peer:
    """Sends messages to one sibling.

    A thread of its own sends the heartbeats and the queued slot messages.
    """

    def __init__(
        self, *, address: str, token: str, membership: "Membership"
    ) -> None:
        self.address = address
        self.node: str | None = None
        self._membership = membership
        self._client = peridotsill.JsonClient(
            base=f"http://{address}", token=token
        )
        self._slot_requests: list[peridotsill.SlotRequest] = []
        self._releases: list[peridotsill.Release] = []
        self._replies: list[peridotsill.SlotReply] = []
        self._wake = threading.Condition()
        self._stopped = False
        self._next_heartbeat_at = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def enqueue(
        self,
        *,
        request: peridotsill.SlotRequest | None = None,
        release: peridotsill.Release | None = None,
        reply: peridotsill.SlotReply | None = None,
    ) -> None:
        """Queue a slot message for the next batch."""
        with self._wake:
            if request is not None:
                self._slot_requests.append(request)
            if release is not None:
                self._releases.append(release)
            if reply is not None:
                self._replies.append(reply)
            self._wake.notify()

    def call(self, path: str, body: object, timeout_seconds: float) -> object:
        """Send one message.

        Raises:
            SiblingUnavailable: If no answer came, or it is an error.
        """
        try:
            return self._client.call(
                "POST", path, body, timeout_seconds=timeout_seconds
            )
        except peridotsill.exceptions.PeridotsillError as error:
            raise exceptions.SiblingUnavailable(str(error)) from error

    def send_heartbeat_now(self) -> None:
        """Wake the thread to send the next heartbeat at once."""
        with self._wake:
            self._next_heartbeat_at = 0.0
            self._wake.notify()

    def stop(self) -> None:
        """End the thread and close its connections."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        self._client.close()

    def _run(self) -> None:
        while not self._stopped:
            batch = self._next_batch()
            if batch is not None:
                self._send_batch(batch)
            if time.monotonic() >= self._next_heartbeat_at:
                period = self._membership.period_seconds
                self._next_heartbeat_at = time.monotonic() + period
                self._send_heartbeat()

    def _next_batch(self) -> _messages.SlotBatch | None:
        """Wait for a slot message or the next heartbeat's time.

        Returns None if no message is queued.
        """
        with self._wake:
            left = self._next_heartbeat_at - time.monotonic()
            if left > 0 and not self._has_queued_messages():
                self._wake.wait(left)
            if not self._has_queued_messages():
                return None
            batch = _messages.SlotBatch(
                node=self._membership.node,
                asks=tuple(self._slot_requests),
                releases=tuple(self._releases),
                replies=tuple(self._replies),
            )
            self._slot_requests, self._releases, self._replies = [], [], []
            return batch

    def _has_queued_messages(self) -> bool:
        return bool(self._slot_requests or self._releases or self._replies)

    def _send_batch(self, batch: _messages.SlotBatch) -> None:
        self._membership.batches_sent += 1
        try:
            data = self.call("/siblings/slots", batch, _CALL_TIMEOUT_SECONDS)
            answer = peridotsill.from_plain(data, _messages.SlotReplies)
        except peridotsill.exceptions.PeridotsillError:
            # Lost releases need no retry: holds expire soon after the
            # deadline of their request. Requests get a ``warming`` reply, so
            # that they fail over at once instead of timing out.
            self._membership.on_replies(
                tuple(
                    peridotsill.SlotReply(ask=request.id, warming=True)
                    for request in batch.asks
                )
            )
            return
        self._membership.on_replies(answer.replies)

    def _send_heartbeat(self) -> None:
        own = self._membership.own_heartbeat(self.node)
        try:
            data = self.call("/siblings/heartbeat", own, _CALL_TIMEOUT_SECONDS)
            heartbeat = peridotsill.from_plain(
                data, _messages.Heartbeat, strict=False
            )
        except peridotsill.exceptions.PeridotsillError:
            return
        self.node = heartbeat.node
        self._membership.record_heartbeat(heartbeat)


class Membership:
    """The siblings of a node, known by heartbeats in both directions.

    Addresses come from the settings' seeds, from the table's node rows
    and from heartbeats. A node's id changes each time its process starts.
    """

    def __init__(
        self,
        *,
        node: str,
        own_address: str,
        token: str,
        period_seconds: float,
        timeout_seconds: float,
        make_heartbeat: collections.abc.Callable[
            [str | None], _messages.Heartbeat
        ],
        on_heartbeat_received: collections.abc.Callable[
            [_messages.Heartbeat], None
        ],
        on_replies: collections.abc.Callable[
            [tuple[peridotsill.SlotReply, ...]], None
        ],
    ) -> None:
        self._node = node
        self._own_address = own_address
        self._token = token
        self._period_seconds = period_seconds
        self._timeout_seconds = timeout_seconds
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat_received = on_heartbeat_received
        self.on_replies = on_replies
        self.batches_sent = 0
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
        return self._make_heartbeat(receiver)

    def record_heartbeat(self, heartbeat: _messages.Heartbeat) -> None:
        """Record a sibling's heartbeat, and start sending it ours."""
        if heartbeat.node == self._node:
            return
        member = Member(heartbeat=heartbeat, received_at=time.monotonic())
        with self._lock:
            self._members[heartbeat.node] = member
        self._add_peer(heartbeat.siblings)
        self._on_heartbeat_received(heartbeat)

    def sync(self, addresses: collections.abc.Iterable[str]) -> None:
        """Add peers at new addresses, and drop those no longer in use.

        An address stays in use if it is in ``addresses`` or a heartbeat
        named it within ``_FORGET_MEMBER_SECONDS``.
        """
        wanted = set(addresses) - {self._own_address}
        for address in wanted:
            self._add_peer(address)
        now = time.monotonic()
        with self._lock:
            recent = {
                member.heartbeat.siblings
                for member in self._members.values()
                if now - member.received_at < _FORGET_MEMBER_SECONDS
            }
            gone = set(self._peers) - wanted - recent
            stopped = [self._peers.pop(address) for address in gone]
            self._members = {
                name: member
                for name, member in self._members.items()
                if now - member.received_at < _FORGET_MEMBER_SECONDS
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

    def live_heartbeats(self) -> tuple[_messages.Heartbeat, ...]:
        """Return siblings' last heartbeats received within the time-out."""
        min_received_at = time.monotonic() - self._timeout_seconds
        with self._lock:
            return tuple(
                member.heartbeat
                for member in self._members.values()
                if member.received_at >= min_received_at
            )

    def last_shares(self, node: str) -> tuple[_messages.ShareUsage, ...]:
        """Return the slot shares that a node last reported."""
        with self._lock:
            member = self._members.get(node)
        return member.heartbeat.shares if member else ()

    def serving_nodes(self) -> tuple[str, ...]:
        """Return the sorted ids of live nodes, without those leaving.

        This node is always among them.
        """
        others = [
            heartbeat.node
            for heartbeat in self.live_heartbeats()
            if not heartbeat.leaving
        ]
        return tuple(sorted([*others, self._node]))

    def is_live(self, node: str) -> bool:
        """Tell whether a node is this one, or is known to be live.

        It is live if a heartbeat of it came within the time-out.
        """
        if node == self._node:
            return True
        return any(
            heartbeat.node == node for heartbeat in self.live_heartbeats()
        )

    def call(
        self,
        node: str,
        path: str,
        body: object,
        timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> object:
        """Send a message to a sibling by its id.

        Raises:
            SiblingUnavailable: If it is unknown or the call fails.
        """
        peer = self._peer_of(node)
        if peer is None:
            raise exceptions.SiblingUnavailable(
                f"no address is known for node {node}"
            )
        return peer.call(path, body, timeout_seconds)

    def enqueue(
        self,
        node: str,
        *,
        request: peridotsill.SlotRequest | None = None,
        release: peridotsill.Release | None = None,
        reply: peridotsill.SlotReply | None = None,
    ) -> bool:
        """Queue a slot message for the next batch to a node.

        Returns:
            Whether the node is known.
        """
        peer = self._peer_of(node)
        if peer is None:
            return False
        peer.enqueue(request=request, release=release, reply=reply)
        return True

    def send_heartbeats_now(self) -> None:
        """Wake the threads to send each sibling a heartbeat at once."""
        with self._lock:
            peers = tuple(self._peers.values())
        for peer in peers:
            peer.send_heartbeat_now()

    def broadcast(self, path: str, body: object) -> None:
        """Send a message to every known sibling, ignoring failures.

        Each is sent by a thread of its own; this call does not wait.
        """
        with self._lock:
            peers = tuple(self._peers.values())
        for peer in peers:
            threading.Thread(
                target=_call_ignoring_failure,
                args=(peer, path, body),
                daemon=True,
            ).start()

    def call_all(self, path: str, body: object) -> tuple[object, ...]:
        """Call all siblings concurrently; return the answers that came."""
        with self._lock:
            peers = tuple(self._peers.values())
        answers: list[object] = []
        threads = [
            threading.Thread(
                target=_call_and_append,
                args=(peer, path, body, answers),
                daemon=True,
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
            return self._peers.get(member.heartbeat.siblings)

    def stop(self) -> None:
        """End the threads that send to siblings; close the connections."""
        with self._lock:
            peers, self._peers = self._peers, {}
        for peer in peers.values():
            peer.stop()


def _call_ignoring_failure(peer: _Peer, path: str, body: object) -> None:
    try:
        peer.call(path, body, _CALL_TIMEOUT_SECONDS)
    except exceptions.SiblingUnavailable:
        return


def _call_and_append(
    peer: _Peer, path: str, body: object, answers: list[object]
) -> None:
    try:
        answers.append(peer.call(path, body, _CALL_TIMEOUT_SECONDS))
    except exceptions.SiblingUnavailable:
        return
