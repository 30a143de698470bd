"""Finds steps that a team's allowance can never hold."""

import collections.abc

import attrs

from peridotsill_scheduler import _model

# Amounts are sums of floats; as in `Resources.covers`.
_ROUNDING = 1e-9


def oversized_reason(
    team: _model.Team, steps: collections.abc.Iterable[_model.Step]
) -> str:
    """Return why a team can never run one of the steps; empty if it can.

    A task has to fit into the team's allowance, and a gang with all of its
    tasks, as it starts whole. An allowance of 0 is no limit.
    """
    allowance = attrs.asdict(team.allowance)
    for step in steps:
        for resource, amount in attrs.asdict(step.demand).items():
            limit = allowance[resource]
            needed = amount * step.task_count if step.gang else amount
            if 0 < limit < needed - _ROUNDING:
                kind = "a gang" if step.gang else "a task"
                return (
                    f"{kind} of step {step.index} needs {needed:g} of "
                    f"{resource}, the team's quota is {limit:g}"
                )
    return ""
