"""Keeps decisions in the object store, and finds them again."""

import threading
import time

import peridotsill
import peridotsill.exceptions

import peridotsill_platform
import peridotsill_siblings

_SEGMENT_SIZE = 1000
_FLUSHES_TO_WAIT = 2


class DecisionStore:
    """Writes segments of decisions and looks decisions up anywhere.

    A segment's name is ``decisions/<node>/<first>-<last>``, by the
    numbers of the decisions in it.
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
        """Start flushing."""
        threading.Thread(target=self._loop, daemon=True).start()

    def stop(self) -> None:
        """Flush what is left."""
        self._stopped.set()
        while self._flush():
            pass

    def _loop(self) -> None:
        while not self._stopped.wait(self._period_seconds):
            while self._flush() and not self._stopped.is_set():
                pass

    def _flush(self) -> bool:
        with self._lock:
            segment = self._journal.take_pending(_SEGMENT_SIZE)
            if not segment:
                return False
            first = _number(segment[0].id)
            last = _number(segment[-1].id)
            name = f"decisions/{self._node}/{first:012d}-{last:012d}"
            try:
                self._objects.put(name, peridotsill.encode(segment))
            except peridotsill.exceptions.PeridotsillError:
                self._journal.put_back(segment)
                return False
            return True

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Look for decisions by id or subject: here, at siblings, stored.

        What is nowhere yet may be with a node that this one has not heard
        of; it is looked for again once that node has flushed it.
        """
        explanation = self._look(subject)
        if not explanation.decisions:
            time.sleep(_FLUSHES_TO_WAIT * self._period_seconds)
            explanation = self._look(subject)
        return explanation

    def _look(self, subject: str) -> peridotsill.Explanation:
        found = {each.id: each for each in self._journal.find(subject)}
        path = f"/siblings/decisions/{subject.replace('/', '%2F')}"
        for data in self._membership.ask_all(path, {}):
            for each in _decisions(data):
                found[each.id] = each
        missing = ""
        if not found:
            stored, missing = self._find_stored(subject)
            found = {each.id: each for each in stored}
        ordered = sorted(found.values(), key=lambda each: each.time)
        if not ordered and not missing:
            missing = (
                "nothing is kept under this name; what its node had not"
                " flushed before it ended is missing"
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
                found += self._in_segment(name, subject)
        except peridotsill.exceptions.PeridotsillError as error:
            return (), f"the object store does not answer: {error}"
        return tuple(found), ""

    def _in_segment(
        self, name: str, subject: str
    ) -> list[peridotsill.Decision]:
        content = self._objects.get(name)
        if content is None:
            return []
        return [
            each
            for each in _decisions(peridotsill.decode_plain(content))
            if subject in (each.id, each.subject)
        ]


def _decisions(data: object) -> tuple[peridotsill.Decision, ...]:
    return peridotsill.from_plain(data, tuple[peridotsill.Decision, ...])


def _number(decision: str) -> int:
    return int(decision.rpartition(".")[2])
