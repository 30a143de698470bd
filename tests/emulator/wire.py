"""Serves a `World` over HTTP as the platform's pages say."""

import contextlib
import errno
import json
import socket
import threading
import time
import urllib.parse

from cheroot import wsgi

from emulator import runners
from emulator import store

_STATUS = {
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
_ORDERS = {
    "/-/run-start": "start",
    "/-/run-stop": "stop",
    "/-/hold": "hold",
    "/-/pace": "pace",
}


# How long a silent peer keeps a connection open.
_SILENT_SECONDS = 2.0


class App:
    """WSGI application of the store, the machines and every runner."""

    def __init__(self, world):
        self._world = world

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        try:
            status, data = self._answer(environ, body)
        except store.Refused as error:
            status, data = error.status, error.body
        except runners.OrderError as error:
            status, data = error.status, {"reason": error.reason}
        except (store.Lost, runners.Unanswered) as error:
            time.sleep(_SILENT_SECONDS)
            # The server closes the connection of such an error unanswered.
            raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
        content = json.dumps(data).encode()
        start_response(
            _STATUS[status],
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(content))),
            ],
        )
        return [content]

    def _answer(self, environ, body):
        path = environ["PATH_INFO"]
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        # Each node has an address of the store of its own.
        caller = environ.get("HTTP_HOST", "").partition(":")[0]
        if path in _ORDERS:
            return self._order(environ, path, json.loads(body))
        if path == "/-/machines":
            return 200, self._world.list_machines()
        if path in ("/-/machine-move", "/-/machine-upkeep"):
            return self._machine(environ, json.loads(body))
        return 200, self._rows(path, query, body, caller)

    def _order(self, environ, path, body):
        runner = self._world.runner_at(environ["HTTP_HOST"])
        if runner is None:
            raise runners.Unanswered(environ["HTTP_HOST"])
        meant = environ.get("HTTP_PERIDOTSILL_TARGET_INSTANCE")
        if meant and meant != runner.id:
            return 421, {}
        return 200, getattr(runner, _ORDERS[path])(body)

    def _machine(self, environ, body):
        status, reason = self._world.take_away(
            body["machine"],
            pool=body.get("pool"),
            wave=body.get("wave"),
            holder=environ["HTTP_PERIDOTSILL_DUTY_HOLDER"],
            fence=int(environ["HTTP_PERIDOTSILL_FENCING_TOKEN"]),
        )
        return status, {"reason": reason}

    def _rows(self, path, query, body, caller):
        rows = self._world.store
        if path == "/-/rows-tx":
            return rows.transact(json.loads(body), caller)
        if path == "/-/rows-get":
            return rows.get(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                int(query.get("limit", 500)),
                caller,
            )
        if path == "/-/rows-parts":
            return rows.parts(query["table"], caller)
        if path == "/-/rows-feed":
            return rows.feed(
                query["table"],
                int(query["after"]),
                float(query.get("wait_ms", 0)),
                caller,
            )
        return {}


class _Server(wsgi.Server):
    def error_log(self, msg="", level=20, traceback=False):
        """Say nothing of connections that are dropped on purpose."""


def free_port():
    """Return a port that is free on every loopback address."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        return probe.getsockname()[1]


@contextlib.contextmanager
def served(world):
    """Serve a world while the context lasts; yields its base address."""
    world.port = free_port()
    server = _Server(
        ("0.0.0.0", world.port), App(world), numthreads=160, max=160
    )
    server.shutdown_timeout = 1
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    world.start()
    try:
        yield f"http://127.0.0.1:{world.port}"
    finally:
        world.stop()
        server.stop()
