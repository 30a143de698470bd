"""Decides by runners' answers which of their lifetimes have ended.

The registry may be behind, and lifetimes are times of day, which are set
back; so neither an entry nor a higher number shows that a lifetime has ended.
A runner has one process at a time: if another lifetime answers a request that
was sent after one was known, that one has ended.
"""

import attrs

from peridotsill_jobs import _gone_runners
from peridotsill_jobs import _job_store
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
from peridotsill_jobs import _runs
from peridotsill_jobs import _workers
import peridotsill_scheduler

_RunId = tuple[str, str, int]


class LifetimeTracker:
    """Replaces runners that have ended, and requeues what they ran."""

    def __init__(
        self,
        *,
        workers: _workers.Workers,
        job_store: _job_store.JobStore,
        runs: _runs.RunTracker,
        gone_runners: _gone_runners.GoneRunnerHandler,
    ) -> None:
        self._workers = workers
        self._job_store = job_store
        self._runs = runs
        self._gone_runners = gone_runners

    def apply_report(self, event: _link_events.ReportReceived) -> None:
        """Apply which lifetime of a runner has answered, and with what."""
        ended = self._replace_ended(event)
        worker = self._workers.get(event.runner, event.report.lifetime)
        if worker is None:
            return
        if ended is not None:
            self._requeue_ended(ended, worker, event)
        self._settle_awaiting(worker, event)

    def _replace_ended(
        self, event: _link_events.ReportReceived
    ) -> _workers.Worker | None:
        """Return the runner that a report shows to have ended, if any."""
        worker = self._workers.find(event.runner)
        candidate = self._workers.find_candidate(event.runner)
        known = [each for each in (worker, candidate) if each is not None]
        asked = [each for each in known if each.lifetime == event.lifetime]
        lifetime = event.report.lifetime
        if worker is None or not asked or not lifetime:
            return None
        if candidate is not None and _has_ended(candidate, event):
            self._workers.end_candidate(worker)
        if not _has_ended(worker, event):
            return None
        self._workers.replace(
            worker, attrs.evolve(asked[0].entry, lifetime=lifetime)
        )
        return worker

    def _requeue_ended(
        self,
        ended: _workers.Worker,
        successor: _workers.Worker,
        event: _link_events.ReportReceived,
    ) -> None:
        """Requeue an ended runner's tasks but those that may run on the next.

        The next one has the same id, so it carries out orders that were sent
        to the ended one and came late.
        """
        reported = _ReportedRuns(event.report)
        moved: list[_workers.PlacedTask] = []
        late: list[_workers.PlacedTask] = []
        for key, placed in tuple(ended.placed.items()):
            if reported.may_include(placed.id):
                moved.append(ended.placed.pop(key))
            elif (
                placed.last_answered_at >= event.requested_at
                or ended.late_starts.may_come(placed.id)
            ):
                late.append(ended.placed.pop(key))
        # Those that came late may have caused the end by an earlier attempt.
        if not ended.gone:
            ended.lost_runs += late
        self._gone_runners.handle_restart(ended)
        for placed in moved:
            self._place(successor, placed.job, placed.task)
        for placed in late:
            self._stop_late(successor, placed)
        self._refuse_late_starts(successor)

    def _refuse_late_starts(self, successor: _workers.Worker) -> None:
        """Let a lifetime refuse late starts of runs that it doesn't have."""
        placed = {each.id for each in successor.placed.values()}
        late = [
            each
            for each in successor.late_starts.pending
            if each not in placed
        ]
        for job_id, task_key, run in late:
            name = _ports.TaskName(job=job_id, task=task_key)
            successor.link.order_stop(name, run)
        if late:
            _late_starts.log_runs(successor, late, "refused from now on")

    def _stop_late(
        self, successor: _workers.Worker, placed: _workers.PlacedTask
    ) -> None:
        """Stop a run that may begin yet, so that its task can be requeued."""
        if not placed.task.active:
            return
        self._place(successor, placed.job, placed.task)
        key = (placed.job.spec.id, placed.task.key)
        self._runs.stop_again(successor, successor.placed[key])

    def _settle_awaiting(
        self, worker: _workers.Worker, event: _link_events.ReportReceived
    ) -> None:
        """Place or requeue tasks that the rows have on the runner.

        Those of another lifetime that the report lists came late to this one.
        No others will: it refuses what an earlier scheduler has sent.
        """
        reported = _ReportedRuns(event.report)
        lost: list[_workers.JobTask] = []
        for job, task in self._workers.take_awaiting(
            event.runner, event.requested_at
        ):
            run_id = _late_starts.run_id(job, task)
            is_same_lifetime = task.lifetime == worker.lifetime
            if is_same_lifetime or reported.may_include(run_id):
                self._place(worker, job, task)
            else:
                lost.append((job, task))
        self._runs.requeue_lost(lost, "runner restarted")

    def _place(
        self,
        worker: _workers.Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        if task.lifetime != worker.lifetime:
            task.lifetime = worker.lifetime
            self._job_store.mark_dirty(job)
        self._workers.place(worker, job, task, last_answered_at=0.0)


def _has_ended(
    worker: _workers.Worker, event: _link_events.ReportReceived
) -> bool:
    return (
        worker.lifetime != event.report.lifetime
        and worker.known_at <= event.requested_at
    )


class _ReportedRuns:
    """The runs that a report lists as running or ended."""

    def __init__(self, report: _ports.RunnerReport) -> None:
        running = [(each.name, each.run) for each in report.running]
        ended = [(each.name, each.run) for each in report.ended]
        self._ids = frozenset(
            (name.job, name.task, run) for name, run in running + ended
        )
        self._lists_all_ends = report.lists_all_ends

    def may_include(self, run_id: _RunId) -> bool:
        """Tell whether a run is listed, or may be among ends left out."""
        return run_id in self._ids or not self._lists_all_ends
