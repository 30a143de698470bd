"""The life of runs: what reports and answers to orders make of tasks."""

import peridotsill

from peridotsill_jobs import _book
from peridotsill_jobs import _clock
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _pacer
from peridotsill_jobs import _ports
from peridotsill_jobs import _workers
import peridotsill_scheduler

_Phase = peridotsill_scheduler.TaskPhase
_State = peridotsill_scheduler.JobState
# Phases that no run changes any more.
_OVER = (_Phase.DONE, _Phase.FAILED)

# A task that ended badly waits this long for its next start, doubled with
# each failure, up to the second figure.
_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
# A stop that was answered is ordered again if the run is still listed after
# this time; longer than a stop may take.
_STOP_AGAIN_SECONDS = 1.5


class Runs:
    """Changes tasks by what is learned of their runs.

    Nothing is committed here: a job that changed is marked in the book,
    and the scheduler's round commits it before it acts on it.
    """

    def __init__(
        self,
        *,
        book: _book.Book,
        workers: _workers.Workers,
        estimator: peridotsill_scheduler.Estimator,
        counters: peridotsill.Counters,
    ) -> None:
        self._book = book
        self._workers = workers
        self._estimator = estimator
        self._counters = counters

    def take_look(self, looked: _link_events.Looked) -> None:
        """Take a runner's report: what ended, and what runs."""
        worker = self._workers.get(looked.runner, looked.lifetime)
        if worker is None:
            return
        report = looked.report
        if report.lifetime and report.lifetime != worker.lifetime:
            self.release(
                self._workers.restarted(looked.runner, report.lifetime),
                "runner restarted",
            )
            return
        for end in report.ended:
            if end.number > worker.applied:
                self._take_end(worker, end)
                worker.applied = end.number
        self._compare_running(worker, looked)

    def _take_end(
        self, worker: _workers.Worker, end: _ports.ReportedEnd
    ) -> None:
        self._counters.add("ends", kind=str(end.kind))
        key = (end.name.job, end.name.task)
        worker.abandoned.pop((*key, end.run), None)
        placed = worker.placed.get(key)
        current = placed is not None and placed.task.run == end.run
        _logs.log(
            "task:ended",
            job=end.name.job,
            task=end.name.task,
            run=end.run,
            runner=worker.entry.id,
            kind=str(end.kind),
            current=current,
        )
        if placed is None or not current:
            self._take_stale_end(end)
            return
        del worker.placed[key]
        self._book.note_begun(placed.job)
        if placed.task.phase in _OVER:
            return
        self._apply_end(worker, placed, end)

    def _take_stale_end(self, end: _ports.ReportedEnd) -> None:
        """Count a former run's end: it was done, or an attempt failed."""
        for job in self._book.find(end.name.job):
            self._book.note_begun(job)
            for task in job.tasks:
                if task.key == end.name.task and end.run <= task.run:
                    self._count_stale_end(job, task, end)

    def _count_stale_end(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        end: _ports.ReportedEnd,
    ) -> None:
        if job.final or task.step.long_lived or task.phase in _OVER:
            return
        if end.kind is _ports.EndKind.FAILED:
            if end.run <= task.settled_run:
                return
            task.settled_run = end.run
            task.failures += 1
            if task.failures >= job.queue.max_attempts:
                self._end_run(job, task)
                task.phase = _Phase.FAILED
        elif end.kind is _ports.EndKind.DONE:
            self._end_run(job, task)
            task.phase = _Phase.DONE
            task.checkpoint = ""
        self._refresh(job)

    def _end_run(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        """Stop the run that a former one has made needless."""
        if not task.active:
            return
        worker = self._workers.get(task.runner, task.lifetime)
        if worker is not None:
            name = _ports.TaskName(job=job.spec.id, task=task.key)
            worker.link.order_stop(name, task.run)

    def _apply_end(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        end: _ports.ReportedEnd,
    ) -> None:
        job, task = placed.job, placed.task
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is _ports.EndKind.DONE and not task.step.long_lived:
            self._finish(worker, job, task)
        elif end.kind is _ports.EndKind.FAILED:
            worker.note_end(job.spec.id, False)
            self._fail(job, task)
        else:
            self._wait_again(job, task)
        self._refresh(job)

    def _finish(
        self,
        worker: _workers.Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        worker.note_end(job.spec.id, True)
        worker.suspect_until = 0.0
        now = _clock.awake_seconds()
        if task.started_at and task.run == 1:
            self._estimator.record_task(job.spec.queue, now - task.started_at)
        task.phase = _Phase.DONE
        task.checkpoint = ""
        if task.step.gang:
            self._finish_gang(job, task)

    def _finish_gang(
        self,
        job: peridotsill_scheduler.Job,
        done: peridotsill_scheduler.Task,
    ) -> None:
        # One member's end stands for all of the same run.
        members = peridotsill_scheduler.tasks_of(
            job, done.occurrence, done.step.index
        )
        for task in members:
            if task.run != done.run or task.phase is _Phase.DONE:
                continue
            worker = self._workers.get(task.runner, task.lifetime)
            if worker is not None:
                worker.placed.pop((job.spec.id, task.key), None)
            task.phase = _Phase.DONE

    def _fail(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        task.failures += 1
        task.settled_run = task.run
        task.failed_on = task.runner
        limit = job.queue.max_attempts
        if not task.step.long_lived and task.failures >= limit:
            task.phase = _Phase.FAILED
            return
        self._wait_again(job, task)
        delay = _BACKOFF_SECONDS * 2 ** min(task.failures, 5)
        task.not_before = _clock.awake_seconds() + min(
            delay, _MAX_BACKOFF_SECONDS
        )

    def _wait_again(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        if task.phase in _OVER:
            return
        task.phase = _Phase.WAITING
        task.started_at = 0.0
        self._book.mark(job)

    def _refresh(self, job: peridotsill_scheduler.Job) -> None:
        """Recompute a job's state after a change of its tasks."""
        self._book.mark(job)
        if not peridotsill_scheduler.refresh_state(job):
            return
        _logs.log(
            "job:state",
            job=job.spec.id,
            queue=job.spec.queue,
            state=str(job.state),
            age_seconds=round(_clock.awake_seconds() - job.arrived_at, 3),
        )
        if job.final:
            self._stop_tasks(job)

    def release(self, tasks: list[_workers.JobTask], reason: str) -> None:
        """Let tasks be started again that certainly don't run any more."""
        for job, task in tasks:
            _logs.log(
                "task:lost",
                job=job.spec.id,
                task=task.key,
                run=task.run,
                runner=task.runner,
                reason=reason,
            )
            if task.active:
                self._wait_again(job, task)

    def _compare_running(
        self, worker: _workers.Worker, looked: _link_events.Looked
    ) -> None:
        running = {
            (each.name.job, each.name.task, each.run): each
            for each in looked.report.running
        }
        for key, placed in tuple(worker.placed.items()):
            found = running.pop((*key, placed.task.run), None)
            if found is not None:
                self._seen_running(placed, found)
                self._stop_again(worker, placed, looked.asked_at)
            elif placed.confirmed_at < looked.asked_at:
                del worker.placed[key]
                self.release([(placed.job, placed.task)], "not there")
        self._compare_abandoned(worker, running, looked.asked_at)
        worker.strangers = len(running)
        for each in running.values():
            self._stop_stranger(worker, each)
        _pacer.pace(worker)

    def _compare_abandoned(
        self,
        worker: _workers.Worker,
        running: dict[tuple[str, str, int], _ports.ReportedRun],
        asked_at: float,
    ) -> None:
        """Stop the runs that were started again elsewhere."""
        for key, placed in tuple(worker.abandoned.items()):
            found = running.pop(key, None)
            if found is not None:
                worker.link.order_stop(found.name, found.run)
            elif placed.confirmed_at < asked_at:
                del worker.abandoned[key]

    def _seen_running(
        self, placed: _workers.Placed, found: _ports.ReportedRun
    ) -> None:
        task = placed.task
        self._book.note_begun(placed.job)
        if task.phase is _Phase.ASSIGNED:
            task.phase = _Phase.RUNNING
            self._book.mark(placed.job)
        if not task.started_at:
            task.started_at = _clock.awake_seconds()
        if found.checkpoint:
            task.checkpoint = found.checkpoint
        placed.seen = True
        placed.speed_percent = found.speed_percent
        placed.gauge = found.gauge

    def _stop_again(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        asked_at: float,
    ) -> None:
        """Stop what should not run, also if an earlier scheduler tried."""
        if placed.task.phase in _OVER:
            worker.link.order_stop(placed.name, placed.task.run)
            return
        if placed.task.phase is not _Phase.STOPPING:
            if placed.job.final:
                self.stop(worker, placed)
            return
        if placed.confirmed_at < asked_at - _STOP_AGAIN_SECONDS:
            placed.task.phase = _Phase.RUNNING
            self.stop(worker, placed)

    def _stop_stranger(
        self, worker: _workers.Worker, found: _ports.ReportedRun
    ) -> None:
        _logs.log(
            "task:stranger",
            job=found.name.job,
            task=found.name.task,
            run=found.run,
            runner=worker.entry.id,
        )
        worker.link.order_stop(found.name, found.run)

    def take_outcome(self, outcome: _link_events.OrderOutcome) -> None:
        """Take what came of an order."""
        worker = self._workers.get(outcome.runner, outcome.lifetime)
        if worker is None:
            return
        key = (outcome.name.job, outcome.name.task)
        abandoned = worker.abandoned.get((*key, outcome.run))
        if abandoned is not None:
            # Its task was started again elsewhere; only its end matters.
            self._settle(worker, abandoned, outcome)
            return
        placed = worker.placed.get(key)
        if placed is None or placed.task.run != outcome.run:
            return
        if outcome.is_start:
            self._take_start(worker, placed, outcome)
            return
        self._settle(worker, placed, outcome)

    def _settle(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        outcome: _link_events.OrderOutcome,
    ) -> None:
        """Stop a run until the answer is known."""
        if outcome.result is _link_events.OrderResult.UNKNOWN:
            worker.link.order_stop(outcome.name, outcome.run)
            return
        # A run that is not there is refused from now on.
        placed.confirmed_at = outcome.at

    def _take_start(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        outcome: _link_events.OrderOutcome,
    ) -> None:
        job, task = placed.job, placed.task
        result = outcome.result
        self._counters.add("starts", outcome=str(result))
        _logs.log(
            "task:start_answered",
            job=job.spec.id,
            task=task.key,
            run=task.run,
            runner=worker.entry.id,
            outcome=str(result),
            reason=outcome.reason,
        )
        if result is _link_events.OrderResult.DONE:
            placed.confirmed_at = outcome.at
            self._book.note_begun(job)
            if task.phase is _Phase.ASSIGNED:
                task.phase = _Phase.RUNNING
                task.started_at = outcome.at
            return
        if result is _link_events.OrderResult.REFUSED:
            self._take_refusal(worker, job, task, outcome.reason)
        if outcome.clean and outcome.reason != "old":
            del worker.placed[(job.spec.id, task.key)]
            self._wait_again(job, task)
            task.not_before = outcome.at + _BACKOFF_SECONDS
            return
        self.stop(worker, placed)

    def _take_refusal(
        self,
        worker: _workers.Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        reason: str,
    ) -> None:
        if reason != "ticket":
            worker.hold_off()
            return
        permit = peridotsill_scheduler.permit_for(job, task, task.runner)
        if permit is not None:
            job.permits.remove(permit)

    def stop(self, worker: _workers.Worker, placed: _workers.Placed) -> None:
        """Order a stop; the capacity is free when the end is listed."""
        if placed.task.phase is _Phase.STOPPING:
            return
        placed.confirmed_at = float("inf")
        # A task that is over stays so; only its needless run is stopped.
        if placed.task.phase not in _OVER:
            placed.task.phase = _Phase.STOPPING
            self._book.mark(placed.job)
        worker.link.order_stop(placed.name, placed.task.run)

    def _stop_tasks(self, job: peridotsill_scheduler.Job) -> None:
        for task in job.tasks:
            if not task.active:
                continue
            worker = self._workers.get(task.runner, task.lifetime)
            placed = (
                worker.placed.get((job.spec.id, task.key)) if worker else None
            )
            if worker is not None and placed is not None:
                self.stop(worker, placed)

    def cancel(self, job: peridotsill_scheduler.Job) -> None:
        """Cancel a job and stop what runs of it."""
        if job.final:
            return
        job.state = _State.CANCELLED
        _logs.log("job:state", job=job.spec.id, state="cancelled")
        self._book.mark(job)
        self._stop_tasks(job)
