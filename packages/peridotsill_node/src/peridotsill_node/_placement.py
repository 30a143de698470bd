"""Where a job runs: learned sizes, spread, quarantine, slack order.

Declared sizes and run times are far off, so a high quantile of what jobs
of the same family used takes their place as soon as enough were seen.
"""

import collections
import collections.abc
import math
import time

import attrs
import peridotsill

import peridotsill_platform

_LEAST_SAMPLES = 3
_KEPT_SAMPLES = 200
_QUANTILE = 0.9
_HEADROOM = 1.1
_FAILURES_TO_QUARANTINE = 3
_QUARANTINE_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class Need:
    """What a job is expected to use."""

    cores: float
    memory_gib: float
    accelerators: int
    run_seconds: float


def quantile(values: tuple[float, ...], part: float) -> float:
    """Return the smallest value that ``part`` of the values don't pass."""
    ordered = sorted(values)
    index = math.ceil(part * len(ordered)) - 1
    return ordered[max(index, 0)]


class UsageBook:
    """What jobs of each family have used."""

    def __init__(self) -> None:
        self._samples: dict[str, dict[str, peridotsill.JobUse]] = {}
        self._learned: dict[str, Need] = {}

    def record(self, job: peridotsill.Job, use: peridotsill.JobUse) -> None:
        """Keep a finished job's use; each job counts once."""
        family = family_of(job)
        kept = self._samples.setdefault(family, {})
        kept.pop(job.name, None)
        kept[job.name] = use
        while len(kept) > _KEPT_SAMPLES:
            del kept[next(iter(kept))]
        if len(kept) >= _LEAST_SAMPLES:
            self._learned[family] = _high_use(tuple(kept.values()))

    def recall(self, jobs: collections.abc.Iterable[peridotsill.Job]) -> None:
        """Take up what finished jobs' rows say that they used."""
        for job in jobs:
            if job.used is not None:
                self.record(job, job.used)

    def need_of(self, job: peridotsill.Job) -> Need:
        """Return what a job is expected to use."""
        learned = self._learned.get(family_of(job))
        if learned is not None:
            return attrs.evolve(learned, accelerators=job.accelerators)
        return Need(
            cores=job.cores,
            memory_gib=job.memory_gib,
            accelerators=job.accelerators,
            run_seconds=job.run_seconds,
        )


def _high_use(samples: tuple[peridotsill.JobUse, ...]) -> Need:
    cores = quantile(tuple(each.cores for each in samples), _QUANTILE)
    memory = quantile(tuple(each.memory_gib for each in samples), _QUANTILE)
    seconds = quantile(tuple(each.run_seconds for each in samples), _QUANTILE)
    return Need(
        cores=cores * _HEADROOM,
        memory_gib=memory * _HEADROOM,
        accelerators=0,
        run_seconds=seconds,
    )


def family_of(job: peridotsill.Job) -> str:
    """Return the name under which a job's use is learned."""
    return job.family or job.name.rstrip("0123456789").rstrip("-.")


def slack_seconds(job: peridotsill.Job, need: Need, now: float) -> float:
    """Return how long a job may still wait; infinity without a deadline."""
    if not job.deadline_at:
        return math.inf
    left = need.run_seconds * (1 - job.checkpoint)
    return job.deadline_at - now - left


@attrs.define(kw_only=True, eq=False)
class _Record:
    failures: set[str] = attrs.Factory(set)
    quarantined_until: float = 0.0
    probing: str = ""


class Quarantine:
    """Keeps jobs away from VMs that fail everything they start."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def _record(self, vm: str) -> _Record:
        return self._records.setdefault(vm, _Record())

    def why_not(self, vm: str) -> str:
        """Return why a VM should get no job, or nothing."""
        record = self._record(vm)
        if len(record.failures) < _FAILURES_TO_QUARANTINE:
            return ""
        if record.quarantined_until > time.monotonic():
            return f"quarantined after {len(record.failures)} failures"
        if record.probing:
            return f"on trial with {record.probing}"
        return ""

    def started(self, vm: str, job: str) -> None:
        """Note a job's start; the first after a quarantine is a probe."""
        record = self._record(vm)
        if len(record.failures) >= _FAILURES_TO_QUARANTINE:
            record.probing = job

    def failed(self, vm: str, job: str) -> bool:
        """Note a failure; true if it puts the VM into quarantine."""
        record = self._record(vm)
        record.failures.add(job)
        record.probing = ""
        if len(record.failures) < _FAILURES_TO_QUARANTINE:
            return False
        record.quarantined_until = time.monotonic() + _QUARANTINE_SECONDS
        return True

    def succeeded(self, vm: str) -> None:
        """Note a success, which clears the VM."""
        self._records[vm] = _Record()


@attrs.define(kw_only=True, eq=False)
class Load:
    """A VM and what its jobs are expected to use."""

    vm: peridotsill.Vm
    cores: float = 0.0
    memory_gib: float = 0.0
    accelerators: int = 0
    families: collections.Counter[str] = attrs.Factory(collections.Counter)

    def add(self, job: peridotsill.Job, need: Need) -> None:
        """Count a job's use."""
        self.cores += need.cores
        self.memory_gib += need.memory_gib
        self.accelerators += need.accelerators
        self.families[family_of(job)] += 1

    def why_not(self, need: Need) -> str:
        """Return why a job doesn't fit now, or nothing."""
        # What was learned may pass every VM's size; such a job gets an
        # empty VM, as its declared size fits.
        if not self.families and need.accelerators <= self.vm.accelerators:
            return ""
        if self.cores + need.cores > self.vm.cores:
            return f"{self.vm.cores - self.cores:.1f} cores are free"
        if self.memory_gib + need.memory_gib > self.vm.memory_gib:
            return f"{self.vm.memory_gib - self.memory_gib:.1f} GiB are free"
        if self.accelerators + need.accelerators > self.vm.accelerators:
            free = self.vm.accelerators - self.accelerators
            return f"{free} accelerators are free"
        return ""


def why_not_fit(job: peridotsill.Job, vm: peridotsill.Vm) -> str:
    """Return why a job can't run on a VM even if it is empty."""
    if job.cores > vm.cores:
        return f"has {vm.cores:g} cores, needs {job.cores:g}"
    if job.memory_gib > vm.memory_gib:
        return f"has {vm.memory_gib:g} GiB, needs {job.memory_gib:g}"
    if job.accelerators > vm.accelerators:
        return f"has {vm.accelerators} accelerators, needs {job.accelerators}"
    return ""


@attrs.frozen(kw_only=True)
class Choice:
    """The VM for a job, or why each has none."""

    vm: str | None
    candidates: tuple[peridotsill.Candidate, ...]


def choose_vm(
    job: peridotsill.Job,
    need: Need,
    loads: tuple[Load, ...],
    why_not: dict[str, str],
) -> Choice:
    """Pick a VM: accelerators spared, racks spread, then the tightest fit.

    Args:
        job: The job to place.
        need: What it is expected to use.
        loads: The pool's VMs and what runs there.
        why_not: VMs that may get no job, with the reason.
    """
    candidates = []
    fitting = []
    for load in loads:
        reason = why_not.get(load.vm.name, "")
        reason = reason or why_not_fit(job, load.vm)
        reason = reason or load.why_not(need)
        candidates.append(
            peridotsill.Candidate(name=load.vm.name, reason=reason)
        )
        if not reason:
            fitting.append(load)
    if not fitting:
        return Choice(vm=None, candidates=tuple(candidates))
    racks = _rack_counts(family_of(job), loads)
    best = min(fitting, key=lambda load: _rank(load, need, racks))
    return Choice(vm=best.vm.name, candidates=tuple(candidates))


def _rack_counts(
    family: str, loads: tuple[Load, ...]
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for load in loads:
        counts[load.vm.rack] += load.families[family]
    return counts


def _rank(
    load: Load, need: Need, racks: collections.Counter[str]
) -> tuple[int, int, float, str]:
    wasted = load.vm.accelerators if not need.accelerators else 0
    left = load.vm.cores - load.cores - need.cores
    return wasted, racks[load.vm.rack], left, load.vm.name


def use_from(
    status: peridotsill_platform.TaskStatus, run_seconds: float
) -> peridotsill.JobUse:
    """Return what a finished task used."""
    return peridotsill.JobUse(
        cores=status.used_cores,
        memory_gib=status.used_memory_gib,
        run_seconds=run_seconds,
    )
