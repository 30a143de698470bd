"""Many small transactions in one, to stay far under the write rate."""

import queue
import threading

import attrs
from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions

_BATCH_SIZE = 64
_THREADS = 2


@attrs.define(kw_only=True, eq=False)
class _Pending:
    transaction: _table.Transaction
    done: threading.Event
    outcome: _table.CommitResult | None = None


class GroupCommitter:
    """Joins the transactions of many threads into few commits.

    While one commit is under way the next batch gathers. If a batch
    conflicts, those that own the conflicting rows fail and the others are
    sent again, so that no transaction suffers for another.
    """

    def __init__(
        self, *, table: _table.Table, batch_size: int = _BATCH_SIZE
    ) -> None:
        self._table = table
        self._batch_size = batch_size
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._commits = 0
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(_THREADS)
        ]

    @property
    def commits(self) -> int:
        """Number of commits sent to the table."""
        return self._commits

    def start(self) -> None:
        """Start the committing threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Commit what is queued and end the threads."""
        for _ in self._threads:
            self._queue.put(None)
        for thread in self._threads:
            thread.join()

    def commit(
        self, transaction: _table.Transaction, timeout_seconds: float
    ) -> _table.CommitResult:
        """Commit a transaction together with those of other threads."""
        pending = _Pending(transaction=transaction, done=threading.Event())
        self._queue.put(pending)
        pending.done.wait(timeout_seconds)
        if pending.outcome is None:
            return result.Failure(
                exceptions.OutcomeUnknown("the commit took too long")
            )
        return pending.outcome

    def _run(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch = [first]
            ended = self._gather(batch)
            self._commit_batch(batch)
            if ended:
                return

    def _gather(self, batch: list[_Pending]) -> bool:
        while len(batch) < self._batch_size:
            try:
                item = self._queue.get_nowait()
            except queue.Empty:
                return False
            if item is None:
                return True
            batch.append(item)
        return False

    def _commit_batch(self, batch: list[_Pending]) -> None:
        left = _distinct(batch)
        later = [each for each in batch if each not in left]
        while left:
            outcome = self._send(left)
            match outcome:
                case result.Failure(exceptions.Conflict(keys=keys)):
                    left = _fail_owners(left, frozenset(keys), outcome)
                case _:
                    _finish(left, outcome)
                    left = []
        for each in later:
            _finish([each], self._send([each]))

    def _send(self, batch: list[_Pending]) -> _table.CommitResult:
        self._commits += 1
        parts = [each.transaction for each in batch]
        return self._table.commit(
            _table.Transaction(
                checks=tuple(c for part in parts for c in part.checks),
                writes=tuple(w for part in parts for w in part.writes),
            )
        )


def _keys(transaction: _table.Transaction) -> set[str]:
    keys = {check.key for check in transaction.checks}
    return keys | {write.key for write in transaction.writes}


def _distinct(batch: list[_Pending]) -> list[_Pending]:
    taken: set[str] = set()
    chosen = []
    for each in batch:
        keys = _keys(each.transaction)
        if keys & taken:
            continue
        taken |= keys
        chosen.append(each)
    return chosen


def _fail_owners(
    batch: list[_Pending],
    keys: frozenset[str],
    outcome: _table.CommitResult,
) -> list[_Pending]:
    losers = [each for each in batch if _keys(each.transaction) & keys]
    _finish(losers or batch, outcome)
    return [each for each in batch if losers and each not in losers]


def _finish(batch: list[_Pending], outcome: _table.CommitResult) -> None:
    for each in batch:
        each.outcome = outcome
        each.done.set()
