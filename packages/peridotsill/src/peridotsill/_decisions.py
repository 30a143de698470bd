"""Records of decisions, and the journal that keeps them.

A decision's id is ``<node>.<number>``; numbers of one node only grow, so
that a segment in the object store can be named by the range it holds.
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
    """An option that was weighed, and why it lost; empty if it won."""

    name: str
    reason: str = ""


@attrs.frozen(kw_only=True)
class Input:
    """A value that a decision was based on, as text."""

    name: str
    value: str


@attrs.frozen(kw_only=True)
class Decision:
    """One decision, with the reasons it had at the time.

    ``time`` is seconds since the epoch; ``subject`` is the request,
    VM, job, wave or pool that was decided about.
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
    """Keeps a node's decisions in a ring until they are flushed.

    ```python
    journal.note("route", "req-1", "vm-3", reason="fewest held slots")
    ```
    """

    def __init__(self, *, node: str, capacity: int = 20000) -> None:
        self._node = node
        self._numbers = itertools.count(1)
        self._ring: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )
        self._pending: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )
        self._lock = threading.Lock()

    def note(
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
        """Record a decision and write its log line."""
        values = (inputs or {}).items()
        with self._lock:
            decision = Decision(
                id=f"{self._node}.{next(self._numbers)}",
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

    def find(self, subject: str) -> tuple[Decision, ...]:
        """Return the ring's decisions with this id or subject."""
        with self._lock:
            ring = tuple(self._ring)
        return tuple(
            each for each in ring if subject in (each.id, each.subject)
        )

    def recent(self, limit: int) -> tuple[Decision, ...]:
        """Return at most ``limit`` of the newest decisions."""
        with self._lock:
            ring = tuple(self._ring)
        return ring[-limit:]

    def take_pending(self, limit: int) -> tuple[Decision, ...]:
        """Remove and return up to ``limit`` decisions to be flushed."""
        with self._lock:
            count = min(limit, len(self._pending))
            return tuple(self._pending.popleft() for _ in range(count))

    def put_back(self, decisions: tuple[Decision, ...]) -> None:
        """Return decisions whose flush failed, oldest first."""
        with self._lock:
            room = (self._pending.maxlen or 0) - len(self._pending)
            kept = decisions[-room:] if room else ()
            self._pending.extendleft(reversed(kept))
