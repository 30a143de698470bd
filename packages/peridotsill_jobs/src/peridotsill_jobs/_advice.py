"""Calls the placement advisor, one call at a time, in its own thread."""

import collections.abc
import queue
import threading

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions
import peridotsill_scheduler

# An answer may take this much longer than the queue's advice timing says.
_ANSWER_MARGIN_SECONDS = 0.7
# A ticket is not used this close to its end, as a start takes time to arrive.
_TICKET_MARGIN_SECONDS = 0.3
# Largest number of runners in one call. A step usually needs no more of them
# for its tasks.
MAX_RUNNERS_PER_CALL = 30
# The same for a gang, which starts as a whole and so may need more tickets at
# a time. The platform's advisor takes no more.
MAX_RUNNERS_PER_GANG_CALL = 100
# For each task of a gang without room this many runners are named, as the
# advisor may not permit all of them.
_RUNNERS_PER_GANG_TASK = 2


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Asks which of some runners may run a step of a job's occurrence."""

    job: peridotsill_scheduler.Job
    occurrence: int
    step: int
    runners: tuple[str, ...]
    timing: peridotsill_scheduler.AdviceTiming


@attrs.frozen(kw_only=True)
class AdviceResult:
    """The outcome of a request.

    ``answered`` is false, and there are no permits, if the call failed.
    """

    request: AdviceRequest
    permits: tuple[peridotsill_scheduler.AdvisorAnswer, ...]
    answered: bool


class AdviceQueue:
    """Queues requests for the advisor and posts its answers."""

    def __init__(
        self,
        *,
        advisor: _ports.Advisor,
        post: collections.abc.Callable[[AdviceResult], None],
    ) -> None:
        self._advisor = advisor
        self._post = post
        self._requests: queue.SimpleQueue[AdviceRequest | None] = (
            queue.SimpleQueue()
        )
        threading.Thread(target=self._run, daemon=True, name="advice").start()

    def enqueue(self, request: AdviceRequest) -> None:
        """Queue a request."""
        self._requests.put(request)

    def stop(self) -> None:
        """Stop the thread after the requests queued so far."""
        self._requests.put(None)

    def _run(self) -> None:
        while True:
            request = self._requests.get()
            if request is None:
                return
            if request.job.final:
                continue
            try:
                advice_result = self._call_advisor(request)
            except Exception:
                # Without this thread no step that needs advice would start.
                _logs.log_traceback("feed:failed")
                advice_result = AdviceResult(
                    request=request, permits=(), answered=False
                )
            self._post(advice_result)

    def _call_advisor(self, request: AdviceRequest) -> AdviceResult:
        timing = request.timing
        all_vms_seconds = timing.vm_seconds * len(request.runners)
        try:
            tickets = self._advisor.advise(
                request.job.spec.id,
                request.occurrence,
                request.step,
                request.runners,
                timing.decision_seconds
                + all_vms_seconds
                + _ANSWER_MARGIN_SECONDS,
            )
        except exceptions.AdviceUnavailable as error:
            _logs.log(
                "advice:failed",
                job=request.job.spec.id,
                step=request.step,
                reason=str(error),
            )
            return AdviceResult(request=request, permits=(), answered=False)
        valid_until = (
            _clock.monotonic_seconds()
            + timing.validity_seconds
            - _TICKET_MARGIN_SECONDS
        )
        _logs.log(
            "advice:given",
            job=request.job.spec.id,
            step=request.step,
            asked=len(request.runners),
            good=len(tickets),
        )
        permits = tuple(
            peridotsill_scheduler.AdvisorAnswer(
                occurrence=request.occurrence,
                step=request.step,
                runner=each.runner,
                ticket=each.ticket,
                valid_until=valid_until,
            )
            for each in tickets
        )
        return AdviceResult(request=request, permits=permits, answered=True)


class AdviceRequester:
    """Requests advice for ready steps; one request per step at a time."""

    def __init__(self, *, advice_queue: AdviceQueue) -> None:
        self._queue = advice_queue
        self._in_flight: set[tuple[str, str, int, int]] = set()

    def request_for_ready_steps(
        self,
        jobs: list[peridotsill_scheduler.Job],
        vms: list[peridotsill_scheduler.VmView],
        now: float,
    ) -> None:
        """Request advice for ready steps that can't be started so far.

        A gang needs VMs for all of its tasks, any other step one VM for a
        task. Answers that have expired are dropped first.
        """
        for job in jobs:
            timing = job.queue.advice
            if timing is None:
                continue
            job.advisor_answers = [
                each for each in job.advisor_answers if each.valid_until > now
            ]
            seen: set[tuple[int, int]] = set()
            for task in peridotsill_scheduler.ready_tasks(job, now):
                step = (task.occurrence, task.step.index)
                if step not in seen:
                    seen.add(step)
                    self._request_for_step(job, task, vms, timing)

    def _request_for_step(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        vms: list[peridotsill_scheduler.VmView],
        timing: peridotsill_scheduler.AdviceTiming,
    ) -> None:
        request_key = (*job.key, task.occurrence, task.step.index)
        if request_key in self._in_flight:
            return
        wanted = task.step.task_count if task.step.gang else 1
        permitted_room = _count_room(
            job, task, (vm for vm in vms if vm.allows(job, task)), wanted
        )
        if permitted_room >= wanted:
            return
        candidates = [
            vm
            for vm in vms
            if vm.has_room(job, task)
            and not peridotsill_scheduler.advisor_answer_for(
                job, task, vm.runner
            )
        ]
        if not candidates:
            return
        candidates.sort(key=lambda vm: -vm.free.cores)
        limit = _max_runners(task.step, wanted - permitted_room)
        self._in_flight.add(request_key)
        self._queue.enqueue(
            AdviceRequest(
                job=job,
                occurrence=task.occurrence,
                step=task.step.index,
                runners=tuple(vm.runner for vm in candidates[:limit]),
                timing=timing,
            )
        )

    def record_result(self, advice_result: AdviceResult) -> None:
        """Store an answer for each runner, unless the call failed.

        The runners without a ticket are stored as refused.
        """
        request = advice_result.request
        job = request.job
        self._in_flight.discard((*job.key, request.occurrence, request.step))
        if not advice_result.answered:
            return
        permitted = {each.runner for each in advice_result.permits}
        job.advisor_answers += advice_result.permits
        # Refusals don't expire, as the policy on a step does not change.
        job.advisor_answers += [
            peridotsill_scheduler.AdvisorAnswer(
                occurrence=request.occurrence,
                step=request.step,
                runner=runner,
                ticket="",
                valid_until=float("inf"),
            )
            for runner in request.runners
            if runner not in permitted
        ]

    def stop(self) -> None:
        """Stop the thread that calls the advisor."""
        self._queue.stop()


def _count_room(
    job: peridotsill_scheduler.Job,
    task: peridotsill_scheduler.Task,
    vms: collections.abc.Iterable[peridotsill_scheduler.VmView],
    wanted: int,
) -> int:
    """Return how many tasks like one some VMs have room for, up to a number.

    Args:
        job: The job.
        task: The task.
        vms: The VMs.
        wanted: Where to stop counting.
    """
    count = 0
    for vm in vms:
        trial_view = vm.copy()
        while count < wanted and trial_view.has_room(job, task):
            trial_view.reserve(job.spec.id, task)
            count += 1
        if count >= wanted:
            break
    return count


def _max_runners(
    step: peridotsill_scheduler.Step, tasks_without_room: int
) -> int:
    """Return how many runners a call for a step may name."""
    if not step.gang:
        return MAX_RUNNERS_PER_CALL
    runners = tasks_without_room * _RUNNERS_PER_GANG_TASK
    return min(max(runners, MAX_RUNNERS_PER_CALL), MAX_RUNNERS_PER_GANG_CALL)
