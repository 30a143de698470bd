"""The platform's store: rows, transactions, a feed, and its failures."""

import bisect
import collections
import threading
import time

import attrs


class Refused(Exception):
    """The store answers with an error status."""

    def __init__(self, status, body=None):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body or {"error": "refused"}


class Lost(Exception):
    """The store's answer is lost."""


@attrs.define
class Faults:
    """What the store does wrong.

    ``refused`` are the callers turned away, ``silent`` those that get no
    answer, ``everyone`` all of them. ``lose`` is how many of the next
    transactions are done without an answer; ``late_seconds`` delays those.
    """

    refused: set = attrs.field(factory=set)
    silent: set = attrs.field(factory=set)
    slow_seconds: float = 0.0
    lose: int = 0
    late_seconds: float = 0.0


EVERYONE = "everyone"


class Store:
    """Rows by table, part and key; versions come from one counter."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.history = []
        self.history_from = 0
        self.faults = Faults()
        self.calls = collections.Counter()

    def _meet_faults(self, caller):
        faults = self.faults
        if faults.slow_seconds:
            time.sleep(faults.slow_seconds)
        if {caller, EVERYONE} & faults.silent:
            raise Lost("silent")
        if {caller, EVERYONE} & faults.refused:
            raise Refused(503)

    def transact(self, body, caller=""):
        """Apply a transaction; returns its version."""
        self.calls["rows-tx"] += 1
        self._meet_faults(caller)
        if self.faults.lose > 0:
            self.faults.lose -= 1
            if self.faults.late_seconds:
                threading.Timer(
                    self.faults.late_seconds, self._apply_late, (body,)
                ).start()
            else:
                self._apply_late(body)
            raise Lost("the answer is lost")
        return self._apply(body)

    def _apply_late(self, body):
        try:
            self._apply(body)
        except Refused:
            return

    def _apply(self, body):
        with self.lock:
            entries = body["upserts"] + body["remove"]
            everything = entries + body["precondition"]
            if len(everything) > 100:
                raise Refused(400, {"error": "over 100 entries"})
            parts = {each.get("part", "") for each in everything}
            if len(parts) > 1 and not body.get("across"):
                raise Refused(400, {"error": "several parts"})
            if any(
                each["table"] in ("op", "servers") for each in entries
            ) and not body.get("operator"):
                raise Refused(403)
            self._check(body["precondition"])
            self.version += 1
            for each in body["upserts"]:
                self._put(each, each["value"])
            for each in body["remove"]:
                self._put(each, None)
            self.lock.notify_all()
            return {"ver": self.version, "now_ms": time.monotonic() * 1e3}

    def _check(self, preconditions):
        now = [self._row(_id(each)) for each in preconditions]
        wrong = any(
            (row["ver"] if row else 0) != each["ver"]
            for row, each in zip(now, preconditions)
        )
        if wrong:
            raise Refused(412, {"rows": [row for row in now if row]})

    def _row(self, row_id):
        found = self.rows.get(row_id)
        return dict(found) if found else None

    def _put(self, each, value):
        row_id = _id(each)
        table, part, key = row_id
        row = {"table": table, "part": part, "key": key}
        if value is None:
            self.rows.pop(row_id, None)
            self.history.append({**row, "ver": self.version, "deleted": True})
            return
        row = {**row, "value": value, "ver": self.version}
        self.rows[row_id] = row
        self.history.append(row)

    def get(self, table, part, start="", limit=500, caller=""):
        """Return rows of a part in key order."""
        self.calls["rows-get"] += 1
        self._meet_faults(caller)
        with self.lock:
            keys = sorted(
                key
                for each_table, each_part, key in self.rows
                if (each_table, each_part) == (table, part)
            )
            keys = keys[bisect.bisect_left(keys, start) :]
            rows = [self._row((table, part, key)) for key in keys[:limit]]
            return {
                "rows": rows,
                "has_more": len(keys) > limit,
                "ver": self.version,
            }

    def parts(self, table, caller=""):
        """Return the parts of a table."""
        self.calls["rows-parts"] += 1
        self._meet_faults(caller)
        with self.lock:
            parts = sorted({p for t, p, _ in self.rows if t == table})
            return {"parts": parts, "has_more": False, "ver": self.version}

    def feed(self, table, after, wait_ms, caller=""):
        """Return the changes of a table after a version."""
        self.calls["rows-feed"] += 1
        self._meet_faults(caller)
        deadline = time.monotonic() + wait_ms / 1000.0
        with self.lock:
            while True:
                if after < self.history_from:
                    raise Refused(410)
                rows = [
                    each
                    for each in self.history
                    if each["ver"] > after and each["table"] == table
                ]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return {"rows": rows, "ver": self.version}
                self.lock.wait(left)

    def compact(self):
        """Forget the history."""
        with self.lock:
            self.history = []
            self.history_from = self.version
            self.lock.notify_all()


def _id(each):
    return each["table"], each.get("part", ""), each["key"]
