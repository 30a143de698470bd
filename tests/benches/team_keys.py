"""Measures what the keys of teams cost a node: memory and time.

``PYTHONPATH=tests python -m benches.team_keys`` prints, for some numbers of
teams with two keys each, how long a configuration takes to be decoded and
checked, what memory it holds, and how long a look-up of a key takes.
"""

import collections.abc
import gc
import time
import tracemalloc

import attrs
import peridotsill

from peridotsill_adapter import _documents
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _team_keys

_TEAM_COUNTS = (20, 1000, 10_000)
_LOOKUPS = 20_000
_REPETITIONS = 5


@attrs.frozen(kw_only=True)
class Cost:
    """What the teams of one configuration cost.

    The times are the least of some repetitions. ``apply_ms`` is for decoding
    and checking the row and building the table, ``known_us`` and
    ``unknown_us`` are for one look-up.
    """

    teams: int
    row_bytes: int
    memory_kib: float
    apply_ms: float
    known_us: float
    unknown_us: float


def measure(count: int) -> Cost:
    """Measure a configuration with a number of teams."""
    row = _make_row(count)
    apply_seconds = min(_time(lambda: _apply(row)) for _ in range(5))
    gc.collect()
    tracemalloc.start()
    applied = _apply(row)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _, table = applied
    step = max(1, count // 100)
    known = [_key(number, 1) for number in range(0, count, step)]
    unknown = [key[::-1] for key in known]
    return Cost(
        teams=count,
        row_bytes=len(peridotsill.encode(row.value)),
        memory_kib=memory_bytes / 1024,
        apply_ms=apply_seconds * 1e3,
        known_us=_time_lookups(table, known),
        unknown_us=_time_lookups(table, unknown),
    )


def _key(team: int, number: int) -> bytes:
    return f"{team:016x}{number:016x}".encode()


def _make_row(count: int) -> peridotsill.Row:
    tenants = [
        {
            "name": f"team-{number}",
            "api_keys": [_key(number, each).decode() for each in range(2)],
            "weight": 1.5,
            "max_count": {"cpu": 64000, "mem_mb": 131072, "gpu": 0},
        }
        for number in range(count)
    ]
    value = {"version": 1, "tenants": tenants}
    return peridotsill.Row(key="op//config", value=value, version=1)


def _apply(
    row: peridotsill.Row,
) -> tuple[object, _team_keys.KeyTable]:
    documents = _documents.PlatformDocuments(
        unreadable_rows=_unreadable.UnreadableRows()
    )
    config = documents.config(row)
    assert config is not None and config.teams is not None
    _team_keys.check_teams(config.teams)
    return config, _team_keys.KeyTable(entries=config.teams)


def _time(function: collections.abc.Callable[[], object]) -> float:
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def _time_lookups(table: _team_keys.KeyTable, keys: list[bytes]) -> float:
    """Return the microseconds of one look-up."""
    rounds = _LOOKUPS // len(keys)

    def look_up() -> None:
        for _ in range(rounds):
            for key in keys:
                table.team_of(key)

    seconds = min(_time(look_up) for _ in range(_REPETITIONS))
    return seconds / (rounds * len(keys)) * 1e6


def main() -> None:
    """Print the costs."""
    for count in _TEAM_COUNTS:
        cost = measure(count)
        print(
            f"{cost.teams:6} teams: row {cost.row_bytes:9,} bytes, "
            f"memory {cost.memory_kib:9,.0f} KiB, "
            f"applied in {cost.apply_ms:7.1f} ms, "
            f"look-up {cost.known_us:.2f} us, unknown {cost.unknown_us:.2f} us"
        )


if __name__ == "__main__":
    main()
