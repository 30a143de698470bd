"""Calls to one runner, in turn, and the reading of what it says."""

import collections.abc
import typing

import attrs
import peridotsill

from peridotsill_jobs import _grants
from peridotsill_jobs import _lease
from peridotsill_jobs import _link_events
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

_T = typing.TypeVar("_T")
# Returns what a runner said, or raises `RunnerError`.
Reader = collections.abc.Callable[[], _T]


@attrs.frozen(kw_only=True)
class LinkParts:
    """What the two sides of a link work with.

    ``loop`` runs the link, and ``calls`` makes its calls. ``post`` takes
    `OrderOutcome` and `Looked`. If the runner has seen a newer scheduler,
    ``lease`` is told.
    """

    entry: _ports.RunnerEntry
    loop: peridotsill.CallLoop
    calls: _ports.RunnerCalls
    lease: _lease.Lease
    grants: _grants.Grants
    post: collections.abc.Callable[
        [_link_events.OrderOutcome | _link_events.Looked], None
    ]


class Asker:
    """One connection to a runner, for one call at a time.

    All methods are for the loop's thread.
    """

    def __init__(self, *, parts: LinkParts) -> None:
        self._runner = parts.entry.id
        self._connection = peridotsill.JsonConnection(
            loop=parts.loop, address=parts.entry.address
        )

    def ask(
        self,
        asked: _ports.RunnerCall[_T],
        take: collections.abc.Callable[[Reader[_T]], None],
    ) -> None:
        """Call the runner; ``take`` gets the reader of what it said."""

        def done(outcome: peridotsill.CallResult) -> None:
            take(lambda: self._read(asked, outcome))

        self._connection.call(asked.call, done)

    def close(self) -> None:
        """Close the connection; a call under way is not taken any more."""
        self._connection.close()

    def _read(
        self, asked: _ports.RunnerCall[_T], outcome: peridotsill.CallResult
    ) -> _T:
        try:
            return asked.read(outcome)
        except exceptions.RunnerError:
            raise
        except Exception as error:
            # A link that raised would never look again.
            _logs.log(
                "runner:unreadable", runner=self._runner, reason=repr(error)
            )
            raise exceptions.RunnerUnavailable(
                repr(error), sent=True
            ) from error
