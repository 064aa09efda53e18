"""Heartbeat datagrams: member rows, packed and signed with the shared key."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import Final

import msgspec

from ..blackboard import Member

DIGEST_BYTES: Final = 16
MAX_DATAGRAM_BYTES: Final = 60_000


class HeartbeatError(Exception):
    """A datagram that was not made by a node with the shared key, or is damaged."""


class HeartbeatCodec:
    """Packs and unpacks heartbeats; only nodes with the shared key can do either."""

    def __init__(self, shared_key: str) -> None:
        """Sign with ``shared_key``."""
        self._key = hashlib.blake2b(shared_key.encode(), digest_size=32).digest()
        self._decoder = msgspec.msgpack.Decoder(list[Member])

    def pack(self, members: Sequence[Member]) -> bytes:
        """Return a datagram that carries the rows; the first is the sender's."""
        payload = msgspec.msgpack.encode(list(members))
        return self._sign(payload) + payload

    def unpack(self, datagram: bytes) -> Sequence[Member]:
        """Return the rows of a datagram.

        :raises HeartbeatError: for one that is not signed with the shared key, or
            that does not hold member rows.
        """
        digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._sign(payload)):
            raise HeartbeatError("the signature does not match")
        try:
            rows = self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise HeartbeatError(str(error)) from error
        if not rows:
            raise HeartbeatError("no row")
        return rows

    def _sign(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()
