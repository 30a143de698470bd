"""Which jobs are within the rate that their team's weight gives it."""

import collections.abc

import attrs
import peridotsill

from peridotsill_scheduler import _model

# A team may save up the tokens of this time, and always one token.
_BURST_SECONDS = 1.0
# Clocks of other nodes are trusted this far behind the scheduler's. A clock
# that was set back by more gives a team its tokens later by no more than this.
_MAX_CLOCK_LAG_MS = 5000.0
# A token that lacks less than this is whole: Unix milliseconds are kept as
# floats, whose rounding is worth less even at 1,000 jobs a second.
_ROUNDING_TOKENS = 1e-3


class RateClass(peridotsill.TextEnum):
    """Whether a job is within its team's rate.

    It is UNDECIDED while the configuration lacks the job's team.
    """

    UNDECIDED = "undecided"
    WITHIN = "within"
    BEYOND = "beyond"


@attrs.define(kw_only=True)
class _Bucket:
    """A team's tokens at the latest arrival, in Unix milliseconds."""

    tokens: float
    latest_ms: float = float("-inf")


class TeamRates:
    """Decides on each job once, in the order in which the jobs arrive.

    This is the generic cell rate algorithm with one token a job: ``weight``
    tokens a second, and at most those of one second, but at least one. A job
    that finds no token takes none. The tokens are kept rather than the time
    at which there will be one, as that time would change with the weight.

    Example: with a weight of 2, three jobs that arrive together are WITHIN,
    WITHIN and BEYOND, and one that arrives half a second later is WITHIN.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def set_teams(
        self, teams: collections.abc.Iterable[_model.Team]
    ) -> frozenset[str]:
        """Replace the teams; return the names of those that are new.

        A team that stays keeps its tokens, a team that is gone is forgotten.
        """
        former = self._weights
        self._weights = {each.name: each.weight for each in teams}
        for name in former.keys() - self._weights.keys():
            self._buckets.pop(name, None)
        return frozenset(self._weights.keys() - former.keys())

    def classify(self, team: str, arrived_ms: float) -> RateClass:
        """Return the class of a job of a team, and take its token.

        Time that lies before the latest arrival adds no tokens, so that no
        order of arrivals gives a team more than its rate.

        Args:
            team: The team's name.
            arrived_ms: When the job arrived, in Unix milliseconds.
        """
        weight = self._weights.get(team)
        if weight is None:
            return RateClass.UNDECIDED
        most_tokens = max(1.0, weight * _BURST_SECONDS)
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = _Bucket(tokens=most_tokens)
            self._buckets[team] = bucket
        if bucket.latest_ms < arrived_ms:
            new_tokens = (arrived_ms - bucket.latest_ms) / 1000.0 * weight
            bucket.tokens += new_tokens
            bucket.latest_ms = arrived_ms
        bucket.tokens = min(bucket.tokens, most_tokens)
        if bucket.tokens < 1.0 - _ROUNDING_TOKENS:
            return RateClass.BEYOND
        bucket.tokens -= 1.0
        return RateClass.WITHIN


def plausible_arrival_ms(arrived_ms: float, now_ms: float) -> float:
    """Return when a job that was just seen can have arrived.

    The time is that of the node that accepted the job, whose clock may be
    off. No job arrives after it is seen; and a clock far behind would give
    its jobs no tokens until it has caught up.

    Args:
        arrived_ms: When the job arrived by its node's clock.
        now_ms: The time by a clock that is never set back.
    """
    return min(max(arrived_ms, now_ms - _MAX_CLOCK_LAG_MS), now_ms)
