"""Counts and logs where a peer reached a limit, for the whole process.

Listeners, clients and the call loop reach limits in places that know neither
the node's counters nor its log, so there is one record for the process.
"""

import collections
import threading
import time

import eliot

from peridotsill import _log_limiter

# A peer may reach a limit thousands of times a second.
_LOG_PERIOD_SECONDS = 10.0

_lock = threading.Lock()
_counts: collections.Counter[str] = collections.Counter()
_limiter = _log_limiter.LogLimiter(period_seconds=_LOG_PERIOD_SECONDS)


def record(limit: str, detail: str = "") -> None:
    """Count that a limit was reached; log it at most once in 10 s.

    Args:
        limit: The limit's name, such as ``connections``.
        detail: What is known of the peer or the size.
    """
    with _lock:
        _counts[limit] += 1
    left_out = _limiter.admit(limit, time.monotonic())
    if left_out is None:
        return
    eliot.log_message(
        message_type="peer:limit",
        limit=limit,
        count=left_out + 1,
        detail=detail,
    )


def counts() -> dict[str, int]:
    """Return how often each limit was reached."""
    with _lock:
        return dict(_counts)
