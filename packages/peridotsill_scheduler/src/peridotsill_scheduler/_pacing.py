"""How fast filling tasks may work beside those that serve users."""

import collections.abc

import attrs

# From this part of its target on, a tail is too close to it.
_NEAR = 0.9
# Below this part of its target a tail leaves room for more.
_FAR = 0.6
# Factors for a tail over its target, and for one near it: three looks bring
# the speed to a stop, within the time that a tail may be over.
_OVER_FACTOR = 0.3
_NEAR_FACTOR = 0.6
_STEP_UP_PERCENT = 15
# Speeds below this do no work worth the disturbance.
_LEAST_PERCENT = 8
_FULL_PERCENT = 100


@attrs.frozen(kw_only=True)
class Tail:
    """A serving task's tail of response times and its target, in ms."""

    tail_ms: float
    target_ms: float


def plan_pace(tails: collections.abc.Iterable[Tail], percent: int) -> int:
    """Return the speed of the filling tasks beside serving ones.

    Args:
        tails: What the serving tasks on the VM report.
        percent: The speed of the filling tasks now.
    """
    worst = max((each.tail_ms / each.target_ms for each in tails), default=0)
    if worst > _NEAR:
        factor = _OVER_FACTOR if worst > 1 else _NEAR_FACTOR
        slower = int(percent * factor)
        return slower if slower >= _LEAST_PERCENT else 0
    if worst < _FAR:
        return min(_FULL_PERCENT, percent + _STEP_UP_PERCENT)
    return percent
