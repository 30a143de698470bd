"""Steps on gangs."""

import attrs
from behave import given
from behave import then
from behave import when
import controller_steps as base

from peridotsill_jobs import _ports
from peridotsill_jobs import _records
import peridotsill_scheduler as scheduler

_Phase = scheduler.TaskPhase


def _make_gang(context, count, **fields):
    base._make_controller(context)
    step = scheduler.Step(
        index=0,
        task_count=count,
        demand=scheduler.Resources(cores=8),
        gang=True,
        **fields,
    )
    spec = scheduler.JobSpec(
        id=base._JOB, queue="q", payload="", steps=(step,)
    )
    base._submit_job(context)
    context.job.spec = attrs.evolve(spec, queue=context.job.spec.queue)
    context.job.tasks = []
    context.job.opened_count = 0
    scheduler.open_occurrences(context.job, 0.0)


@given(
    "a gang of {count:d} tasks whose run 1 was lost, and whose run 2 {state}"
)
def _lost_gang(context, count, state):
    _make_gang(context, count)
    controller = context.controller
    workers = list(controller._workers)
    for number, task in enumerate(context.job.tasks):
        task.run = 1
        task.runner, task.lifetime = workers[0].entry.id, 1
        if state == "runs on other runners":
            task.run = 2
            worker = workers[1 + number % (len(workers) - 1)]
            task.runner = worker.entry.id
            task.phase = _Phase.RUNNING
            controller._workers.place(
                worker, context.job, task, last_answered_at=0.0
            )
    context.restarted = state == "runs on other runners"
    scheduler.refresh_state(context.job)
    controller._job_store.mark_dirty(context.job)


@when("the runner of one member is reached again and lists its run 1 as done")
def _late_end(context):
    worker = next(iter(context.controller._workers))
    end = _ports.ReportedEnd(
        number=1,
        name=_ports.TaskName(job=base._JOB, task="0.0.1"),
        run=1,
        kind=_ports.EndKind.DONE,
    )
    base._handle_report(context, worker.entry.id, ended=[end])


@then("all {count:d} tasks are done and the job completed")
def _all_done(context, count):
    phases = [task.phase for task in context.job.tasks]
    assert phases == [_Phase.DONE] * count, phases
    assert context.job.state is scheduler.JobState.COMPLETED


@then("each run 2 that was started is stopped")
def _stopped(context):
    stops = sorted(
        (name.task, run)
        for link in context.links.values()
        for name, run in link.stops
    )
    expected = [(task.key, 2) for task in context.job.tasks]
    assert stops == (expected if context.restarted else []), stops


def _values(saved):
    return [each.replace("-", "") for each in saved.split(", ")]


@given("a gang of {count:d} tasks that waits with checkpoints {saved}")
def _waiting_gang(context, count, saved):
    _make_gang(context, count, checkpointing=True)
    for task, value in zip(context.job.tasks, _values(saved), strict=True):
        task.run = 1
        task.checkpoint = value
    context.controller._registry = base._registry_now()


@when("a round starts the gang")
def _start_gang(context):
    context.controller._run_round()


@then("all {count:d} starts carry one checkpoint, which is one of {saved}")
def _one_checkpoint(context, count, saved):
    starts = [
        order for link in context.links.values() for order in link.starts
    ]
    assert len(starts) == count, starts
    found = {order.checkpoint for order in starts}
    assert len(found) == 1, found
    (context.checkpoint,) = found
    saved_values = {each for each in _values(saved) if each}
    assert found <= (saved_values or {""}), found


@then("the rows of its tasks have that checkpoint")
def _rows_have_it(context):
    key = _records.row_key(_records.PROGRESS, "q", base._JOB)
    tasks = _records.parse_tasks(context.store.rows[key][0])
    found = {each.checkpoint for each in tasks.values()}
    assert len(tasks) == 3 and found == {context.checkpoint}, tasks
