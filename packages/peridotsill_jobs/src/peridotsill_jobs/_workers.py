"""The scheduler's view of the runners and of the tasks placed on them."""

import collections.abc

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _departures
from peridotsill_jobs import _former_calls
from peridotsill_jobs import _grants
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _lease
from peridotsill_jobs import _links
from peridotsill_jobs import _logs
from peridotsill_jobs import _open_starts
from peridotsill_jobs import _ports
from peridotsill_jobs import _reserved_room
from peridotsill_jobs import _start_checkpoints
import peridotsill_scheduler

# A runner that has not answered for this long may be lost: one poll and its
# retry have failed. The next holder of the lease may have to wait for it.
_SILENT_SECONDS = 2.5
# A speculative task is started elsewhere when its runner has not answered
# for this long: one long poll, and one failed poll.
_SPECULATE_AFTER_SECONDS = 2.0
# A report counts as current for this long: one long poll, and the time that
# the next report takes to arrive.
_REPORT_VALID_SECONDS = 1.4
# A runner that refused a start, other than for its ticket, gets no starts
# for this long.
_REFUSAL_PAUSE_SECONDS = 1.0
# A runner that a new scheduler has not reached after this long is logged.
_AWAITED_LOG_SECONDS = 2.0
_FULL_SPEED_PERCENT = 100
# Earlier schedulers have sent no calls to a runner that began this long after
# the present one, nor to a former lifetime of it.
_LATER_THAN_SCHEDULER_SECONDS = 2.0
# For this long after a silent runner's leases have expired, a crash of it is
# held against the runs that were there.
_LOST_RUN_MEMORY_SECONDS = 60.0

JobTask = tuple[peridotsill_scheduler.Job, peridotsill_scheduler.Task]


@attrs.define(kw_only=True, eq=False)
class PlacedTask:
    """A task that is, or may be, on a runner.

    ``last_answered_at`` is when the last order about it was answered, in
    seconds of `_clock.monotonic_seconds`; infinite while an order may still
    be carried out, and 0 if this scheduler has sent none.
    ``listed_by_runner`` tells that the runner has reported the run as
    running. ``load_metric`` is as in `_ports.ReportedRun`.
    ``placed_at`` is when this scheduler placed it, in the same seconds, and
    ``came_to_work`` tells that it is long-lived and has.
    ``run`` is the number of the run, and ``former_run_began_at`` when it had
    begun if it was abandoned or lost since, as the task may have another run
    by then.
    """

    job: peridotsill_scheduler.Job
    task: peridotsill_scheduler.Task
    last_answered_at: float
    listed_by_runner: bool = False
    speed_percent: int = 100
    load_metric: float = 0.0
    former_run_began_at: float | None = None
    placed_at: float = attrs.field()
    came_to_work: bool = False
    run: int = attrs.field(init=False)

    @placed_at.default
    def _now(self) -> float:
        return _clock.monotonic_seconds()

    @run.default
    def _current_run(self) -> int:
        return self.task.run

    def mark_former(self) -> None:
        """Keep the run's data, as its task is about to be started again."""
        self.former_run_began_at = self.task.started_at

    @property
    def is_known_to_run(self) -> bool:
        """Whether the runner has confirmed or listed the run."""
        is_running = (
            self.former_run_began_at is None
            and self.task.phase is peridotsill_scheduler.TaskPhase.RUNNING
        )
        return self.listed_by_runner or self.began_at > 0 or is_running

    @property
    def began_at(self) -> float:
        """When the run began; 0 if that is not known."""
        if self.former_run_began_at is None:
            return self.task.started_at
        return self.former_run_began_at

    @property
    def is_age_known(self) -> bool:
        """Whether the run's age is known, and not just a lower bound of it.

        An earlier scheduler may have started the run long ago, unless the
        runner has not confirmed it yet.
        """
        is_unconfirmed = (
            self.former_run_began_at is None
            and self.task.phase is peridotsill_scheduler.TaskPhase.ASSIGNED
        )
        return self.last_answered_at > 0 or is_unconfirmed

    @property
    def awaits_answer(self) -> bool:
        """Whether an order about it may still be carried out."""
        return self.last_answered_at == float("inf")

    @property
    def id(self) -> _late_starts.RunId:
        """The run's job, task and number."""
        return (self.job.spec.id, self.task.key, self.run)

    @property
    def name(self) -> _ports.TaskName:
        """The task's name, unique across jobs."""
        return _ports.TaskName(job=self.job.spec.id, task=self.task.key)


@attrs.frozen(kw_only=True)
class EndedRunner:
    """Tasks of a runner that the platform shows to have ended."""

    tasks: list[JobTask]
    evidence: str


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A runner, its link and its tasks.

    ``placed`` is by job id and task key. ``abandoned`` holds, by job id,
    task key and run, the runs whose tasks were started again elsewhere and
    that may still run here; their capacity stays reserved until they have
    ended. ``lost_runs`` were here when the leases expired, at ``lost_at``,
    while it is not known whether the runner crashed. ``last_applied_end``
    is the number of the newest end that was applied. ``reported`` tells that
    a report of this lifetime was applied, and ``unknown_runs``
    counts the runs in the last report that are neither placed nor
    abandoned here. ``fleet_closed_reason`` says why the fleet lets nothing
    start here, or is empty. ``listed`` tells that the registry has this
    lifetime of the runner, ``gone`` that its process was found to have
    ended, ``avoided`` that its VM is due in a wave. The lifetime is known
    since ``known_at``, and has been used since ``took_over_at`` in place of
    those in ``ended_lifetimes``. ``began_at`` is about when it began if calls
    of earlier schedulers for a former lifetime may act on it, and
    ``former_poll_at`` when a poll for the last one was found unanswered.
    ``late_starts`` go on from one lifetime to the next. ``crash_recorded``
    tells that its end was held against its tasks. Times are those of
    `_clock.monotonic_seconds`.
    """

    entry: _ports.RunnerEntry
    link: _links.RunnerLink
    placed: dict[tuple[str, str], PlacedTask] = attrs.field(factory=dict)
    abandoned: dict[tuple[str, str, int], PlacedTask] = attrs.field(
        factory=dict
    )
    lost_runs: list[PlacedTask] = attrs.field(factory=list)
    lost_at: float = 0.0
    last_applied_end: int = 0
    reported: bool = False
    listed: bool = True
    gone: bool = False
    unknown_runs: int = 0
    paused_until: float = 0.0
    breaker: peridotsill_scheduler.CircuitBreaker = attrs.field(
        factory=peridotsill_scheduler.CircuitBreaker
    )
    vm: str = ""
    avoided: bool = False
    paced_at: float = 0.0
    fleet_closed_reason: str = ""
    known_at: float = 0.0
    took_over_at: float = float("-inf")
    began_at: float = float("-inf")
    former_poll_at: float = float("-inf")
    late_starts: _late_starts.LateStarts = attrs.field(
        factory=_late_starts.LateStarts
    )
    crash_recorded: bool = False
    ended_lifetimes: frozenset[int] = frozenset()
    _room: _reserved_room.ReservedRoom = attrs.field(
        factory=_reserved_room.ReservedRoom, init=False
    )

    @property
    def lifetime(self) -> int:
        """The lifetime that the link is connected to."""
        return self.entry.lifetime

    @property
    def host(self) -> str:
        """The host of the runner's address, which stays with its VM."""
        return self.entry.address.rpartition(":")[0]

    @property
    def runs(self) -> tuple[PlacedTask, ...]:
        """All runs that are, or were until it fell silent, on the runner."""
        return (
            *self.placed.values(),
            *self.abandoned.values(),
            *self.lost_runs,
        )

    def lose_runs(
        self, now: float, kept: collections.abc.Collection[PlacedTask] = ()
    ) -> list[JobTask]:
        """Take runs off the runner, as their leases have expired.

        Args:
            now: The time.
            kept: Those that stay placed.

        Returns:
            The tasks that were placed here.
        """
        lost = {
            key: each for key, each in self.placed.items() if each not in kept
        }
        former = {
            key: each
            for key, each in self.abandoned.items()
            if each not in kept
        }
        if lost or former:
            self.lost_runs += [*lost.values(), *former.values()]
            self.lost_at = now
        for key, placed in lost.items():
            placed.mark_former()
            del self.placed[key]
        for abandoned_key in former:
            del self.abandoned[abandoned_key]
        return [(each.job, each.task) for each in lost.values()]

    def remove_placed(
        self, kept: collections.abc.Collection[PlacedTask] = ()
    ) -> list[JobTask]:
        """Remove and return the tasks that are placed here but some."""
        removed = {
            key: each for key, each in self.placed.items() if each not in kept
        }
        for key in removed:
            del self.placed[key]
        return [(each.job, each.task) for each in removed.values()]

    def record_dropped_starts(self) -> None:
        """Record starts as unanswered whose outcome the link won't post."""
        now = _clock.monotonic_seconds()
        for placed in self.placed.values():
            is_sent = self.link.may_have_begun(placed.name, placed.run)
            if is_sent and not placed.is_known_to_run:
                self.late_starts.record(placed.id, now)

    def forget_lost_runs(self, now: float) -> None:
        """Forget lost runs if the runner answers again, or after a while."""
        answers = self.link.reached and self.link.may_grant
        if answers or now > self.lost_at + _LOST_RUN_MEMORY_SECONDS:
            self.lost_runs.clear()

    def may_have_begun(self, placed: PlacedTask) -> bool:
        """Tell whether a run may have begun, though perhaps not confirmed.

        A start of this scheduler that is still queued has not. One of an
        earlier scheduler may have been sent by it.
        """
        ordered_here = placed.last_answered_at > 0
        return (
            placed.is_known_to_run
            or not ordered_here
            or self.link.may_have_begun(placed.name, placed.run)
        )

    @property
    def draining(self) -> bool:
        """Whether the runner has announced that it leaves."""
        return self.entry.state is _ports.RunnerState.DRAINING

    @property
    def is_settled(self) -> bool:
        """Whether its end is known and no crash is looked for."""
        return self.gone and not self.lost_runs

    def record_failure(self, placed: PlacedTask) -> None:
        """Record that a run failed here, through whoever's fault."""
        if placed.came_to_work:
            return
        now = _clock.monotonic_seconds()
        job_id = placed.job.spec.id
        if self.breaker.record_failure(job_id, placed.placed_at, now):
            _logs.log("runner:suspected", runner=self.entry.id)

    def record_at_work(self, placed: PlacedTask) -> None:
        """Record that a listed run goes on; a success once it is at work."""
        task = placed.task
        if (
            task.step.long_lived
            and not placed.came_to_work
            and peridotsill_scheduler.has_come_to_work(
                task.started_at, _clock.monotonic_seconds()
            )
        ):
            placed.came_to_work = True
            self.breaker.record_success(placed.placed_at)

    def _has_trial(self, now: float) -> bool:
        """Tell whether a run is on trial that has not succeeded yet."""
        return any(
            self.breaker.is_trial(each.placed_at, now)
            and not each.came_to_work
            for each in self.placed.values()
        )

    def pause_starts(self) -> None:
        """Start nothing here for a while, after a refused start."""
        self.paused_until = _clock.monotonic_seconds() + _REFUSAL_PAUSE_SECONDS

    def closed_reason(self, now: float) -> str:
        """Return why nothing may be started here; empty if it may."""
        if self.fleet_closed_reason:
            return self.fleet_closed_reason
        if self.gone:
            return "its process has ended"
        if not self.listed:
            return "not in the registry"
        if self.draining:
            return "draining"
        if self.link.refused:
            return "refuses connections"
        if not self.link.reached:
            return "has not answered this scheduler yet"
        if not self.link.may_grant:
            return "silent"
        if self.unknown_runs:
            return "holds runs that are not placed on it"
        if now < self.paused_until:
            return "refused a start recently"
        if self.breaker.is_open(now):
            return "its last tasks all failed"
        if self.breaker.is_half_open(now) and self._has_trial(now):
            return peridotsill_scheduler.TRIAL_REASON
        return ""

    def view(self, now: float) -> peridotsill_scheduler.VmView:
        """Return the scheduler's view, with the tasks' resources reserved.

        It may change with the next call.
        """
        tasks = [*self.placed.values(), *self.abandoned.values()]
        view = self._room.view(self.entry, tasks, now)
        view.vm = self.vm
        view.closed_reason = self.closed_reason(now)
        view.on_trial = self.breaker.is_half_open(now)
        view.avoided = self.avoided
        return view


class Workers:
    """All runners that are in the registry or may still hold tasks.

    Args:
        connect: Returns a started link to a runner.
        inherited_leases: Leases of runs that earlier schedulers granted.
        departures: Tells which runners the platform shows to have ended.
    """

    def __init__(
        self,
        *,
        connect: collections.abc.Callable[
            [_ports.RunnerEntry], _links.RunnerLink
        ],
        inherited_leases: _inherited_leases.InheritedLeases | None = None,
        departures: _departures.Departures | None = None,
    ) -> None:
        self._connect = connect
        self._departures = departures or _departures.Departures()
        self._inherited_leases = (
            inherited_leases
            or _inherited_leases.InheritedLeases(
                get_grants_end=lambda: float("-inf")
            )
        )
        self._workers: dict[str, Worker] = {}
        self._created_at = _clock.monotonic_seconds()
        # By runner, when the newest lifetime of tasks in the rows began.
        self._awaited_lifetime_began_at: dict[str, float] = {}
        # Lifetimes that the registry names in place of the known ones.
        self._candidates: dict[str, Worker] = {}
        self._awaiting_runner: dict[str, list[JobTask]] = {}
        self._awaiting_since: dict[str, float] = {}
        self._unlisted_starts = _open_starts.UnlistedStarts()
        # By runner, lifetimes that the platform has shown to have ended. A
        # late write may bring their entries back.
        self._departed: dict[str, frozenset[int]] = {}
        # Runners that were logged as waited for.
        self._logged_awaited: set[str] = set()
        # Lifetimes that were logged as waited for by calls for a former one.
        self._logged_former_calls: set[tuple[str, int]] = set()
        # When the registry was first read.
        self._registry_read_at = float("inf")

    def __iter__(self) -> collections.abc.Iterator[Worker]:
        return iter(tuple(self._workers.values()))

    def get(self, runner: str, lifetime: int) -> Worker | None:
        """Return a runner if its lifetime is still this one."""
        worker = self._workers.get(runner)
        if worker is None or worker.lifetime != lifetime:
            return None
        return worker

    def find(self, runner: str) -> Worker | None:
        """Return a runner, whatever its lifetime."""
        return self._workers.get(runner)

    def adopt(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        """Place a task that the rows record as on a runner.

        Until the runner has answered this scheduler, an earlier scheduler's
        orders may still take effect there; afterwards the runner's fence
        refuses them.
        """
        worker = self.get(task.runner, task.lifetime)
        if worker is None:
            self._awaiting_runner.setdefault(task.runner, []).append(
                (job, task)
            )
            self._awaiting_since[task.runner] = _clock.monotonic_seconds()
            self._awaited_lifetime_began_at[task.runner] = max(
                self._awaited_lifetime_began_at.get(
                    task.runner, float("-inf")
                ),
                _former_calls.estimate_start(task.lifetime),
            )
            return
        self.place(worker, job, task, last_answered_at=0.0)

    def record_inherited_start(
        self,
        runner: str,
        run: _late_starts.RunId,
        sent_before: float,
        *,
        is_in_doubt: bool,
    ) -> None:
        """Record that a start of an earlier scheduler may be unanswered.

        Args:
            runner: The runner.
            run: The run.
            sent_before: By when it was sent, and the last poll that extends
                leases there, in seconds of `_clock.monotonic_seconds`.
            is_in_doubt: Whether it was answered for all that is known.
        """
        worker = self._workers.get(runner)
        late_starts = (
            self._unlisted_starts.add(runner)
            if worker is None
            else worker.late_starts
        )
        late_starts.record(run, sent_before, is_in_doubt=is_in_doubt)

    def _late_starts_of(self, runner: str) -> _late_starts.LateStarts:
        worker = self._workers.get(runner)
        if worker is None:
            return self._unlisted_starts.get(runner)
        return worker.late_starts

    def open_starts(
        self, max_lease_seconds: float
    ) -> _start_checkpoints.OpenStarts:
        """Return the starts whose runs may begin, or last, unanswered."""
        return _open_starts.collect(
            self, self._unlisted_starts, max_lease_seconds
        )

    def place(
        self,
        worker: Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        *,
        last_answered_at: float,
    ) -> None:
        """Record that a task is, or may be, on a runner."""
        worker.placed[(job.spec.id, task.key)] = PlacedTask(
            job=job, task=task, last_answered_at=last_answered_at
        )

    def full_speed_tasks(
        self, job: peridotsill_scheduler.Job
    ) -> frozenset[str]:
        """Return the keys of a job's tasks that run at full speed.

        Only tasks in a current report of their runner count.
        """
        keys = set()
        for task in job.tasks:
            worker = self._workers.get(task.runner)
            if worker is None:
                continue
            placed = worker.placed.get((job.spec.id, task.key))
            if (
                placed is not None
                and placed.job is job
                and worker.link.silent_seconds < _REPORT_VALID_SECONDS
                and task.phase is peridotsill_scheduler.TaskPhase.RUNNING
                and placed.listed_by_runner
                and placed.speed_percent == _FULL_SPEED_PERCENT
            ):
                keys.add(task.key)
        return frozenset(keys)

    def forget_job(self, job_key: tuple[str, str]) -> None:
        """Remove a job's tasks from all runners, as its row was re-read."""
        for worker in self._workers.values():
            for key, placed in tuple(worker.placed.items()):
                if placed.job.key == job_key:
                    del worker.placed[key]
        for tasks in self._awaiting_runner.values():
            tasks[:] = [each for each in tasks if each[0].key != job_key]

    def possible_runs(
        self,
    ) -> collections.abc.Iterator[
        tuple[peridotsill_scheduler.Job, peridotsill_scheduler.Task, str]
    ]:
        """Yield the job, task and pool of each run that may be on a runner."""
        for worker in self._workers.values():
            pool = worker.entry.pool
            for placed in worker.placed.values():
                yield placed.job, placed.task, pool
            for (job_id, task, run), placed in worker.abandoned.items():
                current = worker.placed.get((job_id, task))
                if current is None or current.run != run:
                    yield placed.job, placed.task, pool
        for tasks in self._awaiting_runner.values():
            for job, awaiting in tasks:
                yield job, awaiting, job.queue.pool

    def may_have_inherited_runs(self, max_lease_seconds: float) -> bool:
        """Tell whether leases of earlier schedulers may last somewhere."""
        return self._inherited_leases.may_last(max_lease_seconds)

    def update(self, entries: tuple[_ports.RunnerEntry, ...]) -> None:
        """Apply the registry.

        An entry of another lifetime than the known one may be the older one.
        Nothing more is started on the known one, and the other one is
        connected to, until the answer of one of them shows which has ended.
        """
        if self._registry_read_at == float("inf"):
            self._registry_read_at = _clock.monotonic_seconds()
        listed = {entry.id for entry in entries}
        for entry in entries:
            worker = self._workers.get(entry.id)
            if worker is None:
                self._add(entry)
            elif worker.lifetime == entry.lifetime:
                self._update_entry(worker, entry)
            else:
                self._set_unlisted(worker)
                self._update_candidate(worker, entry)
        for runner, worker in tuple(self._workers.items()):
            if runner in listed:
                continue
            self._set_unlisted(worker)
            self._drop_candidate(runner)
            # Tasks that wait for it need to know when it began, and a next
            # lifetime has to be polled before a late start comes to it.
            if not (
                worker.runs
                or self._awaiting_runner.get(runner)
                or worker.late_starts.pending
            ):
                worker.link.stop()
                del self._workers[runner]

    def _set_unlisted(self, worker: Worker) -> None:
        if worker.listed:
            worker.listed = False
            _logs.log("runner:unlisted", runner=worker.entry.id)

    def _update_entry(self, worker: Worker, entry: _ports.RunnerEntry) -> None:
        if worker.entry.state is not entry.state:
            _logs.log("runner:state", runner=entry.id, state=str(entry.state))
        worker.entry = entry
        worker.listed = True
        self._drop_candidate(entry.id)

    def _update_candidate(
        self, worker: Worker, entry: _ports.RunnerEntry
    ) -> None:
        candidate = self._candidates.get(entry.id)
        if candidate is not None and candidate.lifetime == entry.lifetime:
            candidate.entry = entry
            return
        self._drop_candidate(entry.id)
        if entry.lifetime not in worker.ended_lifetimes:
            self._candidates[entry.id] = self._make_worker(entry)

    def _drop_candidate(self, runner: str) -> None:
        candidate = self._candidates.pop(runner, None)
        if candidate is not None:
            candidate.link.stop()

    def _add(self, entry: _ports.RunnerEntry) -> None:
        worker = self._make_worker(entry)
        worker.gone = entry.lifetime in self._departed.get(entry.id, ())
        worker.late_starts = self._unlisted_starts.take(entry.id)
        self._workers[entry.id] = worker
        awaiting = self._awaiting_runner.get(entry.id, [])
        for job, task in tuple(awaiting):
            if task.lifetime == entry.lifetime:
                self.place(worker, job, task, last_answered_at=0.0)
                awaiting.remove((job, task))
        if not awaiting:
            self._awaiting_runner.pop(entry.id, None)

    def _make_worker(
        self, entry: _ports.RunnerEntry, *, listed: bool = True
    ) -> Worker:
        known_at = _clock.monotonic_seconds()
        began_at = _former_calls.estimate_start(entry.lifetime)
        if began_at > self._created_at + _LATER_THAN_SCHEDULER_SECONDS:
            began_at = float("-inf")
        _logs.log(
            "runner:listed" if listed else "runner:unlisted",
            runner=entry.id,
            lifetime=entry.lifetime,
            pool=entry.pool,
        )
        return Worker(
            entry=entry,
            link=self._connect(entry),
            listed=listed,
            known_at=known_at,
            began_at=began_at,
            vm=entry.vm,
        )

    def find_candidate(self, runner: str) -> Worker | None:
        """Return another lifetime of a known runner that is connected to."""
        return self._candidates.get(runner)

    def end_candidate(self, worker: Worker) -> None:
        """Disconnect a runner's candidate, as that lifetime is over."""
        candidate = self._candidates[worker.entry.id]
        worker.ended_lifetimes |= {candidate.lifetime}
        self._drop_candidate(worker.entry.id)

    def replace(self, ended: Worker, entry: _ports.RunnerEntry) -> Worker:
        """Replace a runner by another lifetime of it.

        Args:
            ended: The runner.
            entry: The entry at whose address the other lifetime answers.
                Nothing is started there before the registry lists it.

        Returns:
            The other lifetime; its candidate if there is one.
        """
        successor = self._candidates.get(entry.id)
        if successor is None or successor.lifetime != entry.lifetime:
            self._drop_candidate(entry.id)
            successor = self._make_worker(entry, listed=False)
        self._candidates.pop(entry.id, None)
        _logs.log("runner:restarted", runner=entry.id, lifetime=entry.lifetime)
        ended.record_dropped_starts()
        ended.link.stop()
        successor.ended_lifetimes = ended.ended_lifetimes | {ended.lifetime}
        successor.took_over_at = _clock.monotonic_seconds()
        successor.former_poll_at = ended.link.unanswered_poll_at
        successor.late_starts = ended.late_starts
        self._workers[entry.id] = successor
        return successor

    def take_awaiting(self, runner: str, requested_at: float) -> list[JobTask]:
        """Remove and return the tasks that an answer of their runner settles.

        It settles none if some were not known yet when it was asked for.
        """
        if requested_at < self._awaiting_since.get(runner, 0.0):
            return []
        return self._awaiting_runner.pop(runner, [])

    def awaiting_count(self, runner: str) -> int:
        """Return how many tasks the rows have on a runner not known here."""
        return len(self._awaiting_runner.get(runner, ()))

    def replace_link(self, worker: Worker) -> None:
        """Connect anew to a runner whose process has ended.

        No order that was queued reaches a later process at its address.
        Nothing is started on the runner unless it answers again.
        """
        self._connect_anew(worker)
        worker.abandoned.clear()
        worker.lost_runs.clear()

    def _connect_anew(self, worker: Worker) -> None:
        worker.link.stop()
        worker.link = self._connect(worker.entry)
        worker.gone = True

    def mark_alive(self, worker: Worker) -> None:
        """Record that a runner answers that was held to have ended."""
        worker.gone = False
        worker.crash_recorded = False
        self._departed.pop(worker.entry.id, None)

    def pop_ended(self) -> list[EndedRunner]:
        """Remove and return tasks on runners that the platform shows ended.

        Only runners that have not answered this scheduler are looked at. Of
        their runs nothing is left, so that no lease has to be waited for.
        """
        runners = {
            *(name for name, each in self._awaiting_runner.items() if each),
            *(
                name
                for name, each in self._workers.items()
                if each.placed or each.abandoned
            ),
        }
        evidences = {runner: self._why_ended(runner) for runner in runners}
        return [
            EndedRunner(tasks=self._pop_ended(runner, why), evidence=why)
            for runner, why in sorted(evidences.items())
            if why and self._has_runs_to_lose(runner, why)
        ]

    def _has_runs_to_lose(self, runner: str, evidence: str) -> bool:
        lost, _ = _open_starts.split_kept(
            self._awaiting_runner.get(runner, []),
            self._late_starts_of(runner),
            evidence,
        )
        worker = self._workers.get(runner)
        if lost or worker is None:
            return bool(lost)
        runs = [*worker.placed.values(), *worker.abandoned.values()]
        kept = _late_starts.runs_to_keep(worker, evidence, runs)
        return len(kept) < len(runs)

    def _why_ended(self, runner: str) -> str:
        """Return how the platform shows that an unreached runner has ended.

        Empty if the runner has answered, or nothing shows it.
        """
        worker = self._workers.get(runner)
        if worker is not None and worker.link.reached:
            return ""
        departed = self._departed.get(runner)
        if departed is not None and self._lifetimes_of(runner) <= departed:
            return "it had left before"
        since = self._awaiting_since.get(runner, float("-inf"))
        vm = ""
        if worker is not None:
            # An earlier lifetime may have been reached just before this one.
            since = max(since, worker.known_at, worker.took_over_at)
            vm = worker.vm
        return self._departures.why_ended(runner, vm=vm, since=since)

    def _lifetimes_of(self, runner: str) -> frozenset[int]:
        """Return the lifetimes in which a runner may have tasks."""
        worker = self._workers.get(runner)
        awaiting = tuple(self._awaiting_runner.get(runner, ()))
        lifetimes = {task.lifetime for _, task in awaiting}
        return frozenset(
            lifetimes if worker is None else {worker.lifetime, *lifetimes}
        )

    def _pop_ended(self, runner: str, evidence: str) -> list[JobTask]:
        lifetimes = self._lifetimes_of(runner)
        tasks, kept_tasks = _open_starts.split_kept(
            self._awaiting_runner.pop(runner, []),
            self._late_starts_of(runner),
            evidence,
        )
        worker = self._workers.get(runner)
        run_count = len(tasks) + (len(worker.runs) if worker else 0)
        _logs.log(
            "runner:departed",
            runner=runner,
            vm=worker.vm if worker else "",
            evidence=evidence,
            seconds_since_takeover=round(
                self._inherited_leases.age_seconds, 3
            ),
            run_count=run_count,
        )
        kept: list[PlacedTask] = []
        if worker is not None:
            worker.record_dropped_starts()
            kept = _late_starts.runs_to_keep(
                worker, evidence, worker.placed.values()
            )
            tasks += worker.lose_runs(_clock.monotonic_seconds(), kept)
            if evidence != _departures.VM_IS_DOWN:
                worker.lost_runs.clear()
            self._connect_anew(worker)
        if kept_tasks:
            self._awaiting_runner[runner] = kept_tasks
        if not (kept or kept_tasks):
            # Else it may come back in a next lifetime, and begin them.
            self._departed[runner] = (
                self._departed.get(runner, frozenset()) | lifetimes
            )
        return tasks

    def pop_expired(self, max_lease_seconds: float) -> list[JobTask]:
        """Remove and return tasks on silent runners whose leases expired.

        On a runner that has not answered this scheduler, the leases that an
        earlier one granted last at most for the time for which that one may
        have polled on without its own lease, plus its last grant.
        """
        now = _clock.monotonic_seconds()
        lost_tasks: list[JobTask] = []
        for worker in self._workers.values():
            worker.forget_lost_runs(now)
            if not (
                worker.placed or worker.abandoned
            ) or not self._have_leases_expired(worker, max_lease_seconds):
                continue
            kept = _former_calls.affected_runs(worker, max_lease_seconds)
            evidence = self._why_silent_ended(worker) if kept else ""
            if evidence:
                kept = _late_starts.runs_to_keep(worker, evidence, kept)
            if kept:
                self._log_former_calls(worker, len(kept))
            lost_tasks += worker.lose_runs(now, kept)
        if self._inherited_leases.answer_seconds_left(self._registry_read_at):
            return lost_tasks
        for runner, tasks in tuple(self._awaiting_runner.items()):
            if (
                self._has_inherited_expired(
                    runner, len(tasks), max_lease_seconds
                )
                and self._awaited_former_seconds(runner, max_lease_seconds) < 0
            ):
                lost, kept_tasks = _open_starts.split_lasting(
                    tasks, self._late_starts_of(runner), max_lease_seconds
                )
                lost_tasks += lost
                self._awaiting_runner[runner] = kept_tasks
                if not kept_tasks:
                    del self._awaiting_runner[runner]
        return lost_tasks

    def _have_leases_expired(
        self, worker: Worker, max_lease_seconds: float
    ) -> bool:
        """Tell whether the leases by its own lifetime's clock have expired."""
        if worker.link.reached:
            return worker.link.leases_expired
        if self._inherited_leases.answer_seconds_left(worker.known_at):
            return False
        return self._has_inherited_expired(
            worker.entry.id, len(worker.runs), max_lease_seconds
        )

    def _log_former_calls(self, worker: Worker, run_count: int) -> None:
        """Log once for each lifetime that its runs are waited for longer."""
        lifetime = (worker.entry.id, worker.lifetime)
        if lifetime not in self._logged_former_calls:
            self._logged_former_calls.add(lifetime)
            _logs.log(
                "runner:may_run_on",
                runner=worker.entry.id,
                lifetime=worker.lifetime,
                run_count=run_count,
            )

    def _why_silent_ended(self, worker: Worker) -> str:
        """Return how the platform shows that a silent runner has ended."""
        silent_since = _clock.monotonic_seconds() - worker.link.silent_seconds
        since = max(worker.known_at, silent_since)
        return self._departures.why_ended(
            worker.entry.id, vm=worker.vm, since=since
        )

    def _awaited_former_seconds(
        self, runner: str, max_lease_seconds: float
    ) -> float:
        """Return how long calls for a former lifetime may act there.

        That is for runs that the rows have in another lifetime than the known
        one, or on a runner that is not known.
        """
        began_at = self._awaited_lifetime_began_at.get(runner, float("-inf"))
        worker = self._workers.get(runner)
        if worker is not None:
            began_at = max(began_at, worker.began_at)
        effect_seconds = _former_calls.effect_seconds(max_lease_seconds)
        return began_at + effect_seconds - _clock.monotonic_seconds()

    def _has_inherited_expired(
        self, runner: str, run_count: int, max_lease_seconds: float
    ) -> bool:
        """Tell whether earlier holders' leases there have expired.

        A wait that has lasted for some time is logged once.
        """
        leases = self._inherited_leases
        seconds_left = leases.seconds_left(runner, max_lease_seconds)
        is_logged = runner in self._logged_awaited
        if not is_logged and leases.age_seconds > _AWAITED_LOG_SECONDS:
            self._logged_awaited.add(runner)
            worker = self._workers.get(runner)
            _logs.log(
                "runner:awaited",
                runner=runner,
                vm=worker.vm if worker else "",
                listed=worker is not None and worker.listed,
                run_count=run_count,
                seconds_left=round(seconds_left, 3),
                **leases.describe(runner, max_lease_seconds),
            )
        return seconds_left < 0

    def remaining_waits(self, max_lease_seconds: float) -> dict[str, float]:
        """Return the seconds that the next holder of the lease has to wait.

        There is one entry for each runner that may hold tasks and does not
        answer: how long its leases may last yet if no more are granted, 0 if
        it is shown to have ended. Without an entry, the next holder waits for
        as long as a grant lasts, or for longer under `_lease.OTHER_RUNNERS`.
        """
        wait_seconds = {
            runner: self._unreached_wait_seconds(runner, max_lease_seconds)
            for runner in self._unreached_runners()
        }
        longest_seconds = _grants.longest_lease_seconds(max_lease_seconds)
        for worker in tuple(self._workers.values()):
            runner = worker.entry.id
            if self._why_ended(runner):
                continue
            has_tasks = worker.placed or worker.abandoned
            if has_tasks and worker.link.reached:
                if worker.link.silent_seconds > _SILENT_SECONDS:
                    wait_seconds[runner] = worker.link.seconds_to_expiry
            left = max(
                _former_calls.lease_seconds(worker, max_lease_seconds),
                _former_calls.start_seconds(worker, max_lease_seconds),
            )
            if left > wait_seconds.get(runner, longest_seconds):
                wait_seconds[runner] = left
        # An earlier holder that lives may record a start on any runner after
        # this one has read the rows.
        other_seconds = self._inherited_leases.seconds_left(
            _lease.OTHER_RUNNERS, max_lease_seconds
        )
        if other_seconds > longest_seconds:
            for worker in tuple(self._workers.values()):
                if worker.link.reached:
                    wait_seconds.setdefault(worker.entry.id, longest_seconds)
            wait_seconds[_lease.OTHER_RUNNERS] = other_seconds
        return {
            runner: max(0.0, left) for runner, left in wait_seconds.items()
        }

    def _unreached_runners(self) -> set[str]:
        """Return the runners that have not answered and may have tasks."""
        unreached = {*self._awaiting_runner, *self._departed}
        for runner, worker in tuple(self._workers.items()):
            if worker.link.reached:
                unreached.discard(runner)
            elif worker.placed or worker.abandoned:
                unreached.add(runner)
        return unreached

    def _unreached_wait_seconds(
        self, runner: str, max_lease_seconds: float
    ) -> float:
        """Return how long to wait for a runner; 0 if it has ended."""
        if self._why_ended(runner):
            return 0.0
        worker = self._workers.get(runner)
        known_at = worker.known_at if worker else self._registry_read_at
        return max(
            self._inherited_leases.seconds_left(runner, max_lease_seconds),
            self._inherited_leases.answer_seconds_left(known_at),
            self._awaited_former_seconds(runner, max_lease_seconds),
            _former_calls.open_seconds(
                self._late_starts_of(runner),
                (
                    _late_starts.run_id(job, task)
                    for job, task in self._awaiting_runner.get(runner, ())
                ),
                max_lease_seconds,
            ),
        )

    def pop_speculative(self) -> list[JobTask]:
        """Abandon and return the speculative tasks on silent runners.

        They may run twice at once, so they may be started elsewhere now. If
        such a runner answers again, its run is stopped.
        """
        abandoned_tasks: list[JobTask] = []
        for worker in self._workers.values():
            if worker.link.silent_seconds < _SPECULATE_AFTER_SECONDS:
                continue
            for key, placed in tuple(worker.placed.items()):
                if placed.task.step.speculative:
                    del worker.placed[key]
                    placed.mark_former()
                    worker.abandoned[(*key, placed.task.run)] = placed
                    abandoned_tasks.append((placed.job, placed.task))
        return abandoned_tasks

    def stop(self) -> None:
        """Stop all links."""
        for worker in (*self._workers.values(), *self._candidates.values()):
            worker.link.stop()
