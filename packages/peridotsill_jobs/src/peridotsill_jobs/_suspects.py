"""Holds crashes against the tasks that they hit, until the cause is known."""

import collections
import collections.abc

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _job_store
from peridotsill_jobs import _logs
from peridotsill_jobs import _runs
from peridotsill_jobs import _workers
import peridotsill_scheduler

_CrashId = tuple[str, int]
# Crashes on a VM without a known cause count against the VM for this long.
_HOST_MEMORY_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class _HostCrash:
    id: _CrashId
    at: float


class Suspects:
    """Records crashes in the tasks' rows, and acts on those that cause them.

    The crashes that are held against a task are in its job's row, so that a
    new scheduler knows them, and from them those of the VMs. A task that is
    the cause is given up; a long-lived one pauses for longer and longer.
    """

    def __init__(
        self, *, job_store: _job_store.JobStore, runs: _runs.RunTracker
    ) -> None:
        self._job_store = job_store
        self._runs = runs
        self._crashes_by_host: dict[str, list[_HostCrash]] = (
            collections.defaultdict(list)
        )

    def adopt(self) -> None:
        """Hold the crashes in the open jobs' rows against their VMs.

        When they came is not recorded, so they count from now on, and so
        do the pauses of long-lived tasks.
        """
        now = _clock.monotonic_seconds()
        for job in self._job_store.open_jobs:
            for task in job.tasks:
                if task.crashes and not task.active:
                    self._pause(task, now)
        hosts = {
            crash.id: crash.host
            for job in self._job_store.open_jobs
            for task in job.tasks
            for crash in task.crashes
        }
        for crash_id, host in hosts.items():
            self._crashes_by_host[host].append(_HostCrash(id=crash_id, at=now))

    def unexplained_crashes(self, host: str) -> int:
        """Return how many recent crashes on a host have no known cause."""
        oldest = _clock.monotonic_seconds() - _HOST_MEMORY_SECONDS
        return sum(
            each.at > oldest for each in self._crashes_by_host.get(host, ())
        )

    def record_crash(self, worker: _workers.Worker, crashed_at: float) -> None:
        """Hold a runner's crash against the tasks that it ran.

        A task whose start had not been sent to it was not there.
        The others that were hit by crashes of those that are found to be the
        cause are cleared.

        Args:
            worker: The runner, with the tasks that it ran.
            crashed_at: In seconds of `_clock.monotonic_seconds`.
        """
        host_is_suspect = self.unexplained_crashes(worker.host) > 0
        crash_id = (worker.entry.id, worker.lifetime)
        self._crashes_by_host[worker.host].append(
            _HostCrash(id=crash_id, at=crashed_at)
        )
        hits = []
        for placed in worker.runs:
            if (
                not placed.job.final
                and not placed.task.is_over
                and worker.may_have_begun(placed)
            ):
                self._hold_against(worker, placed, crashed_at)
                hits.append((placed.job, placed.task))
        culprits = peridotsill_scheduler.find_culprits(
            hits, crash_id=crash_id, host_is_suspect=host_is_suspect
        )
        for job, task in culprits:
            self._log_culprit(job, task, beside=len(hits) - 1)
            reason = _describe_crashes(task)
            if task.step.long_lived:
                self._runs.report_trouble(job, reason)
            else:
                self._runs.give_up(job, task, reason)
        self._clear_others(
            explained={
                crash.id for _, task in culprits for crash in task.crashes
            },
            culprits=[task for _, task in culprits],
        )

    def _hold_against(
        self,
        worker: _workers.Worker,
        placed: _workers.PlacedTask,
        crashed_at: float,
    ) -> None:
        task = placed.task
        run_seconds = 0.0
        if placed.began_at:
            run_seconds = max(0.0, round(crashed_at - placed.began_at, 3))
        crash = peridotsill_scheduler.Crash(
            runner=worker.entry.id,
            lifetime=worker.lifetime,
            host=worker.host,
            run_seconds=run_seconds,
            certain=placed.is_known_to_run,
        )
        if peridotsill_scheduler.counts_as_suspect(
            task, crash, age_is_known=placed.is_age_known
        ):
            task.crashes = peridotsill_scheduler.add_crash(task.crashes, crash)
            self._pause(task, crashed_at)
            self._job_store.mark_dirty(placed.job)

    def _pause(
        self, task: peridotsill_scheduler.Task, crashed_at: float
    ) -> None:
        pause_seconds = peridotsill_scheduler.restart_pause_seconds(task)
        if pause_seconds:
            task.not_before = max(task.not_before, crashed_at + pause_seconds)

    def _log_culprit(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        beside: int,
    ) -> None:
        pause_seconds = peridotsill_scheduler.restart_pause_seconds(task)
        _logs.log(
            "task:held_back" if task.step.long_lived else "task:given_up",
            job=job.spec.id,
            task=task.key,
            run=task.run,
            beside=beside,
            pause_seconds=pause_seconds,
            crashes=[
                f"{each.runner} at {each.host} after {each.run_seconds} s"
                for each in task.crashes
            ],
        )

    def _clear_others(
        self,
        *,
        explained: set[_CrashId],
        culprits: collections.abc.Collection[peridotsill_scheduler.Task],
    ) -> None:
        """Drop crashes with a known cause from all other tasks and hosts."""
        if not explained:
            return
        for crashes in self._crashes_by_host.values():
            crashes[:] = [each for each in crashes if each.id not in explained]
        cleared_count = 0
        for job in tuple(self._job_store.open_jobs):
            for task in job.tasks:
                if task in culprits:
                    continue
                if not explained.isdisjoint(each.id for each in task.crashes):
                    task.crashes = tuple(
                        each
                        for each in task.crashes
                        if each.id not in explained
                    )
                    cleared_count += 1
                    self._job_store.mark_dirty(job)
        _logs.log(
            "crashes:explained",
            runners=sorted(runner for runner, _ in explained),
            cleared_tasks=cleared_count,
        )


def _describe_crashes(task: peridotsill_scheduler.Task) -> str:
    reason = f"{len(task.crashes)} runners crashed under task {task.key}"
    if task.step.long_lived:
        reason += ", which is started again at growing intervals"
    return reason
