"""Steps for the capacity that is reserved for large tasks."""

import collections
import random
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
from benches import placement
import choice_steps as choice
from emulator import stubs
import hypothesis
from hypothesis import strategies
import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _live_settings
from peridotsill_jobs import _logs
from peridotsill_jobs import _placements
from peridotsill_jobs import _settings
import peridotsill_scheduler as scheduler


class _FullPool(placement.Pool):
    """A pool in which some small tasks always wait, the newest ones."""

    def __init__(self, *, seed=1, factor=None, longest=2.0, **fields):
        super().__init__(**fields)
        self._rng = random.Random(seed)
        self._factor = factor
        self._longest = longest
        self._count = 0

    def round(self):
        waiting = sum(
            job.spec.id.startswith("small") and not self.starts[job.spec.id]
            for job in self.jobs
        )
        for _ in range(2 * len(self.vms) - waiting):
            seconds = round(self._rng.uniform(0.2, self._longest), 2)
            factor = self._factor or 1.0
            if self._factor is None:
                factor = self._rng.uniform(0.5, 2.0)
            self.submit(
                f"small-{self._count}",
                cores=1.0,
                seconds=seconds,
                declared=seconds * factor,
            )
            self._count += 1
        return super().round()


def _full_pool(context, policy):
    pool = _FullPool(
        vms=[attrs.evolve(vm, runs=[]) for vm in context.vms],
        policy=policy,
        order=context.order,
        factor=context.factor,
    )
    # The VMs are full before the large task arrives.
    for _ in range(10):
        pool.round()
    return pool


def _make_vms(context, count, racks=1):
    context.vms = [
        placement.Vm(name=f"i-{n}", cores=8.0, rack=f"r-{n % racks}")
        for n in range(count)
    ]
    context.order = "payoff_density"
    context.factor = 1.0


@given(
    "{count:d} VMs of 8 cores, always full of small tasks of 1 core "
    "and up to 2 s"
)
def _given_full_vms(context, count):
    _make_vms(context, count)


@given("4 VMs of 8 cores in 2 racks, always full of small tasks")
def _given_full_racks(context):
    _make_vms(context, 4, racks=2)


@given('the jobs are ranked by "{order}"')
def _given_order(context, order):
    context.order = order


@given("their run times are estimated at {factor:g} times what they take")
def _given_factor(context, factor):
    context.factor = factor


@when('a task of 8 cores arrives under the policy "{policy}"')
def _large_arrives(context, policy):
    context.pool = _full_pool(context, policy)
    context.job = context.pool.submit("large", cores=8.0, seconds=1.0)


@when('{count:d} tasks of 8 cores arrive under the policy "{policy}"')
def _many_large_arrive(context, count, policy):
    context.pool = _full_pool(context, policy)
    for number in range(count):
        context.pool.submit(f"large-{number}", cores=8.0, seconds=1.0)


@when('a gang of {count:d} tasks of 6 cores arrives under "{policy}"')
def _gang_arrives(context, count, policy):
    context.pool = _full_pool(context, policy)
    context.job = context.pool.submit(
        "large",
        count=count,
        cores=6.0,
        seconds=1.0,
        gang=True,
        rack_sensitive=True,
    )


@then("it has not started after {seconds:d} s")
def _has_not_started(context, seconds):
    context.pool.run_until(seconds)
    assert not context.pool.starts["large"], context.pool.starts["large"]


@then("it has started after {seconds:d} s")
def _has_started(context, seconds):
    context.pool.run_until(seconds)
    assert context.pool.starts["large"], context.pool.changes


@then(
    "all its tasks have started at once, on {racks:d} racks, after "
    "{seconds:d} s"
)
def _gang_has_started(context, racks, seconds):
    context.pool.run_until(seconds)
    starts = context.pool.starts["large"]
    by_name = {vm.name: vm.rack for vm in context.pool.vms}
    assert len(starts) == context.job.spec.steps[0].task_count, starts
    assert len({at for at, _ in starts}) == 1, starts
    used = {by_name[runner] for _, runner in starts}
    assert len(used) == racks, starts


def _reserved_runners(pool):
    return {
        runner
        for each in pool.memory.standing.values()
        for runner, _ in each.runners
    }


@when("the VM is lost on which capacity is reserved for it")
def _lose_reserved(context):
    context.pool.run_until(0.3)
    (lost,) = _reserved_runners(context.pool)
    context.lost = lost
    context.pool.lose(next(vm for vm in context.pool.vms if vm.name == lost))


@then("capacity is reserved on another VM in the next round")
def _reserved_elsewhere(context):
    context.pool.round()
    (runner,) = _reserved_runners(context.pool)
    assert runner != context.lost, runner


@when("another scheduler takes over after {seconds:d} s")
def _take_over(context, seconds):
    context.pool.run_until(seconds)
    assert _reserved_runners(context.pool)
    context.pool.take_over()


@then("capacity is reserved on at most {most:d} VMs in each round of 20 s")
def _few_reserved(context, most):
    counts = []
    context.pool.run_until(
        20.0,
        each_round=lambda pool: counts.append(len(_reserved_runners(pool))),
    )
    assert 0 < max(counts) <= most, counts


@then("all of them have started after {seconds:d} s")
def _all_started(context, seconds):
    context.pool.run_until(seconds)
    late = [
        job.spec.id
        for job in context.pool.jobs
        if job.spec.id.startswith("large")
        and not context.pool.starts[job.spec.id]
    ]
    assert not late, late


def _add_vm(context, **fields):
    if "vms" not in context:
        context.vms = []
        context.pool = placement.Pool(vms=context.vms, policy="reserving")
    vm = placement.Vm(
        name=f"i-{len(context.pool.vms)}", cores=8.0, fields=fields
    )
    context.pool.vms = [*context.pool.vms, vm]
    return vm


def _place_running(context, vm, **fields):
    """Start a task on a VM, as the only one that is open."""
    pool = context.pool
    others, pool.vms = pool.vms, [vm]
    fields_of_vm, vm.fields = vm.fields, {}
    pool.submit(f"running-{vm.name}", **fields)
    pool.round()
    vm.fields = fields_of_vm
    pool.vms = others
    assert vm.runs


@given("a VM of 8 cores with a task of 4 cores that takes 4 s")
def _vm_with_task(context):
    _place_running(context, _add_vm(context), cores=4.0, seconds=4.0)


@given("a VM of 8 cores with a task of 4 cores that takes 600 s, not 4 s")
def _vm_with_slow_task(context):
    vm = _add_vm(context)
    _place_running(context, vm, cores=4.0, seconds=600.0, declared=4.0)


@given("a VM of 8 cores with a long-lived task of 2 cores")
def _vm_with_long_lived(context):
    vm = _add_vm(context)
    _place_running(context, vm, cores=2.0, seconds=1e6, long_lived=True)


_STATES = {
    "closed": {"closed_reason": "silent"},
    "due for maintenance": {"avoided": True},
    "on trial": {"on_trial": True},
    "not allowed by the advisor": {},
}


@given("a VM of 8 cores that is {state}, with a task of 4 cores")
def _vm_in_state(context, state):
    vm = _add_vm(context, **_STATES[state])
    _place_running(context, vm, cores=4.0, seconds=4.0)
    if "advisor" in state:
        context.queue = attrs.evolve(
            placement.QUEUE,
            advice=scheduler.AdviceTiming(
                decision_seconds=0.01, vm_seconds=0.0, validity_seconds=9.0
            ),
        )


@given('a task of {cores:d} cores waits, under the policy "reserving"')
def _large_waits(context, cores):
    queue = context.queue if "queue" in context else placement.QUEUE
    context.job = context.pool.submit(
        "large", cores=float(cores), seconds=1.0, queue=queue
    )
    context.pool.round()
    assert not context.pool.starts["large"]


@when("a task of 2 cores arrives that takes {seconds:g} s")
def _small_arrives(context, seconds):
    # From its history the queue's estimates are known to be right.
    for _ in range(20):
        step = scheduler.Step(index=0, task_count=1, estimated_seconds=1.0)
        context.pool.estimator.record_task("exact", 1.0, step)
    context.pool.submit(
        "small",
        cores=2.0,
        seconds=seconds,
        queue=attrs.evolve(placement.QUEUE, name="exact"),
        declared=2 * seconds - 1.0,
    )
    context.pool.round()


@then("it starts at once: {answer}")
def _starts_at_once(context, answer):
    starts = context.pool.starts["small"]
    assert bool(starts) == (answer == "yes"), starts


@then("the task of {cores:d} cores starts at {seconds:d} s")
def _large_starts(context, cores, seconds):
    context.pool.run_until(seconds + 1.0)
    starts = [at for at, _ in context.pool.starts["large"]]
    assert starts == [seconds], starts


@when("the job of the task of 8 cores is cancelled")
def _cancel(context):
    assert not context.pool.starts["small"]
    context.pool.cancel(context.job)


@then("the task of 2 cores starts in the next round")
def _small_starts_next(context):
    context.pool.round()
    assert context.pool.starts["small"]


@then("nothing is reserved or remembered")
def _nothing_remembered(context):
    assert context.pool.memory.is_empty


@then("capacity is reserved for it on the second VM alone")
def _reserved_on_second(context):
    assert _reserved_runners(context.pool) == {"i-1"}


@when("a gang of 1 task of 8 cores waits as well")
def _gang_waits(context):
    context.pool.submit("gang", cores=8.0, seconds=1.0, gang=True)


@when("5 late jobs beyond their team's rate wait, and then one within it")
def _late_wait(context):
    context.pool.teams = (scheduler.Team(name="a", weight=1.0),)
    names = [*(f"beyond-{number}" for number in range(5)), "within"]
    for number, name in enumerate(names):
        job = context.pool.submit(name, cores=8.0, seconds=1.0)
        job.team = "a"
        job.arrived_at = number - 1000.0
        job.rate_class = scheduler.RateClass(name.partition("-")[0])


@then("capacity is reserved for the one within the rate after {seconds:d} s")
def _reserved_within(context, seconds):
    context.pool.run_until(seconds)
    jobs = [key[1] for key in context.pool.memory.standing]
    assert jobs == ["within"], jobs


@when("the second VM is lost")
def _lose_second(context):
    context.pool.lose(context.pool.vms[1])


@then("nothing is reserved in the next round")
def _nothing_reserved(context):
    context.pool.round()
    assert not _reserved_runners(context.pool)


@then("the task of 2 cores has started after {seconds:d} s")
def _small_has_started(context, seconds):
    assert _reserved_runners(context.pool)
    context.pool.run_until(seconds)
    assert context.pool.starts["small"], context.pool.changes


@then("nothing is reserved for {seconds:d} s after that")
def _nothing_reserved_for(context, seconds):
    ((started_at, _),) = context.pool.starts["small"]
    given_up = [c for c in context.pool.changes if c.reason == "given_up"]
    assert len(given_up) == 1, context.pool.changes
    reserved = []
    context.pool.run_until(
        started_at + seconds,
        each_round=lambda pool: reserved.append(_reserved_runners(pool)),
    )
    assert not any(reserved)


@given("drawn pools that are always full of small tasks, of drawn estimates")
def _drawn_pools(context):
    context.seeds = strategies.integers(0, 2**32)


def _run_drawn(seed):
    """Return the large jobs of a drawn pool that have not started."""
    rng = random.Random(seed)
    vms = [
        placement.Vm(name=f"i-{n}", cores=8.0, rack=f"r-{n % 2}")
        for n in range(rng.randint(1, 4))
    ]
    pool = _FullPool(
        seed=seed,
        longest=rng.choice((1.0, 4.0)),
        vms=vms,
        policy="reserving",
        order=rng.choice(scheduler.order_policies()),
    )
    arrivals = sorted(
        round(rng.uniform(0.0, 10.0), 1) for _ in range(rng.randint(1, 5))
    )
    for number, at in enumerate(arrivals):
        gang = rng.random() < 0.3
        pool.submit_at(
            at,
            f"large-{number}",
            count=rng.randint(1, len(vms)) if gang else rng.randint(1, 3),
            cores=float(rng.randint(3, 8)),
            seconds=rng.uniform(0.5, 4.0),
            declared=rng.uniform(0.3, 8.0),
            gang=gang,
            rack_sensitive=gang and rng.random() < 0.5,
            max_per_vm=rng.choice((0, 0, 1)),
        )
    pool.run_until(120.0)
    return [
        (job.spec.id, job.tally.counts.waiting)
        for job in pool.jobs
        if job.spec.id.startswith("large") and job.tally.counts.waiting
    ]


@when('drawn large tasks and gangs arrive within 10 s under "reserving"')
def _drawn_arrive(context):
    context.waiting = []

    @hypothesis.settings(max_examples=20, deadline=None, derandomize=True)
    @hypothesis.given(context.seeds)
    def check(seed):
        waiting = _run_drawn(seed)
        if waiting:
            context.waiting.append((seed, waiting))

    check()


@then("each of them has started after 120 s")
def _none_waits(context):
    assert not context.waiting, context.waiting


def _play_rounds(seed):
    """Return the faults in the rounds of a drawn pool, and what was reserved.

    Each fault is a round's number and what is wrong.
    """
    rng = random.Random(seed)
    jobs, views = choice._draw_pool(rng)
    closed = {vm for vm in views if vm.closed_reason}
    runs = {vm: [] for vm in views}
    memory = scheduler.ReservationMemory()
    faults = []
    for number in range(5):
        now = 100.0 + number / 2
        for vm in views:
            vm.closed_reason = "silent" if vm in closed else ""
            vm.made_at = now
        starts = scheduler.plan_starts(
            policy="payoff_density",
            jobs=jobs,
            vms=views,
            now=now,
            estimator=scheduler.Estimator(),
            placement=scheduler.Placement(
                policy="reserving", memory=memory, runs_of=runs.get
            ),
        )
        faults += [
            (number, fault) for fault in _find_faults(starts, views, closed)
        ]
        for start in starts:
            start.task.phase = scheduler.TaskPhase.RUNNING
            start.task.started_at = now
            runs[start.vm].append(
                scheduler.ActiveRun(
                    job=start.job, task=start.task, started_at=now
                )
            )
        for vm in views:
            _end_some(rng, vm, runs[vm])
    return faults, memory.pop_changes()


def _end_some(rng, vm, runs):
    for run in [each for each in runs if rng.random() < 0.3]:
        runs.remove(run)
        run.task.phase = scheduler.TaskPhase.DONE
        step = run.task.step
        vm.free = vm.free.plus(step.reserved)
        vm.step_counts[(run.job.spec.id, 0, step.index)] -= 1


def _find_faults(starts, views, closed):
    yield from (
        f"{vm.runner} is over its capacity"
        for vm in views
        if not vm.has_nonnegative_room
    )
    members = collections.Counter()
    tasks = set()
    for start in starts:
        job, task, vm = start.job, start.task, start.vm
        step = task.step
        key = (job.spec.id, task.occurrence, step.index)
        members[key] += 1
        answer = scheduler.advisor_answer_for(job, task, vm.runner)
        checks = {
            "twice": task not in tasks,
            "waits": task.phase is scheduler.TaskPhase.WAITING,
            "closed": vm not in closed,
            "label": vm.has_label(step.required_label),
            "limit": vm.step_counts[key] <= (step.max_per_vm or 1e9),
            "ticket": job.queue.advice is None or (answer and answer.ticket),
        }
        tasks.add(task)
        yield from (
            f"{name}: {key}" for name, holds in checks.items() if not holds
        )
    yield from (
        f"part of a gang: {start.job.spec.id}"
        for start in starts
        if start.task.step.gang
        and members[(start.job.spec.id, 0, start.task.step.index)]
        != start.task.step.task_count
    )


@when('several rounds are planned under "reserving", as runs begin and end')
def _plan_several(context):
    context.faults = []
    context.reserved = 0

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(context.seeds)
    def check(seed):
        faults, changes = _play_rounds(seed)
        context.reserved += sum(not each.reason for each in changes)
        context.faults += [(seed, *fault) for fault in faults]

    check()


@then("no VM has more than its capacity, and no task starts twice")
@then("labels, limits, tickets and closed VMs hold, and gangs start whole")
def _no_faults(context):
    assert not context.faults, context.faults[:3]
    assert context.reserved > 100, context.reserved


@given("a queue whose 30 tasks took {ratios} times as long as expected")
def _queue_with_errors(context, ratios):
    context.estimator = scheduler.Estimator()
    step = scheduler.Step(index=0, task_count=1, estimated_seconds=1.0)
    chosen = [float(each) for each in ratios.split(" or ")]
    for number in range(30):
        seconds = context.estimator.task_seconds("q", step)
        context.estimator.record_task(
            "q", seconds * chosen[number % len(chosen)], step
        )


@then("its tasks are expected to end within {margin:g} times the estimate")
def _check_margin(context, margin):
    found = context.estimator.run_margin("q")
    assert abs(found - margin) < 0.05, found


@given('the settings of a job node with the placement policy "{policy}"')
def _given_settings(context, policy):
    context.plain = stubs.node_settings()
    context.changed = attrs.evolve(context.plain, placement_policy=policy)


@then("a running node takes it over")
def _taken_over(context):
    assert context.plain.placement_policy == "immediate"
    assert not _settings._policy_problems(context.changed)
    live = _live_settings.LiveSettings(context.plain)
    live.replace(context.changed)
    assert live.current.placement_policy == "reserving"


@then("a placement policy by another name is refused")
def _refused(context):
    wrong = attrs.evolve(context.plain, placement_policy="waiting")
    (problem,) = _settings._policy_problems(wrong)
    assert problem.startswith("placement_policy: 'waiting'"), problem


@given('a scheduler\'s placements, under the policy "reserving"')
def _given_placements(context):
    context.counters = peridotsill.Counters()
    context.placements = _placements.Placements(
        settings=_live_settings.LiveSettings(
            attrs.evolve(stubs.node_settings(), placement_policy="reserving")
        ),
        workers=unittest.mock.Mock(),
        counters=context.counters,
    )


@when("{count:d} reservations are made and released within a second")
def _make_and_release(context, count):
    context.lines = []

    def record(event, **fields):
        context.lines.append((event, fields["job"]))

    with unittest.mock.patch.object(_logs, "log", record):
        for number in range(count):
            key = ("q", f"j{number}", 0, 0)
            now = 100.0 + number / 10
            with context.placements.in_round("p", now) as made:
                vm = unittest.mock.Mock(runner="i-1", lifetime=1)
                reservation = unittest.mock.Mock(at=now + 1.0, vms=(vm,))
                made.memory.add(key, reservation, now, late=False)
            with context.placements.in_round("p", now) as made:
                made.memory.release(key, "started", now)


@then("one line of each kind is logged, and {count:d} of each are counted")
def _logged_and_counted(context, count):
    assert context.lines == [
        ("placement:reserved", "j0"),
        ("placement:released", "j0"),
    ], context.lines
    for name in ("reservations", "reservations_released"):
        assert context.counters.total(name) == count
    assert not context.placements._memories
