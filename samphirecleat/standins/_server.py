"""What every stand-in shares: an HTTP server on loopback with connection faults."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from aiohttp import web

LOOPBACK: Final = "127.0.0.1"
MAX_BODY_BYTES: Final = 8_000_000
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandInServer:
    """Serves a stand-in's routes and can be stopped, crashed, or made silent.

    Subclasses add their routes in :meth:`add_routes`.
    """

    def __init__(self) -> None:
        """Prepare a stand-in that does not listen yet."""
        self._runner: web.AppRunner | None = None
        self._open: set[asyncio.Transport] = set()
        self._silent: set[asyncio.Transport] = set()
        self._never = asyncio.Event()
        self.address = ""

    @property
    def url(self) -> str:
        """The base URL of this stand-in."""
        return f"http://{self.address}"

    @property
    def listening(self) -> bool:
        """Whether it takes connections now."""
        return self._runner is not None

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the stand-in's routes."""
        raise NotImplementedError

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Listen; port 0 takes a free one, which :attr:`address` then names."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._watch])
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
        for transport in list(self._open):
            transport.abort()
        if runner is not None:
            await runner.cleanup()

    def silence_open_connections(self) -> None:
        """Make every connection that is open now silent for good; new ones work."""
        self._silent.update(self._open)

    def is_silent(self, request: web.Request) -> bool:
        """Tell whether nothing may be sent any more on the request's connection."""
        return request.transport in self._silent

    @web.middleware
    async def _watch(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._forget_closed()
            self._open.add(transport)
        if self.is_silent(request):
            await self._never.wait()
        response = await handler(request)
        if self.is_silent(request):
            await self._never.wait()
        return response

    def _forget_closed(self) -> None:
        self._open = {t for t in self._open if not t.is_closing()}
        self._silent &= self._open


class Arrival(NamedTuple):
    """A request for work that reached a target, whether or not it ran."""

    request_id: str
    at_s: float


class StandInTarget(StandInServer):
    """A stand-in that the host list shows as a target of a service.

    The ledger of what reached it is ``arrivals``; ``leaving_since_s`` is when it
    first said itself that it leaves. Fault: ``refuse_next`` requests are refused
    before they start.

    ``next_faults`` names the faults of the requests to come, in their order:
    ``refuse`` (503 before it starts), ``drop`` (connection closed before it
    starts), ``fail`` (500 after it ran), ``lose`` (connection closed in place of
    the answer, after it ran), ``garble`` (an answer that is no JSON), ``truncate``
    (an answer that breaks off), ``silent`` (it runs, and nothing is sent any more).
    """

    def __init__(self, service: str, zone: str) -> None:
        """Stand in for one target of ``service`` in ``zone``."""
        super().__init__()
        self.service = service
        self.zone = zone
        self.leaving = False
        self.leaving_since_s: float | None = None
        self.refuse_next = 0
        self.arrivals: list[Arrival] = []
        self.next_faults: list[str] = []

    async def crash(self) -> None:
        """End everything it runs and stop listening, as a killed process does."""
        await self.stop()

    async def restart(self) -> None:
        """Listen again at the same address, as a new instance."""
        if not self.listening:
            await self.start(int(self.address.rsplit(":", 1)[1]))

    def leave(self) -> None:
        """Say in its own reports, from now on, that it leaves."""
        self.leaving = True
        if self.leaving_since_s is None:
            self.leaving_since_s = time.monotonic()

    def note_arrival(self, request_id: str) -> None:
        """Enter a request in the ledger of what reached this target."""
        self.arrivals.append(Arrival(request_id, time.monotonic()))

    def refuses(self) -> bool:
        """Decide, before anything runs, whether the next request is refused."""
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return True
        return self.leaving

    def take_fault(self) -> str:
        """Return the fault of the request that arrives now, empty for none."""
        return self.next_faults.pop(0) if self.next_faults else ""
