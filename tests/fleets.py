"""Test helpers: a fleet of nodes and stand-ins over real sockets, and a faulty TCP proxy."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from samphirecleat.trial._deployments import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet


@asynccontextmanager
async def running_fleet(nodes: int) -> AsyncIterator[Fleet]:
    """Start a fleet, yield it once every node sees all targets, and stop it afterwards."""
    fleet = Fleet(DEPLOYMENTS["los-aromos"], nodes, seed=5)
    await fleet.start()
    try:
        await until(lambda: is_ready(fleet))
        yield fleet
    finally:
        await fleet.stop()


def is_ready(fleet: Fleet) -> bool:
    """Return whether every node has the service text and sees all targets and nodes."""
    return all(
        node.board.ready
        and sum(target.usable for target in node.board.targets.values()) == len(fleet.targets)
        and len(node.board.live_members()) == len(fleet.nodes)
        for node in fleet.nodes
    )


async def until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait until ``condition`` holds; raise TimeoutError after ``timeout_s`` seconds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class TcpProxy:
    """Forwards TCP connections to an address and can abort or stall them."""

    def __init__(self, target_address: str) -> None:
        self._target_address = target_address
        self._frozen = False
        self._connections: list[
            tuple[asyncio.Event, asyncio.StreamWriter, asyncio.StreamWriter]
        ] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.bytes_to_client = 0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        self.abort_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stall_connections(self) -> None:
        """Stop forwarding on the open connections; new connections work."""
        for passes, _client_writer, _server_writer in self._connections:
            passes.clear()

    def freeze(self) -> None:
        """Accept connections but forward nothing, like a process stopped by SIGSTOP."""
        self._frozen = True
        self.stall_connections()

    def thaw(self) -> None:
        """Forward again, and first what was received meanwhile, as after SIGCONT."""
        self._frozen = False
        for passes, _client_writer, _server_writer in self._connections:
            passes.set()

    def abort_connections(self) -> None:
        """Abort all open connections."""
        for _passes, client_writer, server_writer in self._connections:
            client_writer.transport.abort()
            server_writer.transport.abort()

    async def _accept(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target_address.split(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        passes = asyncio.Event()
        if not self._frozen:
            passes.set()
        self._connections.append((passes, client_writer, server_writer))
        for source, sink, to_client in (
            (client_reader, server_writer, False),
            (server_reader, client_writer, True),
        ):
            task = asyncio.create_task(self._pump(source, sink, passes, to_client))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        passes: asyncio.Event,
        to_client: bool,
    ) -> None:
        try:
            while data := await source.read(65_536):
                await passes.wait()
                self.bytes_to_client += len(data) if to_client else 0
                sink.write(data)
        except ConnectionError:
            return
        finally:
            sink.close()
