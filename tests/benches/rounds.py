"""Measures what a round of the scheduler costs at a peak, part by part.

A real controller schedules jobs of two steps of eight tasks on 300 VMs, with
runners and tables in memory. Between rounds some tasks end, the started ones
are confirmed, and new jobs take the place of those that have completed. So
the number of open jobs stays, and what it adds to a round can be read off.
Prints processor time, not elapsed time::

    PYTHONPATH=tests .venv/bin/python -m benches.rounds
    PYTHONPATH=tests .venv/bin/python -m benches.rounds --profile 400
"""

import argparse
import collections
import contextlib
import cProfile
import pstats
import random
import statistics
import threading
import time
import types
import unittest.mock

from emulator import stubs
import peridotsill

from peridotsill_jobs import _controller
from peridotsill_jobs import _feeds
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _live_settings
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
import peridotsill_platform
import peridotsill_scheduler as scheduler

_VMS = 300
_VM_CAPACITY = scheduler.Resources(cores=32.0, memory_mib=65536.0)
_TASKS_PER_STEP = 8
_ENDS_PER_ROUND = 60
_WARMUP_ROUNDS = 5
_ROUNDS = 30
_QUEUE = scheduler.Queue(
    name="q", host="h", prefix="/q/", pool="p", stretch=1.6, target_seconds=0.6
)


class _Link:
    """A runner's connections, without a network."""

    reached = True
    refused = False
    failing_since = None
    may_grant = True
    silent_seconds = 0.0
    leases_expired = False
    last_acknowledged_end = 0

    def __init__(self):
        self.starts = []

    def order_start(self, order):
        self.starts.append(order)

    def order_stop(self, name, run):
        raise AssertionError("no run is stopped here")

    def acknowledge_ends(self, last_end):
        self.last_acknowledged_end = last_end

    def poll_frequently(self, frequently):
        pass

    def set_paused(self, paused):
        pass

    def stop(self):
        pass


class _CpuTimer:
    """Takes the place of the round timer, and adds up processor time."""

    def __init__(self):
        self.seconds = collections.defaultdict(list)

    @contextlib.contextmanager
    def round(self, **sizes):
        with self.part("all"):
            yield

    @contextlib.contextmanager
    def part(self, name):
        started = time.thread_time()
        try:
            yield
        finally:
            self.seconds[name].append(time.thread_time() - started)


class Peak:
    """A controller at a peak with a constant number of open jobs."""

    def __init__(self, *, job_count):
        self._rng = random.Random(39)
        self._job_count = job_count
        self._numbers = iter(range(10**9))
        self._end_numbers = collections.Counter()
        self.timer = _CpuTimer()
        self._make_controller()

    def _make_controller(self):
        pool = scheduler.PoolSettings(name="p")
        catalog = types.SimpleNamespace(
            queue={"q": _QUEUE}.get,
            pool=lambda name: pool,
            config=types.SimpleNamespace(
                pools=(pool,), queues=(_QUEUE,), teams=None
            ),
            waves=(),
            standby_pools=frozenset(),
        )
        table = stubs.MemoryTable()
        ports = unittest.mock.Mock(
            table=table,
            advisor=None,
            table_limits=peridotsill_platform.TableLimits(),
        )
        ports.adaptive_timeout_table.return_value = table
        self._lease = _lease.Lease(node="n", table=table)
        self._lease.try_acquire()
        self._controller = _controller.Controller(
            parts=_controller.ControllerParts(
                settings=_live_settings.LiveSettings(stubs.node_settings()),
                ports=ports,
                catalog=catalog,
                lease=self._lease,
                counters=peridotsill.Counters(),
                stopped=threading.Event(),
            )
        )
        self._controller._round_timer = self.timer
        self._controller._workers._connect = lambda entry: _Link()
        names = [f"i-{number}" for number in range(_VMS)]
        self._controller._handle_event(
            _feeds.RegistrySnapshot(
                entries=tuple(
                    stubs.runner_entry(name, vm=f"m-{name}") for name in names
                ),
                requested_at=time.monotonic() + 3600,
            )
        )
        self._controller._handle_event(
            _feeds.VmListSnapshot(
                vms=tuple(
                    _ports.VmRecord(
                        name=f"m-{name}",
                        pool="p",
                        state=_ports.VmState.UP,
                        domain="z",
                        rack="r",
                        labels=frozenset(),
                        capacity=_VM_CAPACITY,
                        runner=name,
                    )
                    for name in names
                ),
                requested_at=time.monotonic(),
            )
        )

    def _submit(self):
        demand = scheduler.Resources(
            cores=round(min(14.0, self._rng.lognormvariate(1.4, 0.45)), 2),
            memory_mib=round(self._rng.lognormvariate(8.86, 0.55)),
        )
        fields = {
            "task_count": _TASKS_PER_STEP,
            "demand": demand,
            "estimated_seconds": round(self._rng.uniform(0.3, 1.2), 3),
            "max_per_vm": 2 if self._rng.random() < 0.15 else 0,
        }
        submission = _records.Submission(
            spec=scheduler.JobSpec(
                id=f"j{next(self._numbers)}",
                queue="q",
                payload="",
                steps=(
                    scheduler.Step(index=0, **fields),
                    scheduler.Step(index=1, after=(0,), **fields),
                ),
            ),
            queue=_QUEUE,
            arrived_ms=time.time() * 1000,
        )
        key = _records.row_key(_records.JOBS, "q", submission.spec.id)
        self._controller._apply_job_row(
            peridotsill.Row(
                key=key, value=_records.submission_value(submission), version=1
            )
        )

    def step(self):
        """Let tasks end and jobs arrive, and make one round."""
        self._lease.renew()
        self._confirm_starts()
        self._end_tasks()
        while len(self._controller._job_store.open_jobs) < self._job_count:
            self._submit()
        # The pools' demand is measured in each round.
        self._controller._fleet._next_decision_at = 0.0
        with self.timer.round():
            self._controller._run_round()

    def _confirm_starts(self):
        now = time.monotonic()
        for worker in self._controller._workers:
            orders, worker.link.starts = worker.link.starts, []
            for order in orders:
                self._controller._handle_event(
                    _link_events.OrderOutcome(
                        runner=worker.entry.id,
                        lifetime=worker.lifetime,
                        name=order.name,
                        run=order.run,
                        is_start=True,
                        result=_link_events.OrderResult.DONE,
                        reason="",
                        answered_at=now,
                        no_attempt_in_flight=True,
                    )
                )

    def _end_tasks(self):
        running = [
            (worker, placed)
            for worker in self._controller._workers
            for placed in worker.placed.values()
        ]
        count = min(_ENDS_PER_ROUND, len(running))
        for worker, placed in self._rng.sample(running, count):
            self._end_numbers[worker.entry.id] += 1
            self._controller._runs._handle_end(
                worker,
                _ports.ReportedEnd(
                    number=self._end_numbers[worker.entry.id],
                    name=placed.name,
                    run=placed.run,
                    kind=_ports.EndKind.DONE,
                ),
            )


def measure(job_count):
    """Return the median milliseconds of each part of a round."""
    peak = Peak(job_count=job_count)
    for _ in range(_WARMUP_ROUNDS):
        peak.step()
    peak.timer.seconds.clear()
    for _ in range(_ROUNDS):
        peak.step()
    return {
        part: statistics.median(values) * 1000
        for part, values in peak.timer.seconds.items()
    }


def profile(job_count):
    """Print a profile of rounds, without what is done between them."""
    peak = Peak(job_count=job_count)
    for _ in range(_WARMUP_ROUNDS):
        peak.step()
    profiler = cProfile.Profile()
    run_round = peak._controller._run_round
    peak._controller._run_round = lambda: profiler.runcall(run_round)
    for _ in range(_ROUNDS):
        peak.step()
    pstats.Stats(profiler).sort_stats("cumulative").print_stats(45)


def main():
    """Measure rounds with 100, 400 and 1,600 open jobs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", type=int, metavar="JOBS")
    arguments = parser.parse_args()
    if arguments.profile:
        profile(arguments.profile)
        return
    for job_count in (100, 400, 1600):
        parts = measure(job_count)
        print(
            f"{job_count:5} open jobs:",
            ", ".join(f"{name} {ms:.1f} ms" for name, ms in parts.items()),
            flush=True,
        )


if __name__ == "__main__":
    main()
