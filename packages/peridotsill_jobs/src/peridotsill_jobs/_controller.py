"""The scheduler's loop.

Events are handled first; then each round makes decisions and commits the
changed jobs. Start orders are sent once the commit of their job is done.
"""

import contextlib
import queue
import threading
import time
import traceback

import attrs
import peridotsill

from peridotsill_jobs import _advice
from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _commands
from peridotsill_jobs import _departures
from peridotsill_jobs import _feeds
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _fleet
from peridotsill_jobs import _gone_runners
from peridotsill_jobs import _grants
from peridotsill_jobs import _handed_over_waits
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _job_store
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _lease
from peridotsill_jobs import _lifetimes
from peridotsill_jobs import _link_events
from peridotsill_jobs import _links
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _open_starts
from peridotsill_jobs import _placements
from peridotsill_jobs import _ports
from peridotsill_jobs import _round_timing
from peridotsill_jobs import _runner_client
from peridotsill_jobs import _runs
from peridotsill_jobs import _start_checks
from peridotsill_jobs import _suspects
from peridotsill_jobs import _team_usage
from peridotsill_jobs import _workers
import peridotsill_scheduler

_TaskPhase = peridotsill_scheduler.TaskPhase
_JobState = peridotsill_scheduler.JobState

# Pause after the first event, so that one round and its commit cover many
# events; short compared with a task's run time.
_BATCH_DELAY_SECONDS = 0.008
# Longest time for which events are handled before a round. On a slow node
# they may arrive faster than they are handled, and only rounds start tasks.
_MAX_BATCH_SECONDS = 0.1
# A round starts after this long without events, for what is due by time.
_MAX_ROUND_INTERVAL_SECONDS = 0.2
# Pause before the job rows are read again after a failure.
_LOAD_RETRY_DELAY_SECONDS = 0.2

Event = (
    _feeds.JobRowsChanged
    | _feeds.RegistrySnapshot
    | _feeds.RegistryReadFailed
    | _feeds.VmListSnapshot
    | _link_events.ReportReceived
    | _link_events.OrderOutcome
    | _link_events.RunnerRefuses
    | _link_events.RunnerFoundGone
    | _commands.CommandOutcome
    | _advice.AdviceResult
)
_RecordedStart = tuple[peridotsill_scheduler.Start, _ports.StartOrder]


@attrs.frozen(kw_only=True)
class ControllerParts:
    """Dependencies of a `Controller`."""

    settings: _live_settings.LiveSettings
    ports: _ports.PlatformPorts
    catalog: _catalog.Catalog
    lease: _lease.Lease
    counters: peridotsill.Counters
    stopped: threading.Event
    team_figures: _team_usage.TeamFigures = attrs.field(
        factory=_team_usage.TeamFigures
    )


class Controller:
    """Schedules all jobs under one epoch of the lease."""

    def __init__(self, *, parts: ControllerParts) -> None:
        self._parts = parts
        self._inbox: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._job_store = _job_store.JobStore(
            table=parts.ports.adaptive_timeout_table(),
            catalog=parts.catalog,
            lease=parts.lease,
            counters=parts.counters,
            limits=parts.ports.table_limits,
            get_open_starts=lambda: self._workers.open_starts(
                self._max_lease_seconds
            ),
        )
        self._call_loop = peridotsill.CallLoop(
            on_error=_log_failed_call,
            limits=peridotsill.ResponseLimits.for_runners(
                parts.settings.current.peer_limits
            ),
        )
        self._tokens = _fencing_tokens.FencingTokens(epoch=parts.lease.epoch)
        self._departures = _departures.Departures()
        self._workers = _workers.Workers(
            connect=self._connect_runner,
            departures=self._departures,
            inherited_leases=_inherited_leases.InheritedLeases(
                waits=parts.lease.inherited_waits,
                get_grants_end=lambda: parts.lease.earlier_grants_end_at,
            ),
        )
        self._teams = _team_usage.TeamTracker(
            catalog=parts.catalog,
            workers=self._workers,
            counters=parts.counters,
            figures=parts.team_figures,
        )
        self._feeds = _feeds.Feeds(ports=parts.ports, post=self._inbox.put)
        self._estimator = peridotsill_scheduler.Estimator()
        self._runs = _runs.RunTracker(
            job_store=self._job_store,
            workers=self._workers,
            estimator=self._estimator,
            counters=parts.counters,
        )
        self._placements = _placements.Placements(
            settings=parts.settings,
            workers=self._workers,
            counters=parts.counters,
        )
        self._registry: _feeds.RegistrySnapshot | None = None
        self._starts_paused = False
        self._round_timer = _round_timing.RoundTimer(counters=parts.counters)
        self._command_sender = _commands.CommandSender(
            node=parts.settings.current.node,
            vms=parts.ports.vms,
            lease=parts.lease,
            post=self._inbox.put,
        )
        handover_ms = parts.settings.current.bounds.handover_ms
        self._command_row = _command_rows.CommandRow(
            table=parts.ports.adaptive_timeout_table(),
            lease=parts.lease,
            handover_seconds=handover_ms / 1000.0,
        )
        self._fleet = self._make_fleet()
        self._suspects = _suspects.Suspects(
            job_store=self._job_store, runs=self._runs
        )
        self._gone_runners = _gone_runners.GoneRunnerHandler(
            workers=self._workers,
            fleet=self._fleet,
            suspects=self._suspects,
            requeue_lost=self._runs.requeue_lost,
            request_vm_list=self._feeds.request_vm_list,
            counters=parts.counters,
        )
        self._lifetimes = _lifetimes.LifetimeTracker(
            workers=self._workers,
            job_store=self._job_store,
            runs=self._runs,
            gone_runners=self._gone_runners,
        )
        self._advice: _advice.AdviceRequester | None = None
        if parts.ports.advisor is not None:
            advice_queue = _advice.AdviceQueue(
                advisor=parts.ports.advisor, post=self._inbox.put
            )
            self._advice = _advice.AdviceRequester(advice_queue=advice_queue)

    @property
    def _max_lease_seconds(self) -> float:
        return self._parts.settings.current.bounds.max_lease_ms / 1000.0

    def _connect_runner(self, entry: _ports.RunnerEntry) -> _links.RunnerLink:
        link = _links.RunnerLink(
            parts=_runner_client.LinkParts(
                entry=entry,
                loop=self._call_loop,
                calls=self._parts.ports.runner_calls(entry),
                lease=self._parts.lease,
                grants=_grants.Grants(
                    lease=self._parts.lease,
                    max_lease_seconds=self._max_lease_seconds,
                ),
                tokens=self._tokens.of_runner(entry.id),
                post=self._inbox.put,
            )
        )
        link.start()
        return link

    def _make_fleet(self) -> _fleet.Fleet:
        parts = self._parts
        return _fleet.Fleet(
            parts=_fleet.FleetParts(
                settings=parts.settings,
                catalog=parts.catalog,
                table=parts.ports.table,
                keys=parts.ports.keys,
                documents=parts.ports.documents,
                workers=self._workers,
                command_row=self._command_row,
                command_sender=self._command_sender,
                evict=self._runs.stop,
                requeue_lost=self._runs.requeue_lost,
                count_startable=self._teams.count_startable,
            )
        )

    @property
    def _should_stop(self) -> bool:
        return self._parts.stopped.is_set() or self._parts.lease.lost

    def run(self) -> None:
        """Schedule until the lease is lost or the node leaves."""
        try:
            self._call_loop.start()
            # The VMs and runners are read while the jobs load; their events
            # are handled afterwards.
            self._feeds.start_polling()
            self._command_row.claim()
            revision = self._load_jobs()
            if revision is None:
                return
            self._feeds.start_following_jobs(revision)
            while not self._should_stop:
                self._handle_events()
                with self._round_timer.round(
                    open_jobs=lambda: len(self._job_store.open_jobs),
                    runners=lambda: sum(1 for _ in self._workers),
                ):
                    self._run_round()
        finally:
            self._close()

    def _close(self) -> None:
        self._parts.team_figures.clear()
        self._feeds.stop()
        self._command_sender.stop()
        self._job_store.close()
        if self._advice is not None:
            self._advice.stop()
        self._workers.stop()
        self._call_loop.stop()

    def _load_jobs(self) -> int | None:
        while not self._should_stop:
            revision = self._job_store.load()
            if revision is not None:
                self._adopt_loaded_jobs()
                return revision
            time.sleep(_LOAD_RETRY_DELAY_SECONDS)
        return None

    def _adopt_loaded_jobs(self) -> None:
        jobs = tuple(self._job_store.open_jobs)
        self._teams.adopt(jobs, self._job_store.pop_ended_arrivals())
        for job in jobs:
            for task in job.tasks:
                if task.active:
                    self._workers.adopt(job, task)
            self._record_arrival(job)
        self._adopt_open_starts(jobs)
        for job in self._job_store.cancelled:
            self._runs.cancel(job)
        self._suspects.adopt()
        self._parts.lease.set_waits_source(self._compute_waits)
        _logs.log(
            "scheduler:began", epoch=self._parts.lease.epoch, jobs=len(jobs)
        )

    def _adopt_open_starts(
        self, jobs: tuple[peridotsill_scheduler.Job, ...]
    ) -> None:
        """Record which starts of earlier schedulers may be unanswered."""
        sent_before = max(
            _clock.monotonic_seconds(), self._parts.lease.earlier_grants_end_at
        )
        in_doubt = {
            (task.runner, _late_starts.run_id(job, task))
            for job in jobs
            for task in job.tasks
            if task.active and self._job_store.may_start_be_open(job, task)
        }
        # Also of tasks that are over: a next lifetime has to refuse them.
        unanswered = self._job_store.inherited_open_starts
        inherited = sorted(in_doubt | unanswered)
        for runner, run in inherited:
            self._workers.record_inherited_start(
                runner,
                run,
                sent_before,
                is_in_doubt=(runner, run) not in unanswered,
            )
        _open_starts.log_inherited(inherited)

    def _compute_waits(self) -> dict[str, float]:
        max_lease_seconds = self._max_lease_seconds
        return _handed_over_waits.fit_waits(
            self._workers.remaining_waits(max_lease_seconds),
            max_bytes=self._parts.ports.table_limits.value_bytes,
            longest_lease_seconds=_grants.longest_lease_seconds(
                max_lease_seconds
            ),
        )

    def _handle_events(self) -> None:
        with contextlib.suppress(queue.Empty):
            self._handle_event(
                self._inbox.get(timeout=_MAX_ROUND_INTERVAL_SECONDS)
            )
            time.sleep(_BATCH_DELAY_SECONDS)
            deadline = time.monotonic() + _MAX_BATCH_SECONDS
            while time.monotonic() < deadline:
                self._handle_event(self._inbox.get_nowait())

    def _handle_event(self, event: Event) -> None:
        match event:
            case _feeds.JobRowsChanged():
                for row in event.rows:
                    self._apply_job_row(row)
            case _feeds.RegistrySnapshot():
                self._apply_registry(event)
            case _feeds.RegistryReadFailed():
                self._departures.record_registry_failure()
            case _feeds.VmListSnapshot():
                self._departures.record_vm_list(
                    event, self._parts.catalog.standby_pools
                )
                self._fleet.apply_vm_list(event)
                self._gone_runners.handle_vm_list()
            case _commands.CommandOutcome():
                self._fleet.handle_outcome(event)
            case _advice.AdviceResult():
                if self._advice is not None:
                    self._advice.record_result(event)
            case _link_events.ReportReceived():
                self._apply_report(event)
            case _link_events.OrderOutcome():
                self._runs.apply_order_outcome(event)
            case _link_events.RunnerRefuses():
                self._gone_runners.handle_refusal(event)
            case _link_events.RunnerFoundGone():
                self._gone_runners.handle(event)

    def _apply_registry(self, event: _feeds.RegistrySnapshot) -> None:
        self._registry = event
        self._departures.record_registry(event)
        self._workers.update(event.entries)

    def _apply_report(self, event: _link_events.ReportReceived) -> None:
        self._lifetimes.apply_report(event)
        if not event.is_from_another:
            self._runs.apply_report(event)

    def _apply_job_row(self, row: peridotsill.Row) -> None:
        open_before = len(self._job_store.open_jobs)
        job, cancelled = self._job_store.apply_row(row)
        if job is None:
            return
        if cancelled:
            self._runs.cancel(job)
        elif len(self._job_store.open_jobs) > open_before:
            self._teams.see(job)
            self._record_arrival(job)

    def _record_arrival(self, job: peridotsill_scheduler.Job) -> None:
        if not job.long_lived and self._teams.counts_as_demand(job):
            arrival = peridotsill_scheduler.arrival_of(job, self._estimator)
            self._fleet.record_arrival(job.queue.pool, arrival)

    def _run_round(self) -> None:
        now = _clock.monotonic_seconds()
        for ended in self._workers.pop_ended():
            self._runs.requeue_lost(ended.tasks, ended.evidence)
        if self._parts.lease.held:
            self._requeue_silent()
        self._open_due_occurrences()
        jobs = self._jobs_by_pool()
        self._teams.begin_round(
            self._job_store.open_jobs, self._max_lease_seconds
        )
        starts: list[peridotsill_scheduler.Start] = []
        if self._parts.lease.held and self._registry is not None:
            with self._round_timer.part("fleet"):
                self._fleet.decide(jobs, self._estimator)
            if self._is_registry_valid(self._registry, now):
                with self._round_timer.part("plan"):
                    starts = self._plan_starts(jobs, now)
                self._teams.end_round(starts)
        unsent: dict[tuple[str, str], list[_RecordedStart]] = {}
        for start in starts:
            order = self._record_start(start, now)
            unsent.setdefault(start.job.key, []).append((start, order))
        with self._round_timer.part("commit"):
            reread_keys = self._job_store.commit(
                lambda keys: self._send_starts_of(keys, unsent)
            )
        if reread_keys is not None:
            self._withdraw_rejected_starts(unsent)
            self._acknowledge_ends(reread_keys)

    def _requeue_silent(self) -> None:
        """Requeue the tasks of runners that have been silent for too long.

        Only the holder of the lease knows for how long: after a pause, another
        scheduler may have extended the leases of runs.
        """
        self._runs.requeue_lost(
            self._workers.pop_expired(self._max_lease_seconds), "lease ran out"
        )
        self._runs.requeue_lost(
            self._workers.pop_speculative(), "silent, and may be copied"
        )

    def _is_registry_valid(
        self, registry: _feeds.RegistrySnapshot, now: float
    ) -> bool:
        """Tell whether to start tasks by a registry; log when that changes."""
        valid = now < registry.valid_until
        if valid == self._starts_paused:
            self._starts_paused = not valid
            _logs.log(
                "starts:resumed" if valid else "starts:paused",
                reason="" if valid else "the registry can't be read",
                registry_age_seconds=round(now - registry.requested_at, 3),
            )
        return valid

    def _send_starts_of(
        self,
        keys: list[tuple[str, str]],
        unsent: dict[tuple[str, str], list[_RecordedStart]],
    ) -> None:
        """Send the starts of jobs that were just written.

        The jobs of the round's other transactions needn't be waited for: a
        start depends on its own job's row alone.

        Args:
            keys: The jobs' keys.
            unsent: The round's starts by job; those of ``keys`` are removed,
                as a job may be written once more.
        """
        starts = [each for key in keys for each in unsent.pop(key, ())]
        if starts and self._registry is not None:
            # Also a part of "commit", within which it is done.
            with self._round_timer.part("send"):
                self._send_starts(starts, self._registry)

    def _withdraw_rejected_starts(
        self, unsent: dict[tuple[str, str], list[_RecordedStart]]
    ) -> None:
        """Let tasks wait again whose starts the table refused to record."""
        for key in self._job_store.rejected_keys & unsent.keys():
            for start, _ in unsent[key]:
                job, task = start.job, start.task
                worker = self._workers.get(task.runner, task.lifetime)
                if worker is not None:
                    del worker.placed[(job.spec.id, task.key)]
                self._runs.requeue_lost([(job, task)], "not recorded")

    def _send_starts(
        self,
        starts: list[_RecordedStart],
        registry: _feeds.RegistrySnapshot,
    ) -> None:
        """Send recorded starts that the newest registry still allows.

        Args:
            starts: The starts with their orders.
            registry: The one by which they were planned.
        """
        latest = self._feeds.latest_registry
        newer_entries = None
        if latest is not None and latest.requested_at > registry.requested_at:
            registry = latest
            newer_entries = {entry.id: entry for entry in latest.entries}
        for start, order in starts:
            if newer_entries is None or self._may_send(start, newer_entries):
                self._send_start(
                    start,
                    attrs.evolve(order, send_before=registry.valid_until),
                )

    def _may_send(
        self,
        start: peridotsill_scheduler.Start,
        entries: dict[str, _ports.RunnerEntry],
    ) -> bool:
        """Tell whether to send a start; if not, its task waits again."""
        job, task = start.job, start.task
        worker = self._workers.get(task.runner, task.lifetime)
        if worker is None:
            return False
        reason = _start_checks.why_not_to_send(
            worker, entries.get(task.runner), _clock.monotonic_seconds()
        )
        if reason:
            del worker.placed[(job.spec.id, task.key)]
            self._runs.requeue_lost([(job, task)], f"not sent: {reason}")
        return not reason

    def _acknowledge_ends(
        self, reread_keys: frozenset[tuple[str, str]]
    ) -> None:
        """Let runners forget the task ends that are now committed.

        If rows had to be read again, an end may have been applied to state
        that was discarded. Then every end since the last commit is applied
        again, and the tasks of the jobs that were read again are placed anew.
        """
        applied_ends = self._runs.applied_ends
        if reread_keys:
            applied_ends.reapply_all(self._workers)
        else:
            unwritten_keys = (
                self._job_store.rejected_keys
                | self._job_store.quarantined_keys
            )
            applied_ends.acknowledge(
                self._workers,
                frozenset(job_id for _, job_id in unwritten_keys),
            )
        for key in reread_keys:
            self._readopt_job(key)

    def _open_due_occurrences(self) -> None:
        unix_ms = _clock.unix_ms()
        for job in self._job_store.open_jobs:
            if job.next_due_ms <= unix_ms:
                peridotsill_scheduler.open_occurrences(job, unix_ms)
                self._job_store.mark_dirty(job)

    def _jobs_by_pool(self) -> dict[str, list[peridotsill_scheduler.Job]]:
        jobs: dict[str, list[peridotsill_scheduler.Job]] = {}
        queues: dict[str, peridotsill_scheduler.Queue | None] = {}
        for job in self._job_store.open_jobs:
            if self._job_store.is_rejected(job):
                continue
            name = job.spec.queue
            if name not in queues:
                queues[name] = self._parts.catalog.queue(name)
            current_queue = queues[name]
            if current_queue is not None:
                job.queue = current_queue
            jobs.setdefault(job.queue.pool, []).append(job)
        return jobs

    def _plan_starts(
        self,
        jobs: dict[str, list[peridotsill_scheduler.Job]],
        now: float,
    ) -> list[peridotsill_scheduler.Start]:
        views: dict[str, list[peridotsill_scheduler.VmView]] = {}
        for worker in self._workers:
            view = worker.view(now)
            view.unexplained_crashes = self._suspects.unexplained_crashes(
                worker.host
            )
            views.setdefault(view.pool, []).append(view)
        starts: list[peridotsill_scheduler.Start] = []
        for pool, pool_jobs in jobs.items():
            if self._advice is not None:
                self._advice.request_for_ready_steps(
                    pool_jobs, views.get(pool, []), now
                )
            with self._placements.in_round(pool, now) as placement:
                starts += peridotsill_scheduler.plan_starts(
                    policy=self._parts.settings.current.order_policy,
                    jobs=pool_jobs,
                    vms=views.get(pool, []),
                    now=now,
                    estimator=self._estimator,
                    placement=placement,
                    quotas=self._teams.quotas,
                )
        return starts

    def _record_start(
        self, start: peridotsill_scheduler.Start, now: float
    ) -> _ports.StartOrder:
        """Record a start; it is committed before the order is sent."""
        job, task = start.job, start.task
        if job.state is _JobState.QUEUED:
            self._record_first_start(job, now)
        if task.step.gang:
            task.checkpoint = _gang_checkpoint(job, task)
        task.run = self._next_run_number(job, task)
        task.phase = _TaskPhase.ASSIGNED
        task.runner = start.vm.runner
        task.lifetime = start.vm.lifetime
        task.started_at = 0.0
        worker = self._workers.get(task.runner, task.lifetime)
        if worker is not None:
            self._workers.place(
                worker, job, task, last_answered_at=float("inf")
            )
        peridotsill_scheduler.refresh_state(job)
        self._job_store.mark_dirty(job)
        return _ports.StartOrder(
            name=_ports.TaskName(job=job.spec.id, task=task.key),
            run=task.run,
            payload=job.spec.payload,
            checkpoint=task.checkpoint,
            ticket=self._ticket_for(job, task),
        )

    def _ticket_for(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> str:
        answer = peridotsill_scheduler.advisor_answer_for(
            job, task, task.runner
        )
        return answer.ticket if answer else ""

    def _next_run_number(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> int:
        if not task.step.gang:
            return task.run + 1
        # All members of a gang have the same run: one more than the highest
        # so far, or that of the members already assigned in this round.
        members = peridotsill_scheduler.tasks_of(
            job, task.occurrence, task.step.index
        )
        highest_run = max(each.run for each in members)
        run_is_new = any(
            each.run == highest_run and each.phase is _TaskPhase.ASSIGNED
            for each in members
        )
        return highest_run if run_is_new else highest_run + 1

    def _record_first_start(
        self, job: peridotsill_scheduler.Job, now: float
    ) -> None:
        work = peridotsill_scheduler.job_work(job, self._estimator)
        self._estimator.record_job(job.spec.queue, work)
        self._parts.counters.observe(
            "start_delay_seconds", now - job.arrived_at
        )

    def _send_start(
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
            crashes=len(start.task.crashes),
            age_seconds=round(
                _clock.monotonic_seconds() - start.job.arrived_at, 3
            ),
            epoch=self._parts.lease.epoch,
        )
        if worker is not None:
            worker.link.order_start(order)

    def _readopt_job(self, key: tuple[str, str]) -> None:
        self._workers.forget_job(key)
        job = self._job_store.get(key)
        if job is None:
            return
        for task in job.tasks:
            if task.active:
                self._workers.adopt(job, task)


def _gang_checkpoint(
    job: peridotsill_scheduler.Job, task: peridotsill_scheduler.Task
) -> str:
    """Return the checkpoint from which all members of a gang resume.

    They work together only if they resume from the same one, and that of any
    member is valid for all of them.
    """
    members = peridotsill_scheduler.tasks_of(
        job, task.occurrence, task.step.index
    )
    return next((each.checkpoint for each in members if each.checkpoint), "")


def _log_failed_call(error: Exception) -> None:
    lines = traceback.format_exception(error)
    _logs.log("calls:failed", traceback="".join(lines))
