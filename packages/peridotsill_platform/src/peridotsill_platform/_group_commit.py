"""Many small transactions in one, to stay far under the write rate."""

import collections
import collections.abc
import queue
import threading

import attrs
from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions

_BATCH_SIZE = 64
_THREADS = 4

# The partitions that a transaction touches.
_Partitions = frozenset[str]
PartitionOf = collections.abc.Callable[[str], str]


@attrs.define(kw_only=True, eq=False)
class _Pending:
    transaction: _table.Transaction
    done: threading.Event
    outcome: _table.CommitResult | None = None


class GroupCommitter:
    """Joins the transactions of many threads into few commits.

    Those that touch the same partitions are joined: a commit over several
    costs each of them more than one of its own, and would wait for the
    slowest. While one is under way, the next batch for its partitions
    gathers. If a batch conflicts, those that own the conflicting rows fail
    and the others are sent again, so that no transaction suffers for
    another.

    Args:
        table: Where the transactions are committed.
        batch_size: The most transactions in a commit.
        threads: The most commits under way at once.
        partition_of: Returns the partition of a key; without it all keys
            are taken to be in the same.
    """

    def __init__(
        self,
        *,
        table: _table.Table,
        batch_size: int = _BATCH_SIZE,
        threads: int = _THREADS,
        partition_of: PartitionOf = lambda key: "",
    ) -> None:
        self._table = table
        self._partition_of = partition_of
        self._batch_size = batch_size
        self._waiting: dict[_Partitions, collections.deque[_Pending]] = {}
        self._lock = threading.Lock()
        # Partitions with waiting transactions and no commit under way.
        self._ready: queue.SimpleQueue[_Partitions | None] = (
            queue.SimpleQueue()
        )
        self._stopped = False
        self._commits = 0
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(threads)
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
        with self._lock:
            self._stopped = True
            for _ in self._threads:
                self._ready.put(None)
        for thread in self._threads:
            thread.join()

    def commit(
        self, transaction: _table.Transaction, timeout_seconds: float
    ) -> _table.CommitResult:
        """Commit a transaction together with those of other threads."""
        pending = _Pending(transaction=transaction, done=threading.Event())
        self._enqueue(pending)
        pending.done.wait(timeout_seconds)
        if pending.outcome is None:
            return result.Failure(
                exceptions.OutcomeUnknown("the commit took too long")
            )
        return pending.outcome

    def _enqueue(self, pending: _Pending) -> None:
        partitions = frozenset(
            map(self._partition_of, _keys(pending.transaction))
        )
        with self._lock:
            if partitions not in self._waiting:
                self._waiting[partitions] = collections.deque()
                self._ready.put(partitions)
            self._waiting[partitions].append(pending)

    def _run(self) -> None:
        while (partitions := self._ready.get()) is not None:
            again = True
            while again:
                self._commit_batch(self._gather(partitions))
                again = self._goes_on(partitions)

    def _gather(self, partitions: _Partitions) -> list[_Pending]:
        with self._lock:
            waiting = self._waiting[partitions]
            count = min(len(waiting), self._batch_size)
            return [waiting.popleft() for _ in range(count)]

    def _goes_on(self, partitions: _Partitions) -> bool:
        """Tell whether the same thread has to commit what has gathered.

        Others get their turn first, but when the threads are being ended.
        """
        with self._lock:
            if not self._waiting[partitions]:
                del self._waiting[partitions]
                return False
            if not self._stopped:
                self._ready.put(partitions)
            return self._stopped

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
        joined = _table.Transaction(
            checks=tuple(c for part in parts for c in part.checks),
            writes=tuple(w for part in parts for w in part.writes),
        )
        try:
            return self._table.commit(joined)
        except Exception as error:
            # This thread goes on; whoever waits is told, and logs it.
            return result.Failure(exceptions.OutcomeUnknown(repr(error)))


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
