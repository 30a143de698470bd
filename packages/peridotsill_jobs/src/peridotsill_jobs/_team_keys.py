"""The teams of a configuration, and the team that a key belongs to.

Keys are kept as their SHA-256 digests only, so that no log line, error or
memory dump of the configuration shows one.
"""

import collections.abc
import hashlib

import attrs
import peridotsill.exceptions

from peridotsill_jobs import _ports
import peridotsill_scheduler

# Largest number of problems that are named of one configuration, which keeps
# the log line short if all of its teams are wrong.
_MAX_PROBLEMS = 20


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is kept and looked up.

    Raises:
        InvalidResource: If the key is empty.
    """
    if not key:
        raise peridotsill.exceptions.InvalidResource(("an empty key",))
    return hashlib.sha256(key).digest()


class KeyTable:
    """Finds the team of a key.

    A look-up computes one digest and reads one dictionary, however many
    teams there are.

    Args:
        entries: The teams of a configuration that `check_teams` accepts.
    """

    def __init__(
        self, *, entries: collections.abc.Iterable[_ports.TeamEntry]
    ) -> None:
        self._teams_by_digest = {
            digest: entry.team
            for entry in entries
            for digest in entry.key_digests
        }

    def team_of(self, key: bytes) -> peridotsill_scheduler.Team | None:
        """Return the team of a key that is not empty, None if unknown."""
        return self._teams_by_digest.get(key_digest(key))


def check_teams(
    entries: collections.abc.Sequence[_ports.TeamEntry],
) -> None:
    """Check the teams of a configuration.

    Raises:
        InvalidResource: With the problems, which name teams but no keys.
    """
    problems = [*_name_problems(entries), *_key_problems(entries)]
    for entry in entries:
        problems += _team_problems(entry.team)
    if len(problems) > _MAX_PROBLEMS:
        others = len(problems) - _MAX_PROBLEMS
        problems[_MAX_PROBLEMS:] = [f"and {others} more"]
    if problems:
        raise peridotsill.exceptions.InvalidResource(tuple(problems))


def _name_problems(
    entries: collections.abc.Sequence[_ports.TeamEntry],
) -> collections.abc.Iterator[str]:
    seen: set[str] = set()
    for entry in entries:
        name = entry.team.name
        if not name:
            yield "a team has an empty name"
        elif name in seen:
            yield f"team {name!r}: the name is used twice"
        seen.add(name)


def _key_problems(
    entries: collections.abc.Sequence[_ports.TeamEntry],
) -> collections.abc.Iterator[str]:
    owners: dict[bytes, str] = {}
    for entry in entries:
        name = entry.team.name
        shared_with = {
            owners[digest] for digest in entry.key_digests if digest in owners
        }
        for other in sorted(shared_with):
            yield f"team {name!r}: has a key of team {other!r}"
        owners.update(dict.fromkeys(entry.key_digests, name))


def _team_problems(
    team: peridotsill_scheduler.Team,
) -> collections.abc.Iterator[str]:
    # This is true for NaN, too.
    if not team.weight > 0:
        yield f"team {team.name!r}: its weight {team.weight:g} is not above 0"
    for resource, amount in attrs.asdict(team.allowance).items():
        if amount < 0:
            yield f"team {team.name!r}: its quota of {resource} is negative"
