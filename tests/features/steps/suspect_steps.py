"""Steps on tasks that are suspected of crashing their runners."""

import types
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from emulator import stubs
import peridotsill

from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _runs
from peridotsill_jobs import _suspects
from peridotsill_jobs import _workers
import peridotsill_scheduler as scheduler

_NOW = 1000.0
_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")
_FIELDS_OF_BEFORE = 7


def _job(name, count=1, **fields):
    step = scheduler.Step(
        index=0,
        task_count=count,
        demand=scheduler.Resources(cores=8),
        estimated_seconds=1.0,
        **fields,
    )
    spec = scheduler.JobSpec(id=name, queue="q", payload="", steps=(step,))
    job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=_NOW)
    scheduler.open_occurrences(job, 0.0)
    return job


def _crash(number, *, host="", seconds=0.01, certain=True):
    return scheduler.Crash(
        runner=f"c-{number}",
        lifetime=1,
        host=host or f"10.0.0.{number}",
        run_seconds=seconds,
        certain=certain,
    )


# Verdicts.


@given(
    "a task that has {count:d} crashes on {hosts:d} hosts, {certain:d} of "
    "them certain"
)
def _task_with_crashes(context, count, hosts, certain):
    context.job = _job("suspect", 2)
    context.job.tasks[0].crashes = tuple(
        _crash(number, host=f"h-{number % hosts}", certain=number < certain)
        for number in range(count)
    )


@given("the last one hit it {company} on a VM with {other:d} other crashes")
def _last_crash(context, company, other):
    hits = [(context.job, context.job.tasks[0])]
    if company == "beside its own job only":
        hits.append((context.job, context.job.tasks[1]))
    elif company == "beside another job":
        innocent = _job("innocent")
        hits.append((innocent, innocent.tasks[0]))
    context.culprits = scheduler.find_culprits(
        hits,
        crash_id=context.job.tasks[0].crashes[-1].id,
        host_is_suspect=bool(other),
    )


@then("the task is {verdict}")
def _verdict(context, verdict):
    given_up = [task for _, task in context.culprits]
    expected = [context.job.tasks[0]] if verdict == "given up" else []
    assert given_up == expected, context.culprits


# Placement.


def _vm(number, tasks=(), now=_NOW):
    capacity = scheduler.Resources(cores=64, memory_mib=65536)
    vm = scheduler.VmView(
        runner=f"i-{number}",
        lifetime=1,
        vm=f"m-{number}",
        pool="p",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=capacity,
        free=capacity,
        made_at=now,
    )
    for job in tasks:
        vm.reserve(job.spec.id, job.tasks[0])
    return vm


def _vms_in_use(context, loads, **fields):
    context.loads = [
        [_job(f"other-{number}-{index}", **fields) for index in range(load)]
        for number, load in enumerate(loads)
    ]


def _views(context, now=_NOW):
    return [
        _vm(number, jobs, now) for number, jobs in enumerate(context.loads)
    ]


@given("{count:d} VM of which one runs a task of another job")
@given("{count:d} VMs of which one runs a task of another job")
def _one_vm_in_use(context, count):
    _vms_in_use(context, [1] + [0] * (count - 1))


@given("2 VMs that both run {tasks} of other jobs")
def _both_in_use(context, tasks):
    _vms_in_use(context, [3, 2], long_lived=tasks == "long-lived tasks")


def _suspect(context, count, seconds, waits=0.0, **fields):
    context.suspect = _job("suspect", **fields)
    context.task = context.suspect.tasks[0]
    context.task.requeued_at = _NOW - waits
    context.task.crashes = tuple(
        _crash(number, seconds=seconds) for number in range(count)
    )


@given("a job whose task has crashed {count:d} runner after {seconds:g} s")
@given("a job whose task has crashed {count:d} runners after {seconds:g} s")
def _suspect_job(context, count, seconds):
    _suspect(context, count, seconds)


@given(
    "a {kind} job whose task crashed {count:d} runners and waits for "
    "{seconds:g} s"
)
def _waiting_suspect(context, kind, count, seconds):
    _suspect(context, count, 0.5, seconds, long_lived=kind == "long-lived")


def _place(job, vms):
    starts = scheduler.Placer(vms=vms).place_job(job, job.tasks)
    return [start.vm.runner for start in starts]


@when("its task is placed")
def _place_suspect(context):
    context.vms = _views(context)
    context.placed = _place(context.suspect, context.vms)


@then("it is on the empty VM")
def _on_empty_vm(context):
    assert context.placed == ["i-1"], context.placed


@then("it is on the VM that is in use")
def _on_vm_in_use(context):
    assert context.placed == ["i-0"], context.placed


@then("a task of another job goes to the VM that is in use")
def _other_elsewhere(context):
    placed = _place(_job("another"), context.vms)
    assert placed == ["i-0"], placed


@when("the suspect has run for {seconds:g} s")
def _suspect_has_run(context, seconds):
    context.task.started_at = _NOW
    context.loads[1] = [context.suspect]
    context.vms = _views(context, _NOW + seconds)


@then("a task of another job may join it")
def _other_may_join(context):
    job = _job("another")
    assert context.vms[1].has_room(job, job.tasks[0])


@when("a round is planned")
def _plan_round(context):
    context.another = _job("another", 20)
    context.vms = _views(context)
    context.starts = scheduler.plan_starts(
        policy="payoff_density",
        jobs=[context.another, context.suspect],
        vms=context.vms,
        now=_NOW,
        estimator=scheduler.Estimator(),
    )


def _runners_of(context, job):
    return {start.vm.runner for start in context.starts if start.job is job}


@then("the task does not start")
def _suspect_waits(context):
    assert not _runners_of(context, context.suspect), context.starts


@then("the task starts")
def _suspect_starts(context):
    assert _runners_of(context, context.suspect), context.starts


@then("the VM with the fewest tasks gets no task of another job")
def _vm_kept_free(context):
    assert _runners_of(context, context.another) == {"i-0"}, context.starts


@when("the tasks on that VM have ended and a round is planned")
def _vm_cleared(context):
    context.loads[1] = []
    _plan_round(context)


@then("the task starts there, and no task of another job beside it")
def _starts_alone(context):
    assert _runners_of(context, context.suspect) == {"i-1"}, context.starts
    assert _runners_of(context, context.another) == {"i-0"}, context.starts


# Crashes, and what is recorded of them.


def _prepare(context):
    if "suspects" in context:
        return
    context.jobs = {}
    context.given_up = {}
    context.clock = _NOW

    def give_up(job, task, reason):
        task.phase = scheduler.TaskPhase.FAILED
        scheduler.refresh_state(job)
        context.given_up[job.spec.id] = reason

    context.job_store = types.SimpleNamespace(
        open_jobs=context.jobs.values(), mark_dirty=lambda job: None
    )
    runs = unittest.mock.Mock()
    runs.give_up.side_effect = give_up
    context.suspects = _suspects.Suspects(
        job_store=context.job_store, runs=runs
    )
    context.stack.enter_context(
        unittest.mock.patch.object(
            _suspects._clock, "monotonic_seconds", lambda: context.clock
        )
    )


def _run_on(context, runner, names, *, seconds=0.01, confirmed=True, **fields):
    """Make a runner with the first task of each job on it."""
    _prepare(context)
    worker = _workers.Worker(
        entry=stubs.runner_entry(runner, address=f"host-{runner}:1"),
        link=unittest.mock.Mock(),
    )
    for name in names:
        job = context.jobs.setdefault(name, _job(name, **fields))
        task = job.tasks[0]
        task.run += 1
        task.phase = scheduler.TaskPhase.ASSIGNED
        task.started_at = 0.0
        if confirmed:
            task.phase = scheduler.TaskPhase.RUNNING
            task.started_at = context.clock - seconds
        worker.placed[(name, task.key)] = _workers.PlacedTask(
            job=job,
            task=task,
            last_answered_at=context.clock if confirmed else float("inf"),
        )
    context.worker = worker


@given('runner "{runner}" runs tasks of jobs "{a}", "{b}" and "{c}"')
def _runs_three(context, runner, a, b, c):
    _run_on(context, runner, [a, b, c])


@given('runner "{runner}" runs tasks of jobs "{a}" and "{b}"')
def _runs_two(context, runner, a, b):
    _run_on(context, runner, [a, b])


@given('runner "{runner}" is told to start a task of job "{name}"')
def _told_to_start(context, runner, name):
    _run_on(context, runner, [name], confirmed=False)


@given('runner "{runner}" has a start of a task of job "{name}" in its queue')
def _start_queued(context, runner, name):
    _run_on(context, runner, [name], confirmed=False)
    context.worker.link.may_have_begun.return_value = False


@given('runner "{runner}" runs a task of job "{name}", which is being stopped')
def _being_stopped(context, runner, name):
    _run_on(context, runner, [name])
    (placed,) = context.worker.placed.values()
    placed.task.phase = scheduler.TaskPhase.STOPPING
    placed.last_answered_at = float("inf")
    context.worker.link.may_have_begun.return_value = False


@given(
    'runner "{runner}" has run a task of job "{name}" for {seconds:g} s, '
    "which is abandoned"
)
def _abandoned(context, runner, name, seconds):
    _run_on(context, runner, [name], seconds=seconds, speculative=True)
    workers = _workers.Workers(connect=unittest.mock.Mock())
    workers._workers[runner] = context.worker
    context.worker.link.silent_seconds = seconds
    assert len(workers.pop_speculative()) == 1


@when('runner "{runner}" crashes while another run of it has just begun')
def _crashes_beside_another_run(context, runner):
    (job,) = context.jobs.values()
    context.clock += 1.0
    job.tasks[0].run += 1
    job.tasks[0].started_at = context.clock
    context.suspects.record_crash(context.worker, context.clock)


@then('the crash of task "{name}" came {seconds:g} s after its run began')
def _crash_after(context, name, seconds):
    (crash,) = context.jobs[name].tasks[0].crashes
    assert crash.run_seconds == seconds, crash


@given(
    'runner "{runner}" has run a long-lived task of job "{name}" for '
    "{seconds:g} s"
)
def _runs_long_lived(context, runner, name, seconds):
    _run_on(context, runner, [name], seconds=seconds, long_lived=True)


@given(
    'an earlier scheduler\'s long-lived task of job "{name}" on runner '
    '"{runner}"'
)
def _adopted_long_lived(context, name, runner):
    _run_on(context, runner, [name], long_lived=True)
    (placed,) = context.worker.placed.values()
    placed.last_answered_at = 0.0
    placed.task.started_at = 0.0


@given('runner "{runner}" has run a task of job "{name}" for {seconds:g} s')
def _has_run(context, runner, name, seconds):
    _run_on(context, runner, [name], seconds=seconds)


@when("the runner is silent until the leases of its runs have expired")
def _leases_expire(context):
    context.crashed_at = context.clock
    context.workers = _workers.Workers(connect=unittest.mock.Mock())
    context.workers._workers[context.worker.entry.id] = context.worker
    context.worker.link.may_grant = False
    context.clock += 4.0
    assert len(context.workers.pop_expired(6.0)) == 1


@when("{event} before the runner is found to have crashed")
def _found_late(context, event):
    (job,) = context.jobs.values()
    if event == "its task is started again":
        job.tasks[0].run += 1
        job.tasks[0].started_at = context.clock
    elif event == "the runner answers again":
        context.worker.link.may_grant = True
    elif event == "61 s pass":
        context.clock += 61.0
    context.workers.pop_expired(6.0)
    context.suspects.record_crash(context.worker, context.crashed_at)
    for crash in job.tasks[0].crashes:
        assert crash.run_seconds == 0.2, crash


@when('runner "{runner}" crashes')
def _crashes(context, runner):
    context.clock += 1.0
    for placed in context.worker.placed.values():
        if placed.task.started_at:
            placed.task.started_at += 1.0
    context.suspects.record_crash(context.worker, context.clock)


@when(
    'runner "{runner}", on which it has run for {seconds:g} s, crashes '
    "after two crashes"
)
def _proven_crashes(context, runner, seconds):
    (job,) = context.jobs.values()
    job.tasks[0].crashes = (_crash(1), _crash(2))
    _run_on(context, runner, [job.spec.id], seconds=seconds)
    _crashes(context, runner)


@when('task "{name}" runs alone on runner "{runner}", which crashes')
def _runs_alone_and_crashes(context, name, runner):
    _run_on(context, runner, [name])
    _crashes(context, runner)


@when('tasks "{a}" and "{b}" run on runner "{runner}", which crashes')
def _run_together_and_crash(context, a, b, runner):
    _run_on(context, runner, [a, b])
    _crashes(context, runner)


def _count(context, name):
    return len(context.jobs[name].tasks[0].crashes)


@then("each of the {jobs:d} tasks has {count:d} crash")
def _each_has(context, jobs, count):
    counts = [_count(context, name) for name in context.jobs]
    assert counts == [count] * jobs, counts


@then('task "{name}" has {count:d} crash')
def _has(context, name, count):
    assert _count(context, name) == count, context.jobs[name].tasks[0]


@then('task "{name}" has no crashes')
def _has_none(context, name):
    assert _count(context, name) == 0, context.jobs[name].tasks[0]


@then('tasks "{a}" and "{b}" have no crashes')
def _have_none(context, a, b):
    assert (_count(context, a), _count(context, b)) == (0, 0)


@then("no crash is held against the VMs")
def _vms_cleared(context):
    for number in (1, 2):
        host = f"host-i-{number}"
        assert not context.suspects.unexplained_crashes(host), host


@then('job "{name}" is given up for the reason "{reason}"')
def _given_up(context, name, reason):
    assert context.given_up == {name: reason}, context.given_up


@then("nothing is given up")
def _nothing_given_up(context):
    assert not context.given_up, context.given_up


def _row(job):
    # As a store returns it: decoded from JSON.
    value = peridotsill.decode_plain(
        peridotsill.encode(_records.progress_value(job, 1))
    )
    return peridotsill.Row(key="k", value=value, version=3)


@when("a new scheduler reads the rows")
def _new_scheduler(context):
    for job in context.jobs.values():
        _records.restore_progress(job, _row(job))
    context.suspects = _suspects.Suspects(
        job_store=context.job_store, runs=context.suspects._runs
    )
    context.suspects.adopt()


@when('task "{name}" runs alone on a new runner of the same VM, which crashes')
def _runs_alone_on_same_vm(context, name):
    # A crash elsewhere comes before, so that only the VM is left in doubt.
    address = context.worker.entry.address
    _run_on(context, "i-9", [name])
    context.worker.entry = attrs.evolve(context.worker.entry, address=address)
    job = context.jobs[name]
    (crash,) = job.tasks[0].crashes
    job.tasks[0].crashes = (attrs.evolve(crash, host="host-elsewhere"),)
    _crashes(context, "i-9")


@when('the row of job "{name}" is written and read again')
def _reread(context, name):
    _records.restore_progress(context.jobs[name], _row(context.jobs[name]))


@then('the tasks in the row of job "{name}" have the fields of before')
def _row_as_before(context, name):
    fields = _row(context.jobs[name]).value["tasks"]["0.0.0"]
    assert len(fields) == _FIELDS_OF_BEFORE, fields


@then("a row without crashes is read as one of a task without crashes")
def _row_without(context):
    job = context.jobs["bad"]
    row = _row(job)
    del row.value["crashes"]
    _records.restore_progress(job, row)
    assert job.tasks[0].run == 1 and not job.tasks[0].crashes


# Long-lived tasks that are held back.


@given(
    'a long-lived task of job "{name}" that runs alone and crashes its runners'
)
def _held_back(context, name):
    _prepare(context)
    context.name = name
    context.told = []
    context.suspects._runs.report_trouble.side_effect = lambda job, reason: (
        context.told.append(reason)
    )


def _crash_alone(context, number):
    """Let the task crash another runner; return its pause in seconds."""
    _run_on(context, f"i-{number}", [context.name], long_lived=True)
    context.suspects.record_crash(context.worker, context.clock)
    task = context.jobs[context.name].tasks[0]
    task.phase = scheduler.TaskPhase.WAITING
    pause = max(0.0, task.not_before - context.clock)
    context.clock += pause
    return pause


@then("it is started again {pauses} s after its first {count:d} crashes")
def _pauses(context, pauses, count):
    expected = [
        float(each) for each in pauses.replace(" and", ",").split(", ")
    ]
    found = [_crash_alone(context, number) for number in range(count)]
    assert found == expected, found
    assert not context.given_up, context.given_up


@then(
    'job "{name}" is not final, and says that {count:d} runners crashed '
    "under its task"
)
def _says_crashes(context, name, count):
    assert not context.jobs[name].final
    assert context.told[-1].startswith(
        f"{count} runners crashed under task 0.0.0"
    ), context.told


@then("a new scheduler that reads the rows pauses for {seconds:g} s, too")
def _pauses_after_takeover(context, seconds):
    task = context.jobs[context.name].tasks[0]
    task.not_before = 0.0
    context.clock += 100.0
    new = _suspects.Suspects(
        job_store=context.job_store, runs=unittest.mock.Mock()
    )
    new.adopt()
    assert task.not_before - context.clock == seconds, task.not_before


@when("it has run for {seconds:g} s and is reported")
def _runs_on(context, seconds):
    _run_on(context, "i-9", [context.name], seconds=seconds, long_lived=True)
    job = context.jobs[context.name]
    job.failure_reason = context.told[-1]
    tracker = _runs.RunTracker(
        job_store=unittest.mock.Mock(),
        workers=unittest.mock.Mock(),
        estimator=unittest.mock.Mock(),
        counters=unittest.mock.Mock(),
    )
    (placed,) = context.worker.placed.values()
    name = _ports.TaskName(job=job.spec.id, task="0.0.0")
    tracker._record_running(
        placed,
        _ports.ReportedRun(name=name, run=placed.task.run, checkpoint=""),
    )


@then('job "{name}" is not final, and says nothing of crashes')
def _says_nothing(context, name):
    job = context.jobs[name]
    assert not job.final and not job.failure_reason, job.failure_reason


@when("it crashes {count:d} runners")
def _crash_many(context, count):
    context.pauses = [_crash_alone(context, number) for number in range(count)]


@then("{count:d} crashes are kept, and its pause is {seconds:g} s")
def _few_kept(context, count, seconds):
    task = context.jobs[context.name].tasks[0]
    assert len(task.crashes) == count, len(task.crashes)
    assert context.pauses[-1] == seconds, context.pauses
