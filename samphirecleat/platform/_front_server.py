"""The HTTP server for callers, with the limits of the active configuration."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from ..serving import CallerLimits, RouteTable

MAX_HEADER_BYTES: Final = 65536
# Added to the idle timeout. Callers reuse connections until the last moment of the timeout; a
# server that closes at that moment would lose a request that is already on its way.
KEEPALIVE_MARGIN_S: Final = 1.0

HEADER_TIMEOUT_RESPONSE: Final = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(RequestHandler):
    """A caller's connection, closed if the headers of a request take too long to arrive.

    Otherwise callers that send their headers byte by byte could hold connections until the node
    has no file descriptors left for other callers. aiohttp limits only how long a connection may
    be idle.
    """

    __slots__ = ("_header_timeout_s", "_header_timer")

    def __init__(self, server: web.Server, *, header_timeout_s: float, **options: Any) -> None:
        """Allow ``header_timeout_s`` from the first byte of the headers to the last."""
        super().__init__(server, **options)
        self._header_timeout_s = header_timeout_s
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let writes wait until the kernel has accepted their last byte.

        By default, 64 KB stay in memory after a write has returned, for as long as the caller does
        not read.
        """
        super().connection_made(transport)
        # The transports of uvloop don't inherit from those of asyncio.
        cast(asyncio.Transport, transport).set_write_buffer_limits(high=0)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process received data; the timer runs while headers have begun and are incomplete."""
        super().data_received(data)
        if self._has_request():
            self._cancel_timer()
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._header_timeout_s, self._on_header_timeout
            )

    def _has_request(self) -> bool:
        return self._current_request is not None or bool(self._messages)

    def _cancel_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self.transport is not None and not self._has_request():
            self.transport.write(HEADER_TIMEOUT_RESPONSE)
            self.transport.close()


class CallerServer(web.Server):
    """Accepts callers' connections; encoded bodies are passed on without being decoded."""

    def __init__(self, handler: Handler, routes: RouteTable) -> None:
        """Apply the current limits of ``routes`` to each new connection and request."""
        super().__init__(
            handler,
            request_factory=self._make_limited_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        self._routes = routes

    @property
    def _limits(self) -> CallerLimits:
        return self._routes.config.limits

    def __call__(self) -> RequestHandler:
        """Return the protocol handler of a new connection."""
        idle_s = self._limits.idle_timeout_s + KEEPALIVE_MARGIN_S
        options = {**self._kwargs, "keepalive_timeout": idle_s}
        header_timeout_s = self._limits.header_timeout_s
        return CallerConnection(self, header_timeout_s=header_timeout_s, loop=self._loop, **options)

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
