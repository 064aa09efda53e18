"""Faults of nodes: kills, drains, freezes, replacements and loss of a zone."""

import asyncio
import time
from typing import Final

from ._fault_context import FaultContext
from ._faulty_node import FaultyNode
from ._fleet import TRIAL_TIMINGS
from ._records import Interval

LEASE_MARGIN_S: Final = 0.8
MAX_DRAINS: Final = 2


async def kill_node(context: FaultContext) -> None:
    """A node is killed under load and replaced later."""
    node = context.fleet.claim_node(context.rng)
    if node is not None:
        await _kill_and_replace(context, node)


async def drain_node(context: FaultContext) -> None:
    """A node shuts down gracefully under load and is replaced."""
    node = context.fleet.claim_node(context.rng)
    if node is None:
        return
    context.record(f"draining {node.settings.node_id}")
    await context.fleet.drain_node(node)
    await context.wait_random(0.0, 1.0)
    replacement = await context.fleet.replace_node(node, context.rng)
    context.record(f"{replacement.settings.node_id} replaces {node.settings.node_id}")


async def freeze_node(context: FaultContext) -> None:
    """The controllers and open connections of a node freeze, possibly past its lease."""
    node = context.fleet.claim_node(context.rng)
    if node is None:
        return
    try:
        context.record(f"{node.settings.node_id} is frozen")
        await _freeze(context, node, context.rng.uniform(1.0, 5.0))
        context.record(f"{node.settings.node_id} resumes")
    finally:
        context.fleet.release_node(node)


async def replace_all_nodes(context: FaultContext) -> None:
    """Every node is killed or drained and then replaced, one after the other."""
    drains_left = MAX_DRAINS
    for node in list(context.fleet.nodes):
        if node not in context.fleet.nodes or not context.fleet.claim(node):
            continue
        # A drain takes seconds by design; draining every node would outlast the load.
        if not drains_left or context.rng.random() < 0.5:
            await context.fleet.kill_node(node)
            context.record(f"{node.settings.node_id} killed")
        else:
            drains_left -= 1
            context.record(f"draining {node.settings.node_id}")
            await context.fleet.drain_node(node)
        await context.fleet.replace_node(node, context.rng)


async def lose_zone(context: FaultContext) -> None:
    """All nodes and targets of a zone are killed at once and return later."""
    fleet = context.fleet
    zone = context.rng.choice(list(fleet.shape.zones[1:]))
    nodes = [node for node in fleet.nodes if node.settings.zone == zone and fleet.claim(node)]
    targets = [target for target in fleet.targets if target.zone == zone and target.listening]
    context.record(f"lost zone {zone}: {len(nodes)} nodes, {len(targets)} targets")
    await asyncio.gather(*(fleet.kill_node(node) for node in nodes))
    await asyncio.gather(*(target.crash() for target in targets))
    await context.wait_random(1.0, 3.0)
    for target in targets:
        await target.restart()
    for node in nodes:
        await fleet.replace_node(node, context.rng)
    context.record(f"zone {zone} has returned")


async def pause_lease_holder(context: FaultContext) -> None:
    """The weight coordinator pauses past its lease while an order of its own is in flight."""
    fleet = context.fleet
    holder = _find_lease_holder(context)
    if holder is None or not fleet.claim(holder):
        return
    pause_s = TRIAL_TIMINGS.lease_s + TRIAL_TIMINGS.longest_order_s + LEASE_MARGIN_S
    try:
        for engine in fleet.engines:
            engine.order_delay_s = pause_s
        await asyncio.sleep(0.5)
        for engine in fleet.engines:
            engine.order_delay_s = 0.0
        context.record(
            f"{holder.settings.node_id} pauses for {pause_s:.1f} s; its orders arrive late"
        )
        await _freeze(context, holder, pause_s)
        context.record(f"{holder.settings.node_id} resumes")
    finally:
        fleet.release_node(holder)


def _find_lease_holder(context: FaultContext) -> FaultyNode | None:
    lease_name = f"weights/{context.fleet.shape.engine_service}"
    holders = {
        node.board.leases[lease_name].holder
        for node in context.fleet.nodes
        if lease_name in node.board.leases
    }
    for node in context.fleet.nodes:
        identity = node.board.identity
        if f"{identity.node_id}.{identity.incarnation}" in holders:
            return node
    return None


async def _freeze(context: FaultContext, node: FaultyNode, pause_s: float) -> None:
    lifetime = context.fleet.lifetime_of(node)
    started_at_s = time.monotonic()
    lifetime.frozen.append(Interval(started_at_s, float("inf")))
    node.freeze()
    try:
        await asyncio.sleep(pause_s)
    finally:
        node.thaw()
        lifetime.frozen[-1] = Interval(started_at_s, time.monotonic())


async def _kill_and_replace(context: FaultContext, node: FaultyNode) -> None:
    await context.fleet.kill_node(node)
    context.record(f"{node.settings.node_id} killed")
    await context.wait_random(0.0, 2.0)
    replacement = await context.fleet.replace_node(node, context.rng)
    context.record(f"{replacement.settings.node_id} replaces {node.settings.node_id}")
