"""Steps that count what the scheduler's process spends on a piece of work.

Calls are counted instead of seconds, as the count doesn't depend on the
machine or on what else runs there.
"""

import base64
import collections
import contextlib
import datetime
import functools
import json
import random
import sys
import threading
import time
import typing
import uuid

import attrs
from behave import given
from behave import then
from behave import when
import eliot
from emulator import stubs
import peridotsill
from peridotsill import _codec
import peridotsill.exceptions
from returns import result

from peridotsill_adapter import _decode_cache
from peridotsill_adapter import _documents
from peridotsill_adapter import _machines
from peridotsill_adapter import _runners
from peridotsill_adapter import _table
from peridotsill_adapter import _unreadable
from peridotsill_adapter import _wire
import peridotsill_jobs
from peridotsill_jobs import _feeds
from peridotsill_jobs import _logs
from peridotsill_jobs import _records
from peridotsill_jobs import _start_checkpoints
import peridotsill_jobs.exceptions
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")


@contextlib.contextmanager
def _counted_calls():
    """Count the calls of Python functions by their code objects."""
    calls = collections.Counter()

    def count(frame, event, _):
        if event == "call":
            calls[frame.f_code] += 1

    sys.setprofile(count)
    try:
        yield calls
    finally:
        sys.setprofile(None)


def _calls_within(calls, module):
    return {
        code.co_name: count
        for code, count in calls.items()
        if code.co_filename == module.__file__
    }


def _submission_row(number, steps=1):
    submission = _records.Submission(
        spec=scheduler.JobSpec(
            id=f"{number:016x}",
            queue="q",
            payload="",
            steps=tuple(
                scheduler.Step(
                    index=index,
                    task_count=1,
                    demand=scheduler.Resources(cores=1),
                )
                for index in range(steps)
            ),
        ),
        queue=_QUEUE,
        arrived_ms=time.time() * 1000,
    )
    return peridotsill.Row(
        key=_records.row_key(_records.JOBS, "q", submission.spec.id),
        value=_records.submission_value(submission),
        version=1,
    )


@given("a submission that was parsed before")
def _parsed_before(context):
    _records.parse_submission(_submission_row(1, steps=3))


@when("{count:d} more are parsed, and the calls are counted")
def _parse_more(context, count):
    rows = [_submission_row(number, steps=3) for number in range(count)]
    with _counted_calls() as context.calls:
        for row in rows:
            _records.parse_submission(row)


@then("no type hints were looked up")
def _no_hints(context):
    count = context.calls[typing.get_type_hints.__code__]
    assert not count, f"{count} look-ups"


_NUMBERS = (-1, 0, 1, 0.5, 1e300, float("nan"), float("inf"), True)
_ODD_VALUES = (None, "x", [], {}, [None], [[]], {"x": 1}, *_NUMBERS)


def _draw_document(draw, kind, depth=0):
    """Return data of about the shape of a class, with odd values in it."""
    hints = typing.get_type_hints(kind)
    data = {}
    for field in attrs.fields(kind):
        if draw.random() < 0.2:
            continue
        hint = hints[field.name]
        classes = [each for each in typing.get_args(hint) if attrs.has(each)]
        if depth > 3 or draw.random() < 0.1:
            data[field.name] = draw.choice(_ODD_VALUES)
        elif attrs.has(hint):
            data[field.name] = _draw_document(draw, hint, depth + 1)
        elif classes and draw.random() < 0.8:
            data[field.name] = [
                _draw_document(draw, classes[0], depth + 1)
                for _ in range(draw.randrange(3))
            ]
        elif classes:
            data[field.name] = _draw_document(draw, classes[0], depth + 1)
        else:
            data[field.name] = draw.choice(_NUMBERS)
    return data


def _find_problems(data, kind, path=""):
    """Return the problems of a document, with nothing kept of its class."""
    if not isinstance(data, dict):
        return []
    hints = typing.get_type_hints(kind)
    problems = []
    for field in attrs.fields(kind):
        value = data.get(field.name)
        here = f"{path}{field.name}"
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            minimum = field.metadata.get("minimum")
            maximum = field.metadata.get("maximum")
            if value != value:
                problems.append(f"{here}: not a number")
            elif minimum is not None and value < minimum:
                problems.append(f"{here}: {value} is below {minimum}")
            elif maximum is not None and value > maximum:
                problems.append(f"{here}: {value} is above {maximum}")
        hint = hints[field.name]
        inner = [each for each in typing.get_args(hint) if attrs.has(each)]
        if attrs.has(hint):
            problems += _find_problems(value, hint, f"{here}.")
        elif inner and isinstance(value, list):
            for index, item in enumerate(value):
                item_path = f"{here}[{index}]."
                problems += _find_problems(item, inner[0], item_path)
        elif inner:
            problems += _find_problems(value, inner[0], f"{here}.")
    return problems


@when("{count:d} documents of each kind are drawn, with fields of any value")
def _draw_documents(context, count):
    draw = random.Random(39)
    kinds = (_records.Submission, *peridotsill.RESOURCE_KINDS.values())
    context.documents = [
        (kind, _draw_document(draw, kind))
        for kind in kinds
        for _ in range(count)
    ]


@then("the problems are those found with each class looked at anew")
def _same_problems(context):
    found = 0
    for kind, data in context.documents:
        expected = _find_problems(data, kind)
        found += len(expected)
        assert _codec._range_problems(data, kind, "") == expected, data
        if expected:
            try:
                peridotsill.from_plain(data, kind, strict=False)
            except peridotsill.exceptions.InvalidResource as error:
                problems = error.problems[
                    len(error.problems) - len(expected) :
                ]
                assert list(problems) == expected, error.problems
            else:
                raise AssertionError(f"accepted: {data}")
    assert found > len(context.documents) / 4, found


class _Answers:
    """A client that answers each call with its ``answer``."""

    answer = None

    def call(self, *_, **__):
        return self.answer


def _registry_row(number, heartbeats):
    entry = {
        "service": "trails",
        "address": f"127.0.0.1:{8000 + number}",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 900 - heartbeats,
        "capacity": {"cpu": 8000, "mem_mb": 1024, "gpu": 0},
        "labels": ["general", "r-0"],
        "seq": heartbeats,
        "born": 1700000000000,
        "machine": f"m-{number}",
    }
    return _store_row(f"i-{number}", entry, heartbeats)


def _store_row(key, value, version):
    return {
        "table": "servers",
        "part": "",
        "key": key,
        "value": base64.b64encode(json.dumps(value).encode()).decode(),
        "ver": version,
    }


def _registry_reader(client):
    unreadable_rows = _unreadable.UnreadableRows()
    table = _table.RowTable(
        client=client, timeout_seconds=1.0, unreadable_rows=unreadable_rows
    )
    documents = _documents.PlatformDocuments(unreadable_rows=unreadable_rows)

    def read():
        rows = table.scan(("servers//",)).unwrap().rows
        return [documents.runner(row) for row in rows]

    return read


@given("a registry of {count:d} runners that was read before")
def _registry_read_before(context, count):
    context.client = _Answers()
    context.read = _registry_reader(context.client)
    context.answers = [
        {
            "rows": [_registry_row(number, beats) for number in range(count)],
            "ver": beats,
        }
        for beats in (1, 2)
    ]
    context.client.answer = context.answers[0]
    context.before = context.read()
    assert len(context.before) == count and all(context.before)


@given("a list of {count:d} VMs that was read before")
def _vms_read_before(context, count):
    answer = {
        "machines": [
            {
                "machine": f"m-{number}",
                "pool": "trails",
                "state": "up",
                "zone": "z1",
                "labels": ["general", "r-0"],
                "capacity": {"cpu": 8000, "mem_mb": 1024, "gpu": 0},
                "id": f"i-{number}",
            }
            for number in range(count)
        ]
    }
    context.answers = [json.loads(json.dumps(answer)) for _ in range(2)]
    context.client = _Answers()
    context.read = _machines.MachineClient(client=context.client).list_vms
    context.client.answer = context.answers[0]
    context.before = context.read()
    assert len(context.before) == count


@when("it is read again after a heartbeat of each, and the calls are counted")
@when("it is read again, and the calls are counted")
def _read_again(context):
    context.client.answer = context.answers[1]
    with _counted_calls() as context.calls:
        context.after = context.read()


@then("no field was decoded, and the entries are the same objects")
def _nothing_decoded(context):
    decoded = _calls_within(context.calls, _wire)
    # What holds the entries has to be taken apart in any case.
    for name in ("as_object", "get_list"):
        if decoded.get(name, 0) <= len(context.before) + 1:
            decoded.pop(name, None)
    assert not decoded, decoded
    assert len(context.after) == len(context.before)
    for before, after in zip(context.before, context.after):
        assert before is after, (before, after)


# Values of which some equal others for Python, but not as JSON.
_FIELD_VALUES = {
    "born": (1700000000000, 1700000000000.0, 1, True, None, "1", -1, 1e300),
    "state": ("ready", "draining", "up", "moving", "odd", None, 1),
    "address": ("127.0.0.1:8000", "127.0.0.1:8001", "x", None),
    "service": ("trails", "other", None, 3),
    "pool": ("trails", "other", None, 3),
    "machine": ("m-1", "m-2", "", None, 1),
    "zone": ("z1", "z2", None, 0),
    "id": ("i-1", "", None, 1, True),
    "labels": (
        ["a", "r-0"],
        ["r-0", "a"],
        ["a"],
        ["a", 1],
        ["a", True],
        None,
        "a",
    ),
    "capacity": (
        {"cpu": 1000, "mem_mb": 1, "gpu": 0},
        {"cpu": 1000.0, "mem_mb": 1, "gpu": 0},
        {"cpu": 1000, "mem_mb": True, "gpu": 0},
        {"mem_mb": 1, "cpu": 1000},
        {"cpu": None},
        {"cpu": -1},
        {},
        None,
        [],
    ),
    "seq": (1, 2, None, "x"),
    "cold_left_ms": (0, 1),
}


def _draw_change(draw, document, original):
    """Change, remove or restore one field of a document."""
    name = draw.choice(tuple(_FIELD_VALUES))
    if draw.random() < 0.1:
        document.pop(name, None)
    elif draw.random() < 0.7:
        document[name] = original[name]
    else:
        document[name] = draw.choice(_FIELD_VALUES[name])


def _outcome_of(read):
    """Return what is read, or the text of the error."""
    try:
        return read()
    except peridotsill_jobs.exceptions.JobsError as error:
        return str(error)


@when("{rows} are read 3000 times, with drawn fields changed, gone or odd")
def _read_changing(context, rows):
    draw = random.Random(3900)
    client = _Answers()
    originals = [
        {name: values[0] for name, values in _FIELD_VALUES.items()}
        | {"machine": f"m-{number}"}
        for number in range(2)
    ]
    documents = [dict(original) for original in originals]

    def make_reader():
        if rows == "runners":
            return _registry_reader(client)
        return _machines.MachineClient(client=client).list_vms

    reader = make_reader()
    context.readings = []
    for version in range(3000):
        for document, original in zip(documents, originals):
            if draw.random() < 0.5:
                _draw_change(draw, document, original)
        client.answer = {
            "rows": [
                _store_row(f"i-{number}", document, version)
                for number, document in enumerate(documents)
            ],
            "machines": json.loads(json.dumps(documents)),
            "ver": version,
        }
        kept, first = _outcome_of(reader), _outcome_of(make_reader())
        context.readings.append((json.dumps(documents), kept, first))


def _check_fields(document, entry):
    """Check that each field of an entry is the document's."""
    capacity = document.get("capacity") or {}
    labels = document.get("labels", [])
    expected = {
        "domain": document.get("zone", ""),
        "labels": frozenset(each for each in labels if isinstance(each, str)),
        "capacity": scheduler.Resources(
            cores=capacity.get("cpu", 0) / 1000.0,
            memory_mib=float(capacity.get("mem_mb", 0)),
            accelerators=int(capacity.get("gpu", 0)),
        ),
    }
    if isinstance(entry, peridotsill_jobs.RunnerEntry):
        expected["lifetime"] = document.get("born", 0)
        expected["pool"] = document["service"]
        expected["address"] = document["address"]
        expected["vm"] = document.get("machine", "")
        expected["state"] = document["state"]
    else:
        expected["name"] = document["machine"]
        expected["pool"] = document["pool"]
        expected["runner"] = str(document.get("id") or "")
        if document["state"] in ("up", "moving"):
            expected["state"] = document["state"]
    found = {name: getattr(entry, name) for name in expected}
    assert found == expected, (document, entry)


@then("each reading names what a reader that has kept nothing names")
def _same_as_first(context):
    named = 0
    for documents, kept, first in context.readings:
        assert kept == first, (documents, kept, first)
        assert repr(kept) == repr(first), (documents, kept, first)
        if isinstance(kept, str):
            continue
        named += any(kept)
        for document, entry in zip(json.loads(documents), kept):
            if entry is not None:
                _check_fields(document, entry)
    assert named >= 30, f"{named} readings name anything"


@then("an entry whose decoded fields are as before is the same object")
def _same_objects(context):
    same = 0
    for (before, kept, _), (after, kept_after, _) in zip(
        context.readings, context.readings[1:]
    ):
        if isinstance(kept, str) or isinstance(kept_after, str):
            continue
        names = {each.get("machine") for each in json.loads(before)}
        if len(names) < 2:
            # Of VMs of the same name only one is kept.
            continue
        for old, new, entry, entry_after in zip(
            json.loads(before), json.loads(after), kept, kept_after
        ):
            if entry is not None and json.dumps(old) == json.dumps(new):
                assert entry is entry_after, (old, new)
                same += 1
    assert same >= 10, same


@when("{count:d} documents of different names are decoded")
def _decode_many(context, count):
    context.cache = _decode_cache.DecodeCache(
        fields=("x",), decode=lambda name, fields: (name, fields["x"])
    )
    for number in range(count):
        decoded = context.cache.decode(f"d-{number}", {"x": number})
        assert decoded == (f"d-{number}", number), decoded


@then("at most {count:d} are kept")
def _bounded(context, count):
    assert 0 < len(context.cache._decoded) <= count


@given("room for {count:d} more jobs that are submitted with it")
def _submit_more(context, count):
    controller = context.controller
    controller._workers.update(
        tuple(stubs.runner_entry(f"i-{each}") for each in range(count))
    )
    for number in range(count):
        row = _submission_row(number)
        context.store.rows[row.key] = (row.value, row.version)
        controller._job_store.apply_row(row)
    controller._registry = _feeds.RegistrySnapshot(
        entries=(), requested_at=time.monotonic()
    )


def _drain_runners(context, keys):
    entries = tuple(
        stubs.runner_entry(each, state=peridotsill_jobs.RunnerState.DRAINING)
        for each in context.links
    )
    context.controller._feeds._latest_registry = _feeds.RegistrySnapshot(
        entries=entries, requested_at=time.monotonic()
    )


def _lose_lease(context, keys):
    context.controller._parts.lease.mark_lost("on purpose")
    raise _CommitFailed


def _write_job(context, keys):
    """Write a job as the holder of an earlier epoch, late, would."""
    value = {"state": "queued", "epoch": 0, "opened": 1, "tasks": {}}
    context.store.rows[keys[0]] = (value, 7)


class _CommitFailed(Exception):
    """Raised by an event during a commit that fails."""


_EVENTS = {
    "nothing": lambda context, keys: None,
    "all runners begin to drain": _drain_runners,
    "the lease is lost": _lose_lease,
    "another scheduler writes one job": _write_job,
}


@when("a scheduling round orders starts in commits of {sizes}")
def _run_round(context, sizes):
    _run_round_with(context, "nothing", sizes)


@when("{event} during the second of a round's commits of {sizes}")
def _run_round_with(context, event, sizes):
    context.sizes = [
        int(each) for each in sizes.replace(" and ", ", ").split(", ")
    ]
    # What was written and ordered, by job, in the order of time.
    context.steps = []
    commit = context.store.commit
    events = [event]

    def record_commit(transaction):
        keys = [write.key for write in transaction.writes]
        if events and len(context.steps) == context.sizes[0] + 1:
            events.clear()
            try:
                _EVENTS[event](context, keys)
            except _CommitFailed:
                return result.Failure(
                    peridotsill_platform.exceptions.TableUnavailable("away")
                )
        outcome = commit(transaction)
        if isinstance(outcome, result.Success):
            jobs = [
                _records.parse_progress_key(key)[1]
                for key in keys
                if key != _start_checkpoints.KEY
            ]
            context.steps.append(("commit", jobs))
        return outcome

    context.store.commit = record_commit
    for link in context.links.values():
        link.order_start = lambda order: context.steps.append(
            ("start", [order.name.job])
        )
    context.controller._run_round()


def _ordered_jobs(context):
    return [
        job for kind, jobs in context.steps if kind == "start" for job in jobs
    ]


@then("each start was ordered after its record was written")
def _recorded_before(context):
    recorded = set()
    for kind, jobs in context.steps:
        if kind == "commit":
            recorded.update(jobs)
        else:
            assert recorded.issuperset(jobs), (jobs, context.steps)


@then("{count:d} starts were ordered, each once")
def _ordered_once(context, count):
    ordered = _ordered_jobs(context)
    assert len(ordered) == len(set(ordered)) == count, sorted(ordered)


@then("{count:d} tasks wait, as their rows say")
def _tasks_wait(context, count):
    ordered = set(_ordered_jobs(context))
    waiting = 0
    for job in context.controller._job_store.open_jobs:
        key = _records.row_key(_records.PROGRESS, *job.key)
        value, _ = context.store.rows.get(key, ({"tasks": {}}, 0))
        for task in _records.parse_tasks(value).values():
            waits = task.phase is scheduler.TaskPhase.WAITING
            assert waits == (job.spec.id not in ordered), (job.key, task)
            waiting += waits
    assert waiting == count, waiting


@then("the starts of a commit were ordered before the next commit began")
def _ordered_at_once(context):
    ordered = _ordered_jobs(context)
    assert len(ordered) == len(set(ordered)) == sum(context.sizes), ordered
    kinds = [kind for kind, _ in context.steps]
    expected = []
    for size in context.sizes:
        expected += ["commit", *["start"] * size]
    assert kinds == expected, kinds


@when("{count:d} lines are logged, and the calls are counted")
def _log_lines(context, count):
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.stack.callback(eliot.remove_destination, context.lines.append)
    _logs.log("first")
    with _counted_calls() as context.calls:
        for number in range(count):
            _logs.log("task:start", job="aa", run=number, reason="")
    context.line_count = count


@then("each line took at most {count:d} calls")
def _few_calls(context, count):
    # The end of the counting is a call, too.
    taken = (sum(context.calls.values()) - 2) / context.line_count
    assert taken <= count, f"{taken} calls: {context.calls}"


@then("each line has its type, its time, a task of its own and its level")
def _line_fields(context):
    # Eliot also hands over what was logged before it had a destination.
    types = [line.get("message_type") for line in context.lines]
    lines = context.lines[types.index("first") + 1 :]
    assert len(lines) == context.line_count, lines
    for number, line in enumerate(lines):
        own = {"job": "aa", "run": number, "reason": ""}
        assert line.items() >= own.items(), line
        assert line["message_type"] == "task:start", line
        assert abs(line["timestamp"] - time.time()) < 60, line
        assert line["task_level"] == [1], line
        assert set(line) == {
            *own,
            "message_type",
            "timestamp",
            "task_uuid",
            "task_level",
        }, line
    tasks = {line["task_uuid"] for line in lines}
    assert len(tasks) == len(lines), tasks
    assert all(len(task) == 36 for task in tasks), tasks


@when("the same is logged by eliot and by the project {where}")
def _log_both(context, where):
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.stack.callback(eliot.remove_destination, context.lines.append)
    action = contextlib.nullcontext()
    if where == "within an action":
        action = eliot.start_action(action_type="x")
    with action:
        eliot.log_message(message_type="odd", job="aa", run=1)
        _logs.log("odd", job="aa", run=1)
    context.lines = [
        line for line in context.lines if line.get("message_type") == "odd"
    ]


@then("both lines have the same fields in the same order")
def _same_form(context):
    by_eliot, own = context.lines
    assert list(by_eliot) == list(own), (by_eliot, own)
    for name in by_eliot:
        assert type(by_eliot[name]) is type(own[name]), name
    assert uuid.UUID(own["task_uuid"]).version == 4, own
    assert own["timestamp"] >= by_eliot["timestamp"], (by_eliot, own)


@then("both are {relation}")
def _related(context, relation):
    by_eliot, own = context.lines
    same_task = by_eliot["task_uuid"] == own["task_uuid"]
    levels = [by_eliot["task_level"], own["task_level"]]
    if relation == "tasks of their own":
        assert not same_task and levels == [[1], [1]], context.lines
    else:
        assert same_task and levels == [[2], [3]], context.lines


class _Text(str):
    """A string of a class of its own."""


_LEAVES = (
    *_NUMBERS,
    None,
    "x",
    "\ud800",
    "é",
    1 << 70,
    b"x",
    _Text("x"),
    scheduler.JobState.QUEUED,
    scheduler.Resources(cores=1),
    datetime.datetime(2026, 12, 5),
)
_KEYS = ("a", "b", _Text("c"), 1, scheduler.JobState.QUEUED)


def _draw_value(draw, depth=0):
    kind = draw.choice(("leaf", "dict", "list", "tuple", "set"))
    if kind == "leaf" or depth > 3:
        # Mostly what has a text, or no more than errors are compared.
        return draw.choice(_LEAVES[:10] if draw.random() < 0.8 else _LEAVES)
    if kind == "set":
        return frozenset(draw.sample(("x", 1, 2.5, None), draw.randrange(3)))
    items = [_draw_value(draw, depth + 1) for _ in range(draw.randrange(4))]
    if kind == "dict":
        names = _KEYS[:2] if draw.random() < 0.9 else _KEYS
        return {draw.choice(names): item for item in items}
    return items if kind == "list" else tuple(items)


@when("{count:d} values are drawn, with objects, keys and numbers of any kind")
def _draw_values(context, count):
    draw = random.Random(390)
    context.values = [_draw_value(draw) for _ in range(count)]


def _text_or_error(encode, value):
    try:
        return encode(value)
    except Exception as error:
        return type(error)


@then("each has the same JSON text as by the converter, or the same error")
def _same_text(context):
    texts = set()
    for value in context.values:
        text = _text_or_error(peridotsill.encode, value)
        expected = _text_or_error(_codec._strict_converter.dumps, value)
        assert text == expected, (value, text, expected)
        texts.add(text)
    assert len(texts) > len(context.values) / 4, len(texts)


def _read_report(tasks):
    calls = _runners.runner_calls(stubs.runner_entry())
    call = calls.poll(
        fence=1,
        last_seen=0,
        lease_until_ms=None,
        wait_seconds=0.0,
        timeout_seconds=1.0,
    )
    running = [[task, 1, "", 100, 2.0] for task in tasks]
    answer = {"clock_ms": 5.0, "running": running, "ended": []}
    return call.read(result.Success(answer))


def _run_names(count):
    return [f"{number:016x}.0.0.{number}" for number in range(count)]


@given("a runner's report of {count:d} runs that was read before")
def _report_read_before(context, count):
    _runners._kept_task_name.cache_clear()
    context.before = _read_report(_run_names(count))


@when("it is read again with 1 run more, and the calls are counted")
def _read_report_again(context):
    count = len(context.before.running)
    with _counted_calls() as context.calls:
        context.after = _read_report(_run_names(count + 1))


@then("1 name was taken apart, and the runs are named as before")
def _named_as_before(context):
    count = context.calls[_runners._make_task_name.__code__]
    assert count == 1, count
    assert context.after.running[:-1] == context.before.running
    for run, text in zip(context.after.running, _run_names(11)):
        assert f"{run.name.job}.{run.name.task}" == text, run


@then(
    "at most {count:d} names are kept, and none of more than {length:d} "
    "characters"
)
def _names_bounded(context, count, length):
    kept = _runners._kept_task_name.cache_info()
    assert kept.maxsize == count, kept
    longer = "x" * (length + 1)
    for text in (longer, longer + ".0", "x" * length):
        name = _read_report([text]).running[0].name
        assert name.job == text.partition(".")[0], name
    assert _runners._kept_task_name.cache_info().currsize == 12


@given("a thread of calls that waits")
def _waiting_loop(context):
    context.errors = []
    context.loop = peridotsill.CallLoop(on_error=context.errors.append)
    context.stack.callback(context.loop.stop)


class _CountedSender:
    """Counts what is sent, and sends it."""

    def __init__(self, sender):
        self._sender = sender
        self.count = 0

    def send(self, data):
        self.count += 1
        return self._sender.send(data)

    def close(self):
        self._sender.close()


@when("{count:d} callbacks are queued before it runs again")
def _queue_callbacks(context, count):
    loop = context.loop
    context.sender = _CountedSender(loop._wakeup_sender)
    loop._wakeup_sender = context.sender
    context.count = count
    context.ran = []
    # As it is while the thread waits for a socket.
    loop._selecting = True
    for number in range(count):
        loop.run_soon(functools.partial(context.ran.append, number))
    loop.start()
    _wait_until(lambda: len(context.ran) == count, 5.0)


def _wait_until(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.001)


@then("it was woken up once, and all {count:d} have run in their order")
def _woken_once(context, count):
    assert context.ran == list(range(count)), context.ran
    assert context.sender.count == 1, context.sender.count


@when("{threads:d} threads queue {count:d} callbacks each, at drawn moments")
def _queue_from_threads(context, threads, count):
    context.ran = []
    context.waits = []
    context.expected = [list(range(count)) for _ in range(threads)]

    def run(thread, number, queued_at):
        context.ran.append((thread, number))
        context.waits.append(time.monotonic() - queued_at)

    def queue_callbacks(thread):
        draw = random.Random(thread)
        for number in range(count):
            context.loop.run_soon(
                functools.partial(run, thread, number, time.monotonic())
            )
            if draw.random() < 0.05:
                time.sleep(draw.random() * 0.002)

    context.loop.start()
    workers = [
        threading.Thread(target=queue_callbacks, args=(each,))
        for each in range(threads)
    ]
    switch_interval = sys.getswitchinterval()
    context.stack.callback(sys.setswitchinterval, switch_interval)
    # Threads then switch between almost any two steps.
    sys.setswitchinterval(1e-6)
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    _wait_until(lambda: len(context.ran) == threads * count, 5.0)


@then(
    "each has run within {seconds:d} s of its queueing, in the order of its "
    "thread"
)
def _all_ran(context, seconds):
    ran = [
        [number for thread, number in context.ran if thread == each]
        for each in range(len(context.expected))
    ]
    assert ran == context.expected, [len(each) for each in ran]
    assert max(context.waits) < seconds, max(context.waits)
    assert not context.errors, context.errors
