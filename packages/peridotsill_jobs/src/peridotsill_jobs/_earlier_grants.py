"""Tells when earlier holders of the scheduler's lease stop granting leases.

Without its own lease a scheduler still extends the leases of runs for a
while, so that they survive an outage of the table.
"""

# A scheduler whose lease has expired polls for this long and then no longer
# extends leases of runs, so that a new scheduler knows when they have
# expired. With the lease's own time and the last grant, runs survive 10
# seconds without the table.
POLL_WITHOUT_LEASE_SECONDS = 6.0


def grants_end_at(
    *,
    lease_ends_at: float,
    stopped_at: float | None,
    earlier_grants_end_at: float | None,
) -> float:
    """Return when no earlier holder grants leases of runs any more.

    Example: the last holder's lease ends at 100, so it may grant until 106.
    But its process had ended by 98, and no holder before it granted any after
    90: no lease of a run was granted after 98.

    Args:
        lease_ends_at: When the leases of all earlier holders have certainly
            expired, in seconds of `_clock.monotonic_seconds`, as below.
        stopped_at: When the last holder had certainly stopped; None if it may
            live.
        earlier_grants_end_at: The same as what is returned, for the holders
            before the last one; None if that is not known.
    """
    latest = lease_ends_at + POLL_WITHOUT_LEASE_SECONDS
    if stopped_at is None or earlier_grants_end_at is None:
        return latest
    return min(latest, max(stopped_at, earlier_grants_end_at))
