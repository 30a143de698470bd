"""Faults that can be injected into a running cluster, by description."""

import signal
import threading
import time

from emulator import store

_FAULTS = {}


def fault(description):
    """Return a decorator that registers a fault under a description."""

    def register(function):
        _FAULTS[description] = function
        return function

    return register


def names():
    """Return the descriptions of all faults."""
    return tuple(sorted(_FAULTS))


def inject(description, cluster):
    """Inject a fault; some end by themselves after a few seconds."""
    _FAULTS[description](cluster)


def _run_after(seconds, action):
    timer = threading.Timer(seconds, action)
    timer.daemon = True
    timer.start()


def _scheduler(cluster):
    """Return the scheduler, or the first node while there is none."""
    return cluster.scheduler() or cluster.nodes[0]


@fault("nothing fails")
def _nothing(cluster):
    return None


@fault("the scheduler is killed")
def _kill(cluster):
    _scheduler(cluster).kill()


@fault("the scheduler is killed and started again")
def _restart(cluster):
    node = _scheduler(cluster)
    node.kill()
    node.start()


@fault("the scheduler is frozen for 4 s")
def _freeze(cluster):
    node = _scheduler(cluster)
    node.send(signal.SIGSTOP)
    _run_after(4, lambda: node.send(signal.SIGCONT))


@fault("the scheduler is stopped by SIGTERM")
def _terminate(cluster):
    _scheduler(cluster).send(signal.SIGTERM)


def _fail_calls_of(cluster, caller, seconds, fault_field):
    affected_callers = getattr(cluster.world.store.faults, fault_field)
    affected_callers.add(caller)
    _run_after(seconds, lambda: affected_callers.discard(caller))


@fault("the registry can't be read for 6 s")
def _registry_silent(cluster):
    tables = cluster.world.store.faults.silent_tables
    tables.add("servers")
    _run_after(6, lambda: tables.discard("servers"))


@fault("the store is down for 3 s")
def _store_down(cluster):
    _fail_calls_of(cluster, store.EVERYONE, 3, "refused")


@fault("the store refuses the scheduler for 5 s")
def _store_refuses(cluster):
    _fail_calls_of(cluster, _scheduler(cluster).store_host, 5, "refused")


@fault("the store is silent to the scheduler for 5 s")
def _store_silent(cluster):
    _fail_calls_of(cluster, _scheduler(cluster).store_host, 5, "silent")


@fault("the store loses answers of transactions")
def _store_loses(cluster):
    cluster.world.store.faults.lost_answers = 8


@fault("the store does transactions 2 s late")
def _store_late(cluster):
    cluster.world.store.faults.commit_delay_seconds = 2.0
    cluster.world.store.faults.lost_answers = 5


@fault("the store is silent for 4 s and the registry's entries lapse")
def _store_silent_to_all(cluster):
    cluster.world.silence_store(4)


@fault("the store takes 0.2 s for each answer")
def _store_slow(cluster):
    cluster.world.store.faults.answer_delay_seconds = 0.2


@fault("the store forgets its history")
def _store_compacts(cluster):
    for delay in (0.1, 0.3, 0.6, 1.0):
        _run_after(delay, cluster.world.store.compact)


def _busiest_runner(cluster):
    """Return the runner with the most tasks."""
    return max(
        (each for each in tuple(cluster.world.runners.values()) if each.up),
        key=lambda runner: len(runner.runs),
    )


@fault("a runner leaves orders unanswered and late")
def _delayed_requests(cluster):
    _delay_requests(_busiest_runner(cluster))


def _delay_requests(runner, late_seconds=2.0):
    runner.faults.late_seconds = late_seconds

    def recover():
        runner.faults.late_seconds = 0.0

    _run_after(3, recover)


@fault("runners start runs late, and are too unhealthy to stop any")
def _late_starts_without_stops(cluster):
    runners = tuple(cluster.world.runners.values())
    for runner in runners:
        runner.faults.unhealthy_stops = True
        _delay_requests(runner, late_seconds=3.0)

    def recover():
        for runner in runners:
            runner.faults.unhealthy_stops = False

    _run_after(6, recover)


@fault("a runner refuses connections for 3 s while its runs go on")
def _refusing_runner(cluster):
    cluster.world.refuse_connections(_busiest_runner(cluster), 3)


@fault("a runner answers orders with 500 and late")
def _delayed_requests_with_500(cluster):
    runner = _busiest_runner(cluster)
    runner.faults.answer_500 = True
    _delay_requests(runner)


def _silence_busiest_runner(cluster, seconds):
    runner = _busiest_runner(cluster)
    runner.faults.silent = True

    def recover():
        runner.faults.silent = False

    _run_after(seconds, recover)


@fault("a runner goes silent for 3 s")
def _silent_runner(cluster):
    _silence_busiest_runner(cluster, 3)


@fault("a runner goes silent until its leases ran out")
def _silent_past_leases(cluster):
    _silence_busiest_runner(cluster, 5)


@fault("a VM crashes and comes back")
def _crash_and_back(cluster):
    cluster.world.crash(_busiest_runner(cluster), restart_after_seconds=2.0)


@fault("a VM crashes for good")
def _crash(cluster):
    runner = _busiest_runner(cluster)
    cluster.world.crash(runner)
    cluster.world.vms.pop(runner.vm)


@fault("a runner drains for 3 s and leaves for good")
def _drain_and_leave(cluster):
    cluster.world.drain(_busiest_runner(cluster), 3)


@fault("a VM loses power for good")
def _lose_power(cluster):
    cluster.world.crash_for_good(_busiest_runner(cluster))


@fault("all nodes are killed and started again")
def _restart_all(cluster):
    time.sleep(0.3)
    for node in cluster.nodes:
        node.kill()
    cluster.start()
