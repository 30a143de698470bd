"""Which jobs are served first: a registry of order policies."""

import collections.abc
import typing

import attrs

from peridotsill_scheduler import _estimates
from peridotsill_scheduler import _progress

# The part of a job's payoff that doesn't grow with its work.
_FIXED_PAYOFF = 0.3
# An estimate of the remaining chain may be this much too long before a job
# is taken for late.
_CHAIN_TOLERANCE = 0.8


@attrs.frozen(kw_only=True)
class OrderInput:
    """What an order policy is given besides the job."""

    now: float
    estimator: _estimates.Estimator


SortKey = tuple[float, ...]
OrderPolicy = collections.abc.Callable[[_progress.Job, OrderInput], SortKey]
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
    policy: str, jobs: typing.Iterable[_progress.Job], given: OrderInput
) -> list[_progress.Job]:
    """Return the jobs in the order in which they are to be served."""
    rank = _policies[policy]
    return sorted(jobs, key=lambda job: rank(job, given))


@order_policy("first_come")
def _first_come(job: _progress.Job, given: OrderInput) -> SortKey:
    return (job.queue.priority, job.arrived_at)


@order_policy("payoff_density")
def _payoff_density(job: _progress.Job, given: OrderInput) -> SortKey:
    """Rank by payoff for each core-second, jobs still in time first.

    Long-lived jobs go before all others: they earn at every moment.
    """
    if job.long_lived:
        return (-1.0, job.arrived_at)
    estimator = given.estimator
    objective = _estimates.objective_seconds(job, estimator)
    chain = _estimates.chain_seconds(job, estimator, only_remaining=True)
    age = given.now - job.arrived_at
    end = age + chain * _CHAIN_TOLERANCE
    if end <= objective:
        tier = 0.0
    elif end <= objective * _progress.LATE_FACTOR:
        tier = 1.0
    else:
        tier = 2.0
    work = _estimates.job_work(job, estimator)
    left = _estimates.remaining_work(job, estimator)
    mean = estimator.mean_work(job.spec.queue)
    payoff = _FIXED_PAYOFF + (1 - _FIXED_PAYOFF) * work / max(mean, 1e-6)
    return (tier, -payoff / max(left, 1e-6), job.arrived_at)
