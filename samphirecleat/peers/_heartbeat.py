"""The codec of datagrams between nodes: msgpack, authenticated with the shared key."""

import hashlib
import hmac
from typing import Final

import msgspec

from .._decoding import MalformedError, decode_msgpack
from ._messages import Message

DIGEST_BYTES: Final = 16


class HeartbeatError(MalformedError):
    """A datagram that is malformed or was not signed with the shared key."""


class HeartbeatCodec:
    """Packs and unpacks datagrams, each prefixed with a keyed digest of its payload.

    Messages are authenticated but not encrypted.
    """

    def __init__(self, shared_key: str) -> None:
        """Sign with ``shared_key``."""
        self._key = hashlib.blake2b(shared_key.encode(), digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def pack(self, message: Message) -> bytes:
        """Encode and sign a message."""
        # An empty ``crashes`` is omitted: nodes of a version without that field can't decode it.
        payload = self._encoder.encode(message if message.crashes else message[:-1])
        return self._sign(payload) + payload

    def unpack(self, datagram: bytes) -> Message:
        """Verify and decode a datagram.

        :raises HeartbeatError: if it is not signed with the shared key, or does not contain
            a message with at least one row.
        """
        digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._sign(payload)):
            raise HeartbeatError("the datagram's signature does not match")
        try:
            message: Message = decode_msgpack(self._decoder, payload)
        except MalformedError as error:
            raise HeartbeatError(str(error)) from error
        if not message.rows:
            raise HeartbeatError("the message has no rows")
        return message

    def _sign(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()
