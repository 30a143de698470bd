"""Leases: which nodes are registered, and which node owns each pool.

A node's row is its lease. A pool's owner row changes only when the owner
changes, and its version is the fence: every commit of an owner checks it,
so that commits of a former owner fail.
"""

import time

import attrs
import peridotsill
from returns import result

from peridotsill_node import _writer
import peridotsill_platform
import peridotsill_siblings

# A silent node's row is deleted if it was not renewed for this many lease
# durations.
_EXPIRY_LEASE_FACTOR = 1.5


@attrs.define(kw_only=True, eq=False)
class _ObservedVersion:
    """A row's version and when this node first saw it."""

    version: int
    first_seen_at: float


class Registration:
    """This node's lease: its row in the table, renewed periodically."""

    def __init__(
        self,
        *,
        row: peridotsill.NodeRow,
        writer: _writer.Writer,
        view: peridotsill.TableView,
        membership: peridotsill_siblings.Membership,
        lease_seconds: float,
    ) -> None:
        self._row = row
        self._writer = writer
        self._view = view
        self._membership = membership
        self._lease_seconds = lease_seconds
        self._observed: dict[str, _ObservedVersion] = {}
        self._renewed_at = float("-inf")

    @property
    def key(self) -> str:
        """The table key of this node's row."""
        return f"nodes/{self._row.id}"

    @property
    def held(self) -> bool:
        """Whether this node's lease has certainly not expired."""
        return time.monotonic() - self._renewed_at < self._lease_seconds

    def renew(self, acks: tuple[str, ...]) -> None:
        """Renew the lease once a quarter of its duration has passed.

        New ``acks`` are written at once if a registered node sends no
        heartbeats: it may be waiting for them and can read them only in
        the table.
        """
        age = time.monotonic() - self._renewed_at
        acks_are_urgent = acks != self._row.acks and self._has_silent_node()
        if age < self._lease_seconds / 4 and not acks_are_urgent:
            return
        # The lease runs from before the write, whose answer may be delayed.
        started_at = time.monotonic()
        current = self._view.row(self.key)
        beat = self._row.beat + 1
        row = attrs.evolve(self._row, beat=beat, acks=acks)
        outcome = self._writer.commit_without_push(
            (_writer.check_of(current, self.key),),
            (_writer.write_of(self.key, row),),
        )
        match outcome:
            case result.Success(_):
                self._row = row
                self._renewed_at = started_at

    def _has_silent_node(self) -> bool:
        nodes = (
            row.key.partition("/")[2] for row in self._view.rows("nodes/")
        )
        return any(not self._membership.is_live(node) for node in nodes)

    def delete_expired_nodes(self) -> None:
        """Delete rows of nodes that neither renew them nor send heartbeats."""
        now = time.monotonic()
        for row in self._view.rows("nodes/"):
            observed = self._observed.get(row.key)
            if observed is None or observed.version != row.version:
                self._observed[row.key] = _ObservedVersion(
                    version=row.version, first_seen_at=now
                )
                continue
            node = row.key.partition("/")[2]
            silent = (
                now - observed.first_seen_at
                > _EXPIRY_LEASE_FACTOR * self._lease_seconds
            )
            if silent and not self._membership.is_live(node):
                self._writer.commit_without_push(
                    (_writer.check_of(row, row.key),),
                    (_writer.write_of(row.key, None),),
                )

    def deregister(self) -> None:
        """Delete this node's row at a planned stop."""
        current = self._view.row(self.key)
        self._writer.commit_without_push(
            (_writer.check_of(current, self.key),),
            (_writer.write_of(self.key, None),),
        )


@attrs.frozen(kw_only=True)
class Tenure:
    """Ownership of a pool in one epoch.

    `fence` goes into each transaction of the owner.
    """

    pool: str
    epoch: int
    version: int

    @property
    def fence(self) -> tuple[peridotsill_platform.Check, ...]:
        """The check that the pool is still in this epoch."""
        key = f"owners/{self.pool}"
        return (peridotsill_platform.Check(key=key, version=self.version),)


class Ownership:
    """Takes over pools without a live owner and releases misplaced ones.

    Rendezvous hashing over the serving nodes selects a pool's owner.
    """

    def __init__(
        self,
        *,
        node: str,
        writer: _writer.Writer,
        view: peridotsill.TableView,
        membership: peridotsill_siblings.Membership,
        journal: peridotsill.Journal,
    ) -> None:
        self._node = node
        self._writer = writer
        self._view = view
        self._membership = membership
        self._journal = journal

    def tenures(self) -> tuple[Tenure, ...]:
        """Return the pools that this node owns according to the view."""
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

    def rebalance(self) -> None:
        """Take over pools that fall to this node; release those that don't."""
        members = self._membership.serving_nodes()
        for pool in self._view.resources("pools"):
            preferred = peridotsill.rendezvous(f"owner/{pool.name}", members)
            key = f"owners/{pool.name}"
            row = self._view.row(key)
            owner = _owner_of(row)
            if owner is None or owner.node not in members:
                if preferred == self._node:
                    self._write_owner(pool.name, row, owner, self._node)
            elif owner.node == self._node and preferred != self._node:
                self._write_owner(pool.name, row, owner, "")

    def _write_owner(
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
                self._journal.record(
                    "ownership",
                    f"pools/{pool}",
                    node or "nobody",
                    reason=f"epoch {epoch}",
                )

    def release_all(self) -> None:
        """Release all pools at a planned stop."""
        for tenure in self.tenures():
            key = f"owners/{tenure.pool}"
            row = self._view.row(key)
            self._write_owner(tenure.pool, row, _owner_of(row), "")


def _owner_of(row: peridotsill.Row | None) -> peridotsill.Owner | None:
    if row is None:
        return None
    return peridotsill.from_plain(row.value, peridotsill.Owner)
