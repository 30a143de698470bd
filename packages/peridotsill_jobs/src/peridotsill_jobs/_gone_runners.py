"""Handles runners whose process has ended."""

import collections.abc

import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _fleet
from peridotsill_jobs import _late_starts
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _suspects
from peridotsill_jobs import _workers

# Most runs in the log line about a runner that is gone, newest first.
_MAX_LOGGED_RUNS = 12
_CRASHED = "runner crashed"
# A runner that has not answered for this long, longer than a poll takes, may
# have been replaced.
_SILENT_SECONDS = 2.5


class GoneRunnerHandler:
    """Requeues what ran on runners that have ended, once that is proven.

    The runs have ended with the process, so nobody has to wait for their
    leases. A refused connection is no proof: it is a reason to ask the VM
    service. ``request_vm_list`` does so.
    """

    def __init__(
        self,
        *,
        workers: _workers.Workers,
        fleet: _fleet.Fleet,
        suspects: _suspects.Suspects,
        requeue_lost: collections.abc.Callable[
            [list[_workers.JobTask], str], None
        ],
        request_vm_list: collections.abc.Callable[[], None],
        counters: peridotsill.Counters,
    ) -> None:
        self._workers = workers
        self._fleet = fleet
        self._suspects = suspects
        self._requeue_lost = requeue_lost
        self._request_vm_list = request_vm_list
        self._counters = counters

    def handle(self, event: _link_events.RunnerFoundGone) -> None:
        """Record that a runner's process has ended, and requeue its tasks."""
        worker = self._workers.get(event.runner, event.lifetime)
        if worker is None or worker.is_settled:
            return
        self._handle_end(worker, event.evidence, event.ended_at)

    def handle_restart(self, worker: _workers.Worker) -> None:
        """Requeue the tasks of a runner that was removed as it restarted."""
        # A runner that was found gone before has tasks only if their row was
        # read again since, or if it was to start them yet.
        if not worker.is_settled or worker.placed:
            reason = self._record_end(
                worker, "another lifetime answers", _last_answer_at(worker)
            )
            self._requeue_lost(worker.remove_placed(), reason)

    def handle_refusal(self, event: _link_events.RunnerRefuses) -> None:
        """Look whether a runner that refuses connections has ended."""
        worker = self._workers.get(event.runner, event.lifetime)
        if worker is None or worker.is_settled or not worker.runs:
            return
        self._counters.add("runners_refusing", pool=worker.entry.pool)
        _logs.log(
            "runner:refuses",
            runner=event.runner,
            vm=worker.vm,
            run_count=len(worker.runs),
            reason=event.reason,
        )
        self._request_vm_list()

    def handle_vm_list(self) -> None:
        """Record unreachable runners as ended that the list shows ended."""
        for worker in self._workers:
            if not worker.runs or not _is_out_of_reach(worker):
                continue
            evidence = self._fleet.why_ended(worker)
            if evidence and worker.is_settled:
                self._requeue_kept(worker, evidence)
            elif evidence:
                self._handle_end(worker, evidence, _last_answer_at(worker))
            elif worker.link.refused and not self._fleet.has_listed_since(
                worker
            ):
                self._request_vm_list()

    def _handle_end(
        self, worker: _workers.Worker, evidence: str, ended_at: float
    ) -> None:
        """Requeue an ended runner's tasks but those that it may start yet."""
        reason = self._record_end(worker, evidence, ended_at)
        worker.record_dropped_starts()
        kept = _late_starts.runs_to_keep(
            worker, evidence, worker.placed.values()
        )
        if kept:
            runs = [each.id for each in kept]
            _late_starts.log_runs(worker, runs, "waited for")
        self._requeue_lost(worker.remove_placed(kept), reason)
        self._workers.replace_link(worker)

    def _requeue_kept(self, worker: _workers.Worker, evidence: str) -> None:
        """Requeue kept tasks once the runner can't start them any more."""
        kept = _late_starts.runs_to_keep(
            worker, evidence, worker.placed.values()
        )
        self._requeue_lost(worker.remove_placed(kept), evidence)

    def _record_end(
        self, worker: _workers.Worker, evidence: str, ended_at: float
    ) -> str:
        """Log a runner's end and hold a crash against its tasks, once.

        Returns:
            The reason for which its tasks are lost.
        """
        reason = self._why_gone(worker)
        self._counters.add(
            "runners_gone", pool=worker.entry.pool, reason=reason
        )
        _log_gone(worker, reason, evidence, ended_at)
        if reason == _CRASHED and not worker.crash_recorded:
            worker.crash_recorded = True
            self._suspects.record_crash(worker, ended_at)
        return reason

    def _why_gone(self, worker: _workers.Worker) -> str:
        if self._fleet.may_have_ended(worker):
            return "VM taken away"
        if worker.draining:
            return "runner left"
        return _CRASHED


def _is_out_of_reach(worker: _workers.Worker) -> bool:
    link = worker.link
    return link.refused or link.silent_seconds >= _SILENT_SECONDS


def _last_answer_at(worker: _workers.Worker) -> float:
    """Return when a runner last answered, or when calls began to fail.

    That is now if it has not answered yet.
    """
    if worker.link.failing_since is not None:
        return worker.link.failing_since
    now = _clock.monotonic_seconds()
    return now - worker.link.silent_seconds if worker.link.reached else now


def _log_gone(
    worker: _workers.Worker, reason: str, evidence: str, ended_at: float
) -> None:
    newest_first = sorted(
        worker.runs,
        key=lambda placed: placed.began_at or ended_at,
        reverse=True,
    )
    _logs.log(
        "runner:gone",
        runner=worker.entry.id,
        vm=worker.vm,
        pool=worker.entry.pool,
        address=worker.entry.address,
        reason=reason,
        evidence=evidence,
        silent_seconds=round(worker.link.silent_seconds, 3),
        run_count=len(worker.runs),
        newest_runs=[
            _describe_run(worker, placed, ended_at)
            for placed in newest_first[:_MAX_LOGGED_RUNS]
        ],
    )


def _describe_run(
    worker: _workers.Worker, placed: _workers.PlacedTask, ended_at: float
) -> str:
    """Return a run's name, number, phase and age, such as "j.0.0.1#2 ..."."""
    task = placed.task
    name = f"{placed.job.spec.id}.{task.key}#{placed.run}"
    if placed.began_at:
        return f"{name} {task.phase} {ended_at - placed.began_at:.2f} s"
    sent = "no answer" if worker.may_have_begun(placed) else "not sent"
    return f"{name} {task.phase} {sent}"
