"""Constant-memory set of the keys that were refused as "not run"."""

import hashlib
from collections.abc import Iterable
from typing import Final

FILTER_BITS: Final = 1 << 19
HASHES: Final = 4


class RefusedKeys:
    """A Bloom filter of the keys of one epoch that must never be started.

    A refusal that says "not run" covers every copy of the request, including one
    still in transit through a slow node: if that copy were started, the caller
    would have been told "not run" about a request that ran. There are no false
    negatives. The false positive rate is about 1 in 1,000 after 20,000 refusals;
    such a key is refused needlessly.
    """

    def __init__(self) -> None:
        """Create an empty filter."""
        self._bits = bytearray(FILTER_BITS // 8)

    def add(self, key: str) -> None:
        """Add a key."""
        for bit in _bit_indexes(key):
            self._bits[bit // 8] |= 1 << (bit % 8)

    def __contains__(self, key: str) -> bool:
        """Return whether a key was added; may be a false positive."""
        return all(self._bits[bit // 8] & (1 << (bit % 8)) for bit in _bit_indexes(key))


def _bit_indexes(key: str) -> Iterable[int]:
    digest = hashlib.blake2b(key.encode(), digest_size=4 * HASHES).digest()
    for index in range(HASHES):
        yield int.from_bytes(digest[4 * index : 4 * index + 4]) % FILTER_BITS
