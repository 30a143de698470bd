"""Tells when earlier holders of the scheduler's lease stop granting leases.

Without its own lease a scheduler still extends the leases of runs for a
while, so that they survive an outage of the table.
"""

import attrs

from peridotsill_jobs import _holder_check

# A scheduler whose lease has expired polls for this long and then no longer
# extends leases of runs, so that a new scheduler knows when they have
# expired. With the lease's own time and the last grant, runs survive 10
# seconds without the table.
POLL_WITHOUT_LEASE_SECONDS = 6.0


@attrs.frozen(kw_only=True)
class LastHolder:
    """The holder of the lease whose row a takeover replaces.

    Example: its lease ends at 100, so it may grant leases until 106. But it
    had stopped by 98, and no holder before it granted any after 90: then
    ``grants_end_at(98.0)`` is 98.

    ``node``, ``address`` and ``process`` name it; one of them is empty if it
    has released the lease, or if an earlier version wrote the row.
    ``lease_ends_at`` is when its lease, and those of the holders before it,
    have certainly expired. ``earlier_grants_end_at`` is when the holders
    before it grant no more leases of runs; None if that is not known. Times
    are those of `_clock.monotonic_seconds`.
    """

    node: str
    address: str
    process: str
    epoch: int
    lease_ends_at: float
    earlier_grants_end_at: float | None

    @property
    def is_named(self) -> bool:
        """Whether it is known which process it was, and where."""
        return bool(self.node and self.address and self.process)

    def stopped_at(
        self, answer: _holder_check.HolderState | None, now: float
    ) -> float | None:
        """Return by when it had stopped, by an answer from its address.

        An address has one process at a time, so another process of its name
        that answers there shows that it has ended. A process that declines
        the epoch has granted nothing under it and won't. None if the answer
        shows neither.
        """
        if answer is None or not self.is_named or not answer.process:
            return None
        if answer.declined and answer.process == self.process:
            return now
        if answer.node != self.node or answer.process == self.process:
            return None
        return now - answer.up_seconds

    def grants_end_at(self, stopped_at: float | None) -> float:
        """Return when neither it nor one before grants leases of runs.

        Args:
            stopped_at: When it had certainly stopped; None if it may live.
        """
        latest = self.lease_ends_at + POLL_WITHOUT_LEASE_SECONDS
        if stopped_at is None or self.earlier_grants_end_at is None:
            return latest
        return min(latest, max(stopped_at, self.earlier_grants_end_at))
