"""Operators' resources: checked, merged and written conditionally."""

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

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
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
        self, kind: str, name: str, document: object, version: int | None
    ) -> peridotsill_operators.Applied:
        """Create or replace a resource; the same document changes nothing.

        Raises:
            InvalidResource: If the document has bad fields.
            HttpProblem: If it conflicts or the table is away.
        """
        wanted = _parse(kind, name, document)
        key = peridotsill.resource_key(kind, name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.Applied:
            _check_version(row, version, key)
            value = _merged(kind, wanted, row)
            if row is not None and row.value == peridotsill.to_plain(value):
                return peridotsill_operators.Applied(
                    version=row.version, changed=False
                )
            self._check_references(kind, value, row)
            checks, writes = self._apply_parts(kind, key, value, row)
            return _writer.Change(
                checks=checks,
                writes=writes,
                kind="apply",
                subject=key,
                choice="written",
            )

        return self._writer.update(key, plan)

    def delete(
        self, kind: str, name: str, version: int | None
    ) -> peridotsill_operators.Applied:
        """Delete a resource; one that is gone already changes nothing.

        Raises:
            HttpProblem: If it is in use, conflicts, or the table is away.
        """
        key = peridotsill.resource_key(kind, name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.Applied:
            if row is None:
                return peridotsill_operators.Applied(version=0, changed=False)
            _check_version(row, version, key)
            checks, writes = self._delete_parts(kind, name, row)
            return _writer.Change(
                checks=checks,
                writes=writes,
                kind="apply",
                subject=key,
                choice="deleted",
            )

        return self._writer.update(key, plan)

    def set_wave(
        self,
        name: str,
        change: collections.abc.Callable[[peridotsill.Wave], peridotsill.Wave],
        fence: _writer.Checks = (),
    ) -> peridotsill_operators.Applied:
        """Change a wave's row; a change to the same value is no change.

        Raises:
            HttpProblem: If the wave is unknown or the table away.
        """
        key = peridotsill.resource_key("waves", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.Applied:
            if row is None:
                raise peridotsill.HttpProblem(404, f"no wave {name!r}")
            wave = peridotsill.from_plain(row.value, peridotsill.Wave)
            changed = change(wave)
            if changed == wave:
                return peridotsill_operators.Applied(
                    version=row.version, changed=False
                )
            return _writer.Change(
                checks=(_writer.check_of(row, key), *fence),
                writes=(_writer.write_of(key, changed),),
                kind="wave",
                subject=key,
                choice=str(changed.state),
                reason=changed.reason,
            )

        return self._writer.update(key, plan)

    def _apply_parts(
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
        # A pool can't be deleted under a VM that is being created.
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
                409, "a VM changes its pool by `vm move`, not by apply"
            )
        if kind == "jobs" and row is None:
            self._check_fits(value)

    def _check_fits(self, job: peridotsill.Job) -> None:
        # The view may not have the pool's newest VMs yet.
        rows = self._writer.scan("vms/")
        reasons = tuple(
            f"{vm.name}: {_placement.why_not_fit(job, vm)}"
            for vm in _grants.members_of(rows.values(), job.pool)
        )
        if any(reason.endswith(": ") for reason in reasons):
            return
        self._writer.note(
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

    def _delete_parts(
        self, kind: str, name: str, row: peridotsill.Row
    ) -> tuple[_writer.Checks, _writer.Writes]:
        checks: _writer.Checks = (_writer.check_of(row, row.key),)
        writes: _writer.Writes = (_writer.write_of(row.key, None),)
        rows = self._writer.scan("vms/") if kind == "pools" else {}
        if _grants.members_of(rows.values(), name):
            raise peridotsill.HttpProblem(409, f"pool {name} has VMs")
        if kind != "vms":
            return checks, writes
        vm = peridotsill.from_plain(row.value, peridotsill.Vm)
        grant_checks, grant_writes = self._grants.parts(vm, row)
        keep = tuple(each for each in grant_writes if each.key != row.key)
        return (*checks, *grant_checks[1:]), (*writes, *keep)


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


def _check_version(
    row: peridotsill.Row | None, version: int | None, key: str
) -> None:
    current = row.version if row else 0
    if version is not None and version != current:
        raise peridotsill.HttpProblem(
            412, f"{key} is at version {current}", version=current
        )
