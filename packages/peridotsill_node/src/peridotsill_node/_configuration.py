"""Stores the configuration as one versioned row, with a history."""

import time

import peridotsill
from returns import result

from peridotsill_node import _writer
import peridotsill_operators
import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions
import peridotsill_siblings

_MAX_COMMIT_ATTEMPTS = 5


class Configuration:
    """Applies changes of the configuration and lists its versions.

    A change and a history row under its change id are written in one commit.
    If the request is repeated, that row shows that the change was applied.
    """

    def __init__(
        self,
        *,
        writer: _writer.Writer,
        table: peridotsill_platform.Table,
    ) -> None:
        self._writer = writer
        self._table = table

    def apply(
        self, change: peridotsill_operators.ConfigChange
    ) -> peridotsill_operators.WriteResult:
        """Apply a change of the configuration, once per change id.

        Raises:
            HttpProblem: If the slot policy is unknown, the table is
                unavailable, or the outcome is unknown or still in conflict
                after all attempts.
        """
        _check_slot_policy(change.values)
        history_key = f"{peridotsill.CONFIG_HISTORY_PREFIX}{change.change_id}"
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            rows = self._writer.read(peridotsill.CONFIG_KEY, history_key)
            if history_key in rows:
                version = int(rows[history_key].value["version"])
                return peridotsill_operators.WriteResult(
                    version=version, changed=False
                )
            outcome = self._commit_config(
                change, rows.get(peridotsill.CONFIG_KEY), history_key
            )
            match outcome:
                case result.Success(config):
                    return peridotsill_operators.WriteResult(
                        version=config.version
                    )
                case result.Failure(platform_exceptions.Conflict()):
                    continue
                case result.Failure(platform_exceptions.TableUnavailable()):
                    raise _writer.commit_problem(False)
                case _:
                    raise _writer.commit_problem(True)
        raise _writer.commit_problem(True)

    def _commit_config(
        self,
        change: peridotsill_operators.ConfigChange,
        row: peridotsill.Row | None,
        history_key: str,
    ) -> result.Result[peridotsill.Config, peridotsill_platform.CommitFailure]:
        current_version = int(row.value["version"]) if row else 0
        config = peridotsill.Config(
            version=current_version + 1,
            change_id=change.change_id,
            values=change.values,
            author=change.author,
            applied_at=time.time(),
        )
        write = _writer.write_of(peridotsill.CONFIG_KEY, config)
        transaction = peridotsill_platform.Transaction(
            checks=(_writer.check_of(row, peridotsill.CONFIG_KEY),),
            writes=(write,),
        )
        outcome = peridotsill_platform.commit_with_marker(
            self._table, transaction, _writer.write_of(history_key, config)
        )
        match outcome:
            case result.Success(revision):
                self._writer.publish((write,), revision)
                self._writer.record_decision(
                    "config", f"config/{config.version}", "in force"
                )
                return result.Success(config)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("a result is a success or a failure")

    def history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration, oldest first.

        Raises:
            HttpProblem: If the table is unavailable.
        """
        match self._table.scan((peridotsill.CONFIG_HISTORY_PREFIX,)):
            case result.Success(scan):
                found = [
                    peridotsill.from_plain(row.value, peridotsill.Config)
                    for row in scan.rows
                ]
                return tuple(sorted(found, key=lambda config: config.version))
            case _:
                raise _writer.commit_problem(False)


def _check_slot_policy(values: peridotsill.ConfigValues) -> None:
    known = peridotsill_siblings.policy_names()
    if values.slot_policy not in known:
        raise peridotsill.HttpProblem(
            422, f"slot_policy: {values.slot_policy!r} is none of {known}"
        )
