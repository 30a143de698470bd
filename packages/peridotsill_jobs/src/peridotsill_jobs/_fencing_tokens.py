"""Numbers a scheduler's calls to runners, so that late ones are refused.

A call that gets no answer may be executed seconds later, also by the next
lifetime of its runner, which knows of no earlier call. A runner does nothing
for a token lower than the highest one that it has seen. So each call that
follows an unanswered one bears a higher token, and the first one that the
runner receives, in whichever lifetime, makes it refuse all earlier ones.
"""

import weakref

# Tokens of one holder of the lease. The epoch is the highest of them, so that
# a holder of an earlier version, whose only token is the epoch after it, is
# above them all.
TOKENS_PER_EPOCH = 2**20


class RunnerTokens:
    """The tokens of the calls to one runner, whatever its lifetime.

    Example: calls bear token 7 until one of them gets no answer, and 8 from
    then on.

    Its methods may only be called in the loop's thread.
    """

    def __init__(self, *, tokens: "FencingTokens") -> None:
        self._tokens = tokens
        self._next = tokens.next
        self._highest_used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the next call would need a token of the next holder."""
        return self._next > self._tokens.last

    def use(self) -> int:
        """Return the token of a call that is sent now."""
        self._highest_used = min(self._next, self._tokens.last)
        return self._highest_used

    def record_unanswered(self, token: int) -> None:
        """Record that a call may be executed later, or has been."""
        self._next = max(self._next, token + 1)
        self._tokens.record_next(self._next)

    def is_overtaken(self, token: int) -> bool:
        """Tell whether a call was sent before one that bears a higher token.

        If the runner refuses its token, that one may have come first.
        """
        return token < self._highest_used


class FencingTokens:
    """The tokens of one holder of the lease, by runner.

    A runner is forgotten with the last link to it. One that comes back later
    begins with the highest token that any runner needs by then.

    Args:
        epoch: The epoch of the lease, which reserves the tokens up to it.
    """

    def __init__(self, *, epoch: int) -> None:
        self._last = epoch
        self._next = epoch - TOKENS_PER_EPOCH + 1
        self._by_runner: weakref.WeakValueDictionary[str, RunnerTokens] = (
            weakref.WeakValueDictionary()
        )

    @property
    def last(self) -> int:
        """The highest token that this holder may use."""
        return self._last

    @property
    def next(self) -> int:
        """The lowest token above those of all unanswered calls."""
        return self._next

    def record_next(self, token: int) -> None:
        """Record which token a runner needs next."""
        self._next = max(self._next, token)

    def of_runner(self, runner: str) -> RunnerTokens:
        """Return the tokens of a runner, which all links to it share."""
        tokens = self._by_runner.get(runner)
        if tokens is None:
            tokens = self._by_runner[runner] = RunnerTokens(tokens=self)
        return tokens
