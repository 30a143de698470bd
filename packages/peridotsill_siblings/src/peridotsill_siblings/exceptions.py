"""Errors of calls between sibling nodes."""

import peridotsill.exceptions


class SiblingError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class SiblingUnavailable(SiblingError):
    """A sibling is unknown, did not answer, or answered with an error."""


class UnknownPolicy(SiblingError):
    """No slot policy is registered under the configured name."""
