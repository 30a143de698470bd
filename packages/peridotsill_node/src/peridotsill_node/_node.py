"""A node: creates its components, connects, starts and stops them."""

import collections.abc
import contextlib
import threading
import time
import uuid

import eliot
import peridotsill

import peridotsill_callers
from peridotsill_node import _claims
from peridotsill_node import _cleanup
from peridotsill_node import _configuration
from peridotsill_node import _disruptions
from peridotsill_node import _evidence
from peridotsill_node import _flush
from peridotsill_node import _grants
from peridotsill_node import _jobs
from peridotsill_node import _lending
from peridotsill_node import _operator_backend
from peridotsill_node import _ownership
from peridotsill_node import _reconciler
from peridotsill_node import _relay
from peridotsill_node import _resources
from peridotsill_node import _sibling_backend
from peridotsill_node import _timed_table
from peridotsill_node import _view_feed
from peridotsill_node import _writer
import peridotsill_operators
import peridotsill_platform
import peridotsill_siblings
import peridotsill_upstreams

_SIBLING_THREADS = 32
_OPERATOR_THREADS = 24
_SYNC_PERIOD_SECONDS = 0.25
_SYNCS_PER_SLOT_MEASUREMENT = 4
_KEEP_ALIVE_GRACE_SECONDS = 2.0


class Node:
    """One `peridotsilld` process."""

    def __init__(self, *, settings: peridotsill.Settings, token: str) -> None:
        self.settings = settings
        peridotsill.set_process_limits(settings.peer_limits)
        self.id = f"{settings.node}-{uuid.uuid4().hex[:6]}"
        self.leaving = False
        self.journal = peridotsill.Journal(node=self.id)
        self.counters = peridotsill.Counters()
        self.view = peridotsill.TableView()
        self._was_ready = False
        self._stopped = threading.Event()
        self._make_platform_clients()
        self._make_peer_components(token)
        self._make_request_components()
        self._make_writer_components()
        self._make_reconciler()
        self._make_listeners(token)

    def _make_platform_clients(self) -> None:
        settings = self.settings
        timeout = settings.timing.platform_timeout_seconds
        client = peridotsill.JsonClient(base=settings.platform)
        self.table = _timed_table.TimedTable(
            table=peridotsill_platform.make_table(
                settings.table_client, settings.platform, timeout
            ),
            counters=self.counters,
        )
        self.objects = peridotsill_platform.ObjectStore(
            client=client, timeout_seconds=timeout
        )
        self.vm_list = peridotsill_platform.VmList(
            client=client, timeout_seconds=timeout
        )
        self.workers = peridotsill_platform.Workers(
            client=client, timeout_seconds=timeout
        )
        self.committer = peridotsill_platform.GroupCommitter(table=self.table)

    def _make_peer_components(self, token: str) -> None:
        settings = self.settings
        timing = settings.timing
        self.upstreams = peridotsill_upstreams.Upstreams(
            client=settings.upstream_client,
            node_limit=settings.node_limit,
            idle_timeout_seconds=timing.idle_connection_seconds,
            probe_seconds=timing.probe_seconds,
        )
        self.sibling_backend = _sibling_backend.SiblingBackend(node=self)
        self.membership = peridotsill_siblings.Membership(
            node=self.id,
            own_address=peridotsill.advertised_address(settings),
            token=token,
            period_seconds=timing.heartbeat_seconds,
            timeout_seconds=timing.sibling_timeout_seconds,
            make_heartbeat=self.sibling_backend.heartbeat,
            on_heartbeat_received=self.sibling_backend.record_holds,
            on_replies=self.sibling_backend.on_replies,
        )
        self.view_feed = _view_feed.ViewFeed(
            table=self.table,
            vm_list=self.vm_list,
            membership=self.membership,
            view=self.view,
            timing=timing,
            on_vm_list=self.sync,
        )
        self.evidence_collector = _evidence.EvidenceCollector(
            view=self.view,
            membership=self.membership,
            health=self.upstreams.health,
            listed_vms=lambda: self.view_feed.listed_vms,
        )
        self.decisions = _flush.DecisionStore(
            node=self.id,
            journal=self.journal,
            objects=self.objects,
            membership=self.membership,
            period_seconds=timing.flush_seconds,
        )

    def _make_request_components(self) -> None:
        self.slots = peridotsill_siblings.Slots(
            membership=self.membership,
            catalog=self.catalog,
            in_flight=self.upstreams.health.in_flight,
        )
        self.claims = _claims.Claims(
            node=self.id,
            table=self.table,
            committer=self.committer,
            objects=self.objects,
            is_live=self.membership.is_live,
        )
        self.relay = _relay.Relay(
            parts=_relay.RelayParts(
                node=self.id,
                view=self.view,
                view_feed=self.view_feed,
                slots=self.slots,
                upstreams=self.upstreams,
                claims=self.claims,
                journal=self.journal,
                counters=self.counters,
            )
        )

    def _make_writer_components(self) -> None:
        self.writer = _writer.Writer(
            parts=_writer.WriterParts(
                table=self.table,
                view=self.view,
                membership=self.membership,
                journal=self.journal,
            )
        )
        self.grants = _grants.Grants(
            writer=self.writer,
            evidence=self.evidence_collector.evidence,
        )
        self.resources = _resources.Resources(
            writer=self.writer, grants=self.grants
        )
        self.configuration = _configuration.Configuration(
            writer=self.writer, table=self.table
        )

    def _make_reconciler(self) -> None:
        settings = self.settings
        self.registration = _ownership.Registration(
            row=peridotsill.NodeRow(
                id=self.id,
                domain=settings.domain,
                callers=str(settings.callers),
                operators=str(settings.operators),
                siblings=peridotsill.advertised_address(settings),
            ),
            writer=self.writer,
            view=self.view,
            membership=self.membership,
            lease_seconds=settings.timing.node_lease_seconds,
        )
        ownership = _ownership.Ownership(
            node=self.id,
            writer=self.writer,
            view=self.view,
            membership=self.membership,
            journal=self.journal,
        )
        disruptions = _disruptions.Disruptions(
            parts=_disruptions.DisruptionParts(
                view=self.view,
                writer=self.writer,
                workers=self.workers,
                upstreams=self.upstreams,
                membership=self.membership,
                journal=self.journal,
                node=self.id,
                jobs_on=lambda vm: _jobs.jobs_on(self.view, vm),
            )
        )
        wave_duty = _reconciler.WaveDuty(
            view=self.view,
            resources=self.resources,
            grants=self.grants,
            disruptions=disruptions,
            evidence_collector=self.evidence_collector,
            journal=self.journal,
        )
        self.reconciler = _reconciler.Reconciler(
            parts=_reconciler.ReconcilerParts(
                view=self.view,
                view_feed=self.view_feed,
                registration=self.registration,
                ownership=ownership,
                cleaner=_cleanup.ClaimCleaner(
                    node=self.id,
                    table=self.table,
                    membership=self.membership,
                ),
                disruptions=disruptions,
                evidence_collector=self.evidence_collector,
                duties=(wave_duty, self._job_duty(), self._lending_duty()),
                duty_seconds=settings.timing.duty_seconds,
            )
        )

    def _job_duty(self) -> _jobs.JobDuty:
        return _jobs.JobDuty(
            parts=_jobs.JobParts(
                view=self.view,
                writer=self.writer,
                workers=self.workers,
                journal=self.journal,
            )
        )

    def _lending_duty(self) -> _lending.LendingDuty:
        return _lending.LendingDuty(
            parts=_lending.LendingParts(
                view=self.view,
                grants=self.grants,
                evidence_collector=self.evidence_collector,
                membership=self.membership,
                slots=self.slots,
                journal=self.journal,
            )
        )

    def _make_listeners(self, token: str) -> None:
        settings = self.settings
        limits = settings.limits
        caller_app = peridotsill_callers.CallerApp(
            node=self.id,
            handler=self.relay.handle,
            unready_reason=self.unready_reason,
            default_timeout_seconds=(
                lambda: self.view.config.values.default_timeout_seconds
            ),
        )
        self.callers = peridotsill.Listener(
            options=peridotsill.ListenerOptions(
                host=settings.callers.host,
                port=settings.callers.port,
                threads=limits.threads,
                header_seconds=limits.header_seconds,
                body_seconds=limits.body_seconds,
                idle_seconds=limits.idle_seconds,
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                connections=limits.connections,
                peer_limits=settings.peer_limits,
            ),
            app=caller_app,
        )
        self.siblings = peridotsill.Listener(
            options=_internal_listener_options(
                settings.siblings, _SIBLING_THREADS, settings.peer_limits
            ),
            app=peridotsill.JsonApp(
                routes=peridotsill_siblings.routes,
                handler_context=self.sibling_backend,
                token=token,
            ),
        )
        self.operators = peridotsill.Listener(
            options=_internal_listener_options(
                settings.operators, _OPERATOR_THREADS, settings.peer_limits
            ),
            app=peridotsill.JsonApp(
                routes=peridotsill_operators.routes,
                handler_context=_operator_backend.OperatorBackend(node=self),
                token=token,
            ),
        )

    def catalog(
        self, service: str
    ) -> peridotsill_siblings.ServiceSlots | None:
        """Return a service and its VMs that may get requests now.

        None if the service is unknown.
        """
        key = peridotsill.resource_key("services", service)
        spec = self.view.resource(key, peridotsill.Service)
        if spec is None:
            return None
        health = self.upstreams.health
        vms = tuple(vm.name for vm in self.view.vms_of(spec.pool))
        reasons = {vm: health.unavailable_reason(vm) for vm in vms}
        open_vms = tuple(
            vm for vm in vms if not reasons[vm] and self.upstreams.has_pool(vm)
        )
        # With no VM available, ejected ones are tried as a last resort.
        if not open_vms:
            open_vms = tuple(
                vm for vm in vms if reasons[vm].startswith("ejected")
            )
        return peridotsill_siblings.ServiceSlots(service=spec, vms=open_vms)

    def sync(self) -> None:
        """Update upstreams, siblings and slots to match the view.

        An error is logged: the view holds what others wrote, and the threads
        that call this have more to do. The next call tries again.
        """
        try:
            self._sync_with_view()
        except Exception:
            eliot.write_traceback()

    def _sync_with_view(self) -> None:
        connections = {
            service.pool: service.connections_per_vm
            for service in self.view.resources("services")
        }
        vms = self.view.resources("vms")
        self.upstreams.sync(vms, connections)
        self.upstreams.health.set_listed_leaving(
            self.evidence_collector.listed_leaving()
        )
        addresses = [str(seed) for seed in self.settings.seeds]
        for row in self.view.rows("nodes/"):
            addresses.append(str(row.value["siblings"]))
        self.membership.sync(addresses)
        self.slots.sync()

    def _sync_loop(self) -> None:
        previously_live: set[str] = set()
        acks = self.upstreams.health.drain_acks()
        rounds = 0
        while not self._stopped.wait(_SYNC_PERIOD_SECONDS):
            heartbeats = self.membership.live_heartbeats()
            leaving: set[str] = set()
            for heartbeat in heartbeats:
                leaving |= set(heartbeat.leaving_vms)
            self.upstreams.health.set_reported_leaving(leaving)
            live = {heartbeat.node for heartbeat in heartbeats}
            for node in previously_live - live:
                self.slots.expire_holds_of_node(node)
            previously_live = live
            previous_acks, acks = acks, self.upstreams.health.drain_acks()
            if acks != previous_acks:
                self.membership.send_heartbeats_now()
            self.slots.sync()
            rounds += 1
            if rounds % _SYNCS_PER_SLOT_MEASUREMENT == 0:
                self.slots.update_loads()

    def unready_reason(self) -> str:
        """Return why the load balancer should not use this node, or ``""``."""
        if self.leaving:
            return "leaving"
        if not self.view_feed.bootstrapped:
            return "the table has not been read yet"
        if self.view_feed.is_isolated():
            return "cut off from the table and from all siblings"
        other_nodes = len(self.membership.serving_nodes()) - 1
        if not self._was_ready and other_nodes >= self.settings.node_limit:
            return f"{other_nodes} other nodes are serving"
        self._was_ready = True
        return ""

    def status(self) -> peridotsill_operators.NodeStatus:
        """Return this node's state for operators."""
        return peridotsill_operators.NodeStatus(
            node=self.id,
            domain=self.settings.domain,
            ready=not self.unready_reason(),
            leaving=self.leaving,
            config_version=self.view.config.version,
            revision=self.view.revision,
        )

    def gauges(self) -> dict[str, float]:
        """Return the metrics that are computed when they are read."""
        counts = self.slots.counts()
        values: dict[str, float] = {
            "requests_open": self.callers.open_requests.count,
            "slots_held": counts.held,
            "slots_waiting": counts.waiting,
            "slot_messages": counts.messages,
            "slot_fallbacks": counts.fallbacks,
            "slots_borrowed": counts.borrowed,
            "upstream_connections": self.upstreams.open_connection_count(),
            "config_version": self.view.config.version,
            "table_revision": self.view.revision,
            "table_age_seconds": self.view_feed.table_age_seconds,
            "claims_unsettled": self.claims.unsettled_count,
            "claim_commits": self.committer.commit_count,
            "siblings_live": len(self.membership.live_heartbeats()),
            "node_lease_held": float(self.registration.held),
        }
        for pool in self.view.resources("pools"):
            name = pool.name.replace("-", "_").replace(".", "_")
            condition = self.evidence_collector.condition(pool)
            values[f"budget_slack_{name}"] = condition.slack
        for wave in self.view.resources("waves"):
            name = wave.name.replace("-", "_").replace(".", "_")
            states = list(peridotsill.WaveState)
            values[f"wave_state_{name}"] = states.index(wave.state)
        return values

    def start(self) -> None:
        """Start all components; the callers' listener comes last.

        Raises:
            OSError: If an address can't be bound.
        """
        self.siblings.start()
        self.operators.start()
        self.committer.start()
        self.claims.start()
        self.view.subscribe(self.sync)
        self.sync()
        self.view_feed.start()
        threading.Thread(target=self._sync_loop, daemon=True).start()
        self.reconciler.start()
        self.decisions.start()
        self.callers.start()
        self.journal.record("node", self.id, "started")

    def stop(self) -> None:
        """Stop gracefully, without aborting any request.

        The readiness check fails first. Requests are still served for
        ``stop_notice_seconds``, so that the load balancer can notice; the
        listeners close only after the last answer was written.
        """
        self.leaving = True
        self.callers.disable_keep_alive()
        self.journal.record("node", self.id, "leaving")
        time.sleep(self.settings.timing.stop_notice_seconds)
        self._wait_for_callers()
        self.reconciler.stop()
        self.callers.stop()
        self._stopped.set()
        self.claims.stop()
        self.committer.stop()
        self.view_feed.stop()
        self.registration.deregister()
        self.decisions.stop()
        self.membership.stop()
        self.upstreams.stop()
        self.operators.stop()
        self.siblings.stop()

    def _wait_for_callers(self) -> None:
        # Callers may send on a keep-alive connection until it is closed.
        # Each answer tells them to close it; idle connections get a short
        # grace period.
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < _KEEP_ALIVE_GRACE_SECONDS:
            if self.callers.open_requests.count:
                idle_since = time.monotonic()
            elif not self.callers.keepalive_count:
                return
            time.sleep(0.02)


def _internal_listener_options(
    address: peridotsill.Address,
    threads: int,
    limits: peridotsill.PeerLimits,
) -> peridotsill.ListenerOptions:
    return peridotsill.ListenerOptions(
        host=address.host,
        port=address.port,
        threads=threads,
        idle_seconds=30.0,
        body_bytes=64 << 20,
        connections=limits.internal_connections,
        peer_limits=limits,
    )


@contextlib.contextmanager
def running(
    settings: peridotsill.Settings, token: str
) -> collections.abc.Iterator[Node]:
    """Run a node inside the context and stop it gracefully at its end.

    Raises:
        OSError: If an address can't be bound.
    """
    node = Node(settings=settings, token=token)
    node.start()
    try:
        yield node
    finally:
        node.stop()
        eliot.log_message(message_type="peridotsill:node", text="node stopped")
