"""Table client for a platform with a JSON API over HTTP."""

import typing

import peridotsill
import peridotsill.exceptions
from returns import result

from peridotsill_platform import _table
from peridotsill_platform import exceptions


class HttpTable:
    """Client of the table at ``{base}/table``."""

    def __init__(
        self, *, client: peridotsill.JsonClient, timeout_seconds: float
    ) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    def read(self, keys: tuple[str, ...]) -> _table.ReadResult:
        """Return the rows that exist at ``keys``."""
        scan = self._fetch_rows("/table/read", {"keys": keys})
        return scan.map(lambda found: found.rows)

    def scan(self, prefixes: tuple[str, ...]) -> _table.ScanResult:
        """Return all rows below ``prefixes``, as of one revision."""
        return self._fetch_rows("/table/scan", {"prefixes": prefixes})

    def _fetch_rows(self, path: str, body: object) -> _table.ScanResult:
        try:
            data = self._call(path, body)
            scan = _decode_scan(data)
        except (
            peridotsill.exceptions.PeridotsillError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            return result.Failure(exceptions.TableUnavailable(str(error)))
        return result.Success(scan)

    def commit(self, transaction: _table.Transaction) -> _table.CommitResult:
        """Apply a transaction and return its revision."""
        try:
            data = self._call("/table/commit", transaction)
            return result.Success(int(data["revision"]))
        except peridotsill.exceptions.PeerRefused as error:
            return result.Failure(_commit_failure(error))
        except peridotsill.exceptions.PeerUnavailable as error:
            if not error.sent:
                return result.Failure(exceptions.TableUnavailable(str(error)))
            return result.Failure(exceptions.OutcomeUnknown(str(error)))
        except (KeyError, TypeError, ValueError) as error:
            return result.Failure(exceptions.OutcomeUnknown(repr(error)))

    def _call(self, path: str, body: object) -> dict[str, typing.Any]:
        data = self._client.call(
            "POST", path, body, timeout_seconds=self._timeout_seconds
        )
        if not isinstance(data, dict):
            raise peridotsill.exceptions.PeerUnavailable(
                f"{path}: not an object"
            )
        return data


def _decode_scan(data: dict[str, typing.Any]) -> peridotsill.Scan:
    # Decoded by hand: each poll returns every row, and the generic converter
    # takes about 30 times as long per row.
    rows = tuple(
        peridotsill.Row(
            key=str(row["key"]),
            value=dict(row["value"]),
            version=int(row["version"]),
        )
        for row in data["rows"]
    )
    return peridotsill.Scan(rows=rows, revision=int(data["revision"]))


def _commit_failure(
    error: peridotsill.exceptions.PeerRefused,
) -> _table.CommitFailure:
    if error.status == 409:
        listed = error.body.get("keys")
        keys = listed if isinstance(listed, list) else []
        return exceptions.Conflict(tuple(str(key) for key in keys))
    if error.status == 503:
        return exceptions.TableUnavailable(str(error))
    if error.status in _table.REJECTED_STATUSES:
        return exceptions.CommitRejected(str(error))
    return exceptions.OutcomeUnknown(str(error))


@_table.table_client("http")
def _make_http_table(base: str, timeout_seconds: float) -> _table.Table:
    client = peridotsill.JsonClient(base=base)
    return HttpTable(client=client, timeout_seconds=timeout_seconds)
