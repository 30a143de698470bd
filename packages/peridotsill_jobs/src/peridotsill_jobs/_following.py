"""Following a table: read whole once, then by its changes."""

import collections.abc
import threading

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _logs
import peridotsill_platform
import peridotsill_platform.exceptions

# Pause after a failed call; short against the time a change may take.
_RETRY_SECONDS = 0.15


@attrs.frozen(kw_only=True)
class Followed:
    """Rows written and keys deleted; ``whole`` if all rows are given."""

    rows: tuple[peridotsill.Row, ...]
    deleted: tuple[str, ...] = ()
    whole: bool = False


@attrs.frozen(kw_only=True)
class Following:
    """What is followed, and who is told.

    ``prefix`` is what is read of the table ``name`` when it is read whole.
    ``take`` gets every answer, also one without a change; ``failed`` gets
    the error of each call that had none. ``wait_seconds`` is how long a
    call waits for a change, which bounds how long a connection that went
    silent hides one. Without a ``revision`` the table is read whole first.
    """

    table: peridotsill_platform.WatchedTable
    name: str
    prefix: str
    wait_seconds: float
    take: collections.abc.Callable[[Followed], None]
    failed: collections.abc.Callable[[Exception], None]
    revision: int | None = None


def follow(following: Following, stopped: threading.Event) -> None:
    """Follow a table until ``stopped`` is set.

    The table is read whole again when its history is gone. One that is
    away is asked without a wait: such a call is over soon, and the first
    one after the table's return is answered at once.
    """
    revision = following.revision
    wait = following.wait_seconds
    while not stopped.is_set():
        try:
            if revision is None:
                revision = _read_whole(following)
            else:
                revision = _read_changes(following, revision, wait)
            wait = following.wait_seconds
        except peridotsill_platform.exceptions.HistoryGone:
            _logs.log("follow:history_gone", table=following.name)
            revision = None
        except peridotsill_platform.exceptions.TableUnavailable as error:
            following.failed(error)
            wait = 0.0
            stopped.wait(_RETRY_SECONDS)


def _read_whole(following: Following) -> int:
    match following.table.scan((following.prefix,)):
        case result.Success(scan):
            following.take(Followed(rows=scan.rows, whole=True))
            return int(scan.revision)
        case result.Failure(error):
            raise error
    raise AssertionError("a result is a success or a failure")


def _read_changes(
    following: Following, revision: int, wait_seconds: float
) -> int:
    match following.table.watch(following.name, revision, wait_seconds):
        case result.Success(changes):
            following.take(
                Followed(rows=changes.rows, deleted=changes.deleted)
            )
            return int(changes.revision)
        case result.Failure(error):
            raise error
    raise AssertionError("a result is a success or a failure")
