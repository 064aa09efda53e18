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


def test_a_report_without_end_is_cut_and_its_target_gets_no_work() -> None:
    """Guards against a node that keeps all that a target sends as its report."""

    async def scenario() -> None:
        sent_bytes = 0

        async def send_without_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent_bytes
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while True:
                    writer.write(b"[" * 65_536)
                    await writer.drain()
                    sent_bytes += 65_536
            except OSError:
                writer.close()

        server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
        async with server, aiohttp.ClientSession() as session:
            # The timeouts are far beyond what the test takes if the report is cut.
            client = TargetClient(
                session,
                session,
                progress_timeout_s=60.0,
                connect_timeout_s=60.0,
                probe_timeout_s=60.0,
            )
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            async with asyncio.timeout(30.0):
                report = await client.fetch_report(TargetView(address, "cotizador", "z"), 0.0)
        assert not report.usable
        assert sent_bytes < 40_000_000

    asyncio.run(scenario())
