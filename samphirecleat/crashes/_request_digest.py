"""Identifies a request independently of its request ID by a short digest."""

import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_BYTES: Final = 12


def request_digest(method: str, host: str, raw_path: str, caller: str, body: bytes) -> bytes:
    """Return a digest that is equal for repetitions of a request and differs for other requests.

    The digest covers method, host without port, path with query, caller and body, but neither
    request ID nor headers. Including ``caller`` separates identical requests of different callers.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in _length_prefixed(method.upper(), host.partition(":")[0].lower(), raw_path, caller):
        digest.update(part)
    digest.update(body)
    return digest.digest()


def _length_prefixed(*texts: str) -> Iterable[bytes]:
    """Yield each text prefixed with its length, so that different lists never encode alike."""
    for text in texts:
        encoded = text.encode("utf-8", "surrogateescape")
        yield len(encoded).to_bytes(4)
        yield encoded
