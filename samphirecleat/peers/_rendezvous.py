"""Rendezvous hashing: every node computes the same ranking of members without communication."""

import hashlib
from collections.abc import Collection, Iterable, Sequence
from functools import lru_cache
from typing import Final

from ..blackboard import Member

HASH_CACHE_SIZE: Final = 4096
RANKING_CACHE_SIZE: Final = 32
_MASK: Final = (1 << 64) - 1


def rank_members(members: Iterable[Member], key: str) -> Sequence[Member]:
    """Return the members that are not leaving, in rendezvous order for ``key``."""
    staying = {member.node_id: member for member in members if not member.leaving}
    return [staying[node_id] for node_id in _rank(tuple(staying), key)]


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def _rank(node_ids: tuple[str, ...], key: str) -> Sequence[str]:
    """Rank nodes; cached, since controllers ask many times a second and nodes change rarely."""
    return sorted(node_ids, key=lambda node_id: rendezvous_weight(node_id, key), reverse=True)


class RendezvousOwners:
    """The owner (first-ranked node) of many keys, updated incrementally as nodes change.

    Only the keys that a change can affect are recomputed: with 600 keys and 390 nodes, a
    full recomputation would block the event loop for a fifth of a second.
    """

    def __init__(self) -> None:
        """Create an instance without nodes and keys."""
        self._node_ids: set[str] = set()
        self._owners: dict[str, tuple[int, str]] = {}

    def update(self, node_ids: Collection[str], keys: Collection[str]) -> bool:
        """Set the current nodes and keys; return False if both are unchanged."""
        if self._node_ids == set(node_ids) and self._owners.keys() == set(keys):
            return False
        joined = set(node_ids) - self._node_ids
        left = self._node_ids - set(node_ids)
        self._node_ids = set(node_ids)
        for key in set(self._owners) - set(keys):
            del self._owners[key]
        for key in keys:
            owner = self._owners.get(key)
            if owner is None or owner[1] in left:
                candidates = [
                    (rendezvous_weight(node_id, key), node_id) for node_id in self._node_ids
                ]
            else:
                candidates = [
                    owner,
                    *((rendezvous_weight(node_id, key), node_id) for node_id in joined),
                ]
            if candidates:
                self._owners[key] = max(candidates)
            else:
                self._owners.pop(key, None)
        return True

    def owner(self, key: str) -> str:
        """Return the owner of a key, or an empty string if there is none."""
        return self._owners.get(key, (0, ""))[1]


def rendezvous_weight(node_id: str, key: str) -> int:
    """Return a node's weight for a key, the same on every node.

    The hashes of both names are cached, and each pair is mixed with the SplitMix64
    finalizer, which takes a tenth of the time of hashing each pair.
    """
    mixed = _hash(node_id) ^ _hash(key)
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
    return mixed ^ (mixed >> 31)


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
