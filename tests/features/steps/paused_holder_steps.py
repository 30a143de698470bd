"""Steps on holders of the lease that are paused while another one begins."""

import signal
import time
import unittest.mock

from behave import given
from behave import then
from behave import when
from emulator import nodes
from emulator import stubs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _command_rows
from peridotsill_jobs import _job_store
from peridotsill_jobs import _lease
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _waves
from peridotsill_jobs import _write_fence
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_Phase = scheduler.TaskPhase


# Real nodes.


@given("{jobs:d} jobs of {tasks:d} long-lived tasks run")
def _lasting_jobs(context, jobs, tasks):
    step = {"count": tasks, "cpu": 3000, "long_lived": True, "may_miss": 1}
    context.lasting = [f"{number:016x}" for number in range(1, jobs + 1)]
    for job in context.lasting:
        reply = context.cluster.submit(
            context.cluster.nodes[0], "trails", job, [step]
        )
        assert reply is not None and reply.status == 200, reply
    nodes.wait_for(
        lambda: len(_lasting_runs(context)) == jobs * tasks, 5, "all tasks"
    )
    # So that the rows are written and the runners have reported.
    time.sleep(1.0)


def _lasting_runs(context):
    log = context.cluster.world.log
    return [run for job in context.lasting for run in log.starts_of(job)]


@when("the lease is handed over {count:d} times")
def _hand_over(context, count):
    for _ in range(count):
        leaving = context.cluster.scheduler()
        leaving.send(signal.SIGTERM)
        leaving.process.wait()
        leaving.start()
        nodes.wait_for(
            lambda leaving=leaving: (
                context.cluster.scheduler() not in (None, leaving)
            ),
            8,
            "another scheduler",
        )
        time.sleep(2.0)


@when("the scheduler is paused for {seconds:d} s, and the next one is killed")
def _pause(context, seconds):
    paused = context.cluster.scheduler()
    paused.send(signal.SIGSTOP)
    time.sleep(seconds)
    paused.send(signal.SIGCONT)
    time.sleep(1.5)
    following = context.cluster.scheduler()
    assert following is not paused
    following.kill()


@then("all the long-lived tasks keep their runs for {seconds:d} s")
def _keep_runs(context, seconds):
    time.sleep(seconds)
    ended = [
        (each.task, each.run, each.outcome)
        for each in _lasting_runs(context)
        if each.outcome or each.run > 1
    ]
    assert not ended, (len(ended), ended[:4])


# One process.


class _Holder:
    """A node with the lease and the jobs, as one scheduler has them."""

    def __init__(self, context, node):
        self.lease = _lease.Lease(
            node=node, table=context.memory, address=f"{node}:1"
        )
        # Another node's row is old enough to be taken over at once.
        with unittest.mock.patch.object(
            self.lease, "_takeover_delay_seconds", lambda row: 0.0
        ):
            assert self.lease.try_acquire()
        self.store = _job_store.JobStore(
            table=context.memory,
            catalog=unittest.mock.Mock(
                queue=unittest.mock.Mock(return_value=_QUEUE)
            ),
            lease=self.lease,
            counters=peridotsill.Counters(),
        )
        assert self.store.load() is not None
        context.stack.callback(self.store.close)
        self.job = self.store.get(("q", "j"))

    def lose_run(self):
        """Record that the run is lost, as after its lease ran out."""
        self.job.tasks[0].phase = _Phase.WAITING
        self.store.mark_dirty(self.job)


def _task_in_row(context):
    (row,) = context.memory.read(
        (_records.row_key(_records.PROGRESS, "q", "j"),)
    ).unwrap()
    return _records.parse_tasks(row.value)["0.0.0"]


@given("a holder whose job runs on a runner")
def _holder(context):
    context.memory = stubs.MemoryTable()
    step = scheduler.Step(index=0, task_count=1, long_lived=True)
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    submission = _records.Submission(spec=spec, queue=_QUEUE, arrived_ms=1.0)
    context.memory.rows[_records.row_key(_records.JOBS, "q", "j")] = (
        _records.submission_value(submission),
        1,
    )
    context.earlier = _Holder(context, "earlier")
    task = context.earlier.job.tasks[0]
    task.run, task.runner, task.lifetime = 1, "i-1", 1
    task.phase = _Phase.RUNNING
    context.earlier.store.mark_dirty(context.earlier.job)
    assert context.earlier.store.commit() == frozenset()


@given("the holder is about to write that the run is lost")
def _about_to_write(context):
    context.earlier.lose_run()


@given("the holder has written that the run is lost")
def _has_written(context):
    """Send the write, which the table carries out later."""
    context.earlier.lose_run()
    context.sent = []
    commit = context.memory.commit

    def lose(transaction):
        context.sent.append(transaction)
        context.earlier.lease.mark_lost("paused")
        return result.Failure(
            peridotsill_platform.exceptions.OutcomeUnknown("no answer")
        )

    context.memory.commit = lose
    assert context.earlier.store.commit() is None
    context.memory.commit = commit


@when("the holder writes that the run is lost")
def _writes(context):
    context.earlier.lose_run()
    assert context.earlier.store.commit() == frozenset()


@when("another node takes the lease and reads the rows")
def _take_over(context):
    context.next = _Holder(context, "next")


@when("the earlier holder's write is sent")
def _send(context):
    assert context.earlier.store.commit() is None


@when("the earlier holder's write is carried out late")
def _carry_out(context):
    (transaction,) = context.sent
    assert isinstance(context.memory.commit(transaction), result.Failure)


@then("the row still has the run")
def _row_has_run(context):
    assert _task_in_row(context).phase is _Phase.RUNNING


@then("the earlier holder knows that it is none any more")
def _knows(context):
    assert context.earlier.lease.lost
    assert not context.next.lease.lost


@then("the earlier holder has written nothing")
def _nothing_written(context):
    context.next.job.tasks[0].checkpoint = "c"
    context.next.store.mark_dirty(context.next.job)
    assert context.next.store.commit() == frozenset()


@then("the next holder has read that the run is lost")
def _has_read(context):
    assert context.next.job.tasks[0].phase is _Phase.WAITING


# The clock after a pause.


@given('the leases on runner "i-1" run out within its own lease and a second')
def _short_leases(context):
    worker = context.controller._workers.get("i-1", 1)
    worker.link.reached = True
    worker.link.leases_expired = False


def _pause_process(context, seconds):
    for name in ("monotonic_seconds", "boottime_seconds"):
        now = getattr(_clock, name)() + seconds
        context.stack.enter_context(
            unittest.mock.patch.object(_clock, name, lambda now=now: now)
        )


@when("the process is paused until both have run out, and a round is run")
def _round_after_pause(context):
    _pause_process(context, 4.0)
    context.controller._workers.get("i-1", 1).link.leases_expired = True
    assert not context.controller._parts.lease.held
    context.controller._run_round()


@then("run 1 is not taken as lost")
def _not_lost(context):
    assert context.task.active, context.task
    assert context.controller._workers.get("i-1", 1).placed


@when("the lease is renewed, and a round is run")
def _renew(context):
    assert context.controller._parts.lease.renew()
    context.controller._run_round()


@then("run 1 is taken as lost")
def _lost(context):
    assert not context.controller._workers.get("i-1", 1).placed
    assert context.task.run != 1 or not context.task.active, context.task


# The fence.


def _make_fence(context, epoch):
    lease = unittest.mock.Mock(epoch=epoch, lost=False)
    lease.mark_lost.side_effect = lambda reason: setattr(lease, "lost", True)
    return _write_fence.WriteFence(table=context.memory, lease=lease), lease


@given("the fence was claimed under epoch {epoch:d}")
def _claimed(context, epoch):
    context.memory = stubs.MemoryTable()
    context.earlier_fence, _ = _make_fence(context, epoch)
    assert context.earlier_fence.claim()


@when("a holder of epoch {epoch:d} claims it")
def _claim(context, epoch):
    context.fence, context.fence_lease = _make_fence(context, epoch)
    context.claimed = context.fence.claim()


@when("a holder of epoch {epoch:d} claims it, and {event}")
def _claim_with(context, epoch, event):
    commit = context.memory.commit
    late = []

    def failing(transaction):
        context.memory.commit = commit
        if "lost" in event:
            commit(transaction)
        else:
            late.append(transaction)
        return result.Failure(
            peridotsill_platform.exceptions.OutcomeUnknown("no answer")
        )

    context.fence, context.fence_lease = _make_fence(context, epoch)
    if "another process" in event:
        context.earlier_fence, _ = _make_fence(context, epoch)
        assert context.earlier_fence.claim()
    if "first attempt" in event:
        context.memory.commit = failing
        assert not context.fence.claim()
    if late:
        context.memory.commit(late[0])
    assert context.fence.claim()
    if "damaged" in event:
        context.memory.rows[_write_fence.KEY] = ({"epoch": "x"}, 99)
        context.fence.handle_conflict((_write_fence.KEY,))


def _write_with(context, fence):
    write = peridotsill_platform.Write(key="progress/scheduler/x", value={})
    return context.memory.commit(
        peridotsill_platform.Transaction(checks=fence.checks, writes=(write,))
    )


@then("the holder of epoch 5 can write, and that of epoch 4 can't")
def _only_later(context):
    assert context.fence.checks and context.earlier_fence.checks
    assert isinstance(_write_with(context, context.fence), result.Success)
    assert isinstance(
        _write_with(context, context.earlier_fence), result.Failure
    )
    assert not context.fence_lease.lost


@then("that holder has lost the lease")
def _fence_lost(context):
    assert not context.claimed and context.fence_lease.lost
    assert not context.fence.checks


# Waves.


def _make_command_row(context, epoch):
    lease = unittest.mock.Mock(
        epoch=epoch,
        predecessor_epoch=epoch - 1,
        lost=False,
        seconds_since_last_holder=1.6,
        inherited_waits=None,
        commands_recorded_since=1,
    )
    lease.mark_lost.side_effect = lambda reason: setattr(lease, "lost", True)
    row = _command_rows.CommandRow(
        table=context.memory, lease=lease, handover_seconds=3.0
    )
    assert row.claim()
    return row, lease


@given("a wave of one VM that its holder has begun to maintain")
def _begun_wave(context):
    context.memory = stubs.MemoryTable()
    context.command_row, context.wave_lease = _make_command_row(context, 1)
    order = _ports.WaveOrder(
        name="1", number=1, vms=("a",), deadline_seconds=9.0, max_parallel=1
    )
    context.wave = _waves.Wave(order=order, seen_at=0.0)
    context.wave_rows = _waves.WaveRows(table=context.memory)
    begun = {context.wave: {"a"}}
    outcome = context.command_row.record(
        frozenset({"a"}), context.wave_rows.changes(begun)
    )
    assert context.wave_rows.apply_outcome(begun, outcome)


@when("another holder claims the row of commands")
def _claim_commands(context):
    context.rows_before = None
    _make_command_row(context, 2)
    context.rows_before = dict(context.memory.rows)


@when("the earlier holder publishes the wave's state and its progress")
def _publish_late(context):
    context.wave.mark_answered("a", 0.0)
    write = peridotsill_platform.Write(
        key="status//wave/1", value={"state": "running"}
    )
    change = _waves.RowChange(check=None, write=write)
    context.outcomes = [
        context.command_row.write_others((change,)),
        context.command_row.write_others(
            context.wave_rows.changes({context.wave: frozenset()})
        ),
    ]


@then("neither was written, and the earlier holder has lost the lease")
def _not_published(context):
    for outcome in context.outcomes:
        assert isinstance(outcome, result.Failure), outcome
    assert context.memory.rows == context.rows_before
    assert context.wave_lease.lost
