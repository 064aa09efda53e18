"""Base classes of the stand-ins: an HTTP server with connection faults."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from aiohttp import web

LOOPBACK: Final = "127.0.0.1"
MAX_BODY_BYTES: Final = 8_000_000
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandInServer:
    """Serves HTTP routes and can stop, or stop answering on open connections.

    Subclasses register their routes in :meth:`add_routes`.
    """

    def __init__(self) -> None:
        """Create a server that is not listening yet."""
        self._runner: web.AppRunner | None = None
        self._open_transports: set[asyncio.Transport] = set()
        self._silent_transports: set[asyncio.Transport] = set()
        self._never_set = asyncio.Event()
        self.address = ""

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.address}"

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._runner is not None

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes; called at each start."""
        raise NotImplementedError

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Listen on ``host``; port 0 picks a free port, which sets :attr:`address`."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._track_connection])
        self.add_routes(app.router)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        runner, self._runner = self._runner, None
        for transport in list(self._open_transports):
            transport.abort()
        if runner is not None:
            await runner.cleanup()

    def silence_open_connections(self) -> None:
        """Never send anything again on connections open now; new ones work normally."""
        self._silent_transports.update(self._open_transports)

    def is_silent(self, request: web.Request) -> bool:
        """Return whether the connection of a request has been silenced."""
        return request.transport in self._silent_transports

    @web.middleware
    async def _track_connection(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._drop_closed_transports()
            self._open_transports.add(transport)
        if self.is_silent(request):
            await self._never_set.wait()
        response = await handler(request)
        if self.is_silent(request):
            await self._never_set.wait()
        return response

    def _drop_closed_transports(self) -> None:
        self._open_transports = {t for t in self._open_transports if not t.is_closing()}
        self._silent_transports &= self._open_transports


class Arrival(NamedTuple):
    """A request that reached a target, whether or not it ran."""

    request_id: str
    at_s: float


class StandInTarget(StandInServer):
    """Base class of stand-ins that the host list reports as targets of a service.

    ``arrivals`` records every request received; ``leaving_since_s`` is the time at
    which the target first reported that it is leaving, on the monotonic clock. The
    next ``refuse_next`` requests are refused before they run.

    ``next_faults`` lists the faults of the next requests in order: ``refuse`` (503
    before the run), ``drop`` (connection closed before the run), ``fail`` (500 after
    the run), ``lose`` (connection closed without a response after the run),
    ``garble`` (response is not JSON), ``truncate`` (response is cut off), ``silent``
    (the request runs and nothing more is sent).
    """

    def __init__(self, service: str, zone: str) -> None:
        """Create one target of ``service`` in ``zone``."""
        super().__init__()
        self.service = service
        self.zone = zone
        self.leaving = False
        self.leaving_since_s: float | None = None
        self.refuse_next = 0
        self.arrivals: list[Arrival] = []
        self.next_faults: list[str] = []

    async def crash(self) -> None:
        """Abort all runs and stop listening, as a killed process does."""
        await self.stop()

    async def restart(self) -> None:
        """Listen again at the same address as a new instance."""
        if not self.listening:
            await self.start(int(self.address.rsplit(":", 1)[1]))

    def leave(self) -> None:
        """Report from now on that the target is leaving."""
        self.leaving = True
        if self.leaving_since_s is None:
            self.leaving_since_s = time.monotonic()

    def note_arrival(self, request_id: str) -> None:
        """Record a request that reached this target."""
        self.arrivals.append(Arrival(request_id, time.monotonic()))

    def refuses(self) -> bool:
        """Return whether to refuse the current request before it runs.

        True while ``refuse_next`` requests remain, which this counts down, and while
        the target is leaving.
        """
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return True
        return self.leaving

    def take_fault(self) -> str:
        """Remove and return the fault for the current request, empty for none."""
        return self.next_faults.pop(0) if self.next_faults else ""
