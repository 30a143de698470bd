"""Serves callers: request parsing, time-outs and answers."""

from peridotsill_callers._app import CallerApp
from peridotsill_callers._app import Handler
from peridotsill_callers._app import Outcome
from peridotsill_callers._parsing import parse_request

__all__ = [
    "CallerApp",
    "Handler",
    "Outcome",
    "parse_request",
]
