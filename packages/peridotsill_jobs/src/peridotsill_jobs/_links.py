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
    def last_acknowledged_end(self) -> int:
        """Number of the newest end that was committed."""
        return self._poller.last_acknowledged_end

    @property
    def reached(self) -> bool:
        """Whether the runner has answered a poll of this scheduler."""
        return self._parts.grants.reached

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last answer to a poll; infinite before it."""
        return self._parts.grants.silent_seconds

    @property
    def refused(self) -> bool:
        """Whether a connection was refused since the last answer to a poll."""
        return self._parts.grants.refused

    @property
    def failing_since(self) -> float | None:
        """When the calls began to fail of which the last was refused."""
        return self._parts.grants.failing_since

    @property
    def may_grant(self) -> bool:
        """Whether a run that is started now can get a lease."""
        return self._parts.grants.may_extend

    @property
    def leases_expired(self) -> bool:
        """Whether every granted lease has certainly expired."""
        return self._parts.grants.expired

    @property
    def seconds_to_expiry(self) -> float:
        """Seconds that the leases granted so far may last yet."""
        return self._parts.grants.seconds_left

    @property
    def unanswered_poll_at(self) -> float:
        """When a poll that extends leases was last found unanswered.

        That is now while one is in flight, and minus infinity without any.
        """
        return self._poller.unanswered_poll_at

    def may_have_begun(self, name: _ports.TaskName, run: int) -> bool:
        """Tell whether a start that got no answer may have been executed."""
        return self._orders.may_have_begun(name, run)

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
        """Set whether to shorten long polls."""
        self._poller.poll_frequently(frequently)

    def acknowledge_ends(self, last_end: int) -> None:
        """Let the runner forget the ends up to ``last_end``."""
        self._poller.acknowledge_ends(last_end)

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
