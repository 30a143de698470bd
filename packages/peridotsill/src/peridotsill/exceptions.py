"""Errors of the core package; the other packages define more."""


class PeridotsillError(Exception):
    """Base class of the project's errors."""


class SettingsError(PeridotsillError):
    """Settings can't be read or are invalid; ``problems`` lists why."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class InvalidResource(PeridotsillError):
    """A document can't be read or is invalid; ``problems`` lists why."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class UnknownKind(PeridotsillError):
    """A resource kind, policy or client is unknown; not raised at present."""


class PeerUnavailable(PeridotsillError):
    """A JSON call to a peer got no usable response.

    ``sent`` is False only if the peer can't have received this request; of
    earlier ones it tells nothing. ``refused`` tells that the connection was
    refused, which a network cut may do as well, though the peer's process
    lives.
    """

    def __init__(
        self, message: str, *, sent: bool = True, refused: bool = False
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class PeerRefused(PeridotsillError):
    """A peer responded to a JSON call with an error status."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        super().__init__(f"status {status}: {body.get('detail', body)}")
        self.status = status
        self.body = body


class MemoryBudgetExceeded(PeridotsillError):
    """What peers send at once would take more memory than is allowed."""


class TooManySlowClients(PeridotsillError, TimeoutError):
    """All the threads that may wait for slow clients do so already."""
