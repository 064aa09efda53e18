"""Answers without a length: whole when their connection is closed, never when it is reset."""

import asyncio
import socket
import struct

import aiohttp
import pytest

from samphirecleat.targets import make_connector, use_strict_handler

HEAD = b"HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\n"


async def read_answer(*, reset: bool) -> bytes:
    """Ask a server that sends part of a body and ends the connection one way or the other."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"half of it")
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connector = use_strict_handler(make_connector(1.0))
    async with (
        server,
        aiohttp.ClientSession(connector=connector) as session,
        session.get(f"http://127.0.0.1:{port}/") as response,
    ):
        return await response.read()


def test_an_answer_that_is_reset_on_its_way_is_not_whole() -> None:
    """A target crashes within an answer that names no length.

    Passed on as whole, a valeter would see half of a customer's card.
    """
    with pytest.raises(aiohttp.ClientError):
        asyncio.run(read_answer(reset=True))


def test_an_answer_that_ends_with_its_connection_is_whole() -> None:
    assert asyncio.run(read_answer(reset=False)) == b"half of it"
