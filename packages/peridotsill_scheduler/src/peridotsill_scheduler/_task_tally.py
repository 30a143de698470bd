"""Counts of a job's tasks that follow each change of a task's phase."""

import collections.abc
import typing

import attrs

if typing.TYPE_CHECKING:
    from peridotsill_scheduler import _model
    from peridotsill_scheduler import _progress


@attrs.define(kw_only=True)
class PhaseCounts:
    """How many tasks wait, may be on a runner, are done or have failed."""

    waiting: int = 0
    active: int = 0
    done: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """The number of tasks."""
        return self.waiting + self.active + self.done + self.failed

    @property
    def unfinished(self) -> int:
        """The number of tasks that are not done."""
        return self.waiting + self.active + self.failed

    def add(self, name: str, number: int) -> None:
        """Change one of the counts, by its name."""
        setattr(self, name, getattr(self, name) + number)


_NO_TASKS = PhaseCounts()


class StepTasks:
    """The tasks of a step in one occurrence.

    ``waiting`` holds those that wait by their position in the job.
    """

    def __init__(self, *, step: "_model.Step") -> None:
        self.step = step
        self.tasks: list[_progress.Task] = []
        self.waiting: dict[int, _progress.Task] = {}
        self.counts = PhaseCounts()


class TaskTally:
    """Counts a job's tasks by phase, so that no decision looks at each task.

    Each task reports its changes of phase, and whether it is a suspect.
    ``memo`` is for what is derived from the counts, and None after each
    change of them.
    """

    def __init__(
        self, *, tasks: collections.abc.Iterable["_progress.Task"] = ()
    ) -> None:
        self._groups: dict[tuple[int, int], StepTasks] = {}
        self._waiting_groups: dict[tuple[int, int], StepTasks] = {}
        self._counts = PhaseCounts()
        self._by_step: dict[int, PhaseCounts] = {}
        self._positions: dict[_progress.Task, int] = {}
        self._suspect_count = 0
        self._ready_steps: list[StepTasks] | None = None
        self.memo: typing.Any = None
        for position, task in enumerate(tasks):
            self._positions[task] = position
            key = (task.occurrence, task.step.index)
            if key not in self._groups:
                self._groups[key] = StepTasks(step=task.step)
            self._groups[key].tasks.append(task)
            self._by_step.setdefault(task.step.index, PhaseCounts())
            self._add(task, task.phase)
            self._suspect_count += bool(task.crashes)
            task.report_to(self)

    @property
    def has_waiting(self) -> bool:
        """Whether some task waits."""
        return bool(self._waiting_groups)

    @property
    def has_suspects(self) -> bool:
        """Whether runners have crashed under some task, for no known cause."""
        return self._suspect_count > 0

    @property
    def counts(self) -> PhaseCounts:
        """The counts of all tasks."""
        return self._counts

    def of_step(self, step: int) -> PhaseCounts:
        """Return the counts of a step's tasks in all occurrences."""
        return self._by_step.get(step, _NO_TASKS)

    def tasks_of(self, occurrence: int, step: int) -> list["_progress.Task"]:
        """Return the tasks of a step in an occurrence."""
        group = self._groups.get((occurrence, step))
        return list(group.tasks) if group is not None else []

    def ready_steps(self) -> list[StepTasks]:
        """Return the steps that have waiting tasks and need no other step.

        Those that a step needs have to be done in the same occurrence.
        """
        if self._ready_steps is None:
            self._ready_steps = [
                group
                for (occurrence, _), group in self._waiting_groups.items()
                if not group.step.after
                or not self._is_blocked(occurrence, group.step)
            ]
        return self._ready_steps

    def _is_blocked(self, occurrence: int, step: "_model.Step") -> bool:
        return any(
            self._is_unfinished(occurrence, each) for each in step.after
        )

    def _is_unfinished(self, occurrence: int, step: int) -> bool:
        group = self._groups.get((occurrence, step))
        return group is not None and group.counts.unfinished > 0

    def _count(
        self, group: StepTasks, task: "_progress.Task", name: str, number: int
    ) -> None:
        self.memo = None
        self._ready_steps = None
        for counts in (
            group.counts,
            self._by_step[task.step.index],
            self._counts,
        ):
            counts.add(name, number)

    def change_phase(
        self,
        task: "_progress.Task",
        former: "_progress.TaskPhase",
        phase: "_progress.TaskPhase",
    ) -> None:
        """Count a task in another phase than its former one."""
        name = former.count_name
        if name == phase.count_name:
            return
        key = (task.occurrence, task.step.index)
        group = self._groups[key]
        if name == "waiting":
            del group.waiting[self._positions[task]]
            if not group.waiting:
                del self._waiting_groups[key]
        self._count(group, task, name, -1)
        self._add(task, phase)

    def _add(
        self, task: "_progress.Task", phase: "_progress.TaskPhase"
    ) -> None:
        key = (task.occurrence, task.step.index)
        group = self._groups[key]
        name = phase.count_name
        if name == "waiting":
            group.waiting[self._positions[task]] = task
            self._waiting_groups[key] = group
        self._count(group, task, name, 1)

    def change_suspicion(self, *, was_suspect: bool, is_suspect: bool) -> None:
        """Count a task as a suspect, or no longer."""
        self._suspect_count += is_suspect - was_suspect
