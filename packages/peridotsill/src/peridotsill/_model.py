"""Rows of the platform's table: resources, configuration and nodes."""

import attrs

from peridotsill import _codec


class DisruptionKind(_codec.TextEnum):
    """What is done with a VM that is taken out of service on purpose."""

    REBOOT = "reboot"
    MOVE = "move"
    DRAIN = "drain"


class DisruptionStep(_codec.TextEnum):
    """Progress of a VM's disruption."""

    DRAINING = "draining"
    REBOOTING = "rebooting"
    VERIFYING = "verifying"
    HELD = "held"


class WaveState(_codec.TextEnum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"
    DONE = "done"
    ABORTED = "aborted"


class JobState(_codec.TextEnum):
    """State of a job."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Disruption:
    """A granted interruption of one VM.

    ``id`` is also the id of the platform's operation, so that each
    command can be repeated safely. ``boot`` is the VM's boot count before
    a reboot, or -1 while it is unknown. ``lent`` marks a move that is
    reverted when the borrowing pool no longer needs the VM.
    """

    id: str
    kind: DisruptionKind
    step: DisruptionStep = DisruptionStep.DRAINING
    wave: str | None = None
    target_pool: str | None = None
    lent: bool = False
    boot: int = -1
    reason: str = ""


@attrs.frozen(kw_only=True)
class Vm:
    """A worker; its ``pool`` field is the only record of membership.

    ``home_pool`` is set while the VM is lent: the pool it returns to.
    """

    name: str
    address: str
    domain: str
    rack: str
    pool: str
    cores: float = _codec.bounded(minimum=0, default=32.0)
    memory_gib: float = _codec.bounded(minimum=0, default=64.0)
    accelerators: int = _codec.bounded(minimum=0, default=0)
    disruption: Disruption | None = None
    home_pool: str | None = None


@attrs.frozen(kw_only=True)
class Pool:
    """A group of VMs with an availability budget.

    At least ``min_available`` VMs must stay in service. ``grants`` counts
    the disruptions granted so far: each grant rewrites this row, so of
    two concurrent grants that saw the same budget one fails its commit.
    """

    name: str
    min_available: int = _codec.bounded(minimum=0)
    spare: bool = False
    grants: int = _codec.bounded(minimum=0, default=0)


@attrs.frozen(kw_only=True)
class Service:
    """A service that callers send requests to, run by one pool's runners.

    ``expected_seconds`` is the assumed run time of a request until run
    times have been measured. ``batch_share`` is the fraction of the slots
    that requests of class ``batch`` may hold.
    """

    name: str
    pool: str
    slots_per_vm: int = _codec.bounded(minimum=1, maximum=4096, default=8)
    connections_per_vm: int = _codec.bounded(minimum=1, default=64)
    expected_seconds: float = _codec.bounded(minimum=0, default=0.05)
    batch_share: float = _codec.bounded(minimum=0, maximum=1, default=0.75)
    queue_limit: int = _codec.bounded(minimum=0, default=1000)


@attrs.frozen(kw_only=True)
class Wave:
    """A maintenance wave over one pool, rack by rack."""

    name: str
    pool: str
    max_parallel: int = _codec.bounded(minimum=1, default=2)
    state: WaveState = WaveState.RUNNING
    reason: str = ""
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    started_at: float = 0.0
    finished_at: float = 0.0


@attrs.frozen(kw_only=True)
class JobUsage:
    """Resources that a completed job used on its VM."""

    cores: float
    memory_gib: float
    run_seconds: float


@attrs.frozen(kw_only=True)
class Job:
    """A task to be run on a VM of a pool.

    ``cores``, ``memory_gib``, ``accelerators`` and ``run_seconds`` are
    declared by the job's owner. ``deadline_at`` is in seconds since the
    Unix epoch, or 0 for none. ``attempt`` numbers the task leases.
    ``used`` is set on a completed job if its whole run was observed.
    """

    name: str
    pool: str
    cores: float = _codec.bounded(minimum=0, default=1.0)
    memory_gib: float = _codec.bounded(minimum=0, default=1.0)
    accelerators: int = _codec.bounded(minimum=0, default=0)
    run_seconds: float = _codec.bounded(minimum=0, default=60.0)
    deadline_at: float = _codec.bounded(minimum=0, default=0.0)
    idempotent: bool = True
    family: str = ""
    state: JobState = JobState.QUEUED
    vm: str | None = None
    attempt: int = _codec.bounded(minimum=0, default=0)
    checkpoint: float = _codec.bounded(minimum=0, maximum=1, default=0.0)
    lost_seconds: float = _codec.bounded(minimum=0, default=0.0)
    reason: str = ""
    used: JobUsage | None = None


@attrs.frozen(kw_only=True)
class ConfigValues:
    """Tunable values that apply to every node."""

    slot_policy: str = "borrow"
    retry_ratio: float = _codec.bounded(minimum=0, maximum=1, default=0.2)
    silence_seconds: float = _codec.bounded(
        minimum=0.05, maximum=60, default=0.5
    )
    default_timeout_seconds: float = _codec.bounded(
        minimum=0.1, maximum=86400, default=30.0
    )
    claim_seconds: float = _codec.bounded(minimum=1, default=86400.0)
    buffer_weight: float = _codec.bounded(minimum=0, default=1.0)
    moves_weight: float = _codec.bounded(minimum=0, default=1.0)
    rollout_weight: float = _codec.bounded(minimum=0, default=1.0)
    lending: bool = True


@attrs.frozen(kw_only=True)
class Config:
    """One version of the fleet's configuration."""

    version: int
    change_id: str
    values: ConfigValues
    author: str = ""
    applied_at: float = 0.0


@attrs.frozen(kw_only=True)
class NodeRow:
    """A running node's own row; rewriting it renews the node's lease.

    ``acks`` are the ids of the disruptions that the node acknowledges,
    for pool owners that don't receive its heartbeats. ``beat`` counts the
    renewals.
    """

    id: str
    domain: str
    callers: str
    operators: str
    siblings: str
    beat: int = 0
    acks: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Owner:
    """The node that manages a pool; the row's version is the fence."""

    pool: str
    node: str
    epoch: int


RESOURCE_KINDS: dict[str, type] = {
    "pools": Pool,
    "vms": Vm,
    "services": Service,
    "jobs": Job,
    "waves": Wave,
}

CONFIG_KEY = "config/current"
CONFIG_HISTORY_PREFIX = "history/config/"


def resource_key(kind: str, name: str) -> str:
    """Return the table key of a resource."""
    return f"{kind}/{name}"
