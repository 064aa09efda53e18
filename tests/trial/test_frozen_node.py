"""A node that resumes after a freeze must not act on outdated state."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp

from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.standins import HostRow
from samphirecleat.trial import DEPLOYMENTS, Fleet, until_ready

WAIT_S = 15.0
LEAVING_GRACE_S = 3.0
CALLS_AFTER_RESUME = 40


def run_with_fleet(body: Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet(DEPLOYMENTS["los-aromos"], node_count=3, seed=1)
        await fleet.start()
        try:
            await until_ready(fleet)
            async with aiohttp.ClientSession() as session:
                await asyncio.wait_for(body(fleet, session), 3 * WAIT_S)
        finally:
            await fleet.stop()

    asyncio.run(run())


async def call(fleet: Fleet, session: aiohttp.ClientSession, address: str) -> ErrorKind | None:
    """Call the plain service and return the error kind, None on success."""
    url = f"http://{address}/v1/services/{fleet.shape.plain_service}/{fleet.shape.plain_once}"
    async with session.post(url, json={"prompt": "p"}) as response:
        body = await response.json()
    return None if response.status == 200 else RequestError.from_body(body["error"]).kind


def test_resumed_node_sends_nothing_to_a_target_that_left_during_the_freeze() -> None:
    """Targets report that they are leaving while a node is frozen.

    After the node resumes, its first requests are routed with outdated target state. A
    request to a leaving target would prevent its operator from shutting it down.
    """

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        node = fleet.nodes[0]
        node.freeze()
        for server in fleet.plain[1:]:
            server.leave()
        left_at_s = time.monotonic()
        while time.monotonic() < left_at_s + LEAVING_GRACE_S:
            await asyncio.sleep(0.1)
        # A resumed process may handle requests before its controllers run again.
        failed = await call(fleet, session, node.settings.http_address)
        assert failed is ErrorKind.NO_TARGET
        node.thaw()
        give_up_at_s = time.monotonic() + WAIT_S
        while await call(fleet, session, node.settings.http_address) is not None:
            assert time.monotonic() < give_up_at_s
            await asyncio.sleep(0.05)
        late = [a for s in fleet.plain[1:] for a in s.arrivals if a.at_s > left_at_s + 3.0]
        assert late == []

    run_with_fleet(body)


def test_resumed_node_learns_host_list_changes_from_its_peers() -> None:
    """The host list reports an engine as leaving while a node is frozen, and then fails.

    The resumed node cannot read the list. Unless it learns from its peers that the
    engine is leaving, it sends requests there until the list is back.
    """

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        node, engine = fleet.nodes[0], fleet.engines[0]
        node.freeze()
        row = HostRow(engine.address, engine.service, engine.zone, state="leaving")
        fleet.host_list.put(row, at_once=True)
        left_at_s = time.monotonic()
        while not all(n.board.targets[engine.address].leaving for n in fleet.nodes[1:]):
            assert time.monotonic() < left_at_s + WAIT_S
            await asyncio.sleep(0.05)
        fleet.host_list.down = True
        while time.monotonic() < left_at_s + LEAVING_GRACE_S:
            await asyncio.sleep(0.05)
        node.thaw()
        url = f"http://{node.settings.http_address}/v1/services/{engine.service}/generate"
        answered = 0
        while answered < CALLS_AFTER_RESUME:
            prompt = {"prompt": f"p{answered}", "max_tokens": 1}
            async with session.post(url, json=prompt) as response:
                answered += response.status == 200
            await asyncio.sleep(0.01)
        assert [a for a in engine.arrivals if a.at_s > left_at_s + LEAVING_GRACE_S] == []

    run_with_fleet(body)
