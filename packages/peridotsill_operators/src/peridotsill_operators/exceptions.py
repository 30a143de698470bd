"""Errors between operators and a node."""

import peridotsill.exceptions


class OperatorError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class NodeUnreachable(OperatorError):
    """No node answered."""


class NotFound(OperatorError):
    """The resource is unknown."""


class VersionConflict(OperatorError):
    """Somebody else changed the resource first."""


class Refused(OperatorError):
    """The node refused the request."""


class TooOld(OperatorError):
    """Changes since the given version are gone; list again."""
