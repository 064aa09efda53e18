"""Reports of targets over connections that have gone silent."""

import asyncio

import aiohttp

from samphirecleat.blackboard import TargetView
from samphirecleat.standins import StandInPlainService
from samphirecleat.targets import TargetClient


def test_a_silent_kept_alive_connection_takes_no_target_out_of_routing() -> None:
    """A switch loses the state of the kept-alive connection to a healthy target.

    If the target counted as unreachable, it would get no work until its next report. A
    switch that loses all its connections would affect all targets of a service at once.
    """

    async def scenario() -> None:
        service = StandInPlainService("cotizador", "z")
        await service.start()
        fresh = aiohttp.TCPConnector(force_close=True)
        async with (
            aiohttp.ClientSession() as session,
            aiohttp.ClientSession(connector=fresh) as fresh_session,
        ):
            client = TargetClient(
                session,
                fresh_session,
                progress_timeout_s=0.1,
                connect_timeout_s=0.3,
                probe_timeout_s=0.3,
            )
            target = TargetView(service.address, "cotizador", "z")
            assert (await client.fetch_report(target, 0.0)).usable
            service.silence_open_connections()
            assert (await client.fetch_report(target, 0.0)).usable
            await service.stop()
            assert not (await client.fetch_report(target, 0.0)).usable

    asyncio.run(scenario())
