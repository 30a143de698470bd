"""Runners whose work items are members of gangs.

The members of one run work from the moment when all of them are present with
the same checkpoint, and end together. All save the same value once a second
of work. A member waits `gang_timeout_ms` for the others, then ends `alone`.
"""

import threading
import time

import platform_standin as standin

GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 1.0
RESTORE_S = 0.1


class GangRunner(standin.Runner):
    """Lets the platform say how and when a member of a gang ends."""

    def _advance(self):
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_until
        for name, run in list(self.runs.items()):
            how = self.platform.gang_outcome(run, now)
            if run.get("stop_at") and now >= run["stop_at"]:
                self._end(name, "stopped")
            elif lapsed and how != "done":
                self._end(name, "lapsed")
            elif how:
                self._end(name, how)


class GangPlatform(standin.Platform):
    """Keeps, by step and run, the members that are present."""

    runner_class = GangRunner

    def __init__(self, record, members, run_ms, checkpoints):
        super().__init__(record)
        self._members = members
        self._run_ms = run_ms
        self._checkpoints = checkpoints
        self._gangs = {}
        self._gang_lock = threading.Lock()

    def _gang(self, run):
        step, _, index = run["task"].rpartition(".")
        gang = self._gangs.setdefault(
            (step, run["run"]),
            {"present": {}, "began": None, "outcome": None, "saved": 0},
        )
        return gang, int(index)

    def note_start(self, runner, run, call):
        super().note_start(runner, run, call)
        with self._gang_lock:
            gang, index = self._gang(run)
            gang["present"][index] = run["saved"]
            carried = set(gang["present"].values())
            if len(gang["present"]) < self._members:
                return
            if len(carried) > 1:
                self.record("gang-differs", task=run["task"], values=carried)
                return
            saved = carried.pop()
            gang["saved"] = int(saved[:8], 16) if saved else 0
            gang["began"] = time.monotonic() + (RESTORE_S if saved else 0.0)
            self.record("gang-begins", task=run["task"], run=run["run"])

    def gang_outcome(self, run, now):
        """Return how a member ends now; None while it waits or works."""
        with self._gang_lock:
            gang, _ = self._gang(run)
            if gang["outcome"]:
                return gang["outcome"]
            if gang["began"] is None:
                waited = now - run["began"]
                return "alone" if waited > GANG_TIMEOUT_S else None
            worked_ms = gang["saved"] + (now - gang["began"]) * 1000.0
            if worked_ms >= self._run_ms:
                gang["outcome"] = "done"
                return "done"
            if self._checkpoints:
                self._save(run, now - gang["began"], gang["saved"])
            return None

    def _save(self, run, seconds, before):
        count = int(seconds / CHECKPOINT_S)
        if count > 0:
            worked_ms = before + count * CHECKPOINT_S * 1000.0
            run["saved"] = f"{int(worked_ms):08x}7a21d94b"

    def note_end(self, runner, run, how):
        super().note_end(runner, run, how)
        with self._gang_lock:
            gang, index = self._gang(run)
            if how == "done" or gang["outcome"]:
                return
            if gang["began"] is not None:
                gang["outcome"] = "broken"
            else:
                gang["present"].pop(index, None)
