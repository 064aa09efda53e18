"""Plays a crowd: ``python -m tests.crowds.send IP PORT KIND``.

Prints the largest number of bytes that a client sent on one connection.
"""

import asyncio
import sys

import uvloop

from .kinds import CROWDS, Crowd


async def main() -> None:
    """Run all clients of the crowd at the same time."""
    host, port, kind = sys.argv[1:]
    crowd = CROWDS[kind]
    ends_at_s = asyncio.get_running_loop().time() + crowd.seconds
    clients = [_run_client(crowd, host, int(port), ends_at_s) for _ in range(crowd.clients)]
    print(max(await asyncio.gather(*clients)))


async def _run_client(crowd: Crowd, host: str, port: int, ends_at_s: float) -> int:
    """Return the largest number of bytes sent on one connection."""
    left_bytes = crowd.client_bytes
    most_bytes = 0
    for _ in range(crowd.connections):
        connection = _Connection(crowd, host, port, ends_at_s)
        sent_bytes = await connection.run(left_bytes)
        most_bytes = max(most_bytes, sent_bytes)
        left_bytes -= sent_bytes
        if asyncio.get_running_loop().time() >= ends_at_s:
            break
    return most_bytes


class _Connection:
    """One connection of a client."""

    def __init__(self, crowd: Crowd, host: str, port: int, ends_at_s: float) -> None:
        self._crowd = crowd
        self._address = host, port
        self._ends_at_s = ends_at_s
        self._sent_bytes = 0

    async def run(self, max_bytes: int) -> int:
        """Send until the connection is closed or the crowd ends; return the bytes sent."""
        try:
            async with asyncio.timeout_at(self._ends_at_s):
                await self._send(max_bytes)
        except (TimeoutError, OSError):
            pass
        return self._sent_bytes

    async def _send(self, max_bytes: int) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            reading = asyncio.ensure_future(self._read_all(reader))
            piece = self._crowd.first
            while self._sent_bytes + len(piece) <= max_bytes:
                if self._crowd.reads and reading.done():
                    return
                writer.write(piece)
                await writer.drain()
                self._sent_bytes += len(piece)
                piece = self._crowd.piece
                if not piece:
                    break
                await asyncio.sleep(0)
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _read_all(self, reader: asyncio.StreamReader) -> None:
        """Return once the node closed the connection."""
        if not self._crowd.reads:
            await asyncio.Event().wait()
        while await reader.read(65536):
            pass


uvloop.run(main())
