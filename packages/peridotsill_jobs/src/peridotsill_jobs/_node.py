"""A job node: the job API, readiness, metrics and the scheduler."""

import collections.abc
import contextlib
import threading
import time

import peridotsill

from peridotsill_jobs import _app
from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _controller
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _key_checks
from peridotsill_jobs import _lease
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
from peridotsill_jobs import _settings
from peridotsill_jobs import _submissions
from peridotsill_jobs import _team_usage
import peridotsill_platform

# Largest number of submissions in one commit. Each takes three entries, and
# a platform's table may limit a transaction to a hundred.
_SUBMISSIONS_PER_COMMIT = 30
# Largest number of concurrent commits of submissions, each to a partition of
# its own; four queues have sixteen partitions.
_MAX_CONCURRENT_COMMITS = 16
# Threads per listener for readiness, metrics or siblings, which serve the
# load balancer's checks, metrics scrapes and questions about the lease.
_INTERNAL_LISTENER_THREADS = 3
# After SIGTERM the load balancer takes the node out of rotation once two
# checks, a second apart, have failed; callers are served until then.
_DEREGISTRATION_SECONDS = 2.5
# How long a listener that shuts down waits for open connections.
_LISTENER_CLOSE_SECONDS = 0.3
# Part of the exit grace period reserved for closing the listeners.
_EXIT_RESERVE_SECONDS = 1.5


class JobNode:
    """A process that serves callers and may hold the scheduler's lease."""

    def __init__(self, *, settings: _settings.JobNodeSettings) -> None:
        peridotsill.set_process_limits(settings.peer_limits)
        self._settings = _live_settings.LiveSettings(settings)
        self._ports = _settings.make_ports(settings)
        self._counters = peridotsill.Counters()
        self._stopping = threading.Event()
        self._accepts_callers = threading.Event()
        self._catalog = _catalog.Catalog(
            table=self._ports.table,
            keys=self._ports.keys,
            documents=self._ports.documents,
            revocation_seconds=self._revocation_seconds(),
        )
        self._committer = peridotsill_platform.GroupCommitter(
            table=self._ports.adaptive_timeout_table(),
            batch_size=_SUBMISSIONS_PER_COMMIT,
            threads=_MAX_CONCURRENT_COMMITS,
            partition_of=_records.partition_of,
        )
        self._team_figures = _team_usage.TeamFigures()
        self._lease = _lease.Lease(
            node=settings.node,
            table=self._ports.adaptive_timeout_table(
                _lease.RENEWAL_TIMEOUT_SECONDS
            ),
            capability=settings.resources.capability,
            address=settings.siblings,
        )
        app = _app.JobApp(
            catalog=self._catalog,
            documents=self._ports.documents,
            submissions=_submissions.Submissions(
                table=self._ports.table,
                committer=self._committer,
                short_timeout_table=self._ports.table_with_timeout(
                    _submissions.LOOKUP_TIMEOUT_SECONDS
                ),
                limits=self._ports.table_limits,
            ),
            counters=self._counters,
            deadline_header=self._ports.deadline_header,
            key_check=_key_checks.KeyCheck(
                catalog=self._catalog,
                counters=self._counters,
                key_header=self._ports.key_header,
                revocation_seconds=self._revocation_seconds,
            ),
        )
        internal_app = _app.ReadinessApp(
            why_unready=self.why_unready, metrics=self._metrics
        )
        self._caller_listener = _make_listener(
            settings.callers,
            threads=settings.threads,
            connections=settings.peer_limits.connections,
            limits=settings.peer_limits,
            app=app,
        )
        self._internal_listeners = [
            _make_internal_listener(address, settings, internal_app)
            for address in dict.fromkeys(
                (settings.readiness, settings.metrics)
            )
        ]
        if settings.siblings:
            self._internal_listeners.append(
                _make_internal_listener(
                    settings.siblings,
                    settings,
                    _holder_check.HolderApp(answer=self._lease.answer_peer),
                )
            )

    def _revocation_seconds(self) -> float:
        return self._settings.current.bounds.revocation_ms / 1000.0

    def why_unready(self) -> str:
        """Return why the node is not ready, or an empty string if it is."""
        if self._stopping.is_set():
            return "leaving"
        if not self._accepts_callers.is_set():
            return "starting"
        if self._catalog.config is None:
            return "no configuration yet"
        if not self._catalog.reachable:
            return "the table is out of reach"
        return ""

    def _metrics(self) -> bytes:
        config = self._catalog.config
        gauges: dict[str, float] = {
            "config_version": config.version if config else 0,
            "scheduler": float(self._lease.held),
            "scheduler_epoch": self._lease.epoch,
            "table_reachable": float(self._catalog.reachable),
            "calls_open": self._caller_listener.open_requests.count,
            **self._team_figures.gauges(),
        }
        if config is not None:
            gauges["config_age_seconds"] = (
                _clock.boottime_seconds() - self._catalog.read_began_at
            )
        return self._counters.render(gauges)

    def start(self) -> None:
        """Start the listeners and the background threads.

        Raises:
            OSError: If an address can't be bound.
        """
        for listener in self._internal_listeners:
            listener.start()
        self._committer.start()
        self._catalog.start()
        threading.Thread(
            target=_lease.acquire_and_schedule,
            args=(self._lease, self._stopping, self._run_scheduler),
            daemon=True,
            name="scheduler",
        ).start()
        self._caller_listener.start()
        self._accepts_callers.set()
        _logs.log("node:started", node=self._settings.current.node)

    def apply(self, settings: _settings.JobNodeSettings) -> None:
        """Apply the settings that may change at run time; log the others."""
        self._settings.replace(settings)

    def _run_scheduler(self) -> None:
        controller = _controller.Controller(
            parts=_controller.ControllerParts(
                settings=self._settings,
                ports=self._ports,
                catalog=self._catalog,
                lease=self._lease,
                counters=self._counters,
                stopped=self._stopping,
                team_figures=self._team_figures,
            )
        )
        controller.run()

    def stop(self) -> None:
        """Shut down without cutting off a request.

        Readiness checks fail from now on, and the lease is released first,
        so that another node can schedule. Callers are served until the load
        balancer has had time to take the node out of rotation.
        """
        started_at = time.monotonic()
        _logs.log("node:leaving", node=self._settings.current.node)
        self._stopping.set()
        self._caller_listener.disable_keep_alive()
        self._lease.release()
        grace_seconds = self._settings.current.bounds.exit_grace_ms / 1000.0
        deregistration_seconds = min(
            _DEREGISTRATION_SECONDS, grace_seconds / 2
        )
        time.sleep(
            max(0.0, deregistration_seconds - (time.monotonic() - started_at))
        )
        remaining = (
            grace_seconds
            - _EXIT_RESERVE_SECONDS
            - (time.monotonic() - started_at)
        )
        self._caller_listener.stop(max(0.0, remaining))
        for listener in self._internal_listeners:
            listener.stop(0.0)
        self._catalog.stop()
        self._committer.stop()
        _logs.log("node:stopped", node=self._settings.current.node)


def _make_internal_listener(
    address: str,
    settings: _settings.JobNodeSettings,
    app: collections.abc.Callable[..., object],
) -> peridotsill.Listener:
    return _make_listener(
        address,
        threads=_INTERNAL_LISTENER_THREADS,
        connections=settings.peer_limits.internal_connections,
        limits=settings.peer_limits,
        app=app,
    )


def _make_listener(
    address: str,
    *,
    threads: int,
    connections: int,
    limits: peridotsill.PeerLimits,
    app: collections.abc.Callable[..., object],
) -> peridotsill.Listener:
    parsed = _settings.split_address(address)
    return peridotsill.Listener(
        options=peridotsill.ListenerOptions(
            host=parsed.host,
            port=parsed.port,
            threads=threads,
            connections=connections,
            peer_limits=limits,
            shutdown_seconds=_LISTENER_CLOSE_SECONDS,
        ),
        app=app,
    )


@contextlib.contextmanager
def running_job_node(
    settings: _settings.JobNodeSettings,
) -> collections.abc.Iterator[JobNode]:
    """Run a job node while the context lasts, then shut it down.

    Raises:
        OSError: If an address can't be bound.
        SettingsError: If the platform is unknown or an address malformed.
    """
    node = JobNode(settings=settings)
    node.start()
    try:
        yield node
    finally:
        node.stop()
