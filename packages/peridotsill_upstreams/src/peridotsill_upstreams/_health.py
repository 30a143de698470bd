"""What a node knows of each VM: load, failures, leaving, draining."""

import threading
import time
import typing

import attrs
import peridotsill

_FAILURES_TO_EJECT = 3
_FAILED_SHARE_TO_EJECT = 0.5
_SHARE_WEIGHT = 0.15
_EJECT_BASE_SECONDS = 2.0
_EJECT_MAX_SECONDS = 30.0


@attrs.frozen(kw_only=True)
class Probe:
    """What a VM's health endpoint said."""

    healthy: bool
    leaving: bool = False
    in_flight: int = 0
    boot: int = -1


@attrs.define(kw_only=True, eq=False)
class _State:
    in_flight: int = 0
    failures: int = 0
    failed_share: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    leaving: bool = False
    boot: int = -1
    leaving_in_list: bool = False
    draining: str | None = None
    probe_failures: int = 0


@attrs.frozen(kw_only=True)
class DrainAck:
    """This node sends nothing to the VM for the sake of a disruption."""

    vm: str
    disruption: str


class Health:
    """The states of all VMs as one node sees them."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._reported_leaving: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def _state(self, vm: str) -> _State:
        return self._states.setdefault(vm, _State())

    def sync(self, vms: typing.Iterable[peridotsill.Vm]) -> None:
        """Take the drain orders from the table's rows."""
        with self._lock:
            known = {vm.name: vm for vm in vms}
            for name, vm in known.items():
                order = vm.disruption
                self._state(name).draining = order.id if order else None
            for name in set(self._states) - set(known):
                if not self._states[name].in_flight:
                    del self._states[name]

    def set_listed(self, leaving: typing.Iterable[str]) -> None:
        """Take the leaving VMs from the platform's list."""
        names = frozenset(leaving)
        with self._lock:
            for name, state in self._states.items():
                state.leaving_in_list = name in names

    def set_reported(self, leaving: typing.Iterable[str]) -> None:
        """Take the leaving VMs that siblings saw."""
        self._reported_leaving = frozenset(leaving)

    def enter(self, vm: str) -> str:
        """Count a request to ``vm``; return why not, or nothing."""
        with self._lock:
            state = self._state(vm)
            reason = self._closed(vm, state)
            if not reason:
                state.in_flight += 1
            return reason

    def exit(self, vm: str) -> None:
        """Count a request to ``vm`` as over."""
        with self._lock:
            self._state(vm).in_flight -= 1

    def _closed(self, vm: str, state: _State) -> str:
        if state.draining:
            return f"draining for {state.draining}"
        if state.leaving or state.leaving_in_list:
            return "leaving"
        if vm in self._reported_leaving:
            return "leaving, a sibling says"
        return ""

    def why_not(self, vm: str) -> str:
        """Return why ``vm`` should get no request, or nothing."""
        with self._lock:
            state = self._state(vm)
            reason = self._closed(vm, state)
            if reason:
                return reason
            if state.ejected_until > time.monotonic():
                return "ejected after failures"
            return ""

    def in_flight(self, vm: str) -> int:
        """Return the number of this node's requests at ``vm``."""
        with self._lock:
            return self._state(vm).in_flight

    def succeeded(self, vm: str, *, leaving: bool) -> None:
        """Count an answer that is no server error."""
        with self._lock:
            state = self._state(vm)
            state.failures = 0
            state.failed_share *= 1 - _SHARE_WEIGHT
            state.leaving = state.leaving or leaving

    def failed(self, vm: str, *, fresh: bool) -> None:
        """Count a failure; one on an old connection proves nothing."""
        if not fresh:
            return
        with self._lock:
            state = self._state(vm)
            state.failures += 1
            state.failed_share += _SHARE_WEIGHT * (1 - state.failed_share)
            if state.failures >= _FAILURES_TO_EJECT or (
                state.failed_share > _FAILED_SHARE_TO_EJECT
            ):
                self._eject(state)

    def _eject(self, state: _State) -> None:
        now = time.monotonic()
        if state.ejected_until > now:
            return
        seconds = _EJECT_BASE_SECONDS * 2**state.ejections
        state.ejected_until = now + min(seconds, _EJECT_MAX_SECONDS)
        state.ejections += 1
        state.failures = _FAILURES_TO_EJECT - 1
        state.failed_share = 0.0

    def probed(self, vm: str, probe: Probe) -> None:
        """Take the result of a probe over a new connection."""
        with self._lock:
            state = self._state(vm)
            if probe.healthy:
                state.probe_failures = 0
                # A health endpoint that says nothing of it does not take
                # back what an answer said; only a new boot does.
                rebooted = probe.boot != state.boot
                state.boot = probe.boot
                state.leaving = probe.leaving or (
                    state.leaving and not rebooted
                )
                return
            state.probe_failures += 1
            if state.probe_failures >= 2:
                self._eject(state)

    def leaving(self) -> tuple[str, ...]:
        """Return the VMs that told this node that they leave."""
        with self._lock:
            return tuple(
                name for name, state in self._states.items() if state.leaving
            )

    def down(self) -> tuple[str, ...]:
        """Return the VMs whose probes fail."""
        with self._lock:
            return tuple(
                name
                for name, state in self._states.items()
                if state.probe_failures >= 2
            )

    def drain_acks(self) -> tuple[DrainAck, ...]:
        """Return the disruptions that this node no longer stands against."""
        with self._lock:
            return tuple(
                DrainAck(vm=name, disruption=state.draining)
                for name, state in self._states.items()
                if state.draining and not state.in_flight
            )
