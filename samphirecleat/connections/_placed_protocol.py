"""Places for connections of protocols that have limits of their own, such as HTTP/2."""

import asyncio
from typing import cast

from ._places import Places
from ._stage import Stage


class PlacedProtocol(asyncio.Protocol):
    """Gives a connection a place, and passes everything on to its protocol.

    A connection that has sent something is taken for a running one and keeps its place.
    """

    def __init__(self, protocol: asyncio.Protocol, places: Places) -> None:
        """Pass everything on to ``protocol``."""
        self._protocol = protocol
        self._places = places
        self._stage = Stage.NEW
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or close the connection at once if there is none."""
        # The transports of uvloop don't inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._protocol.connection_made(transport)
        now_s = asyncio.get_running_loop().time()
        if not self._places.enter(self, transport.get_extra_info("peername"), now_s):
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the place."""
        self._places.leave(self, self._stage)
        self._protocol.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass on what was received."""
        if self._stage is Stage.NEW:
            self._places.move(self, Stage.NEW, Stage.RUNNING)
            self._stage = Stage.RUNNING
        self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass on that the other side has closed."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Make the protocol wait with its writes."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Let the protocol go on with its writes."""
        self._protocol.resume_writing()

    def evict(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def progressed_at_s(self, now_s: float) -> float:
        """Return the present time: a connection that has sent something is not evicted."""
        return now_s
