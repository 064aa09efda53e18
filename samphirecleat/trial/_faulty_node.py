"""A node that can be killed or frozen in the process that the trial shares with it."""

import asyncio
import contextlib
from typing import Any

from ..node import Node


class FaultyNode(Node):
    """Adds to a node what the operating system can do to a process."""

    _frozen = False

    async def kill(self) -> None:
        """End as SIGKILL ends a process: nothing more is sent, drained or answered."""
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()
        for transport in self._open_transports():
            transport.abort()
        await self.stop()

    def freeze(self) -> None:
        """Stop every controller, and stop reading connections and datagrams.

        Unlike a process that was sent SIGSTOP, it still takes new connections;
        ``tests/test_processes.py`` covers the real signal.
        """
        self._frozen = True
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        for transport in self._open_transports():
            # A transport that is closing, or paused by flow control, refuses.
            with contextlib.suppress(RuntimeError):
                transport.pause_reading()

    def thaw(self) -> None:
        """Go on after :meth:`freeze`, with whatever view of the world it had."""
        self._frozen = False
        for transport in self._open_transports():
            with contextlib.suppress(RuntimeError):
                transport.resume_reading()
        loop = asyncio.get_running_loop()
        for controller in self._controllers():
            self._tasks.append(loop.create_task(self._supervise(controller)))

    async def _listen(self) -> None:
        await super()._listen()
        take_datagram = self.membership.datagram_received

        def datagram_received(data: bytes, addr: tuple[str | Any, int]) -> None:
            if not self._frozen:
                take_datagram(data, addr)

        # Set on the object, since the transport asks it for each datagram.
        setattr(self.membership, "datagram_received", datagram_received)  # noqa: B010

    def _open_transports(self) -> list[asyncio.Transport]:
        if self._runner is None or self._runner.server is None:
            return []
        connections = self._runner.server.connections
        return [c.transport for c in connections if c.transport is not None]
