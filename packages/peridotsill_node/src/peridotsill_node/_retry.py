"""Retry budget: limits retries to a share of recent requests."""

import threading

_INITIAL_TOKENS = 5.0
_MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket that first attempts fill and retries drain."""

    def __init__(self) -> None:
        self._tokens = _INITIAL_TOKENS
        self._lock = threading.Lock()

    def deposit(self, ratio: float) -> None:
        """Add the tokens of a first attempt: ``ratio`` retries per request."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + ratio)

    def withdraw(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
