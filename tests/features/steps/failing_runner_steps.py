"""Steps on runners on which tasks fail, with a clock that is set."""

import collections
import contextlib
import random
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import stubs

from peridotsill_jobs import _clock
from peridotsill_jobs import _feeds
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_scheduler as scheduler

_Phase = scheduler.TaskPhase
_TICK_SECONDS = 0.25
_SHORT_TASK_SECONDS = 0.5


class _Runner:
    """Runs what it is told to start; may fail it all at once."""

    def __init__(self):
        self.running = {}
        self.ended = []
        self.started_at = []
        self.fails_starts = False
        self.answered = 0

    def end(self, key, kind):
        del self.running[key]
        name, run = key
        number = len(self.ended) + 1
        self.ended.append(
            _ports.ReportedEnd(
                number=number, name=name, run=run, kind=_ports.EndKind(kind)
            )
        )


class _Site:
    """A scheduler with runners, whose clock is set by `pass_time`."""

    def __init__(self, context, runner_count):
        base._make_controller(context)
        self.controller = context.controller
        self.controller._parts.lease._valid_until = float("inf")
        self.links = context.links
        self.store = context.store
        self.now = time.monotonic()
        self.runners = {
            f"i-{number + 1}": _Runner() for number in range(runner_count)
        }
        with self.clock():
            self.controller._workers.update(
                tuple(stubs.runner_entry(name) for name in self.runners)
            )
        self.longest_wait = 0.0
        self.waiting_since = {}

    @contextlib.contextmanager
    def clock(self):
        with unittest.mock.patch.object(
            _clock, "monotonic_seconds", lambda: self.now
        ):
            yield

    def submit(self, number, step):
        job_id = f"{number:016x}"
        spec = scheduler.JobSpec(
            id=job_id, queue="q", payload="", steps=(step,)
        )
        submission = _records.Submission(
            spec=spec, queue=base._QUEUE, arrived_ms=time.time() * 1000
        )
        key = _records.row_key(_records.JOBS, "q", job_id)
        self.store.commit(
            peridotsill_platform.Transaction(
                checks=(),
                writes=(
                    peridotsill_platform.Write(
                        key=key, value=_records.submission_value(submission)
                    ),
                ),
            )
        )
        with self.clock():
            self.controller._job_store.apply_row(
                self.store.read((key,)).unwrap()[0]
            )

    @property
    def jobs(self):
        return tuple(self.controller._job_store._jobs.values())

    @property
    def tasks(self):
        return [task for job in self.jobs for task in job.tasks]

    def pass_time(self, seconds):
        for _ in range(int(seconds / _TICK_SECONDS)):
            self.now += _TICK_SECONDS
            with self.clock():
                self._tick()

    def _tick(self):
        for name in self.runners:
            self._report(name)
        self.controller._registry = _feeds.RegistrySnapshot(
            entries=(), requested_at=self.now
        )
        self.controller._run_round()
        for name in self.runners:
            self._take_starts(name)
        self._note_waits()

    def _report(self, name):
        runner = self.runners[name]
        for key, (began, seconds) in tuple(runner.running.items()):
            if runner.fails_starts and began > self.now - _TICK_SECONDS * 2:
                runner.end(key, "failed")
            elif self.now - began >= seconds:
                runner.end(key, "done")
        report = _ports.RunnerReport(
            lifetime=1,
            clock_ms=self.now * 1000.0,
            running=tuple(
                _ports.ReportedRun(
                    name=task, run=run, checkpoint="", speed_percent=100
                )
                for task, run in runner.running
            ),
            ended=tuple(runner.ended),
        )
        self.controller._handle_event(
            _link_events.ReportReceived(
                runner=name, lifetime=1, requested_at=self.now, report=report
            )
        )

    def _take_starts(self, name):
        runner, link = self.runners[name], self.links[name]
        for order in link.starts[runner.answered :]:
            runner.answered += 1
            runner.started_at.append(self.now)
            (job,) = self.controller._job_store.find(order.name.job)
            seconds = float("inf") if job.long_lived else _SHORT_TASK_SECONDS
            runner.running[(order.name, order.run)] = (self.now, seconds)
            self.controller._handle_event(
                _link_events.OrderOutcome(
                    runner=name,
                    lifetime=1,
                    name=order.name,
                    run=order.run,
                    is_start=True,
                    result=_link_events.OrderResult.DONE,
                    reason="",
                    answered_at=self.now,
                    no_attempt_in_flight=True,
                )
            )

    def _note_waits(self):
        for task in self.tasks:
            if task.phase is _Phase.WAITING:
                since = self.waiting_since.setdefault(task, self.now)
                self.longest_wait = max(self.longest_wait, self.now - since)
            else:
                self.waiting_since.pop(task, None)

    def running(self):
        return sorted(
            (name, key[0].job, key[0].task, key)
            for name, runner in self.runners.items()
            for key in runner.running
        )

    def fail(self, entry):
        self.runners[entry[0]].end(entry[-1], "failed")


_STEPS = {
    "long-lived tasks": {"long_lived": True, "cores": 2},
    "short tasks": {"cores": 1},
    "tasks": {"gang": True, "cores": 1},
}


@given("{jobs:d} jobs of {count:d} {kind} on {runners:d} runners")
@given("{jobs:d} jobs of a gang of {count:d} {kind} on {runners:d} runners")
def _site(context, jobs, count, kind, runners):
    context.site = _Site(context, runners)
    fields = dict(_STEPS[kind])
    step = scheduler.Step(
        index=0,
        task_count=count,
        demand=scheduler.Resources(cores=fields.pop("cores")),
        **fields,
    )
    for number in range(jobs):
        context.site.submit(number + 1, step)


@when(
    "one of the tasks fails each {pause:g} s, {count:d} times, as drawn with "
    "seed {seed:d}"
)
def _fail_now_and_then(context, pause, count, seed):
    site = context.site
    generator = random.Random(seed)
    site.pass_time(5.0)
    for _ in range(count):
        site.fail(generator.choice(site.running()))
        site.pass_time(pause)
    site.pass_time(3.0)


@then("no task has waited for longer than {seconds:g} s")
def _short_waits(context, seconds):
    assert context.site.longest_wait <= seconds, context.site.longest_wait


@given("all tasks have come to work")
def _at_work(context):
    context.site.pass_time(4.0)
    assert len(context.site.running()) == len(context.site.tasks)


@when("the runner fails all starts for {seconds:g} s, and {count:d} of its "
      "tasks fail")  # fmt: skip
def _fail_starts(context, seconds, count):
    (runner,) = context.site.runners.values()
    runner.fails_starts = True
    for entry in context.site.running()[::2][:count]:
        context.site.fail(entry)
    context.site.pass_time(seconds)
    runner.fails_starts = False


@then("all tasks run again {seconds:g} s after the runner has recovered")
def _all_run(context, seconds):
    context.site.pass_time(seconds)
    assert len(context.site.running()) == len(context.site.tasks)


@when("{count:d} of them fail at once, and {seconds:g} s pass")
def _fail_at_once(context, count, seconds):
    for entry in context.site.running()[:count]:
        context.site.fail(entry)
    context.site.pass_time(seconds)


@given("the runner fails all starts")
def _failing(context):
    (runner,) = context.site.runners.values()
    runner.fails_starts = True
    context.controller._parts.catalog.queue.return_value = None
    for job in context.site.jobs:
        job.queue = scheduler.Queue(
            name="q", host="h", prefix="/q/", pool="p", max_attempts=50
        )


@when("the runner has recovered")
def _recovered(context):
    (runner,) = context.site.runners.values()
    runner.fails_starts = False


@when("{seconds:g} s pass on the runners")
def _pass(context, seconds):
    context.site.pass_time(seconds)


@then(
    "the runner gets no more than {count:d} starts in any {seconds:g} s after "
    "the first round"
)
def _few_starts(context, count, seconds):
    (runner,) = context.site.runners.values()
    first, *later = sorted(collections.Counter(runner.started_at))
    assert runner.started_at.count(first) > count, runner.started_at
    assert len(later) > 3, later
    for start in later:
        near = [
            each
            for each in runner.started_at
            if start <= each < start + seconds
        ]
        assert len(near) <= count, near


@then("all jobs are running or done")
def _jobs_run(context):
    states = {str(job.state) for job in context.site.jobs}
    assert states <= {"running", "completed"}, states
    assert not context.site.waiting_since, context.site.waiting_since


@given("both runners have failed {count:d} tasks")
def _both_failed(context, count):
    site = context.site
    for worker in site.controller._workers:
        for number in range(count):
            worker.breaker.record_failure(f"j{number}", site.now, site.now)


@given("a breaker that records failures of {count:d} jobs, {pause:g} s apart")
def _breaker(context, count, pause):
    context.breaker = scheduler.CircuitBreaker()
    context.now = 100.0
    for number in range(count):
        context.now += pause
        context.breaker.record_failure(
            f"j{number}", context.now - 0.05, context.now
        )


@when("{seconds:g} s pass for the breaker")
def _pass_for_breaker(context, seconds):
    context.now += seconds


@when("a run {outcome} that was started {when_started}")
def _record_run(context, outcome, when_started):
    started_at = 90.0 if when_started == "before them" else context.now
    if outcome == "succeeds":
        context.breaker.record_success(started_at)
    else:
        context.breaker.record_failure("j9", started_at, context.now)


@then("the breaker is {state:w}")
@then("the breaker is half-{state:w}")
def _breaker_state(context, state):
    half = context.breaker.is_half_open(context.now)
    is_open = context.breaker.is_open(context.now)
    actual = "half-open" if half else "open" if is_open else "closed"
    assert actual.removeprefix("half-") == state, actual
