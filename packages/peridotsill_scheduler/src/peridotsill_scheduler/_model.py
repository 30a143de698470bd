"""Declared resources: queues, jobs, their steps, and VM pools."""

import attrs
import peridotsill

# Largest number of tasks of a step, in one occurrence of its job.
MAX_TASKS_PER_STEP = 100_000
# Used if no run time was declared.
_DEFAULT_RUN_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Resources:
    """An amount of compute resources: a capacity, a demand or a remainder.

    ``cores`` counts processor cores, and may be a fraction;
    ``memory_mib`` is in mebibytes.
    """

    cores: float = 0.0
    memory_mib: float = 0.0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts, resource by resource."""
        return Resources(
            cores=self.cores + other.cores,
            memory_mib=self.memory_mib + other.memory_mib,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; an amount may become negative."""
        return Resources(
            cores=self.cores - other.cores,
            memory_mib=self.memory_mib - other.memory_mib,
            accelerators=self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Tell whether ``other`` fits, up to rounding of floats."""
        return (
            other.cores <= self.cores + 1e-9
            and other.memory_mib <= self.memory_mib + 1e-9
            and other.accelerators <= self.accelerators
        )


@attrs.frozen(kw_only=True)
class Step:
    """A set of identical tasks of a job that may run in parallel.

    ``after`` holds the indexes of the steps that must be done first.
    ``max_per_vm`` limits the step's tasks on one VM; 0 for no limit.
    ``tail_target_ms`` is the tail latency target of serving tasks, which
    answer requests of users; 0 for all others. ``fills`` marks best-effort
    tasks ("filler tasks") that use cores that others leave idle.
    ``may_miss`` is the availability budget of a long-lived step: how many
    of its tasks may be unavailable at once through evictions by this
    system; None if the caller declared none.
    """

    index: int
    task_count: int = peridotsill.bounded(
        minimum=1, maximum=MAX_TASKS_PER_STEP
    )
    demand: Resources = Resources()
    estimated_seconds: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    affinity_rack: str = ""
    max_per_vm: int = 0
    speculative: bool = False
    long_lived: bool = False
    checkpointing: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    may_miss: int | None = None

    @property
    def declared_seconds(self) -> float:
        """The declared run time of a task, or the default in its place."""
        return self.estimated_seconds or _DEFAULT_RUN_SECONDS

    @property
    def reserved(self) -> Resources:
        """Resources reserved for a task; filler tasks reserve no cores."""
        if not self.fills:
            return self.demand
        return attrs.evolve(self.demand, cores=0.0)


@attrs.frozen(kw_only=True)
class JobSpec:
    """A job as its caller declared it.

    If ``occurrences`` is above 0, the job is periodic and runs its steps
    that many times; occurrence K is due at ``first_due_ms + K *
    period_ms``, in Unix milliseconds.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    first_due_ms: float = 0.0
    period_ms: float = 0.0
    occurrences: int = 0


@attrs.frozen(kw_only=True)
class AdviceTiming:
    """Duration of a queue's calls for placement advice, and its validity.

    A call takes ``decision_seconds`` plus ``vm_seconds`` for each VM that
    it names; a ticket that it returns is valid for ``validity_seconds``.
    """

    decision_seconds: float
    vm_seconds: float
    validity_seconds: float


@attrs.frozen(kw_only=True)
class Queue:
    """A queue that jobs are submitted to, with its service objective.

    A job should complete within ``stretch`` times its critical path plus
    ``target_seconds``. A queue with a lower ``priority`` value goes first.
    Calls to an ``anonymous`` queue need no key of a team.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_seconds: float = 0.0
    timeout_seconds: float = 3.0
    advice: AdviceTiming | None = None
    anonymous: bool = False


@attrs.frozen(kw_only=True)
class Team:
    """A team that submits jobs, with its share and its allowance.

    ``weight`` is the team's share when its jobs compete with those of other
    teams: as many jobs per second are within its rate. ``allowance`` limits
    what its jobs may run at once in all pools; an amount of 0 is no limit.
    """

    name: str
    weight: float
    allowance: Resources = Resources()


@attrs.frozen(kw_only=True)
class PoolSettings:
    """A pool of VMs; those of a standby pool are off and not billed."""

    name: str
    standby: bool = False
    admission_check: bool = False
