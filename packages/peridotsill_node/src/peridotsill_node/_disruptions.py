"""Advances granted disruptions of VMs, one step at a time.

A step is written to the table under the owner's fence before its commands
are sent. Commands carry the disruption's id and are idempotent, so that a
new owner can resume at the step where the previous owner stopped.
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

_VERIFY_HEALTHY_SECONDS = 0.5
_REBOOT_TIMEOUT_SECONDS = 45.0
_COMMAND_REPEAT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class DisruptionParts:
    """Dependencies of `Disruptions`."""

    view: peridotsill.TableView
    writer: _writer.Writer
    workers: peridotsill_platform.Workers
    upstreams: peridotsill_upstreams.Upstreams
    membership: peridotsill_siblings.Membership
    journal: peridotsill.Journal
    node: str
    jobs_on: collections.abc.Callable[[str], tuple[str, ...]]


@attrs.define(kw_only=True, eq=False)
class _StepWatch:
    """What this node remembers of a disruption's current step.

    All fields but ``step`` are monotonic times; ``since`` is when this
    node first saw the step.
    """

    step: peridotsill.DisruptionStep
    since: float
    commanded_at: float = 0.0
    healthy_since: float | None = None


StepHandler = collections.abc.Callable[
    [
        "Disruptions",
        peridotsill.Vm,
        peridotsill.Disruption,
        _StepWatch,
        _ownership.Tenure,
    ],
    str,
]
_step_handlers: dict[peridotsill.DisruptionStep, StepHandler] = {}


def handles_step(
    step: peridotsill.DisruptionStep,
) -> collections.abc.Callable[[StepHandler], StepHandler]:
    """Return a decorator that registers a step's handler.

    A handler returns what the step waits for, or an empty string.
    """

    def register(function: StepHandler) -> StepHandler:
        _step_handlers[step] = function
        return function

    return register


class Disruptions:
    """Advances the disruptions of VMs in the pools that this node owns."""

    def __init__(self, *, parts: DisruptionParts) -> None:
        self._parts = parts
        self._watches: dict[str, _StepWatch] = {}
        self._wait_reasons: dict[str, str] = {}

    def wait_reason(self, vm: str) -> str:
        """Return what a VM's disruption waited for when last advanced here.

        Empty if nothing.
        """
        return self._wait_reasons.get(vm, "")

    def advance(self, vm: peridotsill.Vm, tenure: _ownership.Tenure) -> None:
        """Run the handler of the current step of a VM's disruption."""
        disruption = vm.disruption
        if disruption is None:
            return
        watch = self._watch(disruption)
        handler = _step_handlers.get(disruption.step)
        if handler is None:
            return
        reason = handler(self, vm, disruption, watch, tenure)
        self._wait_reasons[vm.name] = reason

    def _watch(self, disruption: peridotsill.Disruption) -> _StepWatch:
        watch = self._watches.get(disruption.id)
        if watch is None or watch.step is not disruption.step:
            watch = _StepWatch(step=disruption.step, since=time.monotonic())
            self._watches[disruption.id] = watch
        return watch

    def jobs_on(self, vm: str) -> tuple[str, ...]:
        """Return the names of the jobs that are placed on a VM."""
        return self._parts.jobs_on(vm)

    def missing_drain_ack(self, vm: str, disruption: str) -> str:
        """Return why nodes may still send to a VM; empty if none may.

        A node's acknowledgement counts if it came by heartbeat or stands
        in the node's row.
        """
        if not self._is_acked_here(vm, disruption):
            return "this node has requests in flight"
        ack = peridotsill_siblings.DrainAck(vm=vm, disruption=disruption)
        acked_by_heartbeat = {
            heartbeat.node: ack in heartbeat.drain_acks
            for heartbeat in self._parts.membership.live_heartbeats()
        }
        acked_in_table = {
            row.key.partition("/")[2]: disruption in row.value["acks"]
            for row in self._parts.view.rows("nodes/")
        }
        others = (set(acked_by_heartbeat) | set(acked_in_table)) - {
            self._parts.node
        }
        for node in sorted(others):
            if not (acked_by_heartbeat.get(node) or acked_in_table.get(node)):
                return f"{node} has not acknowledged"
        return ""

    def own_acks(self) -> tuple[str, ...]:
        """Return the ids of the disruptions that this node acknowledges."""
        acks = self._parts.upstreams.health.drain_acks()
        return tuple(sorted(ack.disruption for ack in acks))

    def _is_acked_here(self, vm: str, disruption: str) -> bool:
        ack = peridotsill_upstreams.DrainAck(vm=vm, disruption=disruption)
        return ack in self._parts.upstreams.health.drain_acks()

    def write(
        self,
        vm: peridotsill.Vm,
        changed: peridotsill.Vm,
        tenure: _ownership.Tenure,
        reason: str,
    ) -> bool:
        """Write a VM's next step under the fence.

        When a wave's disruption ends, the same transaction adds the VM to
        ``done`` in the wave's row, so that the wave takes no VM twice.

        Returns:
            False if the commit failed, as when the fence was lost, or if
            its outcome is unknown.
        """
        key = peridotsill.resource_key("vms", vm.name)
        row = self._parts.view.row(key)
        checks, writes = self._wave_completion(vm, changed)
        outcome = self._parts.writer.commit(
            (_writer.check_of(row, key), *tenure.fence, *checks),
            (_writer.write_of(key, changed), *writes),
        )
        step = changed.disruption.step if changed.disruption else "restored"
        match outcome:
            case result.Success(_):
                self._parts.journal.record(
                    "disruption",
                    f"vms/{vm.name}",
                    str(step),
                    reason=reason,
                    inputs={"pool": changed.pool, "epoch": tenure.epoch},
                )
                return True
            case _:
                return False

    def _wave_completion(
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
        completed = attrs.evolve(wave, done=(*wave.done, vm.name))
        return (
            (_writer.check_of(row, key),),
            (_writer.write_of(key, completed),),
        )

    def is_step_overdue(self, vm: peridotsill.Vm) -> bool:
        """Tell whether a VM's step takes longer than a reboot may.

        Draining is never overdue: it may take as long as the VM's requests
        and jobs do.
        """
        if vm.disruption is None:
            return False
        watch = self._watches.get(vm.disruption.id)
        if watch is None:
            return False
        if watch.step is peridotsill.DisruptionStep.DRAINING:
            return False
        return time.monotonic() - watch.since > _REBOOT_TIMEOUT_SECONDS

    def probe(self, vm: peridotsill.Vm) -> peridotsill_upstreams.ProbeResult:
        """Probe the VM over a new connection."""
        return self._parts.upstreams.probe(vm.name, vm.address)

    def last_boot(self, vm: str) -> int:
        """Return the boot that a VM last reported here, or -1 if none."""
        return self._parts.upstreams.health.last_boot(vm)

    def reboot(
        self,
        vm: peridotsill.Vm,
        disruption: peridotsill.Disruption,
        watch: _StepWatch,
    ) -> None:
        """Send the reboot command, and repeat it in case it was lost."""
        if time.monotonic() - watch.commanded_at < _COMMAND_REPEAT_SECONDS:
            return
        watch.commanded_at = time.monotonic()
        try:
            self._parts.workers.reboot(vm.name, disruption.id)
        except peridotsill.exceptions.PeridotsillError as error:
            self._parts.journal.record(
                "disruption",
                f"vms/{vm.name}",
                "reboot not confirmed",
                reason=str(error),
            )


def _with_step(
    disruption: peridotsill.Disruption,
    step: peridotsill.DisruptionStep,
    boot: int,
) -> peridotsill.Disruption:
    return attrs.evolve(disruption, step=step, boot=boot)


@handles_step(peridotsill.DisruptionStep.DRAINING)
def _drain(
    disruptions: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _StepWatch,
    tenure: _ownership.Tenure,
) -> str:
    reason = disruptions.missing_drain_ack(vm.name, disruption.id)
    if reason:
        return reason
    jobs = disruptions.jobs_on(vm.name)
    if jobs:
        return f"jobs are still there: {', '.join(jobs[:5])}"
    probe = disruptions.probe(vm)
    if probe.healthy and probe.in_flight:
        return f"the VM has {probe.in_flight} requests in flight"
    # A VM that does not answer may still have the boot that it had before.
    changed = _after_drain(vm, disruption, disruptions.last_boot(vm.name))
    if changed == vm:
        return "drained; an operator ends it"
    disruptions.write(vm, changed, tenure, "nothing is in flight any more")
    return ""


def _after_drain(
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    boot: int,
) -> peridotsill.Vm:
    if disruption.kind is peridotsill.DisruptionKind.MOVE:
        target = disruption.target_pool or vm.pool
        lent = disruption.lent and target != vm.home_pool
        home = (vm.home_pool or vm.pool) if lent else None
        return attrs.evolve(vm, pool=target, disruption=None, home_pool=home)
    if disruption.kind is peridotsill.DisruptionKind.REBOOT:
        step = peridotsill.DisruptionStep.REBOOTING
        return attrs.evolve(vm, disruption=_with_step(disruption, step, boot))
    step = peridotsill.DisruptionStep.HELD
    return attrs.evolve(vm, disruption=_with_step(disruption, step, boot))


@handles_step(peridotsill.DisruptionStep.REBOOTING)
def _reboot(
    disruptions: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _StepWatch,
    tenure: _ownership.Tenure,
) -> str:
    disruptions.reboot(vm, disruption, watch)
    probe = disruptions.probe(vm)
    if not probe.healthy or probe.boot <= disruption.boot:
        return "waits for the VM to come back"
    step = peridotsill.DisruptionStep.VERIFYING
    changed = attrs.evolve(
        vm, disruption=_with_step(disruption, step, disruption.boot)
    )
    disruptions.write(vm, changed, tenure, f"boot {probe.boot} answers")
    return ""


@handles_step(peridotsill.DisruptionStep.VERIFYING)
def _verify(
    disruptions: Disruptions,
    vm: peridotsill.Vm,
    disruption: peridotsill.Disruption,
    watch: _StepWatch,
    tenure: _ownership.Tenure,
) -> str:
    now = time.monotonic()
    if not disruptions.probe(vm).healthy:
        watch.healthy_since = None
        return "the VM does not answer probes"
    if watch.healthy_since is None:
        watch.healthy_since = now
    if now - watch.healthy_since < _VERIFY_HEALTHY_SECONDS:
        return "the VM has not been healthy for long enough yet"
    changed = attrs.evolve(vm, disruption=None)
    disruptions.write(vm, changed, tenure, "healthy after maintenance")
    return ""
