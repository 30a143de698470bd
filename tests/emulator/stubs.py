"""Test doubles for scenarios that run parts of a node in one process."""

import unittest.mock

import peridotsill
from returns import result

import peridotsill_jobs
from peridotsill_jobs import _fencing_tokens
from peridotsill_jobs import _grants
from peridotsill_jobs import _links
from peridotsill_jobs import _runner_client
import peridotsill_platform.exceptions
import peridotsill_scheduler


def node_settings():
    """Return the settings of a node that opens no sockets."""
    return peridotsill_jobs.JobNodeSettings(
        node="n",
        domain="z",
        callers="127.0.0.1:1",
        readiness="127.0.0.1:2",
        metrics="127.0.0.1:2",
        platform="none",
        table="",
        vm_service="",
    )


def runner_entry(runner="i-1", **fields):
    """Return a runner's entry in the registry; ``fields`` replace others."""
    defaults = {
        "lifetime": 1,
        "pool": "p",
        "address": "127.0.0.1:1",
        "domain": "z",
        "rack": "r",
        "labels": frozenset(),
        "capacity": peridotsill_scheduler.Resources(
            cores=32, memory_mib=65536
        ),
    }
    return peridotsill_jobs.RunnerEntry(id=runner, **{**defaults, **fields})


def runner_tokens(runner="i-1"):
    """Return the tokens of calls to a runner by the first holder."""
    epoch = _fencing_tokens.TOKENS_PER_EPOCH
    return _fencing_tokens.FencingTokens(epoch=epoch).of_runner(runner)


def runner_link(lease, max_lease_seconds, entry=None, **parts):
    """Return a link to a runner, whose calls get no answer.

    ``parts`` replace those of its `LinkParts`.
    """
    defaults = {
        "entry": entry or runner_entry(),
        "loop": unittest.mock.Mock(),
        "calls": unittest.mock.Mock(),
        "lease": lease,
        "grants": _grants.Grants(
            lease=lease, max_lease_seconds=max_lease_seconds
        ),
        "tokens": runner_tokens(),
        "post": lambda event: None,
    }
    link = _links.RunnerLink(
        parts=_runner_client.LinkParts(**{**defaults, **parts})
    )
    link._poller._client._connection = unittest.mock.Mock()
    return link


class MemoryTable:
    """A table in memory with optimistic concurrency control.

    A commit fails with a conflict if a checked row has another version than
    the transaction expects; a deleted row has version 0. ``committed``
    holds the keys that each commit wrote.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.committed = []

    def commit(self, transaction):
        for check in transaction.checks:
            value, version = self.rows.get(check.key, (None, 0))
            if (0 if value is None else version) != check.version:
                return result.Failure(
                    peridotsill_platform.exceptions.Conflict((check.key,))
                )
        self.version += 1
        self.committed.append([write.key for write in transaction.writes])
        for write in transaction.writes:
            self.rows[write.key] = (write.value, self.version)
        return result.Success(self.version)

    def read(self, keys):
        return result.Success(
            tuple(
                peridotsill.Row(key=k, value=v[0], version=v[1])
                for k, v in self.rows.items()
                if k in keys and v[0] is not None
            )
        )

    def scan(self, prefixes):
        rows = [
            peridotsill.Row(key=key, value=value, version=version)
            for key, (value, version) in self.rows.items()
            if key.startswith(prefixes) and value is not None
        ]
        return result.Success(
            peridotsill.Scan(rows=tuple(rows), revision=self.version)
        )
