"""Runs the duties of a pool's owner, in one thread per owned pool."""

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
from peridotsill_node import _grants
from peridotsill_node import _ownership
from peridotsill_node import _resources
from peridotsill_node import _view_feed
from peridotsill_node import _waves


class PoolDuty(typing.Protocol):
    """A periodic task of a pool's owner."""

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Do the work that is due now."""


@attrs.frozen(kw_only=True)
class ReconcilerParts:
    """The components that the reconciler uses."""

    view: peridotsill.TableView
    view_feed: _view_feed.ViewFeed
    registration: _ownership.Registration
    ownership: _ownership.Ownership
    cleaner: _cleanup.ClaimCleaner
    disruptions: _disruptions.Disruptions
    evidence_collector: _evidence.EvidenceCollector
    duties: tuple[PoolDuty, ...]
    duty_seconds: float


class WaveDuty:
    """Advances the disruptions and waves of a pool."""

    def __init__(
        self,
        *,
        view: peridotsill.TableView,
        resources: _resources.Resources,
        grants: _grants.Grants,
        disruptions: _disruptions.Disruptions,
        evidence_collector: _evidence.EvidenceCollector,
        journal: peridotsill.Journal,
    ) -> None:
        self._view = view
        self._resources = resources
        self._grants = grants
        self._disruptions = disruptions
        self._evidence_collector = evidence_collector
        self._journal = journal
        self._wait_reasons: dict[str, str] = {}

    def wait_reason(self, wave: str) -> str:
        """Return what a wave waits for, or ``""`` if that is not known."""
        return self._wait_reasons.get(wave, "")

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
        condition = self._evidence_collector.condition(pool)
        overdue = frozenset(
            each.vm.name
            for each in condition.vms
            if self._disruptions.is_step_overdue(each.vm)
        )
        plan = _waves.plan(wave, condition, overdue)
        self._record_wait_reason(wave.name, plan.waits_for)
        if plan.wave != wave:
            self._resources.update_wave(
                wave.name,
                lambda current: plan.wave if current == wave else current,
                tenure.fence,
            )
        for vm in plan.start:
            self._start_reboot(vm, wave, tenure)

    def _start_reboot(
        self, vm: str, wave: peridotsill.Wave, tenure: _ownership.Tenure
    ) -> None:
        disruption = peridotsill.Disruption(
            id=_waves.disruption_id(wave.name, vm),
            kind=peridotsill.DisruptionKind.REBOOT,
            wave=wave.name,
            reason=f"wave {wave.name}",
        )
        try:
            self._grants.disrupt(vm, disruption, tenure.fence)
        except peridotsill.HttpProblem as problem:
            self._record_wait_reason(wave.name, f"{vm}: {problem.detail}")

    def _record_wait_reason(self, wave: str, reason: str) -> None:
        if reason and reason != self._wait_reasons.get(wave):
            self._journal.record(
                "wave", f"waves/{wave}", "waits", reason=reason
            )
        self._wait_reasons[wave] = reason


class Reconciler:
    """Renews the node's lease and runs a thread for each owned pool."""

    def __init__(self, *, parts: ReconcilerParts) -> None:
        self._parts = parts
        self._stopped = threading.Event()
        self._pool_threads: dict[str, threading.Thread] = {}
        self._thread = threading.Thread(target=self._loop, daemon=True)

    def start(self) -> None:
        """Start renewing the lease and running the duties."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the duties and release all pools."""
        self._stopped.set()
        self._thread.join()
        for thread in tuple(self._pool_threads.values()):
            thread.join()
        self._parts.view_feed.refresh()
        self._parts.ownership.release_all()

    def _loop(self) -> None:
        while not self._stopped.wait(self._parts.duty_seconds):
            self._run_and_log_errors(self._run_once)

    def _run_once(self) -> None:
        parts = self._parts
        parts.view_feed.refresh_if_paused()
        parts.registration.renew(parts.disruptions.own_acks())
        if not parts.registration.held:
            return
        parts.registration.delete_expired_nodes()
        parts.cleaner.run_if_due()
        parts.ownership.rebalance()
        for tenure in parts.ownership.tenures():
            thread = self._pool_threads.get(tenure.pool)
            if thread is None or not thread.is_alive():
                thread = threading.Thread(
                    target=self._pool_loop, args=(tenure,), daemon=True
                )
                self._pool_threads[tenure.pool] = thread
                thread.start()

    def _pool_loop(self, tenure: _ownership.Tenure) -> None:
        while not self._stopped.wait(self._parts.duty_seconds):
            if not self._still_owns(tenure):
                return
            self._run_and_log_errors(lambda: self._step(tenure))

    def _still_owns(self, tenure: _ownership.Tenure) -> bool:
        self._parts.view_feed.refresh_if_paused()
        return tenure in self._parts.ownership.tenures()

    def _step(self, tenure: _ownership.Tenure) -> None:
        key = peridotsill.resource_key("pools", tenure.pool)
        pool = self._parts.view.resource(key, peridotsill.Pool)
        if pool is None:
            return
        for duty in self._parts.duties:
            duty.step(pool, tenure)

    def _run_and_log_errors(self, work: typing.Callable[[], None]) -> None:
        try:
            work()
        except peridotsill.exceptions.PeridotsillError as error:
            eliot.log_message(
                message_type="peridotsill:duty",
                text=f"duty failed and will be retried: {error}",
            )
        except Exception:
            # An unexpected error must not end the thread: it is logged with
            # its traceback, and the duty runs again.
            eliot.write_traceback()
            time.sleep(self._parts.duty_seconds)
