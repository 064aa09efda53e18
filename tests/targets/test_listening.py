"""Whether a target that closed a connection still takes new ones."""

import asyncio
import socket

import pytest

from samphirecleat.targets import is_listening


def test_a_server_that_takes_connections_is_listening_and_one_that_ended_is_not() -> None:
    async def body() -> None:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        assert await is_listening(f"{host}:{port}")
        server.close()
        await server.wait_closed()
        assert not await is_listening(f"{host}:{port}")

    asyncio.run(body())


def test_a_path_that_is_silent_says_nothing_of_the_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that is cut off answers nothing, and its process may well run on."""

    async def silent(*_where: object) -> None:
        await asyncio.Event().wait()

    async def broken(*_where: object) -> None:
        raise OSError(socket.EAI_AGAIN, "unreachable")

    async def body() -> None:
        for connect in (silent, broken):
            monkeypatch.setattr(asyncio, "open_connection", connect)
            assert await is_listening("127.0.0.1:9")

    asyncio.run(body())
