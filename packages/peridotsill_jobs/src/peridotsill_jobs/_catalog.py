"""Every node's copy of the operators' rows: configuration and waves."""

import collections.abc
import threading

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _clock
from peridotsill_jobs import _following
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _team_keys
import peridotsill_platform
import peridotsill_scheduler

# A watch returns after this time without a change, so that a connection that
# stopped responding is noticed within the time a change may take to apply.
_WATCH_TIMEOUT_SECONDS = 0.8
# Part of the time in which a removed key has to be refused that a watch may
# take. Between two answers the last read is up to two watches old, which
# leaves half of the time for which it counts as current.
_WATCH_FRACTION = 0.2
# The table counts as unreachable after this time without a response: two
# watches in a row have failed.
_UNREACHABLE_AFTER_SECONDS = 2.0


class Catalog:
    """Configuration and waves from the operators' rows.

    A configuration is only replaced by one of a higher version.

    Args:
        table: The table with the operators' rows.
        keys: Where these rows are.
        documents: Decodes them.
        revocation_seconds: The time after which a removed key must not be
            served any more; 0 if there is no such bound.
    """

    def __init__(
        self,
        *,
        table: peridotsill_platform.WatchedTable,
        keys: _ports.Keys,
        documents: _ports.Documents,
        revocation_seconds: float = 0.0,
    ) -> None:
        self._table = table
        self._keys = keys
        self._documents = documents
        self._watch_seconds = _WATCH_TIMEOUT_SECONDS
        if revocation_seconds > 0:
            self._watch_seconds = min(
                _WATCH_TIMEOUT_SECONDS, revocation_seconds * _WATCH_FRACTION
            )
        self._config: _ports.JobsConfig | None = None
        self._team_keys: _team_keys.KeyTable | None = None
        self._routes: dict[str, list[peridotsill_scheduler.Queue]] = {}
        self._queues: dict[str, peridotsill_scheduler.Queue] = {}
        self._waves: dict[str, _ports.WaveOrder] = {}
        self._wave_first_read_at: dict[str, float] = {}
        self._last_answer_at = float("-inf")
        self._read_began_at = float("-inf")
        self._stopped = threading.Event()
        self._reported_reachable = False

    @property
    def config(self) -> _ports.JobsConfig | None:
        """The newest configuration; None until one was read."""
        return self._config

    @property
    def waves(self) -> tuple[_ports.WaveOrder, ...]:
        """The waves that operators have ordered."""
        return tuple(self._waves.values())

    @property
    def reachable(self) -> bool:
        """Whether the table has responded within the last two seconds."""
        age = _clock.boottime_seconds() - self._last_answer_at
        return age < _UNREACHABLE_AFTER_SECONDS

    @property
    def team_keys(self) -> _team_keys.KeyTable | None:
        """The keys of the teams; None if calls need no key."""
        return self._team_keys

    @property
    def read_began_at(self) -> float:
        """When the last read began that has been applied.

        The configuration in force holds every change that the table had
        acknowledged by then, in seconds of the clock that counts suspended
        time.
        """
        return self._read_began_at

    @property
    def standby_pools(self) -> frozenset[str]:
        """The names of the pools whose VMs are off."""
        config = self._config
        pools = config.pools if config else ()
        return frozenset(each.name for each in pools if each.standby)

    def queue(self, name: str) -> peridotsill_scheduler.Queue | None:
        """Return a queue as in the newest configuration that has it."""
        return self._queues.get(name)

    def pool(self, name: str) -> peridotsill_scheduler.PoolSettings | None:
        """Return a pool's settings; None if the configuration lacks it."""
        config = self._config
        pools = config.pools if config else ()
        return next((each for each in pools if each.name == name), None)

    def route(
        self, host: str, path: str
    ) -> peridotsill_scheduler.Queue | None:
        """Return the host's queue with the longest prefix of ``path``."""
        for queue in self._routes.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    @property
    def subscription(self) -> _following.Subscription:
        """What is followed, from a snapshot on."""
        return _following.Subscription(
            table=self._table,
            name=self._keys.operators,
            prefix=f"{self._keys.operators}//",
            wait_seconds=self._watch_seconds,
            on_update=self._apply_update,
            on_failure=self._on_failure,
        )

    def start(self) -> None:
        """Start the thread that follows the rows."""
        threading.Thread(target=self._run, daemon=True, name="catalog").start()

    def stop(self) -> None:
        """Stop the thread after its current watch."""
        self._stopped.set()

    def _run(self) -> None:
        _following.follow(self.subscription, self._stopped)

    def _apply_update(self, update: _following.TableUpdate) -> None:
        self._on_answer()
        if update.is_snapshot:
            self._waves = {}
        for row in update.rows:
            self._apply_row(row)
        for key in update.deleted:
            self._waves.pop(key, None)
            self._wave_first_read_at.pop(key, None)
        # Only after all changes have been applied: a check of a call reads
        # this first and the keys then.
        self._read_began_at = update.read_began_at

    def _on_answer(self) -> None:
        self._last_answer_at = _clock.boottime_seconds()
        if not self._reported_reachable:
            self._reported_reachable = True
            _logs.log("dependency:regained", dependency="table")

    def _on_failure(self, error: Exception) -> None:
        if self._reported_reachable:
            self._reported_reachable = False
            _logs.log("dependency:lost", dependency="table", reason=str(error))

    def _apply_row(self, row: peridotsill.Row) -> None:
        if row.key == self._keys.config:
            config = self._documents.config(row)
            if config is not None:
                self._apply_config(config)
            return
        wave = self._documents.wave(row)
        if wave is not None:
            seen_at = self._wave_first_read_at.setdefault(
                row.key, _clock.monotonic_seconds()
            )
            self._waves[row.key] = attrs.evolve(wave, seen_at=seen_at)

    def _apply_config(self, config: _ports.JobsConfig) -> None:
        if self._config and config.version <= self._config.version:
            return
        team_keys = None
        if config.teams is not None:
            try:
                _team_keys.check_teams(config.teams)
            except peridotsill.exceptions.InvalidResource as error:
                _logs.log(
                    "config:refused",
                    version=config.version,
                    problems=error.problems,
                )
                return
            team_keys = _team_keys.KeyTable(entries=config.teams)
        self._team_keys = team_keys
        self._queues.update({each.name: each for each in config.queues})
        self._routes = _routes_by_host(config.queues)
        self._config = config
        _logs.log(
            "config:applied",
            version=config.version,
            queues=len(config.queues),
            pools=len(config.pools),
            teams=None if config.teams is None else len(config.teams),
        )


def _routes_by_host(
    queues: collections.abc.Iterable[peridotsill_scheduler.Queue],
) -> dict[str, list[peridotsill_scheduler.Queue]]:
    routes: dict[str, list[peridotsill_scheduler.Queue]] = {}
    for queue in queues:
        routes.setdefault(queue.host, []).append(queue)
    for each in routes.values():
        each.sort(key=lambda queue: -len(queue.prefix))
    return routes
