"""Which workspace a caller's key belongs to, by the configuration in force."""

import hashlib
import secrets
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ._types import RoutingConfig, Workspace

ANONYMOUS: Final = Workspace("", ())
_DIGEST_BYTES: Final = 16
_FINGERPRINT_BYTES: Final = 3


class KeyConflict(NamedTuple):
    """A key that several workspaces hold, by its mark."""

    fingerprint: str
    workspaces: Sequence[str]


class KeyTable:
    """Workspaces by key, built anew with each configuration.

    Keys are looked up by a digest under a secret of this process: how long a look-up takes says
    nothing of how much of a guessed key was right.
    """

    def __init__(self, config: RoutingConfig) -> None:
        """Take the keys of ``config``; one that several workspaces hold names none of them."""
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        holders: dict[bytes, dict[str, Workspace]] = {}
        fingerprints: dict[bytes, str] = {}
        for workspace in config.workspaces:
            for key in workspace.keys:
                digest = self._digest(key)
                held = holders.setdefault(digest, {})
                held[workspace.name] = workspace
                if len(held) > 1:
                    fingerprints[digest] = key_fingerprint(key)
        self._by_digest: Mapping[bytes, Workspace] = {
            digest: next(iter(held.values())) for digest, held in holders.items() if len(held) == 1
        }
        self.conflicts: Sequence[KeyConflict] = [
            KeyConflict(fingerprints[digest], sorted(held))
            for digest, held in holders.items()
            if len(held) > 1
        ]

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, None if no single one does."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        content = key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(content, key=self._secret, digest_size=_DIGEST_BYTES).digest()


def key_fingerprint(key: str) -> str:
    """Return what stands for a key in logs: the same at every node, and too short to guess by."""
    content = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(content, digest_size=_FINGERPRINT_BYTES).hexdigest()
