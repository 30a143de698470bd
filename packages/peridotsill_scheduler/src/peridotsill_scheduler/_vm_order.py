"""Finds the best VM for a task without looking at each VM of a pool."""

import bisect
import collections
import collections.abc
import itertools

from peridotsill_scheduler import _crashes
from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _vms

# More than the rounding of floats that `Resources.covers` allows for.
_ROUNDING_MARGIN = 1e-6

Rank = tuple[float, ...]
# What the rank of a VM without suspects depends on, apart from the VM.
_StepKind = tuple[bool, bool, str]
# Cores, memory in mebibytes and accelerators.
_Amount = tuple[float, float, int]


def rank_vm(job: _progress.Job, task: _progress.Task, vm: _vms.VmView) -> Rank:
    """Return the rank of a VM for a task; the VM with the lowest is taken.

    The last element is the VM's free cores. The others depend on the job and
    the task, other than on the kind of its step, only if the task is a
    suspect or has failed before, or if there are suspects on the VM.
    """
    step = task.step
    outside_affinity_rack = (
        bool(step.affinity_rack) and step.affinity_rack != vm.rack
    )
    failed_here = vm.runner == task.failed_on
    if step.fills:
        penalty: float = vm.serving_count * 4 + vm.filler_count
    elif step.long_lived:
        # Long-lived tasks avoid VMs with filler tasks. Among the others they
        # are packed together, which leaves other VMs free to be lent or taken
        # down for maintenance.
        penalty = vm.filler_count * 8 - vm.long_lived_count
    else:
        penalty = 0.0
    group = _crashes.suspicion_group(job.spec.id, task)
    if _crashes.is_suspect(task):
        company: tuple[float, ...] = (
            not vm.is_free_of_others(group),
            len(vm.suspect_groups - {group}),
            vm.unexplained_crashes,
        )
    else:
        beside_suspect = bool(vm.suspect_groups - {group})
        company = (beside_suspect, 0.0, 0.0)
    return (
        *company,
        failed_here,
        vm.avoided,
        outside_affinity_rack,
        penalty,
        vm.free.cores,
    )


def choose_vm(
    job: _progress.Job,
    task: _progress.Task,
    vms: collections.abc.Iterable[_vms.VmView],
) -> _vms.VmView | None:
    """Return the first VM of the lowest rank that has room for a task."""
    best: _vms.VmView | None = None
    best_rank: Rank = ()
    for vm in vms:
        if not vm.allows(job, task):
            continue
        rank = rank_vm(job, task, vm)
        if best is None or rank < best_rank:
            best, best_rank = vm, rank
    return best


class VmOrder:
    """The VMs in the order in which tasks take them.

    It makes the same choices as `choose_vm`. There is one order for each kind
    of step, made when it is first needed. Within it, VMs whose ranks differ
    only in their free cores form a group, in which those with too few cores
    are skipped. VMs with suspects are looked at one by one, as are all VMs for
    a task that is a suspect or that has failed.

    Args:
        vms: The VMs. `note_change` has to be called after each change of one,
            other than that it is closed.
    """

    def __init__(self, *, vms: collections.abc.Sequence[_vms.VmView]) -> None:
        self._vms = vms
        self._positions = {vm: position for position, vm in enumerate(vms)}
        self._changes: list[int] = []
        self._orders: dict[_StepKind, _KindOrder] = {}

    def note_change(self, vm: _vms.VmView) -> None:
        """Record that a VM is to be ranked anew."""
        position = self._positions.get(vm)
        if position is not None:
            self._changes.append(position)

    def choose(
        self, job: _progress.Job, task: _progress.Task
    ) -> _vms.VmView | None:
        """Return the VM that a task takes, None if none has room."""
        if _crashes.is_suspect(task) or task.failed_on:
            return choose_vm(job, task, self._vms)
        step = task.step
        kind = (step.fills, step.long_lived, step.affinity_rack)
        order = self._orders.get(kind)
        if order is None:
            order = _KindOrder(vms=self._vms, change_count=len(self._changes))
            for position in range(len(self._vms)):
                order.update(job, task, position)
            self._orders[kind] = order
        while order.change_count < len(self._changes):
            order.update(job, task, self._changes[order.change_count])
            order.change_count += 1
        return order.find(job, task)


class _KindOrder:
    """The VMs in their order for one kind of step.

    ``change_count`` is how many changes of VMs have been applied.
    """

    def __init__(
        self,
        *,
        vms: collections.abc.Sequence[_vms.VmView],
        change_count: int,
    ) -> None:
        self.change_count = change_count
        self._vms = vms
        # By rank without free cores: free cores, position and free memory,
        # ascending.
        self._groups: dict[Rank, list[tuple[float, int, float]]] = {}
        self._ranks: dict[int, Rank] = {}
        self._with_suspects: set[int] = set()

    def update(
        self, job: _progress.Job, task: _progress.Task, position: int
    ) -> None:
        """Rank a VM anew, for any task of the kind that is no suspect."""
        former = self._ranks.pop(position, None)
        if former is not None:
            group = self._groups[former[:-1]]
            del group[bisect.bisect_left(group, (former[-1], position))]
        self._with_suspects.discard(position)
        vm = self._vms[position]
        if vm.suspect_groups:
            self._with_suspects.add(position)
            return
        rank = rank_vm(job, task, vm)
        self._ranks[position] = rank
        bisect.insort(
            self._groups.setdefault(rank[:-1], []),
            (rank[-1], position, vm.free.memory_mib),
        )

    def find(
        self, job: _progress.Job, task: _progress.Task
    ) -> _vms.VmView | None:
        """Return the first VM of the lowest rank that has room."""
        found = [
            (rank_vm(job, task, self._vms[position]), position)
            for position in self._with_suspects
            if self._vms[position].allows(job, task)
        ]
        first = self._find_without_suspects(job, task)
        if first is not None:
            found.append((self._ranks[first], first))
        return self._vms[min(found)[1]] if found else None

    def _find_without_suspects(
        self, job: _progress.Job, task: _progress.Task
    ) -> int | None:
        reserved = task.step.reserved
        least_cores = reserved.cores - _ROUNDING_MARGIN
        least_memory = reserved.memory_mib - _ROUNDING_MARGIN
        for rank in sorted(self._groups):
            group = self._groups[rank]
            start = bisect.bisect_left(group, (least_cores, -1))
            for _, position, memory in itertools.islice(group, start, None):
                if memory >= least_memory and self._vms[position].allows(
                    job, task
                ):
                    return position
        return None


class LargestRoom:
    """The largest free capacities of some VMs, by label.

    A capacity that another one covers isn't among them, so that a few tell
    whether any VM has room for some resources.

    Args:
        vms: The VMs. `note_change` has to be called after each change of one.
            They may only lose room.
    """

    def __init__(self, *, vms: collections.abc.Sequence[_vms.VmView]) -> None:
        self._amounts = {vm: _amount(vm.free) for vm in vms}
        self._counts: dict[str, collections.Counter[_Amount]] = {}
        self._largest: dict[str, dict[_Amount, _model.Resources]] = {}

    def note_change(self, vm: _vms.VmView) -> None:
        """Record that a VM has lost room."""
        former = self._amounts.get(vm)
        if former is None:
            return
        self._amounts[vm] = _amount(vm.free)
        for label, counts in self._counts.items():
            if vm.has_label(label):
                counts[former] -= 1
                counts[self._amounts[vm]] += 1
                if not counts[former]:
                    del counts[former]
                    if former in self._largest.get(label, ()):
                        del self._largest[label]

    def leave_out(self, vm: _vms.VmView) -> None:
        """Count a VM no longer, as it was closed."""
        if self._amounts.pop(vm, None) is not None:
            self._counts.clear()
            self._largest.clear()

    def has_room(self, reserved: _model.Resources, label: str) -> bool:
        """Tell whether a VM with a label has this much free capacity."""
        if label not in self._counts:
            self._counts[label] = collections.Counter(
                amount
                for vm, amount in self._amounts.items()
                if vm.has_label(label)
            )
        if label not in self._largest:
            self._largest[label] = {
                amount: _model.Resources(
                    cores=amount[0],
                    memory_mib=amount[1],
                    accelerators=amount[2],
                )
                for amount in _without_covered(self._counts[label])
            }
        return any(
            free.covers(reserved) for free in self._largest[label].values()
        )


def _amount(free: _model.Resources) -> _Amount:
    return free.cores, free.memory_mib, free.accelerators


def _without_covered(
    amounts: collections.abc.Iterable[_Amount],
) -> list[_Amount]:
    """Return the amounts that no other one covers exactly."""
    kept: list[_Amount] = []
    most_memory: dict[int, float] = {}
    for amount in sorted(amounts, reverse=True):
        # Those before it have as many cores or more.
        _, memory_mib, accelerators = amount
        if memory_mib <= most_memory.get(accelerators, float("-inf")):
            continue
        if not any(
            other[1] >= memory_mib and other[2] >= accelerators
            for other in kept
        ):
            kept.append(amount)
            most_memory[accelerators] = memory_mib
    return kept
