"""Settings of a job node: a JSON file, validated before the node starts."""

import collections.abc
import pathlib

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _ports
import peridotsill_scheduler


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits and guarantees of the platform, in milliseconds.

    ``max_lease_ms`` is the longest lease of a run; ``handover_ms`` must
    pass between the VM commands of two nodes; ``maintenance_ms`` is how
    long a VM's maintenance takes; ``exit_grace_ms`` is the time from
    SIGTERM to SIGKILL. ``revocation_ms`` is how long after its removal from
    the configuration a key may be served, also at nodes that can't read the
    configuration; 0 sets no such bound.
    """

    max_lease_ms: float = peridotsill.bounded(minimum=500, default=10000.0)
    handover_ms: float = peridotsill.bounded(minimum=0, default=3000.0)
    maintenance_ms: float = peridotsill.bounded(minimum=0, default=2000.0)
    exit_grace_ms: float = peridotsill.bounded(minimum=0, default=6000.0)
    revocation_ms: float = peridotsill.bounded(minimum=0, default=0.0)


# Link bandwidth in Mbit/s needed per core of scheduling. A takeover reads
# some megabytes at once, for which 10 Mbit/s were too little.
_LINK_MBPS_PER_CORE = 50.0


@attrs.frozen(kw_only=True)
class HostResources:
    """Resources that a node's VM provides.

    ``cores`` counts the cores and ``core_share`` is the part of each that
    the node may use; ``link_mbps`` is the VM's link in Mbit/s.
    """

    cores: float = peridotsill.bounded(minimum=0.01, default=1.0)
    core_share: float = peridotsill.bounded(minimum=0.001, default=1.0)
    link_mbps: float = peridotsill.bounded(minimum=0.01, default=1000.0)

    @property
    def capability(self) -> float:
        """Scheduling capacity in cores, limited by the link's bandwidth."""
        return min(
            self.cores * self.core_share, self.link_mbps / _LINK_MBPS_PER_CORE
        )


@attrs.frozen(kw_only=True)
class JobNodeSettings:
    """Everything that a job node needs to know before it starts.

    ``platform`` names the adapter; ``table``, ``vm_service`` and
    ``advisor`` are base addresses; ``advisor`` may be empty. Nodes whose
    ``resources`` allow more scheduling are preferred as the scheduler.
    ``siblings`` is the address at which other nodes ask this one whether it
    still schedules; if it is empty, a lost scheduler's lease has to expire.
    ``max_row_bytes`` is the largest value of a row that the table accepts.
    ``peer_limits`` bounds what callers, runners and services may send.
    """

    node: str
    domain: str
    callers: str
    readiness: str
    metrics: str
    platform: str
    table: str
    vm_service: str
    advisor: str = ""
    siblings: str = ""
    max_row_bytes: int = peridotsill.bounded(minimum=4096, default=65536)
    threads: int = peridotsill.bounded(minimum=2, maximum=500, default=24)
    order_policy: str = "payoff_density"
    lending_policy: str = "rising"
    placement_policy: str = "immediate"
    return_policy: str = "never"
    resources: HostResources = HostResources()
    bounds: Bounds = Bounds()
    peer_limits: peridotsill.PeerLimits = peridotsill.PeerLimits()


def load_job_settings(path: str) -> JobNodeSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: With every problem, each named by its path.
    """
    try:
        text = pathlib.Path(path).read_bytes()
        settings = peridotsill.decode(text, JobNodeSettings, strict=False)
    except OSError as error:
        raise peridotsill.exceptions.SettingsError(
            (f"{path}: {error.strerror}",)
        ) from error
    except peridotsill.exceptions.InvalidResource as error:
        raise peridotsill.exceptions.SettingsError(error.problems) from error
    problems = _policy_problems(settings)
    if problems:
        raise peridotsill.exceptions.SettingsError(problems)
    return settings


def _policy_problems(settings: JobNodeSettings) -> tuple[str, ...]:
    known = {
        "order_policy": peridotsill_scheduler.order_policies(),
        "lending_policy": peridotsill_scheduler.lending_policies(),
        "placement_policy": peridotsill_scheduler.placement_policies(),
        "return_policy": peridotsill_scheduler.return_policies(),
    }
    return tuple(
        f"{field}: {getattr(settings, field)!r} is not one of "
        f"{', '.join(names)}"
        for field, names in known.items()
        if getattr(settings, field) not in names
    )


PortsFactory = collections.abc.Callable[
    [JobNodeSettings], _ports.PlatformPorts
]
_ports_factories: dict[str, PortsFactory] = {}


def job_platform(
    name: str,
) -> collections.abc.Callable[[PortsFactory], PortsFactory]:
    """Return a decorator that registers a platform's ports factory."""

    def register(factory: PortsFactory) -> PortsFactory:
        _ports_factories[name] = factory
        return factory

    return register


def make_ports(settings: JobNodeSettings) -> _ports.PlatformPorts:
    """Create the ports of the platform named in the settings.

    Raises:
        SettingsError: If no adapter has this name.
    """
    if settings.platform not in _ports_factories:
        known = ", ".join(sorted(_ports_factories))
        raise peridotsill.exceptions.SettingsError(
            (f"platform: {settings.platform!r} is not one of {known}",)
        )
    return _ports_factories[settings.platform](settings)


def split_address(address: str) -> peridotsill.Address:
    """Parse ``host:port``.

    Raises:
        SettingsError: If ``address`` has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise peridotsill.exceptions.SettingsError(
            (f"{address!r}: expected host:port",)
        )
    return peridotsill.Address(host=host, port=int(port))
