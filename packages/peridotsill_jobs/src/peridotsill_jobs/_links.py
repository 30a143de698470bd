"""The scheduler's connections to one runner: one looks, one gives orders."""

from peridotsill_jobs import _asking
from peridotsill_jobs import _looks
from peridotsill_jobs import _orders
from peridotsill_jobs import _ports


class RunnerLink:
    """Looks at one lifetime of a runner, and gives it orders in turn.

    What is asked for here is done in the loop's thread.
    """

    def __init__(self, *, parts: _asking.LinkParts) -> None:
        self._parts = parts
        self._looker = _looks.Looker(parts=parts)
        self._orders = _orders.OrderGiver(parts=parts)

    @property
    def last_seen(self) -> int:
        """Number of the newest end that was committed."""
        return self._looker.last_seen

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a look of this scheduler."""
        return self._parts.grants.reached

    @property
    def silent_seconds(self) -> float:
        """How long ago the last look was answered; infinite before it."""
        return self._parts.grants.silent_seconds

    @property
    def leases_lapsed(self) -> bool:
        """Whether every lease that was granted has certainly run out."""
        return self._parts.grants.lapsed

    @property
    def seconds_to_lapse(self) -> float:
        """How long the leases that were granted so far may last yet."""
        return self._parts.grants.seconds_left

    def start(self) -> None:
        """Begin to look at the runner."""
        self._looker.start()

    def stop(self) -> None:
        """Close the connections; orders that were not sent are dropped."""
        self._looker.stop()
        self._orders.stop()

    def rest(self, resting: bool) -> None:
        """Don't look at the runner while its VM is known to be away."""
        self._looker.rest(resting)

    def watch_closely(self, close: bool) -> None:
        """Look more often, for the tails of serving tasks."""
        self._looker.watch_closely(close)

    def commit_ends(self, last_seen: int) -> None:
        """Let the runner forget the ends up to ``last_seen``."""
        self._looker.commit_ends(last_seen)

    def order_start(self, order: _ports.StartOrder) -> None:
        """Send a start; its lease is set when it leaves."""
        self._orders.start_run(order)

    def order_stop(self, name: _ports.TaskName, run: int) -> None:
        """Send a stop; a start of the run that was not sent yet is not."""
        self._orders.stop_run(name, run)

    def order_pace(
        self, name: _ports.TaskName, run: int, percent: int
    ) -> None:
        """Send a pace once; the next decision repeats it if need be."""
        self._orders.pace_run(name, run, percent)
