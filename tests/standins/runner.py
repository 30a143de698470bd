"""A runner on a VM: 8 slots, 64 connections, a run log, and faults.

Run as ``python -m standins.runner --host H --port P --log FILE``. Faults
are ordered by ``POST /standin/faults``; each is a name with a count.
"""

import argparse
import hashlib
import json
import os
import socket
import struct
import threading
import time

_CONTROL = "/standin/"


class Runner:
    """State shared by all connections."""

    def __init__(
        self, *, host: str, port: int, log: str, slots: int, queue: bool
    ) -> None:
        self.host, self.port, self.slots, self.queue = host, port, slots, queue
        self.log_fd = os.open(
            log, os.O_APPEND | os.O_CREAT | os.O_WRONLY, 0o644
        )
        self.lock = threading.Condition()
        self.running = 0
        self.in_flight = 0
        self.peak = 0
        self.overcommits = 0
        self.connections: dict[socket.socket, bool] = {}
        self.peak_connections = 0
        self.boot = 1
        self.leaving = False
        self.faults: dict[str, int] = {}
        self.fault_seconds = 0.5
        self.down_until = 0.0
        self.requests = 0
        self.cut = 0

    def note(self, event: str, request_id: str, **more: object) -> None:
        line = {"event": event, "id": request_id, "t": time.time(), **more}
        os.write(self.log_fd, (json.dumps(line) + "\n").encode())

    def fault(self, name: str) -> bool:
        with self.lock:
            left = self.faults.get(name, 0)
            if left > 0:
                self.faults[name] = left - 1
            return left != 0

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
                with self.lock:
                    self.connections[connection] = True
                    self.peak_connections = max(
                        self.peak_connections, len(self.connections)
                    )
                threading.Thread(
                    target=self.talk, args=(connection,), daemon=True
                ).start()
            listener.close()
            self._go_down()

    def _go_down(self) -> None:
        with self.lock:
            self.cut += self.in_flight
            open_ones = list(self.connections)
        for connection in open_ones:
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
        with self.lock:
            self.boot += 1
            self.leaving = False
            self.down_until = 0.0

    def talk(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self._one(connection, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.pop(connection, None)
            stream.close()
            connection.close()

    def _one(self, connection: socket.socket, stream) -> bool:
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
        if target.startswith(_CONTROL):
            return self._control(connection, target, body)
        if not self.connections.get(connection, False):
            time.sleep(3600)  # black-holed: read nothing, say nothing
        if target == "/healthz":
            if self.fault("health"):
                return False
            return send(connection, 200, self.health())
        return self._request(connection, method, target, headers, body)

    def health(self) -> bytes:
        return json.dumps(
            {
                "in_flight": self.in_flight,
                "leaving": self.leaving and not self.fault("quiet_health"),
                "boot": self.boot,
            }
        ).encode()

    def _control(self, connection, target: str, body: bytes) -> bool:
        data = json.loads(body or b"{}")
        if target.endswith("/faults"):
            with self.lock:
                self.fault_seconds = data.pop("seconds", 0.5)
                self.leaving = data.pop("leaving", self.leaving)
                if data.pop("silence", False):
                    for each in self.connections:
                        self.connections[each] = each is connection
                self.faults = data
        elif target.endswith("/reboot"):
            self.down_until = time.time() + data.get("seconds", 0.5)
        stats = {
            "peak": self.peak,
            "overcommits": self.overcommits,
            "requests": self.requests,
            "peak_connections": self.peak_connections,
            "cut": self.cut,
            "boot": self.boot,
            "running": self.running,
        }
        return send(connection, 200, json.dumps(stats).encode())

    def _request(self, connection, method, target, headers, body) -> bool:
        request_id = headers.get("peridotsill-request-id", "")
        marker = headers.get("x-marker", "")
        own = [("Peridotsill-Request-Id", request_id)]
        with self.lock:
            self.requests += 1
        if self.fault("crash_before_run"):
            os._exit(9)
        if self.fault("refuse"):
            more = [*own, ("Peridotsill-Ran", "no")]
            return send(connection, 503, b"busy", more)
        if self.fault("fail_fast"):
            return send(connection, 500, b"broken", own)
        if self.fault("hang"):
            time.sleep(3600)
        with self.lock:
            self.in_flight += 1
            if self.running >= self.slots:
                self.overcommits += 1
                if not self.queue:
                    self.in_flight -= 1
                    more = [*own, ("Peridotsill-Ran", "no")]
                    return send(connection, 503, b"no slot", more)
                while self.running >= self.slots:
                    self.lock.wait()
            self.running += 1
            self.peak = max(self.peak, self.running)
        boot = self.boot
        try:
            self.note("start", request_id, marker=marker, target=target)
            time.sleep(float(headers.get("x-work-seconds", "0")))
            if self.fault("crash_after_run"):
                os._exit(9)
            self.note("end", request_id, marker=marker)
        finally:
            with self.lock:
                self.running -= 1
                self.in_flight -= 1
                self.lock.notify()
        if boot != self.boot or self.down_until:
            return False
        return self._answer(connection, method, headers, body, request_id)

    def _answer(self, connection, method, headers, body, request_id) -> bool:
        size = int(headers.get("x-answer-bytes", "0"))
        content = body or headers.get("x-marker", "").encode()
        if size:
            seed = hashlib.sha256(content).hexdigest().encode()
            content = (seed * (size // len(seed) + 1))[:size]
        more = [("Peridotsill-Request-Id", request_id)]
        if self.leaving:
            more.append(("Peridotsill-Leaving", "true"))
        if method == "HEAD":
            return send(connection, 200, content, more, bodyless=True)
        if self.fault("late"):
            time.sleep(self.fault_seconds)
        if self.fault("truncate"):
            send(connection, 200, content, more, cut=len(content) // 2)
            return False
        if self.fault("wrong_id"):
            more = [("Peridotsill-Request-Id", "somebody-else")]
        if self.fault("two_lengths"):
            more.append(("Content-Length", str(len(content) + 7)))
        if self.fault("no_length"):
            head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            connection.sendall(head.encode() + content)
            return False
        if self.fault("big_header"):
            more.append(("X-Big", "x" * 100000))
        if "x-chunked" in headers:
            cut = self.fault("truncate_chunks")
            return send_chunked(connection, content, more, cut=cut)
        kept = send(connection, 200, content, more)
        if self.fault("second_answer"):
            time.sleep(0.05)
            send(connection, 200, b"a late answer of another", [])
        return kept


def send(
    connection, status, content, more=(), *, cut=None, bodyless=False
) -> bool:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
    head += [f"{name}: {value}" for name, value in more]
    sent = b"" if bodyless else content[:cut]
    connection.sendall("\r\n".join([*head, "", ""]).encode() + sent)
    return cut is None


def send_chunked(connection, content, more, *, cut=False) -> bool:
    head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in more]
    connection.sendall("\r\n".join([*head, "", ""]).encode())
    half = max(len(content) // 2, 1)
    for part in (content[:half], content[half:]):
        if part:
            connection.sendall(b"%x\r\n%s\r\n" % (len(part), part))
        if cut:
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
