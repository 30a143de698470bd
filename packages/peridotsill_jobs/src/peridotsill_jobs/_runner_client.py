"""Calls one runner, one call at a time, and reads its answers."""

import collections.abc
import typing

import attrs
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _grants
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

_T = typing.TypeVar("_T")
# Returns a runner's answer, or raises `RunnerError`.
AnswerReader = collections.abc.Callable[[], _T]


@attrs.frozen(kw_only=True)
class LinkParts:
    """What the poller and the order sender of a link share.

    ``loop`` runs the link, and ``calls`` builds its calls. ``post`` takes the
    link's events. ``lease`` is marked as lost if the runner has seen a
    scheduler of a higher epoch. ``tokens`` are shared by all links to the
    runner.
    """

    entry: _ports.RunnerEntry
    loop: peridotsill.CallLoop
    calls: _ports.RunnerCalls
    lease: _lease.Lease
    grants: _grants.Grants
    tokens: _fencing_tokens.RunnerTokens
    post: collections.abc.Callable[[_link_events.LinkEvent], None]


class RunnerClient:
    """One connection to a runner, for one call at a time.

    Its methods may only be called in the loop's thread.
    """

    def __init__(self, *, parts: LinkParts) -> None:
        self._parts = parts
        self._runner = parts.entry.id
        self._failing_since: float | None = None
        self._token_in_flight: int | None = None
        self._connection = peridotsill.JsonConnection(
            loop=parts.loop, address=parts.entry.address
        )

    def call(
        self,
        build_call: collections.abc.Callable[[int], _ports.RunnerCall[_T]],
        on_answer: collections.abc.Callable[[AnswerReader[_T]], None],
    ) -> None:
        """Call the runner; ``on_answer`` gets the reader of its answer.

        Args:
            build_call: Builds the call that bears a fencing token.
            on_answer: Called once the call has ended.
        """
        token = self._parts.tokens.use()
        runner_call = build_call(token)
        self._token_in_flight = token

        def on_done(outcome: peridotsill.CallResult) -> None:
            self._token_in_flight = None
            on_answer(lambda: self._read(runner_call, token, outcome))

        self._connection.call(runner_call.call, on_done)

    def close(self) -> None:
        """Close the connection; the answer of a call in flight is dropped."""
        self._connection.close()
        if self._token_in_flight is not None:
            self._record_unanswered(self._token_in_flight)
            self._token_in_flight = None

    def _record_unanswered(self, token: int) -> None:
        tokens = self._parts.tokens
        tokens.record_unanswered(token)
        if tokens.is_exhausted:
            self._parts.lease.mark_lost("its fencing tokens are used up")

    def _read(
        self,
        runner_call: _ports.RunnerCall[_T],
        token: int,
        outcome: peridotsill.CallResult,
    ) -> _T:
        """Return the answer, or raise what the call's ``read`` does.

        Raises:
            exceptions.CallOvertaken: The runner did nothing.
        """
        try:
            return self._decode(runner_call, outcome)
        except exceptions.StaleFencingToken as error:
            if not self._parts.tokens.is_overtaken(token):
                raise
            _logs.log("runner:call_overtaken", runner=self._runner)
            raise exceptions.CallOvertaken(str(error)) from error
        except exceptions.RunnerUnavailable as error:
            if error.sent:
                self._record_unanswered(token)
            raise

    def _decode(
        self,
        runner_call: _ports.RunnerCall[_T],
        outcome: peridotsill.CallResult,
    ) -> _T:
        try:
            answer = runner_call.read(outcome)
        except exceptions.ConnectionRefused as error:
            self._handle_refusal(error)
            raise
        except exceptions.WrongLifetime as error:
            if not self._parts.grants.reached:
                # The registry may name another runner's address.
                self._handle_refusal(error)
                raise exceptions.ConnectionRefused(str(error)) from error
            self._parts.post(
                _link_events.RunnerFoundGone(
                    runner=self._runner,
                    lifetime=self._parts.entry.lifetime,
                    evidence=str(error),
                    ended_at=self._record_failure(),
                )
            )
            raise
        except exceptions.RunnerUnavailable:
            self._record_failure()
            raise
        except exceptions.RunnerError:
            self._failing_since = None
            raise
        except Exception as error:
            # An error raised here would end the link's polling for good.
            _logs.log(
                "runner:unreadable", runner=self._runner, reason=repr(error)
            )
            raise exceptions.RunnerUnavailable(
                repr(error), sent=True
            ) from error
        self._failing_since = None
        return answer

    def _handle_refusal(self, error: exceptions.RunnerUnavailable) -> None:
        """Grant no more leases, and post the first refusal in a row."""
        failing_since = self._record_failure()
        grants = self._parts.grants
        began_to_refuse = not grants.refused
        grants.record_refusal(failing_since)
        if began_to_refuse:
            self._parts.post(
                _link_events.RunnerRefuses(
                    runner=self._runner,
                    lifetime=self._parts.entry.lifetime,
                    reason=str(error),
                )
            )

    def _record_failure(self) -> float:
        """Return since when calls have failed, this one included."""
        if self._failing_since is None:
            self._failing_since = _clock.monotonic_seconds()
        return self._failing_since
