"""Keys and values of the rows of the job tables.

``jobs`` holds what the caller submitted and whether it was cancelled, and
``pending`` a row for each job that has not started. Both are spread over a few
partitions per queue, by job id, because a partition handles its transactions
one after another. ``progress`` holds the state of jobs and tasks, in one
partition that only the scheduler writes to. The tasks of a job that would not
fit in one row are in rows of ``progress_tasks``, in the same partition.

A ``jobs`` row may also be a tombstone: the job was cancelled before any
submission of it was stored. It holds back a submission that is still on its
way.
"""

import collections.abc
import typing
import urllib.parse
import zlib

import attrs
import peridotsill
import peridotsill.exceptions

import peridotsill_scheduler

JOBS = "jobs"
PROGRESS = "progress"
PROGRESS_TASKS = "progress_tasks"
PENDING = "pending"
# Partitions of a queue's ``jobs`` and ``pending`` rows. Even on a store that
# is sixty times slower than usual, each handles five transactions a second.
_PARTITIONS_PER_QUEUE = 4
_SCHEDULER_PARTITION = "scheduler"
LEASE_KEY = "control//scheduler"

_TaskPhase = peridotsill_scheduler.TaskPhase


def queue_prefixes(table: str, queue: str) -> tuple[str, ...]:
    """Return the key prefixes of a queue's ``jobs`` or ``pending`` rows."""
    return tuple(
        _partition_prefix(table, queue, partition_number)
        for partition_number in range(_PARTITIONS_PER_QUEUE)
    )


def _partition_prefix(table: str, queue: str, partition_number: int) -> str:
    return f"{table}/{urllib.parse.quote(queue, safe='')}.{partition_number}/"


def partition_of(key: str) -> str:
    """Return the partition that a row's key names."""
    return key.split("/", 2)[1]


def parse_progress_key(key: str) -> tuple[str, str]:
    """Return the queue and the job id from a ``progress`` row's key."""
    queue, job_id = key.split("/", 3)[2:]
    return queue, job_id


def parse_job_key(key: str) -> tuple[str, str]:
    """Return the queue and the job id from the key of a ``jobs`` row."""
    _, partition, job_id = key.split("/", 2)
    return urllib.parse.unquote(partition.rpartition(".")[0]), job_id


def row_key(table: str, queue: str, job_id: str) -> str:
    """Return the key of a job's row in one of the tables."""
    if table == PROGRESS:
        return f"{PROGRESS}/{_SCHEDULER_PARTITION}/{queue}/{job_id}"
    partition_number = zlib.crc32(job_id.encode()) % _PARTITIONS_PER_QUEUE
    return _partition_prefix(table, queue, partition_number) + job_id


def task_row_key(job: tuple[str, str], tasks_per_row: int, index: int) -> str:
    """Return the key of a row of tasks of the job with a queue and id.

    With another number of tasks in a row the keys are others, so that rows
    of both kinds are never taken for parts of one job.
    """
    queue, job_id = job
    partition = f"{PROGRESS_TASKS}/{_SCHEDULER_PARTITION}"
    return f"{partition}/{queue}/{job_id}/{tasks_per_row}.{index}"


@attrs.frozen(kw_only=True)
class Submission:
    """The content of a ``jobs`` row; ``arrived_ms`` is in Unix milliseconds.

    ``queue`` is the queue's configuration at submission, which is used if
    operators remove the queue. ``team`` names the team whose key the caller
    had; it is empty without one.
    """

    spec: peridotsill_scheduler.JobSpec
    queue: peridotsill_scheduler.Queue
    arrived_ms: float
    cancelled: bool = False
    team: str = ""


def submission_value(submission: Submission) -> dict[str, typing.Any]:
    """Return the row's value for a submission.

    Without a team it is the one that earlier versions of the program write.
    """
    value = typing.cast(
        dict[str, typing.Any], peridotsill.to_plain(submission)
    )
    if not submission.team:
        del value["team"]
    if not submission.queue.anonymous:
        del value["queue"]["anonymous"]
    return value


def parse_submission(row: peridotsill.Row) -> Submission:
    """Parse a ``jobs`` row.

    Raises:
        InvalidResource: If the row is malformed.
    """
    return peridotsill.from_plain(row.value, Submission, strict=False)


def parse_team(value: dict[str, typing.Any]) -> str:
    """Return the team of a ``jobs`` or ``progress`` row; empty without."""
    return str(value.get("team", ""))


def is_of_other_team(value: dict[str, typing.Any], team: str) -> bool:
    """Tell whether a row's job has a team, and ``team`` is another one.

    False if ``team`` is empty, as for a call without a key.
    """
    owner = parse_team(value)
    return bool(owner and team) and owner != team


def parse_team_arrival(row: peridotsill.Row) -> tuple[float, str] | None:
    """Return when a team's job arrived, in Unix milliseconds, and the team.

    None if the ``jobs`` row names no team or is malformed. The rest of the
    row isn't parsed, as there may be many rows of ended jobs.
    """
    arrived_ms, team = row.value.get("arrived_ms"), row.value.get("team")
    if not team or not isinstance(team, str):
        return None
    if not isinstance(arrived_ms, (int, float)):
        return None
    return float(arrived_ms), team


def tombstone_value(
    team: str = "", former: peridotsill.Row | None = None
) -> dict[str, typing.Any]:
    """Return the row's value for a job that was cancelled but not submitted.

    It names the teams that cancelled the job, unless a caller without a team
    did. ``former`` is the tombstone that it replaces.

    Versions of the program that know no tombstones find the row malformed
    and schedule nothing. They show the job as cancelled.
    """
    value: dict[str, typing.Any] = {"tombstone": True, "cancelled": True}
    teams = {team, *_tombstone_teams(former)} if former else {team}
    if "" not in teams:
        value["teams"] = sorted(teams)
    return value


def _tombstone_teams(row: peridotsill.Row) -> list[str]:
    return [str(each) for each in row.value.get("teams", [""])]


def tombstone_cancels(row: peridotsill.Row, team: str) -> bool:
    """Tell whether a tombstone cancels the job that a team submits.

    One of other teams does not: a team can't cancel another one's job.
    """
    teams = _tombstone_teams(row)
    return not team or "" in teams or team in teams


def is_tombstone(row: peridotsill.Row) -> bool:
    """Tell whether a ``jobs`` row only records an early cancellation."""
    return row.value.get("tombstone") is True


def progress_value(
    job: peridotsill_scheduler.Job,
    epoch: int,
    *,
    with_checkpoints: bool = True,
) -> dict[str, typing.Any]:
    """Return the value of a job's ``progress`` row.

    A task is a list of its phase, run, runner, lifetime, failures, last
    counted run and checkpoint; tasks that were never started are left out.
    ``epoch`` is that of the scheduler that writes the row. ``crashes`` holds,
    by task, a list for each crash with the fields of `Crash` in order; it,
    ``reason`` and ``team`` are left out if they are empty. ``counted`` holds,
    by task, the runs whose failures were counted, if these are not all runs
    up to the last counted one. Without checkpoints, a next holder starts the
    tasks from their beginning.
    """
    tasks = tasks_value(job.tasks, with_checkpoints=with_checkpoints)
    return {**_job_value(job, epoch), **tasks}


def _job_value(
    job: peridotsill_scheduler.Job, epoch: int
) -> dict[str, typing.Any]:
    value: dict[str, typing.Any] = {
        "state": str(job.state),
        "epoch": epoch,
        "opened": job.opened_count,
    }
    if job.failure_reason:
        value["reason"] = job.failure_reason
    if job.team:
        value["team"] = job.team
    return value


def tasks_value(
    tasks: collections.abc.Sequence[peridotsill_scheduler.Task],
    *,
    with_checkpoints: bool = True,
) -> dict[str, typing.Any]:
    """Return the part of a row's value that holds tasks and their crashes."""
    value: dict[str, typing.Any] = {
        "tasks": {
            task.key: [
                str(task.phase),
                task.run,
                task.runner,
                task.lifetime,
                task.failures,
                task.last_counted_run,
                task.checkpoint if with_checkpoints else "",
            ]
            for task in tasks
            if task.run
        },
    }
    crashes = {
        task.key: [list(attrs.astuple(each)) for each in task.crashes]
        for task in tasks
        if task.crashes
    }
    if crashes:
        value["crashes"] = crashes
    counted = {
        task.key: sorted(task.counted_runs)
        for task in tasks
        if len(task.counted_runs) != task.last_counted_run
    }
    if counted:
        value["counted"] = counted
    return value


@attrs.frozen(kw_only=True)
class TaskRows:
    """Says how a job's tasks are divided among rows of ``progress_tasks``.

    There are ``count`` rows with up to ``tasks_per_row`` tasks each. A row
    without a task that was started may be absent.
    """

    tasks_per_row: int
    count: int

    def keys_for(self, job: tuple[str, str]) -> tuple[str, ...]:
        """Return the rows' keys for the job with a queue and id."""
        return tuple(
            task_row_key(job, self.tasks_per_row, index)
            for index in range(self.count)
        )


def divided_progress_value(
    job: peridotsill_scheduler.Job, epoch: int, task_rows: TaskRows
) -> dict[str, typing.Any]:
    """Return the value of the ``progress`` row of a job with divided tasks.

    ``active`` counts the tasks that may be on a runner. There is no
    ``tasks``: versions of the program that know no divided tasks find the
    row malformed, instead of taking the tasks as never started.
    """
    return {
        **_job_value(job, epoch),
        "active": job.tally.counts.active,
        "task_rows": [task_rows.tasks_per_row, task_rows.count],
    }


def has_divided_tasks(value: dict[str, typing.Any]) -> bool:
    """Tell whether the tasks of a ``progress`` row are in other rows."""
    return "task_rows" in value


def parse_task_rows(value: dict[str, typing.Any]) -> TaskRows | None:
    """Return how a job's tasks are divided; None if they are in its row.

    Raises:
        InvalidResource: If the value is malformed.
    """
    if not has_divided_tasks(value):
        return None
    try:
        tasks_per_row, count = map(int, value["task_rows"])
    except (TypeError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"task_rows: {error!r}",)
        ) from error
    return TaskRows(tasks_per_row=tasks_per_row, count=count)


def join_task_rows(
    row: peridotsill.Row,
    rows_by_key: collections.abc.Mapping[str, peridotsill.Row],
) -> peridotsill.Row:
    """Return a ``progress`` row with the tasks of the job's other rows.

    It is returned as it is if it holds its tasks itself.

    Tasks of occurrences that the ``progress`` row does not know are left
    out. Their starts were never sent, as that row is written last.

    Args:
        row: The row of the job.
        rows_by_key: Rows of ``progress_tasks``, at least those of the job.

    Raises:
        InvalidResource: If a row is malformed.
    """
    task_rows = parse_task_rows(row.value)
    if task_rows is None:
        return row
    keys = task_rows.keys_for(parse_progress_key(row.key))
    value = {**row.value, "tasks": {}, "crashes": {}, "counted": {}}
    try:
        opened = int(row.value["opened"])
        for each in (rows_by_key[key] for key in keys if key in rows_by_key):
            for field in ("tasks", "crashes", "counted"):
                value[field] |= {
                    key: fields
                    for key, fields in each.value.get(field, {}).items()
                    if int(key.partition(".")[0]) < opened
                }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"tasks: {error!r}",)
        ) from error
    return attrs.evolve(row, value=value)


def parse_failure_reason(value: dict[str, typing.Any]) -> str:
    """Return why a job has failed, empty if its row does not say."""
    return str(value.get("reason", ""))


def parse_state(
    value: dict[str, typing.Any],
) -> peridotsill_scheduler.JobState:
    """Return the job's state from a ``progress`` row.

    Raises:
        InvalidResource: If the state is missing or unknown.
    """
    try:
        return peridotsill_scheduler.JobState(value["state"])
    except (KeyError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"state: {error!r}",)
        ) from error


def is_finished(value: dict[str, typing.Any]) -> bool:
    """Return whether a ``progress`` row shows that nothing is left to do.

    That is, the job is in a final state and none of its tasks may still be
    on a runner.

    Raises:
        InvalidResource: If the row is malformed.
    """
    if parse_state(value) not in peridotsill_scheduler.FINAL_STATES:
        return False
    if parse_task_rows(value) is not None:
        return value.get("active") == 0
    active = peridotsill_scheduler.ACTIVE_PHASES
    return all(
        task.phase not in active for task in parse_tasks(value).values()
    )


def restore_progress(
    job: peridotsill_scheduler.Job, row: peridotsill.Row
) -> None:
    """Set a job's state and tasks from its ``progress`` row.

    The job is left as it is if the row is malformed.

    Raises:
        InvalidResource: If the row is malformed.
    """
    value = row.value
    state = parse_state(value)
    try:
        opened_count = int(value["opened"])
        tasks = _restore_tasks(job.spec, opened_count, value)
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"tasks: {error!r}",)
        ) from error
    job.state = state
    job.row_version = row.version
    job.opened_count = opened_count
    job.tasks = tasks
    job.failure_reason = parse_failure_reason(value)


def _restore_tasks(
    spec: peridotsill_scheduler.JobSpec,
    opened_count: int,
    value: dict[str, typing.Any],
) -> list[peridotsill_scheduler.Task]:
    if not 0 <= opened_count <= max(1, spec.occurrences):
        raise ValueError(f"opened: {opened_count} of {spec.occurrences}")
    tasks = peridotsill_scheduler.make_tasks(spec, range(opened_count))
    by_key = {task.key: task for task in tasks}
    for key, fields in value["tasks"].items():
        _restore_task(by_key[key], _parse_task_fields(*fields))
    for key, crashes in value.get("crashes", {}).items():
        by_key[key].crashes = tuple(_parse_crash(*each) for each in crashes)
    for key, runs in value.get("counted", {}).items():
        by_key[key].counted_runs = frozenset(map(int, runs))
    return tasks


@attrs.frozen(kw_only=True)
class TaskRecord:
    """A task as stored in a ``progress`` row."""

    phase: peridotsill_scheduler.TaskPhase
    run: int
    runner: str
    lifetime: int
    failures: int
    last_counted_run: int
    checkpoint: str


def parse_tasks(value: dict[str, typing.Any]) -> dict[str, TaskRecord]:
    """Return the tasks of a ``progress`` row by their keys.

    Raises:
        InvalidResource: If the tasks are missing or malformed.
    """
    try:
        return {
            name: _parse_task_fields(*fields)
            for name, fields in value["tasks"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"tasks: {error!r}",)
        ) from error


def _parse_task_fields(
    phase: str,
    run: int,
    runner: str,
    lifetime: int,
    failures: int,
    last_counted_run: int,
    checkpoint: str,
) -> TaskRecord:
    return TaskRecord(
        phase=_TaskPhase(phase),
        run=int(run),
        runner=str(runner),
        lifetime=int(lifetime),
        failures=int(failures),
        last_counted_run=int(last_counted_run),
        checkpoint=str(checkpoint),
    )


def _parse_crash(
    runner: str, lifetime: int, host: str, run_seconds: float, certain: bool
) -> peridotsill_scheduler.Crash:
    return peridotsill_scheduler.Crash(
        runner=str(runner),
        lifetime=int(lifetime),
        host=str(host),
        run_seconds=float(run_seconds),
        certain=bool(certain),
    )


def _restore_task(
    task: peridotsill_scheduler.Task, record: TaskRecord
) -> None:
    task.phase = record.phase
    task.run = record.run
    task.runner = record.runner
    task.lifetime = record.lifetime
    task.failures = record.failures
    if not task.step.long_lived:
        # An earlier version takes all runs up to the last one as counted.
        task.counted_runs = frozenset(range(1, record.last_counted_run + 1))
    task.checkpoint = record.checkpoint
