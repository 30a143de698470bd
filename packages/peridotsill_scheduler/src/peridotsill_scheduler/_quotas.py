"""What each team's jobs have on runners, and what they may have."""

import collections.abc

import attrs

from peridotsill_scheduler import _model
from peridotsill_scheduler import _progress
from peridotsill_scheduler import _team_rates

# More than the rounding of the sums, and less than the smallest amount that a
# configuration can state, which is a thousandth of a core.
_ROUNDING_MARGIN = 1e-6


@attrs.define(kw_only=True)
class _Use:
    """An amount of resources that is added to in place."""

    cores: float = 0.0
    memory_mib: float = 0.0
    accelerators: int = 0

    def add(self, demand: _model.Resources, count: int = 1) -> None:
        self.cores += demand.cores * count
        self.memory_mib += demand.memory_mib * count
        self.accelerators += demand.accelerators * count


_NO_USE = _Use()


class Quotas:
    """The teams' use and allowances in one scheduling round, over all pools.

    Every run that may be on a runner is counted with `add`, and each start
    that is planned with `take`, so that the pools, which are planned one
    after the other, share one count. Without teams there are no limits.

    Example: a team with an allowance of 4 cores, of which its runs use 3,
    may start one more task of one core, in whichever pool.

    Args:
        teams: The teams; None if they are not known yet. Nothing of a job
            that has a team may be started then.
    """

    def __init__(
        self, *, teams: collections.abc.Iterable[_model.Team] | None = ()
    ) -> None:
        self._are_known = teams is not None
        self._weights: dict[str, float] = {}
        self._allowances: dict[str, _model.Resources] = {}
        for team in teams or ():
            self._weights[team.name] = team.weight
            if team.allowance != _model.Resources():
                self._allowances[team.name] = team.allowance
        self._total: dict[str, _Use] = {}
        self._by_pool: dict[tuple[str, str], _Use] = {}
        # By team, the jobs that its allowance keeps waiting, in order.
        self._held: dict[str, dict[_progress.Job, None]] = {}
        self._waiting_beyond: set[_progress.Job] = set()
        # Teams, demands and numbers of tasks without room. Use only grows
        # within a round, so that they are not looked at again.
        self._without_room: set[tuple[str, _model.Resources, int]] = set()

    @property
    def held_teams(self) -> int:
        """How many teams have jobs that their allowance keeps waiting."""
        return len(self._held)

    @property
    def held(self) -> dict[str, tuple[_progress.Job, ...]]:
        """By team, the jobs that its allowance keeps waiting."""
        return {team: tuple(jobs) for team, jobs in self._held.items()}

    @property
    def waiting_beyond_rate(self) -> int:
        """How many jobs beyond their rates had tasks to start."""
        return len(self._waiting_beyond)

    def add(
        self, team: str, pool: str, demand: _model.Resources, count: int = 1
    ) -> None:
        """Count runs of a team's jobs that may be on runners of a pool."""
        if not team:
            return
        if team not in self._total:
            self._total[team] = _Use()
        self._total[team].add(demand, count)
        if (team, pool) not in self._by_pool:
            self._by_pool[(team, pool)] = _Use()
        self._by_pool[(team, pool)].add(demand, count)

    def take(self, job: _progress.Job, step: _model.Step, pool: str) -> None:
        """Count a start that was planned."""
        self.add(job.team, pool, step.demand)

    def used(self, team: str) -> _model.Resources:
        """Return what a team's runs use in all pools."""
        use = self._total.get(team, _NO_USE)
        return _model.Resources(
            cores=use.cores,
            memory_mib=use.memory_mib,
            accelerators=use.accelerators,
        )

    def allowance(self, team: str) -> _model.Resources:
        """Return a team's allowance; an amount of 0 is no limit."""
        return self._allowances.get(team, _model.Resources())

    def has_room(
        self, job: _progress.Job, step: _model.Step, count: int = 0
    ) -> bool:
        """Tell whether a team's allowance has room for some tasks.

        An allowance that is exceeded, as it was lowered, has none. Resources
        that the step does not need don't matter.

        Args:
            job: The job.
            step: The job's step.
            count: How many of its tasks; by default all members of a gang,
                or one task.
        """
        if job.team not in self._allowances:
            return self._are_known or not job.team
        wanted = count or (step.task_count if step.gang else 1)
        key = (job.team, step.demand, wanted)
        if key in self._without_room:
            return False
        if self.startable_count(job.team, step, wanted) >= wanted:
            return True
        self._without_room.add(key)
        return False

    def startable_count(
        self, team: str, step: _model.Step, most: int, claimed: _Use = _NO_USE
    ) -> int:
        """Return how many of a step's tasks a team's allowance has room for.

        Args:
            team: The team's name.
            step: The step.
            most: Where to stop counting.
            claimed: What is to be left free beside what is used.
        """
        allowance = self._allowances.get(team)
        if allowance is None:
            return most if self._are_known else 0
        use = self._total.get(team, _NO_USE)
        demand = step.demand
        for limit, used, each in (
            (allowance.cores, use.cores + claimed.cores, demand.cores),
            (
                allowance.memory_mib,
                use.memory_mib + claimed.memory_mib,
                demand.memory_mib,
            ),
            (
                allowance.accelerators,
                use.accelerators + claimed.accelerators,
                demand.accelerators,
            ),
        ):
            if limit and each > 0:
                room = limit - used + _ROUNDING_MARGIN
                # Over a tiny demand the quotient would be infinite.
                if room < each * most:
                    most = max(0, int(room / each))
        return most

    def startable_steps(
        self, job: _progress.Job, steps: list[_model.Step]
    ) -> list[_model.Step]:
        """Return the steps that the allowance of a job's team has room for.

        If there are none, the job is among those that are held. It is counted
        if it is beyond its rate.
        """
        if self.is_beyond_rate(job):
            self._waiting_beyond.add(job)
        if job.team not in self._allowances:
            return steps if self._are_known or not job.team else []
        startable = [step for step in steps if self.has_room(job, step)]
        if steps and not startable:
            self._held.setdefault(job.team, {})[job] = None
        return startable

    def is_beyond_rate(self, job: _progress.Job) -> bool:
        """Tell whether a job is beyond its team's rate.

        A job stays what it was decided to be if the configuration drops its
        team; one that is undecided is beyond. Jobs without a team and those
        of a configuration without teams are within theirs.
        """
        if not job.team or not self._weights:
            return False
        return job.rate_class is not _team_rates.RateClass.WITHIN

    def weighted_share(
        self, team: str, pool: str, capacity: _model.Resources
    ) -> float:
        """Return a team's dominant share of a pool's capacity over its weight.

        The dominant share is the largest of the shares of cores, memory and
        accelerators (Ghodsi et al., "Dominant Resource Fairness", 2011). It
        is infinite for a team that the configuration lacks.
        """
        weight = self._weights.get(team)
        if weight is None:
            return float("inf")
        use = self._by_pool.get((team, pool), _NO_USE)
        shares = (
            use.cores / max(capacity.cores, _ROUNDING_MARGIN),
            use.memory_mib / max(capacity.memory_mib, _ROUNDING_MARGIN),
            use.accelerators / max(capacity.accelerators, 1),
        )
        return max(shares) / weight


class StartableWork:
    """Counts the waiting tasks for which VMs may be fetched.

    Those of jobs beyond their rate use the capacity that exists, and those
    that have no room in their team's allowance could not be started. A task
    that is counted takes its room, so that a long queue counts only as far
    as the allowance goes.
    """

    def __init__(self, *, quotas: Quotas) -> None:
        self._quotas = quotas
        self._claimed: dict[str, _Use] = {}
        # Teams and demands without room: what is claimed only grows.
        self._without_room: set[tuple[str, _model.Resources]] = set()

    def count(
        self, job: _progress.Job, step: _model.Step, waiting: int
    ) -> int:
        """Return how many of a step's waiting tasks count as demand."""
        if not job.team:
            return waiting
        if self._quotas.is_beyond_rate(job):
            return 0
        key = (job.team, step.demand)
        if key in self._without_room:
            return 0
        claimed = self._claimed.setdefault(job.team, _Use())
        count = self._quotas.startable_count(job.team, step, waiting, claimed)
        if not count:
            self._without_room.add(key)
        if step.gang:
            count -= count % step.task_count
        claimed.add(step.demand, count)
        return count
