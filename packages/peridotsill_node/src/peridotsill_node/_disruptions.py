"""Carries each granted disruption through, one step at a time.

Every step is first written to the table under the owner's fence; the
commands that follow it carry the disruption's id and may be repeated, so
a new owner goes on exactly where the last one was.
"""

import collections.abc
import time

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_node import _ownership
from peridotsill_node import _writer
import peridotsill_platform
import peridotsill_siblings
import peridotsill_upstreams

_VERIFY_SECONDS = 0.5
_REBOOT_LIMIT_SECONDS = 45.0
_COMMAND_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class DisruptionParts:
    """What the steps work with."""

    view: peridotsill.View
    writer: _writer.Writer
    workers: peridotsill_platform.Workers
    upstreams: peridotsill_upstreams.Upstreams
    membership: peridotsill_siblings.Membership
    journal: peridotsill.Journal
    node: str
    jobs_on: collections.abc.Callable[[str], tuple[str, ...]]


@attrs.define(kw_only=True, eq=False)
class _Watch:
    """When a step was first seen by this node, and its last command."""

    step: peridotsill.DisruptionStep
    since: float
    commanded_at: float = 0.0
    healthy_since: float | None = None


Step = collections.abc.Callable[
    [
        "Disruptions",
        peridotsill.Vm,
        peridotsill.Disruption,
        _Watch,
        _ownership.Tenure,
    ],
    str,
]
_steps: dict[peridotsill.DisruptionStep, Step] = {}


def disruption_step(
    step: peridotsill.DisruptionStep,
) -> collections.abc.Callable[[Step], Step]:
    """Return a decorator that registers what to do in a step."""

    def register(function: Step) -> Step:
        _steps[step] = function
        return function

    return register


class Disruptions:
    """Moves the disruptions of owned pools forward."""

    def __init__(self, *, parts: DisruptionParts) -> None:
        self._parts = parts
        self._watches: dict[str, _Watch] = {}
        self._waits: dict[str, str] = {}

    def waits(self, vm: str) -> str:
        """Return what a VM's disruption waits for."""
        return self._waits.get(vm, "")

    def advance(self, vm: peridotsill.Vm, tenure: _ownership.Tenure) -> None:
        """Do what the disruption of ``vm`` needs now."""
        disruption = vm.disruption
        if disruption is None:
            return
        watch = self._watch(disruption)
        step = _steps.get(disruption.step)
        if step is None:
            return
        reason = step(self, vm, disruption, watch, tenure)
        self._waits[vm.name] = reason

    def _watch(self, disruption: peridotsill.Disruption) -> _Watch:
        watch = self._watches.get(disruption.id)
        if watch is None or watch.step is not disruption.step:
            watch = _Watch(step=disruption.step, since=time.monotonic())
            self._watches[disruption.id] = watch
        return watch

    def jobs_on(self, vm: str) -> tuple[str, ...]:
        """Return the jobs that hold a VM."""
        return self._parts.jobs_on(vm)

    def barrier(self, vm: str, disruption: str) -> str:
        """Return who may still send to a VM; nothing if nobody does."""
        if not self._acked_here(vm, disruption):
            return "this node has requests in flight"
        wanted = peridotsill_siblings.DrainAck(vm=vm, disruption=disruption)
        heard = {
            beat.node: wanted in beat.drain_acks
            for beat in self._parts.membership.live()
        }
        written = {
            row.key.partition("/")[2]: disruption in row.value["acks"]
            for row in self._parts.view.rows("nodes/")
        }
        others = (set(heard) | set(written)) - {self._parts.node}
        for node in sorted(others):
            if not (heard.get(node) or written.get(node)):
                return f"{node} has not acknowledged"
        return ""

    def own_acks(self) -> tuple[str, ...]:
        """Return the disruptions that this node acknowledges."""
        acks = self._parts.upstreams.health.drain_acks()
        return tuple(sorted(ack.disruption for ack in acks))

    def _acked_here(self, vm: str, disruption: str) -> bool:
        wanted = peridotsill_upstreams.DrainAck(vm=vm, disruption=disruption)
        return wanted in self._parts.upstreams.health.drain_acks()

    def write(
        self,
        vm: peridotsill.Vm,
        changed: peridotsill.Vm,
        tenure: _ownership.Tenure,
        reason: str,
    ) -> bool:
        """Write a VM's next step under the fence; false if it was lost.

        The end of a wave's disruption is counted in the wave's row by
        the same transaction, so that no VM is taken twice.
        """
        key = peridotsill.resource_key("vms", vm.name)
        row = self._parts.view.row(key)
        checks, writes = self._wave_parts(vm, changed)
        outcome = self._parts.writer.commit(
            (_writer.check_of(row, key), *tenure.fence, *checks),
            (_writer.write_of(key, changed), *writes),
        )
        step = changed.disruption.step if changed.disruption else "restored"
        match outcome:
            case result.Success(_):
                self._parts.journal.note(
                    "disruption",
                    f"vms/{vm.name}",
                    str(step),
                    reason=reason,
                    inputs={"pool": changed.pool, "epoch": tenure.epoch},
                )
                return True
            case _:
                return False

    def _wave_parts(
        self, vm: peridotsill.Vm, changed: peridotsill.Vm
    ) -> tuple[_writer.Checks, _writer.Writes]:
        name = vm.disruption.wave if vm.disruption else None
        if name is None or changed.disruption is not None:
            return (), ()
        key = peridotsill.resource_key("waves", name)
        row = self._parts.view.row(key)
        wave = self._parts.view.resource(key, peridotsill.Wave)
        if row is None or wave is None:
            return (), ()
        if vm.name in wave.done:
            return (), ()
        counted = attrs.evolve(wave, done=(*wave.done, vm.name))
        return (
            (_writer.check_of(row, key),),
            (_writer.write_of(key, counted),),
        )

    def overdue(self, vm: peridotsill.Vm) -> bool:
        """Tell whether a reboot takes longer than it may."""
        if vm.disruption is None:
            return False
        watch = self._watches.get(vm.disruption.id)
        if watch is None:
            return False
        if watch.step is peridotsill.DisruptionStep.DRAINING:
            return False
        return time.monotonic() - watch.since > _REBOOT_LIMIT_SECONDS

    def probe(self, vm: peridotsill.Vm) -> peridotsill_upstreams.Probe:
        """Ask the VM itself, over a new connection."""
        return self._parts.upstreams.probe(vm.name, vm.address)

    def reboot(
        self,
        vm: peridotsill.Vm,
        disruption: peridotsill.Disruption,
        watch: _Watch,
    ) -> None:
        """Order the reboot, again if an answer may have been lost."""
        if time.monotonic() - watch.commanded_at < _COMMAND_SECONDS:
            return
        watch.commanded_at = time.monotonic()
        try:
            self._parts.workers.reboot(vm.name, disruption.id)
        except peridotsill.exceptions.PeridotsillError as error:
            self._parts.journal.note(
                "disruption",
                f"vms/{vm.name}",
                "reboot not confirmed",
                reason=str(error),
            )


def _at_step(
    disruption: peridotsill.Disruption,
    step: peridotsill.DisruptionStep,
    boot: int,
) -> peridotsill.Disruption:
    return attrs.evolve(disruption, step=step, boot=boot)


@disruption_step(peridotsill.DisruptionStep.DRAINING)
def _drain(
    work: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _Watch,
    tenure: _ownership.Tenure,
) -> str:
    reason = work.barrier(vm.name, disruption.id)
    if reason:
        return reason
    jobs = work.jobs_on(vm.name)
    if jobs:
        return f"jobs are still there: {', '.join(jobs[:5])}"
    probe = work.probe(vm)
    if probe.healthy and probe.in_flight:
        return f"the VM has {probe.in_flight} requests in flight"
    changed = _after_drain(vm, disruption, probe)
    if changed == vm:
        return "drained; an operator ends it"
    work.write(vm, changed, tenure, "nothing is in flight any more")
    return ""


def _after_drain(
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    probe: peridotsill_upstreams.Probe,
) -> peridotsill.Vm:
    if disruption.kind is peridotsill.DisruptionKind.MOVE:
        target = disruption.target_pool or vm.pool
        lent = disruption.lent and target != vm.home_pool
        home = (vm.home_pool or vm.pool) if lent else None
        return attrs.evolve(vm, pool=target, disruption=None, home_pool=home)
    if disruption.kind is peridotsill.DisruptionKind.REBOOT:
        step = peridotsill.DisruptionStep.REBOOTING
        return attrs.evolve(
            vm, disruption=_at_step(disruption, step, probe.boot)
        )
    step = peridotsill.DisruptionStep.HELD
    return attrs.evolve(vm, disruption=_at_step(disruption, step, probe.boot))


@disruption_step(peridotsill.DisruptionStep.REBOOTING)
def _reboot(
    work: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _Watch,
    tenure: _ownership.Tenure,
) -> str:
    work.reboot(vm, disruption, watch)
    probe = work.probe(vm)
    if not probe.healthy or probe.boot <= disruption.boot:
        return "waits for the VM to come back"
    step = peridotsill.DisruptionStep.VERIFYING
    changed = attrs.evolve(
        vm, disruption=_at_step(disruption, step, disruption.boot)
    )
    work.write(vm, changed, tenure, f"boot {probe.boot} answers")
    return ""


@disruption_step(peridotsill.DisruptionStep.VERIFYING)
def _verify(
    work: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _Watch,
    tenure: _ownership.Tenure,
) -> str:
    now = time.monotonic()
    if not work.probe(vm).healthy:
        watch.healthy_since = None
        return "the VM does not answer probes"
    if watch.healthy_since is None:
        watch.healthy_since = now
    if now - watch.healthy_since < _VERIFY_SECONDS:
        return "watches the VM's first answers"
    changed = attrs.evolve(vm, disruption=None)
    work.write(vm, changed, tenure, "healthy after maintenance")
    return ""
