"""The HTTP servers for callers and their directory, with the limits of the active configuration."""

import asyncio
from collections.abc import Callable
from functools import lru_cache

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from ..connections import (
    ConnectionFactory,
    ConnectionLimits,
    GuardedServer,
    Handler,
    SharedLimits,
)
from ..serving import CallerLimits, RouteTable


def caller_connection_limits(routes: RouteTable) -> Callable[[], ConnectionLimits]:
    """Return a function that returns the limits of the active configuration of ``routes``."""

    @lru_cache(maxsize=1)
    def to_connection_limits(limits: CallerLimits) -> ConnectionLimits:
        return ConnectionLimits(limits.header_bytes, limits.header_timeout_s, limits.idle_timeout_s)

    return lambda: to_connection_limits(routes.config.limits)


class CallerServer(GuardedServer):
    """Accepts callers' connections; encoded bodies are passed on without being decoded."""

    def __init__(self, handler: Handler, routes: RouteTable, shared: SharedLimits) -> None:
        """Apply the current limits of ``routes`` to each request."""
        connections = ConnectionFactory(
            shared,
            caller_connection_limits(routes),
            counts_bodies=False,
            auto_decompress=False,
        )
        super().__init__(
            handler,
            connections,
            request_factory=self._make_limited_request,
            handler_cancellation=True,
        )
        self._routes = routes

    @property
    def _limits(self) -> CallerLimits:
        return self._routes.config.limits

    def _make_limited_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self._limits.body_bytes,
        )
