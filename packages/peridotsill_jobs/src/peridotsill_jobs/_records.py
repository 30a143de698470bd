"""Rows of the job tables, and their keys.

``jobs`` holds what the caller submitted and whether it was cancelled, and
``pending`` a row for each job that has not begun; both are spread over a few
partitions for each queue, by the job's id, as a partition takes its
transactions one after another. ``progress`` holds what the scheduler has
decided and learned, in one partition that nothing else writes to.
"""

import typing
import urllib.parse
import zlib

import attrs
import peridotsill
import peridotsill.exceptions

import peridotsill_scheduler

JOBS = "jobs"
PROGRESS = "progress"
PENDING = "pending"
# Partitions of a queue's submissions. On a store that is sixty times slower
# than usual each still takes five transactions a second.
_SHARDS = 4
LEASE_KEY = "control//scheduler"

_Phase = peridotsill_scheduler.TaskPhase


def queue_prefixes(table: str, queue: str) -> tuple[str, ...]:
    """Return the prefixes of a queue's rows of ``jobs`` or ``pending``."""
    return tuple(
        _shard_prefix(table, queue, shard) for shard in range(_SHARDS)
    )


def _shard_prefix(table: str, queue: str, shard: int) -> str:
    return f"{table}/{urllib.parse.quote(queue, safe='')}.{shard}/"


def partition_of(key: str) -> str:
    """Return the partition of a row's key."""
    return key.split("/", 2)[1]


def job_of_progress(key: str) -> tuple[str, str]:
    """Return the queue and the job's id of a ``progress`` row's key."""
    queue, job_id = key.split("/", 3)[2:]
    return queue, job_id


def row_key(table: str, queue: str, job_id: str) -> str:
    """Return the key of a job's row in one of the tables."""
    if table == PROGRESS:
        return f"{PROGRESS}/scheduler/{queue}/{job_id}"
    shard = zlib.crc32(job_id.encode()) % _SHARDS
    return _shard_prefix(table, queue, shard) + job_id


@attrs.frozen(kw_only=True)
class Submission:
    """What a ``jobs`` row holds; ``arrived_ms`` is in Unix milliseconds.

    ``queue`` is the queue as it was then, for when operators remove it.
    """

    spec: peridotsill_scheduler.JobSpec
    queue: peridotsill_scheduler.Queue
    arrived_ms: float
    cancelled: bool = False


def submission_value(submission: Submission) -> dict[str, typing.Any]:
    """Return the row's value for a submission."""
    return typing.cast(dict[str, typing.Any], peridotsill.to_plain(submission))


def parse_submission(row: peridotsill.Row) -> Submission:
    """Read a ``jobs`` row.

    Raises:
        InvalidResource: If it has another shape.
    """
    return peridotsill.from_plain(row.value, Submission, strict=False)


def progress_value(
    job: peridotsill_scheduler.Job, epoch: int
) -> dict[str, typing.Any]:
    """Return the value of a job's ``progress`` row.

    A task is a list in the order phase, run, runner, lifetime, failures,
    settled run, checkpoint; tasks that never started are left out.
    ``epoch`` is the scheduler's that writes.
    """
    return {
        "state": str(job.state),
        "epoch": epoch,
        "opened": job.opened,
        "tasks": {
            task.key: [
                str(task.phase),
                task.run,
                task.runner,
                task.lifetime,
                task.failures,
                task.settled_run,
                task.checkpoint,
            ]
            for task in job.tasks
            if task.run
        },
    }


def parse_state(
    value: dict[str, typing.Any],
) -> peridotsill_scheduler.JobState:
    """Return the state that a ``progress`` row shows.

    Raises:
        InvalidResource: If it names none.
    """
    try:
        return peridotsill_scheduler.JobState(value["state"])
    except (KeyError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"state: {error!r}",)
        ) from error


def is_settled(value: dict[str, typing.Any]) -> bool:
    """Tell whether a ``progress`` row leaves nothing to do.

    The job is in a final state and no runner may hold any of its tasks.

    Raises:
        InvalidResource: If the row has another shape.
    """
    if parse_state(value) not in peridotsill_scheduler.FINAL_STATES:
        return False
    active = peridotsill_scheduler.ACTIVE_PHASES
    return all(
        task.phase not in active for task in parse_tasks(value).values()
    )


def restore_progress(
    job: peridotsill_scheduler.Job, row: peridotsill.Row
) -> None:
    """Set a job's state and tasks from its ``progress`` row.

    Raises:
        InvalidResource: If the row has another shape.
    """
    value = row.value
    job.state = parse_state(value)
    job.row_version = row.version
    try:
        job.opened = 0
        job.tasks = []
        _reopen(job, int(value["opened"]))
        tasks = {task.key: task for task in job.tasks}
        for key, fields in value["tasks"].items():
            _restore_task(tasks[key], _task_record(*fields))
    except (KeyError, TypeError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"tasks: {error!r}",)
        ) from error


def _reopen(job: peridotsill_scheduler.Job, opened: int) -> None:
    if not job.spec.occurrences:
        peridotsill_scheduler.open_occurrences(job, 0.0)
        return
    if opened:
        due = job.spec.first_due_ms + (opened - 1) * job.spec.period_ms
        peridotsill_scheduler.open_occurrences(job, due)


@attrs.frozen(kw_only=True)
class TaskRecord:
    """A task as a ``progress`` row holds it."""

    phase: peridotsill_scheduler.TaskPhase
    run: int
    runner: str
    lifetime: int
    failures: int
    settled_run: int
    checkpoint: str


def parse_tasks(value: dict[str, typing.Any]) -> dict[str, TaskRecord]:
    """Return the tasks of a ``progress`` row by their names.

    Raises:
        InvalidResource: If one has another shape.
    """
    try:
        return {
            name: _task_record(*fields)
            for name, fields in value["tasks"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"tasks: {error!r}",)
        ) from error


def _task_record(
    phase: str,
    run: int,
    runner: str,
    lifetime: int,
    failures: int,
    settled_run: int,
    checkpoint: str,
) -> TaskRecord:
    return TaskRecord(
        phase=_Phase(phase),
        run=int(run),
        runner=str(runner),
        lifetime=int(lifetime),
        failures=int(failures),
        settled_run=int(settled_run),
        checkpoint=str(checkpoint),
    )


def _restore_task(
    task: peridotsill_scheduler.Task, record: TaskRecord
) -> None:
    task.phase = record.phase
    task.run = record.run
    task.runner = record.runner
    task.lifetime = record.lifetime
    task.failures = record.failures
    task.settled_run = record.settled_run
    task.checkpoint = record.checkpoint
