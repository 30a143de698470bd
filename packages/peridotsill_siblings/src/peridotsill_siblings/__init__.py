"""Sibling nodes: membership, slot sharing, row pushes, drain acks."""

from peridotsill_siblings._membership import Member
from peridotsill_siblings._membership import Membership
from peridotsill_siblings._messages import DrainAck
from peridotsill_siblings._messages import Heartbeat
from peridotsill_siblings._messages import Push
from peridotsill_siblings._messages import ServiceLoad
from peridotsill_siblings._messages import ShareUsage
from peridotsill_siblings._messages import SlotBatch
from peridotsill_siblings._messages import SlotReplies
from peridotsill_siblings._messages import StateCopy
from peridotsill_siblings._routes import routes
from peridotsill_siblings._routes import SiblingBackend
from peridotsill_siblings._slots import Blind
from peridotsill_siblings._slots import Borrow
from peridotsill_siblings._slots import Catalog
from peridotsill_siblings._slots import InFlight
from peridotsill_siblings._slots import Permits
from peridotsill_siblings._slots import policy_named
from peridotsill_siblings._slots import policy_names
from peridotsill_siblings._slots import ServiceSlots
from peridotsill_siblings._slots import Share
from peridotsill_siblings._slots import slot_policy
from peridotsill_siblings._slots import SlotCounts
from peridotsill_siblings._slots import SlotPolicy
from peridotsill_siblings._slots import Slots

__all__ = [
    "Blind",
    "Borrow",
    "Catalog",
    "DrainAck",
    "Heartbeat",
    "InFlight",
    "Member",
    "Membership",
    "Permits",
    "Push",
    "ServiceLoad",
    "ServiceSlots",
    "Share",
    "ShareUsage",
    "SiblingBackend",
    "SlotBatch",
    "SlotCounts",
    "SlotPolicy",
    "SlotReplies",
    "Slots",
    "StateCopy",
    "policy_named",
    "policy_names",
    "routes",
    "slot_policy",
]
