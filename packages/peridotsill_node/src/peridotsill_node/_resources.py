"""Validates and conditionally commits the resources of operators."""

import collections.abc
import re
import time
import typing

import attrs
import peridotsill

from peridotsill_node import _grants
from peridotsill_node import _placement
from peridotsill_node import _writer
import peridotsill_operators

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
# Fields by kind that only the system sets; an update by an operator keeps
# their stored values.
_MANAGED_FIELDS: dict[str, tuple[str, ...]] = {
    "pools": ("grants",),
    "vms": ("disruption", "home_pool"),
    "jobs": (
        "state",
        "vm",
        "attempt",
        "checkpoint",
        "lost_seconds",
        "reason",
        "used",
    ),
    "waves": (
        "state",
        "reason",
        "done",
        "failed",
        "started_at",
        "finished_at",
    ),
}


class Resources:
    """Creates, replaces and deletes resources."""

    def __init__(
        self,
        *,
        writer: _writer.Writer,
        grants: _grants.Grants,
    ) -> None:
        self._writer = writer
        self._grants = grants

    def apply(
        self,
        kind: str,
        name: str,
        document: object,
        expected_version: int | None,
    ) -> peridotsill_operators.WriteResult:
        """Create or replace a resource; an equal document is not written.

        Raises:
            InvalidResource: If the document has invalid fields.
            HttpProblem: If it was refused, was not at the expected version,
                or the table is unavailable or the outcome unknown.
        """
        requested = _parse_document(kind, name, document)
        key = peridotsill.resource_key(kind, name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.WriteResult:
            _check_version(row, expected_version, key)
            value = _with_managed_fields(kind, requested, row)
            if row is not None and row.value == peridotsill.to_plain(value):
                return peridotsill_operators.WriteResult(
                    version=row.version, changed=False
                )
            self._check_references(kind, value, row)
            checks, writes = self._apply_transaction(kind, key, value, row)
            return _writer.Change(
                checks=checks,
                writes=writes,
                kind="apply",
                subject=key,
                choice="written",
            )

        return self._writer.update(key, plan)

    def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> peridotsill_operators.WriteResult:
        """Delete a resource; deleting an absent one succeeds unchanged.

        Raises:
            HttpProblem: If it is in use, its pool's availability budget
                forbids it, it was not at the expected version, or the table
                is unavailable or the outcome unknown.
        """
        key = peridotsill.resource_key(kind, name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.WriteResult:
            if row is None:
                return peridotsill_operators.WriteResult(
                    version=0, changed=False
                )
            _check_version(row, expected_version, key)
            checks, writes = self._delete_transaction(kind, name, row)
            return _writer.Change(
                checks=checks,
                writes=writes,
                kind="apply",
                subject=key,
                choice="deleted",
            )

        return self._writer.update(key, plan)

    def update_wave(
        self,
        name: str,
        update: collections.abc.Callable[[peridotsill.Wave], peridotsill.Wave],
        fence: _writer.Checks = (),
    ) -> peridotsill_operators.WriteResult:
        """Update a wave; an equal value is not written.

        ``fence`` adds checks to the commit.

        Raises:
            HttpProblem: If the wave is unknown, ``update`` refuses, or the
                table is unavailable or the outcome unknown.
        """
        key = peridotsill.resource_key("waves", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.WriteResult:
            if row is None:
                raise peridotsill.HttpProblem(
                    404, f"there is no wave {name!r}"
                )
            wave = peridotsill.from_plain(row.value, peridotsill.Wave)
            updated = update(wave)
            if updated == wave:
                return peridotsill_operators.WriteResult(
                    version=row.version, changed=False
                )
            return _writer.Change(
                checks=(_writer.check_of(row, key), *fence),
                writes=(_writer.write_of(key, updated),),
                kind="wave",
                subject=key,
                choice=str(updated.state),
                reason=updated.reason,
            )

        return self._writer.update(key, plan)

    def _apply_transaction(
        self,
        kind: str,
        key: str,
        value: typing.Any,
        row: peridotsill.Row | None,
    ) -> tuple[_writer.Checks, _writer.Writes]:
        checks: _writer.Checks = (_writer.check_of(row, key),)
        writes: _writer.Writes = (_writer.write_of(key, value),)
        if kind != "vms" or row is not None:
            return checks, writes
        # The check on the pool's row fails the commit if the pool is deleted
        # while the VM is being created.
        pool_key = peridotsill.resource_key("pools", value.pool)
        pool = self._writer.read(pool_key).get(pool_key)
        return (*checks, _writer.check_of(pool, pool_key)), writes

    def _check_references(
        self, kind: str, value: typing.Any, row: peridotsill.Row | None
    ) -> None:
        pool = getattr(value, "pool", None)
        if pool is not None:
            key = peridotsill.resource_key("pools", pool)
            if key not in self._writer.read(key):
                raise peridotsill.HttpProblem(
                    422, f"there is no pool {pool!r}"
                )
        if kind == "vms" and row is not None and row.value["pool"] != pool:
            raise peridotsill.HttpProblem(
                409, "apply can't change the pool of a VM; use `vm move`"
            )
        if kind == "jobs" and row is None:
            self._check_job_fits(value)

    def _check_job_fits(self, job: peridotsill.Job) -> None:
        # Reads the table, as the view may lack recently created VMs.
        rows = self._writer.scan("vms/")
        reasons = tuple(
            f"{vm.name}: {_placement.oversize_reason(job, vm)}"
            for vm in _grants.vms_of_pool(rows.values(), job.pool)
        )
        if any(reason.endswith(": ") for reason in reasons):
            return
        self._writer.record_decision(
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

    def _delete_transaction(
        self, kind: str, name: str, row: peridotsill.Row
    ) -> tuple[_writer.Checks, _writer.Writes]:
        checks: _writer.Checks = (_writer.check_of(row, row.key),)
        writes: _writer.Writes = (_writer.write_of(row.key, None),)
        rows = self._writer.scan("vms/") if kind == "pools" else {}
        if _grants.vms_of_pool(rows.values(), name):
            raise peridotsill.HttpProblem(409, f"pool {name} has VMs")
        if kind != "vms":
            return checks, writes
        # A VM is deleted only within its pool's availability budget. The first
        # check of the grant is the one on the VM's row, as in ``checks``.
        vm = peridotsill.from_plain(row.value, peridotsill.Vm)
        grant_checks, grant_writes = self._grants.checks_and_writes(vm, row)
        other_writes = tuple(
            write for write in grant_writes if write.key != row.key
        )
        return (*checks, *grant_checks[1:]), (*writes, *other_writes)


def _parse_document(kind: str, name: str, document: object) -> typing.Any:
    if not _NAME_PATTERN.fullmatch(name):
        raise peridotsill.HttpProblem(
            400, f"{name!r}: names are 1 to 63 of a-z, 0-9, '.' and '-'"
        )
    if not isinstance(document, dict):
        raise peridotsill.HttpProblem(400, "expected a JSON object")
    document_name = document.setdefault("name", name)
    if document_name != name:
        raise peridotsill.HttpProblem(
            400, f"the document has name {document_name!r}, the path {name!r}"
        )
    managed = sorted(set(document) & set(_MANAGED_FIELDS.get(kind, ())))
    allowed = {field for field in managed if document[field] is None}
    refused = [field for field in managed if field not in allowed]
    if refused:
        raise peridotsill.HttpProblem(
            400, f"only the system sets these fields: {', '.join(refused)}"
        )
    resource: typing.Any = peridotsill.from_plain(
        document, peridotsill.RESOURCE_KINDS[kind]
    )
    if kind == "vms":
        peridotsill.Address.parse(resource.address)
    return resource


def _with_managed_fields(
    kind: str, requested: typing.Any, row: peridotsill.Row | None
) -> typing.Any:
    managed = _MANAGED_FIELDS.get(kind, ())
    if row is None:
        if kind == "waves":
            return attrs.evolve(requested, started_at=time.time())
        return requested
    current: typing.Any = peridotsill.from_plain(
        row.value, peridotsill.RESOURCE_KINDS[kind], strict=False
    )
    managed_values = {field: getattr(current, field) for field in managed}
    return attrs.evolve(requested, **managed_values)


def _check_version(
    row: peridotsill.Row | None, expected_version: int | None, key: str
) -> None:
    current = row.version if row else 0
    if expected_version is not None and expected_version != current:
        raise peridotsill.HttpProblem(
            412, f"{key} is at version {current}", version=current
        )
