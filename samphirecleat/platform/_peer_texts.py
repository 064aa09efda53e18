"""Exchange of cached texts between nodes over their control addresses."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import aiohttp
import msgspec

from .._decoding import decode_msgpack
from ..blackboard import Member
from ._answers import RESPONSE_ERRORS

PATH_TEXTS: Final = "/texts"
# A peer responds from memory, and the trainer that reads the texts is waiting.
FETCH_TIMEOUT_S: Final = 0.4
_KEYS_DECODER: Final = msgspec.msgpack.Decoder(list[str])
_TEXTS_DECODER: Final = msgspec.msgpack.Decoder(dict[str, bytes])


class PeerTextClient:
    """Fetches texts from the node of an incarnation; implements :class:`PeerTexts`."""

    def __init__(
        self, session: aiohttp.ClientSession, members: Callable[[], Sequence[Member]], port: str
    ) -> None:
        """Fetch from ``members``, which all listen at ``port``."""
        self._session = session
        self._members = members
        self._port = port

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        """Return those of some texts that a process has cached; see :class:`PeerTexts`."""
        hosts = [
            member.peer_address.rpartition(":")[0]
            for member in self._members()
            if member.incarnation == incarnation
        ]
        if not hosts:
            return {}
        try:
            async with (
                asyncio.timeout(FETCH_TIMEOUT_S),
                self._session.post(
                    f"http://{hosts[0]}:{self._port}{PATH_TEXTS}", data=msgspec.msgpack.encode(keys)
                ) as response,
            ):
                body = await response.read()
                return decode_texts(body) if response.status == 200 else {}
        except RESPONSE_ERRORS:
            return {}


def encode_texts_reply(
    body: bytes, cached: Callable[[Sequence[str]], Mapping[str, bytes]]
) -> bytes:
    """Return the response to a peer's request for texts.

    :raises MalformedError: when ``body`` is malformed.
    """
    return msgspec.msgpack.encode(dict(cached(decode_msgpack(_KEYS_DECODER, body))))


def decode_texts(body: bytes) -> Mapping[str, bytes]:
    """Return the compressed texts in a peer's response, by key.

    :raises MalformedError: when ``body`` is malformed.
    """
    texts: Mapping[str, bytes] = decode_msgpack(_TEXTS_DECODER, body)
    return texts
