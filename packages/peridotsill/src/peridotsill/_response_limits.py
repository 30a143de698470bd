"""Limits on the responses that a process gets from its peers."""

import functools

import attrs

from peridotsill import _memory_budget
from peridotsill import _peer_limits

_process_limits = _peer_limits.PeerLimits()


def set_process_limits(limits: _peer_limits.PeerLimits) -> None:
    """Set the limits of the clients that are created without any from now on.

    They are created in many places, such as one for each sibling.
    """
    global _process_limits
    _process_limits = limits


@functools.cache
def _shared_memory(name: str, limit_bytes: int) -> _memory_budget.MemoryBudget:
    """Return the budget that all clients with this limit share."""
    return _memory_budget.MemoryBudget(name=name, limit_bytes=limit_bytes)


@attrs.frozen(kw_only=True)
class ResponseLimits:
    """Limits on the responses to a client's calls.

    ``body_bytes`` and ``header_bytes`` limit one response, and ``memory`` the
    bodies of all that are being received. Calls to runners have a budget of
    their own, so that slow runners don't make calls to the table fail.
    """

    body_bytes: int
    header_bytes: int
    memory: _memory_budget.MemoryBudget

    @classmethod
    def for_calls(
        cls, limits: _peer_limits.PeerLimits | None = None
    ) -> "ResponseLimits":
        """Return the limits of blocking calls; the process's by default."""
        limits = limits or _process_limits
        return cls(
            body_bytes=limits.response_bytes,
            header_bytes=limits.response_header_bytes,
            memory=_shared_memory(
                "responses_memory_bytes", limits.responses_memory_bytes
            ),
        )

    @classmethod
    def for_runners(
        cls, limits: _peer_limits.PeerLimits | None = None
    ) -> "ResponseLimits":
        """Return the limits of calls to runners; the process's by default."""
        limits = limits or _process_limits
        return cls(
            body_bytes=limits.runner_response_bytes,
            header_bytes=limits.response_header_bytes,
            memory=_shared_memory(
                "runner_responses_memory_bytes",
                limits.runner_responses_memory_bytes,
            ),
        )
