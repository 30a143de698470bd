"""The scheduler's picture of the runners and what it has put on them."""

import collections
import collections.abc

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _grants
from peridotsill_jobs import _lease
from peridotsill_jobs import _links
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_scheduler

# A runner that failed this many tasks in a row, of two jobs or more, is
# given none for a while, and then one.
_SUSPECT_FAILURES = 3
_SUSPECT_SECONDS = 4.0
# A runner that has not answered for this long gets no starts: one look
# and its repeat have failed.
_SILENT_SECONDS = 2.5
# A task of which copies may run is started elsewhere when its runner has
# been silent for this long: a wait for an end, and one failed look.
_FORSAKE_SECONDS = 2.0
# A report says that a task is at work for this long: one wait for the next
# report, and its way.
_FRESH_SECONDS = 1.4
# A runner whose refusal said nothing useful is left alone for this long.
_REFUSED_SECONDS = 1.0
_FULL_PERCENT = 100

JobTask = tuple[peridotsill_scheduler.Job, peridotsill_scheduler.Task]


@attrs.define(kw_only=True, eq=False)
class Placed:
    """A task on a runner.

    ``confirmed_at`` is when the last order about it was answered, in
    steady seconds; infinite while an order may still be carried out.
    ``seen`` tells that the runner has listed the run.
    """

    job: peridotsill_scheduler.Job
    task: peridotsill_scheduler.Task
    confirmed_at: float
    seen: bool = False
    speed_percent: int = 100
    gauge: float = 0.0

    @property
    def name(self) -> _ports.TaskName:
        """The task's name over all jobs."""
        return _ports.TaskName(job=self.job.spec.id, task=self.task.key)


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A runner, its link and its tasks by job id and task.

    ``abandoned`` holds, by job id, task and run, what was started again
    elsewhere and may still run here; it takes capacity until it is gone.
    """

    entry: _ports.RunnerEntry
    link: _links.RunnerLink
    placed: dict[tuple[str, str], Placed] = attrs.field(factory=dict)
    abandoned: dict[tuple[str, str, int], Placed] = attrs.field(factory=dict)
    applied: int = 0
    listed: bool = True
    strangers: int = 0
    closed_until: float = 0.0
    suspect_until: float = 0.0
    recent: collections.deque[tuple[str, bool]] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SUSPECT_FAILURES)
    )
    vm: str = ""
    avoided: bool = False
    paced_at: float = 0.0
    held_back: str = ""

    @property
    def lifetime(self) -> int:
        """The lifetime that the link talks to."""
        return self.entry.lifetime

    def note_end(self, job_id: str, good: bool) -> None:
        """Note how a task ended, and suspect the runner if all fail."""
        self.recent.append((job_id, good))
        jobs = {each for each, fine in self.recent if not fine}
        bad = sum(not fine for _, fine in self.recent)
        if bad == _SUSPECT_FAILURES and len(jobs) > 1:
            self.suspect_until = _clock.awake_seconds() + _SUSPECT_SECONDS
            _logs.log("runner:suspected", runner=self.entry.id, failures=bad)

    def hold_off(self) -> None:
        """Start nothing here for a moment."""
        self.closed_until = _clock.awake_seconds() + _REFUSED_SECONDS

    def why_closed(self, now: float) -> str:
        """Return why nothing may be started here, or nothing."""
        if self.held_back:
            return self.held_back
        if not self.listed:
            return "not in the registry"
        if self.entry.state is _ports.RunnerState.DRAINING:
            return "draining"
        if not self.link.reached:
            return "not reached yet"
        if self.link.silent_seconds > _SILENT_SECONDS:
            return "silent"
        if self.strangers:
            return "holds runs of an older order"
        if now < self.closed_until:
            return "refused lately"
        if now < self.suspect_until:
            return "fails everything"
        if self.suspect_until and self.placed:
            return "on probation"
        return ""

    def view(self, now: float) -> peridotsill_scheduler.VmView:
        """Return the scheduler's view with what is placed reserved."""
        entry = self.entry
        view = peridotsill_scheduler.VmView(
            runner=entry.id,
            lifetime=entry.lifetime,
            vm=self.vm,
            pool=entry.pool,
            domain=entry.domain,
            rack=entry.rack,
            labels=entry.labels,
            capacity=entry.capacity,
            free=entry.capacity,
            closed=self.why_closed(now),
            avoided=self.avoided,
        )
        for placed in (*self.placed.values(), *self.abandoned.values()):
            view.reserve(placed.job.spec.id, placed.task)
        return view


class Workers:
    """All runners that are listed or still hold tasks.

    Args:
        connect: Returns a started link to a runner.
        inherited_waits: What the last holder of the lease left, or None.
    """

    def __init__(
        self,
        *,
        connect: collections.abc.Callable[
            [_ports.RunnerEntry], _links.RunnerLink
        ],
        inherited_waits: _lease.Waits | None = None,
    ) -> None:
        self._connect = connect
        self._inherited_waits = inherited_waits
        self._workers: dict[str, Worker] = {}
        self._missing: dict[str, list[JobTask]] = {}
        self._began_at = _clock.awake_seconds()

    def __iter__(self) -> collections.abc.Iterator[Worker]:
        return iter(tuple(self._workers.values()))

    def get(self, runner: str, lifetime: int) -> Worker | None:
        """Return a runner if it is still in this lifetime."""
        worker = self._workers.get(runner)
        if worker is None or worker.lifetime != lifetime:
            return None
        return worker

    def find(self, runner: str) -> Worker | None:
        """Return a runner in whatever lifetime."""
        return self._workers.get(runner)

    def adopt(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
    ) -> None:
        """Place a task that the rows say is on a runner.

        Before the runner has answered this scheduler nothing is known of
        it; afterwards no order of an earlier scheduler takes effect.
        """
        worker = self.get(task.runner, task.lifetime)
        if worker is None:
            self._missing.setdefault(task.runner, []).append((job, task))
            return
        self.place(worker, job, task, confirmed_at=0.0)

    def place(
        self,
        worker: Worker,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        *,
        confirmed_at: float,
    ) -> None:
        """Note that a task is, or may be, on a runner."""
        worker.placed[(job.spec.id, task.key)] = Placed(
            job=job, task=task, confirmed_at=confirmed_at
        )

    def at_work(self, job: peridotsill_scheduler.Job) -> frozenset[str]:
        """Return the keys of a job's tasks that are seen at full work."""
        return frozenset(
            placed.task.key
            for worker in self._workers.values()
            for placed in worker.placed.values()
            if placed.job is job
            and worker.link.silent_seconds < _FRESH_SECONDS
            and placed.task.phase is peridotsill_scheduler.TaskPhase.RUNNING
            and placed.seen
            and placed.speed_percent == _FULL_PERCENT
        )

    def forget_job(self, job: peridotsill_scheduler.Job) -> None:
        """Forget where the tasks of a job are; its row was read again."""
        for worker in self._workers.values():
            for key, placed in tuple(worker.placed.items()):
                if placed.job is job:
                    del worker.placed[key]
        for tasks in self._missing.values():
            tasks[:] = [each for each in tasks if each[0] is not job]

    def update(self, entries: tuple[_ports.RunnerEntry, ...]) -> list[JobTask]:
        """Follow the registry; return the tasks that ended with a runner."""
        ended: list[JobTask] = []
        listed = {entry.id for entry in entries}
        for entry in entries:
            worker = self._workers.get(entry.id)
            if worker is None or entry.lifetime > worker.lifetime:
                ended += self._open(entry)
                continue
            if entry.lifetime == worker.lifetime:
                self._refresh(worker, entry)
        for runner, worker in tuple(self._workers.items()):
            if runner in listed:
                continue
            if worker.listed:
                worker.listed = False
                _logs.log("runner:unlisted", runner=runner)
            if not worker.placed and not worker.abandoned:
                worker.link.stop()
                del self._workers[runner]
        return ended

    def _refresh(self, worker: Worker, entry: _ports.RunnerEntry) -> None:
        if worker.entry.state is not entry.state:
            _logs.log("runner:state", runner=entry.id, state=str(entry.state))
        worker.entry = entry
        worker.listed = True

    def _open(self, entry: _ports.RunnerEntry) -> list[JobTask]:
        ended = self.close(entry.id)
        link = self._connect(entry)
        worker = Worker(entry=entry, link=link)
        self._workers[entry.id] = worker
        _logs.log(
            "runner:listed",
            runner=entry.id,
            lifetime=entry.lifetime,
            pool=entry.pool,
        )
        for job, task in self._missing.pop(entry.id, ()):
            if task.lifetime == entry.lifetime:
                self.place(worker, job, task, confirmed_at=0.0)
            else:
                ended.append((job, task))
        return ended

    def restarted(self, runner: str, lifetime: int) -> list[JobTask]:
        """Close a runner that answered in another lifetime."""
        _logs.log("runner:restarted", runner=runner, lifetime=lifetime)
        return self.close(runner)

    def close(self, runner: str) -> list[JobTask]:
        """Drop a runner; return the tasks that it had."""
        worker = self._workers.pop(runner, None)
        if worker is None:
            return []
        worker.link.stop()
        return [(each.job, each.task) for each in worker.placed.values()]

    def lapsed(self, max_lease_seconds: float) -> list[JobTask]:
        """Return the tasks on silent runners whose leases have run out.

        What an earlier scheduler granted is bounded by the time for which
        it may have gone on without its lease, and the last grant.
        """
        ended: list[JobTask] = []
        for worker in self._workers.values():
            if not worker.placed and not worker.abandoned:
                continue
            if worker.link.reached:
                over = worker.link.leases_lapsed
            else:
                left = self._unreached_wait(worker.entry.id, max_lease_seconds)
                over = left < 0
            if over:
                ended += [(p.job, p.task) for p in worker.placed.values()]
                worker.placed.clear()
                worker.abandoned.clear()
        for runner in tuple(self._missing):
            if self._unreached_wait(runner, max_lease_seconds) < 0:
                ended += self._missing.pop(runner)
        return ended

    def _unreached_wait(self, runner: str, max_lease_seconds: float) -> float:
        """Return how long leases of earlier holders may last on a runner."""
        waits = self._inherited_waits
        given_back = waits is not None
        wait = _grants.lapse_seconds(max_lease_seconds, given_back=given_back)
        if waits is not None:
            wait = waits.get(runner, wait)
        return self._began_at + wait - _clock.awake_seconds()

    def waits(self, max_lease_seconds: float) -> dict[str, float]:
        """Return what the next holder of the lease has to wait for.

        That is for each runner that may hold tasks and does not answer how
        long its leases may last, provided that no more are granted.
        """
        unreached = set(self._missing)
        found: dict[str, float] = {}
        for worker in tuple(self._workers.values()):
            if not worker.placed and not worker.abandoned:
                continue
            if not worker.link.reached:
                unreached.add(worker.entry.id)
            elif worker.link.silent_seconds > _SILENT_SECONDS:
                found[worker.entry.id] = worker.link.seconds_to_lapse
        for runner in unreached:
            found[runner] = self._unreached_wait(runner, max_lease_seconds)
        return {runner: max(0.0, left) for runner, left in found.items()}

    def forsaken(self) -> list[JobTask]:
        """Return the tasks on silent runners that may run twice at once.

        If such a runner comes back, its run is stopped.
        """
        ended: list[JobTask] = []
        for worker in self._workers.values():
            if worker.link.silent_seconds < _FORSAKE_SECONDS:
                continue
            for key, placed in tuple(worker.placed.items()):
                if placed.task.step.speculative:
                    del worker.placed[key]
                    worker.abandoned[(*key, placed.task.run)] = placed
                    ended.append((placed.job, placed.task))
        return ended

    def stop(self) -> None:
        """Stop all links."""
        for worker in self._workers.values():
            worker.link.stop()
