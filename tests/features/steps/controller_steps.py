"""Steps on the scheduler's event loop; all else is replaced by stubs."""

import json
import pathlib
import queue
import tempfile
import threading
import time
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import stubs
import peridotsill
import returns.result

from peridotsill_jobs import _advice
from peridotsill_jobs import _commands
from peridotsill_jobs import _controller
from peridotsill_jobs import _feeds
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _fleet
from peridotsill_jobs import _job_store
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _pending
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _settings
from peridotsill_jobs import _submissions
import peridotsill_platform
import peridotsill_scheduler as scheduler

_JOB = "00000000000000aa"
_TASK = _ports.TaskName(job=_JOB, task="0.0.0")
_QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", max_attempts=2
)


def _registry_now(age_seconds=0.0):
    return _feeds.RegistrySnapshot(
        entries=(), requested_at=time.monotonic() - age_seconds
    )


class _Link:
    """Records orders in place of a runner's connections."""

    reached = True
    refused = False
    failing_since = None
    may_grant = True
    silent_seconds = 0.0
    leases_expired = False
    unanswered_poll_at = float("-inf")
    last_acknowledged_end = 0

    def __init__(self):
        self.stopped = False
        self.stops = []
        self.paces = []
        self.starts = []

    def may_have_begun(self, name, run):
        return False

    def order_stop(self, name, run):
        self.stops.append((name, run))

    def order_start(self, order):
        self.starts.append(order)

    def acknowledge_ends(self, last_end):
        self.last_acknowledged_end = last_end

    def poll_frequently(self, frequently):
        self.frequently = frequently

    def order_pace(self, name, run, percent):
        self.paces.append((name, run, percent))

    def set_paused(self, resting):
        self.resting = resting

    def stop(self):
        self.stopped = True


@given('a scheduler with a task of run 1 on runner "i-1"')
def _scheduler_with_run(context):
    _make_controller(context)
    _submit_job(context)
    _assign(context, 1, "i-1")


@given("a scheduler with a job that was just submitted")
def _scheduler_with_new_job(context):
    _make_controller(context)
    _submit_job(context)
    context.controller._registry = _registry_now()


def _make_controller(context):
    catalog = unittest.mock.Mock()
    catalog.queue.return_value = _QUEUE
    catalog.config = None
    catalog.waves = ()
    catalog.standby_pools = frozenset()
    context.store = stubs.MemoryTable()
    ports = unittest.mock.Mock(
        table=context.store,
        advisor=None,
        table_limits=peridotsill_platform.TableLimits(),
    )
    ports.adaptive_timeout_table.return_value = context.store
    lease = _lease.Lease(node="n", table=context.store)
    lease.try_acquire()
    made = _controller.Controller(
        parts=_controller.ControllerParts(
            settings=_live_settings.LiveSettings(stubs.node_settings()),
            ports=ports,
            catalog=catalog,
            lease=lease,
            counters=peridotsill.Counters(),
            stopped=threading.Event(),
        )
    )
    context.controller = made
    context.links = {}

    def connect(entry):
        context.links[entry.id] = _Link()
        return context.links[entry.id]

    made._workers._connect = connect
    made._workers.update(
        (stubs.runner_entry("i-1"), stubs.runner_entry("i-2"))
    )


def _submit_job(context, **fields):
    step = scheduler.Step(
        index=0,
        demand=scheduler.Resources(cores=8),
        **{"task_count": 1, "speculative": True, **fields},
    )
    submission = _records.Submission(
        spec=scheduler.JobSpec(id=_JOB, queue="q", payload="", steps=(step,)),
        queue=_QUEUE,
        arrived_ms=time.time() * 1000,
    )
    key = _records.row_key(_records.JOBS, "q", _JOB)
    values = {
        key: _records.submission_value(submission),
        _records.row_key(_records.PENDING, "q", _JOB): {},
    }
    context.store.commit(
        peridotsill_platform.Transaction(
            checks=(),
            writes=tuple(
                peridotsill_platform.Write(key=each, value=value)
                for each, value in values.items()
            ),
        )
    )
    row = context.store.read((key,)).unwrap()[0]
    context.job, _ = context.controller._job_store.apply_row(row)
    context.task = context.job.tasks[0]


def _assign(context, run, runner):
    controller = context.controller
    task = context.task
    task.run = run
    task.phase = scheduler.TaskPhase.RUNNING
    task.runner = runner
    task.lifetime = 1
    scheduler.refresh_state(context.job)
    worker = controller._workers.get(runner, 1)
    controller._workers.place(
        worker, context.job, task, last_answered_at=float("inf")
    )
    controller._job_store.mark_dirty(context.job)
    controller._job_store.commit()


def _handle_report(context, runner, *, running=(), ended=()):
    context.controller._handle_event(
        _link_events.ReportReceived(
            runner=runner,
            lifetime=1,
            requested_at=time.monotonic() + 60,
            report=_ports.RunnerReport(
                lifetime=1,
                clock_ms=1000.0,
                running=tuple(running),
                ended=tuple(ended),
            ),
        )
    )


def _reported_end(number, run, kind):
    return _ports.ReportedEnd(
        number=number, name=_TASK, run=run, kind=_ports.EndKind(kind)
    )


@when('run 1 is given up and run 2 is assigned to runner "i-2"')
def _give_up_run(context):
    worker = context.controller._workers.get("i-1", 1)
    worker.placed.clear()
    context.controller._runs.requeue_lost(
        [(context.job, context.task)], "silent"
    )
    _assign(context, 2, "i-2")


@when('runner "{runner}" lists run {run:d} as {kind}')
def _runner_lists_end(context, runner, run, kind):
    _handle_report(
        context, runner, ended=[_reported_end(1, run, kind.split()[0])]
    )


def _start_outcome(context, runner, run, outcome):
    context.controller._handle_event(
        _link_events.OrderOutcome(
            runner=runner,
            lifetime=1,
            name=_TASK,
            run=run,
            is_start=True,
            result=outcome,
            reason="",
            answered_at=time.monotonic(),
            no_attempt_in_flight=outcome is _link_events.OrderResult.DONE,
        )
    )


@when("the start of run 2 has no known outcome")
def _start_outcome_unknown(context):
    _start_outcome(context, "i-2", 2, _link_events.OrderResult.UNKNOWN)


@when('runner "i-2" lists nothing')
def _runner_lists_nothing(context):
    worker = context.controller._workers.get("i-2", 1)
    for placed in worker.placed.values():
        placed.last_answered_at = time.monotonic()
    _handle_report(context, "i-2")


@then("the task is done and the job completed")
def _task_done(context):
    assert context.task.phase is scheduler.TaskPhase.DONE, context.task
    assert context.job.state is scheduler.JobState.COMPLETED, context.job


@when("the scheduler reads the job's row again")
def _reread_row(context):
    controller = context.controller
    controller._job_store.commit()
    key = _records.row_key(_records.PROGRESS, "q", _JOB)
    row = context.store.read((key,)).unwrap()[0]
    controller._job_store._restore_progress(context.job, row)
    context.task = context.job.tasks[0]
    for worker in controller._workers:
        worker.last_applied_end = 0


@when("it reads the row as an earlier version had left it")
def _reread_earlier_row(context):
    context.controller._job_store.commit()
    key = _records.row_key(_records.PROGRESS, "q", _JOB)
    del context.store.rows[key][0]["counted"]
    _reread_row(context)


@then("the task has failed {count:d} times")
def _failed_times(context, count):
    assert context.task.failures == count, context.task


@then("the task has failed once and waits")
def _failed_once(context):
    assert context.task.failures == 1, context.task
    assert context.task.phase is scheduler.TaskPhase.WAITING, context.task


@when("the job is cancelled")
def _cancel(context):
    context.controller._runs.cancel(context.job)


def _free_cores(context):
    worker = context.controller._workers.get("i-1", 1)
    return worker.view(time.monotonic()).free.cores


@then('runner "i-1" has the task\'s cores reserved')
def _reserved(context):
    assert _free_cores(context) == 24, _free_cores(context)


@then('runner "i-1" has all its cores free')
def _all_free(context):
    assert _free_cores(context) == 32, _free_cores(context)


@when('runner "i-1" lists a run that no row records')
def _runner_lists_unknown_run(context):
    context.unknown_task = _ports.TaskName(job="ff", task="0.0.0")
    run = _ports.ReportedRun(name=context.unknown_task, run=3, checkpoint="")
    own = _ports.ReportedRun(name=_TASK, run=1, checkpoint="")
    _handle_report(context, "i-1", running=[run, own])


@then('runner "i-1" is ordered to stop it')
def _ordered_to_stop_unknown_run(context):
    assert (context.unknown_task, 3) in context.links["i-1"].stops


@then('runner "i-1" gets no starts')
def _gets_no_starts(context):
    worker = context.controller._workers.get("i-1", 1)
    assert worker.closed_reason(time.monotonic())


@given("a link to a runner that answers its first poll with a run")
def _link_with_run(context):
    run = _ports.ReportedRun(name=_TASK, run=1, checkpoint="")
    _make_link(context, run)


@given("a link to a runner that answers its first poll with no runs")
def _link_with_nothing(context):
    _make_link(context)


def _make_link(context, *running):
    lease = unittest.mock.Mock(
        epoch=1, seconds_since_expiry=-1.0, held=True, lost=False
    )
    context.link = stubs.runner_link(lease, max_lease_seconds=3.0)
    calls = context.link._parts.calls
    calls.poll.return_value.read.return_value = _ports.RunnerReport(
        lifetime=1, clock_ms=1000.0, running=running, ended=()
    )
    poller = context.link._poller

    def answer_once(call, done):
        # Another poll would grant another lease.
        poller.set_paused(True)
        done(returns.result.Success({}))

    poller._client._connection.call.side_effect = answer_once
    poller._poll()


@then("its leases have not run out yet")
def _leases_not_lapsed(context):
    assert context.link.reached and not context.link.leases_expired


@then("they have run out once the longest grant has passed without an answer")
def _leases_lapsed_after_grant(context):
    # A grant is nine tenths of the longest lease, here 2.7 s, and lasts
    # a little longer on a slow clock.
    time.sleep(2.5)
    assert not context.link.leases_expired
    time.sleep(0.4)
    assert context.link.leases_expired


@given("a scheduler with a queue that has placement advice")
def _advised_scheduler(context):
    _scheduler_with_run(context)
    timing = scheduler.AdviceTiming(
        decision_seconds=0.1, vm_seconds=0.01, validity_seconds=3.0
    )
    context.job.queue = attrs.evolve(_QUEUE, advice=timing)
    context.controller._parts.catalog.queue.return_value = context.job.queue
    context.controller._registry = _registry_now()
    context.advice_queue = unittest.mock.Mock()
    context.controller._advice = _advice.AdviceRequester(
        advice_queue=context.advice_queue
    )
    context.controller._workers.forget_job(context.job.key)
    context.task.phase = scheduler.TaskPhase.WAITING


@when("a scheduling round is run")
def _make_round(context):
    context.controller._run_round()
    context.controller._run_round()


@when("the lease is released before the order is sent")
def _release_lease(context):
    context.controller._parts.lease.release()


@when("another scheduler has read the rows")
def _read_by_another(context):
    lease = _lease.Lease(node="m", table=context.store)
    assert lease.try_acquire()
    context.job_store = _job_store.JobStore(
        table=context.store,
        catalog=context.controller._parts.catalog,
        lease=lease,
        counters=peridotsill.Counters(),
    )
    assert context.job_store.load() is not None
    context.add_cleanup(context.job_store.close)


def _count_pending(context, count):
    # A separate thread removes the rows some time after the commits.
    context.controller._job_store._pending_row_remover._remove_queued_rows()
    time.sleep(_pending._REMOVAL_PERIOD_SECONDS * 2)
    submissions = _submissions.Submissions(
        table=context.store,
        committer=unittest.mock.Mock(),
        short_timeout_table=context.store,
    )
    counted = submissions.count("q").pending
    assert counted == count, counted


@then("{count:d} job of the queue is counted as pending")
def _counted(context, count):
    _count_pending(context, count)


@then("no job of the queue is counted as pending")
def _not_counted(context):
    _count_pending(context, 0)


@when('runner "{runner}" reports that run {run:d} is running')
def _runner_reports_running(context, runner, run):
    found = _ports.ReportedRun(name=_TASK, run=run, checkpoint="")
    _handle_report(context, runner, running=[found])


@then("the advisor is asked once about both runners")
def _advisor_asked_once(context):
    context.advice_queue.enqueue.assert_called_once()
    request = context.advice_queue.enqueue.call_args.args[0]
    assert set(request.runners) == {"i-1", "i-2"}, request


@when('the advisor allows runner "i-2" only')
def _advisor_allows(context):
    request = context.advice_queue.enqueue.call_args.args[0]
    permit = scheduler.AdvisorAnswer(
        occurrence=0,
        step=0,
        runner="i-2",
        ticket="t-9",
        valid_until=time.monotonic() + 3,
    )
    context.controller._handle_event(
        _advice.AdviceResult(request=request, permits=(permit,), answered=True)
    )
    context.controller._run_round()


@then('the task starts on runner "i-2" with the ticket')
def _started_with_ticket(context):
    starts = context.links["i-2"].starts
    assert [order.ticket for order in starts] == ["t-9"], starts
    assert not context.links["i-1"].starts


@when('runner "i-1" is silent until its tasks are started again elsewhere')
def _started_again_elsewhere(context):
    controller = context.controller
    worker = controller._workers.get("i-1", 1)
    worker.placed[(_JOB, "0.0.0")].last_answered_at = 0.0
    worker.link.silent_seconds = 3.0
    controller._runs.requeue_lost(
        controller._workers.pop_speculative(), "silent"
    )
    worker.link.silent_seconds = 0.0


@when('runner "i-1" still has run 1 running')
def _still_running(context):
    run = _ports.ReportedRun(name=_TASK, run=1, checkpoint="")
    _handle_report(context, "i-1", running=[run])


@then('runner "i-1" is ordered to stop run 1')
def _ordered_to_stop_run(context):
    assert (_TASK, 1) in context.links["i-1"].stops


@given("a node whose scheduler fails the first time")
def _node_with_failing_scheduler(context):
    table = stubs.MemoryTable()
    context.lease = _lease.Lease(node="n", table=table)
    context.epochs = []
    stopped = threading.Event()

    def schedule():
        context.epochs.append(context.lease.epoch)
        if len(context.epochs) == 1:
            raise KeyError("unexpected")
        stopped.wait(5)

    threading.Thread(
        target=_lease.acquire_and_schedule,
        args=(context.lease, stopped, schedule),
        daemon=True,
    ).start()
    context.stack.callback(stopped.set)


@then("it holds the lease again, under a higher epoch, within {seconds:d} s")
def _holds_lease_again(context, seconds):
    deadline = time.monotonic() + seconds
    while len(context.epochs) < 2 and time.monotonic() < deadline:
        time.sleep(0.05)
    epochs = [_fencing_tokens.TOKENS_PER_EPOCH * each for each in (1, 2)]
    assert context.epochs == epochs, context.epochs
    assert context.lease.held


@when("run 1 is started again elsewhere while its own start is unanswered")
def _started_again_while_unanswered(context):
    controller = context.controller
    worker = controller._workers.get("i-1", 1)
    worker.link.silent_seconds = 3.0
    controller._runs.requeue_lost(
        controller._workers.pop_speculative(), "silent"
    )
    worker.link.silent_seconds = 0.0
    _assign(context, 2, "i-2")


@when("the start of run 1 is answered as done")
def _start_answered_done(context):
    _start_outcome(context, "i-1", 1, _link_events.OrderResult.DONE)


@when('runner "i-1" has nothing running')
def _nothing_running(context):
    _handle_report(context, "i-1")


@given("a scheduler with a task that waits")
def _scheduler_with_waiting_task(context):
    _scheduler_with_run(context)
    context.controller._registry = _registry_now()
    context.controller._workers.forget_job(context.job.key)
    context.task.phase = scheduler.TaskPhase.WAITING
    context.controller._job_store.mark_dirty(context.job)
    context.controller._job_store.commit()


@when('another scheduler has recorded run 2 of it on runner "i-2"')
def _recorded_elsewhere(context):
    key = _records.row_key(_records.PROGRESS, "q", _JOB)
    value, _ = context.store.rows[key]
    task = ["running", 2, "i-2", 1, 0, 0, ""]
    other = {**value, "tasks": {"0.0.0": task}}
    context.store.version += 1
    context.store.rows[key] = (other, context.store.version)


@then('nothing is started, and the task is run 2 on runner "i-2"')
def _nothing_started(context):
    starts = [
        order for link in context.links.values() for order in link.starts
    ]
    assert not starts, starts
    task = context.job.tasks[0]
    assert (task.run, task.runner) == (2, "i-2"), task


class _EndlessInbox:
    """Always has another event, for a number of seconds."""

    def __init__(self, seconds):
        self._until = time.monotonic() + seconds

    def get(self, timeout):
        return self.get_nowait()

    def get_nowait(self):
        if time.monotonic() > self._until:
            raise queue.Empty
        time.sleep(0.001)
        return _feeds.JobRowsChanged(rows=())


@when("events arrive faster than they are handled")
def _flood_with_events(context):
    context.controller._inbox = _EndlessInbox(seconds=3.0)
    began = time.monotonic()
    context.controller._handle_events()
    context.gathered_seconds = time.monotonic() - began


@then("the scheduler goes on to its round within {seconds:d} s")
def _round_within(context, seconds):
    assert context.gathered_seconds < seconds, context.gathered_seconds


@given('a settings file of a node with order policy "{policy}"')
def _settings_file(context, policy):
    plain = peridotsill.to_plain(stubs.node_settings())
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name, "node.json")
    context.file.write_text(json.dumps({**plain, "order_policy": policy}))


@when("the node reads it")
def _read_settings(context):
    try:
        _settings.load_job_settings(str(context.file))
    except peridotsill.exceptions.SettingsError as error:
        context.refused = str(error)


@then("it is refused, and the known order policies are named")
def _settings_refused(context):
    for name in ("order_policy", *scheduler.order_policies()):
        assert name in context.refused, context.refused


@when("a job is submitted at a node whose time of day is {off:d} s off")
def _submit_with_clock_offset(context, off):
    submission = _records.Submission(
        spec=attrs.evolve(context.job.spec, id="00000000000000bb"),
        queue=_QUEUE,
        arrived_ms=(time.time() + off) * 1000,
    )
    row = peridotsill.Row(
        key=_records.row_key(_records.JOBS, "q", "00000000000000bb"),
        value=_records.submission_value(submission),
        version=2,
    )
    context.arrived, _ = context.controller._job_store.apply_row(row)


@then("the job has just arrived")
def _just_arrived(context):
    age = time.monotonic() - context.arrived.arrived_at
    assert 0 <= age < 1, age


def _store_job(context, job_id, state, phase):
    """Write the rows of a job whose one task has run."""
    spec = attrs.evolve(context.job.spec, id=job_id)
    submission = _records.Submission(
        spec=spec, queue=_QUEUE, arrived_ms=time.time() * 1000
    )
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=0.0, state=state)
    scheduler.open_occurrences(job, 0.0)
    job.tasks[0].run, job.tasks[0].phase = 1, phase
    context.store.rows |= {
        _records.row_key(_records.JOBS, "q", job_id): (
            _records.submission_value(submission),
            1,
        ),
        _records.row_key(_records.PROGRESS, "q", job_id): (
            _records.progress_value(job, 1),
            1,
        ),
    }


_COMPLETED, _CANCELLED = "00000000000000c1", "00000000000000c2"


@given("the rows of a job that was completed and of one that was cancelled")
def _rows_of_final_jobs(context):
    done = scheduler.TaskPhase.DONE
    _store_job(context, _COMPLETED, scheduler.JobState.COMPLETED, done)
    waiting = scheduler.TaskPhase.WAITING
    _store_job(context, _CANCELLED, scheduler.JobState.CANCELLED, waiting)


@given("the rows of a job that was cancelled while its task ran")
def _cancelled_running(context):
    stopping = scheduler.TaskPhase.STOPPING
    _store_job(context, _CANCELLED, scheduler.JobState.CANCELLED, stopping)


@when("another scheduler reads the rows")
def _other_scheduler_loads(context):
    submission = _records.Submission(
        spec=context.job.spec, queue=_QUEUE, arrived_ms=time.time() * 1000
    )
    key = _records.row_key(_records.JOBS, "q", _JOB)
    context.store.rows[key] = (_records.submission_value(submission), 1)
    context.job_store = _job_store.JobStore(
        table=context.store,
        catalog=context.controller._parts.catalog,
        lease=context.controller._parts.lease,
        counters=peridotsill.Counters(),
    )
    context.add_cleanup(context.job_store.close)
    assert context.job_store.load() is not None


def _open_ids(context):
    return {job.spec.id for job in context.job_store.open_jobs}


@then("it has only the open job")
def _only_open(context):
    assert _open_ids(context) == {_JOB}, _open_ids(context)
    assert context.job_store.get(("q", _COMPLETED)) is None


@then("it has the open job and the one that was cancelled")
def _open_and_cancelled(context):
    assert _open_ids(context) == {_JOB, _CANCELLED}, _open_ids(context)


@then("a repeated row of the completed job is ignored")
def _row_ignored(context):
    key = _records.row_key(_records.JOBS, "q", _COMPLETED)
    row = context.store.read((key,)).unwrap()[0]
    assert context.job_store.apply_row(row) == (None, False)
    assert _open_ids(context) == {_JOB}, _open_ids(context)


@when('runner "{runner}" is found gone')
def _find_gone(context, runner):
    context.old_link = context.links[runner]
    context.controller._registry = _registry_now()
    context.controller._handle_event(
        _link_events.RunnerFoundGone(
            runner=runner,
            lifetime=1,
            evidence="connection refused",
            ended_at=time.monotonic(),
        )
    )


@then('run {run:d} of the task starts on runner "{runner}"')
def _started_on(context, run, runner):
    starts = [order.run for order in context.links[runner].starts]
    assert starts == [run], starts


@then('runner "{runner}" may get starts')
def _may_get_starts(context, runner):
    worker = context.controller._workers.get(runner, 1)
    assert not worker.closed_reason(time.monotonic())


@then('runner "{runner}" has a new link, and its old one is stopped')
def _has_new_link(context, runner):
    assert context.old_link.stopped
    worker = context.controller._workers.get(runner, 1)
    assert worker.link is context.links[runner] is not context.old_link


_OCCASIONS = {
    "nothing else happens": lambda controller, worker: None,
    "it drains": lambda controller, worker: setattr(
        worker,
        "entry",
        attrs.evolve(worker.entry, state=_ports.RunnerState.DRAINING),
    ),
    "its VM is commanded to move": lambda controller, worker: _move_vm(
        controller, worker.entry.id
    ),
    "its VM is listed in maintenance": lambda controller, worker: _list_vm(
        controller, worker, _ports.VmState.MAINTENANCE
    ),
    "its VM has just come back with it from a move": (
        lambda controller, worker: _move_vm(controller, "i-0")
    ),
    "a move may be carried out 9 s after a lost answer": (
        lambda controller, worker: _move_vm(
            controller, worker.entry.id, _commands.CommandResult.UNSURE, 9.0
        )
    ),
    "a move was refused as its VM was busy": (
        lambda controller, worker: _move_vm(
            controller, worker.entry.id, _commands.CommandResult.BUSY
        )
    ),
}
_VM = "m-1"


def _move_vm(controller, runner, result=None, seconds_ago=0.0):
    """Command a VM to move that has a runner; None for no answer yet."""
    command = _commands.Command(
        kind=_commands.CommandKind.MOVE, vm=_VM, pool="b"
    )
    controller._fleet._operations[_VM] = _fleet._Operation(
        command=command,
        phase=_fleet._OperationPhase.CALLING,
        progressed_at=time.monotonic() - seconds_ago,
        runner=runner,
    )
    if result is not None:
        controller._fleet.handle_outcome(
            _commands.CommandOutcome(
                command=command,
                result=result,
                reason="",
                ended_at=time.monotonic() - seconds_ago,
            )
        )


def _list_vm(controller, worker, state):
    record = _ports.VmRecord(
        name=_VM,
        pool="p",
        state=state,
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=worker.entry.capacity,
        runner=worker.entry.id,
    )
    controller._fleet._vms[_VM] = record
    controller._fleet._list_requested_at = worker.known_at + 1.0


@when('runner "{runner}" is found gone while {occasion}')
def _find_gone_while(context, runner, occasion):
    controller = context.controller
    worker = controller._workers.get(runner, 1)
    worker.vm = _VM
    _OCCASIONS[occasion](controller, worker)
    _find_gone(context, runner)


@then('the task is lost for the reason "{reason}"')
def _lost_for_reason(context, reason):
    counts = context.controller._parts.counters.render({}).decode()
    line = f'tasks_lost_total{{reason="{reason}"}} 1'
    assert line in counts, counts


@then("a run may get a lease there")
def _may_get_lease(context):
    assert context.link.may_grant


@then("no longer {seconds:g} s later")
def _no_lease_later(context, seconds):
    time.sleep(seconds)
    assert not context.link.may_grant


@when("the registry was last read {seconds:g} s ago, and a round is run")
def _run_round_by_old_registry(context, seconds):
    context.controller._registry = _registry_now(seconds)
    context.controller._run_round()


@then("no start is planned")
def _nothing_planned(context):
    assert context.task.phase is scheduler.TaskPhase.WAITING, context.task
    assert context.task.run == 0 and not _sent_runs(context)


@when("the registry is read and a round is run")
def _read_registry_and_run_round(context):
    context.controller._handle_event(_registry_of(lambda entry: entry))
    context.controller._run_round()


@when("a start is queued by a registry that was read {seconds:g} s ago")
def _queue_start_by_old_registry(context, seconds):
    sender = context.link._orders
    sender._client._connection = unittest.mock.Mock()
    sender._client._connection.call.side_effect = lambda call, done: done(
        returns.result.Success({})
    )
    context.outcomes = []
    sender._parts = attrs.evolve(sender._parts, post=context.outcomes.append)
    # The runner's clock, as in its report.
    sender._parts.calls.start.return_value.read.return_value = (
        sender._parts.grants.last_clock_ms
    )
    sender.start_run(
        _ports.StartOrder(
            name=_TASK,
            run=1,
            payload="",
            lease_until_ms=0.0,
            fence=1,
            send_before=_registry_now(seconds).valid_until,
        )
    )
    sender._send_next()


@then("it is reported as {result}")
def _reported_as(context, result):
    (outcome,) = context.outcomes
    assert str(outcome.result) == result, outcome


_CHANGES = {
    "have 4 cores left": lambda entry: attrs.evolve(
        entry, capacity=scheduler.Resources(cores=4, memory_mib=65536)
    ),
    "drain": lambda entry: attrs.evolve(
        entry, state=_ports.RunnerState.DRAINING
    ),
    "leave the registry": lambda entry: None,
}


def _registry_of(change):
    entries = tuple(
        map(change, (stubs.runner_entry("i-1"), stubs.runner_entry("i-2")))
    )
    return _feeds.RegistrySnapshot(
        entries=tuple(entry for entry in entries if entry is not None),
        requested_at=time.monotonic(),
    )


@when(
    "the commit of its first start takes so long that "
    'runner "i-1" and "i-2" {change}'
)
def _change_during_commit(context, change):
    controller = context.controller
    commit = context.store.commit

    def slow_commit(transaction):
        outcome = commit(transaction)
        controller._feeds._latest_registry = _registry_of(_CHANGES[change])
        return outcome

    context.store.commit = slow_commit
    controller._run_round()
    context.store.commit = commit


def _sent_runs(context):
    return [
        order.run for link in context.links.values() for order in link.starts
    ]


@then("no start was sent, and the task waits")
def _not_sent(context):
    assert not _sent_runs(context), context.links
    assert context.task.phase is scheduler.TaskPhase.WAITING, context.task
    assert not any(each.placed for each in context.controller._workers)


@when("the runners are as before and a scheduling round is run")
def _restored_registry(context):
    controller = context.controller
    snapshot = _registry_of(lambda entry: entry)
    controller._feeds._latest_registry = snapshot
    controller._handle_event(snapshot)
    controller._run_round()


@then("run {run:d} of the task was sent")
def _sent(context, run):
    assert _sent_runs(context) == [run], context.links
