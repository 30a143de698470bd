"""Resources that operators name, as they stand in the platform's table."""

import attrs

from peridotsill import _codec


class DisruptionKind(_codec.TextEnum):
    """Why a VM is taken out of service on purpose."""

    REBOOT = "reboot"
    MOVE = "move"
    DRAIN = "drain"


class DisruptionStep(_codec.TextEnum):
    """How far a disruption of a VM has come."""

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

    ``id`` also names the operation at the platform, which makes each
    command safe to repeat. ``boot`` is the VM's boot count before a
    reboot, or -1 while it isn't known. ``lent`` marks a move that is to
    be undone when the demand is over.
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
    """A worker; its ``pool`` field is the only record of membership."""

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

    ``min_available`` VMs must stay in service. ``grants`` counts the
    disruptions granted so far; each grant rewrites this row, so that two
    grants can't both use the same slack.
    """

    name: str
    min_available: int = _codec.bounded(minimum=0)
    spare: bool = False
    grants: int = _codec.bounded(minimum=0, default=0)


@attrs.frozen(kw_only=True)
class Service:
    """What callers address; carried by the runners of one pool.

    ``expected_seconds`` is the run time assumed until answers have been
    seen. ``batch_share`` is the part of the slots that requests of class
    ``batch`` may hold.
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
class JobUse:
    """What a job used on its VM until it was done."""

    cores: float
    memory_gib: float
    run_seconds: float


@attrs.frozen(kw_only=True)
class Job:
    """A task that a pool must carry.

    Sizes are what its owner declared. ``deadline_at`` is seconds since
    the epoch, or 0 for none. ``attempt`` numbers the task leases.
    ``used`` is set on a job that is done, if its run was seen whole.
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
    used: JobUse | None = None


@attrs.frozen(kw_only=True)
class ConfigValues:
    """The tunable values that are in force on every node."""

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
    """What a running node writes about itself; rewritten as its lease.

    ``acks`` are the disruptions that it no longer stands against, for
    owners that don't get its heartbeats.
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
    """Which node works on a pool; its row's version is the fence."""

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
