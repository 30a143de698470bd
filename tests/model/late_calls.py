"""A model of the fencing tokens: holders of the lease, and one runner.

All states within a bound are enumerated. A holder sends calls, two at a time;
the runner executes each of them once or never, at any time, and its answer
may be lost. A holder gives up calls that got no answer, closes its links, or
forgets the runner. The runner may restart, after which it has seen no token.
Nodes of the present and the earlier version take the lease over, and former
holders go on sending.

A call that was given up must not be executed once the runner's present
lifetime has executed one that was sent after that, nor a former holder's once
it has executed one of a later holder. No holder may take the refusal of its
own late call for that of another holder. Each mechanism can be left out; the
enumeration then has to find a violation.
"""

import collections.abc
import enum

import attrs

from model import search

_MAX_CALLS = 3
_MAX_CALLS_IN_FLIGHT = 2
_MAX_HOLDERS = 2
_MAX_LIFETIMES = 2
_TOKENS_PER_EPOCH = 4


class Mechanism(enum.Enum):
    """A mechanism that can be left out."""

    HIGHER_TOKEN = "the higher token after an unanswered call"
    DROPPED_CALLS = "the count of calls that are dropped with a link"
    LASTING_TOKEN = "the token that outlasts a forgotten runner"
    RESERVED_TOKENS = "the tokens that a holder reserves"
    OVERTAKEN_CALLS = "the check whether a later call bore a higher token"


@attrs.frozen(kw_only=True, cache_hash=True)
class Call:
    """A call that the runner has not executed yet.

    ``refuses`` are the numbers of the calls that were given up before it was
    sent.
    """

    number: int
    holder: int
    token: int
    refuses: frozenset[int]

    @property
    def identity(self) -> tuple[int, int]:
        """Its number and token."""
        return (self.number, self.token)


@attrs.frozen(kw_only=True, cache_hash=True)
class Holder:
    """A holder of the lease, and what it knows of the runner's tokens.

    ``sent`` are the numbers and tokens of its calls in flight, executed or
    not.
    """

    epoch: int
    is_earlier: bool
    next_token: int
    highest_used: int = 0
    sent: frozenset[tuple[int, int]] = frozenset()
    given_up: frozenset[int] = frozenset()
    deposed: bool = False


@attrs.frozen(kw_only=True, cache_hash=True)
class State:
    """The whole system; the last of ``holders`` holds the lease.

    ``seen`` is the highest token that the runner's lifetime has seen,
    ``refused`` the calls that it must not execute any more, and
    ``newest_holder`` the latest one whose call it has executed.
    """

    holders: tuple[Holder, ...]
    calls: frozenset[Call] = frozenset()
    call_count: int = 0
    lifetime: int = 1
    seen: int = 0
    refused: frozenset[int] = frozenset()
    newest_holder: int = 0
    violation: str = ""


class Model:
    """The tokens, with some mechanisms left out."""

    def __init__(self, *, without: frozenset[Mechanism] = frozenset()) -> None:
        self._without = without

    def check(self, max_states: int) -> search.Verdict:
        """Search the states, up to the first violation."""
        first = [State(holders=(each,)) for each in self._new_holders(0)]
        return search.search(first, self._successors, max_states)

    def _has(self, mechanism: Mechanism) -> bool:
        return mechanism not in self._without

    def _new_holders(
        self, last_epoch: int
    ) -> collections.abc.Iterator[Holder]:
        """Yield a holder of each version that takes the lease over."""
        yield Holder(
            epoch=last_epoch + 1, is_earlier=True, next_token=last_epoch + 1
        )
        reserved = _TOKENS_PER_EPOCH
        if not self._has(Mechanism.RESERVED_TOKENS):
            reserved = 1
        yield Holder(
            epoch=last_epoch + reserved,
            is_earlier=False,
            next_token=last_epoch + 1,
        )

    def _successors(self, state: State) -> collections.abc.Iterator[State]:
        if len(state.holders) < _MAX_HOLDERS:
            for holder in self._new_holders(state.holders[-1].epoch):
                yield attrs.evolve(state, holders=(*state.holders, holder))
        for index, holder in enumerate(state.holders):
            if not holder.deposed:
                yield from self._holder_steps(state, index, holder)
        for call in state.calls:
            yield from self._arrive(state, call)
        if state.lifetime < _MAX_LIFETIMES:
            yield attrs.evolve(
                state,
                lifetime=state.lifetime + 1,
                seen=0,
                refused=frozenset(),
                newest_holder=0,
            )

    def _holder_steps(
        self, state: State, index: int, holder: Holder
    ) -> collections.abc.Iterator[State]:
        may_send = len(holder.sent) < _MAX_CALLS_IN_FLIGHT
        if may_send and state.call_count < _MAX_CALLS:
            yield self._send(state, index, holder)
        for each in holder.sent:
            yield self._give_up(state, index, holder, {each}, True)
        if holder.sent:
            counted = self._has(Mechanism.DROPPED_CALLS)
            yield self._give_up(state, index, holder, holder.sent, counted)
        elif not self._has(Mechanism.LASTING_TOKEN) and not holder.is_earlier:
            first_token = holder.epoch - _TOKENS_PER_EPOCH + 1
            forgetful = attrs.evolve(holder, next_token=first_token)
            yield _with_holder(state, index, forgetful)

    def _send(self, state: State, index: int, holder: Holder) -> State:
        number = state.call_count + 1
        call = Call(
            number=number,
            holder=index,
            token=holder.next_token,
            refuses=holder.given_up,
        )
        sender = attrs.evolve(
            holder,
            sent=holder.sent | {(number, call.token)},
            highest_used=holder.next_token,
        )
        return attrs.evolve(
            _with_holder(state, index, sender),
            calls=state.calls | {call},
            call_count=number,
        )

    def _give_up(
        self,
        state: State,
        index: int,
        holder: Holder,
        calls: collections.abc.Set[tuple[int, int]],
        counted: bool,
    ) -> State:
        """Let a holder give up calls, which may be executed later."""
        given_up = frozenset(number for number, _ in calls)
        next_token = holder.next_token
        if counted and self._has(Mechanism.HIGHER_TOKEN):
            highest = max(token for _, token in calls)
            next_token = max(next_token, highest + 1)
        if holder.is_earlier:
            # It promises nothing about its own late calls.
            given_up, next_token = frozenset(), holder.next_token
        return _with_holder(
            state,
            index,
            attrs.evolve(
                holder,
                sent=holder.sent - calls,
                given_up=holder.given_up | given_up,
                next_token=next_token,
            ),
        )

    def _arrive(
        self, state: State, call: Call
    ) -> collections.abc.Iterator[State]:
        """Let the runner execute a call or refuse it, and answer, or not."""
        arrived = attrs.evolve(state, calls=state.calls - {call})
        if call.token < state.seen:
            yield arrived
            yield from self._answer_refusal(arrived, call)
            return
        violation = ""
        if call.number in state.refused:
            violation = "a call was executed after one that was sent later"
        if call.holder < state.newest_holder:
            violation = "a former holder's call was executed"
        executed = attrs.evolve(
            arrived,
            seen=call.token,
            refused=state.refused | call.refuses,
            newest_holder=max(state.newest_holder, call.holder),
            violation=violation,
        )
        yield executed
        holder = state.holders[call.holder]
        if call.identity in holder.sent:
            answered = attrs.evolve(holder, sent=holder.sent - {call.identity})
            yield _with_holder(executed, call.holder, answered)

    def _answer_refusal(
        self, state: State, call: Call
    ) -> collections.abc.Iterator[State]:
        holder = state.holders[call.holder]
        if call.identity not in holder.sent:
            return
        answered = attrs.evolve(holder, sent=holder.sent - {call.identity})
        overtaken = call.token < holder.highest_used and self._has(
            Mechanism.OVERTAKEN_CALLS
        )
        if overtaken:
            yield _with_holder(state, call.holder, answered)
            return
        found = _with_holder(
            state, call.holder, attrs.evolve(answered, deposed=True)
        )
        is_other = state.newest_holder > call.holder
        violation = "" if is_other else "a holder's own call ended its lease"
        yield attrs.evolve(found, violation=violation)


def _with_holder(state: State, index: int, holder: Holder) -> State:
    holders = state.holders
    return attrs.evolve(
        state, holders=(*holders[:index], holder, *holders[index + 1 :])
    )
