"""Report, metrics and traces of a small fleet over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from samphirecleat.standins import StandInEngine
from samphirecleat.trial._deployments import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet

TRACE = "0af7651916cd43dd8448eb211c80319c"
READY_TIMEOUT_S = 20.0


def run_with_fleet(
    scenario: Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]], nodes: int
) -> None:
    async def run() -> None:
        fleet = Fleet(DEPLOYMENTS["los-aromos"], nodes, 5)
        await fleet.start()
        try:
            async with aiohttp.ClientSession() as session:
                await until(lambda: all(is_ready(node, nodes) for node in fleet.nodes))
                await scenario(fleet, session)
        finally:
            await fleet.stop()

    asyncio.run(run())


def is_ready(node, nodes: int) -> bool:
    board = node.board
    usable = [target for target in board.targets.values() if target.usable]
    return board.ready and len(board.live_members()) == nodes and len(usable) >= 8


async def until(condition: Callable[[], bool]) -> None:
    give_up_at_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
    while not condition():
        assert asyncio.get_running_loop().time() < give_up_at_s
        await asyncio.sleep(0.05)


def test_one_trace_runs_through_every_hop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A quote is late, and an operator looks for the hop where the time was lost.

    The request comes in at one node, its key belongs to another, and an engine
    answers: if a hop dropped the trace id, the late one could not be found.
    """
    received: list[str] = []
    original = StandInEngine._generate

    async def record_trace(self, request):
        received.append(request.headers.get("traceparent", ""))
        return await original(self, request)

    monkeypatch.setattr(StandInEngine, "_generate", record_trace)

    async def scenario(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        owner, entry = fleet.nodes
        identity = owner.board.identity
        headers = {
            "traceparent": f"00-{TRACE}-b7ad6b7169203331-01",
            "x-request-key": f"{identity.node_id}.{identity.incarnation}.0.{'ab' * 8}",
        }
        url = f"http://{entry.settings.http_address}/v1/services/asesor/generate"
        body = {"prompt": "bench", "max_tokens": 2}
        async with session.post(url, json=body, headers=headers) as response:
            assert response.status == 200, await response.text()
        await until(lambda: bool(await_spans(entry)) and len(await_spans(owner)) >= 2)
        traced_url = f"http://{owner.settings.http_address}/v1/traces?trace={TRACE}"
        async with session.get(traced_url) as response:
            names = {span["name"] for span in (await response.json())["spans"]}
        assert {"dispatch", "target"} <= names
        assert {span["name"] for span in await_spans(entry)} >= {"entry"}
        spans = {span["span"] for node in (owner, entry) for span in await_spans(node)}
        parts = received[0].split("-")
        assert parts[1] == TRACE
        assert parts[2] in spans

    run_with_fleet(scenario, 2)


def await_spans(node):
    return node.observer.spans(TRACE)


def test_any_node_reports_and_measures_the_whole_fleet() -> None:
    """An operator asks one node about all, while another was killed without a word."""

    async def scenario(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        base = f"http://{fleet.nodes[0].settings.http_address}"
        await session.get(f"{base}/v1/entries")
        async with session.get(f"{base}/v1/metrics?scope=fleet") as response:
            metrics = await response.json()
        assert (metrics["merged_from"], metrics["missing"]) == (3, [])
        assert metrics["counters"]["member_datagrams_sent"] > 0
        lost = fleet.nodes.pop()
        lost.membership.announce_exit = lambda: None
        await lost.stop()
        async with session.get(f"{base}/v1/report") as response:
            report = await response.json()
        assert set(report["nodes"]) >= {"n1", "n2"}
        assert "unavailable" in report["nodes"].get("n3", {"unavailable": ""})
        async with session.get(f"{base}/v1/metrics?scope=all") as response:
            assert response.status == 400

    run_with_fleet(scenario, 3)
