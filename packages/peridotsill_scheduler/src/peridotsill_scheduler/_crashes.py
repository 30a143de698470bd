"""Tells a task that crashes its runners from those that ran beside it.

A crash ends all that runs on a runner, so each task there is a suspect. A
suspect that is started again prefers a VM that nothing else uses. After a
second crash, or if the first came just after its start, it waits for such a
VM. If a runner then crashes under it alone, the task is the cause, and those
that were only beside it are cleared; if the task ends or outlives its earlier
runs, others may join it.

A task that is the cause is given up, unless it is long-lived: such a task has
to run until its job is cancelled, so it is started again at growing intervals,
and the others of its job run on.
"""

import collections.abc
import typing

import attrs

if typing.TYPE_CHECKING:
    from peridotsill_scheduler import _progress

# From this number of crashes on, a task is started on a VM of its own.
_ALONE_FROM_CRASHES = 2
# So is a task that was started no longer than this before its first crash.
_AT_START_SECONDS = 0.05
# A task that was alone is given up at this number of crashes, whatever is
# known of the VMs.
_GIVE_UP_ALONE_CRASHES = 3
# A task is given up at this number of crashes even if others were there each
# time, as a pool may have no VM to spare for it.
_GIVE_UP_CRASHES = 4
# With fewer crashes than this under runs that a runner is known to have begun,
# a task is given up later: alone at three crashes, else at this number.
_MIN_CERTAIN_CRASHES = 2
_GIVE_UP_UNCERTAIN_CRASHES = 5
# How long a suspect waits for a VM of its own before it may join others.
_MAX_WAIT_ALONE_SECONDS = 8.0
# The same for a long-lived task, which is at work only while it runs.
_MAX_LONG_LIVED_WAIT_SECONDS = 2.0
# From this number of crashes on a long-lived task pauses before it is started
# again. The first pause and the wait for a VM of its own together stay below
# the time for which such a task may be away. The next pauses limit how many
# runners a task at fault crashes.
_PAUSE_FROM_CRASHES = 3
_FIRST_PAUSE_SECONDS = 3.0
_PAUSE_FACTOR = 5.0
_MAX_PAUSE_SECONDS = 600.0
# More than all numbers of crashes that are told apart.
_MAX_KEPT_CRASHES = 8
# A suspect has outlived its crashes at this multiple of the longest time that
# it ran before one, and never before the minimum.
_OUTLIVED_FACTOR = 2.0
_MIN_OUTLIVED_SECONDS = 0.5
# A long-lived task that has run for this long is no suspect if its runner
# crashes later.
_PROVEN_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class Crash:
    """A crash of a runner under a run of a task.

    ``runner`` and ``lifetime`` identify the crash, ``host`` the VM by its
    address. ``run_seconds`` is how long the run had lasted, and ``certain``
    tells that the runner is known to have begun it.
    """

    runner: str
    lifetime: int
    host: str
    run_seconds: float
    certain: bool

    @property
    def id(self) -> tuple[str, int]:
        """Identifies the crash; all tasks that it hit have the same."""
        return self.runner, self.lifetime


def suspicion_group(job_id: str, task: "_progress.Task") -> str:
    """Name the tasks among which the cause of a crash is not looked for.

    These are all tasks of a job, as the job fails with any of them. A
    long-lived task is told apart from the others of its job, as they run on
    without it, unless they are members of one gang.
    """
    if task.step.long_lived and not task.step.gang:
        return f"{job_id}.{task.key}"
    return job_id


def is_suspect(task: "_progress.Task") -> bool:
    """Tell whether a runner has crashed under a task, for no known cause."""
    return bool(task.crashes)


def must_run_alone(task: "_progress.Task", now: float) -> bool:
    """Tell whether a waiting task may only be started on a VM of its own."""
    if not task.crashes or not _is_likely_cause(task):
        return False
    max_wait_seconds = (
        _MAX_LONG_LIVED_WAIT_SECONDS
        if task.step.long_lived
        else _MAX_WAIT_ALONE_SECONDS
    )
    # A pause is not a part of the wait.
    waits_since = max(task.requeued_at, task.not_before)
    return now < waits_since + max_wait_seconds


def _is_likely_cause(task: "_progress.Task") -> bool:
    return (
        len(task.crashes) >= _ALONE_FROM_CRASHES
        or task.crashes[-1].run_seconds <= _AT_START_SECONDS
    )


def restart_pause_seconds(task: "_progress.Task") -> float:
    """Return for how long a long-lived task pauses after its last crash.

    It is 0 for other tasks, as these are given up. Example: 0, 0, 3, 15 and
    75 s after the first five crashes of a task that never runs for long.
    """
    excess = len(task.crashes) - _PAUSE_FROM_CRASHES
    if not task.step.long_lived or excess < 0:
        return 0.0
    pause_seconds = _FIRST_PAUSE_SECONDS * _PAUSE_FACTOR**excess
    return min(pause_seconds, _MAX_PAUSE_SECONDS)


def add_crash(crashes: tuple[Crash, ...], crash: Crash) -> tuple[Crash, ...]:
    """Return a task's crashes with another one.

    A few of the last ones are kept, as they are written with each change of
    the task and a long-lived one may crash runners for as long as it lasts.
    """
    return (*crashes, crash)[-_MAX_KEPT_CRASHES:]


def has_outlived_crashes(task: "_progress.Task", now: float) -> bool:
    """Tell whether a run has lasted longer than those that crashed."""
    if not task.started_at:
        return False
    longest = max((each.run_seconds for each in task.crashes), default=0.0)
    limit = max(longest * _OUTLIVED_FACTOR, _MIN_OUTLIVED_SECONDS)
    return now - task.started_at > limit


def is_cleared(task: "_progress.Task", now: float) -> bool:
    """Tell whether a long-lived task has run for long enough to be cleared.

    Any other task is cleared by its end.
    """
    return (
        task.step.long_lived
        and is_suspect(task)
        and has_outlived_crashes(task, now)
        and now - task.started_at > _PROVEN_SECONDS
    )


def counts_as_suspect(
    task: "_progress.Task", crash: Crash, *, age_is_known: bool
) -> bool:
    """Tell whether a crash is held against a task that it hit.

    A long-lived task is a suspect only if it had just been started.
    """
    if not task.step.long_lived:
        return True
    return age_is_known and crash.run_seconds <= _PROVEN_SECONDS


Hit = tuple["_progress.Job", "_progress.Task"]


def find_culprits(
    hits: collections.abc.Sequence[Hit],
    *,
    crash_id: tuple[str, int],
    host_is_suspect: bool,
) -> list[Hit]:
    """Return the tasks that are held to be the cause of a crash.

    Args:
        hits: All tasks that were on the runner. Those against which the
            crash is not held are company, but are not the cause.
        crash_id: Identifies the crash.
        host_is_suspect: Whether the VM has had other crashes without a
            known cause.
    """
    groups = {
        (job.key, suspicion_group(job.spec.id, task)) for job, task in hits
    }
    alone = len(groups) == 1
    return [
        (job, task)
        for job, task in hits
        if task.crashes
        and task.crashes[-1].id == crash_id
        and _is_culprit(task, alone, host_is_suspect)
    ]


def _is_culprit(
    task: "_progress.Task", alone: bool, host_is_suspect: bool
) -> bool:
    count = len(task.crashes)
    certain_count = sum(each.certain for each in task.crashes)
    if certain_count < _MIN_CERTAIN_CRASHES:
        return count >= (
            _GIVE_UP_ALONE_CRASHES if alone else _GIVE_UP_UNCERTAIN_CRASHES
        )
    if count >= _GIVE_UP_CRASHES:
        return True
    if not alone:
        return False
    hosts = {each.host for each in task.crashes}
    on_sound_hosts = len(hosts) == count and not host_is_suspect
    return on_sound_hosts or count >= _GIVE_UP_ALONE_CRASHES
