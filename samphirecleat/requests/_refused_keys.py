"""Remembers, in constant memory, which keys were answered "not run"."""

import hashlib
from collections.abc import Iterable
from typing import Final

FILTER_BITS: Final = 1 << 19
HASHES: Final = 4


class RefusedKeys:
    """A Bloom filter of the keys of one epoch that may never start any more.

    A refusal that says "not run" is a promise about every copy of the request,
    also one that is still on its way through a slow node: if that copy were
    started, the caller would hold a refusal of a request that ran. A key that was
    added is always found again. A key that was not added may be found too, about
    once in a thousand after 20,000 refusals, and is then refused without need.
    """

    def __init__(self) -> None:
        """Start with no key."""
        self._bits = bytearray(FILTER_BITS // 8)

    def add(self, key: str) -> None:
        """Remember a key."""
        for position in _positions(key):
            self._bits[position // 8] |= 1 << (position % 8)

    def __contains__(self, key: str) -> bool:
        """Tell whether a key was added, or looks as if it had been."""
        return all(self._bits[p // 8] & (1 << (p % 8)) for p in _positions(key))


def _positions(key: str) -> Iterable[int]:
    digest = hashlib.blake2b(key.encode(), digest_size=4 * HASHES).digest()
    for index in range(HASHES):
        yield int.from_bytes(digest[4 * index : 4 * index + 4]) % FILTER_BITS
