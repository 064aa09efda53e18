"""Maps API keys to workspaces by the active configuration."""

import hashlib
import secrets
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ._types import RoutingConfig, Workspace

ANONYMOUS: Final = Workspace("", ())
_DIGEST_BYTES: Final = 16
_FINGERPRINT_BYTES: Final = 3


class KeyConflict(NamedTuple):
    """A key that is assigned to several workspaces, identified by its fingerprint."""

    fingerprint: str
    workspaces: Sequence[str]


class KeyTable:
    """Workspaces by API key, rebuilt for each configuration.

    Keys are looked up by a digest keyed with a secret of this process, so that the lookup time
    doesn't reveal how much of a guessed key is correct.
    """

    def __init__(self, config: RoutingConfig) -> None:
        """Index the keys of ``config``; a key of several workspaces maps to none of them."""
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        owners_by_digest: dict[bytes, dict[str, Workspace]] = {}
        fingerprints: dict[bytes, str] = {}
        for workspace in config.workspaces:
            for key in workspace.keys:
                digest = self._digest(key)
                owners = owners_by_digest.setdefault(digest, {})
                owners[workspace.name] = workspace
                if len(owners) > 1:
                    fingerprints[digest] = key_mark(key)
        self._by_digest: Mapping[bytes, Workspace] = {
            digest: next(iter(owners.values()))
            for digest, owners in owners_by_digest.items()
            if len(owners) == 1
        }
        self.conflicts: Sequence[KeyConflict] = [
            KeyConflict(fingerprints[digest], sorted(owners))
            for digest, owners in owners_by_digest.items()
            if len(owners) > 1
        ]

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key, None if it has none or several."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        content = key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(content, key=self._secret, digest_size=_DIGEST_BYTES).digest()


def key_mark(key: str) -> str:
    """Return a short fingerprint of a key for logs.

    It is the same on every node, and too short to check guesses of the key against.
    """
    content = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(content, digest_size=_FINGERPRINT_BYTES).hexdigest()
