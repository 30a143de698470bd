"""Maintenance waves: rack by rack, one VM first, then more while healthy.

`plan` decides from the table's rows alone, so that a new owner comes to
the same decision; the VMs' own rows tell how far each one is.
"""

import time

import attrs
import peridotsill

from peridotsill_node import _availability

_MAX_FAILED = 1


@attrs.frozen(kw_only=True)
class WavePlan:
    """What to do next for a wave.

    ``start`` are VMs to take now, ``wave`` the row as it should stand.
    """

    wave: peridotsill.Wave
    start: tuple[str, ...] = ()
    waits_for: str = ""


def plan(
    wave: peridotsill.Wave,
    condition: _availability.PoolCondition,
    overdue: frozenset[str],
) -> WavePlan:
    """Decide a wave's next step.

    Args:
        wave: The wave's row.
        condition: Its pool's VMs and budget.
        overdue: VMs whose reboot takes too long.
    """
    vms = tuple(each.vm for each in condition.vms)
    wave = _with_progress(wave, vms)
    if wave.state is not peridotsill.WaveState.RUNNING:
        return WavePlan(wave=_maybe_resume(wave, condition))
    failed = _failed(wave, condition, overdue)
    if len(failed) >= _MAX_FAILED:
        return WavePlan(wave=_halted(wave, failed))
    left = [vm for vm in vms if vm.name not in wave.done]
    # A VM that failed by itself is no work for a wave: whether its
    # maintenance went well could not be told.
    down = [
        vm
        for vm in left
        if vm.disruption is None and condition.reason_of(vm.name)
    ]
    if down and len(down) == len(left):
        names = ", ".join(vm.name for vm in down)
        return WavePlan(wave=wave, waits_for=f"out of service: {names}")
    left = [vm for vm in left if vm not in down]
    if not left:
        return WavePlan(wave=_finished(wave))
    return _next_vms(wave, condition, left)


def operation_of(wave: str, vm: str) -> str:
    """Return the id of a wave's disruption of a VM."""
    return f"wave-{wave}-{vm}"


def _with_progress(
    wave: peridotsill.Wave, vms: tuple[peridotsill.Vm, ...]
) -> peridotsill.Wave:
    names = {vm.name for vm in vms}
    failed = tuple(name for name in wave.failed if name in names)
    return attrs.evolve(wave, failed=failed)


def _failed(
    wave: peridotsill.Wave,
    condition: _availability.PoolCondition,
    overdue: frozenset[str],
) -> tuple[str, ...]:
    # A VM that fails after its maintenance speaks against the wave; one
    # that fails without it does not.
    broken = {
        each.vm.name
        for each in condition.vms
        if each.reason and each.vm.disruption is None
    }
    after = [name for name in wave.done if name in broken]
    return tuple(sorted({*after, *overdue}))


def _halted(
    wave: peridotsill.Wave, failed: tuple[str, ...]
) -> peridotsill.Wave:
    return attrs.evolve(
        wave,
        state=peridotsill.WaveState.HALTED,
        failed=failed,
        reason="failed after maintenance: " + ", ".join(failed),
    )


def _maybe_resume(
    wave: peridotsill.Wave, condition: _availability.PoolCondition
) -> peridotsill.Wave:
    if wave.state is not peridotsill.WaveState.HALTED:
        return wave
    well = {each.vm.name for each in condition.vms if not each.reason}
    if not set(wave.failed) <= well:
        return wave
    return attrs.evolve(
        wave,
        state=peridotsill.WaveState.RUNNING,
        failed=(),
        reason="resumed: the failed VMs are healthy again",
    )


def _finished(wave: peridotsill.Wave) -> peridotsill.Wave:
    return attrs.evolve(
        wave,
        state=peridotsill.WaveState.DONE,
        reason="",
        finished_at=time.time(),
    )


def _next_vms(
    wave: peridotsill.Wave,
    condition: _availability.PoolCondition,
    left: list[peridotsill.Vm],
) -> WavePlan:
    under_way = [vm for vm in left if vm.disruption is not None]
    if condition.slack < 0:
        return WavePlan(
            wave=wave,
            waits_for=f"{condition.available} VMs are available, the budget"
            f" is {condition.pool.min_available}",
        )
    parallel = wave.max_parallel if wave.done else 1
    free = parallel - len(under_way)
    if free <= 0:
        return WavePlan(
            wave=wave,
            waits_for=", ".join(vm.name for vm in under_way),
        )
    rack = _rack(left, under_way)
    ready = [
        vm
        for vm in left
        if vm.rack == rack
        and vm.disruption is None
        and not condition.why_keep(vm.name)
    ]
    slack = max(condition.slack, 0)
    chosen = tuple(vm.name for vm in ready[: min(free, max(slack, 1))])
    waits_for = "" if chosen else f"slack in the budget for rack {rack}"
    return WavePlan(wave=wave, start=chosen, waits_for=waits_for)


def _rack(left: list[peridotsill.Vm], under_way: list[peridotsill.Vm]) -> str:
    if under_way:
        return under_way[0].rack
    return min(vm.rack for vm in left)
