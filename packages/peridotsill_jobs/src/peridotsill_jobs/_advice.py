"""Asks the placement advisor, one call at a time, in a thread."""

import collections.abc
import queue
import threading

import attrs

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions
import peridotsill_scheduler

# An answer may take this much longer than the advisor says.
_MARGIN_SECONDS = 0.7
# A ticket is used until this long before its end: the way of a start.
_SPARE_SECONDS = 0.3
# Runners in one call: as many as one step usually needs.
MOST_RUNNERS = 30


@attrs.frozen(kw_only=True)
class Question:
    """Which of some runners may run a step of a job's occurrence."""

    job: peridotsill_scheduler.Job
    occurrence: int
    step: int
    runners: tuple[str, ...]
    timing: peridotsill_scheduler.AdviceTiming


@attrs.frozen(kw_only=True)
class Advised:
    """The answer; no permits and ``answered`` false without one."""

    question: Question
    permits: tuple[peridotsill_scheduler.Permit, ...]
    answered: bool


class AdviceDesk:
    """Questions wait here for the advisor."""

    def __init__(
        self,
        *,
        advisor: _ports.Advisor,
        post: collections.abc.Callable[[Advised], None],
    ) -> None:
        self._advisor = advisor
        self._post = post
        self._questions: queue.SimpleQueue[Question | None] = (
            queue.SimpleQueue()
        )
        threading.Thread(target=self._run, daemon=True, name="advice").start()

    def ask(self, question: Question) -> None:
        """Queue a question; its answer is posted."""
        self._questions.put(question)

    def stop(self) -> None:
        """End the thread after its current call."""
        self._questions.put(None)

    def _run(self) -> None:
        while True:
            question = self._questions.get()
            if question is None:
                return
            if not question.job.final:
                self._post(self._answer(question))

    def _answer(self, question: Question) -> Advised:
        timing = question.timing
        work = timing.vm_seconds * len(question.runners)
        try:
            tickets = self._advisor.advise(
                question.job.spec.id,
                question.occurrence,
                question.step,
                question.runners,
                timing.decision_seconds + work + _MARGIN_SECONDS,
            )
        except exceptions.AdviceUnavailable as error:
            _logs.log(
                "advice:failed",
                job=question.job.spec.id,
                step=question.step,
                reason=str(error),
            )
            return Advised(question=question, permits=(), answered=False)
        until = (
            _clock.awake_seconds() + timing.validity_seconds - _SPARE_SECONDS
        )
        _logs.log(
            "advice:given",
            job=question.job.spec.id,
            step=question.step,
            asked=len(question.runners),
            good=len(tickets),
        )
        permits = tuple(
            peridotsill_scheduler.Permit(
                occurrence=question.occurrence,
                step=question.step,
                runner=each.runner,
                ticket=each.ticket,
                until=until,
            )
            for each in tickets
        )
        return Advised(question=question, permits=permits, answered=True)


class Advice:
    """Asks about the steps that are ready, each once at a time."""

    def __init__(self, *, desk: AdviceDesk) -> None:
        self._desk = desk
        self._asked: set[tuple[str, str, int, int]] = set()

    def ask_for_ready(
        self,
        jobs: list[peridotsill_scheduler.Job],
        vms: list[peridotsill_scheduler.VmView],
        now: float,
    ) -> None:
        """Ask which runners may run the steps that are ready."""
        for job in jobs:
            timing = job.queue.advice
            if timing is None:
                continue
            job.permits = [each for each in job.permits if each.until > now]
            seen: set[tuple[int, int]] = set()
            for task in peridotsill_scheduler.ready_tasks(job, now):
                step = (task.occurrence, task.step.index)
                if step not in seen:
                    seen.add(step)
                    self._ask_for(job, task, vms, timing)

    def _ask_for(
        self,
        job: peridotsill_scheduler.Job,
        task: peridotsill_scheduler.Task,
        vms: list[peridotsill_scheduler.VmView],
        timing: peridotsill_scheduler.AdviceTiming,
    ) -> None:
        asked = (*job.key, task.occurrence, task.step.index)
        if asked in self._asked or any(vm.allows(job, task) for vm in vms):
            return
        fresh = [
            vm
            for vm in vms
            if vm.has_room(job, task)
            and not peridotsill_scheduler.permit_for(job, task, vm.runner)
        ]
        if not fresh:
            return
        fresh.sort(key=lambda vm: -vm.free.cores)
        self._asked.add(asked)
        self._desk.ask(
            Question(
                job=job,
                occurrence=task.occurrence,
                step=task.step.index,
                runners=tuple(vm.runner for vm in fresh[:MOST_RUNNERS]),
                timing=timing,
            )
        )

    def take(self, advised: Advised) -> None:
        """Keep the permits of an answer, and what it did not permit."""
        question = advised.question
        job = question.job
        self._asked.discard((*job.key, question.occurrence, question.step))
        if not advised.answered:
            return
        good = {each.runner for each in advised.permits}
        job.permits += advised.permits
        # What the policy says of a step does not change.
        job.permits += [
            peridotsill_scheduler.Permit(
                occurrence=question.occurrence,
                step=question.step,
                runner=runner,
                ticket="",
                until=float("inf"),
            )
            for runner in question.runners
            if runner not in good
        ]

    def stop(self) -> None:
        """End the desk's thread."""
        self._desk.stop()
