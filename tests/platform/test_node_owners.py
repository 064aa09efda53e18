"""Nodes of one process that own the targets of a service, from the caller to the target."""

import asyncio
import time
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from samphirecleat.platform._boot_settings import decode_boot_settings
from samphirecleat.platform._platform_node import PlatformNode

from ..fleets import until
from .nodes import Nodes, config_document
from .owner_nodes import PlainTarget
from .standin_store import StoreStandIn

HEADERS = {"Host": "h.example", "X-Deadline-Ms": "2000"}


@asynccontextmanager
async def owned_target(
    folder: Path,
) -> AsyncIterator[tuple[list[PlatformNode], PlainTarget, StoreStandIn]]:
    """Run three nodes with one target; the first of them owns it."""
    store, target = StoreStandIn(), PlainTarget("p-1")
    await store.start()
    await target.start()
    store.put("keyed.op", "config", config_document())
    row = {"service": "plain", "address": target.address, "zone": "z", "slots": 6}
    store.put("keyed.servers", "p-1", {**row, "state": "ready", "models": [], "born": 5})
    addresses = Nodes(3, folder, store)
    settings = [tomllib.loads(addresses.settings(host)) for host in addresses.hosts]
    nodes = [PlatformNode(decode_boot_settings(s, ""), 2) for s in settings]
    for node in nodes:
        await node.start()
    try:
        await until(lambda: all(node.ownership.owners("plain") for node in nodes))
        nodes.sort(key=lambda node: not node.ownership.owned_targets("plain"))
        yield nodes, target, store
    finally:
        for node in nodes:
            await node.stop()
        await target.stop()
        await store.stop()


def test_callers_of_all_nodes_reach_the_target_through_its_owner(tmp_path: Path) -> None:
    """Guards against parts that are not connected, and a caller's leaving that ends at the hop.

    Without the store, the nodes keep their owners. An owner that drains serves what it has.
    """

    async def call(session: aiohttp.ClientSession, node: PlatformNode, name: str) -> int:
        url = f"http://{node.settings.front_address}/plain/x"
        headers = {**HEADERS, "X-Request-Id": name}
        async with session.post(url, data=b"body", headers=headers) as response:
            await response.read()
            return response.status

    async def body() -> None:
        async with owned_target(tmp_path) as (nodes, target, store), aiohttp.ClientSession() as s:
            owner, other = nodes[0], nodes[1]
            received = owner.observer.counters
            assert await call(s, other, "first") == 200
            assert received["owner_calls_received"] == 1
            store.error_status = 503
            assert await call(s, other, "without store") == 200
            assert received["owner_calls_received"] == 2
            store.error_status = 0

            target.pause_s = 9.0
            task = asyncio.ensure_future(call(s, other, "left"))
            await until(lambda: target.runs["left"] == 1)
            left_at_s = time.monotonic()
            task.cancel()
            await until(lambda: target.cancelled_at_s > 0.0)
            assert time.monotonic() - left_at_s < 0.5

            target.pause_s = 0.15
            task = asyncio.ensure_future(call(s, other, "held"))
            await until(lambda: target.runs["held"] == 1)
            owner.board.leaving = True
            owner._membership.announce()
            assert await task == 200
            await until(lambda: not owner.ownership.owned_targets("plain"))

    asyncio.run(body())
