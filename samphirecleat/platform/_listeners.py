"""Opens the HTTP listeners of a node, and closes them together."""

import asyncio
from typing import Final

from aiohttp import web

from ..connections import bind_listener
from ..observe import Observer

SHUTDOWN_TIMEOUT_S: Final = 0.2
BACKLOG: Final = 1024


class Listeners:
    """The HTTP servers of a node."""

    def __init__(self, observer: Observer) -> None:
        """Start without a listener."""
        self._logger = observer.log("node")
        self._runners: list[web.ServerRunner] = []

    async def open(self, address: str, server: web.Server) -> None:
        """Listen at ``IP:PORT``.

        :raises OSError: if the address can't be bound.
        """
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        try:
            await web.SockSite(runner, bind_listener(host, int(port)), backlog=BACKLOG).start()
        except OSError:
            await runner.cleanup()
            raise
        self._runners.append(runner)

    async def open_optional(self, address: str, server: web.Server, purpose: str) -> None:
        """Listen at an address, or log a warning with the purpose if it can't be bound."""
        try:
            await self.open(address, server)
        except OSError as error:
            self._logger.warning("failed to listen for %s at %s: %s", purpose, address, error)

    async def close(self) -> None:
        """Close all servers and their connections, all at the same time.

        Each of them waits a moment for the answers that it owes.
        """
        closing = [runner.cleanup() for runner in self._runners]
        for result in await asyncio.gather(*closing, return_exceptions=True):
            if isinstance(result, Exception):
                self._logger.error("failed to close a listener: %r", result, exc_info=result)
