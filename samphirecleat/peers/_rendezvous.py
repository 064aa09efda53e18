"""Rendezvous hashing: every node ranks the members for a thing alike, without a word."""

import hashlib
from collections.abc import Collection, Iterable, Sequence
from functools import lru_cache
from typing import Final

from ..blackboard import Member

HASHES_KEPT: Final = 4096
RANKINGS_KEPT: Final = 32
_MASK: Final = (1 << 64) - 1


def rank_members(members: Iterable[Member], thing: str) -> Sequence[Member]:
    """Return the members that stay, the one that comes first for ``thing`` first."""
    staying = {member.node_id: member for member in members if not member.leaving}
    return [staying[node_id] for node_id in _rank(tuple(staying), thing)]


@lru_cache(maxsize=RANKINGS_KEPT)
def _rank(node_ids: tuple[str, ...], thing: str) -> Sequence[str]:
    """Rank once for a set of nodes: controllers ask many times a second, it changes seldom."""
    return sorted(node_ids, key=lambda node_id: _weight(node_id, thing), reverse=True)


class RendezvousOwners:
    """The first-ranked node of many things, kept up to date as nodes come and go.

    Only what a change touches is hashed again: with 600 things and 390 nodes,
    ranking everything anew would hold up the loop for a fifth of a second.
    """

    def __init__(self) -> None:
        """Start without nodes and things."""
        self._node_ids: set[str] = set()
        self._owners: dict[str, tuple[int, str]] = {}

    def update(self, node_ids: Collection[str], things: Collection[str]) -> bool:
        """Take the present nodes and things; False when they are the same as before."""
        if self._node_ids == set(node_ids) and self._owners.keys() == set(things):
            return False
        joined = set(node_ids) - self._node_ids
        left = self._node_ids - set(node_ids)
        self._node_ids = set(node_ids)
        for thing in set(self._owners) - set(things):
            del self._owners[thing]
        for thing in things:
            owner = self._owners.get(thing)
            if owner is None or owner[1] in left:
                candidates = [(_weight(node_id, thing), node_id) for node_id in self._node_ids]
            else:
                candidates = [owner, *((_weight(node_id, thing), node_id) for node_id in joined)]
            if candidates:
                self._owners[thing] = max(candidates)
            else:
                self._owners.pop(thing, None)
        return True

    def owner(self, thing: str) -> str:
        """Return the node that comes first for a thing, or an empty text for none."""
        return self._owners.get(thing, (0, ""))[1]


def _weight(node_id: str, thing: str) -> int:
    """Return a node's weight for a thing, the same on every node.

    Both names are hashed once; the pair is mixed by the finalizer of SplitMix64,
    which takes a tenth of the time of hashing each pair.
    """
    mixed = _hash(node_id) ^ _hash(thing)
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
    return mixed ^ (mixed >> 31)


@lru_cache(maxsize=HASHES_KEPT)
def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
