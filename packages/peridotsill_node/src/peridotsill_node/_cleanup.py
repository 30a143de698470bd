"""Deletes claims that have expired, on one node at a time."""

import time

import peridotsill
from returns import result

from peridotsill_node import _claims
import peridotsill_platform
import peridotsill_siblings

_PERIOD_SECONDS = 10.0
_BATCH_SIZE = 200
_PREFIX = "claims/"


class ClaimCleaner:
    """Keeps the table from growing with every keyed request."""

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
        self._due = time.monotonic() + _PERIOD_SECONDS

    def run_if_due(self) -> None:
        """Delete what has expired, if it is this node's turn."""
        if time.monotonic() < self._due:
            return
        self._due = time.monotonic() + _PERIOD_SECONDS
        members = self._membership.serving()
        if peridotsill.rendezvous("claims", members) != self._node:
            return
        match self._table.scan((_PREFIX,)):
            case result.Success(scan):
                expired = [row for row in scan.rows if _is_expired(row)]
                for start in range(0, len(expired), _BATCH_SIZE):
                    self._delete(expired[start : start + _BATCH_SIZE])

    def _delete(self, rows: list[peridotsill.Row]) -> None:
        # A row that changed meanwhile fails its batch; the next turn
        # finds the others again.
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
