"""A node: its components, owner duties and two command-line programs."""

from peridotsill_node._cli import operator_main
from peridotsill_node._daemon import daemon_main
from peridotsill_node._node import Node
from peridotsill_node._node import running

__all__ = [
    "Node",
    "daemon_main",
    "operator_main",
    "running",
]
