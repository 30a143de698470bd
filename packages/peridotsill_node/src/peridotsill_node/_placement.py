"""Chooses the VM for a job: expected use, quarantine, slack and ranking.

Declared sizes and run times are far off, so they are replaced by a high
quantile of what finished jobs of the same family used, as soon as
`_MIN_SAMPLES` of these jobs are recorded. The number of accelerators
stays as declared.
"""

import collections
import collections.abc
import math
import time

import attrs
import peridotsill

import peridotsill_platform

_MIN_SAMPLES = 3
_MAX_SAMPLES = 200
_USE_QUANTILE = 0.9
_HEADROOM_FACTOR = 1.1
_FAILURES_TO_QUARANTINE = 3
_QUARANTINE_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class Need:
    """What a job is expected to use."""

    cores: float
    memory_gib: float
    accelerators: int
    run_seconds: float


def quantile(values: tuple[float, ...], fraction: float) -> float:
    """Return the smallest value that ``fraction`` of all don't exceed."""
    ordered = sorted(values)
    index = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(index, 0)]


class UsageHistory:
    """Samples of the resources that finished jobs used, by family."""

    def __init__(self) -> None:
        self._samples: dict[str, dict[str, peridotsill.JobUsage]] = {}
        self._learned: dict[str, Need] = {}

    def record(
        self, job: peridotsill.Job, usage: peridotsill.JobUsage
    ) -> None:
        """Add a finished job's usage, or replace the job's earlier sample."""
        family = family_of(job)
        samples = self._samples.setdefault(family, {})
        samples.pop(job.name, None)
        samples[job.name] = usage
        while len(samples) > _MAX_SAMPLES:
            del samples[next(iter(samples))]
        if len(samples) >= _MIN_SAMPLES:
            self._learned[family] = _need_of_samples(tuple(samples.values()))

    def record_from_rows(
        self, jobs: collections.abc.Iterable[peridotsill.Job]
    ) -> None:
        """Add the usage that is stored in the rows of finished jobs."""
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


def _need_of_samples(samples: tuple[peridotsill.JobUsage, ...]) -> Need:
    cores = quantile(tuple(each.cores for each in samples), _USE_QUANTILE)
    memory = quantile(
        tuple(each.memory_gib for each in samples), _USE_QUANTILE
    )
    seconds = quantile(
        tuple(each.run_seconds for each in samples), _USE_QUANTILE
    )
    return Need(
        cores=cores * _HEADROOM_FACTOR,
        memory_gib=memory * _HEADROOM_FACTOR,
        accelerators=0,
        run_seconds=seconds,
    )


def family_of(job: peridotsill.Job) -> str:
    """Return the declared family, or the name without its trailing number.

    Jobs of one family are expected to use the same resources.
    """
    return job.family or job.name.rstrip("0123456789").rstrip("-.")


def slack_seconds(job: peridotsill.Job, need: Need, now: float) -> float:
    """Return how long a job may still wait; infinity without a deadline.

    Negative if the job can't meet its deadline any more.
    """
    if not job.deadline_at:
        return math.inf
    remaining_seconds = need.run_seconds * (1 - job.checkpoint)
    return job.deadline_at - now - remaining_seconds


@attrs.define(kw_only=True, eq=False)
class _VmRecord:
    """Jobs that failed on a VM since its last success.

    ``probe_job`` is the job that was started after a quarantine, while its
    outcome is not known.
    """

    failures: set[str] = attrs.Factory(set)
    quarantined_until: float = 0.0
    probe_job: str = ""


class Quarantine:
    """Keeps jobs off VMs on which several jobs have failed in a row.

    After the quarantine, a single job is started as a probe: a failure
    renews the quarantine, a success opens the VM to all jobs again.
    """

    def __init__(self) -> None:
        self._records: dict[str, _VmRecord] = {}

    def _record_of(self, vm: str) -> _VmRecord:
        return self._records.setdefault(vm, _VmRecord())

    def closed_reason(self, vm: str) -> str:
        """Return why a VM must get no job, or nothing."""
        record = self._record_of(vm)
        if len(record.failures) < _FAILURES_TO_QUARANTINE:
            return ""
        if record.quarantined_until > time.monotonic():
            return f"quarantined after {len(record.failures)} failures"
        if record.probe_job:
            return f"probed with {record.probe_job}"
        return ""

    def record_start(self, vm: str, job: str) -> None:
        """Record a job's start; the first after a quarantine is a probe."""
        record = self._record_of(vm)
        if len(record.failures) >= _FAILURES_TO_QUARANTINE:
            record.probe_job = job

    def record_failure(self, vm: str, job: str) -> bool:
        """Record a failure; return whether it quarantines the VM."""
        record = self._record_of(vm)
        record.failures.add(job)
        record.probe_job = ""
        if len(record.failures) < _FAILURES_TO_QUARANTINE:
            return False
        record.quarantined_until = time.monotonic() + _QUARANTINE_SECONDS
        return True

    def record_success(self, vm: str) -> None:
        """Record a success, which resets the VM's failures."""
        self._records[vm] = _VmRecord()


@attrs.define(kw_only=True, eq=False)
class Load:
    """A VM and what its jobs are expected to use."""

    vm: peridotsill.Vm
    cores: float = 0.0
    memory_gib: float = 0.0
    accelerators: int = 0
    families: collections.Counter[str] = attrs.Factory(collections.Counter)

    def add(self, job: peridotsill.Job, need: Need) -> None:
        """Add a job's expected use."""
        self.cores += need.cores
        self.memory_gib += need.memory_gib
        self.accelerators += need.accelerators
        self.families[family_of(job)] += 1

    def misfit_reason(self, need: Need) -> str:
        """Return why a job doesn't fit beside the VM's jobs, or nothing."""
        # The learned need can exceed the size of every VM. Such a job may
        # have an empty VM, as its declared size fits.
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


def oversize_reason(job: peridotsill.Job, vm: peridotsill.Vm) -> str:
    """Return why a VM is too small for a job even if empty, or nothing."""
    if job.cores > vm.cores:
        return f"has {vm.cores:g} cores, needs {job.cores:g}"
    if job.memory_gib > vm.memory_gib:
        return f"has {vm.memory_gib:g} GiB, needs {job.memory_gib:g}"
    if job.accelerators > vm.accelerators:
        return f"has {vm.accelerators} accelerators, needs {job.accelerators}"
    return ""


@attrs.frozen(kw_only=True)
class Choice:
    """The VM chosen for a job, or None.

    ``candidates`` gives the reason against each VM, empty if it fits.
    """

    vm: str | None
    candidates: tuple[peridotsill.Candidate, ...]


def choose_vm(
    job: peridotsill.Job,
    need: Need,
    loads: tuple[Load, ...],
    closed_vms: dict[str, str],
) -> Choice:
    """Pick a VM for a job, or none if it fits nowhere.

    Prefers VMs with the fewest accelerators for jobs that need none, then
    racks with the fewest jobs of the family, then the VM with the fewest
    cores left free.

    Args:
        job: The job to place.
        need: What the job is expected to use.
        loads: The pool's VMs with the expected use of their jobs.
        closed_vms: VMs that must get no job, with the reason.
    """
    candidates = []
    fitting = []
    for load in loads:
        reason = closed_vms.get(load.vm.name, "")
        reason = reason or oversize_reason(job, load.vm)
        reason = reason or load.misfit_reason(need)
        candidates.append(
            peridotsill.Candidate(name=load.vm.name, reason=reason)
        )
        if not reason:
            fitting.append(load)
    if not fitting:
        return Choice(vm=None, candidates=tuple(candidates))
    family_jobs_by_rack = _family_jobs_per_rack(family_of(job), loads)
    best = min(
        fitting, key=lambda load: _rank(load, need, family_jobs_by_rack)
    )
    return Choice(vm=best.vm.name, candidates=tuple(candidates))


def _family_jobs_per_rack(
    family: str, loads: tuple[Load, ...]
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for load in loads:
        counts[load.vm.rack] += load.families[family]
    return counts


def _rank(
    load: Load, need: Need, family_jobs_by_rack: collections.Counter[str]
) -> tuple[int, int, float, str]:
    wasted = load.vm.accelerators if not need.accelerators else 0
    free_cores_left = load.vm.cores - load.cores - need.cores
    return (
        wasted,
        family_jobs_by_rack[load.vm.rack],
        free_cores_left,
        load.vm.name,
    )


def measured_usage(
    status: peridotsill_platform.TaskStatus, run_seconds: float
) -> peridotsill.JobUsage:
    """Return the resources that a finished task used."""
    return peridotsill.JobUsage(
        cores=status.used_cores,
        memory_gib=status.used_memory_gib,
        run_seconds=run_seconds,
    )
