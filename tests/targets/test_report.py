"""What a target reports, over connections that fall silent."""

import asyncio

import aiohttp

from samphirecleat.blackboard import TargetView
from samphirecleat.standins import StandInPlainService
from samphirecleat.targets import TargetClient


def test_a_silent_kept_connection_takes_no_target_out_of_routing() -> None:
    """Something between node and target forgets the kept connection to a sound target.

    Taken for unreachable, it would get no work until the next report, and all of
    its service's targets at once when a switch forgets them all.
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
