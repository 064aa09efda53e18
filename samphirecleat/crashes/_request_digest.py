"""What makes two calls the same request: a short digest that survives a new request id."""

import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_BYTES: Final = 12


def request_digest(method: str, host: str, raw_path: str, caller: str, body: bytes) -> bytes:
    """Return the same digest for every sending of one request, another for any other.

    Its method, host, path with query, caller and body count; its id and its headers do not.
    ``caller`` keeps a request apart from the same one of somebody else.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in _parts(method.upper(), host.partition(":")[0].lower(), raw_path, caller):
        digest.update(part)
    digest.update(body)
    return digest.digest()


def _parts(*texts: str) -> Iterable[bytes]:
    """Yield each text behind its length, so that no two lists of texts read alike."""
    for text in texts:
        encoded = text.encode("utf-8", "surrogateescape")
        yield len(encoded).to_bytes(4)
        yield encoded
