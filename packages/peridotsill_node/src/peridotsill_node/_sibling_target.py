"""What a node does when a sibling calls."""

import typing

import peridotsill

from peridotsill_node import _feed
import peridotsill_siblings

if typing.TYPE_CHECKING:
    from peridotsill_node import _node


class SiblingTarget:
    """The siblings' side of a node."""

    def __init__(self, *, node: "_node.Node") -> None:
        self._node = node

    def heartbeat(
        self, receiver: str | None
    ) -> peridotsill_siblings.Heartbeat:
        """Return this node's state for a sibling."""
        node = self._node
        health = node.upstreams.health
        acks = tuple(
            peridotsill_siblings.DrainAck(vm=ack.vm, disruption=ack.disruption)
            for ack in health.drain_acks()
        )
        return peridotsill_siblings.Heartbeat(
            node=node.id,
            domain=node.settings.domain,
            siblings=peridotsill.advertised_address(node.settings),
            operators=str(node.settings.operators),
            ready=not node.why_unready(),
            leaving=node.leaving,
            config_version=node.view.config.version,
            revision=node.view.revision,
            drain_acks=acks,
            leaving_vms=health.leaving(),
            down_vms=health.down(),
            holds=node.slots.holds_for(receiver),
            loads=node.slots.loads(),
            shares=node.slots.share_uses(),
        )

    def heard(self, beat: peridotsill_siblings.Heartbeat) -> None:
        """Count the holds that a sibling reports to this home."""
        self._node.slots.adopt(beat.holds)

    def on_heartbeat(
        self, beat: peridotsill_siblings.Heartbeat
    ) -> peridotsill_siblings.Heartbeat:
        """Take in a sibling's state and return this node's."""
        self._node.feed.guard()
        self._node.membership.heard(beat)
        return self.heartbeat(beat.node)

    def on_slots(
        self, batch: peridotsill_siblings.SlotBatch
    ) -> peridotsill_siblings.SlotReplies:
        """Take in a sibling's asks, releases and replies."""
        return self._node.slots.take_batch(batch)

    def on_replies(self, replies: tuple[peridotsill.SlotReply, ...]) -> None:
        """Take in what a home said in answer to a batch."""
        self._node.slots.take_replies(replies)

    def on_push(self, push: peridotsill_siblings.Push) -> None:
        """Take in rows that a sibling committed."""
        self._node.view.merge_rows(push.rows)
        self._node.feed.poke()

    def state_copy(self) -> peridotsill_siblings.StateCopy:
        """Return all that this node knows of the table."""
        view = self._node.view
        rows = tuple(
            row for prefix in _feed.PREFIXES for row in view.rows(prefix)
        )
        newest = max((row.version for row in rows), default=0)
        revision = max(view.revision, newest)
        return peridotsill_siblings.StateCopy(
            scan=peridotsill.Scan(rows=rows, revision=revision),
            ready=self._node.feed.bootstrapped,
        )

    def find_decisions(self, subject: str) -> tuple[peridotsill.Decision, ...]:
        """Return the decisions in this node's ring."""
        return self._node.journal.find(subject)
