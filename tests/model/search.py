"""Enumerates the states of a model, breadth-first."""

import collections
import collections.abc
import typing

import attrs


class State(typing.Protocol):
    """A state of a model; hashable.

    ``violation`` says what is wrong in this state, or is empty.
    """

    violation: str


_StateT = typing.TypeVar("_StateT", bound=State)


@attrs.frozen(kw_only=True, cache_hash=True)
class Verdict:
    """The result of an enumeration.

    ``violation`` is empty if none was found; else ``steps`` led to it.
    """

    states: int
    violation: str
    steps: int


def search(
    first: collections.abc.Iterable[_StateT],
    successors: collections.abc.Callable[
        [_StateT], collections.abc.Iterable[_StateT]
    ],
    max_states: int,
) -> Verdict:
    """Search the states from the first ones on, up to a violation."""
    seen = set(first)
    queue = collections.deque((each, 0) for each in seen)
    while queue and len(seen) < max_states:
        state, depth = queue.popleft()
        for found in successors(state):
            if found.violation:
                return Verdict(
                    states=len(seen),
                    violation=found.violation,
                    steps=depth + 1,
                )
            if found not in seen:
                seen.add(found)
                queue.append((found, depth + 1))
    return Verdict(states=len(seen), violation="", steps=0)
