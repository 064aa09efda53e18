"""Responses without a length: complete if the connection is closed, but not if it is reset."""

import asyncio
import socket
import struct

import aiohttp
import pytest

from samphirecleat.targets import make_connector, use_strict_handler

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\n"


async def fetch_response(*, reset: bool) -> bytes:
    """Fetch from a server that sends a body and then closes or resets the connection."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD + b"half of it")
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connector = use_strict_handler(make_connector(1.0))
    async with (
        server,
        aiohttp.ClientSession(connector=connector) as session,
        session.get(f"http://127.0.0.1:{port}/") as response,
    ):
        return await response.read()


def test_a_response_with_a_reset_connection_is_an_error() -> None:
    """A target crashes during a response without a length.

    If it counted as complete, a valeter would see half of a customer's card.
    """
    with pytest.raises(aiohttp.ClientError):
        asyncio.run(fetch_response(reset=True))


def test_a_response_that_ends_with_a_clean_close_is_complete() -> None:
    assert asyncio.run(fetch_response(reset=False)) == b"half of it"
