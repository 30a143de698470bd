"""What callers declare: queues, jobs, steps, and the VMs that run them."""

import attrs
import peridotsill


@attrs.frozen(kw_only=True)
class Resources:
    """An amount of a VM's capacity.

    ``cores`` in processor cores, ``memory_mib`` in mebibytes.
    """

    cores: float = 0.0
    memory_mib: float = 0.0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            cores=self.cores + other.cores,
            memory_mib=self.memory_mib + other.memory_mib,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left after taking ``other`` away."""
        return Resources(
            cores=self.cores - other.cores,
            memory_mib=self.memory_mib - other.memory_mib,
            accelerators=self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Tell whether ``other`` fits into this amount."""
        return (
            other.cores <= self.cores + 1e-9
            and other.memory_mib <= self.memory_mib + 1e-9
            and other.accelerators <= self.accelerators
        )


@attrs.frozen(kw_only=True)
class Step:
    """Equal tasks of a job that may run at the same time.

    ``after`` names the steps that must be done first. ``max_per_vm`` is 0
    if any number may share a VM. ``tail_target_ms`` is the bound on the
    response times of tasks that serve users of their own; 0 for others.
    ``may_miss`` is how many of a long-lived step's tasks may be away at
    once because of what this system does; None if nothing is said.
    """

    index: int
    task_count: int = peridotsill.bounded(minimum=1, maximum=100000)
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
    def reserved(self) -> Resources:
        """What a task takes from a VM; a filling one takes no cores."""
        if not self.fills:
            return self.demand
        return attrs.evolve(self.demand, cores=0.0)


@attrs.frozen(kw_only=True)
class JobSpec:
    """A job as its caller declared it.

    A job with ``occurrences`` above 0 runs its steps that many times;
    occurrence K is due at ``first_due_ms + K * period_ms``, in Unix
    milliseconds.
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
    """What a queue's placement advice costs and how long it holds.

    All in seconds: ``decision_seconds`` for a call, ``vm_seconds`` more
    for each VM named in it, and ``validity_seconds`` for a ticket.
    """

    decision_seconds: float
    vm_seconds: float
    validity_seconds: float


@attrs.frozen(kw_only=True)
class Queue:
    """Where jobs are submitted and how they are to be served.

    A job's objective is ``stretch`` times its longest chain of work plus
    ``target_seconds``. Queues of a lower ``priority`` go first.
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


@attrs.frozen(kw_only=True)
class PoolSettings:
    """A pool of VMs; the VMs of a standby pool are off and cost nothing."""

    name: str
    standby: bool = False
    admission_check: bool = False
