"""Checks whether a target that closed a connection still accepts new ones."""

import asyncio
import socket

import pytest

from samphirecleat.targets import is_listening


def test_a_server_is_listening_until_it_is_closed() -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        assert await is_listening(f"{host}:{port}")
        server.close()
        await server.wait_closed()
        assert not await is_listening(f"{host}:{port}")

    asyncio.run(scenario())


def test_a_timeout_or_another_error_counts_as_listening(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process on a host that can't be reached may still be running."""

    async def silent(*_arguments: object) -> None:
        await asyncio.Event().wait()

    async def broken(*_arguments: object) -> None:
        raise OSError(socket.EAI_AGAIN, "unreachable")

    async def scenario() -> None:
        for connect in (silent, broken):
            monkeypatch.setattr(asyncio, "open_connection", connect)
            assert await is_listening("127.0.0.1:9")

    asyncio.run(scenario())
