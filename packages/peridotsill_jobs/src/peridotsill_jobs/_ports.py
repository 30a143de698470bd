"""What the job service needs of runners, VMs and callers' documents."""

import collections.abc
import typing

import attrs
import peridotsill

import peridotsill_platform
import peridotsill_scheduler

# Waits for the answer to a commit: many times a busy store's usual answer,
# and what leaves a caller, who waits three seconds, time for another try.
_LEAST_COMMIT_SECONDS = 0.25
_MOST_COMMIT_SECONDS = 1.2


class RunnerState(peridotsill.TextEnum):
    """What a runner says of itself in the registry."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """A runner's row in the registry.

    ``lifetime`` is the Unix millisecond at which the runner started.
    """

    id: str
    lifetime: int
    pool: str
    address: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: peridotsill_scheduler.Resources
    state: RunnerState = RunnerState.READY


class VmState(peridotsill.TextEnum):
    """What the VM service says of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class VmRecord:
    """A VM as the VM service lists it; ``runner`` may be empty."""

    name: str
    pool: str
    state: VmState
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: peridotsill_scheduler.Resources
    runner: str = ""


@attrs.frozen(kw_only=True)
class WaveOrder:
    """An operator's order to maintain VMs.

    ``deadline_seconds`` counts from the order; at most ``max_parallel``
    VMs may be in maintenance at once. ``version`` is the row's.
    ``seen_at`` is when this node first read the order, in steady seconds;
    infinite before that.
    """

    name: str
    number: int
    vms: tuple[str, ...]
    deadline_seconds: float
    max_parallel: int
    version: int = 0
    seen_at: float = float("inf")


@attrs.frozen(kw_only=True)
class JobsConfig:
    """The operators' configuration of queues and pools."""

    version: int
    queues: tuple[peridotsill_scheduler.Queue, ...]
    pools: tuple[peridotsill_scheduler.PoolSettings, ...]


class EndKind(peridotsill.TextEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(kw_only=True)
class TaskName:
    """Names a task over all jobs."""

    job: str
    task: str


@attrs.frozen(kw_only=True)
class ReportedRun:
    """A run that a runner lists as running.

    ``speed_percent`` is the share that pacing leaves it. ``gauge`` is the
    tail of response times in milliseconds for a serving task, and the
    cores in use for any other.
    """

    name: TaskName
    run: int
    checkpoint: str
    speed_percent: int = 100
    gauge: float = 0.0


@attrs.frozen(kw_only=True)
class ReportedEnd:
    """A run that a runner lists as ended; ``number`` rises from 1."""

    number: int
    name: TaskName
    run: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class RunnerReport:
    """A runner's answer to a look; ``clock_ms`` is its steady clock."""

    lifetime: int
    clock_ms: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]


@attrs.frozen(kw_only=True)
class StartOrder:
    """Start a run; ``lease_until_ms`` is a time on the runner's clock."""

    name: TaskName
    run: int
    payload: str
    lease_until_ms: float
    fence: int
    checkpoint: str = ""
    ticket: str = ""


_T = typing.TypeVar("_T")


@attrs.frozen(kw_only=True)
class RunnerCall(typing.Generic[_T]):
    """A call to a runner, and how its result is read.

    ``read`` returns what the runner said, or raises `RunnerUnavailable`,
    `Fenced`, `WrongLifetime` or `OrderRefused`.
    """

    call: peridotsill.JsonCall
    read: collections.abc.Callable[[peridotsill.CallResult], _T]


class RunnerCalls(typing.Protocol):
    """Makes the calls to one lifetime of a runner; all may be repeated."""

    def start(
        self, order: StartOrder, timeout_seconds: float
    ) -> RunnerCall[float]:
        """Start a run; returns the runner's clock in milliseconds."""

    def stop(
        self, name: TaskName, run: int, fence: int, timeout_seconds: float
    ) -> RunnerCall[float]:
        """Stop a run; returns the runner's clock in milliseconds."""

    def look(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: float | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> RunnerCall[RunnerReport]:
        """Extend leases, forget ends up to ``last_seen``, and report.

        Waits up to ``wait_seconds`` for an end.
        """

    def pace(
        self,
        name: TaskName,
        run: int,
        percent: int,
        fence: int,
        timeout_seconds: float,
    ) -> RunnerCall[float]:
        """Let a run work at a share of its speed, 0 to 100 percent."""


class VmService(typing.Protocol):
    """The platform's list of VMs and the commands that move them."""

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return all VMs; raises `FleetUnavailable`."""

    def move(self, vm: str, pool: str, *, holder: str, fence: int) -> None:
        """Move a VM to a pool; what runs on it ends at once.

        Raises `FleetUnavailable`, `FleetBusy`, `FleetRefused` or `Fenced`.
        """

    def maintain(self, vm: str, wave: int, *, holder: str, fence: int) -> None:
        """Begin a VM's maintenance; raises as `move` does."""


@attrs.frozen(kw_only=True)
class AdviceTicket:
    """Permission to run a step on a runner."""

    runner: str
    ticket: str


class Advisor(typing.Protocol):
    """Tells which runners may run a step."""

    def advise(
        self,
        job: str,
        occurrence: int,
        step: int,
        runners: tuple[str, ...],
        timeout_seconds: float,
    ) -> tuple[AdviceTicket, ...]:
        """Return tickets of the runners that may run the step.

        Raises `AdviceUnavailable`.
        """


class Documents(typing.Protocol):
    """Decodes what operators, runners and callers write.

    A document that can't be used is skipped with a log line, and None or
    nothing is returned for it.
    """

    def config(self, row: peridotsill.Row) -> JobsConfig | None:
        """Decode the configuration's row."""

    def wave(self, row: peridotsill.Row) -> WaveOrder | None:
        """Decode a wave's row; None if the row is no wave."""

    def wave_status(self, state: str) -> dict[str, typing.Any]:
        """Return the row that tells operators a wave's state."""

    def runner(self, row: peridotsill.Row) -> RunnerEntry | None:
        """Decode a runner's row of the registry."""

    def job(
        self, queue: str, job_id: str, body: bytes
    ) -> peridotsill_scheduler.JobSpec:
        """Decode a submission; raises `InvalidResource`."""


@attrs.frozen(kw_only=True)
class Keys:
    """Where the rows of operators and runners stand in the table.

    ``operators`` and ``registry`` are names of tables; the others are
    keys. ``wave_status_prefix`` is followed by a wave's name.
    """

    operators: str
    config: str
    registry: str
    wave_status_prefix: str


@attrs.frozen(kw_only=True)
class PlatformPorts:
    """Everything that the job service gets from a platform.

    ``table_within`` returns the same table with a timeout in seconds, and
    ``runner_calls`` makes the calls to one lifetime of a runner.
    ``deadline_header`` is the header in which callers say how many
    milliseconds they wait.
    """

    table: peridotsill_platform.WatchedTable
    table_within: peridotsill_platform.TableWithin
    keys: Keys
    documents: Documents
    runner_calls: collections.abc.Callable[[RunnerEntry], RunnerCalls]
    vms: VmService
    deadline_header: str
    advisor: Advisor | None = None

    def patient_table(
        self, most_seconds: float = _MOST_COMMIT_SECONDS
    ) -> peridotsill_platform.PatientTable:
        """Return the table with commits that are soon given up."""
        return peridotsill_platform.PatientTable(
            within=self.table_within,
            least_seconds=_LEAST_COMMIT_SECONDS,
            most_seconds=most_seconds,
        )
