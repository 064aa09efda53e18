"""HTTP servers whose connections are guarded, and what all those of a process share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

from aiohttp import web

from ..observe import Observer
from ._byte_budget import ByteBudget
from ._guard import ConnectionGuard, GuardContext
from ._http_connection import HttpConnection
from ._limits import ConnectionLimits
from ._places import Places
from ._refusal_log import RefusalLog
from ._turns import Turns

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Share of the memory of a process for the heads of its requests, and for bodies that nothing else
# counts.
REQUEST_SHARE: Final = 1 / 8


class SharedLimits(NamedTuple):
    """What the listeners of a process share: a limit at one of them would not bound the process."""

    log: RefusalLog
    places: Places
    turns: Turns
    budget: ByteBudget


def make_shared_limits(
    max_connections: int, request_bytes: int, observer: Observer
) -> SharedLimits:
    """Return limits of a process to ``max_connections`` and ``request_bytes``.

    Requires a running event loop.
    """
    log = RefusalLog(observer)
    return SharedLimits(
        log,
        Places(max_connections, log, observer),
        Turns(),
        ByteBudget(request_bytes, asyncio.get_running_loop().time),
    )


class ConnectionFactory:
    """Makes the protocol of each new connection to a listener."""

    def __init__(
        self,
        shared: SharedLimits,
        limits: Callable[[], ConnectionLimits],
        *,
        counts_bodies: bool = True,
        **options: Any,
    ) -> None:
        """Ask ``limits`` anew for each request; ``options`` go to aiohttp's connections.

        ``counts_bodies`` is False if the handlers themselves bound the memory for bodies.
        """
        self._context = GuardContext(limits, *shared, counts_bodies=counts_bodies)
        self._options = options

    def make(self, server: web.Server) -> ConnectionGuard:
        """Return the guard of a new connection of ``server``."""
        loop = asyncio.get_running_loop()
        return ConnectionGuard(HttpConnection(server, loop, **self._options), self._context)


class GuardedServer(web.Server):
    """An HTTP server whose connections are guarded."""

    def __init__(self, handler: Handler, connections: ConnectionFactory, **options: Any) -> None:
        """Answer requests by ``handler``; ``options`` are those of :class:`web.Server`."""
        super().__init__(handler, **options)
        self._connection_factory = connections

    def __call__(self) -> ConnectionGuard:  # type: ignore[override]
        """Return the protocol of a new connection."""
        return self._connection_factory.make(self)
