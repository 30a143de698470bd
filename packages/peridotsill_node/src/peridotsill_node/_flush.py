"""Stores decisions in the object store and looks them up."""

import threading
import time

import peridotsill
import peridotsill.exceptions

import peridotsill_platform
import peridotsill_siblings

_MAX_SEGMENT_DECISIONS = 1000
_FLUSH_PERIODS_TO_WAIT = 2


class DecisionStore:
    """Flushes decisions in segments and looks decisions up on all nodes.

    A segment's name is ``decisions/<node>/<first>-<last>``, with the
    sequence numbers of its first and last decision.
    """

    def __init__(
        self,
        *,
        node: str,
        journal: peridotsill.Journal,
        objects: peridotsill_platform.ObjectStore,
        membership: peridotsill_siblings.Membership,
        period_seconds: float,
    ) -> None:
        self._node = node
        self._journal = journal
        self._objects = objects
        self._membership = membership
        self._period_seconds = period_seconds
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the thread that flushes periodically."""
        threading.Thread(target=self._loop, daemon=True).start()

    def stop(self) -> None:
        """Stop the flushing thread, and flush the remaining decisions."""
        self._stopped.set()
        while self._flush():
            pass

    def _loop(self) -> None:
        while not self._stopped.wait(self._period_seconds):
            while self._flush() and not self._stopped.is_set():
                pass

    def _flush(self) -> bool:
        with self._lock:
            segment = self._journal.dequeue_pending(_MAX_SEGMENT_DECISIONS)
            if not segment:
                return False
            first = _sequence_number(segment[0].id)
            last = _sequence_number(segment[-1].id)
            name = f"decisions/{self._node}/{first:012d}-{last:012d}"
            try:
                self._objects.put(name, peridotsill.encode(segment))
            except peridotsill.exceptions.PeridotsillError:
                self._journal.requeue_pending(segment)
                return False
            return True

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Look decisions up by id or subject.

        This node and its siblings are searched first, then the object
        store. If nothing is found, the decision may be on a node that this
        one doesn't know yet: the search is repeated after
        `_FLUSH_PERIODS_TO_WAIT` flush periods, in which that node flushes it.
        """
        explanation = self._search(subject)
        if not explanation.decisions:
            time.sleep(_FLUSH_PERIODS_TO_WAIT * self._period_seconds)
            explanation = self._search(subject)
        return explanation

    def _search(self, subject: str) -> peridotsill.Explanation:
        found = {
            decision.id: decision for decision in self._journal.find(subject)
        }
        path = f"/siblings/decisions/{subject.replace('/', '%2F')}"
        for data in self._membership.call_all(path, {}):
            for decision in _parse_decisions(data):
                found[decision.id] = decision
        missing = ""
        if not found:
            stored, missing = self._find_stored(subject)
            found = {decision.id: decision for decision in stored}
        ordered = sorted(found.values(), key=lambda decision: decision.time)
        if not ordered and not missing:
            missing = (
                "no decision is stored under this name; decisions that a"
                " node had not flushed before it ended are lost"
            )
        return peridotsill.Explanation(
            decisions=tuple(ordered), missing=missing
        )

    def _find_stored(
        self, subject: str
    ) -> tuple[tuple[peridotsill.Decision, ...], str]:
        node = subject.rpartition(".")[0]
        prefix = f"decisions/{node}/" if "/" not in subject else "decisions/"
        try:
            names = self._objects.names(prefix)
            found: list[peridotsill.Decision] = []
            for name in names:
                found += self._find_in_segment(name, subject)
        except peridotsill.exceptions.PeridotsillError as error:
            return (), f"the object store does not answer: {error}"
        return tuple(found), ""

    def _find_in_segment(
        self, name: str, subject: str
    ) -> list[peridotsill.Decision]:
        content = self._objects.get(name)
        if content is None:
            return []
        return [
            decision
            for decision in _parse_decisions(peridotsill.decode_plain(content))
            if subject in (decision.id, decision.subject)
        ]


def _parse_decisions(data: object) -> tuple[peridotsill.Decision, ...]:
    return peridotsill.from_plain(data, tuple[peridotsill.Decision, ...])


def _sequence_number(decision_id: str) -> int:
    return int(decision_id.rpartition(".")[2])
