"""Runners: leases, fencing, results of runs, and injected faults."""

import itertools
import threading
import time

import attrs

from emulator import gangs
from peridotsill_jobs import _fencing_tokens


class UnansweredError(Exception):
    """The runner does not answer a request."""


class CrashedError(Exception):
    """The runner's process ended while it handled a request."""


class RunnerStatusError(Exception):
    """The runner answers a request with an error status."""

    def __init__(self, status, reason=""):
        super().__init__(reason)
        self.status = status
        self.reason = reason


@attrs.define
class Run:
    """A run on a runner.

    ``began`` is a monotonic time; ``percent`` is the share of full speed.
    """

    task: str
    run: int
    began: float
    seconds: float
    percent: int = 100

    @property
    def due(self):
        """Return when the run finishes if nothing ends it earlier."""
        return self.began + self.seconds


@attrs.define
class RunnerFaults:
    """Faults that a runner injects.

    A ``silent`` runner answers no request. With ``fail_all`` each finished
    run counts as failed. With ``late_seconds`` the runner does not answer
    requests to start or stop a run, or each ``late_every``-th of them, and
    executes them that much later; if ``answer_500`` is set too, it answers
    them with status 500 at once. With ``late_polls`` polls are late as well.
    With ``unhealthy_stops`` it answers a stop with 503 and does nothing.
    It takes ``hold_seconds`` more to answer a poll. An ``unregistered`` one
    does not reach the store, so that its entry in the registry lapses.
    A silent one that ``keeps_calls`` leaves them in ``World.kept_calls`` for
    its next lifetime.
    Requests under ``unheard_epoch`` get no answer, nor do those under
    another epoch than ``only_epoch`` if that is set: a partition between
    the runner and some schedulers.
    """

    silent: bool = False
    fail_all: bool = False
    late_seconds: float = 0.0
    late_every: int = 1
    answer_500: bool = False
    unhealthy_stops: bool = False
    hold_seconds: float = 0.0
    unregistered: bool = False
    late_polls: bool = False
    keeps_calls: bool = False
    unheard_epoch: int = 0
    only_epoch: int = 0

    def cuts_off(self, token):
        """Tell whether requests with a fencing token don't reach the runner.

        That of a holder of the lease is of the block below its epoch.
        """
        if not token:
            return False
        block = _fencing_tokens.TOKENS_PER_EPOCH
        epoch = -(-token // block) * block
        is_other = self.only_epoch and epoch != self.only_epoch
        return bool(is_other) or epoch == self.unheard_epoch


class Runner:
    """The runner of a VM from one boot to the next.

    Reports the start and end of each run to the run log.
    """

    def __init__(
        self, *, world, runner_id, vm, pool, capacity, labels, listener=None
    ):
        self.world = world
        self.id = runner_id
        self.vm = vm
        self.pool = pool
        self.capacity = capacity
        self.capacity_changes = [(float("-inf"), capacity["cpu"])]
        self.labels = labels
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.leaves_at = float("inf")
        self.faults = RunnerFaults()
        self.lock = threading.Condition()
        self.runs = {}
        self.highest_runs = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self._order_numbers = itertools.count()
        self.fence = 0
        self.lease_until = 0.0
        self.lease_lapsed_at = float("-inf")
        self.up = True
        self.listener = listener or world.listen(world.address_of(self))
        self._clock_start = time.monotonic()

    def clock_ms(self):
        """Return the milliseconds since this runner was created."""
        return (time.monotonic() - self._clock_start) * 1000.0

    def _inject_faults(self, body, name=""):
        if name and self.faults.silent and self.faults.keeps_calls:
            self.world.kept_calls[self.id].append((name, body))
        token = body.get("fencing_token", 0)
        if self.faults.silent or self.faults.cuts_off(token):
            raise UnansweredError(self.id)
        if not self.up:
            raise CrashedError(self.id)

    def _delay_request(self, name, body):
        """Execute a request later if ``late_seconds`` is set.

        The lifetime that the runner has by then executes it.

        Raises:
            UnansweredError: The request is delayed.
            RunnerStatusError: It is delayed, and ``answer_500`` is set.
        """
        if not self.faults.late_seconds:
            return
        if next(self._order_numbers) % self.faults.late_every:
            return

        timer = threading.Timer(
            self.faults.late_seconds,
            self.world.execute_late,
            (self.id, name, body),
        )
        # One that is due long after a scenario does not hold up its process.
        timer.daemon = True
        timer.start()
        if self.faults.answer_500:
            raise RunnerStatusError(500)
        raise UnansweredError(self.id)

    def _check_fence(self, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            raise RunnerStatusError(409, "fence")
        self.fence = fence

    def start(self, body, delayed=False):
        """Start a run; ``delayed`` requests are not delayed again."""
        self._inject_faults(body, "start")
        if not delayed:
            self._delay_request("start", body)
        with self.lock:
            self._end_due_runs()
            self._check_fence(body)
            task, run = body["task"], body["run"]
            if task in self.runs and self.runs[task].run == run:
                return {"clock_ms": self.clock_ms()}
            if run <= self.highest_runs.get(task, 0):
                raise RunnerStatusError(409, "old")
            if body["until_ms"] <= self.clock_ms():
                raise RunnerStatusError(409, "late")
            self.highest_runs[task] = run
            seconds = self.world.task_seconds(task)
            self.runs[task] = Run(
                task=task, run=run, began=time.monotonic(), seconds=seconds
            )
            self._extend_lease(body["until_ms"])
            self.world.log.record_start(self, task, run, body)
            self.lock.notify_all()
        if self.world.is_deadly(task):
            self._crash_under_task()
        return {"clock_ms": self.clock_ms()}

    def _crash_under_task(self):
        """End the process, at once or after the world's ``deadly_seconds``.

        Raises:
            CrashedError: The process has ended, so nothing is answered.
        """
        if self.world.deadly_seconds:
            threading.Timer(
                self.world.deadly_seconds, self.world.crash_under_task, (self,)
            ).start()
            return
        self.world.crash_under_task(self)
        raise CrashedError(self.id)

    def _extend_lease(self, until_ms):
        latest = self.clock_ms() + self.world.max_lease_ms
        self.lease_until = max(self.lease_until, min(until_ms, latest))

    def stop(self, body, delayed=False):
        """Stop a run.

        A run that is not known here yet is refused if its start arrives
        later.
        """
        self._inject_faults(body, "stop")
        if self.faults.unhealthy_stops:
            raise RunnerStatusError(503)
        if not delayed:
            self._delay_request("stop", body)
        with self.lock:
            self._end_due_runs()
            self._check_fence(body)
            task, run = body["task"], body["run"]
            self.highest_runs[task] = max(self.highest_runs.get(task, 0), run)
            current = self.runs.get(task)
            if current is not None and current.run == run:
                self._end(current, "stopped", time.monotonic())
            return {"clock_ms": self.clock_ms()}

    def hold(self, body, delayed=False):
        """Extend the lease and report the current and ended runs.

        Drops the ended runs that the request acknowledges. Without an ended
        run to report it waits up to ``wait_ms`` for one.
        """
        self._inject_faults(body, "hold")
        if self.faults.late_polls and not delayed:
            self._delay_request("hold", body)
        time.sleep(self.faults.hold_seconds)
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        with self.lock:
            self._end_due_runs()
            self._check_fence(body)
            if body.get("until_ms"):
                self._extend_lease(body["until_ms"])
            last_seen = body["last_seen"]
            for row in self.ended:
                if row[0] <= last_seen:
                    self.world.log.record_acknowledged(self, row)
            self.ended = [row for row in self.ended if row[0] > last_seen]
            while not self.ended and time.monotonic() < deadline and self.up:
                self.lock.wait(0.02)
                self._end_due_runs()
            self._inject_faults(body)
            return {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": [
                    [run.task, run.run, "", run.percent, 0.0]
                    for run in self.runs.values()
                ],
                "ended": self.ended[:500],
            }

    def pace(self, body):
        """Set the share of full speed of a run, in percent."""
        self._inject_faults(body)
        with self.lock:
            self._check_fence(body)
            current = self.runs.get(body["task"])
            if current is None or current.run != body["run"]:
                raise RunnerStatusError(409, "old")
            current.percent = body["percent"]
            return {"clock_ms": self.clock_ms()}

    def end_due_runs(self):
        """End finished and expired runs.

        Requests do this too, but none may reach this runner before the rules
        are checked.
        """
        with self.lock:
            self._end_due_runs()

    def _end_due_runs(self):
        """End finished runs, and all others once the lease has expired.

        The end time recorded for a run is when it finished or when the
        lease expired, not when this method was called.
        """
        now = time.monotonic()
        lapsed_at = self._clock_start + self.lease_until / 1000.0
        if now > lapsed_at:
            self.lease_lapsed_at = lapsed_at
        for run in sorted(self.runs.values(), key=lambda each: each.due):
            gang_outcome = gangs.outcome_of(self.world, run)
            outcome, due = gang_outcome or ("done", run.due)
            if due <= min(now, lapsed_at):
                failed = self.faults.fail_all or self.world.is_poison(run.task)
                if failed and outcome == "done":
                    outcome = "failed"
                self._end(run, outcome, due)
            elif now > lapsed_at:
                self._end(run, "lapsed", lapsed_at)

    def _end(self, run, outcome, end_time):
        del self.runs[run.task]
        number = next(self.end_numbers)
        self.ended.append([number, run.task, run.run, outcome, ""])
        self.world.log.record_end(self, run.task, run.run, outcome, end_time)
        self.lock.notify_all()

    def end_abruptly(self, outcome="gone", silent=False, keeps_address=False):
        """End the process: all runs end, and its address refuses connections.

        ``outcome`` is how the runs are logged. A ``silent`` address accepts
        connections and answers nothing. With ``keeps_address`` another process
        listens there.
        """
        self.faults.silent = silent
        if not silent and not keeps_address:
            self.listener.close()
        with self.lock:
            self._end_due_runs()
            self.up = False
            now = time.monotonic()
            for run in self.runs.values():
                self.world.log.record_end(
                    self, run.task, run.run, outcome, now
                )
            self.runs = {}
            self.lock.notify_all()

    def set_cores(self, cores):
        """Change the capacity while the runner runs; its row shows it."""
        self.capacity = {**self.capacity, "cpu": cores * 1000}
        self.capacity_changes.append((time.monotonic(), cores * 1000))
        self.world.write("servers", self.id, self.row())

    def allowed_cpu(self, at):
        """Return the capacity that a start at a time must keep to.

        Less capacity counts only some time after it has shrunk.
        """
        since = at - self.world.shrink_grace_seconds
        before = [cpu for when, cpu in self.capacity_changes if when <= since]
        later = [
            cpu for when, cpu in self.capacity_changes if since < when <= at
        ]
        return max([before[-1], *later])

    def _drain_fields(self):
        if self.leaves_at == float("inf"):
            return {}
        left = max(0.0, self.leaves_at - time.monotonic())
        return {"drain_remaining_ms": int(left * 1000)}

    def row(self):
        """Return this runner's row in the registry."""
        return {
            **self._drain_fields(),
            "service": self.pool,
            "machine": self.vm,
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
            "born": self.born + self.world.born_offsets_ms.get(self.id, 0),
        }
