"""Settings of one daemon, read from a JSON file and checked at start."""

import pathlib
import re

import attrs

from peridotsill import _codec
from peridotsill import _peer_limits
from peridotsill import exceptions

_PORT_PATTERN = re.compile(r"[1-9][0-9]{0,4}")


@attrs.frozen(kw_only=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int = _codec.bounded(minimum=1, maximum=65535)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``HOST:PORT``, such as ``10.0.0.1:8080``.

        Raises:
            InvalidResource: If it has another form, or a port that no
                process can listen on.
        """
        host, _, port = text.rpartition(":")
        if not host or not _PORT_PATTERN.fullmatch(port):
            raise exceptions.InvalidResource(
                (f"address: {text!r} is not HOST:PORT",)
            )
        try:
            return _codec.from_plain({"host": host, "port": int(port)}, cls)
        except exceptions.InvalidResource as error:
            problems = tuple(f"address.{each}" for each in error.problems)
            raise exceptions.InvalidResource(problems) from error


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on a node's requests and connections from callers."""

    header_bytes: int = _codec.bounded(
        minimum=1024, maximum=1 << 20, default=16384
    )
    body_bytes: int = _codec.bounded(
        minimum=0, maximum=1 << 30, default=1 << 20
    )
    header_seconds: float = _codec.bounded(
        minimum=0.1, maximum=300, default=2.0
    )
    body_seconds: float = _codec.bounded(
        minimum=0.1, maximum=3600, default=10.0
    )
    idle_seconds: float = _codec.bounded(
        minimum=0.5, maximum=3600, default=10.0
    )
    threads: int = _codec.bounded(minimum=4, maximum=2000, default=160)
    connections: int = _codec.bounded(minimum=1, maximum=100000, default=2000)


@attrs.frozen(kw_only=True)
class Timing:
    """Periods, time-outs and lease times of a node, in seconds.

    A node refuses requests if it has not read the table for
    ``isolation_seconds`` and no sibling is live. ``duty_seconds`` is the
    period of the background work on the pools that the node owns. A
    stopping node reports not ready but still serves for at least
    ``stop_notice_seconds``, so that load balancers stop sending to it.
    """

    poll_seconds: float = _codec.bounded(minimum=0.05, default=1.0)
    heartbeat_seconds: float = _codec.bounded(minimum=0.05, default=1.0)
    sibling_timeout_seconds: float = _codec.bounded(minimum=0.1, default=2.5)
    node_lease_seconds: float = _codec.bounded(minimum=0.5, default=8.0)
    isolation_seconds: float = _codec.bounded(minimum=0.5, default=5.0)
    probe_seconds: float = _codec.bounded(minimum=0.05, default=1.0)
    duty_seconds: float = _codec.bounded(minimum=0.05, default=0.5)
    flush_seconds: float = _codec.bounded(minimum=0.05, default=1.0)
    stop_notice_seconds: float = _codec.bounded(minimum=0, default=3.0)
    idle_connection_seconds: float = _codec.bounded(minimum=0.1, default=5.0)
    platform_timeout_seconds: float = _codec.bounded(minimum=0.1, default=2.0)


@attrs.frozen(kw_only=True)
class Settings:
    """Everything a daemon needs before it can connect to the platform.

    ``token_file`` is the path of the file that holds the secret shared by
    operators and nodes.
    ``node_limit`` is the maximum number of nodes that serve at once; a
    runner's connections are divided by it to get each node's limit.
    ``siblings_advertised`` is the address at which other nodes reach this
    one, if it differs from ``siblings``.
    ``peer_limits`` bounds what all peers may send; the callers' listener
    takes its number of connections from ``limits``.
    """

    node: str
    domain: str
    callers: Address
    operators: Address
    siblings: Address
    platform: str
    token_file: str
    seeds: tuple[Address, ...] = ()
    siblings_advertised: Address | None = None
    table_client: str = "http"
    upstream_client: str = "http"
    node_limit: int = _codec.bounded(minimum=1, maximum=64, default=10)
    log_file: str = "-"
    limits: Limits = Limits()
    peer_limits: _peer_limits.PeerLimits = _peer_limits.PeerLimits()
    timing: Timing = Timing()


def advertised_address(settings: Settings) -> str:
    """Return the address at which other nodes reach this one."""
    return str(settings.siblings_advertised or settings.siblings)


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: If the file can't be read or is invalid. Lists every
            bad field by its path; conflicts between fields are listed only
            if no field is bad.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError((f"{path}: {error.strerror}",)) from (
            error
        )
    try:
        settings = _codec.decode(text, Settings)
    except exceptions.InvalidResource as error:
        raise exceptions.SettingsError(error.problems) from error
    problems = _check_across_fields(settings)
    if problems:
        raise exceptions.SettingsError(problems)
    return settings


def load_token(path: str) -> str:
    """Read the shared secret.

    Raises:
        SettingsError: If the file can't be read or is too short.
    """
    try:
        token = pathlib.Path(path).read_text().strip()
    except OSError as error:
        raise exceptions.SettingsError(
            (f"token_file: {path}: {error.strerror}",)
        ) from error
    if len(token) < 16:
        raise exceptions.SettingsError(
            ("token_file: the token must have at least 16 characters",)
        )
    return token


def _check_across_fields(settings: Settings) -> tuple[str, ...]:
    problems = []
    listeners = (settings.callers, settings.operators, settings.siblings)
    if len(set(listeners)) < len(listeners):
        problems.append("callers, operators, siblings: addresses must differ")
    if not settings.platform.startswith("http://"):
        problems.append("platform: expected an http:// URL")
    timing = settings.timing
    if timing.isolation_seconds >= timing.node_lease_seconds:
        problems.append(
            "timing.isolation_seconds: must be below node_lease_seconds"
        )
    return tuple(problems)
