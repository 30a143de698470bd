"""The operators' rows, followed by every node: configuration and waves."""

import collections.abc
import threading

import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_platform.exceptions
import peridotsill_scheduler

# A wait for changes ends after this time without one, so that a connection
# that went silent is noticed within the time a change may take.
_WAIT_SECONDS = 0.8
# Pause after a failed call; short against the time a change may take.
_RETRY_SECONDS = 0.15
# Without an answer for this long the table counts as out of reach: two
# waits in a row have failed.
_REACH_SECONDS = 2.0


class Catalog:
    """What the operators' rows say, newest version first.

    A configuration is only replaced by one of a higher version.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.WatchedTable,
        keys: _ports.Keys,
        documents: _ports.Documents,
    ) -> None:
        self._table = table
        self._keys = keys
        self._documents = documents
        self._config: _ports.JobsConfig | None = None
        self._routes: dict[str, list[peridotsill_scheduler.Queue]] = {}
        self._queues: dict[str, peridotsill_scheduler.Queue] = {}
        self._waves: dict[str, _ports.WaveOrder] = {}
        self._reached_at = float("-inf")
        self._stopped = threading.Event()
        self._reachable = False

    @property
    def config(self) -> _ports.JobsConfig | None:
        """The newest configuration, None before the first."""
        return self._config

    @property
    def waves(self) -> tuple[_ports.WaveOrder, ...]:
        """The waves that operators have ordered."""
        return tuple(self._waves.values())

    @property
    def reachable(self) -> bool:
        """Whether the table has answered lately."""
        age = _clock.real_seconds() - self._reached_at
        return age < _REACH_SECONDS

    def queue(self, name: str) -> peridotsill_scheduler.Queue | None:
        """Return a queue of any configuration seen, the newest form."""
        return self._queues.get(name)

    def pool(self, name: str) -> peridotsill_scheduler.PoolSettings | None:
        """Return a pool's settings."""
        config = self._config
        pools = config.pools if config else ()
        return next((each for each in pools if each.name == name), None)

    def route(
        self, host: str, path: str
    ) -> peridotsill_scheduler.Queue | None:
        """Return the queue with the longest prefix of ``path``."""
        for queue in self._routes.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def start(self) -> None:
        """Start following the rows."""
        threading.Thread(target=self._run, daemon=True, name="catalog").start()

    def stop(self) -> None:
        """End the following thread after its current wait."""
        self._stopped.set()

    def _run(self) -> None:
        revision: int | None = None
        while not self._stopped.is_set():
            if revision is None:
                revision = self._read_all()
            else:
                revision = self._wait(revision)

    def _read_all(self) -> int | None:
        match self._table.scan((f"{self._keys.operators}//",)):
            case result.Success(scan):
                self._answered()
                self._waves = {}
                for row in scan.rows:
                    self._take(row)
                return int(scan.revision)
            case result.Failure(error):
                self._failed(error)
        return None

    def _wait(self, revision: int) -> int | None:
        # A table that is away is asked without a wait: such a call is over
        # soon, and the first one after the table's return is answered.
        wait = _WAIT_SECONDS if self._reachable else 0.0
        changes = self._table.watch(self._keys.operators, revision, wait)
        match changes:
            case result.Success(found):
                self._answered()
                for row in found.rows:
                    self._take(row)
                for key in found.deleted:
                    self._waves.pop(key, None)
                return int(found.revision)
            case result.Failure(peridotsill_platform.exceptions.HistoryGone()):
                _logs.log("catalog:history_gone", revision=revision)
                return None
            case result.Failure(error):
                self._failed(error)
        return revision

    def _answered(self) -> None:
        self._reached_at = _clock.real_seconds()
        if not self._reachable:
            self._reachable = True
            _logs.log("dependency:regained", dependency="table")

    def _failed(self, error: Exception) -> None:
        if self._reachable:
            self._reachable = False
            _logs.log("dependency:lost", dependency="table", reason=str(error))
        self._stopped.wait(_RETRY_SECONDS)

    def _take(self, row: peridotsill.Row) -> None:
        if row.key == self._keys.config:
            config = self._documents.config(row)
            if config is not None:
                self._take_config(config)
            return
        wave = self._documents.wave(row)
        if wave is not None:
            self._waves[row.key] = wave

    def _take_config(self, config: _ports.JobsConfig) -> None:
        if self._config and config.version <= self._config.version:
            return
        self._queues.update({each.name: each for each in config.queues})
        self._routes = _routes_of(config.queues)
        self._config = config
        _logs.log(
            "config:applied",
            version=config.version,
            queues=len(config.queues),
            pools=len(config.pools),
        )


def _routes_of(
    queues: collections.abc.Iterable[peridotsill_scheduler.Queue],
) -> dict[str, list[peridotsill_scheduler.Queue]]:
    routes: dict[str, list[peridotsill_scheduler.Queue]] = {}
    for queue in queues:
        routes.setdefault(queue.host, []).append(queue)
    for each in routes.values():
        each.sort(key=lambda queue: -len(queue.prefix))
    return routes
