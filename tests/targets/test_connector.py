"""Connections that the kernel looks after."""

import asyncio
import socket

import aiohttp
import pytest

from samphirecleat.standins import StandInPlainService
from samphirecleat.targets import _connector, make_connector
from samphirecleat.targets._connector import set_keepalive


def test_a_connection_is_probed_by_the_kernel(monkeypatch: pytest.MonkeyPatch) -> None:
    """A switch forgets a connection on which a call waits that may not be repeated.

    Neither end sends anything, so without the kernel's probes its caller would wait
    to the deadline.
    """
    made: list[socket.socket] = []

    def keep(connection: socket.socket, silent_after_s: float) -> socket.socket:
        made.append(set_keepalive(connection, silent_after_s))
        return connection

    async def scenario() -> None:
        service = StandInPlainService("cotizador", "z")
        await service.start()
        async with aiohttp.ClientSession(connector=make_connector(2.5)) as session:
            async with session.get(f"{service.url}/v1/load") as response:
                assert response.status == 200
            (used,) = made
            assert used.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 3
            assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 5_000
        await service.stop()

    monkeypatch.setattr(_connector, "set_keepalive", keep)
    asyncio.run(scenario())
