"""Serves a `World` over HTTP in the platform's protocol."""

import contextlib
import errno
import itertools
import json
import random
import socket
import threading
import time
import urllib.parse

from cheroot import wsgi

from emulator import runners
from emulator import store

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
_RUNNER_METHODS = {
    "/-/run-start": "start",
    "/-/run-stop": "stop",
    "/-/hold": "hold",
    "/-/pace": "pace",
}


# How long an unanswered connection stays open before it is closed.
_UNANSWERED_SECONDS = 2.0


class App:
    """WSGI application of the store, the VM service and all runners."""

    def __init__(self, world):
        self._world = world

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        try:
            status, data = self._answer(environ, body)
        except store.StatusError as error:
            status, data = error.status, error.body
        except runners.RunnerStatusError as error:
            status, data = error.status, {"reason": error.reason}
        except runners.CrashedError as error:
            raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
        except (store.AnswerLostError, runners.UnansweredError) as error:
            time.sleep(_UNANSWERED_SECONDS)
            # On this error the server closes the connection unanswered.
            raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
        content = json.dumps(data).encode()
        start_response(
            _STATUS_LINES[status],
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(content))),
            ],
        )
        return [content]

    def _answer(self, environ, body):
        path = environ["PATH_INFO"]
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        # Each node calls the store by an address of its own, so the host
        # header identifies the caller.
        caller = environ.get("HTTP_HOST", "").partition(":")[0]
        if path in _RUNNER_METHODS:
            return self._call_runner(environ, path, json.loads(body))
        if path == "/-/machines":
            return 200, self._world.list_machines(caller)
        if path in ("/-/machine-move", "/-/machine-upkeep"):
            return self._disrupt_vm(environ, json.loads(body))
        return 200, self._call_store(path, query, body, caller)

    def _call_runner(self, environ, path, body):
        runner = self._world.runner_at(environ["HTTP_HOST"])
        if runner is None:
            raise runners.UnansweredError(environ["HTTP_HOST"])
        target_id = environ.get("HTTP_PERIDOTSILL_TARGET_INSTANCE")
        if target_id and target_id != runner.id:
            return 421, {}
        return 200, getattr(runner, _RUNNER_METHODS[path])(body)

    def _disrupt_vm(self, environ, body):
        status, reason = self._world.disrupt(
            body["machine"],
            pool=body.get("pool"),
            wave=body.get("wave"),
            holder=environ["HTTP_PERIDOTSILL_DUTY_HOLDER"],
            fence=int(environ["HTTP_PERIDOTSILL_FENCING_TOKEN"]),
        )
        return status, {"reason": reason}

    def _call_store(self, path, query, body, caller):
        platform_store = self._world.store
        if path == "/-/rows-tx":
            return platform_store.transact(json.loads(body), caller)
        if path == "/-/rows-get":
            return platform_store.get(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                int(query.get("limit", 500)),
                caller,
            )
        if path == "/-/rows-parts":
            return platform_store.parts(query["table"], caller)
        if path == "/-/rows-feed":
            return platform_store.feed(
                query["table"],
                int(query["after"]),
                float(query.get("wait_ms", 0)),
                caller,
            )
        return {}


class _Server(wsgi.Server):
    def error_log(self, msg="", level=20, traceback=False):
        """Discard errors; connections are closed deliberately here."""


# Below the ports that systems give to outgoing connections.
_PORTS = range(10_000, 32_000)
_candidates = itertools.cycle(_PORTS)
# Processes that run side by side begin at different ports.
for _ in range(random.SystemRandom().randrange(len(_PORTS))):
    next(_candidates)
_candidates_lock = threading.Lock()


def free_ports(count):
    """Return different ports that are free on all local addresses.

    None is returned twice soon, as it may be used some time later only.
    """
    ports = []
    with _candidates_lock:
        while len(ports) < count:
            port = next(_candidates)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("0.0.0.0", port))
                ports.append(port)
    return ports


class _RunnerListener:
    """Serves one runner at its own address.

    Once it is closed the address refuses connections, as that of a process
    that has ended does, or that of one behind a firewall.
    """

    def __init__(self, *, address, app):
        host, _, port = address.rpartition(":")
        self._closed = False
        self._server = _Server((host, int(port)), app, numthreads=8, max=24)
        self._server.shutdown_timeout = 1
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def closed(self):
        """Whether the address refuses connections."""
        return self._closed

    def close(self):
        """Refuse connections and close the open ones; doesn't wait."""
        if self._closed:
            return
        self._closed = True
        threading.Thread(target=self._server.stop, daemon=True).start()


@contextlib.contextmanager
def served(world):
    """Serve a world while the context lasts; yields its base URL."""
    world.port, world.runner_port = free_ports(2)
    server = _Server(
        ("0.0.0.0", world.port), App(world), numthreads=160, max=160
    )
    server.shutdown_timeout = 1
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    listeners = []

    def listen(address):
        listeners.append(_RunnerListener(address=address, app=App(world)))
        return listeners[-1]

    world.listen = listen
    world.start()
    try:
        yield f"http://127.0.0.1:{world.port}"
    finally:
        world.stop()
        # Those of VMs that lost power are open yet, and would keep the
        # process of the tests from ending.
        for listener in listeners:
            listener.close()
        server.stop()
