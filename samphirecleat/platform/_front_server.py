"""The HTTP server that callers connect to, bounded by the configuration in force."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from ..serving import CallerLimits, RouteTable

LARGEST_HEADER_BYTES: Final = 65536
# Callers reuse connections up to the limit's last moment; a server that closes just then
# would lose the call that crosses its close.
IDLE_MARGIN_S: Final = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class FrontServer(web.Server):
    """Takes callers' connections; bodies come as they were sent, encoded ones too."""

    def __init__(self, handler: Handler, routes: RouteTable) -> None:
        """Read the limits from ``routes`` for each connection and request."""
        super().__init__(
            handler,
            request_factory=self._bounded_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=LARGEST_HEADER_BYTES,
            max_field_size=LARGEST_HEADER_BYTES,
            auto_decompress=False,
        )
        self._routes = routes

    @property
    def _limits(self) -> CallerLimits:
        return self._routes.config.limits

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        idle_s = self._limits.idle_timeout_s + IDLE_MARGIN_S
        options = {**self._kwargs, "keepalive_timeout": idle_s}
        return RequestHandler(self, loop=self._loop, **options)

    def _bounded_request(
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
