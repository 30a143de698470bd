"""Errors in serving callers."""

import peridotsill
import peridotsill.exceptions


class CallerError(peridotsill.exceptions.PeridotsillError):
    """Base of this package's errors."""


class BadRequest(CallerError):
    """The request is invalid or can't be read.

    ``problem`` is sent to the caller.
    """

    def __init__(self, problem: peridotsill.Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class AnswerTruncated(CallerError):
    """The upstream cut a streamed answer short.

    The caller's connection is closed, so that it can tell the answer is
    incomplete.
    """
