"""Deletes expired claims, on one node at a time."""

import time

import peridotsill
from returns import result

from peridotsill_node import _claims
import peridotsill_platform
import peridotsill_siblings

_CLEANUP_PERIOD_SECONDS = 10.0
_MAX_BATCH_ROWS = 200
_CLAIMS_PREFIX = "claims/"


class ClaimCleaner:
    """Deletes expired claims, which would otherwise fill the table."""

    def __init__(
        self,
        *,
        node: str,
        table: peridotsill_platform.Table,
        membership: peridotsill_siblings.Membership,
    ) -> None:
        self._node = node
        self._table = table
        self._membership = membership
        self._due_at = time.monotonic() + _CLEANUP_PERIOD_SECONDS

    def run_if_due(self) -> None:
        """Delete expired claims if a run is due and it is this node's task."""
        if time.monotonic() < self._due_at:
            return
        self._due_at = time.monotonic() + _CLEANUP_PERIOD_SECONDS
        members = self._membership.serving_nodes()
        if peridotsill.rendezvous("claims", members) != self._node:
            return
        match self._table.scan((_CLAIMS_PREFIX,)):
            case result.Success(scan):
                expired = [row for row in scan.rows if _is_expired(row)]
                for start in range(0, len(expired), _MAX_BATCH_ROWS):
                    self._delete_batch(
                        expired[start : start + _MAX_BATCH_ROWS]
                    )

    def _delete_batch(self, rows: list[peridotsill.Row]) -> None:
        # A row that has changed since the scan makes its whole batch fail;
        # the next run finds the other rows again.
        self._table.commit(
            peridotsill_platform.Transaction(
                checks=tuple(
                    peridotsill_platform.Check(
                        key=row.key, version=row.version
                    )
                    for row in rows
                ),
                writes=tuple(
                    peridotsill_platform.Write(key=row.key, value=None)
                    for row in rows
                ),
            )
        )


def _is_expired(row: peridotsill.Row) -> bool:
    claim = peridotsill.from_plain(row.value, _claims.ClaimRow)
    return claim.expires_at < time.time()
