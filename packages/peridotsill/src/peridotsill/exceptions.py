"""Errors that the shared core raises; peers' packages add their own."""


class PeridotsillError(Exception):
    """Base of every error that the project raises on purpose."""


class SettingsError(PeridotsillError):
    """A settings file can't be used; ``problems`` names every bad field."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class InvalidResource(PeridotsillError):
    """A document doesn't have the shape of its resource kind."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class UnknownKind(PeridotsillError):
    """No resource kind, policy or client goes by this name."""


class PeerUnavailable(PeridotsillError):
    """A JSON call to a peer brought no usable answer.

    ``sent`` is false if the peer certainly never got the request.
    """

    def __init__(self, message: str, *, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


class PeerRefused(PeridotsillError):
    """A peer answered a JSON call with an error status."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        super().__init__(f"status {status}: {body.get('detail', body)}")
        self.status = status
        self.body = body
