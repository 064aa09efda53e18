"""TCP keepalive settings of the connections to targets."""

import asyncio
import socket

import aiohttp
import pytest

from samphirecleat.standins import StandInPlainService
from samphirecleat.targets import _connector, make_connector
from samphirecleat.targets._connector import set_keepalive


def test_a_connection_is_probed_by_the_kernel(monkeypatch: pytest.MonkeyPatch) -> None:
    """A switch loses the state of a connection on which a non-idempotent call waits.

    Neither end sends anything, so without the kernel's probes the caller would wait until
    its deadline.
    """
    opened: list[socket.socket] = []

    def record(connection: socket.socket, probe_after_s: float) -> socket.socket:
        opened.append(set_keepalive(connection, probe_after_s))
        return connection

    async def scenario() -> None:
        service = StandInPlainService("cotizador", "z")
        await service.start()
        async with aiohttp.ClientSession(connector=make_connector(2.5)) as session:
            async with session.get(f"{service.url}/v1/load") as response:
                assert response.status == 200
            (used,) = opened
            assert used.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 3
            assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 5_000
        await service.stop()

    monkeypatch.setattr(_connector, "set_keepalive", record)
    asyncio.run(scenario())
