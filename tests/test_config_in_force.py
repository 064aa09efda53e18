"""Tests of the configuration with real nodes: outages, log trims and replaced hosts."""

import asyncio

import aiohttp

from samphirecleat._report_tables import report_tables
from samphirecleat.bench._config import UNREACHABLE_URL, ConfigFleet
from samphirecleat.config import NO_REVISION
from samphirecleat.settings import Timings

TIMINGS = Timings(
    heartbeat_s=0.1, suspect_after_s=1.0, host_list_s=0.2, log_wait_s=0.3, log_retention_s=4.0
)


def test_node_without_access_to_the_log_follows_its_peers() -> None:
    """One node can never reach the log; the other node can."""

    async def scenario() -> None:
        async with ConfigFleet(1, TIMINGS) as fleet:
            await fleet.start_node("bilbao-a")
            await fleet.start_node("bilbao-b", log_url=UNREACHABLE_URL)
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            await fleet.until_in_force(await fleet.publish(revision))

    asyncio.run(scenario())


def test_outage_longer_than_the_retention_loses_no_state() -> None:
    """The log trims the accepted text during an outage in which every node is replaced.

    Without state from peers, the text would be lost. Without a new restatement in the log,
    a node that starts single_node afterwards would have no text.
    """

    async def scenario() -> None:
        async with ConfigFleet(2, TIMINGS, retention_s=4.0) as fleet:
            initial_nodes = [await fleet.start_node("bilbao-a"), await fleet.start_node("bilbao-b")]
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            fleet.log.down = True
            for node in initial_nodes:
                await fleet.start_node(node.settings.zone)
                await fleet.until_in_force(revision)
                await fleet.stop_node(node)
            fleet.log.retention_s = 0.0
            fleet.log.down = False
            await _until(lambda: _log_is_trimmed(fleet))
            fleet.log.retention_s = 3600.0
            await _until(lambda: _is_restated(fleet, revision))
            for node in list(fleet.nodes):
                await fleet.stop_node(node)
            single_node = await fleet.start_node("bilbao-a")
            await fleet.until_in_force(revision)
            assert single_node.board.config.certain
            assert single_node.board.config.revision == revision
            await fleet.until_in_force(await fleet.publish(revision))

    asyncio.run(scenario())


def test_log_always_contains_the_state_in_force() -> None:
    """The log retains records for 4 s, and there is no publication for longer than that."""

    async def scenario() -> None:
        async with ConfigFleet(3, TIMINGS, retention_s=4.0) as fleet:
            for _ in range(3):
                await fleet.start_node("bilbao-a")
            revision = await fleet.publish(NO_REVISION)
            await fleet.until_in_force(revision)
            await _until(lambda: _restatement_count(fleet) >= 4)
            for node in list(fleet.nodes):
                await fleet.stop_node(node)
            single_node = await fleet.start_node("bilbao-a")
            await fleet.until_in_force(revision)
            assert single_node.board.config.certain

    asyncio.run(scenario())


def test_report_tables_show_every_node() -> None:
    async def scenario() -> str:
        async with ConfigFleet(4, TIMINGS) as fleet:
            nodes = [await fleet.start_node("bilbao-a") for _ in range(2)]
            await fleet.until_in_force(await fleet.publish(NO_REVISION))
            await _until(lambda: all(len(node.board.live_members()) == 2 for node in nodes))
            url = f"http://{nodes[0].settings.http_address}/v1/report"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return report_tables(await response.json())

    rows = [line.split() for line in asyncio.run(scenario()).splitlines()]
    assert ["n1", "bilbao-a", "0", "2"] in rows
    assert ["n2", "bilbao-a", "0", "2"] in rows


async def _until(condition) -> None:
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.02)


def _payloads(fleet: ConfigFleet) -> list:
    return [row[2] for row in fleet.log.appends if row[0] == "config"]


def _restatement_count(fleet: ConfigFleet) -> int:
    return sum(payload["type"] == "restatement" for payload in _payloads(fleet))


def _is_restated(fleet: ConfigFleet, revision: int) -> bool:
    last = _payloads(fleet)[-1]
    return last["type"] == "restatement" and last["revision"] == revision


def _log_is_trimmed(fleet: ConfigFleet) -> bool:
    stream = fleet.log._streams["config"]
    return stream.first_kept_offset == stream.next_offset
