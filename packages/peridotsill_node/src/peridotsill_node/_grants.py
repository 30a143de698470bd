"""Who may take a VM out of service: grants within the budget."""

import collections.abc

import attrs
import peridotsill

from peridotsill_node import _availability
from peridotsill_node import _writer
import peridotsill_operators


class Grants:
    """Takes VMs out of service within their pools' budgets, and back."""

    def __init__(
        self,
        *,
        writer: _writer.Writer,
        evidence: collections.abc.Callable[[], _availability.Evidence],
    ) -> None:
        self._writer = writer
        self._evidence = evidence

    def disrupt(
        self,
        name: str,
        disruption: peridotsill.Disruption,
        fence: _writer.Checks = (),
    ) -> peridotsill_operators.Applied:
        """Take a VM out of service, if its pool's budget allows.

        The disruption's id makes a repeat safe.

        Raises:
            HttpProblem: If it may not be taken or is taken already.
        """
        key = peridotsill.resource_key("vms", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.Applied:
            if row is None:
                raise peridotsill.HttpProblem(404, f"there is no VM {name!r}")
            vm = peridotsill.from_plain(row.value, peridotsill.Vm)
            if vm.disruption is not None:
                return _same_or_conflict(vm, disruption, row)
            checks, writes = self.parts(vm, row)
            taken = attrs.evolve(vm, disruption=disruption)
            return _writer.Change(
                checks=(*checks, *fence),
                writes=(*writes, _writer.write_of(key, taken)),
                kind="disruption",
                subject=key,
                choice=f"{disruption.kind} {disruption.id}",
                reason=disruption.reason,
            )

        return self._writer.update(key, plan)

    def restore(
        self, name: str, operation: str
    ) -> peridotsill_operators.Applied:
        """Put a VM back in service that this operation took out.

        Raises:
            HttpProblem: If another operation holds it.
        """
        key = peridotsill.resource_key("vms", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.Applied:
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
            return _writer.Change(
                checks=(_writer.check_of(row, key),),
                writes=(_writer.write_of(key, back),),
                kind="disruption",
                subject=key,
                choice="restored",
            )

        return self._writer.update(key, plan)

    def parts(
        self, vm: peridotsill.Vm, row: peridotsill.Row
    ) -> tuple[_writer.Checks, _writer.Writes]:
        """Return what takes a VM out of service within its budget.

        The pool's row is rewritten too, so that of two grants that count
        on the same slack only one can be committed.

        Raises:
            HttpProblem: With 409 if the budget forbids it.
        """
        pool_key = peridotsill.resource_key("pools", vm.pool)
        rows = self._writer.scan("vms/", pool_key)
        pool_row = rows.get(pool_key)
        if pool_row is None:
            raise peridotsill.HttpProblem(409, f"pool {vm.pool} is gone")
        pool = peridotsill.from_plain(pool_row.value, peridotsill.Pool)
        members = members_of(rows.values(), vm.pool)
        condition = _availability.condition_of(pool, members, self._evidence())
        reason = condition.why_keep(vm.name)
        self._writer.note(
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
        checks = (
            _writer.check_of(row, row.key),
            _writer.check_of(pool_row, pool_key),
        )
        return checks, (_writer.write_of(pool_key, bumped),)


def members_of(
    rows: collections.abc.Iterable[peridotsill.Row], pool: str
) -> tuple[peridotsill.Vm, ...]:
    """Return the VMs of a pool among a table's rows."""
    found = (
        peridotsill.from_plain(row.value, peridotsill.Vm)
        for row in rows
        if row.key.startswith("vms/") and row.value["pool"] == pool
    )
    return tuple(found)


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
