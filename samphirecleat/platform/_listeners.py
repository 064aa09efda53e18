"""The addresses at which a node listens, opened one by one and closed together."""

from typing import Final

from aiohttp import web

from ..observe import Observer

SHUTDOWN_S: Final = 0.2
BACKLOG: Final = 1024


class Listeners:
    """HTTP servers of one node."""

    def __init__(self, observer: Observer) -> None:
        """Start without any."""
        self._words = observer.log("node")
        self._runners: list[web.ServerRunner] = []

    async def open(self, address: str, server: web.Server) -> None:
        """Listen at ``IP:PORT``.

        :raises OSError: when the address can't be had.
        """
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_S)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
        self._runners.append(runner)

    async def open_if_free(self, address: str, server: web.Server) -> None:
        """Listen at an address that the node can do without."""
        try:
            await self.open(address, server)
        except OSError as error:
            self._words.warning("no metrics at %s: %s", address, error)

    async def close(self) -> None:
        """Close every server and its connections."""
        for runner in self._runners:
            await runner.cleanup()
