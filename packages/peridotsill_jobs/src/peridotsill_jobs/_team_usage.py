"""What the teams' jobs have on runners, and which are within their rates."""

import collections.abc

import attrs
import peridotsill

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _workers
import peridotsill_scheduler

# Shortest time between two log lines on the same team, and between two looks
# at which teams to log; most lines each time, and most jobs that one names.
_LOG_PERIOD_SECONDS = 5.0
_LOOK_PERIOD_SECONDS = 1.0
_MAX_LINES = 10
_MAX_NAMED_JOBS = 50


# When a job arrived, in Unix milliseconds, its team, and the job; None in
# place of one that had ended when the rows were read.
_Arrival = tuple[float, str, peridotsill_scheduler.Job | None]


@attrs.define(kw_only=True)
class TeamFigures:
    """Figures of the last round; all 0 on a node that does not schedule."""

    teams_at_allowance: int = 0
    jobs_waiting_beyond_rate: int = 0

    def gauges(self) -> dict[str, float]:
        """Return the figures by name, for the metrics."""
        return attrs.asdict(self)

    def clear(self) -> None:
        """Reset the figures, as this node does not schedule any more."""
        self.teams_at_allowance = 0
        self.jobs_waiting_beyond_rate = 0


class TeamTracker:
    """Follows the teams of the configuration, their jobs and their runs.

    The runs are counted anew in each round, from what is or may be on the
    runners. So the count can't drift from it, and a new scheduler has it as
    soon as it has read the rows.

    Args:
        catalog: Has the configuration in force.
        workers: The runners and what may be on them.
        counters: Gets the starts by class.
        figures: Gets the figures of each round.
    """

    def __init__(
        self,
        *,
        catalog: _catalog.Catalog,
        workers: _workers.Workers,
        counters: peridotsill.Counters,
        figures: TeamFigures,
    ) -> None:
        self._catalog = catalog
        self._workers = workers
        self._counters = counters
        self._figures = figures
        self._rates = peridotsill_scheduler.TeamRates()
        self._entries: object = None
        self._teams: tuple[peridotsill_scheduler.Team, ...] | None = None
        self._ended: list[_Arrival] = []
        self._quotas = peridotsill_scheduler.Quotas(teams=None)
        self._startable = peridotsill_scheduler.StartableWork(
            quotas=self._quotas
        )
        # Runs of earlier schedulers that the rows no longer name.
        self._former_copies: list[
            tuple[peridotsill_scheduler.Job, peridotsill_scheduler.Task, int]
        ] = []
        # The wall clock as it was, which advances with the monotonic one.
        self._unix_offset_ms = (
            _clock.unix_ms() - _clock.monotonic_seconds() * 1000.0
        )
        self._logged_at: dict[str, float] = {}
        self._next_look_at = float("-inf")

    @property
    def quotas(self) -> peridotsill_scheduler.Quotas:
        """The use and the allowances as of the present round."""
        return self._quotas

    def adopt(
        self,
        jobs: collections.abc.Iterable[peridotsill_scheduler.Job],
        ended: collections.abc.Iterable[tuple[float, str]] = (),
    ) -> None:
        """Decide on jobs that were read from the rows, in order of arrival.

        Args:
            jobs: The open jobs.
            ended: When jobs that had ended arrived, in Unix milliseconds,
                and their teams. These took tokens, too.
        """
        self._ended = [(arrived_ms, team, None) for arrived_ms, team in ended]
        for job in jobs:
            if job.team:
                self._former_copies += _former_copies(job)
        self._update_teams(jobs)

    def see(self, job: peridotsill_scheduler.Job) -> None:
        """Decide on a job that was just read for the first time."""
        if job.team:
            arrived_ms = peridotsill_scheduler.plausible_arrival_ms(
                job.arrived_ms, self._now_ms()
            )
            job.rate_class = self._rates.classify(job.team, arrived_ms)

    def _now_ms(self) -> float:
        """Return the time in Unix milliseconds; it is never set back."""
        return self._unix_offset_ms + _clock.monotonic_seconds() * 1000.0

    def _classify(self, arrivals: list[_Arrival]) -> None:
        """Decide on jobs in order of arrival.

        An arrival after now, by the clock of another node, counts as one now:
        its team would get no tokens until then.
        """
        now_ms = self._now_ms()
        arrivals.sort(key=lambda each: each[0])
        for arrived_ms, team, job in arrivals:
            rate_class = self._rates.classify(team, min(arrived_ms, now_ms))
            if job is not None:
                job.rate_class = rate_class

    def _update_teams(
        self, jobs: collections.abc.Iterable[peridotsill_scheduler.Job]
    ) -> None:
        """Apply the teams of the configuration if they have changed.

        A node may have accepted jobs of a team before this one had the
        configuration with it; these are decided on now.
        """
        config = self._catalog.config
        if config is None or (
            self._teams is not None and config.teams is self._entries
        ):
            return
        self._entries = config.teams
        self._teams = tuple(each.team for each in config.teams or ())
        new_teams = self._rates.set_teams(self._teams)
        self._quotas = peridotsill_scheduler.Quotas(teams=self._teams)
        undecided = peridotsill_scheduler.RateClass.UNDECIDED
        arrivals, self._ended = self._ended, []
        arrivals += [
            (job.arrived_ms, job.team, job)
            for job in jobs
            if job.team in new_teams and job.rate_class is undecided
        ]
        self._classify(arrivals)

    def begin_round(
        self,
        jobs: collections.abc.Iterable[peridotsill_scheduler.Job],
        max_lease_seconds: float,
    ) -> None:
        """Count what the teams' jobs have or may have on runners.

        Args:
            jobs: The open jobs.
            max_lease_seconds: The longest lease of a run.
        """
        self._update_teams(jobs)
        self._quotas = peridotsill_scheduler.Quotas(teams=self._teams)
        self._startable = peridotsill_scheduler.StartableWork(
            quotas=self._quotas
        )
        if self._teams:
            self._count_runs(max_lease_seconds)

    def _count_runs(self, max_lease_seconds: float) -> None:
        add = self._quotas.add
        for job, task, pool in self._workers.possible_runs():
            if job.team:
                add(job.team, pool, task.step.demand)
        if self._former_copies and not self._workers.may_have_inherited_runs(
            max_lease_seconds
        ):
            self._former_copies.clear()
        for job, task, count in self._former_copies:
            add(job.team, job.queue.pool, task.step.demand, count)

    def count_startable(
        self,
        job: peridotsill_scheduler.Job,
        step: peridotsill_scheduler.Step,
        waiting: int,
    ) -> int:
        """Return how many of a step's waiting tasks VMs are fetched for."""
        return self._startable.count(job, step, waiting)

    def counts_as_demand(self, job: peridotsill_scheduler.Job) -> bool:
        """Tell whether a job's arrival counts in the demand of its pool."""
        return not self._quotas.is_beyond_rate(job) and any(
            self._quotas.has_room(job, step) for step in job.spec.steps
        )

    def end_round(
        self, starts: collections.abc.Iterable[peridotsill_scheduler.Start]
    ) -> None:
        """Publish the figures of a round, and log which teams wait."""
        if not self._teams:
            self._figures.clear()
            return
        for start in starts:
            if start.job.team:
                beyond = self._quotas.is_beyond_rate(start.job)
                self._counters.add(
                    "team_starts", rate="beyond" if beyond else "within"
                )
        self._figures.teams_at_allowance = self._quotas.held_teams
        self._figures.jobs_waiting_beyond_rate = (
            self._quotas.waiting_beyond_rate
        )
        now = _clock.monotonic_seconds()
        if self._quotas.held_teams and now >= self._next_look_at:
            self._next_look_at = now + _LOOK_PERIOD_SECONDS
            self._log_held(now)

    def _log_held(self, now: float) -> None:
        """Log some teams at their allowance, the longest not logged first."""
        never = float("-inf")
        held = self._quotas.held
        logged_at = {
            team: at
            for team, at in self._logged_at.items()
            if team in held or now < at + _LOG_PERIOD_SECONDS
        }
        self._logged_at = logged_at
        teams = sorted(held, key=lambda team: logged_at.get(team, never))
        for team in teams[:_MAX_LINES]:
            if now < logged_at.get(team, never) + _LOG_PERIOD_SECONDS:
                return
            self._logged_at[team] = now
            _logs.log(
                "team:at_allowance",
                team=team,
                waiting_jobs=len(held[team]),
                jobs=[job.spec.id for job in held[team][:_MAX_NAMED_JOBS]],
                used=attrs.asdict(self._quotas.used(team)),
                allowance=attrs.asdict(self._quotas.allowance(team)),
            )


def _former_copies(
    job: peridotsill_scheduler.Job,
) -> list[tuple[peridotsill_scheduler.Job, peridotsill_scheduler.Task, int]]:
    """Return the tasks of which earlier runs may still be on a runner.

    A speculative task is started again while its former run may go on, and
    its row names the newest run alone. Only runs that failed are known to
    have ended.
    """
    found = []
    for task in job.tasks:
        if task.step.speculative and task.run:
            known = task.active or task.phase is _DONE
            count = task.run - task.failures - known
            if count > 0:
                found.append((job, task, count))
    return found


_DONE = peridotsill_scheduler.TaskPhase.DONE
