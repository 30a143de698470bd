"""The way of one request: slot, upstream, retries, answer."""

import collections.abc
import typing

import attrs
import peridotsill
from returns import result

from peridotsill_node import _claims
from peridotsill_node import _feed
from peridotsill_node import _retry
import peridotsill_siblings
import peridotsill_upstreams
from peridotsill_upstreams import exceptions as upstream_exceptions

_MAX_ATTEMPTS = 6
_SILENCE_FACTOR = 3.0
_PEAK_DECAY = 0.05
_KEPT_ANSWER_BYTES = 8 << 20

Outcome = peridotsill.Answer | peridotsill.Problem


@attrs.frozen(kw_only=True)
class RelayParts:
    """What the relay works with."""

    node: str
    view: peridotsill.View
    feed: _feed.Feed
    slots: peridotsill_siblings.Slots
    upstreams: peridotsill_upstreams.Upstreams
    claims: _claims.Claims
    journal: peridotsill.Journal
    counters: peridotsill.Counters


@attrs.define(kw_only=True, eq=False)
class _Progress:
    """What has happened to a request so far."""

    request: peridotsill.Request
    service: peridotsill.Service
    attempt: int = 0
    excluded: tuple[str, ...] = ()
    failures: tuple[peridotsill.Candidate, ...] = ()
    may_have_run: bool = False
    outcome: Outcome | None = None
    force_fresh: bool = False

    @property
    def ran(self) -> peridotsill.Ran:
        """What a refusal may say now."""
        if self.may_have_run:
            return peridotsill.Ran.UNKNOWN
        return peridotsill.Ran.NO


class Relay:
    """Handles callers' requests."""

    def __init__(self, *, parts: RelayParts) -> None:
        self._parts = parts
        self._budget = _retry.RetryBudget()
        self._peaks: dict[tuple[str, peridotsill.RequestClass], float] = {}

    def handle(self, request: peridotsill.Request) -> Outcome:
        """Return the answer to a request, or why there is none."""
        outcome = self._handle(request)
        label = "served"
        if isinstance(outcome, peridotsill.Problem):
            label = f"refused_ran_{outcome.ran}"
            self._parts.journal.note(
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
        self._parts.feed.guard()
        if self._parts.feed.isolated():
            return _refusal(503, "this node is cut off", retry_after=2.0)
        if not self._parts.feed.bootstrapped:
            return _refusal(503, "this node is starting", retry_after=1.0)
        key = peridotsill.resource_key("services", request.service)
        service = self._parts.view.resource(key, peridotsill.Service)
        if service is None:
            return _refusal(404, f"there is no service {request.service!r}")
        self._budget.deposit(self._parts.view.config.values.retry_ratio)
        progress = _Progress(request=request, service=service)
        if request.key is not None and not request.idempotent:
            return self._handle_keyed(progress)
        return self._run(progress)

    def _handle_keyed(self, progress: _Progress) -> Outcome:
        claims = self._parts.claims
        seconds = self._parts.view.config.values.claim_seconds
        match claims.begin(progress.request, seconds):
            case result.Failure(_claims.Denied(problem=problem)):
                return problem
            case result.Failure(answer):
                return typing.cast(peridotsill.Answer, answer)
            case result.Success(claim):
                return self._run_claimed(progress, claim)
        raise AssertionError("a result is a success or a failure")

    def _run_claimed(
        self, progress: _Progress, claim: _claims.Claim
    ) -> Outcome:
        outcome = self._run(progress)
        if isinstance(outcome, peridotsill.Answer):
            try:
                outcome = _whole(outcome)
            except upstream_exceptions.NoAnswer as error:
                self._parts.claims.lose(claim)
                return _refusal(
                    502,
                    f"the answer broke off: {error}",
                    ran=peridotsill.Ran.UNKNOWN,
                )
            if outcome.rest is None:
                self._parts.claims.finish(claim, outcome)
            else:
                # Too long to be kept for a repeat.
                self._parts.claims.lose(claim)
        elif outcome.ran is peridotsill.Ran.NO:
            self._parts.claims.revoke(claim)
        else:
            self._parts.claims.lose(claim)
        return outcome

    def _run(self, progress: _Progress) -> Outcome:
        while progress.outcome is None:
            if progress.attempt >= _MAX_ATTEMPTS:
                return self._give_up(progress, "no VM took it")
            self._attempt(progress)
            progress.attempt += 1
        return progress.outcome

    def _attempt(self, progress: _Progress) -> None:
        request = progress.request
        ask = peridotsill.SlotAsk(
            id=f"{request.id}.{progress.attempt}",
            service=request.service,
            node=self._parts.node,
            deadline_seconds=request.remaining_seconds,
            priority=request.priority,
            excluded=progress.excluded,
        )
        policy = self._parts.view.config.values.slot_policy
        match self._parts.slots.acquire(policy, ask):
            case result.Success(grant):
                self._use(progress, grant)
            case result.Failure(refusal):
                progress.outcome = _refusal(
                    503,
                    refusal.reason,
                    ran=progress.ran,
                    retry_after=refusal.retry_after_seconds,
                )

    def _use(self, progress: _Progress, grant: peridotsill.SlotGrant) -> None:
        # The node may have been paused while it waited for the slot.
        self._parts.feed.guard()
        health = self._parts.upstreams.health
        reason = health.why_not(grant.vm) or health.enter(grant.vm)
        if reason:
            self._parts.slots.release(grant, None)
            self._exclude(progress, grant.vm, reason)
            return
        scope = _Scope(parts=self._parts, grant=grant)
        try:
            self._dispatch(progress, grant, scope)
        finally:
            scope.end_unless_kept()

    def _dispatch(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        scope: "_Scope",
    ) -> None:
        request = progress.request
        options = self._options(progress)
        try:
            exchange = self._parts.upstreams.send(grant.vm, request, options)
        except (
            upstream_exceptions.NotSent,
            upstream_exceptions.RefusedUnrun,
            upstream_exceptions.TooManyConnections,
        ) as error:
            self._after_unrun(progress, grant.vm, error)
        except upstream_exceptions.NoAnswer as error:
            self._after_loss(progress, grant.vm, error, scope)
        else:
            self._after_answer(progress, grant, exchange, scope)

    def _options(
        self, progress: _Progress
    ) -> peridotsill_upstreams.SendOptions:
        request = progress.request
        interactive = request.priority is peridotsill.RequestClass.INTERACTIVE
        # A used connection may have gone silent. Only a request that may
        # be sent again, and whose answer is due soon, can tell in time.
        fresh = (
            not request.idempotent or not interactive or progress.force_fresh
        )
        left = request.remaining_seconds
        silence = self._silence_seconds(request)
        longest = left
        if request.idempotent and interactive:
            longest = max(left / 2, silence)
        return peridotsill_upstreams.SendOptions(
            fresh=fresh, used_seconds=silence, fresh_seconds=longest
        )

    def _silence_seconds(self, request: peridotsill.Request) -> float:
        least = self._parts.view.config.values.silence_seconds
        return max(least, _SILENCE_FACTOR * self._peak_seconds(request))

    def _peak_seconds(self, request: peridotsill.Request) -> float:
        key = peridotsill.resource_key("services", request.service)
        service = self._parts.view.resource(key, peridotsill.Service)
        expected = service.expected_seconds if service else 0.0
        return self._peaks.get((request.service, request.priority), expected)

    def _after_unrun(
        self,
        progress: _Progress,
        vm: str,
        error: upstream_exceptions.UpstreamError,
    ) -> None:
        self._exclude(progress, vm, str(error))
        if progress.request.remaining_seconds <= 0:
            progress.outcome = _refusal(
                504, "the deadline has passed", ran=progress.ran
            )
        elif not self._may_retry():
            progress.outcome = self._give_up(progress, str(error))

    def _after_loss(
        self,
        progress: _Progress,
        vm: str,
        error: upstream_exceptions.NoAnswer,
        scope: "_Scope",
    ) -> None:
        progress.may_have_run = True
        stale = not error.fresh
        if stale:
            progress.force_fresh = True
            progress.failures += (
                peridotsill.Candidate(name=vm, reason=f"old link: {error}"),
            )
        else:
            self._exclude(progress, vm, str(error))
            scope.leave_slot_to_expire()
        out_of_time = progress.request.remaining_seconds <= 0
        if not progress.request.idempotent or out_of_time:
            status = (
                504 if isinstance(error, upstream_exceptions.Silent) else 502
            )
            progress.outcome = _refusal(
                status, f"{vm}: {error}", ran=peridotsill.Ran.UNKNOWN
            )
        elif not stale and not self._may_retry():
            progress.outcome = self._give_up(progress, str(error))

    def _after_answer(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        exchange: peridotsill_upstreams.Exchange,
        scope: "_Scope",
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
            self._learn(request, exchange.seconds)
            scope.ran_seconds = exchange.seconds
        if answer.rest is not None:
            answer = attrs.evolve(answer, rest=scope.kept(answer.rest))
        progress.outcome = answer
        self._note(progress, grant, answer)

    def _learn(self, request: peridotsill.Request, seconds: float) -> None:
        # A slow answer counts at once: were it taken for silence again,
        # the request would run twice for nothing.
        peak = self._peak_seconds(request)
        decayed = peak + _PEAK_DECAY * (seconds - peak)
        key = (request.service, request.priority)
        self._peaks[key] = max(seconds, decayed)

    def _note(
        self,
        progress: _Progress,
        grant: peridotsill.SlotGrant,
        answer: peridotsill.Answer,
    ) -> None:
        weighed = tuple(
            peridotsill.Candidate(name=text.partition(":")[0], reason=text)
            for text in grant.candidates
        )
        self._parts.journal.note(
            "route",
            progress.request.id,
            grant.vm,
            reason=f"attempt {progress.attempt + 1}, {answer.status}",
            candidates=progress.failures + weighed,
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
        progress.force_fresh = True

    def _may_retry(self) -> bool:
        allowed = self._budget.withdraw()
        self._parts.counters.add(
            "retries", outcome="allowed" if allowed else "denied"
        )
        return allowed

    def _give_up(self, progress: _Progress, reason: str) -> Outcome:
        tried = ", ".join(
            f"{each.name}: {each.reason}" for each in progress.failures
        )
        return _refusal(
            502 if progress.may_have_run else 503,
            f"{reason} (tried {tried})",
            ran=progress.ran,
            retry_after=1.0,
        )


class _Scope:
    """A request's stay at a VM: its slot and its place in flight."""

    def __init__(
        self, *, parts: RelayParts, grant: peridotsill.SlotGrant
    ) -> None:
        self._parts = parts
        self._grant = grant
        self._kept = False
        self._expires = False
        self.ran_seconds: float | None = None

    def leave_slot_to_expire(self) -> None:
        """Keep the slot until the deadline: the VM may be at work yet."""
        self._expires = True

    def end_unless_kept(self) -> None:
        """End the stay, unless a streamed answer goes on."""
        if not self._kept:
            self._end()

    def kept(
        self, rest: collections.abc.Iterator[bytes]
    ) -> collections.abc.Iterator[bytes]:
        """Return the rest of an answer; the stay ends with it."""
        self._kept = True
        return _StreamEnd(rest=rest, end=self._end)

    def _end(self) -> None:
        self._parts.upstreams.health.exit(self._grant.vm)
        if not self._expires:
            self._parts.slots.release(self._grant, self.ran_seconds)


class _StreamEnd:
    """An iterator that ends its scope once, however it is left."""

    def __init__(
        self,
        *,
        rest: collections.abc.Iterator[bytes],
        end: collections.abc.Callable[[], None],
    ) -> None:
        self._rest = rest
        self._end: collections.abc.Callable[[], None] | None = end

    def __iter__(self) -> "_StreamEnd":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._rest)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection and end the stay."""
        end, self._end = self._end, None
        if end is None:
            return
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()
        end()

    def __del__(self) -> None:
        self.close()


def _whole(answer: peridotsill.Answer) -> peridotsill.Answer:
    if answer.rest is None:
        return answer
    parts = [answer.body]
    size = len(answer.body)
    for part in answer.rest:
        parts.append(part)
        size += len(part)
        if size > _KEPT_ANSWER_BYTES:
            rest = answer.rest
            return attrs.evolve(answer, body=b"".join(parts), rest=rest)
    return attrs.evolve(answer, body=b"".join(parts), rest=None)


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
