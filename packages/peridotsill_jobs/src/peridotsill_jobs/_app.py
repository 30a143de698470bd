"""The callers' job interface as a WSGI application.

``POST PREFIX/ID`` submits a job, ``GET PREFIX/ID`` shows it,
``DELETE PREFIX/ID`` cancels it and ``GET PREFIX/`` counts the jobs that have
not started. A request belongs to the queue with its host and the longest
prefix of its path. If the configuration has teams, a call to a queue that is
not anonymous needs the key of one.
"""

import collections.abc
import http
import re
import time
import typing

import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _catalog
from peridotsill_jobs import _key_checks
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _submissions
import peridotsill_scheduler

StartResponse = collections.abc.Callable[..., typing.Any]
_Outcome = _submissions.Outcome
_ID = re.compile(r"[0-9a-fA-F]{1,64}")
# Timeout of calls without a valid deadline header. The queue's own timeout is
# the upper limit with and without the header.
_DEFAULT_TIMEOUT_SECONDS = 3.0
# Value of Retry-After in all 503 and 504 answers. The load balancer takes a
# node that can't reach the table out of rotation within about two seconds.
_RETRY_AFTER_SECONDS = 1
# The kinds of calls whose success can't be taken back.
_CHANGING_KINDS = frozenset({"submit", "cancel"})
# The kind of call, the status, the body, and whether to send Retry-After.
_Answer = tuple[str, int, object, bool]


class JobApp:
    """Serves callers' job requests.

    Args:
        deadline_header: Name of the header with a caller's timeout in
            milliseconds.
        key_check: Finds the team of a call.
    """

    def __init__(
        self,
        *,
        catalog: _catalog.Catalog,
        documents: _ports.Documents,
        submissions: _submissions.Submissions,
        counters: peridotsill.Counters,
        deadline_header: str,
        key_check: _key_checks.KeyCheck,
    ) -> None:
        self._catalog = catalog
        self._documents = documents
        self._submissions = submissions
        self._counters = counters
        self._key_check = key_check
        name = deadline_header.upper().replace("-", "_")
        self._deadline_environ_key = f"HTTP_{name}"

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> list[bytes]:
        started_at = time.monotonic()
        kind, status, body, retry = self._serve(environ)
        content = peridotsill.encode(body)
        response_headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        if retry:
            response_headers.append(("Retry-After", str(_RETRY_AFTER_SECONDS)))
        if status == http.HTTPStatus.UNAUTHORIZED:
            response_headers.append(
                ("WWW-Authenticate", self._key_check.challenge)
            )
        start_response(
            f"{status} {http.HTTPStatus(status).phrase}", response_headers
        )
        self._counters.add("job_calls", kind=kind, status=str(status))
        elapsed = time.monotonic() - started_at
        self._counters.observe("job_call_seconds", elapsed, kind=kind)
        return [content]

    def _serve(self, environ: dict[str, typing.Any]) -> _Answer:
        config = self._catalog.config
        if config is None:
            return "any", 503, {"error": "no configuration yet"}, True
        host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
        path = environ["PATH_INFO"]
        queue = self._catalog.route(host, path)
        if queue is None:
            _logs.log(
                "call:no_queue", host=host, path=path, config=config.version
            )
            return "any", 404, {"error": "no such queue"}, False
        caller = self._key_check.identify(queue, environ)
        if isinstance(caller, _key_checks.Refusal):
            return _refuse("any", caller)
        answer = self._serve_caller(queue, caller, environ)
        kind, status, _, _ = answer
        if status != http.HTTPStatus.OK or (
            self._key_check.is_still_current(caller)
        ):
            return answer
        refusal = self._key_check.refuse(
            _key_checks.STALE, "stale_configuration", queue
        )
        if kind in _CHANGING_KINDS:
            # It is done, so that 503, which says "not run", would be wrong.
            return kind, 504, {"error": refusal.error}, True
        return _refuse(kind, refusal)

    def _serve_caller(
        self,
        queue: peridotsill_scheduler.Queue,
        caller: _key_checks.Caller,
        environ: dict[str, typing.Any],
    ) -> _Answer:
        rest = environ["PATH_INFO"][len(queue.prefix) :]
        method = environ["REQUEST_METHOD"]
        if not rest:
            if method != "GET":
                return "any", 405, {"error": "only GET is served"}, False
            return self._count(queue)
        if not _ID.fullmatch(rest):
            return "any", 404, {"error": "not a job's id"}, False
        handler = {
            "POST": self._submit,
            "GET": self._show,
            "DELETE": self._cancel,
        }.get(method)
        if handler is None:
            return "any", 405, {"error": "not served"}, False
        return handler(queue, rest, caller, environ)

    def _timeout_seconds(
        self,
        queue: peridotsill_scheduler.Queue,
        environ: dict[str, typing.Any],
    ) -> float:
        header_value = environ.get(self._deadline_environ_key, "")
        try:
            seconds = float(header_value) / 1000.0
        except ValueError:
            seconds = _DEFAULT_TIMEOUT_SECONDS
        return max(0.0, min(seconds, queue.timeout_seconds))

    def _submit(
        self,
        queue: peridotsill_scheduler.Queue,
        job_id: str,
        caller: _key_checks.Caller,
        environ: dict[str, typing.Any],
    ) -> _Answer:
        try:
            body = peridotsill.read_body(environ)
            spec = self._documents.job(queue.name, job_id, body)
        except peridotsill.exceptions.InvalidResource as error:
            _logs.log("job:invalid", job=job_id, problems=error.problems)
            return "submit", 400, {"error": str(error)}, False
        except peridotsill.HttpProblem as error:
            retry = error.status == http.HTTPStatus.SERVICE_UNAVAILABLE
            return "submit", error.status, {"error": error.detail}, retry
        if not self._catalog.reachable:
            self._log("job:refused", queue, job_id, "the table is away")
            return "submit", 503, {"error": "the store is away"}, True
        if caller.team is not None:
            reason = peridotsill_scheduler.oversized_reason(
                caller.team, spec.steps
            )
            if reason:
                return self._refuse_oversized(queue, job_id, caller, reason)
        seconds = self._timeout_seconds(queue, environ)
        job_reply = self._submissions.submit(
            queue, spec, seconds, caller.team_name
        )
        if job_reply.outcome is _Outcome.DONE:
            self._log("job:accepted", queue, job_id, job_reply.reason)
            return "submit", 200, {}, False
        if job_reply.outcome is _Outcome.REJECTED:
            self._log("job:rejected", queue, job_id, job_reply.reason)
            return "submit", 413, {"error": job_reply.reason}, False
        if job_reply.outcome is _Outcome.FOREIGN:
            return self._refuse_foreign("submit", queue)
        if job_reply.outcome is _Outcome.NOT_DONE:
            self._log("job:refused", queue, job_id, job_reply.reason)
            return "submit", 503, {"error": "not accepted"}, True
        self._log("job:unknown", queue, job_id, job_reply.reason)
        return "submit", 504, {"error": "the outcome is not known"}, True

    def _refuse_oversized(
        self,
        queue: peridotsill_scheduler.Queue,
        job_id: str,
        caller: _key_checks.Caller,
        reason: str,
    ) -> _Answer:
        """Refuse a job that its team's quota can't hold.

        An earlier submission of it may have been stored under another
        configuration, which makes this one a success.
        """
        job_reply = self._submissions.show(
            queue.name, job_id, caller.team_name
        )
        if job_reply.outcome is _Outcome.DONE:
            self._log("job:accepted", queue, job_id, "stored")
            return "submit", 200, {}, False
        if job_reply.outcome is _Outcome.FOREIGN:
            return self._refuse_foreign("submit", queue)
        if job_reply.outcome is _Outcome.ABSENT:
            self._log("job:rejected", queue, job_id, reason)
            return "submit", 422, {"error": reason}, False
        self._log("job:unknown", queue, job_id, job_reply.reason)
        return "submit", 504, {"error": "the outcome is not known"}, True

    def _refuse_foreign(
        self, kind: str, queue: peridotsill_scheduler.Queue
    ) -> _Answer:
        return _refuse(
            kind,
            self._key_check.refuse(
                _key_checks.OTHER_TEAM, "other_team", queue
            ),
        )

    def _log(
        self,
        event: str,
        queue: peridotsill_scheduler.Queue,
        job_id: str,
        reason: str,
    ) -> None:
        config = self._catalog.config
        _logs.log(
            event,
            job=job_id,
            queue=queue.name,
            config=config.version if config else 0,
            reason=reason,
        )

    def _show(
        self,
        queue: peridotsill_scheduler.Queue,
        job_id: str,
        caller: _key_checks.Caller,
        environ: dict[str, typing.Any],
    ) -> _Answer:
        job_reply = self._submissions.show(
            queue.name, job_id, caller.team_name
        )
        if job_reply.outcome is _Outcome.FOREIGN:
            return self._refuse_foreign("show", queue)
        if job_reply.outcome is _Outcome.ABSENT:
            return "show", 410, {"error": "no such job"}, False
        if job_reply.state is None:
            self._log("job:state_unknown", queue, job_id, job_reply.reason)
            return "show", 503, {"error": "the state can't be read"}, True
        body = {"state": str(job_reply.state)}
        if job_reply.reason:
            body["reason"] = job_reply.reason
        return "show", 200, body, False

    def _cancel(
        self,
        queue: peridotsill_scheduler.Queue,
        job_id: str,
        caller: _key_checks.Caller,
        environ: dict[str, typing.Any],
    ) -> _Answer:
        seconds = self._timeout_seconds(queue, environ)
        job_reply = self._submissions.cancel(
            queue.name, job_id, seconds, caller.team_name
        )
        if job_reply.outcome is _Outcome.FOREIGN:
            return self._refuse_foreign("cancel", queue)
        if job_reply.outcome is _Outcome.DONE:
            self._log("job:cancelled", queue, job_id, job_reply.reason)
            return "cancel", 200, {}, False
        if job_reply.outcome is _Outcome.ABSENT:
            return "cancel", 410, {"error": "no such job"}, False
        self._log("job:cancel_unknown", queue, job_id, job_reply.reason)
        return "cancel", 504, {"error": "the outcome is not known"}, True

    def _count(self, queue: peridotsill_scheduler.Queue) -> _Answer:
        pending = self._submissions.count(queue.name).pending
        if pending is None:
            return "count", 503, {"error": "can't be counted now"}, True
        return "count", 200, {"pending": pending}, False


def _refuse(kind: str, refusal: _key_checks.Refusal) -> _Answer:
    retry = refusal.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    return kind, int(refusal.status), {"error": refusal.error}, retry


class ReadinessApp:
    """Serves the load balancer's readiness checks and the metrics.

    Any path but ``/metrics`` is a readiness check.
    """

    def __init__(
        self,
        *,
        why_unready: collections.abc.Callable[[], str],
        metrics: collections.abc.Callable[[], bytes],
    ) -> None:
        self._why_unready = why_unready
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> list[bytes]:
        if environ["PATH_INFO"] == "/metrics":
            status, body = "200 OK", self._metrics()
        else:
            reason = self._why_unready()
            status = "503 Service Unavailable" if reason else "200 OK"
            body = (reason or "ready").encode() + b"\n"
        start_response(
            status,
            [
                ("Content-Type", "text/plain"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]
