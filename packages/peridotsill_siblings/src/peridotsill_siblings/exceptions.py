"""Errors between nodes."""

import peridotsill.exceptions


class SiblingError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class SiblingUnavailable(SiblingError):
    """A node did not answer."""


class UnknownPolicy(SiblingError):
    """No slot policy goes by the configured name."""
