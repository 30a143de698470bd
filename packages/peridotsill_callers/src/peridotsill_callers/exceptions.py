"""Errors between callers and a node."""

import peridotsill
import peridotsill.exceptions


class CallerError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class BadRequest(CallerError):
    """A request that can't be taken; ``problem`` goes to the caller."""

    def __init__(self, problem: peridotsill.Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class AnswerBroken(CallerError):
    """A streamed answer broke off; the connection is closed for it."""
