"""A TCP link that can lose track of its open connections.

`Link.silence` makes all open connections swallow what is sent, while new
ones work, as a device between two ends does that forgot them.
"""

import socket
import threading

from standins import fleet


class Link:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        own = fleet.free_port("127.0.0.8")
        self.address = f"127.0.0.8:{own}"
        self.listener = socket.create_server(("127.0.0.8", own))
        self.generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        self.generation += 1

    def close(self) -> None:
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                near.close()
                continue
            far.settimeout(None)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, self.generation),
                    daemon=True,
                ).start()

    def _pump(self, source, sink, generation: int) -> None:
        try:
            while data := source.recv(65536):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            for each in (source, sink):
                each.close()
