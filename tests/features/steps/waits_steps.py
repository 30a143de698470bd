"""Steps on the waits for runners that a new scheduler can't reach."""

import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import returns.result

from peridotsill_jobs import _asking
from peridotsill_jobs import _clock
from peridotsill_jobs import _grants
from peridotsill_jobs import _lease
from peridotsill_jobs import _links
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _workers
import peridotsill_scheduler as scheduler

_MAX_LEASE_SECONDS = 10.0
_RUNNER = "i-1"


class _Clock:
    """Stands for both steady clocks."""

    def __init__(self, context):
        self.now = 1000.0
        for name in ("awake_seconds", "real_seconds"):
            patch = unittest.mock.patch.object(_clock, name, self.read)
            patch.start()
            context.add_cleanup(patch.stop)

    def read(self):
        return self.now


def _prepare(context):
    context.clock = _Clock(context)
    context.store = stubs.MemoryTable()
    context.nodes = 0


def _take(context):
    context.nodes += 1
    lease = _lease.Lease(node=f"n{context.nodes}", table=context.store)
    if not lease.try_acquire():
        context.clock.now += _lease.LEASE_SECONDS
        assert lease.try_acquire()
    context.lease = lease


@given("a holder of the lease that was killed")
def _killed(context):
    _prepare(context)
    _take(context)


@given("a holder of the lease that reached all runners and gave it back")
def _gave_back(context):
    _prepare(context)
    _take(context)
    context.lease.leave_waits(dict)
    context.lease.release()


@given("a lease that was given back with waits of no number")
def _bad_waits(context):
    _gave_back(context)
    value, version = context.store.rows[_records.LEASE_KEY]
    bad = {**value, "waits": {_RUNNER: "soon"}}
    context.store.rows[_records.LEASE_KEY] = (bad, version)


@given("a task on a runner that does not answer")
def _task(context):
    step = scheduler.Step(index=0, task_count=1)
    queue = scheduler.Queue(name="q", host="h", prefix="/", pool="p")
    spec = scheduler.JobSpec(id="aa", queue="q", payload="", steps=(step,))
    context.job = scheduler.Job(spec=spec, queue=queue, arrived_at=0.0)
    scheduler.open_occurrences(context.job, 0.0)
    task = context.job.tasks[0]
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, _RUNNER, 1


def _entry():
    return _ports.RunnerEntry(
        id=_RUNNER,
        lifetime=1,
        pool="p",
        address="127.0.0.1:1",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=32, memory_mib=65536),
    )


def _connect(context, entry):
    context.link = _links.RunnerLink(
        parts=_asking.LinkParts(
            entry=entry,
            loop=unittest.mock.Mock(),
            calls=unittest.mock.Mock(),
            lease=context.lease,
            grants=_grants.Grants(
                lease=context.lease, max_lease_seconds=_MAX_LEASE_SECONDS
            ),
            post=lambda event: None,
        )
    )
    context.looker = context.link._looker
    context.looker._asker._connection = unittest.mock.Mock()
    return context.link


@when("another node takes the lease")
def _takes(context):
    _take(context)
    context.workers = _workers.Workers(
        connect=lambda entry: _connect(context, entry),
        inherited_waits=context.lease.inherited_waits,
    )
    context.workers.adopt(context.job, context.job.tasks[0])
    context.workers.update((_entry(),))


@when("it gives the lease back after {seconds:g} s")
def _gives_back(context, seconds):
    context.clock.now += seconds
    context.lease.leave_waits(
        lambda: context.workers.waits(_MAX_LEASE_SECONDS)
    )
    context.lease.release()


@when("it gives the lease back before it has read the rows")
def _gives_back_early(context):
    context.lease.release()


def _answer(context):
    """Let the runner answer the next look with its one run."""
    name = _ports.TaskName(job="aa", task="0.0.0")
    report = _ports.RunnerReport(
        lifetime=1,
        clock_ms=5000.0,
        running=(_ports.ReportedRun(name=name, run=1, checkpoint=""),),
        ended=(),
    )
    calls = context.looker._parts.calls
    calls.look.return_value.read.return_value = report
    answers = [returns.result.Success({})]
    context.looker._asker._connection.call.side_effect = lambda call, done: (
        answers and done(answers.pop())
    )


@when("the runner answers once and goes silent")
def _answers_once(context):
    _answer(context)
    context.looker._look()


@then("the task is given up after {seconds:g} s")
def _given_up(context, seconds):
    began = context.clock.now
    context.clock.now = began + seconds - 0.1
    assert not context.workers.lapsed(_MAX_LEASE_SECONDS)
    context.clock.now = began + seconds + 0.1
    lost = context.workers.lapsed(_MAX_LEASE_SECONDS)
    assert lost == [(context.job, context.job.tasks[0])], lost


@given("a link to a runner under a lease that is given back")
def _link_given_back(context):
    _killed(context)
    _connect(context, _entry())
    _answer(context)
    context.looker._look()
    context.lease.release()


@when("the runner is looked at once more")
def _look_again(context):
    context.looker._looking = False
    context.looker._parts.calls.look.reset_mock()
    context.looker._look()


@then("no lease of runs was granted")
def _no_grant(context):
    asked = context.looker._parts.calls.look.call_args.kwargs
    assert asked["lease_until_ms"] is None, asked
