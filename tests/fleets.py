"""Nodes and the stand-ins of one deployment over real sockets, for several test packages."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from samphirecleat.trial._deployments import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet


@asynccontextmanager
async def running_fleet(nodes: int) -> AsyncIterator[Fleet]:
    """Start a fleet, wait until every node sees all targets, and stop it after."""
    fleet = Fleet(DEPLOYMENTS["los-aromos"], nodes, seed=5)
    await fleet.start()
    try:
        await until(lambda: is_ready(fleet))
        yield fleet
    finally:
        await fleet.stop()


def is_ready(fleet: Fleet) -> bool:
    """Tell whether every node holds the text and sees all targets and nodes."""
    return all(
        node.board.ready
        and sum(target.usable for target in node.board.targets.values()) == len(fleet.targets)
        and len(node.board.live_members()) == len(fleet.nodes)
        for node in fleet.nodes
    )


async def until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class TcpProxy:
    """Passes TCP connections on to an address, and can cut or silence them."""

    def __init__(self, to_address: str) -> None:
        self._to_address = to_address
        self._frozen = False
        self._links: list[tuple[asyncio.Event, asyncio.StreamWriter, asyncio.StreamWriter]] = []
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
        """Pass nothing more on connections that are open now; new ones work."""
        for silent, _near, _far in self._links:
            silent.set()

    def freeze(self) -> None:
        """Accept connections, and pass nothing on any of them, as a stopped process does."""
        self._frozen = True
        self.stall_connections()

    def abort_connections(self) -> None:
        """Close every connection that is open now."""
        for _silent, near, far in self._links:
            near.transport.abort()
            far.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
        host, port = self._to_address.split(":")
        far_reader, far = await asyncio.open_connection(host, int(port))
        silent = asyncio.Event()
        if self._frozen:
            silent.set()
        self._links.append((silent, near, far))
        for source, sink, back in ((reader, far, False), (far_reader, near, True)):
            task = asyncio.create_task(self._pump(source, sink, silent, back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        silent: asyncio.Event,
        back: bool,
    ) -> None:
        try:
            while data := await source.read(65_536):
                if silent.is_set():
                    await asyncio.Event().wait()
                self.bytes_to_client += len(data) if back else 0
                sink.write(data)
        except ConnectionError:
            return
        finally:
            sink.close()
