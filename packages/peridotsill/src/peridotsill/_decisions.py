"""Decision records, and the in-memory journal of a node's decisions.

A decision's id is ``<node>.<number>``. The numbers of one journal start at
1 and only increase, so that a segment in the object store can be named by
the range of numbers it holds.
"""

import collections
import itertools
import threading
import time
import typing

import attrs
import eliot


@attrs.frozen(kw_only=True)
class Candidate:
    """An option considered; ``reason`` is why it was rejected, if it was."""

    name: str
    reason: str = ""


@attrs.frozen(kw_only=True)
class Input:
    """A value that a decision was based on, formatted as text."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class Decision:
    """One decision, with its reason and inputs at the time.

    ``time`` is in seconds since the Unix epoch. ``subject`` is the
    request, VM, job, wave or pool that the decision is about.
    """

    id: str
    time: float
    kind: str
    subject: str
    choice: str
    reason: str = ""
    candidates: tuple[Candidate, ...] = ()
    inputs: tuple[Input, ...] = ()
    config_version: int = 0


@attrs.frozen(kw_only=True)
class Explanation:
    """The decisions found for an id or subject, and what is missing."""

    decisions: tuple[Decision, ...]
    missing: str = ""


class Journal:
    """Keeps a node's latest decisions, and a queue of those to be flushed.

    Both are bounded by ``capacity``; the oldest decisions are dropped.

    ```python
    journal.record("route", "req-1", "vm-3", reason="fewest held slots")
    ```
    """

    def __init__(self, *, node: str, capacity: int = 20000) -> None:
        self._node = node
        self._sequence = itertools.count(1)
        self._ring: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )
        self._pending: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )
        self._lock = threading.Lock()

    def record(
        self,
        kind: str,
        subject: str,
        choice: str,
        *,
        reason: str = "",
        candidates: tuple[Candidate, ...] = (),
        inputs: typing.Mapping[str, object] | None = None,
        config_version: int = 0,
    ) -> Decision:
        """Record a decision and log it."""
        values = (inputs or {}).items()
        with self._lock:
            decision = Decision(
                id=f"{self._node}.{next(self._sequence)}",
                time=time.time(),
                kind=kind,
                subject=subject,
                choice=choice,
                reason=reason,
                candidates=candidates,
                inputs=tuple(
                    Input(name=name, value=str(value))
                    for name, value in values
                ),
                config_version=config_version,
            )
            self._ring.append(decision)
            self._pending.append(decision)
        eliot.log_message(
            message_type=f"peridotsill:{kind}",
            decision=decision.id,
            subject=subject,
            text=f"{kind}: {subject} -> {choice}. {reason}".strip(),
        )
        return decision

    def find(self, id_or_subject: str) -> tuple[Decision, ...]:
        """Return the kept decisions that have this id or subject."""
        with self._lock:
            ring = tuple(self._ring)
        return tuple(
            each for each in ring if id_or_subject in (each.id, each.subject)
        )

    def recent(self, limit: int) -> tuple[Decision, ...]:
        """Return the newest decisions, oldest first.

        Returns at most ``limit``, which must be positive.
        """
        with self._lock:
            ring = tuple(self._ring)
        return ring[-limit:]

    def dequeue_pending(self, limit: int) -> tuple[Decision, ...]:
        """Dequeue and return up to ``limit`` decisions to be flushed."""
        with self._lock:
            count = min(limit, len(self._pending))
            return tuple(self._pending.popleft() for _ in range(count))

    def requeue_pending(self, decisions: tuple[Decision, ...]) -> None:
        """Requeue decisions whose flush failed, given oldest first.

        If there is not room for all, the oldest are dropped.
        """
        with self._lock:
            room = (self._pending.maxlen or 0) - len(self._pending)
            kept = decisions[-room:] if room else ()
            self._pending.extendleft(reversed(kept))
