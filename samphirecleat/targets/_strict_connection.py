"""Connections on which a reset never counts as the end of a response."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler


def _do_nothing() -> None:
    """Ignore a new connection."""


class StrictResponseHandler(ResponseHandler):
    """Raises an error in the response body if its connection is reset.

    A response without a length ends when its connection is closed. aiohttp treats every
    close as that end, including the reset by a target that crashed, and a caller would
    receive a truncated response as a complete one.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection; only a clean close ends a response."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset during the response"), exc
            )
        super().connection_lost(exc)


def use_strict_handler(
    connector: aiohttp.TCPConnector, on_connection_made: Callable[[], None] = _do_nothing
) -> aiohttp.TCPConnector:
    """Make a connector use :class:`StrictResponseHandler`, and return the connector.

    ``on_connection_made`` is called for each new connection. aiohttp has no parameter for
    either, so this replaces the connector's private protocol factory.
    """
    loop = asyncio.get_running_loop()

    def make_handler() -> StrictResponseHandler:
        on_connection_made()
        return StrictResponseHandler(loop=loop)

    connector._factory = make_handler  # type: ignore[assignment]
    return connector
