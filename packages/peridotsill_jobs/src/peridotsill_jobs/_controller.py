"""The scheduler's loop: events in, decisions, one commit, orders out."""

import contextlib
import queue
import threading
import time

import attrs
import peridotsill

from peridotsill_jobs import _advice
from peridotsill_jobs import _book
from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _commands
from peridotsill_jobs import _feeds
from peridotsill_jobs import _fleet
from peridotsill_jobs import _lease
from peridotsill_jobs import _links
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _settings
from peridotsill_jobs import _workers
import peridotsill_scheduler

_Phase = peridotsill_scheduler.TaskPhase
_State = peridotsill_scheduler.JobState
# Phases that no run changes any more.
_OVER = (_Phase.DONE, _Phase.FAILED)

# Events gather for this long before a round, so that one commit carries
# many of them; short against a task's run time.
_GATHER_SECONDS = 0.008
# A round is made at least this often, for what comes due by time.
_IDLE_SECONDS = 0.2
_LOAD_RETRY_SECONDS = 0.2
# A task that ended badly waits this long for its next start, doubled with
# each failure, up to the second figure.
_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
# Speeds are changed at most this often: a tail covers half a second.
_PACE_SECONDS = 0.45
# A stop that was answered is ordered again if the run is still listed after
# this time; longer than a stop may take.
_STOP_AGAIN_SECONDS = 1.5

Event = (
    _feeds.JobRows
    | _feeds.RegistrySeen
    | _feeds.VmsSeen
    | _links.Looked
    | _links.OrderOutcome
    | _commands.CommandOutcome
    | _advice.Advised
)


@attrs.frozen(kw_only=True)
class ControllerParts:
    """What a scheduler works with."""

    settings: _settings.JobNodeSettings
    ports: _ports.PlatformPorts
    catalog: _catalog.Catalog
    lease: _lease.Lease
    counters: peridotsill.Counters
    stopped: threading.Event


class Controller:
    """Schedules all jobs under one epoch of the lease."""

    def __init__(self, *, parts: ControllerParts) -> None:
        self._parts = parts
        self._inbox: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._book = _book.Book(
            table=parts.ports.table,
            catalog=parts.catalog,
            lease=parts.lease,
            counters=parts.counters,
        )
        self._workers = _workers.Workers(connect=self._connect)
        self._feeds = _feeds.Feeds(ports=parts.ports, post=self._inbox.put)
        self._estimator = peridotsill_scheduler.Estimator()
        self._registry_seen = False
        self._commander = _commands.Commander(
            node=parts.settings.node,
            vms=parts.ports.vms,
            lease=parts.lease,
            post=self._inbox.put,
        )
        self._fleet = self._make_fleet()
        self._asked: set[tuple[str, str, int, int]] = set()
        self._desk: _advice.AdviceDesk | None = None
        if parts.ports.advisor is not None:
            self._desk = _advice.AdviceDesk(
                advisor=parts.ports.advisor, post=self._inbox.put
            )
        self._max_lease_seconds = parts.settings.bounds.max_lease_ms / 1000.0

    def _connect(self, entry: _ports.RunnerEntry) -> _links.RunnerLink:
        link = _links.RunnerLink(
            parts=_links.LinkParts(
                entry=entry,
                connect=self._parts.ports.connect,
                lease=self._parts.lease,
                max_lease_seconds=self._max_lease_seconds,
                post=self._inbox.put,
            )
        )
        link.start()
        return link

    def _make_fleet(self) -> _fleet.Fleet:
        parts = self._parts
        # The commands of the last holder and ours must not alternate. Its
        # lease had to run out first, which is a part of that time.
        handover = parts.settings.bounds.handover_ms / 1000.0
        rest = max(0.0, handover - _lease.LEASE_SECONDS)
        wait = rest if parts.lease.epoch > 1 else 0.0
        return _fleet.Fleet(
            parts=_fleet.FleetParts(
                settings=parts.settings,
                catalog=parts.catalog,
                table=parts.ports.table,
                keys=parts.ports.keys,
                documents=parts.ports.documents,
                workers=self._workers,
                commander=self._commander,
                evict=self._stop,
                release=self._release,
            ),
            may_command_from=_clock.awake_seconds() + wait,
        )

    @property
    def _ended(self) -> bool:
        return self._parts.stopped.is_set() or self._parts.lease.lost

    def run(self) -> None:
        """Schedule until the lease is lost or the node leaves."""
        revision = self._load()
        if revision is None:
            return
        self._feeds.start(revision)
        try:
            while not self._ended:
                self._take_events()
                self._round()
        finally:
            self._feeds.stop()
            self._commander.stop()
            self._book.close()
            if self._desk is not None:
                self._desk.stop()
            self._workers.stop()

    def _load(self) -> int | None:
        while not self._ended:
            revision = self._book.load()
            if revision is not None:
                self._adopt()
                return revision
            time.sleep(_LOAD_RETRY_SECONDS)
        return None

    def _adopt(self) -> None:
        jobs = tuple(self._book.open_jobs)
        for job in jobs:
            for task in job.tasks:
                if task.active:
                    self._workers.adopt(job, task)
            self._note_arrival(job)
        for job in self._book.cancelled:
            self._cancel(job)
        _logs.log(
            "scheduler:began", epoch=self._parts.lease.epoch, jobs=len(jobs)
        )

    def _take_events(self) -> None:
        with contextlib.suppress(queue.Empty):
            self._handle(self._inbox.get(timeout=_IDLE_SECONDS))
            time.sleep(_GATHER_SECONDS)
            while True:
                self._handle(self._inbox.get_nowait())

    def _handle(self, event: Event) -> None:
        match event:
            case _feeds.JobRows():
                for row in event.rows:
                    self._take_job(row)
            case _feeds.RegistrySeen():
                self._registry_seen = True
                self._release(
                    self._workers.update(event.entries), "runner restarted"
                )
            case _feeds.VmsSeen():
                self._fleet.take_vms(event)
            case _commands.CommandOutcome():
                self._fleet.take_outcome(event)
            case _advice.Advised():
                self._take_advice(event)
            case _links.Looked():
                self._take_look(event)
            case _links.OrderOutcome():
                self._take_outcome(event)

    def _take_job(self, row: peridotsill.Row) -> None:
        known = len(self._book.open_jobs)
        job, cancelled = self._book.take(row)
        if job is None:
            return
        if cancelled:
            self._cancel(job)
        elif len(self._book.open_jobs) > known:
            self._note_arrival(job)

    def _note_arrival(self, job: peridotsill_scheduler.Job) -> None:
        if not job.long_lived:
            work = peridotsill_scheduler.job_work(job, self._estimator)
            self._fleet.note_arrival(job.queue.pool, work, job.arrived_at)

    # Ends of runs.

    def _take_look(self, looked: _links.Looked) -> None:
        worker = self._workers.get(looked.runner, looked.lifetime)
        if worker is None:
            return
        report = looked.report
        if report.lifetime and report.lifetime != worker.lifetime:
            self._release(
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
        self._parts.counters.add("ends", kind=str(end.kind))
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
        if placed.task.phase in _OVER:
            return
        self._apply_end(worker, placed, end)

    def _take_stale_end(self, end: _ports.ReportedEnd) -> None:
        """Count a former run's end: it was done, or an attempt failed."""
        for job in self._book.find(end.name.job):
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
        task.waiting_since = _clock.awake_seconds()
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

    def _release(self, tasks: list[_workers.JobTask], reason: str) -> None:
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
        self, worker: _workers.Worker, looked: _links.Looked
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
                self._release([(placed.job, placed.task)], "not there")
        self._compare_abandoned(worker, running, looked.asked_at)
        worker.strangers = len(running)
        for each in running.values():
            self._stop_stranger(worker, each)
        self._pace(worker)

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

    def _pace(self, worker: _workers.Worker) -> None:
        """Let filling tasks work as fast as the serving ones bear."""
        seen = [
            each
            for each in worker.placed.values()
            if each.seen and each.task.phase is _Phase.RUNNING
        ]
        fillers = [each for each in seen if each.task.step.fills]
        tails = [
            peridotsill_scheduler.Tail(
                tail_ms=each.gauge, target_ms=each.task.step.tail_target_ms
            )
            for each in seen
            if each.task.step.tail_target_ms
        ]
        worker.link.watch_closely(bool(fillers and tails))
        now = _clock.awake_seconds()
        if not fillers or now - worker.paced_at < _PACE_SECONDS:
            return
        worker.paced_at = now
        before = min(each.speed_percent for each in fillers)
        percent = peridotsill_scheduler.plan_pace(tails, before)
        for each in fillers:
            if each.speed_percent != percent:
                self._order_pace(worker, each, percent, tails)

    def _order_pace(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        percent: int,
        tails: list[peridotsill_scheduler.Tail],
    ) -> None:
        _logs.log(
            "task:pace",
            job=placed.job.spec.id,
            task=placed.task.key,
            runner=worker.entry.id,
            percent=percent,
            tails_ms=[each.tail_ms for each in tails],
            targets_ms=[each.target_ms for each in tails],
        )
        name = _ports.TaskName(job=placed.job.spec.id, task=placed.task.key)
        worker.link.order_pace(name, placed.task.run, percent)

    def _seen_running(
        self, placed: _workers.Placed, found: _ports.ReportedRun
    ) -> None:
        task = placed.task
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
            worker.link.order_stop(
                _ports.TaskName(job=placed.job.spec.id, task=placed.task.key),
                placed.task.run,
            )
            return
        if placed.task.phase is not _Phase.STOPPING:
            if placed.job.final:
                self._stop(worker, placed)
            return
        if placed.confirmed_at < asked_at - _STOP_AGAIN_SECONDS:
            placed.task.phase = _Phase.RUNNING
            self._stop(worker, placed)

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

    # Orders and their outcomes.

    def _take_outcome(self, outcome: _links.OrderOutcome) -> None:
        worker = self._workers.get(outcome.runner, outcome.lifetime)
        key = (outcome.name.job, outcome.name.task)
        placed = worker.placed.get(key) if worker else None
        if worker is None or placed is None:
            return
        if placed.task.run != outcome.run:
            return
        if outcome.is_start:
            self._take_start(worker, placed, outcome)
            return
        if outcome.result is _links.OrderResult.UNKNOWN:
            worker.link.order_stop(outcome.name, outcome.run)
            return
        # A run that is not there is refused from now on.
        placed.confirmed_at = outcome.at

    def _take_start(
        self,
        worker: _workers.Worker,
        placed: _workers.Placed,
        outcome: _links.OrderOutcome,
    ) -> None:
        job, task = placed.job, placed.task
        result = outcome.result
        self._parts.counters.add("starts", outcome=str(result))
        _logs.log(
            "task:start_answered",
            job=job.spec.id,
            task=task.key,
            run=task.run,
            runner=worker.entry.id,
            outcome=str(result),
            reason=outcome.reason,
        )
        if result is _links.OrderResult.DONE:
            placed.confirmed_at = outcome.at
            if task.phase is _Phase.ASSIGNED:
                task.phase = _Phase.RUNNING
                task.started_at = outcome.at
            return
        if result is _links.OrderResult.REFUSED:
            self._take_refusal(worker, job, task, outcome.reason)
        if outcome.clean and outcome.reason != "old":
            del worker.placed[(job.spec.id, task.key)]
            self._wait_again(job, task)
            task.not_before = outcome.at + _BACKOFF_SECONDS
            return
        self._stop(worker, placed)

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

    def _stop(self, worker: _workers.Worker, placed: _workers.Placed) -> None:
        """Order a stop; the capacity is free when the end is listed."""
        if placed.task.phase is _Phase.STOPPING:
            return
        placed.confirmed_at = float("inf")
        # A task that is over stays so; only its needless run is stopped.
        if placed.task.phase not in _OVER:
            placed.task.phase = _Phase.STOPPING
            self._book.mark(placed.job)
        name = _ports.TaskName(job=placed.job.spec.id, task=placed.task.key)
        worker.link.order_stop(name, placed.task.run)

    def _stop_tasks(self, job: peridotsill_scheduler.Job) -> None:
        for task in job.tasks:
            if not task.active:
                continue
            worker = self._workers.get(task.runner, task.lifetime)
            placed = (
                worker.placed.get((job.spec.id, task.key)) if worker else None
            )
            if worker is not None and placed is not None:
                self._stop(worker, placed)

    def _cancel(self, job: peridotsill_scheduler.Job) -> None:
        if job.final:
            return
        job.state = _State.CANCELLED
        _logs.log("job:state", job=job.spec.id, state="cancelled")
        self._book.mark(job)
        self._stop_tasks(job)

    # Rounds.

    def _round(self) -> None:
        now = _clock.awake_seconds()
        self._release(
            self._workers.lapsed(self._max_lease_seconds), "lease ran out"
        )
        self._release(self._workers.forsaken(), "silent, and may be copied")
        self._open_due()
        jobs = self._jobs_by_pool()
        starts: list[peridotsill_scheduler.Start] = []
        if self._parts.lease.held and self._registry_seen:
            self._fleet.step(jobs, self._estimator)
            starts = self._plan(jobs, now)
        orders = [self._assign(start, now) for start in starts]
        reloaded = self._book.commit()
        if reloaded is None:
            return
        self._settle_ends(reloaded)
        for start, order in zip(starts, orders):
            if start.job.key not in reloaded:
                self._send(start, order)

    def _settle_ends(self, reloaded: frozenset[tuple[str, str]]) -> None:
        """Let runners forget the ends that the rows now hold.

        If rows had to be read again, an end may have been applied to what
        was dropped; then every end since the last commit is taken again.
        """
        for worker in self._workers:
            if reloaded:
                worker.applied = worker.link.last_seen
            else:
                worker.link.commit_ends(worker.applied)
        for key in reloaded:
            self._readopt(key)

    def _open_due(self) -> None:
        unix_ms = _clock.unix_ms()
        for job in self._book.open_jobs:
            if job.opened < max(1, job.spec.occurrences):
                if peridotsill_scheduler.open_occurrences(job, unix_ms):
                    self._book.mark(job)

    def _jobs_by_pool(self) -> dict[str, list[peridotsill_scheduler.Job]]:
        jobs: dict[str, list[peridotsill_scheduler.Job]] = {}
        for job in self._book.open_jobs:
            queue_now = self._parts.catalog.queue(job.spec.queue)
            if queue_now is not None:
                job.queue = queue_now
            jobs.setdefault(job.queue.pool, []).append(job)
        return jobs

    def _plan(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        now: float,
    ) -> list[peridotsill_scheduler.Start]:
        views: dict[str, list[peridotsill_scheduler.VmView]] = {}
        for worker in self._workers:
            view = worker.view(now)
            views.setdefault(view.pool, []).append(view)
        starts: list[peridotsill_scheduler.Start] = []
        for pool, members in jobs.items():
            self._ask_advice(members, views.get(pool, []), now)
            starts += peridotsill_scheduler.plan_starts(
                policy=self._parts.settings.order_policy,
                jobs=members,
                vms=views.get(pool, []),
                now=now,
                estimator=self._estimator,
            )
        return starts

    def _ask_advice(
        self,
        jobs: list[peridotsill_scheduler.Job],
        vms: list[peridotsill_scheduler.VmView],
        now: float,
    ) -> None:
        """Ask which runners may run the steps that are ready."""
        if self._desk is None:
            return
        for job in jobs:
            timing = job.queue.advice
            if timing is None:
                continue
            job.permits = [each for each in job.permits if each.until > now]
            seen: set[tuple[int, int]] = set()
            for task in peridotsill_scheduler.ready_tasks(job, now):
                step = (task.occurrence, task.step.index)
                if step not in seen:
                    seen.add(step)
                    self._ask_for(self._desk, job, task, vms, timing)

    def _ask_for(
        self,
        desk: _advice.AdviceDesk,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        vms: list[peridotsill_scheduler.VmView],
        timing: peridotsill_scheduler.AdviceTiming,
    ) -> None:
        asked = (*job.key, task.occurrence, task.step.index)
        if asked in self._asked or any(vm.allows(job, task) for vm in vms):
            return
        fresh = [
            vm
            for vm in vms
            if vm.has_room(job, task)
            and not peridotsill_scheduler.permit_for(job, task, vm.runner)
        ]
        if not fresh:
            return
        fresh.sort(key=lambda vm: -vm.free.cores)
        self._asked.add(asked)
        desk.ask(
            _advice.Question(
                job=job,
                occurrence=task.occurrence,
                step=task.step.index,
                runners=tuple(
                    vm.runner for vm in fresh[: _advice.MOST_RUNNERS]
                ),
                timing=timing,
            )
        )

    def _take_advice(self, advised: _advice.Advised) -> None:
        question = advised.question
        job = question.job
        self._asked.discard((*job.key, question.occurrence, question.step))
        if not advised.answered:
            return
        good = {each.runner for each in advised.permits}
        job.permits += advised.permits
        # What the policy says of a step does not change.
        job.permits += [
            peridotsill_scheduler.Permit(
                occurrence=question.occurrence,
                step=question.step,
                runner=runner,
                ticket="",
                until=float("inf"),
            )
            for runner in question.runners
            if runner not in good
        ]

    def _assign(
        self, start: peridotsill_scheduler.Start, now: float
    ) -> _ports.StartOrder:
        """Record a start, to be committed before it is ordered."""
        job, task = start.job, start.task
        if job.state is _State.QUEUED:
            self._note_first_start(job, now)
        task.run = self._next_run(job, task)
        task.phase = _Phase.ASSIGNED
        task.runner = start.vm.runner
        task.lifetime = start.vm.lifetime
        task.started_at = 0.0
        worker = self._workers.get(task.runner, task.lifetime)
        if worker is not None:
            self._workers.place(worker, job, task, confirmed_at=float("inf"))
        peridotsill_scheduler.refresh_state(job)
        self._book.mark(job)
        return _ports.StartOrder(
            name=_ports.TaskName(job=job.spec.id, task=task.key),
            run=task.run,
            payload=job.spec.payload,
            lease_until_ms=0.0,
            fence=self._parts.lease.epoch,
            checkpoint=task.checkpoint,
            ticket=self._ticket_for(job, task),
        )

    def _ticket_for(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> str:
        permit = peridotsill_scheduler.permit_for(job, task, task.runner)
        return permit.ticket if permit else ""

    def _next_run(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> int:
        if not task.step.gang:
            return task.run + 1
        # All members of a gang carry the same number: the highest of any
        # before, or that of the members assigned in this round.
        members = peridotsill_scheduler.tasks_of(
            job, task.occurrence, task.step.index
        )
        highest = max(each.run for each in members)
        fresh = any(
            each.run == highest and each.phase is _Phase.ASSIGNED
            for each in members
        )
        return highest if fresh else highest + 1

    def _note_first_start(
        self, job: peridotsill_scheduler.Job, now: float
    ) -> None:
        work = peridotsill_scheduler.job_work(job, self._estimator)
        self._estimator.record_job(job.spec.queue, work)
        self._parts.counters.observe(
            "start_delay_seconds", now - job.arrived_at
        )

    def _send(
        self,
        start: peridotsill_scheduler.Start,
        order: _ports.StartOrder,
    ) -> None:
        worker = self._workers.get(start.vm.runner, start.vm.lifetime)
        _logs.log(
            "task:start",
            job=order.name.job,
            task=order.name.task,
            run=order.run,
            runner=start.vm.runner,
            vm=start.vm.vm,
            pool=start.vm.pool,
            free_cores=round(start.vm.free.cores, 2),
            age_seconds=round(
                _clock.awake_seconds() - start.job.arrived_at, 3
            ),
            epoch=order.fence,
        )
        if worker is not None:
            worker.link.order_start(order)

    def _readopt(self, key: tuple[str, str]) -> None:
        job = self._book.get(key)
        if job is None:
            return
        self._workers.forget_job(job)
        for task in job.tasks:
            if task.active:
                self._workers.adopt(job, task)
