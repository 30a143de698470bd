"""Errors of a node as a whole."""

import peridotsill.exceptions


class NodeError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class CannotStart(NodeError):
    """The daemon can't begin to serve."""
