"""Group commit: joins small transactions to make fewer commits.

This keeps the number of commits far below the table's write rate limit.
"""

import collections
import collections.abc
import queue
import threading

import attrs
from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions

_MAX_BATCH_SIZE = 64
_THREAD_COUNT = 4

# The partitions that a transaction touches.
_Partitions = frozenset[str]
PartitionFunction = collections.abc.Callable[[str], str]


@attrs.define(kw_only=True, eq=False)
class _PendingTransaction:
    transaction: _table.Transaction
    done: threading.Event
    outcome: _table.CommitResult | None = None


class GroupCommitter:
    """Joins the transactions of many threads into few commits.

    Only transactions that touch the same set of partitions are joined: a
    commit over several partitions costs each of them more than a commit of
    its own, and waits for the slowest. While a commit is in progress, the
    next batch for its partitions collects. If a batch conflicts, the
    transactions that use the conflicting rows fail and the others are
    sent again without them, so that a conflict of one transaction fails
    no other. Likewise a batch that the table rejects is divided, until only
    the transactions that it rejects by themselves fail. A transaction of a
    batch that uses a key of an earlier one is committed alone, after the
    others.

    Args:
        table: The table to commit to.
        batch_size: Maximum number of transactions in a commit.
        threads: Maximum number of concurrent commits.
        partition_of: Returns the partition of a key; by default, all keys
            are in one partition.
    """

    def __init__(
        self,
        *,
        table: _table.Table,
        batch_size: int = _MAX_BATCH_SIZE,
        threads: int = _THREAD_COUNT,
        partition_of: PartitionFunction = lambda key: "",
    ) -> None:
        self._table = table
        self._partition_of = partition_of
        self._batch_size = batch_size
        self._waiting: dict[
            _Partitions, collections.deque[_PendingTransaction]
        ] = {}
        self._lock = threading.Lock()
        # Sets of partitions that have waiting transactions and no commit in
        # progress. None ends a thread.
        self._ready_partitions: queue.SimpleQueue[_Partitions | None] = (
            queue.SimpleQueue()
        )
        self._stopped = False
        self._commit_count = 0
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(threads)
        ]

    @property
    def commit_count(self) -> int:
        """Number of commits sent to the table."""
        return self._commit_count

    def start(self) -> None:
        """Start the committing threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Commit the queued transactions and end the threads."""
        with self._lock:
            self._stopped = True
            for _ in self._threads:
                self._ready_partitions.put(None)
        for thread in self._threads:
            thread.join()

    def commit(
        self, transaction: _table.Transaction, timeout_seconds: float
    ) -> _table.CommitResult:
        """Commit a transaction together with those of other threads.

        After ``timeout_seconds`` the outcome is unknown: the transaction
        stays queued and may still be committed.
        """
        pending = _PendingTransaction(
            transaction=transaction, done=threading.Event()
        )
        self._enqueue(pending)
        pending.done.wait(timeout_seconds)
        if pending.outcome is None:
            return result.Failure(
                exceptions.OutcomeUnknown("the commit took too long")
            )
        return pending.outcome

    def _enqueue(self, pending: _PendingTransaction) -> None:
        partitions = frozenset(
            map(self._partition_of, _keys(pending.transaction))
        )
        with self._lock:
            if partitions not in self._waiting:
                self._waiting[partitions] = collections.deque()
                self._ready_partitions.put(partitions)
            self._waiting[partitions].append(pending)

    def _run(self) -> None:
        while (partitions := self._ready_partitions.get()) is not None:
            must_continue = True
            while must_continue:
                self._commit_batch(self._take_batch(partitions))
                must_continue = self._requeue(partitions)

    def _take_batch(
        self, partitions: _Partitions
    ) -> list[_PendingTransaction]:
        with self._lock:
            waiting = self._waiting[partitions]
            count = min(len(waiting), self._batch_size)
            return [waiting.popleft() for _ in range(count)]

    def _requeue(self, partitions: _Partitions) -> bool:
        """Queue the partitions again if transactions wait for them.

        Returns whether this thread has to commit the next batch itself.
        That is so while the committer stops, as nothing queued after the
        ``None`` entries is taken any more. At other times these partitions
        queue behind those that were queued earlier.
        """
        with self._lock:
            if not self._waiting[partitions]:
                del self._waiting[partitions]
                return False
            if not self._stopped:
                self._ready_partitions.put(partitions)
            return self._stopped

    def _commit_batch(self, batch: list[_PendingTransaction]) -> None:
        remaining = _select_disjoint(batch)
        overlapping = [
            pending for pending in batch if pending not in remaining
        ]
        while remaining:
            outcome = self._commit_joined(remaining)
            match outcome:
                case result.Failure(exceptions.Conflict(keys=keys)):
                    remaining = _fail_conflicting(
                        remaining, frozenset(keys), outcome
                    )
                case result.Failure(exceptions.CommitRejected()) if (
                    len(remaining) > 1
                ):
                    # One of them, or their joint size, is the reason.
                    middle = len(remaining) // 2
                    self._commit_batch(remaining[:middle])
                    remaining = remaining[middle:]
                case _:
                    _complete(remaining, outcome)
                    remaining = []
        for pending in overlapping:
            _complete([pending], self._commit_joined([pending]))

    def _commit_joined(
        self, batch: list[_PendingTransaction]
    ) -> _table.CommitResult:
        self._commit_count += 1
        transactions = [pending.transaction for pending in batch]
        joined = _table.Transaction(
            checks=tuple(
                check
                for transaction in transactions
                for check in transaction.checks
            ),
            writes=tuple(
                write
                for transaction in transactions
                for write in transaction.writes
            ),
        )
        try:
            return self._table.commit(joined)
        except Exception as error:
            # An unexpected error must not end this thread. The waiting
            # callers get it as their outcome, and log it.
            return result.Failure(exceptions.OutcomeUnknown(repr(error)))


def _keys(transaction: _table.Transaction) -> set[str]:
    keys = {check.key for check in transaction.checks}
    return keys | {write.key for write in transaction.writes}


def _select_disjoint(
    batch: list[_PendingTransaction],
) -> list[_PendingTransaction]:
    """Return transactions of which no two use the same key."""
    seen_keys: set[str] = set()
    selected = []
    for pending in batch:
        keys = _keys(pending.transaction)
        if keys & seen_keys:
            continue
        seen_keys |= keys
        selected.append(pending)
    return selected


def _fail_conflicting(
    batch: list[_PendingTransaction],
    keys: frozenset[str],
    outcome: _table.CommitResult,
) -> list[_PendingTransaction]:
    """Fail the transactions that use ``keys``; return the others.

    If none uses them, the whole batch fails.
    """
    conflicting = [
        pending for pending in batch if _keys(pending.transaction) & keys
    ]
    _complete(conflicting or batch, outcome)
    return [
        pending
        for pending in batch
        if conflicting and pending not in conflicting
    ]


def _complete(
    batch: list[_PendingTransaction], outcome: _table.CommitResult
) -> None:
    for pending in batch:
        pending.outcome = outcome
        pending.done.set()
