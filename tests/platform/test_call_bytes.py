"""Bodies and responses within the byte budget, over loopback sockets with small buffers."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop
from aiohttp import web

from samphirecleat.connections import ByteLease, make_shared_limits
from samphirecleat.errors import RequestError
from samphirecleat.observe import Observer
from samphirecleat.platform._call_bytes import CallBytes
from samphirecleat.platform._front import status_of
from samphirecleat.platform._front_server import CallerServer
from samphirecleat.serving import RouteTable

from .nodes import running_nodes

LIMIT_BYTES = 1_000_000
KERNEL_BYTES = 4_096
STALL_S = 0.4


class Caller:
    """A caller's connection; nothing is read from it unless the test does."""

    def __init__(self, port: int) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        self._socket.connect(("127.0.0.1", port))
        self._socket.setblocking(False)

    async def send(self, path: str, body: bytes = b"", length: int | None = None) -> "Caller":
        """Send a request whose announced length may exceed its body."""
        length = len(body) if length is None else length
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
        await asyncio.get_running_loop().sock_sendall(self._socket, head.encode() + body)
        return self

    async def read(self, size_bytes: int = 65536) -> bytes:
        """Return what has arrived, b"" once the connection is closed."""
        try:
            async with asyncio.timeout(5.0):
                return await asyncio.get_running_loop().sock_recv(self._socket, size_bytes)
        except ConnectionResetError:
            return b""

    async def read_body(self, length: int, slow_bytes: int = 0) -> bytes:
        """Return ``length`` bytes of a response's body, the first ``slow_bytes`` of them slowly."""
        received = b""
        while len(received.partition(b"\r\n\r\n")[2]) < length:
            is_slow = len(received) < slow_bytes
            piece = await self.read(4096 if is_slow else 65536)
            if not piece:
                break
            received += piece
            await asyncio.sleep(STALL_S / 10 if is_slow else 0.0)
        return received.partition(b"\r\n\r\n")[2]

    def close(self) -> None:
        self._socket.close()


class Site:
    """A server whose paths say what it does: ``/page/N``, ``/stream/N`` or ``/call/0``."""

    def __init__(self) -> None:
        self.draining = False
        self.observer = Observer("n")
        self.bytes = CallBytes(LIMIT_BYTES, self.observer, lambda: self.draining, STALL_S)
        self.responses: list[web.Response] = []
        self.last_transport: asyncio.Transport | None = None
        self.port = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.last_transport = request.transport
        with self.bytes.lease() as lease:
            try:
                response = await self._respond(request, lease)
            except RequestError as error:
                after = {"Retry-After": f"{error.retry_after_s}"}
                response = web.Response(status=status_of(error), headers=after)
            await self.bytes.deliver(request, response, lease)
        return response

    async def _respond(self, request: web.BaseRequest, lease: ByteLease) -> web.StreamResponse:
        _, kind, size = request.path.split("/")
        if kind == "call":
            return web.Response(body=await self.bytes.read_body(request, lease, "id"))
        if kind == "stream":
            stream = web.StreamResponse()
            await stream.prepare(request)
            for _ in range(int(size) // 1000):
                await self.bytes.write(request, stream, bytes(1000), lease)
            return stream
        self.bytes.admit_read(lease, int(size), "id")
        self.responses.append(web.Response(body=bytes(int(size))))
        return self.responses[-1]

    async def call(self, path: str, body: bytes = b"") -> bytes:
        """Return the beginning of the response to a caller that reads at once."""
        caller = await Caller(self.port).send(path, body)
        response = await caller.read()
        caller.close()
        return response

    async def wait_held(self, condition: Callable[[int], bool]) -> None:
        """Wait until the number of held bytes meets a condition."""
        async with asyncio.timeout(5.0):
            while not condition(self.bytes.budget.held_bytes):
                await asyncio.sleep(0.01)


def run(body: Callable[[Site], Awaitable[None]], kernel_bytes: int = KERNEL_BYTES) -> None:
    """Run a test beside a server whose send buffers in the kernel have a given size."""

    async def run_server() -> None:
        site = Site()
        shared = make_shared_limits(100, LIMIT_BYTES, site.observer)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, kernel_bytes)
        listener.bind(("127.0.0.1", 0))
        site.port = listener.getsockname()[1]
        server = CallerServer(site.handle, RouteTable(), shared)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await web.SockSite(runner, listener).start()
        try:
            await body(site)
        finally:
            await runner.cleanup()

    uvloop.run(run_server())


def test_page_that_nobody_reads_is_counted_then_cut_off() -> None:
    """Guards against callers that never read their pages and use up the memory of a node."""

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send("/page/740000")
        await site.wait_held(lambda held: held > 600_000)
        refused = await site.call("/page/740000")
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: " in refused
        assert (await site.call("/call/0", b"small")).endswith(b"\r\n\r\nsmall")
        await site.wait_held(lambda held: held == 0)
        assert len(await slow.read_body(740_000)) < 740_000
        assert site.observer.counters["bytes_refused"] == 740_000
        assert site.observer.counters["bytes_slow_readers_cut"] == 1
        assert (await site.call("/page/740000")).startswith(b"HTTP/1.1 200")

    run(body)


@pytest.mark.parametrize(
    ("path", "kernel_bytes"),
    [("/page/800000", KERNEL_BYTES), ("/stream/800000", KERNEL_BYTES), ("/page/800000", 200_000)],
)
def test_slow_reader_that_makes_progress_gets_everything(path: str, kernel_bytes: int) -> None:
    """Guards against answers that are cut off although their caller reads them.

    With large buffers, the kernel of the node takes more only once a third of its buffer is free.
    """

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send(path)
        await site.wait_held(lambda held: held > 0)
        site.bytes.budget.hold(LIMIT_BYTES)
        assert len(await slow.read_body(800_000, slow_bytes=150_000)) >= 800_000
        assert site.observer.counters["bytes_slow_readers_cut"] == 0

    run(body, kernel_bytes)


def test_stalled_reader_keeps_its_answer_while_there_is_space() -> None:
    """Guards against callers that are cut off for a pause although nobody needs the memory.

    The node must not refer to a delivered answer any more: an idle connection would keep it.
    """

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send("/page/300000")
        await asyncio.sleep(3.0 * STALL_S)
        assert site.bytes.budget.held_bytes == 300_000
        assert len(await slow.read_body(300_000)) == 300_000
        await site.wait_held(lambda held: held == 0)
        assert site.responses[0].body is None

    run(body)


def test_small_answers_are_counted_until_the_kernel_has_them() -> None:
    """Guards against 64 KB per connection that are held in the transport and not counted."""

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send("/page/30000")
        for _ in range(9):
            await slow.send("/page/30000")
        await asyncio.sleep(0.2)
        assert site.last_transport is not None
        assert 0 < site.last_transport.get_write_buffer_size() < site.bytes.budget.held_bytes + 500
        slow.close()

    run(body)


@pytest.mark.parametrize(
    ("path", "length"), [("/page/300000", 0), ("/stream/300000", 0), ("/call/0", 300_000)]
)
def test_bytes_are_released_when_the_caller_disconnects(path: str, length: int) -> None:
    """Guards against bytes that stay counted after a connection broke off in any direction."""

    async def body(site: Site) -> None:
        caller = await Caller(site.port).send(path, length=length)
        await site.wait_held(lambda held: held > 0)
        caller.close()
        await site.wait_held(lambda held: held == 0)

    run(body)


def test_stalled_readers_do_not_hold_up_a_drain() -> None:
    """Guards against a node that can't stop, and one that stops before answers are delivered."""

    async def body(site: Site) -> None:
        stalled = await Caller(site.port).send("/page/200000")
        reading = await Caller(site.port).send("/page/200000")
        await site.wait_held(lambda held: held == 400_000)
        site.draining = True
        assert len(await reading.read_body(200_000, slow_bytes=60_000)) == 200_000
        await site.wait_held(lambda held: held == 0)
        stalled.close()

    run(body)


def test_body_that_stops_arriving_is_refused_once_space_is_short() -> None:
    """Guards against callers that announce a large body, never send it, and block other calls."""

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send("/call/0", bytes(20_000), length=900_000)
        await site.wait_held(lambda held: held == 900_000)
        assert (await site.call("/call/0", bytes(200_000))).startswith(b"HTTP/1.1 503")
        assert (await slow.read()).startswith(b"HTTP/1.1 503")
        assert site.bytes.budget.held_bytes == 0
        assert (await site.call("/call/0", bytes(200_000))).startswith(b"HTTP/1.1 200")

    run(body)


def test_body_above_the_limit_of_its_request_gets_no_space() -> None:
    """Guards against a body that is received although it will be refused for its size."""

    async def body(site: Site) -> None:
        slow = await Caller(site.port).send("/call/0", b"x", length=40_000_000)
        assert (await slow.read()).startswith(b"HTTP/1.1 413")
        assert site.bytes.budget.held_bytes == 0

    run(body)


def test_refusals_are_summarized_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log line for each refused call, which costs most when load is highest."""

    async def body(site: Site) -> None:
        site.bytes.budget.hold(LIMIT_BYTES + 1)
        for _ in range(50):
            assert (await site.call("/call/0", b"x")).startswith(b"HTTP/1.1 503")
        await asyncio.sleep(1.1)

    with caplog.at_level(logging.WARNING):
        run(body)
    lines = [record.getMessage() for record in caplog.records if "[bytes]" in record.getMessage()]
    assert 1 <= len(lines) <= 2
    assert f"held={LIMIT_BYTES + 1} limit={LIMIT_BYTES}" in lines[-1]


def test_node_refuses_calls_and_reads_beyond_its_memory(tmp_path: Path) -> None:
    """Guards against a node process that ignores ``limits.memoryMb``, and refusals that ran."""

    async def body() -> None:
        tables = "[limits]\nmemoryMb = 1"
        async with running_nodes(1, tmp_path, tables=tables) as (nodes, caller, _store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            _, writer = await asyncio.open_connection(nodes.hosts[0], nodes.front)
            writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\n")
            writer.write(b"Content-Length: 120000\r\n\r\nbegun")
            await asyncio.sleep(0.3)
            big = {"X-Request-Id": "big"}
            refusal = await caller.call(
                "POST", "/plain/1", body=bytes(9000), headers=big, status=503
            )
            assert b'"ran": "no"' in refusal
            await caller.call("GET", "/v1/lots/s", status=503)
            await caller.call("POST", "/plain/1", body=b"x", headers={"X-Request-Id": "small"})
            await caller.call("POST", "/plain/1", body=bytes(9000), headers=big)
            bodies = [seen[3] for seen in targets[1].seen if seen[1] == "/plain/1"]
            assert bodies == [b"x", bytes(9000)]
            metrics = await caller.call("GET", "/metrics", port=nodes.control)
            assert b"bytes_refused " in metrics
            writer.close()

    asyncio.run(body())
