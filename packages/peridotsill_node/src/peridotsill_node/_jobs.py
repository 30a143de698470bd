"""Places, starts, renews, moves and stops the jobs of owned pools.

A job's row is written before each start. The task's id consists of the
job's pool, name and attempt, so that a repeated start has no effect. A new
attempt is made only when the worker has confirmed that the last one ended.
"""

import collections
import time

import attrs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_node import _ownership
from peridotsill_node import _placement
from peridotsill_node import _writer
import peridotsill_platform

_LEASE_SECONDS = 15.0
_RENEWAL_PERIOD_SECONDS = 0.5
_JOBS_PER_TRANSACTION = 200
_MAX_ATTEMPTS = 8
_PLACEMENTS_PER_STEP = 100
_STARTS_PER_VM_AND_STEP = 4
# A queued job may preempt others once its slack is at most this share of
# its expected run time.
_PREEMPTION_SLACK_RATIO = 0.5

_VM_HOLDING_STATES = frozenset(
    {
        peridotsill.JobState.PLACED,
        peridotsill.JobState.RUNNING,
        peridotsill.JobState.STOPPING,
    }
)
_TaskPhase = peridotsill_platform.TaskPhase


def task_id(job: peridotsill.Job) -> str:
    """Return the id of a job's current attempt."""
    return f"{job.pool}/{job.name}-{job.attempt}"


def jobs_on(view: peridotsill.TableView, vm: str) -> tuple[str, ...]:
    """Return the names of the jobs that are placed on a VM."""
    return tuple(
        job.name
        for job in view.resources("jobs")
        if job.vm == vm and job.state in _VM_HOLDING_STATES
    )


@attrs.frozen(kw_only=True)
class JobParts:
    """Dependencies of `JobDuty`."""

    view: peridotsill.TableView
    writer: _writer.Writer
    workers: peridotsill_platform.Workers
    journal: peridotsill.Journal


class JobDuty:
    """Runs the jobs of the pools that this node owns."""

    def __init__(self, *, parts: JobParts) -> None:
        self._parts = parts
        self._usage = _placement.UsageHistory()
        self._quarantine = _placement.Quarantine()
        self._started_at: dict[str, float] = {}
        self._renewed_at: dict[str, float] = {}
        self._past_usage_epochs: dict[str, int] = {}

    def step(self, pool: peridotsill.Pool, tenure: _ownership.Tenure) -> None:
        """Stop, renew, evacuate and place a pool's jobs where due."""
        jobs = tuple(
            job
            for job in self._parts.view.resources("jobs")
            if job.pool == pool.name
        )
        if not jobs:
            return
        self._record_past_usage(jobs, tenure)
        self._stop(jobs, tenure)
        self._renew(pool, jobs, tenure)
        self._evacuate(pool, jobs, tenure)
        self._place(pool, jobs, tenure)

    def _record_past_usage(
        self,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
    ) -> None:
        """Record usage of jobs that ended in earlier epochs, once an epoch."""
        if self._past_usage_epochs.get(tenure.pool) == tenure.epoch:
            return
        self._past_usage_epochs[tenure.pool] = tenure.epoch
        self._usage.record_from_rows(jobs)

    def _write_changes(
        self,
        changes: list[tuple[peridotsill.Job, peridotsill.Job]],
        tenure: _ownership.Tenure,
    ) -> tuple[peridotsill.Job, ...]:
        """Write changed jobs in batches; return the jobs that were written.

        Jobs whose state in the table is no longer the old one are left
        out, and so is a whole batch whose commit fails or has an unknown
        outcome.
        """
        written: list[peridotsill.Job] = []
        for start in range(0, len(changes), _JOBS_PER_TRANSACTION):
            batch = changes[start : start + _JOBS_PER_TRANSACTION]
            keys = [
                peridotsill.resource_key("jobs", old.name) for old, _ in batch
            ]
            rows = [self._parts.view.row(key) for key in keys]
            unchanged = [
                (key, row, new)
                for key, row, (old, new) in zip(keys, rows, batch)
                if row is not None and row.value["state"] == old.state
            ]
            outcome = self._parts.writer.commit(
                (
                    *tenure.fence,
                    *(_writer.check_of(row, key) for key, row, _ in unchanged),
                ),
                tuple(_writer.write_of(key, new) for key, _, new in unchanged),
            )
            match outcome:
                case result.Success(_):
                    written += [new for _, _, new in unchanged]
        return tuple(written)

    def _stop(
        self,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
    ) -> None:
        stopping = {
            task_id(job): job
            for job in jobs
            if job.state is peridotsill.JobState.STOPPING
        }
        if not stopping:
            return
        statuses = self._parts.workers.stop(tuple(stopping), checkpoint=True)
        changes = []
        for status in statuses:
            job = stopping[status.id]
            if status.phase is not _TaskPhase.RUNNING:
                changes.append((job, _after_stop(job, status)))
        self._write_changes(changes, tenure)

    def _renew(
        self,
        pool: peridotsill.Pool,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
    ) -> None:
        held = {
            task_id(job): job
            for job in jobs
            if job.state
            in (peridotsill.JobState.PLACED, peridotsill.JobState.RUNNING)
        }
        renewed_at = self._renewed_at.get(pool.name, 0.0)
        if not held or time.monotonic() - renewed_at < _RENEWAL_PERIOD_SECONDS:
            return
        self._renewed_at[pool.name] = time.monotonic()
        statuses = self._parts.workers.renew(tuple(held), _LEASE_SECONDS)
        changes = []
        for status in statuses:
            job = held[status.id]
            if status.phase is _TaskPhase.ABSENT:
                self._start(job)
                continue
            changed = self._after_status(job, status)
            if changed != job:
                changes.append((job, changed))
        self._write_changes(changes, tenure)

    def _after_status(
        self,
        job: peridotsill.Job,
        status: peridotsill_platform.TaskStatus,
    ) -> peridotsill.Job:
        match status.phase:
            case _TaskPhase.RUNNING:
                return attrs.evolve(job, state=peridotsill.JobState.RUNNING)
            case _TaskPhase.DONE:
                return self._after_success(job, status)
            case _TaskPhase.FAILED:
                return self._after_failure(job)
            case _:
                return _after_task_stopped(job, status, self._elapsed(job))

    def _elapsed(self, job: peridotsill.Job) -> float:
        now = time.monotonic()
        return now - self._started_at.get(task_id(job), now)

    def _after_success(
        self,
        job: peridotsill.Job,
        status: peridotsill_platform.TaskStatus,
    ) -> peridotsill.Job:
        done_job = attrs.evolve(
            job, state=peridotsill.JobState.DONE, reason=""
        )
        started_at = self._started_at.pop(task_id(job), None)
        if job.vm:
            self._quarantine.record_success(job.vm)
        if started_at is None or job.checkpoint:
            return done_job
        seconds = time.monotonic() - started_at
        usage = _placement.measured_usage(status, seconds)
        self._usage.record(job, usage)
        # Stored in the row, so that a later owner of the pool knows it.
        return attrs.evolve(done_job, used=usage)

    def _after_failure(self, job: peridotsill.Job) -> peridotsill.Job:
        if job.vm and self._quarantine.record_failure(job.vm, job.name):
            self._record(
                f"vms/{job.vm}", "quarantined", "repeated task failures"
            )
        if not job.idempotent:
            return attrs.evolve(
                job,
                state=peridotsill.JobState.FAILED,
                reason=f"failed on {job.vm}; it may not run twice",
            )
        if job.attempt >= _MAX_ATTEMPTS:
            return attrs.evolve(
                job,
                state=peridotsill.JobState.FAILED,
                reason=f"failed {job.attempt} times, last on {job.vm}",
            )
        return attrs.evolve(
            job,
            state=peridotsill.JobState.QUEUED,
            vm=None,
            reason=f"failed on {job.vm}",
        )

    def _evacuate(
        self,
        pool: peridotsill.Pool,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
    ) -> None:
        disrupted = {
            vm.name
            for vm in self._parts.view.vms_of(pool.name)
            if vm.disruption is not None
        }
        # Jobs that may not run twice are left to end by themselves.
        evacuated = tuple(
            job
            for job in jobs
            if job.vm in disrupted
            and job.idempotent
            and job.state is peridotsill.JobState.RUNNING
        )
        if evacuated:
            self._requeue(evacuated, tenure, "its VM is taken out of service")

    def _requeue(
        self,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
        reason: str,
    ) -> None:
        by_id = {task_id(job): job for job in jobs}
        statuses = self._parts.workers.stop(tuple(by_id), checkpoint=True)
        changes = []
        for status in statuses:
            job = by_id[status.id]
            if status.phase is _TaskPhase.DONE:
                changes.append((job, self._after_success(job, status)))
            elif status.phase is not _TaskPhase.RUNNING:
                changed = _after_task_stopped(job, status, self._elapsed(job))
                changes.append((job, attrs.evolve(changed, reason=reason)))
        for job in self._write_changes(changes, tenure):
            self._record(f"jobs/{job.name}", str(job.state), reason)

    def _place(
        self,
        pool: peridotsill.Pool,
        jobs: tuple[peridotsill.Job, ...],
        tenure: _ownership.Tenure,
    ) -> None:
        needs = {job.name: self._usage.need_of(job) for job in jobs}
        queued = _by_slack(jobs, needs)
        if not queued:
            return
        loads = self._loads(pool, jobs, needs)
        closed_vms = self._closed_vms(pool)
        start_counts: collections.Counter[str] = collections.Counter()
        changes = []
        for job in queued[:_PLACEMENTS_PER_STEP]:
            need = needs[job.name]
            choice = _placement.choose_vm(job, need, loads, closed_vms)
            if choice.vm is None:
                self._wait_or_preempt(job, need, jobs, choice, tenure)
                continue
            placed = attrs.evolve(
                job,
                state=peridotsill.JobState.PLACED,
                vm=choice.vm,
                attempt=job.attempt + 1,
                reason="",
            )
            _find_load(loads, choice.vm).add(job, need)
            self._record_placement(job, choice)
            changes.append((job, placed))
            self._quarantine.record_start(choice.vm, job.name)
            start_counts[choice.vm] += 1
            reason = self._closed_reason(choice.vm, start_counts[choice.vm])
            if reason:
                closed_vms[choice.vm] = reason
        for job in self._write_changes(changes, tenure):
            self._start(job)

    def _closed_reason(self, vm: str, start_count: int) -> str:
        """Return why a VM gets no more jobs in this step, or nothing."""
        reason = self._quarantine.closed_reason(vm)
        # Bounds the tasks that a VM which fails all of them can take
        # before it is quarantined.
        if not reason and start_count >= _STARTS_PER_VM_AND_STEP:
            reason = "has just been given several jobs"
        return reason

    def _loads(
        self,
        pool: peridotsill.Pool,
        jobs: tuple[peridotsill.Job, ...],
        needs: dict[str, _placement.Need],
    ) -> tuple[_placement.Load, ...]:
        loads = {
            vm.name: _placement.Load(vm=vm)
            for vm in self._parts.view.vms_of(pool.name)
        }
        for job in jobs:
            if job.state in _VM_HOLDING_STATES and job.vm in loads:
                loads[job.vm].add(job, needs[job.name])
        return tuple(loads.values())

    def _closed_vms(self, pool: peridotsill.Pool) -> dict[str, str]:
        closed = {}
        for vm in self._parts.view.vms_of(pool.name):
            reason = self._quarantine.closed_reason(vm.name)
            if vm.disruption is not None:
                reason = f"taken out of service by {vm.disruption.id}"
            if reason:
                closed[vm.name] = reason
        return closed

    def _wait_or_preempt(
        self,
        job: peridotsill.Job,
        need: _placement.Need,
        jobs: tuple[peridotsill.Job, ...],
        choice: _placement.Choice,
        tenure: _ownership.Tenure,
    ) -> None:
        slack = _placement.slack_seconds(job, need, time.time())
        if slack > _PREEMPTION_SLACK_RATIO * need.run_seconds:
            return
        victims = self._victims(job, need, jobs, choice)
        if victims:
            self._requeue(victims, tenure, f"preempted for {job.name}")

    def _victims(
        self,
        job: peridotsill.Job,
        need: _placement.Need,
        jobs: tuple[peridotsill.Job, ...],
        choice: _placement.Choice,
    ) -> tuple[peridotsill.Job, ...]:
        """Return the jobs to preempt, on the VM where the fewest suffice.

        They are running jobs without a deadline that may run twice, taken
        in the order of ``jobs`` until they free the needed cores and memory;
        empty if they suffice on no VM.
        """
        fewest: tuple[peridotsill.Job, ...] = ()
        unfit_vms = [each.name for each in choice.candidates if each.reason]
        for vm in unfit_vms:
            preemptible = [
                other
                for other in jobs
                if other.vm == vm
                and other.state is peridotsill.JobState.RUNNING
                and other.idempotent
                and not other.deadline_at
            ]
            cores = 0.0
            memory = 0.0
            victims: list[peridotsill.Job] = []
            for other in preemptible:
                freed = self._usage.need_of(other)
                cores += freed.cores
                memory += freed.memory_gib
                victims.append(other)
                if cores >= need.cores and memory >= need.memory_gib:
                    if not fewest or len(victims) < len(fewest):
                        fewest = tuple(victims)
                    break
        return fewest

    def _start(self, job: peridotsill.Job) -> None:
        if job.vm is None:
            return
        order = peridotsill_platform.TaskOrder(
            id=task_id(job),
            vm=job.vm,
            cores=job.cores,
            memory_gib=job.memory_gib,
            accelerators=job.accelerators,
            run_seconds=job.run_seconds,
            lease_seconds=_LEASE_SECONDS,
            resume_from=job.checkpoint,
        )
        self._started_at[task_id(job)] = time.monotonic()
        try:
            self._parts.workers.start(order)
        except peridotsill.exceptions.PeridotsillError as error:
            # The next renewal shows whether the task has started.
            self._record(f"jobs/{job.name}", "start unsure", str(error))

    def _record_placement(
        self, job: peridotsill.Job, choice: _placement.Choice
    ) -> None:
        self._parts.journal.record(
            "placement",
            f"jobs/{job.name}",
            choice.vm or "",
            reason=f"attempt {job.attempt + 1}",
            candidates=choice.candidates,
            inputs={
                "family": _placement.family_of(job),
                "need": self._usage.need_of(job),
            },
            config_version=self._parts.view.config.version,
        )

    def _record(self, subject: str, choice: str, reason: str) -> None:
        self._parts.journal.record("placement", subject, choice, reason=reason)


def _by_slack(
    jobs: tuple[peridotsill.Job, ...], needs: dict[str, _placement.Need]
) -> list[peridotsill.Job]:
    """Return the queued jobs, least slack first."""
    now = time.time()
    queued = [job for job in jobs if job.state is peridotsill.JobState.QUEUED]
    return sorted(
        queued,
        key=lambda job: (
            _placement.slack_seconds(job, needs[job.name], now),
            job.name,
        ),
    )


def _find_load(loads: tuple[_placement.Load, ...], vm: str) -> _placement.Load:
    return next(load for load in loads if load.vm.name == vm)


def _after_stop(
    job: peridotsill.Job, status: peridotsill_platform.TaskStatus
) -> peridotsill.Job:
    state = peridotsill.JobState.CANCELLED
    if status.phase is _TaskPhase.DONE:
        state = peridotsill.JobState.DONE
    return attrs.evolve(job, state=state)


def _after_task_stopped(
    job: peridotsill.Job,
    status: peridotsill_platform.TaskStatus,
    elapsed_seconds: float,
) -> peridotsill.Job:
    """Return a job after its worker has confirmed that its task stopped."""
    if not job.idempotent:
        return attrs.evolve(
            job,
            state=peridotsill.JobState.UNKNOWN,
            reason=f"stopped on {job.vm}; it may not run twice",
        )
    done_share = job.checkpoint + (1 - job.checkpoint) * status.checkpoint
    lost = 0.0 if status.checkpoint else elapsed_seconds
    return attrs.evolve(
        job,
        state=peridotsill.JobState.QUEUED,
        vm=None,
        checkpoint=min(done_share, 1.0),
        lost_seconds=job.lost_seconds + lost,
        reason=f"stopped on {job.vm}",
    )
