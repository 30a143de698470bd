"""Jobs in progress: the state of every task, as the scheduler keeps it."""

import attrs
import peridotsill

from peridotsill_scheduler import _model

# Objectives up to this multiple still earn a part of a job's payoff.
LATE_FACTOR = 3.0


class TaskPhase(peridotsill.TextEnum):
    """Where a task stands."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"


ACTIVE_PHASES = frozenset(
    {TaskPhase.ASSIGNED, TaskPhase.RUNNING, TaskPhase.STOPPING}
)


class JobState(peridotsill.TextEnum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task of one occurrence of a job.

    ``runner`` and ``lifetime`` name the runner of the current run and the
    Unix millisecond of its start. ``started_at`` is in steady seconds, 0
    before the runner has confirmed the start. ``failed_on`` is the runner
    that last failed the task, and ``settled_run`` the highest run that
    was counted among ``failures``.
    """

    occurrence: int
    step: _model.Step
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    runner: str = ""
    lifetime: int = 0
    failures: int = 0
    settled_run: int = 0
    checkpoint: str = ""
    started_at: float = 0.0
    failed_on: str = ""
    not_before: float = 0.0

    @property
    def key(self) -> str:
        """The task's name within its job."""
        return f"{self.occurrence}.{self.step.index}.{self.index}"

    @property
    def active(self) -> bool:
        """Whether a runner may hold the task."""
        return self.phase in ACTIVE_PHASES


@attrs.frozen(kw_only=True)
class Permit:
    """An advisor's permission to run a step on a runner.

    ``until`` is in steady seconds. A permit with an empty ticket says that
    the runner may not run the step.
    """

    occurrence: int
    step: int
    runner: str
    ticket: str
    until: float


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job and its tasks.

    ``arrived_at`` is in steady seconds; ``arrived_ms`` is the Unix
    millisecond at which the accepting node saw the submission.
    ``row_version`` is the version of the progress row, 0 before there
    is one. ``permits`` matter only for a queue with placement advice.
    """

    spec: _model.JobSpec
    queue: _model.Queue
    arrived_at: float
    arrived_ms: float = 0.0
    state: JobState = JobState.QUEUED
    tasks: list[Task] = attrs.field(factory=list)
    row_version: int = 0
    opened: int = 0
    permits: list[Permit] = attrs.field(factory=list)

    @property
    def key(self) -> tuple[str, str]:
        """Queue and id."""
        return self.spec.queue, self.spec.id

    @property
    def final(self) -> bool:
        """Whether nothing is to be started any more."""
        return self.state in FINAL_STATES

    @property
    def long_lived(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.long_lived for step in self.spec.steps)


def permit_for(job: Job, task: Task, runner: str) -> Permit | None:
    """Return what the advisor said of a runner for a task's step."""
    for permit in job.permits:
        if permit.runner == runner and (permit.occurrence, permit.step) == (
            task.occurrence,
            task.step.index,
        ):
            return permit
    return None


def open_occurrences(job: Job, now_ms: float) -> bool:
    """Create the tasks of every occurrence that is due; tell if any was.

    Args:
        now_ms: The time of day in Unix milliseconds.
    """
    wanted = 1
    if job.spec.occurrences:
        since = now_ms - job.spec.first_due_ms
        wanted = 0
        if since >= 0:
            period = max(1.0, job.spec.period_ms)
            wanted = min(job.spec.occurrences, int(since // period) + 1)
    opened = job.opened < wanted
    while job.opened < wanted:
        job.tasks += [
            Task(occurrence=job.opened, step=step, index=index)
            for step in job.spec.steps
            for index in range(step.task_count)
        ]
        job.opened += 1
    return opened


def tasks_of(job: Job, occurrence: int, step: int) -> list[Task]:
    """Return the tasks of one step of one occurrence."""
    return [
        task
        for task in job.tasks
        if task.occurrence == occurrence and task.step.index == step
    ]


def ready_tasks(job: Job, now: float) -> list[Task]:
    """Return the waiting tasks whose earlier steps are all done.

    Args:
        now: Steady seconds; a task that backs off is left out.
    """
    if job.final:
        return []
    waiting = [
        task
        for task in job.tasks
        if task.phase is TaskPhase.WAITING and task.not_before <= now
    ]
    if not waiting:
        return []
    unfinished = {
        (task.occurrence, task.step.index)
        for task in job.tasks
        if task.phase is not TaskPhase.DONE
    }
    return [
        task
        for task in waiting
        if not task.step.after
        or not any(
            (task.occurrence, before) in unfinished
            for before in task.step.after
        )
    ]


def has_begun(job: Job) -> bool:
    """Tell whether a runner is known to have begun one of a job's tasks.

    A task that waits again after a run that ended without failing is not
    told from one whose start was never ordered, nor one that is stopped
    from one that is only stopped in case its start arrives.
    """
    known = (TaskPhase.RUNNING, TaskPhase.DONE, TaskPhase.FAILED)
    return any(task.phase in known or task.failures for task in job.tasks)


def refresh_state(job: Job) -> bool:
    """Recompute the shown state from the tasks; tell if it changed."""
    if job.final:
        return False
    state = _state_of(job)
    changed = state is not job.state
    job.state = state
    return changed


def _state_of(job: Job) -> JobState:
    phases = {task.phase for task in job.tasks}
    if TaskPhase.FAILED in phases:
        return JobState.FAILED
    whole = job.opened >= max(1, job.spec.occurrences)
    if whole and job.tasks and phases == {TaskPhase.DONE}:
        return JobState.COMPLETED
    if job.state is JobState.RUNNING or phases - {TaskPhase.WAITING}:
        return JobState.RUNNING
    return JobState.QUEUED
