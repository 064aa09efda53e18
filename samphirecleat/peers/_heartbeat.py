"""The codec of the datagrams between nodes: packed, and signed with the shared key."""

import hashlib
import hmac
from typing import Final

import msgspec

from ._messages import Message

DIGEST_BYTES: Final = 16


class HeartbeatError(Exception):
    """A datagram that was not made by a node with the shared key, or is damaged."""


class HeartbeatCodec:
    """Packs and unpacks datagrams; only nodes with the shared key can do either."""

    def __init__(self, shared_key: str) -> None:
        """Sign with ``shared_key``."""
        self._key = hashlib.blake2b(shared_key.encode(), digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def pack(self, message: Message) -> bytes:
        """Return the datagram that carries a message."""
        # Left out where it says nothing: nodes of a version without it can't read it.
        payload = self._encoder.encode(message if message.crashes else message[:-1])
        return self._sign(payload) + payload

    def unpack(self, datagram: bytes) -> Message:
        """Return the message of a datagram.

        :raises HeartbeatError: for one that is not signed with the shared key, or
            that does not hold a message.
        """
        digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._sign(payload)):
            raise HeartbeatError("the signature does not match")
        try:
            message = self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise HeartbeatError(str(error)) from error
        if not message.rows:
            raise HeartbeatError("no row")
        return message

    def _sign(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()
