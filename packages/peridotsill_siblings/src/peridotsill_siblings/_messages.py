"""Messages between sibling nodes."""

import attrs
import peridotsill


@attrs.frozen(kw_only=True)
class DrainAck:
    """The sender has no request at a draining VM and sends it none."""

    vm: str
    disruption: str


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """Demand on a service in one node's allocator, in slots.

    ``refused`` counts slot requests refused between the last two
    measurements, which are about a second apart.
    """

    service: str
    held: int
    waiting: int
    refused: int


@attrs.frozen(kw_only=True)
class ShareUsage:
    """A node's own share of a service's slots, and the slots in use.

    ``free`` is the number of slots that the node would lend now.
    """

    service: str
    free: int
    vms: tuple[peridotsill.VmSlotUsage, ...]


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A node's state, sent to each sibling and returned in answer.

    ``holds`` are the slots that the sender holds of services whose home
    is the receiver, so that a new home can rebuild its allocators.
    ``siblings`` and ``operators`` are addresses of the sender's listeners.
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
    shares: tuple[ShareUsage, ...] = ()


@attrs.frozen(kw_only=True)
class SlotBatch:
    """The queued slot messages from one node to another.

    ``asks`` and ``releases`` go to the node that allocates the slots: the
    service's home, or the lender of a slot. ``replies`` are a home's later
    decisions on requests that it had queued.
    """

    node: str
    asks: tuple[peridotsill.SlotRequest, ...] = ()
    releases: tuple[peridotsill.Release, ...] = ()
    replies: tuple[peridotsill.SlotReply, ...] = ()


@attrs.frozen(kw_only=True)
class SlotReplies:
    """The answer to a batch: a reply to each request.

    Requests that could not be decided at once are marked as ``queued``.
    """

    replies: tuple[peridotsill.SlotReply, ...]


@attrs.frozen(kw_only=True)
class Push:
    """Rows that the sender has just committed."""

    rows: tuple[peridotsill.Row, ...]


@attrs.frozen(kw_only=True)
class StateCopy:
    """A node's copy of the table, for siblings that can't read it."""

    scan: peridotsill.Scan
    ready: bool
