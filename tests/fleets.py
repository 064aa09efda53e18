"""Nodes and the stand-ins of one deployment over real sockets, for several test packages."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from samphirecleat.trial._deployments import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet


@asynccontextmanager
async def running_fleet(nodes: int) -> AsyncIterator[Fleet]:
    """Start a fleet, wait until every node sees all targets, and stop it after."""
    fleet = Fleet(DEPLOYMENTS["los-aromos"], nodes, seed=5)
    await fleet.start()
    try:
        await until(lambda: is_ready(fleet))
        yield fleet
    finally:
        await fleet.stop()


def is_ready(fleet: Fleet) -> bool:
    """Tell whether every node holds the text and sees all targets and nodes."""
    return all(
        node.board.ready
        and sum(target.usable for target in node.board.targets.values()) == len(fleet.targets)
        and len(node.board.live_members()) == len(fleet.nodes)
        for node in fleet.nodes
    )


async def until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
