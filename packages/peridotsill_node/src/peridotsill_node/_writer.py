"""Conditional commits to the table, and their push to the siblings."""

import collections.abc
import uuid

import attrs
import peridotsill
from returns import result

import peridotsill_operators
import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions
import peridotsill_siblings

_MAX_UPDATE_ATTEMPTS = 5

Checks = tuple[peridotsill_platform.Check, ...]
Writes = tuple[peridotsill_platform.Write, ...]


@attrs.frozen(kw_only=True)
class WriterParts:
    """The components that the writer uses."""

    table: peridotsill_platform.Table
    view: peridotsill.TableView
    membership: peridotsill_siblings.Membership
    journal: peridotsill.Journal


def check_of(
    row: peridotsill.Row | None, key: str
) -> peridotsill_platform.Check:
    """Return the check that a row has not changed since it was read."""
    return peridotsill_platform.Check(
        key=key, version=row.version if row else 0
    )


def write_of(key: str, value: object) -> peridotsill_platform.Write:
    """Return the write of an attrs object; None deletes the row."""
    plain = None if value is None else peridotsill.to_plain(value)
    return peridotsill_platform.Write(key=key, value=plain)


@attrs.frozen(kw_only=True)
class Change:
    """What to commit, and the decision to record for it."""

    checks: Checks
    writes: Writes
    kind: str
    subject: str
    choice: str
    reason: str = ""


Plan = collections.abc.Callable[
    [peridotsill.Row | None], Change | peridotsill_operators.WriteResult
]


class Writer:
    """Commits the changes of operators and reconcilers to the table."""

    def __init__(self, *, parts: WriterParts) -> None:
        self._parts = parts

    def commit(
        self, checks: Checks, writes: Writes
    ) -> peridotsill_platform.CommitResult:
        """Commit, and on success push the written rows to all siblings.

        Deletions are not pushed.
        """
        outcome = self._parts.table.commit(
            peridotsill_platform.Transaction(checks=checks, writes=writes)
        )
        match outcome:
            case result.Success(revision):
                self.publish(writes, revision)
        return outcome

    def commit_without_push(
        self, checks: Checks, writes: Writes
    ) -> peridotsill_platform.CommitResult:
        """Commit without a push: other nodes see the rows when they poll."""
        outcome = self._parts.table.commit(
            peridotsill_platform.Transaction(checks=checks, writes=writes)
        )
        match outcome:
            case result.Success(revision):
                self._parts.view.merge_rows(_written_rows(writes, revision))
        return outcome

    def publish(self, writes: Writes, revision: int) -> None:
        """Merge written rows into the view and push them to siblings.

        Deletions are left to the next poll.
        """
        rows = _written_rows(writes, revision)
        self._parts.view.merge_rows(rows)
        self._parts.membership.broadcast(
            "/siblings/push", peridotsill_siblings.Push(rows=rows)
        )

    def read(self, *keys: str) -> dict[str, peridotsill.Row]:
        """Read rows from the table, bypassing the view.

        Raises:
            HttpProblem: With 503 if the table does not answer.
        """
        match self._parts.table.read(keys):
            case result.Success(rows):
                return {row.key: row for row in rows}
            case result.Failure(error):
                raise peridotsill.HttpProblem(
                    503, f"the platform's table does not answer: {error}"
                )
        raise AssertionError("result is neither a Success nor a Failure")

    def scan(self, *prefixes: str) -> dict[str, peridotsill.Row]:
        """Read all rows with any of the prefixes, bypassing the view.

        Raises:
            HttpProblem: With 503 if the table does not answer.
        """
        match self._parts.table.scan(prefixes):
            case result.Success(found):
                return {row.key: row for row in found.rows}
            case result.Failure(error):
                raise peridotsill.HttpProblem(
                    503, f"the platform's table does not answer: {error}"
                )
        raise AssertionError("result is neither a Success nor a Failure")

    def update(
        self, key: str, plan: Plan
    ) -> peridotsill_operators.WriteResult:
        """Read a row, plan its change and commit it.

        It retries after conflicts and unknown outcomes.

        ``plan`` returns the change to commit, or an outcome if there is
        nothing to commit; it raises to refuse the update.

        Raises:
            HttpProblem: If the table is unavailable, or the commit's
                outcome is still unknown or in conflict after all attempts.
        """
        for _ in range(_MAX_UPDATE_ATTEMPTS):
            change = plan(self.read(key).get(key))
            if isinstance(change, peridotsill_operators.WriteResult):
                return change
            match self.commit(change.checks, change.writes):
                case result.Success(revision):
                    self.record_decision(
                        change.kind,
                        change.subject,
                        change.choice,
                        reason=change.reason,
                    )
                    return peridotsill_operators.WriteResult(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise commit_problem(False)
        raise commit_problem(True)

    def record_decision(
        self,
        kind: str,
        subject: str,
        choice: str,
        *,
        reason: str = "",
        candidates: tuple[str, ...] = (),
    ) -> None:
        """Record a decision; candidates are given as ``name: reason``."""
        self._parts.journal.record(
            kind,
            subject,
            choice,
            reason=reason,
            candidates=tuple(
                peridotsill.Candidate(
                    name=text.partition(": ")[0],
                    reason=text.partition(": ")[2],
                )
                for text in candidates
            ),
            config_version=self._parts.view.config.version,
        )


def _written_rows(
    writes: Writes, revision: int
) -> tuple[peridotsill.Row, ...]:
    return tuple(
        peridotsill.Row(key=each.key, value=each.value, version=revision)
        for each in writes
        if each.value is not None
    )


def new_operation_id(prefix: str) -> str:
    """Return a new unique operation id."""
    return f"{prefix}-{uuid.uuid4().hex[:12]}"


def commit_problem(may_have_committed: bool) -> peridotsill.HttpProblem:
    """Return the problem for a commit that failed or is unconfirmed."""
    detail = "the platform's table is away; nothing was changed"
    if may_have_committed:
        detail = "the outcome is unknown or raced; apply it again to be sure"
    return peridotsill.HttpProblem(503, detail)
