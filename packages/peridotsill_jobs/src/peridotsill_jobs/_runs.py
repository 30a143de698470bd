"""Updates tasks from runners' reports and from the answers to orders."""

import collections.abc

import peridotsill

from peridotsill_jobs import _applied_ends
from peridotsill_jobs import _clock
from peridotsill_jobs import _job_store
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _pacer
from peridotsill_jobs import _ports
from peridotsill_jobs import _workers
import peridotsill_scheduler

_Phase = peridotsill_scheduler.TaskPhase
_State = peridotsill_scheduler.JobState

# A failed task waits before it is started again: the base delay, doubled
# with each failure, up to the maximum. A task whose start was refused or
# not sent waits for the base delay.
_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
# A stop that was answered is sent again if the runner still lists the run
# after this time, which is longer than a stop may take.
_STOP_RETRY_SECONDS = 1.5


class RunTracker:
    """Applies runners' reports and the outcomes of orders to tasks.

    Nothing is committed here: a changed job is marked in the job store, and
    the scheduler's round commits it before it sends starts or acknowledges
    ends. Stops are ordered here, before the commit.
    """

    def __init__(
        self,
        *,
        job_store: _job_store.JobStore,
        workers: _workers.Workers,
        estimator: peridotsill_scheduler.Estimator,
        counters: peridotsill.Counters,
    ) -> None:
        self._job_store = job_store
        self._workers = workers
        self._estimator = estimator
        self._counters = counters
        self._applied_ends = _applied_ends.AppliedEnds()

    @property
    def applied_ends(self) -> _applied_ends.AppliedEnds:
        """The ends that were applied and not yet acknowledged."""
        return self._applied_ends

    def apply_report(self, event: _link_events.ReportReceived) -> None:
        """Apply a runner's report of ended and running runs."""
        worker = self._workers.get(event.runner, event.lifetime)
        if worker is None:
            return
        if worker.gone:
            self._workers.mark_alive(worker)
            _logs.log("runner:answers_again", runner=event.runner)
            self._stop_unanswered(worker)
        report = event.report
        for end in report.ended:
            if end.number > worker.last_applied_end:
                self._handle_end(worker, end)
                self._applied_ends.add(worker, end.number, end.name.job)
        self._reconcile_running(worker, event)

    def _handle_end(
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
            self._handle_stale_end(end)
            return
        del worker.placed[key]
        self._job_store.mark_started(placed.job)
        if placed.task.is_over:
            return
        self._apply_end(worker, placed, end)

    def _handle_stale_end(self, end: _ports.ReportedEnd) -> None:
        """Apply the end of a run that is no longer placed on its runner."""
        for job in self._job_store.find(end.name.job):
            self._job_store.mark_started(job)
            for task in job.tasks:
                if task.key == end.name.task and end.run <= task.run:
                    self._apply_stale_end(job, task, end)

    def _apply_stale_end(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        end: _ports.ReportedEnd,
    ) -> None:
        if job.final or task.step.long_lived or task.is_over:
            return
        if end.kind is _ports.EndKind.FAILED:
            if not task.count_failure(end.run):
                return
            if task.failures >= job.queue.max_attempts:
                self._stop_redundant_run(job, task)
                task.phase = _Phase.FAILED
                job.failure_reason = _describe_failures(task)
        elif end.kind is _ports.EndKind.DONE:
            for each in _tasks_done_with(job, task):
                self._stop_redundant_run(job, each)
                each.phase = _Phase.DONE
                each.checkpoint = ""
        self._update_job_state(job)

    def _stop_redundant_run(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        """Stop a task's current run after the end of an earlier one."""
        if not task.active:
            return
        worker = self._workers.get(task.runner, task.lifetime)
        if worker is not None:
            name = _ports.TaskName(job=job.spec.id, task=task.key)
            worker.link.order_stop(name, task.run)

    def _apply_end(
        self,
        worker: _workers.Worker,
        placed: _workers.PlacedTask,
        end: _ports.ReportedEnd,
    ) -> None:
        job, task = placed.job, placed.task
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is _ports.EndKind.DONE and not task.step.long_lived:
            worker.breaker.record_success(placed.placed_at)
            self._complete_task(job, task)
        elif end.kind is _ports.EndKind.FAILED:
            worker.record_failure(placed)
            self._record_failure(job, task)
        else:
            self._requeue(job, task)
        self._update_job_state(job)

    def give_up(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        reason: str,
    ) -> None:
        """Start a task never again, so that its job has failed."""
        task.phase = _Phase.FAILED
        job.failure_reason = reason
        self._counters.add("tasks_given_up")
        self._update_job_state(job)

    def report_trouble(
        self, job: peridotsill_scheduler.Job, reason: str
    ) -> None:
        """Tell callers why a task of a job that goes on does not run."""
        job.failure_reason = reason
        self._counters.add("tasks_held_back")
        self._job_store.mark_dirty(job)

    def _complete_task(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        now = _clock.monotonic_seconds()
        if task.started_at and task.run == 1:
            self._estimator.record_task(
                job.spec.queue, now - task.started_at, task.step
            )
        task.phase = _Phase.DONE
        task.checkpoint = ""
        task.crashes = ()
        if task.step.gang:
            self._complete_gang(job, task)

    def _complete_gang(
        self,
        job: peridotsill_scheduler.Job,
        completed: peridotsill_scheduler.Task,
    ) -> None:
        # If one member is done, all members of the same run are.
        members = peridotsill_scheduler.tasks_of(
            job, completed.occurrence, completed.step.index
        )
        for task in members:
            if task.run != completed.run or task.phase is _Phase.DONE:
                continue
            worker = self._workers.get(task.runner, task.lifetime)
            if worker is not None:
                worker.placed.pop((job.spec.id, task.key), None)
            task.phase = _Phase.DONE

    def _record_failure(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        task.count_failure(task.run)
        task.failed_on = task.runner
        limit = job.queue.max_attempts
        if not task.step.long_lived and task.failures >= limit:
            task.phase = _Phase.FAILED
            job.failure_reason = _describe_failures(task)
            return
        self._requeue(job, task)
        delay = _BACKOFF_SECONDS * 2 ** min(task.failures, 5)
        task.not_before = _clock.monotonic_seconds() + min(
            delay, _MAX_BACKOFF_SECONDS
        )

    def _requeue(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        if task.is_over:
            return
        task.phase = _Phase.WAITING
        task.started_at = 0.0
        self._job_store.mark_dirty(job)

    def _update_job_state(self, job: peridotsill_scheduler.Job) -> None:
        """Recompute a job's state from its tasks; stop them if it is final."""
        self._job_store.mark_dirty(job)
        if not peridotsill_scheduler.refresh_state(job):
            return
        _logs.log(
            "job:state",
            job=job.spec.id,
            queue=job.spec.queue,
            state=str(job.state),
            reason=job.failure_reason,
            age_seconds=round(_clock.monotonic_seconds() - job.arrived_at, 3),
        )
        if job.final:
            self._stop_tasks(job)

    def requeue_lost(
        self, tasks: collections.abc.Iterable[_workers.JobTask], reason: str
    ) -> None:
        """Requeue tasks whose runs were lost.

        Args:
            tasks: Tasks that no longer run, or that may run twice at once.
            reason: For the log.
        """
        for job, task in tasks:
            self._counters.add("tasks_lost", reason=reason)
            _logs.log(
                "task:lost",
                job=job.spec.id,
                task=task.key,
                run=task.run,
                runner=task.runner,
                reason=reason,
            )
            if task.active:
                self._requeue(job, task)
                task.requeued_at = _clock.monotonic_seconds()

    def _reconcile_running(
        self, worker: _workers.Worker, event: _link_events.ReportReceived
    ) -> None:
        running = {
            (each.name.job, each.name.task, each.run): each
            for each in event.report.running
        }
        for key, placed in tuple(worker.placed.items()):
            reported = running.pop((*key, placed.task.run), None)
            if reported is not None:
                self._record_running(placed, reported)
                worker.record_at_work(placed)
                self._stop_if_unwanted(worker, placed, event.requested_at)
            elif _shows_absence(event, placed):
                del worker.placed[key]
                self.requeue_lost([(placed.job, placed.task)], "not there")
        self._reconcile_abandoned(worker, running, event)
        worker.reported = True
        worker.unknown_runs = len(running)
        for each in running.values():
            self._stop_unknown_run(worker, each)
        # A lifetime refuses late starts from its first poll on.
        awaits_late_starts = bool(worker.late_starts.pending)
        follows_tails = _pacer.pace_fillers(worker)
        worker.link.poll_frequently(follows_tails or awaits_late_starts)

    def _reconcile_abandoned(
        self,
        worker: _workers.Worker,
        running: dict[tuple[str, str, int], _ports.ReportedRun],
        event: _link_events.ReportReceived,
    ) -> None:
        """Stop the abandoned runs that are listed; forget the others.

        An unlisted run is kept until a report shows its absence.
        """
        for key, placed in tuple(worker.abandoned.items()):
            reported = running.pop(key, None)
            if reported is not None:
                worker.link.order_stop(reported.name, reported.run)
            elif _shows_absence(event, placed):
                del worker.abandoned[key]

    def _record_running(
        self, placed: _workers.PlacedTask, reported: _ports.ReportedRun
    ) -> None:
        task = placed.task
        self._job_store.mark_started(placed.job)
        if task.phase is _Phase.ASSIGNED:
            task.phase = _Phase.RUNNING
            self._job_store.mark_dirty(placed.job)
        if not task.started_at:
            task.started_at = _clock.monotonic_seconds()
        if reported.checkpoint:
            task.checkpoint = reported.checkpoint
        if peridotsill_scheduler.is_cleared(task, _clock.monotonic_seconds()):
            self._clear_suspicion(placed)
        placed.listed_by_runner = True
        placed.speed_percent = reported.speed_percent
        placed.load_metric = reported.load_metric

    def _clear_suspicion(self, placed: _workers.PlacedTask) -> None:
        task = placed.task
        _logs.log(
            "task:cleared",
            job=placed.job.spec.id,
            task=task.key,
            run=task.run,
            crashes=len(task.crashes),
        )
        task.crashes = ()
        job = placed.job
        if not job.final and not any(each.crashes for each in job.tasks):
            job.failure_reason = ""
        self._job_store.mark_dirty(placed.job)

    def _stop_if_unwanted(
        self,
        worker: _workers.Worker,
        placed: _workers.PlacedTask,
        requested_at: float,
    ) -> None:
        """Stop a listed run whose task or job is over, or was to stop.

        A stop that an earlier scheduler ordered, or that had no effect, is
        ordered again.
        """
        if placed.task.is_over:
            worker.link.order_stop(placed.name, placed.task.run)
            return
        if placed.task.phase is not _Phase.STOPPING:
            if placed.job.final:
                self.stop(worker, placed)
            return
        if placed.last_answered_at < requested_at - _STOP_RETRY_SECONDS:
            self.stop_again(worker, placed)

    def _stop_unanswered(self, worker: _workers.Worker) -> None:
        """Stop runs whose last order was dropped with an earlier link."""
        for placed in tuple(worker.placed.values()):
            if placed.awaits_answer:
                self.stop_again(worker, placed)

    def _stop_unknown_run(
        self, worker: _workers.Worker, reported: _ports.ReportedRun
    ) -> None:
        _logs.log(
            "task:stranger",
            job=reported.name.job,
            task=reported.name.task,
            run=reported.run,
            runner=worker.entry.id,
        )
        worker.link.order_stop(reported.name, reported.run)

    def apply_order_outcome(self, outcome: _link_events.OrderOutcome) -> None:
        """Apply the outcome of a start or a stop."""
        worker = self._workers.get(outcome.runner, outcome.lifetime)
        if worker is None:
            return
        key = (outcome.name.job, outcome.name.task)
        if outcome.is_start and outcome.may_come_late:
            worker.late_starts.record((*key, outcome.run), outcome.answered_at)
        abandoned_run = worker.abandoned.get((*key, outcome.run))
        if abandoned_run is not None:
            # Its task was started again elsewhere: this run is only stopped.
            self._confirm_or_stop_again(worker, abandoned_run, outcome)
            return
        placed = worker.placed.get(key)
        if placed is None or placed.task.run != outcome.run:
            return
        if outcome.is_start:
            self._handle_start_answer(worker, placed, outcome)
            return
        self._confirm_or_stop_again(worker, placed, outcome)

    def _confirm_or_stop_again(
        self,
        worker: _workers.Worker,
        placed: _workers.PlacedTask,
        outcome: _link_events.OrderOutcome,
    ) -> None:
        """Order a stop if the outcome is unknown; else note its time."""
        if outcome.result is _link_events.OrderResult.UNKNOWN:
            worker.link.order_stop(outcome.name, outcome.run)
            return
        # If the run is not there, the runner refuses it from now on.
        placed.last_answered_at = outcome.answered_at

    def _handle_start_answer(
        self,
        worker: _workers.Worker,
        placed: _workers.PlacedTask,
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
            placed.last_answered_at = outcome.answered_at
            self._job_store.mark_started(job)
            if task.phase is _Phase.ASSIGNED and not outcome.is_from_another:
                task.phase = _Phase.RUNNING
                task.started_at = outcome.answered_at
            return
        if result is _link_events.OrderResult.REFUSED:
            self._handle_refusal(worker, job, task, outcome.reason)
        if outcome.no_attempt_in_flight and outcome.reason != "old":
            del worker.placed[(job.spec.id, task.key)]
            self._requeue(job, task)
            task.not_before = outcome.answered_at + _BACKOFF_SECONDS
            return
        self.stop(worker, placed)

    def _handle_refusal(
        self,
        worker: _workers.Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        reason: str,
    ) -> None:
        if reason != "ticket":
            worker.pause_starts()
            return
        answer = peridotsill_scheduler.advisor_answer_for(
            job, task, task.runner
        )
        if answer is not None:
            job.advisor_answers.remove(answer)

    def stop(
        self, worker: _workers.Worker, placed: _workers.PlacedTask
    ) -> None:
        """Order a runner to stop a run, unless its task is stopping already.

        The capacity stays reserved until the run is known to have ended.
        """
        if placed.task.phase is _Phase.STOPPING:
            return
        placed.last_answered_at = float("inf")
        # A final phase is kept; only the superfluous run is stopped.
        if not placed.task.is_over:
            placed.task.phase = _Phase.STOPPING
            self._job_store.mark_dirty(placed.job)
        worker.link.order_stop(placed.name, placed.task.run)

    def stop_again(
        self, worker: _workers.Worker, placed: _workers.PlacedTask
    ) -> None:
        """Order a stop also if one was ordered before."""
        if not placed.task.is_over:
            placed.task.phase = _Phase.RUNNING
        self.stop(worker, placed)

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
        """Cancel a job, unless it is final, and stop its active tasks."""
        if job.final:
            return
        job.state = _State.CANCELLED
        _logs.log("job:state", job=job.spec.id, state="cancelled")
        self._job_store.mark_dirty(job)
        self._stop_tasks(job)


def _tasks_done_with(
    job: peridotsill_scheduler.Job, task: peridotsill_scheduler.Task
) -> list[peridotsill_scheduler.Task]:
    """Return the tasks that an earlier run of a task shows to be done.

    The members of a gang end as done together, so the end of one member
    represents all of them, whatever run they are in now.
    """
    if not task.step.gang:
        return [task]
    return peridotsill_scheduler.tasks_of(
        job, task.occurrence, task.step.index
    )


def _shows_absence(
    event: _link_events.ReportReceived, placed: _workers.PlacedTask
) -> bool:
    """Tell whether a report shows that a run it doesn't list is not there.

    It was asked for after the answer to the last order about the run, and the
    run's end is not among those that were cut off.
    """
    return (
        event.report.lists_all_ends
        and placed.last_answered_at < event.requested_at
    )


def _describe_failures(task: peridotsill_scheduler.Task) -> str:
    return f"task {task.key} failed {task.failures} times"
