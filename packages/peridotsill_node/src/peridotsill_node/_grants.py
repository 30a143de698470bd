"""Grants disruptions of VMs within their pools' availability budgets."""

import collections.abc

import attrs
import peridotsill

from peridotsill_node import _availability
from peridotsill_node import _writer
import peridotsill_operators


class Grants:
    """Takes VMs out of service and puts them back."""

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
    ) -> peridotsill_operators.WriteResult:
        """Take a VM out of service, if its pool's budget allows it.

        A repeat changes nothing while the disruption with this id holds the
        VM.

        Raises:
            HttpProblem: With 404 if there is no such VM, 409 if the budget
                forbids it, its pool is gone or another disruption holds the
                VM, 503 if the table is unavailable or the outcome unknown.
        """
        key = peridotsill.resource_key("vms", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.WriteResult:
            if row is None:
                raise peridotsill.HttpProblem(404, f"there is no VM {name!r}")
            vm = peridotsill.from_plain(row.value, peridotsill.Vm)
            if vm.disruption is not None:
                return _same_or_conflict(vm, disruption, row)
            checks, writes = self.checks_and_writes(vm, row)
            disrupted = attrs.evolve(vm, disruption=disruption)
            return _writer.Change(
                checks=(*checks, *fence),
                writes=(*writes, _writer.write_of(key, disrupted)),
                kind="disruption",
                subject=key,
                choice=f"{disruption.kind} {disruption.id}",
                reason=disruption.reason,
            )

        return self._writer.update(key, plan)

    def restore(
        self, name: str, operation: str
    ) -> peridotsill_operators.WriteResult:
        """Put a VM back in service, if ``operation`` took it out.

        A VM that is in service is left unchanged.

        Raises:
            HttpProblem: With 404 if there is no such VM, 409 if another
                operation holds it, 503 if the table is unavailable or the
                outcome unknown.
        """
        key = peridotsill.resource_key("vms", name)

        def plan(
            row: peridotsill.Row | None,
        ) -> _writer.Change | peridotsill_operators.WriteResult:
            if row is None:
                raise peridotsill.HttpProblem(404, f"there is no VM {name!r}")
            vm = peridotsill.from_plain(row.value, peridotsill.Vm)
            if vm.disruption is None:
                return peridotsill_operators.WriteResult(
                    version=row.version, changed=False
                )
            if vm.disruption.id != operation:
                raise peridotsill.HttpProblem(
                    409, f"{vm.disruption.id} holds {name}"
                )
            restored = attrs.evolve(vm, disruption=None)
            return _writer.Change(
                checks=(_writer.check_of(row, key),),
                writes=(_writer.write_of(key, restored),),
                kind="disruption",
                subject=key,
                choice="restored",
            )

        return self._writer.update(key, plan)

    def checks_and_writes(
        self, vm: peridotsill.Vm, row: peridotsill.Row
    ) -> tuple[_writer.Checks, _writer.Writes]:
        """Return the checks and writes of a grant within the pool's budget.

        They rewrite the pool's row and demand its version, so that of two
        grants that were decided on the same slack only one can commit.

        Raises:
            HttpProblem: With 409 if the budget forbids it or the pool is
                gone, 503 if the table does not answer.
        """
        pool_key = peridotsill.resource_key("pools", vm.pool)
        rows = self._writer.scan("vms/", pool_key)
        pool_row = rows.get(pool_key)
        if pool_row is None:
            raise peridotsill.HttpProblem(409, f"pool {vm.pool} is gone")
        pool = peridotsill.from_plain(pool_row.value, peridotsill.Pool)
        members = vms_of_pool(rows.values(), vm.pool)
        condition = _availability.condition_of(pool, members, self._evidence())
        reason = condition.budget_refusal(vm.name)
        self._writer.record_decision(
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
        granted_pool = attrs.evolve(pool, grants=pool.grants + 1)
        checks = (
            _writer.check_of(row, row.key),
            _writer.check_of(pool_row, pool_key),
        )
        return checks, (_writer.write_of(pool_key, granted_pool),)


def vms_of_pool(
    rows: collections.abc.Iterable[peridotsill.Row], pool: str
) -> tuple[peridotsill.Vm, ...]:
    """Return the VMs of a pool from rows of the table."""
    members = (
        peridotsill.from_plain(row.value, peridotsill.Vm)
        for row in rows
        if row.key.startswith("vms/") and row.value["pool"] == pool
    )
    return tuple(members)


def _same_or_conflict(
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    row: peridotsill.Row,
) -> peridotsill_operators.WriteResult:
    current = vm.disruption
    if current is not None and current.id == disruption.id:
        return peridotsill_operators.WriteResult(
            version=row.version, changed=False
        )
    name = current.id if current else ""
    raise peridotsill.HttpProblem(409, f"{name} holds {vm.name} already")
