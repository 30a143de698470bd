"""Plans maintenance waves.

A wave goes rack by rack. It takes a single VM first, and once that is done
up to ``max_parallel`` at a time, while the pool stays healthy.

`plan` keeps no state of its own: the wave's row and the VMs' rows hold all
progress, so that a new owner comes to the same decision.
"""

import time

import attrs
import peridotsill

from peridotsill_node import _availability

_FAILURES_TO_HALT = 1


@attrs.frozen(kw_only=True)
class WavePlan:
    """The next step of a wave.

    ``wave`` is the row to be stored, ``start`` the VMs to take out of
    service now. ``waits_for`` says why no VM can be taken, if so.
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
        condition: The VMs and the budget of the wave's pool.
        overdue: VMs whose disruption has been in one step for too long,
            draining excepted.
    """
    vms = tuple(each.vm for each in condition.vms)
    wave = _without_removed_vms(wave, vms)
    if wave.state is not peridotsill.WaveState.RUNNING:
        return WavePlan(wave=_resume_if_healthy(wave, condition))
    failed = _failed(wave, condition, overdue)
    if len(failed) >= _FAILURES_TO_HALT:
        return WavePlan(wave=_halted(wave, failed))
    remaining = [vm for vm in vms if vm.name not in wave.done]
    # VMs that failed without a disruption are skipped: it could not be told
    # whether their maintenance succeeded.
    unavailable = [
        vm
        for vm in remaining
        if vm.disruption is None and condition.unavailable_reason(vm.name)
    ]
    if unavailable and len(unavailable) == len(remaining):
        names = ", ".join(vm.name for vm in unavailable)
        return WavePlan(wave=wave, waits_for=f"out of service: {names}")
    remaining = [vm for vm in remaining if vm not in unavailable]
    if not remaining:
        return WavePlan(wave=_finished(wave))
    return _next_vms(wave, condition, remaining)


def disruption_id(wave: str, vm: str) -> str:
    """Return the id of the disruption by which a wave takes a VM."""
    return f"wave-{wave}-{vm}"


def _without_removed_vms(
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
    # VMs that fail after their maintenance and overdue ones count against
    # the wave, not those that fail before their maintenance.
    unavailable = {
        each.vm.name
        for each in condition.vms
        if each.reason and each.vm.disruption is None
    }
    failed_after = [name for name in wave.done if name in unavailable]
    return tuple(sorted({*failed_after, *overdue}))


def _halted(
    wave: peridotsill.Wave, failed: tuple[str, ...]
) -> peridotsill.Wave:
    return attrs.evolve(
        wave,
        state=peridotsill.WaveState.HALTED,
        failed=failed,
        reason="failed after maintenance: " + ", ".join(failed),
    )


def _resume_if_healthy(
    wave: peridotsill.Wave, condition: _availability.PoolCondition
) -> peridotsill.Wave:
    if wave.state is not peridotsill.WaveState.HALTED:
        return wave
    available = {each.vm.name for each in condition.vms if not each.reason}
    if not set(wave.failed) <= available:
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
    remaining: list[peridotsill.Vm],
) -> WavePlan:
    in_progress = [vm for vm in remaining if vm.disruption is not None]
    if condition.slack < 0:
        return WavePlan(
            wave=wave,
            waits_for=f"{condition.available} VMs are available, the budget"
            f" is {condition.pool.min_available}",
        )
    limit = wave.max_parallel if wave.done else 1
    free = limit - len(in_progress)
    if free <= 0:
        return WavePlan(
            wave=wave,
            waits_for=", ".join(vm.name for vm in in_progress),
        )
    rack = _next_rack(remaining, in_progress)
    takeable = [
        vm
        for vm in remaining
        if vm.rack == rack
        and vm.disruption is None
        and not condition.budget_refusal(vm.name)
    ]
    slack = max(condition.slack, 0)
    taken = tuple(vm.name for vm in takeable[: min(free, max(slack, 1))])
    waits_for = "" if taken else f"slack in the budget for rack {rack}"
    return WavePlan(wave=wave, start=taken, waits_for=waits_for)


def _next_rack(
    remaining: list[peridotsill.Vm], in_progress: list[peridotsill.Vm]
) -> str:
    if in_progress:
        return in_progress[0].rack
    return min(vm.rack for vm in remaining)
