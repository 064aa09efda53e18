"""Responses to callers of a node that is near the end of its drain."""

import asyncio

import aiohttp

from samphirecleat.trial._deployments import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet


def test_draining_node_starts_no_run_and_returns_stored_responses() -> None:
    """A caller loses its answer while the node drains, and retries with the same key.

    It must get the existing answer. A new request must be refused as not run: if the
    node accepted it, its drain would never end or would abort the request.
    """

    async def scenario() -> None:
        fleet = Fleet(DEPLOYMENTS["los-aromos"], 2, 3)
        await fleet.start()
        try:
            async with aiohttp.ClientSession() as session:
                owner, other = fleet.nodes
                await wait_until_ready(owner, other)
                first = await call(session, owner, owner, "aa" * 8)
                owner.board.accepting = False
                again = await call(session, other, owner, "aa" * 8)
                new = await call(session, other, owner, "bb" * 8)
                assert first == again
                assert first[0] == 200
                assert (new[1]["error"]["kind"], new[1]["error"]["ran"]) == ("leaving", "no")
        finally:
            await fleet.stop()

    asyncio.run(scenario())


async def wait_until_ready(owner, other) -> None:
    timeout_at_s = asyncio.get_running_loop().time() + 20.0
    while not (
        sum(1 for target in owner.board.targets.values() if target.usable) >= 8
        and len(other.board.live_members()) == 2
        and other.board.ready
    ):
        assert asyncio.get_running_loop().time() < timeout_at_s
        await asyncio.sleep(0.05)


async def call(session, entry, owner, secret: str):
    identity = owner.board.identity
    key = f"{identity.node_id}.{identity.incarnation}.0.{secret}"
    url = f"http://{entry.settings.http_address}/v1/services/asesor/generate"
    body = {"prompt": secret, "max_tokens": 3}
    async with session.post(url, json=body, headers={"x-request-key": key}) as response:
        return response.status, await response.json()
