"""The budget for retries: a share of recent requests."""

import threading

_START_TOKENS = 5.0
_MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self) -> None:
        self._tokens = _START_TOKENS
        self._lock = threading.Lock()

    def deposit(self, ratio: float) -> None:
        """Count a first attempt; ``ratio`` is its share of a retry."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + ratio)

    def withdraw(self) -> bool:
        """Take the right to one retry, if there is one."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
