"""A job node: callers' interface, readiness, metrics and the scheduler."""

import collections.abc
import contextlib
import threading
import time

import peridotsill

from peridotsill_jobs import _app
from peridotsill_jobs import _catalog
from peridotsill_jobs import _controller
from peridotsill_jobs import _lease
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
from peridotsill_jobs import _settings
from peridotsill_jobs import _submissions
import peridotsill_platform

# Submissions in one commit; each takes three of the hundred entries that
# a platform's table may allow.
_SUBMISSIONS_PER_COMMIT = 30
# Commits of submissions under way at once, each in a partition of its own:
# four queues have sixteen.
_COMMITS_AT_ONCE = 16
# Threads of the readiness and metrics listeners: the balancer, a scrape.
_INNER_THREADS = 3
# After SIGTERM the balancer needs two missed checks, a second apart, to
# take the node out; callers are served meanwhile.
_NOTICE_SECONDS = 2.5
# How long a listener waits for connections that don't end.
_CLOSE_SECONDS = 0.3
# What is left of the exit grace for closing the listeners.
_EXIT_MARGIN_SECONDS = 1.5


class JobNode:
    """One process that serves callers and may hold the lease."""

    def __init__(self, *, settings: _settings.JobNodeSettings) -> None:
        self._settings = _live_settings.LiveSettings(settings)
        self._ports = _settings.make_ports(settings)
        self._counters = peridotsill.Counters()
        self._leaving = threading.Event()
        self._catalog = _catalog.Catalog(
            table=self._ports.table,
            keys=self._ports.keys,
            documents=self._ports.documents,
        )
        self._committer = peridotsill_platform.GroupCommitter(
            table=self._ports.patient_table(),
            batch_size=_SUBMISSIONS_PER_COMMIT,
            threads=_COMMITS_AT_ONCE,
            partition_of=_records.partition_of,
        )
        self._lease = _lease.Lease(
            node=settings.node,
            table=self._ports.patient_table(_lease.RENEWAL_SECONDS),
            capability=settings.resources.capability,
        )
        app = _app.JobApp(
            catalog=self._catalog,
            documents=self._ports.documents,
            submissions=_submissions.Submissions(
                table=self._ports.table,
                committer=self._committer,
                quick_table=self._ports.table_within(
                    _submissions.LOOK_SECONDS
                ),
            ),
            counters=self._counters,
            deadline_header=self._ports.deadline_header,
        )
        inner = _app.ReadinessApp(
            why_unready=self.why_unready, metrics=self._metrics
        )
        self._callers = _listener(settings.callers, settings.threads, app)
        self._inner = [
            _listener(address, _INNER_THREADS, inner)
            for address in dict.fromkeys(
                (settings.readiness, settings.metrics)
            )
        ]

    def why_unready(self) -> str:
        """Return why the balancer should not send here, or nothing."""
        if self._leaving.is_set():
            return "leaving"
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
            "calls_open": self._callers.open_requests.count,
        }
        return self._counters.render(gauges)

    def start(self) -> None:
        """Start every part.

        Raises:
            OSError: If an address can't be bound.
        """
        for listener in self._inner:
            listener.start()
        self._committer.start()
        self._catalog.start()
        threading.Thread(
            target=_lease.compete,
            args=(self._lease, self._leaving, self._schedule),
            daemon=True,
            name="scheduler",
        ).start()
        self._callers.start()
        _logs.log("node:started", node=self._settings.current.node)

    def apply(self, settings: _settings.JobNodeSettings) -> None:
        """Take over what may change of new settings; log the rest."""
        self._settings.replace(settings)

    def _schedule(self) -> None:
        controller = _controller.Controller(
            parts=_controller.ControllerParts(
                settings=self._settings,
                ports=self._ports,
                catalog=self._catalog,
                lease=self._lease,
                counters=self._counters,
                stopped=self._leaving,
            )
        )
        controller.run()

    def stop(self) -> None:
        """Leave without cutting a call.

        The lease is handed over first. The balancer is told and still
        served for the notice time.
        """
        began = time.monotonic()
        _logs.log("node:leaving", node=self._settings.current.node)
        self._leaving.set()
        self._callers.close_gently()
        self._lease.release()
        grace = self._settings.current.bounds.exit_grace_ms / 1000.0
        notice = min(_NOTICE_SECONDS, grace / 2)
        time.sleep(max(0.0, notice - (time.monotonic() - began)))
        left = grace - _EXIT_MARGIN_SECONDS - (time.monotonic() - began)
        self._callers.stop(max(0.0, left))
        for listener in self._inner:
            listener.stop(0.0)
        self._catalog.stop()
        self._committer.stop()
        _logs.log("node:stopped", node=self._settings.current.node)


def _listener(
    address: str, threads: int, app: collections.abc.Callable[..., object]
) -> peridotsill.Listener:
    where = _settings.split_address(address)
    return peridotsill.Listener(
        options=peridotsill.ListenerOptions(
            host=where.host,
            port=where.port,
            threads=threads,
            shutdown_seconds=_CLOSE_SECONDS,
        ),
        app=app,
    )


@contextlib.contextmanager
def running_jobs(
    settings: _settings.JobNodeSettings,
) -> collections.abc.Iterator[JobNode]:
    """Run a job node while the context lasts, then stop it in order.

    Raises:
        OSError: If an address can't be bound.
        SettingsError: If the settings name no known platform.
    """
    node = JobNode(settings=settings)
    node.start()
    try:
        yield node
    finally:
        node.stop()
