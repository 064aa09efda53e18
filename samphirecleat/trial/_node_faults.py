"""Faults of entry hosts: killed, drained, frozen, replaced, a zone lost."""

import asyncio
import time
from typing import Final

from ._faulty_node import FaultyNode
from ._fleet import TRIAL_TIMINGS
from ._records import Interval
from ._stage import Stage

LEASE_MARGIN_S: Final = 0.8
MOST_DRAINS: Final = 2


async def kill_node(stage: Stage) -> None:
    """A node dies in the middle of its work; another takes its place later."""
    node = stage.fleet.claim_node(stage.rng)
    if node is not None:
        await _kill_and_replace(stage, node)


async def drain_node(stage: Stage) -> None:
    """A node shuts down gracefully while it serves; another takes its place."""
    node = stage.fleet.claim_node(stage.rng)
    if node is None:
        return
    stage.note(f"draining {node.settings.node_id}")
    await stage.fleet.drain_node(node)
    await stage.hold(0.0, 1.0)
    replacement = await stage.fleet.replace_node(node, stage.rng)
    stage.note(f"{replacement.settings.node_id} replaces {node.settings.node_id}")


async def freeze_node(stage: Stage) -> None:
    """A node's controllers and open connections stand still, past its lease."""
    node = stage.fleet.claim_node(stage.rng)
    if node is None:
        return
    try:
        stage.note(f"{node.settings.node_id} freezes")
        await _freeze(stage, node, stage.rng.uniform(1.0, 5.0))
        stage.note(f"{node.settings.node_id} goes on")
    finally:
        stage.fleet.release_node(node)


async def replace_all_nodes(stage: Stage) -> None:
    """Every host is replaced, one after the other, by a kill or a drain."""
    drains_left = MOST_DRAINS
    for node in list(stage.fleet.nodes):
        if node not in stage.fleet.nodes or not stage.fleet.claim(node):
            continue
        # A drain takes seconds by design; all of them in turn would outlast the load.
        if not drains_left or stage.rng.random() < 0.5:
            await stage.fleet.kill_node(node)
            stage.note(f"{node.settings.node_id} killed")
        else:
            drains_left -= 1
            stage.note(f"draining {node.settings.node_id}")
            await stage.fleet.drain_node(node)
        await stage.fleet.replace_node(node, stage.rng)


async def lose_zone(stage: Stage) -> None:
    """All nodes of a zone die and all its targets crash at once; they come back later."""
    fleet = stage.fleet
    zone = stage.rng.choice(list(fleet.shape.zones[1:]))
    nodes = [node for node in fleet.nodes if node.settings.zone == zone and fleet.claim(node)]
    targets = [target for target in fleet.targets if target.zone == zone and target.listening]
    stage.note(f"zone {zone} is lost: {len(nodes)} nodes, {len(targets)} targets")
    await asyncio.gather(*(fleet.kill_node(node) for node in nodes))
    await asyncio.gather(*(target.crash() for target in targets))
    await stage.hold(1.0, 3.0)
    for target in targets:
        await target.restart()
    for node in nodes:
        await fleet.replace_node(node, stage.rng)
    stage.note(f"zone {zone} is back")


async def pause_lease_holder(stage: Stage) -> None:
    """The weight coordinator stops past its lease with an order of its own under way."""
    fleet = stage.fleet
    holder = _find_lease_holder(stage)
    if holder is None or not fleet.claim(holder):
        return
    pause_s = TRIAL_TIMINGS.lease_s + TRIAL_TIMINGS.longest_order_s + LEASE_MARGIN_S
    try:
        for engine in fleet.engines:
            engine.order_delay_s = pause_s
        await asyncio.sleep(0.5)
        for engine in fleet.engines:
            engine.order_delay_s = 0.0
        stage.note(f"{holder.settings.node_id} stops for {pause_s:.1f} s; its orders come late")
        await _freeze(stage, holder, pause_s)
        stage.note(f"{holder.settings.node_id} goes on")
    finally:
        fleet.release_node(holder)


def _find_lease_holder(stage: Stage) -> FaultyNode | None:
    lease_name = f"weights/{stage.fleet.shape.engine_service}"
    holders = {
        node.board.leases[lease_name].holder
        for node in stage.fleet.nodes
        if lease_name in node.board.leases
    }
    for node in stage.fleet.nodes:
        identity = node.board.identity
        if f"{identity.node_id}.{identity.incarnation}" in holders:
            return node
    return None


async def _freeze(stage: Stage, node: FaultyNode, pause_s: float) -> None:
    lifetime = stage.fleet.lifetime_of(node)
    started_at_s = time.monotonic()
    lifetime.frozen.append(Interval(started_at_s, float("inf")))
    node.freeze()
    try:
        await asyncio.sleep(pause_s)
    finally:
        node.thaw()
        lifetime.frozen[-1] = Interval(started_at_s, time.monotonic())


async def _kill_and_replace(stage: Stage, node: FaultyNode) -> None:
    await stage.fleet.kill_node(node)
    stage.note(f"{node.settings.node_id} killed")
    await stage.hold(0.0, 2.0)
    replacement = await stage.fleet.replace_node(node, stage.rng)
    stage.note(f"{replacement.settings.node_id} replaces {node.settings.node_id}")
