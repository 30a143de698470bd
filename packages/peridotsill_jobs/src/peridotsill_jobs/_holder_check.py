"""Lets nodes ask the lease's holder directly whether it still schedules.

A node that waits for the lease sees only that its row has not changed. The
holder's answer, or a refused connection, tells more, so that the node may
take over before the lease has expired.
"""

import collections.abc
import http
import typing

import attrs
import peridotsill
import peridotsill.exceptions

from peridotsill_jobs import _logs

StartResponse = collections.abc.Callable[..., typing.Any]

_PATH_PREFIX = "/lease/"
# Timeout of a question. A holder that takes longer counts as silent, and its
# lease has to expire.
_TIMEOUT_SECONDS = 0.3


@attrs.frozen(kw_only=True)
class HolderState:
    """Whether a node still holds the lease under an epoch.

    If it does not, others may take over; that is no proof that the row's
    holder has stopped. If it gave the lease up, ``waits`` are the seconds
    for which the next holder has to wait for each runner that does not
    answer, None if they are not known. ``node`` and ``process`` name the
    process that answers, and ``up_seconds`` says for how long it has been
    listening; empty and 0 if no process answers. ``declined`` says that this
    process tried to take the lease under the epoch, never learned that it
    had, and won't act as its holder under that epoch.
    """

    holds: bool
    waits: dict[str, float] | None = None
    node: str = ""
    process: str = ""
    up_seconds: float = 0.0
    declined: bool = False


class HolderApp:
    """Serves ``GET /lease/EPOCH`` as a WSGI application.

    Args:
        answer: Returns this node's state under an epoch.
    """

    def __init__(
        self, *, answer: collections.abc.Callable[[int], HolderState]
    ) -> None:
        self._answer = answer

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> list[bytes]:
        path = environ["PATH_INFO"]
        epoch = path.removeprefix(_PATH_PREFIX)
        status, body = http.HTTPStatus.NOT_FOUND, b"{}"
        if path.startswith(_PATH_PREFIX) and epoch.isdigit():
            state = self._answer(int(epoch))
            status, body = http.HTTPStatus.OK, peridotsill.encode(state)
        start_response(
            f"{status.value} {status.phrase}",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]


def ask_holder(address: str, epoch: int) -> HolderState | None:
    """Ask a node whether it holds the lease under an epoch.

    Example: ``ask_holder("10.0.0.1:7060", 7)`` is ``HolderState(holds=False)``
    if the connection is refused: most likely the holder's process is gone,
    but a cut may refuse connections for a process that lives. None without
    a usable answer: the holder may be cut off, frozen or without power.
    """
    client = peridotsill.JsonClient(base=f"http://{address}", connections=1)
    try:
        data = client.call(
            "GET",
            f"{_PATH_PREFIX}{epoch}",
            timeout_seconds=_TIMEOUT_SECONDS,
        )
        return peridotsill.from_plain(data, HolderState, strict=False)
    except peridotsill.exceptions.PeerUnavailable as error:
        if error.refused:
            return HolderState(holds=False)
        _logs.log("lease:holder_silent", address=address, reason=str(error))
    except peridotsill.exceptions.PeridotsillError as error:
        _logs.log("lease:holder_unclear", address=address, reason=str(error))
    finally:
        client.close()
    return None
