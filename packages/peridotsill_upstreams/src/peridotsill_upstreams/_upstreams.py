"""All runners: one connection pool and one prober for each."""

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
    """Return a decorator that registers a protocol under ``name``."""

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
        idle_seconds: float,
        probe_seconds: float,
    ) -> None:
        if client not in _clients:
            raise exceptions.UpstreamError(
                f"upstream_client: {client!r} is unknown"
            )
        self._send = _clients[client]
        self._node_limit = node_limit
        self._idle_seconds = idle_seconds
        self._probe_seconds = probe_seconds
        self._pools: dict[str, _connections.ConnectionPool] = {}
        self._addresses: dict[str, str] = {}
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.health = _health.Health()

    def sync(
        self,
        vms: typing.Sequence[peridotsill.Vm],
        connections: typing.Mapping[str, int],
    ) -> None:
        """Follow the table: VMs come, go and change their address.

        Args:
            vms: All VMs of the table.
            connections: Connections that a VM's runner takes, by pool.
        """
        self.health.sync(vms)
        with self._lock:
            wanted = {vm.name: vm for vm in vms}
            for name in set(self._addresses) - set(wanted):
                self._forget(name)
            for name, vm in wanted.items():
                if self._addresses.get(name) != vm.address:
                    self._forget(name)
                    self._open(vm, connections.get(vm.pool, 64))

    def _open(self, vm: peridotsill.Vm, connections: int) -> None:
        host, _, port = vm.address.rpartition(":")
        share = connections // self._node_limit - _PROBE_CONNECTIONS
        self._addresses[vm.name] = vm.address
        self._pools[vm.name] = _connections.ConnectionPool(
            host=host,
            port=int(port),
            limit=max(share, 1),
            idle_seconds=self._idle_seconds,
        )
        threading.Thread(
            target=self._probe_loop,
            args=(vm.name, vm.address),
            daemon=True,
        ).start()

    def _forget(self, name: str) -> None:
        self._addresses.pop(name, None)
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()

    def knows(self, vm: str) -> bool:
        """Tell whether requests can be sent to a VM yet."""
        return vm in self._pools

    def open_connections(self) -> int:
        """Return the number of connections to all runners."""
        with self._lock:
            return sum(pool.open_count for pool in self._pools.values())

    def send(
        self,
        vm: str,
        request: peridotsill.Request,
        options: _exchange.SendOptions,
    ) -> _exchange.Exchange:
        """Send a request once; the caller has entered the VM.

        Raises:
            UpstreamError: One of its kinds, by whether it may have run.
        """
        pool = self._pools.get(vm)
        if pool is None:
            raise exceptions.NotSent(f"{vm} is unknown")
        try:
            exchange = self._send(pool, request, options)
        except exceptions.TooManyConnections:
            raise
        except exceptions.RefusedUnrun:
            self.health.succeeded(vm, leaving=False)
            raise
        except exceptions.UpstreamError as error:
            self.health.failed(vm, fresh=error.fresh)
            if isinstance(error, exceptions.Silent) and not error.fresh:
                pool.distrust(time.monotonic())
            raise
        if exchange.answer.status >= 500:
            self.health.failed(vm, fresh=True)
        else:
            self.health.succeeded(vm, leaving=exchange.leaving)
        return exchange

    def probe(self, vm: str, address: str) -> _health.Probe:
        """Ask a VM's health endpoint over a new connection."""
        client = peridotsill.JsonClient(
            base=f"http://{address}", connections=1
        )
        try:
            data = client.call(
                "GET", "/healthz", timeout_seconds=_PROBE_TIMEOUT_SECONDS
            )
            probe = _health.Probe(
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
            probe = _health.Probe(healthy=False)
        finally:
            client.close()
        self.health.probed(vm, probe)
        return probe

    def _probe_loop(self, vm: str, address: str) -> None:
        while not self._stopped.wait(self._probe_seconds):
            if self._addresses.get(vm) != address:
                return
            self.probe(vm, address)
            pool = self._pools.get(vm)
            if pool is not None:
                pool.sweep()

    def stop(self) -> None:
        """Close the connections and end the probers."""
        self._stopped.set()
        with self._lock:
            for name in tuple(self._addresses):
                self._forget(name)
