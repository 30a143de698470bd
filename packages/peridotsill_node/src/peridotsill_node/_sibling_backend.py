"""Handles the requests of siblings to a node."""

import typing

import peridotsill

from peridotsill_node import _view_feed
import peridotsill_siblings

if typing.TYPE_CHECKING:
    from peridotsill_node import _node


class SiblingBackend:
    """Implements the siblings' routes and callbacks for a node."""

    def __init__(self, *, node: "_node.Node") -> None:
        self._node = node

    def heartbeat(
        self, receiver: str | None
    ) -> peridotsill_siblings.Heartbeat:
        """Return this node's state; the holds are those for ``receiver``.

        ``receiver`` is the id of the sibling, None if it is not known yet.
        """
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
            ready=not node.unready_reason(),
            leaving=node.leaving,
            config_version=node.view.config.version,
            revision=node.view.revision,
            drain_acks=acks,
            leaving_vms=health.leaving_vms(),
            down_vms=health.vms_failing_probes(),
            holds=node.slots.holds_for(receiver),
            loads=node.slots.loads(),
            shares=node.slots.share_usages(),
        )

    def record_holds(self, heartbeat: peridotsill_siblings.Heartbeat) -> None:
        """Record a sibling's holds of services whose home is this node."""
        self._node.slots.add_reported_holds(heartbeat.holds)

    def on_heartbeat(
        self, heartbeat: peridotsill_siblings.Heartbeat
    ) -> peridotsill_siblings.Heartbeat:
        """Record a sibling's state and return this node's."""
        self._node.view_feed.refresh_if_paused()
        self._node.membership.record_heartbeat(heartbeat)
        return self.heartbeat(heartbeat.node)

    def on_slots(
        self, batch: peridotsill_siblings.SlotBatch
    ) -> peridotsill_siblings.SlotReplies:
        """Process a sibling's slot requests, releases and replies."""
        return self._node.slots.handle_batch(batch)

    def on_replies(self, replies: tuple[peridotsill.SlotReply, ...]) -> None:
        """Process the replies of a service's home node to a batch."""
        self._node.slots.handle_replies(replies)

    def on_push(self, push: peridotsill_siblings.Push) -> None:
        """Merge rows that a sibling committed, and wake the table's poll.

        The poll finds changes that a push leaves out, such as deletions.
        """
        self._node.view.merge_rows(push.rows)
        self._node.view_feed.request_poll()

    def state_copy(self) -> peridotsill_siblings.StateCopy:
        """Return this node's copy of the table.

        Siblings that can't read the table itself use it instead.
        """
        view = self._node.view
        rows = tuple(
            row for prefix in _view_feed.PREFIXES for row in view.rows(prefix)
        )
        newest_version = max((row.version for row in rows), default=0)
        revision = max(view.revision, newest_version)
        return peridotsill_siblings.StateCopy(
            scan=peridotsill.Scan(rows=rows, revision=revision),
            ready=self._node.view_feed.bootstrapped,
        )

    def find_decisions(self, subject: str) -> tuple[peridotsill.Decision, ...]:
        """Return the decisions about a subject in this node's journal."""
        return self._node.journal.find(subject)
