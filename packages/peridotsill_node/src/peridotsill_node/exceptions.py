"""Exceptions of a node."""

import peridotsill.exceptions


class NodeError(peridotsill.exceptions.PeridotsillError):
    """Base class of this package's exceptions."""


class CannotStart(NodeError):
    """The daemon can't start serving."""
