"""Rendezvous hashing: every node ranks the members for a thing alike, without a word."""

import hashlib
from collections.abc import Iterable, Sequence

from ..blackboard import Member


def rank_members(members: Iterable[Member], thing: str) -> Sequence[Member]:
    """Return the members that stay, the one that comes first for ``thing`` first."""
    staying = [member for member in members if not member.leaving]
    return sorted(staying, key=lambda member: _weight(member.node_id, thing), reverse=True)


def _weight(node_id: str, thing: str) -> bytes:
    return hashlib.blake2b(f"{node_id}\0{thing}".encode(), digest_size=8).digest()
