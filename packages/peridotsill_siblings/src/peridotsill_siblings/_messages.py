"""What nodes tell each other."""

import attrs
import peridotsill


@attrs.frozen(kw_only=True)
class DrainAck:
    """The sender has nothing in flight at a VM and sends it nothing."""

    vm: str
    disruption: str


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """Demand on a service as its home sees it, in slots.

    ``refused`` counts requests refused for want of a slot since the last
    look, about a second ago.
    """

    service: str
    held: int
    waiting: int
    refused: int


@attrs.frozen(kw_only=True)
class ShareUse:
    """A node's own share of a service's slots, and what is granted of it.

    ``free`` is what it would lend now.
    """

    service: str
    free: int
    vms: tuple[peridotsill.VmUse, ...]


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A node's state, sent to each sibling and given in reply.

    ``holds`` are the slots that the sender holds of services whose home
    is the receiver.
    """

    node: str
    domain: str
    siblings: str
    operators: str
    ready: bool
    leaving: bool
    config_version: int
    revision: int
    drain_acks: tuple[DrainAck, ...] = ()
    leaving_vms: tuple[str, ...] = ()
    down_vms: tuple[str, ...] = ()
    holds: tuple[peridotsill.Hold, ...] = ()
    loads: tuple[ServiceLoad, ...] = ()
    shares: tuple[ShareUse, ...] = ()


@attrs.frozen(kw_only=True)
class SlotBatch:
    """What one node has to say to another about slots, all at once.

    ``asks`` and ``releases`` go to the home, ``replies`` come from it.
    """

    node: str
    asks: tuple[peridotsill.SlotAsk, ...] = ()
    releases: tuple[peridotsill.Release, ...] = ()
    replies: tuple[peridotsill.SlotReply, ...] = ()


@attrs.frozen(kw_only=True)
class SlotReplies:
    """What a home could say at once; it says ``queued`` of the others."""

    replies: tuple[peridotsill.SlotReply, ...]


@attrs.frozen(kw_only=True)
class Push:
    """Rows that the sender has just committed."""

    rows: tuple[peridotsill.Row, ...]


@attrs.frozen(kw_only=True)
class StateCopy:
    """All that a node knows of the table; for nodes that can't read it."""

    scan: peridotsill.Scan
    ready: bool
