"""The platform's store: rows, transactions, change feed and faults."""

import bisect
import collections
import json
import threading
import time

import attrs


class StatusError(Exception):
    """The store answers with an error status."""

    def __init__(self, status, body=None):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body or {"error": "refused"}


class AnswerLostError(Exception):
    """The caller gets no answer."""


@attrs.define
class Faults:
    """Faults that the store injects.

    Callers in ``refused`` get status 503 and those in ``silent`` no answer;
    ``EVERYONE`` in such a set stands for all callers. Callers in
    ``silent_operators`` get no answer about the operators' table. Reads of
    the tables in ``silent_tables`` get no answer. Every answer takes
    ``answer_delay_seconds`` longer. The next ``lost_answers`` transactions
    are applied but not answered; ``commit_delay_seconds`` is how long after
    their request they are applied.
    """

    refused: set = attrs.field(factory=set)
    silent: set = attrs.field(factory=set)
    silent_tables: set = attrs.field(factory=set)
    silent_operators: set = attrs.field(factory=set)
    answer_delay_seconds: float = 0.0
    lost_answers: int = 0
    commit_delay_seconds: float = 0.0


EVERYONE = "everyone"
# The longest value of a row, in base64, and the largest transaction.
ROW_BYTES = 65536
TRANSACTION_BYTES = 1_000_000


class Store:
    """Rows by table, part and key.

    One counter numbers the transactions; it gives the rows their versions.
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.history = []
        self.history_start = 0
        self.faults = Faults()
        self.calls = collections.Counter()

    def _inject_faults(self, caller, table=""):
        faults = self.faults
        if faults.answer_delay_seconds:
            time.sleep(faults.answer_delay_seconds)
        if table == "op" and caller in faults.silent_operators:
            raise AnswerLostError(table)
        if {caller, EVERYONE} & faults.silent:
            raise AnswerLostError("silent")
        if {caller, EVERYONE} & faults.refused:
            raise StatusError(503)

    def transact(self, body, caller=""):
        """Apply a transaction and return its version and the time."""
        self.calls["rows-tx"] += 1
        self._inject_faults(caller)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            if self.faults.commit_delay_seconds:
                threading.Timer(
                    self.faults.commit_delay_seconds,
                    self._apply_unanswered,
                    (body,),
                ).start()
            else:
                self._apply_unanswered(body)
            raise AnswerLostError("the answer is lost")
        return self._apply(body)

    def _apply_unanswered(self, body):
        try:
            self._apply(body)
        except StatusError:
            return

    def _apply(self, body):
        with self.lock:
            entries = body["upserts"] + body["remove"]
            all_entries = entries + body["precondition"]
            if len(all_entries) > 100:
                raise StatusError(400, {"error": "over 100 entries"})
            if len(json.dumps(body)) > TRANSACTION_BYTES:
                raise StatusError(400, {"error": "too large"})
            if any(len(each["value"]) > ROW_BYTES for each in body["upserts"]):
                raise StatusError(400, {"error": "a row is too large"})
            parts = {entry.get("part", "") for entry in all_entries}
            if len(parts) > 1 and not body.get("across"):
                raise StatusError(400, {"error": "several parts"})
            if any(
                entry["table"] in ("op", "servers") for entry in entries
            ) and not body.get("operator"):
                raise StatusError(403)
            self._check_preconditions(body["precondition"])
            self.version += 1
            for entry in body["upserts"]:
                self._put(entry, entry["value"])
            for entry in body["remove"]:
                self._put(entry, None)
            self.lock.notify_all()
            return {"ver": self.version, "now_ms": time.monotonic() * 1e3}

    def _check_preconditions(self, preconditions):
        current = [self._row(_row_id(entry)) for entry in preconditions]
        conflict = any(
            (row["ver"] if row else 0) != entry["ver"]
            for row, entry in zip(current, preconditions)
        )
        if conflict:
            raise StatusError(412, {"rows": [row for row in current if row]})

    def _row(self, row_id):
        row = self.rows.get(row_id)
        return dict(row) if row else None

    def _put(self, entry, value):
        row_id = _row_id(entry)
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
        """Return the rows of a part from a key on, in key order."""
        self.calls["rows-get"] += 1
        self._inject_faults(caller, table)
        if table in self.faults.silent_tables:
            raise AnswerLostError(table)
        with self.lock:
            keys = sorted(
                key
                for row_table, row_part, key in self.rows
                if (row_table, row_part) == (table, part)
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
        self._inject_faults(caller)
        with self.lock:
            parts = sorted(
                {part for name, part, _ in self.rows if name == table}
            )
            return {"parts": parts, "has_more": False, "ver": self.version}

    def feed(self, table, after, wait_ms, caller=""):
        """Return the changes of a table after a version.

        Waits up to ``wait_ms`` for a change if there is none yet.
        """
        self.calls["rows-feed"] += 1
        self._inject_faults(caller, table)
        deadline = time.monotonic() + wait_ms / 1000.0
        with self.lock:
            while True:
                if after < self.history_start:
                    raise StatusError(410)
                rows = [
                    entry
                    for entry in self.history
                    if entry["ver"] > after and entry["table"] == table
                ]
                remaining = deadline - time.monotonic()
                if rows or remaining <= 0:
                    return {"rows": rows, "ver": self.version}
                self.lock.wait(remaining)

    def compact(self):
        """Discard the change history.

        Feeds that continue at an earlier version get status 410.
        """
        with self.lock:
            self.history = []
            self.history_start = self.version
            self.lock.notify_all()


def _row_id(entry):
    return entry["table"], entry.get("part", ""), entry["key"]
