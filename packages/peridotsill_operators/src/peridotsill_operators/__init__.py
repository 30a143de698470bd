"""The resource interface for operators, and its client."""

from peridotsill_operators._client import OperatorClient
from peridotsill_operators._routes import Applied
from peridotsill_operators._routes import Cancellation
from peridotsill_operators._routes import ConfigChange
from peridotsill_operators._routes import DrainOrder
from peridotsill_operators._routes import MoveOrder
from peridotsill_operators._routes import NodeStatus
from peridotsill_operators._routes import OperatorTarget
from peridotsill_operators._routes import routes
from peridotsill_operators._routes import WaveOrder

__all__ = [
    "Applied",
    "Cancellation",
    "ConfigChange",
    "DrainOrder",
    "MoveOrder",
    "NodeStatus",
    "OperatorClient",
    "OperatorTarget",
    "WaveOrder",
    "routes",
]
