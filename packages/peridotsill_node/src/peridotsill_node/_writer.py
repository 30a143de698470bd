"""Conditional writes of resources, and their push to the siblings."""

import collections.abc
import re
import time
import typing
import uuid

import attrs
import peridotsill
from returns import result

from peridotsill_node import _availability
import peridotsill_operators
import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions
import peridotsill_siblings

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_ROUNDS = 5
_MANAGED_FIELDS: dict[str, tuple[str, ...]] = {
    "pools": ("grants",),
    "vms": ("disruption", "home_pool"),
    "jobs": ("state", "vm", "attempt", "checkpoint", "lost_seconds", "reason"),
    "waves": (
        "state",
        "reason",
        "done",
        "failed",
        "started_at",
        "finished_at",
    ),
}

Checks = tuple[peridotsill_platform.Check, ...]
Writes = tuple[peridotsill_platform.Write, ...]


@attrs.frozen(kw_only=True)
class WriterParts:
    """What the writer works with."""

    table: peridotsill_platform.Table
    view: peridotsill.View
    membership: peridotsill_siblings.Membership
    journal: peridotsill.Journal
    evidence: collections.abc.Callable[[], _availability.Evidence]


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

    def apply(
        self, kind: str, name: str, document: object, version: int | None
    ) -> peridotsill_operators.Applied:
        """Create or replace a resource; the same document changes nothing.

        Raises:
            InvalidResource: If the document has bad fields.
            HttpProblem: If it conflicts or the table is away.
        """
        wanted = _parse(kind, name, document)
        key = peridotsill.resource_key(kind, name)
        for _ in range(_ROUNDS):
            row = self.read(key).get(key)
            _check_version(row, version, key)
            value = _merged(kind, wanted, row)
            if row is not None and row.value == peridotsill.to_plain(value):
                return peridotsill_operators.Applied(
                    version=row.version, changed=False
                )
            self._check_references(kind, value, row)
            checks, writes = self._apply_parts(kind, key, value, row)
            match self.commit(checks, writes):
                case result.Success(revision):
                    self._note("apply", f"{kind}/{name}", "written")
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
        raise _unavailable(True)

    def _apply_parts(
        self,
        kind: str,
        key: str,
        value: typing.Any,
        row: peridotsill.Row | None,
    ) -> tuple[Checks, Writes]:
        checks: Checks = (check_of(row, key),)
        writes: Writes = (write_of(key, value),)
        if kind != "vms" or row is not None:
            return checks, writes
        # A pool can't be deleted under a VM that is being created.
        pool_key = peridotsill.resource_key("pools", value.pool)
        pool = self.read(pool_key).get(pool_key)
        return (*checks, check_of(pool, pool_key)), writes

    def _check_references(
        self, kind: str, value: typing.Any, row: peridotsill.Row | None
    ) -> None:
        pool = getattr(value, "pool", None)
        if pool is not None:
            key = peridotsill.resource_key("pools", pool)
            if key not in self.read(key):
                raise peridotsill.HttpProblem(
                    422, f"there is no pool {pool!r}"
                )
        if kind == "vms" and row is not None and row.value["pool"] != pool:
            raise peridotsill.HttpProblem(
                409, "a VM changes its pool by `vm move`, not by apply"
            )
        if kind == "jobs" and row is None:
            self._check_fits(value)

    def _check_fits(self, job: peridotsill.Job) -> None:
        reasons = tuple(
            f"{vm.name}: {why_not_fit(job, vm)}"
            for vm in self._parts.view.vms_of(job.pool)
        )
        if any(reason.endswith(": ") for reason in reasons):
            return
        self._note(
            "placement",
            f"jobs/{job.name}",
            "refused",
            reason="it fits no VM of its pool, even an empty one",
            candidates=reasons,
        )
        raise peridotsill.HttpProblem(
            422,
            f"{job.name} fits no VM of pool {job.pool}, even an empty one",
            problems=reasons,
        )

    def delete(
        self, kind: str, name: str, version: int | None
    ) -> peridotsill_operators.Applied:
        """Delete a resource; one that is gone already changes nothing.

        Raises:
            HttpProblem: If it is in use, conflicts, or the table is away.
        """
        key = peridotsill.resource_key(kind, name)
        for _ in range(_ROUNDS):
            row = self.read(key).get(key)
            if row is None:
                return peridotsill_operators.Applied(version=0, changed=False)
            _check_version(row, version, key)
            checks, writes = self._delete_parts(kind, name, row)
            match self.commit(checks, writes):
                case result.Success(revision):
                    self._note("apply", f"{kind}/{name}", "deleted")
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
        raise _unavailable(True)

    def _delete_parts(
        self, kind: str, name: str, row: peridotsill.Row
    ) -> tuple[Checks, Writes]:
        checks: Checks = (check_of(row, row.key),)
        writes: Writes = (write_of(row.key, None),)
        if kind == "pools" and self._parts.view.vms_of(name):
            raise peridotsill.HttpProblem(409, f"pool {name} has VMs")
        if kind != "vms":
            return checks, writes
        vm = peridotsill.from_plain(row.value, peridotsill.Vm)
        grant_checks, grant_writes = self.grant_parts(vm, row)
        keep = tuple(each for each in grant_writes if each.key != row.key)
        return (*checks, *grant_checks[1:]), (*writes, *keep)

    def grant_parts(
        self, vm: peridotsill.Vm, row: peridotsill.Row
    ) -> tuple[Checks, Writes]:
        """Return what takes a VM out of service within its budget.

        The pool's row is rewritten too, so that of two grants that count
        on the same slack only one can be committed.

        Raises:
            HttpProblem: With 409 if the budget forbids it.
        """
        pool_key = peridotsill.resource_key("pools", vm.pool)
        match self._parts.table.scan(("vms/", pool_key)):
            case result.Success(scan):
                rows = {each.key: each for each in scan.rows}
            case result.Failure(error):
                raise peridotsill.HttpProblem(503, str(error))
        pool_row = rows.get(pool_key)
        if pool_row is None:
            raise peridotsill.HttpProblem(409, f"pool {vm.pool} is gone")
        pool = peridotsill.from_plain(pool_row.value, peridotsill.Pool)
        members = _members(rows.values(), vm.pool)
        condition = _availability.condition_of(
            pool, members, self._parts.evidence()
        )
        reason = condition.why_keep(vm.name)
        self._note(
            "budget",
            f"vms/{vm.name}",
            "kept in service" if reason else "may be taken",
            reason=reason or f"slack {condition.slack} of {pool.name}",
            candidates=tuple(
                f"{each.vm.name}: {each.reason or 'available'}"
                for each in condition.vms
            ),
        )
        if reason:
            raise peridotsill.HttpProblem(409, reason)
        bumped = attrs.evolve(pool, grants=pool.grants + 1)
        checks = (check_of(row, row.key), check_of(pool_row, pool_key))
        return checks, (write_of(pool_key, bumped),)

    def disrupt(
        self,
        name: str,
        disruption: peridotsill.Disruption,
        fence: Checks = (),
    ) -> peridotsill_operators.Applied:
        """Take a VM out of service, if its pool's budget allows.

        The disruption's id makes a repeat safe.

        Raises:
            HttpProblem: If it may not be taken or is taken already.
        """
        key = peridotsill.resource_key("vms", name)
        for _ in range(_ROUNDS):
            row = self.read(key).get(key)
            if row is None:
                raise peridotsill.HttpProblem(404, f"there is no VM {name!r}")
            vm = peridotsill.from_plain(row.value, peridotsill.Vm)
            if vm.disruption is not None:
                return _same_or_conflict(vm, disruption, row)
            checks, writes = self.grant_parts(vm, row)
            taken = attrs.evolve(vm, disruption=disruption)
            outcome = self.commit(
                (*checks, *fence), (*writes, write_of(key, taken))
            )
            match outcome:
                case result.Success(revision):
                    self._note(
                        "disruption",
                        f"vms/{name}",
                        f"{disruption.kind} {disruption.id}",
                        reason=disruption.reason,
                    )
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
                case result.Failure(platform_exceptions.Conflict()) if fence:
                    raise _unavailable(True)
        raise _unavailable(True)

    def restore(
        self, name: str, operation: str, fence: Checks = ()
    ) -> peridotsill_operators.Applied:
        """Put a VM back in service that this operation took out.

        Raises:
            HttpProblem: If another operation holds it.
        """
        key = peridotsill.resource_key("vms", name)
        for _ in range(_ROUNDS):
            row = self.read(key).get(key)
            if row is None:
                raise peridotsill.HttpProblem(404, f"there is no VM {name!r}")
            vm = peridotsill.from_plain(row.value, peridotsill.Vm)
            if vm.disruption is None:
                return peridotsill_operators.Applied(
                    version=row.version, changed=False
                )
            if vm.disruption.id != operation:
                raise peridotsill.HttpProblem(
                    409, f"{vm.disruption.id} holds {name}"
                )
            back = attrs.evolve(vm, disruption=None)
            outcome = self.commit(
                (check_of(row, key), *fence), (write_of(key, back),)
            )
            match outcome:
                case result.Success(revision):
                    self._note("disruption", f"vms/{name}", "restored")
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
        raise _unavailable(True)

    def apply_config(
        self, change: peridotsill_operators.ConfigChange
    ) -> peridotsill_operators.Applied:
        """Put a configuration in force; a repeated change id is kept once.

        Raises:
            HttpProblem: If the table is away or the outcome unknown.
        """
        _check_policy(change.values)
        marker_key = f"{peridotsill.CONFIG_HISTORY_PREFIX}{change.change_id}"
        for _ in range(_ROUNDS):
            rows = self.read(peridotsill.CONFIG_KEY, marker_key)
            if marker_key in rows:
                version = int(rows[marker_key].value["version"])
                return peridotsill_operators.Applied(
                    version=version, changed=False
                )
            outcome = self._commit_config(
                change, rows.get(peridotsill.CONFIG_KEY), marker_key
            )
            match outcome:
                case result.Success(config):
                    return peridotsill_operators.Applied(
                        version=config.version
                    )
                case result.Failure(platform_exceptions.Conflict()):
                    continue
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
                case _:
                    raise _unavailable(True)
        raise _unavailable(True)

    def _commit_config(
        self,
        change: peridotsill_operators.ConfigChange,
        row: peridotsill.Row | None,
        marker_key: str,
    ) -> result.Result[peridotsill.Config, peridotsill_platform.CommitFailure]:
        number = int(row.value["version"]) if row else 0
        config = peridotsill.Config(
            version=number + 1,
            change_id=change.change_id,
            values=change.values,
            author=change.author,
            applied_at=time.time(),
        )
        write = write_of(peridotsill.CONFIG_KEY, config)
        transaction = peridotsill_platform.Transaction(
            checks=(check_of(row, peridotsill.CONFIG_KEY),), writes=(write,)
        )
        outcome = peridotsill_platform.commit_marked(
            self._parts.table, transaction, write_of(marker_key, config)
        )
        match outcome:
            case result.Success(revision):
                self.publish((write,), revision)
                self._note("config", f"config/{config.version}", "in force")
                return result.Success(config)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("a result is a success or a failure")

    def config_history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration, oldest first."""
        match self._parts.table.scan((peridotsill.CONFIG_HISTORY_PREFIX,)):
            case result.Success(scan):
                found = [
                    peridotsill.from_plain(row.value, peridotsill.Config)
                    for row in scan.rows
                ]
                return tuple(sorted(found, key=lambda each: each.version))
            case _:
                raise _unavailable(False)

    def set_wave(
        self,
        name: str,
        change: collections.abc.Callable[[peridotsill.Wave], peridotsill.Wave],
        fence: Checks = (),
    ) -> peridotsill_operators.Applied:
        """Change a wave's row; a change to the same value is no change.

        Raises:
            HttpProblem: If the wave is unknown or the table away.
        """
        key = peridotsill.resource_key("waves", name)
        for _ in range(_ROUNDS):
            row = self.read(key).get(key)
            if row is None:
                raise peridotsill.HttpProblem(404, f"no wave {name!r}")
            wave = peridotsill.from_plain(row.value, peridotsill.Wave)
            changed = change(wave)
            if changed == wave:
                return peridotsill_operators.Applied(
                    version=row.version, changed=False
                )
            outcome = self.commit(
                (check_of(row, key), *fence), (write_of(key, changed),)
            )
            match outcome:
                case result.Success(revision):
                    self._note(
                        "wave",
                        f"waves/{name}",
                        str(changed.state),
                        reason=changed.reason,
                    )
                    return peridotsill_operators.Applied(version=revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _unavailable(False)
        raise _unavailable(True)

    def _note(
        self,
        kind: str,
        subject: str,
        choice: str,
        *,
        reason: str = "",
        candidates: tuple[str, ...] = (),
    ) -> None:
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


def why_not_fit(job: peridotsill.Job, vm: peridotsill.Vm) -> str:
    """Return why a job can't run on a VM even if it is empty."""
    if job.cores > vm.cores:
        return f"has {vm.cores:g} cores, needs {job.cores:g}"
    if job.memory_gib > vm.memory_gib:
        return f"has {vm.memory_gib:g} GiB, needs {job.memory_gib:g}"
    if job.accelerators > vm.accelerators:
        return f"has {vm.accelerators} accelerators, needs {job.accelerators}"
    return ""


def _parse(kind: str, name: str, document: object) -> typing.Any:
    if not _NAME.fullmatch(name):
        raise peridotsill.HttpProblem(
            400, f"{name!r}: names are 1 to 63 of a-z, 0-9, '.' and '-'"
        )
    if not isinstance(document, dict):
        raise peridotsill.HttpProblem(400, "expected a JSON object")
    given = document.setdefault("name", name)
    if given != name:
        raise peridotsill.HttpProblem(
            400, f"the document names {given!r}, the path {name!r}"
        )
    managed = sorted(set(document) & set(_MANAGED_FIELDS.get(kind, ())))
    allowed = {field for field in managed if document[field] is None}
    refused = [field for field in managed if field not in allowed]
    if refused:
        raise peridotsill.HttpProblem(
            400, f"the system sets these fields: {', '.join(refused)}"
        )
    return peridotsill.from_plain(document, peridotsill.RESOURCE_KINDS[kind])


def _merged(
    kind: str, wanted: typing.Any, row: peridotsill.Row | None
) -> typing.Any:
    managed = _MANAGED_FIELDS.get(kind, ())
    if row is None:
        if kind == "waves":
            return attrs.evolve(wanted, started_at=time.time())
        return wanted
    current: typing.Any = peridotsill.from_plain(
        row.value, peridotsill.RESOURCE_KINDS[kind], strict=False
    )
    kept = {field: getattr(current, field) for field in managed}
    return attrs.evolve(wanted, **kept)


def _members(
    rows: collections.abc.Iterable[peridotsill.Row], pool: str
) -> tuple[peridotsill.Vm, ...]:
    found = (
        peridotsill.from_plain(row.value, peridotsill.Vm)
        for row in rows
        if row.key.startswith("vms/") and row.value["pool"] == pool
    )
    return tuple(found)


def _check_version(
    row: peridotsill.Row | None, version: int | None, key: str
) -> None:
    current = row.version if row else 0
    if version is not None and version != current:
        raise peridotsill.HttpProblem(
            412, f"{key} is at version {current}", version=current
        )


def _same_or_conflict(
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    row: peridotsill.Row,
) -> peridotsill_operators.Applied:
    held = vm.disruption
    if held is not None and held.id == disruption.id:
        return peridotsill_operators.Applied(
            version=row.version, changed=False
        )
    name = held.id if held else ""
    raise peridotsill.HttpProblem(409, f"{name} holds {vm.name} already")


def _check_policy(values: peridotsill.ConfigValues) -> None:
    known = peridotsill_siblings.policy_names()
    if values.slot_policy not in known:
        raise peridotsill.HttpProblem(
            422, f"slot_policy: {values.slot_policy!r} is none of {known}"
        )


def _unavailable(maybe: bool) -> peridotsill.HttpProblem:
    detail = "the platform's table is away; nothing was changed"
    if maybe:
        detail = "the outcome is unknown or raced; apply it again to be sure"
    return peridotsill.HttpProblem(503, detail)
