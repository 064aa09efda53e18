"""Connections on which an answer that was reset on its way is never taken for whole."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler


def _do_nothing() -> None:
    """Take no note of a connection."""


class StrictResponseHandler(ResponseHandler):
    """Fails the body of an answer without a length when its connection breaks.

    Such an answer ends with its connection. The library takes every end for that one, a
    reset by a target that crashed too, and a caller would get half an answer as a whole.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end of the connection; only a clean one ends an answer."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("reset within the answer"), exc)
        super().connection_lost(exc)


def use_strict_handler(
    connector: aiohttp.TCPConnector, on_connection_made: Callable[[], None] = _do_nothing
) -> aiohttp.TCPConnector:
    """Have a connector make strict connections, and tell ``on_connection_made`` of each.

    The library has no parameter for either.
    """
    loop = asyncio.get_running_loop()

    def make() -> StrictResponseHandler:
        on_connection_made()
        return StrictResponseHandler(loop=loop)

    connector._factory = make  # type: ignore[assignment]
    return connector
