"""Interfaces that a platform adapter implements for the job service."""

import collections.abc
import typing

import attrs
import peridotsill

import peridotsill_platform
import peridotsill_scheduler

# Bounds of a commit's timeout: the lower one is many times the usual response
# time of a busy store; the upper one leaves a caller that waits three seconds
# time for another attempt.
_MIN_COMMIT_TIMEOUT_SECONDS = 0.25
_MAX_COMMIT_TIMEOUT_SECONDS = 1.2


class RunnerState(peridotsill.TextEnum):
    """State that a runner reports in the registry."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """A runner's row in the registry.

    ``lifetime`` is the runner's start time in Unix milliseconds. ``vm`` is
    empty if the row does not name it.
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
    vm: str = ""


class VmState(peridotsill.TextEnum):
    """State of a VM in the VM service; OTHER is one not known here."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    OTHER = "other"


STATES_OF_TAKEN_VMS = (VmState.MOVING, VmState.MAINTENANCE)
STATES_WITHOUT_RUNNER = (*STATES_OF_TAKEN_VMS, VmState.DOWN)


@attrs.frozen(kw_only=True)
class VmRecord:
    """A VM as listed by the VM service; ``runner`` may be empty."""

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
    VMs may be in maintenance at once. ``version`` is the row's version.
    ``seen_at`` is when this node first read the order, in seconds of the
    monotonic clock; infinite until then.
    """

    name: str
    number: int
    vms: tuple[str, ...]
    deadline_seconds: float
    max_parallel: int
    version: int = 0
    seen_at: float = float("inf")


@attrs.frozen(kw_only=True)
class TeamEntry:
    """A team of the configuration, with the SHA-256 digests of its keys."""

    team: peridotsill_scheduler.Team
    key_digests: frozenset[bytes] = attrs.field(
        default=frozenset(), repr=False
    )


@attrs.frozen(kw_only=True)
class JobsConfig:
    """The operators' configuration of queues, pools and teams.

    If ``teams`` is None, calls need no key.
    """

    version: int
    queues: tuple[peridotsill_scheduler.Queue, ...]
    pools: tuple[peridotsill_scheduler.PoolSettings, ...]
    teams: tuple[TeamEntry, ...] | None = None


class EndKind(peridotsill.TextEnum):
    """How a run ended.

    Only FAILED counts as a failure. After STOPPED, LAPSED (its lease
    expired), BROKEN (another member of its gang ended) or ALONE (it waited
    for the other members for the platform's whole gang time-out) the task
    waits to be started again.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(kw_only=True)
class TaskName:
    """Identifies a task across all jobs."""

    job: str
    task: str


@attrs.frozen(kw_only=True)
class ReportedRun:
    """A run that a runner reports as running.

    ``speed_percent`` is the share of its full speed that pacing allows.
    ``load_metric`` is the tail latency in milliseconds for a serving task, and
    the number of cores in use for any other task.
    """

    name: TaskName
    run: int
    checkpoint: str
    speed_percent: int = 100
    load_metric: float = 0.0


@attrs.frozen(kw_only=True)
class ReportedEnd:
    """A run that a runner reports as ended; ``number`` counts up from 1."""

    number: int
    name: TaskName
    run: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class RunnerReport:
    """A runner's status report; ``clock_ms`` is its monotonic clock.

    ``lists_all_ends`` is false if ``ended`` may have been cut off. Then a run
    that is not listed may have ended on the runner.
    """

    lifetime: int
    clock_ms: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    lists_all_ends: bool = True


@attrs.frozen(kw_only=True)
class StartOrder:
    """Order to start a run.

    ``lease_until_ms`` is a time on the runner's clock. It and ``fence``, the
    fencing token, are set when the order is sent. ``send_before`` is
    when what the registry said of the runner becomes too old to rely on, in
    seconds of the monotonic clock.
    """

    name: TaskName
    run: int
    payload: str
    lease_until_ms: float = 0.0
    fence: int = 0
    checkpoint: str = ""
    ticket: str = ""
    send_before: float = float("inf")


_T = typing.TypeVar("_T")


@attrs.frozen(kw_only=True)
class RunnerCall(typing.Generic[_T]):
    """A call to a runner, with the function that decodes its result.

    ``read`` returns the decoded response, or raises `RunnerUnavailable`,
    `ConnectionRefused`, `StaleFencingToken`, `WrongLifetime` or
    `OrderRefused`.
    """

    call: peridotsill.JsonCall
    read: collections.abc.Callable[[peridotsill.CallResult], _T]


class RunnerCalls(typing.Protocol):
    """Builds the calls to one lifetime of a runner; all are idempotent."""

    def start(
        self, order: StartOrder, timeout_seconds: float
    ) -> RunnerCall[float]:
        """Start a run; returns the runner's clock in milliseconds."""

    def stop(
        self, name: TaskName, run: int, fence: int, timeout_seconds: float
    ) -> RunnerCall[float]:
        """Stop a run; returns the runner's clock in milliseconds."""

    def poll(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: float | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> RunnerCall[RunnerReport]:
        """Extend the leases of runs and return the runner's report.

        No lease is extended if ``lease_until_ms`` is None.
        The runner discards the ends up to number ``last_seen`` and waits
        up to ``wait_seconds`` for a run to end.
        """

    def pace(
        self,
        name: TaskName,
        run: int,
        percent: int,
        fence: int,
        timeout_seconds: float,
    ) -> RunnerCall[float]:
        """Limit a run to 0 to 100 percent of its full speed."""


class VmService(typing.Protocol):
    """The platform's list of VMs, and commands to move and maintain them."""

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return all VMs; raises `VmServiceUnavailable`."""

    def move(self, vm: str, pool: str, *, holder: str, fence: int) -> None:
        """Move a VM to a pool, which ends its runs at once.

        Raises `VmServiceUnavailable`, `VmNotReady`, `VmCommandRefused` or
        `StaleFencingToken`.
        """

    def maintain(self, vm: str, wave: int, *, holder: str, fence: int) -> None:
        """Begin a VM's maintenance; raises the same errors as `move`."""


@attrs.frozen(kw_only=True)
class AdviceTicket:
    """Permission to run a step on a runner."""

    runner: str
    ticket: str


class Advisor(typing.Protocol):
    """Placement advisor: decides which runners may run a step."""

    def advise(
        self,
        job: str,
        occurrence: int,
        step: int,
        runners: tuple[str, ...],
        timeout_seconds: float,
    ) -> tuple[AdviceTicket, ...]:
        """Return a ticket for each runner that may run the step.

        Raises `AdviceUnavailable`.
        """


class Documents(typing.Protocol):
    """Decodes the documents of operators, runners and callers.

    A row that can't be decoded is logged and skipped: its decoder returns
    None.
    """

    def config(self, row: peridotsill.Row) -> JobsConfig | None:
        """Decode the configuration's row."""

    def wave(self, row: peridotsill.Row) -> WaveOrder | None:
        """Decode a wave's row; None if the row is not a wave."""

    def wave_status(self, state: str) -> dict[str, typing.Any]:
        """Return the value of the row that shows operators a wave's state."""

    def runner(self, row: peridotsill.Row) -> RunnerEntry | None:
        """Decode a runner's row in the registry."""

    def job(
        self, queue: str, job_id: str, body: bytes
    ) -> peridotsill_scheduler.JobSpec:
        """Decode a submission; raises `InvalidResource`."""


@attrs.frozen(kw_only=True)
class Keys:
    """Tables and keys of the rows of operators and runners.

    ``operators`` and ``registry`` are names of tables and ``config`` is a
    key. The key of a wave's status is ``wave_status_prefix`` and the wave's
    name.
    """

    operators: str
    config: str
    registry: str
    wave_status_prefix: str


@attrs.frozen(kw_only=True)
class PlatformPorts:
    """Everything that the job service uses of a platform.

    ``table_with_timeout`` returns the same table with a timeout in
    seconds, and ``runner_calls`` returns the calls to one lifetime of a
    runner. ``deadline_header`` names the header with a caller's timeout in
    milliseconds, and ``table_limits`` are the sizes that the table accepts.
    ``key_header`` names the header with a caller's key. If it is empty, no
    call has a key, and of a configuration with teams only the anonymous
    queues are served.
    """

    table: peridotsill_platform.WatchedTable
    table_with_timeout: peridotsill_platform.TableWithTimeoutFactory
    keys: Keys
    documents: Documents
    runner_calls: collections.abc.Callable[[RunnerEntry], RunnerCalls]
    vms: VmService
    deadline_header: str
    key_header: str = ""
    advisor: Advisor | None = None
    table_limits: peridotsill_platform.TableLimits = (
        peridotsill_platform.TableLimits()
    )

    def adaptive_timeout_table(
        self, max_timeout_seconds: float = _MAX_COMMIT_TIMEOUT_SECONDS
    ) -> peridotsill_platform.AdaptiveTimeoutTable:
        """Return the table with adaptive timeouts for commits.

        A commit's timeout follows the usual response time, so that a commit
        without an answer can be retried.
        """
        return peridotsill_platform.AdaptiveTimeoutTable(
            table_with_timeout=self.table_with_timeout,
            min_timeout_seconds=_MIN_COMMIT_TIMEOUT_SECONDS,
            max_timeout_seconds=max_timeout_seconds,
        )
