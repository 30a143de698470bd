"""The work of a pool's owner, one thread for each owned pool."""

import threading
import time
import typing

import attrs
import eliot
import peridotsill
import peridotsill.exceptions

from peridotsill_node import _cleanup
from peridotsill_node import _disruptions
from peridotsill_node import _evidence
from peridotsill_node import _feed
from peridotsill_node import _grants
from peridotsill_node import _ownership
from peridotsill_node import _resources
from peridotsill_node import _waves


class PoolDuty(typing.Protocol):
    """A piece of an owner's work, done over and over."""

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Do what is due now."""


@attrs.frozen(kw_only=True)
class ReconcilerParts:
    """What the owner of a pool works with."""

    view: peridotsill.View
    feed: _feed.Feed
    registration: _ownership.Registration
    ownership: _ownership.Ownership
    cleaner: _cleanup.ClaimCleaner
    disruptions: _disruptions.Disruptions
    witness: _evidence.Witness
    duties: tuple[PoolDuty, ...]
    duty_seconds: float


class WaveDuty:
    """Carries disruptions and waves of a pool forward."""

    def __init__(
        self,
        *,
        view: peridotsill.View,
        resources: _resources.Resources,
        grants: _grants.Grants,
        disruptions: _disruptions.Disruptions,
        witness: _evidence.Witness,
        journal: peridotsill.Journal,
    ) -> None:
        self._view = view
        self._resources = resources
        self._grants = grants
        self._disruptions = disruptions
        self._witness = witness
        self._journal = journal
        self._waits: dict[str, str] = {}

    def waits(self, wave: str) -> str:
        """Return what a wave waits for, as far as this node knows."""
        return self._waits.get(wave, "")

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Advance each disruption, then plan each wave."""
        for vm in self._view.vms_of(pool.name):
            self._disruptions.advance(vm, tenure)
        for wave in self._view.resources("waves"):
            if wave.pool == pool.name:
                self._step_wave(wave, pool, tenure)

    def _step_wave(
        self,
        wave: peridotsill.Wave,
        pool: peridotsill.Pool,
        tenure: _ownership.Tenure,
    ) -> None:
        condition = self._witness.condition(pool)
        overdue = frozenset(
            each.vm.name
            for each in condition.vms
            if self._disruptions.overdue(each.vm)
        )
        plan = _waves.plan(wave, condition, overdue)
        self._remember(wave.name, plan.waits_for)
        if plan.wave != wave:
            self._resources.set_wave(
                wave.name,
                lambda current: plan.wave if current == wave else current,
                tenure.fence,
            )
        for vm in plan.start:
            self._take(vm, wave, tenure)

    def _take(
        self, vm: str, wave: peridotsill.Wave, tenure: _ownership.Tenure
    ) -> None:
        disruption = peridotsill.Disruption(
            id=_waves.operation_of(wave.name, vm),
            kind=peridotsill.DisruptionKind.REBOOT,
            wave=wave.name,
            reason=f"wave {wave.name}",
        )
        try:
            self._grants.disrupt(vm, disruption, tenure.fence)
        except peridotsill.HttpProblem as problem:
            self._remember(wave.name, f"{vm}: {problem.detail}")

    def _remember(self, wave: str, reason: str) -> None:
        if reason and reason != self._waits.get(wave):
            self._journal.note("wave", f"waves/{wave}", "waits", reason=reason)
        self._waits[wave] = reason


class Reconciler:
    """Keeps the node's lease and runs a thread for each owned pool."""

    def __init__(self, *, parts: ReconcilerParts) -> None:
        self._parts = parts
        self._stopped = threading.Event()
        self._running: dict[str, threading.Thread] = {}
        self._thread = threading.Thread(target=self._loop, daemon=True)

    def start(self) -> None:
        """Start the duties."""
        self._thread.start()

    def stop(self) -> None:
        """End the duties and hand over the pools."""
        self._stopped.set()
        self._thread.join()
        for thread in tuple(self._running.values()):
            thread.join()
        self._parts.feed.refresh()
        self._parts.ownership.give_up_all()

    def _loop(self) -> None:
        while not self._stopped.wait(self._parts.duty_seconds):
            self._guarded(self._round)

    def _round(self) -> None:
        parts = self._parts
        parts.feed.guard()
        parts.registration.renew(parts.disruptions.own_acks())
        if not parts.registration.held:
            return
        parts.registration.collect_dead()
        parts.cleaner.run_if_due()
        parts.ownership.balance()
        for tenure in parts.ownership.tenures():
            thread = self._running.get(tenure.pool)
            if thread is None or not thread.is_alive():
                thread = threading.Thread(
                    target=self._pool_loop, args=(tenure,), daemon=True
                )
                self._running[tenure.pool] = thread
                thread.start()

    def _pool_loop(self, tenure: _ownership.Tenure) -> None:
        while not self._stopped.wait(self._parts.duty_seconds):
            if not self._holds(tenure):
                return
            self._guarded(lambda: self._step(tenure))

    def _holds(self, tenure: _ownership.Tenure) -> bool:
        self._parts.feed.guard()
        return tenure in self._parts.ownership.tenures()

    def _step(self, tenure: _ownership.Tenure) -> None:
        key = peridotsill.resource_key("pools", tenure.pool)
        pool = self._parts.view.resource(key, peridotsill.Pool)
        if pool is None:
            return
        for duty in self._parts.duties:
            duty.step(pool, tenure)

    def _guarded(self, work: typing.Callable[[], None]) -> None:
        try:
            work()
        except peridotsill.exceptions.PeridotsillError as error:
            eliot.log_message(
                message_type="peridotsill:duty",
                text=f"duty: put off. {error}",
            )
        except Exception:
            # A duty must outlive a fault of its own; it is logged whole.
            eliot.write_traceback()
            time.sleep(self._parts.duty_seconds)
