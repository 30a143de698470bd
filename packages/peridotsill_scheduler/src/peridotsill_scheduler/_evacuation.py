"""Room for long-lived tasks that leave VMs before their maintenance.

The load pattern: a wave over VMs with long-lived tasks of which few may be
missing at once, and no two of a step may share a VM, while the peak of another
pool borrows each idle VM. Each VM that is left to their pool then holds one of
them, so that the next ones can't leave before the VM of the last ones is back
from its maintenance. With a few free VMs that are not due they leave within
seconds.
"""

import collections
import collections.abc
import math

import attrs

from peridotsill_scheduler import _availability
from peridotsill_scheduler import _progress

# Time from an eviction until the task is known to run at full speed on
# another VM that has room.
_EVICTION_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class Evacuation:
    """What the tasks of a pool that have yet to leave due VMs need.

    ``room_vms`` is how many free VMs that are not due they need at once, and
    ``seconds`` how long they take if they find them. ``waiting_vms`` is how
    many are needed for those that have left already.
    """

    room_vms: int = 0
    waiting_vms: int = 0
    seconds: float = 0.0


def plan_evacuation(
    jobs: collections.abc.Iterable[_progress.Job],
    due_runners: collections.abc.Set[str],
) -> Evacuation:
    """Return what a pool's long-lived tasks need to leave its due VMs.

    Tasks that have left, and wait for room, need it as well. Those that may
    never be evicted are left out.

    Args:
        jobs: The open jobs of the pool.
        due_runners: The runners of the VMs that are due for maintenance.
    """
    room_vms = waiting_vms = 0
    seconds = 0.0
    for job in jobs:
        if job.final or not job.long_lived:
            continue
        leaving: collections.Counter[tuple[int, int]] = collections.Counter()
        waiting: collections.Counter[tuple[int, int]] = collections.Counter()
        budgets: dict[tuple[int, int], int] = {}
        for task in job.tasks:
            budget = _availability.max_unavailable(task.step)
            waits = task.phase is _progress.TaskPhase.WAITING
            is_due = task.active and task.runner in due_runners
            if task.step.long_lived and budget and (waits or is_due):
                step = (task.occurrence, task.step.index)
                leaving[step] += 1
                waiting[step] += waits
                budgets[step] = budget
        for step, count in leaving.items():
            turns = math.ceil(count / budgets[step])
            room_vms = max(room_vms, min(count, budgets[step]))
            waiting_vms = max(waiting_vms, min(waiting[step], budgets[step]))
            seconds = max(seconds, turns * _EVICTION_SECONDS)
    return Evacuation(
        room_vms=room_vms, waiting_vms=waiting_vms, seconds=seconds
    )
