"""A node in the trial's process that can be killed or frozen."""

import asyncio
import contextlib
from typing import Any

from ..node import Node


class FaultyNode(Node):
    """Simulates on a node what signals do to a process."""

    _frozen = False

    async def kill(self) -> None:
        """Stop as after SIGKILL: nothing more is sent, drained or answered."""
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()
        for transport in self._open_transports():
            transport.abort()
        await self.stop()

    def freeze(self) -> None:
        """Stop all controllers and stop reading from connections and datagrams.

        Unlike a process after SIGSTOP, the node still accepts new connections;
        ``tests/test_processes.py`` covers the real signal.
        """
        self._frozen = True
        self._supervisor.cancel()
        for transport in self._open_transports():
            # Raised if the transport is closing or already paused by flow control.
            with contextlib.suppress(RuntimeError):
                transport.pause_reading()

    def thaw(self) -> None:
        """Resume after :meth:`freeze` with the state from before."""
        self._frozen = False
        for transport in self._open_transports():
            with contextlib.suppress(RuntimeError):
                transport.resume_reading()
        self._start_controllers()

    async def _listen(self) -> None:
        await super()._listen()
        handle_datagram = self.membership.datagram_received

        def datagram_received(data: bytes, addr: tuple[str | Any, int]) -> None:
            if not self._frozen:
                handle_datagram(data, addr)

        # The transport looks the method up on the object for each datagram.
        setattr(self.membership, "datagram_received", datagram_received)  # noqa: B010

    def _open_transports(self) -> list[asyncio.Transport]:
        if self._runner is None or self._runner.server is None:
            return []
        connections = self._runner.server.connections
        return [c.transport for c in connections if c.transport is not None]
