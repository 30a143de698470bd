"""The operators' rows, followed by every node: configuration and waves."""

import collections.abc
import threading

import attrs
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _following
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
import peridotsill_platform
import peridotsill_scheduler

# A wait for changes ends after this time without one, so that a connection
# that went silent is noticed within the time a change may take.
_WAIT_SECONDS = 0.8
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
        self._waves_seen_at: dict[str, float] = {}
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
        _following.follow(
            _following.Following(
                table=self._table,
                name=self._keys.operators,
                prefix=f"{self._keys.operators}//",
                wait_seconds=_WAIT_SECONDS,
                take=self._take_followed,
                failed=self._failed,
            ),
            self._stopped,
        )

    def _take_followed(self, followed: _following.Followed) -> None:
        self._answered()
        if followed.whole:
            self._waves = {}
        for row in followed.rows:
            self._take(row)
        for key in followed.deleted:
            self._waves.pop(key, None)
            self._waves_seen_at.pop(key, None)

    def _answered(self) -> None:
        self._reached_at = _clock.real_seconds()
        if not self._reachable:
            self._reachable = True
            _logs.log("dependency:regained", dependency="table")

    def _failed(self, error: Exception) -> None:
        if self._reachable:
            self._reachable = False
            _logs.log("dependency:lost", dependency="table", reason=str(error))

    def _take(self, row: peridotsill.Row) -> None:
        if row.key == self._keys.config:
            config = self._documents.config(row)
            if config is not None:
                self._take_config(config)
            return
        wave = self._documents.wave(row)
        if wave is not None:
            seen_at = self._waves_seen_at.setdefault(
                row.key, _clock.awake_seconds()
            )
            self._waves[row.key] = attrs.evolve(wave, seen_at=seen_at)

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
