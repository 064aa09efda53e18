"""HTTP servers whose connections are guarded, and what all those of a process share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web

from ..observe import Observer
from ._guard import ConnectionGuard, GuardContext
from ._http_connection import HttpConnection
from ._limits import ConnectionLimits
from ._places import Places
from ._refusal_log import RefusalLog
from ._turns import Turns

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class SharedLimits(NamedTuple):
    """What the listeners of a process share: a limit at one of them would not bound the process."""

    log: RefusalLog
    places: Places
    turns: Turns


def make_shared_limits(max_connections: int, observer: Observer) -> SharedLimits:
    """Return limits of a process to ``max_connections``."""
    log = RefusalLog(observer)
    return SharedLimits(
        log,
        Places(max_connections, log, observer),
        Turns(),
    )


class ConnectionFactory:
    """Makes the protocol of each new connection to a listener."""

    def __init__(
        self,
        shared: SharedLimits,
        limits: Callable[[], ConnectionLimits],
        **options: Any,
    ) -> None:
        """Ask ``limits`` anew for each request; ``options`` go to aiohttp's connections."""
        self._context = GuardContext(limits, *shared)
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
