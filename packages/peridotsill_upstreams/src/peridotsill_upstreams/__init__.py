"""Requests to runners: connection pools, exchanges and VM health."""

from peridotsill_upstreams._connections import Connection
from peridotsill_upstreams._connections import ConnectionPool
from peridotsill_upstreams._exchange import Exchange
from peridotsill_upstreams._exchange import LEAVING_HEADER
from peridotsill_upstreams._exchange import RAN_HEADER
from peridotsill_upstreams._exchange import REQUEST_ID_HEADER
from peridotsill_upstreams._exchange import send
from peridotsill_upstreams._exchange import SendOptions
from peridotsill_upstreams._health import DrainAck
from peridotsill_upstreams._health import Health
from peridotsill_upstreams._health import ProbeResult
from peridotsill_upstreams._upstreams import SendFunction
from peridotsill_upstreams._upstreams import upstream_client
from peridotsill_upstreams._upstreams import Upstreams

__all__ = [
    "LEAVING_HEADER",
    "RAN_HEADER",
    "REQUEST_ID_HEADER",
    "Connection",
    "ConnectionPool",
    "DrainAck",
    "Exchange",
    "Health",
    "ProbeResult",
    "SendFunction",
    "SendOptions",
    "Upstreams",
    "send",
    "upstream_client",
]
