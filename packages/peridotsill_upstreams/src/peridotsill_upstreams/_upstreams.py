"""The runners of all VMs: a connection pool and a prober for each."""

import collections.abc
import threading
import time
import typing

import peridotsill
import peridotsill.exceptions

from peridotsill_upstreams import _connections
from peridotsill_upstreams import _exchange
from peridotsill_upstreams import _health
from peridotsill_upstreams import exceptions

_PROBE_CONNECTIONS = 1
_PROBE_TIMEOUT_SECONDS = 1.0

SendFunction = collections.abc.Callable[
    [
        _connections.ConnectionPool,
        peridotsill.Request,
        _exchange.SendOptions,
    ],
    _exchange.Exchange,
]
_clients: dict[str, SendFunction] = {}


def upstream_client(
    name: str,
) -> collections.abc.Callable[[SendFunction], SendFunction]:
    """Return a decorator that registers a send function as ``name``.

    The setting ``upstream_client`` selects it by this name.
    """

    def register(function: SendFunction) -> SendFunction:
        _clients[name] = function
        return function

    return register


upstream_client("http")(_exchange.send)


class Upstreams:
    """Sends requests to VMs and watches their health."""

    def __init__(
        self,
        *,
        client: str,
        node_limit: int,
        idle_timeout_seconds: float,
        probe_seconds: float,
    ) -> None:
        if client not in _clients:
            raise exceptions.UpstreamError(
                f"upstream_client: no client is registered as {client!r}"
            )
        self._send = _clients[client]
        self._node_limit = node_limit
        self._idle_timeout_seconds = idle_timeout_seconds
        self._probe_seconds = probe_seconds
        self._pools: dict[str, _connections.ConnectionPool] = {}
        self._addresses: dict[str, str] = {}
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.health = _health.Health()

    def sync(
        self,
        vms: typing.Sequence[peridotsill.Vm],
        connections_by_pool: typing.Mapping[str, int],
    ) -> None:
        """Add, remove and reconnect VMs to match the table.

        Args:
            vms: All VMs of the table.
            connections_by_pool: Number of connections that one runner
                accepts from all nodes, by the name of the VM pool; 64 for a
                pool that is not listed.
        """
        self.health.sync(vms)
        with self._lock:
            wanted = {vm.name: vm for vm in vms}
            for name in set(self._addresses) - set(wanted):
                self._remove(name)
            for name, vm in wanted.items():
                if self._addresses.get(name) != vm.address:
                    self._remove(name)
                    self._add(vm, connections_by_pool.get(vm.pool, 64))

    def _add(self, vm: peridotsill.Vm, runner_limit: int) -> None:
        host, _, port = vm.address.rpartition(":")
        connection_limit = (
            runner_limit // self._node_limit - _PROBE_CONNECTIONS
        )
        self._addresses[vm.name] = vm.address
        self._pools[vm.name] = _connections.ConnectionPool(
            host=host,
            port=int(port),
            limit=max(connection_limit, 1),
            idle_timeout_seconds=self._idle_timeout_seconds,
        )
        threading.Thread(
            target=self._probe_loop,
            args=(vm.name, vm.address),
            daemon=True,
        ).start()

    def _remove(self, name: str) -> None:
        self._addresses.pop(name, None)
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()

    def has_pool(self, vm: str) -> bool:
        """Tell whether there is a connection pool for a VM."""
        return vm in self._pools

    def open_connection_count(self) -> int:
        """Return the number of open connections to all runners."""
        with self._lock:
            return sum(pool.open_count for pool in self._pools.values())

    def send(
        self,
        vm: str,
        request: peridotsill.Request,
        options: _exchange.SendOptions,
    ) -> _exchange.Exchange:
        """Send a request once, and record the outcome in the VM's health.

        ``TooManyConnections`` and an unknown VM are not recorded. The caller
        must have counted the request by ``Health.begin_request``.

        Raises:
            UpstreamError: A subclass that tells whether the request may
                have run.
        """
        pool = self._pools.get(vm)
        if pool is None:
            raise exceptions.NotSent(f"{vm} is unknown")
        try:
            exchange = self._send(pool, request, options)
        except exceptions.TooManyConnections:
            raise
        except exceptions.RefusedBeforeRun:
            self.health.record_success(vm, leaving=False)
            raise
        except exceptions.UpstreamError as error:
            self.health.record_failure(vm, fresh=error.fresh)
            if (
                isinstance(error, exceptions.AnswerTimedOut)
                and not error.fresh
            ):
                pool.invalidate(time.monotonic())
            raise
        if exchange.answer.status >= 500:
            self.health.record_failure(vm, fresh=True)
        else:
            self.health.record_success(vm, leaving=exchange.leaving)
        return exchange

    def probe(self, vm: str, address: str) -> _health.ProbeResult:
        """Probe a VM over a new connection, and record the result."""
        client = peridotsill.JsonClient(
            base=f"http://{address}", connections=1
        )
        try:
            data = client.call(
                "GET", "/healthz", timeout_seconds=_PROBE_TIMEOUT_SECONDS
            )
            probe = _health.ProbeResult(
                healthy=True,
                leaving=bool(data.get("leaving", False)),
                in_flight=int(data.get("in_flight", 0)),
                boot=int(data.get("boot", -1)),
            )
        except (
            peridotsill.exceptions.PeridotsillError,
            AttributeError,
            ValueError,
        ):
            probe = _health.ProbeResult(healthy=False)
        finally:
            client.close()
        self.health.record_probe(vm, probe)
        return probe

    def _probe_loop(self, vm: str, address: str) -> None:
        while not self._stopped.wait(self._probe_seconds):
            if self._addresses.get(vm) != address:
                return
            self.probe(vm, address)
            pool = self._pools.get(vm)
            if pool is not None:
                pool.close_unusable()

    def stop(self) -> None:
        """Stop the probers and close the connections.

        Those in use are closed when they are returned.
        """
        self._stopped.set()
        with self._lock:
            for name in tuple(self._addresses):
                self._remove(name)
