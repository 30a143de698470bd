"""Read-only views of the job service for operators, from its rows."""

import collections
import typing

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _waves
from peridotsill_jobs import exceptions
import peridotsill_platform


@attrs.frozen(kw_only=True)
class SchedulerView:
    """The scheduler's lease; ``epoch`` grows with each takeover.

    ``holder`` is empty if the lease was released.
    """

    holder: str
    epoch: int
    row_version: int


@attrs.frozen(kw_only=True)
class TaskView:
    """A task that was started; ``run`` is the number of its last start."""

    name: str
    phase: str
    run: int
    runner: str
    failures: int


@attrs.frozen(kw_only=True)
class JobView:
    """A job that has a progress row, and its started tasks."""

    id: str
    queue: str
    state: str
    epoch: int
    tasks: tuple[TaskView, ...]
    failure_reason: str = ""

    def count(self, phase: str) -> int:
        """Return how many of the tasks are in a phase."""
        return collections.Counter(each.phase for each in self.tasks)[phase]


@attrs.frozen(kw_only=True)
class WaveView:
    """A wave's recorded progress.

    ``begun`` lists the VMs whose maintenance was, or may have been,
    commanded, ``done`` those whose command was answered, and ``back`` those
    whose maintenance is over or was refused.
    """

    name: str
    begun: tuple[str, ...]
    done: tuple[str, ...]
    back: tuple[str, ...]


class Inspector:
    """Reads the rows of a job service and its platform's list of VMs."""

    def __init__(self, *, ports: _ports.PlatformPorts) -> None:
        self._ports = ports

    def scheduler(self) -> SchedulerView | None:
        """Return the lease; None if no node has ever held it.

        Raises:
            RowsUnreadable: If the table does not answer.
        """
        rows = self._read(_records.LEASE_KEY)
        if not rows:
            return None
        value = rows[0].value
        return SchedulerView(
            holder=str(value.get("holder", "")),
            epoch=int(value.get("epoch", 0)),
            row_version=rows[0].version,
        )

    def jobs(self) -> tuple[JobView, ...]:
        """Return the jobs that have a progress row.

        Raises:
            RowsUnreadable: If the table does not answer.
        """
        return self._job_views(self._scan(f"{_records.PROGRESS}/"))

    def job(self, queue: str, job_id: str) -> JobView | None:
        """Return one job; None if it has no progress row.

        Raises:
            RowsUnreadable: If the table does not answer.
        """
        key = _records.row_key(_records.PROGRESS, queue, job_id)
        views = self._job_views(self._read(key))
        return views[0] if views else None

    def _job_views(
        self, rows: tuple[peridotsill.Row, ...]
    ) -> tuple[JobView, ...]:
        task_rows: tuple[peridotsill.Row, ...] = ()
        if any(_records.has_divided_tasks(row.value) for row in rows):
            task_rows = self._scan(f"{_records.PROGRESS_TASKS}/")
        by_key = {row.key: row for row in task_rows}
        return tuple(_job_view(row, by_key) for row in rows)

    def waves(self) -> tuple[WaveView, ...]:
        """Return the waves that a scheduler has begun.

        Raises:
            RowsUnreadable: If the table does not answer.
        """
        views = []
        for row in self._scan("control//"):
            if row.key.startswith(_waves.KEY_PREFIX):
                views.append(
                    WaveView(
                        name=row.key.removeprefix(_waves.KEY_PREFIX),
                        begun=tuple(row.value.get("begun", ())),
                        done=tuple(row.value.get("done", ())),
                        back=tuple(row.value.get("back", ())),
                    )
                )
        return tuple(views)

    def vms(self) -> tuple[_ports.VmRecord, ...]:
        """Return the platform's list of VMs.

        Raises:
            VmServiceError: If the VM service does not answer.
        """
        return self._ports.vms.list_vms()

    def _read(self, key: str) -> tuple[peridotsill.Row, ...]:
        outcome = self._ports.table.read((key,))
        return _rows_or_raise(outcome)

    def _scan(self, prefix: str) -> tuple[peridotsill.Row, ...]:
        outcome = self._ports.table.scan((prefix,))
        return _rows_or_raise(outcome.map(lambda scan: scan.rows))


def _rows_or_raise(
    outcome: peridotsill_platform.ReadResult,
) -> tuple[peridotsill.Row, ...]:
    match outcome:
        case result.Success(rows):
            return typing.cast(tuple[peridotsill.Row, ...], rows)
        case result.Failure(error):
            raise exceptions.RowsUnreadable(str(error))
    raise AssertionError("result is neither Success nor Failure")


def _job_view(
    row: peridotsill.Row, task_rows: dict[str, peridotsill.Row]
) -> JobView:
    queue, job_id = _records.parse_progress_key(row.key)
    try:
        state = str(_records.parse_state(row.value))
        joined = _records.join_task_rows(row, task_rows)
        records = _records.parse_tasks(joined.value)
    except peridotsill.exceptions.InvalidResource:
        # Listed anyway, so that an operator sees that the row is damaged.
        return JobView(
            id=job_id, queue=queue, state="unreadable", epoch=0, tasks=()
        )
    epoch = row.value.get("epoch", 0)
    return JobView(
        id=job_id,
        queue=queue,
        state=state,
        epoch=epoch if isinstance(epoch, int) else 0,
        failure_reason=_records.parse_failure_reason(row.value),
        tasks=tuple(
            TaskView(
                name=name,
                phase=str(record.phase),
                run=record.run,
                runner=record.runner,
                failures=record.failures,
            )
            for name, record in sorted(records.items())
        ),
    )
