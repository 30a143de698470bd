"""Conditional commits, and their push to the siblings."""

import collections.abc
import uuid

import attrs
import peridotsill
from returns import result

import peridotsill_operators
import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions
import peridotsill_siblings

_ROUNDS = 5

Checks = tuple[peridotsill_platform.Check, ...]
Writes = tuple[peridotsill_platform.Write, ...]


@attrs.frozen(kw_only=True)
class WriterParts:
    """What the writer works with."""

    table: peridotsill_platform.Table
    view: peridotsill.View
    membership: peridotsill_siblings.Membership
    journal: peridotsill.Journal


def check_of(
    row: peridotsill.Row | None, key: str
) -> peridotsill_platform.Check:
    """Return the check that a row is still as it was read."""
    return peridotsill_platform.Check(
        key=key, version=row.version if row else 0
    )


def write_of(key: str, value: object) -> peridotsill_platform.Write:
    """Return the write of an attrs object, or of None to delete."""
    plain = None if value is None else peridotsill.to_plain(value)
    return peridotsill_platform.Write(key=key, value=plain)


@attrs.frozen(kw_only=True)
class Change:
    """What to commit, and how the decision is to be recorded."""

    checks: Checks
    writes: Writes
    kind: str
    subject: str
    choice: str
    reason: str = ""


Plan = collections.abc.Callable[
    [peridotsill.Row | None], Change | peridotsill_operators.Applied
]


class Writer:
    """Writes to the table what operators and reconcilers decide."""

    def __init__(self, *, parts: WriterParts) -> None:
        self._parts = parts

    def commit(
        self, checks: Checks, writes: Writes
    ) -> peridotsill_platform.CommitResult:
        """Commit, and on success push the rows to all nodes at once."""
        outcome = self._parts.table.commit(
            peridotsill_platform.Transaction(checks=checks, writes=writes)
        )
        match outcome:
            case result.Success(revision):
                self.publish(writes, revision)
        return outcome

    def commit_quietly(
        self, checks: Checks, writes: Writes
    ) -> peridotsill_platform.CommitResult:
        """Commit what only the polls of other nodes have to find."""
        outcome = self._parts.table.commit(
            peridotsill_platform.Transaction(checks=checks, writes=writes)
        )
        match outcome:
            case result.Success(revision):
                self._parts.view.merge_rows(_rows(writes, revision))
        return outcome

    def publish(self, writes: Writes, revision: int) -> None:
        """Tell this node and its siblings what was committed."""
        rows = _rows(writes, revision)
        self._parts.view.merge_rows(rows)
        self._parts.membership.broadcast(
            "/siblings/push", peridotsill_siblings.Push(rows=rows)
        )

    def read(self, *keys: str) -> dict[str, peridotsill.Row]:
        """Read rows from the table itself.

        Raises:
            HttpProblem: With 503 if it does not answer.
        """
        match self._parts.table.read(keys):
            case result.Success(rows):
                return {row.key: row for row in rows}
            case result.Failure(error):
                raise peridotsill.HttpProblem(
                    503, f"the platform's table does not answer: {error}"
                )
        raise AssertionError("a result is a success or a failure")

    def scan(self, *prefixes: str) -> dict[str, peridotsill.Row]:
        """Read all rows below some prefixes from the table itself.

        Raises:
            HttpProblem: With 503 if it does not answer.
        """
        match self._parts.table.scan(prefixes):
            case result.Success(found):
                return {row.key: row for row in found.rows}
            case result.Failure(error):
                raise peridotsill.HttpProblem(
                    503, f"the platform's table does not answer: {error}"
                )
        raise AssertionError("a result is a success or a failure")

    def update(self, key: str, plan: Plan) -> peridotsill_operators.Applied:
        """Read a row, plan its change and commit it, again if it raced.

        ``plan`` returns what to commit, or an outcome if there is nothing
        to do; it raises to refuse.

        Raises:
            HttpProblem: If the table is away or the races go on.
        """
        for _ in range(_ROUNDS):
            change = plan(self.read(key).get(key))
            if isinstance(change, peridotsill_operators.Applied):
                return change
            match self.commit(change.checks, change.writes):
                case result.Success(revision):
                    self.note(
                        change.kind,
                        change.subject,
                        change.choice,
                        reason=change.reason,
                    )
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise unavailable(False)
        raise unavailable(True)

    def note(
        self,
        kind: str,
        subject: str,
        choice: str,
        *,
        reason: str = "",
        candidates: tuple[str, ...] = (),
    ) -> None:
        """Record a decision; candidates are given as ``name: reason``."""
        self._parts.journal.note(
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


def _rows(writes: Writes, revision: int) -> tuple[peridotsill.Row, ...]:
    return tuple(
        peridotsill.Row(key=each.key, value=each.value, version=revision)
        for each in writes
        if each.value is not None
    )


def new_operation(prefix: str) -> str:
    """Return a fresh operation id."""
    return f"{prefix}-{uuid.uuid4().hex[:12]}"


def unavailable(maybe: bool) -> peridotsill.HttpProblem:
    """Return the problem of a commit that failed, or may have."""
    detail = "the platform's table is away; nothing was changed"
    if maybe:
        detail = "the outcome is unknown or raced; apply it again to be sure"
    return peridotsill.HttpProblem(503, detail)
