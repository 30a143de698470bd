"""The scheduler's two connections to one runner: for polls and orders."""

from peridotsill_jobs import _orders
from peridotsill_jobs import _ports
from peridotsill_jobs import _runner_client
from peridotsill_jobs import _runner_polling


class RunnerLink:
    """Polls one lifetime of a runner, and sends it orders one at a time.

    Calls are made in the loop's thread; these methods don't wait for them.
    """

    def __init__(self, *, parts: _runner_client.LinkParts) -> None:
        self._parts = parts
        self._poller = _runner_polling.RunnerPoller(parts=parts)
        self._orders = _orders.OrderSender(parts=parts)

    @property
    def last_seen(self) -> int:
        """Number of the newest end that was committed."""
        return self._poller.last_seen

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a poll of this scheduler."""
        return self._parts.grants.reached

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last answer to a poll; infinite before it."""
        return self._parts.grants.silent_seconds

    @property
    def leases_lapsed(self) -> bool:
        """Whether every granted lease has certainly run out."""
        return self._parts.grants.lapsed

    @property
    def seconds_to_lapse(self) -> float:
        """Seconds that the leases granted so far may last yet."""
        return self._parts.grants.seconds_left

    def start(self) -> None:
        """Start to poll the runner."""
        self._poller.start()

    def stop(self) -> None:
        """Close the connections and drop the orders that were not sent."""
        self._poller.stop()
        self._orders.stop()

    def set_paused(self, paused: bool) -> None:
        """Pause or resume polling; paused while the runner's VM is away."""
        self._poller.set_paused(paused)

    def poll_frequently(self, frequently: bool) -> None:
        """Use shorter long polls, to follow the tails of serving tasks."""
        self._poller.poll_frequently(frequently)

    def commit_ends(self, last_seen: int) -> None:
        """Let the runner forget the ends up to ``last_seen``."""
        self._poller.commit_ends(last_seen)

    def order_start(self, order: _ports.StartOrder) -> None:
        """Queue a start; its lease is set when it is sent."""
        self._orders.start_run(order)

    def order_stop(self, name: _ports.TaskName, run: int) -> None:
        """Queue a stop, and withdraw the run's start if it is not sent yet."""
        self._orders.stop_run(name, run)

    def order_pace(
        self, name: _ports.TaskName, run: int, percent: int
    ) -> None:
        """Queue a pace; it is not retried, as the next decision repeats it."""
        self._orders.pace_run(name, run, percent)
