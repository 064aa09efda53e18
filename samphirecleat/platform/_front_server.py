"""The HTTP server that callers connect to, bounded by the configuration in force."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from ..serving import CallerLimits, RouteTable

LARGEST_HEADER_BYTES: Final = 65536
# Callers reuse connections up to the limit's last moment; a server that closes just then
# would lose the call that crosses its close.
IDLE_MARGIN_S: Final = 1.0

SLOW_HEAD_ANSWER: Final = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class FrontConnection(RequestHandler):
    """A caller's connection that is closed when a request's head is too long in coming.

    Callers that send a byte now and then would otherwise hold connections until a node has no
    descriptor left for those who ask properly. The library bounds only how long a connection
    may say nothing.
    """

    __slots__ = ("_head_timeout_s", "_head_timer")

    def __init__(self, server: web.Server, *, head_timeout_s: float, **options: Any) -> None:
        """Allow ``head_timeout_s`` from the first byte of a head to its last."""
        super().__init__(server, **options)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop the timer with the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read on; the timer runs for as long as a head has begun and is not whole."""
        super().data_received(data)
        if self._reads_no_head():
            self._stop_timer()
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._close_slow)

    def _reads_no_head(self) -> bool:
        return self._current_request is not None or bool(self._messages)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_slow(self) -> None:
        self._head_timer = None
        if self.transport is not None and not self._reads_no_head():
            self.transport.write(SLOW_HEAD_ANSWER)
            self.transport.close()


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
        head_s = self._limits.header_timeout_s
        return FrontConnection(self, head_timeout_s=head_s, loop=self._loop, **options)

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
