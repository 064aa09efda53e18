"""Texts that other nodes have in memory, asked for and given over the nodes' own addresses."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import aiohttp
import msgspec

from ..blackboard import Member
from ._answers import ANSWER_FAULTS

PATH_TEXTS: Final = "/texts"
# A peer has them in memory or not at all; the reader's trainer waits.
FETCH_TIMEOUT_S: Final = 0.4
_KEYS: Final = msgspec.msgpack.Decoder(list[str])
_TEXTS: Final = msgspec.msgpack.Decoder(dict[str, bytes])


class PeerTextClient:
    """Asks the node of an incarnation; fills the product's port for texts of peers."""

    def __init__(
        self, session: aiohttp.ClientSession, members: Callable[[], Sequence[Member]], port: str
    ) -> None:
        """Ask ``members``, which all listen at ``port``."""
        self._session = session
        self._members = members
        self._port = port

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        """Return what a process has of some texts; see :class:`PeerTexts`."""
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
                return _TEXTS.decode(body) if response.status == 200 else {}
        except (*ANSWER_FAULTS, msgspec.MsgspecError):
            return {}


def encode_texts_reply(
    body: bytes, cached: Callable[[Sequence[str]], Mapping[str, bytes]]
) -> bytes:
    """Return the answer to a peer that asks for texts.

    :raises msgspec.MsgspecError: when ``body`` names none.
    """
    return msgspec.msgpack.encode(dict(cached(_KEYS.decode(body))))
