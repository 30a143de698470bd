"""What can go wrong around a running cluster, by name."""

import signal
import threading
import time

from emulator import store

_FAULTS = {}


def fault(text):
    """Return a decorator that registers a fault under its description."""

    def register(function):
        _FAULTS[text] = function
        return function

    return register


def names():
    """Return the descriptions of all faults."""
    return tuple(sorted(_FAULTS))


def strike(text, cluster):
    """Make a fault happen; some end by themselves seconds later."""
    _FAULTS[text](cluster)


def _after(seconds, action):
    timer = threading.Timer(seconds, action)
    timer.daemon = True
    timer.start()


def _scheduler(cluster):
    """Return the node that schedules, or any while there is none."""
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
    _after(4, lambda: node.send(signal.SIGCONT))


@fault("the scheduler is stopped by SIGTERM")
def _term(cluster):
    _scheduler(cluster).send(signal.SIGTERM)


def _turn_away(cluster, who, seconds, kind):
    callers = getattr(cluster.world.store.faults, kind)
    callers.add(who)
    _after(seconds, lambda: callers.discard(who))


@fault("the store is down for 3 s")
def _store_down(cluster):
    _turn_away(cluster, store.EVERYONE, 3, "refused")


@fault("the store refuses the scheduler for 5 s")
def _store_refuses(cluster):
    _turn_away(cluster, _scheduler(cluster).store_host, 5, "refused")


@fault("the store is silent to the scheduler for 5 s")
def _store_silent(cluster):
    _turn_away(cluster, _scheduler(cluster).store_host, 5, "silent")


@fault("the store loses answers of transactions")
def _store_loses(cluster):
    cluster.world.store.faults.lose = 8


@fault("the store does transactions 2 s late")
def _store_late(cluster):
    cluster.world.store.faults.late_seconds = 2.0
    cluster.world.store.faults.lose = 5


@fault("the store takes 0.2 s for each answer")
def _store_slow(cluster):
    cluster.world.store.faults.slow_seconds = 0.2


@fault("the store forgets its history")
def _store_compacts(cluster):
    for delay in (0.1, 0.3, 0.6, 1.0):
        _after(delay, cluster.world.store.compact)


def _busy_runner(cluster):
    """Return the runner that runs most."""
    return max(
        (each for each in tuple(cluster.world.runners.values()) if each.up),
        key=lambda runner: len(runner.runs),
    )


@fault("a runner leaves orders unanswered and late")
def _late_orders(cluster):
    _answer_late(_busy_runner(cluster))


def _answer_late(runner):
    runner.faults.late_seconds = 2.0

    def well():
        runner.faults.late_seconds = 0.0

    _after(3, well)


@fault("a runner answers orders with 500 and late")
def _odd_orders(cluster):
    runner = _busy_runner(cluster)
    runner.faults.odd = True
    _answer_late(runner)


def _silence(cluster, seconds):
    runner = _busy_runner(cluster)
    runner.faults.silent = True

    def well():
        runner.faults.silent = False

    _after(seconds, well)


@fault("a runner goes silent for 3 s")
def _silent_runner(cluster):
    _silence(cluster, 3)


@fault("a runner goes silent until its leases ran out")
def _silent_past_leases(cluster):
    _silence(cluster, 5)


@fault("a VM crashes and comes back")
def _crash_and_back(cluster):
    cluster.world.crash(_busy_runner(cluster), back_after=2.0)


@fault("a VM crashes for good")
def _crash(cluster):
    runner = _busy_runner(cluster)
    cluster.world.crash(runner)
    cluster.world.vms.pop(runner.vm)


@fault("all nodes are killed and started again")
def _restart_all(cluster):
    time.sleep(0.3)
    for node in cluster.nodes:
        node.kill()
    cluster.start()
