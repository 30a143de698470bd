"""Decides by a call's key whether the call is served, and for which team."""

import collections.abc
import http
import typing

import attrs
import peridotsill

from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
import peridotsill_scheduler

# Part of the time in which a removed key has to be refused for which a read
# of the configuration counts as current. The rest is margin.
_CURRENT_FRACTION = 0.8
# An unknown key may be new if the last read of the configuration is older
# than this. A configuration has to be applied within that time.
_APPLY_SECONDS = 3.0
# At most one line is logged in this time for each reason.
_LOG_PERIOD_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Caller:
    """The team that makes a call, if it is known, and whether it has a key.

    A call with a key is only served on a current configuration.
    """

    team: peridotsill_scheduler.Team | None = None
    has_key: bool = False

    @property
    def team_name(self) -> str:
        """The team's name; empty if there is none."""
        return self.team.name if self.team else ""


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a call is not served: an HTTP status and a message."""

    status: http.HTTPStatus
    error: str


STALE = Refusal(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    error="the configuration may be out of date",
)
_NO_KEY = Refusal(status=http.HTTPStatus.UNAUTHORIZED, error="a key is needed")
_UNKNOWN_KEY = Refusal(
    status=http.HTTPStatus.UNAUTHORIZED, error="the key is not known"
)
OTHER_TEAM = Refusal(
    status=http.HTTPStatus.FORBIDDEN, error="the job is another team's"
)


class KeyCheck:
    """Finds the team of a call by the key in its header.

    Args:
        catalog: The configuration with the teams.
        counters: Counts the refused calls by reason.
        key_header: Name of the header that holds a key alone. If it is empty
            the platform has none, and no call has a key.
        revocation_seconds: Returns the time after which a key that was
            removed from the configuration must not be served any more, at a
            node that can't read it either; 0 if there is no such bound.
    """

    def __init__(
        self,
        *,
        catalog: _catalog.Catalog,
        counters: peridotsill.Counters,
        key_header: str,
        revocation_seconds: collections.abc.Callable[[], float],
    ) -> None:
        self._catalog = catalog
        self._counters = counters
        self._environ_key = f"HTTP_{key_header.upper().replace('-', '_')}"
        self._has_header = bool(key_header)
        self._revocation_seconds = revocation_seconds
        self._log_limiter = peridotsill.LogLimiter(
            period_seconds=_LOG_PERIOD_SECONDS
        )
        self.challenge = "ApiKey"
        if key_header:
            self.challenge = f'ApiKey header="{key_header}"'

    def identify(
        self,
        queue: peridotsill_scheduler.Queue,
        environ: collections.abc.Mapping[str, typing.Any],
    ) -> Caller | Refusal:
        """Return who makes a call, or why it is refused.

        The call's header has been received, so that the call was sent before
        the clock is read here.
        """
        key = self._read_key(environ)
        # Read before the keys, which may be replaced in between: the keys
        # are at least as new as that read.
        read_began_at = self._catalog.read_began_at
        keys = self._catalog.team_keys
        needs_key = keys is not None and not queue.anonymous
        if not key:
            if needs_key:
                return self.refuse(_NO_KEY, "unknown_key", queue)
            return Caller()
        team = keys.team_of(key) if keys is not None else None
        if not self._is_current(read_began_at):
            return self.refuse(STALE, "stale_configuration", queue)
        if team is None and needs_key:
            if self._may_lack_new_keys(read_began_at):
                return self.refuse(STALE, "stale_configuration", queue)
            return self.refuse(_UNKNOWN_KEY, "unknown_key", queue)
        return Caller(team=team, has_key=True)

    def _read_key(
        self, environ: collections.abc.Mapping[str, typing.Any]
    ) -> bytes:
        if not self._has_header:
            return b""
        # WSGI gives a header's bytes as the characters of the same codes.
        return bytes(environ.get(self._environ_key, "").encode("latin-1"))

    def is_still_current(self, caller: Caller) -> bool:
        """Tell whether a success may be answered to a call."""
        return not caller.has_key or self._is_current(
            self._catalog.read_began_at
        )

    def _is_current(self, read_began_at: float) -> bool:
        bound = self._revocation_seconds() * _CURRENT_FRACTION
        age = _clock.boottime_seconds() - read_began_at
        return bound <= 0 or age < bound

    def _may_lack_new_keys(self, read_began_at: float) -> bool:
        age = _clock.boottime_seconds() - read_began_at
        return not self._catalog.reachable or age >= _APPLY_SECONDS

    def refuse(
        self,
        refusal: Refusal,
        reason: str,
        queue: peridotsill_scheduler.Queue,
    ) -> Refusal:
        """Count and log a refusal, and return it."""
        self._counters.add("calls_refused", reason=reason)
        left_out = self._log_limiter.admit(reason, _clock.monotonic_seconds())
        if left_out is not None:
            config = self._catalog.config
            _logs.log(
                "call:refused",
                reason=reason,
                queue=queue.name,
                config=config.version if config else 0,
                left_out=left_out,
            )
        return refusal
