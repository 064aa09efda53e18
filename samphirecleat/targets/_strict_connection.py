"""Connections to servers that may send anything: only well-formed, complete responses pass."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

from ._response_head import ResponseHead


def _do_nothing() -> None:
    """Ignore an event of a connection."""


class StrictResponseHandler(ResponseHandler):
    """Raises an error if a response is malformed or cut by a reset; closes if bytes follow one.

    A response without a length ends when its connection is closed. aiohttp treats every
    close as that end, including the reset by a target that crashed, and a caller would
    receive a truncated response as a complete one.

    Bytes behind a complete response belong to no request. aiohttp keeps them on the idle
    connection and takes them for the response to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_unrequested: Callable[[], None]) -> None:
        """Create the handler of a connection; ``on_unrequested`` is called for such bytes."""
        super().__init__(loop=loop)
        self._on_unrequested = on_unrequested
        self._head = ResponseHead()

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._head = ResponseHead()
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
            super().data_received(data)

    def _receive_head(self, data: bytes) -> None:
        """Parse the head of a response once it is complete; end the connection if it is bad."""
        try:
            approved = self._head.feed(data)
        except BadHttpMessage as error:
            if self.transport is not None:
                self.transport.abort()
            self.set_exception(error)
            return
        if approved:
            super().data_received(approved)

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
) -> aiohttp.TCPConnector:
    """Make a connector use :class:`StrictResponseHandler`, and return the connector.

    ``on_connection_made`` is called for each new connection, ``on_unrequested`` when one is
    closed because bytes followed a response. aiohttp has no parameter for either, so this
    replaces the connector's private protocol factory.
    """
    loop = asyncio.get_running_loop()

    def make_handler() -> StrictResponseHandler:
        on_connection_made()
        return StrictResponseHandler(loop, on_unrequested)

    connector._factory = make_handler  # type: ignore[assignment]
    return connector
