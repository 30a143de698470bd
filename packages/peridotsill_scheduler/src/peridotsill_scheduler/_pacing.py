"""Throttles filler tasks on VMs where serving tasks run."""

import collections.abc

import attrs

# Ratio of tail latency to target above which filler tasks are slowed down.
_SLOW_DOWN_RATIO = 0.9
# Ratio below which filler tasks are sped up.
_SPEED_UP_RATIO = 0.6
# Speed factors for a tail latency over its target, and for one near it. Over
# the target, three adjustments stop filler tasks that run at full speed,
# within the time for which a tail latency may exceed its target.
_OVER_TARGET_FACTOR = 0.3
_NEAR_TARGET_FACTOR = 0.6
_STEP_UP_PERCENT = 15
# At lower speeds the work done is not worth the interference.
_MIN_PERCENT = 8
_FULL_PERCENT = 100


@attrs.frozen(kw_only=True)
class TailLatency:
    """A serving task's tail latency and its target, in milliseconds."""

    tail_ms: float
    target_ms: float


def plan_filler_speed(
    tails: collections.abc.Iterable[TailLatency], percent: int
) -> int:
    """Return the next speed of a VM's filler tasks, in percent.

    Args:
        tails: The tail latencies of the serving tasks on the VM.
        percent: The present speed of the filler tasks.
    """
    worst_ratio = max(
        (each.tail_ms / each.target_ms for each in tails), default=0
    )
    if worst_ratio > _SLOW_DOWN_RATIO:
        factor = (
            _OVER_TARGET_FACTOR if worst_ratio > 1 else _NEAR_TARGET_FACTOR
        )
        reduced = int(percent * factor)
        return reduced if reduced >= _MIN_PERCENT else 0
    if worst_ratio < _SPEED_UP_RATIO:
        return min(_FULL_PERCENT, percent + _STEP_UP_PERCENT)
    return percent
