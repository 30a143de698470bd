"""The chains of dependent steps of a job."""

import attrs

from peridotsill_scheduler import _model


@attrs.frozen(kw_only=True)
class Chain:
    """Length and declared run time, in seconds, of a chain of steps."""

    step_count: int
    declared_seconds: float

    def seconds(self, mean: float) -> float:
        """Return its declared time plus a mean run time for each step."""
        return self.declared_seconds + self.step_count * mean


def longest_chains(steps: tuple[_model.Step, ...]) -> tuple[Chain, ...]:
    """Return the chains one of which is the longest for any mean run time.

    The estimated time of a step is made of its declared one and of a mean
    that is the same for all steps. So only a chain that has no more steps
    than another one and takes no longer can be left out. A job has few such
    chains, and they don't change, unlike the mean.
    """
    # By step, the longest declared time of the chains of each length that
    # end with it.
    by_step: dict[int, dict[int, float]] = {}
    longest: dict[int, float] = {}
    for step in steps:
        before: dict[int, float] = {} if step.after else {0: 0.0}
        for index in step.after:
            _merge(before, by_step.get(index, {0: 0.0}))
        by_step[step.index] = _without_covered(
            {
                count + 1: seconds + step.declared_seconds
                for count, seconds in before.items()
            }
        )
        _merge(longest, by_step[step.index])
    return tuple(
        Chain(step_count=count, declared_seconds=seconds)
        for count, seconds in _without_covered(longest).items()
    )


def _merge(into: dict[int, float], other: dict[int, float]) -> None:
    for count, seconds in other.items():
        into[count] = max(seconds, into.get(count, 0.0))


def _without_covered(seconds_by_count: dict[int, float]) -> dict[int, float]:
    kept: dict[int, float] = {}
    longest = float("-inf")
    for count in sorted(seconds_by_count, reverse=True):
        if seconds_by_count[count] > longest:
            longest = kept[count] = seconds_by_count[count]
    return kept
