"""Routes callers' requests: takes a slot, calls a VM, retries."""

import collections.abc
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_node import _claims
from peridotsill_node import _retry
from peridotsill_node import _view_feed
import peridotsill_siblings
import peridotsill_upstreams
from peridotsill_upstreams import exceptions as upstream_exceptions

_MAX_ATTEMPTS = 6
# A request is not passed on once this many runners have broken off the
# connection under it: it may be what crashes them. A reused connection counts
# only if the runner takes no new one either.
_MAX_BROKEN_CONNECTIONS = 2
# A reused connection counts as silent after this multiple of the recent peak
# answer time for the service and request class, but not before the configured
# ``silence_seconds``.
_SILENCE_FACTOR = 3.0
# Each faster answer lowers that peak by this share of the difference.
_PEAK_DECAY_PER_ANSWER = 0.05
# Longer answers to keyed requests are streamed and not stored for repeats.
_MAX_STORED_ANSWER_BYTES = 8 << 20

Outcome = peridotsill.Answer | peridotsill.Problem


@attrs.frozen(kw_only=True)
class RelayParts:
    """The components that the relay uses."""

    node: str
    view: peridotsill.TableView
    view_feed: _view_feed.ViewFeed
    slots: peridotsill_siblings.Slots
    upstreams: peridotsill_upstreams.Upstreams
    claims: _claims.Claims
    journal: peridotsill.Journal
    counters: peridotsill.Counters


@attrs.define(kw_only=True, eq=False)
class _Progress:
    """State of one request across its attempts."""

    request: peridotsill.Request
    service: peridotsill.Service
    attempt: int = 0
    excluded: tuple[str, ...] = ()
    failures: tuple[peridotsill.Candidate, ...] = ()
    may_have_run: bool = False
    broken_connections: int = 0
    broken_reused_at: str = ""
    outcome: Outcome | None = None
    force_fresh_connection: bool = False

    @property
    def ran(self) -> peridotsill.Ran:
        """Whether the request may have run, as a refusal reports it."""
        if self.may_have_run:
            return peridotsill.Ran.UNKNOWN
        return peridotsill.Ran.NO


class Relay:
    """Routes requests to VMs and retries where that is safe."""

    def __init__(self, *, parts: RelayParts) -> None:
        self._parts = parts
        self._budget = _retry.RetryBudget()
        self._peak_seconds_by_class: dict[
            tuple[str, peridotsill.RequestClass], float
        ] = {}

    def handle(self, request: peridotsill.Request) -> Outcome:
        """Return the answer to a request, or the problem that prevented it."""
        outcome = self._handle(request)
        label = "served"
        if isinstance(outcome, peridotsill.Problem):
            label = f"refused_ran_{outcome.ran}"
            self._parts.journal.record(
                "admission",
                request.id,
                f"refused {outcome.status}, ran {outcome.ran}",
                reason=outcome.detail,
                config_version=self._parts.view.config.version,
            )
        self._parts.counters.add(
            "requests", service=request.service, outcome=label
        )
        return outcome

    def _handle(self, request: peridotsill.Request) -> Outcome:
        self._parts.view_feed.refresh_if_paused()
        if self._parts.view_feed.is_isolated():
            return _refusal(503, "this node is cut off", retry_after=2.0)
        if not self._parts.view_feed.bootstrapped:
            return _refusal(503, "this node is starting", retry_after=1.0)
        key = peridotsill.resource_key("services", request.service)
        service = self._parts.view.resource(key, peridotsill.Service)
        if service is None:
            return _refusal(404, f"there is no service {request.service!r}")
        self._budget.deposit(self._parts.view.config.values.retry_ratio)
        progress = _Progress(request=request, service=service)
        if request.idempotency_key is not None and not request.idempotent:
            return self._handle_keyed(progress)
        return self._run_attempts(progress)

    def _handle_keyed(self, progress: _Progress) -> Outcome:
        claims = self._parts.claims
        seconds = self._parts.view.config.values.claim_seconds
        match claims.begin(progress.request, seconds):
            case result.Failure(_claims.Denial(problem=problem)):
                return problem
            case result.Failure(answer):
                return typing.cast(peridotsill.Answer, answer)
            case result.Success(claim):
                return self._run_claimed(progress, claim)
        raise AssertionError("result is neither a Success nor a Failure")

    def _run_claimed(
        self, progress: _Progress, claim: _claims.Claim
    ) -> Outcome:
        outcome = self._run_attempts(progress)
        if isinstance(outcome, peridotsill.Answer):
            try:
                outcome = _buffer_answer(outcome)
            except upstream_exceptions.AnswerIncomplete as error:
                self._parts.claims.mark_unknown(claim)
                return _refusal(
                    502,
                    f"the answer broke off: {error}",
                    ran=peridotsill.Ran.UNKNOWN,
                )
            if outcome.rest is None:
                self._parts.claims.finish(claim, outcome)
            else:
                # The answer is too long to be stored for repeats.
                self._parts.claims.mark_unknown(claim)
        elif outcome.ran is peridotsill.Ran.NO:
            self._parts.claims.revoke(claim)
        else:
            self._parts.claims.mark_unknown(claim)
        return outcome

    def _run_attempts(self, progress: _Progress) -> Outcome:
        while progress.outcome is None:
            if progress.attempt >= _MAX_ATTEMPTS:
                return self._refuse_after_failures(progress, "no VM took it")
            self._attempt(progress)
            progress.attempt += 1
        return progress.outcome

    def _attempt(self, progress: _Progress) -> None:
        request = progress.request
        slot_request = peridotsill.SlotRequest(
            id=f"{request.id}.{progress.attempt}",
            service=request.service,
            node=self._parts.node,
            deadline_seconds=request.remaining_seconds,
            priority=request.priority,
            excluded=progress.excluded,
        )
        policy = self._parts.view.config.values.slot_policy
        match self._parts.slots.acquire(policy, slot_request):
            case result.Success(grant):
                self._use_slot(progress, grant)
            case result.Failure(refusal):
                progress.outcome = _refusal(
                    503,
                    refusal.reason,
                    ran=progress.ran,
                    retry_after=refusal.retry_after_seconds,
                )

    def _use_slot(
        self, progress: _Progress, grant: peridotsill.SlotGrant
    ) -> None:
        # The process may have been paused while it waited for the slot;
        # its view of the VMs may then be stale.
        self._parts.view_feed.refresh_if_paused()
        health = self._parts.upstreams.health
        reason = health.unavailable_reason(grant.vm) or health.begin_request(
            grant.vm
        )
        if reason:
            self._parts.slots.release(grant, None)
            self._exclude(progress, grant.vm, reason)
            return
        slot_use = _SlotUse(parts=self._parts, grant=grant)
        try:
            self._dispatch(progress, grant, slot_use)
        finally:
            slot_use.end_unless_streaming()

    def _dispatch(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        slot_use: "_SlotUse",
    ) -> None:
        request = progress.request
        options = self._send_options(progress)
        try:
            exchange = self._parts.upstreams.send(grant.vm, request, options)
        except (
            upstream_exceptions.NotSent,
            upstream_exceptions.RefusedBeforeRun,
            upstream_exceptions.TooManyConnections,
        ) as error:
            self._handle_not_run(progress, grant.vm, error)
        except upstream_exceptions.AnswerIncomplete as error:
            self._handle_no_answer(progress, grant.vm, error, slot_use)
        else:
            self._handle_answer(progress, grant, exchange, slot_use)

    def _send_options(
        self, progress: _Progress
    ) -> peridotsill_upstreams.SendOptions:
        request = progress.request
        interactive = request.priority is peridotsill.RequestClass.INTERACTIVE
        # A reused connection may be dead without having been closed, which
        # only a timeout detects. Requests that aren't both idempotent and
        # interactive get a new connection: they can't be retried, or their
        # answers take too long for a short timeout. Retries get one as well.
        fresh = (
            not request.idempotent
            or not interactive
            or progress.force_fresh_connection
        )
        remaining = request.remaining_seconds
        silence_timeout = self._silence_timeout(request)
        fresh_timeout = remaining
        if request.idempotent and interactive:
            fresh_timeout = max(remaining / 2, silence_timeout)
        return peridotsill_upstreams.SendOptions(
            fresh=fresh,
            reused_timeout_seconds=silence_timeout,
            fresh_timeout_seconds=fresh_timeout,
        )

    def _silence_timeout(self, request: peridotsill.Request) -> float:
        minimum = self._parts.view.config.values.silence_seconds
        return max(minimum, _SILENCE_FACTOR * self._peak_seconds(request))

    def _peak_seconds(self, request: peridotsill.Request) -> float:
        key = peridotsill.resource_key("services", request.service)
        service = self._parts.view.resource(key, peridotsill.Service)
        expected = service.expected_seconds if service else 0.0
        return self._peak_seconds_by_class.get(
            (request.service, request.priority), expected
        )

    def _handle_not_run(
        self,
        progress: _Progress,
        vm: str,
        error: upstream_exceptions.UpstreamError,
    ) -> None:
        self._exclude(progress, vm, str(error))
        if vm == progress.broken_reused_at and isinstance(
            error, upstream_exceptions.NotSent
        ):
            # The runner closed a reused connection and takes no new one, so
            # it may have crashed under the request.
            progress.broken_connections += 1
        if progress.request.remaining_seconds <= 0:
            progress.outcome = _refusal(
                504, "the deadline has passed", ran=progress.ran
            )
        elif not self._may_retry():
            progress.outcome = self._refuse_after_failures(
                progress, str(error)
            )

    def _handle_no_answer(
        self,
        progress: _Progress,
        vm: str,
        error: upstream_exceptions.AnswerIncomplete,
        slot_use: "_SlotUse",
    ) -> None:
        progress.may_have_run = True
        stale = not error.fresh
        timed_out = isinstance(error, upstream_exceptions.AnswerTimedOut)
        unreadable = isinstance(error, upstream_exceptions.BadAnswer)
        broken = not (stale or timed_out or unreadable)
        progress.broken_connections += broken
        if stale:
            progress.broken_reused_at = "" if timed_out else vm
            progress.force_fresh_connection = True
            progress.failures += (
                peridotsill.Candidate(name=vm, reason=f"old link: {error}"),
            )
        else:
            self._exclude(progress, vm, str(error))
            slot_use.leave_slot_to_expire()
        out_of_time = progress.request.remaining_seconds <= 0
        if not progress.request.idempotent or out_of_time:
            progress.outcome = _refusal(
                504 if timed_out else 502,
                f"{vm}: {error}",
                ran=peridotsill.Ran.UNKNOWN,
            )
        elif broken and (
            progress.broken_connections >= _MAX_BROKEN_CONNECTIONS
        ):
            self._parts.counters.add("suspect_requests")
            progress.outcome = _refusal(
                502,
                f"{progress.broken_connections} runners closed the "
                f"connection under this request, {vm} last",
                ran=peridotsill.Ran.UNKNOWN,
            )
        elif not stale and not self._may_retry():
            progress.outcome = self._refuse_after_failures(
                progress, str(error)
            )

    def _handle_answer(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        exchange: peridotsill_upstreams.Exchange,
        slot_use: "_SlotUse",
    ) -> None:
        answer = exchange.answer
        request = progress.request
        if answer.status >= 500 and request.idempotent:
            last = progress.attempt + 1 >= _MAX_ATTEMPTS
            if answer.rest is None and not last and self._may_retry():
                progress.may_have_run = True
                self._exclude(progress, grant.vm, f"status {answer.status}")
                return
        if answer.status < 500:
            self._update_peak(request, exchange.seconds)
            slot_use.ran_seconds = exchange.seconds
        if answer.rest is not None:
            answer = attrs.evolve(
                answer, rest=slot_use.end_with_stream(answer.rest)
            )
        progress.outcome = answer
        self._record_route(progress, grant, answer)

    def _update_peak(
        self, request: peridotsill.Request, seconds: float
    ) -> None:
        # A slow answer raises the peak at once. Otherwise the next one like
        # it would be taken for silence, and its request would run twice.
        peak = self._peak_seconds(request)
        decayed = peak + _PEAK_DECAY_PER_ANSWER * (seconds - peak)
        key = (request.service, request.priority)
        self._peak_seconds_by_class[key] = max(seconds, decayed)

    def _record_route(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        answer: peridotsill.Answer,
    ) -> None:
        considered = tuple(
            peridotsill.Candidate(name=text.partition(":")[0], reason=text)
            for text in grant.candidates
        )
        self._parts.journal.record(
            "route",
            progress.request.id,
            grant.vm,
            reason=f"attempt {progress.attempt + 1}, {answer.status}",
            candidates=progress.failures + considered,
            inputs={
                "service": progress.request.service,
                "home": grant.home,
                "class": progress.request.priority,
                "seconds_left": round(progress.request.remaining_seconds, 3),
            },
            config_version=self._parts.view.config.version,
        )

    def _exclude(self, progress: _Progress, vm: str, reason: str) -> None:
        progress.excluded += (vm,)
        progress.failures += (peridotsill.Candidate(name=vm, reason=reason),)
        progress.force_fresh_connection = True

    def _may_retry(self) -> bool:
        allowed = self._budget.withdraw()
        self._parts.counters.add(
            "retries", outcome="allowed" if allowed else "denied"
        )
        return allowed

    def _refuse_after_failures(
        self, progress: _Progress, reason: str
    ) -> Outcome:
        tried = ", ".join(
            f"{each.name}: {each.reason}" for each in progress.failures
        )
        return _refusal(
            502 if progress.may_have_run else 503,
            f"{reason} (tried {tried})",
            ran=progress.ran,
            retry_after=1.0,
        )


class _SlotUse:
    """A request in flight at a VM: its slot and its in-flight count."""

    def __init__(
        self, *, parts: RelayParts, grant: peridotsill.SlotGrant
    ) -> None:
        self._parts = parts
        self._grant = grant
        self._streaming = False
        self._slot_expires = False
        self.ran_seconds: float | None = None

    def leave_slot_to_expire(self) -> None:
        """Hold the slot until its deadline, as the VM may still be working."""
        self._slot_expires = True

    def end_unless_streaming(self) -> None:
        """End the request at the VM unless its answer is being streamed."""
        if not self._streaming:
            self._end()

    def end_with_stream(
        self, rest: collections.abc.Iterator[bytes]
    ) -> collections.abc.Iterator[bytes]:
        """Return the rest of an answer; its end releases the slot."""
        self._streaming = True
        return _AnswerStream(rest=rest, end=self._end)

    def _end(self) -> None:
        self._parts.upstreams.health.end_request(self._grant.vm)
        if not self._slot_expires:
            self._parts.slots.release(self._grant, self.ran_seconds)


class _AnswerStream:
    """Iterator over an answer that calls ``end`` once, however it ends."""

    def __init__(
        self,
        *,
        rest: collections.abc.Iterator[bytes],
        end: collections.abc.Callable[[], None],
    ) -> None:
        self._rest = rest
        self._end: collections.abc.Callable[[], None] | None = end

    def __iter__(self) -> "_AnswerStream":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._rest)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection and call ``end``, both only once."""
        end, self._end = self._end, None
        if end is None:
            return
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()
        end()

    def __del__(self) -> None:
        self.close()


def _buffer_answer(answer: peridotsill.Answer) -> peridotsill.Answer:
    if answer.rest is None:
        return answer
    chunks = [answer.body]
    size = len(answer.body)
    for chunk in answer.rest:
        chunks.append(chunk)
        size += len(chunk)
        if size > _MAX_STORED_ANSWER_BYTES:
            rest = answer.rest
            return attrs.evolve(answer, body=b"".join(chunks), rest=rest)
    return attrs.evolve(answer, body=b"".join(chunks), rest=None)


def _refusal(
    status: int,
    detail: str,
    *,
    ran: peridotsill.Ran = peridotsill.Ran.NO,
    retry_after: float | None = None,
) -> peridotsill.Problem:
    return peridotsill.Problem(
        status=status,
        title="Request not served",
        detail=detail,
        ran=ran,
        retry_after_seconds=retry_after,
    )
