"""Rendezvous hashing, and digests for keys of the table.

With rendezvous hashing all nodes that know the same members choose the
same one for a subject, without communicating.
"""

import hashlib
import typing


def rendezvous(subject: str, members: typing.Iterable[str]) -> str | None:
    """Return the member with the highest hash; None if there are none."""
    return max(
        members, key=lambda member: _score(subject, member), default=None
    )


def _score(subject: str, member: str) -> bytes:
    text = f"{subject}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def short_digest(text: str) -> str:
    """Return a digest of ``text`` that can be part of a table key."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
