"""aiohttp's side of a connection: parses approved bytes, runs the handler, writes responses."""

import asyncio
from typing import Any, Final, Protocol

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

# The guard bounds heads and closes idle connections, by limits that may change while a connection
# is open. aiohttp's own limits hold for the life of a connection, so none of them is set.
_NO_LIMIT: Final = 1 << 30
_NO_TIMEOUT_S: Final = 365.0 * 86_400.0
# Bytes of a body that aiohttp reads ahead of its handler; it pauses at twice that.
READ_AHEAD_BYTES: Final = 65_536


class ConnectionEvents(Protocol):
    """What a guard learns from the connection that it guards."""

    def on_reading_changed(self) -> None:
        """Called when the connection wants more bytes, or no more for now."""
        ...

    def on_parse_error(self) -> None:
        """Called when the parser met bytes that are no HTTP."""
        ...

    async def on_response(self) -> None:
        """Called when a response was written."""
        ...


class HttpConnection(RequestHandler):
    """A connection that parses only what its guard has approved.

    ``events`` are reported to the guard. ``request`` is the last request that the parser found,
    and ``payload`` its body.
    """

    __slots__ = ("_finished_count", "events", "is_parsing", "payload", "request", "wants_bytes")

    def __init__(self, server: web.Server, loop: asyncio.AbstractEventLoop, **options: Any) -> None:
        """Serve the requests of one connection by the handler of ``server``."""
        # aiohttp's type hints don't allow for the value that turns the access log off.
        no_access_log: Any = None
        super().__init__(
            server,
            loop=loop,
            access_log=no_access_log,
            keepalive_timeout=_NO_TIMEOUT_S,
            max_line_size=_NO_LIMIT,
            max_field_size=_NO_LIMIT,
            max_headers=_NO_LIMIT,
            read_bufsize=READ_AHEAD_BYTES,
            **options,
        )
        self.events: ConnectionEvents | None = None
        self.request: RawRequestMessage | None = None
        self.payload: StreamReader | None = None
        self.wants_bytes = True
        self.is_parsing = False
        self._finished_count = 0

    @property
    def has_requests(self) -> bool:
        """Whether the response to a request is outstanding."""
        return self._request_count > self._finished_count

    @property
    def is_receiving(self) -> bool:
        """Whether the body of the last request is incomplete."""
        return self.payload is not None and not self.payload.is_eof()

    @property
    def is_upgraded(self) -> bool:
        """Whether the last request asked for another protocol, or for a tunnel."""
        return bool(self._upgraded)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and keep the last request that they complete."""
        count = self._request_count
        self.is_parsing = True
        try:
            super().data_received(data)
        finally:
            self.is_parsing = False
        if self._request_count == count:
            return
        message, payload = self._messages[-1]
        if isinstance(message, RawRequestMessage):
            self.request, self.payload = message, payload
        else:
            self._on_parse_error()

    def fail_body(self, error: Exception) -> None:
        """Make the handler that reads the body fail, and close the connection after its answer.

        aiohttp tells a handler nothing about malformed framing, so it would wait without end.
        """
        payload = self.payload
        if payload is not None and not payload.is_eof():
            if self.has_requests:
                payload.set_exception(error)
            payload.feed_eof()
        self.close()

    def _on_parse_error(self) -> None:
        # The error is queued behind the request whose body is malformed; only one is answered.
        if self.is_receiving:
            self.fail_body(web.HTTPBadRequest(text="malformed body"))
        if self.events is not None:
            self.events.on_parse_error()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a failed request.

        aiohttp logs a traceback for each piece of malformed input, which quotes the input.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status)
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, and tell the guard."""
        if isinstance(resp, BaseException):
            # The traceback refers to what was read of the body, and is part of a reference cycle.
            resp.__traceback__ = None
        result = await super().finish_response(request, resp, start_time)
        self._finished_count += 1
        if self.events is not None and self.transport is not None:
            await self.events.on_response()
        return result

    def _pause_transport_reading(self) -> None:
        self.wants_bytes = False
        if self.events is not None:
            self.events.on_reading_changed()

    def _resume_transport_reading(self) -> None:
        self.wants_bytes = True
        if self.events is not None:
            self.events.on_reading_changed()
