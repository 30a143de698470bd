"""The scheduler's state of jobs and their tasks."""

import bisect
import collections.abc
import sys

import attrs
import peridotsill

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _model
from peridotsill_scheduler import _paths
from peridotsill_scheduler import _task_tally
from peridotsill_scheduler import _team_rates

# A job that completes within this multiple of its objective still earns a
# part of its payoff.
LATE_FACTOR = 3.0


class TaskPhase(peridotsill.TextEnum):
    """Life cycle of a task."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"

    @property
    def count_name(self) -> str:
        """Name of the count of `PhaseCounts` that it belongs to."""
        return _COUNT_NAMES[self]


ACTIVE_PHASES = frozenset(
    {TaskPhase.ASSIGNED, TaskPhase.RUNNING, TaskPhase.STOPPING}
)
_COUNT_NAMES = {
    phase: "active" if phase in ACTIVE_PHASES else str(phase)
    for phase in TaskPhase
}


class JobState(peridotsill.TextEnum):
    """State of a job as reported to callers."""

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

    ``runner`` is the runner of the current run, and ``lifetime`` the Unix
    millisecond at which that runner started. ``started_at`` is in seconds
    of the monotonic clock, 0 until the runner has confirmed the start.
    ``failed_on`` is the runner on which the task last failed.
    ``counted_runs`` are the runs that were counted in ``failures``, so that a
    repeated report isn't counted twice. During a backoff the task
    isn't started before ``not_before``, in seconds of the monotonic clock.
    ``crashes`` holds the crashes under its runs whose cause is not known, and
    ``requeued_at`` when the last of them made it wait.
    """

    occurrence: int
    step: _model.Step
    index: int
    _phase: TaskPhase = attrs.field(default=TaskPhase.WAITING, alias="phase")
    run: int = 0
    runner: str = ""
    lifetime: int = 0
    failures: int = 0
    counted_runs: frozenset[int] = frozenset()
    checkpoint: str = ""
    started_at: float = 0.0
    failed_on: str = ""
    not_before: float = 0.0
    _crash_history: tuple[_crashes.Crash, ...] = attrs.field(
        default=(), alias="crashes"
    )
    requeued_at: float = 0.0
    _tally: _task_tally.TaskTally | None = attrs.field(
        default=None, init=False, repr=False
    )

    def report_to(self, tally: _task_tally.TaskTally) -> None:
        """Report changes to the counts of the job from now on."""
        self._tally = tally

    @property
    def last_counted_run(self) -> int:
        """The highest run that was counted in ``failures``; 0 if none was."""
        return max(self.counted_runs, default=0)

    def count_failure(self, run: int) -> bool:
        """Count the failure of a run; false if it was counted before."""
        if run in self.counted_runs:
            return False
        self.failures += 1
        # The failures of a task that lasts have no limit.
        earlier = self.counted_runs if not self.step.long_lived else ()
        self.counted_runs = frozenset({*earlier, run})
        return True

    @property
    def phase(self) -> TaskPhase:
        """The task's phase; each change is reported to the job's counts."""
        return self._phase

    @phase.setter
    def phase(self, phase: TaskPhase) -> None:
        if self._tally is not None:
            self._tally.change_phase(self, self._phase, phase)
        self._phase = phase

    @property
    def crashes(self) -> tuple[_crashes.Crash, ...]:
        """Crashes under the task's runs; changes are reported as well."""
        return self._crash_history

    @crashes.setter
    def crashes(self, crashes: tuple[_crashes.Crash, ...]) -> None:
        if self._tally is not None:
            self._tally.change_suspicion(
                was_suspect=bool(self._crash_history), is_suspect=bool(crashes)
            )
        self._crash_history = crashes

    @property
    def key(self) -> str:
        """Identifies the task within its job."""
        return f"{self.occurrence}.{self.step.index}.{self.index}"

    @property
    def active(self) -> bool:
        """Whether the task may be on a runner."""
        return self.phase in ACTIVE_PHASES

    @property
    def is_over(self) -> bool:
        """Whether the task will not be started again."""
        return self.phase in (TaskPhase.DONE, TaskPhase.FAILED)


@attrs.frozen(kw_only=True)
class AdvisorAnswer:
    """An advisor's answer on whether a runner may run a step.

    ``valid_until`` is in seconds of the monotonic clock. An empty
    ``ticket`` means that the runner may not run the step.
    """

    occurrence: int
    step: int
    runner: str
    ticket: str
    valid_until: float


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job and its tasks.

    ``arrived_at`` is in seconds of the monotonic clock; ``arrived_ms`` is
    the Unix millisecond at which the accepting node received the
    submission. ``team`` names the team that submitted it, if any, and
    ``rate_class`` tells whether it was within the team's rate.
    ``row_version`` is the version of the progress row, 0 as
    long as there is none. ``opened_count`` counts the occurrences whose tasks
    have been created. ``advisor_answers`` is used only for queues
    with placement advice. ``failure_reason`` says why a job has failed, or
    why a long-lived task of it does not run for now.
    ``tasks`` is assigned anew, or with ``+=``, when it changes, as it is then
    counted anew.
    """

    spec: _model.JobSpec
    queue: _model.Queue
    arrived_at: float
    arrived_ms: float = 0.0
    team: str = ""
    rate_class: _team_rates.RateClass = _team_rates.RateClass.UNDECIDED
    state: JobState = JobState.QUEUED
    _tasks: list[Task] = attrs.field(factory=list, alias="tasks")
    row_version: int = 0
    opened_count: int = 0
    advisor_answers: list[AdvisorAnswer] = attrs.field(factory=list)
    failure_reason: str = ""
    _tally: _task_tally.TaskTally = attrs.field(
        factory=_task_tally.TaskTally, init=False, repr=False
    )
    _long_lived: bool = attrs.field(init=False, repr=False)

    _longest_chains: tuple[_paths.Chain, ...] = attrs.field(
        init=False, repr=False
    )

    @_longest_chains.default
    def _find_longest_chains(self) -> tuple[_paths.Chain, ...]:
        return _paths.longest_chains(self.spec.steps)

    @_long_lived.default
    def _has_long_lived_step(self) -> bool:
        return any(step.long_lived for step in self.spec.steps)

    def __attrs_post_init__(self) -> None:
        self.tasks = self._tasks

    @property
    def tasks(self) -> list[Task]:
        """The tasks of the occurrences that were due so far."""
        return self._tasks

    @tasks.setter
    def tasks(self, tasks: list[Task]) -> None:
        self._tasks = tasks
        # Former tasks report to a tally that is no longer used.
        self._tally = _task_tally.TaskTally(tasks=tasks)

    @property
    def next_due_ms(self) -> float:
        """When the next occurrence is due, in Unix milliseconds.

        Infinite if the tasks of all have been created.
        """
        if self.opened_count >= (self.spec.occurrences or 1):
            return float("inf")
        return _due_ms(self.spec, self.opened_count)

    @property
    def tally(self) -> _task_tally.TaskTally:
        """The counts of the job's tasks by phase."""
        return self._tally

    @property
    def key(self) -> tuple[str, str]:
        """Queue name and job id."""
        return self.spec.queue, self.spec.id

    @property
    def final(self) -> bool:
        """Whether the job has ended, so that no more tasks are started."""
        return self.state in FINAL_STATES

    @property
    def long_lived(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return self._long_lived

    @property
    def longest_chains(self) -> tuple[_paths.Chain, ...]:
        """The chains of steps that may be the job's critical path."""
        return self._longest_chains


def advisor_answer_for(
    job: Job, task: Task, runner: str
) -> AdvisorAnswer | None:
    """Return the advisor's answer for a task's step on a runner, if any.

    Whether the answer is still valid is not checked.
    """
    for answer in job.advisor_answers:
        if answer.runner == runner and (answer.occurrence, answer.step) == (
            task.occurrence,
            task.step.index,
        ):
            return answer
    return None


def open_occurrences(job: Job, now_ms: float) -> bool:
    """Create the tasks of newly due occurrences.

    Returns whether there were any.

    Args:
        now_ms: The time of day in Unix milliseconds.
    """
    opened_count = max(job.opened_count, _due_count(job.spec, now_ms))
    opened = job.opened_count < opened_count
    if opened:
        # Each assignment of the tasks counts all of them.
        job.tasks = job.tasks + make_tasks(
            job.spec, range(job.opened_count, opened_count)
        )
        job.opened_count = opened_count
    return opened


def make_tasks(
    spec: _model.JobSpec, occurrences: collections.abc.Iterable[int]
) -> list[Task]:
    """Return waiting tasks of all steps for some occurrences of a job."""
    return [
        Task(occurrence=occurrence, step=step, index=index)
        for occurrence in occurrences
        for step in spec.steps
        for index in range(step.task_count)
    ]


def _due_ms(spec: _model.JobSpec, occurrence: int) -> float:
    """Return when an occurrence is due; always if the job has no times."""
    if not spec.occurrences:
        return float("-inf")
    return spec.first_due_ms + occurrence * max(0.0, spec.period_ms)


def _due_count(spec: _model.JobSpec, now_ms: float) -> int:
    """Return how many occurrences are due by a time."""
    total = min(spec.occurrences or 1, sys.maxsize)
    return bisect.bisect_right(
        range(total), now_ms, key=lambda each: _due_ms(spec, each)
    )


def tasks_of(job: Job, occurrence: int, step: int) -> list[Task]:
    """Return the tasks of one step of one occurrence."""
    return job.tally.tasks_of(occurrence, step)


def ready_tasks(job: Job, now: float) -> list[Task]:
    """Return the waiting tasks whose preceding steps are all done.

    There are none once the job has ended.

    Args:
        now: Seconds of the monotonic clock; a task whose backoff has not
            passed by then is left out.
    """
    waiting = {
        position: task
        for each in ready_steps(job)
        for position, task in each.waiting.items()
        if task.not_before <= now
    }
    return [waiting[position] for position in sorted(waiting)]


def ready_steps(job: Job) -> list[_task_tally.StepTasks]:
    """Return the steps with waiting tasks whose preceding steps are all done.

    There are none once the job has ended.
    """
    if not job.tally.has_waiting or job.final:
        return []
    return job.tally.ready_steps()


def has_started(job: Job) -> bool:
    """Tell whether a runner is known to have started one of a job's tasks.

    The phases don't show every start. A task that waits again after a run
    that ended without failing looks like one whose start was never
    ordered; and a stopping task may have run, or the stop may only be
    there in case an earlier start order still arrives.
    """
    started_phases = (TaskPhase.RUNNING, TaskPhase.DONE, TaskPhase.FAILED)
    return any(
        task.phase in started_phases or task.failures for task in job.tasks
    )


def refresh_state(job: Job) -> bool:
    """Derive the reported state from the tasks; return whether it changed."""
    if job.final:
        return False
    state = _derive_state(job)
    changed = state is not job.state
    job.state = state
    return changed


def _derive_state(job: Job) -> JobState:
    counts = job.tally.counts
    if counts.failed:
        return JobState.FAILED
    all_opened = job.opened_count >= max(1, job.spec.occurrences)
    if all_opened and counts.done and not counts.unfinished:
        return JobState.COMPLETED
    if job.state is JobState.RUNNING or counts.active or counts.done:
        return JobState.RUNNING
    return JobState.QUEUED
