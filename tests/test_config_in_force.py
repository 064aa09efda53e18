"""The configuration through real nodes: outages, trims, replaced hosts, a node cut off."""

import asyncio

import aiohttp

from samphirecleat._report_tables import report_tables
from samphirecleat.bench._config import UNREACHABLE_URL, ConfigFleet
from samphirecleat.config import NO_REVISION
from samphirecleat.settings import Timings

TIMINGS = Timings(
    heartbeat_s=0.1, suspect_after_s=1.0, host_list_s=0.2, log_wait_s=0.3, log_retention_s=4.0
)


def test_a_node_cut_off_from_the_log_follows_its_peers() -> None:
    """One host cannot reach the log from its start; the other nodes can."""

    async def work() -> None:
        async with ConfigFleet(1, TIMINGS) as fleet:
            await fleet.start_node("bilbao-a")
            await fleet.start_node("bilbao-b", log_url=UNREACHABLE_URL)
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            await fleet.until_in_force(await fleet.publish(revision))

    asyncio.run(work())


def test_an_outage_longer_than_the_retention_loses_nothing() -> None:
    """The log trims the accepted text in an outage, while every host is replaced in turn.

    Without the peers the text would be gone; without a new statement in the log, the
    next node to start alone would hold none.
    """

    async def work() -> None:
        async with ConfigFleet(2, TIMINGS, retention_s=4.0) as fleet:
            first = [await fleet.start_node("bilbao-a"), await fleet.start_node("bilbao-b")]
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            fleet.log.down = True
            for node in first:
                await fleet.start_node(node.settings.zone)
                await fleet.until_in_force(revision)
                await fleet.stop_node(node)
            fleet.log.retention_s = 0.0
            fleet.log.down = False
            await _until(lambda: _trimmed(fleet))
            fleet.log.retention_s = 3600.0
            await _until(lambda: _restated(fleet, revision))
            for node in list(fleet.nodes):
                await fleet.stop_node(node)
            alone = await fleet.start_node("bilbao-a")
            await fleet.until_in_force(revision)
            assert alone.board.config.certain
            assert alone.board.config.revision == revision
            await fleet.until_in_force(await fleet.publish(revision))

    asyncio.run(work())


def test_the_log_never_holds_a_stream_without_the_state_in_force() -> None:
    """Records live for four seconds only, and nobody publishes for longer than that."""

    async def work() -> None:
        async with ConfigFleet(3, TIMINGS, retention_s=4.0) as fleet:
            for _ in range(3):
                await fleet.start_node("bilbao-a")
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            await _until(lambda: _restatements(fleet) >= 4)
            for node in list(fleet.nodes):
                await fleet.stop_node(node)
            alone = await fleet.start_node("bilbao-a")
            await fleet.until_in_force(revision)
            assert alone.board.config.certain

    asyncio.run(work())


def test_the_report_of_real_nodes_is_shown_whole() -> None:
    async def work() -> str:
        async with ConfigFleet(4, TIMINGS) as fleet:
            nodes = [await fleet.start_node("bilbao-a") for _ in range(2)]
            await fleet.until_in_force(await fleet.publish(NO_REVISION))
            await _until(lambda: all(len(node.board.live_members()) == 2 for node in nodes))
            url = f"http://{nodes[0].settings.http_address}/v1/report"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return report_tables(await response.json())

    rows = [line.split() for line in asyncio.run(work()).splitlines()]
    assert ["n1", "bilbao-a", "0", "2"] in rows
    assert ["n2", "bilbao-a", "0", "2"] in rows


async def _until(condition) -> None:
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.02)


def _payloads(fleet: ConfigFleet) -> list:
    return [row[2] for row in fleet.log.appends if row[0] == "config"]


def _restatements(fleet: ConfigFleet) -> int:
    return sum(payload["type"] == "restatement" for payload in _payloads(fleet))


def _restated(fleet: ConfigFleet, revision: int) -> bool:
    last = _payloads(fleet)[-1]
    return last["type"] == "restatement" and last["revision"] == revision


def _trimmed(fleet: ConfigFleet) -> bool:
    stream = fleet.log._streams["config"]
    return stream.first_kept_offset == stream.next_offset
