"""Steps on odd rows that other writers leave in the registry."""

import base64
import io
import json
import time

from behave import then
from behave import when
import eliot

from peridotsill_adapter import _documents
from peridotsill_adapter import _table
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _logs

_POOL = "trails"
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
