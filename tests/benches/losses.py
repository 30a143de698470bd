"""Shows where a play's log loses jobs: ``python -m benches.losses LOG``.

A log has a line for each event of a node: seconds since the start of the
traffic, the node and a JSON object, as ``fleetbench run --log all`` prints
them; other lines are skipped. The result is a table by second, one by queue
and a list of the gaps without a start, each with what happened in it.
"""

import collections
import json
import pathlib
import re
import sys

import attrs

_EVENT_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})$")
# A time without a start counts as a gap from this length on.
_GAP_SECONDS = 0.8
# Events that explain a gap.
_CAUSES = (
    "commit:failed",
    "dependency:lost",
    "dependency:regained",
    "lease:acquired",
    "lease:holder_gone",
    "lease:lost",
    "lease:released",
    "lease:unwritten",
    "scheduler:began",
)

# Columns of the table by second, with the event or the sum that each shows.
# The sums are those of the last ``vm:shortage`` line in that second, if any.
_COLUMNS = {
    "accepted": "job:accepted",
    "refused": "job:refused",
    "starts": "task:start",
    "lost": "task:lost",
    "lent": "vm:lend",
    "VMs wanted": "wanted",
    "VMs": "size",
    "idle": "idle",
}


@attrs.frozen(kw_only=True)
class Event:
    """A logged event; ``at`` is in seconds after the start of traffic."""

    at: float
    node: str
    kind: str
    fields: dict


@attrs.frozen(kw_only=True)
class Gap:
    """A time without a start, with the waiting jobs' count and the causes."""

    began: float
    ended: float
    waiting: int
    causes: tuple


def read_events(lines):
    """Return the events of a log in the order of its lines."""
    events = []
    for line in lines:
        match = _EVENT_LINE.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match[3])
        except ValueError:
            continue
        if "message_type" in fields:
            events.append(
                Event(
                    at=float(match[1]),
                    node=match[2],
                    kind=fields["message_type"],
                    fields=fields,
                )
            )
    return events


def by_second(events):
    """Return counts of what happened in each second, by event and second."""
    seconds = collections.defaultdict(collections.Counter)
    for event in events:
        second = seconds[int(event.at // 1)]
        second[event.kind] += 1
        if event.kind == "vm:shortage":
            pools = event.fields["pools"].values()
            for field in ("wanted", "size", "idle"):
                second[field] = sum(pool[field] for pool in pools)
    return dict(sorted(seconds.items()))


def start_delays(events):
    """Return, by queue, the seconds from acceptance to each job's first start.

    A job that was never started has a delay of infinity.
    """
    accepted = {}
    delays = collections.defaultdict(dict)
    for event in events:
        job = event.fields.get("job")
        if event.kind == "job:accepted":
            accepted.setdefault(job, (event.at, event.fields["queue"]))
        elif event.kind == "task:start" and job in accepted:
            began, queue = accepted[job]
            delays[queue].setdefault(job, max(0.0, event.at - began))
    for job, (_, queue) in accepted.items():
        delays[queue].setdefault(job, float("inf"))
    return {queue: sorted(each.values()) for queue, each in delays.items()}


def find_gaps(events):
    """Return the gaps in which jobs waited and nothing was started."""
    gaps = []
    waiting = set()
    seen = set()
    last_start = float("inf")
    causes = []
    for event in events:
        job = event.fields.get("job")
        if event.kind == "job:accepted" and job not in seen:
            waiting.add(job)
            seen.add(job)
        elif event.kind in _CAUSES:
            causes.append(f"{event.at:.1f} {event.node} {event.kind}")
        if event.kind != "task:start":
            continue
        if event.at - last_start >= _GAP_SECONDS and waiting:
            gaps.append(
                Gap(
                    began=last_start,
                    ended=event.at,
                    waiting=len(waiting),
                    causes=tuple(causes),
                )
            )
        last_start = event.at
        causes = []
        waiting.discard(job)
    return gaps


def report(lines):
    """Return the lines of the report on a log."""
    events = sorted(read_events(lines), key=lambda event: event.at)
    text = ["| second | " + " | ".join(_COLUMNS) + " |"]
    text.append("|" + "---|" * (len(_COLUMNS) + 1))
    for second, counts in by_second(events).items():
        values = [str(counts[source]) for source in _COLUMNS.values()]
        text.append(f"| {second} | " + " | ".join(values) + " |")
    text += ["", "| queue | jobs | half started in s | 95 of 100 | never |"]
    text.append("|" + "---|" * 5)
    for queue, delays in sorted(start_delays(events).items()):
        started = [each for each in delays if each < float("inf")]
        half, most = _quantile(started, 0.5), _quantile(started, 0.95)
        never = len(delays) - len(started)
        text.append(
            f"| {queue} | {len(delays)} | {half:.2f} | {most:.2f} | {never} |"
        )
    text += ["", "gaps without a start while jobs waited:"]
    for gap in find_gaps(events):
        text.append(
            f"- {gap.began:.1f} to {gap.ended:.1f} s, {gap.waiting} jobs: "
            + ("; ".join(gap.causes[:8]) or "nothing logged")
        )
    return text


def _quantile(values, share):
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]


def main():
    """Print the report on the log that is named on the command line."""
    log = pathlib.Path(sys.argv[1])
    with log.open(encoding="utf-8", errors="replace") as lines:
        print("\n".join(report(lines)))


if __name__ == "__main__":
    main()
