"""Leases: which nodes are registered, and which node works on a pool.

A node's row is its lease. A pool's owner row changes only when the owner
does, and its version is the fence: every write of an owner demands it.
"""

import time

import attrs
import peridotsill
from returns import result

from peridotsill_node import _writer
import peridotsill_platform
import peridotsill_siblings

_GC_FACTOR = 1.5


@attrs.define(kw_only=True, eq=False)
class _Seen:
    version: int
    since: float


class Registration:
    """This node's row in the table, renewed as a lease."""

    def __init__(
        self,
        *,
        row: peridotsill.NodeRow,
        writer: _writer.Writer,
        view: peridotsill.View,
        membership: peridotsill_siblings.Membership,
        lease_seconds: float,
    ) -> None:
        self._row = row
        self._writer = writer
        self._view = view
        self._membership = membership
        self._lease_seconds = lease_seconds
        self._seen: dict[str, _Seen] = {}
        self._renewed_at = float("-inf")

    @property
    def key(self) -> str:
        """The table key of this node's row."""
        return f"nodes/{self._row.id}"

    @property
    def held(self) -> bool:
        """Whether the lease is certainly still ours."""
        return time.monotonic() - self._renewed_at < self._lease_seconds

    def renew(self, acks: tuple[str, ...]) -> None:
        """Write the row again if a quarter of the lease has passed.

        It is written at once if a node that gets no heartbeats of this
        one may wait for an acknowledgement.
        """
        age = time.monotonic() - self._renewed_at
        news = acks != self._row.acks and self._is_unheard()
        if age < self._lease_seconds / 4 and not news:
            return
        # Counted from before the write: its answer may be late.
        started_at = time.monotonic()
        current = self._view.row(self.key)
        beat = self._row.beat + 1
        row = attrs.evolve(self._row, beat=beat, acks=acks)
        outcome = self._writer.commit_quietly(
            (_writer.check_of(current, self.key),),
            (_writer.write_of(self.key, row),),
        )
        match outcome:
            case result.Success(_):
                self._row = row
                self._renewed_at = started_at

    def _is_unheard(self) -> bool:
        nodes = (
            row.key.partition("/")[2] for row in self._view.rows("nodes/")
        )
        return any(not self._membership.is_live(node) for node in nodes)

    def collect_dead(self) -> None:
        """Delete rows of nodes that neither renew nor send heartbeats."""
        now = time.monotonic()
        for row in self._view.rows("nodes/"):
            seen = self._seen.get(row.key)
            if seen is None or seen.version != row.version:
                self._seen[row.key] = _Seen(version=row.version, since=now)
                continue
            node = row.key.partition("/")[2]
            silent = now - seen.since > _GC_FACTOR * self._lease_seconds
            if silent and not self._membership.is_live(node):
                self._writer.commit_quietly(
                    (_writer.check_of(row, row.key),),
                    (_writer.write_of(row.key, None),),
                )

    def withdraw(self) -> None:
        """Delete the row at a planned stop."""
        current = self._view.row(self.key)
        self._writer.commit_quietly(
            (_writer.check_of(current, self.key),),
            (_writer.write_of(self.key, None),),
        )


@attrs.frozen(kw_only=True)
class Tenure:
    """The right to work on a pool; `fence` goes into each transaction."""

    pool: str
    epoch: int
    version: int

    @property
    def fence(self) -> tuple[peridotsill_platform.Check, ...]:
        """The check that this tenure still holds."""
        key = f"owners/{self.pool}"
        return (peridotsill_platform.Check(key=key, version=self.version),)


class Ownership:
    """Takes pools whose owner is gone, and gives up those not ours."""

    def __init__(
        self,
        *,
        node: str,
        writer: _writer.Writer,
        view: peridotsill.View,
        membership: peridotsill_siblings.Membership,
        journal: peridotsill.Journal,
    ) -> None:
        self._node = node
        self._writer = writer
        self._view = view
        self._membership = membership
        self._journal = journal

    def tenures(self) -> tuple[Tenure, ...]:
        """Return the pools that this node works on, by the view."""
        found = []
        for row in self._view.rows("owners/"):
            owner = peridotsill.from_plain(row.value, peridotsill.Owner)
            if owner.node == self._node:
                found.append(
                    Tenure(
                        pool=owner.pool,
                        epoch=owner.epoch,
                        version=row.version,
                    )
                )
        return tuple(found)

    def balance(self) -> None:
        """Take over pools without a live owner; hand over the others."""
        members = self._membership.serving()
        for pool in self._view.resources("pools"):
            wanted = peridotsill.rendezvous(f"owner/{pool.name}", members)
            key = f"owners/{pool.name}"
            row = self._view.row(key)
            owner = _owner_of(row)
            if owner is None or owner.node not in members:
                if wanted == self._node:
                    self._write(pool.name, row, owner, self._node)
            elif owner.node == self._node and wanted != self._node:
                self._write(pool.name, row, owner, "")

    def _write(
        self,
        pool: str,
        row: peridotsill.Row | None,
        owner: peridotsill.Owner | None,
        node: str,
    ) -> None:
        key = f"owners/{pool}"
        epoch = owner.epoch + 1 if owner else 1
        value = peridotsill.Owner(pool=pool, node=node, epoch=epoch)
        outcome = self._writer.commit(
            (_writer.check_of(row, key),), (_writer.write_of(key, value),)
        )
        match outcome:
            case result.Success(_):
                self._journal.note(
                    "ownership",
                    f"pools/{pool}",
                    node or "nobody",
                    reason=f"epoch {epoch}",
                )

    def give_up_all(self) -> None:
        """Hand all pools over at a planned stop."""
        for tenure in self.tenures():
            key = f"owners/{tenure.pool}"
            row = self._view.row(key)
            self._write(tenure.pool, row, _owner_of(row), "")


def _owner_of(row: peridotsill.Row | None) -> peridotsill.Owner | None:
    if row is None:
        return None
    return peridotsill.from_plain(row.value, peridotsill.Owner)
