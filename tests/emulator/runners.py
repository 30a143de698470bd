"""Runners: leases, fences, ends, late orders, and what they do wrong."""

import itertools
import threading
import time

import attrs


class Unanswered(Exception):
    """The runner does not answer."""


class OrderError(Exception):
    """The runner answers an order with an error status."""

    def __init__(self, status, reason=""):
        super().__init__(reason)
        self.status = status
        self.reason = reason


@attrs.define
class Run:
    """A run and what the runner knows of it."""

    task: str
    run: int
    began: float
    seconds: float
    percent: int = 100

    @property
    def due(self):
        """Return when the run is finished if nothing ends it before."""
        return self.began + self.seconds


@attrs.define
class RunnerFaults:
    """What a runner does wrong.

    ``silent`` answers nothing, ``fail`` fails all, ``late_seconds`` answers
    no order and carries it out later; with ``odd`` it answers such an
    order with status 500.
    """

    silent: bool = False
    fail: bool = False
    late_seconds: float = 0.0
    odd: bool = False


class Runner:
    """One life of a VM; everything it begins and ends goes to the log."""

    def __init__(self, *, world, runner_id, vm, pool, capacity, labels):
        self.world = world
        self.id = runner_id
        self.vm = vm
        self.pool = pool
        self.capacity = capacity
        self.labels = labels
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.faults = RunnerFaults()
        self.lock = threading.Condition()
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.fence = 0
        self.lease_until = 0.0
        self.lapsed_at = float("-inf")
        self.up = True
        self._zero = time.monotonic()

    def clock_ms(self):
        """Return the runner's own steady clock."""
        return (time.monotonic() - self._zero) * 1000.0

    def _meet_faults(self):
        if not self.up or self.faults.silent:
            raise Unanswered(self.id)

    def _meet_lateness(self, order, body):
        """Carry an order out later, if this runner does so now."""
        if not self.faults.late_seconds:
            return

        def carry_out():
            try:
                order(body, again=True)
            except (OrderError, Unanswered):
                return

        threading.Timer(self.faults.late_seconds, carry_out).start()
        if self.faults.odd:
            raise OrderError(500)
        raise Unanswered(self.id)

    def _fenced(self, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            raise OrderError(409, "fence")
        self.fence = fence

    def start(self, body, again=False):
        """Begin a run; ``again`` if its lateness is over."""
        self._meet_faults()
        if not again:
            self._meet_lateness(self.start, body)
        with self.lock:
            self._settle()
            self._fenced(body)
            task, run = body["task"], body["run"]
            if task in self.runs and self.runs[task].run == run:
                return {"clock_ms": self.clock_ms()}
            if run <= self.highest.get(task, 0):
                raise OrderError(409, "old")
            if body["until_ms"] <= self.clock_ms():
                raise OrderError(409, "late")
            self.highest[task] = run
            seconds = self.world.task_seconds(task)
            self.runs[task] = Run(
                task=task, run=run, began=time.monotonic(), seconds=seconds
            )
            self._extend(body["until_ms"])
            self.world.log.begun(self, task, run, body)
            self.lock.notify_all()
            return {"clock_ms": self.clock_ms()}

    def _extend(self, until_ms):
        most = self.clock_ms() + self.world.max_lease_ms
        self.lease_until = max(self.lease_until, min(until_ms, most))

    def stop(self, body, again=False):
        """End a run; one that is not there is refused from now on."""
        self._meet_faults()
        if not again:
            self._meet_lateness(self.stop, body)
        with self.lock:
            self._settle()
            self._fenced(body)
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            there = self.runs.get(task)
            if there is not None and there.run == run:
                self._end(there, "stopped", time.monotonic())
            return {"clock_ms": self.clock_ms()}

    def hold(self, body):
        """Extend leases, forget seen ends, and report."""
        self._meet_faults()
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        with self.lock:
            self._settle()
            self._fenced(body)
            if body.get("until_ms"):
                self._extend(body["until_ms"])
            seen = body["last_seen"]
            for row in self.ended:
                if row[0] <= seen:
                    self.world.log.noted(self, row)
            self.ended = [row for row in self.ended if row[0] > seen]
            while not self.ended and time.monotonic() < deadline and self.up:
                self.lock.wait(0.02)
                self._settle()
            self._meet_faults()
            return {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": [
                    [each.task, each.run, "", each.percent, 0.0]
                    for each in self.runs.values()
                ],
                "ended": self.ended[:500],
            }

    def pace(self, body):
        """Set the share of speed of a run."""
        self._meet_faults()
        with self.lock:
            self._fenced(body)
            there = self.runs.get(body["task"])
            if there is None or there.run != body["run"]:
                raise OrderError(409, "old")
            there.percent = body["percent"]
            return {"clock_ms": self.clock_ms()}

    def settle(self):
        """End what is due, also while nobody reaches this runner."""
        with self.lock:
            self._settle()

    def _settle(self):
        """End what is due: finished runs, and all when the lease ran out.

        Each ends at its own time, however late that is found out.
        """
        now = time.monotonic()
        lapse = self._zero + self.lease_until / 1000.0
        if now > lapse:
            self.lapsed_at = lapse
        for each in sorted(self.runs.values(), key=lambda run: run.due):
            if each.due <= min(now, lapse):
                bad = self.faults.fail or self.world.is_poison(each.task)
                self._end(each, "failed" if bad else "done", each.due)
            elif now > lapse:
                self._end(each, "lapsed", lapse)

    def _end(self, run, how, at):
        del self.runs[run.task]
        number = next(self.numbers)
        self.ended.append([number, run.task, run.run, how, ""])
        self.world.log.ended(self, run.task, run.run, how, at)
        self.lock.notify_all()

    def die(self):
        """End with everything that runs here, without a word."""
        with self.lock:
            self._settle()
            self.up = False
            now = time.monotonic()
            for each in self.runs.values():
                self.world.log.ended(self, each.task, each.run, "gone", now)
            self.runs = {}
            self.lock.notify_all()

    def row(self):
        """Return the registry's row."""
        return {
            "service": self.pool,
            "address": self.world.address_of(self),
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": int(self.clock_ms()),
            "seq": int(self.clock_ms()),
            "born": self.born,
        }
