"""A TCP proxy that can silently drop the traffic of its connections.

`TcpProxy.silence` makes it discard the traffic of all open connections
without closing them, while new connections work, like a firewall or NAT
device that has lost its connection table.
"""

import socket
import threading

from standins import fleet


class TcpProxy:
    """Forwards connections to one address.

    ``generation`` counts the calls of `silence`; traffic is forwarded only
    on connections of the present generation.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        listening_port = fleet.free_port("127.0.0.8")
        self.address = f"127.0.0.8:{listening_port}"
        self.listener = socket.create_server(("127.0.0.8", listening_port))
        self.generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        self.generation += 1

    def close(self) -> None:
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                client.close()
                continue
            server.settimeout(None)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, self.generation),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, generation: int) -> None:
        try:
            while data := source.recv(65536):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                end.close()
