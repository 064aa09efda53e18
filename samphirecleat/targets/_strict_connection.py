"""Connections that keep to their exchanges: a reset ends no response, and no byte follows one."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Statuses from here on are final; those below announce a response that is still to come.
_FIRST_FINAL_STATUS = 200


def _do_nothing() -> None:
    """Ignore an event of a connection."""


class StrictResponseHandler(ResponseHandler):
    """Raises an error if a response is cut by a reset, and closes if bytes follow a response.

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
        self._answered = False

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._answered = False
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of a response."""
        self._answered = data[0].code >= _FIRST_FINAL_STATUS
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the connection; close it if they follow a complete response."""
        if data and self._answered and (self._payload is None or self._payload.is_eof()):
            self._on_unrequested()
            self.close()
            return
        super().data_received(data)

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
