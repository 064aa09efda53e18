"""A guarded server in the test's process, and clients that send raw bytes to it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import uvloop
from aiohttp import web

from samphirecleat.connections import (
    ConnectionFactory,
    ConnectionLimits,
    GuardedServer,
    bind_listener,
    make_shared_limits,
)
from samphirecleat.observe import Observer

# Far longer than a busy machine takes for a test.
LIMITS: Final = ConnectionLimits(head_bytes=1000, head_timeout_s=60.0, idle_timeout_s=60.0)
TIMEOUT_S: Final = 60.0


class Site:
    """A server that answers with method, path and body; ``/slow`` waits until ``go`` is set.

    ``/large`` has an answer of 1 MB. ``/early`` is answered before its body is read. ``begun``
    counts the requests that were begun, ``bodies`` are those that were read.
    """

    def __init__(self, max_connections: int = 100, request_bytes: int = 1_000_000) -> None:
        self.limits = LIMITS
        self.observer = Observer("n")
        self.shared = make_shared_limits(max_connections, request_bytes, self.observer)
        self.go = asyncio.Event()
        self.begun = 0
        self.bodies: list[bytes] = []
        self.port = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.begun += 1
        if request.path == "/early":
            return web.Response(status=404)
        if request.path == "/large":
            return web.Response(body=bytes(1_000_000))
        body = await request.read()
        self.bodies.append(body)
        if request.path == "/slow":
            await self.go.wait()
        return web.Response(body=f"{request.method} {request.raw_path} ".encode() + body)

    async def open(self) -> web.ServerRunner:
        factory = ConnectionFactory(self.shared, lambda: self.limits)
        server = GuardedServer(self.handle, factory, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        listener = bind_listener("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        await web.SockSite(runner, listener).start()
        return runner

    def count(self, reason: str) -> int:
        """Return how many connections were refused for a reason."""
        return self.observer.counters[f"connections_{reason}"]


class Client:
    """One connection to a site."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @staticmethod
    async def connect(site: Site) -> "Client":
        return Client(*await asyncio.open_connection("127.0.0.1", site.port))

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def answer(self) -> tuple[int, bytes]:
        """Return the status and the body of the next response."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        return int(head.split(b" ", 2)[1]), await self._reader.readexactly(length)

    async def is_closed(self) -> bool:
        """Wait until the server closed the connection; return whether it sent nothing before."""
        try:
            return await self._reader.read(1) == b""
        except ConnectionResetError:
            return True

    async def send_until_closed(self, data: bytes) -> None:
        """Send ``data`` again and again until the server closes the connection."""
        while not self._writer.transport.is_closing():
            self._writer.write(data)
            await asyncio.sleep(0.001)
            try:
                await self._writer.drain()
            except ConnectionError:
                return

    def close(self) -> None:
        self._writer.close()


def run(body: Callable[[Site], Awaitable[None]], **options: int) -> None:
    """Run a test beside a site."""

    async def run_site() -> None:
        site = Site(**options)
        runner = await site.open()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await body(site)
        finally:
            await runner.cleanup()

    uvloop.run(run_site())


def head(path: str = "/", size_bytes: int = 0, lines: bytes = b"", method: str = "GET") -> bytes:
    """Return a head with extra ``lines``, filled up to a size."""
    text = f"{method} {path} HTTP/1.1\r\nHost: h\r\n".encode() + lines
    if not size_bytes:
        return text + b"\r\n"
    fill_bytes = size_bytes - len(text) - len(b"X-Fill: \r\n\r\n")
    return text + b"X-Fill: " + b"a" * fill_bytes + b"\r\n\r\n"
