"""Steps on odd rows that other writers leave in the registry."""

import base64
import io
import json
import threading
import time
import types

from behave import given
from behave import then
from behave import when
import eliot
from emulator import nodes
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_adapter import _documents
from peridotsill_adapter import _table
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _advice
from peridotsill_jobs import _feeds
from peridotsill_jobs import _following
from peridotsill_jobs import _logs
import peridotsill_scheduler

_POOL = "trails"
_JOB = "odd"
_ERRORS = (
    RecursionError("too deep"),
    OverflowError("too large"),
    KeyError("missing"),
    AttributeError("another type"),
    MemoryError("too much"),
)
_NESTED = "[" * 900 + "]" * 900
_TOO_DEEP = "[" * 5000 + "]" * 5000
# The JSON texts of an entry's fields. Nothing listens at its address.
_FIELDS = {
    "service": '"trails"',
    "address": '"127.0.0.1:9"',
    "zone": '"z1"',
    "version": '"v1"',
    "slots": "8",
    "state": '"ready"',
    "cold_left_ms": "0",
    "capacity": '{"cpu": 8000, "mem_mb": 1024, "gpu": 0}',
    "labels": '["a", "r-0"]',
    "seq": "1",
    "born": "1700000000000",
}
# By a name for the runner's id, the fields that differ.
_ODD_FIELDS = {
    "born-1e300": {"born": "1e300"},
    "born-beyond-64-bits": {"born": "18446744073709551617"},
    "born-far-off": {"born": "9223372036854775807"},
    "born-negative": {"born": "-1"},
    "born-nan": {"born": "NaN"},
    "born-infinite": {"born": "1e400"},
    "cpu-1e308": {"capacity": '{"cpu": 1e308}'},
    "cpu-infinite": {"capacity": '{"cpu": Infinity}'},
    "cpu-negative": {"capacity": '{"cpu": -8000}'},
    "mem-1e308": {"capacity": '{"cpu": 8000, "mem_mb": 1e308}'},
    "mem-negative": {"capacity": '{"cpu": 8000, "mem_mb": -1}'},
    "gpu-1e300": {"capacity": '{"cpu": 8000, "gpu": 1e300}'},
    "gpu-negative": {"capacity": '{"cpu": 8000, "gpu": -1}'},
    "capacity-nested": {"capacity": _NESTED},
    "cpu-nested": {"capacity": f'{{"cpu": {_NESTED}}}'},
    "any-too-deep": {"any": _TOO_DEEP},
    "state-nested": {"state": _NESTED},
    "port-too-high": {"address": '"127.0.0.1:99999"'},
    "port-negative": {"address": '"127.0.0.1:-1"'},
    "port-0": {"address": '"127.0.0.1:0"'},
    "port-missing": {"address": '"127.0.0.1"'},
    "port-no-number": {"address": '"127.0.0.1:8_0"'},
    "host-missing": {"address": '":8080"'},
    "host-name": {"address": '"runner.example:8080"'},
    "host-other-family": {"address": '"[::1]:8080"'},
    "address-lines": {"address": '"127.0.0.1:80\\r\\nX-A: b"'},
    "id\r\nX-A: b": {},
}


def _entry(**fields):
    texts = {**_FIELDS, **fields}
    members = [f'"{name}": {text}' for name, text in texts.items()]
    return ("{" + ", ".join(members) + "}").encode()


class _Unprintable:
    def __str__(self):
        raise RecursionError("too deep")


_ODD_VALUES = {
    "a number beyond 64 bits": 1 << 70,
    "a very deeply nested list": json.loads(_NESTED),
    "a key that is no text": {1: 2},
    "a value that can't be printed": _Unprintable(),
}


def _capture_log(context):
    lines = []
    eliot.add_destinations(lines.append)
    context.stack.callback(eliot.remove_destination, lines.append)
    return lines


@when("the log gets a line with {value} between two others")
def _log_odd_line(context, value):
    stream = io.BytesIO()
    writer = _logs.LogWriter(stream=stream)
    writer.start()
    writer.accept({"message_type": "first"})
    writer.accept(
        {"message_type": "odd", "runner": "i-1", "v": _ODD_VALUES[value]}
    )
    # The last line comes after the others were written, or not.
    time.sleep(0.3)
    writer.accept({"message_type": "last"})
    time.sleep(0.3)
    context.lines = [
        json.loads(line) for line in stream.getvalue().splitlines()
    ]
    writer.stop()


@then("all three lines are written, and the odd one names what it left out")
def _all_lines_written(context):
    types_written = [line["message_type"] for line in context.lines]
    assert types_written == ["first", "odd", "last"], context.lines
    odd = context.lines[1]
    assert odd["runner"] == "i-1" and "v" not in odd, odd
    assert list(odd["left_out"]) == ["v"] and odd["left_out"]["v"], odd


class _StoreClient:
    """Answers every read with the rows that it was given."""

    def __init__(self, rows):
        self.rows = rows

    def call(self, *_, **__):
        return {"rows": self.rows, "ver": 1, "has_more": False}


def _store_row(name, content, version=1):
    return {
        "table": "servers",
        "part": "",
        "key": name,
        "value": base64.b64encode(content).decode(),
        "ver": version,
    }


def _read_registry(context, *, names, versions):
    """Read entries of each version, with one in order before and after them.

    ``named`` gets the ids of the runners that each reading names.
    """
    context.lines = _capture_log(context)
    odd = {name: _entry(**_ODD_FIELDS[name]) for name in names}
    client = _StoreClient([])
    unreadable_rows = _unreadable.UnreadableRows()
    table = _table.RowTable(
        client=client, timeout_seconds=1.0, unreadable_rows=unreadable_rows
    )
    documents = _documents.PlatformDocuments(unreadable_rows=unreadable_rows)
    context.odd_names = names
    context.named = []
    for version in versions:
        client.rows = [
            _store_row("i-first", _entry()),
            *(_store_row(name, odd[name], version) for name in odd),
            _store_row("i-last", _entry()),
        ]
        rows = table.scan(("servers//",)).unwrap().rows
        entries = [documents.runner(row) for row in rows]
        context.named.append([each.id for each in entries if each])


@when("rows that can't be read are read {times:d} times in two versions")
def _read_unreadable(context, times):
    names = ("any-too-deep", "state-nested", "capacity-nested")
    _read_registry(context, names=names, versions=[1] * times + [2] * times)


@then("each odd row is logged once for each of its versions")
def _logged_per_version(context):
    logged = [
        (line["key"], line["version"], bool(line["problems"]))
        for line in context.lines
        if line["message_type"] == "row:unreadable"
    ]
    wanted = [
        (f"servers//{name}", version, True)
        for version in (1, 2)
        for name in context.odd_names
    ]
    assert sorted(logged) == sorted(wanted), logged


@when("the registry has an entry of each odd kind between two in order")
def _read_odd_entries(context):
    _read_registry(context, names=tuple(_ODD_FIELDS), versions=(1, 1, 2))


@then("only the two in order name runners")
def _two_named(context):
    for named in context.named:
        assert named == ["i-first", "i-last"], sorted(
            set(named) - {"i-first", "i-last"}
        )


class _FailingFields(dict):
    """A row's value, every use of which raises an error."""

    def __init__(self, error):
        super().__init__()
        self._error = error

    def get(self, *_):
        """Raise the error."""
        raise self._error


_DECODERS = {
    "a runner": ("runner", "servers//i-1"),
    "a wave": ("wave", "op//wave/1"),
    "configuration": ("config", "op//config"),
}


@when("decoding a row of {kind} ends with each of several errors")
def _decode_failing(context, kind):
    context.lines = _capture_log(context)
    documents = _documents.PlatformDocuments(
        unreadable_rows=_unreadable.UnreadableRows()
    )
    method, key = _DECODERS[kind]
    context.decoded = []
    for version, error in enumerate(_ERRORS):
        row = peridotsill.Row(
            key=key, value=_FailingFields(error), version=version
        )
        context.decoded.append(getattr(documents, method)(row))


@then("the row is passed over and logged each time")
def _passed_over(context):
    assert context.decoded == [None] * len(_ERRORS), context.decoded
    problems = [
        line["problems"]
        for line in context.lines
        if line["message_type"] == "row:unreadable"
    ]
    assert len(problems) == len(_ERRORS), problems
    for error, text in zip(_ERRORS, problems):
        assert type(error).__name__ in text, text


class _FailsAtFirst:
    """A function that raises an error at its first call."""

    def __init__(self, answer):
        self._answer = answer
        self.call_count = 0

    def __call__(self, *_, **__):
        self.call_count += 1
        if self.call_count == 1:
            raise RecursionError("too deep")
        return self._answer


def _follow_feed(context, kind, posted):
    """Start the thread of a feed of the scheduler; it posts to a list."""
    scan = peridotsill.Scan(rows=(), revision=1)
    ports = types.SimpleNamespace(
        keys=types.SimpleNamespace(registry="servers"),
        table=types.SimpleNamespace(scan=lambda _: result.Success(scan)),
        documents=types.SimpleNamespace(runner=lambda row: None),
        vms=types.SimpleNamespace(list_vms=lambda: ()),
    )
    failing = _FailsAtFirst(())
    if kind is _feeds.VmListSnapshot:
        ports.vms.list_vms = failing
    else:
        ports.table.scan = _FailsAtFirst(result.Success(scan))
    feeds = _feeds.Feeds(
        ports=ports,
        post=lambda event: isinstance(event, kind) and posted.append(event),
    )
    context.stack.callback(feeds.stop)
    feeds.start_polling()


def _read_runners(context, posted):
    _follow_feed(context, _feeds.RegistrySnapshot, posted)


def _read_vms(context, posted):
    _follow_feed(context, _feeds.VmListSnapshot, posted)


def _read_changes(context, posted):
    changes = types.SimpleNamespace(rows=(), deleted=(), revision=2)
    failing = _FailsAtFirst(None)

    def apply(update):
        failing()
        posted.append(update)

    def watch(*_):
        time.sleep(0.05)
        return result.Success(changes)

    subscription = _following.Subscription(
        table=types.SimpleNamespace(watch=watch),
        name="op",
        prefix="op//",
        wait_seconds=0.1,
        on_update=apply,
        on_failure=lambda error: None,
        revision=1,
    )
    stopped = threading.Event()
    context.stack.callback(stopped.set)
    threading.Thread(
        target=_following.follow, args=(subscription, stopped), daemon=True
    ).start()


def _read_answers(context, posted):
    advisor = types.SimpleNamespace(advise=_FailsAtFirst(()))
    queue = _advice.AdviceQueue(
        advisor=advisor,
        post=lambda outcome: outcome.answered and posted.append(outcome),
    )
    context.stack.callback(queue.stop)
    job = types.SimpleNamespace(
        final=False, spec=types.SimpleNamespace(id="j")
    )
    request = _advice.AdviceRequest(
        job=job,
        occurrence=0,
        step=0,
        runners=("i-1",),
        timing=peridotsill_scheduler.AdviceTiming(
            decision_seconds=0.1, vm_seconds=0.1, validity_seconds=1.0
        ),
    )
    for _ in range(2):
        queue.enqueue(request)


_FEEDS = {
    "the runners": _read_runners,
    "the VMs": _read_vms,
    "changes of rows": _read_changes,
    "answers": _read_answers,
}


@when("{feed} are read, with an unexpected error at first")
def _read_with_error(context, feed):
    context.lines = _capture_log(context)
    context.posted = []
    _FEEDS[feed](context, context.posted)


@then("the error is logged, and they are read again within {seconds:g} s")
def _read_again(context, seconds):
    nodes.wait_for(lambda: context.posted, seconds, "another read")
    assert any("too deep" in str(line) for line in context.lines), (
        context.lines
    )


@given("the registry holds an entry of each odd kind")
def _odd_entries_in_registry(context):
    for name, fields in _ODD_FIELDS.items():
        context.cluster.world.write_bytes("servers", name, _entry(**fields))


def _odd_keys():
    return {f"servers//{name}" for name in _ODD_FIELDS}


@then("no odd entry is listed as a runner, or logged twice by one node")
def _odd_entries_passed_over(context):
    listed = {
        line["runner"] for line in context.cluster.events("runner:listed")
    }
    assert not listed & set(_ODD_FIELDS), listed & set(_ODD_FIELDS)
    for node in context.cluster.nodes:
        keys = [
            line["key"]
            for line in node.lines()
            if line.get("message_type") == "row:unreadable"
        ]
        assert len(keys) == len(set(keys)), keys
    assert _odd_keys() <= {
        line["key"] for line in context.cluster.events("row:unreadable")
    }


@then("the scheduler still logs what it does")
def _scheduler_logs(context):
    scheduler = context.cluster.scheduler()
    before = len(scheduler.lines())
    reply = context.cluster.submit(
        scheduler, _POOL, "f" * 16, [{"count": 1, "cpu": 1000}]
    )
    assert reply.status == 200, reply.status

    def is_logged():
        return any(
            line.get("message_type") == "job:state" and line["job"] == "f" * 16
            for line in scheduler.lines()[before:]
        )

    nodes.wait_for(is_logged, 5.0, "a line about the job")


@then("no node's thread has failed")
def _no_failed_thread(context):
    for event in ("thread:failed", "scheduler:failed", "feed:failed"):
        assert not context.cluster.events(event), event


_CHANGES = {
    "a later start time": lambda row: {**row, "born": row["born"] + 1000},
    "an earlier start time": lambda row: {**row, "born": row["born"] - 1000},
    "no start time": lambda row: {
        name: value for name, value in row.items() if name != "born"
    },
    "another address": lambda row: {**row, "address": "127.0.0.1:9"},
}


@when(
    "{count:d} tasks of {seconds:g} s run, and the entry of a runner with "
    "some has {change}"
)
def _change_entry(context, count, seconds, change):
    if change == "another's address":
        _run_and_change(context, count, seconds, _name_other_address(context))
        return
    _run_and_change(context, count, seconds, _CHANGES[change])


def _name_other_address(context):
    world = context.cluster.world

    def change(row):
        addresses = {world.address_of(each) for each in world.runners.values()}
        return {**row, "address": min(addresses - {row["address"]})}

    return change


@when(
    "{count:d} tasks of {seconds:g} s run, and the entry of a runner with "
    "some turns odd"
)
def _turn_odd(context, count, seconds):
    _run_and_change(
        context, count, seconds, lambda row: {**row, "born": 1e300}
    )


def _run_and_change(context, count, seconds, change):
    cluster = context.cluster
    world = cluster.world
    reply = cluster.submit(
        cluster.nodes[0],
        _POOL,
        nodes.job_id(_JOB),
        [{"count": count, "cpu": 8000, "estimated_ms": seconds * 1000}],
        seconds=seconds,
    )
    assert reply.status == 200, reply.status
    context.jobs.append(_JOB)

    def runs():
        return world.log.starts_of(nodes.job_id(_JOB))

    nodes.wait_for(lambda: len(runs()) == count, 10.0, "all tasks running")
    context.odd_runner = runs()[0].runner
    # The refresh of the registry writes this row from now on.
    row = change(context.odd_runner.row())
    context.odd_runner.row = lambda: row
    world.write("servers", context.odd_runner.id, row)
    # The scheduler reads the registry three times meanwhile.
    time.sleep(1.2)
    context.odd_since = time.monotonic()


@then("nothing was started on that runner since")
def _none_started(context):
    started = [
        each.task
        for each in context.cluster.world.log.intervals
        if each.runner is context.odd_runner and each.began > context.odd_since
    ]
    assert not started, started


@when("jobs with numbers beyond 64 bits are submitted")
def _submit_large_numbers(context):
    context.statuses = {}
    step = {"count": 1, "cpu": 1000}
    documents = {
        "times": {"steps": [step], "times": 1e300},
        "first_run_ms": {"steps": [step], "first_run_ms": 1e300},
        "may_miss": {"steps": [{**step, "may_miss": 1e300}]},
        "count": {"steps": [{**step, "count": 1e300}]},
        "max_per_server": {"steps": [{**step, "max_per_server": -1e300}]},
        "cpu": {"steps": [{**step, "cpu": 1e300}]},
    }
    for number, (name, document) in enumerate(documents.items()):
        body = json.dumps({"spec": "", **document}).encode()
        reply = context.cluster.call(
            context.cluster.nodes[0], "POST", f"/{_POOL}/{number:016x}", body
        )
        context.statuses[name] = reply and reply.status


@then("each was answered with 400")
def _answered_400(context):
    assert set(context.statuses.values()) == {400}, context.statuses


@when("a step with {field} of {value} is submitted")
def _submit_odd_step(context, field, value):
    body = f'{{"spec": "", "steps": [{{"{field}": {value}}}]}}'.encode()
    documents = _documents.PlatformDocuments(
        unreadable_rows=_unreadable.UnreadableRows()
    )
    context.problems = ()
    try:
        documents.job(_POOL, _JOB, body)
    except peridotsill.exceptions.InvalidResource as error:
        context.problems = error.problems


@then("the submission is refused, and {field} is named")
def _refused_with_field(context, field):
    assert any(field in each for each in context.problems), context.problems


_VM = {"domain": "dc1", "rack": "rack0", "pool": _POOL}


def _write_row(context, key, value):
    client = peridotsill.JsonClient(
        base=f"http://{context.fleet.platform_address}", connections=2
    )
    writes = [{"key": key, "value": value}]
    client.call("POST", "/table/commit", {"checks": [], "writes": writes})


@when("another writer adds a VM without a port to the table")
def _add_vm_without_port(context):
    _write_row(
        context, "vms/odd", {"name": "odd", "address": "127.0.0.1", **_VM}
    )
    # Each node reads the table meanwhile.
    time.sleep(2.0)


@when('another writer adds service "{service}" to the table')
def _add_service(context, service):
    _write_row(
        context, f"services/{service}", {"name": service, "pool": _POOL}
    )


@then('every node serves "{path}" within {seconds:g} s')
def _served_everywhere(context, path, seconds):
    def is_served(node):
        return context.fleet.call(node, "GET", path).status == 200

    for node in context.fleet.nodes:
        nodes.wait_for(lambda: is_served(node), seconds, f"{node} serves")


@when('an operator adds a VM with the address "{address}"')
def _apply_vm(context, address):
    try:
        context.fleet.operator().apply(
            "vms", "odd", {"address": address, **_VM}
        )
        context.refusal = "accepted"
    except peridotsill.exceptions.PeridotsillError as error:
        context.refusal = str(error)


@then("it is refused, and the field is named")
def _refused(context):
    assert "address" in context.refusal, context.refusal
