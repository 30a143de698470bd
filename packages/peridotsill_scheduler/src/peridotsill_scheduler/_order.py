"""Registry of order policies, which rank the jobs of a pool."""

import collections.abc
import typing

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _progress

# Share of the mean payoff that every job earns, whatever its work.
_FIXED_PAYOFF_SHARE = 0.3
# The estimated remaining critical path is scaled by this, so that a job does
# not count as late only because the estimate is somewhat too long.
_CRITICAL_PATH_FACTOR = 0.8


@attrs.frozen(kw_only=True)
class OrderContext:
    """Inputs of an order policy other than the job that it ranks.

    ``now`` is in seconds of the monotonic clock.
    """

    now: float
    estimator: _estimates.Estimator


SortKey = tuple[float, ...]
OrderPolicy = collections.abc.Callable[[_progress.Job, OrderContext], SortKey]
_policies: dict[str, OrderPolicy] = {}


def order_policy(
    name: str,
) -> collections.abc.Callable[[OrderPolicy], OrderPolicy]:
    """Return a decorator that registers an order policy."""

    def register(policy: OrderPolicy) -> OrderPolicy:
        _policies[name] = policy
        return policy

    return register


def order_policies() -> tuple[str, ...]:
    """Return the names of the registered policies."""
    return tuple(sorted(_policies))


def order_jobs(
    policy: str, jobs: typing.Iterable[_progress.Job], context: OrderContext
) -> list[_progress.Job]:
    """Return the jobs in the order in which the policy serves them."""
    rank = _policies[policy]
    return sorted(jobs, key=lambda job: rank(job, context))


@order_policy("first_come")
def _first_come(job: _progress.Job, context: OrderContext) -> SortKey:
    return (job.queue.priority, job.arrived_at)


@order_policy("payoff_density")
def _payoff_density(job: _progress.Job, context: OrderContext) -> SortKey:
    """Rank by payoff per remaining core-second, in three tiers.

    Jobs that can still meet their objective come first. Jobs that can no
    longer meet it follow, and those too late for any payoff come last.
    Long-lived jobs precede all others, as they earn for as long as they
    run.
    """
    if job.long_lived:
        return (-1.0, job.arrived_at)
    estimator = context.estimator
    outlook = _estimates.outlook(job, estimator)
    objective = outlook.objective
    age = context.now - job.arrived_at
    expected_duration = age + outlook.remaining_path * _CRITICAL_PATH_FACTOR
    if expected_duration <= objective:
        tier = 0.0
    elif expected_duration <= objective * _progress.LATE_FACTOR:
        tier = 1.0
    else:
        tier = 2.0
    mean_work = estimator.mean_work(job.spec.queue)
    payoff = _FIXED_PAYOFF_SHARE + (
        1 - _FIXED_PAYOFF_SHARE
    ) * outlook.work / max(mean_work, 1e-6)
    return (
        tier,
        -payoff / max(outlook.remaining_work, 1e-6),
        job.arrived_at,
    )
