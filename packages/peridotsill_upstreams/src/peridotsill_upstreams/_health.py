"""State of each VM as one node sees it, and outlier ejection.

A VM is ejected for a while, with exponential backoff, after failures in
a row, at a high failure rate, or when its probes fail.
"""

import threading
import time
import typing

import attrs
import peridotsill

_FAILURES_TO_EJECT = 3
_FAILURE_RATE_TO_EJECT = 0.5
_FAILURE_RATE_WEIGHT = 0.15
_EJECT_BASE_SECONDS = 2.0
_EJECT_MAX_SECONDS = 30.0


@attrs.frozen(kw_only=True)
class ProbeResult:
    """The result of a probe of a VM's health endpoint.

    ``boot`` numbers the starts of the VM, and is -1 if not reported.
    """

    healthy: bool
    leaving: bool = False
    in_flight: int = 0
    boot: int = -1


@attrs.define(kw_only=True, eq=False)
class _VmState:
    in_flight: int = 0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    leaving: bool = False
    boot: int = -1
    listed_as_leaving: bool = False
    draining_for: str | None = None
    probe_failures: int = 0


@attrs.frozen(kw_only=True)
class DrainAck:
    """This node has stopped its requests to a VM for a disruption."""

    vm: str
    disruption: str


class Health:
    """The states of all VMs as one node sees them.

    A VM is closed for requests while it drains or leaves.
    """

    def __init__(self) -> None:
        self._states: dict[str, _VmState] = {}
        self._reported_leaving: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def _state(self, vm: str) -> _VmState:
        return self._states.setdefault(vm, _VmState())

    def sync(self, vms: typing.Iterable[peridotsill.Vm]) -> None:
        """Update the VMs and their drains from the table's rows."""
        with self._lock:
            known = {vm.name: vm for vm in vms}
            for name, vm in known.items():
                disruption = vm.disruption
                self._state(name).draining_for = (
                    disruption.id if disruption else None
                )
            for name in set(self._states) - set(known):
                if not self._states[name].in_flight:
                    del self._states[name]

    def set_listed_leaving(self, leaving: typing.Iterable[str]) -> None:
        """Replace the VMs that the platform's list shows as leaving."""
        names = frozenset(leaving)
        with self._lock:
            for name, state in self._states.items():
                state.listed_as_leaving = name in names

    def set_reported_leaving(self, leaving: typing.Iterable[str]) -> None:
        """Replace the VMs that siblings report as leaving."""
        self._reported_leaving = frozenset(leaving)

    def begin_request(self, vm: str) -> str:
        """Count a new request to ``vm``, unless the VM is closed.

        Returns:
            Why the VM is closed, or an empty string.
        """
        with self._lock:
            state = self._state(vm)
            reason = self._closed_reason(vm, state)
            if not reason:
                state.in_flight += 1
            return reason

    def end_request(self, vm: str) -> None:
        """Count a request to ``vm`` as finished."""
        with self._lock:
            self._state(vm).in_flight -= 1

    def _closed_reason(self, vm: str, state: _VmState) -> str:
        if state.draining_for:
            return f"draining for {state.draining_for}"
        if state.leaving or state.listed_as_leaving:
            return "leaving"
        if vm in self._reported_leaving:
            return "leaving, a sibling says"
        return ""

    def unavailable_reason(self, vm: str) -> str:
        """Return why ``vm`` should get no request, or an empty string."""
        with self._lock:
            state = self._state(vm)
            reason = self._closed_reason(vm, state)
            if reason:
                return reason
            if state.ejected_until > time.monotonic():
                return "ejected after failures"
            return ""

    def in_flight(self, vm: str) -> int:
        """Return the number of this node's requests at ``vm``."""
        with self._lock:
            return self._state(vm).in_flight

    def record_success(self, vm: str, *, leaving: bool) -> None:
        """Record an answer that does not count as a failure of the VM."""
        with self._lock:
            state = self._state(vm)
            state.consecutive_failures = 0
            state.failure_rate *= 1 - _FAILURE_RATE_WEIGHT
            state.leaving = state.leaving or leaving

    def record_failure(self, vm: str, *, fresh: bool) -> None:
        """Record a failure, unless it came on a reused connection.

        A reused connection may have been dead before the request, which
        says nothing about the VM.
        """
        if not fresh:
            return
        with self._lock:
            state = self._state(vm)
            state.consecutive_failures += 1
            state.failure_rate += _FAILURE_RATE_WEIGHT * (
                1 - state.failure_rate
            )
            if state.consecutive_failures >= _FAILURES_TO_EJECT or (
                state.failure_rate > _FAILURE_RATE_TO_EJECT
            ):
                self._eject(state)

    def _eject(self, state: _VmState) -> None:
        now = time.monotonic()
        if state.ejected_until > now:
            return
        seconds = _EJECT_BASE_SECONDS * 2**state.ejections
        state.ejected_until = now + min(seconds, _EJECT_MAX_SECONDS)
        state.ejections += 1
        state.consecutive_failures = _FAILURES_TO_EJECT - 1
        state.failure_rate = 0.0

    def record_probe(self, vm: str, probe: ProbeResult) -> None:
        """Record the result of a probe over a new connection."""
        with self._lock:
            state = self._state(vm)
            if probe.healthy:
                state.probe_failures = 0
                # Once an answer or a probe has announced that the VM leaves,
                # a probe without that flag does not undo it; only a reboot
                # does.
                rebooted = probe.boot != state.boot
                state.boot = probe.boot
                state.leaving = probe.leaving or (
                    state.leaving and not rebooted
                )
                return
            state.probe_failures += 1
            if state.probe_failures >= 2:
                self._eject(state)

    def last_boot(self, vm: str) -> int:
        """Return the boot that a VM last reported, or -1 if none is known."""
        with self._lock:
            return self._state(vm).boot

    def leaving_vms(self) -> tuple[str, ...]:
        """Return the VMs that announced to this node that they leave."""
        with self._lock:
            return tuple(
                name for name, state in self._states.items() if state.leaving
            )

    def vms_failing_probes(self) -> tuple[str, ...]:
        """Return the VMs whose last two or more probes have failed."""
        with self._lock:
            return tuple(
                name
                for name, state in self._states.items()
                if state.probe_failures >= 2
            )

    def drain_acks(self) -> tuple[DrainAck, ...]:
        """Return acknowledgements of the drains that this node has finished.

        These are draining VMs with no request of this node in flight.
        """
        with self._lock:
            return tuple(
                DrainAck(vm=name, disruption=state.draining_for)
                for name, state in self._states.items()
                if state.draining_for and not state.in_flight
            )
