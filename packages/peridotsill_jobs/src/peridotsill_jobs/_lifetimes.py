"""Decides by runners' answers which of their lifetimes have ended.

The registry may be behind, and lifetimes are times of day, which are set
back; so neither an entry nor a higher number shows that a lifetime has ended.
A runner has one process at a time: if another lifetime answers a request that
was sent after one was known, that one has ended.
"""

import attrs

from peridotsill_jobs import _gone_runners
from peridotsill_jobs import _link_events
from peridotsill_jobs import _runs
from peridotsill_jobs import _workers


def is_from_another(event: _link_events.LinkEvent) -> bool:
    """Tell whether a report is from another lifetime than was asked."""
    return isinstance(
        event, _link_events.ReportReceived
    ) and event.report.lifetime not in (0, event.lifetime)


class LifetimeTracker:
    """Replaces runners that have ended, and requeues what they ran."""

    def __init__(
        self,
        *,
        workers: _workers.Workers,
        runs: _runs.RunTracker,
        gone_runners: _gone_runners.GoneRunnerHandler,
    ) -> None:
        self._workers = workers
        self._runs = runs
        self._gone_runners = gone_runners

    def apply_report(self, event: _link_events.ReportReceived) -> None:
        """Apply which lifetime of a runner has answered, and with what."""
        ended = self._replace_ended(event)
        worker = self._workers.get(event.runner, event.report.lifetime)
        if worker is None:
            return
        if ended is not None:
            self._gone_runners.handle_restart(ended)
        self._settle_awaiting(worker, event)

    def _replace_ended(
        self, event: _link_events.ReportReceived
    ) -> _workers.Worker | None:
        """Return the runner that a report shows to have ended, if any."""
        worker = self._workers.find(event.runner)
        candidate = self._workers.find_candidate(event.runner)
        asked = {
            each.lifetime: each
            for each in (worker, candidate)
            if each is not None
        }.get(event.lifetime)
        lifetime = event.report.lifetime
        if worker is None or asked is None or not lifetime:
            return None
        if candidate is not None and _has_ended(candidate, event):
            self._workers.end_candidate(worker)
        if not _has_ended(worker, event):
            return None
        self._workers.replace(
            worker, attrs.evolve(asked.entry, lifetime=lifetime)
        )
        return worker

    def _settle_awaiting(
        self, worker: _workers.Worker, event: _link_events.ReportReceived
    ) -> None:
        """Place or requeue tasks that the rows have on the runner."""
        lost: list[_workers.JobTask] = []
        for job, task in self._workers.take_awaiting(
            event.runner, event.requested_at
        ):
            if task.lifetime == worker.lifetime:
                self._workers.place(worker, job, task, last_answered_at=0.0)
            else:
                lost.append((job, task))
        self._runs.requeue_lost(lost, "runner restarted")


def _has_ended(
    worker: _workers.Worker, event: _link_events.ReportReceived
) -> bool:
    return (
        worker.lifetime != event.report.lifetime
        and worker.known_at <= event.requested_at
    )
