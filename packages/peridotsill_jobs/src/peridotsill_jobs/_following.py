"""Follows a table: reads a snapshot once, then watches its changes."""

import collections.abc
import threading

import attrs
import peridotsill
from returns import result

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
import peridotsill_platform
import peridotsill_platform.exceptions

# Pause after a failed call; short compared with the time a change may take.
_RETRY_DELAY_SECONDS = 0.15
# Pause after an error that is no failed call and may come again at once.
_ERROR_DELAY_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class TableUpdate:
    """Rows written and keys deleted since the previous update.

    If ``is_snapshot``, ``rows`` holds all rows with the subscription's prefix.
    ``read_began_at`` is when the call began that found them: a change that
    was acknowledged before is among them. It is in seconds of the clock that
    counts suspended time.
    """

    rows: tuple[peridotsill.Row, ...]
    deleted: tuple[str, ...] = ()
    is_snapshot: bool = False
    read_began_at: float = float("-inf")


@attrs.frozen(kw_only=True)
class Subscription:
    """Which rows are followed, and the callbacks for updates and errors.

    ``prefix`` selects the rows of the table ``name`` in a snapshot.
    ``on_update`` gets every response, also one without a change;
    ``on_failure`` gets the error of each call that found the table
    unavailable. ``wait_seconds`` is how long a call waits for a change,
    which bounds how long a connection that stopped responding hides one.
    Without a ``revision`` a snapshot is read first.
    """

    table: peridotsill_platform.WatchedTable
    name: str
    prefix: str
    wait_seconds: float
    on_update: collections.abc.Callable[[TableUpdate], None]
    on_failure: collections.abc.Callable[[Exception], None]
    revision: int | None = None


def follow(subscription: Subscription, stopped: threading.Event) -> None:
    """Follow a table until ``stopped`` is set.

    A snapshot is read again when the table has discarded the history since
    the last revision. While the table is unavailable, calls do not wait for
    changes: they fail sooner, and the first one after the table's recovery
    is answered at once. After any other error, also one of ``on_update``,
    the same changes are read again.
    """
    revision = subscription.revision
    wait_seconds = subscription.wait_seconds
    while not stopped.is_set():
        try:
            if revision is None:
                revision = _read_snapshot(subscription)
            else:
                revision = _read_changes(subscription, revision, wait_seconds)
            wait_seconds = subscription.wait_seconds
        except peridotsill_platform.exceptions.HistoryGone:
            _logs.log("follow:history_gone", table=subscription.name)
            revision = None
        except peridotsill_platform.exceptions.TableUnavailable as error:
            subscription.on_failure(error)
            wait_seconds = 0.0
            stopped.wait(_RETRY_DELAY_SECONDS)
        except Exception:
            # Without this thread nobody would learn of a change any more.
            _logs.log_traceback("feed:failed", table=subscription.name)
            stopped.wait(_ERROR_DELAY_SECONDS)


def _read_snapshot(subscription: Subscription) -> int:
    began_at = _clock.boottime_seconds()
    match subscription.table.scan((subscription.prefix,)):
        case result.Success(scan):
            subscription.on_update(
                TableUpdate(
                    rows=scan.rows, is_snapshot=True, read_began_at=began_at
                )
            )
            return int(scan.revision)
        case result.Failure(error):
            raise error
    raise AssertionError("result is neither Success nor Failure")


def _read_changes(
    subscription: Subscription, revision: int, wait_seconds: float
) -> int:
    began_at = _clock.boottime_seconds()
    match subscription.table.watch(subscription.name, revision, wait_seconds):
        case result.Success(changes):
            subscription.on_update(
                TableUpdate(
                    rows=changes.rows,
                    deleted=changes.deleted,
                    read_began_at=began_at,
                )
            )
            return int(changes.revision)
        case result.Failure(error):
            raise error
    raise AssertionError("result is neither Success nor Failure")
