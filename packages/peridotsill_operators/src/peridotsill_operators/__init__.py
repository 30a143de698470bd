"""The resource interface for operators, and its client."""

from peridotsill_operators._client import OperatorClient
from peridotsill_operators._routes import CancelJobsRequest
from peridotsill_operators._routes import ConfigChange
from peridotsill_operators._routes import DrainRequest
from peridotsill_operators._routes import MoveRequest
from peridotsill_operators._routes import NodeStatus
from peridotsill_operators._routes import OperatorBackend
from peridotsill_operators._routes import routes
from peridotsill_operators._routes import WaveStateRequest
from peridotsill_operators._routes import WriteResult

__all__ = [
    "CancelJobsRequest",
    "ConfigChange",
    "DrainRequest",
    "MoveRequest",
    "NodeStatus",
    "OperatorBackend",
    "OperatorClient",
    "WaveStateRequest",
    "WriteResult",
    "routes",
]
