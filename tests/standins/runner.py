"""Stand-in of a runner on a VM: 8 slots, a run log, and faults.

Run as ``python -m standins.runner --host H --port P --log FILE``. Faults
are set by ``POST /standin/faults``: how many times each applies, by its
name; -1 means always. It accepts any number of connections and records
their peak, for tests to check against a real runner's limit of 64.
"""

import argparse
import hashlib
import json
import os
import socket
import struct
import threading
import time

_CONTROL_PREFIX = "/standin/"


class Runner:
    """State shared by all connections.

    ``boot`` numbers the starts of the VM. ``interrupted`` counts requests
    that a reboot ended.
    """

    def __init__(
        self, *, host: str, port: int, log: str, slots: int, queue: bool
    ) -> None:
        self.host, self.port, self.slots, self.queue = host, port, slots, queue
        self.log_fd = os.open(
            log, os.O_APPEND | os.O_CREAT | os.O_WRONLY, 0o644
        )
        self.condition = threading.Condition()
        self.running = 0
        self.in_flight = 0
        self.peak_running = 0
        self.overcommits = 0
        # False for a silenced connection, whose requests get no answer.
        self.connections: dict[socket.socket, bool] = {}
        self.peak_connections = 0
        self.boot = 1
        self.leaving = False
        self.faults: dict[str, int] = {}
        self.fault_seconds = 0.5
        self.down_until = 0.0
        self.requests = 0
        self.interrupted = 0

    def log_event(self, event: str, request_id: str, **fields: object) -> None:
        line = {"event": event, "id": request_id, "t": time.time(), **fields}
        os.write(self.log_fd, (json.dumps(line) + "\n").encode())

    def consume_fault(self, name: str) -> bool:
        """Tell whether a fault applies, and count it down."""
        with self.condition:
            remaining = self.faults.get(name, 0)
            if remaining > 0:
                self.faults[name] = remaining - 1
            return remaining != 0

    def serve(self) -> None:
        while True:
            listener = socket.create_server(
                (self.host, self.port), backlog=256, reuse_port=False
            )
            listener.settimeout(0.05)
            while self.down_until == 0.0:
                try:
                    connection, _ = listener.accept()
                except TimeoutError:
                    continue
                with self.condition:
                    self.connections[connection] = True
                    self.peak_connections = max(
                        self.peak_connections, len(self.connections)
                    )
                threading.Thread(
                    target=self.handle_connection,
                    args=(connection,),
                    daemon=True,
                ).start()
            listener.close()
            self._reboot()

    def _reboot(self) -> None:
        """Reset all connections; return when the VM is up again."""
        with self.condition:
            self.interrupted += self.in_flight
            open_connections = list(self.connections)
        for connection in open_connections:
            linger = struct.pack("ii", 1, 0)
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        while time.time() < self.down_until:
            time.sleep(0.02)
        with self.condition:
            self.boot += 1
            self.leaving = False
            self.down_until = 0.0

    def handle_connection(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self._handle_request(connection, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.condition:
                self.connections.pop(connection, None)
            stream.close()
            connection.close()

    def _handle_request(self, connection: socket.socket, stream) -> bool:
        """Read and answer a request; false if the connection must close."""
        line = stream.readline()
        if not line:
            return False
        method, target, _ = line.decode().split(" ", 2)
        headers = {}
        while True:
            line = stream.readline().strip()
            if not line:
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", "0")))
        if target.startswith(_CONTROL_PREFIX):
            return self._handle_control(connection, target, body)
        if not self.connections.get(connection, False):
            time.sleep(3600)  # silenced: the connection stays open
        if target == "/healthz":
            if self.consume_fault("health"):
                return False
            return _send(connection, 200, self.health_body())
        return self._run_request(connection, method, target, headers, body)

    def health_body(self) -> bytes:
        return json.dumps(
            {
                "in_flight": self.in_flight,
                "leaving": self.leaving
                and not self.consume_fault("quiet_health"),
                "boot": self.boot,
            }
        ).encode()

    def _handle_control(self, connection, target: str, body: bytes) -> bool:
        data = json.loads(body or b"{}")
        if target.endswith("/faults"):
            with self.condition:
                self.fault_seconds = data.pop("seconds", 0.5)
                self.leaving = data.pop("leaving", self.leaving)
                if data.pop("silence", False):
                    for other in self.connections:
                        self.connections[other] = other is connection
                self.faults = data
        elif target.endswith("/reboot"):
            self.down_until = time.time() + data.get("seconds", 0.5)
        stats = {
            "peak": self.peak_running,
            "overcommits": self.overcommits,
            "requests": self.requests,
            "peak_connections": self.peak_connections,
            "cut": self.interrupted,
            "boot": self.boot,
            "running": self.running,
        }
        return _send(connection, 200, json.dumps(stats).encode())

    def _run_request(self, connection, method, target, headers, body) -> bool:
        request_id = headers.get("peridotsill-request-id", "")
        marker = headers.get("x-marker", "")
        id_header = [("Peridotsill-Request-Id", request_id)]
        with self.condition:
            self.requests += 1
        if self.consume_fault("crash_before_run"):
            os._exit(9)
        if self.consume_fault("refuse"):
            extra_headers = [*id_header, ("Peridotsill-Ran", "no")]
            return _send(connection, 503, b"busy", extra_headers)
        if self.consume_fault("fail_fast"):
            return _send(connection, 500, b"broken", id_header)
        if self.consume_fault("hang"):
            time.sleep(3600)
        with self.condition:
            self.in_flight += 1
            if self.running >= self.slots:
                self.overcommits += 1
                if not self.queue:
                    self.in_flight -= 1
                    extra_headers = [*id_header, ("Peridotsill-Ran", "no")]
                    return _send(connection, 503, b"no slot", extra_headers)
                while self.running >= self.slots:
                    self.condition.wait()
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
        boot_at_start = self.boot
        try:
            self.log_event("start", request_id, marker=marker, target=target)
            time.sleep(float(headers.get("x-work-seconds", "0")))
            if self.consume_fault("crash_after_run"):
                os._exit(9)
            self.log_event("end", request_id, marker=marker)
        finally:
            with self.condition:
                self.running -= 1
                self.in_flight -= 1
                self.condition.notify()
        if boot_at_start != self.boot or self.down_until:
            return False
        return self._send_response(
            connection, method, headers, body, request_id
        )

    def _send_response(
        self, connection, method, headers, body, request_id
    ) -> bool:
        size = int(headers.get("x-answer-bytes", "0"))
        content = body or headers.get("x-marker", "").encode()
        if size:
            seed = hashlib.sha256(content).hexdigest().encode()
            content = (seed * (size // len(seed) + 1))[:size]
        extra_headers = [("Peridotsill-Request-Id", request_id)]
        if self.leaving:
            extra_headers.append(("Peridotsill-Leaving", "true"))
        if method == "HEAD":
            return _send(
                connection, 200, content, extra_headers, omit_body=True
            )
        if self.consume_fault("late"):
            time.sleep(self.fault_seconds)
        if self.consume_fault("truncate"):
            _send(
                connection,
                200,
                content,
                extra_headers,
                truncate_at=len(content) // 2,
            )
            return False
        if self.consume_fault("wrong_id"):
            extra_headers = [("Peridotsill-Request-Id", "somebody-else")]
        if self.consume_fault("two_lengths"):
            extra_headers.append(("Content-Length", str(len(content) + 7)))
        if self.consume_fault("no_length"):
            head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            connection.sendall(head.encode() + content)
            return False
        if self.consume_fault("big_header"):
            extra_headers.append(("X-Big", "x" * 100000))
        if "x-chunked" in headers:
            truncated = self.consume_fault("truncate_chunks")
            return _send_chunked(
                connection, content, extra_headers, truncated=truncated
            )
        keep_open = _send(connection, 200, content, extra_headers)
        if self.consume_fault("second_answer"):
            time.sleep(0.05)
            _send(connection, 200, b"a late answer of another", [])
        return keep_open


def _send(
    connection,
    status,
    content,
    extra_headers=(),
    *,
    truncate_at=None,
    omit_body=False,
) -> bool:
    """Send a response; false if its body was truncated.

    ``Content-Length`` is that of the whole body in any case.
    """
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
    head += [f"{name}: {value}" for name, value in extra_headers]
    sent_body = b"" if omit_body else content[:truncate_at]
    connection.sendall("\r\n".join([*head, "", ""]).encode() + sent_body)
    return truncate_at is None


def _send_chunked(
    connection, content, extra_headers, *, truncated=False
) -> bool:
    head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in extra_headers]
    connection.sendall("\r\n".join([*head, "", ""]).encode())
    half = max(len(content) // 2, 1)
    for part in (content[:half], content[half:]):
        if part:
            connection.sendall(b"%x\r\n%s\r\n" % (len(part), part))
        if truncated:
            return False
    connection.sendall(b"0\r\n\r\n")
    return True


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--refuse", action="store_true")
    options = parser.parse_args()
    Runner(
        host=options.host,
        port=options.port,
        log=options.log,
        slots=options.slots,
        queue=not options.refuse,
    ).serve()


if __name__ == "__main__":
    main()
