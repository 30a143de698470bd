"""Steps on jobs whose rows can't be read."""

import contextlib
import copy
import unittest.mock

from behave import given
from behave import then
from behave import when
import controller_steps as base
import peridotsill
import peridotsill.exceptions

from peridotsill_adapter import _documents
from peridotsill_jobs import _applied_ends
from peridotsill_jobs import _feeds
from peridotsill_jobs import _job_store
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
import peridotsill_scheduler as scheduler

_FIRST, _OTHER = "00000000000000d1", "00000000000000d2"
_TASK_FIELDS = ["done", 1, "i-1", 1, 0, 0, ""]


def _drop_tasks(value):
    del value["tasks"]


def _divide_tasks(value):
    del value["tasks"]
    value["task_rows"] = ["many"]


_DAMAGES = {
    "a task that the job lacks": (
        lambda value: value["tasks"].update({"0.9.0": _TASK_FIELDS})
    ),
    "a task of an occurrence that it lacks": (
        lambda value: value["tasks"].update({"4.0.0": _TASK_FIELDS})
    ),
    "fewer occurrences than tasks": lambda value: value.update(opened=0),
    "more occurrences than the job has": (
        lambda value: value.update(opened=9)
    ),
    "no tasks": _drop_tasks,
    "a state of a newer version": lambda value: value.update(state="paused"),
    "a phase of a newer version": (
        lambda value: value["tasks"].update(
            {"0.1.0": ["paused", *_TASK_FIELDS[1:]]}
        )
    ),
    "one more field in each task": (
        lambda value: value["tasks"].update({"0.0.0": [*_TASK_FIELDS, 3]})
    ),
    "a crash of a newer version": (
        lambda value: value.update(crashes={"0.0.0": [["i-1", 1]]})
    ),
    "divided tasks that can't be read": _divide_tasks,
    "a step that can't be read": (
        lambda value: value["spec"].update(steps=[{"index": "none"}])
    ),
}


def _row_key(context):
    table = {"progress": _records.PROGRESS, "jobs": _records.JOBS}
    return _records.row_key(table[context.damaged], "q", _FIRST)


def _store_job(context, job_id, done_tasks):
    steps = (
        scheduler.Step(
            index=0, task_count=1, demand=scheduler.Resources(cores=1)
        ),
        scheduler.Step(index=1, task_count=1, after=(0,)),
    )
    spec = scheduler.JobSpec(id=job_id, queue="q", payload="", steps=steps)
    submission = _records.Submission(
        spec=spec, queue=base._QUEUE, arrived_ms=1.0
    )
    job = scheduler.Job(spec=spec, queue=base._QUEUE, arrived_at=0.0)
    scheduler.open_occurrences(job, 0.0)
    for task in job.tasks[:done_tasks]:
        task.run, task.runner, task.lifetime = 1, "i-1", 1
        task.phase = scheduler.TaskPhase.DONE
    scheduler.refresh_state(job)
    values = {_records.JOBS: _records.submission_value(submission)}
    if done_tasks:
        values[_records.PROGRESS] = _records.progress_value(job, 1)
    for table, value in values.items():
        key = _records.row_key(table, "q", job_id)
        plain = peridotsill.decode_plain(peridotsill.encode(value))
        context.store.rows[key] = (plain, 1)


@given("a job with a done task, and another job that waits")
def _two_jobs(context):
    base._make_controller(context)
    context.controller._registry = base._registry_now()
    _store_job(context, _FIRST, done_tasks=1)
    _store_job(context, _OTHER, done_tasks=0)


@given("the {table} row of the first job has {damage}")
def _damage_row(context, table, damage):
    context.damaged = table
    value, version = context.store.rows[_row_key(context)]
    value = copy.deepcopy(value)
    _DAMAGES[damage](value)
    context.store.rows[_row_key(context)] = (value, version)
    context.damaged_row = copy.deepcopy((value, version))


@contextlib.contextmanager
def _recorded_logs(context):
    context.logged = getattr(context, "logged", [])
    with unittest.mock.patch.object(
        _job_store._logs,
        "log",
        lambda event, **fields: context.logged.append((event, fields)),
    ):
        yield


@when("a new scheduler loads the jobs and makes some rounds")
def _load_and_run(context):
    with _recorded_logs(context):
        assert context.controller._load_jobs() is not None
    context.add_cleanup(context.controller._job_store.close)
    base._make_round(context)


@when("some more rounds are made")
def _more_rounds(context):
    base._make_round(context)


def _started_jobs(context):
    return [
        order.name.job
        for link in context.links.values()
        for order in link.starts
    ]


@then("it has started the other job, and nothing of the first")
def _other_started(context):
    assert _started_jobs(context) == [_OTHER], _started_jobs(context)


@then("the row is as it was")
def _row_unchanged(context):
    assert context.store.rows[_row_key(context)] == context.damaged_row


@then("the row is as it was, with nothing of the first job started")
def _still_unchanged(context):
    _other_started(context)
    if context.damaged == "progress":
        _row_unchanged(context)


@then("one job is counted and logged as quarantined")
def _told(context):
    logged = [
        fields
        for event, fields in context.logged
        if event == "job:quarantined"
    ]
    assert len(logged) == 1 and logged[0]["problems"], context.logged
    rendered = context.controller._parts.counters.render({}).decode()
    assert "jobs_quarantined_total 1" in rendered, rendered


@when("the first job's row is repeated by the feed, as it is cancelled")
def _repeat_row(context):
    key = _records.row_key(_records.JOBS, "q", _FIRST)
    value, version = context.store.rows[key]
    row = peridotsill.Row(
        key=key, value={**value, "cancelled": True}, version=version + 1
    )
    context.controller._handle_event(_feeds.JobRowsChanged(rows=(row,)))


def _report_ends(context, ends):
    context.controller._handle_event(
        _link_events.ReportReceived(
            runner="i-2",
            lifetime=1,
            requested_at=0.0,
            report=_ports.RunnerReport(
                lifetime=1,
                clock_ms=1000.0,
                running=(),
                ended=tuple(
                    _ports.ReportedEnd(
                        number=number,
                        name=_ports.TaskName(job=job, task="0.1.0"),
                        run=1,
                        kind=_ports.EndKind.DONE,
                    )
                    for number, job in ends
                ),
            ),
        )
    )
    with unittest.mock.patch.object(
        _applied_ends._logs,
        "log",
        lambda event, **fields: context.logged.append((event, fields)),
    ):
        context.controller._run_round()


@when("a runner lists 3 ends, the second of them of the first job")
def _list_ends(context):
    _report_ends(context, [(1, _OTHER), (2, _FIRST), (3, _OTHER)])


@then("only the first of them is acknowledged")
def _first_acknowledged(context):
    assert context.links["i-2"].last_acknowledged_end == 1


@when("the runner lists {count:d} more ends of the other job")
def _list_more(context, count):
    _report_ends(context, [(4 + each, _OTHER) for each in range(count)])
    context.last_end = 3 + count


@then("all of them are acknowledged, and the loss is logged")
def _all_acknowledged(context):
    last = context.links["i-2"].last_acknowledged_end
    assert last == context.last_end, last
    assert ("ends:given_up", {"runner": "i-2", "jobs": [_FIRST]}) in (
        context.logged
    )


@when("another scheduler writes the job in a way that can't be read")
def _write_unreadable(context):
    key = _records.row_key(_records.PROGRESS, *context.job.key)
    value, version = context.store.rows[key]
    context.other_row = ({**value, "tasks": {"7.7.7": []}}, version + 90)
    context.store.rows[key] = context.other_row


@when("the scheduler writes the job")
def _write_job(context):
    context.controller._job_store.mark_dirty(context.job)
    with _recorded_logs(context):
        base._make_round(context)


@then("the other scheduler's row stands")
def _other_stands(context):
    key = _records.row_key(_records.PROGRESS, *context.job.key)
    assert context.store.rows[key] == context.other_row


@then("no runner has the task any more")
def _on_no_runner(context):
    assert not any(each.placed for each in context.controller._workers)


@when("a job with a step of {count:d} tasks is submitted")
def _submit_wide(context, count):
    body = peridotsill.encode({"spec": "", "steps": [{"count": count}]})
    documents = _documents.PlatformDocuments(
        unreadable_rows=unittest.mock.Mock()
    )
    try:
        context.spec = documents.job("q", _FIRST, body)
    except peridotsill.exceptions.InvalidResource as error:
        context.spec, context.problems = None, error.problems


@then("the submission is refused")
def _refused(context):
    assert context.spec is None and context.problems


@then("the submission is accepted and readable")
def _readable(context):
    submission = _records.Submission(
        spec=context.spec, queue=base._QUEUE, arrived_ms=1.0
    )
    value = peridotsill.decode_plain(
        peridotsill.encode(_records.submission_value(submission))
    )
    row = peridotsill.Row(
        key=_records.row_key(_records.JOBS, "q", _FIRST),
        value=value,
        version=1,
    )
    assert _records.parse_submission(row) == submission


@when("the feed shows the job's submission in a way that can't be read")
def _show_unreadable_submission(context):
    key = _records.row_key(_records.JOBS, *context.job.key)
    row = peridotsill.Row(key=key, value={"spec": "none"}, version=99)
    context.controller._handle_event(_feeds.JobRowsChanged(rows=(row,)))
