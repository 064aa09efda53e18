"""Connections to servers that may send anything: only well-formed, complete responses pass."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import aiohttp
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

from ._response_head import MAX_HEAD_BYTES, ResponseHead

# Bytes of a chunked body that may arrive without any data: sizes, extensions, trailers.
MAX_FRAMING_BYTES: Final = MAX_HEAD_BYTES


def _do_nothing() -> None:
    """Ignore an event of a connection."""


class ResponseFramingError(aiohttp.ClientError):
    """A body was cut off because its framing has no end."""


class StrictResponseHandler(ResponseHandler):
    """Raises an error if a response is malformed or cut by a reset; closes if bytes follow one.

    A response without a length ends when its connection is closed. aiohttp treats every
    close as that end, including the reset by a target that crashed, and a caller would
    receive a truncated response as a complete one.

    Bytes behind a complete response belong to no request. aiohttp keeps them on the idle
    connection and takes them for the response to the next request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_unrequested: Callable[[], None],
        on_malformed: Callable[[], None],
    ) -> None:
        """Create the handler of a connection.

        ``on_unrequested`` is called when bytes follow a response, ``on_malformed`` when bytes are
        no response.
        """
        super().__init__(loop=loop)
        self._on_unrequested = on_unrequested
        self._on_malformed = on_malformed
        self._head = ResponseHead()
        self._framing_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._head = ResponseHead()
        self._framing_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the connection; close it if they follow a complete response.

        Before the first request, aiohttp keeps them as the beginning of the response to it.
        """
        if not data or self._parser is None:
            super().data_received(data)
        elif not self._head.is_complete:
            self._receive_head(data)
        elif self._payload is None or self._payload.is_eof():
            self._on_unrequested()
            self.close()
        else:
            self._receive_body(data, self._payload)

    def _receive_head(self, data: bytes) -> None:
        """Parse the head of a response once it is complete; end the connection if it is bad."""
        try:
            approved = self._head.feed(data)
        except BadHttpMessage as error:
            self._head = ResponseHead()
            self._on_malformed()
            self.abort()
            self.set_exception(error)
            return
        if approved:
            super().data_received(approved)

    def _receive_body(self, data: bytes, payload: StreamReader) -> None:
        """Parse a part of a body; end the connection if its framing has no end."""
        total_bytes = payload.total_bytes
        super().data_received(data)
        if payload.total_bytes > total_bytes or payload.is_eof():
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._on_malformed()
            self.abort()
            payload.set_exception(ResponseFramingError("the framing of the body has no end"))

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """End the response with an error.

        The tracebacks of a parser's error refer to what was received, and are parts of reference
        cycles that can stay in memory for long.
        """
        for error in (exc, *cause):
            error.__traceback__ = None
        super().set_exception(exc, *cause)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection; only a clean close ends a response."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset during the response"), exc
            )
        super().connection_lost(exc)


def use_strict_handler(
    connector: aiohttp.TCPConnector,
    on_connection_made: Callable[[], None] = _do_nothing,
    on_unrequested: Callable[[], None] = _do_nothing,
    on_malformed: Callable[[], None] = _do_nothing,
) -> aiohttp.TCPConnector:
    """Make a connector use :class:`StrictResponseHandler`, and return the connector.

    ``on_connection_made`` is called for each new connection, ``on_unrequested`` when one is
    closed because bytes followed a response, ``on_malformed`` when one is closed because of bytes
    that are no response. aiohttp has no parameter for them, so this replaces the connector's
    private protocol factory.
    """
    loop = asyncio.get_running_loop()

    def make_handler() -> StrictResponseHandler:
        on_connection_made()
        return StrictResponseHandler(loop, on_unrequested, on_malformed)

    connector._factory = make_handler  # type: ignore[assignment]
    return connector
