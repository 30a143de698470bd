"""Divides the progress of a job among rows that a table can hold.

A job has a row in ``progress``, which holds all of its tasks unless it would
be too large. Then the tasks are in rows of ``progress_tasks``, the same number
in each, and the job's own row says how many there are. The job's own row is
written with the last of them or after them, so what it refers to is complete.

Checkpoints have no limit of size. If a row outgrows the table with them, the
tasks are divided among more rows; if a single task does, or the table rejects
the rows, the job's checkpoints are left out.
"""

import collections.abc

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _logs
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_scheduler

_JobKey = tuple[str, str]
# Upper limit of one task's part of a row beside its checkpoint: names of
# runners of 200 bytes, and as many crashes as a task may have.
_MAX_TASK_BYTES = 1536
# What a row adds to a transaction beside its keys and its value.
_OTHER_BYTES_PER_ROW = 200


@attrs.frozen(kw_only=True)
class RowWrite:
    """A row to be written if it still has a version; 0 if it is absent.

    ``value_bytes`` is the size of its value. ``is_job_row`` tells a job's own
    row from those of its tasks.
    """

    key: str
    version: int
    value: dict[str, object]
    value_bytes: int
    is_job_row: bool

    @property
    def transaction_bytes(self) -> int:
        """The size of its check and its write in a transaction."""
        return self.value_bytes + 2 * len(self.key) + _OTHER_BYTES_PER_ROW


class ProgressRows:
    """The versions and contents of the rows of jobs whose tasks are divided.

    Example: with 32 tasks in a row, a job of 1,280 tasks whose row would be
    too large has 40 rows in ``progress_tasks``. If two of its tasks end, at
    most two of these and the job's own row are written again. If checkpoints
    make one of them too large, there are 16 tasks in each of 80 rows instead.

    Args:
        limits: The sizes that the table accepts.
    """

    def __init__(self, *, limits: peridotsill_platform.TableLimits) -> None:
        self._limits = limits
        self._most_tasks_per_row = max(
            1, limits.value_bytes // _MAX_TASK_BYTES
        )
        # By job, how many of its tasks are in a row.
        self._tasks_per_row: dict[_JobKey, int] = {}
        self._without_checkpoints: set[_JobKey] = set()
        self._task_rows: dict[str, peridotsill.Row] = {}

    def writes(
        self, job: peridotsill_scheduler.Job, epoch: int
    ) -> tuple[RowWrite, ...]:
        """Return the rows to write for a job; its own row is the last.

        Args:
            job: The job.
            epoch: The epoch of the scheduler that writes them.
        """
        if job.key not in self._tasks_per_row:
            value = _records.progress_value(
                job, epoch, with_checkpoints=self._has_checkpoints(job)
            )
            write = _job_row_write(job, value)
            if self._fits(write):
                return (write,)
            self._tasks_per_row[job.key] = self._most_tasks_per_row
        task_writes = self._fitting_task_writes(job)
        size = self._tasks_per_row[job.key]
        count = -(-len(job.tasks) // size)
        value = _records.divided_progress_value(
            job, epoch, _records.TaskRows(tasks_per_row=size, count=count)
        )
        return (*task_writes, _job_row_write(job, value))

    def _fitting_task_writes(
        self, job: peridotsill_scheduler.Job
    ) -> tuple[RowWrite, ...]:
        """Divide a job's tasks further until each row fits in the table.

        Rows of the former division stay; the job's own row names the new one.
        """
        while True:
            writes = tuple(self._task_writes(job))
            if all(map(self._fits, writes)):
                return writes
            size = self._tasks_per_row[job.key]
            if size > 1:
                self._tasks_per_row[job.key] = (size + 1) // 2
            elif self._has_checkpoints(job):
                self.leave_out_checkpoints(job)
            else:
                return writes

    def _fits(self, write: RowWrite) -> bool:
        return write.value_bytes <= self._limits.value_bytes

    def _has_checkpoints(self, job: peridotsill_scheduler.Job) -> bool:
        return job.key not in self._without_checkpoints

    def leave_out_checkpoints(self, job: peridotsill_scheduler.Job) -> None:
        """Write a job's rows without checkpoints from now on."""
        if self._has_checkpoints(job):
            self._without_checkpoints.add(job.key)
            _logs.log(
                "job:checkpoints_left_out",
                job=job.spec.id,
                queue=job.spec.queue,
                longest=max(
                    (len(each.checkpoint) for each in job.tasks), default=0
                ),
            )

    def _task_writes(
        self, job: peridotsill_scheduler.Job
    ) -> collections.abc.Iterator[RowWrite]:
        """Yield the writes of the rows of tasks that have changed."""
        size = self._tasks_per_row[job.key]
        for index, start in enumerate(range(0, len(job.tasks), size)):
            tasks = job.tasks[start : start + size]
            write = self._task_write(job, index, tasks)
            if write is not None:
                yield write

    def _task_write(
        self,
        job: peridotsill_scheduler.Job,
        index: int,
        tasks: list[peridotsill_scheduler.Task],
    ) -> RowWrite | None:
        """Return the write of a row of tasks; None if it is up to date."""
        size = self._tasks_per_row[job.key]
        key = _records.task_row_key(job.key, size, index)
        value = _records.tasks_value(
            tasks, with_checkpoints=self._has_checkpoints(job)
        )
        known = self._task_rows.get(key)
        if known is None and not value["tasks"]:
            return None
        if known is not None and known.value == value:
            return None
        return RowWrite(
            key=key,
            version=known.version if known else 0,
            value=value,
            value_bytes=len(peridotsill.encode(value)),
            is_job_row=False,
        )

    def record_written(
        self,
        job: peridotsill_scheduler.Job,
        write: RowWrite,
        version: int,
    ) -> None:
        """Remember the version of a job's row that was written."""
        if write.is_job_row:
            job.row_version = version
            return
        self.record_task_row(
            peridotsill.Row(key=write.key, value=write.value, version=version)
        )

    def record_task_row(self, row: peridotsill.Row) -> None:
        """Remember what a row of tasks holds."""
        self._task_rows[row.key] = row

    def join(self, row: peridotsill.Row) -> peridotsill.Row:
        """Return a job's own row with the tasks of its other rows.

        These have to be known. The job's tasks stay divided.

        Raises:
            InvalidResource: If the row is malformed.
        """
        task_rows = _records.parse_task_rows(row.value)
        if task_rows is not None:
            self._tasks_per_row[_records.parse_progress_key(row.key)] = min(
                max(1, task_rows.tasks_per_row), self._most_tasks_per_row
            )
        return _records.join_task_rows(row, self._task_rows)


def _job_row_write(
    job: peridotsill_scheduler.Job, value: dict[str, object]
) -> RowWrite:
    return RowWrite(
        key=_records.row_key(_records.PROGRESS, *job.key),
        version=job.row_version,
        value=value,
        value_bytes=len(peridotsill.encode(value)),
        is_job_row=True,
    )
