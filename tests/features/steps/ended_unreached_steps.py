"""Steps on runners that a new scheduler has never reached."""

import types
import unittest.mock

from behave import given
from behave import then
from behave import when
import controller_steps as base
from emulator import stubs
import peridotsill
import returns.result

from peridotsill_jobs import _clock
from peridotsill_jobs import _inherited_leases
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_jobs.exceptions
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_RUNNER = "i-1"
_OTHER_RUNNER = "i-2"
_VM = "m-1"
_MAX_LEASE_SECONDS = 10.0
# For how long an earlier holder may have granted leases after the takeover.
_EARLIER_GRANTS_SECONDS = 6.0
_STEP_SECONDS = 0.05
_ROUND_SECONDS = 0.1
_REGISTRY_SECONDS = 0.4
_VM_LIST_SECONDS = 0.7
_STANDBY_POOL = "standby"
_UP = _ports.VmState.UP
_MOVING = _ports.VmState.MOVING
_DOWN = _ports.VmState.DOWN
_OTHER = _ports.VmState.OTHER


class _Link(base._Link):
    """A runner's link that is not reached, unless it is the other runner's."""

    def __init__(self, runner):
        super().__init__()
        self.reached = runner == _OTHER_RUNNER

    @property
    def may_grant(self):
        return self.reached

    @property
    def silent_seconds(self):
        return 0.0 if self.reached else float("inf")

    def may_have_begun(self, name, run):
        return True


class _Platform:
    """What the scheduler reads, on a simulated clock.

    ``entries`` is by runner; an entry of None can't be read. ``change`` is
    called before each read with what is read and how often it was.
    """

    def __init__(self):
        self.began_at = 1000.0
        self.now = self.began_at
        self.entries = {_OTHER_RUNNER: _entry(_OTHER_RUNNER, vm="m-2")}
        self.vms = {"m-2": _vm("m-2", _UP, _OTHER_RUNNER)}
        self.change = lambda kind, count: None
        self.counts = {"registry": 0, "list": 0}
        self.registry_fails = False
        self.list_fails = False
        self.read_seconds = 0.0
        self.registry_period = _REGISTRY_SECONDS
        self.next_reads = {"registry": self.now, "list": self.now}

    @property
    def elapsed(self):
        return self.now - self.began_at

    def _count(self, kind):
        self.change(kind, self.counts[kind])
        self.counts[kind] += 1

    def scan(self, prefixes):
        assert prefixes == ("servers//",), prefixes
        self._count("registry")
        self.now += self.read_seconds
        if self.registry_fails:
            return returns.result.Failure(
                peridotsill_platform.exceptions.TableUnavailable("away")
            )
        rows = [
            peridotsill.Row(key=f"servers//{runner}", value={}, version=1)
            for runner in self.entries
        ]
        return returns.result.Success(
            peridotsill.Scan(rows=tuple(rows), revision=1)
        )

    def decode(self, row):
        return self.entries[row.key.rpartition("/")[2]]

    def list_vms(self):
        self._count("list")
        if self.list_fails:
            raise peridotsill_jobs.exceptions.VmServiceUnavailable("away")
        return tuple(self.vms.values())


def _entry(runner, **fields):
    return stubs.runner_entry(runner, **fields)


def _vm(name, state, runner="", pool="p"):
    return _ports.VmRecord(
        name=name,
        pool=pool,
        state=state,
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=scheduler.Resources(cores=32),
        runner=runner,
    )


def _make_scheduler(context, **fields):
    context.platform = platform = _Platform()
    for name in ("monotonic_seconds", "boottime_seconds"):
        patch = unittest.mock.patch.object(_clock, name, lambda: platform.now)
        patch.start()
        context.add_cleanup(patch.stop)
    base._make_controller(context)
    base._submit_job(context, speculative=False, **fields)
    controller = context.controller
    ports = controller._parts.ports
    ports.keys.registry = "servers"
    ports.documents.runner.side_effect = platform.decode
    ports.vms.list_vms.side_effect = platform.list_vms
    controller._parts.catalog.standby_pools = frozenset({_STANDBY_POOL})
    controller._feeds._ports = types.SimpleNamespace(
        table=unittest.mock.Mock(scan=platform.scan),
        keys=ports.keys,
        documents=ports.documents,
        vms=ports.vms,
    )
    workers = controller._workers
    workers._workers.clear()
    earlier_grants_end_at = platform.now + _EARLIER_GRANTS_SECONDS
    workers._inherited_leases = _inherited_leases.InheritedLeases(
        get_grants_end=lambda: earlier_grants_end_at
    )
    context.made_links = {}
    workers._connect = lambda entry: _connect(context, entry)
    _name_run(context, 1)


def _connect(context, entry):
    link = _Link(entry.id)
    context.made_links.setdefault(entry.id, []).append(link)
    return link


def _name_run(context, lifetime):
    """Let a row name run 1 of the task on the runner."""
    task = context.task
    task.phase = scheduler.TaskPhase.RUNNING
    task.run, task.runner, task.lifetime = 1, _RUNNER, lifetime
    scheduler.refresh_state(context.job)
    context.controller._workers.adopt(context.job, task)
    context.named_at = context.platform.now


def _pass_step(context):
    """Let the clock go on by a step, with the reads and rounds due then."""
    platform, controller = context.platform, context.controller
    if platform.now >= platform.next_reads["registry"]:
        controller._feeds._poll_registry()
        platform.next_reads["registry"] = (
            platform.now + platform.registry_period
        )
    if platform.now >= platform.next_reads["list"]:
        controller._feeds._poll_vms()
        platform.next_reads["list"] = platform.now + _VM_LIST_SECONDS
    while not controller._inbox.empty():
        controller._handle_event(controller._inbox.get_nowait())
    assert controller._parts.lease.renew()
    controller._run_round()
    platform.now += _STEP_SECONDS


def _pass_seconds(context, seconds):
    until = context.platform.now + seconds
    while context.platform.now < until:
        _pass_step(context)


def _is_lost(context):
    task = context.task
    return task.run > 1 or task.phase is not scheduler.TaskPhase.RUNNING


@given('a new scheduler with a task on runner "i-1", which has left')
def _scheduler_after_leaving(context):
    _make_scheduler(context, long_lived=True)


@given('a new scheduler with a task on runner "i-1", which does not answer')
def _scheduler_with_silent_runner(context):
    _make_scheduler(context)
    context.platform.entries[_RUNNER] = _entry(_RUNNER, vm=_VM)
    context.platform.vms[_VM] = _vm(_VM, _UP, _RUNNER)
    _pass_step(context)


def _list_vm(name, state, runner="", pool="p"):
    def list_it(platform):
        platform.vms[name] = _vm(name, state, runner, pool)

    return list_it


def _register(entry):
    def register(platform):
        platform.entries[_RUNNER] = entry

    return register


def _set(**fields):
    def set_fields(platform):
        for name, value in fields.items():
            setattr(platform, name, value)

    return set_fields


def _change(kind, apply):
    """Return a fact that is applied before each read of a kind."""

    def set_change(platform):
        def change(read_kind, count):
            if read_kind == kind:
                apply(platform, count)

        platform.change = change

    return set_change


def _fail_every_third(platform, count):
    platform.registry_fails = count % 3 == 2


def _list_every_second(platform, count):
    platform.vms[_VM] = _vm(_VM, _UP, _RUNNER if count % 2 else "i-9")


def _down_every_second(platform, count):
    has_runner = count % 2
    platform.vms[_VM] = (
        _vm(_VM, _UP, _RUNNER) if has_runner else _vm(_VM, _DOWN)
    )


def _list_twice(platform, count):
    platform.list_fails = count not in (0, 2)


def _down_with_another(platform):
    platform.vms[_VM] = _vm(_VM, _DOWN)
    platform.vms["m-3"] = _vm("m-3", _UP, _RUNNER)


_FACTS = {
    "the registry has it": _register(_entry(_RUNNER)),
    "the registry has it in another lifetime": _register(
        _entry(_RUNNER, lifetime=2)
    ),
    "the registry has an entry of it that can't be read": _register(None),
    "the registry is empty": lambda platform: platform.entries.clear(),
    "every third read of the registry fails": _change(
        "registry", _fail_every_third
    ),
    "the registry is read every 1.8 s": _set(registry_period=1.8),
    "a read of the registry takes 1.8 s": _set(read_seconds=1.8),
    "a VM that is up has it": _list_vm(_VM, _UP, _RUNNER),
    "a VM that is moving has it": _list_vm(_VM, _MOVING, _RUNNER),
    "every second list has it": _change("list", _list_every_second),
    "a VM that is up has no runner": _list_vm("m-3", _UP),
    "a VM in a state that is not known has no runner": _list_vm("m-3", _OTHER),
    "no VM is listed": lambda platform: platform.vms.clear(),
    "the VMs are listed at the takeover and 1.4 s later only": _change(
        "list", _list_twice
    ),
    "the VMs can't be listed": _set(list_fails=True),
    "its VM is down only in every second list": _change(
        "list", _down_every_second
    ),
    "its VM is down, and another has it": _down_with_another,
    "its VM is down, and has it": _list_vm(_VM, _DOWN, _RUNNER),
    "a VM of a standby pool is listed as up without a runner": _list_vm(
        "m-9", _UP, pool=_STANDBY_POOL
    ),
    "its VM is listed as down without a runner": _list_vm(_VM, _DOWN),
    "its VM is listed as moving without a runner": _list_vm(_VM, _MOVING),
    "its VM is listed as maintenance without a runner": _list_vm(
        _VM, _ports.VmState.MAINTENANCE
    ),
}


def _register_fact(description):
    @when(description)
    def _happens(context):
        _FACTS[description](context.platform)


for _description in _FACTS:
    _register_fact(_description)


@when("the registry can't be read between {begin:g} and {end:g} s")
def _registry_away(context, begin, end):
    def fail(platform, count):
        platform.registry_fails = begin <= platform.elapsed < end

    _change("registry", fail)(context.platform)


@when("the registry has it until {seconds:g} s")
def _registry_loses_it(context, seconds):
    def lose(platform, count):
        platform.entries[_RUNNER] = _entry(_RUNNER)
        if platform.elapsed >= seconds:
            del platform.entries[_RUNNER]

    _change("registry", lose)(context.platform)


@when("the new scheduler goes on for {seconds:g} s")
def _go_on(context, seconds):
    _pass_seconds(context, seconds)


@when('runner "i-1" answers once')
def _answers_once(context):
    context.made_links[_RUNNER][-1].reached = True


@when("its VM has another runner")
def _vm_has_another(context):
    context.platform.vms[_VM] = _vm(_VM, _UP, "i-9")
    _pass_seconds(context, 1.0)


@when("an entry of it comes back in the registry")
def _entry_back(context):
    context.platform.entries[_RUNNER] = _entry(_RUNNER, vm=_VM)
    _pass_seconds(context, 1.0)


@when("the registry loses it for a moment")
def _registry_loses_it_shortly(context):
    del context.platform.entries[_RUNNER]
    _pass_seconds(context, 0.5)
    assert context.controller._workers.find(_RUNNER) is None
    context.platform.entries[_RUNNER] = _entry(_RUNNER, vm=_VM)
    _pass_seconds(context, 0.5)


@when('a row names run 1 on runner "i-1" again')
def _row_names_run(context):
    _name_run(context, 1)


@when('a row names run 1 on runner "i-1" of that lifetime')
def _row_names_next_lifetime(context):
    _name_run(context, 2)


@when('runner "i-1" answers')
def _answers(context):
    with unittest.mock.patch.object(_logs, "log") as context.log:
        base._handle_report(context, _RUNNER)


@then('run 1 is lost for "{reason}" after {least:g} to {most:g} s')
def _lost_after(context, reason, least, most):
    platform = context.platform
    while not _is_lost(context):
        elapsed = platform.now - context.named_at
        assert elapsed <= most, f"not lost after {elapsed} s"
        _pass_step(context)
    elapsed = platform.now - _STEP_SECONDS - context.named_at
    assert least - 1e-6 <= elapsed <= most, elapsed
    counts = context.controller._parts.counters.render({}).decode()
    line = f'tasks_lost_total{{reason="{reason}"}} 1'
    assert line in counts, counts


@then("run 1 is not lost within {seconds:g} s")
def _not_lost_within(context, seconds):
    _pass_seconds(context, seconds)
    assert not _is_lost(context), context.task


@then('run 2 starts on runner "i-2" in the same round')
def _started_elsewhere(context):
    (link,) = context.made_links[_OTHER_RUNNER]
    assert [each.run for each in link.starts] == [2], link.starts
    assert context.task.runner == _OTHER_RUNNER, context.task


@then('no order that was queued for runner "i-1" is sent')
def _no_orders(context):
    *ended, current = context.made_links[_RUNNER]
    assert ended and all(link.stopped for link in ended), ended
    assert not current.stopped and not current.stops, current


def _left_waits(context):
    return context.controller._workers.remaining_waits(_MAX_LEASE_SECONDS)


@then('the next holder is left a wait for runner "i-1"')
def _wait_left(context):
    waits = _left_waits(context)
    assert waits.get(_RUNNER, 0.0) > 5.0, waits


@then('the next holder is left no wait for runner "i-1"')
def _no_wait_left(context):
    waits = _left_waits(context)
    assert waits[_RUNNER] == 0.0, waits


@then('it is logged that runner "i-1" answers again')
def _logged_answer(context):
    lines = [call.args[0] for call in context.log.call_args_list]
    assert "runner:answers_again" in lines, lines
