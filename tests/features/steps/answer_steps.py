"""Steps for odd, lost and missing answers, and for what work costs."""

import socket
import sys
import threading
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import stubs
import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _holder_check
from peridotsill_jobs import _job_store
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(name="q", host="h", prefix="/", pool="a")


@given('job "{name}" belongs to pool "{pool}"')
def _move_job(context, name, pool):
    jobs = context.open_jobs["a"]
    moved = [each for each in jobs if each.spec.id == name]
    context.open_jobs["a"] = [each for each in jobs if each not in moved]
    context.open_jobs.setdefault(pool, []).extend(moved)


@when('the holder at "{address}" is asked for its state')
def _ask_holder(context, address):
    address = address.encode().decode("unicode_escape")
    context.state = _holder_check.ask_holder(address, 3)


@then("it counts as silent")
def _check_silent(context):
    assert context.state is None, context.state


def _answer_once(listener, status):
    peer, _ = listener.accept()
    with peer:
        peer.recv(65536)
        peer.sendall(
            f"HTTP/1.1 {status}\r\nConnection: Upgrade\r\n"
            "Upgrade: other\r\n\r\n".encode()
        )


@when('a peer answers a call with "{status}"')
def _call_peer(context, status):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(
            target=_answer_once, args=(listener, status), daemon=True
        )
        thread.start()
        client = peridotsill.JsonClient(
            base=f"http://127.0.0.1:{listener.getsockname()[1]}"
        )
        context.error = None
        try:
            client.call("GET", "/x")
        except Exception as error:
            context.error = error
        finally:
            client.close()
        thread.join()


@then("the call says that the peer is unavailable")
def _check_unavailable(context):
    kind = peridotsill.exceptions.PeerUnavailable
    assert isinstance(context.error, kind), repr(context.error)


def _count_calls(occurrences):
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event == "call"

    steps = tuple(scheduler.Step(index=i, task_count=3) for i in range(2))
    spec = scheduler.JobSpec(
        id="x",
        queue="q",
        payload="",
        steps=steps,
        occurrences=occurrences,
        period_ms=1000.0,
    )
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0)
    sys.setprofile(note)
    try:
        scheduler.open_occurrences(job, 1e9)
    finally:
        sys.setprofile(None)
    assert len(job.tasks) == 6 * occurrences
    return count


@when("jobs of {first:d} and of {second:d} due occurrences are created")
def _create_jobs(context, first, second):
    context.calls = _count_calls(first), _count_calls(second)


@then(
    "the second one took at most {factor:d} times as many calls as the first"
)
def _check_calls(context, factor):
    first, second = context.calls
    assert second <= factor * first, context.calls


class _TableWithLostAnswer(stubs.MemoryTable):
    """Loses the answer of its first commit, and counts the reads."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def commit(self, transaction):
        is_first = not self.committed
        outcome = super().commit(transaction)
        if is_first:
            return result.Failure(
                peridotsill_platform.exceptions.OutcomeUnknown("lost")
            )
        return outcome

    def read(self, keys):
        self.reads += 1
        return super().read(keys)


@when("a commit of {count:d} jobs is done, but its answer is lost")
def _commit_jobs(context, count):
    context.review_table = _TableWithLostAnswer()
    store = _job_store.JobStore(
        table=context.review_table,
        catalog=unittest.mock.Mock(),
        lease=unittest.mock.Mock(epoch=1, lost=False),
        counters=peridotsill.Counters(),
    )
    step = scheduler.Step(index=0, task_count=1)
    for number in range(count):
        spec = scheduler.JobSpec(
            id=f"j{number}", queue="q", payload="", steps=(step,)
        )
        job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0)
        scheduler.open_occurrences(job, 0.0)
        store.mark_dirty(job)
    assert store.commit() == frozenset()


@then("the rows were read in at most {count:d} calls")
def _check_reads(context, count):
    assert context.review_table.reads <= count, context.review_table.reads


def _make_row(context, epoch, silent_seconds):
    return _command_rows.CommandRow(
        table=context.review_table,
        lease=unittest.mock.Mock(
            epoch=epoch,
            predecessor_epoch=epoch - 1,
            seconds_since_last_holder=silent_seconds,
            inherited_waits=None,
            commands_recorded_since=1,
        ),
        handover_seconds=3.0,
    )


@given("a holder of epoch 1 that claimed the commands and sent none")
def _claim_first(context):
    context.review_table = stubs.MemoryTable()
    assert _make_row(context, 1, 0.0).claim()


@given("one of epoch 2 that never learned that it held the lease")
def _make_second(context):
    _make_row(context, 2, 1.6)


@when("a third one takes over 0.7 s after the second one's takeover")
def _take_over(context):
    context.row = _make_row(context, 3, 0.7)
    assert context.row.claim()


@then("it may command any VM at once")
def _check_may_command(context):
    now = _clock.monotonic_seconds()
    assert context.row.may_command("a", now), context.row._rest_until


def _serve(listener):
    peer, _ = listener.accept()
    with peer:
        number = 0
        while peer.recv(65536):
            number += 1
            peer.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            time.sleep(0.05)
            peer.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number
            )


@when(
    "a peer answers each of 3 calls with its number, after an interim answer"
)
def _call_with_interim_answers(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=_serve, args=(listener,), daemon=True).start()
        client = peridotsill.JsonClient(
            base=f"http://127.0.0.1:{listener.getsockname()[1]}"
        )
        context.answers = [client.call("GET", f"/{n}") for n in range(3)]
        client.close()


@then("each call has its own answer")
def _check_answers(context):
    assert context.answers == [1, 2, 3], context.answers


@given("the table gives no answer any more")
def _stop_answers(context):
    context.asked = []

    def commit(transaction):
        context.asked.append([write.key for write in transaction.writes])
        return result.Failure(
            peridotsill_platform.exceptions.OutcomeUnknown("silent")
        )

    context.store.commit = commit


@when("the fleet decides again")
def _decide_again(context):
    context.asked.clear()
    context.execute_steps("When the fleet decides")


@then("the table was asked once in the last decision")
def _check_asked_once(context):
    assert len(context.asked) == 1, context.asked
