"""Steps for lists that the platform cuts off at their limit."""

import time
import unittest.mock
import urllib.parse

from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import nodes

from peridotsill_adapter import _table
from peridotsill_jobs import _link_events
from peridotsill_jobs import _ports


@when(
    "{count:d} jobs of {tasks:d} small tasks run, which all end {seconds:d} s "
    "later"
)
def _submit_small(context, count, tasks, seconds):
    step = {"count": tasks, "cpu": 50, "mem_mb": 16, "estimated_ms": 1000}
    context.jobs = [f"m{number}" for number in range(count)]
    ends_at = time.monotonic() + seconds
    for name in context.jobs:
        reply = context.cluster.submit(
            context.cluster.nodes[0],
            "trails",
            nodes.job_id(name),
            [step],
            ends_at=ends_at,
        )
        assert reply is not None and reply.status == 200, reply
    world = context.cluster.world
    nodes.wait_for(
        lambda: len(world.log.intervals) == count * tasks,
        seconds,
        "all starts",
    )
    assert max(len(each.runs) for each in world.runners.values()) > 500


@then("each of their tasks was started once")
def _started_once(context):
    runs = context.cluster.world.log.intervals
    tasks = [each.task for each in runs]
    again = [
        (each.task, each.run, each.outcome) for each in runs if each.run > 1
    ]
    assert len(tasks) == len(set(tasks)), (len(again), again[:5])


@given("the last order about run 1 was answered, and it is {run}")
def _answered(context, run):
    worker = context.controller._workers.get("i-1", 1)
    placed = worker.placed[(base._JOB, "0.0.0")]
    placed.last_answered_at = time.monotonic()
    if run == "given up elsewhere":
        worker.link.silent_seconds = 3.0
        context.controller._runs.requeue_lost(
            context.controller._workers.pop_speculative(), "silent"
        )
        worker.link.silent_seconds = 0.0
        assert worker.abandoned


@when('runner "i-1" answers with a list of ends that is cut off')
def _answer_cut(context):
    context.controller._handle_event(
        _link_events.ReportReceived(
            runner="i-1",
            lifetime=1,
            requested_at=time.monotonic() + 60,
            report=_ports.RunnerReport(
                lifetime=1,
                clock_ms=1000.0,
                running=(),
                ended=(),
                lists_all_ends=False,
            ),
        )
    )


class _PagedStore:
    """A store with a row in each of many partitions.

    Its lists of partitions have pages of 1,000 names.
    """

    def __init__(self, count, says_whether_more_follow):
        self._partitions = [f"p{number:05}" for number in range(count)]
        self._says_whether_more_follow = says_whether_more_follow

    def call(self, method, path, body=None, **_):
        url = urllib.parse.urlparse(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/rows-get":
            row = {
                "table": "t",
                "part": query["part"],
                "key": "k",
                "value": "e30=",
                "ver": 1,
            }
            return {"rows": [row], "has_more": False, "ver": 1}
        rest = [
            each for each in self._partitions if each > query.get("after", "")
        ]
        answer = {"parts": rest[:1000], "ver": 1}
        if self._says_whether_more_follow:
            answer["has_more"] = len(rest) > 1000
        return answer


@given("a store with {count:d} partitions whose pages {how}")
def _paged_store(context, count, how):
    context.paged_table = _table.RowTable(
        client=_PagedStore(count, how == "say whether more follow"),
        timeout_seconds=1.0,
        unreadable_rows=unittest.mock.Mock(),
    )


@when("the table is scanned")
def _scan(context):
    context.scan = context.paged_table.scan(("t/",)).unwrap()


@then("it has the rows of {count:d} partitions")
def _check_scan(context, count):
    assert len({row.key for row in context.scan.rows}) == count
