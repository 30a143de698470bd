"""Limits the memory that what peers send may hold, over all connections."""

import threading

from peridotsill import _limit_hits
from peridotsill import exceptions


class MemoryBudget:
    """A number of bytes that several readers share.

    Args:
        name: Name of the limit in the log and in the metrics.
        limit_bytes: The largest sum of all charges.
    """

    def __init__(self, *, name: str, limit_bytes: int) -> None:
        self._name = name
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Sum of the charges that were not released."""
        return self._used_bytes

    def charge(self) -> "MemoryCharge":
        """Return a new charge, which is empty."""
        return MemoryCharge(self)

    def _add(self, amount: int) -> None:
        with self._lock:
            if amount > 0 and self._used_bytes + amount > self._limit_bytes:
                exceeded = True
            else:
                exceeded = False
                self._used_bytes += amount
        if exceeded:
            _limit_hits.record(self._name, f"of {self._limit_bytes} bytes")
            raise exceptions.MemoryBudgetExceeded(
                f"too much is being received at once: {self._name}"
            )


class MemoryCharge:
    """What one reader holds of a budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bytes = 0

    def add(self, amount: int) -> None:
        """Charge ``amount`` bytes more.

        Raises:
            MemoryBudgetExceeded: If the budget doesn't allow it; nothing is
                charged.
        """
        self._budget._add(amount)
        self._bytes += amount

    def release(self) -> None:
        """Give all charged bytes back."""
        if self._bytes:
            self._budget._add(-self._bytes)
            self._bytes = 0
