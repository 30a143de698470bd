"""Steps for the teams' allowances, rates and shares, without a network."""

import math
import random
import types
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import executed_lines
from emulator import stubs
import hypothesis
from hypothesis import strategies
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _team_usage
from peridotsill_jobs import _workers
import peridotsill_scheduler as scheduler
from peridotsill_scheduler import _order
from peridotsill_scheduler import _reservations
from peridotsill_scheduler import _team_order

_NOW = 100.0
_NOW_MS = 1.7e12
_MAX_LEASE_SECONDS = 10.0
_Phase = scheduler.TaskPhase
_RateClass = scheduler.RateClass


def _cores(cores):
    return scheduler.Resources(cores=cores, memory_mib=cores)


def _queue(pool="p"):
    return scheduler.Queue(
        name="q",
        host="h",
        prefix="/q/",
        pool=pool,
        stretch=1.6,
        target_seconds=0.6,
    )


def _job(name, team, tasks=1, pool="p", at=_NOW, occurrences=0, **fields):
    step = scheduler.Step(
        index=0,
        task_count=tasks,
        estimated_seconds=1.0,
        **{"demand": _cores(1.0), **fields},
    )
    spec = scheduler.JobSpec(
        id=name,
        queue="q",
        payload="",
        steps=(step,),
        occurrences=occurrences,
    )
    job = scheduler.Job(
        spec=spec, queue=_queue(pool), arrived_at=at, team=team
    )
    scheduler.open_occurrences(job, 0.0)
    return job


def _vms(cores, pool="p"):
    return [
        scheduler.VmView(
            runner=f"{pool}-{number}",
            lifetime=1,
            vm=f"m-{number}",
            pool=pool,
            domain="z",
            rack="r",
            labels=frozenset(),
            capacity=_cores(4.0),
            free=_cores(4.0),
        )
        for number in range(math.ceil(cores / 4))
    ]


def _plan(jobs, vms, quotas=None, policy="payoff_density"):
    return scheduler.plan_starts(
        policy=policy,
        jobs=jobs,
        vms=vms,
        now=_NOW,
        estimator=scheduler.Estimator(),
        quotas=quotas,
    )


def _quotas(context):
    quotas = scheduler.Quotas(teams=context.teams.values())
    quotas.add("b", "p", _cores(1.0), context.used)
    return quotas


@given(
    'VMs of {cores:d} cores in all, and teams "a" of weight {a:d} and "b" '
    "of weight {b:d}"
)
def _two_teams(context, cores, a, b):
    context.teams = {
        name: scheduler.Team(name=name, weight=weight)
        for name, weight in (("a", a), ("b", b))
    }
    context.cores, context.used, context.jobs = cores, 0, []


@given('"b" may have {limit:d} cores, and {used:d} are in use')
def _allow(context, limit, used):
    context.teams["b"] = attrs.evolve(
        context.teams["b"], allowance=scheduler.Resources(cores=limit)
    )
    context.used = used


@given('"b" may have 2 cores, all of which are in use')
def _at_allowance(context):
    _allow(context, 2, 2)


@given("the VMs are full")
def _full(context):
    context.cores = 0


@when(
    '"{first}" sends {many:d} jobs of 1 core, and then "{second}" sends '
    "{few:d}"
)
def _send(context, first, many, second, few):
    rates = scheduler.TeamRates()
    rates.set_teams(context.teams.values())
    for team, count in ((first, many), (second, few)):
        for number in range(count):
            job = _job(f"{team}{number}", team)
            job.rate_class = rates.classify(team, _NOW_MS)
            context.jobs.append(job)


@when('"b" sends a gang of 4 and 2 jobs of 1 core')
def _send_gang(context):
    _send(context, "b", 2, "a", 0)
    gang = _job("gang", "b", 4, gang=True, long_lived=True)
    gang.rate_class = _RateClass.WITHIN
    context.jobs.append(gang)


@then('{a:d} jobs of "a" and {b:d} jobs of "b" start')
def _check_starts(context, a, b):
    context.quotas = _quotas(context)
    starts = _plan(context.jobs, _vms(context.cores), context.quotas)
    teams = [start.job.team for start in starts]
    assert (teams.count("a"), teams.count("b")) == (a, b), teams


@then('{count:d} jobs of "b" count as within its rate')
def _check_within(context, count):
    within = [job.rate_class for job in context.jobs if job.team == "b"].count(
        _RateClass.WITHIN
    )
    assert within == count, within


@then("the pool's demand is the work of {count:d} jobs")
def _check_demand(context, count):
    work = scheduler.StartableWork(quotas=_quotas(context))
    demand = scheduler.pool_demand(
        context.jobs,
        scheduler.ArrivalRates(),
        _NOW,
        scheduler.Estimator(),
        work.count,
    )
    assert demand.waiting == count, demand


@then('{count:d} jobs are held by the allowance of "b"')
def _check_held(context, count):
    held = context.quotas.held
    assert {team: len(keys) for team, keys in held.items()} == {"b": count}


@when('"b" sends a job of 3 tasks and one gang of 3, of 1e-309 cores each')
def _send_tiny(context):
    demand = scheduler.Resources(cores=1e-309, memory_mib=1e-309)
    context.jobs = [
        _job("tiny", "b", 3, demand=demand),
        _job("gang", "b", 3, demand=demand, gang=True),
    ]
    for job in context.jobs:
        job.rate_class = _RateClass.WITHIN


@then("all 6 tasks start, and count in the pool's demand")
def _check_tiny(context):
    starts = _plan(context.jobs, _vms(context.cores), _quotas(context))
    assert len(starts) == 6, starts
    work = scheduler.StartableWork(quotas=_quotas(context))
    counts = [work.count(job, job.spec.steps[0], 3) for job in context.jobs]
    assert counts == [3, 3], counts


@then("as many fit in the capacity that is forecast")
def _check_tiny_forecast(context):
    forecast = _reservations.Forecast(
        now=_NOW, estimator=scheduler.Estimator(), runs_of=lambda vm: ()
    )
    vm = _vms(4)[0]
    for job in context.jobs:
        step = job.spec.steps[0]
        count = _reservations._count_that_fit(forecast.room_at(vm, _NOW), step)
        assert count == step.task_count, count


@then("what starts is the {kind}")
def _check_gang(context, kind):
    starts = _plan(context.jobs, _vms(context.cores), _quotas(context))
    names = sorted(start.job.spec.id for start in starts)
    expected = ["b0", "b1"] if kind == "2 jobs" else ["gang"] * 4
    assert names == expected, names


@then('each further waiting job of "b" adds at most {most:d} executed lines')
def _check_lines(context, most):
    totals = []
    for count in (20, 200):
        context.jobs = [_job(f"j{number}", "b", 8) for number in range(count)]
        for job in context.jobs:
            job.rate_class = _RateClass.BEYOND
            if context.used:
                job.rate_class = _RateClass.WITHIN

        def decide(jobs=context.jobs, estimator=scheduler.Estimator()):
            quotas = _quotas(context)
            scheduler.pool_demand(
                jobs,
                scheduler.ArrivalRates(),
                _NOW,
                estimator,
                scheduler.StartableWork(quotas=quotas).count,
            )
            starts = _plan(jobs, _vms(context.cores), quotas)
            assert not starts, starts

        # The figures of a job that has not changed since are known.
        decide()
        counts = executed_lines.count(decide)
        totals.append(sum(counts.values()))
    per_job = (totals[1] - totals[0]) / 180
    assert totals[0] and per_job <= most, (per_job, counts)


def _entries(*teams):
    return tuple(_ports.TeamEntry(team=team) for team in teams)


def _make_tracker(teams, runners=("i-1", "i-2"), pools=("p", "p")):
    leases = _inherited_leases.InheritedLeases(get_grants_end=lambda: math.inf)
    workers = _workers.Workers(
        connect=lambda entry: unittest.mock.Mock(
            reached=True, silent_seconds=0.0
        ),
        inherited_leases=leases,
    )
    workers.update(
        tuple(
            stubs.runner_entry(runner, pool=pool, capacity=_cores(4.0))
            for runner, pool in zip(runners, pools)
        )
    )
    config = types.SimpleNamespace(teams=_entries(*teams))
    return _team_usage.TeamTracker(
        catalog=types.SimpleNamespace(config=config),
        workers=workers,
        counters=peridotsill.Counters(),
        figures=_team_usage.TeamFigures(),
    )


def _begin_round(tracker, jobs=()):
    tracker.begin_round(jobs, _MAX_LEASE_SECONDS)
    return tracker.quotas


@given('a tracker of teams, and a job of team "a" with 4 tasks')
def _tracker(context):
    context.team = scheduler.Team(
        name="a", weight=2.0, allowance=scheduler.Resources(cores=4)
    )
    context.other = scheduler.Team(name="o", weight=1.0)
    context.tracker = _make_tracker([context.team, context.other])
    context.job = _job("j", "a", 4, speculative=True)
    _begin_round(context.tracker)
    context.tracker.see(context.job)


def _assign(workers, job, task, runner, run=1):
    task.run, task.phase = run, _Phase.ASSIGNED
    task.runner, task.lifetime = runner, 1
    worker = workers.get(runner, 1)
    if worker is None:
        workers.adopt(job, task)
    else:
        workers.place(worker, job, task, last_answered_at=math.inf)


@when(
    "a start has no answer, a run is abandoned for a copy, and the rows "
    "have a run on an unknown runner"
)
def _all_kinds(context):
    workers = context.tracker._workers
    first, second, third, _ = context.job.tasks
    _assign(workers, context.job, first, "i-1")
    _assign(workers, context.job, third, "i-9")
    _assign(workers, context.job, second, "i-2")
    workers.find("i-2").link.silent_seconds = 3.0
    workers.pop_speculative()
    _assign(workers, context.job, second, "i-1", run=2)


@then('team "a" uses {cores:d} cores')
def _check_use(context, cores):
    used = _begin_round(context.tracker).used("a")
    assert used == _cores(cores), used


@given('a scheduler with a job of team "a" of 4 tasks of 8 cores')
def _scheduler_with_team(context):
    base._make_controller(context)
    base._submit_job(context, task_count=4, speculative=False)
    context.job.team = "a"
    context.controller._registry = base._registry_now()


@given('team "a" may have {cores:d} cores')
def _allow_team(context, cores):
    limit = scheduler.Resources(cores=cores)
    context.controller._parts.catalog.config = types.SimpleNamespace(
        teams=_entries(scheduler.Team(name="a", weight=1, allowance=limit)),
        pools=(),
    )


@when("{count:d} rounds are run")
def _run_rounds(context, count):
    for _ in range(count):
        context.controller._run_round()


@when('runner "i-1" lists the first of them as done')
def _first_done(context):
    order = context.links["i-1"].starts[0]
    end = attrs.evolve(base._reported_end(1, 1, "done"), name=order.name)
    running = [
        _ports.ReportedRun(name=each.name, run=each.run, checkpoint="")
        for each in context.links["i-1"].starts[1:]
    ]
    base._handle_report(context, "i-1", running=running, ended=[end])


@then("{count:d} starts were sent, all within the rate")
def _check_sent(context, count):
    starts = [
        order for link in context.links.values() for order in link.starts
    ]
    assert len(starts) == count, starts
    rendered = context.controller._parts.counters.render({}).decode()
    line = f'peridotsill_team_starts_total{{rate="within"}} {count}'
    assert line in rendered, rendered


def _within(jobs):
    return {job.key for job in jobs if job.rate_class is _RateClass.WITHIN}


@given("drawn arrivals of jobs of two teams, some of which have ended")
def _drawn_arrivals(context):
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(rng=strategies.randoms(use_true_random=False))
    def check(rng):
        teams = [
            scheduler.Team(name=name, weight=rng.choice((0.5, 3.0)))
            for name in "ab"
        ]
        jobs = []
        for number in range(30):
            job = _job(f"j{number}", rng.choice("ab"))
            # No two at the same time: either may be the first then.
            job.arrived_ms = _NOW_MS + number + 50 * rng.randint(0, 80)
            jobs.append(job)
        jobs.sort(key=lambda job: job.arrived_ms)
        live = _make_tracker(teams)
        _begin_round(live)
        live._unix_offset_ms = 50.0
        for job in jobs:
            with unittest.mock.patch.object(
                _clock,
                "monotonic_seconds",
                lambda job=job: job.arrived_ms / 1e3,
            ):
                live.see(job)
        expected = _within(jobs)
        ended = [job for job in jobs if rng.random() < 0.3]
        rng.shuffle(jobs)
        next_holder = _make_tracker(teams)
        next_holder.adopt(
            [job for job in jobs if job not in ended],
            [(job.arrived_ms, job.team) for job in ended],
        )
        assert _within(jobs) == expected, expected ^ _within(jobs)

    context.check = check


@when("a scheduler sees them live, and another reads their rows in any order")
def _read_by_both(context):
    context.check()


@then("both have the same jobs within the rates")
def _check_same_classes(context):
    """The comparison was made for each drawn series."""


@given("drawn arrivals by clocks that are off")
def _drawn_clocks(context):
    context.team = scheduler.Team(name="a", weight=2.0)


@then("no more jobs are within the rate than in time and burst")
def _check_rate(context):
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(rng=strategies.randoms(use_true_random=False))
    def check(rng):
        rates = scheduler.TeamRates()
        rates.set_teams([context.team])
        seconds, within = 0.0, 0
        for _ in range(60):
            seconds += rng.choice((0.0, 0.05, 0.6))
            now_ms = _NOW_MS + seconds * 1000.0
            arrived_ms = now_ms + rng.choice((-9e6, -3000.0, 0.0, 3000.0))
            at_ms = scheduler.plausible_arrival_ms(arrived_ms, now_ms)
            within += rates.classify("a", at_ms) is _RateClass.WITHIN
            # A first arrival may be dated back, by no more than 5 s.
            assert within <= 2 + 2 * (seconds + 5.0) + 1e-6

    check()


@then(
    "after a clock was set back by an hour, jobs count as before within "
    "{seconds:d} s"
)
def _check_set_back(context, seconds):
    rates = scheduler.TeamRates()
    rates.set_teams([context.team])
    classes = []
    for number in range(40):
        now_ms = _NOW_MS + 500.0 * number
        arrived_ms = now_ms - (3.6e6 if number >= 10 else 0.0)
        at_ms = scheduler.plausible_arrival_ms(arrived_ms, now_ms)
        classes.append(rates.classify("a", at_ms))
    assert set(classes[10 + 2 * seconds :]) == {_RateClass.WITHIN}, classes


def _set_teams(context, *teams):
    context.tracker._catalog.config.teams = _entries(*teams)


@when('the configuration drops team "a"')
def _drop(context):
    _set_teams(context, context.other)


@then("its undecided job may start without limit, after those of other teams")
def _check_dropped(context):
    wide, other = _job("wide", "a", 8), _job("o", "o")
    other.rate_class = _RateClass.BEYOND
    quotas = _begin_round(context.tracker, [context.job])
    starts = _plan([wide, other], _vms(12), quotas)
    assert [start.job.team for start in starts] == ["o"] + ["a"] * 8


@then("its job that was within its rate starts before those beyond theirs")
def _check_dropped_within(context):
    other = _job("o", "o")
    other.rate_class = _RateClass.BEYOND
    quotas = _begin_round(context.tracker, [context.job])
    starts = _plan([other, context.job], _vms(8), quotas)
    assert [start.job.team for start in starts] == ["a"] * 4 + ["o"]


@when('the configuration has team "a" again, after a job of team "c" came')
def _restore_team(context):
    context.new_job = _job("c", "c")
    context.tracker.see(context.new_job)
    _set_teams(context, context.team, context.other)


@then("the job is within its rate again")
def _check_restored(context):
    jobs = [context.job, context.new_job]
    quotas = _begin_round(context.tracker, jobs)
    beyond = [quotas.is_beyond_rate(job) for job in jobs]
    assert beyond == [False, True], beyond


@when('the configuration has team "c" as well')
def _add_team(context):
    third = scheduler.Team(name="c", weight=1.0)
    _set_teams(context, context.team, context.other, third)


@then('the job of team "c" is within its rate')
def _check_new_team(context):
    quotas = _begin_round(context.tracker, [context.new_job])
    assert not quotas.is_beyond_rate(context.new_job)


@given("a tracker of teams that has no configuration yet")
def _tracker_without_config(context):
    context.tracker = _make_tracker([])
    context.tracker._catalog.config = None


@when('it adopts {which} job of team "a" that arrives in an hour')
def _adopt_future(context, which):
    config = types.SimpleNamespace(
        teams=_entries(scheduler.Team(name="a", weight=1.0))
    )
    context.tracker._catalog.config = config
    job = _job("future", "a")
    job.arrived_ms = _clock.unix_ms() + 3.6e6
    if which == "an open":
        context.tracker.adopt([job])
        assert job.rate_class is _RateClass.WITHIN
    else:
        context.tracker.adopt([], [(job.arrived_ms, "a")])


@then('the next job of team "a", {seconds:d} s from now, is within its rate')
def _check_after_future(context, seconds):
    at = _clock.monotonic_seconds() + seconds
    job = _job("next", "a")
    job.arrived_ms = _clock.unix_ms() + seconds * 1000.0
    with unittest.mock.patch.object(_clock, "monotonic_seconds", lambda: at):
        context.tracker.see(job)
    assert job.rate_class is _RateClass.WITHIN, job.rate_class


@when('it has adopted a job of team "a" and one without a team')
def _adopt(context):
    context.jobs = [_job("j", "a"), _job("other", "")]
    context.tracker.adopt(context.jobs)


@when("it has a configuration without teams")
def _config_without_teams(context):
    context.tracker._catalog.config = types.SimpleNamespace(teams=None)


@then("of these, {which} may start")
def _check_may_start(context, which):
    quotas = _begin_round(context.tracker, context.jobs)
    starts = _plan(context.jobs, _vms(8), quotas)
    names = sorted(start.job.spec.id for start in starts)
    expected = ["j", "other"] if which == "both jobs" else ["other"]
    assert names == expected, names


@when('60 rounds find team "a" at its allowance')
def _many_rounds(context):
    context.lines = []
    workers = context.tracker._workers
    for task in context.job.tasks:
        _assign(workers, context.job, task, "i-1")
    waiting = [_job(f"w{number}", "a") for number in range(3)]

    def record(event, **fields):
        context.lines.append((event, fields))

    with unittest.mock.patch.object(_logs, "log", record):
        for _ in range(60):
            quotas = _begin_round(context.tracker, waiting)
            context.tracker.end_round(_plan(waiting, _vms(8), quotas))


@then("one line names the team and its jobs, and a gauge counts the team")
def _check_line(context):
    ((event, fields),) = context.lines
    assert event == "team:at_allowance" and fields["team"] == "a", fields
    assert fields["jobs"] == ["w0", "w1", "w2"], fields
    assert fields["used"]["cores"] == fields["allowance"]["cores"] == 4.0
    gauges = context.tracker._figures.gauges()
    assert gauges["teams_at_allowance"] == 1, gauges


@given("drawn jobs without a team, or of a configuration without teams")
def _no_teams(context):
    context.teams = {}


@then("they are served in the order of their policy")
def _check_order(context):
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(rng=strategies.randoms(use_true_random=False))
    def check(rng):
        teams = rng.choice(([], [scheduler.Team(name="a", weight=1.0)]))
        team = "" if teams else rng.choice(("", "a"))
        jobs = [
            _job(
                f"j{number}",
                team,
                rng.randint(1, 6),
                at=_NOW - rng.uniform(0.0, 4.0),
                long_lived=rng.random() < 0.2,
            )
            for number in range(20)
        ]
        order = _order.OrderContext(now=_NOW, estimator=scheduler.Estimator())
        quotas = scheduler.Quotas(teams=teams)
        for policy in scheduler.order_policies():
            served = [
                *_team_order.serve_jobs(policy, jobs, order, quotas, _vms(8))
            ]
            assert served == _order.order_jobs(policy, jobs, order)
            starts = _plan(jobs, _vms(16), quotas, policy)
            plain = [attrs.evolve(job, team="") for job in jobs]
            names = [start.job.spec.id for start in starts]
            expected = _plan(plain, _vms(16), None, policy)
            assert names == [start.job.spec.id for start in expected]

    check()


class _World:
    """Two pools, two teams, and what truly runs, whatever is known of it.

    ``truth`` has the job and the task of each run that goes on, by runner,
    job, task and run; the value of an ended one is removed.
    """

    _RUNNERS = ("i-1", "i-2", "i-3", "i-4")
    _POOLS = ("p", "p", "r", "r")

    def __init__(self, rng):
        self.rng = rng
        self.limits = {"a": rng.choice((2.0, 3.5, 5.0)), "b": 4.0}
        self.truth = {}
        self.jobs = [
            _job(
                f"j{number}",
                rng.choice("ab"),
                rng.randint(1, 4),
                rng.choice("pr"),
                demand=_cores(rng.choice((0.1, 0.7, 1.1))),
                speculative=True,
                fills=rng.random() < 0.2,
            )
            if rng.random() < 0.8
            else _job(
                f"j{number}",
                "a",
                2,
                rng.choice("pr"),
                occurrences=2,
                gang=True,
            )
            for number in range(12)
        ]
        self._take_over(known=len(self._RUNNERS))

    @property
    def _teams(self):
        return [
            scheduler.Team(
                name=name,
                weight=2.0,
                allowance=scheduler.Resources(cores=limit),
            )
            for name, limit in self.limits.items()
        ]

    def _take_over(self, known=None):
        """Let a new scheduler know the rows, and some of the runners."""
        if known is None:
            known = self.rng.randint(0, 4)
        self.tracker = _make_tracker(
            self._teams, self._RUNNERS[:known], self._POOLS[:known]
        )
        self.workers = self.tracker._workers
        for job in self.jobs:
            for task in job.tasks:
                if task.active:
                    self.workers.adopt(job, task)
        self.tracker.adopt(self.jobs)

    def _learn_runners(self):
        self.workers.update(
            tuple(
                stubs.runner_entry(runner, pool=pool, capacity=_cores(4.0))
                for runner, pool in zip(self._RUNNERS, self._POOLS)
            )
        )

    def _start(self):
        quotas = _begin_round(self.tracker, self.jobs)
        for pool in "pr":
            views = [each.view(_NOW) for each in self.workers]
            for view in views:
                view.closed_reason = ""
            starts = _plan(
                [job for job in self.jobs if job.queue.pool == pool],
                [view for view in views if view.pool == pool],
                quotas,
            )
            for start in starts:
                job, task = start.job, start.task
                run = task.run + 1
                _assign(self.workers, job, task, start.vm.runner, run)
                # An order without an answer may have been carried out.
                key = (start.vm.runner, job.spec.id, task.key, run)
                self.truth[key] = (job, task)

    def _end(self):
        if not self.truth:
            return
        key = self.rng.choice(sorted(self.truth))
        runner, job_id, task_key, run = key
        worker = self.workers.find(runner)
        if worker is None:
            return
        job, task = self.truth.pop(key)
        worker.abandoned.pop((job_id, task_key, run), None)
        if task.run == run:
            worker.placed.pop((job_id, task_key), None)
            task.phase = self.rng.choice((_Phase.DONE, _Phase.WAITING))

    def _lose_answer(self):
        for worker in self.workers:
            for placed in worker.placed.values():
                if self.rng.random() < 0.3:
                    placed.task.phase = _Phase.STOPPING

    def _abandon(self):
        for worker in self.workers:
            worker.link.silent_seconds = self.rng.choice((0.0, 0.0, 3.0))
        for _, task in self.workers.pop_speculative():
            task.phase = _Phase.WAITING

    def _change_quota(self):
        self.limits["a"] = self.rng.choice((1.0, 2.0, 5.0))
        self.tracker._catalog.config.teams = _entries(*self._teams)

    def used(self, team):
        return sum(
            task.step.demand.cores
            for job, task in self.truth.values()
            if job.team == team
        )

    def act(self):
        self.rng.choice(
            (
                self._start,
                self._start,
                self._end,
                self._end,
                self._lose_answer,
                self._abandon,
                self._take_over,
                self._learn_runners,
                self._change_quota,
            )
        )()


@given("drawn series of starts, ends, lost answers, copies and takeovers")
def _drawn_faults(context):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def check(seed):
        world = _World(random.Random(seed))
        for _ in range(40):
            before = {team: world.used(team) for team in "ab"}
            world.act()
            for team, limit in world.limits.items():
                used = world.used(team)
                assert used <= max(limit, before[team]) + 1e-6, (team, used)
                if used > before[team]:
                    context.peak = max(context.peak, used / limit)

    context.peak = 0.0
    context.check = check


@then("what runs of each team is within its quota at all times")
def _check_quota(context):
    context.check()
    # The series reach the quotas, or they would show nothing.
    assert context.peak > 0.95, context.peak
