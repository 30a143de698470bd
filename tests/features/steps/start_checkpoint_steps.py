"""Steps on the checkpoints of starts that may be unanswered."""

import unittest.mock

from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import stubs
import former_call_steps as former_calls
import lifetime_steps
import peridotsill
import returns.result

from peridotsill_jobs import _feeds
from peridotsill_jobs import _job_store
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
from peridotsill_jobs import _start_checkpoints
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_RUNNER = lifetime_steps._RUNNER
_RUN = (base._JOB, "0.0.0", 1)
_ROW_VERSION = 70


def _write_checkpoint(context, value):
    context.store.commit(
        peridotsill_platform.Transaction(
            checks=(),
            writes=(
                peridotsill_platform.Write(
                    key=_start_checkpoints.KEY, value=value
                ),
            ),
        )
    )


def _checkpoint_value(revision, *runs):
    return _start_checkpoints.StartCheckpoint(
        revision=revision,
        open_starts=frozenset((_RUNNER, run) for run in runs),
    ).to_value()


_CHECKPOINTS = {
    "does not exist": None,
    "is malformed": {"revision": "?", "open": 7},
    "is older than the row": _checkpoint_value(_ROW_VERSION - 1),
    "lists the start as open": _checkpoint_value(_ROW_VERSION, _RUN),
    "lists another run of it": _checkpoint_value(_ROW_VERSION, (*_RUN[:2], 2)),
    "does not list the start": _checkpoint_value(_ROW_VERSION),
}


@given("the last checkpoint {which}")
def _last_checkpoint(context, which):
    context.job.row_version = _ROW_VERSION
    if _CHECKPOINTS[which] is not None:
        _write_checkpoint(context, _CHECKPOINTS[which])
    context.controller._job_store._start_checkpoints.load(0)


@given("a task on the same runner whose start was answered")
def _answered_task(context):
    task = scheduler.Task(occurrence=0, step=context.task.step, index=1)
    task.run, task.runner, task.lifetime = 2, _RUNNER, context.lifetime
    task.phase = scheduler.TaskPhase.RUNNING
    context.job.tasks = [*context.job.tasks, task]
    context.controller._workers.adopt(context.job, task)


@then("only the other task is lost before {seconds:g} s")
def _other_task_lost(context, seconds):
    for share in (0.5, 0.6, 1.0):
        former_calls._round_at(context, seconds * share)
        assert [run for run, _ in context.lost] == [2], context.lost


@when("the takeover adopts open starts")
def _adopt_open_starts(context):
    context.controller._adopt_open_starts((context.job,))
    # The row was not written, so that it has no version in the table.
    context.job.row_version = 0


@when('the lists of VMs show the VM of "i-1" as down for {seconds:d} s')
def _vm_is_down(context, seconds):
    context.controller._workers.find(_RUNNER).vm = "v1"
    vm = _ports.VmRecord(
        name="v1",
        pool="p",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=32),
        state=_ports.VmState.DOWN,
        runner="",
    )
    for _ in range(2 * seconds):
        context.clocks.now += 0.5
        context.controller._departures.record_vm_list(
            _feeds.VmListSnapshot(vms=(vm,), requested_at=context.clocks.now),
            frozenset(),
        )


# What a scheduler records.


_OUTCOMES = {
    **former_calls._OUTCOMES,
    "is answered": (_link_events.OrderResult.DONE, {}),
}


@given("a scheduler with a start that {state}")
def _scheduler_with_start(context, state):
    former_calls._begin(context)
    former_calls._list_lifetime(context, 1)
    lifetime_steps._answer(context, 1, 1, requested_at=context.clocks.now)
    store = context.controller._job_store
    store._start_checkpoints.load(context.store.version)
    (link,) = context.made_links
    link.may_have_begun = lambda name, run: state == "is on its way"
    lifetime_steps._set_run(context, 1, scheduler.TaskPhase.ASSIGNED)
    workers = context.controller._workers
    worker = workers.get(_RUNNER, 1)
    was_adopted = state == "was open at the takeover"
    workers.place(
        worker,
        context.job,
        context.task,
        last_answered_at=0.0 if was_adopted else float("inf"),
    )
    if was_adopted:
        workers.record_inherited_start(
            _RUNNER, _RUN, context.clocks.now, is_in_doubt=True
        )
    store.mark_dirty(context.job)
    store.commit()
    if state == "is listed before its outcome is handled":
        placed = worker.placed[(base._JOB, context.task.key)]
        placed.listed_by_runner = True
    if state in _OUTCOMES:
        result, fields = _OUTCOMES[state]
        former_calls._report_start(
            context, former_calls._CONFIRMED, result, **fields
        )
    if state == "was recorded since":
        _write_checkpoint(
            context, _checkpoint_value(context.job.row_version - 1)
        )
        store._start_checkpoints._next_at = float("inf")


def _commit_checkpoint(context):
    context.clocks.now += 1.1
    context.controller._job_store.commit()


@when("it makes a round {seconds:g} s later")
def _makes_round(context, seconds):
    context.clocks.now += seconds
    former_calls._run_round(context)


@when("it commits a checkpoint")
def _commits_checkpoint(context):
    _commit_checkpoint(context)


@when("it has {count:d} open starts of other runs and commits a checkpoint")
def _many_open_starts(context, count):
    for number in range(count):
        context.controller._workers.record_inherited_start(
            _RUNNER,
            ("other", f"0.0.{number}", 1),
            context.clocks.now,
            is_in_doubt=False,
        )
    _commit_checkpoint(context)


_FAILURES = {
    "the table is away": peridotsill_platform.exceptions.TableUnavailable,
    "its answer is lost": peridotsill_platform.exceptions.OutcomeUnknown,
}


@when("a checkpoint can't be written as {why}")
def _checkpoint_fails(context, why):
    commit = context.store.commit
    context.attempts = []

    def fail(transaction):
        context.attempts.append(context.clocks.now)
        if why == "its answer is lost":
            commit(transaction)
        return returns.result.Failure(_FAILURES[why](why))

    context.store.commit = fail
    _commit_checkpoint(context)


@then("its rounds go on and no further write is tried for {seconds:d} s")
def _rounds_go_on(context, seconds):
    assert len(context.attempts) == 1, context.attempts
    for _ in range(10 * seconds - 1):
        context.clocks.now += 0.1
        former_calls._run_round(context)
    assert len(context.attempts) == 1, context.attempts
    for _ in range(5):
        context.clocks.now += 0.1
        former_calls._run_round(context)
    assert len(context.attempts) == 2, context.attempts


@then("the next scheduler takes the start for {what}")
def _next_scheduler(context, what):
    lease = _lease.Lease(node="next", table=stubs.MemoryTable())
    lease.try_acquire()
    table = stubs.MemoryTable()
    table.rows, table.version = context.store.rows, context.store.version
    catalog = unittest.mock.Mock()
    catalog.queue.return_value = base._QUEUE
    store = _job_store.JobStore(
        table=table,
        catalog=catalog,
        lease=lease,
        counters=peridotsill.Counters(),
    )
    lease._epoch *= 99
    assert store.load() is not None
    job = store.get(context.job.key)
    store.close()
    (task,) = job.tasks
    assert task.active, task
    assert store.may_start_be_open(job, task) is (what == "open"), what
